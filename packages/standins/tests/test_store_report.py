"""Tests of the report that is read from the users' store."""

import asyncio
import json
import pathlib
import subprocess
import sys
import unittest

from chervilwall_standins.users.fleet import TEAM, EdgeFleet
from chervilwall_standins.users.target import FakeTarget

CTL = pathlib.Path(__file__).parents[3] / "platform" / "ctl.py"
EXIT_FAILED = 1
EXIT_PARTIAL = 4


class StoreReportTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = EdgeFleet(FakeTarget("p0", "plain"), routers=2)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def report(self, *args):
        """Runs the tool and returns its exit code, stdout and stderr."""
        proc = await asyncio.create_subprocess_exec(
            sys.executable, str(CTL), "report", *args,
            stdout=subprocess.PIPE, stderr=subprocess.PIPE,
        )  # fmt: skip
        output, error_output = await proc.communicate()
        return proc.returncode, output.decode(), error_output.decode()

    async def test_it_sums_up_what_all_routers_served(self):
        for number in range(5):
            path = "/read/x"
            await self.fleet.call(
                path, router=number % 2, request_id=f"r{number}"
            )
        for router in self.fleet.routers:
            await router.write_totals()
        code, output, _ = await self.report(
            "--store", self.fleet.store.address, "--json"
        )
        self.assertEqual(code, 0)
        (line,) = json.loads(output)["lines"]
        self.assertEqual((line["team"], line["route"]), (TEAM, "read"))
        self.assertEqual((line["answered"], line["refused"]), (5, 0))

    async def test_totals_that_do_not_decode_are_named(self):
        await self.fleet.store.put("service-totals", "strange", {"a": 1})
        code, _, error_output = await self.report(
            "--store", self.fleet.store.address
        )
        self.assertEqual(code, EXIT_PARTIAL)
        self.assertIn("strange", error_output)

    async def test_a_store_that_is_away_is_told(self):
        code, _, error_output = await self.report("--store", "127.0.0.1:9")
        self.assertEqual(code, EXIT_FAILED)
        self.assertIn("127.0.0.1:9", error_output)
