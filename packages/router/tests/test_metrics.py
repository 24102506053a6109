"""Tests of counters, histograms and their output formats."""

import socket
import unittest

from chervilwall.histogram import MAX_HISTOGRAMS, HistogramKey, HistogramTable
from chervilwall_router.metrics import RouterMetrics, render_text


class MetricsTest(unittest.TestCase):
    def test_counters_and_timings_go_to_statsd(self):
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
            server.bind(("127.0.0.1", 0))
            server.settimeout(5)
            port = server.getsockname()[1]
            metrics = RouterMetrics(f"127.0.0.1:{port}")
            metrics.count("requests", 3)
            metrics.record_duration("wait", "team a", "chat", 0.25)
            metrics.flush()
            text = server.recv(4096).decode()
        self.assertIn("chervilwall.requests:3|c", text)
        self.assertIn("chervilwall.wait.team_a.chat:250.000000|ms", text)

    def test_operators_can_read_them_without_a_server(self):
        metrics = RouterMetrics()
        for millis in range(1, 101):
            metrics.record_duration("total", "a", "chat", millis / 1000)
        histogram = metrics.view().histograms[0]
        self.assertEqual(histogram.samples, 100)
        self.assertAlmostEqual(histogram.p50_ms, 50, delta=50 * 0.1)
        self.assertAlmostEqual(histogram.p99_ms, 99, delta=99 * 0.1)

    def test_the_number_of_histograms_is_bounded(self):
        table = HistogramTable()
        for number in range(MAX_HISTOGRAMS + 50):
            table.observe(HistogramKey("wait", f"t{number}", "c"), 0.1)
        self.assertEqual(len(table), MAX_HISTOGRAMS)


class RenderTextTest(unittest.TestCase):
    def test_counters_and_histograms_are_lines(self):
        metrics = RouterMetrics()
        metrics.count("ended_answered", 3)
        metrics.record_duration("total", "team", "chat", 0.25)
        text = render_text(metrics.view())
        self.assertIn("ended_answered 3\n", text)
        self.assertIn('total_ms_count{team="team",class="chat"} 1\n', text)
        self.assertIn('total_ms{team="team",class="chat",quantile="0.5"}', text)
