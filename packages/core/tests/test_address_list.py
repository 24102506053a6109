"""Tests of the selection of addresses for callers."""

import unittest
from collections import Counter

from chervilwall.address_list import (
    MAX_ADDRESSES,
    CallerAddress,
    choose_addresses,
)

ZONES = ("a", "b", "c", "d", "e")


def make_fleet(count):
    return {
        f"h{n}": CallerAddress(f"10.0.0.{n}:1", ZONES[n % len(ZONES)])
        for n in range(count)
    }


class ChooseAddressesTest(unittest.TestCase):
    def test_a_small_fleet_is_told_whole(self):
        for count in (0, 1, 3, MAX_ADDRESSES):
            found = choose_addresses(make_fleet(count), "a", busy=("h0",))
            self.assertEqual(len(found), count)

    def test_callers_of_a_large_one_keep_to_their_zone(self):
        ready = make_fleet(195)
        zone_of = {r.address: r.zone for r in ready.values()}
        found = choose_addresses(ready, "b")
        self.assertEqual({zone_of[a] for a in found}, {"b"})
        self.assertEqual(len(found), 39)

    def test_an_answer_is_the_same_again_and_changes_by_what_was_lost(self):
        ready = make_fleet(1000)
        first = choose_addresses(ready, "b")
        self.assertEqual(len(first), MAX_ADDRESSES)
        self.assertEqual(choose_addresses(ready, "b"), first)
        lost = next(n for n, r in ready.items() if r.address == first[0])
        del ready[lost]
        self.assertEqual(len(set(first) - set(choose_addresses(ready, "b"))), 1)

    def test_busy_routers_are_left_out_of_many(self):
        ready = make_fleet(195)
        busy = {"h0", "h1", "h2", "h3", "h4"}
        offered = {
            a for z in ZONES for a in choose_addresses(ready, z, busy=busy)
        }
        self.assertEqual(offered & {ready[n].address for n in busy}, set())
        self.assertEqual(len(offered), 190)

    def test_busy_routers_take_callers_where_few_others_are_left(self):
        ready = make_fleet(100)
        busy = {f"h{n}" for n in range(60)}
        offered = {
            a for z in ZONES for a in choose_addresses(ready, z, busy=busy)
        }
        self.assertEqual(len(offered), 100)

    def test_a_zone_that_lost_its_routers_is_served_by_all_others(self):
        ready = {n: r for n, r in make_fleet(400).items() if r.zone != "b"}
        zone_of = {r.address: r.zone for r in ready.values()}
        zones = Counter(zone_of[a] for a in choose_addresses(ready, "b"))
        self.assertEqual(sum(zones.values()), MAX_ADDRESSES)
        self.assertEqual(len(zones), 4)

    def test_callers_that_name_no_zone_are_told_of_all_zones(self):
        ready = make_fleet(300)
        zone_of = {r.address: r.zone for r in ready.values()}
        zones = {zone_of[a] for a in choose_addresses(ready, "")}
        self.assertEqual(zones, set(ZONES))
