"""Tests of requests that crash the targets that execute them.

Routers have to quarantine such a request after a few crashes, however the
targets fail and whichever router receives it, and serve a harmless request
that ran on crashed targets again.
"""

import asyncio
import unittest

from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import START_TIMEOUT_S, EdgeFleet
from chervilwall_standins.users.target import FakeTarget

POISON = b"poison"
# Bound that the users set: three crashes, and at most three retries that still
# reach a target.
MAX_EXECUTIONS = 6
SEND_INTERVAL_S = 0.3
# Time within which a harmless request has to be served again.
STABILITY_S = 3.0
PROBE_DELAY_S = 0.4
STREAM_HEADERS = {"token_usage": "100,30"}


class CrashingRequestTest(unittest.IsolatedAsyncioTestCase):
    async def start(
        self, service, count=6, *, events=0, routers=3, mesh_most=16, **options
    ):
        """Starts routers and targets that crash on the request POISON.

        Further options are set as attributes of each target.
        """
        self.targets = [
            FakeTarget(f"s{i}", service, events=events) for i in range(count)
        ]
        for target in self.targets:
            target.crashing_body = POISON
            for name, value in options.items():
                setattr(target, name, value)
        self.fleet = EdgeFleet(
            *self.targets, routers=routers, mesh_most=mesh_most
        )
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        return self.fleet

    def count_executions(self):
        return sum(len(target.executed) for target in self.targets)

    async def send_all(self, path, count, **options):
        """Sends the crashing request repeatedly, to each router in turn."""
        for number in range(count):
            await self.fleet.call(
                path,
                router=number % len(self.fleet.routers),
                body=POISON,
                request_id=f"r{number}",
                **options,
            )
            await asyncio.sleep(SEND_INTERVAL_S)

    async def test_a_stream_that_ends_targets_after_an_event_is_refused(self):
        await self.start("model", 13, events=3, crash_after_events=1)
        await self.send_all("/chat/x", 12, **STREAM_HEADERS)
        self.assertLessEqual(self.count_executions(), MAX_EXECUTIONS)

    async def test_a_resumable_stream_that_ends_targets_is_refused(self):
        await self.start("model", 28, events=3, crash_after_events=1)
        await self.send_all("/draft/x", 9, **STREAM_HEADERS)
        self.assertLessEqual(self.count_executions(), MAX_EXECUTIONS)

    async def test_a_request_that_ends_targets_which_return_is_refused(self):
        await self.start("plain", 4, restart_delay_s=0.0)
        await self.send_all("/read/x", 12)
        self.assertLessEqual(self.count_executions(), MAX_EXECUTIONS)

    async def test_a_request_that_ends_targets_for_a_while_is_refused(self):
        await self.start("plain", 4, restart_delay_s=0.5)
        await self.send_all("/read/x", 12)
        self.assertLessEqual(self.count_executions(), MAX_EXECUTIONS)

    async def test_a_request_whose_callers_leave_is_refused(self):
        await self.start("plain", 13, crash_delay_s=0.05)
        for number in range(12):
            caller = await self.fleet.connect(number % 3)
            await caller.send("/read/x", body=POISON, request_id=f"r{number}")
            await asyncio.sleep(0.03)
            caller.close()
            await asyncio.sleep(SEND_INTERVAL_S)
        self.assertLessEqual(self.count_executions(), MAX_EXECUTIONS)

    async def test_a_request_that_ends_targets_in_silence_is_refused(self):
        await self.start(
            "plain", 13, restart_delay_s=1.0, hangs_before_restart=True
        )
        await self.send_all("/read/x", 12, timeout_remaining="600")
        self.assertLessEqual(self.count_executions(), MAX_EXECUTIONS)

    async def test_a_request_is_refused_after_all_routers_were_replaced(self):
        await self.start("plain", 13)
        for generation in range(4):
            await self.send_all("/read/x", 3)
            for router in list(self.fleet.routers):
                await self.fleet.stop_router(router)
            for number in range(3):
                await self.fleet.add_router(f"router{generation}{number}")
            await self.fleet.wait_until(self.knows_targets, START_TIMEOUT_S)
        self.assertLessEqual(self.count_executions(), MAX_EXECUTIONS)

    async def test_a_request_is_refused_where_all_hubs_are_lost(self):
        await self.start("plain", 13, routers=9, mesh_most=3)
        await self.send_all("/read/x", 3)
        hubs = self.fleet.routers[0].fleet.hubs()
        self.assertTrue(hubs)
        for router in list(self.fleet.routers):
            if router.settings.name in hubs:
                await self.fleet.stop_router(router)
        await self.send_all("/read/x", 6)
        await self.fleet.add_router("late")
        await self.fleet.wait_until(self.knows_targets, START_TIMEOUT_S)
        await asyncio.sleep(STABILITY_S)
        before = self.count_executions()
        new_router = len(self.fleet.routers) - 1
        for number in range(3):
            await self.fleet.call(
                "/read/x",
                router=new_router,
                body=POISON,
                request_id=f"l{number}",
            )
        # At most one trial of the quarantined request may be due.
        self.assertLessEqual(self.count_executions() - before, 1)
        self.assertLessEqual(self.count_executions(), MAX_EXECUTIONS)

    async def test_a_router_that_hears_no_peer_is_told_by_the_store(self):
        await self.start("plain", 13)
        isolated = self.fleet.routers[2]
        isolated.link.datagram_received = lambda data, addr: None
        for number in range(6):
            await self.fleet.call(
                "/read/x",
                router=number % 2,
                body=POISON,
                request_id=f"r{number}",
            )
            await asyncio.sleep(SEND_INTERVAL_S)
        before = self.count_executions()
        for number in range(6):
            await self.fleet.call(
                "/read/x", router=2, body=POISON, request_id=f"c{number}"
            )
        self.assertLessEqual(self.count_executions() - before, 1)
        self.assertLessEqual(self.count_executions(), MAX_EXECUTIONS)

    async def test_a_stream_that_broke_off_ends_before_its_target_is_probed(
        self,
    ):
        await self.start("model", 2, events=3, crash_after_events=1)
        for router in self.fleet.routers:
            probe = router.connections.probe

            async def probe_late(target, probe=probe):
                await asyncio.sleep(PROBE_DELAY_S)
                await probe(target)

            router.crashes._parts = router.crashes._parts._replace(
                probe=probe_late
            )
        loop = asyncio.get_running_loop()
        started = loop.time()
        response = await self.fleet.call(
            "/chat/x", body=POISON, request_id="r", **STREAM_HEADERS
        )
        self.assertFalse(response.is_complete)
        self.assertLess(loop.time() - started, PROBE_DELAY_S / 2)
        await asyncio.sleep(PROBE_DELAY_S * 1.5)
        metrics = self.fleet.routers[0].metrics.view()
        self.assertIn("target_crashed", str(metrics))

    def knows_targets(self):
        return all(
            router.config.table is not None and router.targets.revision
            for router in self.fleet.routers
        )

    async def test_a_request_sent_by_many_at_once_is_refused(self):
        await self.start("plain", 13)
        for turn in range(4):
            await asyncio.gather(
                *(
                    self.fleet.call(
                        "/read/x",
                        router=router,
                        body=POISON,
                        request_id=f"r{turn}-{router}",
                    )
                    for router in range(3)
                )
            )
            await asyncio.sleep(SEND_INTERVAL_S)
        self.assertLessEqual(self.count_executions(), MAX_EXECUTIONS)

    async def test_a_harmless_request_beside_two_losses_is_served_again(self):
        await self.start("plain", 6)
        for target in self.targets:
            target.mode = t.HANG
        waiting = [
            asyncio.create_task(
                self.fleet.call(
                    "/read/x", router=i, body=b"lookup", request_id=f"w{i}"
                )
            )
            for i in range(3)
        ]
        for _ in range(2):
            await self.fleet.wait_until(self.is_running)
            crashed = next(x for x in self.targets if self.has_work(x))
            crashed.executed.clear()
            crashed.crash()
            await asyncio.sleep(SEND_INTERVAL_S)
        for target in self.targets:
            target.mode = t.NORMAL
        started = asyncio.get_running_loop().time()
        for number in range(100):
            response = await self.fleet.call(
                "/read/x",
                router=number % 3,
                body=b"lookup",
                request_id=f"n{number}",
            )
            if response.status == 200:
                break
            await asyncio.sleep(0.1)
        elapsed_s = asyncio.get_running_loop().time() - started
        await asyncio.gather(*waiting)
        self.assertEqual(response.status, 200)
        self.assertLess(elapsed_s, STABILITY_S)

    def has_work(self, target):
        """Returns whether a target runs a request that was not cancelled."""
        return bool(target.executed) and not target.cancelled

    def is_running(self):
        return any(self.has_work(x) for x in self.targets)


if __name__ == "__main__":
    unittest.main()
