"""Membership by probing and gossip, as a state machine without I/O.

The method is that of SWIM (Das, Gupta, Motivala, 2002): direct probe, indirect
probes, suspicion with refutation, and gossip on the probes themselves.
"""

import random
from collections.abc import Callable, Iterable
from typing import NamedTuple

from chervilwall import message
from chervilwall.message import Envelope, MemberUpdate
from chervilwall.pacing import PROBE_ROUNDS_PER_S, paced_s

STATE_ALIVE = "alive"
STATE_SUSPECT = "suspect"
STATE_LEAVING = "leaving"
STATE_DEAD = "dead"
_RANK = {STATE_ALIVE: 0, STATE_SUSPECT: 1, STATE_LEAVING: 2, STATE_DEAD: 3}

GOSSIP_FACTOR = 4
MAX_PIGGYBACK = 12


class MembershipSettings(NamedTuple):
    """Timing of failure detection.

    Args:
        probe_interval_s (float): Seconds between probes of one router.
        probe_timeout_s (float): Seconds to wait for a direct answer.
        suspicion_s (float): Seconds in which a suspect may refute.
        indirect_probes (int): Members asked to probe on our behalf.
        forget_s (float): Seconds for which a dead member is remembered.
        reseed_interval_s (float): Seconds between contacts with a member that
            is believed dead, so that healed partitions merge.
    """

    probe_interval_s: float = 0.5
    probe_timeout_s: float = 0.3
    suspicion_s: float = 2.0
    indirect_probes: int = 3
    forget_s: float = 300.0
    reseed_interval_s: float = 2.0


class _Probe(NamedTuple):
    subject: str
    sent_at: float
    indirect: bool


class _Relay(NamedTuple):
    asker: str
    asker_seq: int
    subject: str
    at: float


class Membership:
    """Track which routers can be reached.

    Args:
        me (MemberUpdate): This router.
        settings (MembershipSettings): Timing. Defaults to the usual one.
        rng (random.Random): Source of the probing order.
    """

    def __init__(
        self,
        me: MemberUpdate,
        *,
        settings: MembershipSettings | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self._me = me
        self._cfg = settings or MembershipSettings()
        self._rng = rng or random.Random()
        self._members: dict[str, MemberUpdate] = {me.name: me}
        self._changed_at: dict[str, float] = {}
        self._gossip: dict[str, int] = {me.name: 0}
        self._probes: dict[int, _Probe] = {}
        self._relays: dict[int, _Relay] = {}
        self._order: list[str] = []
        self._seq = 0
        self._next_probe_at = 0.0
        self._next_reseed_at = 0.0
        self.config_version: Callable[[], int] = lambda: 0
        self.suspicions: Callable[[], tuple[message.Suspicion, ...]] = tuple

    def __repr__(self) -> str:
        return f"Membership({self._me.name!r}, members={len(self._members)})"

    @property
    def me(self) -> MemberUpdate:
        """This router, as it describes itself."""
        return self._me

    def members(self) -> tuple[MemberUpdate, ...]:
        """Returns all that is known, dead members included."""
        return tuple(self._members.values())

    def get(self, name: str) -> MemberUpdate | None:
        """Returns what is known of a member."""
        return self._members.get(name)

    def reachable(self) -> list[str]:
        """Returns the members believed to run, this one included."""
        return sorted(
            m.name for m in self._members.values() if m.state != STATE_DEAD
        )

    def schedulers(self) -> list[str]:
        """Returns the members that may schedule a cell.

        A suspect keeps its cells until it is declared dead, and a leaving
        member gives them up at once.
        """
        found = sorted(
            m.name
            for m in self._members.values()
            if m.state in (STATE_ALIVE, STATE_SUSPECT)
        )
        return found or [self._me.name]

    def open_to_callers(self) -> list[MemberUpdate]:
        """Returns the members that new callers should use."""
        return [m for m in self._members.values() if m.state == STATE_ALIVE]

    def leave(self) -> None:
        """Marks this router as leaving."""
        self._set_me(self._me._replace(state=STATE_LEAVING))

    def merge(
        self, updates: Iterable[MemberUpdate], now: float
    ) -> list[MemberUpdate]:
        """Takes in gossip; returns the members whose entry changed."""
        changed = []
        for update in updates:
            if update.name == self._me.name:
                self._refute(update)
            elif self._overrides(update):
                self._put(update, now)
                changed.append(update)
        return changed

    def tick(self, now: float) -> tuple[list[MemberUpdate], list[Envelope]]:
        """Advances all timers; returns changes and messages to send."""
        changed = self._check_probes(now)
        out = self._indirect_probes(now)
        changed += self._expire(now)
        if now >= self._next_probe_at:
            self._next_probe_at = now + paced_s(
                self._cfg.probe_interval_s,
                len(self._members),
                PROBE_ROUNDS_PER_S,
            )
            out += self._probe_next(now)
        if now >= self._next_reseed_at:
            self._next_reseed_at = now + self._cfg.reseed_interval_s
            out += self._contact_dead()
        return changed, out

    def on_ping(self, peer: str, msg: message.Ping) -> list[Envelope]:
        """Answers a probe."""
        ack = message.Ack(
            msg.seq,
            self._me.name,
            self.config_version(),
            self._piggyback(),
            self.suspicions(),
        )
        return [Envelope(peer, ack)]

    def on_ack(self, msg: message.Ack) -> list[Envelope]:
        """Ends a probe, or passes the answer to the member that asked."""
        self._probes.pop(msg.seq, None)
        relay = self._relays.pop(msg.seq, None)
        if relay is None:
            return []
        ack = message.Ack(relay.asker_seq, relay.subject, msg.config_version)
        return [Envelope(relay.asker, ack)]

    def on_ping_request(
        self, peer: str, msg: message.PingRequest, now: float
    ) -> list[Envelope]:
        """Probes a subject on behalf of a peer."""
        if msg.subject not in self._members:
            return []
        self._seq += 1
        self._relays[self._seq] = _Relay(peer, msg.seq, msg.subject, now)
        return [Envelope(msg.subject, self._ping(self._seq))]

    def _probe_next(self, now: float) -> list[Envelope]:
        names = {n for n in self.reachable() if n != self._me.name}
        self._order = [n for n in self._order if n in names]
        if not self._order:
            self._order = sorted(names)
            self._rng.shuffle(self._order)
        if not self._order:
            return []
        subject = self._order.pop()
        self._seq += 1
        self._probes[self._seq] = _Probe(subject, now, False)
        return [Envelope(subject, self._ping(self._seq))]

    def _indirect_probes(self, now: float) -> list[Envelope]:
        out = []
        for seq, probe in list(self._probes.items()):
            if (
                probe.indirect
                or now - probe.sent_at < self._cfg.probe_timeout_s
            ):
                continue
            self._probes[seq] = probe._replace(indirect=True)
            others = [
                n
                for n in self.reachable()
                if n not in (self._me.name, probe.subject)
            ]
            count = min(self._cfg.indirect_probes, len(others))
            for helper in self._rng.sample(others, count):
                ask = message.PingRequest(seq, probe.subject)
                out.append(Envelope(helper, ask))
        return out

    def _check_probes(self, now: float) -> list[MemberUpdate]:
        changed = []
        limit = now - 3 * self._cfg.probe_timeout_s
        for seq, probe in list(self._probes.items()):
            if probe.sent_at > limit:
                continue
            del self._probes[seq]
            member = self._members.get(probe.subject)
            if member is not None and member.state == STATE_ALIVE:
                suspect = member._replace(state=STATE_SUSPECT)
                self._put(suspect, now)
                changed.append(suspect)
            elif member is not None and member.state == STATE_LEAVING:
                gone = member._replace(state=STATE_DEAD)
                self._put(gone, now)
                changed.append(gone)
        for seq, relay in list(self._relays.items()):
            if relay.at <= limit:
                del self._relays[seq]
        return changed

    def _expire(self, now: float) -> list[MemberUpdate]:
        changed = []
        for member in list(self._members.values()):
            age_s = now - self._changed_at.get(member.name, now)
            if member.state == STATE_SUSPECT and age_s >= self._cfg.suspicion_s:
                dead = member._replace(state=STATE_DEAD)
                self._put(dead, now)
                changed.append(dead)
            elif member.state == STATE_DEAD and age_s >= self._cfg.forget_s:
                del self._members[member.name]
                self._changed_at.pop(member.name, None)
                self._gossip.pop(member.name, None)
        return changed

    def _contact_dead(self) -> list[Envelope]:
        dead = [m.name for m in self._members.values() if m.state == STATE_DEAD]
        if not dead:
            return []
        pull = message.MembersPull(self.members())
        return [Envelope(self._rng.choice(dead), pull)]

    def _overrides(self, update: MemberUpdate) -> bool:
        old = self._members.get(update.name)
        if old is None:
            return update.state != STATE_DEAD
        if update.incarnation != old.incarnation:
            return update.incarnation > old.incarnation
        if update.refutation != old.refutation:
            return update.refutation > old.refutation
        return _RANK[update.state] > _RANK[old.state]

    def _refute(self, update: MemberUpdate) -> None:
        if update.incarnation != self._me.incarnation:
            return
        if update.refutation < self._me.refutation:
            return
        if _RANK[update.state] > _RANK[self._me.state]:
            self._set_me(self._me._replace(refutation=update.refutation + 1))

    def _set_me(self, me: MemberUpdate) -> None:
        self._me = me
        self._members[me.name] = me
        self._gossip[me.name] = 0

    def _put(self, update: MemberUpdate, now: float) -> None:
        self._members[update.name] = update
        self._changed_at[update.name] = now
        self._gossip[update.name] = 0

    def _ping(self, seq: int) -> message.Ping:
        return message.Ping(
            seq, self.config_version(), self._piggyback(), self.suspicions()
        )

    def _piggyback(self) -> tuple[MemberUpdate, ...]:
        limit = GOSSIP_FACTOR * max(1, len(self._members).bit_length())
        names = sorted(self._gossip, key=lambda n: self._gossip[n])
        chosen = []
        for name in names[:MAX_PIGGYBACK]:
            chosen.append(self._members[name])
            self._gossip[name] += 1
            if self._gossip[name] >= limit:
                del self._gossip[name]
        return tuple(chosen)
