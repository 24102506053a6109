"""Explanation of where a request would go now, from one router's view.

Nothing is sent and nothing is recorded. If another router schedules the
service, that one decides, with a view that may be newer.
"""

from collections.abc import Callable, Collection, Mapping
from typing import Any, NamedTuple, Protocol

import msgspec
from chervilwall.fair_share import FairShare
from chervilwall.host_load import HostLoad
from chervilwall.load_view import LoadView
from chervilwall.pauses import TargetPauses
from chervilwall.placement import Demand
from chervilwall.prefill import nominal_prefill_s
from chervilwall.prefix import PromptPart
from chervilwall.registry import RegisteredTarget
from chervilwall.routing import Route, RoutingTable
from chervilwall.stream_origins import StreamDemand, stream_id
from chervilwall.untrusted import MAX_COUNT
from tornado.httputil import HTTPServerRequest

from chervilwall_router.edge.dispatcher import Dispatcher, Preview
from chervilwall_router.edge.grants import GrantRequest
from chervilwall_router.edge.page_server import Reply
from chervilwall_router.edge.peer_grants import SchedulerPeer
from chervilwall_router.edge.request_run import DEFAULT_TIMEOUT_S
from chervilwall_router.edge.router_state import RouterState

EXPLAIN_PATH = "/explain"
MAX_PARTS = 1024


class CandidateFacts(Protocol):
    """Describe one aspect of targets, such as how long they are cold."""

    def describe(
        self, target: RegisteredTarget, now: float
    ) -> Mapping[str, Any]:
        """Returns what is known of a target, by name, encodable as JSON.

        Args:
            target (RegisteredTarget): The target.
            now (float): Monotonic time.
        """
        ...


class Question(NamedTuple):
    """A request to be explained.

    Args:
        hostname (str): Host that it names.
        path (str): Its path.
        team (str): Team that sends it, "" for none.
        prompt_tokens (int): Length of its prompt, 0 for a plain request.
        output_tokens (int): Expected number of generated tokens.
        parts (tuple): Parts of its prompt.
        session (str): Id of the last part that other requests share, or "".
    """

    hostname: str
    path: str
    team: str = ""
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    session: str = ""


class ExplainParts(NamedTuple):
    """Dependencies of Explainer.

    Args:
        name (str): Name of this router.
        table (Callable): Returns the routing table, None before it is known.
        state (RouterState): State of this router.
        dispatcher (Dispatcher): Places requests.
        is_usable (Callable): Returns whether a target is healthy enough.
        find_scheduler (Callable): Returns the scheduler of a service, or None
            if that is this router.
        tokens_per_s (Callable): Returns the capacity of all model engines.
        clock (Callable): Returns the monotonic time in seconds.
        facts (tuple): Further aspects of targets, such as the time for which
            they stay cold. Defaults to none.
    """

    name: str
    table: Callable[[], RoutingTable | None]
    state: RouterState
    dispatcher: Dispatcher
    is_usable: Callable[[RegisteredTarget], bool]
    find_scheduler: Callable[[str, Collection[str]], SchedulerPeer | None]
    tokens_per_s: Callable[[], float]
    clock: Callable[[], float]
    facts: tuple[CandidateFacts, ...] = ()


class Explainer:
    """Explain where a request would go now, and why.

    Args:
        parts (ExplainParts): Dependencies.
    """

    def __init__(self, parts: ExplainParts) -> None:
        self._parts = parts

    def __repr__(self) -> str:
        return f"Explainer(name={self._parts.name!r})"

    def handle(self, request: HTTPServerRequest) -> Reply:
        """Returns the explanation of the request that the query describes.

        The status is 400 if the query is not valid.
        """
        try:
            question = parse_question(request)
        except ValueError as exc:
            body = msgspec.json.encode({"error": str(exc)})
            return Reply(400, body)
        return Reply(200, msgspec.json.encode(self.explain(question)))

    def explain(self, question: Question) -> dict[str, Any]:
        """Returns the explanation, encodable as JSON.

        Args:
            question (Question): The request.
        """
        table = self._parts.table()
        if table is None:
            return self._refused(None, None, "no configuration is known yet")
        route = table.find_route(question.hostname, question.path)
        if route is None:
            return self._refused(table, None, "no route has this path")
        team = "" if route.anonymous else question.team
        needs_team = table.requires_keys and not route.anonymous
        if needs_team and team not in table.teams():
            return self._refused(table, route, "the team is not known")
        host_load: HostLoad = self._parts.state.host_load
        if host_load.should_refuse(team, self._parts.clock()):
            return self._refused(table, route, "this router falls behind")
        answer = self._base(table, route)
        answer["team"] = self._describe_team(team)
        answer["services"] = [
            {"service": part.service, "weight": part.weight}
            | self._explain_service(part.service, route, team, question)
            for part in route.split
        ]
        return answer

    def _refused(
        self, table: RoutingTable | None, route: Route | None, reason: str
    ) -> dict[str, Any]:
        answer = self._base(table, route)
        answer["refusal"] = reason
        return answer

    def _base(
        self, table: RoutingTable | None, route: Route | None
    ) -> dict[str, Any]:
        described = None
        if route is not None:
            described = {
                "name": route.name,
                "kind": route.kind.value,
                "timeout_ms": round(route.timeout_s * 1000),
                "objective_ms": round(route.latency_objective_s * 1000),
                "priority": route.priority,
            }
        return {
            "router": self._parts.name,
            "config": table.version if table else 0,
            "route": described,
            "team": None,
            "refusal": "",
            "services": [],
        }

    def _describe_team(self, team: str) -> dict[str, Any]:
        shares: FairShare = self._parts.state.shares
        over_share = shares.teams_over_share(
            self._parts.tokens_per_s(), self._parts.clock()
        )
        return {
            "name": team,
            "is_over_share": team in over_share,
            "used_tokens": round(shares.usage_by_team().get(team, 0.0)),
        }

    def _explain_service(
        self, service: str, route: Route, team: str, question: Question
    ) -> dict[str, Any]:
        parts, now = self._parts, self._parts.clock()
        demand = Demand(
            service,
            question.prompt_tokens,
            question.output_tokens,
            question.parts,
            question.session,
        )
        scheduler = parts.find_scheduler(service, ())
        request = self._make_request(demand, route, team, now)
        preview = parts.dispatcher.preview(request)
        cached_at = parts.state.prefixes.cached_by_target(demand.parts, now)
        targets = [
            target
            for target in parts.state.registry.all().values()
            if target.service == service
        ]
        return {
            "scheduler": scheduler.name if scheduler else parts.name,
            "decides_here": scheduler is None,
            **_describe_outcome(preview),
            "candidates": [
                self._describe_target(
                    target, demand, cached_at.get(target.id, 0), now
                )
                for target in sorted(targets)
            ],
        }

    def _make_request(
        self, demand: Demand, route: Route, team: str, now: float
    ) -> GrantRequest:
        objective_s = route.latency_objective_s or DEFAULT_TIMEOUT_S
        stream = None
        if route.is_stream and route.repeatable:
            stream = StreamDemand(stream_id(""))
        return GrantRequest(
            demand=demand,
            team=team,
            objective_s=objective_s,
            due_at=now + objective_s,
            deadline_at=now + (route.timeout_s or DEFAULT_TIMEOUT_S),
            arrived_at=now,
            excluded=self._parts.state.pauses.paused(now),
            route=route.name,
            stream=stream,
        )

    def _describe_target(
        self,
        target: RegisteredTarget,
        demand: Demand,
        cached_tokens: int,
        now: float,
    ) -> dict[str, Any]:
        state = self._parts.state
        loads: LoadView = state.load
        load = loads.total(target.id, now)
        age_s = loads.oldest_report_s(target.id, now)
        known_limit = state.limits.per_s(target)
        described: dict[str, Any] = {
            "target": target.id,
            "zone": target.zone,
            "slots": target.slots,
            "running": load.running,
            "running_here": loads.own_running(target.id),
            "queued_ms": round(load.prefill_s * 1000, 1),
            "load_age_ms": None if age_s is None else round(age_s * 1000),
            "cached_tokens": cached_tokens,
            "prefill_ms": self._prefill_ms(target, demand, cached_tokens),
            "limit_per_s": known_limit,
            "unusable": self._unusable_reason(target, now),
        }
        for facts in self._parts.facts:
            described.update(facts.describe(target, now))
        return described

    def _prefill_ms(
        self, target: RegisteredTarget, demand: Demand, cached_tokens: int
    ) -> float | None:
        """Returns the predicted prefill time, None for a plain request."""
        if not demand.is_generation:
            return None
        uncached = max(1, demand.prompt_tokens - cached_tokens)
        factor = self._parts.state.model.factor(target.id)
        return round(
            1000 * factor * nominal_prefill_s(uncached, cached_tokens), 1
        )

    def _unusable_reason(self, target: RegisteredTarget, now: float) -> str:
        """Returns why a target gets no request now, "" if it may."""
        state = self._parts.state
        pauses: TargetPauses = state.pauses
        if target.draining:
            return "draining"
        if state.registry.is_evacuated(target):
            return "evacuated"
        if target.id in pauses.paused(now):
            return "paused"
        return "" if self._parts.is_usable(target) else "failing"


def _describe_outcome(preview: Preview) -> dict[str, Any]:
    choice = preview.choice
    outcome = "waits"
    if choice is not None:
        outcome = "sent"
    elif preview.refusal:
        outcome = "rejected"
    return {
        "outcome": outcome,
        "target": choice.target.id if choice else "",
        "first_token_ms": round(choice.first_token_s * 1000, 1)
        if choice
        else None,
        "reason": preview.refusal,
        "expected_wait_ms": round(preview.wait_s * 1000, 1),
        "retry_after_s": round(preview.retry_after_s, 2),
        "waiting": preview.waiting,
    }


def parse_question(request: HTTPServerRequest) -> Question:
    """Returns the question in a query.

    Args:
        request (HTTPServerRequest): Request with `host`, `path`, and optionally
            `team`, `prompt_tokens`, `output_tokens`, `parts` ("ID:TOKENS",
            separated by commas) and `session`.

    Raises:
        ValueError: A value is missing or not valid.
    """
    values = {
        name: found[-1].decode("utf-8")
        for name, found in request.query_arguments.items()
    }
    for name in ("host", "path"):
        if not values.get(name):
            raise ValueError(f"{name} is missing")
    parts = [part for part in values.get("parts", "").split(",") if part]
    if len(parts) > MAX_PARTS:
        raise ValueError(f"more than {MAX_PARTS} parts")
    return Question(
        hostname=values["host"].lower(),
        path=values["path"],
        team=values.get("team", ""),
        prompt_tokens=_parse_count(values.get("prompt_tokens", "0")),
        output_tokens=_parse_count(values.get("output_tokens", "0")),
        parts=tuple(_parse_part(part) for part in parts),
        session=values.get("session", ""),
    )


def _parse_part(text: str) -> PromptPart:
    part_id, _, tokens = text.rpartition(":")
    if not part_id:
        raise ValueError(f"part {text!r} is not in the form ID:TOKENS")
    return PromptPart(part_id, _parse_count(tokens))


def _parse_count(text: str) -> int:
    if not (text.isascii() and text.isdigit() and len(text) <= 10):
        raise ValueError(f"{text!r} is not a number of tokens")
    count = int(text)
    if count > MAX_COUNT:
        raise ValueError(f"{text} is more than {MAX_COUNT}")
    return count
