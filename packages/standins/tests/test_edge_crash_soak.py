"""A soak: requests that crash targets, among losses, cuts and restarts.

python -m unittest discovers one seed; SEEDS=1-50 in the environment runs
those seeds, one after the other.
"""

import asyncio
import os
import random
import unittest

from chervilwall_standins.users import store as s
from chervilwall_standins.users.fleet import START_LIMIT_S, UsersFleet
from chervilwall_standins.users.target import UsersTarget

POISON = b"poison"
LOOKUP = b"lookup"
ROUTERS = 4
TARGETS = 8
LENGTH_S = 14.0
# The users' bounds: later than this after the third crash, three retries.
STABILITY_S = 3.0
CRASHES = 3
LATE_RETRIES = 3
QUARANTINED = b"quarantined"


def seeds():
    first, _, last = os.environ.get("SEEDS", "2").partition("-")
    return range(int(first), int(last or first) + 1)


class CrashSoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_crashing_requests_end_and_others_are_served(self):
        for seed in seeds():
            with self.subTest(seed=seed):
                print(f"crash soak seed {seed}")
                await Soak(self, random.Random(seed)).run()


class Soak:
    """One schedule of faults, with callers all the while."""

    def __init__(self, test, rng):
        self.test = test
        self.rng = rng
        self.service = rng.choice(("plain", "model"))
        streams = self.service == "model"
        self.targets = [
            UsersTarget(f"s{i}", self.service, events=2 if streams else 0)
            for i in range(TARGETS)
        ]
        dark = rng.random() < 0.3
        for target in self.targets:
            target.crashing_body = POISON
            target.crash_after = rng.randint(0, 1) if streams else 0
            target.crash_delay_s = rng.choice((0.0, 0.05))
            target.restart_s = rng.uniform(0.5, 2.5)
            target.crashes_dark = dark
        self.path = rng.choice(("/chat/x", "/draft/x"))
        if not streams:
            self.path = rng.choice(("/read/x", "/book/x"))
        self.fleet = UsersFleet(
            *self.targets, routers=ROUTERS, mesh_most=rng.choice((2, 16))
        )
        self.last = 0
        self.refused_since = None
        self.longest_s = 0.0

    def now(self):
        return asyncio.get_running_loop().time()

    async def run(self):
        async with self.fleet:
            self.ends_at = self.now() + LENGTH_S
            await asyncio.gather(
                self.send_poison(), self.send_lookups(), self.disturb()
            )
        times = sorted(at for x in self.targets for at, _ in x.crashes)
        found = (
            f"{len(times)} targets ended, others held {self.longest_s:.1f} s"
        )
        print(f"crash soak: {found}")
        self.test.assertGreater(len(times), 1, "nothing was tried")
        if len(times) >= CRASHES:
            third = times[CRASHES - 1]
            late = [at for at in times if at > third + STABILITY_S]
            self.test.assertLessEqual(len(late), LATE_RETRIES)
        self.test.assertLess(self.longest_s, STABILITY_S)

    async def call(self, body):
        self.last += 1
        router = self.rng.randrange(len(self.fleet.routers))
        try:
            return await self.fleet.call(
                self.path,
                router=router,
                body=body,
                request_id=f"{body.decode()}{self.last}",
                token_usage="100,10",
                timeout_remaining="800",
            )
        except OSError:
            # The router was just stopped.
            return None

    async def send_poison(self):
        sent = set()
        while self.now() < self.ends_at:
            for _ in range(self.rng.choice((1, 1, 1, 3))):
                task = asyncio.create_task(self.call(POISON))
                sent.add(task)
                task.add_done_callback(sent.discard)
            await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        await asyncio.gather(*sent)

    async def send_lookups(self):
        """Sends a harmless request again and again."""
        while self.now() < self.ends_at:
            answer = await self.call(LOOKUP)
            await asyncio.sleep(self.rng.uniform(0.02, 0.1))
            if answer is None:
                continue
            if QUARANTINED in answer.body:
                self.refused_since = self.refused_since or self.now()
                refused_s = self.now() - self.refused_since
                self.longest_s = max(self.longest_s, refused_s)
            elif answer.status == 200:
                self.refused_since = None

    async def disturb(self):
        faults = (
            self.lose_target,
            self.replace_router,
            self.mute_router,
            self.silence_store,
        )
        while self.now() < self.ends_at - 1.0:
            await asyncio.sleep(self.rng.uniform(0.3, 1.5))
            await self.rng.choice(faults)()

    async def lose_target(self):
        """Loses a target for another reason."""
        target = self.rng.choice(self.targets)
        if target.is_up:
            target.crash()

    async def replace_router(self):
        if len(self.fleet.routers) > 2:
            await self.fleet.stop_router(self.rng.choice(self.fleet.routers))
        router = await self.fleet.add_router(f"router-{self.last}")
        await self.fleet.until(
            lambda: router.config.table and router.targets.revision,
            START_LIMIT_S,
        )

    async def mute_router(self):
        """Lets a router hear no peer for a while."""
        link = self.rng.choice(self.fleet.routers).link
        link.datagram_received = lambda data, addr: None
        await asyncio.sleep(self.rng.uniform(0.5, 2.5))
        del link.datagram_received

    async def silence_store(self):
        self.fleet.store.mode = self.rng.choice((s.SILENT, s.BUSY, s.RESET))
        await asyncio.sleep(self.rng.uniform(0.5, 2.0))
        self.fleet.store.mode = s.ANSWERING


if __name__ == "__main__":
    unittest.main()
