"""Tests of target health as derived from the outcomes of requests."""

import random
import unittest

from chervilwall.health import CellHealth


class FailureRatioTest(unittest.TestCase):
    def setUp(self):
        self.health = CellHealth()
        self.health.set_targets({"a", "b", "c", "d"})
        self.rng = random.Random(3)

    def simulate(self, failure_ratios, *, requests=400):
        ejected = set()
        for number in range(requests):
            now = number * 0.01
            for name, failure_ratio in failure_ratios.items():
                if not self.health.is_usable(name, now, 0):
                    continue
                if self.rng.random() < failure_ratio:
                    self.health.record_error(name, now)
                else:
                    self.health.record_success(name, 0.1, now)
            ejected |= set(self.health.ejected(now))
        return ejected

    def test_a_target_that_errs_far_more_than_others_is_taken_out(self):
        ejected = self.simulate({"a": 0.45, "b": 0.02, "c": 0.02, "d": 0.02})
        self.assertEqual(ejected, {"a"})

    def test_errors_that_requests_bring_about_take_out_nobody(self):
        ejected = self.simulate(dict.fromkeys("abcd", 0.14))
        self.assertEqual(ejected, set())

    def test_never_more_than_half_are_out(self):
        failure_ratios = {"a": 0.9, "b": 0.9, "c": 0.9, "d": 0.0}
        self.simulate(failure_ratios)
        self.assertLessEqual(len(self.health.ejected(4.0)), 2)
