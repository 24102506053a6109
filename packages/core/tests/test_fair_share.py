"""Tests of max-min fair shares."""

import unittest

from chervilwall.fair_share import (
    WINDOW_S,
    FairShare,
    TeamUsage,
    max_min_level,
)
from hypothesis import given
from hypothesis import strategies as st


class MaxMinTest(unittest.TestCase):
    def test_small_demands_are_met_and_the_rest_is_even(self):
        level = max_min_level({"a": 10, "b": 100, "c": 200}, 150)
        self.assertAlmostEqual(level, 70)

    def test_there_is_no_limit_while_all_is_met(self):
        self.assertEqual(max_min_level({"a": 10}, 100), float("inf"))
        self.assertEqual(max_min_level({}, 100), float("inf"))

    @given(
        st.lists(st.floats(0.1, 1e6), min_size=1, max_size=30),
        st.floats(1.0, 1e6),
    )
    def test_no_more_than_the_capacity_is_given(self, demands, capacity):
        demand_by_team = {str(i): d for i, d in enumerate(demands)}
        level = max_min_level(demand_by_team, capacity)
        allocated = sum(min(d, level) for d in demands)
        self.assertLessEqual(allocated, capacity * (1 + 1e-6))


class TeamUsageTest(unittest.TestCase):
    def test_a_team_is_kept_until_its_last_entry_expires(self):
        usage = TeamUsage(window_s=4.0)
        usage.add("a", 0.3, 0.0)
        usage.add("a", 0.3, 1.0)
        self.assertAlmostEqual(usage.sums(4.5)["a"], 0.3)
        self.assertEqual(usage.sums(5.5), {})


class FairShareTest(unittest.TestCase):
    def test_a_flood_is_over_its_share_and_its_neighbours_are_not(self):
        shares = FairShare()
        for _ in range(100):
            shares.record_demand("flood", 1000, 0.0)
            shares.record_usage("flood", 700, 0.0)
        shares.record_demand("small", 5000, 0.0)
        shares.record_usage("small", 5000, 0.0)
        self.assertEqual(shares.teams_over_share(10_000, 0.1), {"flood"})

    def test_while_demand_is_not_met_what_was_started_is_shared(self):
        # Half of the engines are lost: 20,000 of the 40,000 configured tokens
        # are started in a window.
        shares = FairShare()
        shares.record_demand("flood", 60_000, 0.0)
        shares.record_usage("flood", 14_000, 0.0)
        for team in ("a", "b", "c"):
            shares.record_demand(team, 4000, 0.0)
            shares.record_usage(team, 2000, 0.0)
        self.assertEqual(shares.teams_over_share(10_000, 0.1), {"flood"})

    def test_what_just_arrived_is_no_backlog(self):
        shares = FairShare()
        shares.record_demand("a", 10_000, 0.0)
        shares.record_usage("a", 9000, 0.0)
        self.assertEqual(shares.teams_over_share(10_000, 0.1), frozenset())

    def test_what_peers_gave_counts_until_the_window_has_passed(self):
        shares = FairShare()
        shares.set_peer("p", {"a": 9e4, "b": 9e4}, {"a": 5e4}, 0.0)
        self.assertEqual(shares.teams_over_share(10_000, 0.1), {"a"})
        self.assertEqual(
            shares.teams_over_share(10_000, WINDOW_S + 1), frozenset()
        )

    def test_the_window_slides(self):
        shares = FairShare()
        shares.record_demand("a", 9e4, 0.0)
        shares.record_demand("b", 9e4, 3.9)
        shares.record_usage("a", 5e4, 0.0)
        self.assertEqual(shares.teams_over_share(10_000, 3.9), {"a"})
        self.assertEqual(shares.teams_over_share(10_000, 4.5), frozenset())

    def test_an_unknown_capacity_limits_nobody(self):
        shares = FairShare()
        shares.record_usage("a", 1e9, 0.0)
        self.assertEqual(shares.teams_over_share(0.0, 0.1), frozenset())

    def test_requests_without_tokens_leave_no_trace(self):
        shares = FairShare()
        shares.record_demand("a", 0.0, 0.0)
        shares.record_demand("a", 0.0, 0.0)
        self.assertEqual(shares.local_sums(10.0), ({}, {}))
