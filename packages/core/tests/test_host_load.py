"""Tests of load shedding by the lag of the event loop."""

import math
import unittest

from chervilwall.host_load import (
    ANY_IN_FLIGHT_LAG,
    LARGEST_TEAM_LAG,
    MAX_RETRY_S,
    MIN_IN_FLIGHT,
    RATE_HALF_LIFE_S,
    UNEVEN_SHARE_LAG,
    HostLoad,
)

EVENT_DELAY_S = 0.2


class HostLoadTest(unittest.TestCase):
    def setUp(self):
        self.load = HostLoad(EVENT_DELAY_S)
        for _ in range(MIN_IN_FLIGHT):
            self.load.begin("flood")
        for _ in range(3):
            self.load.begin("middle")
        self.load.begin("small")

    def refused_teams(self, lag):
        load = self.load
        load.record_lag(lag * EVENT_DELAY_S, 1.0)
        teams = ("flood", "middle", "small", "new")
        return [t for t in teams if load.should_refuse(t, 1.0)]

    def test_none_while_the_loop_keeps_up(self):
        self.assertEqual(self.refused_teams(LARGEST_TEAM_LAG * 0.9), [])

    def test_the_team_with_most_in_hand_first(self):
        self.assertEqual(self.refused_teams(LARGEST_TEAM_LAG), ["flood"])
        self.assertEqual(self.refused_teams(UNEVEN_SHARE_LAG), ["flood"])

    def test_a_team_with_nothing_in_hand_is_always_served(self):
        refused = self.refused_teams(ANY_IN_FLIGHT_LAG)
        self.assertEqual(refused, ["flood", "middle", "small"])

    def test_lateness_without_callers_refuses_nobody(self):
        load = HostLoad(EVENT_DELAY_S)
        load.begin("one")
        load.record_lag(5.0, 1.0)
        self.assertFalse(load.should_refuse("one", 1.0))

    def test_a_loop_that_keeps_up_again_is_forgiven_soon(self):
        self.load.record_lag(0.2, 1.0)
        self.assertFalse(self.load.should_refuse("flood", 1.2))

    def test_a_refused_caller_returns_when_work_in_hand_has_ended(self):
        load = self.load
        self.assertEqual(load.retry_after_s("flood", 1.0), MAX_RETRY_S)
        for _ in range(4):
            load.begin("flood")
            load.end("flood", 1.0)
        # An end counts for 1 / ln 2 half-lives, so these are 4 ln 2 per second.
        expected_s = MIN_IN_FLIGHT / (4 * math.log(2) / RATE_HALF_LIFE_S)
        self.assertAlmostEqual(load.retry_after_s("flood", 1.0), expected_s)

    def test_the_time_to_return_follows_a_steady_rate_of_ends(self):
        load = HostLoad(EVENT_DELAY_S)
        for _ in range(20):
            load.begin("flood")
        for step in range(1000):
            load.begin("other")
            load.end("other", step * 0.1)
        self.assertAlmostEqual(
            load.retry_after_s("flood", 100.0), 2.0, delta=0.2
        )

    def test_a_flood_settles_at_what_the_host_carries(self):
        """Simulates 400 requests per second on a host with capacity for 100."""
        load, now, accepted, refused_others = HostLoad(EVENT_DELAY_S), 0.0, 0, 0
        queue = []
        for step in range(4000):
            now += 0.0025
            team = "flood" if step % 20 else f"t{step % 400 // 20}"
            if load.should_refuse(team, now):
                refused_others += team != "flood"
            else:
                load.begin(team)
                accepted += 1
                start = max(now, queue[-1][0] if queue else now)
                queue.append((start + 0.01, team))
            while queue and queue[0][0] <= now:
                load.end(queue.pop(0)[1], now)
            load.record_lag(max(0.0, queue[-1][0] - now) if queue else 0.0, now)
        self.assertLess(
            len(queue) * 0.01, 2 * ANY_IN_FLIGHT_LAG * EVENT_DELAY_S
        )
        self.assertGreater(accepted, 0.9 * 100 * now)
        self.assertLess(refused_others, 20)
