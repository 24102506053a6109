"""What a router makes of its fleet: whom it tells, and who schedules."""

from collections.abc import Callable, Collection, Mapping
from typing import NamedTuple

from chervilwall.hubs import HubCandidate, HubSelector, Recipients, digest_hubs
from chervilwall.peers import PeerState, PeerTable
from chervilwall.rendezvous import owner

from chervilwall_router.edge.granting import Scheduler


class FleetParts(NamedTuple):
    """What the view is made of.

    Args:
        name (str): This router's name.
        address (str): Its datagram address.
        me (HubCandidate): Its host.
        mesh_most (int): Routers up to which each tells each.
        peers (PeerTable): The peers.
        addresses (Mapping): Datagram addresses that the store named.
        is_ready (Callable): Tells whether this router takes callers.
        clock (Callable): Returns the monotonic time.
    """

    name: str
    address: str
    me: HubCandidate
    mesh_most: int
    peers: PeerTable
    addresses: Mapping[str, str]
    is_ready: Callable[[], bool]
    clock: Callable[[], float]


class FleetView:
    """Tell whom this router reports to, and which router schedules.

    Args:
        parts (FleetParts): What it is made of.
    """

    def __init__(self, parts: FleetParts) -> None:
        self._parts = parts
        self._selector = HubSelector(parts.name)
        self._hubs: frozenset[str] = frozenset()
        self._large = False

    def __repr__(self) -> str:
        return f"FleetView(name={self._parts.name!r})"

    def hubs(self) -> frozenset[str]:
        """Returns the names of the hubs, none in a small fleet."""
        return self._hubs if self._large else frozenset()

    def count(self) -> int:
        """Returns how many routers there are, with this one."""
        return 1 + len(self._parts.peers.alive(self._parts.clock()))

    def recipients(self) -> Recipients:
        """Returns where reports go."""
        parts, now = self._parts, self._parts.clock()
        alive = parts.peers.alive(now)
        known = dict(parts.addresses)
        known.update((n, s.report.datagram_address) for n, s in alive.items())
        known.pop(parts.name, None)
        everyone = frozenset(known.values()) - {parts.address}
        self._large = len(known) >= parts.mesh_most
        if not self._large:
            return Recipients(everyone)
        recent = parts.peers.recent_reports(now)
        candidates = self._candidates(known, alive)
        hubs = self._hubs = self._selector.choose(candidates, recent, now)
        # Some may see another fleet and take others for hubs.
        named = {n for n, s in recent.items() if s.report.hub}
        full_report = {known[n] for n in (hubs | named) if n in known}
        short_report = (
            everyone - full_report if parts.name in hubs else frozenset()
        )
        full_digest = (
            self._full_digest(known, alive) if short_report else frozenset()
        )
        return Recipients(
            frozenset(full_report),
            short_report,
            has_hubs=True,
            full_digest=full_digest,
        )

    def _full_digest(
        self, known: Mapping[str, str], alive: Mapping[str, PeerState]
    ) -> frozenset[str]:
        """Returns whom this hub tells of all that are there."""
        parts = self._parts
        zones = {n: s.report.zone for n, s in alive.items()}
        zones[parts.name] = parts.me.zone
        hubs = {n: zones.get(n, "") for n in self._hubs}
        mine = {
            z for z in set(zones.values()) if parts.name in digest_hubs(z, hubs)
        }
        # Of a router that nobody heard yet, the zone is not known.
        return frozenset(
            address
            for name, address in known.items()
            if zones.get(name) in mine or name not in zones
        )

    def follows_store(self) -> bool:
        """Tells whether this router follows the store itself.

        In a large fleet hubs do, and the others take what they have read.
        Without a hub that the store answers, each one does.
        """
        parts = self._parts
        if not self._large or parts.name in self._hubs:
            return True
        recent = parts.peers.recent_reports(parts.clock()).values()
        return not any(
            s.report.hub and s.report.store_reachable for s in recent
        )

    def find_scheduler(
        self, service: str, avoided: Collection[str]
    ) -> Scheduler | None:
        """Returns the router that schedules a service, None for this one.

        Args:
            service (str): The service.
            avoided (Collection): Routers that do not answer.
        """
        parts, now = self._parts, self._parts.clock()
        peers = parts.peers
        if self._large:
            # Only hubs know the load, so the next one is asked.
            states = {n: peers.recent_report(n, now) for n in self._hubs}
            recent = {n: s for n, s in states.items() if s and n not in avoided}
        else:
            recent = peers.recent_reports(now)
        ready = {n: s for n, s in recent.items() if s.report.ready}
        names = set(ready)
        is_candidate = not self._large or parts.name in self._hubs
        if is_candidate and parts.is_ready():
            names.add(parts.name)
        found = owner(service, names)
        if found is None or found not in ready or found in avoided:
            return None
        state = ready[found]
        return Scheduler(
            found, state.incarnation, state.report.datagram_address
        )

    def _candidates(
        self, known: Mapping[str, str], alive: Mapping[str, PeerState]
    ) -> dict[str, HubCandidate]:
        """Returns the routers that may be hubs: the ready ones, if any."""
        found = {
            name: HubCandidate(state.report.cpu, state.report.zone)
            for name, state in alive.items()
            if state.report.ready
        }
        if self._parts.is_ready():
            found[self._parts.name] = self._parts.me
        # Until one is ready, any may pass on who is there.
        return found or dict.fromkeys(
            [*known, self._parts.name], HubCandidate()
        )
