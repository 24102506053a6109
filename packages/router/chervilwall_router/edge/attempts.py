"""A single attempt to run a request on a target."""

import asyncio
import math
from collections.abc import Callable
from typing import Protocol

from chervilwall import cell_messages
from chervilwall.errors import DialError, RequestRefusedError
from chervilwall.http_messages import ResponseHead
from chervilwall.quarantine_status import QuarantineStatus
from chervilwall.registry import RegisteredTarget

from chervilwall_router.edge.connections import max_idle_connections
from chervilwall_router.edge.crash_evidence import WatchedAttempt
from chervilwall_router.edge.exchange import Ending, Exchange
from chervilwall_router.edge.relay import BufferedRelay, StreamRelay, may_relay
from chervilwall_router.edge.request_types import (
    AdmittedRequest,
    Attempt,
    AttemptResult,
    RequestContext,
    outcome_of,
)
from chervilwall_router.edge.scheduling import PlacedRequest
from chervilwall_router.edge.target_connection import TargetConnection

# Seconds subtracted from the time limit sent to a target, so that its response
# arrives before the caller's limit.
RETURN_MARGIN_S = 0.01
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


class AttemptRunner:
    """Send a request to a target and supervise its answer.

    Args:
        parts (RequestContext): Dependencies.
        admitted (AdmittedRequest): Request to send.
        replacements (Replacements): Finds a target in place of a silent one.

    Attributes:
        replacement (PlacedRequest | None): Grant of the target that replaces
            that of the last attempt, if its result is SILENT.
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
        self._grant: PlacedRequest | None = None
        self._silent_bytes = 0
        self.replacement: PlacedRequest | None = None

    def __repr__(self) -> str:
        return f"AttemptRunner(request={self._admitted.req.id!r})"

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
        self.replacement = None
        target = grant.choice.target
        crashes, fingerprints = self._parts.crashes, self._admitted.fingerprints
        status = crashes.status(fingerprints)
        if not math.isinf(grant.send_within_s):
            # Lets the event loop measure its lag, which counts for the age of
            # the grant.
            await asyncio.sleep(0)
        try:
            conn = await self._parts.connections.acquire(target)
        except DialError as exc:
            return self._record_unreachable(target, exc)
        reason = self._withdrawal_reason(target, status)
        if reason:
            conn.close()
            return Attempt(AttemptResult.WITHDRAWN, target, reason=reason)
        reason = self._parts.cold.withdrawal_reason(
            target, grant.started_at, grant.send_within_s
        )
        if reason:
            # The next grant finds an open connection.
            self._keep_connection(target, conn, None)
            return Attempt(
                AttemptResult.WITHDRAWN,
                target,
                reason=reason,
                may_try_again=True,
            )
        request_id = self._admitted.req.id
        with crashes.attempt(target, request_id, fingerprints) as watched:

            def on_head(head: ResponseHead) -> None:
                self._parts.on_response_head(target, head, watched.begun_at)
                crashes.record_head(target, head, watched.begun_at)

            exchange = Exchange(
                conn,
                self._parts.wire,
                relay,
                on_head,
                self._parts.kept,
                target.id,
            )
            result = AttemptResult.BROKEN
            try:
                result = await self._exchange(exchange, target, relay)
                if (
                    result is AttemptResult.ANSWERED
                    and exchange.ending is Ending.CLOSED
                    and not await self._confirm(target, watched)
                ):
                    exchange.reason = "target ended with its answer"
                    result = AttemptResult.BROKEN
            finally:
                self._release_connection(exchange, target, conn)
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
            crashes.record_success(fingerprints)
        return attempt

    def _record_unreachable(
        self, target: RegisteredTarget, exc: DialError
    ) -> Attempt:
        """Records a failure to connect to a target; returns the attempt."""
        if self._parts.cold.is_own_fault(exc):
            return Attempt(AttemptResult.WITHDRAWN, target, reason=exc.reason)
        self._parts.cold.record_unreachable(target)
        if exc.refused:
            self._parts.crashes.record_connection_refused(target)
        return Attempt(AttemptResult.NOT_SENT, target, reason=exc.reason)

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

    def _withdrawal_reason(
        self, target: RegisteredTarget, status: QuarantineStatus
    ) -> str:
        """Returns why a request must not be sent any more, "" if it may.

        Opening a connection takes time, in which what spoke for the target or
        the request may have changed.

        Args:
            target (RegisteredTarget): Target that it was about to be sent to.
            status (QuarantineStatus): Status of the request before.
        """
        if not self._parts.scheduling.takes_requests(target):
            return "the target stopped taking requests"
        now = self._parts.crashes.status(self._admitted.fingerprints)
        if now.has_worsened_since(status):
            return "a target crashed under the request"
        return self._replacements.end_reason()

    async def _exchange(
        self,
        exchange: Exchange,
        target: RegisteredTarget,
        relay: BufferedRelay | StreamRelay,
    ) -> AttemptResult:
        admitted = self._admitted
        clock = self._parts.clock
        remaining_s = admitted.deadline_at - clock()
        if remaining_s <= RETURN_MARGIN_S:
            exchange.reason = (
                "the time limit passed before the request was sent"
            )
            return AttemptResult.WITHDRAWN
        last_event_id = (
            relay.last_event_id if isinstance(relay, StreamRelay) else 0
        )
        # The headers are not kept while the target works: many short ones take
        # much memory.
        work = exchange.start(
            admitted.req,
            self._parts.wire.encode_target_headers(
                admitted.req,
                target,
                team=admitted.team,
                remaining_s=remaining_s - RETURN_MARGIN_S,
                last_event_id=last_event_id,
            ),
        )
        try:
            if await self._wait_for_end(
                work, relay, lambda: exchange.is_paused
            ):
                return self._classify(exchange, relay)
        finally:
            work.cancel()
        is_replaced = self.replacement is not None
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
            Whether there is a replacement, for which a retry was spent.
        """
        assert self._grant is not None
        self._grant.record_silence()
        self._silent_bytes = relay.sent_bytes
        event_count = getattr(relay, "events", 0)

        def is_replaceable() -> bool:
            has_event = getattr(relay, "events", 0) != event_count
            if work.done() or has_event or is_paused():
                return False
            return self._replacements.may_replace()

        asking = asyncio.ensure_future(self._replacements.acquire_replacement())
        try:
            while is_replaceable():
                if asking.done():
                    self.replacement = self._take_replacement(asking)
                    break
                await asyncio.wait(
                    (work, asking),
                    timeout=PROGRESS_INTERVAL_S,
                    return_when=asyncio.FIRST_COMPLETED,
                )
        finally:
            if self.replacement is None:
                asking.cancel()
                asking.add_done_callback(_release_grant)
        return self.replacement is not None

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

    def _release_connection(
        self,
        exchange: Exchange,
        target: RegisteredTarget,
        conn: TargetConnection,
    ) -> None:
        exchange.close()
        if not exchange.reusable:
            return
        head = exchange.head
        self._keep_connection(target, conn, head.idle_limit_s if head else None)

    def _keep_connection(
        self,
        target: RegisteredTarget,
        conn: TargetConnection,
        idle_limit_s: float | None,
    ) -> None:
        """Keeps an idle connection to a target for the next request.

        Args:
            target (RegisteredTarget): The target.
            conn (TargetConnection): The connection.
            idle_limit_s (float | None): Idle timeout that the target announced,
                in seconds, or None.
        """
        table = self._parts.table()
        service = table.services.get(target.service) if table else None
        limit = service.max_connections if service else 0
        self._parts.connections.release(
            target,
            conn,
            idle_limit_s=idle_limit_s,
            max_idle_connections=max_idle_connections(
                limit, self._parts.known_router_count()
            ),
        )


def _release_grant(asking: "asyncio.Future[PlacedRequest]") -> None:
    """Ends a grant that was asked for and is not used."""
    if not asking.cancelled() and asking.exception() is None:
        with asking.result():
            pass
