"""Tests of the comparison of variants by recorded journal entries."""

import importlib.util
import json
import pathlib
import sys
import tempfile
import unittest

TOOL = pathlib.Path(__file__).parents[3] / "tools" / "experiment.py"
spec = importlib.util.spec_from_file_location("experiment", TOOL)
experiment = importlib.util.module_from_spec(spec)
sys.modules["experiment"] = experiment
spec.loader.exec_module(experiment)

# The members of an entry's day that are read, as the bench recorded them.
DAY = {
    "G": 0.6516,
    "served": 0.8636,
    "refused": 0.1998,
    "failed": 0.1061,
    "parts": [["whole day", 0.45, 0.8636], ["worst tenants", 0.3, 0.7305]],
    "prices": [
        ["machine-seconds", 509.134, 0.01],
        ["1,000 tokens of shared parts read again", 663.006, 0.0662],
    ],
    "rules": {},
    "fault": None,
}


def read(**changes):
    with tempfile.TemporaryDirectory() as folder:
        path = pathlib.Path(folder) / "entry.json"
        path.write_text(json.dumps({"days": [DAY | changes]}))
        return experiment.read_result(path)


def make_plays(*worths, seed=1, **changes):
    return {
        experiment.Play(pathlib.Path("s.toml"), "mix", seed + i): read(
            G=worth, **changes
        )
        for i, worth in enumerate(worths)
    }


class ExperimentTest(unittest.TestCase):
    def test_an_entry_gives_worth_parts_and_prices(self):
        result = read()
        self.assertEqual(result.figures["worth"], 0.6516)
        self.assertEqual(result.figures["worst tenants"], 0.7305)
        self.assertAlmostEqual(result.figures["prices"], 0.0762)
        self.assertEqual((result.rules, result.fault), ({}, ""))

    def test_an_entry_without_a_day_is_refused(self):
        with tempfile.TemporaryDirectory() as folder:
            path = pathlib.Path(folder) / "entry.json"
            path.write_text(json.dumps({"days": [], "error": "busy"}))
            with self.assertRaisesRegex(ValueError, "busy"):
                experiment.read_result(path)

    def test_differences_are_taken_within_pairs(self):
        base = make_plays(0.6, 0.7, 0.9)
        other = make_plays(0.65, 0.74)
        found = experiment.paired_differences(base, other)["worth"]
        self.assertEqual([round(x, 3) for x in found], [0.05, 0.04])

    def test_the_interval_of_equal_code_contains_zero(self):
        low, high = experiment.bootstrap_interval(
            [0.01, -0.02, 0.015, -0.005, 0.002, -0.004]
        )
        self.assertLess(low, 0)
        self.assertGreater(high, 0)
        low, _ = experiment.bootstrap_interval([0.02, 0.03, 0.025, 0.04])
        self.assertGreater(low, 0)

    def test_the_report_names_broken_rules(self):
        base = make_plays(0.6, 0.7)
        other = make_plays(0.5, 0.6, rules={"FAIR": 1})
        report = experiment.render({"base": base, "other": other})
        self.assertIn("other - base", report)
        self.assertIn("mix seed 2: {'FAIR': 1}", report)

    def test_settings_are_added_to_a_template(self):
        template = '{\n  "name": {{node_name|json}}\n}\n'
        overlay = '{"waiting": {"late_s": 0.5}, "cpu": 2}'
        text = experiment.add_settings(template, overlay)
        filled = text.replace("{{node_name|json}}", '"n"')
        self.assertNotIn("{{", filled)
        self.assertEqual(
            json.loads(filled),
            {"name": "n", "waiting": {"late_s": 0.5}, "cpu": 2},
        )
        with self.assertRaises(ValueError):
            experiment.add_settings(template, "[1]")

    def test_seeds_are_single_ones_and_ranges(self):
        self.assertEqual(experiment.parse_seeds("1-3,9"), [1, 2, 3, 9])
