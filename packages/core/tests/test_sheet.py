"""Tests of parsing and comparing operators' sheets."""

import time
import unittest

from chervilwall.sheet import (
    MAX_SHEET_BYTES,
    InvalidSheetError,
    diff_configs,
    parse_sheet,
)
from hypothesis import given, settings
from hypothesis import strategies as st

KEY = "a" * 64
HEADER = (
    "record;name;service;share;key;path;worth;idempotent;deadline_s;address"
)
VALID_SHEET = f"""{HEADER}
team;Kauppa;;1,5;{KEY};;;;;
service;advice;;;;;;;;
class;chat;advice;;;/v1/chat;2,5;kyllä;5;
target;engine-1;advice;;;;;;;10.0.0.1:8000
"""


def faults_of(text):
    blob = text if isinstance(text, bytes) else text.encode()
    try:
        parse_sheet(blob)
    except InvalidSheetError as exc:
        return exc.faults
    return ()


class SheetTest(unittest.TestCase):
    def test_reads_semicolons_and_decimal_commas(self):
        config = parse_sheet(VALID_SHEET.encode())
        self.assertEqual(config.teams[0].share, 1.5)
        self.assertEqual(config.classes[0].worth, 2.5)
        self.assertTrue(config.classes[0].idempotent)

    def test_reads_the_encodings_that_spreadsheets_export(self):
        expected = parse_sheet(VALID_SHEET.encode())
        crlf = VALID_SHEET.replace("\n", "\r\n")
        comma_separated = VALID_SHEET.replace(",", ".").replace(";", ",")
        for blob in (
            b"\xef\xbb\xbf" + VALID_SHEET.encode(),
            crlf.encode(),
            VALID_SHEET.encode("cp1252"),
            comma_separated.encode(),
            (b"\xef\xbb\xbf" + crlf.encode()),
        ):
            with self.subTest(blob=blob[:20]):
                self.assertEqual(parse_sheet(blob), expected)

    def test_reads_quoted_decimal_comma_between_commas(self):
        text = VALID_SHEET.replace("1,5", '"1|5"').replace("2,5", '"2|5"')
        text = text.replace(";", ",").replace("|", ",")
        self.assertEqual(parse_sheet(text.encode()).teams[0].share, 1.5)

    def test_names_cp1252_letters(self):
        text = VALID_SHEET.replace("Kauppa", "Eläkeläiset")
        config = parse_sheet(text.encode("cp1252"))
        self.assertEqual(config.teams[0].name, "Eläkeläiset")

    def test_refuses_each_fault_with_its_place(self):
        cases = {
            "share of zero": (("1,5", "0"), 2, "share"),
            "share not a number": (("1,5", "a lot"), 2, "share"),
            "ambiguous number": (("1,5", "1.000,5"), 2, "share"),
            "unknown record": (("target;", "engine;"), 5, "record"),
            "target without service": (
                ("engine-1;advice", "engine-1;"),
                5,
                "service",
            ),
            "bad address": (("10.0.0.1:8000", "engine.example"), 5, "address"),
            "bad flag": (("kyllä", "maybe"), 4, "idempotent"),
            "path": (("/v1/chat", "v1/chat"), 4, "path"),
            "key": ((KEY, "secret"), 2, "key"),
        }
        for name, ((old, new), row, column) in cases.items():
            with self.subTest(name):
                faults = faults_of(VALID_SHEET.replace(old, new))
                places = [(f.row, f.column) for f in faults]
                self.assertIn((row, column), places)

    def test_refuses_duplicate_names_keys_and_addresses(self):
        lines = VALID_SHEET.splitlines()
        with_duplicates = "\n".join([*lines, lines[1], lines[4]])
        places = {(f.row, f.column) for f in faults_of(with_duplicates)}
        self.assertLessEqual(
            {(6, "name"), (6, "key"), (7, "name"), (7, "address")}, places
        )

    def test_refuses_empty_and_partial_sheets(self):
        for text in (
            "",
            "\n\n",
            "record;name\n",
            "just text",
            VALID_SHEET[:90],
        ):
            with self.subTest(text=text[:20]):
                self.assertTrue(faults_of(text))

    def test_refuses_binary_and_oversized_files(self):
        self.assertTrue(faults_of(b"\xff\xfe\x00\x01"))
        self.assertTrue(faults_of(b"\x00" * 100))
        self.assertTrue(faults_of(b"x" * (MAX_SHEET_BYTES + 1)))

    def test_takes_a_sheet_of_several_megabytes(self):
        row = "team;{0};;1;{0:064x};;;;;"
        rows = [row.format(i) for i in range(1, 40_000)]
        text = VALID_SHEET + "\n".join(rows)
        self.assertGreater(len(text), 3_000_000)
        started = time.process_time()
        self.assertEqual(len(parse_sheet(text.encode()).teams), 40_000)
        self.assertLess(time.process_time() - started, 30)

    def test_diff_hides_keys(self):
        old = parse_sheet(VALID_SHEET.encode())
        changed = VALID_SHEET.replace(KEY, "b" * 64).replace("1,5", "2")
        lines = diff_configs(old, parse_sheet(changed.encode()))
        self.assertEqual(
            lines,
            [
                "~ teams Kauppa: keys changed",
                "~ teams Kauppa: share 1.5 -> 2.0",
            ],
        )

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.binary(max_size=400))
    def test_any_bytes_are_taken_or_refused(self, blob):
        faults_of(blob)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(st.integers(0, len(VALID_SHEET) - 1), st.text(max_size=12))
    def test_any_edit_is_taken_or_refused(self, at, text):
        faults_of(
            (VALID_SHEET[:at] + text + VALID_SHEET[at + len(text) :]).encode()
        )
