"""Tests of a fleet that is too large for each router to tell each other."""

import asyncio
import unittest

from chervilwall.hubs import HUBS
from chervilwall.peers import FULL_DIGEST_INTERVAL_S, REPORT_INTERVAL_S
from chervilwall_router.edge.clock import elapsed_s
from chervilwall_standins.users.fleet import UsersFleet, make_config
from chervilwall_standins.users.target import UsersTarget

ROUTERS = 14
MESH_MOST = 4
# Repeats of a change, and the time after which a router is silent.
SETTLE_S = 4.0
# The users' bound for a change of the configuration on their large sites.
IN_FORCE_S = 3.0


class EdgeHubsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *targets):
        fleet = UsersFleet(*targets, routers=ROUTERS, mesh_most=MESH_MOST)
        self.fleet = await fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        return self.fleet

    def addresses(self, router):
        found = router.peers.open_to_callers(elapsed_s())
        return {item.address for item in found.values()}

    def schedulers(self):
        """Returns whom each router takes for the scheduler of the model."""
        found = set()
        for router in self.fleet.routers:
            scheduler = router.fleet.find_scheduler("model", ())
            me = router.settings.name
            found.add(me if scheduler is None else scheduler.name)
        return found

    async def test_all_know_all_though_few_tell_all(self):
        fleet = await self.start(UsersTarget("m0", "model"))
        for router in fleet.routers:
            self.assertEqual(len(self.addresses(router)), ROUTERS - 1)
        await asyncio.sleep(2.5)
        before = sum(r.link.frames_sent for r in fleet.routers)
        await asyncio.sleep(1.0)
        sent = sum(r.link.frames_sent for r in fleet.routers) - before
        # Hubs tell each other at each turn; they tell all, and the others
        # tell them, at each second one; a whole digest in 2 s.
        others = ROUTERS - HUBS
        turns = HUBS * (HUBS - 1) + 2 * HUBS * others / 2
        reports = turns / REPORT_INTERVAL_S
        digests = HUBS * (ROUTERS - 1) / FULL_DIGEST_INTERVAL_S
        self.assertLess(sent, 1.2 * (reports + digests))

    async def test_one_router_schedules_and_serves_all(self):
        model = UsersTarget("m0", "model", events=2)
        fleet = await self.start(model)
        await fleet.until(lambda: len(self.schedulers()) == 1)
        for number in range(ROUTERS):
            answer = await fleet.call(
                "/chat/x",
                router=number,
                token_usage="10,10",
                request_id=f"r{number}",
            )
            self.assertEqual(answer.status, 200)

    async def test_few_calls_reach_the_store_and_all_know_what_changed(self):
        fleet = await self.start(UsersTarget("m0", "model"))
        # Long enough for the watches that were begun at the start to end.
        await asyncio.sleep(2.5)
        fleet.store.calls.clear()
        await fleet.store.put("config", "main", make_config(2))
        await fleet.until(
            lambda: all(r.config.version == 2 for r in fleet.routers),
            limit_s=IN_FORCE_S,
        )
        watches = [c for c in fleet.store.calls if "watch" in c]
        # Two kinds, each again after its answer.
        self.assertLessEqual(len(watches), HUBS * 2 * 3)

    async def test_without_hubs_that_read_the_store_all_read_it(self):
        fleet = await self.start(UsersTarget("m0", "model"))
        await asyncio.sleep(1.0)
        for router in fleet.routers:
            router.reports.take_frame = lambda frame, address: None
        await fleet.store.put("config", "main", make_config(2))
        await fleet.until(
            lambda: all(r.config.version == 2 for r in fleet.routers),
            limit_s=IN_FORCE_S,
        )

    async def test_a_leaving_router_is_left_out_by_all(self):
        fleet = await self.start(UsersTarget("m0", "model"))
        leaving = fleet.routers[0]
        address = leaving.settings.listen.callers
        leaving.begin_stop()
        others = fleet.routers[1:]
        await fleet.until(
            lambda: not any(address in self.addresses(r) for r in others),
            limit_s=1.0,
        )

    async def test_lost_hubs_are_replaced(self):
        model = UsersTarget("m0", "model", events=2)
        fleet = await self.start(model)
        await fleet.until(lambda: len(self.schedulers()) == 1)
        lost = self.schedulers().pop()
        for router in list(fleet.routers):
            if router.settings.name == lost:
                router.link.close()
                fleet.routers.remove(router)
        await fleet.until(
            lambda: (
                self.schedulers().isdisjoint({lost})
                and len(self.schedulers()) == 1
            ),
            limit_s=SETTLE_S,
        )
        answer = await fleet.call("/chat/x", token_usage="10,10")
        self.assertEqual(answer.status, 200)
