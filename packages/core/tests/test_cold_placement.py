"""Tests of the placement of requests while some targets are cold."""

import unittest

from chervilwall.cold_rates import ColdRates, ColdSettings
from chervilwall.cold_targets import ColdTargets
from chervilwall.load_view import LoadView, TargetLoad
from chervilwall.placement import Demand, Placement, PlacementSettings
from chervilwall.prefill import PrefillModel
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.registry import RegisteredTarget
from chervilwall.request_pacer import RequestPacer, RequestSpacing
from chervilwall.routing import Service
from chervilwall.target_limits import TargetLimits

COLD = [
    RegisteredTarget(f"c{n}", "s", "", "z", 64, warmup_s=60.0) for n in range(3)
]
WARM = [RegisteredTarget(f"w{n}", "s", "", "z", 64) for n in range(2)]
TARGETS = [*COLD, *WARM]


def make_demand(session):
    parts = (PromptPart(session, 5000), PromptPart(f"own-{session}", 1000))
    return Demand("s", 6000, 300, parts, session)


class ColdPlacementTest(unittest.TestCase):
    def setUp(self):
        self.load, self.prefixes = LoadView(), PrefixMap()
        cold = ColdTargets(True)
        cold.configure({"s": Service("s", cold_rate_per_s=9.3)}, 0.0)
        cold.record_registrations({t.id: t for t in TARGETS}, 0.0)
        settings = ColdSettings(rate_factor=1.5, slack=5.0)
        rates = ColdRates(cold, settings, lambda service: 1.0)
        self.pacer = RequestPacer(
            TargetLimits(), lambda service: 1.0, [RequestSpacing(rates)]
        )
        self.placement = Placement(
            PlacementSettings(),
            "z",
            self.load,
            self.prefixes,
            PrefillModel(),
            lambda target: True,
            self.pacer,
        )

    def place(self, session, now, targets=TARGETS):
        """Places a request; returns the id of its target, None to wait."""
        choice = self.placement.choose(
            make_demand(session), targets, now, slack_s=1.0
        )
        if choice is None:
            return None
        self.pacer.record_sent(choice.target, now)
        return choice.target.id

    def begin(self):
        """Lets the first interval of the pacer pass."""
        self.placement.has_free_capacity(TARGETS, 0.0)
        for target in TARGETS:
            self.pacer.wait_s(target, 0.0)

    def test_sessions_do_not_return_to_cold_targets_at_once(self):
        # Guards against a wave of all sessions whose homes, or whose cached
        # prompt parts, are at the targets of a returning zone.
        self.begin()
        for number in range(30):
            session = f"s{number}"
            part = PromptPart(session, 5000)
            self.prefixes.record(f"c{number % 3}", [part], 0.5)
        placed = [self.place(f"s{number}", 0.5) for number in range(30)]
        # Each cold target may be sent one now. The others wait for none of
        # them, so that they do not keep back the requests behind them.
        for target in COLD:
            self.assertLessEqual(placed.count(target.id), 1)
        self.assertNotIn(None, placed)

    def test_new_sessions_prefer_targets_that_are_warm(self):
        self.begin()
        placed = [self.place(f"s{number}", 0.5) for number in range(30)]
        warm = sum(placed.count(target.id) for target in WARM)
        self.assertGreaterEqual(warm, 27)

    def test_cold_targets_take_what_the_others_cannot(self):
        self.begin()
        for target in WARM:
            self.load.set_peer(
                target.id, [(target.id, TargetLoad(1, 2.0))], 0.5
            )
        placed = [self.place(f"s{number}", 0.5) for number in range(3)]
        self.assertEqual(set(placed), {target.id for target in COLD})

    def test_requests_wait_while_all_targets_are_cold(self):
        self.begin()
        placed = [self.place(f"s{n}", 0.5, COLD) for n in range(6)]
        self.assertEqual(placed.count(None), 3)


if __name__ == "__main__":
    unittest.main()
