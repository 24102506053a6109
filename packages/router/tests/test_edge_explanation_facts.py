"""Tests of what an explanation says of cold targets and their load."""

import unittest

from chervilwall.cold_targets import ColdTargets
from chervilwall.registry import RegisteredTarget
from chervilwall.reported_load import ReportedLoad, StatedLoad
from chervilwall.routing import Service
from chervilwall_router.edge.explanation_facts import ColdFacts, LoadFacts

TARGET = RegisteredTarget("t", "svc", "a:1", "z", 8, born_ms=5)


class ExplanationFactsTest(unittest.TestCase):
    def test_a_cold_target_shows_its_remaining_time(self):
        # Without it, an operator cannot tell why an idle target is passed by.
        cold = ColdTargets(True)
        service = Service("svc", cold_time_s=3.0, cold_rate_per_s=9.3)
        cold.configure({"svc": service}, 100.0)
        facts = ColdFacts(cold)
        self.assertEqual(facts.describe(TARGET, 100.0), {})
        cold.record_unreachable(TARGET, 100.0)
        self.assertEqual(facts.describe(TARGET, 101.0), {"cold_s": 2.0})

    def test_a_report_shows_slowdown_and_age(self):
        reported = ReportedLoad()
        facts = LoadFacts(reported)
        self.assertEqual(facts.describe(TARGET, 100.0), {})
        reported.record(TARGET.start, StatedLoad(3, 2, 8, 2.5), 100.0)
        shown = facts.describe(TARGET, 100.02)
        self.assertEqual(shown["waiting_there"], 2)
        self.assertAlmostEqual(shown["report_age_s"], 0.02, delta=0.011)
        self.assertGreater(shown["slowdown"], 2.0)


if __name__ == "__main__":
    unittest.main()
