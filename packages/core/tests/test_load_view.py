"""Tests of the load of targets, summed over routers."""

import unittest

from chervilwall.load_view import PEER_TTL_S, LoadView, TargetLoad


class LoadViewTest(unittest.TestCase):
    def setUp(self):
        self.view = LoadView()

    def test_reading_is_worked_off_as_time_passes(self):
        self.view.start("t", work_s=0.4, kv_tokens=10, now=0.0)
        self.view.start("t", work_s=0.2, kv_tokens=10, now=0.0)
        self.assertAlmostEqual(self.view.total("t", 0.0).prefill_s, 0.6)
        # Prefills run one after the other, so only the first has progressed.
        self.assertAlmostEqual(self.view.total("t", 0.3).prefill_s, 0.3)

    def test_a_prompt_that_takes_longer_still_counts(self):
        self.view.start("t", work_s=0.4, kv_tokens=10, now=0.0)
        self.assertGreater(self.view.total("t", 5.0).prefill_s, 0.0)

    def test_the_first_token_ends_reading_and_the_end_all(self):
        number = self.view.start("t", work_s=0.4, kv_tokens=10, now=0.0)
        self.view.record_prefill_done("t", number)
        self.assertEqual(self.view.total("t", 0.0), TargetLoad(1, 0.0, 10))
        self.view.end("t", number, 10)
        self.assertEqual(self.view.total("t", 0.0), TargetLoad())

    def test_peers_are_added_until_they_fall_silent(self):
        self.view.set_peer("p", [("t", TargetLoad(3, 0.1, 30))], 0.0)
        self.assertEqual(self.view.total("t", 1.0).running, 3)
        silent_at = PEER_TTL_S + 0.1
        self.assertEqual(self.view.total("t", silent_at).running, 0)
        self.view.set_peer("p", [], 10.0)
        self.assertEqual(self.view.total("t", 10.0).running, 0)
