"""Grants of targets to waiting requests."""

import asyncio
from collections.abc import Callable
from typing import NamedTuple

from chervilwall.errors import RequestRefusedError
from chervilwall.fair_share import FairShare
from chervilwall.load_view import LoadView
from chervilwall.placement import Choice, Demand, Placement
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.registry import TargetRegistry
from chervilwall.wait_queue import Ticket, WaitQueue, WaitSettings

# Waiting requests are looked at this often beside all other occasions.
PUMP_INTERVAL_S = 0.02
# Waiting requests that are tried when the first ones find no room.
LOOK_AHEAD = 6


class Wish(NamedTuple):
    """A request that asks for a target.

    Args:
        demand (Demand): What it needs.
        team (str): Team that pays.
        objective_s (float): Its latency objective.
        deadline_at (float): Monotonic time after which nobody waits for it.
        excluded (frozenset): Targets that were tried already.
        returner (bool): Whether it was refused or tried before.
        started_at (float): Monotonic time of its arrival.
    """

    demand: Demand
    team: str
    objective_s: float
    deadline_at: float
    started_at: float
    excluded: frozenset[str] = frozenset()
    returner: bool = False

    @property
    def tokens(self) -> float:
        """Tokens by which the engines' output is shared."""
        return self.demand.prompt_tokens + 2.0 * self.demand.output_tokens


class Grant:
    """Hold a target's room for one request.

    Args:
        choice (Choice): Where it runs.
        demand (Demand): What it needs.
        load (LoadView): Where its load is counted.
        released (Callable): Called when room becomes free.
        started_at (float): Monotonic time of the grant.
        tokens_ahead (int): Prompt tokens queued at the target, with its own.
    """

    def __init__(
        self,
        choice: Choice,
        demand: Demand,
        load: LoadView,
        released: Callable[[], None],
        started_at: float,
        tokens_ahead: int,
    ) -> None:
        self.choice = choice
        self.started_at = started_at
        self.tokens_ahead = tokens_ahead
        self._load = load
        self._released = released
        self._prefill = choice.miss_tokens
        self._kv_tokens = demand.prompt_tokens + demand.output_tokens
        self._open = True
        load.add_own(choice.target.id, 1, self._prefill, self._kv_tokens)

    def __repr__(self) -> str:
        return f"Grant(target={self.choice.target.id!r})"

    def __enter__(self) -> "Grant":
        return self

    def __exit__(self, *exc_info: object) -> None:
        if not self._open:
            return
        self._open = False
        target_id = self.choice.target.id
        self._load.add_own(target_id, -1, -self._prefill, -self._kv_tokens)
        self._released()

    def note_first_token(self) -> None:
        """Notes that the prompt was read."""
        if self._open and self._prefill:
            self._load.add_own(self.choice.target.id, 0, -self._prefill, 0)
            self._prefill = 0
            self._released()


class _Waiter(NamedTuple):
    wish: Wish
    ticket: Ticket
    future: "asyncio.Future[Grant]"


class Dispatcher:
    """Let requests wait until a target has room for them.

    Args:
        settings (WaitSettings): Limits of waiting.
        placement (Placement): Chooses targets.
        registry (TargetRegistry): The targets.
        load (LoadView): Their load.
        prefixes (PrefixMap): Their caches.
        shares (FairShare): What teams had of late.
        capacity (Callable): Returns the tokens a second of all engines.
        clock (Callable): Returns the monotonic time.
    """

    def __init__(
        self,
        settings: WaitSettings,
        placement: Placement,
        registry: TargetRegistry,
        load: LoadView,
        prefixes: PrefixMap,
        shares: FairShare,
        capacity: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._cfg = settings
        self._placement = placement
        self._registry = registry
        self._load = load
        self._prefixes = prefixes
        self._shares = shares
        self._capacity = capacity
        self._clock = clock
        self._queues: dict[str, WaitQueue] = {}
        self._waiters: dict[tuple[str, int], _Waiter] = {}
        self._timer: asyncio.TimerHandle | None = None
        self._pending = False
        self.granted: Callable[[str, tuple[PromptPart, ...]], None] = _ignore

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
        if not wish.returner:
            self._shares.ask(wish.team, wish.tokens, now)
        queue = self._queue(wish.demand.service)
        ticket = self._ticket(queue, wish, now)
        if not self._goes_behind(queue, ticket):
            grant = self._try(wish, queue, ticket, now)
            if grant is not None:
                return grant
        if self._is_hopeless(queue, ticket, wish, now):
            raise self._refusal(queue, ticket, "would wait too long", now)
        return await self._wait(queue, ticket, wish)

    def pump(self) -> None:
        """Starts waiting requests that find room, a moment later."""
        if self._waiters and not self._pending:
            self._pending = True
            asyncio.get_running_loop().call_soon(self._pump_now)

    def _queue(self, service: str) -> WaitQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = WaitQueue(self._cfg)
        return queue

    def _ticket(self, queue: WaitQueue, wish: Wish, now: float) -> Ticket:
        over = self._shares.is_over(wish.team, self._capacity(), now)
        return Ticket(
            number=queue.next_number(),
            demand=wish.demand,
            objective_s=wish.objective_s,
            enqueued_at=wish.started_at,
            deadline_at=wish.deadline_at,
            returner=wish.returner,
            over_share=over and wish.demand.is_generation,
            work_s=self._work_s(wish.demand),
        )

    def _work_s(self, demand: Demand) -> float:
        """Returns about how long a target is busy before the first token."""
        shared = sum(part.tokens for part in demand.parts)
        own = max(1, demand.prompt_tokens - shared)
        return own / self._placement.mean_rate()

    def _goes_behind(self, queue: WaitQueue, ticket: Ticket) -> bool:
        rank = ticket.rank()
        return any(other.rank() < rank for other in queue.in_order()[:1])

    def _is_hopeless(
        self, queue: WaitQueue, ticket: Ticket, wish: Wish, now: float
    ) -> bool:
        if not self._registry.of_service(wish.demand.service):
            return True
        return queue.is_hopeless(ticket, now)

    def _refusal(
        self, queue: WaitQueue, ticket: Ticket, reason: str, now: float
    ) -> RequestRefusedError:
        retry_s = queue.retry_after_s(ticket, now)
        service = ticket.demand.service
        return RequestRefusedError(reason, retry_s, step="wait", peer=service)

    async def _wait(
        self, queue: WaitQueue, ticket: Ticket, wish: Wish
    ) -> Grant:
        future: asyncio.Future[Grant] = (
            asyncio.get_running_loop().create_future()
        )
        key = (wish.demand.service, ticket.number)
        queue.push(ticket)
        self._waiters[key] = _Waiter(wish, ticket, future)
        self._arm()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                future.result().__exit__()
            raise
        finally:
            queue.discard(ticket.number)
            self._waiters.pop(key, None)

    def _try(
        self, wish: Wish, queue: WaitQueue, ticket: Ticket, now: float
    ) -> Grant | None:
        demand = wish.demand
        targets = self._registry.of_service(demand.service)
        choice = self._placement.choose(
            demand, targets, now, excluded=wish.excluded
        )
        if choice is None:
            return None
        target_id = choice.target.id
        ahead = self._load.total(target_id, now).prefill_tokens
        if demand.is_generation:
            self._prefixes.record(target_id, demand.parts, now)
            self._shares.give(wish.team, wish.tokens, now)
        queue.note_start(ticket.work_s, now)
        grant = Grant(
            choice,
            demand,
            self._load,
            self.pump,
            now,
            ahead + choice.miss_tokens,
        )
        self.granted(target_id, demand.parts)
        return grant

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
        self._pending = False
        now = self._clock()
        for service, queue in self._queues.items():
            self._pump_queue(service, queue, now)

    def _pump_queue(self, service: str, queue: WaitQueue, now: float) -> None:
        misses = 0
        for ticket in queue.in_order():
            waiter = self._waiters.get((service, ticket.number))
            if waiter is None or waiter.future.done():
                continue
            grant = self._try(waiter.wish, queue, ticket, now)
            if grant is None:
                misses += 1
                if misses >= LOOK_AHEAD:
                    return
                continue
            queue.discard(ticket.number)
            waiter.future.set_result(grant)

    def _expire(self) -> None:
        now = self._clock()
        for service, queue in self._queues.items():
            for ticket in queue.expired(now):
                self._refuse_waiter(service, queue, ticket, now)

    def _refuse_waiter(
        self, service: str, queue: WaitQueue, ticket: Ticket, now: float
    ) -> None:
        waiter = self._waiters.get((service, ticket.number))
        if waiter is None or waiter.future.done():
            return
        refusal = self._refusal(queue, ticket, "waited in vain", now)
        waiter.future.set_exception(refusal)
        queue.discard(ticket.number)


def _ignore(target_id: str, parts: tuple[PromptPart, ...]) -> None:
    """Stands in until somebody wants to know of grants."""
