"""The router: creates its components and runs them on one event loop."""

import asyncio
import logging
import random
import ssl
import time

from chervilwall import cell_messages, events, pacing
from chervilwall.cell_messages import MemberUpdate
from chervilwall.codec import FrameCodec
from chervilwall.config import Config
from chervilwall.errors import ChervilwallError
from chervilwall.membership import (
    STATE_ALIVE,
    STATE_DEAD,
    Membership,
    MembershipSettings,
)
from chervilwall.protocol import HostEntry
from chervilwall.quarantine import Quarantine
from chervilwall.rendezvous import select_owners
from chervilwall.siblings import SERVICE_EXCHANGE_INTERVAL_S
from chervilwall_platform.client import HttpPlatform
from tornado.web import Application

from chervilwall_router import admin, caller_server
from chervilwall_router._periodic_tasks import RETRY_PAUSE_S, PeriodicTasks
from chervilwall_router.cell_host import CellHost
from chervilwall_router.claims import ClaimTable
from chervilwall_router.compaction import Compactor
from chervilwall_router.config_watcher import (
    CONFIG_WATCHER_COUNT,
    ConfigWatcher,
)
from chervilwall_router.fleet import Fleet
from chervilwall_router.holder import RequestHolder
from chervilwall_router.mesh import Mesh
from chervilwall_router.metrics import RouterMetrics
from chervilwall_router.model_orders import ModelOrders
from chervilwall_router.pipeline import Pipeline
from chervilwall_router.settings import RouterSettings, split_address
from chervilwall_router.usage_counters import COPY_PEER_COUNT, UsageCounters

LOG = logging.getLogger(__name__)
TICK_INTERVAL_S = 0.1
JOIN_INTERVAL_S = 1.0
METRICS_INTERVAL_S = 1.0
ORDERS_INTERVAL_S = 1.0
CLAIM_SWEEP_INTERVAL_S = 60.0
COMPACTION_INTERVAL_S = 600.0
# All routers poll the configuration, and CONFIG_WATCHER_COUNT of them also
# watch it.
CONFIG_POLL_INTERVAL_S = 5.0
ORDER_CANDIDATE_COUNT = 2
# Seconds to wait for the mesh to deliver sent messages before its sockets are
# closed.
EXIT_DELAY_S = 0.3
MAX_HOST_SEEDS = 16
STATE_WRITE_TIMEOUT_S = 5.0
# Number of connections that wait while the event loop is busy. The kernel drops
# further attempts, and callers may give up before their next one.
LISTEN_BACKLOG = 512

_SCHEDULER_MESSAGES = (
    cell_messages.Enqueue,
    cell_messages.Cancel,
    cell_messages.Done,
    cell_messages.Sync,
    cell_messages.FreeSlotsOffer,
    cell_messages.ServiceReport,
    cell_messages.Handover,
)


class Router:
    """Run one router of the fleet.

    Use it as an asynchronous context manager; the router listens inside it.

    Args:
        settings (RouterSettings): Settings of this router.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._settings = settings
        self._started_ms = int(time.time() * 1000)
        self._incarnation = f"{settings.name}-{self._started_ms}"
        self._periodic_tasks = PeriodicTasks(
            lambda: len(self._membership.reachable())
        )
        self._stop_requested = asyncio.Event()
        self._platform = HttpPlatform(
            settings.platform, timeout_s=settings.timing.platform_timeout_s
        )
        self._quarantine = Quarantine()
        self._metrics = RouterMetrics(settings.statsd)
        self._copy_timer: asyncio.TimerHandle | None = None
        self._usage_counters = UsageCounters(
            self._incarnation, self._platform, on_change=self._schedule_row_copy
        )
        self._config_watcher = ConfigWatcher(self._platform, self._apply_config)
        self._membership = self._make_membership()
        self._mesh = self._make_mesh()
        self._fleet = self._make_fleet()
        self._cell_host = CellHost(
            settings.name,
            self._quarantine,
            settings.timing,
            send=self._fleet.send_all,
            on_lost=self._usage_counters.count_lost_attempts,
        )
        self._holder = RequestHolder(self._send_to_cell, self._fleet.send)
        self._claims = ClaimTable(self._platform, self._incarnation)
        self._model_orders = ModelOrders(
            self._incarnation,
            self._platform,
            self._current_config,
            loads_per_s=settings.limits.weight_loads_per_s,
        )
        self._pipeline = Pipeline(
            settings.limits,
            holder=self._holder,
            cells=self._cell_host,
            claims=self._claims,
            usage_counters=self._usage_counters,
            quarantine=self._quarantine,
            metrics=self._metrics,
        )
        self._open_requests = caller_server.OpenRequests()
        self._compactor = Compactor(self._platform)
        self._server = self._make_server()

    def __repr__(self) -> str:
        return f"Router({self._incarnation!r})"

    async def __aenter__(self) -> "Router":
        self._mesh.__enter__()
        host, port = split_address(self._settings.listen.callers)
        self._server.listen(port, host, backlog=LISTEN_BACKLOG)
        self._start_loops()
        events.log_event(
            LOG,
            events.ROUTER_STARTED,
            incarnation=self._incarnation,
            callers=self._settings.listen.callers,
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._periodic_tasks.stop()
        self._server.stop()
        self._mesh.__exit__(*exc_info)
        self._cell_host.close()
        self._model_orders.close()
        self._platform.close()
        events.log_event(LOG, events.ROUTER_STOPPED)

    def begin_stop(self) -> None:
        """Starts the graceful shutdown. Further calls have no effect."""
        self._stop_requested.set()

    def reload(self, settings: RouterSettings) -> None:
        """Applies the fleet keys of changed settings.

        All other settings keep their values until a restart.

        Args:
            settings (RouterSettings): The changed settings.
        """
        self._mesh.codec = _make_codec(settings)
        events.log_event(LOG, events.SETTINGS_RELOADED)

    async def run(self) -> None:
        """Serves until `begin_stop` is called, then shuts down gracefully."""
        await self._stop_requested.wait()
        deadline = time.monotonic() + self._settings.timing.stop_limit_s
        events.log_event(LOG, events.ROUTER_LEAVING)
        self._fleet.leave()
        self._assign_cells()
        # Callers may use a listed address until its TTL has expired.
        await asyncio.sleep(self._settings.timing.address_ttl_s)
        self._server.stop()
        await self._drain_requests(deadline)
        await self._persist_state(deadline)
        await asyncio.sleep(EXIT_DELAY_S)

    async def _drain_requests(self, deadline: float) -> None:
        while self._is_busy() and time.monotonic() < deadline:
            await asyncio.sleep(TICK_INTERVAL_S)
        await self._server.close_all_connections()

    def _is_busy(self) -> bool:
        return len(self._holder) > 0 or len(self._open_requests) > 0

    async def _persist_state(self, deadline: float) -> None:
        wait_s = min(STATE_WRITE_TIMEOUT_S, deadline - time.monotonic())
        await self._claims.drain(max(0.0, wait_s))
        if not self._is_busy():
            self._usage_counters.ledger.close()
        self._copy_rows()
        if len(self._membership.reachable()) > 1:
            # Peers have copies of the rows and write them when this router is
            # gone, so it need not use all the time left for its own write.
            deadline = min(deadline, time.monotonic() + STATE_WRITE_TIMEOUT_S)
        while time.monotonic() < deadline:
            if await self._usage_counters.flush():
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        try:
            await self._model_orders.release()
        except ChervilwallError as exc:
            LOG.debug(
                "cannot release the lease on orders, leaving it to expire: %s",
                exc,
            )

    def _make_membership(self) -> Membership:
        cfg = self._settings
        local_member = MemberUpdate(
            name=cfg.name,
            incarnation=self._started_ms,
            refutation=cell_messages.UNREADY_REFUTATION,
            state=STATE_ALIVE,
            peer_address=cfg.listen.peers_advertised or cfg.listen.peers,
            caller_address=cfg.listen.callers,
            zone=cfg.zone,
        )
        timing = MembershipSettings(
            probe_interval_s=cfg.timing.probe_interval_s,
            probe_timeout_s=cfg.timing.probe_timeout_s,
            suspicion_s=cfg.timing.suspicion_s,
        )
        return Membership(local_member, settings=timing)

    def _make_mesh(self) -> Mesh:
        return Mesh(
            self._settings.listen.peers,
            name=self._settings.name,
            incarnation=self._started_ms,
            codec=_make_codec(self._settings),
            on_frame=lambda frame: self._fleet.on_frame(frame),
            tls=self._settings.listen.peer_tls,
        )

    def _make_fleet(self) -> Fleet:
        return Fleet(
            self._membership,
            self._mesh,
            self._config_watcher,
            self._quarantine,
            seeds=self._settings.seeds,
            on_message=self._on_message,
            on_members=self._on_members_changed,
        )

    def _make_server(self) -> caller_server.CallerServer:
        caller_context = caller_server.CallerContext(
            self._settings,
            self._pipeline,
            self._membership,
            self._open_requests,
        )
        admin_context = admin.AdminContext(
            settings=self._settings,
            membership=self._membership,
            config_watcher=self._config_watcher,
            cells=self._cell_host,
            holder=self._holder,
            usage_counters=self._usage_counters,
            pipeline=self._pipeline,
            metrics=self._metrics,
            mesh=self._mesh,
            drain=self.begin_stop,
        )
        caller_args = {"context": caller_context}
        admin_args = {"context": admin_context}
        app = Application(
            [
                ("/v1/routers", caller_server.RoutersHandler, caller_args),
                ("/v1/admin/status", admin.StatusHandler, admin_args),
                ("/v1/admin/rows", admin.RowsHandler, admin_args),
                ("/v1/admin/metrics", admin.MetricsHandler, admin_args),
                ("/v1/admin/explain", admin.ExplainHandler, admin_args),
                ("/v1/admin/drain", admin.DrainHandler, admin_args),
                (".*", caller_server.ProxyHandler, caller_args),
            ]
        )
        return caller_server.CallerServer(
            app,
            idle_connection_timeout=self._settings.limits.idle_timeout_s,
            max_body_size=caller_server.SERVER_MAX_BODY_BYTES,
            ssl_options=_make_tls_context(self._settings),
        )

    def _start_loops(self) -> None:
        timing = self._settings.timing
        self._periodic_tasks.start(TICK_INTERVAL_S, self._tick)
        self._periodic_tasks.start(JOIN_INTERVAL_S, self._join)
        self._periodic_tasks.start(METRICS_INTERVAL_S, self._send_metrics)
        for base_s, rounds_per_s, work in (
            (
                timing.load_poll_s,
                pacing.LOAD_ROUNDS_PER_S,
                self._cell_host.poll_loads,
            ),
            (timing.sync_interval_s, pacing.SYNC_ROUNDS_PER_S, self._sync),
            (timing.hosts_poll_s, pacing.HOSTS_READS_PER_S, self._poll_hosts),
            (
                timing.counters_flush_s,
                pacing.COUNTER_WRITES_PER_S,
                self._flush_counters,
            ),
            (
                CONFIG_POLL_INTERVAL_S,
                pacing.CONFIG_READS_PER_S,
                self._config_watcher.poll,
            ),
        ):
            self._periodic_tasks.start(base_s, work, rounds_per_s=rounds_per_s)
        self._periodic_tasks.start(
            SERVICE_EXCHANGE_INTERVAL_S, self._exchange_usage
        )
        self._periodic_tasks.start(ORDERS_INTERVAL_S, self._step_orders)
        self._periodic_tasks.start(CLAIM_SWEEP_INTERVAL_S, self._sweep_claims)
        self._periodic_tasks.start(
            COMPACTION_INTERVAL_S, self._compact_counters
        )
        self._periodic_tasks.start(0.0, self._watch_config)

    def _current_config(self) -> Config:
        return self._config_watcher.current.config

    def _apply_config(self, config: Config) -> None:
        self._pipeline.configure(config)
        self._cell_host.configure(config)
        self._holder.refuse_removed_cells(self._cell_host.cells)
        if config.teams:
            self._fleet.mark_ready()
        self._assign_cells()
        self._fleet.announce_config()

    def _assign_cells(self) -> None:
        for cell in self._cell_host.assign_cells(self._membership.schedulers()):
            self._holder.resync_cell(cell)

    def _on_members_changed(self, changed: list[MemberUpdate]) -> None:
        # Count the attempts of a lost router before cells are assigned to other
        # routers, because the current schedulers know these attempts.
        for member in changed:
            if member.state == STATE_DEAD:
                incarnation = f"{member.name}-{member.incarnation}"
                self._cell_host.drop_router(member.name, incarnation)
        self._assign_cells()
        self._fleet.prune()
        # Peers that started or took the place of lost ones need copies.
        self._schedule_row_copy()

    def _send_to_cell(self, cell: str, msg: cell_messages.Message) -> None:
        router = self._cell_host.router_by_cell.get(cell)
        if router:
            self._fleet.send(router, msg)

    def _on_message(self, peer: str, msg: cell_messages.Message) -> None:
        if isinstance(msg, cell_messages.Done) and msg.total is not None:
            self._usage_counters.record_received_row(
                msg.total, time.monotonic()
            )
        if isinstance(msg, _SCHEDULER_MESSAGES):
            self._cell_host.receive(peer, msg)
        elif isinstance(msg, cell_messages.Grant):
            self._holder.on_grant(peer, msg)
        elif isinstance(msg, cell_messages.Refuse):
            self._holder.on_refuse(msg)
        elif isinstance(msg, cell_messages.Move):
            self._holder.on_move(msg)
        elif isinstance(msg, cell_messages.UnknownRequests):
            self._holder.on_unknown_requests(msg)
        elif isinstance(msg, cell_messages.UsagePush):
            self._store_copied_rows(peer, msg)

    def _store_copied_rows(
        self, peer: str, msg: cell_messages.UsagePush
    ) -> None:
        member = self._membership.get(peer)
        if member is not None:
            incarnation = f"{member.name}-{member.incarnation}"
            self._usage_counters.merge_copy(incarnation, msg.rows)

    # PeriodicTasks runs coroutine functions, also for work that never waits.

    async def _tick(self) -> None:
        self._fleet.tick()
        self._cell_host.tick()

    async def _join(self) -> None:
        self._fleet.join()

    async def _send_metrics(self) -> None:
        self._metrics.flush()
        self._cell_host.log_changes()

    async def _sync(self) -> None:
        self._holder.sync_all()

    async def _exchange_usage(self) -> None:
        self._cell_host.exchange_usage()

    async def _poll_hosts(self) -> None:
        hosts = await self._platform.hosts()
        leaving = frozenset(h.address for h in hosts if h.state == "leaving")
        self._cell_host.set_leaving_hosts(leaving)
        if len(self._membership.reachable()) == 1:
            self._fleet.add_seeds(self._sample_seeds(hosts))

    def _schedule_row_copy(self) -> None:
        """Schedules a copy of changed rows to peers unless one is pending."""
        if self._copy_timer is not None:
            return
        members = len(self._membership.reachable())
        base_s = self._settings.timing.rows_copy_s
        pause_s = pacing.scaled_period_s(
            base_s, members, pacing.COPY_ROUNDS_PER_S
        )
        loop = asyncio.get_running_loop()
        self._copy_timer = loop.call_later(pause_s, self._copy_rows)

    def _copy_rows(self) -> None:
        self._copy_timer = None
        others = {
            member.name: member.incarnation
            for member in self._membership.members()
            if member.state != STATE_DEAD and member.name != self._settings.name
        }
        for name in select_owners(self._incarnation, others, COPY_PEER_COUNT):
            self._usage_counters.send_changed_rows(
                name, self._fleet.send, incarnation=others[name]
            )

    def _sample_seeds(self, hosts: tuple[HostEntry, ...]) -> list[str]:
        """Returns peer addresses on a random sample of the live hosts.

        They are tried as seeds when this router reaches no other router.
        """
        _, port = split_address(self._settings.listen.peers)
        live = [h.address for h in hosts if h.state == "live"]
        chosen = random.sample(live, min(MAX_HOST_SEEDS, len(live)))
        return [f"{address}:{port}" for address in chosen]

    async def _flush_counters(self) -> None:
        alive = self._alive_incarnations()
        lost = self._usage_counters.ledger.incarnations() - alive
        await self._usage_counters.flush(sorted(lost))
        self._usage_counters.prune(time.monotonic())

    async def _compact_counters(self) -> None:
        if self._is_assigned("counters-fold", 1):
            await self._compactor.step(self._alive_incarnations())

    def _alive_incarnations(self) -> set[str]:
        alive = {
            f"{m.name}-{m.incarnation}"
            for m in self._membership.members()
            if m.state != STATE_DEAD
        }
        return alive | {self._incarnation, self._usage_counters.incarnation}

    async def _step_orders(self) -> None:
        if self._is_assigned("orders", ORDER_CANDIDATE_COUNT):
            await self._model_orders.step()

    async def _sweep_claims(self) -> None:
        if self._is_assigned("claims-sweep", 1):
            await self._claims.sweep(time.time())

    async def _watch_config(self) -> None:
        if self._is_assigned("config-watch", CONFIG_WATCHER_COUNT):
            await self._config_watcher.watch()
        else:
            await asyncio.sleep(JOIN_INTERVAL_S)

    def _is_assigned(self, duty: str, router_count: int) -> bool:
        """Returns whether this router is among those selected for a duty.

        Args:
            duty (str): Name of work that only some routers of the fleet do.
            router_count (int): Number of routers that do it.
        """
        members = self._membership.schedulers()
        return self._settings.name in select_owners(duty, members, router_count)


def _make_codec(cfg: RouterSettings) -> FrameCodec:
    return FrameCodec([key.encode() for key in cfg.fleet_keys])


def _make_tls_context(cfg: RouterSettings) -> ssl.SSLContext | None:
    if cfg.listen.tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(cfg.listen.tls.cert_file, cfg.listen.tls.key_file)
    return context
