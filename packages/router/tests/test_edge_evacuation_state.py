"""Tests of the evacuated zones of one router, from the store and from peers."""

import logging
import unittest

from chervilwall import events
from chervilwall.edge_messages import EdgeReport
from chervilwall.errors import RevisionExpiredError
from chervilwall.evacuations import MAX_FIRST_READ_S, MAX_ZONES
from chervilwall.protocol import ObjectList, StoredObject
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.store_era import StoreRevision
from chervilwall_router.edge.evacuation_state import (
    LOG,
    EvacuationParts,
    EvacuationState,
    log_returned_zones,
)
from chervilwall_router.metrics import RouterMetrics

TARGET = RegisteredTarget("t1", "s", "10.0.0.1:80", "east", 8)


def listing(number, *names, era=1):
    objects = tuple(
        StoredObject(name, number, b"{}", era=era) for name in names
    )
    return ObjectList(number, objects, era)


def deletion(number, *names):
    objects = tuple(
        StoredObject(name, number, b"{}", True, 1) for name in names
    )
    return ObjectList(number, objects, 1)


def report(number, *zones, era=1):
    revision = StoreRevision(era, number) if number else StoreRevision()
    return EdgeReport(
        1, "a", "a", "a", "z", True, 1, StoreRevision(1, 1)
    )._replace(evacuations_revision=revision, evacuated_zones=zones)


class EvacuationStateTest(unittest.TestCase):
    def setUp(self):
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        self.now = 0.0
        self.is_hub = False
        # What the state called, in order.
        self.calls = []
        self.eras = []
        self.registry = TargetRegistry()
        self.registry.put(TARGET)
        self.state = self.make_state(5000.0)

    def make_state(self, evacuation_ms):
        return EvacuationState(
            EvacuationParts(
                registry=self.registry,
                evacuation_ms=evacuation_ms,
                on_change=lambda: self.calls.append("change"),
                on_zones_returned=self.record_returned,
                is_hub=lambda: self.is_hub,
                send_reports_now=lambda: self.calls.append("report"),
                learn_era=lambda era, source: self.eras.append((era, source)),
                metrics=RouterMetrics(),
                clock=lambda: self.now,
                wall_clock=lambda: 1000.0 + self.now,
            )
        )

    def record_returned(self, zones):
        # Targets must be known as cold before requests are sent there.
        self.calls.append(("returned", zones, self.is_serving()))

    def is_serving(self):
        return bool(self.registry.serving_targets("s"))

    def read(self, listing):
        self.state.apply_list(listing, lapse_grace_until=0.0)

    def change(self, changes):
        self.state.apply_changes(changes, lapse_grace_until=9.0)

    def test_nothing_is_served_before_a_first_set_is_known(self):
        self.assertFalse(self.is_serving())
        self.assertFalse(self.state.is_known())
        self.read(listing(5))
        self.assertTrue(self.state.is_known())
        self.assertTrue(self.is_serving())
        # Waiting requests may be placed now; there is nothing to report.
        self.assertEqual(self.calls, ["change"])

    def test_a_router_that_learns_of_no_set_serves_after_a_while(self):
        # Otherwise a fleet whose store lists no evacuations would never start.
        self.assertFalse(self.state.is_known())
        self.now += MAX_FIRST_READ_S
        with self.assertLogs(LOG) as caught:
            self.assertTrue(self.state.is_known())
        event = events.EVACUATIONS_UNKNOWN.number
        self.assertEqual([x.event for x in caught.records], [event])
        self.assertTrue(self.is_serving())
        self.assertEqual(self.state.revision, StoreRevision())
        self.read(listing(5, "east"))
        self.assertFalse(self.is_serving())

    def test_a_peer_without_a_set_does_not_make_it_known(self):
        self.state.receive(report(0), "r2")
        self.assertFalse(self.state.is_known())
        self.state.receive(report(7, "east", era=3), "r2")
        self.assertTrue(self.state.is_known())
        self.assertEqual(self.state.names(), {"east"})
        self.assertEqual(self.eras, [(3, "r2")])

    def test_a_change_is_logged_and_reported_at_once(self):
        self.read(listing(5))
        self.calls.clear()
        with self.assertLogs(LOG) as caught:
            self.change(listing(6, "east"))
        (record,) = caught.records
        self.assertEqual(record.event, events.ZONE_EVACUATED.number)
        self.assertEqual(
            {name: str(value) for name, value in record.fields.items()},
            {"zone": "east", "revision": "1/6", "source": "store"},
        )
        self.assertEqual(self.calls, ["report", "change"])
        self.assertFalse(self.is_serving())

    def test_what_a_peer_reports_is_passed_on_only_by_hubs(self):
        self.read(listing(5))
        self.calls.clear()
        self.state.receive(report(6, "east"), "r2")
        self.assertEqual(self.calls, ["change"])
        self.is_hub = True
        self.state.receive(report(7), "r2")
        self.assertIn("report", self.calls)

    def test_a_return_is_told_before_the_zone_serves(self):
        self.read(listing(5, "east", "west"))
        self.calls.clear()
        self.change(deletion(6, "east"))
        returned = ("returned", frozenset({"east"}), False)
        self.assertEqual(self.calls, [returned, "report", "change"])
        self.assertTrue(self.is_serving())

    def test_a_set_that_does_not_differ_changes_only_the_revision(self):
        self.read(listing(5, "east"))
        self.calls.clear()
        self.change(ObjectList(9, (), 1))
        self.read(listing(10, "east"))
        self.assertEqual(self.calls, [])
        self.assertEqual(self.state.revision, StoreRevision(1, 10))

    def test_a_change_that_cannot_be_read_needs_a_list(self):
        # It may be a deletion; the zone would stay evacuated.
        self.read(listing(5, "east"))
        unreadable = StoredObject("east", 0, b"", era=1)
        with self.assertRaises(RevisionExpiredError):
            self.change(ObjectList(6, (unreadable,), 1))
        self.assertEqual(self.state.names(), {"east"})

    def test_a_list_takes_the_name_of_an_unreadable_object(self):
        unreadable = StoredObject("east", 0, b"", era=1)
        self.read(ObjectList(6, (unreadable,), 1))
        self.assertEqual(self.state.names(), {"east"})

    def test_more_names_than_the_limit_are_logged(self):
        names = [f"z{number:03}" for number in range(MAX_ZONES + 1)]
        with self.assertLogs(LOG) as caught:
            self.read(listing(5, *names))
        record = caught.records[0]
        self.assertEqual(record.event, events.EVACUATIONS_CUT.number)
        self.assertEqual(record.fields["ignored"], 1)
        with self.assertRaises(RevisionExpiredError):
            self.change(deletion(6, names[0]))

    def test_disabled_it_takes_and_reports_nothing(self):
        self.registry.set_evacuated_zones(frozenset())
        state = self.make_state(None)
        state.receive(report(6, "east"), "r2")
        self.assertTrue(state.is_known())
        self.assertTrue(self.is_serving())
        self.assertEqual((state.revision, dict(state.zones)), ((0, 0), {}))
        self.assertEqual((self.calls, self.eras), ([], []))

    def test_checks_are_frequent_enough_for_the_bound(self):
        self.assertEqual(self.state.check_interval_s(2.0), 2.0)
        self.assertEqual(self.make_state(1000.0).check_interval_s(2.0), 0.5)

    def test_returned_zones_are_logged(self):
        with self.assertLogs(LOG) as caught:
            log_returned_zones(frozenset(("west", "east")))
        (record,) = caught.records
        self.assertEqual(record.event, events.RETURNED_TARGETS_COLD.number)
        self.assertEqual(record.fields, {"zones": "east,west"})


if __name__ == "__main__":
    unittest.main()
