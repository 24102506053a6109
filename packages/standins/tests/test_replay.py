"""Replays of the stored traces, checked against traces/OUTCOMES.json.

The bounds of docs/FAIRNESS.md on the fairness gap and on starvation are checked
too.
"""

import json
import unittest

from chervilwall_standins.measure import TRACES, replay_all, summarise
from chervilwall_standins.replay import ReplayOutcome
from chervilwall_standins.trace import Trace, read_trace

UPPER_BOUNDS = (
    "fairness_gap_ratio_to_oracle",
    "fairness_gap_ratio_to_best_baseline",
    "control_bytes_per_request",
)


def largest_charge(trace: Trace) -> float:
    """Returns the largest cost or estimate, called M in docs/FAIRNESS.md."""
    return max(max(trace.cost(r), r.hint) for r in trace.requests)


def gap_bound(trace: Trace) -> float:
    """Returns the bound on the fairness gap from docs/FAIRNESS.md.

    It is that of the two teams with the smallest shares, the largest of all
    pairs.
    """
    shares = sorted(share for _, share in trace.heading.teams)
    slots = max(s.targets * s.slots for s in trace.heading.services)
    charge = largest_charge(trace)
    if trace.heading.measure == "worth":
        charge = max(c.worth for c in trace.heading.classes)
    return 2 * charge * (slots + 1) * (1 / shares[0] + 1 / shares[1])


def starvation_bound_s(trace: Trace) -> float:
    """Returns the bound on a team's time without a start, in seconds.

    From docs/FAIRNESS.md, with one target of each service failed.
    """
    shares = [share for _, share in trace.heading.teams]
    bounds = []
    for service in trace.heading.services:
        costs = [
            (trace.cost(r), trace.duration_s(r))
            for r in trace.requests
            if r.service == service.name
        ]
        rate = min(cost / seconds for cost, seconds in costs)
        capacity = rate * (service.targets - 1) * service.slots
        bounds.append(gap_bound(trace) * sum(shares) / capacity)
    return max(bounds)


class ReplayTest(unittest.TestCase):
    def check(self, name: str) -> tuple[Trace, ReplayOutcome]:
        trace = read_trace(TRACES / f"{name}.jsonl")
        outcomes = replay_all(trace)
        expected = json.loads((TRACES / "OUTCOMES.json").read_text())[name]
        measured = summarise(outcomes)
        for key, bound in expected.items():
            with self.subTest(key):
                if key in UPPER_BOUNDS:
                    self.assertLessEqual(measured[key], bound)
                else:
                    self.assertGreaterEqual(measured[key], bound)
        ours = outcomes[0]
        self.assertLessEqual(ours.gap, gap_bound(trace))
        self.assertLessEqual(ours.starved_s, starvation_bound_s(trace))
        return trace, ours

    def test_astillas(self):
        self.check("astillas")

    def test_agency(self):
        self.check("agency")

    def test_flood_costs_its_sender(self):
        trace, ours = self.check("flood")
        self.assertLess(ours.wait_p99_s, 5.0)

    def test_target_loss_gives_the_capacity_back(self):
        self.check("target-loss")
