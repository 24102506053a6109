"""Test of an evacuation beside faults, with routers that run as processes.

While callers keep calling, a zone is evacuated and returned several times.
Meanwhile routers are killed, all at once or one, suspended or cut off from the
store, and the store is unavailable. No request may reach the zone later than
the bound after it was evacuated, and each is answered unless a router is
killed. By default one seed is run; SEEDS=1-20 in the environment runs those.
"""

import asyncio
import os
import random
import unittest
from collections import Counter

from chervilwall_standins.users import store as s
from chervilwall_standins.users.evacuation_case import (
    EVACUATION_MS,
    KIND,
    make_targets,
)
from chervilwall_standins.users.fleet import CallerConnection
from chervilwall_standins.users.process_fleet import ProcessFleet

ROUTERS = 3
CALLERS = 12
START_TIMEOUT_S = 20.0
# Tighter than the users' bound, as no fault here lasts longer than FAULT_S.
BOUND_S = 2.5
FAULT_S = 0.8
# Time for which the zone stays evacuated, and then in service.
EVACUATED_S = 4.0
SERVING_S = 1.0
ROUNDS = 2


def seeds():
    first, _, last = os.environ.get("SEEDS", "1").partition("-")
    return range(int(first), int(last or first) + 1)


class EvacuationProcessTest(unittest.IsolatedAsyncioTestCase):
    async def test_no_request_reaches_an_evacuated_zone_beside_faults(self):
        for seed in seeds():
            with self.subTest(seed=seed):
                await self.play(random.Random(seed))

    async def play(self, rng):
        self.rng = rng
        self.targets = make_targets("east", "east", "west", "west")
        for target in self.targets:
            target.response_delay_s = 0.02
        self.fleet = ProcessFleet(
            *self.targets, routers=ROUTERS, evacuation_ms=EVACUATION_MS
        )
        self.statuses = Counter()
        self.is_over = False
        self.has_killed = False
        # Loop times at which the zone was evacuated and returned.
        self.spans = []
        async with self.fleet:
            await self.wait_until_ready()
            callers = [
                asyncio.create_task(self.call(n)) for n in range(CALLERS)
            ]
            for _ in range(ROUNDS):
                await self.run_round()
            self.is_over = True
            await asyncio.gather(*callers)
        self.judge()

    async def run_round(self):
        loop, store = asyncio.get_running_loop(), self.fleet.store
        await store.put(KIND, "east", {})
        evacuated_at = loop.time()
        fault = asyncio.create_task(self.disturb())
        await asyncio.sleep(EVACUATED_S)
        await fault
        self.spans.append((evacuated_at, loop.time()))
        await store.delete(KIND, "east")
        await asyncio.sleep(SERVING_S)

    async def disturb(self):
        rng, routers = self.rng, self.fleet.routers
        router = rng.choice(routers)
        kind = rng.choice(("kill all", "kill", "freeze", "cut", "store"))
        await asyncio.sleep(rng.uniform(0.0, 0.3))
        if kind in ("kill all", "kill"):
            self.has_killed = True
            killed = routers if kind == "kill all" else [router]
            for item in killed:
                item.kill()
            for item in killed:
                item.start()
        elif kind == "freeze":
            await router.freeze(FAULT_S)
        elif kind == "cut":
            await router.cut_off(FAULT_S)
        else:
            self.fleet.store.mode = rng.choice((s.UNAVAILABLE, s.RESET))
            await asyncio.sleep(FAULT_S)
            self.fleet.store.mode = s.AVAILABLE

    async def wait_until_ready(self):
        async with asyncio.timeout(START_TIMEOUT_S):
            while self.statuses[200] < ROUTERS:
                self.statuses.clear()
                for router in self.fleet.routers:
                    await self.send(router, "start")
                await asyncio.sleep(0.05)

    async def call(self, number):
        rng, sent = random.Random(number), 0
        while not self.is_over:
            sent += 1
            await self.send(rng.choice(self.fleet.routers), f"{number}-{sent}")
            await asyncio.sleep(rng.uniform(0.0, 0.05))

    async def send(self, router, request_id):
        conn = None
        try:
            conn = await CallerConnection.open(router.address)
            await conn.send("/read/x", request_id=request_id)
            self.statuses[(await conn.receive()).status] += 1
        except OSError:
            self.statuses[0] += 1
        finally:
            if conn is not None:
                conn.close()

    def judge(self):
        late = [
            round(request.at - begins_at, 2)
            for target in self.targets
            if target.zone == "east"
            for request in target.received
            for begins_at, ends_at in self.spans
            if begins_at + BOUND_S < request.at < ends_at
        ]
        print(f"responses {dict(self.statuses)}, late {late}")
        self.assertEqual(late, [])
        # Status 0 is no answer.
        expected = {0, 200, 503} if self.has_killed else {200, 503}
        self.assertLessEqual(set(self.statuses), expected)
        self.assertGreater(self.statuses[200], 200)
        self.assertTrue(self.targets[0].received)


if __name__ == "__main__":
    unittest.main()
