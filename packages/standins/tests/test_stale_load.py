"""Tests that replay stale load reports into the choice of a target.

45 targets of unequal speed, each of which is slowed to 2.5 times its usual time
with a probability of 0.15, drawn anew every 600 ms.
"""

import unittest

from chervilwall.reported_load import StatedLoad
from chervilwall_standins.lab.slow_engines import (
    SlowEngineSettings,
    SlowEngineSimulation,
)
from chervilwall_standins.lab.stale_load import (
    ProductChooser,
    StaleLoadSettings,
    StaleLoadSimulation,
    make_chooser,
)

SECONDS = 7.0


class ManyRoutersTest(unittest.TestCase):
    """Many routers choose by load reports that are late."""

    def play(self, way="", **options):
        cfg = StaleLoadSettings(seconds=3.0, **options)
        choose = make_chooser(way) if way else ProductChooser(cfg)
        return StaleLoadSimulation(cfg, choose).run()

    def test_their_choices_do_not_coincide(self):
        # If each takes the best, places are idle at one target while requests
        # wait at another.
        for routers, age_s in ((8, 0.05), (75, 0.05), (75, 0.2), (300, 0.2)):
            with self.subTest(routers=routers, age_s=age_s):
                options = {"routers": routers, "age_s": age_s}
                best = self.play("lowest", **options)
                now = self.play(**options)
                self.assertLess(now.idle_places, best.idle_places * 0.6)
                self.assertLess(now.busiest, best.busiest)
                self.assertEqual(now.refused, 0)

    def test_the_scheduler_leaves_no_place_idle(self):
        for seed in (1, 2):
            found = self.play(routers=1, seed=seed)
            self.assertLess(found.idle_places, 0.5)
            self.assertLess(found.busiest, 1.3)

    def test_requests_of_others_leave_no_place_idle(self):
        options = {
            "routers": 1,
            "foreign_fraction": 0.5,
            "rate_per_s": 780.0,
        }
        unknown = self.play("lowest", **options)
        found = self.play(**options)
        self.assertGreater(unknown.idle_places, 5.0)
        self.assertLess(found.idle_places, 0.5)


class SlowEnginesTest(unittest.TestCase):
    """A scheduler places prompts on engines."""

    def simulate(self, **options):
        cfg = SlowEngineSettings(seconds=SECONDS, decode_s=0.25, **options)
        return SlowEngineSimulation(cfg)

    def test_reports_shorten_the_time_to_the_first_token(self):
        for seed in (1, 2):
            with self.subTest(seed=seed):
                before = self.simulate(reports="", seed=seed).run()
                found = self.simulate(seed=seed).run()
                self.assertLess(found.p95_s, 0.6 * before.p95_s)
                self.assertLess(found.idle_engines, 0.5 * before.idle_engines)
                self.assertLess(found.late, 0.002)

    def test_late_reports_are_no_worse_than_none(self):
        before = self.simulate(reports="").run()
        for age_s in (0.2, 0.8):
            found = self.simulate(age_s=age_s).run()
            self.assertLess(found.p95_s, before.p95_s)

    def check_odd_engine(self, statement, *, at_least, at_most):
        """Lets a fast engine state what is not so, and checks its requests.

        The other fast engines get 25 requests a second on average. One that
        looks a little worse than they do gets fewer, as the best is chosen.
        """
        simulation = self.simulate(rate_per_s=800.0)
        engine = simulation._engines["e1"]
        if statement is None:
            simulation._report = _except(simulation._report, "e1")
        else:
            engine.stated = lambda now: statement
        found = simulation.run()
        self.assertEqual(found.refused, 0)
        self.assertGreaterEqual(engine.placed / SECONDS, at_least)
        self.assertLessEqual(engine.placed / SECONDS, at_most)

    def test_one_that_says_full_for_ever_still_gets_requests(self):
        for waiting, at_least in ((0, 4.0), (40, 0.5)):
            self.check_odd_engine(
                StatedLoad(12, waiting, 12), at_least=at_least, at_most=20.0
            )

    def test_one_that_says_idle_draws_no_more_than_others(self):
        self.check_odd_engine(StatedLoad(0, 0, 12), at_least=5.0, at_most=30.0)

    def test_one_that_says_slow_for_ever_still_gets_requests(self):
        self.check_odd_engine(
            StatedLoad(4, 0, 12, 2.5), at_least=1.0, at_most=30.0
        )

    def test_one_that_says_it_is_fast_does_not_draw_all(self):
        # Nor does it lose all once the model makes up for what it says.
        self.check_odd_engine(
            StatedLoad(0, 0, 12, 0.01), at_least=5.0, at_most=40.0
        )

    def test_one_that_says_nothing_keeps_its_share(self):
        self.check_odd_engine(None, at_least=5.0, at_most=35.0)


def _except(report, target_id):
    """Returns a report function that omits one engine."""

    def report_others(engine, now):
        if engine.target.id != target_id:
            report(engine, now)

    return report_others
