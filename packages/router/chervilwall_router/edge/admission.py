"""Admission of requests: routing, authentication and overload checks."""

import hashlib
import logging

from chervilwall import events
from chervilwall.fingerprints import FINGERPRINT_BYTES, part_fingerprints
from chervilwall.http_messages import InboundRequest
from chervilwall.retry_budget import RetryWindow
from chervilwall.route_statistics import RouteStatistics
from chervilwall.routing import CallerLimits, Route

from chervilwall_router.edge.caller_response import CallerResponse
from chervilwall_router.edge.request_run import (
    DEFAULT_TIMEOUT_S,
    LEAVING_RETRY_S,
    RequestRun,
)
from chervilwall_router.edge.request_types import (
    AdmittedRequest,
    RequestContext,
)
from chervilwall_router.problem import Problem

LOG = logging.getLogger(__name__)
# A stream is assumed to last at most this multiple of the mean duration of the
# streams of its route, and any other request this multiple of its objective.
DURATION_FACTOR = 2.5
NO_CONFIG_RETRY_S = 0.5


class RequestAdmission:
    """Admit or refuse requests and run the admitted ones.

    Args:
        parts (RequestContext): Shared components of the router.

    Attributes:
        statistics (RouteStatistics): Statistics of the requests of each route.
        aborts_at (float | None): Monotonic time at which a graceful shutdown
            aborts unfinished responses; None before a shutdown.
        accepts_until (float): Monotonic time until which new streams are
            accepted in a graceful shutdown if they are likely to end before
            `aborts_at`.
    """

    def __init__(self, parts: RequestContext) -> None:
        self._parts = parts
        self._budgets: dict[str, RetryWindow] = {}
        self.statistics = RouteStatistics()
        self.aborts_at: float | None = None
        self.accepts_until = 0.0

    def __repr__(self) -> str:
        return f"RequestAdmission(aborts_at={self.aborts_at})"

    def _would_outlast_shutdown(self, admitted: AdmittedRequest) -> bool:
        """Returns whether a request is too long to accept during a shutdown.

        Until `accepts_until`, callers may not know of the shutdown, so a stream
        is accepted if it is likely to end before `aborts_at`. After that, only
        requests whose time limit ends before it are accepted.
        """
        if self.aborts_at is None:
            return False
        is_early = self._parts.clock() < self.accepts_until
        if admitted.route.is_stream and is_early:
            return self._is_too_late(admitted)
        return self.aborts_at < admitted.deadline_at

    def _is_too_late(self, admitted: AdmittedRequest) -> bool:
        """Returns whether a request is unlikely to end before the router does.

        Such a request is not sent any more: its answer would be aborted.
        """
        # The time limit of a request that is accepted during the shutdown is
        # `aborts_at` at the latest.
        if self.aborts_at is None or admitted.deadline_at < self.aborts_at:
            return False
        route = admitted.route
        typical_s = route.latency_objective_s
        if route.is_stream:
            typical_s = self.statistics.duration_s(route)
        remaining_s = self.aborts_at - self._parts.clock()
        return remaining_s < DURATION_FACTOR * typical_s

    def limits(self) -> CallerLimits:
        """Returns the limits of the current routing table, or the defaults."""
        table = self._parts.table()
        return table.limits if table else CallerLimits()

    def may_cancel(self, req: InboundRequest) -> bool:
        """Returns whether to cancel a request when its caller disconnects.

        A request that is neither a stream nor repeatable (idempotent) continues
        once it was sent to a target: its side effect is wanted although nobody
        reads the response.
        """
        table = self._parts.table()
        route = table.find_route(req.hostname, req.path) if table else None
        return route is None or route.is_stream or route.repeatable

    async def handle(self, req: InboundRequest, answer: CallerResponse) -> None:
        """Serves a request or refuses it."""
        admitted = self._admit(req)
        if isinstance(admitted, Problem):
            self._refuse(req, answer, admitted, "admit")
            return
        load = self._parts.host_load
        load.begin(admitted.team)
        try:
            await self._serve(req, admitted, answer)
        finally:
            load.end(admitted.team, self._parts.clock())

    async def _serve(
        self,
        req: InboundRequest,
        admitted: AdmittedRequest,
        answer: CallerResponse,
    ) -> None:
        status = self._parts.crashes.status(admitted.fingerprints)
        now = self._parts.clock()
        if status.is_refused(now):
            problem = Problem(
                503,
                "quarantined",
                "Targets ended under this request, or under others that share"
                " a part of its prompt.",
                retry_after_s=status.retry_after_s(now),
            )
            causes = ",".join(cause.hex() for cause in status.causes)
            self._refuse(req, answer, problem, "quarantine", fingerprint=causes)
            return
        self.statistics.record_arrival(
            admitted.req, admitted.route, admitted.team
        )
        budget = self.budget(admitted.service)
        run = RequestRun(
            self._parts,
            budget,
            self.statistics,
            admitted,
            lambda: self._is_too_late(admitted),
        )
        await run.run(answer)

    def budget(self, service: str) -> RetryWindow:
        """Returns the retry budget of a service."""
        budget = self._budgets.get(service)
        if budget is None:
            settings = self._parts.retries
            budget = RetryWindow(
                settings.ratio,
                settings.window_s,
                settings.slack,
                self._parts.started_at,
            )
            self._budgets[service] = budget
        return budget

    def _admit(self, req: InboundRequest) -> AdmittedRequest | Problem:
        table = self._parts.table()
        if table is None:
            detail = "No configuration is known yet."
            return Problem(
                503, "no_config", detail, retry_after_s=NO_CONFIG_RETRY_S
            )
        route = table.find_route(req.hostname, req.path)
        if route is None:
            return Problem(404, "no_route", "No route has this path.")
        team = ""
        if table.requires_keys and not route.anonymous:
            key_team = table.team(req.key)
            if key_team is None:
                return Problem(401, "unknown_key", "The key is not known.")
            team = key_team
        load, now = self._parts.host_load, self._parts.clock()
        if load.should_refuse(team, now):
            return Problem(
                503,
                "host_behind",
                "This router falls behind.",
                retry_after_s=load.retry_after_s(team, now),
            )
        admitted = self._make_admitted(req, route, team)
        if self._would_outlast_shutdown(admitted):
            return Problem(
                503,
                "leaving",
                "This router is leaving.",
                retry_after_s=LEAVING_RETRY_S,
            )
        if self.aborts_at is not None:
            deadline_at = min(admitted.deadline_at, self.aborts_at)
            admitted = admitted._replace(deadline_at=deadline_at)
        return admitted

    def _make_admitted(
        self, req: InboundRequest, route: Route, team: str
    ) -> AdmittedRequest:
        limit_s = route.timeout_s or DEFAULT_TIMEOUT_S
        if req.remaining_s is not None:
            limit_s = min(limit_s, req.remaining_s)
        service = route.pick_service(self._parts.rng)
        parts = part_fingerprints(service, req.prompt_parts)
        return AdmittedRequest(
            req,
            route,
            team,
            service=service,
            deadline_at=req.received_at + limit_s,
            fingerprints=(_request_fingerprint(req, team), *parts),
        )

    def _refuse(
        self,
        req: InboundRequest,
        answer: CallerResponse,
        problem: Problem,
        step: str,
        *,
        fingerprint: str = "",
    ) -> None:
        self._parts.metrics.count(f"refused_{problem.reason}")
        table, now = self._parts.table(), self._parts.clock()
        events.log_event(
            LOG,
            events.REQUEST_REFUSED,
            request=req.id,
            step=step,
            fingerprint=fingerprint,
            status=problem.status,
            reason=problem.reason,
            config=table.version if table else 0,
            lag_ms=round(self._parts.host_load.lag_s(now) * 1000),
        )
        answer.refuse(problem)


def _request_fingerprint(req: InboundRequest, team: str) -> bytes:
    digest = hashlib.blake2b(digest_size=FINGERPRINT_BYTES)
    for part in (team, req.method, req.hostname, req.url):
        digest.update(part.encode() + b"\0")
    digest.update(req.body)
    return digest.digest()
