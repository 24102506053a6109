"""Selection of the hubs of a large fleet.

In a small fleet every router sends its reports to every other router. In a
large fleet that would cost more than serving requests, so a few routers act as
hubs: all routers report to the hubs, and the hubs send everyone digests of the
routers that are alive. Hubs also do the scheduling, because only they receive
the load of all routers.
"""

from collections.abc import Container, Mapping
from typing import NamedTuple

from chervilwall.rendezvous import score

# Number of hubs. Enough for two hubs to fail at once and a report to one of the
# others to be lost.
HUBS = 5
# Key by which candidates with equally many processors are ranked, so that all
# routers rank them alike.
HUB_SCORE_KEY = "fleet"
# Number of hubs that send full digests to the routers of one zone.
HUBS_PER_ZONE = 2
# A hub that has sent no report for this long after being chosen is skipped.
SILENT_AFTER_S = 1.5
# Time after being chosen at which a skipped hub becomes eligible again. (The
# Retry-After of HTTP responses is another time.)
RETRY_AFTER_S = 6.0


class Recipients(NamedTuple):
    """Addresses to which this router sends its reports.

    Args:
        full_report (frozenset): Addresses that receive the full report.
        short_report (frozenset): Addresses that receive a shortened report.
            Empty unless this router is a hub. A hub also sends digests, both to
            these addresses and to those in full_report.
        has_hubs (bool): Whether the fleet is large enough to use hubs.
        full_digest (frozenset): Addresses that receive this hub's full digests;
            the others receive only digests of changes.
    """

    full_report: frozenset[str]
    short_report: frozenset[str] = frozenset()
    has_hubs: bool = False
    full_digest: frozenset[str] = frozenset()


class HubCandidate(NamedTuple):
    """A router that is eligible as a hub.

    Args:
        cpu (float): Number of processors of its host.
        zone (str): Its availability zone.
    """

    cpu: float = 1.0
    zone: str = ""


def digest_hubs(zone: str, hubs: Mapping[str, str]) -> frozenset[str]:
    """Returns the hubs that send full digests to the routers of a zone.

    Hubs in the zone itself are preferred because traffic between zones is
    billed. A second hub is used because the first may be cut off from part of
    the zone.

    Args:
        zone (str): Availability zone of the receiving routers.
        hubs (Mapping): Availability zone of each hub, by name.
    """
    ranked = sorted(
        hubs,
        key=lambda name: (hubs[name] == zone, score(zone, name)),
        reverse=True,
    )
    return frozenset(ranked[:HUBS_PER_ZONE])


class HubSelector:
    """Choose the hubs of the fleet, skipping those that do not respond.

    The choice is deterministic, so routers that see the same candidates, and
    find the same hubs silent, choose the same hubs without coordination.

    Args:
        name (str): Name of this router.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._awaiting_since: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"HubSelector(waiting_for={len(self._awaiting_since)})"

    def choose(
        self,
        candidates: Mapping[str, HubCandidate],
        reporting: Container[str],
        now: float,
    ) -> frozenset[str]:
        """Returns the names of the hubs.

        Args:
            candidates (Mapping): Routers that are eligible as hubs.
            reporting (Container): Routers whose own reports are received here.
            now (float): Monotonic time.
        """
        self._clear_waits(reporting, now)
        responsive = {
            name: candidate
            for name, candidate in candidates.items()
            if not self._is_silent(name, now)
        }
        found = frozenset(_rank_candidates(responsive)[:HUBS])
        for name in found:
            if name != self._name and name not in reporting:
                self._awaiting_since.setdefault(name, now)
        return found

    def _is_silent(self, name: str, now: float) -> bool:
        since = self._awaiting_since.get(name)
        return since is not None and now - since > SILENT_AFTER_S

    def _clear_waits(self, reporting: Container[str], now: float) -> None:
        for name, since in list(self._awaiting_since.items()):
            if name in reporting or now - since > RETRY_AFTER_S:
                del self._awaiting_since[name]


def _rank_candidates(candidates: Mapping[str, HubCandidate]) -> list[str]:
    """Returns the names ordered by preference.

    The candidate with the most processors of each zone comes first, then all
    others by their number of processors.
    """
    by_cpu = sorted(
        candidates,
        key=lambda n: (candidates[n].cpu, score(HUB_SCORE_KEY, n)),
        reverse=True,
    )
    best_per_zone: dict[str, str] = {}
    for name in by_cpu:
        best_per_zone.setdefault(candidates[name].zone, name)
    # With a hub in each zone, few digests cross zones, which is billed.
    return [
        *best_per_zone.values(),
        *(n for n in by_cpu if n not in best_per_zone.values()),
    ]
