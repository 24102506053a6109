"""Tests of the routing table."""

import random
import unittest

from chervilwall.routing import (
    Route,
    RouteKind,
    RoutingTable,
    WeightedService,
)


def make_route(name, prefix, **changes):
    route = Route(
        name=name,
        hostname="a.example",
        path_prefix=prefix,
        kind=RouteKind.IDEMPOTENT,
        timeout_s=1.0,
        latency_objective_s=0.1,
        priority=0,
        split=(WeightedService("s1", 90), WeightedService("s2", 10)),
        max_attempts=2,
    )
    return route._replace(**changes)


class RoutingTableTest(unittest.TestCase):
    def setUp(self):
        routes = [make_route("short", "/a/"), make_route("long", "/a/b/")]
        keys = {"k1": "team1"}
        self.table = RoutingTable(1, routes, [], team_by_key=keys)

    def test_the_longest_prefix_wins(self):
        self.assertEqual(
            self.table.find_route("a.example", "/a/b/c").name, "long"
        )
        self.assertEqual(
            self.table.find_route("a.example", "/a/c").name, "short"
        )

    def test_a_prefix_matches_whole_segments_of_its_own_host(self):
        self.assertIsNone(self.table.find_route("a.example", "/ab/"))
        self.assertIsNone(self.table.find_route("b.example", "/a/b/"))

    def test_keys_name_teams(self):
        self.assertEqual(self.table.team("k1"), "team1")
        self.assertIsNone(self.table.team("k2"))
        self.assertIsNone(self.table.team(""))

    def test_a_table_without_teams_asks_for_no_keys(self):
        self.assertFalse(RoutingTable(1, [], []).requires_keys)
        self.assertTrue(RoutingTable(1, [], [], team_by_key={}).requires_keys)

    def test_a_split_follows_its_weights(self):
        rng = random.Random(1)
        route = make_route("r", "/")
        picks = [route.pick_service(rng) for _ in range(2000)]
        self.assertAlmostEqual(picks.count("s2") / 2000, 0.1, delta=0.03)

    def test_streams_are_repeatable_only_where_they_can_be_resumed(self):
        stream = make_route("r", "/", kind=RouteKind.STREAMING)
        self.assertFalse(stream.repeatable)
        self.assertTrue(stream._replace(resumable=True).repeatable)
        once = stream._replace(kind=RouteKind.NON_IDEMPOTENT, resumable=True)
        self.assertFalse(once.repeatable)
