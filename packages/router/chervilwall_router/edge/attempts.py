"""One attempt of a request on one target."""

import asyncio
from collections.abc import Callable

from chervilwall import cell_messages
from chervilwall.errors import DialError
from chervilwall.http_messages import ResponseHead
from chervilwall.registry import RegisteredTarget

from chervilwall_router.edge.connections import most_kept
from chervilwall_router.edge.exchange import Exchange
from chervilwall_router.edge.relay import PlainRelay, StreamRelay, may_pass
from chervilwall_router.edge.scheduling import Placed
from chervilwall_router.edge.target_connection import TargetConnection
from chervilwall_router.edge.work import (
    Admitted,
    Attempt,
    Fate,
    FlowParts,
    outcome_of,
)

# Time taken off what a target is told, for the way back.
RETURN_MARGIN_S = 0.01
# Silence after which a repeatable request is tried elsewhere.
LEAST_SILENCE_S = 1.0
SILENCE_OBJECTIVES = 2.0
SILENCE_GAPS = 5.0
# A long prompt is read for longer than this silence would allow otherwise.
SILENCE_PREDICTIONS = 4.0
# The target lived on after attempts that ended so, or never had them.
_NOT_ENDED_BY = frozenset((Fate.ANSWERED, Fate.NOT_EXECUTED, Fate.NOT_SENT))


class AttemptRunner:
    """Send a request to a target and watch over its answer.

    Args:
        parts (FlowParts): What the path of a request is made of.
        admitted (Admitted): The request.
        may_retry (Callable): Tells whether it may be tried elsewhere.
    """

    def __init__(
        self,
        parts: FlowParts,
        admitted: Admitted,
        may_retry: Callable[[], bool],
    ) -> None:
        self._parts = parts
        self._admitted = admitted
        self._may_retry = may_retry
        self._grant: Placed | None = None

    def __repr__(self) -> str:
        return f"AttemptRunner(request={self._admitted.req.id!r})"

    async def run(
        self, grant: Placed, relay: PlainRelay | StreamRelay
    ) -> Attempt:
        """Runs one attempt to its end.

        Args:
            grant (Placed): Where it runs.
            relay (PlainRelay | StreamRelay): Where the answer goes.
        """
        self._grant = grant
        target = grant.choice.target
        try:
            conn = await self._parts.connections.acquire(target)
        except DialError as exc:
            if exc.refused:
                self._parts.crashes.note_refused(target)
            return Attempt(Fate.NOT_SENT, target, reason=exc.reason)
        crashes, fingerprint = self._parts.crashes, self._admitted.fingerprint
        request_id = self._admitted.req.id
        with crashes.attempt(target, request_id, fingerprint) as watched:

            def hear(head: ResponseHead) -> None:
                self._parts.heard(target, head)
                crashes.hear(target, head, watched.begun_at)

            exchange = Exchange(conn, self._parts.wire, relay, hear)
            fate = Fate.BROKEN
            try:
                fate = await self._exchange(exchange, target, relay)
            finally:
                self._put_back(exchange, target, conn)
            watched.answered = fate in _NOT_ENDED_BY
        if fate is Fate.BROKEN:
            examined = crashes.examine(target, watched)
            # Whether it may be sent again depends on it; the caller of one
            # that ends here is not kept waiting.
            if self._may_retry():
                await examined
        attempt = Attempt(fate, target, exchange.head, exchange.reason)
        if outcome_of(attempt) == cell_messages.OUTCOME_COMPLETED:
            crashes.note_success(fingerprint)
        return attempt

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
        headers = self._parts.wire.encode_target_headers(
            admitted.req,
            target,
            team=admitted.team,
            remaining_s=left_s - RETURN_MARGIN_S,
            last_event_id=last_id,
        )
        work = exchange.start(admitted.req, headers)
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
        conn: TargetConnection,
    ) -> None:
        exchange.close()
        if not exchange.reusable:
            return
        table = self._parts.table()
        service = table.services.get(target.service) if table else None
        limit = service.max_connections if service else 0
        head = exchange.head
        self._parts.connections.release(
            target,
            conn,
            idle_limit_s=head.idle_limit_s if head else None,
            most_kept=most_kept(limit, self._parts.routers()),
        )
