"""Tests of edge routers that share a store, and of failures of the store."""

import asyncio
import json
import unittest

import msgspec
from chervilwall.service_totals import decode_totals
from chervilwall_standins.users import store as s
from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import (
    ROUTES,
    START_TIMEOUT_S,
    TEAM,
    EdgeFleet,
    make_config,
    make_route,
)
from chervilwall_standins.users.target import FakeTarget


class EdgeFleetTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *targets, routers=3):
        self.fleet = EdgeFleet(*targets, routers=routers)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        return self.fleet

    async def get(self, address, path):
        """Sends a GET request; returns the status and the body."""
        host, _, port = address.rpartition(":")
        reader, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET {path} HTTP/1.1\r\nHost: x\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode()
        length = int(head.lower().split("content-length: ")[1].split()[0])
        body = await reader.readexactly(length)
        writer.close()
        return int(head.split()[1]), body

    async def test_callers_are_told_of_all_ready_routers(self):
        fleet = await self.start(FakeTarget("p0", "plain"))
        listen = fleet.routers[0].settings.listen
        status, body = await self.get(listen.directory, "/routers?name=a")
        self.assertEqual(status, 200)
        for router in fleet.routers:
            self.assertIn(router.settings.listen.callers.encode(), body)
        status, _ = await self.get(listen.readiness, "/ready")
        self.assertEqual(status, 200)

    async def test_a_leaving_router_is_left_out_at_once_and_serves_on(self):
        fleet = await self.start(FakeTarget("p0", "plain"))
        leaving = fleet.routers[1]
        leaving.begin_shutdown()
        await asyncio.sleep(0.1)
        address = leaving.settings.listen
        status, _ = await self.get(address.readiness, "/ready")
        self.assertEqual(status, 503)
        for router in fleet.routers:
            directory = router.settings.listen.directory
            _, body = await self.get(directory, "/routers")
            self.assertNotIn(address.callers.encode(), body)
        response = await fleet.call("/read/x", router=1)
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers["Connection"], "close")

    async def test_a_stop_cuts_no_answer(self):
        model = FakeTarget("m0", "model", events=10, event_interval_s=0.05)
        fleet = await self.start(model, routers=1)
        leaving = await fleet.add_router("leaving", grace_s=3, accept_s=0.2)
        await fleet.wait_until(fleet.is_ready)
        caller = await fleet.connect(1)
        await caller.send("/chat/x", token_usage="10,50")
        await caller.reader.readuntil(b"\r\n\r\n")
        leaving.begin_shutdown()
        stopped = asyncio.create_task(leaving.run())
        body, is_complete = await caller.read_chunks()
        await stopped
        self.assertTrue(is_complete)
        self.assertIn(b"id: 10", body)

    async def test_a_configuration_is_in_force_everywhere_and_stays(self):
        fleet = await self.start(FakeTarget("p0", "plain"))
        routes = [*ROUTES, make_route("new", "plain")]
        await fleet.store.put("config", "main", make_config(5, routes))
        await fleet.wait_until(
            lambda: all(r.config.version == 5 for r in fleet.routers), 1.0
        )
        await fleet.store.put("config", "main", make_config(4))
        await asyncio.sleep(0.2)
        for number in range(3):
            response = await fleet.call("/new/x", router=number)
            self.assertEqual(response.status, 200)

    async def test_an_unreadable_configuration_changes_nothing(self):
        fleet = await self.start(FakeTarget("p0", "plain"), routers=1)
        for spec in ({"version": 9}, "text", None, {"version": "x"}):
            await fleet.store.put("config", "main", spec)
        await asyncio.sleep(0.2)
        self.assertEqual((await fleet.call("/read/x")).status, 200)

    async def test_peers_pass_on_what_a_router_cannot_read(self):
        fleet = await self.start(FakeTarget("p0", "plain"))
        isolated = fleet.routers[2]
        # Ends the watches of the configuration and of the targets.
        for task in isolated._tasks.running[:2]:
            task.cancel()
        routes = [r for r in ROUTES if r["name"] != "read"]
        await fleet.store.put("config", "main", make_config(2, routes))
        await fleet.store.delete("servers", "p0")
        await fleet.wait_until(lambda: isolated.config.version == 2, 2.0)
        await fleet.wait_until(lambda: not isolated.registry.all(), 2.0)
        response = await fleet.call("/read/x", router=2)
        self.assertEqual(response.status, 404)

    async def test_a_draining_target_gets_no_more_requests(self):
        targets = [FakeTarget(f"p{i}", "plain") for i in range(2)]
        fleet = await self.start(*targets)
        await fleet.store.put(
            "servers", "p0", targets[0].spec(state="draining")
        )
        await fleet.wait_until(
            lambda: all(
                len(r.registry.serving_targets("plain")) == 1
                for r in fleet.routers
            ),
            1.0,
        )
        before = len(targets[0].received)
        for number in range(9):
            response = await fleet.call(
                "/read/x", router=number % 3, request_id=f"r{number}"
            )
            self.assertEqual(response.status, 200)
        self.assertEqual(len(targets[0].received), before)

    async def test_registrations_of_bad_writers_are_not_used(self):
        good = FakeTarget("p0", "plain")
        fleet = await self.start(good, routers=1)
        router = fleet.routers[0]
        for name, spec in {
            "a": good.spec(state="sleeping"),
            "b": good.spec(address="nowhere"),
            "c": good.spec(slots="many"),
            "d": {"backend": "plain"},
            "e": "text",
        }.items():
            await fleet.store.put("servers", name, spec)
        await asyncio.sleep(0.2)
        self.assertEqual(set(router.registry.all()), {"p0"})
        self.assertEqual((await fleet.call("/read/x")).status, 200)

    async def test_requests_are_served_while_the_store_fails(self):
        fleet = await self.start(FakeTarget("p0", "plain"))
        for mode in (s.UNAVAILABLE, s.RATE_LIMITED, s.RESET, s.SILENT):
            with self.subTest(mode=mode):
                fleet.store.mode = mode
                await fleet.store.compact_history()
                await asyncio.sleep(0.3)
                response = await fleet.call("/read/x")
                self.assertEqual(response.status, 200)

    async def test_a_lapsed_registration_is_kept_until_the_store_is_back(self):
        target = FakeTarget("p0", "plain")
        fleet = await self.start(target, routers=1)
        router = fleet.routers[0]
        fleet.store.mode = s.UNAVAILABLE
        await fleet.store.compact_history()
        await asyncio.sleep(0.5)
        await fleet.store.delete("servers", "p0")
        fleet.store.mode = s.AVAILABLE
        await asyncio.sleep(1.2)
        self.assertEqual((await fleet.call("/read/x")).status, 200)
        await fleet.store.put("servers", "p0", target.spec(sequence=2))
        await asyncio.sleep(3.0)
        self.assertIn("p0", router.registry)

    async def test_a_router_without_configuration_says_come_back(self):
        self.fleet = fleet = EdgeFleet()
        await fleet.store.__aenter__()
        self.addAsyncCleanup(fleet.__aexit__)
        fleet.store.mode = s.UNAVAILABLE
        await fleet.add_router("lonely")
        response = await fleet.call("/read/x")
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["Retry-After"]), 0)
        directory = fleet.routers[0].settings.listen.directory
        status, _ = await self.get(directory, "/routers")
        self.assertEqual(status, 503)

    async def test_changed_settings_are_taken_without_a_restart(self):
        fleet = await self.start(FakeTarget("p0", "plain"), routers=1)
        router = fleet.routers[0]
        cfg = msgspec.structs.replace(router.settings, address_ttl_s=0.5)
        router.reload(msgspec.structs.replace(cfg, name="another"))
        self.assertNotEqual(router.settings.name, "another")
        directory = router.settings.listen.directory
        _, body = await self.get(directory, "/routers")
        self.assertEqual(json.loads(body)["ttl_s"], 0.5)

    async def test_service_by_team_lasts_in_the_store(self):
        target = FakeTarget("p0", "plain")
        fleet = await self.start(target, routers=1)
        for number in range(3):
            await fleet.call("/read/x", request_id=f"r{number}")
        target.mode = t.OVERLOADED
        await fleet.call("/book/x", request_id="b1")
        router = fleet.routers[0]
        fleet.store.drop_write_responses = True
        await router.write_totals()
        fleet.store.drop_write_responses = False
        await router.write_totals()
        (item,) = fleet.store.items("service-totals")
        rows = decode_totals(json.dumps(item["spec"]).encode())
        self.assertEqual(rows[(TEAM, "read")].answered, 3)
        self.assertEqual(rows[(TEAM, "book")].refused, 1)

    async def test_a_strangers_datagram_changes_nothing(self):
        fleet = await self.start(FakeTarget("p0", "plain"))
        router = fleet.routers[0]
        before = (router.fleet.router_count(), router.config.version)
        loop = asyncio.get_running_loop()
        host, _, port = router.settings.listen.peers.rpartition(":")
        transport, _ = await loop.create_datagram_endpoint(
            asyncio.DatagramProtocol, remote_addr=(host, int(port))
        )
        for size in (0, 1, 16, 17, 400, 60_000):
            transport.sendto(b"\x93" * size)
        await asyncio.sleep(0.1)
        transport.close()
        self.assertEqual(
            (router.fleet.router_count(), router.config.version), before
        )

    async def test_a_request_that_crashes_targets_is_refused_everywhere(self):
        targets = [FakeTarget(f"p{i}", "plain") for i in range(4)]
        fleet = await self.start(*targets)
        for target in targets:
            target.crashing_body = b"poison"
        for number in range(9):
            await fleet.call(
                "/read/x",
                router=number % 3,
                body=b"poison",
                request_id=f"r{number}",
            )
            await asyncio.sleep(0.15)
        self.assertEqual(sum(len(x.executed) for x in targets), 2)
        response = await fleet.call("/read/x", body=b"sound", request_id="s")
        self.assertEqual(response.status, 200)

    async def call_at_once(self, fleet, count):
        calls = [
            fleet.call("/open/x", router=number % 3, request_id=f"r{number}")
            for number in range(count)
        ]
        return await asyncio.gather(*calls)

    async def test_routers_that_are_cut_off_share_idle_connections(self):
        target = FakeTarget("p0", "plain")
        target.slots = 60
        fleet = await self.start(target)
        max_connections = 12
        config = make_config(2)
        config["services"][0]["max_conns"] = max_connections
        await fleet.store.put("config", "main", config)
        for router in fleet.routers:
            router.link.close()
        await fleet.wait_until(
            lambda: all(
                r.config.version == 2 and r.fleet.router_count() == 1
                for r in fleet.routers
            )
        )
        target.response_delay_s = 0.5
        responses = await self.call_at_once(fleet, 30)
        # A router sheds load if this machine is too busy for its event loop.
        async with asyncio.timeout(START_TIMEOUT_S):
            while any(b"host_behind" in x.body for x in responses):
                await asyncio.sleep(1.0)
                target.received.clear()
                responses = await self.call_at_once(fleet, 30)
        await asyncio.sleep(0.1)
        self.assertEqual(len(target.received), len(responses))
        self.assertLessEqual(target.open_connections, max_connections)

    async def test_the_scheduler_places_for_all_routers(self):
        fleet = await self.start(FakeTarget("m0", "model"), routers=3)
        counts = sorted(r.fleet.scheduler_count("model") for r in fleet.routers)
        self.assertEqual(counts, [1, 3, 3])

    async def test_requests_are_placed_when_the_scheduler_is_silent(self):
        model = FakeTarget("m0", "model", events=2)
        fleet = await self.start(model)
        for router in fleet.routers:
            router.scheduling.receive = lambda sender, item: None
        for number in range(3):
            response = await fleet.call(
                "/chat/x",
                router=number,
                token_usage="10,10",
                request_id=f"r{number}",
            )
            self.assertEqual(response.status, 200)
