"""Digests in which a hub lists the routers whose reports it receives.

Elsewhere in the package, a digest is a hash.
"""

from collections.abc import Mapping
from typing import NamedTuple

from chervilwall.edge_messages import LivePeer, PeerDigest
from chervilwall.peers import FULL_DIGEST_INTERVAL_S, PeerState

# Time for which a change is repeated in each digest, as datagrams may be lost.
CHANGE_REPEAT_S = 1.0
# Keeps a message within one datagram.
MAX_PEERS_PER_DIGEST = 100


class _TrackedPeer(NamedTuple):
    """A router that reports to this hub, and the time of its last change."""

    peer: LivePeer
    changed_at: float


class Digests(NamedTuple):
    """The digests that a hub sends at one time.

    Args:
        changed (list): Messages with the recent changes only.
        full (list): Messages for the routers that receive full digests from
            this hub. They list all routers if a full digest is due, otherwise
            the recent changes only.
    """

    changed: list[PeerDigest]
    full: list[PeerDigest]


class DigestBuilder:
    """Build digests of recent changes and, at intervals, of all routers.

    A hub calls `build` periodically. If FULL_DIGEST_INTERVAL_S seconds have
    passed since the last full digest, the call returns another.
    """

    def __init__(self) -> None:
        self._tracked: dict[str, _TrackedPeer] = {}
        self._lost: dict[tuple[str, int], float] = {}
        self._full_sent_at = float("-inf")

    def __repr__(self) -> str:
        return f"DigestBuilder(known={len(self._tracked)})"

    def build(
        self, reporting: Mapping[str, PeerState], now: float
    ) -> "Digests":
        """Returns the digests to send.

        Args:
            reporting (Mapping): Peers whose own reports are received here, by
                name.
            now (float): Monotonic time.
        """
        self._record_lost(reporting, now)
        for name, state in reporting.items():
            self._record_live(name, state, now)
        changed = self._build_messages(
            [
                tracked.peer
                for tracked in self._tracked.values()
                if now - tracked.changed_at <= CHANGE_REPEAT_S
            ]
        )
        if now - self._full_sent_at < FULL_DIGEST_INTERVAL_S:
            return Digests(changed, changed)
        self._full_sent_at = now
        full = self._build_messages(
            [tracked.peer for tracked in self._tracked.values()]
        )
        return Digests(changed, full)

    def _build_messages(self, live: list[LivePeer]) -> list[PeerDigest]:
        """Splits a digest into messages that each fit into a datagram."""
        lost = tuple(self._lost)
        if not live and not lost:
            return []
        offsets = range(0, max(1, len(live)), MAX_PEERS_PER_DIGEST)
        return [
            PeerDigest(
                tuple(live[offset : offset + MAX_PEERS_PER_DIGEST]), lost
            )
            for offset in offsets
        ]

    def _record_live(self, name: str, state: PeerState, now: float) -> None:
        report = state.report
        peer = LivePeer(
            name,
            state.incarnation,
            report.sequence,
            report.caller_address,
            report.datagram_address,
            report.zone,
            report.ready,
            report.cpu,
        )
        tracked = self._tracked.get(name)
        changed = tracked is None or _differs(tracked.peer, peer)
        self._tracked[name] = _TrackedPeer(
            peer, now if tracked is None or changed else tracked.changed_at
        )

    def _record_lost(
        self, reporting: Mapping[str, PeerState], now: float
    ) -> None:
        for name in [n for n in self._tracked if n not in reporting]:
            peer = self._tracked.pop(name).peer
            self._lost[name, peer.incarnation] = now
        for key, lost_at in list(self._lost.items()):
            state = reporting.get(key[0])
            recovered = state is not None and state.incarnation == key[1]
            if recovered or now - lost_at > CHANGE_REPEAT_S:
                del self._lost[key]


def _differs(old: LivePeer, new: LivePeer) -> bool:
    return old._replace(sequence=0) != new._replace(sequence=0)
