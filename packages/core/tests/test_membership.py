"""Tests of membership over a simulated network with a simulated clock."""

import random
import unittest

from chervilwall import cell_messages
from chervilwall.cell_messages import (
    UNREADY_REFUTATION,
    Envelope,
    MemberUpdate,
)
from chervilwall.membership import (
    STATE_ALIVE,
    STATE_DEAD,
    STATE_LEAVING,
    Membership,
    MembershipSettings,
)

TICK_S = 0.05
SETTINGS = MembershipSettings()


class Network:
    """Deliver messages between members, except over links that are cut."""

    def __init__(self, count, seed=1):
        self.now = 0.0
        self.cut = set()
        self.down = set()
        self.inbox = []
        self.members = {}
        for i in range(count):
            self.add(f"r{i}", 1, seed + i)

    def add(self, name, incarnation, seed, refutation=0):
        me = MemberUpdate(
            name, incarnation, refutation, STATE_ALIVE, "", "", "az1"
        )
        made = Membership(me, rng=random.Random(seed))
        made.merge([m.me for m in self.members.values()], self.now)
        self.members[name] = made
        for other in self.members.values():
            other.merge([me], self.now)

    def run(self, seconds):
        until = self.now + seconds
        while self.now < until:
            self.now += TICK_S
            inbox, self.inbox = self.inbox, []
            for source, envelope in inbox:
                self.deliver(source, envelope)
            for name, member in self.members.items():
                if name not in self.down:
                    _, out = member.tick(self.now)
                    self.send(name, out)

    def send(self, source, envelopes):
        self.inbox += [(source, envelope) for envelope in envelopes]

    def deliver(self, source, envelope):
        peer, msg = envelope
        if peer in self.down or (source, peer) in self.cut:
            return
        member = self.members[peer]
        out: list[Envelope] = []
        member.merge(getattr(msg, "updates", ()), self.now)
        if isinstance(msg, cell_messages.Ping):
            out = member.on_ping(source, msg)
        elif isinstance(msg, cell_messages.Ack):
            out = member.on_ack(msg)
        elif isinstance(msg, cell_messages.PingRequest):
            out = member.on_ping_request(source, msg, self.now)
        elif isinstance(msg, cell_messages.MembersPull):
            push = cell_messages.MembersPush(member.members())
            out = [Envelope(source, push)]
        self.send(peer, out)

    def named(self):
        """Returns the names that each member that is up gives to callers."""
        return {
            name: {m.name for m in member.ready_members()}
            for name, member in self.members.items()
            if name not in self.down
        }

    def seen(self, subject):
        return {
            member.get(subject).state
            for name, member in self.members.items()
            if name not in self.down and name != subject
        }


def settle_s(count):
    """Returns the specified time within which all members agree on a change.

    This covers two rounds of probes over all members, the timeout of a probe
    and twice the suspicion time.
    """
    probes = 2 * count * SETTINGS.probe_interval_s
    return probes + 3 * SETTINGS.probe_timeout_s + 2 * SETTINGS.suspicion_s


class MembershipTest(unittest.TestCase):
    def test_a_dead_member_is_found_by_all(self):
        net = Network(8)
        net.run(2)
        net.down.add("r3")
        net.run(settle_s(8))
        self.assertEqual(net.seen("r3"), {STATE_DEAD})

    def test_a_quiet_network_suspects_nobody(self):
        net = Network(16)
        net.run(60)
        for name in net.members:
            self.assertEqual(net.seen(name), {STATE_ALIVE})

    def test_one_lossy_pair_is_bridged_by_others(self):
        net = Network(5)
        net.cut = {("r0", "r1"), ("r1", "r0")}
        net.run(30)
        self.assertEqual(net.seen("r0"), {STATE_ALIVE})
        self.assertEqual(net.seen("r1"), {STATE_ALIVE})

    def test_both_sides_of_a_partition_merge_again(self):
        net = Network(6)
        left, right = ("r0", "r1", "r2"), ("r3", "r4", "r5")
        net.cut = {(a, b) for a in left for b in right}
        net.cut |= {(b, a) for a, b in net.cut}
        net.run(settle_s(6))
        self.assertEqual(net.members["r0"].get("r4").state, STATE_DEAD)
        net.cut = set()
        net.run(settle_s(6))
        for name in net.members:
            self.assertEqual(net.seen(name), {STATE_ALIVE})

    def test_a_false_death_is_refuted(self):
        net = Network(4)
        dead = net.members["r2"].me._replace(state=STATE_DEAD)
        net.members["r0"].merge([dead], net.now)
        net.run(settle_s(4))
        self.assertEqual(net.seen("r2"), {STATE_ALIVE})

    def test_a_restart_overrides_the_death_of_the_old_one(self):
        net = Network(4)
        net.down.add("r1")
        net.run(settle_s(4))
        net.down.discard("r1")
        net.add("r1", 2, 99)
        net.run(2)
        self.assertEqual(net.seen("r1"), {STATE_ALIVE})

    def test_a_leaving_member_schedules_nothing_and_is_not_named(self):
        net = Network(4)
        net.members["r1"].leave()
        net.run(3)
        self.assertEqual(net.seen("r1"), {STATE_LEAVING})
        for name, member in net.members.items():
            self.assertNotIn("r1", member.schedulers(), name)
            named = {m.name for m in member.ready_members()}
            self.assertNotIn("r1", named, name)

    def test_a_member_without_a_configuration_is_not_named(self):
        net = Network(4)
        net.add("r4", 1, 99, UNREADY_REFUTATION)
        net.run(5)
        self.assertEqual(net.seen("r4"), {STATE_ALIVE})
        for name, named in net.named().items():
            self.assertEqual(named, {"r0", "r1", "r2", "r3"}, name)
        net.members["r4"].mark_ready()
        net.run(5)
        for name, named in net.named().items():
            self.assertEqual(named, set(net.members), name)

    def test_a_refutation_does_not_make_a_member_ready(self):
        net = Network(4)
        net.add("r4", 1, 99, UNREADY_REFUTATION)
        unready = net.members["r4"].me
        dead = unready._replace(state=STATE_DEAD)
        net.members["r0"].merge([dead], net.now)
        net.run(settle_s(5))
        self.assertEqual(net.seen("r4"), {STATE_ALIVE})
        self.assertGreater(net.members["r4"].me.refutation, unready.refutation)
        for name, named in net.named().items():
            self.assertNotIn("r4", named, name)
        net.members["r4"].mark_ready()
        net.members["r1"].merge([dead, unready], net.now)
        net.run(settle_s(5))
        for name, named in net.named().items():
            self.assertIn("r4", named, name)

    def test_an_old_report_of_the_same_start_does_not_undo_readiness(self):
        net = Network(3)
        net.add("r3", 1, 99, UNREADY_REFUTATION)
        unready = net.members["r3"].me
        net.members["r3"].mark_ready()
        net.run(5)
        for member in net.members.values():
            self.assertEqual(member.merge([unready], net.now), [])
        for name, named in net.named().items():
            self.assertIn("r3", named, name)

    def test_a_restarted_member_is_named_again_only_once_it_is_ready(self):
        net = Network(4)
        net.members["r1"].leave()
        net.run(3)
        net.add("r1", 2, 99, UNREADY_REFUTATION)
        net.run(5)
        for name, named in net.named().items():
            self.assertNotIn("r1", named, name)
        net.members["r1"].mark_ready()
        net.run(5)
        for name, named in net.named().items():
            self.assertIn("r1", named, name)

    def test_a_member_that_becomes_ready_while_it_leaves_is_not_named(self):
        net = Network(4)
        net.add("r4", 1, 99, UNREADY_REFUTATION)
        net.members["r4"].leave()
        net.members["r4"].mark_ready()
        net.run(5)
        for name, named in net.named().items():
            self.assertNotIn("r4", named, name)

    def test_without_any_ready_member_all_that_live_may_schedule(self):
        net = Network(0)
        for i in range(3):
            net.add(f"r{i}", 1, i, UNREADY_REFUTATION)
        net.run(5)
        for member in net.members.values():
            self.assertEqual(member.schedulers(), ["r0", "r1", "r2"])
        net.members["r1"].mark_ready()
        net.run(5)
        for member in net.members.values():
            self.assertEqual(member.schedulers(), ["r1"])

    def test_settles_at_the_size_to_come_by_gossip(self):
        net = Network(64, seed=7)
        net.run(2)
        net.down.add("r9")
        # One of 63 members probes r9 within a second or two and the others
        # learn of the failure by gossip. The time therefore does not grow with
        # the fleet as settle_s does, and the limit for 8 members holds.
        net.run(settle_s(8))
        self.assertEqual(net.seen("r9"), {STATE_DEAD})
