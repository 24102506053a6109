"""Tests of a router whose host is overloaded by the requests of one team."""

import asyncio
import unittest

from chervilwall_router.edge.clock import elapsed_s
from chervilwall_standins.users.fleet import KEY, TEAM, EdgeFleet, make_config
from chervilwall_standins.users.target import FakeTarget

OTHER_KEY = "key-of-team-2"
OPEN_STREAMS = 12
# Event loop lag at which a router refuses the team with the most requests, but
# not yet others; the limits are fractions of `event_delay_ms`.
LAG_S = 0.12
# A router refuses at the first step of handling a request, without waiting.
MAX_REFUSAL_S = 0.2


class FloodedHostTest(unittest.IsolatedAsyncioTestCase):
    """All requests in flight are streams of the first team."""

    async def asyncSetUp(self):
        self.model = FakeTarget(
            "m0", "model", events=400, event_interval_s=0.05
        )
        self.plain = FakeTarget("p0", "plain")
        self.fleet = EdgeFleet(self.model, self.plain)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        config = make_config(2)
        config["tenants"] = [
            {"name": TEAM, "api_keys": [KEY]},
            {"name": "team-2", "api_keys": [OTHER_KEY]},
        ]
        await self.fleet.store.put(
            "servers", "m0", self.model.spec(slots=4 * OPEN_STREAMS)
        )
        await self.fleet.store.put("config", "main", config)
        self.router = self.fleet.routers[0]
        await self.fleet.wait_until(lambda: self.router.config.version == 2)
        self.callers = [await self.fleet.connect() for _ in range(OPEN_STREAMS)]
        for number, caller in enumerate(self.callers):
            await caller.send(
                "/chat/x",
                request_id=f"s{number}",
                token_usage="10,400",
                timeout_remaining="20000",
            )
        await self.fleet.wait_until(
            lambda: len(self.model.executed) == OPEN_STREAMS
        )

    async def asyncTearDown(self):
        for caller in self.callers:
            caller.close()

    async def call_lagging(self, request_id, **options):
        """Sends a request while the router measures a lag of LAG_S."""
        self.router.host_load.record_lag(LAG_S, elapsed_s())
        return await self.fleet.call(
            "/read/x", request_id=request_id, **options
        )

    async def test_the_flooding_team_is_refused_as_not_run(self):
        loop = asyncio.get_running_loop()
        started = loop.time()
        response = await self.call_lagging("r1")
        self.assertLess(loop.time() - started, MAX_REFUSAL_S)
        self.assertEqual(response.status, 503)
        self.assertIn(b"host_behind", response.body)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        self.assertEqual(self.plain.received, [])

    async def test_other_teams_are_served_meanwhile(self):
        for number in range(5):
            response = await self.call_lagging(
                f"r{number}", authorization=f"Token {OTHER_KEY}"
            )
            self.assertEqual(response.status, 200)

    async def test_work_in_hand_goes_on(self):
        await self.call_lagging("r1")
        reader = self.callers[0].reader
        await asyncio.wait_for(reader.readuntil(b"data: 3\n"), 5.0)

    async def test_it_is_served_again_when_the_host_has_caught_up(self):
        self.assertEqual((await self.call_lagging("r1")).status, 503)
        await asyncio.sleep(0.6)
        response = await self.fleet.call("/read/x", request_id="r2")
        self.assertEqual(response.status, 200)

    async def read_metrics(self):
        """Returns the metrics page."""
        host, _, port = self.router.settings.listen.metrics.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(
            b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        page = await reader.read()
        writer.close()
        return page

    async def test_the_lateness_is_told(self):
        # The lag is first measured a moment after the router has started.
        async with asyncio.timeout(2.0):
            page = await self.read_metrics()
            while b"loop_lag_ms_count" not in page:
                await asyncio.sleep(0.01)
                page = await self.read_metrics()
        self.assertIn(b'loop_lag_ms{team="",class="",quantile="0.99"}', page)
