"""Tests of the record of the load that targets report."""

import unittest

from chervilwall.registry import RegisteredTarget
from chervilwall.reported_load import (
    MAX_AGE_S,
    MAX_PASSED_AGE_S,
    MAX_REPORTED_REQUESTS,
    MAX_SLOWDOWN,
    MIN_SLOWDOWN,
    SLOWDOWN_MEMORY_S,
    PassedLoad,
    ReportedLoad,
    StatedLoad,
)

TARGET = RegisteredTarget("t1", "s", "10.0.0.1:80", "z", 12, born_ms=5)
SLOW = StatedLoad(4, 0, 12, 2.5)


class ReportedLoadTest(unittest.TestCase):
    def setUp(self):
        self.known = 4
        self.reported = ReportedLoad(lambda target_id, now: self.known)

    def passed(self, age_s, slowdown_percent=250, running=4):
        return PassedLoad(running, 0, 12, slowdown_percent, int(age_s * 1000))

    def test_a_slowdown_loses_its_weight_until_it_was_drawn_anew(self):
        self.reported.record(TARGET.start, SLOW, 10.0)
        found = [
            self.reported.of(TARGET, 10.0 + age_s).slowdown
            for age_s in (0.0, 0.3, SLOWDOWN_MEMORY_S + 0.01, 2.0)
        ]
        self.assertEqual(found[0], 2.5)
        self.assertAlmostEqual(found[1], 1.75)
        self.assertEqual(found[2:], [1.0, 1.0])

    def test_old_reports_are_not_used(self):
        # Otherwise a target that is avoided would not be tried again.
        self.reported.record(TARGET.start, StatedLoad(12, 9, 12, 2.5), 10.0)
        self.assertGreater(self.reported.of(TARGET, 10.0).surplus, 10)
        self.assertIsNone(self.reported.of(TARGET, 10.1 + MAX_AGE_S))
        late = self.passed(MAX_AGE_S + 1)
        self.assertFalse(self.reported.record_passed(TARGET.start, late, 20.0))

    def test_the_newest_report_counts_in_whatever_order_they_arrive(self):
        self.reported.record(TARGET.start, SLOW, 10.0)
        older = self.passed(0.1, slowdown_percent=100)
        self.assertFalse(
            self.reported.record_passed(TARGET.start, older, 10.05)
        )
        self.assertEqual(self.reported.of(TARGET, 10.0).slowdown, 2.5)
        newer = self.passed(0.02, slowdown_percent=100)
        self.assertTrue(self.reported.record_passed(TARGET.start, newer, 10.05))
        self.assertEqual(self.reported.of(TARGET, 10.05).slowdown, 1.0)

    def test_reports_of_another_start_do_not_count(self):
        restarted = TARGET._replace(born_ms=9)
        self.reported.record(TARGET.start, SLOW, 10.0)
        self.assertIsNone(self.reported.of(restarted, 10.0))
        moved = TARGET._replace(address="10.0.0.9:80")
        self.assertIsNone(self.reported.of(moved, 10.0))
        self.reported.record(restarted.start, SLOW, 10.0)
        self.assertEqual(self.reported.of(restarted, 10.0).slowdown, 2.5)
        # One of the earlier start that arrives late.
        self.assertFalse(self.reported.record(TARGET.start, SLOW, 10.1))
        self.assertEqual(self.reported.of(restarted, 10.1).start.born_ms, 9)

    def test_requests_that_the_fleet_knows_are_no_surplus(self):
        for running in (0, 4):
            self.reported.forget(TARGET.id)
            self.reported.record(TARGET.start, StatedLoad(running, 0, 12), 10.0)
            self.assertEqual(self.reported.of(TARGET, 10.0).surplus, 0.0)
        self.reported.forget(TARGET.id)
        self.reported.record(TARGET.start, StatedLoad(8, 3, 12), 10.0)
        self.assertEqual(self.reported.of(TARGET, 10.0).surplus, 7.0)

    def test_a_surplus_is_averaged_over_reports(self):
        # A request on its way must not look like one of others.
        for number in range(20):
            stated = StatedLoad(6 if number == 10 else 4, 0, 12)
            self.reported.record(TARGET.start, stated, 10.0 + number * 0.05)
            now = 10.0 + number * 0.05
            self.assertEqual(self.reported.of(TARGET, now).surplus, 0.0)

    def test_a_surplus_is_compared_only_with_requests_of_that_time(self):
        self.reported.record_passed(
            TARGET.start, self.passed(0.5, running=12), 10.0
        )
        self.assertEqual(self.reported.of(TARGET, 10.0).surplus, 0.0)

    def test_impossible_values_are_ignored_or_clamped(self):
        for stated in (
            StatedLoad(-1, 0, 12),
            StatedLoad(0, -1, 12),
            StatedLoad(0, 0, -1),
            StatedLoad(MAX_REPORTED_REQUESTS + 1, 0, 12),
            StatedLoad(0, 2**31 - 1, 12),
            StatedLoad(0, 0, 12, 0.0),
            StatedLoad(0, 0, 12, float("nan")),
        ):
            with self.subTest(stated):
                self.assertFalse(
                    self.reported.record(TARGET.start, stated, 10.0)
                )
        self.assertTrue(self.reported.is_empty)
        for slowdown, used in ((9e5, MAX_SLOWDOWN), (0.01, MIN_SLOWDOWN)):
            self.reported.forget(TARGET.id)
            stated = StatedLoad(0, 0, 12, slowdown)
            self.reported.record(TARGET.start, stated, 10.0)
            self.assertEqual(self.reported.of(TARGET, 10.0).slowdown, used)

    def test_a_report_is_passed_on_once(self):
        self.reported.record(TARGET.start, SLOW, 10.0)
        self.assertEqual(
            self.reported.take_unpassed(TARGET, 10.04),
            PassedLoad(4, 0, 12, 250, 40),
        )
        self.assertIsNone(self.reported.take_unpassed(TARGET, 10.05))
        self.reported.record(TARGET.start, SLOW, 10.1)
        late = 10.2 + MAX_PASSED_AGE_S
        self.assertIsNone(self.reported.take_unpassed(TARGET, late))
        self.reported.record_passed(TARGET.start, self.passed(0.0), 20.0)
        self.assertIsNone(self.reported.take_unpassed(TARGET, 20.0))

    def test_a_target_that_ended_is_forgotten(self):
        self.reported.record(TARGET.start, SLOW, 10.0)
        self.reported.forget(TARGET.id)
        self.assertTrue(self.reported.is_empty)
        self.assertIsNone(self.reported.of(TARGET, 10.0))
        self.assertIsNone(self.reported.take_unpassed(TARGET, 10.0))

    def test_values_are_computed_for_all_targets_only_now_and_then(self):
        # A scheduler places 900 requests/s over 70 targets.
        self.reported.record(TARGET.start, SLOW, 10.0)
        first = self.reported.current(10.02)
        self.assertIs(self.reported.current(10.021), first)
        self.assertIsNot(self.reported.current(10.04), first)
