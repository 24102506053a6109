"""Graceful shutdown of an edge router."""

import asyncio
import logging
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import events

from chervilwall_router.edge.admission import RequestAdmission
from chervilwall_router.edge.ingress import Ingress
from chervilwall_router.edge.settings import ShutdownSettings

LOG = logging.getLogger(__name__)
# Interval between checks for requests that are still unanswered.
POLL_INTERVAL_S = 0.05
# Interval between attempts to close the remaining connections.
CLOSE_INTERVAL_S = 0.01


class ShutdownParts(NamedTuple):
    """Dependencies of a Shutdown.

    Args:
        settings (Callable): Returns the current shutdown settings.
        ingress (Ingress): Connections and requests of callers.
        flow (RequestAdmission): Admits or refuses new requests.
        announce (Callable): Called once when the shutdown starts, to inform
            peers and callers.
        clock (Callable): Returns the monotonic time in seconds.
    """

    settings: Callable[[], ShutdownSettings]
    ingress: Ingress
    flow: RequestAdmission
    announce: Callable[[], None]
    clock: Callable[[], float]


class Shutdown:
    """Let callers move to other routers and finish the accepted requests.

    Args:
        parts (ShutdownParts): Dependencies.
    """

    def __init__(self, parts: ShutdownParts) -> None:
        self._parts = parts
        self._started = asyncio.Event()

    def __repr__(self) -> str:
        return f"Shutdown(started={self.has_started()})"

    def has_started(self) -> bool:
        """Returns whether the shutdown has started."""
        return self._started.is_set()

    def start(self) -> None:
        """Starts the shutdown; later calls have no effect."""
        if self.has_started():
            return
        self._started.set()
        ingress = self._parts.ingress
        ingress.is_shutting_down = True
        self._parts.announce()
        stats = ingress.stats()
        events.log_event(
            LOG,
            events.ROUTER_LEAVING,
            requests=stats.requests,
            connections=stats.connections,
        )

    async def wait(self) -> None:
        """Waits for the start of the shutdown, and then for its end.

        It ends when all requests are answered, at the latest margin_s before
        the grace period ends. Even an idle router keeps accepting requests for
        accept_s, because callers use a cached address list for a while.
        """
        await self._started.wait()
        parts, cfg = self._parts, self._parts.settings()
        started = parts.clock()
        parts.flow.aborts_at = started + cfg.grace_s - cfg.margin_s
        parts.flow.accepts_until = started + cfg.accept_s
        await self._wait_until(parts.flow.accepts_until, even_if_idle=True)
        await self._wait_until(parts.flow.aborts_at)

    async def close_connections(self) -> None:
        """Closes idle connections, and the others once they are idle.

        Requests that arrive while the router stops are served, until the time
        at which unfinished responses are aborted.
        """
        ingress, flow = self._parts.ingress, self._parts.flow
        ingress.accept_pending()
        ingress.stop()
        assert flow.aborts_at is not None
        while self._parts.clock() < flow.aborts_at:
            ingress.close_idle()
            await asyncio.sleep(CLOSE_INTERVAL_S)
            stats = ingress.stats()
            if not (stats.connections or stats.connecting):
                return

    async def _wait_until(
        self, until: float, *, even_if_idle: bool = False
    ) -> None:
        """Waits until a time, or only until the router is idle."""
        clock = self._parts.clock
        while clock() < until:
            stats = self._parts.ingress.stats()
            if (
                not even_if_idle
                and not stats.requests
                and not stats.unsent_connections
            ):
                return
            left_s = max(0.0, until - clock())
            await asyncio.sleep(min(POLL_INTERVAL_S, left_s))
