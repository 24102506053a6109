"""Tests of the bound on descriptors of callers."""

import unittest

from chervilwall.descriptor_budget import DescriptorBudget


class DescriptorBudgetTest(unittest.TestCase):
    def test_a_reserve_is_left_for_everything_else(self):
        for most in (100, 400, 1638, 10_250):
            with self.subTest(descriptors=most):
                budget = DescriptorBudget(most)
                rest = most - budget.limit - budget.max_idle_targets
                self.assertGreaterEqual(rest, min(200, most // 4))
                self.assertGreater(budget.limit, most // 2)

    def test_a_request_takes_a_second_descriptor(self):
        budget = DescriptorBudget(400)
        self.assertFalse(budget.is_full(budget.limit - 2, 1))
        self.assertTrue(budget.is_full(budget.limit - 2, 2))

    def test_what_other_parts_register_counts(self):
        budget = DescriptorBudget(400)
        budget.register(2)
        self.assertTrue(budget.is_full(budget.limit - 2, 0))
        budget.register(-2)
        self.assertFalse(budget.is_full(budget.limit - 2, 0))

    def test_connections_are_closed_before_none_can_be_accepted(self):
        budget = DescriptorBudget(1638)
        self.assertFalse(budget.is_high(budget.limit * 8 // 10, 0))
        count = budget.limit * 95 // 100
        self.assertTrue(budget.is_high(count, 0))
        self.assertFalse(budget.is_full(count, 0))
        self.assertFalse(budget.is_high(count - budget.surplus(count, 0), 0))

    def test_requests_of_idle_connections_end_within_the_reserve(self):
        budget = DescriptorBudget(400)
        most = max(
            requests
            for requests in range(400)
            if budget.allows_request(budget.limit, requests)
        )
        self.assertGreater(most, 0)
        total = budget.limit + most + budget.max_idle_targets
        self.assertLess(total, 400)
