"""Tests of reading the settings of an edge router."""

import pathlib
import re
import tempfile
import unittest

from chervilwall.errors import SettingsError
from chervilwall_router.edge.settings import read_edge_settings

# Template from which deployments generate the settings file.
TEMPLATE = pathlib.Path(__file__).parents[3] / "deploy" / "edge.json.tmpl"
SECTION = re.compile(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", re.DOTALL)
# Values of the template's fields, as JSON.
FIELDS = {
    "node_name": '"edge-1"',
    "zone": '"z"',
    "listen.front": '"10.0.0.1:8783"',
    "listen.readiness": '"10.0.0.1:8780"',
    "listen.directory": '"10.0.0.1:8789"',
    "provider.address": '"10.0.0.9:8781"',
    "bounds.retry_budget_ratio": "0.2",
    "bounds.budget_window_s": "10",
    "bounds.budget_slack": "56",
    "bounds.grace_s": "8",
    "bounds.pass_ms": "120",
    "bounds.evacuate_ms": "5000",
    "bounds.cold_over": "1.5",
    "bounds.cold_slack": "5",
    "limits.cpu_share": "0.537",
    "limits.memory_mb": "300",
    "limits.max_fds": "1638",
    "bootstrap": "true",
}


def render_template(**changes):
    """Returns the template filled in with FIELDS and changes to them."""
    fields = FIELDS | changes
    text = SECTION.sub(
        lambda match: match[2] if fields[match[1]] else "",
        TEMPLATE.read_text(),
    )
    for name, value in fields.items():
        text = text.replace("{{" + name + "|json}}", value)
    for name, value in (
        ("ip", "10.0.0.1"),
        ("internal_ports.0", "7400"),
        ("internal_ports.1", "7415"),
    ):
        text = text.replace("{{" + name + "}}", value)
    return text


class EdgeSettingsTest(unittest.TestCase):
    def read(self, text):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "edge.json"
            path.write_text(text)
            return read_edge_settings(path)

    def test_the_template_gives_settings(self):
        cfg = self.read(render_template())
        self.assertEqual(cfg.name, "edge-1")
        self.assertEqual(cfg.listen.peers, "10.0.0.1:7400")
        self.assertEqual((cfg.retries.ratio, cfg.retries.slack), (0.2, 56))
        self.assertEqual(cfg.stop.grace_s, 8)
        self.assertEqual(cfg.event_delay_ms, 120)
        self.assertEqual(cfg.evacuation_ms, 5000)
        self.assertTrue(cfg.bootstrap)
        self.assertEqual(cfg.memory_mb, 300)
        self.assertEqual(cfg.kept_bytes, 60 << 20)
        self.assertEqual((cfg.cold.rate_factor, cfg.cold.slack), (1.5, 5))
        self.assertEqual(cfg.caller_bytes, 75 << 20)
        self.assertEqual(cfg.max_descriptors, 1638)

    def test_what_a_deployment_does_not_say_has_a_default(self):
        cfg = self.read(render_template(**{"bounds.pass_ms": ""}))
        self.assertGreater(cfg.event_delay_ms, 0)
        cfg = self.read(render_template(**{"limits.memory_mb": ""}))
        self.assertEqual(cfg.kept_bytes, 30 << 20)
        cfg = self.read(render_template(**{"bounds.evacuate_ms": ""}))
        self.assertIsNone(cfg.evacuation_ms)
        cfg = self.read(render_template(**{"bounds.cold_over": ""}))
        self.assertIsNone(cfg.cold)
        cfg = self.read(render_template(**{"limits.max_fds": ""}))
        self.assertIsNone(cfg.max_fds)
        self.assertGreater(cfg.max_descriptors, 0)
        cfg = self.read(render_template(bootstrap=""))
        self.assertFalse(cfg.bootstrap)

    def test_a_wrong_value_is_named(self):
        with self.assertRaises(SettingsError) as caught:
            self.read(render_template(**{"listen.front": '"nowhere"'}))
        self.assertIn("listen.callers", str(caught.exception))
        with self.assertRaises(SettingsError) as caught:
            self.read(render_template(**{"bounds.grace_s": "0"}))
        self.assertIn("stop.grace_s", str(caught.exception))
        with self.assertRaises(SettingsError) as caught:
            self.read(render_template(**{"bounds.cold_slack": "-1"}))
        self.assertIn("cold.slack", str(caught.exception))

    def test_a_missing_file_and_broken_text_are_told(self):
        with self.assertRaises(SettingsError):
            read_edge_settings(pathlib.Path("/nonexistent/edge.json"))
        with self.assertRaises(SettingsError):
            self.read(render_template()[:-5])

    def test_limits_on_waiting_and_placement_are_checked(self):
        text = render_template()
        cut = text.rindex("}")

        def read_with(section):
            return self.read(f"{text[:cut]}, {section} }}")

        cfg = read_with('"waiting": {"late_objectives": 0.7}')
        self.assertEqual(cfg.waiting.late_objectives, 0.7)
        cfg = read_with('"placement": {"max_queued_s": [0.1, 0.1, 0.1]}')
        self.assertEqual(cfg.placement.max_queued_s, (0.1, 0.1, 0.1))
        for section in (
            '"waiting": {"late": 1}',
            '"waiting": {"late_s": -1}',
            '"placement": {"slot_fraction": 1.5}',
        ):
            with self.subTest(section), self.assertRaises(SettingsError):
                read_with(section)
