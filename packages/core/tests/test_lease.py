"""Tests of the lease that allows a router to send orders."""

import unittest

from chervilwall.lease import LONGEST_ORDER_S, LeaseRecord, LeaseView

TTL_S = 10.0


class LeaseTest(unittest.TestCase):
    def test_only_one_of_two_holds_it(self):
        one, other = LeaseView("r1"), LeaseView("r2")
        record = one.wants(0.0)
        one.written(record, 5, 0.0)
        other.observe(record, 5, 0.1)
        self.assertTrue(one.holds(9.9))
        self.assertIsNone(other.wants(9.9))
        taken = other.wants(10.2)
        self.assertEqual(taken.fencing, record.fencing + 1)
        self.assertFalse(one.holds(10.2))

    def test_a_paused_holder_stops_on_its_own_clock(self):
        view = LeaseView("r1")
        view.written(view.wants(0.0), 1, 0.0)
        self.assertTrue(view.may_order(1.0, target_checks=True))
        self.assertFalse(view.may_order(TTL_S, target_checks=True))

    def test_a_new_holder_waits_where_targets_ignore_the_number(self):
        view = LeaseView("r2")
        view.observe(LeaseRecord("r1", TTL_S, 1, 1), 3, 0.0)
        taken = view.wants(TTL_S)
        view.written(taken, 4, TTL_S)
        soon = TTL_S + 1
        self.assertTrue(view.may_order(soon, target_checks=True))
        self.assertFalse(view.may_order(soon, target_checks=False))
        at = 2 * TTL_S + LONGEST_ORDER_S
        renewed = view.wants(at - 1)
        view.written(renewed, 5, at - 1)
        self.assertTrue(view.may_order(at, target_checks=False))
