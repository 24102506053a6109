"""Tests of metrics, log lines and what is sent to targets."""

import json
import logging
import socket
import unittest

from chervilwall import events
from chervilwall.classify import CallerRequest
from chervilwall.histogram import MAX_HISTOGRAMS, HistogramKey, HistogramTable
from chervilwall_router.logs import JsonFormatter, TextFormatter
from chervilwall_router.metrics import RouterMetrics
from chervilwall_router.target_client import _request_headers, _usage_work


class MetricsTest(unittest.TestCase):
    def test_counters_and_timings_go_to_statsd(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5)
            port = server.getsockname()[1]
            metrics = RouterMetrics(f"127.0.0.1:{port}")
            metrics.count("requests", 3)
            metrics.observe("wait", "team a", "chat", 0.25)
            metrics.flush()
            text = server.recv(4096).decode()
        self.assertIn("chervilwall.requests:3|c", text)
        self.assertIn("chervilwall.wait.team_a.chat:250.000000|ms", text)

    def test_operators_can_read_them_without_a_server(self):
        metrics = RouterMetrics()
        for millis in range(1, 101):
            metrics.observe("total", "a", "chat", millis / 1000)
        found = metrics.view().histograms[0]
        self.assertEqual(found.samples, 100)
        self.assertAlmostEqual(found.p50_ms, 50, delta=50 * 0.1)
        self.assertAlmostEqual(found.p99_ms, 99, delta=99 * 0.1)

    def test_the_number_of_histograms_is_bounded(self):
        table = HistogramTable()
        for number in range(MAX_HISTOGRAMS + 50):
            table.observe(HistogramKey("wait", f"t{number}", "c"), 0.1)
        self.assertEqual(len(table), MAX_HISTOGRAMS)


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


class TargetRequestTest(unittest.TestCase):
    def test_a_team_key_never_reaches_a_target(self):
        headers = {
            "Authorization": "Bearer secret",
            "Accept": "text/event-stream",
            "Connection": "keep-alive",
        }
        req = CallerRequest("POST", "/x", headers, b"{}", 0.0)
        sent = _request_headers(req, "10.0.0.1:80")
        self.assertNotIn("Authorization", sent)
        self.assertEqual(sent["Accept"], "text/event-stream")
        self.assertEqual(sent["Content-Length"], "2")

    def test_usage_is_read_from_any_tail(self):
        usage = (
            '{"prompt_tokens": 10, "prompt_tokens_details": {"cached": 1}, '
            '"completion_tokens": 20}'
        )
        tail = f'data: {{"usage": {usage}}}\n\ndata: [DONE]\n\n'
        self.assertEqual(_usage_work(tail.encode()), 50.0)
        for bad in (b"", b'"usage":', b'"usage": null', b'"usage": {"a": 1}'):
            self.assertIsNone(_usage_work(bad))
