"""Zones whose targets get no new requests, and how copies of them are merged.

An operator evacuates an availability zone by an object in the store. The set of
evacuated zones is replaced as a whole: the one that was read at the higher
revision holds, whoever read it. A revision of a newer era is higher than all of
older eras, so the set of a store that came back from an older copy holds too.
"""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

from chervilwall.store_era import StoreRevision
from chervilwall.untrusted import MAX_NAME_CHARS

# Maximum number of evacuated zones that a report lists, so that it fits into a
# datagram.
MAX_ZONES = 64
# Time in seconds for which a router that knows configuration and targets waits
# for its first set of evacuated zones. Without this limit, routers whose peers
# state none and for which the store lists no evacuations would never be ready.
MAX_FIRST_READ_S = 10.0


class EvacuatedZone(NamedTuple):
    """An evacuated zone, as one router knows it.

    Args:
        since (float): Unix time in seconds at which the router learned of it.
        revision (StoreRevision): Revision of the first set that contains it.
    """

    since: float
    revision: StoreRevision


class EvacuationChange(NamedTuple):
    """Difference between two sets of evacuated zones.

    Args:
        evacuated (tuple): Zones that are evacuated now, by name.
        returned (tuple): Zones that are in service again, by name.
    """

    evacuated: tuple[str, ...] = ()
    returned: tuple[str, ...] = ()

    def __bool__(self) -> bool:
        return bool(self.evacuated or self.returned)


class Evacuations:
    """Hold the newest known set of evacuated zones.

    Attributes:
        revision (StoreRevision): Revision at which the set was read, (0, 0) if
            none is known.
        excess (int): Number of names beyond MAX_ZONES in the latest list or
            changes from the store, which are left out.
    """

    def __init__(self) -> None:
        self.revision = StoreRevision()
        self.excess = 0
        self._zones: dict[str, EvacuatedZone] = {}

    def __repr__(self) -> str:
        return f"Evacuations(zones={self.names}, revision={self.revision})"

    @property
    def names(self) -> tuple[str, ...]:
        """Names of the evacuated zones, sorted."""
        return tuple(self._zones)

    @property
    def zones(self) -> Mapping[str, EvacuatedZone]:
        """Evacuated zones by name, sorted by name."""
        return self._zones

    def replace(
        self, revision: StoreRevision, names: Iterable[str], wall_time: float
    ) -> EvacuationChange:
        """Applies a list of all names from the store.

        A list that is older than the known set is ignored.

        Args:
            revision (StoreRevision): Revision that the list reflects.
            names (Iterable): Names of the objects in the store.
            wall_time (float): Unix time in seconds.
        """
        if revision < self.revision:
            return EvacuationChange()
        return self._set(revision, self._limit(names), wall_time)

    def can_update(self, removed: Iterable[str]) -> bool:
        """Returns whether removals can be applied without a new list.

        A set of MAX_ZONES names may have been cut off: when one of them is
        removed, the name that takes its place is not known.

        Args:
            removed (Iterable): Names of removed objects.
        """
        is_full = len(self._zones) >= MAX_ZONES
        return not is_full or self._zones.keys().isdisjoint(removed)

    def update(
        self,
        revision: StoreRevision,
        changes: Mapping[str, bool],
        wall_time: float,
    ) -> EvacuationChange:
        """Applies changes that follow the known set.

        Args:
            revision (StoreRevision): Revision that the changes lead to; older
                changes than the known set are ignored.
            changes (Mapping): Whether an object exists now, by name.
            wall_time (float): Unix time in seconds.
        """
        if revision < self.revision:
            return EvacuationChange()
        names = self._zones.keys() - changes.keys()
        names |= {name for name, exists in changes.items() if exists}
        return self._set(revision, self._limit(names), wall_time)

    def merge(
        self, revision: StoreRevision, names: Iterable[str], wall_time: float
    ) -> EvacuationChange:
        """Applies the set of a peer if its revision is higher.

        Args:
            revision (StoreRevision): Revision at which it was read, (0, 0) if
                the peer knows none.
            names (Iterable): Names of the evacuated zones.
            wall_time (float): Unix time in seconds.
        """
        if revision <= self.revision:
            return EvacuationChange()
        return self._set(revision, _first_zones(names), wall_time)

    def _limit(self, names: Iterable[str]) -> tuple[str, ...]:
        found = frozenset(names)
        first = _first_zones(found)
        self.excess = len(found) - len(first)
        return first

    def _set(
        self, revision: StoreRevision, names: tuple[str, ...], wall_time: float
    ) -> EvacuationChange:
        known = self._zones
        new = EvacuatedZone(wall_time, revision)
        self._zones = {name: known.get(name, new) for name in names}
        self.revision = revision
        return EvacuationChange(
            tuple(name for name in names if name not in known),
            tuple(name for name in known if name not in self._zones),
        )


def _first_zones(names: Iterable[str]) -> tuple[str, ...]:
    """Returns the first names in sorted order that reports have room for.

    Longer names than MAX_NAME_CHARS are left out: no target has such a zone.
    """
    usable = {name for name in names if len(name) <= MAX_NAME_CHARS}
    return tuple(sorted(usable)[:MAX_ZONES])
