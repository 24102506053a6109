"""Tests of what the log and the metrics say of closed connections."""

import logging
import unittest

from chervilwall_router.edge.caller_closes import (
    CallerClose,
    CallerCloseLog,
    CloseReason,
)
from chervilwall_router.metrics import RouterMetrics

LOGGER = "chervilwall_router.edge.caller_closes"


class CallerCloseLogTest(unittest.TestCase):
    def setUp(self):
        # The test runner disables logging.
        disabled_level = logging.root.manager.disable
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, disabled_level)
        self.metrics = RouterMetrics()
        self.closes = CallerCloseLog(self.metrics)

    def test_a_close_that_loses_a_request_names_it(self):
        close = CallerClose(
            CloseReason.HANDLER_FAILED, "r1", 2, ("r2", "r3"), 30, 40, 0.5
        )
        with self.assertLogs(LOGGER) as logs:
            self.closes.record(close)
        (record,) = logs.records
        self.assertEqual(record.event, 609)
        self.assertEqual(
            record.fields,
            {
                "reason": "handler_failed",
                "connections": 1,
                "request": "r1",
                "queued": 2,
                "queued_requests": "r2,r3",
                "unread_bytes": 30,
                "unsent_bytes": 40,
                "idle_ms": 500,
            },
        )
        counters = self.metrics.view().counters
        self.assertEqual(counters["caller_closed_handler_failed"], 1)
        self.assertEqual(counters["caller_closed_unread"], 1)

    def test_idle_connections_share_one_line(self):
        for idle_s in (4.0, 3.2, 5.0):
            self.closes.record(CallerClose(CloseReason.IDLE, idle_s=idle_s))
        with self.assertLogs(LOGGER) as logs:
            self.closes.log_idle(3.0)
        (record,) = logs.records
        self.assertEqual(record.fields["connections"], 3)
        self.assertEqual(record.fields["idle_ms"], 3200)
        self.assertEqual(record.fields["limit_ms"], 3000)
        self.assertEqual(self.metrics.view().counters["caller_closed_idle"], 3)
        with self.assertNoLogs(LOGGER):
            self.closes.log_idle(3.0)

    def test_an_idle_close_with_unread_bytes_has_a_line_of_its_own(self):
        with self.assertLogs(LOGGER) as logs:
            self.closes.record(CallerClose(CloseReason.IDLE, unread_bytes=7))
        self.assertEqual(logs.records[0].fields["unread_bytes"], 7)

    def test_an_announced_close_is_only_counted(self):
        with self.assertNoLogs(LOGGER):
            self.closes.record(CallerClose(CloseReason.RESPONSE_SENT))
        self.assertEqual(
            self.metrics.view().counters["caller_closed_response_sent"], 1
        )

    def test_an_announced_close_that_drops_a_request_is_logged(self):
        with self.assertLogs(LOGGER) as logs:
            self.closes.record(CallerClose(CloseReason.RESPONSE_SENT, queued=1))
        self.assertEqual(logs.records[0].fields["queued"], 1)
