"""Tests of weighted fair queueing."""

import itertools
import unittest

from chervilwall.fair_queue import FairQueue, QueuedRequest
from hypothesis import given, settings
from hypothesis import strategies as st

_SEQ = itertools.count()


def queued(team, *, deadline=100.0, cost=1.0):
    number = next(_SEQ)
    return QueuedRequest(deadline, number, "r", number, team, "c", cost)


def start_next(queue):
    popped = queue.pop(lambda _: "t")
    if popped is None:
        return None
    queue.start(popped[0].team, popped[0].estimate)
    return popped[0].team


class FairQueueTest(unittest.TestCase):
    def test_service_follows_shares(self):
        queue = FairQueue({"a": 50.0, "b": 1.0})
        for _ in range(200):
            queue.push(queued("a"))
            queue.push(queued("b"))
        first = [start_next(queue) for _ in range(102)]
        self.assertEqual(first.count("a"), 100)

    def test_earliest_deadline_goes_first_within_a_team(self):
        queue = FairQueue()
        late, soon = queued("a", deadline=90), queued("a", deadline=5)
        queue.push(late)
        queue.push(soon)
        self.assertEqual(queue.pop(lambda _: "t")[0], soon)

    def test_idleness_earns_no_credit(self):
        queue = FairQueue()
        for _ in range(100):
            queue.push(queued("busy"))
        for _ in range(50):
            start_next(queue)
        for _ in range(50):
            queue.push(queued("back"))
        order = [start_next(queue) for _ in range(20)]
        self.assertLessEqual(order.count("back"), 11)

    def test_an_underused_team_does_not_lower_the_bar(self):
        queue = FairQueue()
        for _ in range(60):
            queue.push(queued("busy"))
        queue.push(queued("light"))
        queue.pop(lambda q: "t" if q.team == "light" else None)
        queue.start("light", 0.0)
        for _ in range(50):
            start_next(queue)
        queue.push(queued("back"))
        self.assertGreaterEqual(queue.counter("back"), queue.counter("busy"))

    def test_what_cannot_be_placed_is_passed_over(self):
        queue = FairQueue()
        queue.push(queued("a"))
        queue.push(queued("b"))
        popped = queue.pop(lambda q: "t" if q.team == "b" else None)
        self.assertEqual(popped[0].team, "b")
        self.assertIsNone(queue.pop(lambda _: None))
        self.assertEqual(len(queue), 1)

    def test_refunds_return_service_to_a_team(self):
        queue = FairQueue()
        queue.push(queued("a", cost=100.0))
        start_next(queue)
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
        """Checks the bound that docs/FAIRNESS.md derives, for exact costs.

        The counters v of two backlogged teams f and g with shares w satisfy
        |v_f - v_g| <= M (1/w_f + 1/w_g), where M is the largest request cost.
        """
        share_of = dict(zip("abcd", shares, strict=True))
        queue = FairQueue(share_of)
        for team, cost in requests:
            queue.push(queued(team, cost=cost))
        max_cost = max(cost for _, cost in requests)
        while start_next(queue) is not None:
            for one, other in itertools.combinations(queue.backlogged(), 2):
                gap = abs(queue.counter(one) - queue.counter(other))
                bound = max_cost * (1 / share_of[one] + 1 / share_of[other])
                self.assertLessEqual(gap, bound + 1e-6)
