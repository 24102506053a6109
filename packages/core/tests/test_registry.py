"""Tests of the registry of targets."""

import unittest

from chervilwall.registry import (
    LAPSE_GRACE_S,
    RegisteredTarget,
    TargetRegistry,
)

T1 = RegisteredTarget("t1", "s", "10.0.0.1:80", "z", 8)
T2 = T1._replace(id="t2")


class TargetRegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = TargetRegistry()
        self.registry.put(T1)
        self.registry.put(T2)

    def ids(self):
        return {t.id for t in self.registry.of_service("s")}

    def test_a_draining_target_takes_no_requests_but_is_known(self):
        self.registry.put(T1._replace(draining=True))
        self.assertEqual(self.ids(), {"t2"})
        self.assertIn("t1", self.registry)

    def test_a_target_that_lapsed_in_an_outage_is_kept_for_a_while(self):
        self.registry.replace_all([T1], 100.0, after_outage=True)
        self.assertEqual(self.ids(), {"t1", "t2"})
        self.registry.expire(100.0 + LAPSE_GRACE_S / 2)
        self.assertEqual(self.ids(), {"t1", "t2"})
        gone = self.registry.expire(100.1 + LAPSE_GRACE_S)
        self.assertEqual(gone, ["t2"])
        self.assertEqual(self.ids(), {"t1"})

    def test_a_target_that_comes_back_is_kept(self):
        self.registry.lapse("t2", 100.0)
        self.registry.put(T2)
        self.assertEqual(self.registry.expire(200.0), [])
        self.assertEqual(self.ids(), {"t1", "t2"})

    def test_a_list_in_quiet_times_is_final(self):
        self.registry.replace_all([T1], 100.0, after_outage=False)
        self.assertEqual(self.ids(), {"t1"})
