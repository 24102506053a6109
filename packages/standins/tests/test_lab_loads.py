"""Tests that replay overloads into the decisions, in virtual time.

Each class names the load that a decision is made for.
"""

import asyncio
import unittest

from chervilwall_standins.lab.engine import EngineSettings
from chervilwall_standins.lab.fleet import Simulation, SimulationSettings
from chervilwall_standins.lab.load import LoadSettings
from chervilwall_standins.lab.virtual_time import run

SECONDS = 12.0


class FloodTest(unittest.TestCase):
    """One team sends eight times its usual traffic in the middle third."""

    def play(self, seed):
        load = LoadSettings(seconds=SECONDS, flood_factor=8.0, seed=seed)
        simulation = Simulation(SimulationSettings(load=load))
        run(simulation.run_load())
        return [
            o
            for o in simulation.outcomes
            if o.call.team == "team1"
            and SECONDS / 3 < o.call.at < 2 * SECONDS / 3
        ]

    def test_a_teams_share_is_spent_on_requests_that_are_in_time(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                served = [o for o in self.play(seed) if o.first_s is not None]
                late = [o for o in served if o.first_s > o.call.cls.objective_s]
                self.assertLess(len(late), len(served) / 5)


class LostEnginesTest(unittest.TestCase):
    """A team floods engines that do a fifth of the configured capacity."""

    def test_the_other_teams_are_served_in_time(self):
        for seed in (1, 2, 3, 4):
            load = LoadSettings(
                seconds=SECONDS, rate_factor=0.7, flood_factor=8.0, seed=seed
            )
            simulation = Simulation(
                SimulationSettings(
                    load=load, engines=3, capacity_tokens_per_s=600_000.0
                )
            )
            run(simulation.run_load())
            others = [
                o
                for o in simulation.outcomes
                if o.call.team != "team1"
                and SECONDS / 3 < o.call.at < 2 * SECONDS / 3
            ]
            in_time = [
                o
                for o in others
                if o.first_s is not None and o.first_s <= o.call.cls.objective_s
            ]
            with self.subTest(seed=seed):
                self.assertGreater(len(in_time), 0.75 * len(others))


class RecurringSessionsTest(unittest.TestCase):
    """Prompts with shared parts recur at engines that evict all the time."""

    async def count_parts(self, seed):
        """Returns the shared parts that engines hold, and those unknown.

        The unknown ones are those that the router takes for evicted.
        """
        simulation = Simulation(
            SimulationSettings(
                load=LoadSettings(seconds=SECONDS, rate_factor=0.8, seed=seed),
                engine=EngineSettings(kv_tokens=232_000),
            )
        )
        task = asyncio.ensure_future(simulation.run_load())
        await asyncio.sleep(SECONDS - 1.0)
        held, unknown = 0, 0
        now = asyncio.get_running_loop().time()
        for name, engine in simulation.engines.items():
            for part in engine.shared_parts():
                cached = simulation.prefixes.cached_by_target((part,), now)
                held += 1
                unknown += name not in cached
        await task
        return held, unknown

    def test_what_engines_hold_is_not_taken_for_evicted(self):
        for seed in (1, 2, 3):
            with self.subTest(seed=seed):
                held, unknown = run(self.count_parts(seed))
                self.assertGreater(held, 100)
                self.assertLess(unknown, held / 20)
