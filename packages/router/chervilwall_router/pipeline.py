"""Processing of a request: classify, admit, claim, schedule, relay, account.

In this module, a caller repeats a request when it sends it again, and a router
retries a request when it starts another attempt.
"""

import logging
import random
import time
from typing import NamedTuple

from chervilwall import cell_messages, events, scheduler
from chervilwall import claim as claim_lib
from chervilwall.cell_messages import (
    Enqueue,
    Grant,
    Refuse,
)
from chervilwall.cells import find_cells
from chervilwall.claim import ClaimView
from chervilwall.classify import (
    CallerRequest,
    ClassificationFault,
    Classified,
    Classifier,
)
from chervilwall.config import Config
from chervilwall.errors import PlatformError, RelayInterruptedError
from chervilwall.ledger import FINISHED, STARTED
from chervilwall.protocol import Metrics, ResponseSink
from chervilwall.quarantine import Quarantine
from chervilwall.retry_budget import RetryBudget

from chervilwall_router.accounting import Settlement
from chervilwall_router.cell_host import CellHost
from chervilwall_router.claims import ClaimTable, OwnClaim
from chervilwall_router.holder import RequestHolder
from chervilwall_router.problem import (
    EXECUTED_NO,
    EXECUTED_UNKNOWN,
    Problem,
)
from chervilwall_router.recording_sink import RecordingSink
from chervilwall_router.refusals import RefusalLog, refusal_problem
from chervilwall_router.settings import LimitSettings
from chervilwall_router.target_client import Attempt, TargetClient
from chervilwall_router.usage_counters import UsageCounters

LOG = logging.getLogger(__name__)
PLATFORM_RETRY_S = 5.0
REPEAT_RETRY_S = 2.0
NO_CONFIG_RETRY_S = 2.0
REPLAYED_HEADER = "Idempotency-Replayed"

_RETRYABLE_OUTCOMES = (
    cell_messages.OUTCOME_BROKEN,
    cell_messages.OUTCOME_TIMEOUT,
    cell_messages.OUTCOME_UNKNOWN,
)


class _RequestResult(NamedTuple):
    """Result of all attempts of a request.

    Args:
        outcome (str): One of the OUTCOME constants of `cell_messages`, for
            accounting and metrics.
        attempt (Attempt | None): The last attempt, if any.
        problem (Problem | None): Problem details for the caller, None if a
            response was relayed.
        truncated (bool): Whether a response was relayed only in part.
    """

    outcome: str
    attempt: Attempt | None = None
    problem: Problem | None = None
    truncated: bool = False


class Pipeline:
    """Process requests of callers, from classification to accounting.

    Args:
        limits (LimitSettings): Limits per team and per request, and timeouts.
        holder (RequestHolder): Requests grants from schedulers.
        cells (CellHost): Cells of the current configuration. A cell is a group
            of targets of one service that one router schedules.
        claims (ClaimTable): Claims idempotency keys.
        usage_counters (UsageCounters): Counts usage per team.
        quarantine (Quarantine): Requests that crashed targets.
        metrics (Metrics): Receives counters and timings.
    """

    def __init__(
        self,
        limits: LimitSettings,
        *,
        holder: RequestHolder,
        cells: CellHost,
        claims: ClaimTable,
        usage_counters: UsageCounters,
        quarantine: Quarantine,
        metrics: Metrics,
    ) -> None:
        self._limits = limits
        self._holder = holder
        self._cells = cells
        self._claims = claims
        self._usage_counters = usage_counters
        self._quarantine = quarantine
        self._metrics = metrics
        self._settlement = Settlement(holder, usage_counters)
        self._target_client = TargetClient(limits)
        self._retry_budget = RetryBudget()
        self._config = Config()
        self._classifier = Classifier(self._config)
        self.refusals = RefusalLog()

    def __repr__(self) -> str:
        return f"Pipeline({self._holder!r})"

    def configure(self, config: Config) -> None:
        """Applies a new configuration."""
        self._config = config
        self._classifier = Classifier(config)
        self._settlement.configure(config)

    def new_request_id(self) -> str:
        """Returns an id for a request, by which operators can look it up."""
        return f"{self._usage_counters.incarnation}-{self._holder.next_id()}"

    def is_idempotent(self, req: CallerRequest) -> bool:
        """Returns whether a request is idempotent, False if it is invalid."""
        classified = self._classifier.classify(req)
        return isinstance(classified, Classified) and classified.cls.idempotent

    async def run(
        self, req: CallerRequest, sink: ResponseSink, request_id: str
    ) -> Problem | None:
        """Processes a request.

        Args:
            req (CallerRequest): The request.
            sink (ResponseSink): Receives the response of the target.
            request_id (str): Id from `new_request_id`.

        Returns:
            Problem details for the caller, or None if a response was passed to
            the sink.

        Raises:
            RelayInterruptedError: The response ended early, after its head was
                passed to the sink.
        """
        self._metrics.count("requests")
        classified = self._classify(req)
        if isinstance(classified, Problem):
            self._metrics.count(f"rejected.{classified.reason}")
            return classified
        problem = self._admit(classified)
        if problem is not None:
            self._settlement.count(classified, cell_messages.OUTCOME_REFUSED)
        elif classified.cls.idempotent:
            result = await self._run_attempts(req, classified, sink, None)
            problem = self._finish_request(classified, req, result)
        else:
            problem = await self._run_claimed(req, classified, sink)
        if problem is not None:
            self.refusals.record(classified, problem, request_id)
        return problem

    def _classify(self, req: CallerRequest) -> Classified | Problem:
        if not self._config.teams:
            return Problem(
                503,
                "no_configuration",
                "No configuration is in force yet.",
                retry_after_s=NO_CONFIG_RETRY_S,
            )
        classified = self._classifier.classify(req)
        if isinstance(classified, ClassificationFault):
            return Problem(*classified)
        return classified

    def _admit(self, classified: Classified) -> Problem | None:
        now = time.monotonic()
        if self._quarantine.is_refused(classified.fingerprint, now):
            return refusal_problem(
                scheduler.REASON_CRASHED_TARGETS,
                self._quarantine.retry_after_s(classified.fingerprint, now),
                False,
            )
        held_count = self._holder.count_by_team(classified.team.name)
        if held_count >= self._limits.max_held_per_team:
            return refusal_problem(scheduler.REASON_QUEUE_FULL, 1.0, False)
        return None

    async def _run_claimed(
        self, req: CallerRequest, classified: Classified, sink: ResponseSink
    ) -> Problem | None:
        try:
            claim = await self._claims.acquire(classified)
        except PlatformError:
            self._settlement.count(classified, cell_messages.OUTCOME_REFUSED)
            return Problem(
                503,
                "cannot_claim",
                "The key could not be claimed; the request was not run.",
                retry_after_s=PLATFORM_RETRY_S,
            )
        if isinstance(claim, ClaimView):
            return await self._respond_to_repeat(classified, claim, sink)
        recorder = RecordingSink(sink)
        try:
            result = await self._run_attempts(req, classified, recorder, claim)
        except BaseException:
            self._claims.record_result(claim, None)
            raise
        if result.outcome == cell_messages.OUTCOME_REFUSED:
            await self._claims.release(claim)
        else:
            relayed = result.attempt is not None and result.attempt.relayed
            complete = relayed and not result.truncated
            self._claims.record_result(
                claim, recorder.answer() if complete else None
            )
        return self._finish_request(classified, req, result)

    async def _respond_to_repeat(
        self, classified: Classified, claim_view: ClaimView, sink: ResponseSink
    ) -> Problem | None:
        """Answers a request whose idempotency key is already claimed."""
        self._metrics.count(f"resent.{claim_view.verdict}")
        if claim_view.verdict == claim_lib.VERDICT_MISMATCH:
            detail = "The idempotency key belongs to another request."
            return Problem(422, "key_reused", detail)
        if claim_view.answer is not None and claim_view.answer.is_body_stored:
            headers = {
                "Content-Type": claim_view.answer.content_type,
                REPLAYED_HEADER: "true",
            }
            sink.begin(claim_view.answer.status, headers)
            await sink.write(claim_view.answer.body)
            return None
        running = claim_view.verdict == claim_lib.VERDICT_RUNNING
        return Problem(
            409,
            "already_claimed",
            "The request was sent before and may have run.",
            EXECUTED_UNKNOWN,
            REPEAT_RETRY_S if running else 0.0,
        )

    async def _run_attempts(
        self,
        req: CallerRequest,
        classified: Classified,
        sink: ResponseSink,
        claim: OwnClaim | None,
    ) -> _RequestResult:
        deadline = req.received_at + classified.cls.deadline_s
        may_have_run = False
        exclude: tuple[str, ...] = ()
        for attempt_number in range(1, self._limits.max_attempts + 1):
            grant = await self._schedule(classified, deadline, exclude)
            if isinstance(grant, Refuse):
                return _refused_result(grant, may_have_run)
            attempt = await self._run_attempt(
                req, classified, sink, grant, claim
            )
            may_have_run |= (
                attempt.outcome not in cell_messages.OUTCOMES_NOT_RUN
            )
            is_last = attempt_number == self._limits.max_attempts
            if is_last or not self._may_retry(classified, attempt):
                return self._finish_attempts(
                    classified, grant, attempt, may_have_run
                )
            self._settlement.report(classified, grant, attempt, None)
            self._metrics.count("retries")
            exclude += (grant.target,)
        raise AssertionError("unreachable")

    async def _schedule(
        self, classified: Classified, deadline: float, exclude: tuple[str, ...]
    ) -> Grant | Refuse:
        started = time.monotonic()
        cell = self._choose_cell(classified.cls.service)
        if cell is None:
            reason = scheduler.REASON_NO_TARGET
            return Refuse(0, "", reason, NO_CONFIG_RETRY_S)
        enqueue = Enqueue(
            req_id=self._holder.next_id(),
            cell=cell,
            team=classified.team.name,
            cls=classified.cls.name,
            deadline_left_s=deadline - started,
            estimate=self._settlement.estimate(classified),
            fingerprint=classified.fingerprint,
            prefix=classified.prefix,
            exclude=exclude,
        )
        grant = await self._holder.request_grant(enqueue)
        wait_s = time.monotonic() - started
        self._metrics.record_duration(
            "wait", classified.team.name, classified.cls.name, wait_s
        )
        return grant

    def _choose_cell(self, service: str) -> str | None:
        """Returns the cell in which the fewest requests of this router wait.

        Returns None if the service is missing from the current configuration,
        which can happen right after the configuration changed.
        """
        cells = find_cells(self._cells.cells, service)
        if len(cells) < 2:
            return cells[0] if cells else None
        random.shuffle(cells)
        return min(cells, key=self._holder.count_waiting)

    async def _run_attempt(
        self,
        req: CallerRequest,
        classified: Classified,
        sink: ResponseSink,
        grant: Grant,
        claim: OwnClaim | None,
    ) -> Attempt:
        target = self._cells.target(grant.target)
        now = time.monotonic()
        if target is None:
            return Attempt(
                cell_messages.OUTCOME_REFUSED,
                reason="target is no longer configured",
            )
        if claim and not claim_lib.may_dispatch(claim.claimed_at, now):
            return Attempt(
                cell_messages.OUTCOME_REFUSED,
                reason="claim is too old to send the request",
            )
        is_scheduled_here = self._cells.is_scheduled_here(grant.cell)
        if is_scheduled_here:
            self._settlement.count(classified, STARTED)
        try:
            attempt = await self._target_client.send(
                target, req, sink, may_retry=classified.cls.idempotent
            )
        except BaseException:
            attempt = Attempt(
                cell_messages.OUTCOME_CANCELLED, reason="cancelled"
            )
            self._settlement.report(
                classified,
                grant,
                attempt,
                self._settlement.count_ended(classified, attempt),
            )
            raise
        finally:
            if is_scheduled_here:
                self._settlement.count(classified, FINISHED)
        if attempt.outcome != cell_messages.OUTCOME_COMPLETED:
            events.log_event(
                LOG,
                events.ATTEMPT_FAILED,
                step="relay",
                peer=grant.target,
                outcome=attempt.outcome,
                reason=attempt.reason,
            )
        return attempt

    def _may_retry(self, classified: Classified, attempt: Attempt) -> bool:
        if attempt.outcome in cell_messages.OUTCOMES_NOT_RUN:
            return True
        if not classified.cls.idempotent or attempt.relayed:
            return False
        return (
            attempt.outcome in _RETRYABLE_OUTCOMES
            and self._retry_budget.try_spend()
        )

    def _finish_attempts(
        self,
        classified: Classified,
        grant: Grant,
        attempt: Attempt,
        may_have_run: bool,
    ) -> _RequestResult:
        row = self._settlement.count_ended(classified, attempt, may_have_run)
        self._settlement.report(classified, grant, attempt, row)
        if attempt.outcome == cell_messages.OUTCOME_COMPLETED:
            self._retry_budget.record_success()
            return _RequestResult(attempt.outcome, attempt)
        if attempt.relayed:
            # After a relay, OUTCOME_UNKNOWN means that a complete server error
            # was relayed.
            complete = attempt.outcome == cell_messages.OUTCOME_UNKNOWN
            return _RequestResult(
                cell_messages.OUTCOME_UNKNOWN, attempt, truncated=not complete
            )
        executed = EXECUTED_UNKNOWN if may_have_run else EXECUTED_NO
        outcome = (
            cell_messages.OUTCOME_UNKNOWN
            if may_have_run
            else cell_messages.OUTCOME_REFUSED
        )
        problem = Problem(
            502,
            "target_failed",
            "No target gave a whole answer.",
            executed,
            REPEAT_RETRY_S,
        )
        return _RequestResult(outcome, attempt, problem)

    def _finish_request(
        self, classified: Classified, req: CallerRequest, result: _RequestResult
    ) -> Problem | None:
        team, cls = classified.team.name, classified.cls.name
        if result.attempt is None:
            self._settlement.count(classified, result.outcome)
        elif result.attempt.first_byte_s >= 0:
            self._metrics.record_duration(
                "first_byte", team, cls, result.attempt.first_byte_s
            )
        total_s = time.monotonic() - req.received_at
        self._metrics.record_duration("total", team, cls, total_s)
        self._metrics.count(f"ended.{result.outcome}")
        if result.truncated:
            raise RelayInterruptedError(
                result.attempt.reason if result.attempt else "",
                step="relay",
            )
        return result.problem


def _refused_result(refuse: Refuse, may_have_run: bool) -> _RequestResult:
    problem = refusal_problem(refuse.reason, refuse.retry_after_s, may_have_run)
    outcome = (
        cell_messages.OUTCOME_UNKNOWN
        if may_have_run
        else cell_messages.OUTCOME_REFUSED
    )
    return _RequestResult(outcome, None, problem)
