"""A single attempt to run a request on a target."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import NamedTuple, Protocol

from chervilwall import cell_messages
from chervilwall.errors import RequestRefusedError
from chervilwall.registry import RegisteredTarget
from chervilwall.takeover import Takeover, TakeoverState, decide_takeover

from chervilwall_router.edge.crash_evidence import WatchedAttempt
from chervilwall_router.edge.exchange import Ending, Exchange
from chervilwall_router.edge.held_answer import HeldAnswer
from chervilwall_router.edge.relay import BufferedRelay, StreamRelay, may_relay
from chervilwall_router.edge.request_types import (
    AdmittedRequest,
    Attempt,
    AttemptResult,
    RequestContext,
    outcome_of,
)
from chervilwall_router.edge.scheduling import PlacedRequest
from chervilwall_router.edge.sent_attempt import AttemptSender, SentAttempt

# An attempt that may be retried is abandoned after too long a silence of its
# target, once another target has room. The limit is the largest of
# MIN_SILENCE_S and the multiples below.
# For a stream, silence is the time since the last event, or since the start of
# the attempt before the first event. For any other response, it is the time
# since the start of the attempt.
MIN_SILENCE_S = 1.0
# Multiple of the latency objective.
SILENCE_OBJECTIVE_FACTOR = 2.0
# Multiple of the maximum gap between events, if the route specifies one. If
# so, only this multiple and MIN_SILENCE_S apply from the first event on.
SILENCE_GAP_FACTOR = 5.0
# Multiple of the predicted time to the first token. Without it, an attempt with
# a long prompt would be abandoned while the target reads the prompt.
SILENCE_PREDICTION_FACTOR = 4.0
# Interval of checks for an event of a silent target while another one is asked
# for.
PROGRESS_INTERVAL_S = 0.05
# Results after which the attempt is no evidence that the target crashed.
_NO_CRASH_EVIDENCE = frozenset(
    (
        AttemptResult.ANSWERED,
        AttemptResult.NOT_EXECUTED,
        AttemptResult.NOT_SENT,
        AttemptResult.WITHDRAWN,
    )
)


class Replacements(Protocol):
    """Find another target for a request whose target is silent."""

    def may_replace(self) -> bool:
        """Returns whether another target may take over the request now."""
        ...

    async def acquire_replacement(self) -> PlacedRequest:
        """Returns a grant of another target.

        Raises:
            RequestRefusedError: No other target has room.
        """
        ...

    def spend_replacement(self) -> bool:
        """Spends a retry of the budget; returns whether that allowed it."""
        ...

    def end_reason(self) -> str:
        """Returns why the request must not be begun any more, "" if it may."""
        ...

    def may_take_over(self) -> bool:
        """Returns whether a target that was sent the request may serve it."""
        ...

    def record_failed_takeover(self, attempt: Attempt) -> None:
        """Records that a target did not take over the request."""
        ...


class _Replacement(NamedTuple):
    """Target that takes over the request of a silent one.

    Args:
        grant (PlacedRequest): Its grant.
        sent (SentAttempt): The attempt in progress on it.
        answer (HeldAnswer): The beginning of its answer.
    """

    grant: PlacedRequest
    sent: SentAttempt
    answer: HeldAnswer


class AttemptRunner:
    """Send a request to a target and supervise its answer.

    Args:
        parts (RequestContext): Dependencies.
        admitted (AdmittedRequest): Request to send.
        replacements (Replacements): Finds a target in place of a silent one.
    """

    def __init__(
        self,
        parts: RequestContext,
        admitted: AdmittedRequest,
        replacements: Replacements,
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._replacements = replacements
        self._sender = AttemptSender(parts, admitted)
        self._grant: PlacedRequest | None = None
        self._silent_bytes = 0
        self._replacement: _Replacement | None = None

    def __repr__(self) -> str:
        return f"AttemptRunner(request={self._admitted.req.id!r})"

    @property
    def replacement(self) -> PlacedRequest | None:
        """Grant of the target that takes over from that of the last attempt.

        The next run() must be with this grant. None unless the last result was
        SILENT.
        """
        return self._replacement.grant if self._replacement else None

    def close(self) -> None:
        """Ends an attempt that took over and was not run to its end."""
        if self._replacement is not None:
            with self._replacement.sent:
                self._replacement = None

    async def run(
        self, grant: PlacedRequest, relay: BufferedRelay | StreamRelay
    ) -> Attempt:
        """Runs one attempt to its end.

        Args:
            grant (PlacedRequest): Target that the scheduler granted to the
                request.
            relay (BufferedRelay | StreamRelay): Receives the answer.

        Returns:
            The attempt with its result.
        """
        self._grant = grant
        self._silent_bytes = 0
        replacement, self._replacement = self._replacement, None
        if replacement is not None:
            sent = replacement.sent
            sent.release(replacement.answer, relay)
        else:
            outcome = await self._sender.send(
                grant,
                relay,
                last_event_id=lambda: relay.last_event_id,
                withdrawal_reason=self._replacements.end_reason,
            )
            if isinstance(outcome, Attempt):
                return outcome
            sent = outcome
        exchange, watched, target = sent.exchange, sent.watched, sent.target
        crashes = self._parts.crashes
        with sent:
            result = await self._supervise(sent, relay)
            if (
                result is AttemptResult.ANSWERED
                and exchange.ending is Ending.CLOSED
                and not await self._confirm(target, watched)
            ):
                exchange.reason = "target ended with its answer"
                result = AttemptResult.BROKEN
            watched.answered = result in _NO_CRASH_EVIDENCE
        partial_bytes = relay.partial_bytes
        if result is AttemptResult.BROKEN:
            relay.discard()
            examined = crashes.examine(target, watched)
            # Wait for the verdict before a retry: a crash may quarantine the
            # request, which rules out a retry. Otherwise nothing depends on
            # the verdict.
            if self._replacements.may_replace():
                await asyncio.wait((examined,), timeout=self._left_s())
        attempt = Attempt(
            result,
            target,
            exchange.head,
            exchange.reason,
            exchange.ending,
            partial_bytes,
            relay.last_event_id,
            tuple(exchange.skipped),
            relay.sent_bytes,
            self._silent_bytes,
        )
        if outcome_of(attempt) == cell_messages.OUTCOME_COMPLETED:
            crashes.record_success(self._admitted.fingerprints)
        return attempt

    async def _confirm(
        self, target: RegisteredTarget, watched: WatchedAttempt
    ) -> bool:
        """Returns whether a target is known in time to outlive its answer."""
        try:
            async with asyncio.timeout(self._left_s()):
                return await self._parts.crashes.confirm_serving(
                    target, watched
                )
        except TimeoutError:
            return False

    def _left_s(self) -> float:
        return max(0.0, self._admitted.deadline_at - self._parts.clock())

    async def _supervise(
        self, sent: SentAttempt, relay: BufferedRelay | StreamRelay
    ) -> AttemptResult:
        """Waits for the end of an attempt; returns its result."""
        exchange = sent.exchange
        if await self._wait_for_end(
            sent.work, relay, lambda: exchange.is_paused
        ):
            return self._classify(exchange, relay)
        is_replaced = self._replacement is not None
        return AttemptResult.SILENT if is_replaced else AttemptResult.TIMED_OUT

    async def _wait_for_end(
        self,
        work: "asyncio.Future[None]",
        relay: BufferedRelay | StreamRelay,
        is_paused: Callable[[], bool],
    ) -> bool:
        """Waits until the exchange ends or is abandoned.

        It is abandoned after the deadline of the request or, if the request
        may be retried, after too long a silence of the target, as soon as
        another target has room. Time in which this router reads nothing is no
        silence of the target.

        Args:
            work (asyncio.Future): Done when the exchange ends.
            relay (BufferedRelay | StreamRelay): Receives the answer.
            is_paused (Callable): Returns whether reading is paused.

        Returns:
            Whether the exchange has ended.
        """
        admitted = self._admitted
        clock = self._parts.clock
        last_events, last_progress_at = -1, clock()
        while True:
            now = clock()
            event_count = getattr(relay, "events", 0)
            if event_count != last_events or is_paused():
                last_events, last_progress_at = event_count, now
            if now >= admitted.deadline_at:
                return False
            # Whether the request may be retried can change meanwhile.
            pause_s = min(admitted.deadline_at - now, MIN_SILENCE_S)
            if self._replacements.may_replace():
                max_silence_s = self._max_silence_s(event_count > 0)
                left_s = last_progress_at + max_silence_s - now
                if left_s > 0:
                    pause_s = min(pause_s, left_s)
                elif await self._find_replacement(work, relay, is_paused):
                    return False
                else:
                    left_s = max(0.0, admitted.deadline_at - clock())
                    pause_s = min(left_s, MIN_SILENCE_S)
            done, _ = await asyncio.wait((work,), timeout=pause_s)
            if done:
                return True

    async def _find_replacement(
        self,
        work: "asyncio.Future[None]",
        relay: BufferedRelay | StreamRelay,
        is_paused: Callable[[], bool],
    ) -> bool:
        """Asks for another target while the current one may be replaced.

        The search ends once the current target goes on, or once its answer
        can no longer be replaced, such as after a part of it was sent.

        Returns:
            Whether another target takes over; a retry was spent for it.
        """
        assert self._grant is not None
        self._grant.record_silence()
        self._silent_bytes = relay.sent_bytes
        event_count = getattr(relay, "events", 0)

        def is_silent() -> bool:
            has_event = getattr(relay, "events", 0) != event_count
            return not (work.done() or has_event or is_paused())

        while True:
            grant = await self._search(work, is_silent)
            if grant is None:
                return False
            if await self._try_takeover(grant, work, relay, is_silent):
                return True
            # A target that refused says nothing about the next one, and the
            # silent one may never go on.

    async def _search(
        self, work: "asyncio.Future[None]", is_silent: Callable[[], bool]
    ) -> PlacedRequest | None:
        """Asks for another target.

        Args:
            work (asyncio.Future): Done when the exchange with the current
                target ends.
            is_silent (Callable): Returns whether that is still silent.

        Returns:
            The grant, for which a retry was spent, or None if there is none or
            it is not needed any more.
        """
        asking = asyncio.ensure_future(self._replacements.acquire_replacement())
        grant: PlacedRequest | None = None
        try:
            while is_silent() and self._replacements.may_replace():
                if asking.done():
                    grant = self._take_replacement(asking)
                    break
                await asyncio.wait(
                    (work, asking),
                    timeout=PROGRESS_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            if grant is None:
                asking.cancel()
                asking.add_done_callback(_release_grant)
        return grant

    async def _try_takeover(
        self,
        grant: PlacedRequest,
        work: "asyncio.Future[None]",
        relay: BufferedRelay | StreamRelay,
        is_silent: Callable[[], bool],
    ) -> bool:
        """Sends the request to a second target while the first one keeps it.

        The first one goes on with it unless the second one takes over.

        Args:
            grant (PlacedRequest): Grant of the second target.
            work (asyncio.Future): Done when the exchange with the first ends.
            relay (BufferedRelay | StreamRelay): Receives its answer.
            is_silent (Callable): Returns whether the first one is still silent.

        Returns:
            Whether the second target takes over.
        """
        answer = HeldAnswer()
        sending = asyncio.ensure_future(
            self._sender.send(
                grant,
                answer,
                last_event_id=lambda: relay.last_event_id,
                withdrawal_reason=lambda: (
                    "" if is_silent() else "the silent target goes on"
                ),
            )
        )
        with contextlib.ExitStack() as cleanup:
            cleanup.enter_context(grant)
            cleanup.callback(_release_sent, sending)
            await asyncio.wait(
                (sending, work), return_when=asyncio.FIRST_COMPLETED
            )
            if not sending.done():
                return False
            sent = sending.result()
            if isinstance(sent, SentAttempt):
                decision = await self._await_takeover(
                    sent, answer, work, is_silent
                )
                if decision is Takeover.TAKEN:
                    self._replacement = _Replacement(grant, sent, answer)
                    cleanup.pop_all()
                    return True
                attempt = self._end_takeover(sent, answer, decision)
            else:
                attempt = sent
            grant.outcome = outcome_of(attempt)
            self._replacements.record_failed_takeover(attempt)
        return False

    async def _await_takeover(
        self,
        sent: SentAttempt,
        answer: HeldAnswer,
        work: "asyncio.Future[None]",
        is_silent: Callable[[], bool],
    ) -> Takeover:
        """Waits until it is decided which of two targets keeps the request."""
        clock = self._parts.clock
        sent_at = clock()
        while True:
            is_needed = is_silent() and self._replacements.may_take_over()
            state = TakeoverState(
                is_needed=is_needed and self._left_s() > 0.0,
                head=answer.head,
                has_ended=sent.work.done(),
                is_complete=sent.exchange.is_complete,
                elapsed_s=clock() - sent_at,
            )
            decision = decide_takeover(state)
            if decision is not Takeover.UNDECIDED:
                return decision
            waited_for = [work, sent.work]
            if answer.head is None:
                waited_for.append(answer.arrival)
            await asyncio.wait(
                waited_for,
                timeout=min(PROGRESS_INTERVAL_S, self._left_s()),
                return_when=asyncio.FIRST_COMPLETED,
            )

    def _end_takeover(
        self, sent: SentAttempt, answer: HeldAnswer, decision: Takeover
    ) -> Attempt:
        """Ends an attempt on a target that does not take over; returns it."""
        exchange, head = sent.exchange, answer.head
        result = AttemptResult.BROKEN
        if decision is Takeover.NOT_NEEDED:
            result = AttemptResult.NOT_NEEDED
            exchange.reason = "the silent target goes on"
        elif exchange.is_complete and head is not None and may_relay(head):
            result = AttemptResult.ANSWERED
            if head.not_executed:
                result = AttemptResult.NOT_EXECUTED
        with sent:
            sent.watched.answered = result in _NO_CRASH_EVIDENCE
        if result is AttemptResult.BROKEN:
            self._parts.crashes.examine(sent.target, sent.watched)
        return Attempt(
            result,
            sent.target,
            exchange.head,
            exchange.reason,
            exchange.ending,
            skipped=tuple(exchange.skipped),
        )

    def _take_replacement(
        self, asking: "asyncio.Future[PlacedRequest]"
    ) -> PlacedRequest | None:
        """Returns a grant that was asked for, if a retry may be spent on it."""
        try:
            grant = asking.result()
        except RequestRefusedError:
            return None
        return grant if self._replacements.spend_replacement() else None

    def _max_silence_s(self, has_begun: bool) -> float:
        route = self._admitted.route
        if has_begun and route.max_gap_s:
            return max(MIN_SILENCE_S, SILENCE_GAP_FACTOR * route.max_gap_s)
        predicted_s = 0.0
        if self._grant is not None:
            predicted_s = self._grant.choice.first_token_s
        return max(
            MIN_SILENCE_S,
            SILENCE_OBJECTIVE_FACTOR * route.latency_objective_s,
            SILENCE_PREDICTION_FACTOR * predicted_s,
        )

    def _classify(
        self, exchange: Exchange, relay: BufferedRelay | StreamRelay
    ) -> AttemptResult:
        head = exchange.head
        if not exchange.is_complete or head is None:
            return AttemptResult.BROKEN
        if head.not_executed:
            return AttemptResult.NOT_EXECUTED
        if not may_relay(head):
            exchange.reason = "success response is unsigned or encoded"
            return AttemptResult.BROKEN
        exchange.reason = relay.find_fault(
            is_framed=exchange.ending is Ending.FRAMED
        )
        if exchange.reason:
            return AttemptResult.BROKEN
        return AttemptResult.ANSWERED


def _release_grant(asking: "asyncio.Future[PlacedRequest]") -> None:
    """Ends a grant that was asked for and is not used."""
    if not asking.cancelled() and asking.exception() is None:
        with asking.result():
            pass


def _release_sent(
    sending: "asyncio.Future[SentAttempt | Attempt]",
) -> None:
    """Ends the sending of a request, and the attempt if it was sent."""
    sending.cancel()
    sending.add_done_callback(_end_sent)


def _end_sent(sending: "asyncio.Future[SentAttempt | Attempt]") -> None:
    if sending.cancelled() or sending.exception() is not None:
        return
    sent = sending.result()
    if isinstance(sent, SentAttempt):
        with sent:
            pass
