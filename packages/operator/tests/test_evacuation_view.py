"""Tests of `chervilctl evacuations`."""

import asyncio
import contextlib
import io
import json
import threading
import unittest

from chervilwall_ctl import commands
from chervilwall_ctl.main import main
from chervilwall_standins.users.evacuation_case import (
    EVACUATION_MS,
    KIND,
    make_targets,
)
from chervilwall_standins.users.fleet import EdgeFleet

NOWHERE = "127.0.0.1:1"


class EvacuationsCommandTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.fleet = EdgeFleet(
            *make_targets("east", "west"),
            routers=3,
            evacuation_ms=EVACUATION_MS,
        )
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def ctl(self, *addresses, options=()):
        """Runs the command in a thread; returns exit code, stdout, stderr."""
        args = ["evacuations", *options]
        for address in addresses:
            args += ["--router", address]
        out, err = io.StringIO(), io.StringIO()

        def run():
            with (
                contextlib.redirect_stdout(out),
                contextlib.redirect_stderr(err),
            ):
                codes.append(main(args))

        codes = []
        thread = threading.Thread(target=run)
        thread.start()
        while thread.is_alive():
            await asyncio.sleep(0.01)
        return codes[0], out.getvalue(), err.getvalue()

    async def test_one_router_leads_to_the_zones_of_all(self):
        address = self.fleet.routers[1].settings.listen.metrics
        code, out, _ = await self.ctl(address)
        self.assertEqual(code, commands.EXIT_OK)
        self.assertEqual(out.count("none"), 3)
        await self.fleet.store.put(KIND, "east", {})
        await self.fleet.wait_until(
            lambda: all(r.evacuations.names() for r in self.fleet.routers)
        )
        code, out, _ = await self.ctl(address)
        lines = [line.split() for line in out.splitlines()[1:]]
        self.assertEqual(
            [(x[0], x[2], x[-1]) for x in lines],
            [(f"router{n}", "east", "0") for n in range(3)],
        )
        code, out, _ = await self.ctl(address, options=["--json"])
        data = json.loads(out)
        self.assertEqual(data["missing"], [])
        self.assertEqual(len(data["routers"]), 3)
        zone = data["routers"][0]["zones"][0]
        self.assertEqual((zone["zone"], zone["running"]), ("east", 0))

    async def test_addresses_without_an_answer_are_named(self):
        address = self.fleet.routers[0].settings.listen.metrics
        code, out, err = await self.ctl(address, NOWHERE)
        self.assertEqual(code, commands.EXIT_PARTIAL)
        self.assertIn(NOWHERE, err)
        self.assertIn("router2", out)
        code, _, err = await self.ctl(NOWHERE)
        self.assertEqual(code, commands.EXIT_FAILED)


if __name__ == "__main__":
    unittest.main()
