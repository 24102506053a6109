"""The path of a request: classify, admit, schedule, dispatch, relay, settle."""

import asyncio
import enum
import logging
import random
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import events, message
from chervilwall.budget import RetryWindow
from chervilwall.errors import DialError, RequestRefusedError
from chervilwall.inbound import AnswerHead, InboundRequest
from chervilwall.placement import Demand
from chervilwall.protocol import Metrics, WireFormat
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.route_memory import RouteMemory
from chervilwall.routing import CallerLimits, Route, RoutingTable
from chervilwall.service_totals import ServiceTotals, Total, TotalKey

from chervilwall_router.edge._dial import Connection
from chervilwall_router.edge.connections import TargetConnections, most_kept
from chervilwall_router.edge.dispatcher import Wish
from chervilwall_router.edge.exchange import Exchange
from chervilwall_router.edge.ingress import CallerAnswer
from chervilwall_router.edge.relay import PlainRelay, StreamRelay, may_pass
from chervilwall_router.edge.scheduling import Placed, Scheduling
from chervilwall_router.edge.settings import RetrySettings
from chervilwall_router.problem import EXECUTED_UNKNOWN, Problem

LOG = logging.getLogger(__name__)
# Longest a request may take where neither caller nor route says.
DEFAULT_TIMEOUT_S = 60.0
# Time taken off what a target is told, for the way back.
RETURN_MARGIN_S = 0.01
# Silence after which a repeatable request is tried elsewhere.
LEAST_SILENCE_S = 1.0
SILENCE_OBJECTIVES = 2.0
SILENCE_GAPS = 5.0
# A long prompt is read for longer than this silence would allow otherwise.
SILENCE_PREDICTIONS = 4.0
# Requests that targets disclaimed go to this many more of them.
MAX_DISCLAIMED = 2
SERVER_ERROR = 500
# Streams last up to this many times their route's mean.
STREAM_RESERVE = 2.5
NO_CONFIG_RETRY_S = 0.5
ANSWERED = "answered"
LEAVING_RETRY_S = 0.1


class Fate(enum.Enum):
    """How an attempt ended."""

    NOT_SENT = "not sent"
    NOT_EXECUTED = "not executed"
    ANSWERED = "answered"
    BROKEN = "broken"
    SILENT = "silent"
    TIMED_OUT = "timed out"


_OUTCOMES = {
    Fate.NOT_SENT: message.OUTCOME_NOT_SENT,
    Fate.NOT_EXECUTED: message.OUTCOME_REFUSED,
    Fate.BROKEN: message.OUTCOME_BROKEN,
    Fate.SILENT: message.OUTCOME_TIMEOUT,
    Fate.TIMED_OUT: message.OUTCOME_TIMEOUT,
}


class Attempt(NamedTuple):
    """One attempt and how it ended.

    Args:
        fate (Fate): How it ended.
        target (RegisteredTarget): Where it ran.
        head (AnswerHead | None): Head of the answer, if one came.
        reason (str): Why it failed, or "".
    """

    fate: Fate
    target: RegisteredTarget
    head: AnswerHead | None = None
    reason: str = ""


class Admitted(NamedTuple):
    """A request with what was decided about it.

    Args:
        req (InboundRequest): The request.
        route (Route): Its route.
        team (str): Its team, "" on an anonymous route.
        service (str): The service that runs it.
        deadline_at (float): Monotonic time by which it must have ended.
        first_sent_at (float): Monotonic time at which the caller first sent
            it, by the time that the caller has left.
    """

    req: InboundRequest
    route: Route
    team: str
    service: str
    deadline_at: float
    first_sent_at: float

    @property
    def is_return(self) -> bool:
        """Whether the caller has sent it before."""
        return self.first_sent_at < self.req.received_at


class FlowParts(NamedTuple):
    """What the path of a request is made of.

    Args:
        table (Callable): Returns the configuration in force, or None.
        registry (TargetRegistry): The targets.
        scheduling (Scheduling): Places requests.
        waiting (Callable): Returns how many requests wait here.
        connections (TargetConnections): Connections to them.
        wire (WireFormat): Names of headers.
        retries (RetrySettings): Budget of retries.
        routers (Callable): Returns how many routers there are.
        metrics (Metrics): Counters and histograms.
        totals (ServiceTotals): Service for the reports.
        clock (Callable): Returns the monotonic time.
        rng (random.Random): Source of chance.
    """

    table: Callable[[], RoutingTable | None]
    registry: TargetRegistry
    scheduling: Scheduling
    waiting: Callable[[], int]
    connections: TargetConnections
    wire: WireFormat
    retries: RetrySettings
    routers: Callable[[], int]
    metrics: Metrics
    totals: ServiceTotals
    clock: Callable[[], float]
    rng: random.Random


class RequestFlow:
    """Serve requests.

    Args:
        parts (FlowParts): What it is made of.
    """

    def __init__(self, parts: FlowParts) -> None:
        self._parts = parts
        self._budgets: dict[str, RetryWindow] = {}
        self._memory = RouteMemory()
        self.stops_at: float | None = None

    def __repr__(self) -> str:
        return f"RequestFlow(stops_at={self.stops_at})"

    def _is_too_late(self, route: Route) -> bool:
        """Tells whether a request would be cut by this router's stop."""
        if self.stops_at is None:
            return False
        left_s = self.stops_at - self._parts.clock()
        usual_s = route.timeout_s
        if route.is_stream:
            usual_s = STREAM_RESERVE * self._memory.duration_s(route)
        return left_s < usual_s

    def limits(self) -> CallerLimits:
        """Returns the limits in force."""
        table = self._parts.table()
        return table.limits if table else CallerLimits()

    def may_cancel(self, req: InboundRequest) -> bool:
        """Tells whether a request stops when its caller leaves.

        One that may not be repeated goes on: its effect is wanted although
        its answer is not read.
        """
        table = self._parts.table()
        route = table.match(req.hostname, req.path) if table else None
        return route is None or route.is_stream or route.repeatable

    async def handle(self, req: InboundRequest, answer: CallerAnswer) -> None:
        """Serves a request."""
        admitted = self._admit(req)
        if isinstance(admitted, Problem):
            self._refuse(req, answer, admitted, "admit")
            return
        self._memory.note_arrival(admitted.req, admitted.route)
        budget = self.budget(admitted.service)
        work = _Request(self._parts, budget, self._memory, admitted)
        await work.run(answer)

    def budget(self, service: str) -> RetryWindow:
        """Returns the budget of retries of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            cfg = self._parts.retries
            budget = RetryWindow(cfg.ratio, cfg.window_s, cfg.slack)
            self._budgets[service] = budget
        return budget

    def _admit(self, req: InboundRequest) -> Admitted | Problem:
        table = self._parts.table()
        if table is None:
            detail = "No configuration is known yet."
            return Problem(
                503, "no_config", detail, retry_after_s=NO_CONFIG_RETRY_S
            )
        route = table.match(req.hostname, req.path)
        if route is None:
            return Problem(404, "no_route", "No route has this path.")
        team = ""
        if table.asks_for_keys and not route.anonymous:
            found = table.team(req.key)
            if found is None:
                return Problem(401, "unknown_key", "The key is not known.")
            team = found
        if self._is_too_late(route):
            return Problem(
                503,
                "leaving",
                "This router is leaving.",
                retry_after_s=LEAVING_RETRY_S,
            )
        return self._set_deadline(req, route, team)

    def _set_deadline(
        self, req: InboundRequest, route: Route, team: str
    ) -> Admitted:
        limit_s = route.timeout_s or DEFAULT_TIMEOUT_S
        if req.remaining_s is not None:
            limit_s = min(limit_s, req.remaining_s)
        return Admitted(
            req,
            route,
            team,
            service=route.pick_service(self._parts.rng),
            deadline_at=req.received_at + limit_s,
            first_sent_at=req.received_at - self._memory.spent_s(req, route),
        )

    def _refuse(
        self,
        req: InboundRequest,
        answer: CallerAnswer,
        problem: Problem,
        step: str,
    ) -> None:
        self._parts.metrics.count(f"refused_{problem.reason}")
        table = self._parts.table()
        events.log_event(
            LOG,
            events.REQUEST_REFUSED,
            request=req.id,
            step=step,
            status=problem.status,
            reason=problem.reason,
            config=table.version if table else 0,
        )
        answer.refuse(problem)


class _Request:
    """Serve one admitted request, in one or more attempts."""

    def __init__(
        self,
        parts: FlowParts,
        budget: RetryWindow,
        memory: RouteMemory,
        admitted: Admitted,
    ) -> None:
        self._memory = memory
        self._parts = parts
        self._budget = budget
        self._admitted = admitted
        self._tried: set[str] = set()
        self._runs = 0
        self._disclaimed = 0
        self._events = 0
        self._first_at = 0.0
        self._grant: Placed | None = None

    async def run(self, answer: CallerAnswer) -> None:
        """Serves the request."""
        self._budget.note_request(self._parts.clock())
        relay = self._make_relay(answer)
        last: Attempt | None = None
        while True:
            try:
                grant = await self._acquire()
            except RequestRefusedError as exc:
                self._give_up(answer, last, exc)
                return
            with grant:
                self._grant = grant
                try:
                    attempt = await self._attempt(grant, relay)
                except asyncio.CancelledError:
                    self._note_cancelled(grant)
                    raise
                grant.outcome = _outcome(attempt)
            if await self._settle(attempt, relay, answer):
                return
            last = attempt
            if isinstance(relay, StreamRelay):
                relay.restart()
            else:
                relay = self._make_relay(answer)

    def _note_cancelled(self, grant: Placed) -> None:
        """Takes in that the caller left, or that the router stops.

        A caller that left a target which was silent for long tells as much of
        the target as a time-out would.
        """
        silent_s = self._parts.clock() - grant.started_at
        if not self._first_at and silent_s > LEAST_SILENCE_S:
            grant.outcome = message.OUTCOME_TIMEOUT
        attempt = Attempt(Fate.BROKEN, grant.choice.target)
        self._log_end(attempt, "caller_left", 0)

    def _make_relay(self, answer: CallerAnswer) -> PlainRelay | StreamRelay:
        if self._admitted.route.is_stream:
            last_id = self._admitted.req.last_event_id
            return StreamRelay(answer, self._note_data, last_id)
        return PlainRelay(answer, self._note_data)

    def _note_data(self) -> None:
        if self._first_at:
            return
        now = self._parts.clock()
        self._first_at = now
        grant = self._grant
        assert grant is not None
        grant.note_first_token(now)

    async def _acquire(self) -> Placed:
        req, route = self._admitted.req, self._admitted.route
        demand = Demand(
            service=self._admitted.service,
            prompt_tokens=req.prompt_tokens,
            output_tokens=self._output_tokens(),
            parts=req.parts,
            session=self._memory.session(req, route),
        )
        objective_s = route.latency_objective_s or DEFAULT_TIMEOUT_S
        wish = Wish(
            demand=demand,
            team=self._admitted.team,
            objective_s=objective_s,
            due_at=self._admitted.first_sent_at + objective_s,
            deadline_at=self._admitted.deadline_at,
            arrived_at=req.received_at,
            excluded=frozenset(self._tried),
            first=not self._tried and not self._admitted.is_return,
            route=route.name,
            size_class=self._memory.size_class(req, route),
        )
        return await self._parts.scheduling.acquire(wish)

    def _output_tokens(self) -> int:
        admitted = self._admitted
        return self._memory.output_tokens(
            admitted.req, admitted.route, self._event_tokens()
        )

    def _event_tokens(self) -> int:
        table = self._parts.table()
        service = table.services.get(self._admitted.service) if table else None
        return service.event_tokens if service else 1

    async def _attempt(
        self, grant: Placed, relay: PlainRelay | StreamRelay
    ) -> Attempt:
        target = grant.choice.target
        self._tried.add(target.id)
        self._first_at = 0.0
        try:
            stream = await self._parts.connections.acquire(target)
        except DialError as exc:
            return Attempt(Fate.NOT_SENT, target, reason=exc.reason)
        exchange = Exchange(stream, self._parts.wire, relay)
        fate = Fate.BROKEN
        try:
            fate = await self._exchange(exchange, target, relay)
        finally:
            self._put_back(exchange, target, stream)
        return Attempt(fate, target, exchange.head, exchange.reason)

    async def _exchange(
        self,
        exchange: Exchange,
        target: RegisteredTarget,
        relay: PlainRelay | StreamRelay,
    ) -> Fate:
        admitted = self._admitted
        clock = self._parts.clock
        left_s = admitted.deadline_at - clock()
        if left_s <= RETURN_MARGIN_S:
            return Fate.NOT_SENT
        last_id = relay.last_event_id if isinstance(relay, StreamRelay) else 0
        headers = self._parts.wire.request_headers(
            admitted.req,
            target,
            team=admitted.team,
            remaining_s=left_s - RETURN_MARGIN_S,
            last_event_id=last_id,
        )
        work = asyncio.ensure_future(exchange.run(admitted.req, headers))
        try:
            if await self._watch(work, relay):
                return self._judge(exchange)
        finally:
            work.cancel()
        out_of_time = clock() >= admitted.deadline_at - RETURN_MARGIN_S
        return Fate.TIMED_OUT if out_of_time else Fate.SILENT

    async def _watch(
        self,
        work: "asyncio.Future[None]",
        relay: PlainRelay | StreamRelay,
    ) -> bool:
        """Waits for the answer's end; returns False where it is given up."""
        admitted = self._admitted
        clock = self._parts.clock
        seen, seen_at = -1, clock()
        while True:
            now = clock()
            events_seen = getattr(relay, "events", 0)
            if events_seen != seen:
                seen, seen_at = events_seen, now
            until = admitted.deadline_at
            if self._may_retry():
                until = min(until, seen_at + self._silence_s(events_seen > 0))
            if now >= until:
                return False
            done, _ = await asyncio.wait((work,), timeout=until - now)
            if done:
                work.result()
                return True

    def _silence_s(self, begun: bool) -> float:
        route = self._admitted.route
        if begun and route.max_gap_s:
            return max(LEAST_SILENCE_S, SILENCE_GAPS * route.max_gap_s)
        predicted_s = 0.0
        if self._grant is not None:
            predicted_s = self._grant.choice.first_token_s
        return max(
            LEAST_SILENCE_S,
            SILENCE_OBJECTIVES * route.latency_objective_s,
            SILENCE_PREDICTIONS * predicted_s,
        )

    def _judge(self, exchange: Exchange) -> Fate:
        head = exchange.head
        if not exchange.whole or head is None:
            return Fate.BROKEN
        if head.not_executed:
            return Fate.NOT_EXECUTED
        if not may_pass(head):
            exchange.reason = "success without signature"
            return Fate.BROKEN
        return Fate.ANSWERED

    def _put_back(
        self,
        exchange: Exchange,
        target: RegisteredTarget,
        stream: Connection,
    ) -> None:
        if not exchange.reusable:
            stream.close()
            return
        table = self._parts.table()
        service = table.services.get(target.service) if table else None
        limit = service.max_connections if service else 0
        head = exchange.head
        self._parts.connections.release(
            target,
            stream,
            idle_limit_s=head.idle_limit_s if head else None,
            most_kept=most_kept(limit, self._parts.routers()),
        )

    async def _settle(
        self,
        attempt: Attempt,
        relay: PlainRelay | StreamRelay,
        answer: CallerAnswer,
    ) -> bool:
        """Ends the request if it is over; returns whether it is."""
        self._record(attempt)
        if attempt.fate is Fate.ANSWERED:
            return await self._pass_on(attempt, relay, answer)
        if attempt.fate is Fate.TIMED_OUT:
            self._fail(answer, attempt, 504, "timeout")
            return True
        if attempt.fate is Fate.NOT_SENT:
            return self._settle_not_sent(attempt, answer)
        if attempt.fate is Fate.NOT_EXECUTED:
            self._disclaimed += 1
            again = self._disclaimed <= MAX_DISCLAIMED and self._spend()
            if not again and not answer.begun:
                self._refuse_busy(answer, attempt)
            elif not again:
                self._fail(answer, attempt, 502, "busy")
            return not again
        if self._may_retry() and self._spend():
            return False
        self._fail(answer, attempt, 502, "broken_answer")
        return True

    def _settle_not_sent(self, attempt: Attempt, answer: CallerAnswer) -> bool:
        if self._parts.clock() < self._admitted.deadline_at - RETURN_MARGIN_S:
            return False
        self._fail(answer, attempt, 504 if self._runs else 503, "timeout")
        return True

    async def _pass_on(
        self,
        attempt: Attempt,
        relay: PlainRelay | StreamRelay,
        answer: CallerAnswer,
    ) -> bool:
        head = attempt.head
        assert head is not None
        failed = head.status >= SERVER_ERROR
        if failed and not answer.begun and self._may_retry() and self._spend():
            return False
        if failed and answer.begun:
            self._fail(answer, attempt, 502, "broken_answer")
            return True
        if failed and not head.signed and head.status in (429, 503):
            self._fail(answer, attempt, 502, "target_failed")
            return True
        if isinstance(relay, StreamRelay):
            self._events = relay.events
            taken_s = self._parts.clock() - self._admitted.req.received_at
            self._memory.note_stream(
                self._admitted.route, relay.events, taken_s
            )
            await relay.pass_on()
        else:
            relay.pass_on()
        self._log_end(attempt, ANSWERED, head.status)
        return True

    def _may_retry(self) -> bool:
        route = self._admitted.route
        return route.repeatable and self._runs < route.max_attempts

    def _spend(self) -> bool:
        parts = self._parts
        return self._budget.spend(parts.clock(), parts.routers())

    def _record(self, attempt: Attempt) -> None:
        if attempt.fate not in (Fate.NOT_SENT, Fate.NOT_EXECUTED):
            self._runs += 1
        if _outcome(attempt) != message.OUTCOME_COMPLETED:
            self._log_attempt(attempt)

    def _log_attempt(self, attempt: Attempt) -> None:
        self._parts.metrics.count(f"attempt_{attempt.fate.name.lower()}")
        events.log_event(
            LOG,
            events.ATTEMPT_FAILED,
            request=self._admitted.req.id,
            target=attempt.target.id,
            fate=attempt.fate.value,
            status=attempt.head.status if attempt.head else 0,
            reason=attempt.reason,
        )

    def _give_up(
        self,
        answer: CallerAnswer,
        last: Attempt | None,
        exc: RequestRefusedError,
    ) -> None:
        if answer.begun or self._runs:
            assert last is not None
            self._fail(answer, last, 502, "no_target_left")
            return
        problem = Problem(
            503, "overloaded", exc.reason, retry_after_s=exc.retry_after_s
        )
        self._refuse(answer, problem)

    def _refuse_busy(self, answer: CallerAnswer, attempt: Attempt) -> None:
        if self._runs:
            self._fail(answer, attempt, 502, "broken_answer")
            return
        detail = "Every target that was asked is full."
        problem = Problem(503, "busy", detail, retry_after_s=LEAST_SILENCE_S)
        self._refuse(answer, problem)

    def _refuse(self, answer: CallerAnswer, problem: Problem) -> None:
        admitted = self._admitted
        self._parts.metrics.count(f"refused_{problem.reason}")
        events.log_event(
            LOG,
            events.REQUEST_REFUSED,
            request=admitted.req.id,
            step="schedule",
            team=admitted.team,
            service=admitted.service,
            route=admitted.route.name,
            reason=problem.detail,
            waited_ms=self._elapsed_ms(),
            retry_after_s=round(problem.retry_after_s, 2),
            waiting=self._parts.waiting(),
        )
        key = TotalKey(admitted.team, admitted.route.name)
        self._parts.totals.add(key, Total(refused=1))
        answer.refuse(problem)

    def _fail(
        self, answer: CallerAnswer, attempt: Attempt, status: int, reason: str
    ) -> None:
        self._log_end(attempt, reason, status)
        if answer.begun:
            answer.cut()
            return
        detail = "The target gave no whole answer; the request may have run."
        answer.refuse(Problem(status, reason, detail, EXECUTED_UNKNOWN))

    def _log_end(self, attempt: Attempt, outcome: str, status: int) -> None:
        admitted = self._admitted
        now = self._parts.clock()
        first = self._first_at or now
        metrics = self._parts.metrics
        team, cls = admitted.team, admitted.route.name
        metrics.count(f"ended_{outcome}")
        self._add_total(outcome == ANSWERED)
        metrics.observe("total", team, cls, now - admitted.req.received_at)
        metrics.observe(
            "first_byte", team, cls, first - admitted.req.received_at
        )
        grant = self._grant
        events.log_event(
            LOG,
            events.REQUEST_ENDED,
            request=admitted.req.id,
            team=team,
            route=cls,
            target=attempt.target.id,
            outcome=outcome,
            status=status,
            runs=self._runs,
            wait_ms=_ms(grant.started_at - admitted.req.received_at)
            if grant
            else 0,
            first_ms=_ms(first - admitted.req.received_at),
            total_ms=self._elapsed_ms(),
            prompt=admitted.req.prompt_tokens,
            miss=grant.choice.miss_tokens if grant else 0,
            predicted_ms=_ms(grant.choice.first_token_s) if grant else 0,
        )

    def _add_total(self, answered: bool) -> None:
        admitted = self._admitted
        key = TotalKey(admitted.team, admitted.route.name)
        total = Total(unknown=1)
        if answered:
            prompt = admitted.req.prompt_tokens
            total = Total(
                answered=1,
                prompt_tokens=prompt,
                output_tokens=self._events * self._event_tokens(),
            )
        self._parts.totals.add(key, total)

    def _elapsed_ms(self) -> int:
        return _ms(self._parts.clock() - self._admitted.req.received_at)


def _outcome(attempt: Attempt) -> str:
    """Returns what an attempt tells of its target's health."""
    if attempt.fate is Fate.ANSWERED:
        failed = attempt.head is None or attempt.head.status >= SERVER_ERROR
        return message.OUTCOME_ERROR if failed else message.OUTCOME_COMPLETED
    return _OUTCOMES[attempt.fate]


def _ms(seconds: float) -> int:
    return round(seconds * 1000)
