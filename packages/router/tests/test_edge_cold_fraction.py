"""Tests of the fraction that a router may use for cold targets."""

import unittest

from chervilwall.edge_messages import EdgeReport
from chervilwall.hubs import HubCandidate
from chervilwall.peers import PeerTable
from chervilwall.store_era import StoreRevision
from chervilwall_router.edge.fleet_view import (
    TAKEOVER_S,
    FleetParts,
    FleetView,
)

SERVICE = "svc"


class ColdFractionTest(unittest.TestCase):
    def start(self, known, name="r0"):
        self.now = 100.0
        self.sequence = 0
        self.joined, self.ready = True, True
        self.peers = PeerTable(name)
        names = [f"r{number}" for number in range(known)]
        self.view = FleetView(
            FleetParts(
                name=name,
                address=name,
                me=HubCandidate(1.0, "z"),
                max_mesh_routers=100,
                peers=self.peers,
                addresses={n: n for n in names if n != name},
                has_joined=lambda: self.joined,
                is_ready=lambda: self.ready,
                clock=lambda: self.now,
                services_with_cold_targets=lambda: [SERVICE],
            )
        )

    def hear(self, *names, ready=False):
        """Receives reports; routers that are not ready schedule nothing."""
        self.sequence += 1
        for name in names:
            report = EdgeReport(
                self.sequence, name, name, name, "z", ready, 1, StoreRevision()
            )
            self.peers.receive(name, 1, report, self.now)

    def pass_time(self, seconds, *heard, ready=False):
        for _ in range(round(seconds / 0.25)):
            self.hear(*heard, ready=ready)
            self.view.recipients()
            self.now += 0.25
        self.hear(*heard, ready=ready)

    def fraction(self):
        return self.view.cold_fraction(SERVICE)

    def test_a_router_that_does_not_know_the_fleet_sends_nothing(self):
        self.start(known=1)
        self.joined = False
        self.pass_time(3.0)
        self.assertEqual(self.fraction(), 0.0)
        self.assertLess(self.view.cold_resumes_in_s(SERVICE), 0.5)

    def test_routers_of_a_fleet_of_two_may_all_send(self):
        for known in (1, 2):
            self.start(known)
            self.pass_time(0.25)
            self.assertEqual(self.fraction(), 1.0)

    def test_a_scheduler_sends_once_it_has_been_so_for_a_while(self):
        self.start(known=5)
        others = ["r1", "r2", "r3", "r4"]
        self.pass_time(0.25, *others)
        self.assertEqual(self.fraction(), 0.0)
        self.assertGreater(self.view.cold_resumes_in_s(SERVICE), 0.0)
        self.assertLess(self.view.cold_resumes_in_s(SERVICE), TAKEOVER_S)
        self.pass_time(TAKEOVER_S, *others)
        self.assertEqual(self.fraction(), 1.0)

    def test_a_scheduler_that_hears_at_most_half_uses_that_part(self):
        self.start(known=8)
        self.pass_time(2.0, "r1", "r2", "r3")
        self.assertEqual(self.fraction(), 0.5)
        self.pass_time(2.0, "r1")
        self.assertEqual(self.fraction(), 0.25)
        self.pass_time(0.25, "r1", "r2", "r3", "r4")
        self.assertEqual(self.fraction(), 1.0)

    def test_a_router_beside_a_scheduler_sends_nothing(self):
        # Guards against routers that stand in for a scheduler which does not
        # answer them.
        self.start(known=4)
        others = ["r1", "r2", "r3"]
        self.pass_time(2.0, *others)
        self.assertEqual(self.fraction(), 1.0)
        # Some of the others own the service once they are ready.
        self.pass_time(0.25, *others, ready=True)
        self.assertIsNotNone(self.view.find_scheduler(SERVICE, ()))
        self.assertEqual(self.fraction(), 0.0)
        self.assertEqual(self.view.cold_resumes_in_s(SERVICE), float("inf"))

    def test_a_former_scheduler_begins_anew(self):
        self.start(known=4)
        others = ["r1", "r2", "r3"]
        self.pass_time(2.0, *others)
        self.pass_time(0.5, *others, ready=True)
        self.pass_time(0.25, *others)
        self.assertEqual(self.fraction(), 0.0)

    def test_a_router_that_leaves_sends_nothing(self):
        self.start(known=4)
        self.pass_time(2.0, "r1", "r2", "r3")
        self.ready = False
        self.assertEqual(self.fraction(), 0.0)


if __name__ == "__main__":
    unittest.main()
