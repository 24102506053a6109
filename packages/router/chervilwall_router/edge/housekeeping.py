"""What a router does ten times a second beside its requests."""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import events
from chervilwall.protocol import Metrics

from chervilwall_router.edge.catch_up import CatchUp
from chervilwall_router.edge.connections import TargetConnections
from chervilwall_router.edge.crash_watch import CrashWatch
from chervilwall_router.edge.dispatcher import Dispatcher
from chervilwall_router.edge.memory import RouterMemory
from chervilwall_router.edge.scheduling import Scheduling
from chervilwall_router.edge.state import RegistryState

LOG = logging.getLogger(__name__)
INTERVAL_S = 0.1


class HousekeepingParts(NamedTuple):
    """What is looked after.

    Args:
        targets (RegistryState): Registrations that may have lapsed.
        connections (TargetConnections): Connections that rest.
        crashes (CrashWatch): Evidence of crashes.
        dispatcher (Dispatcher): Requests that wait.
        memory (RouterMemory): What silent routers are taken out of, and the
            lateness of the event loop goes into.
        scheduling (Scheduling): What a lost router was granted.
        catching_up (CatchUp): What peers have read of the store.
        metrics (Metrics): Shows the lateness.
        clock (Callable): Returns the monotonic time.
    """

    targets: RegistryState
    connections: TargetConnections
    crashes: CrashWatch
    dispatcher: Dispatcher
    memory: RouterMemory
    scheduling: Scheduling
    catching_up: CatchUp
    metrics: Metrics
    clock: Callable[[], float]


class Housekeeping:
    """Look after what ends by time alone, and tell how late that was.

    Args:
        parts (HousekeepingParts): What is looked after.
    """

    def __init__(self, parts: HousekeepingParts) -> None:
        self._parts = parts

    def __repr__(self) -> str:
        return f"Housekeeping(interval_s={INTERVAL_S})"

    async def run(self) -> None:
        """Goes on until it is cancelled."""
        clock = self._parts.clock
        while True:
            due_at = clock() + INTERVAL_S
            await asyncio.sleep(INTERVAL_S)
            self._note_lag(max(0.0, clock() - due_at))
            self._look()

    def _note_lag(self, lag_s: float) -> None:
        self._parts.memory.host_load.record_lag(lag_s, self._parts.clock())
        self._parts.metrics.observe("loop_lag", "", "", lag_s)

    def _look(self) -> None:
        parts = self._parts
        parts.targets.expire()
        parts.connections.sweep()
        parts.crashes.sweep()
        parts.dispatcher.pump()
        for name in parts.memory.peers.expire(parts.clock()):
            parts.memory.load.drop_peer(name)
            parts.memory.shares.drop_peer(name)
            parts.scheduling.drop_peer(name)
            events.log_event(LOG, events.PEER_LOST, peer=name)
        parts.catching_up.look()
