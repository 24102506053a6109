"""Tests of an edge router that runs in its own process."""

import asyncio
import contextlib
import pathlib
import unittest

from chervilwall_standins.users.fleet import CallerConnection
from chervilwall_standins.users.flood import Load, measure, run_router
from chervilwall_standins.users.process_fleet import ProcessFleet
from chervilwall_standins.users.target import FakeTarget

LOADS = (
    Load("plain", "/read/x", callers=4, requests=5),
    Load("new connections", "/read/x", callers=4, requests=5, keep_alive=False),
    Load("streams", "/chat/x", events=8, callers=4, requests=3),
)
# A router with half a core has to relay 1,000 events of streams a second.
MAX_CPU_US_PER_EVENT = 500
EVENT_LOAD = Load("events", "/chat/x", events=60, callers=16, requests=2)


class EdgeProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_it_serves_every_kind_of_load(self):
        async with run_router() as router:
            for load in LOADS:
                with self.subTest(load=load.name):
                    cost = await measure(router, load)
                    requests = load.callers * load.requests
                    self.assertEqual(cost.responses, {200: requests})

    async def test_a_host_of_half_a_core_passes_on_a_thousand_events(self):
        async with run_router() as router:
            cost = await measure(router, EVENT_LOAD)
        events = EVENT_LOAD.events * sum(cost.responses.values())
        self.assertLess(cost.cpu_s * 1e6 / events, MAX_CPU_US_PER_EVENT)

    async def test_a_reload_during_the_start_does_not_end_the_router(self):
        target = FakeTarget("p0", "plain")
        async with (
            ProcessFleet(target, routers=1) as fleet,
            asyncio.timeout(20.0),
        ):
            router = fleet.routers[0]
            maps = pathlib.Path(f"/proc/{router.pid}/maps")
            # It imports its modules, before it reads its settings.
            while "msgspec" not in maps.read_text():
                await asyncio.sleep(0.002)
            router.reload()
            while not router.has_ended():
                with contextlib.suppress(OSError):
                    caller = await CallerConnection.open(router.address)
                    caller.close()
                    break
                await asyncio.sleep(0.05)
            self.assertFalse(router.has_ended())
            router.reload()
            while router.log.read_text().count('"event":103') < 2:
                await asyncio.sleep(0.05)
