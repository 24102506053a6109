"""Tests of callers that read their answers slowly."""

import asyncio
import unittest

from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import EdgeFleet, make_route
from chervilwall_standins.users.target import FakeTarget

# Longer than the kernel waits for an acknowledgement of other peers.
PAUSE_S = 4.0


class SlowReaderTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_caller_that_pauses_gets_its_whole_answer(self):
        target = FakeTarget("p0", "svc")
        target.mode = t.LARGE_BODY
        route = make_route("job", "svc", timeout_ms=15000)
        async with EdgeFleet(target, routes=[route]) as fleet:
            caller = await fleet.connect()
            self.addCleanup(caller.close)
            await caller.send("/job/x", timeout_remaining="15000")
            await asyncio.sleep(PAUSE_S)
            response = await caller.receive()
        self.assertEqual(response.status, 200)
        self.assertTrue(response.is_complete)
        self.assertEqual(len(response.body), t.LARGE_BYTES)


if __name__ == "__main__":
    unittest.main()
