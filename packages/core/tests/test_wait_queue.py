"""Tests of the queue of waiting requests."""

import unittest

from chervilwall.placement import Demand, Urgency
from chervilwall.wait_queue import (
    OnTimeRatios,
    OvertakingLimit,
    TeamShares,
    Ticket,
    WaitQueue,
    WaitSettings,
)

NO_USAGE = TeamShares(frozenset(), {})


def make_ticket(number, *, prompt=1000, output=100, work_s=0.05, **changes):
    ticket = Ticket(
        number=number,
        team="a",
        demand=Demand("s", prompt, output),
        due_at=1.0,
        enqueued_at=0.0,
        give_up_at=2.0,
        work_s=work_s,
        group="r",
    )
    return ticket._replace(**changes)


class WaitQueueTest(unittest.TestCase):
    def setUp(self):
        self.queue = WaitQueue(WaitSettings())

    def order(self, now=0.0, usage=NO_USAGE):
        return [t.number for _, t in self.queue.in_order(now, usage)]

    def test_more_benefit_for_the_time_goes_first(self):
        self.queue.push(make_ticket(1, work_s=0.2))
        self.queue.push(make_ticket(2, work_s=0.05))
        self.assertEqual(self.order(), [2, 1])

    def test_what_can_still_be_in_time_goes_before_what_is_late(self):
        self.queue.push(make_ticket(1, work_s=0.01, due_at=0.1))
        self.queue.push(make_ticket(2, work_s=0.2))
        self.assertEqual(self.order(now=0.5), [2, 1])

    def test_engines_that_start_late_make_a_request_late_sooner(self):
        # Without the delay of its engines, a request waited until it could no
        # longer be in time, and then took the place of one that could.
        self.queue.push(make_ticket(1, work_s=0.01, start_delay_s=0.6))
        self.queue.push(make_ticket(2, work_s=0.2))
        self.assertEqual(self.order(now=0.0), [1, 2])
        self.assertEqual(self.order(now=0.5), [2, 1])

    def test_a_resumed_stream_is_neither_late_nor_behind_new_ones(self):
        self.queue.push(make_ticket(1, work_s=0.01))
        resumed = make_ticket(2, work_s=0.2, due_at=0.1, is_resumption=True)
        self.queue.push(resumed)
        self.assertEqual(self.order(now=0.5), [2, 1])
        self.assertEqual(resumed.late_wait_limit_at(), resumed.give_up_at)

    def test_a_resumed_stream_does_not_lift_its_team_above_its_share(self):
        self.queue.push(make_ticket(1, team="flood", is_resumption=True))
        self.queue.push(make_ticket(2, team="flood", work_s=0.01))
        self.queue.push(make_ticket(3, team="small"))
        usage = TeamShares(frozenset({"flood"}), {"flood": 9e5})
        self.assertEqual(self.order(usage=usage), [3, 1, 2])

    def test_streams_that_wait_for_few_targets_refuse_no_others(self):
        for number in range(20):
            self.queue.push(make_ticket(number, work_s=0.5, is_resumption=True))
        self.queue.push(make_ticket(30, work_s=0.1))
        waits = [
            self.queue.expected_wait_s(ticket, 0.0, NO_USAGE, 1.0)
            for ticket in (
                make_ticket(40, work_s=0.2),
                make_ticket(41, work_s=0.2, is_resumption=True),
            )
        ]
        self.assertAlmostEqual(waits[0], 0.1)
        self.assertAlmostEqual(waits[1], 10.0)

    def test_a_known_stream_goes_on_although_its_team_is_over_its_share(self):
        resumed = make_ticket(
            1, team="flood", is_resumption=True, is_exempt=True, work_s=0.9
        )
        self.queue.push(resumed)
        self.queue.push(make_ticket(2, team="flood", work_s=0.01))
        self.queue.push(make_ticket(3, team="small", work_s=0.01))
        usage = TeamShares(frozenset({"flood"}), {"flood": 9e5})
        self.assertEqual(self.order(usage=usage), [1, 3, 2])

    def test_a_team_beyond_its_share_goes_last_and_least_served_first(self):
        self.queue.push(make_ticket(1, team="flood", work_s=0.01))
        self.queue.push(make_ticket(2, team="large", work_s=0.5))
        self.queue.push(make_ticket(3, team="small", work_s=0.9))
        usage = TeamShares(
            frozenset({"flood", "large"}), {"flood": 9e5, "large": 3e5}
        )
        self.assertEqual(self.order(usage=usage), [3, 2, 1])

    def test_beyond_a_share_what_can_be_in_time_goes_before_what_is_late(self):
        self.queue.push(make_ticket(1, team="flood", due_at=0.1))
        self.queue.push(make_ticket(2, team="flood", work_s=0.2))
        usage = TeamShares(frozenset({"flood"}), {"flood": 9e5})
        self.assertEqual(self.order(now=0.5, usage=usage), [2, 1])

    def test_plain_requests_know_no_shares(self):
        ticket = make_ticket(1, prompt=0, team="flood")
        self.assertEqual(
            ticket.urgency(0.0, frozenset({"flood"})), Urgency.IN_TIME
        )

    def test_a_route_of_which_little_is_served_is_lifted(self):
        for _ in range(200):
            late = make_ticket(0, group="starved")
            self.queue.record_outcome(late, 0.0, False)
        self.queue.push(make_ticket(1, work_s=0.05, group="served"))
        self.queue.push(make_ticket(2, work_s=0.15, group="starved"))
        self.assertEqual(self.order(), [2, 1])

    def test_late_requests_are_let_go_when_none_gets_its_turn(self):
        ticket = make_ticket(1, due_at=0.5)
        self.queue.push(ticket)
        self.assertEqual(self.queue.expired(1.0), [])
        for _ in range(100):
            self.queue.record_outcome(make_ticket(0, due_at=0.5), 1.0, False)
        self.assertEqual(self.queue.expired(1.0), [ticket])

    def test_the_expected_wait_counts_only_what_goes_before(self):
        self.queue.push(make_ticket(1, work_s=0.2))
        self.queue.push(make_ticket(2, work_s=4.0))
        ticket = make_ticket(3, work_s=0.3)
        wait_s = self.queue.expected_wait_s(ticket, 0.0, NO_USAGE, 1.0)
        self.assertAlmostEqual(wait_s, 0.2)

    def test_the_expected_wait_is_that_of_a_steady_drain_rate(self):
        # Two seconds of prefill are started per second.
        for step in range(2000):
            self.queue.record_started_work(0.02, step * 0.01)
        self.queue.push(make_ticket(1, work_s=4.0, output=10_000))
        ticket = make_ticket(2, work_s=0.3, output=0)
        wait_s = self.queue.expected_wait_s(ticket, 20.0, NO_USAGE, 0.1)
        self.assertAlmostEqual(wait_s, 2.0, delta=0.1)

    def test_the_more_is_refused_the_later_callers_should_return(self):
        cfg = WaitSettings()
        idle_retry_s = self.queue.retry_after_s(0.0)
        for _ in range(100):
            self.queue.record_outcome(make_ticket(0), 0.0, False)
        overload_retry_s = self.queue.retry_after_s(0.0)
        self.assertEqual(idle_retry_s, cfg.min_retry_s)
        self.assertGreater(overload_retry_s, 3 * idle_retry_s)
        self.assertLessEqual(overload_retry_s, cfg.max_retry_s)

    def test_a_request_that_left_is_not_started(self):
        self.queue.push(make_ticket(1))
        self.queue.discard(1)
        self.assertEqual(self.order(), [])


class ServedPortionsTest(unittest.TestCase):
    def test_the_boost_is_bounded(self):
        ratios = OnTimeRatios(WaitSettings().boost_exponent)
        for _ in range(1000):
            ratios.record("r", False)
        self.assertLess(ratios.boost("r"), 20)
        self.assertLess(ratios.boost("other"), 1.0)


class OvertakingTest(unittest.TestCase):
    def test_a_flood_waits_while_a_team_that_had_less_waits(self):
        overtaking = OvertakingLimit(WaitSettings().overtaking_factor)
        flood = (Urgency.BEYOND_SHARE, 9e5, False, -1.0, 1)
        peer = (Urgency.BEYOND_SHARE, 2.1e5, False, -1.0, 2)
        self.assertTrue(overtaking.allows(flood))
        overtaking.record_waiting((Urgency.BEYOND_SHARE, 2e5, False, -1.0, 3))
        self.assertFalse(overtaking.allows(flood))
        self.assertTrue(overtaking.allows(peer))

    def test_teams_within_their_shares_are_not_held_up(self):
        overtaking = OvertakingLimit(WaitSettings().overtaking_factor)
        overtaking.record_waiting((Urgency.BEYOND_SHARE, 0.0, False, -1.0, 3))
        self.assertTrue(overtaking.allows((Urgency.LATE, 0.0, True, -1.0, 4)))
