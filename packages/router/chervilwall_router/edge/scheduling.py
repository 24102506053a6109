"""Placement of requests by one scheduler for each service.

Routers that each place their own work see room at the same moment and fill it
several times over; a scheduler grants it once. When it does not answer, the
router places the request by what it last heard of the load.
"""

import asyncio
import itertools
import logging
from collections.abc import Callable

from chervilwall import cell_messages, edge_messages, events
from chervilwall.edge_messages import GranterLoad
from chervilwall.errors import RequestRefusedError, UnusableTargetError
from chervilwall.placement import Choice
from chervilwall.registry import RegisteredTarget
from chervilwall.running_requests import Granter, RunningRequest

from chervilwall_router.edge.grant import Wish
from chervilwall_router.edge.granting import (
    Granting,
    Scheduler,
    SchedulingParts,
    note_outcome,
)

LOG = logging.getLogger(__name__)
# A scheduler answers at once, if only that a request waits.
ANSWER_LIMIT_S = 0.05
# Asked again after no answer this often before placing without it.
MAX_UNANSWERED = 2
# A time-out that is noticed so late tells of this router's own lateness, and
# is not held against the scheduler so many times.
OWN_LAG_S = 0.03
MAX_OWN_LAGS = 4
# A waiting request asks again this often, so that a lost scheduler shows.
REMIND_S = 0.3
# A scheduler that did not answer is not asked for this long.
AVOID_S = 0.5


_Answer = (
    edge_messages.PlacementQueued
    | edge_messages.PlacementGranted
    | edge_messages.PlacementRefused
)


class Placed:
    """Hold a target for one request of this router.

    Args:
        number (int): Number of the request.
        choice (Choice): Where it runs.
        started_at (float): Monotonic time of the grant.
        read (Callable): Called with the time to its first token.
        ended (Callable): Called with its outcome.
    """

    def __init__(
        self,
        number: int,
        choice: Choice,
        started_at: float,
        read: Callable[[float], None],
        ended: Callable[[str], None],
    ) -> None:
        self.number = number
        self.choice = choice
        self.started_at = started_at
        self.outcome = cell_messages.OUTCOME_CANCELLED
        self._read = read
        self._ended = ended

    def __repr__(self) -> str:
        return f"Placed(target={self.choice.target.id!r})"

    def __enter__(self) -> "Placed":
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._ended(self.outcome)

    def note_first_token(self, now: float) -> None:
        """Notes that the first token came."""
        self._read(now - self.started_at)


class Scheduling:
    """Ask schedulers for targets, and answer routers that ask this one.

    Args:
        parts (SchedulingParts): What it is made of.
    """

    def __init__(self, parts: SchedulingParts) -> None:
        self._parts = parts
        self._numbers = itertools.count(1)
        self._asked: dict[int, asyncio.Queue[_Answer]] = {}
        self._avoided: dict[str, float] = {}
        self._granting = Granting(parts)

    def __repr__(self) -> str:
        return f"Scheduling(asked={len(self._asked)})"

    async def acquire(self, wish: Wish) -> Placed:
        """Returns a target for a request, at once or after a wait.

        Raises:
            RequestRefusedError: The request would wait too long.
        """
        while True:
            number = next(self._numbers)
            scheduler = self._scheduler(wish.demand.service)
            wish = self._without_paused(wish)
            if scheduler is None and self._avoided:
                self._parts.dispatcher.refuse_trial(wish)
            try:
                if scheduler is None:
                    return await self._place_here(number, wish)
                return await self._ask(scheduler, number, wish)
            except TimeoutError:
                assert scheduler is not None
                self._avoid(scheduler)
            except UnusableTargetError as exc:
                wish = wish._replace(excluded=wish.excluded | {exc.target_id})

    def receive(
        self, sender: Scheduler, item: edge_messages.AnyMessage
    ) -> None:
        """Takes a message of a peer."""
        if isinstance(
            item,
            edge_messages.PlacementQueued
            | edge_messages.PlacementGranted
            | edge_messages.PlacementRefused,
        ):
            inbox = self._asked.get(item.number)
            if inbox is not None:
                inbox.put_nowait(item)
            elif isinstance(item, edge_messages.PlacementGranted):
                self._end(sender, item.number, cell_messages.OUTCOME_CANCELLED)
        else:
            self._granting.receive(sender, item)

    def hear_held(self, name: str, loads: tuple[GranterLoad, ...]) -> None:
        """Ends the grants that a router no longer holds."""
        self._granting.hear_held(name, loads)

    def drop_peer(self, name: str) -> None:
        """Ends the grants of a lost router."""
        self._granting.drop_peer(name)

    def _without_paused(self, wish: Wish) -> Wish:
        """Leaves out the targets that want nothing from this router.

        Raises:
            RequestRefusedError: None is left.
        """
        parts, now = self._parts, self._parts.clock()
        paused = parts.pauses.paused(now)
        if not paused:
            return wish
        service = wish.demand.service
        known = {t.id for t in parts.registry.serving_targets(service)}
        if known and known <= paused | wish.excluded:
            raise RequestRefusedError(
                "every target asked for a pause",
                parts.pauses.remaining_s(known & paused, now),
                step="schedule",
                peer=service,
            )
        return wish._replace(excluded=wish.excluded | paused)

    def _usable(self, target_id: str) -> RegisteredTarget:
        """Returns a target that was granted, if this router may use it.

        Raises:
            UnusableTargetError: It is gone, leaves or wants a pause; who
                granted it may not know yet.
        """
        parts = self._parts
        target = parts.registry.get(target_id)
        paused = parts.pauses.paused(parts.clock())
        if target is None or target.draining or target_id in paused:
            raise UnusableTargetError(target_id, step="schedule")
        return target

    def _scheduler(self, service: str) -> Scheduler | None:
        now = self._parts.clock()
        for name in [n for n, until in self._avoided.items() if until <= now]:
            del self._avoided[name]
        return self._parts.find(service, self._avoided)

    def _avoid(self, scheduler: Scheduler) -> None:
        self._avoided[scheduler.name] = self._parts.clock() + AVOID_S
        events.log_event(LOG, events.SCHEDULER_SILENT, peer=scheduler.name)

    async def _place_here(self, number: int, wish: Wish) -> Placed:
        parts = self._parts
        grant = await parts.dispatcher.acquire(wish)
        try:
            self._usable(grant.choice.target.id)
        except UnusableTargetError:
            grant.__exit__()
            raise
        self._hold(number, parts.me, grant.choice, wish)
        service = wish.demand.service

        def read(first_token_s: float) -> None:
            parts.running_requests.record_prefill_done(number)
            grant.note_first_token(first_token_s)

        def ended(outcome: str) -> None:
            parts.running_requests.remove(number)
            note_outcome(parts, service, grant, outcome)
            grant.__exit__()

        return Placed(number, grant.choice, grant.started_at, read, ended)

    def _hold(
        self, number: int, granter: Granter, choice: Choice, wish: Wish
    ) -> None:
        demand = wish.demand
        request = RunningRequest(
            granter,
            choice.target.id,
            round(choice.prefill_s * 1000),
            demand.prompt_tokens + demand.output_tokens,
        )
        self._parts.running_requests.add(number, request)

    async def _ask(
        self, scheduler: Scheduler, number: int, wish: Wish
    ) -> Placed:
        granted = False
        try:
            answer = await self._exchange(scheduler, number, wish)
            if isinstance(answer, edge_messages.PlacementRefused):
                raise RequestRefusedError(
                    answer.reason,
                    answer.retry_after_ms / 1000,
                    step="schedule",
                    peer=scheduler.name,
                )
            target = self._usable(answer.target_id)
            granted = True
        finally:
            self._asked.pop(number, None)
            if not granted:
                self._end(scheduler, number, cell_messages.OUTCOME_CANCELLED)
        return self._take(scheduler, number, wish, target, answer)

    async def _exchange(
        self, scheduler: Scheduler, number: int, wish: Wish
    ) -> edge_messages.PlacementGranted | edge_messages.PlacementRefused:
        """Asks until there is an answer.

        Raises:
            TimeoutError: The scheduler is silent.
        """
        # One frame may hold the note that a request waits and its grant.
        inbox: asyncio.Queue[_Answer] = asyncio.Queue()
        self._asked[number] = inbox
        self._parts.send(scheduler.address, self._question(number, wish))
        pause_s, unanswered, own_lags = ANSWER_LIMIT_S, 0, 0
        while True:
            due_at = self._parts.clock() + pause_s
            try:
                async with asyncio.timeout(pause_s):
                    answer = await inbox.get()
            except TimeoutError:
                late_s = self._parts.clock() - due_at
                if late_s > OWN_LAG_S and own_lags < MAX_OWN_LAGS:
                    # The answer may have come while this router was late.
                    own_lags += 1
                    pause_s = ANSWER_LIMIT_S
                    continue
                unanswered += 1
                if unanswered > MAX_UNANSWERED:
                    raise
                pause_s = ANSWER_LIMIT_S
                question = self._question(number, wish)
                self._parts.send(scheduler.address, question)
                continue
            if not isinstance(answer, edge_messages.PlacementQueued):
                return answer
            pause_s, unanswered = REMIND_S, 0

    def _question(
        self, number: int, wish: Wish
    ) -> edge_messages.PlacementRequest:
        now = self._parts.clock()
        demand = wish.demand
        return edge_messages.PlacementRequest(
            number=number,
            service=demand.service,
            team=wish.team,
            prompt_tokens=demand.prompt_tokens,
            output_tokens=demand.output_tokens,
            parts=tuple((p.id, p.tokens) for p in demand.parts),
            session=demand.session,
            objective_ms=round(wish.objective_s * 1000),
            due_ms=round((wish.due_at - now) * 1000),
            deadline_ms=round((wish.deadline_at - now) * 1000),
            excluded=tuple(wish.excluded),
            is_first_attempt=wish.first,
            route=wish.route,
            size_class=wish.size_class,
            fingerprint=wish.fingerprint,
        )

    def _take(
        self,
        scheduler: Scheduler,
        number: int,
        wish: Wish,
        target: RegisteredTarget,
        answer: edge_messages.PlacementGranted,
    ) -> Placed:
        choice = Choice(
            target,
            answer.uncached_tokens,
            answer.prefill_ms / 1000,
            answer.first_token_ms / 1000,
        )
        granter = Granter(scheduler.name, scheduler.incarnation)
        self._hold(number, granter, choice, wish)

        def read(first_token_s: float) -> None:
            self._parts.running_requests.record_prefill_done(number)
            item = edge_messages.PlacementFirstToken(
                number, round(first_token_s * 1000)
            )
            self._parts.send(scheduler.address, item)

        def ended(outcome: str) -> None:
            self._parts.running_requests.remove(number)
            self._end(scheduler, number, outcome)

        return Placed(number, choice, self._parts.clock(), read, ended)

    def _end(self, scheduler: Scheduler, number: int, outcome: str) -> None:
        item = edge_messages.PlacementEnded(number, outcome)
        self._parts.send(scheduler.address, item)
