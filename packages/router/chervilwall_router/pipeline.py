"""The path of a request: classify, admit, claim, schedule, relay, settle."""

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

from chervilwall_router.accounts import Accounts
from chervilwall_router.cell_host import CellHost
from chervilwall_router.claims import ClaimTable, HeldClaim
from chervilwall_router.holder import Holder
from chervilwall_router.problem import (
    EXECUTED_NO,
    EXECUTED_UNKNOWN,
    Problem,
)
from chervilwall_router.recording import RecordingSink
from chervilwall_router.refusal import RefusalLog, refused_problem
from chervilwall_router.settings import LimitSettings
from chervilwall_router.settlement import Settlement
from chervilwall_router.target_client import Attempt, TargetClient

LOG = logging.getLogger(__name__)
PLATFORM_RETRY_S = 5.0
RUNNING_RETRY_S = 2.0
NO_CONFIG_RETRY_S = 2.0
RECENT_REFUSALS = 256
REPLAYED_HEADER = "Idempotency-Replayed"

_RETRIABLE = (
    cell_messages.OUTCOME_BROKEN,
    cell_messages.OUTCOME_TIMEOUT,
    cell_messages.OUTCOME_UNKNOWN,
)


class _Ending(NamedTuple):
    """How the attempts of a request ended.

    Args:
        outcome (str): Outcome to count.
        attempt (Attempt | None): The last attempt, if any.
        problem (Problem | None): What to tell the caller, if not relayed.
        cut (bool): Whether the caller's answer broke off.
    """

    outcome: str
    attempt: Attempt | None = None
    problem: Problem | None = None
    cut: bool = False


class Pipeline:
    """Serve callers' requests, one filter after another.

    Args:
        limits (LimitSettings): Limits on callers.
        holder (Holder): Asks for grants.
        cells (CellHost): The cells of the configuration in force.
        claims (ClaimTable): Claims on idempotency keys.
        accounts (Accounts): Totals per team.
        quarantine (Quarantine): Requests that crashed targets.
        metrics (Metrics): Counters and histograms.
    """

    def __init__(
        self,
        limits: LimitSettings,
        *,
        holder: Holder,
        cells: CellHost,
        claims: ClaimTable,
        accounts: Accounts,
        quarantine: Quarantine,
        metrics: Metrics,
    ) -> None:
        self._limits = limits
        self._holder = holder
        self._cells = cells
        self._claims = claims
        self._accounts = accounts
        self._quarantine = quarantine
        self._metrics = metrics
        self._settlement = Settlement(holder, accounts)
        self._client = TargetClient(limits)
        self._budget = RetryBudget()
        self._config = Config()
        self._classifier = Classifier(self._config)
        self.refusals = RefusalLog()

    def __repr__(self) -> str:
        return f"Pipeline({self._holder!r})"

    def configure(self, config: Config) -> None:
        """Takes a new configuration in force."""
        self._config = config
        self._classifier = Classifier(config)
        self._settlement.configure(config)

    def new_request_id(self) -> str:
        """Returns an id under which operators can ask about a request."""
        return f"{self._accounts.incarnation}-{self._holder.next_id()}"

    def is_idempotent(self, req: CallerRequest) -> bool:
        """Tells whether a request may be dropped when its caller leaves."""
        found = self._classifier.classify(req)
        return isinstance(found, Classified) and found.cls.idempotent

    async def run(
        self, req: CallerRequest, sink: ResponseSink, request_id: str
    ) -> Problem | None:
        """Serves one request.

        Args:
            req (CallerRequest): The request.
            sink (ResponseSink): Where its answer goes.
            request_id (str): Its id.

        Returns:
            What to tell the caller, or None where the answer went to the
            sink.

        Raises:
            RelayInterruptedError: The answer broke off after its head was
                relayed.
        """
        self._metrics.count("requests")
        found = self._classify(req)
        if isinstance(found, Problem):
            self._metrics.count(f"rejected.{found.reason}")
            return found
        problem = self._admit(found)
        if problem is not None:
            self._settlement.count(found, cell_messages.OUTCOME_REFUSED)
        elif found.cls.idempotent:
            ending = await self._attempts(req, found, sink, None)
            problem = self._end(found, req, ending)
        else:
            problem = await self._run_once(req, found, sink)
        if problem is not None:
            self.refusals.note(found, problem, request_id)
        return problem

    def _classify(self, req: CallerRequest) -> Classified | Problem:
        if not self._config.teams:
            return Problem(
                503,
                "no_configuration",
                "No configuration is in force yet.",
                retry_after_s=NO_CONFIG_RETRY_S,
            )
        found = self._classifier.classify(req)
        if isinstance(found, ClassificationFault):
            return Problem(*found)
        return found

    def _admit(self, found: Classified) -> Problem | None:
        now = time.monotonic()
        if self._quarantine.is_refused(found.fingerprint, now):
            return refused_problem(
                scheduler.REASON_CRASHED_TARGETS,
                self._quarantine.retry_after_s(found.fingerprint, now),
                False,
            )
        held = self._holder.held_by(found.team.name)
        if held >= self._limits.max_held_per_team:
            return refused_problem(scheduler.REASON_QUEUE_FULL, 1.0, False)
        return None

    async def _run_once(
        self, req: CallerRequest, found: Classified, sink: ResponseSink
    ) -> Problem | None:
        try:
            held = await self._claims.take(found)
        except PlatformError:
            self._settlement.count(found, cell_messages.OUTCOME_REFUSED)
            return Problem(
                503,
                "cannot_claim",
                "The key could not be claimed; the request was not run.",
                retry_after_s=PLATFORM_RETRY_S,
            )
        if isinstance(held, ClaimView):
            return await self._answer_again(found, held, sink)
        copy = RecordingSink(sink)
        try:
            ending = await self._attempts(req, found, copy, held)
        except BaseException:
            self._claims.settle(held, None)
            raise
        if ending.outcome == cell_messages.OUTCOME_REFUSED:
            await self._claims.release(held)
        else:
            done = ending.attempt is not None and ending.attempt.relayed
            whole = done and not ending.cut
            self._claims.settle(held, copy.answer() if whole else None)
        return self._end(found, req, ending)

    async def _answer_again(
        self, found: Classified, view: ClaimView, sink: ResponseSink
    ) -> Problem | None:
        self._metrics.count(f"resent.{view.verdict}")
        if view.verdict == claim_lib.VERDICT_MISMATCH:
            detail = "The idempotency key belongs to another request."
            return Problem(422, "key_reused", detail)
        if view.answer is not None and view.answer.is_body_stored:
            headers = {
                "Content-Type": view.answer.content_type,
                REPLAYED_HEADER: "true",
            }
            sink.begin(view.answer.status, headers)
            await sink.write(view.answer.body)
            return None
        running = view.verdict == claim_lib.VERDICT_RUNNING
        return Problem(
            409,
            "already_claimed",
            "The request was sent before and may have run.",
            EXECUTED_UNKNOWN,
            RUNNING_RETRY_S if running else 0.0,
        )

    async def _attempts(
        self,
        req: CallerRequest,
        found: Classified,
        sink: ResponseSink,
        held: HeldClaim | None,
    ) -> _Ending:
        deadline = req.received_at + found.cls.deadline_s
        may_have_run = False
        exclude: tuple[str, ...] = ()
        for number in range(1, self._limits.max_attempts + 1):
            grant = await self._schedule(found, deadline, exclude)
            if isinstance(grant, Refuse):
                return _refused_ending(grant, may_have_run)
            attempt = await self._dispatch(req, found, sink, grant, held)
            may_have_run |= attempt.outcome != cell_messages.OUTCOME_NOT_SENT
            last = number == self._limits.max_attempts
            if last or not self._may_retry(found, attempt):
                return self._close(found, grant, attempt, may_have_run)
            self._settlement.report(found, grant, attempt, None)
            self._metrics.count("retries")
            exclude += (grant.target,)
        raise AssertionError("unreachable")

    async def _schedule(
        self, found: Classified, deadline: float, exclude: tuple[str, ...]
    ) -> Grant | Refuse:
        started = time.monotonic()
        cell = self._choose_cell(found.cls.service)
        if cell is None:
            reason = scheduler.REASON_NO_TARGET
            return Refuse(0, "", reason, NO_CONFIG_RETRY_S)
        enqueue = Enqueue(
            req_id=self._holder.next_id(),
            cell=cell,
            team=found.team.name,
            cls=found.cls.name,
            deadline_left_s=deadline - started,
            estimate=self._settlement.estimate(found),
            fingerprint=found.fingerprint,
            prefix=found.prefix,
            exclude=exclude,
        )
        grant = await self._holder.ask(enqueue)
        wait_s = time.monotonic() - started
        self._metrics.observe("wait", found.team.name, found.cls.name, wait_s)
        return grant

    def _choose_cell(self, service: str) -> str | None:
        """Returns the cell in which the fewest own requests wait.

        There is none where a new configuration has just taken the service.
        """
        cells = find_cells(self._cells.cells, service)
        if len(cells) < 2:
            return cells[0] if cells else None
        random.shuffle(cells)
        return min(cells, key=self._holder.waiting_in)

    async def _dispatch(
        self,
        req: CallerRequest,
        found: Classified,
        sink: ResponseSink,
        grant: Grant,
        held: HeldClaim | None,
    ) -> Attempt:
        target = self._cells.target(grant.target)
        now = time.monotonic()
        if target is None:
            return Attempt(
                cell_messages.OUTCOME_NOT_SENT, reason="target removed"
            )
        if held and not claim_lib.may_dispatch(held.claimed_at, now):
            return Attempt(
                cell_messages.OUTCOME_NOT_SENT, reason="claim too old"
            )
        own = self._cells.is_own(grant.cell)
        if own:
            self._settlement.count(found, STARTED)
        try:
            attempt = await self._client.attempt(
                target, req, sink, may_retry=found.cls.idempotent
            )
        except BaseException:
            attempt = Attempt(
                cell_messages.OUTCOME_CANCELLED, reason="cancelled"
            )
            self._settlement.report(
                found,
                grant,
                attempt,
                self._settlement.count_end(found, attempt),
            )
            raise
        finally:
            if own:
                self._settlement.count(found, FINISHED)
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

    def _may_retry(self, found: Classified, attempt: Attempt) -> bool:
        if attempt.outcome == cell_messages.OUTCOME_NOT_SENT:
            return True
        if not found.cls.idempotent or attempt.relayed:
            return False
        return attempt.outcome in _RETRIABLE and self._budget.try_spend()

    def _close(
        self,
        found: Classified,
        grant: Grant,
        attempt: Attempt,
        may_have_run: bool,
    ) -> _Ending:
        row = self._settlement.count_end(found, attempt, may_have_run)
        self._settlement.report(found, grant, attempt, row)
        if attempt.outcome == cell_messages.OUTCOME_COMPLETED:
            self._budget.record_success()
            return _Ending(attempt.outcome, attempt)
        if attempt.relayed:
            whole = attempt.outcome == cell_messages.OUTCOME_UNKNOWN
            return _Ending(
                cell_messages.OUTCOME_UNKNOWN, attempt, cut=not whole
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
            RUNNING_RETRY_S,
        )
        return _Ending(outcome, attempt, problem)

    def _end(
        self, found: Classified, req: CallerRequest, ending: _Ending
    ) -> Problem | None:
        team, cls = found.team.name, found.cls.name
        if ending.attempt is None:
            self._settlement.count(found, ending.outcome)
        elif ending.attempt.first_byte_s >= 0:
            self._metrics.observe(
                "first_byte", team, cls, ending.attempt.first_byte_s
            )
        total_s = time.monotonic() - req.received_at
        self._metrics.observe("total", team, cls, total_s)
        self._metrics.count(f"ended.{ending.outcome}")
        if ending.cut:
            raise RelayInterruptedError(
                ending.attempt.reason if ending.attempt else "",
                step="relay",
            )
        return ending.problem


def _refused_ending(refuse: Refuse, may_have_run: bool) -> _Ending:
    problem = refused_problem(refuse.reason, refuse.retry_after_s, may_have_run)
    outcome = (
        cell_messages.OUTCOME_UNKNOWN
        if may_have_run
        else cell_messages.OUTCOME_REFUSED
    )
    return _Ending(outcome, None, problem)
