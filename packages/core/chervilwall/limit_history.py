"""Timeouts of callers across changes of the configuration."""

from collections import deque
from typing import NamedTuple

from chervilwall.routing import CallerLimits


class _ReplacedLimits(NamedTuple):
    """Limits that are no longer in force.

    Args:
        limits (CallerLimits): The limits.
        until (float): Monotonic time at which they were replaced.
    """

    limits: CallerLimits
    until: float


class LimitHistory:
    """Find the limits that bind what began under an earlier configuration.

    A caller goes by the limits that were in force when its connection went
    idle or its request began. A timeout that grows applies at once; one that
    shrinks applies only to what begins afterwards.

    Args:
        limits (CallerLimits): Limits in force.
    """

    def __init__(self, limits: CallerLimits) -> None:
        self._current = limits
        self._replaced: deque[_ReplacedLimits] = deque()

    def __repr__(self) -> str:
        return f"LimitHistory(replaced={len(self._replaced)})"

    def update(self, limits: CallerLimits, now: float) -> None:
        """Sets the limits in force and drops those that bind nothing now."""
        if limits != self._current:
            self._replaced.append(_ReplacedLimits(self._current, now))
            self._current = limits
        self._replaced = deque(
            item
            for item in self._replaced
            if now - item.until <= _longest_timeout_s(item.limits)
        )

    def since(self, start: float) -> CallerLimits:
        """Returns the limits for what has lasted since a monotonic time.

        The timeouts are the longest ones in force since then; the limits on
        sizes are those in force now.
        """
        timeouts = [self._current]
        timeouts += [i.limits for i in self._replaced if i.until >= start]
        if len(timeouts) == 1:
            return self._current
        return self._current._replace(
            header_timeout_s=max(item.header_timeout_s for item in timeouts),
            idle_timeout_s=max(item.idle_timeout_s for item in timeouts),
        )


def _longest_timeout_s(limits: CallerLimits) -> float:
    return max(limits.header_timeout_s, limits.idle_timeout_s)
