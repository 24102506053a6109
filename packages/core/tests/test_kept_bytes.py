"""Tests of the bound on what is kept for all responses together."""

import random
import unittest

from chervilwall.kept_bytes import (
    MAX_RESPONSE_BYTES,
    MIN_PAUSED_BYTES,
    SUSPECT_S,
    KeptBytes,
    KeptResponse,
    Standing,
)

LIMIT = 8 << 20
MIB = 1 << 20


class KeptBytesTest(unittest.TestCase):
    def setUp(self):
        self.kept = KeptBytes(LIMIT)
        self.now = 1.0

    def add(self, size, standing=Standing.BEGUN, target="t1"):
        response = KeptResponse(target)
        self.due = self.kept.update(response, size, standing)
        return response

    def decide(self):
        return self.kept.decide(self.now)

    def test_nothing_is_due_below_the_first_level(self):
        for _ in range(4):
            self.add(MIB)
            self.assertFalse(self.due)
        self.add(MIB)
        self.assertTrue(self.due)

    def test_reading_is_paused_before_a_response_is_given_up(self):
        responses = [self.add(MIB // 4) for _ in range(20)]
        relief = self.decide()
        self.assertEqual(relief.given_up, ())
        # Room for the rest of four of them is left below the limit.
        self.assertEqual(len(relief.paused), 16)
        self.assertTrue(set(relief.paused) < set(responses))

    def test_small_responses_are_not_paused(self):
        for _ in range(7):
            self.add(MIB, Standing.UNCONFIRMED)
        small = self.add(MIN_PAUSED_BYTES - 1, Standing.UNCONFIRMED)
        self.assertNotIn(small, self.decide().paused)

    def test_paused_responses_go_on_when_the_sum_falls(self):
        responses = [self.add(MIB // 2) for _ in range(14)]
        paused = self.decide().paused
        self.assertTrue(paused)
        for response in responses:
            if response not in paused and self.kept.remove(response):
                resumed = self.decide().resumed
                paused = [r for r in paused if r not in resumed]
        for response in list(paused):
            self.assertIn(response, responses)
        self.assertFalse(all(r.is_paused for r in responses))

    def test_the_one_nearest_to_no_answer_is_given_up_first(self):
        self.add(2 * MIB, Standing.COMPLETE)
        begun = self.add(2 * MIB, Standing.BEGUN)
        no_event = self.add(2 * MIB, Standing.NO_EVENT)
        unconfirmed = self.add(2 * MIB + 1, Standing.UNCONFIRMED)
        self.assertEqual(self.decide().given_up, (unconfirmed,))
        self.add(2 * MIB + 1, Standing.BEGUN, "t2")
        self.assertIn(no_event, self.decide().given_up)
        self.assertFalse(begun.is_given_up and not no_event.is_given_up)

    def test_of_the_same_standing_that_of_the_target_with_most_goes(self):
        other = self.add(2 * MIB, target="t2")
        for _ in range(6):
            self.add(MIB)
        self.add(MIN_PAUSED_BYTES)
        given_up = self.decide().given_up
        self.assertTrue(given_up)
        self.assertNotIn(other, given_up)

    def test_a_target_that_did_so_before_ranks_last_for_a_time(self):
        self.add(LIMIT + 1, Standing.UNCONFIRMED, "bad")
        self.assertEqual(len(self.decide().given_up), 1)
        for after_s, is_first in ((1.0, True), (SUSPECT_S + 2.0, False)):
            self.now += after_s
            bad = self.add(3 * MIB, Standing.BEGUN, "bad")
            sound = self.add(5 * MIB + 1, Standing.NO_EVENT, "sound")
            self.decide()
            self.assertEqual(bad.is_given_up, is_first)
            self.assertEqual(sound.is_given_up, not is_first)
            self.kept.remove(bad)
            self.kept.remove(sound)

    def test_a_response_that_was_given_up_counts_no_more(self):
        response = self.add(LIMIT + 1)
        self.decide()
        self.assertFalse(self.kept.update(response, MIB, Standing.BEGUN))
        self.assertFalse(self.kept.remove(response))
        self.assertEqual(self.kept.total_bytes, 0)

    def test_at_any_time_one_response_is_read(self):
        rng = random.Random(5)
        live = []
        for _ in range(3000):
            if live and rng.random() < 0.3:
                live.remove(response := rng.choice(live))
                due = self.kept.remove(response)
            else:
                if not live or rng.random() < 0.3:
                    live.append(KeptResponse(f"t{rng.randrange(3)}"))
                response = rng.choice(live)
                if response.is_paused:
                    continue
                size = rng.randrange(MAX_RESPONSE_BYTES)
                standing = Standing(rng.randrange(1, 4))
                due = self.kept.update(response, size, standing)
            if due:
                self.decide()
            live = [r for r in live if not r.is_given_up]
            total = sum(r.kept_bytes for r in live)
            self.assertEqual(self.kept.total_bytes, total)
            self.assertLessEqual(total, LIMIT)
            if live:
                self.assertFalse(all(r.is_paused for r in live))
        for response in live:
            if self.kept.remove(response):
                self.decide()
        self.assertEqual(self.kept.total_bytes, 0)
        self.assertEqual(self.kept._by_target, {})
