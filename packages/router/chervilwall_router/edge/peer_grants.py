"""Grants of this router, as a scheduler, to requests of other routers.

Dispatcher grants targets to requests, Granting passes the grants to other
routers, and Scheduling gets a target for a request of this router, from its own
Dispatcher or from the scheduler.
"""

import asyncio
import logging
import math
from collections.abc import Callable, Collection
from typing import NamedTuple

from chervilwall import cell_messages, edge_messages, events
from chervilwall.edge_messages import GranterLoad
from chervilwall.errors import RequestRefusedError
from chervilwall.health import CellHealth
from chervilwall.pauses import TargetPauses
from chervilwall.placement import Choice, Demand
from chervilwall.prefix import PromptPart
from chervilwall.registry import TargetRegistry
from chervilwall.reported_load import PassedLoad, ReportedLoad
from chervilwall.running_requests import Granter, RunningRequests
from chervilwall.wire_version import reads_load_reports

from chervilwall_router.edge.dispatcher import Dispatcher
from chervilwall_router.edge.grants import Grant, GrantRequest

LOG = logging.getLogger(__name__)
# Seconds after which a request may succeed that failed unexpectedly.
FAILURE_RETRY_S = 0.5
# Age in seconds from which a grant counts as ended if the report of the router
# that holds it does not list it.
UNLISTED_GRACE_S = 0.6


class SchedulerPeer(NamedTuple):
    """Identity and address of a router that schedules or that sent a message.

    It is the router that schedules a service or, where a message is received,
    the sender of the message.

    Args:
        name (str): Name of the router.
        incarnation (int): Number that differs from one start to the next.
        address (str): Address for datagrams.
    """

    name: str
    incarnation: int
    address: str


class _Key(NamedTuple):
    """Identity of a request of another router.

    Args:
        router (str): Name of the router.
        incarnation (int): Its incarnation, as each one counts its requests
            anew.
        number (int): Number of the request there.
    """

    router: str
    incarnation: int
    number: int


class SchedulingParts(NamedTuple):
    """Dependencies of Scheduling and Granting.

    Args:
        me (Granter): Identity of this router as a scheduler.
        dispatcher (Dispatcher): Grants targets on this router.
        registry (TargetRegistry): Registered targets.
        running_requests (RunningRequests): Requests of this router that hold a
            target.
        pauses (TargetPauses): Targets that asked this router to pause.
        reported (ReportedLoad): Load that the targets report.
        health (Callable): Returns the health of the targets of a service.
        find_scheduler (Callable): Returns the scheduler of a service, or None
            if that is this router; called with the service and the names of
            routers to avoid.
        send (Callable): Sends a message to a datagram address.
        clock (Callable): Returns the monotonic time in seconds.
    """

    me: Granter
    dispatcher: Dispatcher
    registry: TargetRegistry
    running_requests: RunningRequests
    pauses: TargetPauses
    reported: ReportedLoad
    health: Callable[[str], CellHealth]
    find_scheduler: Callable[[str, Collection[str]], SchedulerPeer | None]
    send: Callable[[str, edge_messages.EdgeMessage], None]
    clock: Callable[[], float]


class _PeerRequest(NamedTuple):
    """A request of another router and the task that grants it a target."""

    service: str
    task: "asyncio.Task[None]"


class Granting:
    """Grant targets to requests of other routers.

    Args:
        parts (SchedulingParts): Dependencies, shared with Scheduling.
    """

    def __init__(self, parts: SchedulingParts) -> None:
        self._parts = parts
        self._requests: dict[_Key, _PeerRequest] = {}
        self._grants: dict[_Key, Grant] = {}

    def __repr__(self) -> str:
        return f"Granting(grants={len(self._grants)})"

    def receive(
        self, sender: SchedulerPeer, item: edge_messages.AnyMessage
    ) -> None:
        """Handles a message of a router that requests or holds a target.

        Args:
            sender (SchedulerPeer): Router that sent the message.
            item (AnyMessage): Message; other types are ignored.
        """
        if isinstance(item, edge_messages.PlacementRequest):
            self._handle_request(sender, item)
        elif isinstance(item, edge_messages.PlacementFirstToken):
            grant = self._grants.get(_make_key(sender, item.number))
            self._record_load(grant, item.load)
            if grant is not None:
                grant.record_first_token(
                    item.first_token_ms / 1000, has_event=item.has_event
                )
        elif isinstance(item, edge_messages.PlacementSilent):
            grant = self._grants.get(_make_key(sender, item.number))
            if grant is not None:
                record_silence(self._parts, grant)
        elif isinstance(item, edge_messages.PlacementEnded):
            key = _make_key(sender, item.number)
            self._record_load(self._grants.get(key), item.load)
            self._end_request(key, item.outcome)

    def _record_load(
        self, grant: Grant | None, passed: PassedLoad | None
    ) -> None:
        if grant is not None and passed is not None:
            self._parts.reported.record_passed(
                grant.choice.target.start, passed, self._parts.clock()
            )

    def reconcile_grants(
        self, name: str, loads: tuple[GranterLoad, ...]
    ) -> None:
        """Ends the grants that a router no longer lists in its report.

        Args:
            name (str): Name of the router.
            loads (tuple): Load of the router's requests by granter.
        """
        me, now = self._parts.me, self._parts.clock()
        listed: set[int] = set()
        for load in loads:
            if (load.granter, load.incarnation) == me:
                listed.update(load.request_numbers)
        for key, grant in list(self._grants.items()):
            is_past_grace = now - grant.started_at > UNLISTED_GRACE_S
            if (
                key.router == name
                and key.number not in listed
                and is_past_grace
            ):
                self._end_request(key, cell_messages.OUTCOME_CANCELLED)

    def drop_peer(self, name: str) -> None:
        """Ends the requests and grants of a router that is gone.

        Args:
            name (str): Name of the router.
        """
        for key in [k for k in self._requests if k.router == name]:
            self._end_request(key, cell_messages.OUTCOME_CANCELLED)

    def _handle_request(
        self, sender: SchedulerPeer, item: edge_messages.PlacementRequest
    ) -> None:
        key = _make_key(sender, item.number)
        grant = self._grants.get(key)
        if grant is not None:
            self._send_grant(sender, item.number, grant)
            return
        if key in self._requests:
            self._parts.send(
                sender.address, edge_messages.PlacementQueued(item.number)
            )
            return
        work = self._acquire_grant(sender, item)
        task = asyncio.get_running_loop().create_task(work)
        self._requests[key] = _PeerRequest(item.service, task)
        # Scheduled after the task, so that a request that is granted at once is
        # not reported as queued first.
        asyncio.get_running_loop().call_soon(self._send_queued, sender, key)

    def _send_queued(self, sender: SchedulerPeer, key: _Key) -> None:
        if key in self._requests and key not in self._grants:
            self._parts.send(
                sender.address, edge_messages.PlacementQueued(key.number)
            )

    async def _acquire_grant(
        self, sender: SchedulerPeer, item: edge_messages.PlacementRequest
    ) -> None:
        key = _make_key(sender, item.number)
        try:
            grant = await self._parts.dispatcher.acquire(
                self._make_request(item)
            )
        except RequestRefusedError as exc:
            self._refuse(sender, key, exc.retry_after_s, exc.reason)
            return
        except Exception:
            # Without a refusal, the peer would ask until its deadline.
            events.log_failure(LOG, events.TASK_FAILED, peer=sender.name)
            self._refuse(sender, key, FAILURE_RETRY_S, "scheduler failed")
            return
        self._grants[key] = grant
        self._send_grant(sender, item.number, grant)

    def _refuse(
        self,
        sender: SchedulerPeer,
        key: _Key,
        retry_after_s: float,
        reason: str,
    ) -> None:
        self._requests.pop(key, None)
        refusal = edge_messages.PlacementRefused(
            key.number, round(retry_after_s * 1000), reason
        )
        self._parts.send(sender.address, refusal)

    def _send_grant(
        self, sender: SchedulerPeer, number: int, grant: Grant
    ) -> None:
        choice = grant.choice
        answer = edge_messages.PlacementGranted(
            number,
            choice.target.id,
            choice.uncached_tokens,
            round(choice.prefill_s * 1000),
            round(choice.first_token_s * 1000),
            choice.target.version,
            self._send_within_ms(grant),
            _age_ms(choice) if reads_load_reports(sender.incarnation) else -1,
        )
        self._parts.send(sender.address, answer)

    def _send_within_ms(self, grant: Grant) -> int:
        """Returns the time that is left to send a request, 0 for no limit.

        A grant that is repeated has become older meanwhile.
        """
        if math.isinf(grant.send_within_s):
            return 0
        age_s = self._parts.clock() - grant.started_at
        return max(1, round((grant.send_within_s - age_s) * 1000))

    def _make_request(
        self, item: edge_messages.PlacementRequest
    ) -> GrantRequest:
        now = self._parts.clock()
        demand = Demand(
            item.service,
            item.prompt_tokens,
            item.output_tokens,
            tuple(PromptPart(*pair) for pair in item.parts),
            item.session,
        )
        return GrantRequest(
            demand=demand,
            team=item.team,
            objective_s=item.objective_ms / 1000,
            due_at=now + item.due_ms / 1000,
            deadline_at=now + item.deadline_ms / 1000,
            arrived_at=now,
            excluded=frozenset(item.excluded),
            is_first_attempt=item.is_first_attempt,
            route=item.route,
            size_class=item.size_class,
            fingerprint=item.fingerprint,
            stream=item.stream,
            is_replacement=item.is_replacement,
        )

    def _end_request(self, key: _Key, outcome: str) -> None:
        request = self._requests.pop(key, None)
        grant = self._grants.pop(key, None)
        if grant is not None:
            service = (
                request.service if request else grant.choice.target.service
            )
            record_outcome(self._parts, service, grant, outcome)
            grant.__exit__()
        elif request is not None:
            request.task.cancel()


def _make_key(sender: SchedulerPeer, number: int) -> _Key:
    return _Key(sender.name, sender.incarnation, number)


def _age_ms(choice: Choice) -> int:
    """Returns the age of the load report that a choice used, -1 for none."""
    age_s = choice.load_age_s
    return -1 if age_s is None else round(age_s * 1000)


def record_silence(parts: SchedulingParts, grant: Grant) -> None:
    """Records that the target of a grant has been silent for too long."""
    target = grant.choice.target
    parts.health(target.service).record_failure(target.id, parts.clock())


def record_outcome(
    parts: SchedulingParts, service: str, grant: Grant, outcome: str
) -> None:
    """Records the outcome of a request in the health of its target.

    The trial of a quarantined request that did not run is cancelled.

    Args:
        parts (SchedulingParts): Dependencies.
        service (str): Service of the target.
        grant (Grant): Grant of the request.
        outcome (str): One of the OUTCOME_ constants of cell_messages.
    """
    parts.dispatcher.record_outcome(grant, outcome)
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
