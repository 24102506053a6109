"""Tests of the event catalogue and of the fields of log records."""

import logging
import pathlib
import re
import unittest

from chervilwall import events

DOCS_DIR = pathlib.Path(__file__).parents[3] / "docs"
CATALOGUE_ROW = re.compile(r"^\| E(\d+) \| (\w+) \| ([^|]+) \| [^|]+ \|$")


class CatalogueTest(unittest.TestCase):
    def test_the_docs_list_every_event_and_no_other(self):
        documented = {
            (int(m[1]), m[2], m[3])
            for line in (DOCS_DIR / "EVENTS.md").read_text().splitlines()
            if (m := CATALOGUE_ROW.match(line))
        }
        defined = {
            (e.number, logging.getLevelName(e.level).lower(), e.text)
            for e in events.catalogue()
        }
        self.assertEqual(documented, defined)

    def test_numbers_are_unique_and_every_event_is_used(self):
        numbers = [e.number for e in events.catalogue()]
        self.assertEqual(len(numbers), len(set(numbers)))
        code = "".join(
            path.read_text()
            for path in DOCS_DIR.parent.glob("packages/*/chervilwall*/**/*.py")
        )
        for name, value in vars(events).items():
            if isinstance(value, events.Event):
                self.assertIn(f"events.{name}", code)

    def test_fields_travel_with_the_record(self):
        logger = logging.getLogger("chervilwall.test")
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        with self.assertLogs(logger) as caught:
            events.log_event(logger, events.ATTEMPT_FAILED, peer="t1")
        self.assertEqual(caught.records[0].event, 600)
        self.assertEqual(caught.records[0].fields, {"peer": "t1"})
