"""Random callers against the account of the memory that they take."""

import random
import unittest
from unittest import mock

from chervilwall.caller_memory import (
    CONNECTION_BYTES,
    CallerMemory,
    CallerUsage,
    Stage,
)

LIMIT = 1 << 20
UNREAD = 1 << 15


class RandomCallersTest(unittest.TestCase):
    """Random callers begin, grow, stall, complete and leave."""

    STEPS = 3000

    def test_sums_do_not_drift(self):
        # A drift refuses all callers in time, or bounds nothing.
        for seed in range(20):
            with self.subTest(seed=seed):
                self.run_callers(random.Random(seed))

    def run_callers(self, rng):
        memory = CallerMemory(LIMIT, UNREAD)
        usages, paused, now = [], set(), 0.0
        for _ in range(self.STEPS):
            now += rng.expovariate(20.0)
            if len(usages) < 40 and rng.random() < 0.3:
                usages.append(CallerUsage(f"peer{rng.randrange(4)}"))
                memory.add_connection()
            if not usages:
                continue
            usage = rng.choice(usages)
            if rng.random() < 0.1:
                usages.remove(usage)
                memory.remove_connection()
                is_due = memory.remove(usage)
                paused.discard(usage)
            elif usage in paused:
                is_due = rng.random() < 0.5
            else:
                held = max(0, usage.held_bytes + rng.randint(-9000, 60_000))
                stage = Stage.COMPLETE if rng.random() < 0.2 else Stage.READING
                rest = rng.choice((0, 1000, 400_000))
                is_due = memory.update(usage, held, rest, stage, now)
            if is_due:
                self.decide(memory, usages, paused, now)
            self.check(memory, usages, paused)
        for usage in usages:
            memory.remove_connection()
            memory.remove(usage)
        self.assertEqual((memory.total_bytes, memory.paused_count), (0, 0))

    def decide(self, memory, usages, paused, now):
        relief = memory.decide(now)
        paused.difference_update(relief.resumed)
        paused.update(relief.paused)
        for usage in relief.given_up:
            # A target may have run a complete request.
            self.assertIs(usage.stage, Stage.READING)
            paused.discard(usage)
            usages.remove(usage)
            memory.remove_connection()
            memory.remove(usage)
        if any(u.stage is Stage.READING and u.is_counted for u in usages):
            self.assertLessEqual(memory.total_bytes, LIMIT + 40 * UNREAD)

    def check(self, memory, usages, paused):
        counted = sum(u.held_bytes for u in usages if u.is_counted)
        total = counted + len(usages) * CONNECTION_BYTES + len(paused) * UNREAD
        self.assertEqual(memory.total_bytes, total)
        self.assertEqual(memory.paused_count, len(paused))
        self.assertEqual({u for u in usages if u.is_paused}, paused)


class DecisionCostTest(unittest.TestCase):
    def test_slow_readers_above_the_limit_cost_few_decisions(self):
        # Each decision looks at all connections, and there is nothing that it
        # could refuse or pause.
        memory = CallerMemory(LIMIT)
        usages = [CallerUsage("a") for _ in range(100)]
        with mock.patch.object(
            memory, "decide", side_effect=memory.decide
        ) as decide:
            for turn in range(100):
                for usage in usages:
                    held = 12_000 + 10 * turn
                    if memory.update(usage, held, 0, Stage.COMPLETE, turn):
                        memory.decide(turn)
        self.assertGreater(memory.total_bytes, LIMIT)
        self.assertLess(decide.call_count, 100)


if __name__ == "__main__":
    unittest.main()
