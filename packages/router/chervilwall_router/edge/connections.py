"""Pool of idle connections to targets."""

from collections.abc import Callable
from typing import NamedTuple

from chervilwall.registry import RegisteredTarget

from chervilwall_router.edge.target_connection import (
    TargetConnection,
    dial_target,
)

# A target that accepts no connection within this time counts as unreachable.
DIAL_TIMEOUT_S = 0.5
# Fraction of the target's idle timeout after which a connection is closed here,
# well before the target closes it.
IDLE_TIMEOUT_FRACTION = 0.5
# Assumed idle timeout of a target that announces none.
DEFAULT_IDLE_TIMEOUT_S = 4.0
# A longer idle timeout that a target announces is not relied on.
MAX_IDLE_TIMEOUT_S = 3600.0
# Fraction of a target's connection limit that all routers together may keep
# idle.
IDLE_CONNECTIONS_FRACTION = 0.5
MAX_IDLE_CONNECTIONS = 64


class IdleConnection(NamedTuple):
    """Open connection without a request.

    Args:
        conn (TargetConnection): The connection.
        expires_at (float): Monotonic time from which it is not reused.
    """

    conn: TargetConnection
    expires_at: float


class TargetConnectionPool:
    """Hold the idle connections to all targets and open new ones.

    Args:
        clock (Callable): Returns the monotonic time.
        max_idle (int | None): Limit on all idle connections together. Defaults
            to None, for none.
    """

    def __init__(
        self, clock: Callable[[], float], max_idle: int | None = None
    ) -> None:
        self._max_idle = max_idle
        self._idle_count = 0
        self._clock = clock
        self._idle: dict[str, list[IdleConnection]] = {}
        self.opened = 0

    def __repr__(self) -> str:
        return f"TargetConnectionPool(targets={len(self._idle)})"

    def __enter__(self) -> "TargetConnectionPool":
        return self

    def __exit__(self, *exc_info: object) -> None:
        for target_id in list(self._idle):
            self.close_all(target_id)

    async def acquire(self, target: RegisteredTarget) -> TargetConnection:
        """Returns an idle connection to a target, or opens one.

        Raises:
            DialError: The target refused the connection or did not accept it
                in `DIAL_TIMEOUT_S`.
        """
        idle = self._idle.get(target.id, [])
        now = self._clock()
        while idle:
            item = idle.pop()
            self._idle_count -= 1
            if item.conn.closed():
                continue
            if now >= item.expires_at:
                item.conn.close()
                continue
            return item.conn
        self.opened += 1
        return await dial_target(target.address, DIAL_TIMEOUT_S)

    async def probe(self, target: RegisteredTarget) -> None:
        """Checks that a target accepts connections.

        Keeps the new connection if none to the target is idle.

        Raises:
            DialError: The target refused the connection or did not accept it
                in `DIAL_TIMEOUT_S`.
        """
        self.opened += 1
        conn = await dial_target(target.address, DIAL_TIMEOUT_S)
        self.release(target, conn, idle_limit_s=None, max_idle_connections=1)

    def release(
        self,
        target: RegisteredTarget,
        conn: TargetConnection,
        *,
        idle_limit_s: float | None,
        max_idle_connections: int,
    ) -> None:
        """Returns a connection to the pool after a complete response.

        The connection is closed instead if the pool is full or the target
        announced an idle timeout of 0.

        Args:
            target (RegisteredTarget): Target of the connection.
            conn (TargetConnection): The connection.
            idle_limit_s (float | None): Idle timeout that the target announced,
                in seconds, or None.
            max_idle_connections (int): Maximum number of idle connections to
                the target.
        """
        if conn.closed():
            return
        idle_timeout_s = (
            DEFAULT_IDLE_TIMEOUT_S
            if idle_limit_s is None
            else min(idle_limit_s, MAX_IDLE_TIMEOUT_S)
        )
        idle = self._idle.setdefault(target.id, [])
        if (
            len(idle) >= min(max_idle_connections, MAX_IDLE_CONNECTIONS)
            or idle_timeout_s <= 0
            or self._has_enough_idle()
        ):
            conn.close()
            return
        expires_at = self._clock() + idle_timeout_s * IDLE_TIMEOUT_FRACTION
        idle.append(IdleConnection(conn, expires_at))
        self._idle_count += 1

    def _has_enough_idle(self) -> bool:
        return self._max_idle is not None and self._idle_count >= self._max_idle

    def close_expired(self) -> None:
        """Closes the connections whose idle time has expired."""
        now = self._clock()
        for target_id, idle in list(self._idle.items()):
            remaining = []
            for item in idle:
                if item.conn.closed():
                    continue
                if now >= item.expires_at:
                    item.conn.close()
                    continue
                remaining.append(item)
            if remaining:
                self._idle[target_id] = remaining
            else:
                del self._idle[target_id]
        self._idle_count = sum(map(len, self._idle.values()))

    def close_all(self, target_id: str) -> None:
        """Closes idle connections to a target that was removed or restarted."""
        for item in self._idle.pop(target_id, []):
            self._idle_count -= 1
            item.conn.close()


def max_idle_connections(max_connections: int, routers: int | None) -> int:
    """Returns the maximum number of idle connections of a router to a target.

    Args:
        max_connections (int): Connections that the target accepts, 0 if
            unknown.
        routers (int | None): Number of routers that share these connections,
            None if the fleet is not known: then one is kept.
    """
    if not max_connections:
        return MAX_IDLE_CONNECTIONS
    if routers is None:
        return 1
    return max(1, int(max_connections * IDLE_CONNECTIONS_FRACTION / routers))
