"""Evacuated zones, as read from the object store or from reports of peers.

Designed for partitions: a router that the store does not answer takes the set
of evacuated zones from the reports of peers, and one that hears from neither
keeps its last set. Until a router knows its first set, it sends no requests.
"""

import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple

from chervilwall import events
from chervilwall.edge_messages import EdgeReport
from chervilwall.errors import RevisionExpiredError
from chervilwall.evacuations import (
    MAX_FIRST_READ_S,
    EvacuatedZone,
    EvacuationChange,
    Evacuations,
)
from chervilwall.protocol import Metrics, ObjectList
from chervilwall.registry import TargetRegistry
from chervilwall.store_era import StoreRevision

LOG = logging.getLogger(__name__)
# Source of changes that this router has read itself.
STORE = "store"
# The checks of a watch must notice a lost response in time to keep the bound.
CHECKS_PER_BOUND = 2


class EvacuationParts(NamedTuple):
    """Dependencies of EvacuationState.

    Args:
        registry (TargetRegistry): Registry whose targets in evacuated zones get
            no new requests.
        evacuation_ms (float | None): Maximum time in milliseconds until an
            evacuation takes effect, None if zones cannot be evacuated.
        on_change (Callable): Called after the registry has a different set of
            evacuated zones.
        on_zones_returned (Callable): Called with the names of zones that have
            returned to service, before requests are sent there.
        is_hub (Callable): Returns whether this router sends reports to all
            others although most of these do not report to each other.
        send_reports_now (Callable): Called to send reports at once.
        learn_era (Callable): Called with the era of the store that a peer
            knows, and the peer's name.
        metrics (Metrics): Counts changes.
        clock (Callable): Returns the monotonic time in seconds.
        wall_clock (Callable): Returns the Unix time in seconds.
    """

    registry: TargetRegistry
    evacuation_ms: float | None
    on_change: Callable[[], None]
    on_zones_returned: Callable[[frozenset[str]], None]
    is_hub: Callable[[], bool]
    send_reports_now: Callable[[], None]
    learn_era: Callable[[int, str], None]
    metrics: Metrics
    clock: Callable[[], float]
    wall_clock: Callable[[], float]


class EvacuationState:
    """Hold the evacuated zones, and apply them to the target registry.

    It is the ObjectHandler of the watch of evacuations.

    Args:
        parts (EvacuationParts): Dependencies.

    Attributes:
        is_enabled (bool): Whether zones can be evacuated. If not, nothing is
            read, reported or taken from peers.
    """

    def __init__(self, parts: EvacuationParts) -> None:
        self._parts = parts
        self._evacuations = Evacuations()
        self._waits_since: float | None = None
        self.is_enabled = parts.evacuation_ms is not None
        self._is_known = not self.is_enabled
        if self.is_enabled:
            parts.registry.set_evacuated_zones(None)

    def __repr__(self) -> str:
        return f"EvacuationState(evacuations={self._evacuations!r})"

    @property
    def revision(self) -> StoreRevision:
        """Revision at which the set was read, (0, 0) if none is known."""
        return self._evacuations.revision

    @property
    def zones(self) -> Mapping[str, EvacuatedZone]:
        """Evacuated zones by name."""
        return self._evacuations.zones

    def check_interval_s(self, longest_s: float) -> float:
        """Returns the interval of checks for lost responses, in seconds.

        Args:
            longest_s (float): Interval of the checks of other kinds.
        """
        bound_s = (self._parts.evacuation_ms or 0.0) / 1000
        return min(longest_s, bound_s / CHECKS_PER_BOUND)

    def names(self) -> frozenset[str]:
        """Returns the names of the evacuated zones."""
        return frozenset(self._evacuations.names)

    def apply_list(
        self, listing: ObjectList, *, lapse_grace_until: float
    ) -> None:
        """Applies a list of all evacuations; their content does not matter.

        Args:
            listing (ObjectList): All evacuations.
            lapse_grace_until (float): Unused, as evacuations do not lapse.
        """
        del lapse_grace_until
        names = [item.name for item in listing.objects]
        change = self._evacuations.replace(
            listing.position, names, self._parts.wall_clock()
        )
        self._log_excess()
        self._apply(change, STORE)

    def apply_changes(
        self, changes: ObjectList, *, lapse_grace_until: float
    ) -> None:
        """Applies changed and deleted evacuations.

        Args:
            changes (ObjectList): The changes.
            lapse_grace_until (float): Unused, as evacuations do not lapse.

        Raises:
            RevisionExpiredError: A new list is needed, as the known set may
                have been cut off, or a change does not tell whether its object
                was deleted.
        """
        del lapse_grace_until
        exists = {item.name: not item.deleted for item in changes.objects}
        removed = [name for name, is_there in exists.items() if not is_there]
        # Only a malformed change has no value. It may be a deletion.
        is_readable = all(x.deleted or x.value for x in changes.objects)
        if not is_readable or not self._evacuations.can_update(removed):
            raise RevisionExpiredError(
                "the changes do not tell which zones are evacuated",
                step="update evacuated zones",
            )
        change = self._evacuations.update(
            changes.position, exists, self._parts.wall_clock()
        )
        if exists:
            self._log_excess()
        self._apply(change, STORE)

    def receive(self, report: EdgeReport, peer: str) -> None:
        """Applies the set in a report of a peer if it is newer.

        Args:
            report (EdgeReport): The report.
            peer (str): Name of the peer.
        """
        revision = report.evacuations_revision
        if not self.is_enabled or not revision:
            return
        self._parts.learn_era(revision.era, peer)
        change = self._evacuations.merge(
            revision, report.evacuated_zones, self._parts.wall_clock()
        )
        self._apply(change, peer)

    def is_known(self) -> bool:
        """Returns whether this router may send requests.

        It may if it knows which zones are evacuated, or if it has not learned
        it in MAX_FIRST_READ_S. To be asked from when it knows its targets.
        """
        if self._is_known:
            return True
        now = self._parts.clock()
        if self._waits_since is None:
            self._waits_since = now
        if now - self._waits_since < MAX_FIRST_READ_S:
            return False
        events.log_event(
            LOG, events.EVACUATIONS_UNKNOWN, waited_s=MAX_FIRST_READ_S
        )
        self._apply(EvacuationChange(), "")
        return True

    def _apply(self, change: EvacuationChange, source: str) -> None:
        parts = self._parts
        is_first, self._is_known = not self._is_known, True
        if not change and not is_first:
            return
        self._log(change, source)
        if change.returned:
            parts.on_zones_returned(frozenset(change.returned))
        parts.registry.set_evacuated_zones(self.names())
        # In a small fleet, all others hear it from the router that read it.
        if change and (source == STORE or parts.is_hub()):
            parts.send_reports_now()
        parts.on_change()

    def _log(self, change: EvacuationChange, source: str) -> None:
        for event, counter, zones in (
            (events.ZONE_EVACUATED, "zone_evacuated", change.evacuated),
            (events.ZONE_RETURNED, "zone_returned", change.returned),
        ):
            for zone in zones:
                self._parts.metrics.count(counter)
                events.log_event(
                    LOG,
                    event,
                    zone=zone,
                    revision=self.revision,
                    source=source,
                )

    def _log_excess(self) -> None:
        if self._evacuations.excess:
            events.log_event(
                LOG,
                events.EVACUATIONS_CUT,
                ignored=self._evacuations.excess,
                revision=self.revision,
            )


def log_returned_zones(zones: frozenset[str]) -> None:
    """Logs that the targets of zones that returned to service may be cold.

    Args:
        zones (frozenset): Names of the zones.
    """
    names = ",".join(sorted(zones))
    events.log_event(LOG, events.RETURNED_TARGETS_COLD, zones=names)
