"""Tests of requests that share a prompt part which crashes their targets.

No two of the requests are alike. Routers have to refuse them after a few
crashes, and to serve the requests that share their team, their route and the
other parts of their prompts.
"""

import asyncio
import unittest

from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import START_TIMEOUT_S, EdgeFleet
from chervilwall_standins.users.target import FakeTarget

DEADLY = "dead"
OTHER_DEADLY = "dead2"
# Bounds that the users set: later than STABILITY_S after the fifth crash, at
# most MAX_LATE_RUNS requests may reach a target, and from twice that time on
# half of the sound requests have to be served.
STABILITY_S = 3.0
TOLERATED_CRASHES = 5
MAX_LATE_RUNS = 3
MIN_SOUND_FRACTION = 0.5
TARGETS = 10
RESTART_S = 1.0
SEND_INTERVAL_S = 0.2
# Time for which crashing requests are sent: the fifth crash, the time that is
# tolerated after it, and as much again.
DURATION_S = 7.0


# Sound requests that are judged are more than this.
MIN_JUDGED = 5
# Time by which sending is extended at most where the host is slow.
MAX_EXTENSION_S = 20.0


class CrashingPartTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *deadly, routers=3, **options):
        """Starts routers, and targets that crash on the given parts.

        Further options are set as attributes of each target.
        """
        self.targets = [
            FakeTarget(f"m{i}", "model", events=3) for i in range(TARGETS)
        ]
        for target in self.targets:
            target.crashing_parts = frozenset(deadly)
            target.restart_delay_s = RESTART_S
            for name, value in options.items():
                setattr(target, name, value)
        self.fleet = EdgeFleet(*self.targets, routers=routers)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.count = 0

    def now(self):
        return asyncio.get_running_loop().time()

    async def send(self, path, *parts, router=None):
        """Sends a request unlike all others with the given prompt parts."""
        self.count += 1
        number = self.count
        prompt = ",".join(f"{part}:50" for part in (*parts, f"own{number}"))
        if router is None:
            router = number
        return await self.fleet.call(
            path,
            router=router % len(self.fleet.routers),
            body=b"body %d" % number,
            request_id=f"r{number}",
            token_usage="200,30",
            prompt_prefix=prompt,
        )

    async def send_both(self, path, *deadly, duration_s=DURATION_S):
        """Sends crashing and sound requests.

        On a slow host it goes on until enough sound ones can be judged.

        Returns:
            The time at which each sound request was sent, and whether it was
            served.
        """
        sound = []
        ends_at = self.now() + duration_s
        limit_at = ends_at + MAX_EXTENSION_S
        while self.now() < ends_at or (
            len(self.judged(sound, len(deadly))) <= MIN_JUDGED
            and self.now() < limit_at
        ):
            number = self.count
            for part in deadly:
                await self.send(path, "first", part, f"session{number % 4}")
            started_at = self.now()
            response = await self.send(path, "first", f"session{number % 4}")
            is_served = response.status == 200 and response.is_complete
            sound.append((started_at, is_served))
            await asyncio.sleep(SEND_INTERVAL_S)
        return sound

    def crash_times(self):
        return sorted(at for x in self.targets for at, _ in x.crashes)

    def judged(self, sound, parts):
        """Returns which sound requests were served after the time to judge."""
        tolerated = self.crash_times()[: TOLERATED_CRASHES * parts]
        if not tolerated:
            return []
        judged_from = tolerated[-1] + STABILITY_S
        return [ok for at, ok in sound if at > judged_from]

    def assert_contained(self, sound, parts=1):
        """Checks the bounds for crashes and for the sound requests."""
        times = self.crash_times()
        self.assertGreater(len(times), 1)
        tolerated = times[: TOLERATED_CRASHES * parts]
        late = [at for at in times if at > tolerated[-1] + STABILITY_S]
        self.assertLessEqual(len(late), MAX_LATE_RUNS * parts)
        judged = self.judged(sound, parts)
        self.assertGreater(len(judged), MIN_JUDGED)
        fraction = sum(judged) / len(judged)
        self.assertGreaterEqual(fraction, MIN_SOUND_FRACTION)

    async def test_a_part_that_crashes_targets_before_an_answer_is_refused(
        self,
    ):
        await self.start(DEADLY)
        self.assert_contained(await self.send_both("/chat/x", DEADLY))

    async def test_a_part_that_crashes_targets_after_an_event_is_refused(self):
        await self.start(DEADLY, crash_after_events=1)
        self.assert_contained(await self.send_both("/chat/x", DEADLY))

    async def test_a_part_on_a_resumable_route_is_refused(self):
        await self.start(DEADLY, crash_after_events=1)
        self.assert_contained(await self.send_both("/draft/x", DEADLY))

    async def test_a_session_of_crashing_requests_is_served_again(self):
        # All crashing requests come from one session, which nothing but a sound
        # request of it can clear.
        await self.start(DEADLY)
        async with asyncio.timeout(STABILITY_S):
            response = await self.send("/chat/x", "first", DEADLY, "session")
            while response.status != 503:
                for number in range(4):
                    await self.send("/chat/x", "first", f"sound{number}")
                response = await self.send(
                    "/chat/x", "first", DEADLY, "session"
                )
        async with asyncio.timeout(STABILITY_S):
            while (
                await self.send("/chat/x", "first", "session")
            ).status != 200:
                await self.send("/chat/x", "first", DEADLY, "session")
                await asyncio.sleep(SEND_INTERVAL_S)
        response = await self.send("/chat/x", "first", DEADLY, "session")
        self.assertEqual(response.status, 503)

    async def test_several_crashing_parts_are_refused(self):
        await self.start(DEADLY, OTHER_DEADLY)
        # Up to ten crashes are tolerated, so the time to judge begins later.
        sound = await self.send_both(
            "/chat/x", DEADLY, OTHER_DEADLY, duration_s=DURATION_S + 3.0
        )
        self.assert_contained(sound, parts=2)

    async def test_a_part_is_refused_after_all_routers_were_replaced(self):
        await self.start(DEADLY)
        await self.send_both("/chat/x", DEADLY, duration_s=4.0)
        for router in list(self.fleet.routers):
            await self.fleet.stop_router(router)
        for number in range(3):
            await self.fleet.add_router(f"late{number}")
        await self.fleet.wait_until(self.knows_targets, START_TIMEOUT_S)
        self.assert_contained(await self.send_both("/chat/x", DEADLY))

    def knows_targets(self):
        return all(
            router.config.table is not None and router.targets.revision
            for router in self.fleet.routers
        )

    async def test_a_mended_part_is_served_again(self):
        await self.start(DEADLY)
        async with asyncio.timeout(STABILITY_S):
            response = await self.send("/chat/x", "first", DEADLY, "session")
            while response.status != 503:
                for number in range(4):
                    await self.send("/chat/x", "first", f"sound{number}")
                response = await self.send("/chat/x", "first", DEADLY, "s0")
        for target in self.targets:
            target.crashing_parts = frozenset()
        retry_after_s = float(response.headers["Retry-After"])
        await asyncio.sleep(min(retry_after_s, 31.0))
        async with asyncio.timeout(8.0):
            while response.status != 200:
                await asyncio.sleep(SEND_INTERVAL_S)
                response = await self.send("/chat/x", "first", DEADLY, "s1")

    async def test_a_popular_part_beside_crashes_stays_served(self):
        await self.start()
        for _ in range(4):
            await self.send("/chat/x", "first", "session")
        for target in self.targets:
            target.events = 40
        served = []

        async def send_popular():
            response = await self.send("/chat/x", "first", "session")
            served.append(response.status)

        tasks = set()
        for turn in range(24):
            tasks.add(asyncio.create_task(send_popular()))
            await asyncio.sleep(0.1)
            if turn % 3 == 2:
                busy = max(self.targets, key=lambda x: len(x.executed))
                busy.executed.clear()
                if busy.is_up:
                    busy.crash()
        await asyncio.gather(*tasks)
        self.assertNotIn(503, served)

    async def send_despite_load(self, part):
        """Sends a request again if its router sheds load of this machine."""
        while True:
            response = await self.send("/chat/x", "first", part)
            if b"host_behind" not in response.body:
                return response
            await asyncio.sleep(SEND_INTERVAL_S)

    async def test_a_popular_part_is_served_after_all_targets_crashed(self):
        await self.start()
        for target in self.targets:
            target.mode = t.HANG
        waiting = [
            asyncio.create_task(self.send_despite_load(f"s{i}"))
            for i in range(30)
        ]
        await self.fleet.wait_until(
            lambda: sum(len(x.executed) for x in self.targets) == 30
        )
        for target in self.targets:
            target.crash()
            target.mode = t.NORMAL
            await asyncio.sleep(0.15)
        await asyncio.gather(*waiting)
        await asyncio.sleep(RESTART_S)
        async with asyncio.timeout(STABILITY_S):
            while (await self.send("/chat/x", "first", "s0")).status != 200:
                await asyncio.sleep(SEND_INTERVAL_S)


if __name__ == "__main__":
    unittest.main()
