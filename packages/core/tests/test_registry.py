"""Tests of the registry of targets."""

import unittest

from chervilwall.registry import (
    RegisteredTarget,
    TargetRegistry,
    TargetStart,
)

T1 = RegisteredTarget("t1", "s", "10.0.0.1:80", "z", 8)
T2 = T1._replace(id="t2")


class TargetRegistryTest(unittest.TestCase):
    def setUp(self):
        self.registry = TargetRegistry()
        self.registry.put(T1)
        self.registry.put(T2)

    def ids(self):
        return {t.id for t in self.registry.serving_targets("s")}

    def test_a_draining_target_takes_no_requests_but_is_known(self):
        self.registry.put(T1._replace(draining=True))
        self.assertEqual(self.ids(), {"t2"})
        self.assertIn("t1", self.registry)

    def test_a_target_that_lapsed_in_an_outage_is_kept_for_a_while(self):
        self.registry.lapse("t2", 102.0)
        self.assertEqual(self.registry.expire(101.9), [])
        self.assertEqual(self.ids(), {"t1", "t2"})
        self.assertEqual(self.registry.expire(102.1), ["t2"])
        self.assertEqual(self.ids(), {"t1"})

    def test_a_second_lapse_does_not_prolong_the_first(self):
        self.registry.lapse("t2", 102.0)
        self.registry.lapse("t2", 110.0)
        self.assertEqual(self.registry.expire(102.1), ["t2"])

    def test_a_target_that_comes_back_is_kept(self):
        self.registry.lapse("t2", 102.0)
        self.registry.put(T2)
        self.assertEqual(self.registry.expire(200.0), [])
        self.assertEqual(self.ids(), {"t1", "t2"})

    def test_a_removed_target_is_gone_at_once(self):
        self.assertTrue(self.registry.remove("t2"))
        self.assertEqual(self.ids(), {"t1"})

    def test_a_target_that_says_it_leaves_takes_no_requests(self):
        leaving = TargetStart("t1", T1.born_ms, T1.address)
        self.assertTrue(self.registry.record_leaving(leaving, 1.0))
        self.assertFalse(self.registry.record_leaving(leaving, 1.1))
        self.assertEqual(self.ids(), {"t2"})
        self.registry.put(T1._replace(slots=9))
        self.assertEqual(self.ids(), {"t2"})

    def test_the_mark_outlasts_its_registration(self):
        leaving = TargetStart("t1", T1.born_ms, T1.address)
        self.registry.remove("t1")
        self.registry.record_leaving(leaving, 1.0)
        self.registry.put(T1)
        self.assertEqual(self.ids(), {"t2"})

    def test_the_next_start_is_not_marked(self):
        leaving = TargetStart("t1", T1.born_ms, T1.address)
        self.registry.record_leaving(leaving, 1.0)
        self.registry.put(T1._replace(born_ms=7))
        self.assertEqual(self.ids(), {"t1", "t2"})

    def test_peers_are_told_for_a_while(self):
        leaving = TargetStart("t1", 0, T1.address)
        self.registry.record_leaving(leaving, 1.0)
        self.assertEqual(self.registry.recently_leaving(1.5), (leaving,))
        self.assertEqual(self.registry.recently_leaving(9.0), ())
