"""Soak test of a store that comes back from older copies, with other faults.

Routers run as processes. They are killed, frozen and cut off from the store,
targets come, leave and crash, and configurations change, alone and while the
store is away or comes back from an older copy. By default one seed is run;
SEEDS=1-50 in the environment runs those seeds, one after the other.
"""

import asyncio
import contextlib
import os
import random
import unittest
from collections import Counter

from chervilwall_standins.users import store as s
from chervilwall_standins.users.fleet import KEY, CallerConnection, make_config
from chervilwall_standins.users.process_fleet import ProcessFleet
from chervilwall_standins.users.target import FakeTarget

ROUTERS = 4
DURATION_S = 12.0
START_TIMEOUT_S = 20.0
CALL_TIMEOUT_S = 4.0
# Time within which operators and targets write again after the store's return.
WRITTEN_AGAIN_S = 1.8
# Time from the last fault until all routers have to agree: registrations are
# written again, and those that are not lapse afterwards.
SETTLE_S = 5.0
FINAL_LOAD_S = 2.0
# Requests that each router gets at once at the end, to need all targets.
FINAL_CALLS = 40
MIN_TARGETS = 3
PROBED_VERSIONS = 4
# Time after which a router that reaches the store knows of a change.
NOTICE_S = 1.0
# Calls to the store that all routers may make on average, failed ones included.
# After a failure, each of three watches of a router is repeated up to ten times
# a second at first.
MAX_CALLS_PER_S = 20 * ROUTERS
# A router that was started, frozen or cut off less than this ago may refuse.
STABILITY_S = 3.0


def seeds():
    first, _, last = os.environ.get("SEEDS", "3").partition("-")
    return range(int(first), int(last or first) + 1)


def make_version(version):
    config = make_config(version)
    config["tenants"][0]["api_keys"] = [KEY, f"key-{version}"]
    return config


class StoreSoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_promises_hold_while_older_copies_of_the_store_return(self):
        for seed in seeds():
            with self.subTest(seed=seed):
                print(f"store soak seed {seed}")
                await Soak(self, random.Random(seed)).run()


class Soak:
    """Run a random schedule of faults, drawn from a seed, under load."""

    def __init__(self, test, rng):
        self.test = test
        self.rng = rng
        self.targets = [FakeTarget(f"t{i}", "plain") for i in range(4)]
        self.fleet = ProcessFleet(*self.targets, routers=ROUTERS)
        self.store = self.fleet.store
        # What operators and targets have written last.
        self.registered = {}
        self.version = 1
        self.statuses = Counter()
        self.request_count = 0
        # Highest version seen in force, by router and start.
        self.in_force = {}
        # Faults of each router, and the times from which it counts as calm.
        self.disturbances = Counter()
        self.calm_from = {}
        # Requests that a calm router refused.
        self.refused = []
        # Routers that were calm when they answered, and their starts.
        self.senders = {}
        # Starts of routers that have had a configuration.
        self.served = set()
        # Time at which the store failed last.
        self.store_failed_at = 0.0
        # Time at which it was back.
        self.store_back_at = 0.0
        # Removed targets, number of requests that they had run when all calm
        # routers had to know it, and these routers with their starts.
        self.removals = []

    def now(self):
        return asyncio.get_running_loop().time()

    async def run(self):
        async with self.fleet:
            for target in self.targets:
                self.prepare(target)
            await self.publish()
            await self.wait_until_agreed(START_TIMEOUT_S)
            started_at = self.now()
            self.store.requests.clear()
            self.ends_at = started_at + DURATION_S
            load = [asyncio.create_task(self.send()) for _ in range(6)]
            load += [asyncio.create_task(self.probe()) for _ in range(2)]
            await self.inject_faults()
            await self.write_again()
            await self.wait_until_agreed(SETTLE_S)
            await asyncio.sleep(SETTLE_S)
            await self.check_targets()
            for task in load:
                task.cancel()
            results = await asyncio.gather(*load, return_exceptions=True)
            self.check(results, started_at)

    def prepare(self, target):
        target.restart_delay_s = self.rng.uniform(0.3, 1.5)
        target.on_restart = self.register_restart
        self.registered[target.id] = target.spec()

    # The load.

    async def send(self):
        """Sends lookups and bookings on connections that are kept."""
        while True:
            router = self.rng.choice(self.fleet.routers)
            with contextlib.suppress(OSError, TimeoutError):
                async with self.connection(router) as caller:
                    while self.rng.random() < 0.9:
                        if not await self.send_one(router, caller):
                            break
                        await asyncio.sleep(0.02)
            await asyncio.sleep(0.02)

    @contextlib.asynccontextmanager
    async def connection(self, router):
        async with asyncio.timeout(CALL_TIMEOUT_S):
            caller = await CallerConnection.open(router.address)
        try:
            yield caller
        finally:
            caller.close()

    async def call(self, caller, path, **options):
        self.request_count += 1
        request_id = f"{path[1:5]}{self.request_count}"
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await caller.send(path, request_id=request_id, **options)
            return request_id, await caller.receive()

    async def send_one(self, router, caller):
        """Sends a request; returns whether the connection may be kept."""
        path = self.rng.choice(("/read/x", "/book/x"))
        is_calm, start = self.is_calm(router), router.starts
        request_id, response = await self.call(caller, path)
        if is_calm:
            self.senders[request_id] = (router, start)
        self.statuses[response.status] += 1
        if response.status == 200:
            self.served.add((router, start))
        if response.status == 200 and response.is_complete:
            self.test.assertEqual(
                response.body.decode().partition(":")[2], request_id
            )
        if response.status in (429, 503):
            # A fault may have begun while the request was in progress.
            was_calm = is_calm and self.is_calm(router)
            has_started = (router, start) in self.served
            may_lack_config = not (has_started or self.is_store_stable())
            self.check_refusal(request_id, response, was_calm, may_lack_config)
        is_closing = response.headers.get("Connection") == "close"
        return response.is_complete and not is_closing

    def is_calm(self, router):
        """Returns whether a router has had no fault of its own lately."""
        is_disturbed = self.disturbances[router] > 0
        return not is_disturbed and self.now() > self.calm_from.get(router, 0.0)

    def is_store_stable(self):
        """Returns whether the store has had no fault lately."""
        is_away = self.store_failed_at > self.store_back_at
        return not is_away and self.now() > self.store_back_at + STABILITY_S

    def check_refusal(self, request_id, response, is_calm, may_lack_config):
        if request_id.startswith("book"):
            self.test.assertEqual(self.count_runs(request_id), 0, request_id)
        if may_lack_config and b"no_config" in response.body:
            return
        # A router sheds load if this machine is too busy for its event loop.
        if is_calm and b"host_behind" not in response.body:
            self.refused.append((request_id, response.body))

    def count_runs(self, request_id):
        return sum(x.executed.count(request_id) for x in self.targets)

    async def probe(self):
        """Checks that no router goes back to an older configuration."""
        while True:
            router = self.rng.choice(self.fleet.routers)
            oldest = max(1, self.version - PROBED_VERSIONS)
            version = self.rng.randint(oldest, self.version)
            start = (router.address, router.starts)
            known = self.in_force.get(start, 0)
            if await self.is_in_force(router, version):
                self.test.assertGreaterEqual(version, known, router)
                newest = self.in_force.get(start, 0)
                self.in_force[start] = max(newest, version)
            await asyncio.sleep(0.03)

    async def is_in_force(self, router, version):
        with contextlib.suppress(OSError, TimeoutError):
            async with self.connection(router) as caller:
                key = f"Token key-{version}"
                _, response = await self.call(
                    caller, "/read/x", authorization=key
                )
                return response.status == 200
        return False

    # Operators and targets.

    async def publish(self):
        self.version += 1
        await self.store.put("config", "main", make_version(self.version))

    async def register(self, id, spec):
        self.registered[id] = spec
        await self.store.put("servers", id, spec)

    async def register_restart(self, target, old_id):
        self.registered.pop(old_id, None)
        await self.register(target.id, target.spec())
        await self.store.delete("servers", old_id)

    async def write_again(self):
        """Writes what an older copy of the store lacks."""
        writes = [self.store.put("config", "main", make_version(self.version))]
        for item in self.store.items("servers"):
            if item["metadata"]["name"] not in self.registered:
                writes.append(
                    self.store.delete("servers", item["metadata"]["name"])
                )
        for id, spec in self.registered.items():
            if (self.store.get("servers", id) or {}).get("spec") != spec:
                writes.append(self.store.put("servers", id, spec))
        for write in writes:
            await write

    # Faults.

    async def inject_faults(self):
        others = (
            self.kill_router,
            self.freeze_router,
            self.cut_off_router,
            self.fail_store,
            self.add_target,
            self.remove_target,
            self.crash_target,
            self.publish,
        )
        while self.now() < self.ends_at:
            count = self.rng.choice((0, 1, 1, 2, 3))
            faults = [f() for f in self.rng.choices(others, k=count)]
            if self.rng.random() < 0.6:
                faults.append(self.restore_store())
            await asyncio.gather(*faults)
            await asyncio.sleep(self.rng.uniform(0.1, 1.0))

    async def restore_store(self):
        """Takes the store back to an older copy, at times twice."""
        copy = self.store.copy()
        for number in range(self.rng.choice((0, 20, 200))):
            await self.store.put("other", f"o{number}", {})
        await asyncio.sleep(self.rng.uniform(0.3, 3.0))
        for _ in range(self.rng.choice((1, 1, 2))):
            self.store_failed_at = self.now()
            away_s = self.rng.choice((0.0, self.rng.uniform(0.1, 0.8)))
            await self.store.restore_after_outage(copy, away_s)
            self.store_back_at = self.now()
            await asyncio.sleep(self.rng.uniform(0.1, WRITTEN_AGAIN_S))
        await self.write_again()

    async def fail_store(self):
        self.store_failed_at = self.now()
        self.store.mode = self.rng.choice((s.SILENT, s.UNAVAILABLE, s.RESET))
        await asyncio.sleep(self.rng.uniform(0.3, 1.5))
        self.store.mode = s.AVAILABLE
        self.store_back_at = self.now()

    @contextlib.contextmanager
    def disturb(self):
        router = self.rng.choice(self.fleet.routers)
        self.disturbances[router] += 1
        yield router
        self.disturbances[router] -= 1
        self.calm_from[router] = self.now() + STABILITY_S

    async def kill_router(self):
        with self.disturb() as router:
            router.kill()
            await asyncio.sleep(self.rng.uniform(0.0, 0.8))
            router.start()

    async def freeze_router(self):
        with self.disturb() as router:
            await router.freeze(self.rng.uniform(0.2, 2.5))

    async def cut_off_router(self):
        with self.disturb() as router:
            await router.cut_off(self.rng.uniform(0.5, 2.5))

    async def add_target(self):
        target = FakeTarget(f"t{len(self.targets)}", "plain")
        self.targets.append(target)
        await self.fleet.start_target(target)
        self.prepare(target)

    async def remove_target(self):
        up = [x for x in self.targets if x.is_up and x.id in self.registered]
        if len(up) <= MIN_TARGETS:
            return
        target = self.rng.choice(up)
        await self.register(target.id, target.spec(state="draining"))
        await asyncio.sleep(self.rng.uniform(0.1, 0.6))
        self.registered.pop(target.id, None)
        await self.store.delete("servers", target.id)
        if self.store.mode == s.AVAILABLE:
            await self.record_removal(target, self.now())

    async def record_removal(self, target, removed_at):
        calm = [r for r in self.fleet.routers if self.is_calm(r)]
        starts = {(router, router.starts) for router in calm}
        await asyncio.sleep(NOTICE_S)
        # After a failure of the store, the removal may have been lost first.
        if self.store_failed_at < removed_at - STABILITY_S:
            self.removals.append((target, len(target.executed), starts))

    async def crash_target(self):
        up = [x for x in self.targets if x.is_up and x.id in self.registered]
        if len(up) > MIN_TARGETS:
            self.rng.choice(up).crash()

    # Checks.

    async def wait_until_agreed(self, timeout_s):
        """Waits until all routers have the newest configuration."""
        async with asyncio.timeout(timeout_s):
            for router in self.fleet.routers:
                while not await self.is_in_force(router, self.version):
                    await asyncio.sleep(0.05)

    async def check_targets(self):
        before = {x: len(x.executed) for x in self.targets}
        ends_at = self.now() + FINAL_LOAD_S
        while self.now() < ends_at:
            for router in self.fleet.routers:
                calls = (self.call_once(router) for _ in range(FINAL_CALLS))
                await asyncio.gather(*calls)
        for target in self.targets:
            got_some = len(target.executed) > before[target]
            if got_some != (target.id in self.registered):
                self.print_logs(target)
                self.test.fail(f"{target} got requests: {got_some}")

    async def call_once(self, router):
        with contextlib.suppress(OSError, TimeoutError):
            async with self.connection(router) as caller:
                await self.call(caller, "/read/x")

    def print_logs(self, target):
        for router in self.fleet.routers:
            lines = router.log.read_text().splitlines()
            about = [x for x in lines if f'"{target.id}"' in x]
            print(router, *about[-20:], sep="\n  ")

    def check(self, results, started_at):
        failures = [x for x in results if isinstance(x, Exception)]
        self.test.assertEqual(failures, [])
        runs = Counter(r for x in self.targets for r in x.executed)
        repeated = [r for r, n in runs.items() if n > 1 and "book" in r]
        self.test.assertEqual(repeated, [])
        stored = {x["metadata"]["name"] for x in self.store.items("routers")}
        names = {x.settings.name for x in self.fleet.routers}
        self.test.assertEqual(stored, names)
        for target, count, starts in self.removals:
            late = [
                r
                for r in target.executed[count:]
                if self.senders.get(r) in starts
            ]
            self.test.assertEqual(late, [], target)
        calls_per_s = len(self.store.requests) / (self.now() - started_at)
        print(
            f"store soak: era {self.store.era}, version {self.version},"
            f" responses {dict(self.statuses)}, removals"
            f" {len(self.removals)}, {calls_per_s:.0f} calls/s"
        )
        self.test.assertLess(calls_per_s, MAX_CALLS_PER_S)
        self.test.assertEqual(self.refused, [])


if __name__ == "__main__":
    unittest.main()
