"""Tests of engines that start each request with a fixed delay."""

import random
import unittest

from chervilwall.load_view import LoadView
from chervilwall.placement import Demand, Placement, PlacementSettings
from chervilwall.prefill import PrefillModel, nominal_prefill_s
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.registry import RegisteredTarget
from chervilwall.start_latency import (
    MAX_START_LATENCY_S,
    START_LATENCY_S,
    StartLatency,
)

SERVICE = "chat"
# Lengths of prompts, most of them short.
PROMPT_TOKENS = (100, 300, 600, 600, 1200, 1800, 3000, 6000, 12_000)


def observe_engine(
    model: PrefillModel, delay_s: float, tokens_per_s: float, count: int = 600
) -> None:
    """Feeds a model with the first tokens of an idle engine.

    Args:
        model (PrefillModel): The model.
        delay_s (float): Fixed delay of the engine in seconds.
        tokens_per_s (float): Prefill speed of the engine.
        count (int): Number of requests.
    """
    rng = random.Random(1)
    for number in range(count):
        target = f"t{number % 6}"
        tokens = rng.choice(PROMPT_TOKENS)
        first_token_s = delay_s + tokens / tokens_per_s
        model.observe(
            target,
            model.work_s(target, tokens),
            first_token_s * rng.uniform(0.95, 1.15),
            model.factor(target),
            service=SERVICE,
        )


class StartLatencyTest(unittest.TestCase):
    def test_a_fixed_delay_is_not_taken_for_prefill_time(self):
        # Engines that start each request after 60 ms seemed busy for three
        # times as long as they were, and a flood was refused while they idled.
        model = PrefillModel()
        observe_engine(model, 0.07, 92_000.0)
        true_s = 1200 / 92_000.0
        self.assertLess(model.work_s("t1", 1200), 1.6 * true_s)
        self.assertAlmostEqual(
            model.start_latency.seconds(SERVICE), 0.07, delta=0.015
        )

    def test_a_flood_of_short_prompts_fills_engines_that_start_late(self):
        # 30 prompts that reach six engines at the same moment need 13 ms of
        # prefill each. Without the start latency, 18 of them found no engine.
        model, load = PrefillModel(), LoadView()
        observe_engine(model, 0.07, 92_000.0)
        placement = Placement(
            PlacementSettings(),
            "z",
            load,
            PrefixMap(1_000_000),
            model,
            lambda _: True,
        )
        targets = [
            RegisteredTarget(f"t{n}", SERVICE, f"10.0.0.{n}:80", "z", 16)
            for n in range(6)
        ]
        placed = 0
        for number in range(30):
            demand = Demand(
                SERVICE, 1200, 20, (PromptPart(f"p{number}", 1200),)
            )
            choice = placement.choose(demand, targets, 10.0)
            if choice is not None:
                placed += 1
                load.start(
                    choice.target.id,
                    work_s=choice.prefill_s,
                    kv_tokens=1220,
                    now=10.0,
                )
        self.assertGreaterEqual(placed, 24)

    def test_long_prompts_are_predicted_well_beside_a_fixed_delay(self):
        model = PrefillModel()
        observe_engine(model, 0.07, 92_000.0)
        true_s = 12_000 / 92_000.0
        self.assertAlmostEqual(
            model.work_s("t1", 12_000), true_s, delta=0.35 * true_s
        )

    def test_usual_engines_keep_their_speed(self):
        model = PrefillModel()
        observe_engine(model, START_LATENCY_S, 60_000.0)
        self.assertLess(model.start_latency.excess_s(SERVICE), 0.004)
        self.assertAlmostEqual(
            model.work_s("t1", 6000),
            nominal_prefill_s(6000, 0),
            delta=0.2 * nominal_prefill_s(6000, 0),
        )

    def test_hanging_requests_do_not_raise_the_delay_without_bound(self):
        latency = StartLatency()
        for _ in range(1000):
            latency.observe(SERVICE, 100.0)
        self.assertEqual(latency.seconds(SERVICE), MAX_START_LATENCY_S)

    def test_a_tenth_of_late_answers_hardly_moves_the_delay(self):
        latency = StartLatency()
        for number in range(1000):
            latency.observe(SERVICE, 5.0 if number % 10 == 0 else 0.02)
        self.assertLess(latency.seconds(SERVICE), 0.03)

    def test_services_do_not_share_a_delay(self):
        latency = StartLatency()
        for _ in range(200):
            latency.observe(SERVICE, 0.1)
        self.assertEqual(latency.seconds("other"), START_LATENCY_S)


if __name__ == "__main__":
    unittest.main()
