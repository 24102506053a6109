"""Tests of the decision to relay connections from an overloaded host."""

import random
import unittest

from chervilwall.connection_relay import (
    FAILURE_PAUSE_S,
    MAX_LAG,
    MIN_REQUESTS,
    REFUSAL_PAUSE_S,
    SAMPLE_INTERVAL_S,
    ConnectionRelay,
    CpuUse,
    RelayPeer,
)
from chervilwall.host_load import LARGEST_TEAM_LAG

EVENT_DELAY_S = 0.2
MAX_RELAYS = 400
# Processor time of a stream of 41 events, in seconds: served here and relayed,
# as measured with the flood tool.
SERVE_S = 0.0020
RELAY_S = 0.0007


def make_relay():
    return ConnectionRelay(EVENT_DELAY_S, MAX_RELAYS)


class SimulatedHost:
    """A host with a part of a processor and a queue of work.

    Each stream costs its processor time evenly over its duration. Work that
    does not fit waits, which is the event loop lag.
    """

    def __init__(self, cpu, stream_s):
        self.relay = make_relay()
        self.use = CpuUse(cpu)
        self.cpu, self.stream_s = cpu, stream_s
        self.rng = random.Random(1)
        self.now, self.cpu_s, self.backlog_s = 0.0, 0.0, 0.0
        # Steps at which streams end, with their cost per step.
        self.serving, self.relaying = [], []
        self.lags, self.shares, self.relayed = [], [], 0

    def run(self, duration_s, streams_per_s):
        for _ in range(round(duration_s / SAMPLE_INTERVAL_S)):
            self.step(streams_per_s)

    def step(self, streams_per_s):
        arrivals = round(streams_per_s * SAMPLE_INTERVAL_S)
        ends_at = self.now + self.stream_s
        for _ in range(arrivals):
            if self.relay.should_relay(self.rng, len(self.relaying)):
                self.relaying.append(ends_at)
                self.relayed += 1
            else:
                self.serving.append(ends_at)
        part = SAMPLE_INTERVAL_S / self.stream_s
        demand_s = part * (
            SERVE_S * len(self.serving) + RELAY_S * len(self.relaying)
        )
        room_s = self.cpu * SAMPLE_INTERVAL_S
        self.backlog_s += demand_s
        used_s = min(room_s, self.backlog_s)
        self.backlog_s -= used_s
        self.cpu_s += used_s
        self.now += SAMPLE_INTERVAL_S
        self.serving = [x for x in self.serving if x > self.now]
        self.relaying = [x for x in self.relaying if x > self.now]
        self.use.record(self.cpu_s, self.now)
        lag_s = self.backlog_s / self.cpu
        self.relay.record_load(lag_s, self.use.fraction, len(self.serving))
        self.lags.append(lag_s)
        self.shares.append(self.relay.share)


class FloodTest(unittest.TestCase):
    """Replays a flood of short streams at a host with half a processor."""

    def test_a_flood_beyond_the_host_does_not_reach_the_refusal_lag(self):
        # Without relaying, 300 streams a second need 1.2 times the share, and
        # the lag grows without bound.
        for stream_s in (0.8, 2.0, 4.0):
            with self.subTest(stream_s=stream_s):
                host = SimulatedHost(0.5, stream_s)
                host.run(40.0, 300)
                settled = host.lags[100:]
                self.assertLess(max(settled), LARGEST_TEAM_LAG * EVENT_DELAY_S)
                self.assertGreater(host.relayed, 0.2 * 300 * 40)

    def test_relaying_begins_before_the_host_refuses(self):
        host = SimulatedHost(0.5, 2.0)
        host.run(1.0, 20)
        while not host.relayed:
            host.step(260)
        self.assertLess(max(host.lags), LARGEST_TEAM_LAG * EVENT_DELAY_S)

    def test_a_load_that_the_host_carries_is_not_relayed(self):
        host = SimulatedHost(0.5, 2.0)
        host.run(30.0, 160)
        self.assertEqual(host.relayed, 0)

    def test_the_share_does_not_swing_between_none_and_all(self):
        host = SimulatedHost(0.5, 2.0)
        host.run(60.0, 300)
        settled = host.shares[150:]
        self.assertGreater(min(settled), 0.0)
        begins = sum(
            not a and bool(b)
            for a, b in zip(host.shares, host.shares[1:], strict=False)
        )
        self.assertEqual(begins, 1)

    def test_relaying_ends_after_the_flood(self):
        host = SimulatedHost(0.5, 2.0)
        host.run(20.0, 300)
        self.assertGreater(host.relay.share, 0.0)
        host.run(10.0, 20)
        self.assertEqual(host.relay.share, 0.0)

    def test_a_flood_beyond_relaying_is_left_to_refusals(self):
        host = SimulatedHost(0.1, 1.0)
        host.run(20.0, 400)
        self.assertGreater(host.relay.lag, MAX_LAG)
        self.assertFalse(host.relay.should_relay(host.rng, 0))


class ShareTest(unittest.TestCase):
    def setUp(self):
        self.relay = make_relay()
        self.rng = random.Random(2)

    def record(self, lag=0.0, cpu=0.0, requests=MIN_REQUESTS, times=1):
        for _ in range(times):
            self.relay.record_load(lag * EVENT_DELAY_S, cpu, requests)

    def test_one_late_sample_does_not_move_all_connections(self):
        self.record(lag=0.5)
        self.assertLess(self.relay.share, 0.5)
        self.assertGreater(self.relay.share, 0.0)

    def test_lag_without_requests_is_not_the_callers(self):
        self.record(lag=1.0, cpu=1.0, requests=MIN_REQUESTS - 1, times=9)
        self.assertEqual(self.relay.share, 0.0)

    def test_processor_use_alone_starts_relaying(self):
        self.record(cpu=0.9)
        self.assertGreater(self.relay.share, 0.0)

    def test_the_share_stays_between_the_thresholds(self):
        self.record(cpu=0.9, times=2)
        share = self.relay.share
        self.record(cpu=0.65, lag=0.15, times=50)
        self.assertEqual(self.relay.share, share)

    def test_a_bound_on_relays_leaves_the_others_here(self):
        self.record(cpu=1.0, times=9)
        self.assertTrue(self.relay.should_relay(self.rng, MAX_RELAYS - 1))
        self.assertFalse(self.relay.should_relay(self.rng, MAX_RELAYS))

    def test_a_host_that_relays_or_is_busy_accepts_none(self):
        self.assertTrue(self.relay.accepts(0))
        self.assertFalse(self.relay.accepts(MAX_RELAYS))
        self.record(cpu=0.6)
        self.assertFalse(self.relay.accepts(0))
        self.record(lag=0.12)
        self.assertFalse(self.relay.accepts(0))
        self.record(cpu=0.9)
        self.record()
        self.assertGreater(self.relay.share, 0.0)
        self.assertFalse(self.relay.accepts(0))


class PeerChoiceTest(unittest.TestCase):
    def setUp(self):
        self.relay = make_relay()
        self.rng = random.Random(3)
        self.small = RelayPeer("small", "127.0.0.1:1", 0.25)
        self.large = RelayPeer("large", "127.0.0.1:2", 1.0)
        self.hub = RelayPeer("hub", "127.0.0.1:3", 4.0, is_hub=True)

    def choose(self, *peers, now=0.0, tried=()):
        return self.relay.choose_peer(peers, self.rng, now, tried=tried)

    def test_none_without_peers(self):
        self.assertIsNone(self.choose())
        self.assertIsNone(self.choose(self.small, tried={"small"}))

    def test_a_hub_only_if_there_is_no_other(self):
        for _ in range(50):
            self.assertEqual(self.choose(self.hub, self.small), self.small)
        self.assertEqual(self.choose(self.hub), self.hub)

    def test_larger_hosts_get_more(self):
        counts = {"small": 0, "large": 0}
        for _ in range(1000):
            peer = self.choose(self.small, self.large)
            counts[peer.name] += 1
            self.relay.begin(peer.name)
        self.assertAlmostEqual(counts["large"] / 1000, 0.8, delta=0.05)

    def test_peers_that_refused_or_failed_are_left_out_for_a_while(self):
        self.relay.record_refusal("small", 1.0)
        self.relay.record_failure("large", 1.0)
        self.assertIsNone(self.choose(self.small, self.large, now=1.5))
        later = 1.0 + REFUSAL_PAUSE_S
        self.assertEqual(
            self.choose(self.small, self.large, now=later), self.small
        )
        self.assertEqual(
            self.choose(self.large, now=1.0 + FAILURE_PAUSE_S), self.large
        )

    def test_ended_relays_do_not_count(self):
        self.relay.begin("small")
        self.relay.end("small")
        self.assertEqual(repr(self.relay), repr(make_relay()))
        twin = self.small._replace(name="twin")
        self.relay.begin("twin")
        counts = [self.choose(self.small, twin).name for _ in range(400)]
        self.assertGreater(counts.count("small"), 250)


class CpuUseTest(unittest.TestCase):
    def test_a_clock_that_counts_elapsed_time_shows_no_use(self):
        # Idle hosts relayed what they could serve, and refused what others
        # relayed, as their processor clock went as fast as time.
        use, relay = CpuUse(0.387), make_relay()
        for step in range(100):
            now = step * SAMPLE_INTERVAL_S
            use.record(now, now)
            relay.record_load(0.001, use.fraction, 4 * MIN_REQUESTS)
            self.assertEqual(relay.share, 0.0)
            self.assertTrue(relay.accepts(0))

    def test_it_is_a_part_of_the_share(self):
        use = CpuUse(0.5)
        for step in range(40):
            use.record(step * 0.1 * 0.4, step * 0.1)
        self.assertAlmostEqual(use.fraction, 0.8, delta=0.01)

    def test_a_thread_uses_at_most_one_processor(self):
        use = CpuUse(4.0)
        for step in range(40):
            use.record(step * 0.1, step * 0.1)
        self.assertAlmostEqual(use.fraction, 1.0, delta=0.01)


if __name__ == "__main__":
    unittest.main()
