"""An edge router, put together and run."""

import asyncio
import logging
import random
import secrets
import time

import msgspec
from chervilwall import events
from chervilwall.address_list import CallerAddress
from chervilwall.crash_ledger import QuarantineChange
from chervilwall.edge_messages import EdgeMessage, RecentPrefix
from chervilwall.hubs import HubCandidate
from chervilwall.placement import Placement, PlacementSettings
from chervilwall.prefix import PromptPart
from chervilwall.protocol import ObjectStore, PlatformDecoder, WireFormat
from chervilwall.routing import RoutingTable
from chervilwall.running_requests import Granter
from chervilwall.service_totals import ServiceTotals
from chervilwall.wait_queue import WaitSettings
from tornado.httputil import HTTPServerRequest

from chervilwall_router.edge import catch_up
from chervilwall_router.edge.clock import elapsed_s
from chervilwall_router.edge.connections import TargetConnections
from chervilwall_router.edge.crash_watch import CrashWatch, CrashWatchParts
from chervilwall_router.edge.directory import Directory, DirectoryParts
from chervilwall_router.edge.dispatcher import Dispatcher, DispatcherParts
from chervilwall_router.edge.fleet_view import FleetParts, FleetView
from chervilwall_router.edge.flow import RequestFlow
from chervilwall_router.edge.granting import SchedulingParts
from chervilwall_router.edge.housekeeping import (
    Housekeeping,
    HousekeepingParts,
)
from chervilwall_router.edge.ingress import Ingress
from chervilwall_router.edge.memory import make_memory
from chervilwall_router.edge.peer_link import PeerLink
from chervilwall_router.edge.reports import (
    MAX_REPORTED_PREFIXES,
    ReportParts,
    Reports,
)
from chervilwall_router.edge.scheduling import Scheduling
from chervilwall_router.edge.service_health import ServiceHealth
from chervilwall_router.edge.settings import EdgeSettings
from chervilwall_router.edge.shutdown import Shutdown, ShutdownParts
from chervilwall_router.edge.side_server import Reply, SideServer
from chervilwall_router.edge.state import ConfigState, RegistryState
from chervilwall_router.edge.store_member import StoreMember
from chervilwall_router.edge.store_watch import KindReader, StoreWatch
from chervilwall_router.edge.stored_crashes import (
    CRASH_KIND,
    StoredCrashes,
    StoredCrashParts,
)
from chervilwall_router.edge.target_notices import NoticeParts, TargetNotices
from chervilwall_router.edge.work import FlowParts
from chervilwall_router.metrics import RouterMetrics, render_text
from chervilwall_router.settings import split_address

LOG = logging.getLogger(__name__)
# Portion of an engine's memory that running requests leave to cached parts.
CACHED_PORTION = 0.6
# Callers wait a second for a connection; more of them than a busy host takes in
# that time are better turned away by the kernel.
LISTEN_BACKLOG = 128


class EdgeRouter:
    """Serve callers on a platform where targets register themselves.

    Args:
        settings (EdgeSettings): Settings.
        store (ObjectStore): The platform's store.
        decoder (PlatformDecoder): Reads what others write there.
        wire (WireFormat): Names of headers.
    """

    def __init__(
        self,
        settings: EdgeSettings,
        store: ObjectStore,
        decoder: PlatformDecoder,
        wire: WireFormat,
    ) -> None:
        self._cfg = settings
        self._store = store
        self._rng = random.Random()
        self._clock = elapsed_s
        self._tasks: list[asyncio.Task[None]] = []
        self._me = Granter(settings.name, secrets.randbits(62))
        self._recent_prefixes: list[RecentPrefix] = []
        self._build_state(decoder)
        self._build_scheduling()
        self._build_flow(wire)
        self._build_links(wire)

    def __repr__(self) -> str:
        return f"EdgeRouter(name={self._cfg.name!r})"

    def _build_state(self, decoder: PlatformDecoder) -> None:
        self.metrics = RouterMetrics()
        self.totals = ServiceTotals()
        memory = self._memory = make_memory(self._cfg)
        self.registry, self.peers = memory.registry, memory.peers
        self.running_requests, self.host_load = (
            memory.running_requests,
            memory.host_load,
        )
        self._health = ServiceHealth(self._memory.load, self._clock)
        self._member = StoreMember(
            self._store,
            self._cfg.name,
            self._me.incarnation,
            self._cfg.listen.peers,
            self.totals,
            self._rng,
        )
        self.connections = TargetConnections(self._clock)
        self.crashes = CrashWatch(
            CrashWatchParts(
                name=self._cfg.name,
                ledger=memory.crashes,
                registry=self.registry,
                probe=self.connections.probe,
                tell_peers=lambda: self.link.send_now(),
                judged=self._judged,
                metrics=self.metrics,
                clock=self._clock,
            )
        )
        self.stored_crashes = StoredCrashes(
            StoredCrashParts(
                self._store,
                self._cfg.name,
                self.crashes.take_news,
                time.time,
                self._clock,
                self._rng,
            )
        )
        self.config = ConfigState(decoder, self._config_changed)
        self.targets = RegistryState(
            decoder,
            self.registry,
            self._target_ended,
            self._targets_changed,
            self._clock,
            self.crashes,
        )
        self.fleet = FleetView(
            FleetParts(
                name=self._cfg.name,
                address=self._cfg.listen.peers,
                me=HubCandidate(self._cfg.cpu, self._cfg.zone),
                mesh_most=self._cfg.mesh_most,
                peers=self.peers,
                addresses=self._member.addresses,
                is_ready=self._is_ready,
                clock=self._clock,
            )
        )
        self._watches = [
            self._watch(decoder.config_kind, self.config),
            self._watch(decoder.target_kind, self.targets),
        ]
        self._record_watch = self._watch(CRASH_KIND, self.stored_crashes)

    def _watch(self, kind: str, reader: KindReader) -> StoreWatch:
        return StoreWatch(
            self._store,
            kind,
            reader,
            wait_s=self._cfg.store.watch_s,
            clock=self._clock,
            rng=self._rng,
            wanted=self.fleet.follows_store,
        )

    def _has_store(self) -> bool:
        return not any(watch.lost for watch in self._watches)

    def _build_scheduling(self) -> None:
        self.placement = Placement(
            PlacementSettings(),
            self._cfg.zone,
            self._memory.load,
            self._memory.prefixes,
            self._memory.model,
            self._health.is_usable,
        )
        self.dispatcher = Dispatcher(
            DispatcherParts(
                settings=WaitSettings(),
                placement=self.placement,
                registry=self.registry,
                load=self._memory.load,
                prefixes=self._memory.prefixes,
                model=self._memory.model,
                shares=self._memory.shares,
                crashes=self._memory.crashes,
                capacity=self._capacity,
                routers=self.fleet.count,
                granted=self._note_grant,
                clock=self._clock,
            )
        )
        self.scheduling = Scheduling(
            SchedulingParts(
                me=self._me,
                dispatcher=self.dispatcher,
                registry=self.registry,
                running_requests=self.running_requests,
                pauses=self._memory.pauses,
                health=self._health.of,
                find=self.fleet.find_scheduler,
                send=self._send,
                clock=self._clock,
            )
        )

    def _build_flow(self, wire: WireFormat) -> None:
        self._notices = TargetNotices(
            NoticeParts(
                registry=self.registry,
                pauses=self._memory.pauses,
                tell_peers=lambda: self.link.send_now(),
                clock=self._clock,
            )
        )
        self.flow = RequestFlow(
            FlowParts(
                table=lambda: self.config.table,
                scheduling=self.scheduling,
                waiting=self.dispatcher.waiting,
                connections=self.connections,
                wire=wire,
                retries=self._cfg.retries,
                routers=self.fleet.count,
                metrics=self.metrics,
                totals=self.totals,
                clock=self._clock,
                rng=self._rng,
                crashes=self.crashes,
                heard=self._notices.hear,
                host_load=self.host_load,
            )
        )

    def _build_links(self, wire: WireFormat) -> None:
        self.ingress = Ingress(self.flow, wire, self._clock)
        self._shutdown = Shutdown(
            ShutdownParts(
                settings=lambda: self._cfg.stop,
                ingress=self.ingress,
                flow=self.flow,
                tell=self._tell_leaving,
                clock=self._clock,
            )
        )
        self.reports = Reports(
            ReportParts(
                settings=self._cfg,
                me=self._me,
                config=self.config,
                targets=self.targets,
                memory=self._memory,
                scheduling=self.scheduling,
                dispatcher=self.dispatcher,
                crashes=self.crashes,
                is_ready=self._is_ready,
                recipients=self.fleet.recipients,
                follows=self._has_store,
                clock=self._clock,
            ),
            self._recent_prefixes,
        )
        self.link = PeerLink(
            self._cfg.name,
            self._me.incarnation,
            self.reports.posts,
            self.reports.take_frame,
        )
        self._catching_up = catch_up.CatchUp(
            self._cfg.name,
            self._cfg.zone,
            self.config,
            self.targets,
            self.peers,
            lambda: self.link.codec,
            self._clock,
        )
        self._housekeeping = Housekeeping(
            HousekeepingParts(
                targets=self.targets,
                connections=self.connections,
                crashes=self.crashes,
                dispatcher=self.dispatcher,
                memory=self._memory,
                scheduling=self.scheduling,
                catching_up=self._catching_up,
                metrics=self.metrics,
                clock=self._clock,
            )
        )
        self._build_pages()

    def _build_pages(self) -> None:
        """Makes the small servers beside the one for callers."""
        self.directory = Directory(
            DirectoryParts(
                ready=self._open_routers,
                busy=self.fleet.hubs,
                ttl_s=lambda: self._cfg.address_ttl_s,
                clock=self._clock,
            )
        )
        self._side_servers = {
            self._cfg.listen.readiness: SideServer({"/ready": self._ready}),
            self._cfg.listen.directory: SideServer(
                {"/routers": self.directory.page}
            ),
            self._cfg.listen.peers: SideServer(
                {catch_up.PATH: self._catching_up.page}
            ),
            self._cfg.listen.metrics: SideServer({"/metrics": self._metrics}),
        }

    async def __aenter__(self) -> "EdgeRouter":
        host, port = split_address(self._cfg.listen.callers)
        self.ingress.listen(host, port, backlog=LISTEN_BACKLOG)
        for address, server in self._side_servers.items():
            server.listen(address)
        await self.link.open(self._cfg.listen.peers)
        loop = asyncio.get_running_loop()
        for watch in self._watches:
            self._tasks.append(loop.create_task(watch.run()))
        self._tasks.append(loop.create_task(self._record_watch.run()))
        self._tasks.append(loop.create_task(self.stored_crashes.keep()))
        self._tasks.append(loop.create_task(self._join()))
        self._tasks.append(loop.create_task(self._member.keep_totals()))
        self._tasks.append(loop.create_task(self._housekeeping.run()))
        events.log_event(
            LOG, events.ROUTER_STARTED, name=self._cfg.name, zone=self._cfg.zone
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        self.link.close()
        self.ingress.stop()
        for server in self._side_servers.values():
            server.stop()
        with self.connections:
            events.log_event(LOG, events.ROUTER_STOPPED, name=self._cfg.name)

    def begin_stop(self) -> None:
        """Begins a graceful shutdown."""
        self._shutdown.begin()

    def _tell_leaving(self) -> None:
        self.directory.forget()
        self.link.send_now()

    def reload(self, settings: EdgeSettings) -> None:
        """Takes in changed settings; addresses stay until a restart."""
        fixed = {"name": self._cfg.name, "listen": self._cfg.listen}
        self._cfg = msgspec.structs.replace(settings, **fixed)
        events.log_event(LOG, events.SETTINGS_RELOADED, name=self._cfg.name)

    async def run(self) -> None:
        """Serves until the shutdown has ended."""
        await self._shutdown.wait()
        await self.write_totals()
        for task in self.ingress.tasks:
            task.cancel()

    # What the parts ask of the router.

    def _capacity(self) -> float:
        table = self.config.table
        return table.limits.tokens_per_s if table else 0.0

    @property
    def settings(self) -> EdgeSettings:
        """The settings of this router."""
        return self._cfg

    def _note_grant(
        self, target_id: str, parts: tuple[PromptPart, ...]
    ) -> None:
        if parts and len(self._recent_prefixes) < MAX_REPORTED_PREFIXES:
            pairs = tuple((p.id, p.tokens) for p in parts)
            self._recent_prefixes.append(RecentPrefix(target_id, pairs))

    def _config_changed(self, table: RoutingTable) -> None:
        tokens = [s.kv_tokens for s in table.services.values() if s.kv_tokens]
        if tokens:
            self._memory.prefixes.capacity_tokens = int(
                min(tokens) * CACHED_PORTION
            )
        self.link.send_now()

    def _targets_changed(self) -> None:
        self._health.set_targets(self.registry.all().values())
        self.dispatcher.pump()

    def _judged(self, change: QuarantineChange) -> None:
        self.dispatcher.refuse_crashing()
        self.stored_crashes.note_change(change)

    def _target_ended(self, target_id: str) -> None:
        self._memory.prefixes.forget(target_id)
        self._memory.model.forget(target_id)
        self.connections.close_all(target_id)
        self._memory.pauses.forget(target_id)

    def _send(self, address: str, item: EdgeMessage) -> None:
        self.link.send(address, item)

    def _is_ready(self) -> bool:
        knows_all = self.config.table is not None and self.targets.revision > 0
        return knows_all and not self._shutdown.has_begun()

    async def _join(self) -> None:
        self.link.codec = await self._member.join()
        self.link.send_now()

    async def write_totals(self) -> None:
        """Writes the service of this incarnation, if it has changed."""
        await self._member.write_totals()

    # Pages of the side servers.

    def _ready(self, _: HTTPServerRequest) -> Reply:
        return Reply(200 if self._is_ready() else 503)

    def _open_routers(self) -> dict[str, CallerAddress]:
        ready = self.peers.ready_peers(self._clock())
        if self._is_ready():
            ready[self._cfg.name] = CallerAddress(
                self._cfg.listen.callers, self._cfg.zone
            )
        return ready

    def _metrics(self, _: HTTPServerRequest) -> Reply:
        text = render_text(self.metrics.view())
        return Reply(200, text.encode(), "text/plain")
