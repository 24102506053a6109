"""Tests of placement by the load that targets report."""

import random
import unittest
from collections import Counter

from chervilwall.load_choice import ReportUse
from chervilwall.load_view import LoadView, TargetLoad
from chervilwall.placement import Demand, Placement, PlacementSettings
from chervilwall.prefill import PrefillModel
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.registry import RegisteredTarget
from chervilwall.reported_load import (
    MAX_AGE_S,
    PassedLoad,
    ReportedLoad,
    StatedLoad,
)
from chervilwall.start_latency import START_LATENCY_S

TARGETS = [
    RegisteredTarget(f"t{n}", "s", f"10.0.0.{n}:80", "z", 12) for n in range(6)
]
PLAIN = Demand("s")
PROMPT = Demand("s", 2000, 50, (PromptPart("own", 2000),))


class _NoRandom(random.Random):
    """Source of random numbers that must not be used."""

    def random(self):
        raise AssertionError("a random number was drawn")

    def getrandbits(self, k):
        raise AssertionError("random bits were drawn")


class LoadChoiceTest(unittest.TestCase):
    def setUp(self):
        self.choosers = 1
        self.make(random.Random(1))

    def make(self, rng):
        self.load = LoadView()
        self.model = PrefillModel()
        self.reported = ReportedLoad(
            lambda target_id, now: self.load.total(target_id, now).running
        )
        self.placement = Placement(
            PlacementSettings(),
            "z",
            self.load,
            PrefixMap(),
            self.model,
            lambda target: True,
            reports=ReportUse(
                self.reported, lambda service: self.choosers, rng
            ),
        )

    def choose(self, demand, now=10.0, slack_s=1.0):
        return self.placement.choose(demand, TARGETS, now, slack_s=slack_s)

    def state(self, target, now=10.0, running=0, waiting=0, slowdown=1.0):
        stated = StatedLoad(running, waiting, 12, slowdown)
        self.reported.record(target.start, stated, now)

    def set_running(self, *counts, now=10.0):
        loads = [
            (target.id, TargetLoad(count))
            for target, count in zip(TARGETS, counts, strict=False)
        ]
        self.load.set_peer("p", loads, now)

    def test_a_slowed_target_is_chosen_last_while_the_report_is_fresh(self):
        for demand in (PLAIN, PROMPT):
            self.make(random.Random(1))
            for target in TARGETS[:-1]:
                self.state(target, slowdown=2.5)
            self.assertEqual(self.choose(demand).target, TARGETS[-1])
            self.assertEqual(self.choose(demand, 10.7).target, TARGETS[0])

    def test_a_slowdown_scales_the_predicted_times(self):
        normal = self.choose(PROMPT)
        for target in TARGETS:
            self.state(target, slowdown=2.5)
        slow = self.choose(PROMPT)
        self.assertAlmostEqual(slow.prefill_s, 2.5 * normal.prefill_s)
        self.assertAlmostEqual(slow.first_token_s, 2.5 * normal.first_token_s)
        self.assertEqual((slow.factor, slow.slowdown), (1.0, 2.5))

    def test_the_age_of_the_report_is_known(self):
        self.assertIsNone(self.choose(PLAIN).load_age_s)
        self.state(TARGETS[0])
        self.assertAlmostEqual(self.choose(PLAIN, 10.03).load_age_s, 0.03)

    def test_requests_of_others_count(self):
        self.set_running(*[3] * 6)
        self.state(TARGETS[0], running=8)
        for target in TARGETS[1:]:
            self.state(target, running=3)
        self.assertEqual(self.choose(PLAIN).target, TARGETS[1])
        self.assertEqual(self.choose(PROMPT).target, TARGETS[0])
        self.state(TARGETS[0], now=11.0, running=8, waiting=4)
        self.set_running(*[3] * 6, now=11.0)
        self.assertEqual(self.choose(PROMPT, 11.0).target, TARGETS[1])

    def test_reported_load_below_the_known_one_does_not_attract(self):
        # Requests may be on their way, or the target may lie.
        self.set_running(8, 4, 4, 4, 4, 4)
        self.state(TARGETS[0], running=0)
        self.assertEqual(self.choose(PLAIN).target, TARGETS[1])

    def test_a_report_alone_makes_no_target_full_for_a_scheduler(self):
        for target in TARGETS:
            self.state(target, running=12, waiting=500)
        for demand in (PLAIN, PROMPT):
            self.assertIsNotNone(self.choose(demand))

    def test_a_request_does_not_wait_for_a_slot_while_another_is_free(self):
        self.set_running(10, 0, 0, 0, 0, 0)
        self.assertIsNone(self.choose(PROMPT))
        for target in TARGETS:
            self.state(target, running=10 if target is TARGETS[0] else 0)
        self.assertEqual(self.choose(PROMPT).target, TARGETS[1])

    def test_without_reports_all_is_as_before(self):
        self.make(_NoRandom())
        before = Placement(
            PlacementSettings(),
            "z",
            self.load,
            PrefixMap(),
            self.model,
            lambda target: True,
        )
        rng = random.Random(4)
        for self.choosers in (1, 75):
            for step in range(300):
                now = 10.0 + step / 10
                self.set_running(*(rng.randrange(20) for _ in TARGETS), now=now)
                for demand in (PLAIN, PROMPT):
                    self.assertEqual(
                        self.choose(demand, now),
                        before.choose(demand, TARGETS, now, slack_s=1.0),
                    )

    def test_reports_of_another_service_change_nothing(self):
        self.make(_NoRandom())
        self.choosers = 75
        other = RegisteredTarget("o", "other", "10.1.0.1:80", "z", 12)
        self.state(other, running=12, slowdown=2.5)
        self.set_running(3, 2, 1, 3, 3, 3)
        self.assertEqual(self.choose(PLAIN).target, TARGETS[2])

    def test_a_scheduler_chooses_without_chance(self):
        self.make(_NoRandom())
        for target in TARGETS:
            self.state(target)
        self.assertEqual(self.choose(PLAIN).target, TARGETS[0])

    def test_routers_that_choose_by_themselves_do_not_coincide(self):
        self.choosers = 75
        for target in TARGETS:
            self.state(target)
        found = Counter(self.choose(PLAIN).target.id for _ in range(600))
        self.assertEqual(len(found), 6)
        self.assertLess(max(found.values()), 250)
        # The busiest of two is never taken.
        self.set_running(9, 1, 1, 1, 1, 1)
        found = Counter(self.choose(PLAIN).target.id for _ in range(600))
        self.assertNotIn("t0", found)

    def test_the_random_choice_can_be_replayed(self):
        self.choosers = 75
        runs = []
        for _ in range(2):
            self.make(random.Random(9))
            for target in TARGETS:
                self.state(target)
            runs.append([self.choose(PLAIN).target.id for _ in range(50)])
        self.assertEqual(*runs)


class OddTargetsTest(unittest.TestCase):
    """One of six targets reports what is not so, for 20 s.

    Each request takes a fixed time; reports are 40 ms old.
    """

    def play(self, statement, *, choosers=1, work_s=0.1, odd_work_s=0.1):
        """Returns the requests by target, and those that found none.

        Args:
            statement (Callable): Returns what the odd target states, given its
                running requests, or None for nothing.
            choosers (int): Routers that choose, of which one is replayed.
            work_s (float): Duration of a request.
            odd_work_s (float): Duration of one on the odd target.
        """
        load = LoadView()
        reported = ReportedLoad(
            lambda target_id, now: load.total(target_id, now).running
        )
        placement = Placement(
            PlacementSettings(),
            "z",
            load,
            PrefixMap(),
            PrefillModel(),
            lambda target: True,
            reports=ReportUse(
                reported, lambda service: choosers, random.Random(3)
            ),
        )
        rng, now = random.Random(5), 0.0
        running, placed, failed = [], Counter(), 0
        while now < 20.0:
            now += rng.expovariate(360.0)
            for item in [x for x in running if x[0] <= now]:
                running.remove(item)
                _, target, number = item
                load.end(target.id, number, 0)
                count = load.total(target.id, now).running
                stated = StatedLoad(count, 0, 12)
                if target is TARGETS[0]:
                    stated = statement(count)
                if stated is not None:
                    percent = round(stated.slowdown * 100)
                    passed = PassedLoad(*stated[:3], percent, 40)
                    reported.record_passed(target.start, passed, now)
            choice = placement.choose(PLAIN, TARGETS, now)
            if choice is None:
                failed += 1
                continue
            target = choice.target
            placed[target.id] += 1
            number = load.start(target.id, work_s=0.0, kv_tokens=0, now=now)
            mean_s = odd_work_s if target is TARGETS[0] else work_s
            end_at = now + mean_s * rng.uniform(0.5, 1.5)
            running.append((end_at, target, number))
        return placed, failed

    def check_share(self, placed, low, high):
        mean = sum(placed.values()) / len(TARGETS)
        self.assertGreater(placed["t0"], low * mean)
        self.assertLess(placed["t0"], high * mean)

    def test_one_that_says_full_for_ever_still_gets_requests(self):
        for choosers in (1, 75):
            placed, failed = self.play(
                lambda count: StatedLoad(12, 30, 12), choosers=choosers
            )
            self.assertEqual(failed, 0)
            self.check_share(placed, 0.02, 1.0)

    def test_one_that_says_idle_and_is_slow_does_not_draw_all(self):
        for choosers in (1, 75):
            placed, failed = self.play(
                lambda count: StatedLoad(0, 0, 12),
                choosers=choosers,
                odd_work_s=0.4,
            )
            self.assertEqual(failed, 0)
            self.check_share(placed, 0.1, 0.8)

    def test_one_that_says_nothing_keeps_its_share(self):
        for choosers in (1, 75):
            placed, _ = self.play(lambda count: None, choosers=choosers)
            self.check_share(placed, 0.7, 1.4)

    def test_one_that_says_it_is_fast_is_bounded(self):
        placed, failed = self.play(lambda count: StatedLoad(0, 0, 12, 0.01))
        self.assertEqual(failed, 0)
        # Four times the load of the others at the most.
        self.check_share(placed, 0.9, 4.0)
        self.assertGreater(min(placed.values()), 100)

    def test_a_model_makes_up_for_a_slowdown_that_is_always_wrong(self):
        model = PrefillModel()
        for _ in range(600):
            # It states 2.5 and is not slow.
            predicted_s = 2.5 * model.work_s("t", 6000)
            observed_s = 0.1 + START_LATENCY_S
            model.observe("t", predicted_s, observed_s, model.factor("t"), 1.0)
        self.assertAlmostEqual(2.5 * model.work_s("t", 6000), 0.1, delta=0.01)

    def test_reports_end_when_a_target_is_no_longer_heard(self):
        reported = ReportedLoad()
        reported.record(TARGETS[0].start, StatedLoad(12, 9, 12, 8.0), 0.0)
        self.assertEqual(dict(reported.current(MAX_AGE_S + 0.1)), {})
