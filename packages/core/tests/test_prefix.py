"""Tests of the estimate of cached prompt prefixes."""

import unittest

from chervilwall.prefix import (
    PART_TTL_S,
    PrefixMap,
    PromptPart,
    SharedPrefixDetector,
)

A, B, C = PromptPart("a", 100), PromptPart("b", 50), PromptPart("c", 25)


def cached_tokens(prefixes, target_id, parts, now):
    """Returns the length of the longest prefix that a target has cached."""
    return prefixes.cached_by_target(parts, now).get(target_id, 0)


class PrefixMapTest(unittest.TestCase):
    def test_only_an_unbroken_chain_counts(self):
        prefixes = PrefixMap()
        prefixes.record("t", [A, B], 0.0)
        self.assertEqual(cached_tokens(prefixes, "t", [A, B, C], 1.0), 150)
        self.assertEqual(cached_tokens(prefixes, "t", [C, A], 1.0), 0)
        self.assertEqual(cached_tokens(prefixes, "other", [A], 1.0), 0)

    def test_the_least_recently_used_parts_give_way(self):
        prefixes = PrefixMap(160)
        prefixes.record("t", [A], 0.0)
        prefixes.record("t", [B], 1.0)
        prefixes.record("t", [C], 2.0)
        self.assertEqual(cached_tokens(prefixes, "t", [A], 3.0), 0)
        self.assertEqual(cached_tokens(prefixes, "t", [B, C], 3.0), 75)

    def test_a_part_sent_twice_counts_once(self):
        prefixes = PrefixMap(160)
        for _ in range(5):
            prefixes.record("t", [A, B], 0.0)
        self.assertEqual(cached_tokens(prefixes, "t", [A, B], 1.0), 150)

    def test_old_parts_and_ended_targets_are_forgotten(self):
        prefixes = PrefixMap()
        prefixes.record("t", [A], 0.0)
        self.assertEqual(cached_tokens(prefixes, "t", [A], PART_TTL_S + 1), 0)
        prefixes.record("t", [A], 0.0)
        prefixes.forget("t")
        self.assertEqual(cached_tokens(prefixes, "t", [A], 0.0), 0)


class SessionFinderTest(unittest.TestCase):
    def test_a_last_part_that_never_recurs_is_the_requests_own(self):
        detector = SharedPrefixDetector()
        for number in range(200):
            parts = [A, B, PromptPart(f"own{number}", 10)]
            detector.observe(parts)
        self.assertEqual(list(detector.shared(parts)), [A, B])

    def test_a_last_part_that_recurs_is_the_session(self):
        detector = SharedPrefixDetector()
        for number in range(200):
            parts = [A, PromptPart(f"session{number % 20}", 10)]
            detector.observe(parts)
        self.assertEqual(list(detector.shared(parts)), parts)

    def test_its_memory_is_bounded(self):
        detector = SharedPrefixDetector()
        for number in range(3 * detector.MAX_IDS):
            detector.observe([PromptPart(str(number), 1)])
        self.assertLessEqual(len(detector._seen), detector.MAX_IDS)
