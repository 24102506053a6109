"""Tests of the lease that allows a router to send orders."""

import unittest

from chervilwall.lease import ORDER_TIMEOUT_S, LeaseRecord, LeaseView

TTL_S = 10.0


class LeaseTest(unittest.TestCase):
    def test_only_one_of_two_holds_it(self):
        one, other = LeaseView("r1"), LeaseView("r2")
        record = one.next_record(0.0)
        one.record_written(record, 5, 0.0)
        other.observe(record, 5, 0.1)
        self.assertTrue(one.is_held(9.9))
        self.assertIsNone(other.next_record(9.9))
        taken = other.next_record(10.2)
        self.assertEqual(taken.fencing, record.fencing + 1)
        self.assertFalse(one.is_held(10.2))

    def test_a_paused_holder_stops_on_its_own_clock(self):
        view = LeaseView("r1")
        view.record_written(view.next_record(0.0), 1, 0.0)
        self.assertTrue(view.may_send_order(1.0, target_checks=True))
        self.assertFalse(view.may_send_order(TTL_S, target_checks=True))

    def test_a_new_holder_waits_where_targets_ignore_the_number(self):
        view = LeaseView("r2")
        view.observe(LeaseRecord("r1", TTL_S, 1, 1), 3, 0.0)
        taken = view.next_record(TTL_S)
        view.record_written(taken, 4, TTL_S)
        soon = TTL_S + 1
        self.assertTrue(view.may_send_order(soon, target_checks=True))
        self.assertFalse(view.may_send_order(soon, target_checks=False))
        at = 2 * TTL_S + ORDER_TIMEOUT_S
        renewed = view.next_record(at - 1)
        view.record_written(renewed, 5, at - 1)
        self.assertTrue(view.may_send_order(at, target_checks=False))
