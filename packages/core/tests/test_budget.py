"""Tests of the retry budget."""

import unittest

from chervilwall.budget import RetryBudget


class BudgetTest(unittest.TestCase):
    def test_retries_stay_a_fraction_of_successes(self):
        budget = RetryBudget(ratio=0.1, reserve=3.0)
        spent = 0
        for _ in range(1000):
            budget.succeed()
            spent += budget.spend()
        self.assertLessEqual(spent, 1000 * 0.1 + 3)
