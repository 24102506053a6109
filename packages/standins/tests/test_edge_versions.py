"""Tests that no stream is joined from two versions of the targets' software.

What two versions write does not fit together, and targets do not check where a
stream began. A stream goes on only at the version that began it, within one
answer and over the attempts of its caller.
"""

import asyncio
import logging
import time
import unittest

from chervilwall import events
from chervilwall_standins.users import target as t
from chervilwall_standins.users.stream_case import (
    EVENTS,
    PROMPT_S,
    StreamVersionsCase,
)

# Time for which a stream has run when the router that knows it is lost.
RUN_S = 0.3
# Streams for which one target has room.
FEW_STREAMS = 6
HUB_FLEET = 8
MAX_MESH_SIZE = 3


class OneAnswerTest(StreamVersionsCase):
    async def assert_breaks_off_at_once(self, callers):
        broken_at = time.monotonic()
        await self.read_rest(callers)
        self.assert_broken_off(callers)
        self.assertLess(time.monotonic() - broken_at, PROMPT_S)

    async def test_an_answer_joins_no_two_versions_after_a_reset(self):
        await self.start("v1", "v1", "v2", "v2")
        callers = await self.begin_streams()
        for target in self.busiest(callers):
            target.break_connections()
        await self.read_rest(callers)
        self.assert_whole(callers)

    async def test_an_answer_whose_version_is_gone_breaks_off_at_once(self):
        await self.start("v1", "v2")
        callers = await self.begin_streams(FEW_STREAMS)
        gone, cut = next(iter(self.busiest(callers).items()))
        gone.crash()
        await self.assert_breaks_off_at_once(cut)

    async def test_an_answer_does_not_go_on_at_a_draining_target(self):
        await self.start("v1", "v1", "v2", "v2")
        for target in (self.targets[1], self.targets[3]):
            await self.fleet.drain_target(target)
        callers = await self.begin_streams(FEW_STREAMS)
        self.targets[0].break_connections()
        cut = [x for x in callers if self.target_of(x) is self.targets[0]]
        self.assertTrue(cut)
        await self.assert_breaks_off_at_once(cut)

    async def test_all_versions_are_open_before_the_first_event(self):
        await self.start("v1", "v2")
        self.targets[0].truncate_after_events = 0
        for mode in (t.RESET, t.TRUNCATED):
            with self.subTest(mode=mode):
                self.targets[0].mode = mode
                callers = [self.make_caller() for _ in range(4)]
                await asyncio.gather(*(x.call() for x in callers))
                self.assert_whole(callers)


class TakenUpStreamsTest(StreamVersionsCase):
    async def test_a_stream_taken_up_at_another_router_joins_no_two(self):
        await self.start("v1", "v1", "v2", "v2")
        callers = await self.displace(await self.begin_streams())
        await self.take_up(callers)
        self.assert_whole(callers)

    async def test_a_stream_taken_up_at_its_router_joins_no_two(self):
        await self.start("v1", "v1", "v2", "v2")
        callers = await self.begin_streams(router=0)
        callers = await self.displace(callers)
        await self.take_up(callers, router=0)
        self.assert_whole(callers)

    async def test_a_stream_taken_up_again_and_again_joins_no_two(self):
        await self.start("v1", "v1", "v1", "v2", "v2", "v2")
        callers = await self.begin_streams()
        for _ in range(2):
            callers = await self.displace(callers)
            for number, caller in enumerate(callers):
                self.assertTrue(await caller.begin((number + 1) % 3))
        await self.take_up(callers)
        self.assert_whole(callers)

    async def test_a_stream_whose_router_is_gone_joins_no_two(self):
        await self.start("v1", "v1", "v2", "v2")
        callers = await self.begin_streams(router=0)
        callers = await self.displace(callers)
        await asyncio.sleep(RUN_S)
        await self.fleet.kill_router(self.fleet.routers[0])
        await self.take_up(callers)
        self.assert_whole(callers)

    async def test_a_stream_whose_scheduler_is_gone_joins_no_two(self):
        await self.start("v1", "v1", "v2", "v2")
        scheduler = self.find_scheduler()
        first = int(scheduler is self.fleet.routers[0])
        callers = await self.begin_streams(router=first)
        callers = await self.displace(callers)
        await asyncio.sleep(RUN_S)
        relayed_by = self.fleet.routers[first]
        await self.fleet.kill_router(scheduler)
        other = int(self.fleet.routers[0] is relayed_by)
        await self.take_up(callers, router=other)
        self.assert_whole(callers)

    def find_scheduler(self):
        """Returns the router that schedules the service of the streams."""
        names = {
            peer.name
            for router in self.fleet.routers
            if (peer := router.fleet.find_scheduler("model", ())) is not None
        }
        (name,) = names
        return next(x for x in self.fleet.routers if x.settings.name == name)

    async def test_a_stream_joins_no_two_in_a_fleet_with_hubs(self):
        await self.start(
            "v1",
            "v1",
            "v2",
            "v2",
            routers=HUB_FLEET,
            mesh_most=MAX_MESH_SIZE,
        )
        callers = await self.begin_streams()
        await asyncio.sleep(RUN_S)
        callers = await self.displace(callers)
        await self.take_up(callers)
        self.assert_whole(callers)

    async def test_a_stream_whose_version_drains_is_refused(self):
        await self.start("v1", "v2")
        callers = await self.begin_streams(FEW_STREAMS)
        old, cut = next(iter(self.busiest(callers).items()))
        await self.fleet.drain_target(old)
        await self.take_up(cut)
        self.assert_not_joined(cut)
        self.assert_refused(cut)

    async def test_a_stream_whose_version_has_left_is_refused(self):
        await self.start("v1", "v1")
        callers = await self.begin_streams()
        await self.release("v2")
        await self.take_up(callers)
        self.assert_not_joined(callers)
        self.assert_refused(callers)

    async def test_a_stream_whose_beginning_is_unknown_is_refused(self):
        await self.start("v1", "v1", "v2", "v2")
        for resumes in ("", "unknown"):
            with self.subTest(resumes=resumes):
                callers = await self.begin_streams()
                await self.take_up(callers, resumes=resumes)
                self.assert_not_joined(callers)
                self.assert_refused(callers)

    async def test_streams_go_on_where_one_version_serves(self):
        await self.start("v1", "v1")
        for options in ({}, {"resumes": ""}, {"resumes": "unknown"}):
            with self.subTest(options=options):
                callers = await self.begin_streams()
                await self.take_up(callers, **options)
                self.assert_whole(callers)

    async def test_no_stream_goes_on_at_a_target_without_a_version(self):
        await self.start("v1", "v1")
        other = self.make_target(None)
        await self.enterAsyncContext(other)
        await self.fleet.store.put("servers", other.id, other.spec())
        # Shows that the routers have read the entry before.
        target = self.targets[1]
        await self.fleet.store.put("servers", target.id, target.spec(zone="z2"))
        await self.fleet.wait_until(
            lambda: all(
                router.registry.get(target.id).zone == "z2"
                for router in self.fleet.routers
            )
        )
        callers = await self.displace(await self.begin_streams())
        await self.take_up(callers)
        self.assert_whole(callers)
        self.assertEqual(other.executed, [])

    async def test_a_number_and_the_same_text_are_one_version(self):
        await self.start("7", "7")
        target = self.targets[1]
        await self.fleet.store.put(
            "servers", target.id, target.spec(version=7, zone="z2")
        )
        await self.fleet.wait_until(
            lambda: all(
                router.registry.get(target.id).zone == "z2"
                for router in self.fleet.routers
            )
        )
        callers = await self.displace(await self.begin_streams(FEW_STREAMS))
        await self.take_up(callers)
        self.assert_whole(callers)

    async def test_a_target_that_returns_with_another_version_is_another(self):
        await self.start("v1")
        callers = await self.begin_streams(4)
        (target,) = self.targets
        target.crash()
        target.version = "v2"
        target.born_ms += 1
        await target.__aenter__()
        await self.fleet.store.put("servers", target.id, target.spec())
        await self.fleet.wait_until(
            lambda: all(
                router.registry.get(target.id).address == target.address
                for router in self.fleet.routers
            )
        )
        await self.take_up(callers)
        self.assert_not_joined(callers)
        self.assert_refused(callers)


class StreamLogTest(StreamVersionsCase):
    async def test_the_log_tells_which_version_wrote_what(self):
        await self.start("v1", routers=1)
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        with self.assertLogs("chervilwall_router.edge.request_log") as caught:
            (caller,) = await self.begin_streams(1)
            first_id = caller.attempt_id
            self.targets[0].break_connections()
            await self.read_rest([caller])
            last_event = caller.numbers[-1]
            await self.take_up([caller])
        broken, _, resumed = [
            record.fields
            for record in caught.records
            if record.event != events.RETRY_DECIDED.number
        ]
        self.assertEqual(
            (broken["version"], broken["resumes"], broken["last_event"]),
            ("v1", "", 0),
        )
        self.assertEqual(broken["sent_event"], last_event)
        self.assertEqual(
            (resumed["resumes"], resumed["last_event"]), (first_id, last_event)
        )
        self.assertEqual(
            (resumed["version"], resumed["sent_event"]), ("v1", EVENTS)
        )


if __name__ == "__main__":
    unittest.main()
