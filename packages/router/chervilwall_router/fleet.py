"""Delivery of messages between routers, and the member list."""

import logging
import random
import time
from collections.abc import Callable, Iterable

from chervilwall import cell_messages, codec, events
from chervilwall.cell_messages import Envelope, MemberUpdate
from chervilwall.codec import Frame
from chervilwall.edge_messages import EdgeMessage
from chervilwall.errors import CodecError
from chervilwall.membership import STATE_DEAD, Membership
from chervilwall.quarantine import Quarantine

from chervilwall_router.config_watcher import ConfigWatcher
from chervilwall_router.mesh import Mesh

LOG = logging.getLogger(__name__)
# Number of peers notified immediately of a new configuration. The others learn
# of it by gossip.
MAX_CONFIG_NOTICES = 3
MIN_CONFIG_PULL_INTERVAL_S = 0.3
# Number of peers notified immediately that this router is ready for callers or
# leaving. The others learn of it by gossip.
MAX_STATE_NOTICES = 16


class Fleet:
    """Deliver messages between routers and maintain the member list.

    Args:
        membership (Membership): Member list and failure detector.
        mesh (Mesh): Sockets to other routers.
        config_watcher (ConfigWatcher): Current configuration.
        quarantine (Quarantine): Requests suspected of crashing targets, spread
            by gossip.
        seeds (Iterable[str]): Addresses of routers to request the member list
            from.
        on_message (Callable): Called with the sender's name and each message
            that does not concern membership or configuration.
        on_members (Callable): Called with the members whose entry changed.
    """

    def __init__(
        self,
        membership: Membership,
        mesh: Mesh,
        config_watcher: ConfigWatcher,
        quarantine: Quarantine,
        *,
        seeds: Iterable[str],
        on_message: Callable[[str, cell_messages.Message], None],
        on_members: Callable[[list[MemberUpdate]], None],
    ) -> None:
        self.membership = membership
        self._mesh = mesh
        self._config_watcher = config_watcher
        self._quarantine = quarantine
        self._seeds = set(seeds) - {membership.me.peer_address}
        self._on_message = on_message
        self._on_members = on_members
        self._rng = random.Random()
        self._config_pulled_at = 0.0
        membership.config_version = lambda: config_watcher.version
        membership.suspicions = lambda: quarantine.recent(time.monotonic())

    def __repr__(self) -> str:
        return f"Fleet({self.membership!r})"

    @property
    def name(self) -> str:
        """The name of this router."""
        return self.membership.me.name

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Adds addresses of routers to request the member list from."""
        self._seeds |= set(addresses) - {self.membership.me.peer_address}

    def join(self) -> None:
        """Requests the member list from seeds that are not members yet."""
        known = {m.peer_address for m in self.membership.members()}
        pull = cell_messages.MembersPull((self.membership.me,))
        for address in self._seeds - known:
            self._mesh.send(address, pull)

    def mark_ready(self) -> None:
        """Marks this router as ready for callers and notifies some peers.

        The others learn of it by gossip. Further calls have no effect.
        """
        if self.membership.mark_ready():
            self._notify_peers()

    def leave(self) -> None:
        """Marks this router as leaving and notifies some peers immediately.

        The others learn of it by gossip.
        """
        self.membership.leave()
        self._notify_peers()

    def send(self, name: str, msg: cell_messages.Message) -> None:
        """Sends a message to a member.

        A message to this router is handled directly, without a socket. A
        message to a name that is not a member is dropped.
        """
        if name == self.name:
            self._on_message(name, msg)
            return
        member = self.membership.get(name)
        if member is not None:
            self._mesh.send(member.peer_address, msg)

    def send_all(self, envelopes: Iterable[Envelope]) -> None:
        """Sends each message to the member that its envelope names."""
        for peer, msg in envelopes:
            self.send(peer, msg)

    def announce_config(self) -> None:
        """Notifies a few peers of the version of the current configuration.

        They receive a `Ping` with number 0, which is not answered. Peers with
        an older version then request the configuration.
        """
        for name in self._sample_peers(MAX_CONFIG_NOTICES):
            self.send(name, cell_messages.Ping(0, self._config_watcher.version))

    def tick(self) -> None:
        """Advances the failure detector and sends the probes that are due."""
        now = time.monotonic()
        changed, out = self.membership.tick(now)
        self._report_changes(changed)
        self.send_all(out)

    def on_frame(self, frame: Frame) -> None:
        """Handles a frame from a peer.

        Membership and quarantine updates are merged from any sender. Beyond
        that, messages are handled only if the sender is a member and the frame
        has its current incarnation. Messages of edge routers are refused.
        """
        now = time.monotonic()
        for msg in frame.messages:
            if isinstance(
                msg, cell_messages.MembersPull | cell_messages.MembersPush
            ):
                self._report_changes(self.membership.merge(msg.updates, now))
            elif isinstance(msg, cell_messages.Ping | cell_messages.Ack):
                self._report_changes(self.membership.merge(msg.updates, now))
                self._quarantine.merge(msg.suspicions, now)
        known = self.membership.get(frame.sender)
        if known is None or known.incarnation != frame.incarnation:
            return
        for msg in frame.messages:
            if isinstance(msg, EdgeMessage):
                reason = f"{type(msg).__name__} of an edge router"
                events.log_event(
                    LOG, events.FRAME_REFUSED, peer=frame.sender, reason=reason
                )
                continue
            self._handle_message(frame.sender, msg, now)

    def prune(self) -> None:
        """Closes the sockets to addresses that no member or seed has."""
        known = {m.peer_address for m in self.membership.members()}
        self._mesh.close_other_sockets([*known, *self._seeds])

    def _handle_message(
        self, peer: str, msg: cell_messages.Message, now: float
    ) -> None:
        if isinstance(msg, cell_messages.Ping):
            if msg.seq:
                self.send_all(self.membership.on_ping(peer, msg))
            self._pull_config_if_newer(peer, msg.config_version, now)
        elif isinstance(msg, cell_messages.Ack):
            self.send_all(self.membership.on_ack(msg))
            if msg.subject == peer:
                self._pull_config_if_newer(peer, msg.config_version, now)
        elif isinstance(msg, cell_messages.PingRequest):
            out = self.membership.on_ping_request(peer, msg, now)
            self.send_all(out)
        elif isinstance(msg, cell_messages.MembersPull):
            push = cell_messages.MembersPush(self.membership.members())
            self.send(peer, push)
        elif isinstance(msg, cell_messages.ConfigPull):
            self._send_config_if_newer(peer, msg)
        elif isinstance(msg, cell_messages.ConfigPush):
            self._apply_config(peer, msg)
        elif not isinstance(msg, cell_messages.MembersPush):
            self._on_message(peer, msg)

    def _pull_config_if_newer(
        self, peer: str, version: int, now: float
    ) -> None:
        may_pull = now - self._config_pulled_at >= MIN_CONFIG_PULL_INTERVAL_S
        if version > self._config_watcher.version and may_pull:
            self._config_pulled_at = now
            self.send(
                peer, cell_messages.ConfigPull(self._config_watcher.version)
            )

    def _send_config_if_newer(
        self, peer: str, msg: cell_messages.ConfigPull
    ) -> None:
        if self._config_watcher.version > msg.version:
            self.send(peer, codec.pack_config(self._config_watcher.current))

    def _apply_config(self, peer: str, msg: cell_messages.ConfigPush) -> None:
        if msg.version <= self._config_watcher.version:
            return
        try:
            self._config_watcher.apply_if_newer(codec.unpack_config(msg), peer)
        except CodecError as exc:
            events.log_event(LOG, events.CONFIG_REFUSED, peer=peer, reason=exc)

    def _report_changes(self, changed: list[MemberUpdate]) -> None:
        for member in changed:
            events.log_event(
                LOG,
                events.MEMBER_CHANGED,
                peer=member.name,
                state=member.state,
                incarnation=member.incarnation,
            )
        if changed:
            self._on_members(changed)

    def _notify_peers(self) -> None:
        push = cell_messages.MembersPush((self.membership.me,))
        for name in self._sample_peers(MAX_STATE_NOTICES):
            self.send(name, push)

    def _sample_peers(self, count: int) -> list[str]:
        names = [
            m.name
            for m in self.membership.members()
            if m.state != STATE_DEAD and m.name != self.name
        ]
        return self._rng.sample(names, min(count, len(names)))
