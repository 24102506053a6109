"""This router among the others: membership, gossip and message delivery."""

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

from chervilwall_router.config_keeper import ConfigKeeper
from chervilwall_router.mesh import Mesh

LOG = logging.getLogger(__name__)
EAGER_PEERS = 3
CONFIG_PULL_INTERVAL_S = 0.3
LEAVE_NOTICES = 16


class Fleet:
    """Deliver messages between routers and keep the member list.

    Args:
        membership (Membership): The failure detector.
        mesh (Mesh): The sockets.
        keeper (ConfigKeeper): The configuration in force.
        quarantine (Quarantine): Suspects, spread by gossip.
        seeds (Iterable[str]): Peer addresses to join by.
        on_message (Callable): Takes messages that are not about membership or
            configuration, with the sender's name.
        on_members (Callable): Called with the members whose entry changed.
    """

    def __init__(
        self,
        membership: Membership,
        mesh: Mesh,
        keeper: ConfigKeeper,
        quarantine: Quarantine,
        *,
        seeds: Iterable[str],
        on_message: Callable[[str, cell_messages.Message], None],
        on_members: Callable[[list[MemberUpdate]], None],
    ) -> None:
        self.membership = membership
        self._mesh = mesh
        self._keeper = keeper
        self._quarantine = quarantine
        self._seeds = set(seeds) - {membership.me.peer_address}
        self._on_message = on_message
        self._on_members = on_members
        self._rng = random.Random()
        self._pulled_at = 0.0
        membership.config_version = lambda: keeper.version
        membership.suspicions = lambda: quarantine.recent(time.monotonic())

    def __repr__(self) -> str:
        return f"Fleet({self.membership!r})"

    @property
    def name(self) -> str:
        """This router's name."""
        return self.membership.me.name

    def add_seeds(self, addresses: Iterable[str]) -> None:
        """Takes more peer addresses to join by."""
        self._seeds |= set(addresses) - {self.membership.me.peer_address}

    def join(self) -> None:
        """Asks the seeds that are not yet known for the member list."""
        known = {m.peer_address for m in self.membership.members()}
        pull = cell_messages.MembersPull((self.membership.me,))
        for address in self._seeds - known:
            self._mesh.send(address, pull)

    def leave(self) -> None:
        """Marks this router as leaving and tells others at once."""
        self.membership.leave()
        push = cell_messages.MembersPush((self.membership.me,))
        for name in self._sample(LEAVE_NOTICES):
            self.send(name, push)

    def send(self, name: str, msg: cell_messages.Message) -> None:
        """Sends a message to a member; to this router directly."""
        if name == self.name:
            self._on_message(name, msg)
            return
        member = self.membership.get(name)
        if member is not None:
            self._mesh.send(member.peer_address, msg)

    def send_all(self, envelopes: Iterable[Envelope]) -> None:
        """Sends messages to their members."""
        for peer, msg in envelopes:
            self.send(peer, msg)

    def announce_config(self) -> None:
        """Tells a few peers that a newer configuration is in force."""
        for name in self._sample(EAGER_PEERS):
            self.send(name, cell_messages.Ping(0, self._keeper.version))

    def tick(self) -> None:
        """Advances the failure detector."""
        now = time.monotonic()
        changed, out = self.membership.tick(now)
        self._note(changed)
        self.send_all(out)

    def on_frame(self, frame: Frame) -> None:
        """Handles a frame from a peer."""
        now = time.monotonic()
        for msg in frame.messages:
            if isinstance(
                msg, cell_messages.MembersPull | cell_messages.MembersPush
            ):
                self._note(self.membership.merge(msg.updates, now))
            elif isinstance(msg, cell_messages.Ping | cell_messages.Ack):
                self._note(self.membership.merge(msg.updates, now))
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
            self._handle(frame.sender, msg, now)

    def prune(self) -> None:
        """Closes sockets to addresses that no member has."""
        known = {m.peer_address for m in self.membership.members()}
        self._mesh.keep_only([*known, *self._seeds])

    def _handle(
        self, peer: str, msg: cell_messages.Message, now: float
    ) -> None:
        if isinstance(msg, cell_messages.Ping):
            if msg.seq:
                self.send_all(self.membership.on_ping(peer, msg))
            self._compare_config(peer, msg.config_version, now)
        elif isinstance(msg, cell_messages.Ack):
            self.send_all(self.membership.on_ack(msg))
            if msg.subject == peer:
                self._compare_config(peer, msg.config_version, now)
        elif isinstance(msg, cell_messages.PingRequest):
            out = self.membership.on_ping_request(peer, msg, now)
            self.send_all(out)
        elif isinstance(msg, cell_messages.MembersPull):
            push = cell_messages.MembersPush(self.membership.members())
            self.send(peer, push)
        elif isinstance(msg, cell_messages.ConfigPull):
            self._give_config(peer, msg)
        elif isinstance(msg, cell_messages.ConfigPush):
            self._take_config(peer, msg)
        elif not isinstance(msg, cell_messages.MembersPush):
            self._on_message(peer, msg)

    def _compare_config(self, peer: str, version: int, now: float) -> None:
        due = now - self._pulled_at >= CONFIG_PULL_INTERVAL_S
        if version > self._keeper.version and due:
            self._pulled_at = now
            self.send(peer, cell_messages.ConfigPull(self._keeper.version))

    def _give_config(self, peer: str, msg: cell_messages.ConfigPull) -> None:
        if self._keeper.version > msg.version:
            self.send(peer, codec.pack_config(self._keeper.current))

    def _take_config(self, peer: str, msg: cell_messages.ConfigPush) -> None:
        if msg.version <= self._keeper.version:
            return
        try:
            self._keeper.offer(codec.unpack_config(msg), peer)
        except CodecError as exc:
            events.log_event(LOG, events.CONFIG_REFUSED, peer=peer, reason=exc)

    def _note(self, changed: list[MemberUpdate]) -> None:
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

    def _sample(self, count: int) -> list[str]:
        names = [
            m.name
            for m in self.membership.members()
            if m.state != STATE_DEAD and m.name != self.name
        ]
        return self._rng.sample(names, min(count, len(names)))
