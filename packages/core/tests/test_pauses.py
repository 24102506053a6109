"""Tests of pauses requested by targets."""

import unittest

from chervilwall.pauses import MAX_PAUSE_S, TargetPauses


class TargetPausesTest(unittest.TestCase):
    def test_a_pause_lasts_as_long_as_was_asked_for(self):
        pauses = TargetPauses()
        pauses.record("t1", 2.0, 10.0)
        self.assertEqual(pauses.paused(11.9), {"t1"})
        self.assertEqual(pauses.paused(12.0), frozenset())

    def test_a_shorter_one_does_not_end_a_longer_one(self):
        pauses = TargetPauses()
        pauses.record("t1", 5.0, 10.0)
        pauses.record("t1", 1.0, 11.0)
        self.assertEqual(pauses.paused(14.9), {"t1"})

    def test_none_lasts_without_end(self):
        pauses = TargetPauses()
        pauses.record("t1", 1e9, 10.0)
        self.assertEqual(pauses.paused(10.1 + MAX_PAUSE_S), frozenset())

    def test_the_first_end_is_told(self):
        pauses = TargetPauses()
        pauses.record("t1", 3.0, 10.0)
        pauses.record("t2", 1.0, 10.0)
        self.assertEqual(pauses.remaining_s(("t1", "t2"), 10.5), 0.5)
        self.assertEqual(pauses.remaining_s((), 10.5), 0.0)

    def test_a_target_that_ended_is_forgotten(self):
        pauses = TargetPauses()
        pauses.record("t1", 3.0, 10.0)
        pauses.forget("t1")
        self.assertEqual(pauses.paused(10.1), frozenset())
