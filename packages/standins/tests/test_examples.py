"""Tests that the example files are valid and the example script runs."""

import pathlib
import subprocess
import sys
import unittest

from chervilwall.sheet import parse_sheet
from chervilwall_router.settings import read_settings

EXAMPLES = pathlib.Path(__file__).parents[3] / "examples"


class ExamplesTest(unittest.TestCase):
    def test_settings_name_every_limit_and_period(self):
        cfg = read_settings(EXAMPLES / "router.json")
        text = (EXAMPLES / "router.json").read_text()
        for part in (cfg.limits, cfg.timing, cfg.log):
            for field in part.__struct_fields__:
                self.assertIn(f'"{field}"', text)

    def test_sheet_is_valid(self):
        config = parse_sheet((EXAMPLES / "sheet.csv").read_bytes())
        self.assertEqual(len(config.targets), 3)

    def test_scripts_run(self):
        result = subprocess.run(
            [sys.executable, EXAMPLES / "ask_scheduler.py"],
            capture_output=True,
            text=True,
            check=True,
        )
        order = result.stdout.split()
        self.assertEqual(order[4:12].count("large"), 6)
