"""Tests of routers whose process or host is suspended for a while.

A jump of the clock stands for the suspension.
"""

import time
import unittest
from unittest import mock

from chervilwall_router.edge import clock
from chervilwall_standins.users.fleet import EdgeFleet
from chervilwall_standins.users.target import FakeTarget


class SuspendedTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.suspended_s = 0.0
        clock_gettime = time.clock_gettime
        self.enterContext(
            mock.patch.object(
                clock.time,
                "clock_gettime",
                lambda which: clock_gettime(which) + self.suspended_s,
            )
        )
        self.target = FakeTarget("p0", "plain")
        self.fleet = EdgeFleet(self.target)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def test_a_request_whose_time_ran_out_meanwhile_is_not_sent(self):
        router = self.fleet.routers[0]
        acquire = router.dispatcher.acquire

        async def acquire_and_suspend(request):
            grant = await acquire(request)
            self.suspended_s += 5.0
            return grant

        router.dispatcher.acquire = acquire_and_suspend
        response = await self.fleet.call("/book/x")
        self.assertEqual(response.status, 503)
        self.assertEqual(self.target.received, [])

    async def test_connections_that_rested_meanwhile_are_not_used(self):
        await self.fleet.call("/book/x", request_id="b1")
        self.suspended_s += 20.0
        response = await self.fleet.call("/book/x", request_id="b2")
        self.assertEqual(response.status, 200)
        self.assertEqual(self.target.connections, 2)
