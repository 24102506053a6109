"""Processing of one request until it is answered, refused or failed."""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import cell_messages, events
from chervilwall.errors import RequestRefusedError
from chervilwall.kept_bytes import KeptResponse
from chervilwall.placement import Demand
from chervilwall.quarantine_status import QuarantineStatus
from chervilwall.retry_budget import RetryWindow
from chervilwall.route_statistics import RouteStatistics
from chervilwall.service_totals import Total, TotalKey
from chervilwall.stream_origins import StreamDemand, stream_id
from chervilwall.stream_versions import (
    REASON_UNKNOWN_ORIGIN,
    REASON_VERSION_GONE,
    StreamVersions,
)

from chervilwall_router.edge.attempts import MIN_SILENCE_S, AttemptRunner
from chervilwall_router.edge.caller_closes import CloseReason
from chervilwall_router.edge.caller_response import CallerResponse, Framing
from chervilwall_router.edge.dispatcher import REASON_CRASHES
from chervilwall_router.edge.grants import GrantRequest
from chervilwall_router.edge.relay import BufferedRelay, StreamRelay
from chervilwall_router.edge.request_log import (
    RequestEnd,
    log_attempt_failed,
    log_request_ended,
    log_retry_decided,
    to_ms,
)
from chervilwall_router.edge.request_types import (
    NOT_RUN_STATUSES,
    AdmittedRequest,
    Attempt,
    AttemptResult,
    RequestContext,
    is_failure,
    is_unconfirmed_refusal,
    outcome_of,
)
from chervilwall_router.edge.scheduling import PlacedRequest
from chervilwall_router.edge.sent_attempt import RETURN_MARGIN_S
from chervilwall_router.problem import EXECUTED_UNKNOWN, Problem

LOG = logging.getLogger(__name__)
# Time limit of a request if neither its caller nor its route sets one.
DEFAULT_TIMEOUT_S = 60.0
# Retries of a request that targets reported as not executed.
MAX_NOT_EXECUTED_RETRIES = 2
# Retry-After of requests that a graceful shutdown refuses.
LEAVING_RETRY_S = 0.1
_NOT_SENT_RESULTS = (AttemptResult.NOT_SENT, AttemptResult.WITHDRAWN)
OUTCOME_ANSWERED = "answered"
# Times that a request may return the grant of a cold target, and be granted the
# same one again. A scheduler that does not know that the target is cold would
# grant it again and again.
MAX_RETURNED_GRANTS = 2
# Cause of a retry after an answer that says that its target failed.
CAUSE_FAILED = "failed"


class _FailureAnswer(NamedTuple):
    """Complete answer of a target that failed, kept while another is tried.

    Args:
        attempt (Attempt): Attempt that got it.
        relay (BufferedRelay): Holds it.
    """

    attempt: Attempt
    relay: BufferedRelay


class RequestRun:
    """Serve one admitted request, in one or more attempts.

    Args:
        parts (RequestContext): Dependencies.
        budget (RetryWindow): Retry budget of the service.
        statistics (RouteStatistics): Statistics of the requests of each route.
        admitted (AdmittedRequest): Request to serve.
        is_too_late (Callable): Returns whether the request must not be begun
            any more, as the router stops.
    """

    def __init__(
        self,
        parts: RequestContext,
        budget: RetryWindow,
        statistics: RouteStatistics,
        admitted: AdmittedRequest,
        is_too_late: Callable[[], bool],
    ) -> None:
        self._is_too_late = is_too_late
        self._statistics = statistics
        self._parts = parts
        self._budget = budget
        self._admitted = admitted
        self._tried: set[str] = set()
        # Attempts that may have been executed.
        self._executed_attempts = 0
        self._not_executed = 0
        # Grants that were withdrawn although their targets may be asked again.
        self._returned_grants = 0
        self._stream_events = 0
        self._first_data_at = 0.0
        self._grant: PlacedRequest | None = None
        self._relay: BufferedRelay | StreamRelay | None = None
        self._failure: _FailureAnswer | None = None
        self._answer: CallerResponse | None = None
        self._kept_failure = KeptResponse("")
        self._stream = _make_stream(admitted, parts.streams)
        self._attempts = AttemptRunner(parts, admitted, self)

    def __repr__(self) -> str:
        return f"RequestRun(request={self._admitted.req.id!r})"

    async def run(self, answer: CallerResponse) -> None:
        """Serves the request.

        Args:
            answer (CallerResponse): Sends the response to the caller.
        """
        try:
            await self._run_attempts(answer)
        finally:
            self._attempts.close()
            self._parts.kept.remove(self._kept_failure)

    async def _run_attempts(self, answer: CallerResponse) -> None:
        self._budget.record_request(
            self._parts.clock(), self._parts.known_router_count()
        )
        self._answer = answer
        relay = self._relay = self._make_relay(answer)
        last: Attempt | None = None
        while True:
            answer.may_have_run = self._executed_attempts > 0
            if self._has_caller_left():
                self._parts.metrics.count("ended_caller_left")
                return
            status_before = self._quarantine_status()
            try:
                grant = (
                    self._attempts.replacement or await self._acquire_target()
                )
            except RequestRefusedError as exc:
                self._end_without_target(answer, last, exc)
                return
            except asyncio.CancelledError:
                if not answer.closed():
                    self._end_without_target(answer, last, _shutdown_refusal())
                raise
            status = self._quarantine_status()
            if status.has_worsened_since(status_before):
                # The scheduler granted the target before it learned of the
                # latest crash.
                with grant:
                    self._end_without_target(
                        answer, last, self._crash_refusal()
                    )
                return
            if self._is_begun_too_late():
                with grant:
                    refusal = _shutdown_refusal()
                    self._end_without_target(answer, last, refusal)
                return
            if self._has_caller_left():
                with grant:
                    self._parts.metrics.count("ended_caller_left")
                return
            answer.may_have_run = True
            with grant:
                self._grant = grant
                try:
                    self._tried.add(grant.choice.target.id)
                    self._first_data_at = 0.0
                    attempt = await self._attempts.run(grant, relay)
                except asyncio.CancelledError:
                    self._end_cancelled(grant, relay, answer)
                    raise
                finally:
                    self._bind_version(grant, relay)
                grant.outcome = outcome_of(attempt)
            self._readmit_target(attempt)
            if self._handle_result(attempt, relay, answer):
                return
            last = attempt
            if isinstance(relay, StreamRelay):
                relay.reset()
            else:
                relay = self._relay = self._make_relay(answer)

    def _readmit_target(self, attempt: Attempt) -> None:
        """Lets a target be asked again if it was only sent nothing yet."""
        if (
            attempt.may_try_again
            and self._returned_grants < MAX_RETURNED_GRANTS
        ):
            self._returned_grants += 1
            self._tried.discard(attempt.target.id)

    def _bind_version(
        self, grant: PlacedRequest, relay: BufferedRelay | StreamRelay
    ) -> None:
        """Binds the stream to the software version of its first event."""
        stream = self._stream
        if stream is None or not isinstance(relay, StreamRelay):
            return
        if relay.events or stream.is_resumption:
            version = grant.choice.target.version
            self._stream = stream._replace(version=version)

    def _end_cancelled(
        self,
        grant: PlacedRequest,
        relay: BufferedRelay | StreamRelay,
        answer: CallerResponse,
    ) -> None:
        """Ends a request whose caller disconnected, or as the router stops.

        If the grant is older than MIN_SILENCE_S and the target has sent nothing
        since, this counts as a timeout of the target.
        """
        silent_s = self._parts.clock() - grant.started_at
        if not self._first_data_at and silent_s > MIN_SILENCE_S:
            grant.outcome = cell_messages.OUTCOME_TIMEOUT
        attempt = Attempt(
            AttemptResult.BROKEN,
            grant.choice.target,
            last_event_id=relay.last_event_id,
        )
        if answer.closed():
            self._record_end(attempt, "caller_left", 0)
        else:
            self._fail(answer, attempt, 502, "router_stopped")

    def _make_relay(
        self, answer: CallerResponse
    ) -> BufferedRelay | StreamRelay:
        if self._admitted.route.is_stream:
            last_id = self._admitted.req.last_event_id
            return StreamRelay(answer, self._record_first_data, last_id)
        return BufferedRelay(answer, self._record_first_data)

    def _record_first_data(self) -> None:
        """Records the first data of an attempt, which counts as first token.

        For a response that is not a stream, this is its head.
        """
        if self._first_data_at:
            return
        now = self._parts.clock()
        self._first_data_at = now
        grant = self._grant
        assert grant is not None
        relay = self._relay
        has_event = isinstance(relay, StreamRelay) and relay.buffered is None
        grant.record_first_token(now, has_event=has_event)
        if has_event and self._stream is not None:
            self._parts.streams.record_relayed(
                self._stream, grant.choice.target, now
            )

    async def _acquire_target(
        self, *, is_replacement: bool = False
    ) -> PlacedRequest:
        req, route = self._admitted.req, self._admitted.route
        demand = Demand(
            service=self._admitted.service,
            prompt_tokens=req.prompt_tokens,
            output_tokens=self._output_tokens(),
            parts=req.prompt_parts,
            session=self._statistics.session(req, route),
        )
        objective_s = route.latency_objective_s or DEFAULT_TIMEOUT_S
        target_request = GrantRequest(
            demand=demand,
            team=self._admitted.team,
            objective_s=objective_s,
            due_at=req.received_at + objective_s,
            deadline_at=self._admitted.deadline_at,
            arrived_at=req.received_at,
            excluded=frozenset(self._tried),
            is_first_attempt=not (self._tried or self._returned_grants),
            route=route.name,
            size_class=self._statistics.size_class(req, route),
            fingerprint=self._admitted.fingerprints[0],
            stream=self._stream,
            is_replacement=is_replacement,
        )
        left_s = self._admitted.deadline_at - self._parts.clock()
        try:
            async with asyncio.timeout(left_s - RETURN_MARGIN_S):
                return await self._parts.scheduling.acquire(target_request)
        except TimeoutError as exc:
            raise RequestRefusedError(
                "not scheduled in time", 0.0, step="schedule"
            ) from exc

    def _output_tokens(self) -> int:
        admitted = self._admitted
        return self._statistics.output_tokens(
            admitted.req, admitted.route, self._event_tokens()
        )

    def _event_tokens(self) -> int:
        table = self._parts.table()
        service = table.services.get(self._admitted.service) if table else None
        return service.event_tokens if service else 1

    def _handle_result(
        self,
        attempt: Attempt,
        relay: BufferedRelay | StreamRelay,
        answer: CallerResponse,
    ) -> bool:
        """Ends the request unless it is retried; returns whether it ended."""
        self._record_attempt(attempt)
        if attempt.result is AttemptResult.ANSWERED:
            return self._forward_answer(attempt, relay, answer)
        if attempt.result is AttemptResult.TIMED_OUT:
            self._fail(answer, attempt, 504, "timeout")
            return True
        if attempt.result in _NOT_SENT_RESULTS:
            return self._handle_not_sent(attempt, answer)
        if attempt.result is AttemptResult.NOT_EXECUTED:
            self._not_executed += 1
            will_retry = (
                self._not_executed <= MAX_NOT_EXECUTED_RETRIES
                and self._has_other_target()
                and self._spend_retry(attempt.result.value)
            )
            if not will_retry and not answer.started:
                self._refuse_busy(answer, attempt)
            elif not will_retry:
                self._fail(answer, attempt, 502, "busy")
            return not will_retry
        if attempt.result is AttemptResult.SILENT:
            return False
        if (
            self._may_retry()
            and self._has_other_target()
            and self._spend_retry(attempt.result.value)
        ):
            return False
        self._fail(answer, attempt, 502, "broken_answer")
        return True

    def _handle_not_sent(
        self, attempt: Attempt, answer: CallerResponse
    ) -> bool:
        """Fails the request if its time is up; returns whether it ended."""
        if self._parts.clock() < self._admitted.deadline_at - RETURN_MARGIN_S:
            return False
        if self._executed_attempts or answer.started:
            self._fail(answer, attempt, 504, "timeout")
            return True
        detail = "The time limit passed before a target was sent the request."
        self._refuse(answer, Problem(503, "timeout", detail))
        return True

    def _forward_answer(
        self,
        attempt: Attempt,
        relay: BufferedRelay | StreamRelay,
        answer: CallerResponse,
    ) -> bool:
        head = attempt.head
        assert head is not None
        failed = is_failure(head)
        if (
            failed
            and not answer.started
            and self._may_retry()
            and self._has_other_target()
            and self._spend_retry(CAUSE_FAILED)
        ):
            self._keep_failure(attempt, relay)
            return False
        if relay.is_discarded:
            self._fail(answer, attempt, 502, "broken_answer")
            return True
        if is_unconfirmed_refusal(head):
            self._fail(answer, attempt, 502, "target_failed")
            return True
        if isinstance(relay, StreamRelay):
            self._stream_events = relay.events
            elapsed_s = self._parts.clock() - self._admitted.req.received_at
            self._statistics.record_stream(
                self._admitted.route, relay.events, elapsed_s
            )
        relay.finish()
        self._record_end(attempt, OUTCOME_ANSWERED, head.status, answer.framing)
        return True

    def _keep_failure(
        self, attempt: Attempt, relay: BufferedRelay | StreamRelay
    ) -> None:
        """Keeps the answer of a target that failed, if it may be passed on.

        It may not if it would promise that the request has not run.
        """
        head, buffered = attempt.head, relay.buffered
        if head is None or buffered is None:
            return
        if head.signed and head.status not in NOT_RUN_STATUSES:
            self._failure = _FailureAnswer(attempt, buffered)
            self._parts.kept.keep(self._kept_failure, buffered.kept_bytes)

    def _quarantine_status(self) -> QuarantineStatus:
        return self._parts.crashes.status(self._admitted.fingerprints)

    def _crash_refusal(self) -> RequestRefusedError:
        retry_s = self._quarantine_status().retry_after_s(self._parts.clock())
        return RequestRefusedError(REASON_CRASHES, retry_s, step="send")

    def _may_retry(self, *, in_progress: int = 0) -> bool:
        """Returns whether the request may be sent once more.

        Args:
            in_progress (int): Number of attempts that have not ended. Defaults
                to 0.
        """
        route, relay = self._admitted.route, self._relay
        if self._quarantine_status().is_quarantined:
            return False
        if relay is not None and not relay.may_be_replaced:
            return False
        attempts = self._executed_attempts + in_progress
        return route.repeatable and attempts < route.max_attempts

    def may_replace(self) -> bool:
        """Returns whether another target may take over the request now."""
        if self._not_executed > MAX_NOT_EXECUTED_RETRIES:
            return False
        may_retry = self._may_retry(in_progress=1) and self._has_budget()
        return may_retry and self._has_other_target()

    def may_take_over(self) -> bool:
        """Returns whether a target that was sent the request may serve it."""
        relay = self._relay
        assert relay is not None
        is_quarantined = self._quarantine_status().is_quarantined
        return relay.may_be_replaced and not is_quarantined

    def record_failed_takeover(self, attempt: Attempt) -> None:
        """Records that a target did not take over the request."""
        self._tried.add(attempt.target.id)
        if attempt.result is AttemptResult.NOT_EXECUTED:
            self._not_executed += 1
        self._record_attempt(attempt)
        self._readmit_target(attempt)

    def _has_other_target(self) -> bool:
        """Returns whether a target is left that may take over the request."""
        version, relay = None, self._relay
        if self._stream is not None:
            version = self._stream.version
            if isinstance(relay, StreamRelay) and relay.events:
                assert self._grant is not None
                version = self._grant.choice.target.version
        return self._parts.scheduling.has_target(
            self._admitted.service, self._tried, version
        )

    async def acquire_replacement(self) -> PlacedRequest:
        """Returns a grant of another target.

        Raises:
            RequestRefusedError: No other target has room.
        """
        grant, relay = self._grant, self._relay
        assert grant is not None and relay is not None
        self._bind_version(grant, relay)
        return await self._acquire_target(is_replacement=True)

    def spend_replacement(self) -> bool:
        """Spends a retry of the budget; returns whether that allowed it."""
        return self._spend_retry(AttemptResult.SILENT.value)

    def end_reason(self) -> str:
        """Returns why the request must not be begun any more, "" if it may."""
        if self._has_caller_left():
            return "the caller left"
        return "the router stops" if self._is_begun_too_late() else ""

    def _has_caller_left(self) -> bool:
        """Returns whether nobody waits for a request that no target has run."""
        answer = self._answer
        assert answer is not None
        return answer.closed() and not self._executed_attempts

    def _is_begun_too_late(self) -> bool:
        """Returns whether the router stops before a target has run it."""
        return not self._executed_attempts and self._is_too_late()

    def _has_budget(self) -> bool:
        parts = self._parts
        routers = parts.known_router_count()
        return self._budget.allows_retry(parts.clock(), routers)

    def _spend_retry(self, cause: str) -> bool:
        """Spends a retry of the budget; returns whether that allowed it.

        Args:
            cause (str): How the attempt before it ended.
        """
        parts = self._parts
        now, routers = parts.clock(), parts.known_router_count()
        allowed = self._budget.spend(now, routers)
        outcome = "allowed" if allowed else "withheld"
        name = cause.replace(" ", "_")
        parts.metrics.count(f"retry_{outcome}_{name}")
        log_retry_decided(
            self._admitted,
            cause,
            self._budget.usage(now, routers),
            allowed=allowed,
            routers=routers,
            age_s=now - parts.started_at,
        )
        return allowed

    def _record_attempt(self, attempt: Attempt) -> None:
        if (
            attempt.result not in _NOT_SENT_RESULTS
            and attempt.result is not AttemptResult.NOT_EXECUTED
        ):
            self._executed_attempts += 1
        if outcome_of(attempt) != cell_messages.OUTCOME_COMPLETED:
            self._parts.metrics.count(f"attempt_{attempt.result.name.lower()}")
            log_attempt_failed(self._admitted, attempt)

    def _end_without_target(
        self,
        answer: CallerResponse,
        last: Attempt | None,
        exc: RequestRefusedError,
    ) -> None:
        if answer.started or self._executed_attempts:
            assert last is not None
            self._fail(answer, last, 502, "no_target_left")
            return
        is_lost = exc.reason in (REASON_UNKNOWN_ORIGIN, REASON_VERSION_GONE)
        problem = Problem(
            503,
            "stream_lost" if is_lost else "overloaded",
            exc.reason,
            retry_after_s=exc.retry_after_s,
        )
        self._refuse(answer, problem)

    def _refuse_busy(self, answer: CallerResponse, attempt: Attempt) -> None:
        if self._executed_attempts:
            self._fail(answer, attempt, 502, "broken_answer")
            return
        detail = "Every target that was asked turned the request away."
        problem = Problem(503, "busy", detail, retry_after_s=MIN_SILENCE_S)
        self._refuse(answer, problem)

    def _refuse(self, answer: CallerResponse, problem: Problem) -> None:
        admitted = self._admitted
        self._statistics.record_unserved(admitted.req, admitted.team)
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
            size=self._statistics.size_class(admitted.req, admitted.route),
            objective_ms=to_ms(admitted.route.latency_objective_s),
            waited_ms=self._elapsed_ms(),
            resumes=admitted.req.resumes,
            last_event=admitted.req.last_event_id,
            retry_after_s=round(problem.retry_after_s, 2),
            waiting=self._parts.waiting_count(),
        )
        key = TotalKey(admitted.team, admitted.route.name)
        self._parts.totals.add(key, Total(refused=1))
        answer.refuse(problem)

    def _fail(
        self, answer: CallerResponse, attempt: Attempt, status: int, reason: str
    ) -> None:
        if self._failure is not None and not answer.started:
            self._pass_on_failure(self._failure, answer)
            return
        self._record_end(attempt, reason, status, answer.framing)
        if answer.started:
            answer.abort(CloseReason.RESPONSE_FAILED)
            return
        detail = "The target gave no whole answer; the request may have run."
        answer.refuse(Problem(status, reason, detail, EXECUTED_UNKNOWN))

    def _pass_on_failure(
        self, failure: _FailureAnswer, answer: CallerResponse
    ) -> None:
        """Sends the answer of a target that failed, as no other one came."""
        head = failure.attempt.head
        assert head is not None
        failure.relay.finish()
        self._record_end(
            failure.attempt, OUTCOME_ANSWERED, head.status, answer.framing
        )

    def _record_end(
        self,
        attempt: Attempt,
        outcome: str,
        status: int,
        framing: Framing = Framing.NONE,
    ) -> None:
        """Records how a request ended in the log, the metrics and the totals.

        Args:
            attempt (Attempt): Last attempt of the request.
            outcome (str): OUTCOME_ANSWERED, "caller_left", or the reason of the
                problem that the caller got. It is not one of the outcomes of an
                attempt in cell_messages.
            status (int): Status that the caller got, 0 if it disconnected.
            framing (Framing): What shows the caller where the body ends.
                Defaults to that of a response that was not begun.
        """
        admitted = self._admitted
        now = self._parts.clock()
        first_data_at = self._first_data_at or now
        metrics = self._parts.metrics
        team, route_name = admitted.team, admitted.route.name
        metrics.count(f"ended_{outcome}")
        self._add_total(outcome == OUTCOME_ANSWERED)
        metrics.record_duration(
            "total", team, route_name, now - admitted.req.received_at
        )
        metrics.record_duration(
            "first_byte",
            team,
            route_name,
            first_data_at - admitted.req.received_at,
        )
        size = self._statistics.size_class(admitted.req, admitted.route)
        end = RequestEnd(
            outcome,
            status,
            framing,
            self._executed_attempts,
            first_data_at,
            now,
            size,
        )
        log_request_ended(admitted, attempt, self._grant, end)

    def _add_total(self, answered: bool) -> None:
        admitted = self._admitted
        key = TotalKey(admitted.team, admitted.route.name)
        total = Total(unknown=1)
        if answered:
            prompt = admitted.req.prompt_tokens
            total = Total(
                answered=1,
                prompt_tokens=prompt,
                output_tokens=self._stream_events * self._event_tokens(),
            )
        self._parts.totals.add(key, total)

    def _elapsed_ms(self) -> int:
        return to_ms(self._parts.clock() - self._admitted.req.received_at)


def _shutdown_refusal() -> RequestRefusedError:
    return RequestRefusedError(
        "this router is leaving", LEAVING_RETRY_S, step="schedule"
    )


def _make_stream(
    admitted: AdmittedRequest, streams: StreamVersions
) -> StreamDemand | None:
    """Returns the resumable stream that a request begins or resumes.

    None for any other request. The version that began the stream is stated if
    this router knows it. A caller that does not name the attempt that began its
    stream resumes one of which nothing is known.
    """
    req, route = admitted.req, admitted.route
    if not (route.is_stream and route.repeatable):
        return None
    own_id = stream_id(req.id)
    if not (req.resumes or req.last_event_id):
        return StreamDemand(own_id)
    resumed_id = stream_id(req.resumes or req.id)
    version = streams.origins.version_of(resumed_id, admitted.service)
    return StreamDemand(own_id, resumed_id, version)
