"""A router's view of its fleet: recipients of reports, hubs and schedulers.

Designed for fleets of a few to hundreds of routers. In a small fleet all
routers report to each other; in a large one a few of them act as hubs, which
get all reports, watch the object store and schedule requests for the others.
The others get short reports and digests from the hubs. A digest lists routers
that report to the hub: in a full digest all of them, otherwise those that have
changed or stopped reporting. A short report omits what only schedulers need.
"""

import math
from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from chervilwall.hubs import HubCandidate, HubSelector, Recipients, digest_hubs
from chervilwall.known_routers import KnownRouters
from chervilwall.peers import REPORT_INTERVAL_S, PeerState, PeerTable
from chervilwall.rendezvous import owner

from chervilwall_router.edge.peer_grants import SchedulerPeer

# Fraction of a target's limit that all routers together may use that place
# requests while the scheduler does not answer them.
STAND_IN_FRACTION = 0.5
# Routers of which each may send requests to cold targets, as each of them uses
# at most half of the bound.
FEW_ROUTERS = 2
# Time for which a router must have been the scheduler of a service before it
# sends requests to cold targets. In a partition, reports of routers that were
# cut off count for PEER_TTL_S after they arrived. With report intervals of up
# to 0.5 s, the former scheduler may therefore use the rate of the whole fleet
# for 0.5 s after others have taken over.
TAKEOVER_S = 0.75


class FleetParts(NamedTuple):
    """Dependencies of a FleetView.

    Args:
        name (str): Name of this router.
        address (str): Datagram address of this router.
        me (HubCandidate): This router as a candidate for hub.
        max_mesh_routers (int): Largest fleet in which all routers report to
            each other.
        peers (PeerTable): The other routers.
        addresses (Mapping): Datagram addresses of the routers registered in the
            object store, by name.
        has_joined (Callable): Returns whether these have been read since the
            start.
        is_ready (Callable): Returns whether this router accepts callers.
        clock (Callable): Returns the monotonic time in seconds.
        services_with_cold_targets (Callable): Returns the names of the services
            whose targets may be cold. Defaults to none.
    """

    name: str
    address: str
    me: HubCandidate
    max_mesh_routers: int
    peers: PeerTable
    addresses: Mapping[str, str]
    has_joined: Callable[[], bool]
    is_ready: Callable[[], bool]
    clock: Callable[[], float]
    services_with_cold_targets: Callable[[], Collection[str]] = tuple


class FleetView:
    """Choose the recipients of reports, the hubs and the schedulers.

    Each service has one scheduler, the router that places its requests.

    Args:
        parts (FleetParts): Dependencies.
    """

    def __init__(self, parts: FleetParts) -> None:
        self._parts = parts
        self._selector = HubSelector(parts.name)
        self._known = KnownRouters()
        self._known_count = 0
        self._hubs: frozenset[str] = frozenset()
        self._large = False
        # Monotonic times since which this router schedules a service.
        self._scheduler_since: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"FleetView(name={self._parts.name!r})"

    def hubs(self) -> frozenset[str]:
        """Returns the names of the hubs; a small fleet has none.

        Hubs are chosen by recipients(), which runs before each report.
        """
        return self._hubs if self._large else frozenset()

    def router_count(self) -> int:
        """Returns the number of live routers, including this one."""
        return 1 + len(self._parts.peers.alive(self._parts.clock()))

    def known_router_count(self) -> int | None:
        """Returns the number of routers that may be running.

        It includes this router and unreachable ones, and is counted by
        recipients(). None means that this router does not know the fleet yet.
        """
        return self._known_count or None

    def _count_known(self, now: float) -> None:
        self._known.record_alive(self._parts.peers.alive(now), now)
        self._known.record_registered(self._parts.addresses, now)
        if self._parts.has_joined():
            self._known_count = 1 + self._known.count(now)

    def recipients(self) -> Recipients:
        """Chooses the hubs anew and returns the recipients of reports.

        Called before each report; hubs() returns the choice until the next.
        """
        parts, now = self._parts, self._parts.clock()
        alive = parts.peers.alive(now)
        self._count_known(now)
        for service in parts.services_with_cold_targets():
            self._check_scheduler(service, now)
        addresses = dict(parts.addresses)
        addresses.update(
            (n, s.report.datagram_address) for n, s in alive.items()
        )
        addresses.pop(parts.name, None)
        everyone = frozenset(addresses.values()) - {parts.address}
        self._large = len(addresses) >= parts.max_mesh_routers
        if not self._large:
            return Recipients(everyone)
        recent = parts.peers.recent_reports(now)
        candidates = self._candidates(addresses, alive)
        hubs = self._hubs = self._selector.choose(candidates, recent, now)
        # Peers may know other routers and so have chosen other hubs. Those need
        # reports too.
        reported_hubs = {n for n, s in recent.items() if s.report.hub}
        full_report = {
            addresses[n] for n in (hubs | reported_hubs) if n in addresses
        }
        short_report = (
            everyone - full_report if parts.name in hubs else frozenset()
        )
        full_digest = (
            self._full_digest_recipients(addresses, alive)
            if short_report
            else frozenset()
        )
        return Recipients(
            frozenset(full_report),
            short_report,
            has_hubs=True,
            full_digest=full_digest,
        )

    def _full_digest_recipients(
        self, addresses: Mapping[str, str], alive: Mapping[str, PeerState]
    ) -> frozenset[str]:
        """Returns the addresses that get this hub's full digests."""
        parts = self._parts
        zones = {n: s.report.zone for n, s in alive.items()}
        zones[parts.name] = parts.me.zone
        hubs = {n: zones.get(n, "") for n in self._hubs}
        own_zones = {
            z for z in set(zones.values()) if parts.name in digest_hubs(z, hubs)
        }
        # Routers that have not reported yet are included, as their zone is
        # unknown.
        return frozenset(
            address
            for name, address in addresses.items()
            if zones.get(name) in own_zones or name not in zones
        )

    def follows_store(self) -> bool:
        """Returns whether this router watches the object store itself.

        In a large fleet only hubs do, and the others pull snapshots from peers.
        If no hub can reach the store, all routers watch it.
        """
        parts = self._parts
        if not self._large or parts.name in self._hubs:
            return True
        recent = parts.peers.recent_reports(parts.clock()).values()
        return not any(
            s.report.hub and s.report.store_reachable for s in recent
        )

    def scheduler_count(self, service: str) -> int:
        """Returns the number of routers among which a service is divided.

        It is 1 if this router schedules the service, and otherwise the number
        of all routers, as each places its own requests without a scheduler.
        """
        if self.find_scheduler(service, ()) is None:
            return 1
        return self.router_count()

    def limit_fraction(self, service: str) -> float:
        """Returns the fraction of a target's limit that this router may use.

        The scheduler of a service places the requests of all routers, and any
        other one only its own while the scheduler does not answer: all of these
        together use half a limit beside the scheduler. Where no router is
        eligible, as all are leaving, each one places its own. A scheduler that
        receives reports from less than half of the fleet uses the part of these
        routers, as others may place requests too.

        Args:
            service (str): Service of the target.
        """
        alive = self.router_count()
        known = max(alive, self._known_count)
        if self.find_scheduler(service, ()) is not None:
            return STAND_IN_FRACTION / known
        if not self._is_candidate():
            return 1.0 / known
        return 1.0 if 2 * alive > known else alive / known

    def cold_fraction(self, service: str) -> float:
        """Returns the fraction of the rate for cold targets that may be used.

        Only the scheduler of a service sends requests to cold targets, and only
        from TAKEOVER_S after it became the scheduler on. It uses the whole rate
        if it hears more than half of the known routers, and otherwise the
        fraction that it hears. No router sends any before it knows the fleet.
        In a fleet of FEW_ROUTERS each one may.

        Args:
            service (str): Service of the target.
        """
        known = self.known_router_count()
        if known is None:
            return 0.0
        now = self._parts.clock()
        known = max(known, self.router_count())
        if known <= FEW_ROUTERS:
            return 1.0
        self._check_scheduler(service, now)
        since = self._scheduler_since.get(service)
        if since is None or now - since < TAKEOVER_S:
            return 0.0
        # What hubs list may be older than what a scheduler hears itself.
        heard = 1 + len(self._parts.peers.recent_reports(now))
        return 1.0 if 2 * heard > known else heard / known

    def cold_resumes_in_s(self, service: str) -> float:
        """Returns the seconds until cold_fraction() is expected to be above 0.

        It is infinite for a router that is not the scheduler.

        Args:
            service (str): Service of the target.
        """
        if self.known_router_count() is None:
            return REPORT_INTERVAL_S
        since = self._scheduler_since.get(service)
        if since is None:
            return math.inf
        left_s = since + TAKEOVER_S - self._parts.clock()
        return left_s if left_s > 0 else math.inf

    def _schedules(self, service: str) -> bool:
        """Returns whether this router is the scheduler of a service."""
        is_sole = self.find_scheduler(service, ()) is None
        return is_sole and self._is_candidate()

    def _check_scheduler(self, service: str, now: float) -> None:
        """Notes since when this router schedules a service, if it does."""
        if self._schedules(service):
            self._scheduler_since.setdefault(service, now)
        else:
            self._scheduler_since.pop(service, None)

    def find_scheduler(
        self, service: str, avoided: Collection[str]
    ) -> SchedulerPeer | None:
        """Returns the router that schedules a service.

        None means that this router must place the requests itself: it is the
        scheduler, no router is eligible, or, in a small fleet, the scheduler
        is one of `avoided`. In a large fleet only hubs are eligible; those in
        `avoided` are skipped and another one is chosen.

        Args:
            service (str): The service.
            avoided (Collection): Names of routers that did not answer.
        """
        parts, now = self._parts, self._parts.clock()
        peers = parts.peers
        if self._large:
            # Only hubs know the load of all targets, so only they can schedule.
            states = {n: peers.recent_report(n, now) for n in self._hubs}
            recent = {n: s for n, s in states.items() if s and n not in avoided}
        else:
            recent = peers.recent_reports(now)
        ready = {n: s for n, s in recent.items() if s.report.ready}
        names = set(ready)
        if self._is_candidate():
            names.add(parts.name)
        chosen = owner(service, names)
        if chosen is None or chosen not in ready or chosen in avoided:
            return None
        state = ready[chosen]
        return SchedulerPeer(
            chosen, state.incarnation, state.report.datagram_address
        )

    def _is_candidate(self) -> bool:
        """Returns whether this router is eligible as a scheduler."""
        may_schedule = not self._large or self._parts.name in self._hubs
        return may_schedule and self._parts.is_ready()

    def _candidates(
        self, addresses: Mapping[str, str], alive: Mapping[str, PeerState]
    ) -> dict[str, HubCandidate]:
        """Returns the routers that are eligible as hubs, by name.

        These are the ready routers, or all known ones if none is ready.
        """
        candidates = {
            name: HubCandidate(state.report.cpu, state.report.zone)
            for name, state in alive.items()
            if state.report.ready
        }
        if self._parts.is_ready():
            candidates[self._parts.name] = self._parts.me
        # Even before a router is ready, hubs are needed to send digests.
        return candidates or dict.fromkeys(
            [*addresses, self._parts.name], HubCandidate()
        )
