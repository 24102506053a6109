"""Tests that loopback addresses of test processes do not collide."""

import unittest

from chervilwall_standins.fleet import Fleet
from chervilwall_standins.loopback import unique_loopback_address


class LoopbackTest(unittest.TestCase):
    def test_addresses_are_not_given_out_twice(self):
        addresses = [unique_loopback_address() for _ in range(1000)]
        self.assertEqual(len(set(addresses)), len(addresses))

    def test_fleets_beside_each_other_share_no_address(self):
        fleets = [Fleet(routers=3) for _ in range(2)]
        for fleet in fleets:
            self.addCleanup(fleet.__exit__)
        hosts = [
            {fleet.router_ip(name) for name in fleet.router_names}
            for fleet in fleets
        ]
        self.assertFalse(hosts[0] & hosts[1])
        platforms = {fleet.platform for fleet in fleets}
        self.assertEqual(len(platforms), 2)
