"""The latest time at which things happened, for a while."""

import math
from collections import OrderedDict
from collections.abc import Hashable, Iterator
from typing import Generic, NamedTuple, TypeVar

K = TypeVar("K", bound=Hashable)


class Occurrence(NamedTuple, Generic[K]):
    """Something that happened.

    Args:
        key (K): What.
        at (float): Monotonic time at which it happened.
        stamp (int): Tells what is told again from what happened again; what is
            told again has aged on its way, so times do not.
    """

    key: K
    at: float
    stamp: int


class LatestTimes(Generic[K]):
    """Keep the latest time for each key, and forget those told long ago.

    Args:
        kept_s (float): Seconds for which a time is kept.
        most (int): Most keys; the oldest are forgotten first.
    """

    def __init__(self, *, kept_s: float, most: int) -> None:
        self._kept_s = kept_s
        self._most = most
        self._latest: OrderedDict[K, Occurrence[K]] = OrderedDict()
        # By stamp, when it was told first.
        self._told_at: OrderedDict[int, float] = OrderedDict()

    def __repr__(self) -> str:
        return f"LatestTimes(keys={len(self._latest)})"

    def at(self, key: K) -> float:
        """Returns the latest time of a key, minus infinity without one."""
        known = self._latest.get(key)
        return known.at if known else -math.inf

    def put(self, found: Occurrence[K], now: float) -> bool:
        """Takes in an occurrence; returns whether it is the latest of its key.

        Args:
            found (Occurrence): What happened.
            now (float): Monotonic time.
        """
        if found.stamp in self._told_at:
            return False
        self._told_at[found.stamp] = now
        self._forget(now)
        if found.at <= self.at(found.key):
            return False
        self._latest[found.key] = found
        self._latest.move_to_end(found.key)
        return True

    def newest(self, since: float, most: int) -> Iterator[Occurrence[K]]:
        """Generates what was told since, the newest first."""
        for number, found in enumerate(reversed(self._latest.values())):
            told_at = self._told_at.get(found.stamp, -math.inf)
            if told_at < since or number >= most:
                return
            yield found

    def _forget(self, now: float) -> None:
        while self._told_at:
            stamp, told_at = next(iter(self._told_at.items()))
            if now - told_at <= self._kept_s:
                break
            del self._told_at[stamp]
        while len(self._told_at) > self._most:
            self._told_at.popitem(last=False)
        while self._latest:
            oldest = next(iter(self._latest.values()))
            if oldest.stamp in self._told_at:
                return
            del self._latest[oldest.key]
