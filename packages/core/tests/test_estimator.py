"""Tests of the estimator of request costs."""

import unittest

from chervilwall.estimator import Estimator


class EstimatorTest(unittest.TestCase):
    def test_what_is_learned_replaces_wrong_hints(self):
        estimator = Estimator()
        estimator.record_hint("c", 1000.0)
        estimator.record_hint("c", 10.0)
        self.assertAlmostEqual(estimator.cost("a", "c", 5000.0), 100.0)
        estimator.learn("a", "c", cost=70.0, duration_s=2.0)
        self.assertEqual(estimator.cost("a", "c", 5000.0), 70.0)
        self.assertEqual(estimator.cost("b", "c", 5000.0), 70.0)
        self.assertEqual(estimator.cost_so_far("c", 4.0), 140.0)
