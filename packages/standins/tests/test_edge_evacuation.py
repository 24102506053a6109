"""Tests that evacuated zones get no new requests, and lose none that run."""

import asyncio
import json
import unittest
from unittest import mock

from chervilwall.errors import PlatformUnavailableError
from chervilwall.hubs import HUBS
from chervilwall_standins.users import store as s
from chervilwall_standins.users.evacuation_case import (
    KIND,
    EvacuationCase,
    make_targets,
)
from chervilwall_standins.users.fleet import make_route
from chervilwall_standins.users.store import RawJson
from chervilwall_standins.users.stream_caller import StreamCaller
from object_client import ObjectClient
from tornado.httpclient import AsyncHTTPClient, HTTPClientError

# Longest time until a request that no target may serve is refused.
PROMPT_S = 0.4
# Time that a connection takes to open, longer than a change takes to arrive.
DIAL_S = 0.3
# Time in which waits of cut off routers at the store end.
WATCH_END_S = 1.3
EVENTS = 12
LARGE_FLEET = 12
MAX_MESH_SIZE = 4
# Its requests may wait for seconds.
PATIENT_ROUTE = make_route(
    "read", "plain", timeout_ms=8000, target_latency_ms=6000
)
TOKENS = {"token_usage": "10,10"}


async def fetch(address, path):
    return (await AsyncHTTPClient().fetch(f"http://{address}{path}")).body


class EffectTest(EvacuationCase):
    """Guards against requests that reach targets of an evacuated zone."""

    async def test_an_evacuated_zone_gets_nothing_until_it_returns(self):
        east, west = make_targets("east", "west")
        await self.start(east, west, routers=3)
        self.assertEqual(await self.call_many(), {200})
        self.assertTrue(east.received)
        await self.evacuate("east")
        east.received.clear()
        for _ in range(3):
            self.assertEqual(await self.call_many(), {200})
        self.assertEqual(east.received, [])
        await self.return_zones("east")
        self.assertEqual(await self.call_many(), {200})
        self.assertTrue(east.received)

    async def test_requests_that_wait_go_to_other_zones(self):
        east, west = make_targets("east", "west")
        for target in (east, west):
            target.slots = 1
            target.response_delay_s = 0.5
        await self.start(east, west, routes=[PATIENT_ROUTE])
        options = {"timeout_remaining": "8000"}
        calls = [asyncio.ensure_future(self.call(**options)) for _ in range(6)]
        router = self.fleet.routers[0]
        await self.fleet.wait_until(lambda: east.received and west.received)
        await self.fleet.wait_until(router.dispatcher.waiting_count)
        await self.evacuate("east")
        began = len(east.received)
        responses = await asyncio.gather(*calls)
        self.assertEqual(len(east.received), began)
        # Those that ran in the zone end undisturbed, too.
        self.assertEqual({response.status for response in responses}, {200})
        self.assertEqual(len(east.executed), began)

    async def test_a_connection_being_opened_is_used_for_nothing(self):
        targets = make_targets("east", "west")
        await self.start(*targets)
        dialled = asyncio.get_running_loop().create_future()
        connections = self.fleet.routers[0].connections
        acquire = connections.acquire

        async def acquire_late(target):
            if not dialled.done():
                dialled.set_result(target)
                await asyncio.sleep(DIAL_S)
            return await acquire(target)

        connections.acquire = acquire_late
        call = asyncio.ensure_future(self.call("/book/x"))
        chosen = await dialled
        await self.evacuate(chosen.zone)
        self.assertEqual((await call).status, 200)
        (target,) = (x for x in targets if x.id == chosen.id)
        self.assertEqual(target.received, [])

    async def test_a_retry_goes_to_a_zone_in_service(self):
        targets = make_targets("a", "b", "c")
        for target in targets:
            target.response_delay_s = 1.0
        await self.start(*targets)
        call = asyncio.ensure_future(self.call())
        await self.fleet.wait_until(lambda: any(t.received for t in targets))
        first = next(t for t in targets if t.received)
        closed, spare = (t for t in targets if t is not first)
        await self.evacuate(first.zone, closed.zone)
        spare.response_delay_s = 0.0
        first.break_connections()
        self.assertEqual((await call).status, 200)
        self.assertEqual((len(closed.received), len(spare.received)), (0, 1))

    async def test_a_silent_target_is_replaced_in_a_zone_in_service(self):
        targets = make_targets("a", "b", "c")
        await self.start(*targets)
        for target in targets:
            target.fall_silent(2.5)
        call = asyncio.ensure_future(self.call(timeout_remaining="4000"))
        await self.fleet.wait_until(lambda: any(t.received for t in targets))
        first = next(t for t in targets if t.received)
        closed, spare = (t for t in targets if t is not first)
        spare.silent_until = 0.0
        await self.evacuate(closed.zone)
        self.assertEqual((await call).status, 200)
        self.assertEqual((len(closed.received), len(spare.received)), (0, 1))

    async def test_streams_that_run_there_end_undisturbed(self):
        east, west = make_targets(
            "east", "west", service="model", events=EVENTS, event_interval_s=0.1
        )
        await self.start(east, west, routers=2)
        callers = [StreamCaller(self.fleet, "/chat/x", **TOKENS)]
        callers += [StreamCaller(self.fleet, "/draft/x", **TOKENS)]
        callers += [StreamCaller(self.fleet, "/draft/x", **TOKENS)]
        for number, caller in enumerate(callers):
            self.assertTrue(await caller.begin(number % 2))
        self.assertTrue(east.executed)
        await self.evacuate("east", "west")
        for caller in callers:
            await caller.read_rest()
            self.assertEqual(caller.numbers, list(range(1, EVENTS + 1)))
        self.assertEqual(east.cancelled + west.cancelled, [])
        self.assertEqual(len(east.executed + west.executed), len(callers))

    async def test_all_zones_give_a_prompt_503_with_retry_after(self):
        targets = make_targets("east", "west")
        for target in targets:
            target.slots = 1
            target.response_delay_s = 1.5
        await self.start(*targets, routes=[PATIENT_ROUTE])
        options = {"timeout_remaining": "8000"}
        calls = [asyncio.ensure_future(self.call(**options)) for _ in range(8)]
        router = self.fleet.routers[0]
        await self.fleet.wait_until(lambda: all(t.received for t in targets))
        await self.fleet.wait_until(router.dispatcher.waiting_count)
        loop = asyncio.get_running_loop()
        began = [len(target.received) for target in targets]
        await self.evacuate("east", "west")
        started = loop.time()
        # The requests that waited are refused at once too.
        await self.fleet.wait_until(
            lambda: not router.dispatcher.waiting_count(), PROMPT_S
        )
        response = await self.call()
        self.assertLess(loop.time() - started, PROMPT_S)
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 0.0)
        others = await asyncio.gather(*calls)
        for refused in (r for r in others if r.status != 200):
            self.assertEqual(refused.status, 503)
            self.assertGreater(float(refused.headers["Retry-After"]), 0.0)
        self.assertEqual([len(t.received) for t in targets], began)
        self.assertEqual([r.status for r in others].count(200), sum(began))

    async def test_a_stream_bound_to_an_evacuated_version_may_come_later(self):
        east, west = make_targets(
            "east", "west", service="model", events=EVENTS, event_interval_s=0.1
        )
        west.version = "v2"
        await self.start(east, west, routers=2)
        caller = StreamCaller(self.fleet, "/draft/x", **TOKENS)
        while not any(x.version == "v1" for x in caller.events):
            caller = StreamCaller(self.fleet, "/draft/x", **TOKENS)
            self.assertTrue(await caller.begin(0))
        caller.close()
        await self.evacuate("east")
        attempt = await caller.call(1)
        self.assertEqual(attempt.status, 503)
        # Without a Retry-After, the caller would take the stream for lost.
        self.assertGreater(float(attempt.retry_after), 0.0)
        await self.return_zones("east")
        attempt = await caller.call(1)
        self.assertEqual(caller.numbers, list(range(1, EVENTS + 1)))
        self.assertEqual(caller.versions, {"v1"})

    async def test_streams_begin_elsewhere_if_the_agreed_version_is_evacuated(
        self,
    ):
        # The store does not answer, so that the other version is not agreed.
        (east,) = make_targets("east", service="model", events=2)
        (west,) = make_targets("west", service="model", events=2)
        west.version, west.id = "v2", "model-west"
        await self.start(east)
        caller = StreamCaller(self.fleet, "/draft/x", **TOKENS)
        self.assertEqual((await caller.call()).status, 200)
        await self.evacuate("east")
        with mock.patch.object(ObjectClient, "replace", side_effect=fail):
            await self.fleet.add_target(west)
            await asyncio.sleep(1.2)
            caller = StreamCaller(self.fleet, "/draft/x", **TOKENS)
            attempt = await caller.call()
        self.assertEqual(attempt.status, 200)
        self.assertEqual(caller.versions, {"v2"})

    async def test_a_scheduler_that_knows_nothing_yet_sends_nothing_there(self):
        targets = make_targets("east", "east", "east", "west")
        await self.start(*targets, routers=2)
        names = [
            peer.name
            for router in self.fleet.routers
            if (peer := router.fleet.find_scheduler("plain", ())) is not None
        ]
        scheduler = self.router_named(names[0])
        # It neither reads the evacuation nor takes it from reports.
        with mock.patch.object(scheduler.evacuations, "_apply"):
            other = next(
                number
                for number, router in enumerate(self.fleet.routers)
                if router is not scheduler
            )
            await self.fleet.store.put(KIND, "east", {})
            router = self.fleet.routers[other]
            await self.fleet.wait_until(router.evacuations.names)
            statuses = await self.call_many(router=other)
        self.assertEqual(statuses, {200})
        # The grants are returned before connections are opened.
        self.assertEqual([t.connections for t in targets[:3]], [0, 0, 0])
        # What it granted there was returned.
        await self.fleet.wait_until(
            lambda: (
                not any(
                    scheduler._state.load.own_running(t.id) for t in targets
                )
            )
        )

    async def test_a_probe_after_a_broken_attempt_is_no_work_there(self):
        east, west = make_targets("east", "west")
        await self.start(east, west)
        await self.evacuate("west")
        east.response_delay_s = 1.0
        call = asyncio.ensure_future(self.call())
        await self.fleet.wait_until(lambda: east.received)
        await self.return_zones("west")
        await self.evacuate("east")
        connections = east.connections
        east.break_connections()
        self.assertEqual((await call).status, 200)
        # The target is examined by a connection that carries no request.
        await self.fleet.wait_until(lambda: east.connections > connections)
        await asyncio.sleep(0.3)
        self.assertEqual(len(east.received), 1)
        ledger = self.fleet.routers[0]._state.crashes
        start = self.fleet.routers[0].registry.get(east.id).start
        self.assertFalse(ledger.has_crashed_since(start, 0.0))


async def fail(*_, **__):
    raise PlatformUnavailableError("no answer", step="replace")


class ObjectsTest(EvacuationCase):
    """Guards against objects that are misread."""

    async def test_the_name_alone_counts(self):
        east, west = make_targets("east", "west")
        await self.start(east, west)
        for spec in ("text", None, [1], RawJson("{broken"), RawJson("")):
            with self.subTest(spec=spec):
                await self.fleet.store.put(KIND, "east", spec)
                await self.wait_for_all(lambda r: r.evacuations.names())
                await self.return_zones("east")

    async def test_a_deletion_that_is_only_requested_does_not_count(self):
        await self.start(*make_targets("east", "west"))
        await self.evacuate("east")
        store = self.fleet.store
        item = await store.put(KIND, "east", {})
        item["metadata"]["delete_requested"] = True
        await store.put(KIND, "north", {})
        await self.wait_for_all(lambda r: "north" in r.evacuations.names())
        await self.fleet.add_router("late")
        await self.wait_for_all(
            lambda r: r.evacuations.names() == {"east", "north"}
        )

    async def test_a_name_that_is_no_zone_has_no_effect(self):
        targets = make_targets("east", "west")
        await self.start(*targets)
        await self.evacuate("nowhere")
        self.assertEqual(await self.call_many(), {200})
        self.assertTrue(all(t.received for t in targets))

    async def test_more_names_than_reports_hold_keep_the_first_ones(self):
        names = [f"zone-{number:02}" for number in range(70)]
        (target,) = make_targets(names[64])
        await self.start(target, routers=2)
        store = self.fleet.store
        for name in names:
            await store.put(KIND, name, {})
        first = frozenset(names[:64])
        await self.wait_for_all(lambda r: r.evacuations.names() == first)
        self.assertEqual((await self.call()).status, 200)
        # The next name takes the place of one that is deleted.
        await store.delete(KIND, names[0])
        next_ones = frozenset(names[1:65])
        await self.wait_for_all(lambda r: r.evacuations.names() == next_ones)
        self.assertEqual((await self.call()).status, 503)

    async def test_changes_within_a_second_end_at_the_last_one(self):
        await self.start(*make_targets("east", "west"), routers=3)
        store = self.fleet.store
        for _ in range(5):
            await store.put(KIND, "east", {})
            await asyncio.sleep(0.02)
            await store.delete(KIND, "east")
        await store.put(KIND, "east", {})
        revision = store.revision
        await self.wait_for_all(
            lambda r: r.evacuations.revision.number >= revision
        )
        await self.wait_for_all(lambda r: r.evacuations.names() == {"east"})


class DistributionTest(EvacuationCase):
    """Guards against routers that do not hear of an evacuation."""

    async def test_a_router_cut_off_from_the_store_hears_it_from_a_peer(self):
        east, west = make_targets("east", "west")
        await self.start(east, west, routers=3)
        cut = self.fleet.routers[2]
        self.fleet.cut_from_store(cut)
        await asyncio.sleep(WATCH_END_S)
        await self.fleet.store.put(KIND, "east", {})
        await self.wait_for_all(lambda r: r.evacuations.names(), 1.0)
        self.assertEqual(await self.call_many(router=2), {200})
        self.assertEqual(east.received, [])
        await self.return_zones("east")
        self.assertEqual(cut.evacuations.names(), frozenset())

    async def test_a_router_cut_off_from_all_keeps_its_last_set(self):
        await self.start(*make_targets("east", "west"), routers=2)
        await self.evacuate("east")
        cut = self.fleet.routers[1]
        self.fleet.cut_from_store(cut)
        await asyncio.sleep(WATCH_END_S)
        # Without a codec, a link neither sends nor accepts datagrams.
        cut.link.codec = None
        await self.fleet.store.delete(KIND, "east")
        await asyncio.sleep(1.0)
        self.assertEqual(cut.evacuations.names(), {"east"})

    async def test_the_last_set_holds_while_the_store_is_away(self):
        east, west = make_targets("east", "west")
        await self.start(east, west, routers=2)
        await self.evacuate("east")
        store = self.fleet.store
        for mode in (s.UNAVAILABLE, s.RESET):
            with self.subTest(mode=mode):
                store.mode = mode
                await asyncio.sleep(WATCH_END_S)
                self.assertEqual(await self.call_many(), {200})
                self.assertEqual(east.received, [])
        # Deleted while the store cannot be read.
        store._kinds[KIND].pop("east")
        store.revision += 1
        await asyncio.sleep(0.3)
        self.assertEqual(await self.call_many(), {200})
        self.assertEqual(east.received, [])
        await store.compact_history()
        store.mode = s.AVAILABLE
        await self.wait_for_all(lambda r: not r.evacuations.names())

    async def test_a_lost_response_of_a_watch_is_noticed_in_time(self):
        await self.start(*make_targets("east", "west"))
        await asyncio.sleep(1.2)
        store = self.fleet.store
        # The change is in the store, and no watch returns it.
        with mock.patch.object(store, "_notify"):
            await store.put(KIND, "east", {})
        await self.wait_for_all(lambda r: r.evacuations.names(), 3.0)

    async def test_an_older_copy_of_the_store_replaces_the_set(self):
        await self.start(*make_targets("east", "west"), routers=3)
        store = self.fleet.store
        await self.evacuate("east")
        copy = store.copy()
        await self.return_zones("east")
        await self.evacuate("west")
        for number in range(20):
            await store.put("other", f"o{number}", {})
        store.restore(copy)
        await self.wait_for_all(lambda r: r.evacuations.names() == {"east"})
        await self.wait_for_all(lambda r: r.evacuations.revision.era == 2)

    async def test_a_restart_of_all_routers_sends_nothing_there(self):
        east, west = make_targets("east", "west")
        await self.start(east, west, routers=3)
        await self.evacuate("east")
        list_objects, is_over = ObjectClient.list_objects, False

        async def list_late(client, kind, **options):
            if kind == KIND:
                await asyncio.sleep(0.5)
            return await list_objects(client, kind, **options)

        async def keep_calling():
            statuses = set()
            while not is_over:
                if self.fleet.routers:
                    try:
                        statuses.add((await self.call()).status)
                    except OSError:
                        statuses.add(0)
                await asyncio.sleep(0.005)
            return statuses

        callers = [asyncio.ensure_future(keep_calling()) for _ in range(4)]
        with mock.patch.object(ObjectClient, "list_objects", list_late):
            await self.fleet.restart_all_routers()
            await self.wait_for_all(lambda r: r.evacuations.names())
            self.assertEqual(await self.call_many(), {200})
        is_over = True
        statuses = set().union(*await asyncio.gather(*callers))
        self.assertIn(200, statuses)
        self.assertEqual(east.received, [])

    async def test_a_router_is_not_ready_before_it_knows_the_zones(self):
        east, west = make_targets("east", "west")
        await self.start(east, west, routers=1)
        await self.evacuate("east")
        known = asyncio.Event()
        list_objects = ObjectClient.list_objects

        async def list_late(client, kind, **options):
            if kind == KIND:
                await known.wait()
            return await list_objects(client, kind, **options)

        await self.fleet.kill_routers()
        with mock.patch.object(ObjectClient, "list_objects", list_late):
            router = await self.fleet.add_router("router0")
            await self.fleet.wait_until(
                lambda: router.config.table and router.registry.all()
            )
            self.assertFalse(router._is_ready())
            response = await self.call()
            self.assertEqual(response.status, 503)
            self.assertGreater(float(response.headers["Retry-After"]), 0.0)
            known.set()
            await self.fleet.wait_until(router._is_ready)
        self.assertEqual(await self.call_many(), {200})
        self.assertEqual(east.received, [])

    async def test_a_starting_router_takes_the_set_of_a_peer(self):
        east, west = make_targets("east", "west")
        await self.start(east, west, routers=1)
        await self.evacuate("east")
        list_objects = ObjectClient.list_objects

        async def list_never(client, kind, **options):
            if kind == KIND:
                await asyncio.Event().wait()
            return await list_objects(client, kind, **options)

        with mock.patch.object(ObjectClient, "list_objects", list_never):
            router = await self.fleet.add_router("late")
            await self.fleet.wait_until(router._is_ready)
        self.assertEqual(router.evacuations.names(), {"east"})
        self.assertEqual(await self.call_many(router=1), {200})
        self.assertEqual(east.received, [])

    async def test_hubs_read_it_and_inform_all(self):
        east, west = make_targets("east", "west")
        await self.start(
            east, west, routers=LARGE_FLEET, mesh_most=MAX_MESH_SIZE
        )
        await asyncio.sleep(2.5)
        store = self.fleet.store
        store.requests.clear()
        await store.put(KIND, "east", {})
        await self.wait_for_all(lambda r: r.evacuations.names(), 1.0)
        self.assertEqual(await self.call_many(2 * LARGE_FLEET), {200})
        self.assertEqual(east.received, [])
        await self.return_zones("east")
        await asyncio.sleep(1.0)
        calls = [c for c in store.requests if f"/{KIND}" in c]
        # Each hub watches again after each change and each second, and checks
        # its watch at most twice.
        self.assertLessEqual(len(calls), HUBS * 8)


class SettingTest(EvacuationCase):
    """Guards against effects and costs where zones cannot be evacuated."""

    async def test_without_the_setting_the_store_is_not_asked(self):
        east, west = make_targets("east", "west")
        await self.start(east, west, routers=2, evacuation_ms=None)
        store = self.fleet.store
        await store.put(KIND, "east", {})
        await asyncio.sleep(2.5)
        self.assertEqual([c for c in store.requests if KIND in c], [])
        kinds = {c.split("/")[3].split("?")[0] for c in store.requests}
        self.assertIn("servers", kinds)
        self.assertEqual(await self.call_many(), {200})
        self.assertTrue(east.received)
        router = self.fleet.routers[0]
        self.assertEqual(router.evacuations.names(), frozenset())
        address = router.settings.listen.metrics
        self.assertNotIn(b"evacuat", await fetch(address, "/metrics"))
        with self.assertRaises(HTTPClientError) as caught:
            await fetch(address, "/evacuations")
        self.assertEqual(caught.exception.code, 404)

    async def test_without_the_setting_reports_of_peers_are_ignored(self):
        east, west = make_targets("east", "west")
        await self.start(east, west, routers=1)
        await self.evacuate("east")
        self.fleet._evacuate_ms = None
        without = await self.fleet.add_router("without")
        await self.fleet.wait_until(self.fleet.is_ready)
        await asyncio.sleep(0.6)
        self.assertEqual(without.evacuations.names(), frozenset())
        # Nor do they tell others that no zone is evacuated.
        self.assertEqual(self.fleet.routers[0].evacuations.names(), {"east"})


class ObservationTest(EvacuationCase):
    async def test_metrics_and_page_show_zones_and_running_requests(self):
        east, west = make_targets("east", "west")
        east.response_delay_s = west.response_delay_s = 1.0
        await self.start(east, west, routers=2)
        calls = [asyncio.ensure_future(self.call(router=0)) for _ in range(4)]
        await self.fleet.wait_until(
            lambda: len(east.received + west.received) == 4
        )
        await self.evacuate("east", 'odd "zone"\n')
        router = self.fleet.routers[0]
        address = router.settings.listen.metrics
        running = len(east.received)
        lines = (await fetch(address, "/metrics")).decode().splitlines()
        self.assertIn("evacuated_zones 2", lines)
        self.assertIn(f"evacuated_requests_running {running}", lines)
        self.assertIn(f'zone_requests_running{{zone="east"}} {running}', lines)
        self.assertIn(
            'zone_requests_running{zone="odd \\"zone\\"\\n"} 0', lines
        )
        page = json.loads(await fetch(address, "/evacuations"))
        self.assertEqual(page["router"], "router0")
        zone = page["zones"][0]
        self.assertEqual((zone["zone"], zone["running"]), ("east", running))
        revision = self.fleet.store.get(KIND, "east")["metadata"]["revision"]
        self.assertGreaterEqual(int(zone["revision"].split("/")[1]), revision)
        self.assertEqual([p["router"] for p in page["peers"]], ["router1"])
        await asyncio.gather(*calls)


if __name__ == "__main__":
    unittest.main()
