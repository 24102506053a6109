"""Tests of log lines."""

import json
import logging
import unittest

from chervilwall import events
from chervilwall_router.logs import JsonFormatter, TextFormatter


class LogsTest(unittest.TestCase):
    def record(self):
        return logging.LogRecord(
            "x", logging.WARNING, "", 0, events.ATTEMPT_FAILED.text, (), None
        )

    def test_text_and_json_lines_carry_number_step_and_peer(self):
        record = self.record()
        record.event = 600
        record.fields = {"step": "relay", "peer": "engine-1"}
        text = TextFormatter().format(record)
        self.assertIn("E600", text)
        self.assertIn("peer=engine-1", text)
        line = json.loads(JsonFormatter().format(record))
        self.assertEqual((line["event"], line["step"]), (600, "relay"))
