"""SWIM group membership as a state machine without I/O.

Implements SWIM (Das, Gupta, Motivala, 2002): direct probes, indirect probes
through other members, suspicion that the suspect can refute, and gossip
piggybacked on the probe messages. The caller passes in received messages and
the time, and sends the messages that are returned.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from chervilwall import cell_messages
from chervilwall.cell_messages import Envelope, MemberUpdate
from chervilwall.pacing import PROBE_ROUNDS_PER_S, scaled_period_s

STATE_ALIVE = "alive"
STATE_SUSPECT = "suspect"
STATE_LEAVING = "leaving"
STATE_DEAD = "dead"
_STATE_PRECEDENCE = {
    STATE_ALIVE: 0,
    STATE_SUSPECT: 1,
    STATE_LEAVING: 2,
    STATE_DEAD: 3,
}

# Each update is sent this many times the bit length of the number of members.
# The number of messages thus grows with the logarithm of the fleet's size, as
# in SWIM.
GOSSIP_SENDS_FACTOR = 4
MAX_PIGGYBACKED_UPDATES = 12


class MembershipSettings(NamedTuple):
    """Timing of failure detection.

    Args:
        probe_interval_s (float): Seconds between the probes that this router
            sends; longer in a large fleet.
        probe_timeout_s (float): Seconds without an ack after which indirect
            probes are sent. The probe fails if it has no ack, direct or
            indirect, after `3 * probe_timeout_s`.
        suspicion_s (float): Seconds that a suspect has to refute the
            suspicion before it is declared dead.
        indirect_probes (int): Number of members asked to probe a subject
            that did not answer directly.
        forget_s (float): Seconds after which a dead member is removed.
        reseed_interval_s (float): Seconds between attempts to contact a dead
            member, so that the two sides of a network partition merge after
            it has healed.
    """

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.3
    suspicion_s: float = 2.0
    indirect_probes: int = 3
    forget_s: float = 300.0
    reseed_interval_s: float = 2.0


class _Probe(NamedTuple):
    """A probe sent by this router that has not been acknowledged."""

    subject: str
    sent_at: float
    indirect_sent: bool


class _Relay(NamedTuple):
    """A probe sent on behalf of another member."""

    requester: str
    requester_seq: int
    subject: str
    received_at: float


class Membership:
    """Track the state of every router in the fleet.

    The owner may replace the attributes config_version and suspicions by
    functions that return the values to send with each ping and ack. These
    suspicions are of requests that may have crashed targets, not of members.

    Args:
        me (MemberUpdate): Entry of this router.
        settings (MembershipSettings): Timing of failure detection. Defaults
            to MembershipSettings().
        rng (random.Random): Random source for the probe order and for the
            choice of helpers. Defaults to an unseeded one.
    """

    def __init__(
        self,
        me: MemberUpdate,
        *,
        settings: MembershipSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._me = me
        self._settings = settings or MembershipSettings()
        self._rng = rng or random.Random()
        self._members: dict[str, MemberUpdate] = {me.name: me}
        self._changed_at: dict[str, float] = {}
        self._gossip_sends: dict[str, int] = {me.name: 0}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._probe_order: list[str] = []
        self._seq = 0
        self._next_probe_at = 0.0
        self._next_reseed_at = 0.0
        self.config_version: Callable[[], int] = lambda: 0
        self.suspicions: Callable[[], tuple[cell_messages.Suspicion, ...]] = (
            tuple
        )

    def __repr__(self) -> str:
        return f"Membership({self._me.name!r}, members={len(self._members)})"

    @property
    def me(self) -> MemberUpdate:
        """The current entry of this router."""
        return self._me

    def members(self) -> tuple[MemberUpdate, ...]:
        """Returns the entries of all known members, including dead ones."""
        return tuple(self._members.values())

    def get(self, name: str) -> MemberUpdate | None:
        """Returns the entry of a member, or None if it is unknown."""
        return self._members.get(name)

    def reachable(self) -> list[str]:
        """Returns the names of all members that are not dead, sorted.

        This router is included.
        """
        return sorted(
            m.name for m in self._members.values() if m.state != STATE_DEAD
        )

    def schedulers(self) -> list[str]:
        """Returns the names of the members that may schedule cells, sorted.

        A cell is a group of targets of one service that one router schedules.
        A suspect keeps its cells until it is declared dead, while a leaving
        member gives them up immediately. A member without a configuration
        knows no cells and is returned only if none has one. If no member is
        eligible, only this router is returned.
        """
        found = [
            m
            for m in self._members.values()
            if m.state in (STATE_ALIVE, STATE_SUSPECT)
        ]
        found = [m for m in found if m.is_ready] or found
        return sorted(m.name for m in found) or [self._me.name]

    def ready_members(self) -> list[MemberUpdate]:
        """Returns the members that accept new callers.

        A member that has no configuration yet would refuse their requests.
        """
        return [
            m
            for m in self._members.values()
            if m.state == STATE_ALIVE and m.is_ready
        ]

    def mark_ready(self) -> bool:
        """Marks this router as ready for callers.

        Returns:
            Whether it was not ready before.
        """
        if self._me.is_ready:
            return False
        self._update_self(self._me._replace(refutation=0))
        return True

    def leave(self) -> None:
        """Marks this router as leaving."""
        self._update_self(self._me._replace(state=STATE_LEAVING))

    def merge(
        self, updates: Iterable[MemberUpdate], now: float
    ) -> list[MemberUpdate]:
        """Applies gossiped updates and returns those that changed an entry.

        If an update reports this router in a worse state than its own, such as
        dead, the router refutes it in its next messages.

        Args:
            updates (Iterable): Updates received from a peer.
            now (float): Monotonic time.
        """
        changed = []
        for update in updates:
            if update.name == self._me.name:
                self._refute(update)
            elif self._overrides(update):
                self._store(update, now)
                changed.append(update)
        return changed

    def tick(self, now: float) -> tuple[list[MemberUpdate], list[Envelope]]:
        """Performs the periodic work that is due.

        Sends probes, contacts a dead member, ends probes without an ack,
        declares overdue suspects dead and removes old dead members.

        Args:
            now (float): Monotonic time.

        Returns:
            The members whose state changed, and the messages to send.
        """
        changed = self._expire_probes(now)
        out = self._make_indirect_probes(now)
        changed += self._expire_members(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + scaled_period_s(
                self._settings.probe_interval_s,
                len(self._members),
                PROBE_ROUNDS_PER_S,
            )
            out += self._probe_next(now)
        if now >= self._next_reseed_at:
            self._next_reseed_at = now + self._settings.reseed_interval_s
            out += self._contact_dead_member()
        return changed, out

    def on_ping(self, peer: str, msg: cell_messages.Ping) -> list[Envelope]:
        """Returns the ack that answers a probe."""
        ack = cell_messages.Ack(
            msg.seq,
            self._me.name,
            self.config_version(),
            self._piggyback(),
            self.suspicions(),
        )
        return [Envelope(peer, ack)]

    def on_ack(self, msg: cell_messages.Ack) -> list[Envelope]:
        """Completes a probe, or forwards the ack to the member it is for."""
        self._probes.pop(msg.seq, None)
        relay = self._relays.pop(msg.seq, None)
        if relay is None:
            return []
        ack = cell_messages.Ack(
            relay.requester_seq, relay.subject, msg.config_version
        )
        return [Envelope(relay.requester, ack)]

    def on_ping_request(
        self, peer: str, msg: cell_messages.PingRequest, now: float
    ) -> list[Envelope]:
        """Probes a subject on behalf of a peer.

        Args:
            peer (str): Name of the member that asked for the probe.
            msg (cell_messages.PingRequest): The request.
            now (float): Monotonic time.
        """
        if msg.subject not in self._members:
            return []
        self._seq += 1
        self._relays[self._seq] = _Relay(peer, msg.seq, msg.subject, now)
        return [Envelope(msg.subject, self._ping(self._seq))]

    def _probe_next(self, now: float) -> list[Envelope]:
        """Probes the next member; each round visits all in random order."""
        names = {n for n in self.reachable() if n != self._me.name}
        self._probe_order = [n for n in self._probe_order if n in names]
        if not self._probe_order:
            self._probe_order = sorted(names)
            self._rng.shuffle(self._probe_order)
        if not self._probe_order:
            return []
        subject = self._probe_order.pop()
        self._seq += 1
        self._probes[self._seq] = _Probe(subject, now, False)
        return [Envelope(subject, self._ping(self._seq))]

    def _make_indirect_probes(self, now: float) -> list[Envelope]:
        """Asks other members to probe each subject that did not answer."""
        out = []
        for seq, probe in list(self._probes.items()):
            if (
                probe.indirect_sent
                or now - probe.sent_at < self._settings.probe_timeout_s
            ):
                continue
            self._probes[seq] = probe._replace(indirect_sent=True)
            others = [
                n
                for n in self.reachable()
                if n not in (self._me.name, probe.subject)
            ]
            count = min(self._settings.indirect_probes, len(others))
            for helper in self._rng.sample(others, count):
                request = cell_messages.PingRequest(seq, probe.subject)
                out.append(Envelope(helper, request))
        return out

    def _expire_probes(self, now: float) -> list[MemberUpdate]:
        """Ends probes without an ack and returns the changed members.

        The subject becomes a suspect, or dead if it was leaving.
        """
        changed = []
        limit = now - 3 * self._settings.probe_timeout_s
        for seq, probe in list(self._probes.items()):
            if probe.sent_at > limit:
                continue
            del self._probes[seq]
            member = self._members.get(probe.subject)
            if member is not None and member.state == STATE_ALIVE:
                suspect = member._replace(state=STATE_SUSPECT)
                self._store(suspect, now)
                changed.append(suspect)
            elif member is not None and member.state == STATE_LEAVING:
                dead = member._replace(state=STATE_DEAD)
                self._store(dead, now)
                changed.append(dead)
        for seq, relay in list(self._relays.items()):
            if relay.received_at <= limit:
                del self._relays[seq]
        return changed

    def _expire_members(self, now: float) -> list[MemberUpdate]:
        """Declares overdue suspects dead and removes old dead members."""
        changed = []
        for member in list(self._members.values()):
            age_s = now - self._changed_at.get(member.name, now)
            if (
                member.state == STATE_SUSPECT
                and age_s >= self._settings.suspicion_s
            ):
                dead = member._replace(state=STATE_DEAD)
                self._store(dead, now)
                changed.append(dead)
            elif (
                member.state == STATE_DEAD and age_s >= self._settings.forget_s
            ):
                del self._members[member.name]
                self._changed_at.pop(member.name, None)
                self._gossip_sends.pop(member.name, None)
        return changed

    def _contact_dead_member(self) -> list[Envelope]:
        """Requests the member list of a random dead member."""
        dead = [m.name for m in self._members.values() if m.state == STATE_DEAD]
        if not dead:
            return []
        pull = cell_messages.MembersPull(self.members())
        return [Envelope(self._rng.choice(dead), pull)]

    def _overrides(self, update: MemberUpdate) -> bool:
        """Returns whether an update is newer than the known entry."""
        old = self._members.get(update.name)
        if old is None:
            return update.state != STATE_DEAD
        if update.incarnation != old.incarnation:
            return update.incarnation > old.incarnation
        if update.refutation != old.refutation:
            return update.refutation > old.refutation
        return _STATE_PRECEDENCE[update.state] > _STATE_PRECEDENCE[old.state]

    def _refute(self, update: MemberUpdate) -> None:
        """Raises the refutation number if an update reports a worse state."""
        if update.incarnation != self._me.incarnation:
            return
        if update.refutation < self._me.refutation:
            return
        if _STATE_PRECEDENCE[update.state] > _STATE_PRECEDENCE[self._me.state]:
            self._update_self(
                self._me._replace(refutation=update.refutation + 1)
            )

    def _update_self(self, me: MemberUpdate) -> None:
        self._me = me
        self._members[me.name] = me
        self._gossip_sends[me.name] = 0

    def _store(self, update: MemberUpdate, now: float) -> None:
        self._members[update.name] = update
        self._changed_at[update.name] = now
        self._gossip_sends[update.name] = 0

    def _ping(self, seq: int) -> cell_messages.Ping:
        return cell_messages.Ping(
            seq, self.config_version(), self._piggyback(), self.suspicions()
        )

    def _piggyback(self) -> tuple[MemberUpdate, ...]:
        """Returns the updates for the next message, least often sent first."""
        limit = GOSSIP_SENDS_FACTOR * max(1, len(self._members).bit_length())
        names = sorted(self._gossip_sends, key=lambda n: self._gossip_sends[n])
        chosen = []
        for name in names[:MAX_PIGGYBACKED_UPDATES]:
            chosen.append(self._members[name])
            self._gossip_sends[name] += 1
            if self._gossip_sends[name] >= limit:
                del self._gossip_sends[name]
        return tuple(chosen)
