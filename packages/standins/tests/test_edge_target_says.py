"""Tests of shutdown and pause announcements in responses of targets."""

import asyncio
import unittest

from chervilwall.registry import TargetStart
from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import EdgeFleet
from chervilwall_standins.users.target import FakeTarget


class TargetSaysTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.plain = [FakeTarget(f"p{i}", "plain") for i in range(2)]
        self.models = [
            FakeTarget(f"m{i}", "model", events=30, event_interval_s=0.02)
            for i in range(2)
        ]
        self.fleet = EdgeFleet(*self.plain, *self.models, routers=2)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def call(self, number, path="/read/x", **options):
        return await self.fleet.call(path, request_id=f"r{number}", **options)

    async def find_preferred(self):
        """Returns the plain target that gets a request when all are idle."""
        await self.call("warm")
        return next(x for x in self.plain if x.executed)

    async def test_a_target_that_says_it_leaves_gets_nothing_more(self):
        preferred = await self.find_preferred()
        preferred.leaving = True
        await self.call("last")
        await asyncio.sleep(0.1)
        before = len(preferred.received)
        for number in range(20):
            response = await self.call(f"after{number}", router=number % 2)
            self.assertEqual(response.status, 200)
        self.assertEqual(len(preferred.received), before)

    async def test_the_store_does_not_bring_back_one_that_leaves(self):
        preferred = await self.find_preferred()
        preferred.leaving = True
        for router in self.fleet.routers:
            router.registry.record_leaving(self.make_start(preferred), 0.0)
        before = len(preferred.received)
        spec = preferred.spec(sequence=9, zone="z2")
        await self.fleet.store.put("servers", preferred.id, spec)
        await self.fleet.wait_until(
            lambda: all(
                r.registry.get(preferred.id).zone == "z2"
                for r in self.fleet.routers
            )
        )
        for number in range(10):
            await self.call(f"after{number}", router=number % 2)
        self.assertEqual(len(preferred.received), before)

    def make_start(self, target):
        """Returns what identifies the current start of a target."""
        known = self.fleet.routers[0].registry.get(target.id)
        return TargetStart(known.id, known.born_ms, known.address)

    async def test_a_new_start_of_it_takes_requests(self):
        first = self.plain[0]
        for router in self.fleet.routers:
            router.registry.record_leaving(self.make_start(first), 0.0)
        spec = first.spec(born=2000)
        await self.fleet.store.put("servers", first.id, spec)
        await self.fleet.wait_until(
            lambda: all(
                not r.registry.get(first.id).draining
                for r in self.fleet.routers
            )
        )
        self.plain[1].mode = t.OVERLOADED
        response = await self.call(1)
        self.assertEqual(response.status, 200)

    async def test_it_is_told_at_the_head_of_a_long_stream(self):
        for model in self.models:
            model.leaving = True
        callers = [await self.fleet.connect() for _ in range(2)]
        for number, caller in enumerate(callers):
            await caller.send(
                "/chat/x", request_id=f"s{number}", token_usage="100,30"
            )
            await caller.reader.readuntil(b"data: 1")
        router = self.fleet.routers[0]
        leaving = [m for m in self.models if router.registry.get(m.id).draining]
        self.assertTrue(leaving)
        for caller in callers:
            caller.close()

    async def test_a_pause_that_a_target_asks_for_is_kept(self):
        preferred = await self.find_preferred()
        preferred.mode, preferred.retry_after_s = t.OVERLOADED, 1.0
        response = await self.call("shed")
        self.assertEqual(response.status, 200)
        before = len(preferred.received)
        for number in range(20):
            response = await self.call(f"during{number}")
            self.assertEqual(response.status, 200)
        self.assertEqual(len(preferred.received), before)
        preferred.mode = t.NORMAL
        other = next(x for x in self.plain if x is not preferred)
        other.mode = t.OVERLOADED
        await asyncio.sleep(1.0)
        response = await self.call("later", timeout_remaining="2000")
        self.assertEqual(response.status, 200)

    async def test_when_all_ask_for_one_the_refusal_tells_its_end(self):
        for target in self.plain:
            target.mode, target.retry_after_s = t.OVERLOADED, 1.5
        await self.call("shed")
        received = sum(len(x.received) for x in self.plain)
        started = asyncio.get_running_loop().time()
        response = await self.call("next")
        elapsed_s = asyncio.get_running_loop().time() - started
        self.assertEqual(response.status, 503)
        self.assertLess(elapsed_s, 0.2)
        self.assertGreater(float(response.headers["Retry-After"]), 0.8)
        self.assertLessEqual(float(response.headers["Retry-After"]), 1.5)
        self.assertEqual(sum(len(x.received) for x in self.plain), received)
