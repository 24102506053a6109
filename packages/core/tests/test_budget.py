"""Tests of the retry budgets."""

import unittest

from chervilwall.retry_budget import RetryBudget, RetryWindow


class BudgetTest(unittest.TestCase):
    def test_retries_stay_a_fraction_of_successes(self):
        budget = RetryBudget(ratio=0.1, reserve=3.0)
        spent = 0
        for _ in range(1000):
            budget.record_success()
            spent += budget.try_spend()
        self.assertLessEqual(spent, 1000 * 0.1 + 3)


class RetryWindowTest(unittest.TestCase):
    def test_the_whole_fleet_keeps_the_bound_in_every_window(self):
        routers = [RetryWindow(0.2, 10.0, 56.0) for _ in range(8)]
        retries, requests = [], []
        for tick in range(4000):
            now = tick * 0.01
            window = routers[tick % 8]
            if tick % 3 == 0:
                window.record_request(now)
                requests.append(now)
            if window.spend(now, 8):
                retries.append(now)
            recent_retries = sum(now - at <= 10.0 for at in retries)
            recent_requests = sum(now - at <= 10.0 for at in requests)
            self.assertLessEqual(recent_retries, 0.2 * recent_requests + 56.0)
        self.assertGreater(len(retries), 0.2 * len(requests))

    def test_a_lone_request_may_be_retried(self):
        window = RetryWindow(0.2, 10.0, 56.0)
        window.record_request(0.0)
        self.assertTrue(window.allows_retry(0.1, 8))
        self.assertTrue(window.spend(0.1, 8))

    def test_asking_spends_nothing(self):
        window = RetryWindow(0.0, 10.0, 10.0)
        for _ in range(100):
            self.assertTrue(window.allows_retry(0.0, 6))
        self.assertTrue(window.spend(0.0, 6))
        self.assertFalse(window.allows_retry(0.0, 6))
