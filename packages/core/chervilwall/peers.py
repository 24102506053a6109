"""State of the other edge routers, from their own reports and from hubs."""

from typing import NamedTuple

from chervilwall.address_list import CallerAddress
from chervilwall.edge_messages import EdgeReport, LivePeer
from chervilwall.load_view import PEER_TTL_S
from chervilwall.store_era import StoreRevision

# Interval between reports; several may be lost before PEER_TTL_S passes.
REPORT_INTERVAL_S = 0.25
# Ended incarnations that are remembered, so that late reports are rejected.
MAX_ENDED_INCARNATIONS = 256
# Interval between the full digests of a hub, which list all routers it knows.
FULL_DIGEST_INTERVAL_S = 2.0
# Time for which alive() reuses its result if no report has changed it.
ALIVE_CACHE_S = 0.1
# Time after which a router that hubs no longer list is dropped: three intervals
# between full digests and a margin, so two digests in a row may be lost.
HUB_REPORT_TTL_S = 6.5


class PeerState(NamedTuple):
    """The newest report of a peer.

    Args:
        incarnation (int): Incarnation of the peer.
        report (EdgeReport): The report. If it came from a hub, only the
            sequence number, addresses, zone, readiness and processors are
            set.
        received_at (float): Monotonic time at which it was received.
    """

    incarnation: int
    report: EdgeReport
    received_at: float


class PeerTable:
    """Hold the newest report of each peer.

    Reports that peers send themselves and those that hubs pass on in their
    digests are kept apart.

    Args:
        name (str): Name of this router.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._own_reports: dict[str, PeerState] = {}
        self._hub_reports: dict[str, PeerState] = {}
        self._ended: dict[tuple[str, int], None] = {}
        self._alive: dict[str, PeerState] = {}
        self._alive_computed_at = float("-inf")

    def __repr__(self) -> str:
        return (
            f"PeerTable(peers={len(self._own_reports)}, "
            f"hub_reports={len(self._hub_reports)})"
        )

    def receive(
        self, name: str, incarnation: int, report: EdgeReport, now: float
    ) -> bool:
        """Records a report that a peer sent about itself.

        Args:
            name (str): Name of the sender.
            incarnation (int): Incarnation of the sender.
            report (EdgeReport): The report.
            now (float): Monotonic time.

        Returns:
            Whether the report was recorded. Reports of this router, of an
            ended incarnation, or no newer than the last one are ignored.
        """
        if name == self._name or (name, incarnation) in self._ended:
            return False
        known = self._own_reports.get(name)
        if known is not None:
            if known.incarnation != incarnation:
                self._record_ended(name, known.incarnation)
            elif report.sequence <= known.report.sequence:
                return False
        self._own_reports[name] = PeerState(incarnation, report, now)
        if known is None or _affects_alive(known, incarnation, report):
            self._invalidate_alive()
        return True

    def record_from_hub(self, peer: LivePeer, now: float) -> bool:
        """Records a peer that a hub listed as live.

        Args:
            peer (LivePeer): The hub's entry for the peer.
            now (float): Monotonic time.

        Returns:
            Whether this incarnation of the peer is new among those that hubs
            listed.
        """
        ended = (peer.name, peer.incarnation) in self._ended
        if peer.name == self._name or ended:
            return False
        known = self._hub_reports.get(peer.name)
        if known is not None:
            if known.incarnation != peer.incarnation:
                self._record_ended(peer.name, known.incarnation)
            elif peer.sequence < known.report.sequence:
                return False
        report = EdgeReport(
            sequence=peer.sequence,
            caller_address=peer.caller_address,
            control_address=peer.datagram_address,
            datagram_address=peer.datagram_address,
            zone=peer.zone,
            ready=peer.ready,
            config_version=0,
            registry_revision=StoreRevision(),
            cpu=peer.cpu,
        )
        state = PeerState(peer.incarnation, report, now)
        self._hub_reports[peer.name] = state
        if known is None or _affects_alive(known, peer.incarnation, report):
            self._invalidate_alive()
        return known is None or known.incarnation != peer.incarnation

    def remove_from_hub(self, name: str, incarnation: int) -> bool:
        """Removes the hubs' report of a peer that a hub listed as lost.

        A report that the peer sent itself is kept.

        Args:
            name (str): Name of the peer.
            incarnation (int): Incarnation that is lost.

        Returns:
            Whether a hub had listed this incarnation as live.
        """
        known = self._hub_reports.get(name)
        if known is None or known.incarnation != incarnation:
            return False
        del self._hub_reports[name]
        self._invalidate_alive()
        return True

    def incarnation(self, name: str) -> int | None:
        """Returns the incarnation of a peer, or None if it is unknown."""
        state = self._own_reports.get(name) or self._hub_reports.get(name)
        return state.incarnation if state else None

    def recent_report(self, name: str, now: float) -> PeerState | None:
        """Returns a peer whose own report is recent, or None."""
        state = self._own_reports.get(name)
        if state is None or now - state.received_at > PEER_TTL_S:
            return None
        return state

    def recent_reports(self, now: float) -> dict[str, PeerState]:
        """Returns the peers whose own reports are recent, by name.

        Peers that are known to be alive from a hub only are left out; alive()
        includes them.
        """
        return {
            name: state
            for name, state in self._own_reports.items()
            if now - state.received_at <= PEER_TTL_S
        }

    def alive(self, now: float) -> dict[str, PeerState]:
        """Returns the peers with a recent report of their own or from a hub.

        The result is cached for up to ALIVE_CACHE_S.
        """
        if not 0.0 <= now - self._alive_computed_at < ALIVE_CACHE_S:
            self._alive = self._compute_alive(now)
            self._alive_computed_at = now
        return self._alive

    def _compute_alive(self, now: float) -> dict[str, PeerState]:
        found = {
            name: state
            for name, state in self._hub_reports.items()
            if now - state.received_at <= HUB_REPORT_TTL_S
        }
        for name, state in self.recent_reports(now).items():
            hub_report = found.get(name)
            if hub_report is None or not _is_hub_report_newer(
                hub_report, state
            ):
                found[name] = state
        return found

    def expire(self, now: float) -> list[str]:
        """Removes peers without recent reports.

        Returns:
            The names of those whose own reports have stopped.
        """
        silent = _received_before(self._own_reports, now - PEER_TTL_S)
        for name in silent:
            del self._own_reports[name]
        dropped = _received_before(self._hub_reports, now - HUB_REPORT_TTL_S)
        for name in dropped:
            del self._hub_reports[name]
        if silent or dropped:
            self._invalidate_alive()
        return silent

    def ready_peers(self, now: float) -> dict[str, CallerAddress]:
        """Returns the addresses of the peers that are ready, by name."""
        return {
            name: CallerAddress(state.report.caller_address, state.report.zone)
            for name, state in self.alive(now).items()
            if state.report.ready
        }

    def most_up_to_date(
        self, now: float, *, zone: str = ""
    ) -> PeerState | None:
        """Returns the peer with the newest configuration and target registry.

        Args:
            now (float): Monotonic time.
            zone (str): Availability zone whose peers win ties.
        """
        found = self.recent_reports(now).values()
        return max(
            found,
            key=lambda s: (
                s.report.config_version,
                s.report.registry_revision,
                s.report.zone == zone,
            ),
            default=None,
        )

    def _invalidate_alive(self) -> None:
        self._alive_computed_at = float("-inf")

    def _record_ended(self, name: str, incarnation: int) -> None:
        self._ended[(name, incarnation)] = None
        while len(self._ended) > MAX_ENDED_INCARNATIONS:
            del self._ended[next(iter(self._ended))]


def _affects_alive(
    known: PeerState, incarnation: int, report: EdgeReport
) -> bool:
    """Returns whether a report makes the cached result of alive() invalid.

    All other fields may be up to ALIVE_CACHE_S old.
    """
    old = known.report
    return (
        known.incarnation != incarnation
        or old.ready != report.ready
        or old.caller_address != report.caller_address
        or old.datagram_address != report.datagram_address
    )


def _is_hub_report_newer(hub_report: PeerState, own_report: PeerState) -> bool:
    same_incarnation = hub_report.incarnation == own_report.incarnation
    return (
        same_incarnation
        and hub_report.report.sequence > own_report.report.sequence
    )


def _received_before(states: dict[str, PeerState], before: float) -> list[str]:
    return [
        name for name, state in states.items() if state.received_at < before
    ]
