"""A router: all of its parts, put together and run on one loop."""

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

from chervilwall_router import admin, callers
from chervilwall_router._loop import RETRY_PAUSE_S, PeriodicWork
from chervilwall_router.accounts import COPIES, Accounts
from chervilwall_router.cell_host import CellHost
from chervilwall_router.claims import ClaimTable
from chervilwall_router.compaction import Compactor
from chervilwall_router.config_keeper import WATCHERS, ConfigKeeper
from chervilwall_router.fleet import Fleet
from chervilwall_router.holder import Holder
from chervilwall_router.mesh import Mesh
from chervilwall_router.metrics import RouterMetrics
from chervilwall_router.orders import OrderKeeper
from chervilwall_router.pipeline import Pipeline
from chervilwall_router.settings import RouterSettings, split_address

LOG = logging.getLogger(__name__)
TICK_S = 0.1
JOIN_INTERVAL_S = 1.0
METRICS_INTERVAL_S = 1.0
ORDERS_INTERVAL_S = 1.0
SWEEP_INTERVAL_S = 60.0
FOLD_INTERVAL_S = 600.0
CONFIG_POLL_S = 5.0
ORDER_CANDIDATES = 2
LINGER_S = 0.3
MAX_HOST_SEEDS = 16
PLATFORM_WAIT_S = 5.0

_TO_SCHEDULER = (
    cell_messages.Enqueue,
    cell_messages.Cancel,
    cell_messages.Done,
    cell_messages.Sync,
    cell_messages.FreeSlotsOffer,
    cell_messages.ServiceReport,
    cell_messages.Handover,
)


class Router:
    """Run one router until it is told to stop.

    Args:
        settings (RouterSettings): Its settings.
    """

    def __init__(self, settings: RouterSettings) -> None:
        self._cfg = settings
        self._started_ms = int(time.time() * 1000)
        self._incarnation = f"{settings.name}-{self._started_ms}"
        self._work = PeriodicWork(lambda: len(self._membership.reachable()))
        self._stop = asyncio.Event()
        self._stopped = False
        self._platform = HttpPlatform(
            settings.platform, timeout_s=settings.timing.platform_timeout_s
        )
        self._quarantine = Quarantine()
        self._metrics = RouterMetrics(settings.statsd)
        self._copy_timer: asyncio.TimerHandle | None = None
        self._accounts = Accounts(
            self._incarnation, self._platform, on_change=self._copy_rows_soon
        )
        self._keeper = ConfigKeeper(self._platform, self._configure)
        self._membership = self._make_membership()
        self._mesh = self._make_mesh()
        self._fleet = self._make_fleet()
        self._cells = CellHost(
            settings.name,
            self._quarantine,
            settings.timing,
            send=self._fleet.send_all,
            on_lost=self._accounts.settle_lost,
        )
        self._holder = Holder(self._send_to_cell, self._fleet.send)
        self._claims = ClaimTable(self._platform, self._incarnation)
        self._orders = OrderKeeper(
            self._incarnation,
            self._platform,
            self._config,
            loads_per_s=settings.limits.weight_loads_per_s,
        )
        self._pipeline = Pipeline(
            settings.limits,
            holder=self._holder,
            cells=self._cells,
            claims=self._claims,
            accounts=self._accounts,
            quarantine=self._quarantine,
            metrics=self._metrics,
        )
        self._open_requests = callers.OpenRequests()
        self._compactor = Compactor(self._platform)
        self._server = self._make_server()

    def __repr__(self) -> str:
        return f"Router({self._incarnation!r})"

    async def __aenter__(self) -> "Router":
        self._mesh.__enter__()
        host, port = split_address(self._cfg.listen.callers)
        self._server.listen(port, host)
        self._start_loops()
        events.log_event(
            LOG,
            events.ROUTER_STARTED,
            incarnation=self._incarnation,
            callers=self._cfg.listen.callers,
        )
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._work.stop()
        self._server.stop()
        self._mesh.__exit__(*exc_info)
        self._cells.close()
        self._orders.close()
        self._platform.close()
        events.log_event(LOG, events.ROUTER_STOPPED)

    def begin_stop(self) -> None:
        """Begins a planned stop; safe to call twice."""
        self._stop.set()

    def reload(self, settings: RouterSettings) -> None:
        """Takes settings that may change without a stop: the fleet's keys."""
        self._mesh.codec = _make_codec(settings)
        events.log_event(LOG, events.SETTINGS_RELOADED)

    async def run(self) -> None:
        """Serves until a planned stop has ended."""
        await self._stop.wait()
        limit = time.monotonic() + self._cfg.timing.stop_limit_s
        events.log_event(LOG, events.ROUTER_LEAVING)
        self._fleet.leave()
        self._elect()
        # Callers may use an address for as long as they were told to keep it.
        await asyncio.sleep(self._cfg.timing.address_ttl_s)
        self._server.stop()
        await self._finish_held(limit)
        await self._keep_state(limit)
        await asyncio.sleep(LINGER_S)

    async def _finish_held(self, limit: float) -> None:
        while self._is_busy() and time.monotonic() < limit:
            await asyncio.sleep(TICK_S)
        await self._server.close_all_connections()

    def _is_busy(self) -> bool:
        return len(self._holder) > 0 or len(self._open_requests) > 0

    async def _keep_state(self, limit: float) -> None:
        wait_s = min(PLATFORM_WAIT_S, limit - time.monotonic())
        await self._claims.drain(max(0.0, wait_s))
        if not self._is_busy():
            self._accounts.ledger.close()
        self._copy_rows()
        if len(self._membership.reachable()) > 1:
            # Peers hold copies and write them once this router is gone.
            limit = min(limit, time.monotonic() + PLATFORM_WAIT_S)
        while time.monotonic() < limit:
            if await self._accounts.flush():
                break
            await asyncio.sleep(RETRY_PAUSE_S)
        try:
            await self._orders.release()
        except ChervilwallError as exc:
            LOG.debug("release lease: %s", exc)

    def _make_membership(self) -> Membership:
        cfg = self._cfg
        me = MemberUpdate(
            name=cfg.name,
            incarnation=self._started_ms,
            refutation=0,
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
        return Membership(me, settings=timing)

    def _make_mesh(self) -> Mesh:
        return Mesh(
            self._cfg.listen.peers,
            name=self._cfg.name,
            incarnation=self._started_ms,
            codec=_make_codec(self._cfg),
            on_frame=lambda frame: self._fleet.on_frame(frame),
            tls=self._cfg.listen.peer_tls,
        )

    def _make_fleet(self) -> Fleet:
        return Fleet(
            self._membership,
            self._mesh,
            self._keeper,
            self._quarantine,
            seeds=self._cfg.seeds,
            on_message=self._receive,
            on_members=self._members_changed,
        )

    def _make_server(self) -> callers.CallerServer:
        caller = callers.CallerContext(
            self._cfg, self._pipeline, self._membership, self._open_requests
        )
        operator = admin.AdminContext(
            settings=self._cfg,
            membership=self._membership,
            keeper=self._keeper,
            cells=self._cells,
            holder=self._holder,
            accounts=self._accounts,
            pipeline=self._pipeline,
            metrics=self._metrics,
            mesh=self._mesh,
            drain=self.begin_stop,
        )
        to_caller = {"context": caller}
        to_operator = {"context": operator}
        app = Application(
            [
                ("/v1/routers", callers.RoutersHandler, to_caller),
                ("/v1/admin/status", admin.StatusHandler, to_operator),
                ("/v1/admin/rows", admin.RowsHandler, to_operator),
                ("/v1/admin/metrics", admin.MetricsHandler, to_operator),
                ("/v1/admin/explain", admin.ExplainHandler, to_operator),
                ("/v1/admin/drain", admin.DrainHandler, to_operator),
                (".*", callers.ProxyHandler, to_caller),
            ]
        )
        return callers.CallerServer(
            app,
            idle_connection_timeout=self._cfg.limits.idle_timeout_s,
            max_body_size=callers.UNLIMITED_BYTES,
            ssl_options=_make_tls(self._cfg),
        )

    def _start_loops(self) -> None:
        timing = self._cfg.timing
        self._work.every(TICK_S, self._tick)
        self._work.every(JOIN_INTERVAL_S, self._join)
        self._work.every(METRICS_INTERVAL_S, self._send_metrics)
        for base_s, rounds_per_s, work in (
            (
                timing.load_poll_s,
                pacing.LOAD_ROUNDS_PER_S,
                self._cells.poll_loads,
            ),
            (timing.sync_interval_s, pacing.SYNC_ROUNDS_PER_S, self._sync),
            (timing.hosts_poll_s, pacing.HOSTS_READS_PER_S, self._poll_hosts),
            (
                timing.counters_flush_s,
                pacing.COUNTER_WRITES_PER_S,
                self._flush_counters,
            ),
            (CONFIG_POLL_S, pacing.CONFIG_READS_PER_S, self._keeper.read),
        ):
            self._work.every(base_s, work, rounds_per_s=rounds_per_s)
        self._work.every(SERVICE_EXCHANGE_INTERVAL_S, self._exchange_service)
        self._work.every(ORDERS_INTERVAL_S, self._step_orders)
        self._work.every(SWEEP_INTERVAL_S, self._sweep_claims)
        self._work.every(FOLD_INTERVAL_S, self._fold_counters)
        self._work.every(0.0, self._watch_config)

    def _config(self) -> Config:
        return self._keeper.current.config

    def _configure(self, config: Config) -> None:
        self._pipeline.configure(config)
        self._cells.configure(config)
        self._holder.refuse_gone(self._cells.cells)
        self._elect()
        self._fleet.announce_config()

    def _elect(self) -> None:
        for cell in self._cells.elect(self._membership.schedulers()):
            self._holder.resend(cell)

    def _members_changed(self, changed: list[MemberUpdate]) -> None:
        # What a lost router had here is counted before cells move away.
        for member in changed:
            if member.state == STATE_DEAD:
                incarnation = f"{member.name}-{member.incarnation}"
                self._cells.drop_router(member.name, incarnation)
        self._elect()
        self._fleet.prune()

    def _send_to_cell(self, cell: str, msg: cell_messages.Message) -> None:
        owner = self._cells.owners.get(cell)
        if owner:
            self._fleet.send(owner, msg)

    def _receive(self, peer: str, msg: cell_messages.Message) -> None:
        if isinstance(msg, cell_messages.Done) and msg.total is not None:
            self._accounts.note_total(msg.total, time.monotonic())
        if isinstance(msg, _TO_SCHEDULER):
            self._cells.receive(peer, msg)
        elif isinstance(msg, cell_messages.Grant):
            self._holder.on_grant(peer, msg)
        elif isinstance(msg, cell_messages.Refuse):
            self._holder.on_refuse(msg)
        elif isinstance(msg, cell_messages.Move):
            self._holder.on_move(msg)
        elif isinstance(msg, cell_messages.UnknownRequests):
            self._holder.on_missing(msg)
        elif isinstance(msg, cell_messages.UsagePush):
            self._keep_copy(peer, msg)

    def _keep_copy(self, peer: str, msg: cell_messages.UsagePush) -> None:
        member = self._membership.get(peer)
        if member is not None:
            incarnation = f"{member.name}-{member.incarnation}"
            self._accounts.keep_copy(incarnation, msg.rows)

    async def _tick(self) -> None:
        self._fleet.tick()
        self._cells.tick()

    async def _join(self) -> None:
        self._fleet.join()

    async def _send_metrics(self) -> None:
        self._metrics.flush()
        self._cells.log_changes()

    async def _sync(self) -> None:
        self._holder.sync_all()

    async def _exchange_service(self) -> None:
        self._cells.exchange_service()

    async def _poll_hosts(self) -> None:
        hosts = await self._platform.hosts()
        leaving = frozenset(h.address for h in hosts if h.state == "leaving")
        self._cells.set_leaving_hosts(leaving)
        if len(self._membership.reachable()) == 1:
            self._fleet.add_seeds(self._seeds_among(hosts))

    def _copy_rows_soon(self) -> None:
        """Copies rows once after a while, however many change until then."""
        if self._copy_timer is not None:
            return
        members = len(self._membership.reachable())
        base_s = self._cfg.timing.rows_copy_s
        pause_s = pacing.scaled_period_s(
            base_s, members, pacing.COPY_ROUNDS_PER_S
        )
        loop = asyncio.get_running_loop()
        self._copy_timer = loop.call_later(pause_s, self._copy_rows)

    def _copy_rows(self) -> None:
        self._copy_timer = None
        others = [
            name
            for name in self._membership.reachable()
            if name != self._cfg.name
        ]
        for name in select_owners(self._incarnation, others, COPIES):
            self._accounts.copy_to(name, self._fleet.send)

    def _seeds_among(self, hosts: tuple[HostEntry, ...]) -> list[str]:
        """Returns a few hosts that may run routers, to be asked when alone."""
        _, port = split_address(self._cfg.listen.peers)
        live = [h.address for h in hosts if h.state == "live"]
        chosen = random.sample(live, min(MAX_HOST_SEEDS, len(live)))
        return [f"{address}:{port}" for address in chosen]

    async def _flush_counters(self) -> None:
        alive = self._alive_incarnations()
        lost = self._accounts.ledger.incarnations() - alive
        await self._accounts.flush(sorted(lost))
        self._accounts.prune(time.monotonic())

    async def _fold_counters(self) -> None:
        if self._is_owner("counters-fold", 1):
            await self._compactor.step(self._alive_incarnations())

    def _alive_incarnations(self) -> set[str]:
        alive = {
            f"{m.name}-{m.incarnation}"
            for m in self._membership.members()
            if m.state != STATE_DEAD
        }
        return alive | {self._incarnation, self._accounts.incarnation}

    async def _step_orders(self) -> None:
        if self._is_owner("orders", ORDER_CANDIDATES):
            await self._orders.step()

    async def _sweep_claims(self) -> None:
        if self._is_owner("claims-sweep", 1):
            await self._claims.sweep(time.time())

    async def _watch_config(self) -> None:
        if self._is_owner("config-watch", WATCHERS):
            await self._keeper.watch()
        else:
            await asyncio.sleep(JOIN_INTERVAL_S)

    def _is_owner(self, duty: str, count: int) -> bool:
        members = self._membership.schedulers()
        return self._cfg.name in select_owners(duty, members, count)


def _make_codec(cfg: RouterSettings) -> FrameCodec:
    return FrameCodec([key.encode() for key in cfg.fleet_keys])


def _make_tls(cfg: RouterSettings) -> ssl.SSLContext | None:
    if cfg.listen.tls is None:
        return None
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    context.load_cert_chain(cfg.listen.tls.cert_file, cfg.listen.tls.key_file)
    return context
