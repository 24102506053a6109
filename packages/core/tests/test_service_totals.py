"""Tests of the service totals of a router."""

import unittest

from chervilwall.errors import CodecError
from chervilwall.service_totals import (
    ServiceTotals,
    Total,
    TotalKey,
    decode_totals,
)

KEY = TotalKey("team", "route")


class ServiceTotalsTest(unittest.TestCase):
    def test_totals_grow_and_survive_the_store(self):
        totals = ServiceTotals()
        totals.add(KEY, Total(answered=1, prompt_tokens=10))
        totals.add(KEY, Total(refused=1))
        totals.add(TotalKey("", "open"), Total(unknown=1))
        rows = decode_totals(totals.encode())
        self.assertEqual(rows[KEY], Total(1, 1, 0, 10, 0))
        self.assertEqual(rows[TotalKey("", "open")], Total(unknown=1))

    def test_unreadable_totals_are_told(self):
        for value in (b"", b"[1]", b'{"a": 1}', b"\xff"):
            with self.assertRaises(CodecError):
                decode_totals(value)
