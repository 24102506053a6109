"""Tests of learned costs."""

import unittest

from chervilwall.estimator import Estimator


class EstimatorTest(unittest.TestCase):
    def test_what_is_learned_replaces_wrong_hints(self):
        made = Estimator()
        made.note_hint("c", 1000.0)
        made.note_hint("c", 10.0)
        self.assertAlmostEqual(made.cost("a", "c", 5000.0), 100.0)
        made.learn("a", "c", cost=70.0, duration_s=2.0)
        self.assertEqual(made.cost("a", "c", 5000.0), 70.0)
        self.assertEqual(made.cost("b", "c", 5000.0), 70.0)
        self.assertEqual(made.cost_so_far("c", 4.0), 140.0)
