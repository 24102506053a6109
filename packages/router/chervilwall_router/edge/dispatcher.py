"""Grants of targets to waiting requests."""

import asyncio
import functools
import itertools
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import cell_messages
from chervilwall.crash_ledger import CrashLedger, QuarantineStatus
from chervilwall.errors import RequestRefusedError
from chervilwall.fair_share import FairShare
from chervilwall.isolation import Isolation
from chervilwall.load_view import LoadView
from chervilwall.placement import Choice, Placement
from chervilwall.prefill import PrefillModel
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.registry import TargetRegistry
from chervilwall.unserved_requests import UnservedRequests
from chervilwall.wait_queue import (
    OvertakingLimit,
    TeamShares,
    Ticket,
    WaitQueue,
    WaitSettings,
)

from chervilwall_router.edge.grant import Grant, Wish

# Waiting requests are looked at this often beside all other occasions.
PUMP_INTERVAL_S = 0.02
# Room that becomes free within this time is given out at once; engines have
# many times as much work queued.
PUMP_PAUSE_S = 0.003
# Pause between two looks at all that waits, in times that the last one took.
PUMP_REST = 2.0
REASON_CRASHES = "targets ended under it"
# Waiting requests that are tried when the first ones find no room.
LOOK_AHEAD = 8


class _Waiter(NamedTuple):
    wish: Wish
    ticket: Ticket
    future: "asyncio.Future[Grant]"


class DispatcherParts(NamedTuple):
    """What the dispatcher decides with.

    Args:
        settings (WaitSettings): Limits of waiting.
        placement (Placement): Chooses targets.
        registry (TargetRegistry): The targets.
        load (LoadView): Their load.
        prefixes (PrefixMap): Their caches.
        model (PrefillModel): Their speed.
        shares (FairShare): What teams had of late.
        crashes (CrashLedger): Requests that crash targets.
        capacity (Callable): Returns the tokens a second of all engines.
        routers (Callable): Returns how many routers there are.
        granted (Callable): Called with the target and the prompt of a grant.
        clock (Callable): Returns the monotonic time.
    """

    settings: WaitSettings
    placement: Placement
    registry: TargetRegistry
    load: LoadView
    prefixes: PrefixMap
    model: PrefillModel
    shares: FairShare
    crashes: CrashLedger
    capacity: Callable[[], float]
    routers: Callable[[], int]
    granted: Callable[[str, tuple[PromptPart, ...]], None]
    clock: Callable[[], float]


class Dispatcher:
    """Let requests wait until a target has room for them.

    Args:
        parts (DispatcherParts): What it decides with.
    """

    def __init__(self, parts: DispatcherParts) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._numbers = itertools.count(1)
        self._queues: dict[str, WaitQueue] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._unserved = UnservedRequests()
        self._isolation = Isolation()
        self._timer: asyncio.TimerHandle | None = None
        self._pending: asyncio.Handle | None = None
        self._pumped_at = 0.0
        self._pump_took_s = 0.0

    def __repr__(self) -> str:
        return f"Dispatcher(waiting={len(self._waiters)})"

    def waiting(self) -> int:
        """Returns how many requests wait."""
        return len(self._waiters)

    async def acquire(self, wish: Wish) -> Grant:
        """Returns a grant, at once or after a wait.

        Raises:
            RequestRefusedError: The request would wait too long.
        """
        now = self._clock()
        if self._parts.crashes.status(wish.fingerprint).is_refused(now):
            raise self._crash_refusal(wish, now)
        if wish.first:
            self._parts.shares.record_demand(wish.team, wish.tokens, now)
            wish = self._with_first_due(wish, now)
        queue = self._queue(wish.demand.service)
        ticket = self._ticket(wish, now)
        if not self._is_outranked(queue, ticket, now):
            grant = self._try(wish, queue, ticket, now)
            if grant is not None:
                return grant
        reason = self._why_hopeless(queue, ticket, wish.excluded, now)
        if reason:
            queue.record_outcome(ticket, now, False)
            raise self._refusal(queue, ticket, reason, now)
        return await self._wait(queue, ticket, wish)

    def _with_first_due(self, wish: Wish, now: float) -> Wish:
        """Returns a wish that is due as the caller's first one was."""
        own_part = wish.demand.own_part
        first_at = self._unserved.pop_first_arrival(wish.team, own_part, now)
        if first_at is None:
            return wish
        return wish._replace(due_at=first_at + wish.objective_s)

    def pump(self) -> None:
        """Starts waiting requests that find room, as soon as possible."""
        if self._waiters:
            self._schedule()

    def _schedule(self) -> None:
        if self._pending is None:
            loop = asyncio.get_running_loop()
            # Leaves most of the time to requests that arrive.
            pause_s = max(PUMP_PAUSE_S, PUMP_REST * self._pump_took_s)
            pause_s += self._pumped_at - self._clock()
            self._pending = loop.call_later(max(0.0, pause_s), self._pump_now)

    def _queue(self, service: str) -> WaitQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = WaitQueue()
        return queue

    def _ticket(self, wish: Wish, now: float) -> Ticket:
        parts, demand = self._parts, wish.demand
        targets = parts.registry.serving_targets(demand.service)
        return Ticket(
            number=next(self._numbers),
            team=wish.team,
            demand=demand,
            due_at=wish.due_at,
            enqueued_at=wish.arrived_at,
            give_up_at=self._give_up_at(wish, now),
            work_s=parts.placement.min_prefill_s(demand, targets, now),
            first_sent_at=wish.due_at - wish.objective_s,
            group=f"{wish.route}#{wish.size_class}",
        )

    def _give_up_at(self, wish: Wish, now: float) -> float:
        cfg = self._parts.settings
        late_s = min(cfg.late_objectives * wish.objective_s, cfg.late_s)
        until = max(wish.due_at, now) + late_s
        left_s = wish.deadline_at - now
        return min(until, now + cfg.deadline_fraction * left_s)

    def _is_outranked(
        self, queue: WaitQueue, ticket: Ticket, now: float
    ) -> bool:
        return queue.is_outranked(ticket, now, self._team_shares(now))

    def _team_shares(self, now: float) -> TeamShares:
        shares = self._parts.shares
        over = shares.teams_over_share(self._parts.capacity(), now)
        return TeamShares(over, shares.usage_by_team())

    def _why_hopeless(
        self,
        queue: WaitQueue,
        ticket: Ticket,
        excluded: frozenset[str],
        now: float,
    ) -> str:
        targets = self._parts.registry.serving_targets(ticket.demand.service)
        if all(target.id in excluded for target in targets):
            return "no target takes requests"
        start_at = now + self._expected_wait_s(queue, ticket, now)
        limit = ticket.late_wait_limit_at()
        if queue.starts_late_requests():
            limit = ticket.give_up_at
        return "would wait too long" if start_at > limit else ""

    def _expected_wait_s(
        self, queue: WaitQueue, ticket: Ticket, now: float
    ) -> float:
        targets = self._parts.registry.serving_targets(ticket.demand.service)
        share = len(targets) / max(1, self._parts.routers())
        return queue.expected_wait_s(
            ticket, now, self._team_shares(now), max(share, 0.1)
        )

    def _refusal(
        self, queue: WaitQueue, ticket: Ticket, reason: str, now: float
    ) -> RequestRefusedError:
        own_part = ticket.demand.own_part
        self._unserved.record(ticket.team, own_part, ticket.first_sent_at)
        wait_s = self._expected_wait_s(queue, ticket, now)
        retry_s = queue.retry_after_s(wait_s, self._parts.settings)
        service = ticket.demand.service
        return RequestRefusedError(reason, retry_s, step="wait", peer=service)

    async def _wait(
        self, queue: WaitQueue, ticket: Ticket, wish: Wish
    ) -> Grant:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Grant] = loop.create_future()
        queue.push(ticket)
        self._waiters[ticket.number] = _Waiter(wish, ticket, future)
        self._arm()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                future.result().__exit__()
            raise
        finally:
            queue.discard(ticket.number)
            self._waiters.pop(ticket.number, None)

    def _try(
        self, wish: Wish, queue: WaitQueue, ticket: Ticket, now: float
    ) -> Grant | None:
        parts, demand = self._parts, wish.demand
        status = parts.crashes.status(wish.fingerprint)
        if status.is_refused(now):
            return None
        choice = self._choose(wish, ticket, status, now)
        if choice is None:
            return None
        target_id = choice.target.id
        if status.is_quarantined:
            parts.crashes.record_trial(wish.fingerprint, now)
            # Others of the kind wait no longer.
            asyncio.get_running_loop().call_soon(self.refuse_crashing)
        if demand.is_generation:
            parts.prefixes.record(target_id, demand.parts, now)
            parts.shares.record_usage(wish.team, wish.tokens, now)
        queue.record_started_work(ticket.work_s, now)
        queue.record_outcome(ticket, now, True)
        ended = None
        if status.is_suspect:
            self._isolation.begin(target_id)
            ended = functools.partial(self._isolation.end, target_id)
        grant = Grant(
            choice, demand, parts.load, parts.model, self.pump, now, ended
        )
        if status.is_quarantined:
            grant.trial_of = wish.fingerprint
        parts.granted(target_id, demand.parts)
        return grant

    def _choose(
        self, wish: Wish, ticket: Ticket, status: QuarantineStatus, now: float
    ) -> Choice | None:
        """Returns a target; a suspect goes where no other one is.

        A trial waits for such a target while there is any, other suspects do
        not.
        """
        parts, demand = self._parts, wish.demand
        targets = parts.registry.serving_targets(demand.service)
        choose = functools.partial(
            parts.placement.choose,
            demand,
            targets,
            now,
            slack_s=ticket.due_at - now,
            urgency=ticket.urgency(
                now, self._team_shares(now).teams_over_share
            ),
        )
        if status.is_suspect:
            ended = {crash.start for crash in status.crashes}
            busy = self._isolation.targets()
            apart = {t.id for t in targets if t.start in ended or t.id in busy}
            choice = choose(excluded=wish.excluded | apart)
            waits = status.is_quarantined and len(apart) < len(targets)
            if choice is not None or waits:
                return choice
        return choose(excluded=wish.excluded)

    def refuse_trial(self, wish: Wish) -> None:
        """Refuses a request that runs as a trial only, which one router grants.

        Raises:
            RequestRefusedError: It is such a request.
        """
        if self._parts.crashes.status(wish.fingerprint).is_quarantined:
            raise self._crash_refusal(wish, self._clock())

    def note_outcome(self, grant: Grant, outcome: str) -> None:
        """Takes back a trial that was not run.

        Args:
            grant (Grant): The grant.
            outcome (str): How it ended.
        """
        if grant.trial_of and outcome in cell_messages.OUTCOMES_NOT_RUN:
            self._parts.crashes.cancel_trial(grant.trial_of)

    def refuse_crashing(self) -> None:
        """Refuses what waits and has become known to crash targets."""
        now = self._clock()
        for waiter in list(self._waiters.values()):
            status = self._parts.crashes.status(waiter.wish.fingerprint)
            if status.is_refused(now) and not waiter.future.done():
                refusal = self._crash_refusal(waiter.wish, now)
                waiter.future.set_exception(refusal)

    def _crash_refusal(self, wish: Wish, now: float) -> RequestRefusedError:
        status = self._parts.crashes.status(wish.fingerprint)
        return RequestRefusedError(
            REASON_CRASHES,
            status.retry_after_s(now),
            step="schedule",
            peer=wish.demand.service,
        )

    def _arm(self) -> None:
        if self._timer is None and self._waiters:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(PUMP_INTERVAL_S, self._tick)

    def _tick(self) -> None:
        self._timer = None
        self._pump_now()
        self._expire()
        self._arm()

    def _pump_now(self) -> None:
        if self._pending is not None:
            self._pending.cancel()
            self._pending = None
        now = self._clock()
        for service, queue in self._queues.items():
            if self._has_room(service, queue, now):
                self._pump_queue(queue, now)
        self._pumped_at = self._clock()
        self._pump_took_s = self._pumped_at - now

    def _pump_queue(self, queue: WaitQueue, now: float) -> None:
        misses = 0
        team_shares = self._team_shares(now)
        overtaking = OvertakingLimit()
        for rank, ticket in queue.in_order(now, team_shares):
            waiter = self._waiters.get(ticket.number)
            if waiter is None or waiter.future.done():
                continue
            if not overtaking.allows(rank):
                return
            grant = self._try(waiter.wish, queue, ticket, now)
            if grant is None:
                overtaking.record_waiting(rank)
                misses += 1
                if misses >= LOOK_AHEAD:
                    return
                continue
            queue.discard(ticket.number)
            waiter.future.set_result(grant)

    def _has_room(self, service: str, queue: WaitQueue, now: float) -> bool:
        """Tells whether any target could take a waiting request."""
        if not queue.has_only_generations():
            return True
        targets = self._parts.registry.serving_targets(service)
        return self._parts.placement.has_free_capacity(targets, now)

    def _expire(self) -> None:
        now = self._clock()
        for queue in self._queues.values():
            for ticket in queue.expired(now):
                self._refuse_waiter(queue, ticket, now)

    def _refuse_waiter(
        self, queue: WaitQueue, ticket: Ticket, now: float
    ) -> None:
        waiter = self._waiters.get(ticket.number)
        if waiter is None or waiter.future.done():
            return
        refusal = self._refusal(queue, ticket, "waited in vain", now)
        queue.record_outcome(ticket, now, False)
        waiter.future.set_exception(refusal)
        queue.discard(ticket.number)
