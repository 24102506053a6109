"""Tests of the shortcuts that keep scheduling decisions cheap.

Indexes and cached results must give the same decision as a full computation
over all targets and requests.
"""

import random
import unittest

from chervilwall.load_view import LoadView
from chervilwall.placement import Demand, Placement, PlacementSettings
from chervilwall.prefill import PrefillModel
from chervilwall.prefix import PART_TTL_S, PrefixMap, PromptPart
from chervilwall.registry import RegisteredTarget
from chervilwall.wait_queue import (
    TeamShares,
    Ticket,
    WaitQueue,
    WaitSettings,
)

NO_USAGE = TeamShares(frozenset(), {})


def look_up_cached_tokens(prefixes, target_id, parts, now):
    """Returns the tokens of a prompt that one target has cached.

    Looks up each part in the target's own entries, without the index by target.
    """
    cached_tokens = 0
    for part in parts:
        entry = prefixes._cached_parts.get(target_id, {}).get(part.id)
        if entry is None or now - entry[1] > PART_TTL_S:
            break
        cached_tokens += part.tokens
    return cached_tokens


class CachedByTargetTest(unittest.TestCase):
    def test_it_tells_the_same_as_each_target_asked(self):
        rng = random.Random(3)
        prefixes = PrefixMap(3000)
        chains = [
            tuple(
                PromptPart(f"{depth}-{rng.randrange(2 + 4 * depth)}", 100)
                for depth in range(3)
            )
            for _ in range(60)
        ]
        for step, chain in enumerate(chains * 3):
            prefixes.record(f"t{rng.randrange(9)}", chain, float(step))
            if step % 40 == 39:
                prefixes.forget(f"t{rng.randrange(9)}")
        now = 3.0 * len(chains)
        for chain in chains:
            found = prefixes.cached_by_target(chain, now)
            expected = {
                f"t{n}": look_up_cached_tokens(prefixes, f"t{n}", chain, now)
                for n in range(9)
            }
            self.assertEqual(found, {t: n for t, n in expected.items() if n})


class RankingTest(unittest.TestCase):
    def ticket(self, number, due_at):
        demand = Demand("s", 100 + number, 10)
        return Ticket(number, "team", demand, due_at, 0.0, 9.0, 0.01)

    def test_what_came_and_went_within_a_moment_is_ranked_right(self):
        queue = WaitQueue(WaitSettings())
        for number in range(20):
            queue.push(self.ticket(number, 5.0))
        first = queue.in_order(1.0, NO_USAGE)[0][1]
        queue.discard(first.number)
        queue.push(self.ticket(99, 5.0))
        order = [t.number for _, t in queue.in_order(1.001, NO_USAGE)]
        self.assertEqual(order[0], 99)
        self.assertNotIn(first.number, order)
        self.assertEqual(len(order), 20)

    def test_ranks_follow_the_time(self):
        queue = WaitQueue(WaitSettings())
        queue.push(self.ticket(1, 1.005))
        queue.push(self.ticket(0, 5.0))
        self.assertEqual(queue.in_order(0.9, NO_USAGE)[0][1].number, 1)
        self.assertEqual(queue.in_order(1.2, NO_USAGE)[0][1].number, 0)


class FullTest(unittest.TestCase):
    def setUp(self):
        self.load = LoadView()
        self.targets = [
            RegisteredTarget(f"t{n}", "s", "10.0.0.1:1", "z", 2)
            for n in range(3)
        ]
        self.placement = Placement(
            PlacementSettings(),
            "z",
            self.load,
            PrefixMap(),
            PrefillModel(),
            lambda target: True,
        )

    def choose(self, now):
        return self.placement.choose(Demand("s", 100, 10), self.targets, now)

    def test_full_targets_are_looked_at_again_when_one_has_ended(self):
        request_numbers = {}
        while (choice := self.choose(1.0)) is not None:
            name = choice.target.id
            request_numbers[name] = self.load.start(
                name, work_s=0.0, kv_tokens=10, now=1.0
            )
        self.assertEqual(len(request_numbers), 3)
        self.assertIsNone(self.choose(1.0005))
        self.load.end("t1", request_numbers["t1"], 10)
        self.assertEqual(self.choose(1.0006).target.id, "t1")

    def test_they_are_looked_at_again_after_a_moment(self):
        for target in self.targets:
            self.load.start(target.id, work_s=0.0, kv_tokens=9, now=1.0)
            self.load.start(target.id, work_s=0.5, kv_tokens=9, now=1.0)
        self.assertIsNone(self.choose(1.0))
        added = RegisteredTarget("t9", "s", "10.0.0.1:1", "z", 2)
        self.targets.append(added)
        self.assertEqual(self.choose(1.0).target.id, "t9")
