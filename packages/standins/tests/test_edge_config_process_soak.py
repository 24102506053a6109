"""Soak test of requests that wait or are read while the configuration changes.

Routers run as processes. Routes are split over services whose weights change,
configurations grow by hundreds of routes or follow each other quickly, watches
of the store are lost or cut, services are renamed while requests wait for them,
keys are revoked, targets fall silent, and routers are stopped, reloaded, killed
and frozen. Callers keep connections, pipeline requests and send bodies slowly.
Each whole request must get a complete answer or a refusal. By default one seed
is run; SEEDS=1-50 in the environment runs those seeds, one after the other.
"""

import asyncio
import contextlib
import itertools
import os
import random
import unittest
from collections import Counter

from chervilwall_router.edge.settings import ShutdownSettings
from chervilwall_standins.users import store as s
from chervilwall_standins.users.fleet import (
    KEY,
    CallerConnection,
    make_config,
    make_route,
)
from chervilwall_standins.users.process_fleet import ProcessFleet
from chervilwall_standins.users.target import FakeTarget

ROUTERS = 4
CALLERS = 48
DURATION_S = 6.0
START_TIMEOUT_S = 20.0
STOP = ShutdownSettings(grace_s=6.0, accept_s=0.5)
# Shortest idle limit of any configuration, and the longest pause of callers.
IDLE_LIMIT_S = 1.0
MAX_PAUSE_S = 0.6
# Time limit that callers state, and the time after which they give up.
TIME_LIMIT_S = 3.0
PATIENCE_S = 8.0
# A request that was sent this long before its connection ended did not cross
# the close: it was read.
CROSSING_S = 0.3
# A router that was frozen may find that a time limit has passed.
TIMING_MARGIN_S = 0.1
REVOKED_KEY = "key-that-is-revoked"
SERVICES = ("plain", "plain-b", "model", "model-b")
PATHS = ("/read/x", "/book/x", "/chat/x", "/draft/x", "/extra/x")
STREAM_PATHS = ("/chat/x", "/draft/x")


def seeds():
    first, _, last = os.environ.get("SEEDS", "1").partition("-")
    return range(int(first), int(last or first) + 1)


class ConfigProcessSoakTest(unittest.TestCase):
    def test_changes_beside_stops_and_lost_watches_lose_no_request(self):
        for seed in seeds():
            with self.subTest(seed=seed):
                print(f"configuration soak of processes, seed {seed}")
                asyncio.run(Soak(self, seed).run())


class Sent:
    """A whole request that a caller has sent, and what it got."""

    def __init__(self, id, path, router, *, is_pipelined):
        self.id = id
        self.path = path
        self.router = router
        self.start = router.starts
        self.is_pipelined = is_pipelined
        self.begun_at = None
        self.sent_at = None
        self.ended_at = None
        self.response = None

    def __repr__(self):
        ended_s = self.ended_at - (self.sent_at or self.ended_at)
        status = self.response.status if self.response else None
        return (
            f"Sent({self.id}, {self.path}, {self.router.settings.name},"
            f" status={status}, pipelined={self.is_pipelined},"
            f" ended after {ended_s:.2f} s)"
        )


class Soak:
    """Run a random schedule of changes and faults, drawn from a seed."""

    def __init__(self, test, seed):
        self.test = test
        self.rng = random.Random(seed)
        self.version = 1
        self.targets = [
            FakeTarget(f"p{n}", SERVICES[n % 2]) for n in range(4)
        ] + [
            FakeTarget(
                f"m{n}", SERVICES[2 + n % 2], events=6, event_interval_s=0.06
            )
            for n in range(4)
        ]
        for target in self.targets:
            target.slots = 3
            target.response_delay_s = 0.05
        self.fleet = ProcessFleet(*self.targets, routers=ROUTERS, stop=STOP)
        self.store = self.fleet.store
        self.renames = itertools.count(1)
        self.names = dict.fromkeys(SERVICES, "")
        self.away = set()
        self.killed = Counter()
        self.frozen_at = {}
        self.exit_codes = []
        self.is_over = False
        # Longest time for which this process did not run its callers.
        self.max_lag_s = 0.0
        self.statuses = Counter()
        self.excused = Counter()
        self.faults = Counter()
        self.lost = []

    def now(self):
        return asyncio.get_running_loop().time()

    async def run(self):
        async with self.fleet:
            await self.publish()
            await self.wait_until_ready()
            ends_at = self.now() + DURATION_S
            callers = [
                asyncio.create_task(self.call(number))
                for number in range(CALLERS)
            ]
            callers.append(asyncio.create_task(self.measure_lag()))
            await asyncio.gather(
                self.repeat(ends_at, 0.8, self.change),
                self.repeat(ends_at, 1.2, self.disturb_store),
                self.repeat(ends_at, 0.8, self.disturb_targets),
                self.repeat(ends_at, 1.0, self.disturb_router),
            )
            self.is_over = True
            await asyncio.gather(*callers)
            self.print_logs()
        self.judge()

    async def repeat(self, ends_at, max_pause_s, action):
        while self.now() < ends_at:
            await asyncio.sleep(self.rng.uniform(0.05, max_pause_s))
            await action()

    async def measure_lag(self):
        while not self.is_over:
            before = self.now()
            await asyncio.sleep(0.05)
            lag_s = self.now() - before - 0.05
            self.max_lag_s = max(self.max_lag_s, lag_s)

    async def wait_until_ready(self):
        async with asyncio.timeout(START_TIMEOUT_S):
            for router in self.fleet.routers:
                while not await self.serves(router):
                    await asyncio.sleep(0.05)

    async def wait_until_listening(self, router):
        async with asyncio.timeout(START_TIMEOUT_S):
            while True:
                with contextlib.suppress(OSError):
                    caller = await CallerConnection.open(router.address)
                    caller.close()
                    return
                await asyncio.sleep(0.02)

    async def serves(self, router):
        with contextlib.suppress(OSError):
            caller = await CallerConnection.open(router.address)
            await caller.send("/read/x")
            response = await caller.receive()
            caller.close()
            return response.status == 200
        return False

    # The operator.

    async def publish(self, *, more_routes=0):
        """Writes a configuration that differs from the one before."""
        rng = self.rng
        self.version += 1

        def split(*services):
            weights = [rng.choice((0, 1, 1, 5)) for _ in services]
            if self.version == 2:
                weights = [1] * len(services)
            return {
                "backend": "",
                "traffic_split": [
                    {"backend": f"{name}{self.names[name]}", "weight": weight}
                    for name, weight in zip(services, weights, strict=True)
                ],
                "timeout_ms": rng.choice((3000, 5000)),
            }

        plain, model = split(*SERVICES[:2]), split(*SERVICES[2:])
        routes = [
            make_route("read", "plain", **plain),
            make_route("book", "plain", kind="non_idempotent", max_attempts=1)
            | split(*SERVICES[:2]),
            make_route("chat", "model", kind="streaming", max_attempts=1)
            | model,
            make_route(
                "draft",
                "model",
                kind="streaming",
                resumable=True,
                max_attempts=3,
            )
            | split(*SERVICES[2:]),
        ]
        if rng.random() < 0.5:
            routes.append(make_route("extra", "plain", **plain))
        routes += [
            make_route(f"more-{n}-{'x' * 40}", "plain", **plain)
            for n in range(more_routes)
        ]
        rng.shuffle(routes)
        config = make_config(self.version, routes)
        config["services"] = [
            item | {"name": f"{item['name']}{suffix}{self.names[name]}"}
            for item in config["services"]
            for suffix in ("", "-b")
            for name in (f"{item['name']}{suffix}",)
            if self.version == 2 or rng.random() < 0.9
        ]
        config["limits"] |= {
            "idle_timeout_ms": rng.choice((1, 2, 4)) * IDLE_LIMIT_S * 1000,
            "max_header_bytes": rng.choice((2048, 4096)),
            "tokens_per_s": rng.choice((2000, 100_000)),
        }
        if rng.random() < 0.5:
            config["tenants"].append({"name": "t2", "api_keys": [REVOKED_KEY]})
        await self.store.put("config", "main", config)

    async def change(self):
        kind = self.rng.choice(("one", "one", "storm", "grow", "rename"))
        self.faults[f"config {kind}"] += 1
        if kind == "storm":
            for _ in range(self.rng.choice((5, 15))):
                await self.publish()
                await asyncio.sleep(self.rng.choice((0.0, 0.02, 0.1)))
        elif kind == "rename":
            await self.rename()
        else:
            count = self.rng.choice((200, 800, 2500))
            await self.publish(more_routes=count if kind == "grow" else 0)

    async def rename(self):
        """Renames a service, and registers its targets under the new name."""
        service = self.rng.choice(SERVICES)
        old_name = f"{service}{self.names[service]}"
        self.names[service] = f"-{next(self.renames)}"
        new_name = f"{service}{self.names[service]}"
        if self.rng.random() < 0.5:
            await self.publish()
        for target in self.targets:
            if target.service != old_name:
                continue
            old_id = target.id
            target.service = new_name
            target.born_ms += 1
            target.id = f"{old_id.partition('+')[0]}+{target.born_ms}"
            await self.store.put("servers", target.id, target.spec())
            await self.store.delete("servers", old_id)
        await self.publish()

    # Disturbances.

    async def disturb_store(self):
        kind = self.rng.choice(("none", "lost", "away", "cut", "compacted"))
        self.faults[f"store {kind}"] += 1
        duration_s = self.rng.uniform(0.2, 1.2)
        if kind in ("lost", "away"):
            modes = (s.SILENT,) if kind == "lost" else (s.UNAVAILABLE, s.RESET)
            self.store.mode = self.rng.choice(modes)
            await asyncio.sleep(duration_s)
            self.store.mode = s.AVAILABLE
        elif kind == "cut":
            await self.rng.choice(self.fleet.routers).cut_off(duration_s)
        elif kind == "compacted":
            await self.store.compact_history()

    async def disturb_targets(self):
        count = self.rng.choice((0, 0, 1, 1, 3, len(self.targets)))
        self.faults["silent targets"] += count
        for target in self.rng.sample(self.targets, count):
            target.fall_silent(self.rng.uniform(0.8, 1.8))

    async def disturb_router(self):
        kind = self.rng.choice(
            ("none", "reload", "reload", "stop", "stop", "kill", "freeze")
        )
        self.faults[f"router {kind}"] += 1
        router = self.rng.choice(self.fleet.routers)
        # SIGTERM ends a process that does not listen yet at once.
        await self.wait_until_listening(router)
        if kind == "reload":
            router.reload()
        elif kind == "stop":
            self.away.add(router)
            self.exit_codes.append(await router.terminate())
            router.start()
            self.away.discard(router)
        elif kind == "kill":
            self.killed[router, router.starts] += 1
            router.kill()
            await asyncio.sleep(self.rng.uniform(0.0, 0.5))
            router.start()
        elif kind == "freeze":
            await router.freeze(self.rng.uniform(0.2, 1.2))

    # The callers.

    async def call(self, number):
        rng = random.Random(f"{number} {self.rng.random()}")
        conn, router, numbers = None, None, itertools.count()
        style = rng.choice(("single", "single", "pipelined", "slow"))
        while not self.is_over:
            idle_since = self.now()
            await asyncio.sleep(rng.uniform(0.01, MAX_PAUSE_S))
            # Only if this host is too busy to play the caller.
            if conn and self.now() - idle_since > 0.9 * IDLE_LIMIT_S:
                conn.close()
                conn = None
            if conn is None:
                present = [r for r in self.fleet.routers if r not in self.away]
                router = rng.choice(present)
                try:
                    conn = await CallerConnection.open(router.address)
                except OSError:
                    continue
            count = rng.choice((2, 3)) if style == "pipelined" else 1
            batch = [
                Sent(
                    f"{number}-{next(numbers)}",
                    rng.choice(PATHS),
                    router,
                    is_pipelined=index > 0,
                )
                for index in range(count)
            ]
            is_kept = await self.exchange(conn, rng, batch, style)
            if not is_kept:
                conn.close()
                conn = None
        if conn is not None:
            conn.close()

    async def exchange(self, conn, rng, batch, style):
        """Sends requests; returns whether the connection may be kept."""
        writing = asyncio.create_task(self.write(conn, rng, batch, style))
        is_open = True
        for sent in batch:
            if is_open:
                try:
                    async with asyncio.timeout(PATIENCE_S):
                        sent.response = await conn.receive()
                except (TimeoutError, ConnectionError):
                    sent.response = None
                is_open = (
                    sent.response is not None
                    and sent.response.is_complete
                    and sent.response.headers.get("Connection") != "close"
                )
            sent.ended_at = self.now()
        if not writing.done() or writing.exception():
            writing.cancel()
            is_open = False
        for sent in batch:
            if sent.sent_at is not None:
                self.record(sent)
        return is_open

    async def write(self, conn, rng, batch, style):
        for sent in batch:
            sent.begun_at = self.now()
            key = rng.choice((KEY, KEY, KEY, REVOKED_KEY))
            options = {
                "request_id": sent.id,
                "timeout_remaining": str(round(TIME_LIMIT_S * 1000)),
                "authorization": f"Token {key}",
            }
            if sent.path in STREAM_PATHS:
                options["token_usage"] = "100,20"
            if style == "slow":
                await conn.send(
                    sent.path, body=b"he", content_length="5", **options
                )
                await asyncio.sleep(rng.uniform(0.0, 0.5 * IDLE_LIMIT_S))
                conn.writer.write(b"llo")
            else:
                await conn.send(sent.path, **options)
            sent.sent_at = self.now()

    def record(self, sent):
        response = sent.response
        if response is not None and response.is_complete:
            self.statuses[response.status] += 1
            return
        reason = self.find_excuse(sent)
        if reason:
            self.excused[reason] += 1
        else:
            self.lost.append(sent)

    def find_excuse(self, sent):
        """Returns why a request may end without a complete answer, or ""."""
        took_s = sent.ended_at - sent.sent_at
        # The time limit counts from the head, also if the body is slow.
        open_s = sent.ended_at - sent.begun_at
        if self.killed[sent.router, sent.start]:
            return "killed"
        if open_s >= TIME_LIMIT_S - TIMING_MARGIN_S:
            return "time limit"
        has_run = any(sent.id in target.executed for target in self.targets)
        if not has_run and took_s < CROSSING_S:
            return "crossed the close"
        return ""

    # Checks.

    def print_logs(self):
        for sent in self.lost[:5]:
            print(sent)
            for router in self.fleet.routers:
                for line in router.log.read_text().splitlines():
                    if f'"{sent.id}"' in line:
                        print(" ", router.settings.name, line)
        failures = Counter()
        for router in self.fleet.routers:
            for line in router.log.read_text().splitlines():
                if "Traceback" in line or '"E105"' in line:
                    failures[line[:2000]] += 1
        for line, count in failures.most_common(3):
            print(count, line)

    def judge(self):
        print(
            f"versions {self.version}, responses {dict(self.statuses)},"
            f" excused {dict(self.excused)}, lost {len(self.lost)},"
            f" {dict(self.faults)}, callers late by {self.max_lag_s:.2f} s"
        )
        self.test.assertEqual(self.lost, [])
        self.test.assertLessEqual(set(self.exit_codes), {0})
        self.test.assertGreater(self.statuses[200], 0)
        self.test.assertLessEqual(
            set(self.statuses), {200, 401, 404, 502, 503, 504}
        )


if __name__ == "__main__":
    unittest.main()
