"""Routers that may be running, whether or not they are reachable now."""

from collections.abc import Iterable

# Time after its last report at which a router no longer counts: longer than a
# partition of an hour, so that only replaced routers are dropped.
KNOWN_ROUTER_TTL_S = 2 * 3600.0


class KnownRouters:
    """Count the other routers, to divide what the whole fleet may use.

    Designed for limits that hold for the sum over all routers: a router that
    is partitioned from the others, or has just started, must not use the part
    of those that it receives no reports from.
    """

    def __init__(self) -> None:
        self._last_seen_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"KnownRouters(routers={len(self._last_seen_at)})"

    def record_alive(self, names: Iterable[str], now: float) -> None:
        """Records routers that are alive."""
        for name in names:
            self._last_seen_at[name] = now

    def record_registered(self, names: Iterable[str], now: float) -> None:
        """Records routers that are registered; they may be gone already."""
        for name in names:
            self._last_seen_at.setdefault(name, now)

    def count(self, now: float) -> int:
        """Returns the number of routers that may be running."""
        self._last_seen_at = {
            name: at
            for name, at in self._last_seen_at.items()
            if now - at <= KNOWN_ROUTER_TTL_S
        }
        return len(self._last_seen_at)
