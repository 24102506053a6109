"""Tests of what changes while a connection to a target is opened."""

import asyncio
import unittest

from chervilwall_standins.users.fleet import EdgeFleet
from chervilwall_standins.users.target import FakeTarget

# Time that a connection takes to open, longer than a change takes to arrive.
DIAL_S = 0.3


class LateConnectionTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.targets = [FakeTarget(f"p{i}", "plain") for i in range(2)]
        self.fleet = EdgeFleet(*self.targets)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.dialled = asyncio.get_running_loop().create_future()
        connections = self.fleet.routers[0].connections
        acquire = connections.acquire

        async def acquire_late(target):
            if not self.dialled.done():
                self.dialled.set_result(target)
                await asyncio.sleep(DIAL_S)
            return await acquire(target)

        connections.acquire = acquire_late

    async def call_and_change(self, change):
        """Calls, and changes the target while the connection is opened."""
        call = asyncio.ensure_future(self.fleet.call("/book/x"))
        dialled = await self.dialled
        (target,) = (x for x in self.targets if x.id == dialled.id)
        await change(target)
        response = await call
        self.assertEqual(response.status, 200)
        self.assertEqual(target.received, [])

    async def test_a_target_that_drains_meanwhile_gets_no_request(self):
        await self.call_and_change(self.fleet.drain_target)

    async def test_a_target_that_is_removed_meanwhile_gets_no_request(self):
        async def remove(target):
            await self.fleet.store.delete("servers", target.id)
            await self.fleet.wait_until(
                lambda: target.id not in self.fleet.routers[0].registry
            )

        await self.call_and_change(remove)

    async def test_a_target_that_asks_for_a_pause_meanwhile_gets_no_request(
        self,
    ):
        async def pause(target):
            router = self.fleet.routers[0]
            router._state.pauses.record(target.id, 2.0, router._clock())

        await self.call_and_change(pause)

    async def test_a_target_that_starts_anew_under_its_id_is_used(self):
        await self.fleet.remove_target(self.targets[1])
        target = self.targets[0]
        call = asyncio.ensure_future(self.fleet.call("/book/x"))
        await self.dialled
        target.born_ms += 1
        await self.fleet.store.put("servers", target.id, target.spec())
        response = await call
        self.assertEqual(response.status, 200)

    async def test_a_booking_whose_caller_leaves_meanwhile_is_not_sent(self):
        caller = await self.fleet.connect()
        await caller.send("/book/x")
        await self.dialled
        caller.close()
        await asyncio.sleep(2 * DIAL_S)
        self.assertEqual([x.received for x in self.targets], [[], []])


if __name__ == "__main__":
    unittest.main()
