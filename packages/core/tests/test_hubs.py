"""Tests of the selection of hubs."""

import unittest

from chervilwall.hubs import (
    HUBS,
    HUBS_PER_ZONE,
    RETRY_AFTER_S,
    SILENT_AFTER_S,
    HubCandidate,
    HubSelector,
    digest_hubs,
)

NAMES = {f"router{i}": HubCandidate() for i in range(40)}


class HubChoiceTest(unittest.TestCase):
    def test_all_choose_the_same_few(self):
        chosen = {HubSelector(name).choose(NAMES, NAMES, 0.0) for name in NAMES}
        self.assertEqual(len(chosen), 1)
        self.assertEqual(len(next(iter(chosen))), HUBS)

    def test_hosts_with_more_processors_go_first(self):
        strong = {
            f"router{i}": HubCandidate(cpu=2.0) for i in range(10, 10 + HUBS)
        }
        found = HubSelector("router1").choose(NAMES | strong, NAMES, 0.0)
        self.assertEqual(found, set(strong))

    def test_each_zone_has_a_hub(self):
        zones = {
            f"router{i}": HubCandidate(cpu=1.0 + (i < 20), zone=f"z{i // 10}")
            for i in range(40)
        }
        found = HubSelector("router1").choose(zones, NAMES, 0.0)
        self.assertEqual(
            {zones[n].zone for n in found}, {"z0", "z1", "z2", "z3"}
        )
        self.assertEqual(len(found), HUBS)

    def test_a_silent_hub_is_replaced_and_later_tried_again(self):
        selector = HubSelector("router1")
        first = selector.choose(NAMES, NAMES, 0.0)
        lost = next(iter(first - {"router1"}))
        reporting = set(NAMES) - {lost}
        self.assertIn(lost, selector.choose(NAMES, reporting, 0.0))
        now = SILENT_AFTER_S + 0.1
        self.assertNotIn(lost, selector.choose(NAMES, reporting, now))
        now = RETRY_AFTER_S + 0.1
        self.assertIn(lost, selector.choose(NAMES, reporting, now))

    def test_a_hub_that_is_heard_again_is_taken_at_once(self):
        selector = HubSelector("router1")
        first = selector.choose(NAMES, (), 0.0)
        now = SILENT_AFTER_S + 0.1
        self.assertFalse(first & selector.choose(NAMES, (), now))
        self.assertEqual(selector.choose(NAMES, NAMES, now), first)


class TellersTest(unittest.TestCase):
    HUBS = {"h0": "z0", "h1": "z1", "h2": "z2", "h3": "z0", "h4": "z3"}

    def test_one_of_the_zone_and_another_one(self):
        found = digest_hubs("z1", self.HUBS)
        self.assertEqual(len(found), HUBS_PER_ZONE)
        self.assertIn("h1", found)

    def test_a_zone_without_a_hub_is_told_by_as_many(self):
        self.assertEqual(len(digest_hubs("z9", self.HUBS)), HUBS_PER_ZONE)

    def test_a_lost_one_is_replaced_and_the_other_stays(self):
        before = digest_hubs("z1", self.HUBS)
        remaining = {n: z for n, z in self.HUBS.items() if n != "h1"}
        self.assertEqual(
            len(before & digest_hubs("z1", remaining)), HUBS_PER_ZONE - 1
        )

    def test_few_hubs_all_tell(self):
        self.assertEqual(digest_hubs("z1", {"h0": "z0"}), {"h0"})
        self.assertEqual(digest_hubs("z1", {}), frozenset())
