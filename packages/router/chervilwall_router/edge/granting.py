"""Grants of this router to routers that ask it for targets."""

import asyncio
from collections.abc import Callable, Collection
from typing import NamedTuple

from chervilwall import cell_messages, edge_messages
from chervilwall.edge_messages import GranterLoad
from chervilwall.errors import RequestRefusedError
from chervilwall.health import CellHealth
from chervilwall.pauses import TargetPauses
from chervilwall.placement import Demand
from chervilwall.prefix import PromptPart
from chervilwall.registry import TargetRegistry
from chervilwall.running_requests import Granter, RunningRequests

from chervilwall_router.edge.dispatcher import Dispatcher
from chervilwall_router.edge.grant import Grant, Wish

# Grants that a router's report does not list after this time have ended.
UNLISTED_GRACE_S = 0.6


class Scheduler(NamedTuple):
    """The router that schedules a service.

    Args:
        name (str): Its name.
        incarnation (int): Its incarnation.
        address (str): Its datagram address.
    """

    name: str
    incarnation: int
    address: str


class SchedulingParts(NamedTuple):
    """What scheduling is made of.

    Args:
        me (Granter): This router.
        dispatcher (Dispatcher): Grants targets.
        registry (TargetRegistry): The targets.
        running_requests (RunningRequests): What this router has in flight.
        pauses (TargetPauses): Targets that want nothing from this router.
        health (Callable): Returns the health of a service's targets.
        find (Callable): Returns the scheduler of a service, None for this
            router; takes the service and the routers to avoid.
        send (Callable): Sends a message to an address.
        clock (Callable): Returns the monotonic time.
    """

    me: Granter
    dispatcher: Dispatcher
    registry: TargetRegistry
    running_requests: RunningRequests
    pauses: TargetPauses
    health: Callable[[str], CellHealth]
    find: Callable[[str, Collection[str]], Scheduler | None]
    send: Callable[[str, edge_messages.EdgeMessage], None]
    clock: Callable[[], float]


class _Ask(NamedTuple):
    service: str
    task: "asyncio.Task[None]"


class Granting:
    """Answer the routers that ask this one.

    Args:
        parts (SchedulingParts): What scheduling is made of.
    """

    def __init__(self, parts: SchedulingParts) -> None:
        self._parts = parts
        self._asks: dict[tuple[str, int], _Ask] = {}
        self._grants: dict[tuple[str, int], Grant] = {}

    def __repr__(self) -> str:
        return f"Granting(grants={len(self._grants)})"

    def receive(
        self, sender: Scheduler, item: edge_messages.AnyMessage
    ) -> None:
        """Takes a message of a router that asks."""
        if isinstance(item, edge_messages.PlacementRequest):
            self._place(sender, item)
        elif isinstance(item, edge_messages.PlacementFirstToken):
            grant = self._grants.get((sender.name, item.number))
            if grant is not None:
                grant.note_first_token(item.first_token_ms / 1000)
        elif isinstance(item, edge_messages.PlacementEnded):
            self._end((sender.name, item.number), item.outcome)

    def hear_held(self, name: str, loads: tuple[GranterLoad, ...]) -> None:
        """Ends the grants that a router no longer holds."""
        me, now = self._parts.me, self._parts.clock()
        listed: set[int] = set()
        for load in loads:
            if (load.granter, load.incarnation) == me:
                listed.update(load.request_numbers)
        for key, grant in list(self._grants.items()):
            old = now - grant.started_at > UNLISTED_GRACE_S
            if key[0] == name and key[1] not in listed and old:
                self._end(key, cell_messages.OUTCOME_CANCELLED)

    def drop_peer(self, name: str) -> None:
        """Ends what a lost router asked for."""
        for key in [k for k in self._asks if k[0] == name]:
            self._end(key, cell_messages.OUTCOME_CANCELLED)

    def _place(
        self, sender: Scheduler, item: edge_messages.PlacementRequest
    ) -> None:
        key = (sender.name, item.number)
        grant = self._grants.get(key)
        if grant is not None:
            self._answer(sender, item.number, grant)
            return
        if key in self._asks:
            self._parts.send(
                sender.address, edge_messages.PlacementQueued(item.number)
            )
            return
        work = self._serve(sender, item)
        task = asyncio.get_running_loop().create_task(work)
        self._asks[key] = _Ask(item.service, task)
        # Runs first, so that a grant at once needs no second message.
        asyncio.get_running_loop().call_soon(self._queued, sender, key)

    def _queued(self, sender: Scheduler, key: tuple[str, int]) -> None:
        if key in self._asks and key not in self._grants:
            self._parts.send(
                sender.address, edge_messages.PlacementQueued(key[1])
            )

    async def _serve(
        self, sender: Scheduler, item: edge_messages.PlacementRequest
    ) -> None:
        key = (sender.name, item.number)
        try:
            grant = await self._parts.dispatcher.acquire(self._wish(item))
        except RequestRefusedError as exc:
            self._asks.pop(key, None)
            refusal = edge_messages.PlacementRefused(
                item.number, round(exc.retry_after_s * 1000), exc.reason
            )
            self._parts.send(sender.address, refusal)
            return
        self._grants[key] = grant
        self._answer(sender, item.number, grant)

    def _answer(self, sender: Scheduler, number: int, grant: Grant) -> None:
        choice = grant.choice
        answer = edge_messages.PlacementGranted(
            number,
            choice.target.id,
            choice.uncached_tokens,
            round(choice.prefill_s * 1000),
            round(choice.first_token_s * 1000),
        )
        self._parts.send(sender.address, answer)

    def _wish(self, item: edge_messages.PlacementRequest) -> Wish:
        now = self._parts.clock()
        demand = Demand(
            item.service,
            item.prompt_tokens,
            item.output_tokens,
            tuple(PromptPart(*pair) for pair in item.parts),
            item.session,
        )
        return Wish(
            demand=demand,
            team=item.team,
            objective_s=item.objective_ms / 1000,
            due_at=now + item.due_ms / 1000,
            deadline_at=now + item.deadline_ms / 1000,
            arrived_at=now,
            excluded=frozenset(item.excluded),
            first=item.is_first_attempt,
            route=item.route,
            size_class=item.size_class,
            fingerprint=item.fingerprint,
        )

    def _end(self, key: tuple[str, int], outcome: str) -> None:
        ask = self._asks.pop(key, None)
        grant = self._grants.pop(key, None)
        if grant is not None:
            service = ask.service if ask else grant.choice.target.service
            note_outcome(self._parts, service, grant, outcome)
            grant.__exit__()
        elif ask is not None:
            ask.task.cancel()


def note_outcome(
    parts: SchedulingParts, service: str, grant: Grant, outcome: str
) -> None:
    """Tells the health of a service how a request ended on its target."""
    parts.dispatcher.note_outcome(grant, outcome)
    health = parts.health(service)
    now = parts.clock()
    target_id = grant.choice.target.id
    if outcome == cell_messages.OUTCOME_COMPLETED:
        health.record_success(target_id, grant.first_token_s, now)
    elif outcome == cell_messages.OUTCOME_ERROR:
        health.record_error(target_id, now)
    elif outcome == cell_messages.OUTCOME_NOT_SENT:
        health.record_failure(target_id, now, refused=True)
    elif outcome in (
        cell_messages.OUTCOME_BROKEN,
        cell_messages.OUTCOME_TIMEOUT,
    ):
        health.record_failure(target_id, now)
