"""Tests of an edge router that runs in its own process."""

import unittest

from chervilwall_standins.users.flood import Load, measure, run_router

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
