"""Tests of the bound on the memory that callers take."""

import random
import unittest

from chervilwall.caller_memory import (
    CONNECTION_BYTES,
    MAX_PAUSE_S,
    MIN_PAUSED_BYTES,
    STALL_S,
    CallerMemory,
    CallerUsage,
    Stage,
)

MIB = 1 << 20
LIMIT = 32 * MIB
BODY = 4 * MIB


class CallerMemoryTest(unittest.TestCase):
    def setUp(self):
        self.memory = CallerMemory(LIMIT)
        self.now = 1.0

    def add(self, held, rest=0, stage=Stage.READING, peer="a"):
        usage = CallerUsage(peer)
        self.due = self.update(usage, held, rest, stage)
        return usage

    def update(self, usage, held, rest=0, stage=Stage.READING):
        return self.memory.update(usage, held, rest, stage, self.now)

    def decide(self):
        return self.memory.decide(self.now)

    def test_nothing_is_due_below_the_first_level(self):
        for _ in range(4):
            self.add(BODY - 1, 1)
            self.assertFalse(self.due)
        self.add(BODY)
        self.assertTrue(self.due)

    def test_what_fits_is_read_on_and_the_rest_is_paused(self):
        usages = [self.add(MIB, BODY - MIB) for _ in range(17)]
        relief = self.decide()
        self.assertEqual(relief.given_up, ())
        # Of 24 MiB for large requests, 7 are left: room for the rest of two.
        self.assertEqual(len(relief.paused), len(usages) - 2)

    def test_one_request_is_read_on_if_none_fits(self):
        self.add(23 * MIB, 0)
        self.now += STALL_S
        usages = [self.add(100_000, BODY) for _ in range(3)]
        self.assertEqual(len(self.decide().paused), len(usages) - 1)

    def test_none_is_read_on_without_room_while_complete_ones_run(self):
        self.add(22 * MIB, stage=Stage.COMPLETE)
        usages = [self.add(100_000, BODY) for _ in range(3)]
        self.assertEqual(len(self.decide().paused), len(usages))

    def test_small_requests_are_never_paused(self):
        self.add(23 * MIB, stage=Stage.COMPLETE)
        small = self.add(MIN_PAUSED_BYTES // 2, MIN_PAUSED_BYTES // 4)
        large = self.add(MIN_PAUSED_BYTES, 2 * MIB)
        self.assertEqual(self.decide().paused, (large,))
        self.assertFalse(small.is_paused)

    def test_paused_requests_go_on_when_the_sum_falls(self):
        running = self.add(22 * MIB, stage=Stage.COMPLETE)
        waiting = self.add(100_000, BODY)
        self.assertEqual(self.decide().paused, (waiting,))
        self.assertTrue(self.memory.remove(running))
        self.assertEqual(self.decide().resumed, (waiting,))
        self.assertEqual(self.memory.paused_count, 0)

    def test_a_stalled_request_gives_way_to_a_paused_one(self):
        stalled = [self.add(BODY - 1, 1) for _ in range(6)]
        self.now += STALL_S
        running = self.add(MIN_PAUSED_BYTES, MIN_PAUSED_BYTES)
        waiting = self.add(100_000, BODY)
        self.decide()
        self.assertTrue(waiting.is_paused)
        relief = self.decide()
        self.assertIn(relief.given_up[0], stalled)
        self.assertEqual(relief.resumed, (waiting,))
        self.assertFalse(running.is_given_up)

    def test_single_bytes_are_no_progress(self):
        usage = self.add(BODY // 2, BODY // 2)
        for number in range(1, 40):
            self.now += STALL_S / 20
            self.update(usage, BODY // 2 + number, BODY // 2)
        self.assertGreater(usage.stalled_s(self.now), STALL_S)

    def test_a_request_that_stays_paused_is_refused(self):
        self.add(23 * MIB, stage=Stage.COMPLETE)
        waiting = self.add(100_000, BODY)
        self.decide()
        self.now += MAX_PAUSE_S - 0.1
        self.assertEqual(self.decide().given_up, ())
        self.now += 0.1
        self.assertEqual(self.decide().given_up, (waiting,))

    def test_the_address_that_holds_most_is_refused_first(self):
        sound = [self.add(BODY, peer=f"p{i}") for i in range(3)]
        greedy = [self.add(BODY, peer="greedy") for _ in range(6)]
        given_up = self.decide().given_up
        self.assertTrue(set(given_up) <= set(greedy))
        self.assertFalse(any(usage.is_given_up for usage in sound))
        self.assertLessEqual(self.memory.total_bytes, LIMIT)

    def test_the_least_progress_for_what_is_held_is_refused_first(self):
        old = self.add(BODY, 1)
        self.now += 5.0
        for _ in range(8):
            self.add(BODY - 1, 1)
        self.assertIn(old, self.decide().given_up)

    def test_complete_requests_are_never_given_up(self):
        complete = [self.add(BODY, stage=Stage.COMPLETE) for _ in range(10)]
        small = self.add(MIN_PAUSED_BYTES)
        self.assertTrue(self.memory.is_full)
        self.assertEqual(self.decide().given_up, (small,))
        self.assertFalse(any(usage.is_given_up for usage in complete))

    def test_bytes_in_sockets_of_paused_connections_count(self):
        self.memory = CallerMemory(LIMIT, paused_bytes=1000)
        self.add(22 * MIB, stage=Stage.COMPLETE)
        usage = self.add(100_000, BODY)
        before = self.memory.total_bytes
        self.decide()
        self.assertEqual(self.memory.total_bytes, before + 1000)
        self.memory.remove(usage)
        self.assertEqual(self.memory.total_bytes, before - 100_000)

    def test_connections_count(self):
        self.memory.add_connection()
        self.assertEqual(self.memory.total_bytes, CONNECTION_BYTES)
        self.memory.remove_connection()
        self.assertEqual(self.memory.total_bytes, 0)

    def test_the_largest_address_is_named(self):
        self.assertEqual(self.memory.largest_peer(), ("", 0))
        self.add(1000, peer="a")
        self.add(700, peer="b")
        self.add(700, peer="b")
        self.assertEqual(self.memory.largest_peer(), ("b", 1400))


class RandomCrowdTest(unittest.TestCase):
    """Guards against sums that drift, and against a crowd that blocks all."""

    def test_the_sum_stays_below_the_limit(self):
        for seed in range(40):
            with self.subTest(seed=seed):
                self.play(random.Random(seed))

    def play(self, rng):
        memory = CallerMemory(LIMIT, paused_bytes=1 << 15)
        usages, now, read = [], 0.0, 1 << 16
        for _ in range(1500):
            now += rng.random() * 0.01
            due = False
            if rng.random() < 0.1:
                usage = CallerUsage(rng.choice("abcd"))
                size = rng.choice((2000, 300_000, BODY))
                usages.append([usage, 0, size, rng.random() < 0.5])
            if usages:
                item = rng.choice(usages)
                usage, held, size, stalls = item
                if usage.is_given_up or (held >= size and rng.random() < 0.3):
                    usages.remove(item)
                    due = memory.remove(usage)
                elif not usage.is_paused:
                    most = size - 1 if stalls else size
                    item[1] = held = min(most, held + rng.randrange(read))
                    stage = Stage.COMPLETE if held >= size else Stage.READING
                    rest = size - held
                    due = memory.update(usage, held, rest, stage, now)
            if due or rng.random() < 0.02:
                memory.decide(now)
            # A read arrives before the decision that it makes due.
            self.assertLessEqual(memory.total_bytes, LIMIT + read)
            paused = [u for u, *_ in usages if u.is_paused]
            self.assertEqual(memory.paused_count, len(paused))
            held = sum(u.held_bytes for u, *_ in usages if u.is_counted)
            unread = len(paused) << 15
            self.assertEqual(memory.total_bytes, held + unread)
