"""Composition and life cycle of an edge router."""

import asyncio
import logging
import random
import time

import msgspec
from chervilwall import events
from chervilwall.address_list import CallerAddress
from chervilwall.caller_memory import CallerMemory
from chervilwall.cold_rates import ColdRates
from chervilwall.descriptor_budget import DescriptorBudget
from chervilwall.edge_messages import EdgeMessage, RecentPrefix
from chervilwall.hubs import HubCandidate
from chervilwall.load_choice import ReportUse
from chervilwall.placement import Placement
from chervilwall.prefix import PromptPart
from chervilwall.protocol import ObjectStore, PlatformDecoder, WireFormat
from chervilwall.quarantine_status import QuarantineChange
from chervilwall.request_pacer import RequestPacer, RequestSpacing
from chervilwall.routing import RoutingTable
from chervilwall.running_requests import Granter
from chervilwall.service_totals import ServiceTotals
from chervilwall.stream_versions import StreamVersions
from chervilwall.wire_version import new_incarnation
from tornado.httputil import HTTPServerRequest

from chervilwall_router.edge import snapshot_exchange
from chervilwall_router.edge.admission import RequestAdmission
from chervilwall_router.edge.background_tasks import BackgroundTasks
from chervilwall_router.edge.caller_bounds import CallerBounds
from chervilwall_router.edge.clock import elapsed_s
from chervilwall_router.edge.cold_metrics import render_cold
from chervilwall_router.edge.cold_notices import ColdNotices
from chervilwall_router.edge.connections import TargetConnectionPool
from chervilwall_router.edge.crash_evidence import CrashWatchParts
from chervilwall_router.edge.crash_watch import CrashWatch
from chervilwall_router.edge.directory import Directory, DirectoryParts
from chervilwall_router.edge.dispatcher import Dispatcher, DispatcherParts
from chervilwall_router.edge.evacuation_pages import (
    EVACUATIONS_PATH,
    EvacuationPages,
)
from chervilwall_router.edge.evacuation_state import (
    EvacuationParts,
    EvacuationState,
    log_returned_zones,
)
from chervilwall_router.edge.explanation import (
    EXPLAIN_PATH,
    Explainer,
    ExplainParts,
)
from chervilwall_router.edge.explanation_facts import ColdFacts, LoadFacts
from chervilwall_router.edge.fleet_membership import FleetMembership
from chervilwall_router.edge.fleet_view import FleetParts, FleetView
from chervilwall_router.edge.housekeeping import (
    Housekeeping,
    HousekeepingParts,
)
from chervilwall_router.edge.ingress import Ingress
from chervilwall_router.edge.kept_responses import KeptResponses
from chervilwall_router.edge.limit_metrics import render_limits
from chervilwall_router.edge.load_metrics import LoadMetrics
from chervilwall_router.edge.page_server import PageServer, Reply
from chervilwall_router.edge.peer_grants import SchedulingParts
from chervilwall_router.edge.peer_link import PeerLink
from chervilwall_router.edge.relaying.relays import Relaying, RelayingParts
from chervilwall_router.edge.reports import (
    MAX_REPORTED_PREFIXES,
    ReportParts,
    Reports,
)
from chervilwall_router.edge.request_run import DEFAULT_TIMEOUT_S
from chervilwall_router.edge.request_types import RequestContext
from chervilwall_router.edge.router_state import make_router_state
from chervilwall_router.edge.scheduling import Scheduling
from chervilwall_router.edge.service_health import ServiceHealth
from chervilwall_router.edge.settings import EdgeSettings
from chervilwall_router.edge.shutdown import Shutdown, ShutdownParts
from chervilwall_router.edge.store_state import ConfigState, RegistryState
from chervilwall_router.edge.store_watch import ObjectHandler, StoreWatch
from chervilwall_router.edge.stored_crashes import (
    CRASH_KIND,
    StoredCrashes,
    StoredCrashParts,
)
from chervilwall_router.edge.stream_records import (
    StreamRecordParts,
    StreamRecords,
)
from chervilwall_router.edge.target_notices import NoticeParts, TargetNotices
from chervilwall_router.metrics import RouterMetrics, render_text
from chervilwall_router.settings import split_address

LOG = logging.getLogger(__name__)
# Number of connections that a busy host accepts in the second after which
# callers give up on connecting. The kernel refuses further ones, which would
# only time out in the backlog.
LISTEN_BACKLOG = 128
# Time for the requests that a shutdown cancels to be answered.
CANCEL_TIMEOUT_S = 0.2
# Time for which a stream may be resumed, as a multiple of the timeout of its
# route: all attempts of its caller together may take longer than one.
STREAM_RETENTION_FACTOR = 2.0
# Time for a started router to receive the first reports of its peers.
SETTLE_S = 1.0
# Interval of reads that show whether a change of the configuration or of the
# targets was missed.
CHECK_INTERVAL_S = 2.0


class EdgeRouter:
    """Serve callers on a platform where targets register themselves.

    Args:
        settings (EdgeSettings): Settings.
        store (ObjectStore): Client of the platform's object store.
        decoder (PlatformDecoder): Decodes the configurations and registrations
            in the store.
        wire (WireFormat): Mapping between the platform's HTTP headers and
            requests and responses.
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
        self._started_at = self._clock()
        self._me = Granter(settings.name, new_incarnation())
        self._recent_prefixes: list[RecentPrefix] = []
        self._build_state(decoder)
        self._build_scheduling()
        self._build_admission(wire)
        self._build_links(wire)

    def __repr__(self) -> str:
        return f"EdgeRouter(name={self._cfg.name!r})"

    def _build_state(self, decoder: PlatformDecoder) -> None:
        self.metrics = RouterMetrics()
        self._tasks = BackgroundTasks(self.metrics, self._clock, self._rng)
        self.totals = ServiceTotals()
        state = self._state = make_router_state(self._cfg)
        self.registry, self.peers = state.registry, state.peers
        self.running_requests, self.host_load = (
            state.running_requests,
            state.host_load,
        )
        self.cold = ColdNotices(
            state.cold,
            lambda: self.link.send_reports_now(),
            self.metrics,
            lambda: state.host_load.lag_s(self._clock()),
            self._clock,
        )
        self._health = ServiceHealth(self._state.load, self._clock)
        self._membership = FleetMembership(
            self._store,
            self._cfg.name,
            self._me.incarnation,
            self._cfg.listen.peers,
            self.totals,
            self._rng,
        )
        self.descriptors = DescriptorBudget(self._cfg.max_descriptors)
        self.connections = TargetConnectionPool(
            self._clock, self.descriptors.max_idle_targets
        )
        self.crashes = CrashWatch(
            CrashWatchParts(
                name=self._cfg.name,
                ledger=state.crashes,
                registry=self.registry,
                probe=lambda target: self.cold.watch_probe(
                    self.connections.probe(target), target
                ),
                send_reports_now=lambda: self.link.send_reports_now(),
                on_quarantine_change=self._quarantine_changed,
                metrics=self.metrics,
                clock=self._clock,
            )
        )
        self.stored_crashes = StoredCrashes(
            StoredCrashParts(
                self._store,
                self._cfg.name,
                self.crashes.apply_updates,
                time.time,
                self._clock,
                self._rng,
            )
        )
        self.streams = StreamVersions(self._stream_retention_s)
        self.stream_records = StreamRecords(
            StreamRecordParts(
                self._store,
                self._cfg.name,
                self._cfg.bootstrap,
                self.streams,
                lambda: self.dispatcher.schedule_pass(),
                self._scheduled_services,
                self._has_peer_majority,
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
                max_mesh_routers=self._cfg.mesh_most,
                peers=self.peers,
                addresses=self._membership.addresses,
                has_joined=lambda: self._membership.has_joined,
                is_ready=self._is_ready,
                clock=self._clock,
                services_with_cold_targets=state.cold.services,
            )
        )
        self._watches = [
            self._make_watch(
                decoder.config_kind,
                self.config,
                check_interval_s=CHECK_INTERVAL_S,
            ),
            self._make_watch(
                decoder.target_kind,
                self.targets,
                check_interval_s=CHECK_INTERVAL_S,
            ),
        ]
        self._watch_evacuations(decoder.evacuation_kind)
        self._crash_record_watch = self._make_watch(
            CRASH_KIND, self.stored_crashes
        )
        self._store.era.subscribe(self._store_restored)

    def _watch_evacuations(self, kind: str) -> None:
        """Adds the watch of evacuated zones if the settings enable it."""
        self.evacuations = EvacuationState(
            EvacuationParts(
                registry=self.registry,
                evacuation_ms=self._cfg.evacuation_ms,
                on_change=self._zones_changed,
                on_zones_returned=self._zones_returned,
                is_hub=lambda: self._cfg.name in self.fleet.hubs(),
                send_reports_now=lambda: self.link.send_reports_now(),
                learn_era=self._store.era.learn,
                metrics=self.metrics,
                clock=self._clock,
                wall_clock=time.time,
            )
        )
        if self.evacuations.is_enabled:
            interval_s = self.evacuations.check_interval_s(CHECK_INTERVAL_S)
            self._watches.append(
                self._make_watch(
                    kind, self.evacuations, check_interval_s=interval_s
                )
            )

    def _make_watch(
        self,
        kind: str,
        handler: ObjectHandler,
        *,
        check_interval_s: float | None = None,
    ) -> StoreWatch:
        return StoreWatch(
            self._store,
            kind,
            handler,
            wait_s=self._cfg.store.watch_s,
            clock=self._clock,
            rng=self._rng,
            enabled=self.fleet.follows_store,
            check_interval_s=check_interval_s,
        )

    def _is_store_reachable(self) -> bool:
        return not any(watch.unavailable for watch in self._watches)

    def _is_store_away(self) -> bool:
        """Returns whether the store answers neither this router nor a peer."""
        if self._is_store_reachable():
            return False
        recent = self.peers.recent_reports(self._clock()).values()
        return not any(state.report.store_reachable for state in recent)

    def _build_scheduling(self) -> None:
        self._cold_spacing: RequestSpacing | None = None
        if self._cfg.cold is not None:
            self._cold_spacing = RequestSpacing(
                ColdRates(
                    self._state.cold,
                    self._cfg.cold,
                    self.fleet.cold_fraction,
                    self.fleet.cold_resumes_in_s,
                )
            )
        self._pacer = RequestPacer(
            self._state.limits,
            self.fleet.limit_fraction,
            [self._cold_spacing] if self._cold_spacing else [],
        )
        self.placement = Placement(
            self._cfg.placement,
            self._cfg.zone,
            self._state.load,
            self._state.prefixes,
            self._state.model,
            self._health.is_usable,
            self._pacer,
            ReportUse(
                self._state.reported, self.fleet.scheduler_count, self._rng
            ),
        )
        self._load_metrics = LoadMetrics(
            self.registry, self._state.load, self._state.reported
        )
        self.dispatcher = Dispatcher(
            DispatcherParts(
                settings=self._cfg.waiting,
                placement=self.placement,
                registry=self.registry,
                load=self._state.load,
                prefixes=self._state.prefixes,
                model=self._state.model,
                shares=self._state.shares,
                crashes=self._state.crashes,
                tokens_per_s=self._tokens_per_s,
                scheduler_count=self.fleet.scheduler_count,
                on_grant=self._record_grant,
                streams=self.streams,
                agreement=self.stream_records,
                pacer=self._pacer,
                clock=self._clock,
                on_unreachable=self.cold.record_unreachable,
            )
        )
        self.scheduling = Scheduling(
            SchedulingParts(
                me=self._me,
                dispatcher=self.dispatcher,
                registry=self.registry,
                running_requests=self.running_requests,
                pauses=self._state.pauses,
                reported=self._state.reported,
                health=self._health.of,
                find_scheduler=self.fleet.find_scheduler,
                send=self._send,
                clock=self._clock,
            )
        )

    def _build_admission(self, wire: WireFormat) -> None:
        self._notices = TargetNotices(
            NoticeParts(
                registry=self.registry,
                pauses=self._state.pauses,
                limits=self._state.limits,
                cold=self.cold,
                reported=self._state.reported,
                send_reports_now=lambda: self.link.send_reports_now(),
                metrics=self.metrics,
                clock=self._clock,
            )
        )
        self.flow = RequestAdmission(
            RequestContext(
                table=lambda: self.config.table,
                scheduling=self.scheduling,
                waiting_count=self.dispatcher.waiting_count,
                connections=self.connections,
                wire=wire,
                retries=self._cfg.retries,
                known_router_count=self.fleet.known_router_count,
                metrics=self.metrics,
                totals=self.totals,
                clock=self._clock,
                started_at=self._started_at,
                rng=self._rng,
                crashes=self.crashes,
                on_response_head=self._notices.apply_head,
                host_load=self.host_load,
                streams=self.streams,
                kept=KeptResponses(
                    self._cfg.kept_bytes, self.metrics, self._clock
                ),
                cold=self.cold,
            )
        )

    def _build_links(self, wire: WireFormat) -> None:
        callers = self._cfg.callers
        self.caller_bounds = CallerBounds(
            CallerMemory(self._cfg.caller_bytes, callers.unread_bytes),
            self.descriptors,
            self.metrics,
            self._clock,
        )
        self.ingress = Ingress(
            self.flow,
            wire,
            self._clock,
            self.metrics,
            self.caller_bounds,
            callers.receive_buffer_bytes,
        )
        self._shutdown = Shutdown(
            ShutdownParts(
                settings=lambda: self._cfg.stop,
                ingress=self.ingress,
                flow=self.flow,
                announce=self._announce_leaving,
                clock=self._clock,
            )
        )
        self.reports = Reports(
            ReportParts(
                settings=self._cfg,
                me=self._me,
                config=self.config,
                targets=self.targets,
                state=self._state,
                scheduling=self.scheduling,
                dispatcher=self.dispatcher,
                crashes=self.crashes,
                evacuations=self.evacuations,
                is_ready=self._is_ready,
                recipients=self.fleet.recipients,
                store_reachable=self._is_store_reachable,
                learn_era=self._store.era.learn,
                stream_records=self.stream_records,
                cold=self.cold,
                metrics=self.metrics,
                send_reports_now=lambda: self.link.send_reports_now(),
                clock=self._clock,
            ),
            self._recent_prefixes,
        )
        self.link = PeerLink(
            self._cfg.name,
            self._me.incarnation,
            self.reports.outgoing,
            self.reports.receive_frame,
        )
        self.relaying = Relaying(
            RelayingParts(
                self._cfg,
                self._me.incarnation,
                self.ingress,
                self.peers,
                self.fleet.hubs,
                self.host_load,
                lambda: self.link.codec,
                self._is_ready,
                self.metrics,
                self._clock,
                self._rng,
                self.caller_bounds.descriptors.register,
            )
        )
        self._snapshot_exchange = snapshot_exchange.SnapshotExchange(
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
                state=self._state,
                scheduling=self.scheduling,
                stream_records=self.stream_records,
                cold=self.cold,
                snapshot_exchange=self._snapshot_exchange,
                is_store_away=self._is_store_away,
                metrics=self.metrics,
                clock=self._clock,
            )
        )
        self._build_page_servers()

    def _build_page_servers(self) -> None:
        """Builds the HTTP servers other than the one for callers."""
        self._evacuation_pages = EvacuationPages(
            self._cfg.name,
            self.evacuations,
            self.registry,
            self.running_requests,
            self.peers,
            self._clock,
            time.time,
        )
        self.directory = Directory(
            DirectoryParts(
                ready=self._routers_open_to_callers,
                busy=self.fleet.hubs,
                ttl_s=lambda: self._cfg.address_ttl_s,
                clock=self._clock,
            )
        )
        explainer = Explainer(
            ExplainParts(
                name=self._cfg.name,
                table=lambda: self.config.table,
                state=self._state,
                dispatcher=self.dispatcher,
                is_usable=self._health.is_usable,
                find_scheduler=self.fleet.find_scheduler,
                tokens_per_s=self._tokens_per_s,
                clock=self._clock,
                facts=(
                    ColdFacts(self._state.cold),
                    LoadFacts(self._state.reported),
                ),
            )
        )
        limit = self.caller_bounds.page_limit(self._cfg.max_descriptors)
        self._page_servers = {
            self._cfg.listen.readiness: PageServer(
                {"/ready": self._readiness_page}, limit
            ),
            self._cfg.listen.directory: PageServer(
                {"/routers": self.directory.handle}, limit
            ),
            self._cfg.listen.peers: PageServer(
                {
                    snapshot_exchange.SNAPSHOT_PATH: (
                        self._snapshot_exchange.handle_pull
                    ),
                    EVACUATIONS_PATH: self._evacuation_pages.handle,
                },
                limit,
            ),
            self._cfg.listen.metrics: PageServer(
                {
                    "/metrics": self._metrics_page,
                    EXPLAIN_PATH: explainer.handle,
                    EVACUATIONS_PATH: self._evacuation_pages.handle,
                },
                limit,
            ),
        }

    async def __aenter__(self) -> "EdgeRouter":
        host, port = split_address(self._cfg.listen.callers)
        self.ingress.listen(host, port, backlog=LISTEN_BACKLOG)
        for address, server in self._page_servers.items():
            server.listen(address)
        await self.link.open(self._cfg.listen.peers)
        self.relaying.start()
        for watch in (*self._watches, self._crash_record_watch):
            self._tasks.start(f"watch_{watch.kind}", watch.run)
        self._tasks.start("crash_records", self.stored_crashes.run)
        self._tasks.start("stream_records", self.stream_records.run)
        self._tasks.start("join", self._join)
        self._tasks.start("totals", self._membership.run)
        self._tasks.start("housekeeping", self._housekeeping.run)
        events.log_event(
            LOG,
            events.ROUTER_STARTED,
            name=self._cfg.name,
            zone=self._cfg.zone,
            bootstrap=self._cfg.bootstrap,
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._tasks.stop()
        self.link.close()
        self.relaying.close()
        self.ingress.stop()
        for server in self._page_servers.values():
            server.stop()
        with self.connections:
            events.log_event(LOG, events.ROUTER_STOPPED, name=self._cfg.name)

    def begin_shutdown(self) -> None:
        """Starts a graceful shutdown."""
        self._shutdown.start()

    def _announce_leaving(self) -> None:
        self.directory.clear_cache()
        self.link.send_reports_now()

    def reload(self, settings: EdgeSettings) -> None:
        """Applies changed settings.

        Only the shutdown settings, address_ttl_s and the zone in this router's
        own entry of the directory change. All others need a restart: the name
        and the addresses to listen on are kept, and the components copied the
        rest when they were built.
        """
        fixed = {"name": self._cfg.name, "listen": self._cfg.listen}
        self._cfg = msgspec.structs.replace(settings, **fixed)
        events.log_event(LOG, events.SETTINGS_RELOADED, name=self._cfg.name)

    async def run(self) -> None:
        """Serves until a graceful shutdown is complete."""
        await self._shutdown.wait()
        await self.write_totals()
        await self._shutdown.close_connections()
        for task in list(self.ingress.request_tasks):
            task.cancel()
        ends_at = self._clock() + CANCEL_TIMEOUT_S
        # What was read behind the cancelled requests is refused.
        while tasks := set(self.ingress.request_tasks):
            left_s = ends_at - self._clock()
            if left_s <= 0:
                return
            await asyncio.wait(tasks, timeout=left_s)

    # Callbacks of the components.

    def _tokens_per_s(self) -> float:
        table = self.config.table
        return table.limits.tokens_per_s if table else 0.0

    @property
    def settings(self) -> EdgeSettings:
        """Current settings of this router."""
        return self._cfg

    def _scheduled_services(self) -> list[str]:
        """Returns the services with resumable streams scheduled here.

        None in its first second: a router that has just started has not heard
        of the others yet.
        """
        table = self.config.table
        if table is None or self._clock() - self._started_at < SETTLE_S:
            return []
        return [
            service
            for service in table.resumable_services
            if self.fleet.find_scheduler(service, ()) is None
        ]

    def _has_peer_majority(self) -> bool:
        known = len(self._membership.addresses) + 1
        return 2 * self.fleet.router_count() > known

    def _stream_retention_s(self, service: str) -> float:
        table = self.config.table
        longest_s = table.longest_stream_s(service) if table else 0.0
        return STREAM_RETENTION_FACTOR * (longest_s or DEFAULT_TIMEOUT_S)

    def _record_grant(
        self, target_id: str, parts: tuple[PromptPart, ...]
    ) -> None:
        target = self.registry.get(target_id)
        if target is not None:
            self._load_metrics.record_grant(target, self._clock())
        if parts and len(self._recent_prefixes) < MAX_REPORTED_PREFIXES:
            pairs = tuple((p.id, p.tokens) for p in parts)
            self._recent_prefixes.append(RecentPrefix(target_id, pairs))

    def _config_changed(self, table: RoutingTable) -> None:
        self.cold.configure(table.services)
        self.ingress.update_limits()
        tokens = [s.kv_tokens for s in table.services.values() if s.kv_tokens]
        if tokens:
            # One capacity is assumed for the targets of all services, so the
            # smallest counts.
            self._state.prefixes.capacity_tokens = int(
                min(tokens) * self._cfg.placement.cached_kv_fraction
            )
        self.link.send_reports_now()

    def _zones_returned(self, zones: frozenset[str]) -> None:
        log_returned_zones(zones)
        targets = self.registry.all().values()
        self.cold.record_zone_returned(t for t in targets if t.zone in zones)

    def _targets_changed(self) -> None:
        self.cold.apply_registrations(self.registry.all())
        targets = self.registry.all().values()
        self._health.set_targets(targets)
        observed = self.registry.all_with_evacuated_draining()
        self.streams.services.observe(observed, self._clock())
        self.stream_records.check_versions()
        self.dispatcher.schedule_pass()

    def _zones_changed(self) -> None:
        self._targets_changed()
        self.dispatcher.refuse_waiting_without_target()

    def _store_restored(self) -> None:
        """Reads and writes again what the store may have lost."""
        self.metrics.count("store_era_rose")
        for watch in (*self._watches, self._crash_record_watch):
            watch.restart()
        self._membership.write_again()
        self.stored_crashes.write_again()
        self.stream_records.write_again()
        self.link.send_reports_now()

    def _quarantine_changed(self, change: QuarantineChange) -> None:
        self.dispatcher.refuse_waiting_quarantined()
        self.stored_crashes.record_change(change)

    def _target_ended(self, target_id: str) -> None:
        self._state.prefixes.forget(target_id)
        self._state.model.forget(target_id)
        self.connections.close_all(target_id)
        self._state.pauses.forget(target_id)
        self._state.limits.forget(target_id)
        self._state.reported.forget(target_id)
        self._pacer.forget(target_id)

    def _send(self, address: str, item: EdgeMessage) -> None:
        self.link.send(address, item)

    def _is_ready(self) -> bool:
        has_config_and_targets = self.config.table is not None and bool(
            self.targets.revision
        )
        if not has_config_and_targets or not self.evacuations.is_known():
            return False
        return not self._shutdown.has_started()

    async def _join(self) -> None:
        while True:
            self.link.codec = await self._membership.join()
            self.link.send_reports_now()
            await self._membership.wait_for_restore()

    async def write_totals(self) -> None:
        """Writes this incarnation's service totals if they have changed."""
        await self._membership.write_totals()

    # Handlers of the page servers.

    def _readiness_page(self, _: HTTPServerRequest) -> Reply:
        return Reply(200 if self._is_ready() else 503)

    def _routers_open_to_callers(self) -> dict[str, CallerAddress]:
        ready = self.peers.ready_peers(self._clock())
        if self._is_ready():
            ready[self._cfg.name] = CallerAddress(
                self._cfg.listen.callers, self._cfg.zone
            )
        return ready

    def _metrics_page(self, _: HTTPServerRequest) -> Reply:
        text = render_text(self.metrics.view())
        now = self._clock()
        text += render_limits(self._state.limits, self._pacer, now)
        text += render_cold(
            self._state.cold, self.registry, self._cold_spacing, now
        )
        text += self._evacuation_pages.render_metrics()
        text += self.relaying.render()
        text += self.caller_bounds.render()
        text += self._load_metrics.render()
        return Reply(200, text.encode(), "text/plain")
