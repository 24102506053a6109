"""Tests of the selection of targets."""

import unittest
from unittest import mock

from chervilwall.load_view import LoadView, TargetLoad
from chervilwall.placement import (
    Demand,
    Placement,
    PlacementSettings,
    Urgency,
)
from chervilwall.prefill import PrefillModel
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.registry import RegisteredTarget
from chervilwall.request_pacer import RequestPacer
from chervilwall.target_limits import TargetLimits

TARGETS = [
    RegisteredTarget(name, "s", "", "z", 64) for name in ("t1", "t2", "t3")
]
SHARED_PART = PromptPart("session", 5000)
OWN_PART = PromptPart("own", 1000)
LONG_PROMPT = Demand("s", 6000, 300, (SHARED_PART, OWN_PART), "session")
CFG = PlacementSettings()


class PlacementTest(unittest.TestCase):
    def setUp(self):
        self.load = LoadView()
        self.prefixes = PrefixMap()
        self.unusable = set()
        self.limits = TargetLimits()
        self.placement = Placement(
            CFG,
            "z",
            self.load,
            self.prefixes,
            PrefillModel(),
            lambda t: t.id not in self.unusable,
            RequestPacer(self.limits, lambda service: 1.0),
        )

    def choose(self, demand=LONG_PROMPT, slack_s=1.0, **options):
        choice = self.placement.choose(
            demand, TARGETS, 0.0, slack_s=slack_s, **options
        )
        return choice.target.id if choice else None

    def limit(self, *target_ids, per_s=6.0):
        """Lets targets name a limit, with nothing sent to them for long."""
        for target in TARGETS:
            if target.id in target_ids:
                self.limits.record_answer(target.start, per_s, -9.0, -9.0)
        for target in TARGETS:
            self.placement.has_free_capacity([target], -9.0)

    def set_load(self, target_id, prefill_s, running=1):
        self.load.set_peer(
            f"p-{target_id}",
            [(target_id, TargetLoad(running, prefill_s))],
            0.0,
        )

    def test_a_session_goes_where_its_parts_are_cached(self):
        self.prefixes.record("t2", [SHARED_PART], 0.0)
        self.assertEqual(self.choose(), "t2")

    def test_a_new_session_has_one_home_for_all_routers(self):
        other = Placement(
            CFG, "y", LoadView(), PrefixMap(), PrefillModel(), lambda _: True
        )
        choice = other.choose(LONG_PROMPT, TARGETS, 0.0, slack_s=1.0)
        self.assertEqual(choice.target.id, self.choose())

    def test_it_waits_for_its_home_while_that_is_in_time(self):
        self.prefixes.record("t2", [SHARED_PART], 0.0)
        self.set_load("t2", CFG.max_queued_s[0] + 0.05)
        self.assertIsNone(self.choose(slack_s=0.8))

    def test_an_idle_target_takes_it_when_its_home_is_late(self):
        self.prefixes.record("t2", [SHARED_PART], 0.0)
        self.set_load("t2", 0.2)
        self.assertIn(self.choose(slack_s=0.1), ("t1", "t3"))

    def test_a_busy_target_does_not_read_parts_again(self):
        self.prefixes.record("t2", [SHARED_PART], 0.0)
        self.set_load("t2", 0.2)
        for target in ("t1", "t3"):
            self.set_load(target, CFG.idle_queued_s + 0.01)
        self.assertIsNone(self.choose(slack_s=0.1))

    def test_a_full_target_takes_nothing(self):
        for target in TARGETS:
            self.set_load(target.id, 0.0, running=64)
        self.assertIsNone(self.choose())

    def test_less_urgent_requests_leave_room_to_others(self):
        prefill_s = CFG.max_queued_s[Urgency.BEYOND_SHARE] + 0.005
        for target in TARGETS:
            self.set_load(target.id, prefill_s)
        short = Demand("s", 100, 100)
        self.assertIsNotNone(self.choose(short))
        self.assertIsNone(self.choose(short, urgency=Urgency.BEYOND_SHARE))

    def test_tried_and_unhealthy_targets_are_left_out(self):
        self.unusable = {"t1"}
        self.assertEqual(self.choose(excluded={"t2"}), "t3")
        self.unusable = {"t1", "t3"}
        self.assertIsNone(self.choose(excluded={"t2"}))

    def test_limited_targets_get_long_requests_and_the_others_short_ones(self):
        self.limit("t1", "t2")
        self.set_load("t3", 0.03)
        for _ in range(3):
            self.assertEqual(self.choose(Demand("s", 300, 30)), "t3")
            self.assertIn(self.choose(Demand("s", 9000, 300)), ("t1", "t2"))

    def test_a_limited_target_that_must_wait_is_passed_over_while_late(self):
        self.prefixes.record("t1", [SHARED_PART], 0.0)
        self.limits.record_answer(TARGETS[0].start, 2.0, 0.0, 0.0)
        self.assertIn(self.choose(slack_s=0.1), ("t2", "t3"))

    def test_all_limited_targets_may_have_to_wait(self):
        for target in TARGETS:
            self.limits.record_answer(target.start, 2.0, 0.0, 0.0)
        self.assertIsNone(self.choose())
        self.assertIsNone(self.choose(Demand("s")))

    def test_plain_requests_go_to_the_least_loaded_target(self):
        self.set_load("t1", 0.0, running=5)
        self.set_load("t2", 0.0, running=2)
        self.set_load("t3", 0.0, running=9)
        self.assertEqual(self.choose(Demand("s")), "t2")

    def test_an_idle_pacer_is_asked_for_no_target(self):
        # Guards against costs of each placement, about 1 us for each target,
        # while no target names a limit or is cold.
        asked = mock.patch.object(RequestPacer, "wait_s", return_value=0.0)
        for demand in (Demand("s"), LONG_PROMPT):
            with self.subTest(demand), asked as wait_s:
                self.assertIsNotNone(self.choose(demand))
                wait_s.assert_not_called()

    def test_plain_targets_queue_no_more_than_their_limit(self):
        max_running = int(64 * (1 + CFG.plain_queue_fraction))
        for target in TARGETS:
            self.set_load(target.id, 0.0, running=max_running)
        self.assertIsNone(self.choose(Demand("s")))
