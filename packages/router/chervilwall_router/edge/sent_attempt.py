"""Sending of a request to a target, and what is held until it is answered."""

import asyncio
import contextlib
import math
from collections.abc import Callable

from chervilwall.errors import CodecError, DialError, OversizedError
from chervilwall.http_messages import ResponseHead
from chervilwall.quarantine_status import QuarantineStatus
from chervilwall.registry import RegisteredTarget

from chervilwall_router.edge.connections import max_idle_connections
from chervilwall_router.edge.crash_evidence import WatchedAttempt
from chervilwall_router.edge.exchange import AnswerReceiver, Exchange
from chervilwall_router.edge.held_answer import HeldAnswer
from chervilwall_router.edge.request_types import (
    AdmittedRequest,
    Attempt,
    AttemptResult,
    RequestContext,
)
from chervilwall_router.edge.scheduling import PlacedRequest
from chervilwall_router.edge.target_connection import TargetConnection

# Seconds subtracted from the time limit sent to a target, so that its response
# arrives before the caller's limit.
RETURN_MARGIN_S = 0.01


class SentAttempt:
    """Hold the connection of a request that was sent until the context ends.

    Args:
        target (RegisteredTarget): Target that it was sent to.
        exchange (Exchange): The exchange, which has started.
        watched (WatchedAttempt): The attempt, as the crash watch tracks it.
        work (asyncio.Future): Done when the exchange ends.
        cleanup (contextlib.ExitStack): Closes what belongs to the attempt.
    """

    def __init__(
        self,
        target: RegisteredTarget,
        exchange: Exchange,
        watched: WatchedAttempt,
        work: "asyncio.Future[None]",
        cleanup: contextlib.ExitStack,
    ) -> None:
        self.target = target
        self.exchange = exchange
        self.watched = watched
        self.work = work
        self._cleanup = cleanup

    def __repr__(self) -> str:
        return f"SentAttempt(target={self.target.id!r})"

    def __enter__(self) -> "SentAttempt":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.work.cancel()
        self._cleanup.close()

    def release(self, answer: HeldAnswer, receiver: AnswerReceiver) -> None:
        """Passes an answer that was held back to its receiver."""
        try:
            answer.release(receiver)
        except (CodecError, OversizedError) as exc:
            self.exchange.reject(str(exc))


class AttemptSender:
    """Send a request to targets.

    Args:
        parts (RequestContext): Dependencies.
        admitted (AdmittedRequest): Request to send.
    """

    def __init__(
        self, parts: RequestContext, admitted: AdmittedRequest
    ) -> None:
        self._parts = parts
        self._admitted = admitted

    def __repr__(self) -> str:
        return f"AttemptSender(request={self._admitted.req.id!r})"

    async def send(
        self,
        grant: PlacedRequest,
        receiver: AnswerReceiver,
        *,
        last_event_id: Callable[[], int],
        withdrawal_reason: Callable[[], str],
    ) -> SentAttempt | Attempt:
        """Opens a connection to a target and sends it the request.

        Args:
            grant (PlacedRequest): Target that the scheduler granted to the
                request.
            receiver (AnswerReceiver): Receives the answer.
            last_event_id (Callable): Returns the event after which a stream
                resumes, 0 for a stream from the start.
            withdrawal_reason (Callable): Returns why the request must not be
                sent any more, "" if it may.

        Returns:
            The attempt in progress, or one that has ended before anything was
            sent.
        """
        parts, admitted = self._parts, self._admitted
        target = grant.choice.target
        status = parts.crashes.status(admitted.fingerprints)
        if not math.isinf(grant.send_within_s):
            # Lets the event loop measure its lag, which counts for the age of
            # the grant.
            await asyncio.sleep(0)
        try:
            conn = await parts.connections.acquire(target)
        except DialError as exc:
            return self._record_unreachable(target, exc)
        remaining_s = admitted.deadline_at - parts.clock()
        reason = self._find_withdrawal_reason(target, status)
        reason = reason or withdrawal_reason()
        if not reason and remaining_s <= RETURN_MARGIN_S:
            reason = "the time limit passed before the request was sent"
        if reason:
            conn.close()
            return Attempt(AttemptResult.WITHDRAWN, target, reason=reason)
        reason = parts.cold.withdrawal_reason(
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
        return self._send(target, conn, receiver, remaining_s, last_event_id())

    def _send(
        self,
        target: RegisteredTarget,
        conn: TargetConnection,
        receiver: AnswerReceiver,
        remaining_s: float,
        last_event_id: int,
    ) -> SentAttempt:
        parts, admitted = self._parts, self._admitted
        cleanup = contextlib.ExitStack()
        watched = cleanup.enter_context(
            parts.crashes.attempt(
                target, admitted.req.id, admitted.fingerprints
            )
        )

        def on_head(head: ResponseHead) -> None:
            parts.on_response_head(target, head, watched.begun_at)
            parts.crashes.record_head(target, head, watched.begun_at)

        exchange = Exchange(
            conn, parts.wire, receiver, on_head, parts.kept, target.id
        )
        cleanup.callback(self._release_connection, exchange, target, conn)
        # The headers are not kept while the target works: many short ones take
        # much memory.
        work = exchange.start(
            admitted.req,
            parts.wire.encode_target_headers(
                admitted.req,
                target,
                team=admitted.team,
                remaining_s=remaining_s - RETURN_MARGIN_S,
                last_event_id=last_event_id,
            ),
        )
        return SentAttempt(target, exchange, watched, work, cleanup)

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

    def _find_withdrawal_reason(
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
        return ""

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
