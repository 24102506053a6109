"""Periodic tasks of an edge router."""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import events
from chervilwall.protocol import Metrics

from chervilwall_router.edge.cold_notices import ColdNotices
from chervilwall_router.edge.connections import TargetConnectionPool
from chervilwall_router.edge.crash_watch import CrashWatch
from chervilwall_router.edge.dispatcher import Dispatcher
from chervilwall_router.edge.router_state import RouterState
from chervilwall_router.edge.scheduling import Scheduling
from chervilwall_router.edge.snapshot_exchange import SnapshotExchange
from chervilwall_router.edge.store_state import RegistryState
from chervilwall_router.edge.stream_records import StreamRecords

LOG = logging.getLogger(__name__)
INTERVAL_S = 0.1


class HousekeepingParts(NamedTuple):
    """Dependencies of Housekeeping.

    Args:
        targets (RegistryState): Registrations; targets that lapsed and did not
            register again are removed.
        connections (TargetConnectionPool): Connections to targets; idle ones
            are closed.
        crashes (CrashWatch): Evidence of crashes; what is too old is removed.
        dispatcher (Dispatcher): Queue of waiting requests.
        state (RouterState): State from which lost peers are removed and in
            which the event loop lag is recorded.
        scheduling (Scheduling): Grants; those of a lost router are ended.
        stream_records (StreamRecords): Told of lost routers.
        cold (ColdNotices): Logs targets that are no longer cold.
        snapshot_exchange (SnapshotExchange): Pulls newer snapshots of the
            object store from peers.
        is_store_away (Callable): Returns whether the object store answers
            neither this router nor any peer.
        metrics (Metrics): Metrics that include the event loop lag.
        clock (Callable): Returns the monotonic time in seconds.
    """

    targets: RegistryState
    connections: TargetConnectionPool
    crashes: CrashWatch
    dispatcher: Dispatcher
    state: RouterState
    scheduling: Scheduling
    stream_records: StreamRecords
    cold: ColdNotices
    snapshot_exchange: SnapshotExchange
    is_store_away: Callable[[], bool]
    metrics: Metrics
    clock: Callable[[], float]


class Housekeeping:
    """Remove expired state, and measure the event loop lag.

    Args:
        parts (HousekeepingParts): Dependencies.
    """

    def __init__(self, parts: HousekeepingParts) -> None:
        self._parts = parts

    def __repr__(self) -> str:
        return f"Housekeeping(interval_s={INTERVAL_S})"

    async def run(self) -> None:
        """Runs the tasks every INTERVAL_S seconds until cancelled."""
        clock = self._parts.clock
        while True:
            due_at = clock() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self._record_lag(max(0.0, clock() - due_at))
            self._run_once()

    def _record_lag(self, lag_s: float) -> None:
        self._parts.state.host_load.record_lag(lag_s, self._parts.clock())
        self._parts.metrics.record_duration("loop_lag", "", "", lag_s)

    def _run_once(self) -> None:
        parts = self._parts
        parts.targets.expire(is_store_away=parts.is_store_away())
        parts.connections.close_expired()
        parts.crashes.sweep()
        parts.cold.log_changes()
        parts.dispatcher.schedule_pass()
        for name in parts.state.peers.expire(parts.clock()):
            parts.state.load.drop_peer(name)
            parts.state.shares.drop_peer(name)
            parts.scheduling.drop_peer(name)
            parts.stream_records.record_router_lost()
            events.log_event(LOG, events.PEER_LOST, peer=name)
        parts.snapshot_exchange.pull_if_behind()
