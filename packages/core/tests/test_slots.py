"""Tests of the slot table and its choice of targets."""

import unittest

from chervilwall.config import Target
from chervilwall.fair_queue import QueuedRequest
from chervilwall.health import LoadReport
from chervilwall.slots import (
    LOAD_REPORT_TTL_S,
    MAX_PREFIXES,
    RunningAttempt,
    SlotTable,
)

PREFIX = 77


def queued(prefix=0, exclude=()):
    return QueuedRequest(9.0, 1, "r1", 1, "a", "c", 1.0, b"f", prefix, exclude)


def make_table():
    table = SlotTable()
    table.set_targets(
        Target(f"t{i}", "svc", f"10.0.0.{i}:80", slots=2) for i in range(3)
    )
    return table


def start_attempt(table, target, req_id):
    table.add(RunningAttempt("r1", req_id, target, "a", "c", 1.0, b"f", 0.0))


class SlotTableTest(unittest.TestCase):
    def test_a_cached_prefix_is_preferred_while_its_target_has_room(self):
        table = make_table()
        first = table.choose(queued(PREFIX), 0.0)
        start_attempt(table, first, 1)
        self.assertEqual(table.choose(queued(PREFIX), 0.0), first)
        start_attempt(table, first, 2)
        self.assertNotEqual(table.choose(queued(PREFIX), 0.0), first)

    def test_the_least_loaded_target_is_chosen_otherwise(self):
        table = make_table()
        start_attempt(table, "t0", 1)
        start_attempt(table, "t1", 2)
        self.assertEqual(table.choose(queued(), 0.0), "t2")
        self.assertNotEqual(table.choose(queued(exclude=("t2",)), 0.0), "t2")

    def test_a_late_load_report_is_a_hint_for_a_while_only(self):
        table = make_table()
        table.record_load("t0", LoadReport(active=2, own=0), 0.0)
        self.assertEqual(table.foreign_requests("t0", 1.0), 2)
        self.assertEqual(table.foreign_requests("t0", LOAD_REPORT_TTL_S + 1), 0)

    def test_remembered_prefixes_are_bounded(self):
        table = make_table()
        for prefix in range(1, MAX_PREFIXES + 100):
            table.choose(queued(prefix), 0.0)
        self.assertEqual(len(table._target_by_prefix), MAX_PREFIXES)
