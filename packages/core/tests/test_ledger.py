"""Tests of the ledger of grow-only totals and of its report."""

import random
import unittest

from chervilwall.ledger import UNCERTAIN, Ledger
from chervilwall.report import merge_rows, report_lines


class LedgerTest(unittest.TestCase):
    def test_copies_late_doubled_and_out_of_order_count_once(self):
        rng = random.Random(3)
        ledgers = [Ledger(f"r{i}-1") for i in range(3)]
        copies = []
        for _ in range(300):
            ledger = rng.choice(ledgers)
            ledger.add("a", "s", "c", "completed", work=2.0, worth=1.0)
            if rng.random() < 0.3:
                copies.append(tuple(ledger))
        copies += [tuple(ledger) for ledger in ledgers]
        copies += rng.sample(copies, len(copies) // 2)
        rng.shuffle(copies)
        line = report_lines(merge_rows(copies))[0]
        self.assertEqual(line.row.completed, 300)
        self.assertEqual(line.row.work, 600.0)

    def test_each_outcome_has_its_column(self):
        ledger = Ledger("r-1")
        for outcome in ("completed", "refused", "broken", UNCERTAIN):
            ledger.add("a", "s", "c", outcome, work=1.0, worth=5.0)
        row = report_lines(ledger)[0].row
        self.assertEqual(row, (1, 1, 1, 1, 1.0, 5.0, 0, 0))

    def test_what_a_lost_router_had_is_uncertain_unless_it_lived(self):
        ledger = Ledger("r1-1")
        ledger.add("a", "s", "c", UNCERTAIN, lost="r2-1")
        uncertain = [line.row.uncertain for line in report_lines(ledger)]
        self.assertEqual(uncertain, [1])
        self.assertEqual(report_lines(ledger, alive=["r2-1"]), [])
        survivor = Ledger("r2-1")
        survivor.close()
        ledger.merge(survivor)
        self.assertEqual(report_lines(ledger), [])
