"""Schedulers of the cells that are assigned to this router.

A cell is a set of targets of one service with a single scheduler. The hub of a
service runs on the router of its first cell and sums the costs charged to each
team in all cells of the service.

A slot is the capacity of a target for one running request. A target is ejected,
which means that it gets no requests for a while, if it fails or is slow.
"""

import asyncio
import logging
import time
from collections.abc import Callable, Iterable

import msgspec
from chervilwall import cell_messages, events
from chervilwall.cell_messages import Envelope
from chervilwall.cells import (
    Cell,
    find_cells,
    hub_of,
    siblings_of,
    split_cells,
)
from chervilwall.config import TARGET_ACTIVE, TARGET_LEAVING, Config, Target
from chervilwall.quarantine import Quarantine
from chervilwall.rendezvous import assign
from chervilwall.scheduler import CellScheduler
from chervilwall.siblings import ServiceHub
from chervilwall.slots import RunningAttempt
from tornado.httpclient import AsyncHTTPClient, HTTPError

from chervilwall_router.settings import TimingSettings, split_address

LOG = logging.getLogger(__name__)


class TargetLoad(msgspec.Struct):
    """Load report of a target, its answer to `GET /load`.

    Args:
        active (int): Number of requests that the target is running.
        leaving (bool): Whether it asks not to receive further requests.
        model (str): Version of the model that it has loaded.
    """

    active: int = 0
    leaving: bool = False
    model: str = ""


class CellHost:
    """Run the schedulers of the cells that are assigned to this router.

    Args:
        name (str): Name of this router.
        quarantine (Quarantine): Requests suspected of crashing targets, shared
            by all cells.
        timing (TimingSettings): Intervals and timeouts.
        send (Callable): Sends envelopes to routers.
        on_lost (Callable): Called with the incarnation of a lost router, a
            service and the router's running attempts there.
    """

    def __init__(
        self,
        name: str,
        quarantine: Quarantine,
        timing: TimingSettings,
        *,
        send: Callable[[Iterable[Envelope]], None],
        on_lost: Callable[[str, str, list[RunningAttempt]], None],
    ) -> None:
        self._name = name
        self._quarantine = quarantine
        self._timing = timing
        self._send = send
        self._on_lost = on_lost
        self._config = Config()
        self._leaving_hosts: frozenset[str] = frozenset()
        self._leaving_targets: set[str] = set()
        self._ejected: set[str] = set()
        self._quarantined: set[bytes] = set()
        self._schedulers: dict[str, CellScheduler] = {}
        self._hubs_by_service: dict[str, ServiceHub] = {}
        self._http = AsyncHTTPClient(force_instance=True, max_clients=64)
        self.cells: dict[str, Cell] = {}
        self.router_by_cell: dict[str, str] = {}
        self.loads: dict[str, TargetLoad] = {}

    def __repr__(self) -> str:
        return f"CellHost({self._name!r}, schedulers={len(self._schedulers)})"

    def close(self) -> None:
        """Closes idle connections."""
        self._http.close()

    def schedulers(self) -> tuple[CellScheduler, ...]:
        """Returns the schedulers that this router runs."""
        return tuple(self._schedulers.values())

    def scheduler(self, cell: str) -> CellScheduler | None:
        """Returns the scheduler of a cell, None if it runs elsewhere."""
        return self._schedulers.get(cell)

    def is_scheduled_here(self, cell: str) -> bool:
        """Returns whether this router schedules a cell."""
        return cell in self._schedulers

    def target(self, name: str) -> Target | None:
        """Returns a target of the current configuration, or None."""
        for cell in self.cells.values():
            for target in cell.targets:
                if target.name == name:
                    return target
        return None

    def configure(self, config: Config) -> None:
        """Applies a new configuration to the cells and their schedulers."""
        self._config = config
        self.cells = split_cells(config)
        self._leaving_targets &= {t.name for t in config.targets}
        self._reconfigure_schedulers()

    def set_leaving_hosts(self, addresses: frozenset[str]) -> None:
        """Applies the set of hosts that the platform lists as leaving.

        Args:
            addresses (frozenset): IP addresses of the hosts.
        """
        if addresses != self._leaving_hosts:
            self._leaving_hosts = addresses
            self._reconfigure_schedulers()

    def assign_cells(self, members: list[str]) -> list[str]:
        """Assigns each cell to a router.

        The schedulers that this router has to run from now on are started, and
        the others are stopped.

        The scheduler of a cell that moves away hands its state over to the
        cell's new router.

        Args:
            members (list): Names of the routers that may schedule.

        Returns:
            Names of the cells whose router changed, including new cells.
        """
        assigned = assign(self.cells, members)
        changed = [
            n for n in assigned if assigned[n] != self.router_by_cell.get(n)
        ]
        self.router_by_cell = assigned
        for name in [
            n for n in self._schedulers if assigned.get(n) != self._name
        ]:
            self._send_to_cell(name, self._schedulers[name].make_handover())
            del self._schedulers[name]
            events.log_event(LOG, events.CELL_SCHEDULING_STOPPED, cell=name)
        for name in assigned:
            if assigned[name] == self._name and name not in self._schedulers:
                self._start_scheduler(self.cells[name])
        return changed

    def receive(self, peer: str, msg: cell_messages.Message) -> None:
        """Passes a message to the scheduler of its cell.

        A `ServiceReport` of a cell goes to the hub of its service instead.
        Messages for a cell that this router does not schedule are dropped.
        """
        cell = getattr(msg, "cell", "")
        if isinstance(msg, cell_messages.ServiceReport) and not msg.from_hub:
            self._hub_of_service(cell.partition("#")[0]).add(msg)
            return
        scheduler = self._schedulers.get(cell)
        if scheduler is None:
            return
        now = time.monotonic()
        out: list[Envelope] = []
        if isinstance(msg, cell_messages.Enqueue):
            out = scheduler.enqueue(peer, msg, now)
        elif isinstance(msg, cell_messages.Cancel):
            scheduler.cancel(peer, msg.req_id)
        elif isinstance(msg, cell_messages.Done):
            out = scheduler.finish(peer, msg, now)
        elif isinstance(msg, cell_messages.Sync):
            out = scheduler.sync(peer, msg, now)
        elif isinstance(msg, cell_messages.FreeSlotsOffer):
            out = scheduler.receive_offer(msg, now)
        elif isinstance(msg, cell_messages.ServiceReport):
            scheduler.charge_sibling_service(msg)
        elif isinstance(msg, cell_messages.Handover):
            scheduler.apply_handover(msg)
        self._send(out)

    def _hub_of_service(self, service: str) -> ServiceHub:
        return self._hubs_by_service.setdefault(service, ServiceHub())

    def drop_router(self, name: str, incarnation: str) -> None:
        """Drops the requests of a lost router and releases their slots.

        Args:
            name (str): Name of the lost router.
            incarnation (str): Its incarnation.
        """
        now = time.monotonic()
        for scheduler in self._schedulers.values():
            lost, out = scheduler.drop_router(name, now)
            self._send(out)
            if lost:
                self._on_lost(incarnation, scheduler.service, lost)

    def tick(self) -> None:
        """Advances the timers of all schedulers.

        Also sends the offers of free slots that are due to other cells of the
        same service.
        """
        now = time.monotonic()
        for scheduler in list(self._schedulers.values()):
            self._send(scheduler.tick(now))
            siblings = siblings_of(self.cells, scheduler.cell)
            offer = scheduler.announce_free_slots(siblings, now)
            if offer is not None:
                self._send_to_cell(offer.cell, offer)

    def exchange_usage(self) -> None:
        """Exchanges the costs charged to teams between cells and hubs.

        Each cell scheduled here reports its costs to the hub of its service.
        Each hub that runs here reports to each cell the costs of the others.
        """
        for scheduler in list(self._schedulers.values()):
            report = scheduler.take_unreported_service()
            if report and siblings_of(self.cells, scheduler.cell):
                self._send_to_hub(scheduler.service, report)
        for service, hub in self._hubs_by_service.items():
            for report in hub.take_messages(find_cells(self.cells, service)):
                self._send_to_cell(report.cell, report)

    def _send_to_cell(self, cell: str, msg: cell_messages.Message) -> None:
        router = self.router_by_cell.get(cell)
        if router:
            self._send([Envelope(router, msg)])

    def _send_to_hub(
        self, service: str, msg: cell_messages.ServiceReport
    ) -> None:
        router = self.router_by_cell.get(hub_of(service))
        if router:
            self._send([Envelope(router, msg)])

    def log_changes(self) -> None:
        """Logs targets ejected and requests quarantined since the last call."""
        now = time.monotonic()
        ejected = {
            target
            for scheduler in self._schedulers.values()
            for target in scheduler.slots.health.ejected(now)
        }
        for target in ejected - self._ejected:
            events.log_event(
                LOG, events.TARGET_EJECTED, step="check target", peer=target
            )
        self._ejected = ejected
        quarantined = self._quarantine.refused(now)
        for fingerprint in quarantined - self._quarantined:
            events.log_event(
                LOG,
                events.REQUEST_QUARANTINED,
                step="check request",
                fingerprint=fingerprint.hex(),
            )
        self._quarantined = quarantined

    async def poll_loads(self) -> None:
        """Requests a load report from each target of the cells scheduled here.

        A target that does not respond keeps its last report.
        """
        targets = [
            target
            for name in self._schedulers
            for target in self.cells[name].targets
        ]
        await asyncio.gather(*(self._poll_target(target) for target in targets))

    async def _poll_target(self, target: Target) -> None:
        url = f"http://{target.address}/load"
        limit_s = self._timing.platform_timeout_s
        try:
            response = await self._http.fetch(url, request_timeout=limit_s)
            load = msgspec.json.decode(response.body, type=TargetLoad)
        except (
            HTTPError,
            OSError,
            msgspec.MsgspecError,
            RecursionError,
        ):
            return
        self._record_load(target, load)

    def _record_load(self, target: Target, load: TargetLoad) -> None:
        self.loads[target.name] = load
        if load.leaving != (target.name in self._leaving_targets):
            self._leaving_targets ^= {target.name}
            self._reconfigure_schedulers()
        now = time.monotonic()
        for name, scheduler in self._schedulers.items():
            if target in self.cells[name].targets:
                out = scheduler.record_load(target.name, load.active, now)
                self._send(out)

    def _start_scheduler(self, cell: Cell) -> None:
        scheduler = CellScheduler(cell.name, cell.service, self._quarantine)
        scheduler.configure(self._config, self._mark_leaving_targets(cell))
        self._schedulers[cell.name] = scheduler
        events.log_event(LOG, events.CELL_SCHEDULING_STARTED, cell=cell.name)

    def _reconfigure_schedulers(self) -> None:
        for name, scheduler in list(self._schedulers.items()):
            if name in self.cells:
                cell = self.cells[name]
                scheduler.configure(
                    self._config, self._mark_leaving_targets(cell)
                )

    def _mark_leaving_targets(self, cell: Cell) -> list[Target]:
        return [
            target._replace(state=TARGET_LEAVING)
            if self._is_leaving(target)
            else target
            for target in cell.targets
        ]

    def _is_leaving(self, target: Target) -> bool:
        """Returns whether a target must not receive further requests.

        This is stated by the configuration, by the platform's list of hosts, or
        by the target's own load report.
        """
        host, _ = split_address(target.address)
        return (
            target.state != TARGET_ACTIVE
            or host in self._leaving_hosts
            or target.name in self._leaving_targets
        )
