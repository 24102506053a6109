"""Connections to targets, kept open between requests."""

from collections.abc import Callable
from typing import NamedTuple

from chervilwall.registry import RegisteredTarget

from chervilwall_router.edge.target_connection import (
    TargetConnection,
    dial_target,
)

# A target that does not accept within this time is treated as gone.
DIAL_TIMEOUT_S = 0.5
# Kept connections are given up well before the target's own time-out.
IDLE_PORTION = 0.5
# Idle time allowed where the target states none.
DEFAULT_IDLE_S = 4.0
# Portion of a target's connections that all routers together keep idle.
KEPT_PORTION = 0.5
MAX_KEPT = 64


class KeptConnection(NamedTuple):
    """A connection that waits for its next request.

    Args:
        conn (TargetConnection): The connection.
        idle_until (float): Monotonic time at which it is given up.
    """

    conn: TargetConnection
    idle_until: float


class TargetConnections:
    """Hold the idle connections to all targets.

    Args:
        clock (Callable): Returns the monotonic time.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[str, list[KeptConnection]] = {}
        self.opened = 0

    def __repr__(self) -> str:
        return f"TargetConnections(targets={len(self._idle)})"

    def __enter__(self) -> "TargetConnections":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for target_id in list(self._idle):
            self.close_all(target_id)

    async def acquire(self, target: RegisteredTarget) -> TargetConnection:
        """Returns a kept connection, or opens one.

        Raises:
            DialError: None could be opened.
        """
        kept = self._idle.get(target.id, [])
        now = self._clock()
        while kept:
            item = kept.pop()
            if item.conn.closed():
                continue
            if now >= item.idle_until:
                item.conn.close()
                continue
            return item.conn
        self.opened += 1
        return await dial_target(target.address, DIAL_TIMEOUT_S)

    async def probe(self, target: RegisteredTarget) -> None:
        """Opens a connection and closes it.

        Raises:
            DialError: None could be opened.
        """
        self.opened += 1
        conn = await dial_target(target.address, DIAL_TIMEOUT_S)
        conn.close()

    def release(
        self,
        target: RegisteredTarget,
        conn: TargetConnection,
        *,
        idle_limit_s: float | None,
        most_kept: int,
    ) -> None:
        """Keeps a connection after a whole answer.

        Args:
            target (RegisteredTarget): Where it leads.
            conn (TargetConnection): The connection.
            idle_limit_s (float | None): The target's own limit, if told.
            most_kept (int): Most connections to keep to the target.
        """
        if conn.closed():
            return
        limit_s = DEFAULT_IDLE_S if idle_limit_s is None else idle_limit_s
        kept = self._idle.setdefault(target.id, [])
        if len(kept) >= min(most_kept, MAX_KEPT) or limit_s <= 0:
            conn.close()
            return
        idle_until = self._clock() + limit_s * IDLE_PORTION
        kept.append(KeptConnection(conn, idle_until))

    def sweep(self) -> None:
        """Closes connections that were idle for too long."""
        now = self._clock()
        for target_id, kept in list(self._idle.items()):
            left = []
            for item in kept:
                if item.conn.closed():
                    continue
                if now >= item.idle_until:
                    item.conn.close()
                    continue
                left.append(item)
            if left:
                self._idle[target_id] = left
            else:
                del self._idle[target_id]

    def close_all(self, target_id: str) -> None:
        """Closes the idle connections to a target that ended."""
        for item in self._idle.pop(target_id, []):
            item.conn.close()


def most_kept(max_connections: int, routers: int) -> int:
    """Returns how many idle connections one router may keep to a target."""
    if not max_connections:
        return MAX_KEPT
    return max(1, int(max_connections * KEPT_PORTION / max(1, routers)))
