"""Tests of sound targets that fall silent for a moment and go on."""

import asyncio
import unittest

from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import EdgeFleet, make_route
from chervilwall_standins.users.target import FakeTarget

# Longer than the silence after which an attempt moves to another target.
SILENCE_S = 2.2
EVENTS = 2


class SilentTargetTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, *targets, max_attempts=3):
        route = make_route(
            "draft",
            "model",
            kind="streaming",
            resumable=True,
            max_attempts=max_attempts,
            timeout_ms=8000,
        )
        fleet = EdgeFleet(*targets, routes=[route])
        async with fleet:
            return await fleet.call("/draft/x", timeout_remaining="8000")

    def make_target(self, name, version, interval_s=SILENCE_S):
        return FakeTarget(
            name,
            "model",
            events=EVENTS,
            event_interval_s=interval_s,
            version=version,
        )

    def assert_whole(self, response):
        self.assertEqual(response.status, 200)
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body.count(b"id: "), EVENTS)

    async def test_a_silent_target_is_waited_for_where_there_is_no_other(self):
        target = self.make_target("m0", "v1")
        self.assert_whole(await self.call(target))
        self.assertEqual(len(target.executed), 1)

    async def test_a_silent_target_is_waited_for_beside_another_version(self):
        targets = [self.make_target(f"m{n}", f"v{n}") for n in range(2)]
        self.assert_whole(await self.call(*targets))
        self.assertEqual(sum(len(x.executed) for x in targets), 1)

    async def test_a_silent_target_is_waited_for_if_no_retry_is_allowed(self):
        targets = [self.make_target(f"m{n}", "v1") for n in range(2)]
        response = await self.call(*targets, max_attempts=1)
        self.assert_whole(response)
        self.assertEqual(sum(len(x.executed) for x in targets), 1)


class RefusedReplacementTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stream_is_not_lost_to_a_target_that_refuses(self):
        silent = FakeTarget(
            "m0", "svc", events=EVENTS, event_interval_s=SILENCE_S
        )
        refusing = FakeTarget("m1", "svc", events=EVENTS)
        route = make_route(
            "job",
            "svc",
            kind="streaming",
            resumable=True,
            max_attempts=3,
            timeout_ms=8000,
        )
        async with EdgeFleet(silent, refusing, routes=[route]) as fleet:
            refusing.mode = t.OVERLOADED
            response = await fleet.call(
                "/job/x", timeout_remaining="8000", token_usage="100,40"
            )
        self.assertEqual(silent.executed, ["r1"])
        self.assertEqual(response.status, 200)
        self.assertTrue(response.is_complete)


class TakeoverTest(unittest.IsolatedAsyncioTestCase):
    """Tests of a second target that is sent the request of a silent one."""

    async def start(self, silent, other, **route):
        self.silent, self.other = silent, other
        fields = {"max_attempts": 3, "timeout_ms": 8000} | route
        routes = [make_route("job", "svc", **fields)]
        self.fleet = EdgeFleet(silent, other, routes=routes)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def start_streams(self, silent_s, **options):
        await self.start(
            FakeTarget("m0", "svc", events=EVENTS, event_interval_s=silent_s),
            FakeTarget("m1", "svc", events=EVENTS, **options),
            kind="streaming",
            resumable=True,
        )

    async def call_silent(self):
        """Sends requests until one is sent to the silent target first."""
        for number in range(8):
            response = await self.fleet.call(
                "/job/x",
                request_id=f"r{number}",
                timeout_remaining="8000",
                token_usage="100,40",
            )
            if f"r{number}" in self.silent.executed:
                return f"r{number}", response
        raise AssertionError("the silent target got no request")

    def assert_whole(self, response):
        self.assertEqual(response.status, 200)
        self.assertTrue(response.is_complete)
        ids = [x for x in response.body.split(b"\n") if x.startswith(b"id: ")]
        self.assertEqual(ids, [b"id: %d" % n for n in range(1, EVENTS + 1)])

    async def test_a_stream_is_not_lost_to_a_target_that_breaks_off(self):
        for mode in (t.OVERLOADED, t.RESET, t.UNSIGNED, t.ERROR):
            with self.subTest(mode=mode):
                await self.start_streams(SILENCE_S)
                self.other.mode = mode
                self.assert_whole((await self.call_silent())[1])

    async def test_a_stream_is_not_lost_to_a_target_that_cannot_be_reached(
        self,
    ):
        await self.start_streams(SILENCE_S)
        self.other.end_cleanly()
        self.assert_whole((await self.call_silent())[1])

    async def test_a_stream_is_not_lost_to_another_target_at_an_address(self):
        await self.start_streams(SILENCE_S)
        # It answers 421 to requests for the id that is registered.
        self.other.id = "m2"
        self.assert_whole((await self.call_silent())[1])

    async def test_a_read_is_not_lost_to_a_target_that_refuses(self):
        await self.start(FakeTarget("p0", "svc"), FakeTarget("p1", "svc"))
        self.silent.response_delay_s = SILENCE_S
        self.other.mode = t.OVERLOADED
        _, response = await self.call_silent()
        self.assertEqual(response.status, 200)
        self.assertTrue(response.body.startswith(b"p0:"))

    async def test_a_read_is_answered_by_the_target_that_takes_over(self):
        await self.start(FakeTarget("p0", "svc"), FakeTarget("p1", "svc"))
        self.silent.response_delay_s = 7.0
        request_id, response = await self.call_silent()
        self.assertEqual(response.body, f"p1:{request_id}".encode())

    async def test_a_stream_that_goes_on_meanwhile_has_each_event_once(self):
        # It goes on shortly before and after the other one is asked.
        for silent_s in (0.95, 1.0, 1.05, 1.1, 1.2):
            with self.subTest(silent_s=silent_s):
                await self.start_streams(silent_s, event_interval_s=0.3)
                self.assert_whole((await self.call_silent())[1])

    async def test_two_targets_work_on_a_stream_for_less_than_allowed(self):
        await self.start_streams(7.0)
        targets = (self.silent, self.other)
        for target in targets:
            target.mode = t.HANG
        calling = asyncio.ensure_future(
            self.fleet.call("/job/x", timeout_remaining="8000")
        )
        self.addCleanup(calling.cancel)
        while not all(target.received for target in targets):
            await asyncio.sleep(0.01)
        first = min(targets, key=lambda target: target.received[0].at)
        await asyncio.sleep(0.4)
        self.assertEqual(first.cancelled, ["r1"])


class FullTargetsTest(unittest.IsolatedAsyncioTestCase):
    """Tests of silent targets while all places of the others are taken."""

    async def start(self, *targets, **route):
        for target in targets:
            target.slots = 1
        routes = [
            make_route("job", "svc", max_attempts=2, timeout_ms=8000, **route)
        ]
        self.fleet = EdgeFleet(*targets, routes=routes)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def call_both(self):
        """Sends two requests, for which there are two places."""
        return await asyncio.gather(
            *(
                self.fleet.call(
                    "/job/x",
                    request_id=f"r{n}",
                    timeout_remaining="8000",
                    token_usage="100,40",
                )
                for n in range(2)
            )
        )

    def assert_each_ran_once(self, *targets):
        self.assertEqual([len(x.executed) for x in targets], [1, 1])

    async def test_a_stream_of_a_silent_target_goes_on_there(self):
        silent = FakeTarget(
            "m0", "svc", events=EVENTS, event_interval_s=SILENCE_S
        )
        busy = FakeTarget("m1", "svc", events=60, event_interval_s=0.1)
        await self.start(silent, busy, kind="streaming", resumable=True)
        for response in await self.call_both():
            self.assertEqual(response.status, 200)
            self.assertTrue(response.is_complete)
        self.assert_each_ran_once(silent, busy)

    async def test_a_late_answer_of_a_silent_target_is_passed_on(self):
        targets = [FakeTarget(f"p{n}", "svc") for n in range(2)]
        for target in targets:
            target.response_delay_s = SILENCE_S
        await self.start(*targets)
        for response in await self.call_both():
            self.assertEqual(response.status, 200)
        self.assert_each_ran_once(*targets)

    async def test_a_silent_target_is_left_once_another_has_room(self):
        silent = FakeTarget("m0", "svc", events=2, event_interval_s=7.0)
        busy = FakeTarget("m1", "svc", events=20, event_interval_s=0.1)
        await self.start(silent, busy, kind="streaming", resumable=True)
        for response in await self.call_both():
            self.assertEqual(response.status, 200)
            self.assertTrue(response.is_complete)
        self.assertEqual(len(busy.executed), 2)


if __name__ == "__main__":
    unittest.main()
