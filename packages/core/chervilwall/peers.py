"""The other edge routers, as their reports show them."""

from typing import NamedTuple

from chervilwall.load_view import PEER_TTL_S
from chervilwall.message import EdgeReport

# Pause between reports; several may be lost before a peer counts as silent.
REPORT_INTERVAL_S = 0.25
# Ended incarnations whose late reports are told apart from new ones.
MAX_ENDED = 64


class PeerState(NamedTuple):
    """The newest report of a peer.

    Args:
        incarnation (int): The peer's incarnation.
        report (EdgeReport): What it said.
        heard_at (float): Monotonic time of its arrival.
    """

    incarnation: int
    report: EdgeReport
    heard_at: float


class PeerTable:
    """Hold the newest report of each peer.

    Args:
        name (str): This router's name.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._peers: dict[str, PeerState] = {}
        self._ended: dict[tuple[str, int], None] = {}

    def __repr__(self) -> str:
        return f"PeerTable(peers={len(self._peers)})"

    def receive(
        self, name: str, incarnation: int, report: EdgeReport, now: float
    ) -> bool:
        """Takes in a report; returns whether it is newer than the last one.

        Args:
            name (str): The sender.
            incarnation (int): Its incarnation.
            report (EdgeReport): What it says.
            now (float): Monotonic time.
        """
        if name == self._name or (name, incarnation) in self._ended:
            return False
        known = self._peers.get(name)
        if known is not None:
            if known.incarnation != incarnation:
                self._end(name, known.incarnation)
            elif report.sequence <= known.report.sequence:
                return False
        self._peers[name] = PeerState(incarnation, report, now)
        return True

    def alive(self, now: float) -> dict[str, PeerState]:
        """Returns the peers heard of late."""
        return {
            name: state
            for name, state in self._peers.items()
            if now - state.heard_at <= PEER_TTL_S
        }

    def expire(self, now: float) -> list[str]:
        """Forgets silent peers; returns their names."""
        silent = [
            name
            for name, state in self._peers.items()
            if now - state.heard_at > PEER_TTL_S
        ]
        for name in silent:
            del self._peers[name]
        return silent

    def open_to_callers(self, now: float) -> list[str]:
        """Returns the caller addresses of the peers that are ready."""
        return [
            state.report.callers
            for state in self.alive(now).values()
            if state.report.ready
        ]

    def newest(self, now: float) -> PeerState | None:
        """Returns the peer that has read most of the store."""
        found = self.alive(now).values()
        return max(
            found,
            key=lambda s: (s.report.config_version, s.report.registry_revision),
            default=None,
        )

    def _end(self, name: str, incarnation: int) -> None:
        self._ended[(name, incarnation)] = None
        while len(self._ended) > MAX_ENDED:
            del self._ended[next(iter(self._ended))]
