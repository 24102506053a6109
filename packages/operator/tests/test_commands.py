"""Tests of the `chervilctl` commands and their exit codes."""

import contextlib
import io
import json
import pathlib
import tempfile
import unittest

from chervilwall_ctl import commands
from chervilwall_ctl.main import main
from chervilwall_ctl.table import Column, Table
from chervilwall_standins.demo import make_deployment
from chervilwall_standins.fleet import OPERATOR_KEY, Fleet
from chervilwall_standins.sheets import make_sheet


class CommandsTest(unittest.TestCase):
    @classmethod
    def setUpClass(cls):
        cls.fleet = cls.enterClassContext(Fleet(routers=1))
        folder = cls.enterClassContext(tempfile.TemporaryDirectory())
        cls.folder = pathlib.Path(folder)
        cls.dep = make_deployment()

    def ctl(self, *args):
        """Runs `chervilctl`; returns exit code, stdout and stderr."""
        common = ["--platform", self.fleet.platform_url]
        common += ["--router", self.fleet.caller_address("router1")]
        out, err = io.StringIO(), io.StringIO()
        with contextlib.redirect_stdout(out), contextlib.redirect_stderr(err):
            code = main([*args, *common, "--key", OPERATOR_KEY])
        return code, out.getvalue(), err.getvalue()

    def sheet(self, name, blob):
        path = self.folder / name
        path.write_bytes(blob)
        return str(path)

    def test_a_sheet_from_check_to_history(self):
        path = self.sheet("good.csv", make_sheet(self.dep))
        code, out, _ = self.ctl("check", path, "--json")
        self.assertEqual(code, commands.EXIT_OK)
        self.assertTrue(json.loads(out)["changes"])
        code, out, _ = self.ctl("apply", path, "--operator", "ana")
        self.assertEqual(code, commands.EXIT_OK)
        self.assertIn("accepted as version", out)
        code, out, _ = self.ctl("check", path)
        self.assertIn("0 changes", out)
        code, out, _ = self.ctl("history", "--json")
        self.assertEqual(json.loads(out)[-1]["operator"], "ana")

    def test_a_bad_sheet_is_refused_whole_with_each_fault(self):
        blob = make_sheet(self.dep).replace(b";8;", b";0;", 1)
        blob += b"\r\ntarget;lonely"
        path = self.sheet("bad.csv", blob)
        code, out, err = self.ctl("apply", path, "--json")
        self.assertEqual(code, commands.EXIT_REFUSED)
        columns = {fault["column"] for fault in json.loads(out)["faults"]}
        self.assertLessEqual({"share", "service", "address"}, columns)
        self.assertIn("nothing was changed", err)
        code, _, _ = self.ctl("apply", str(self.folder / "missing.csv"))
        self.assertEqual(code, commands.EXIT_REFUSED)

    def test_unknown_names_are_failures(self):
        for args in (("drain", "nobody"), ("target", "leave", "nothing")):
            code, _, err = self.ctl(*args)
            self.assertEqual(code, commands.EXIT_FAILED)
            self.assertIn(
                f"no {'router' if 'drain' in args else 'target'}", err
            )

    def test_a_key_and_its_digest(self):
        _, out, _ = self.ctl("key", "--json")
        result = json.loads(out)
        self.assertEqual(commands.hash_key(result["key"]), result["digest"])

    def test_wrong_usage(self):
        with self.assertRaises(SystemExit) as caught:
            self.ctl("nonsense")
        self.assertEqual(caught.exception.code, commands.EXIT_USAGE)


class TableTest(unittest.TestCase):
    def test_text_is_aligned_and_csv_is_quoted(self):
        table = Table([Column("team"), Column("work", True)])
        table.add("a,b", 1.25)
        table.add("long name", 100)
        self.assertEqual(
            table.to_text(),
            "team       work\na,b         1.2\nlong name   100",
        )
        self.assertEqual(table.to_csv(), 'team,work\n"a,b",1.2\nlong name,100')
