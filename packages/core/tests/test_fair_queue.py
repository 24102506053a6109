"""Tests of weighted fair queueing."""

import itertools
import unittest

from chervilwall.fair_queue import FairQueue, Queued
from hypothesis import given, settings
from hypothesis import strategies as st

_SEQ = itertools.count()


def item(team, *, deadline=100.0, cost=1.0):
    number = next(_SEQ)
    return Queued(deadline, number, "r", number, team, "c", cost)


def pop_team(queue):
    found = queue.pop(lambda _: "t")
    if found is None:
        return None
    queue.start(found[0].team, found[0].estimate)
    return found[0].team


class FairQueueTest(unittest.TestCase):
    def test_service_follows_shares(self):
        queue = FairQueue({"a": 50.0, "b": 1.0})
        for _ in range(200):
            queue.push(item("a"))
            queue.push(item("b"))
        first = [pop_team(queue) for _ in range(102)]
        self.assertEqual(first.count("a"), 100)

    def test_earliest_deadline_goes_first_within_a_team(self):
        queue = FairQueue()
        late, soon = item("a", deadline=90), item("a", deadline=5)
        queue.push(late)
        queue.push(soon)
        self.assertEqual(queue.pop(lambda _: "t")[0], soon)

    def test_idleness_earns_no_credit(self):
        queue = FairQueue()
        for _ in range(100):
            queue.push(item("busy"))
        for _ in range(50):
            pop_team(queue)
        for _ in range(50):
            queue.push(item("back"))
        order = [pop_team(queue) for _ in range(20)]
        self.assertLessEqual(order.count("back"), 11)

    def test_an_underused_team_does_not_lower_the_bar(self):
        queue = FairQueue()
        for _ in range(60):
            queue.push(item("busy"))
        queue.push(item("light"))
        queue.pop(lambda q: "t" if q.team == "light" else None)
        queue.start("light", 0.0)
        for _ in range(50):
            pop_team(queue)
        queue.push(item("back"))
        self.assertGreaterEqual(queue.counter("back"), queue.counter("busy"))

    def test_what_cannot_be_placed_is_passed_over(self):
        queue = FairQueue()
        queue.push(item("a"))
        queue.push(item("b"))
        found = queue.pop(lambda q: "t" if q.team == "b" else None)
        self.assertEqual(found[0].team, "b")
        self.assertIsNone(queue.pop(lambda _: None))
        self.assertEqual(len(queue), 1)

    def test_refunds_return_service_to_a_team(self):
        queue = FairQueue()
        queue.push(item("a", cost=100.0))
        pop_team(queue)
        queue.finish("a", -90.0)
        self.assertEqual(queue.counter("a"), 10.0)

    @settings(derandomize=True, max_examples=150, deadline=None)
    @given(
        st.lists(
            st.tuples(st.sampled_from("abcd"), st.floats(0.1, 10.0)),
            min_size=20,
            max_size=80,
        ),
        st.lists(st.floats(0.2, 10.0), min_size=4, max_size=4),
    )
    def test_gap_of_backlogged_teams_keeps_the_derived_bound(
        self, requests, shares
    ):
        """Checks |v_f - v_g| <= M (1/w_f + 1/w_g) for exact costs."""
        by_team = dict(zip("abcd", shares, strict=True))
        queue = FairQueue(by_team)
        for team, cost in requests:
            queue.push(item(team, cost=cost))
        largest = max(cost for _, cost in requests)
        while pop_team(queue) is not None:
            for one, other in itertools.combinations(queue.backlogged(), 2):
                gap = abs(queue.counter(one) - queue.counter(other))
                bound = largest * (1 / by_team[one] + 1 / by_team[other])
                self.assertLessEqual(gap, bound + 1e-6)
