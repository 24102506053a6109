"""Tests of the settings file and the command line."""

import contextlib
import io
import pathlib
import tempfile
import unittest

from chervilwall.errors import SettingsError
from chervilwall.settings_file import parse_settings
from chervilwall_router.main import main
from chervilwall_router.settings import RouterSettings
from hypothesis import given, settings
from hypothesis import strategies as st

VALID = """{
  // This host's name.
  "name": "router1", "zone": "az1",
  "listen": {"callers": "127.0.0.1:8080", "peers": "127.0.0.1:7000"},
  "platform": "http://127.0.0.1:9000",
  "fleet_keys": ["a-secret-of-the-fleet"], /* newest first */
}"""
PATH = pathlib.Path("router.json")


def parse(text):
    return parse_settings(text.encode(), RouterSettings, PATH)


class SettingsTest(unittest.TestCase):
    def test_comments_and_defaults(self):
        cfg = parse(VALID)
        self.assertEqual(cfg.name, "router1")
        self.assertEqual(cfg.limits.max_attempts, 3)

    def test_each_fault_names_file_key_and_what_was_expected(self):
        cases = {
            "unknown key": ('"zone"', '"zoen"', "zoen"),
            "wrong type": ('"az1"', "1", "$.zone"),
            "out of range": (
                '"platform"',
                '"limits": {"max_attempts": 0}, "platform"',
                "$.limits.max_attempts",
            ),
            "short secret": ("a-secret-of-the-fleet", "x", "$.fleet_keys"),
            "address": ("127.0.0.1:8080", "localhost", "$.listen.callers"),
            "no JSON": ("{", "[", ""),
        }
        for name, (old, new, where) in cases.items():
            with self.subTest(name):
                with self.assertRaises(SettingsError) as caught:
                    parse(VALID.replace(old, new, 1))
                self.assertIn("router.json", str(caught.exception))
                self.assertIn(where, str(caught.exception))

    def test_check_settings_reports_by_exit_code(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "router.json"
            out, err = io.StringIO(), io.StringIO()
            with (
                contextlib.redirect_stdout(out),
                contextlib.redirect_stderr(err),
            ):
                path.write_text(VALID)
                self.assertEqual(main(["--check-settings", str(path)]), 0)
                path.write_text(VALID.replace("az1", ""))
                self.assertEqual(main(["--check-settings", str(path)]), 2)
                path.unlink()
                self.assertEqual(main([str(path)]), 2)
            self.assertIn("$.zone", err.getvalue())

    @settings(derandomize=True, max_examples=200, deadline=None)
    @given(st.integers(0, len(VALID) - 1), st.text(max_size=8))
    def test_any_edit_is_taken_or_refused(self, at, text):
        with contextlib.suppress(SettingsError):
            parse(VALID[:at] + text + VALID[at + len(text) :])
