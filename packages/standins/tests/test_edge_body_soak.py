"""Soak test that no caller takes anything for an answer that is none.

Targets answer twice, cut their answers short, fall silent or send more than a
router buffers, while routers run as processes that are killed and frozen. By
default one seed is run; SEEDS=1-50 in the environment runs those seeds, one
after the other. SOAK_LOGS names a folder for the logs of a seed that fails.
"""

import asyncio
import contextlib
import os
import pathlib
import random
import shutil
import unittest
from collections import Counter

from chervilwall_standins.users.fleet import (
    AMPLE_RETRIES,
    ROUTES,
    START_TIMEOUT_S,
    CallerConnection,
    make_config,
)
from chervilwall_standins.users.process_fleet import ProcessFleet
from chervilwall_standins.users.varied_target import VariedTarget, piece_sizes

CALLERS = 32
DURATION_S = 13.0
CALL_TIMEOUT_S = 12.0
PATHS = {"/read/x": 6, "/book/x": 2, "/chat/x": 2, "/draft/x": 3}
# Below this, a seed shows nothing.
MIN_SERVED = 20
# Requests on these must not run twice.
RUN_ONCE = ("book", "chat")
REFUSED_STATUSES = (408, 421, 429, 503)


def seeds():
    first, _, last = os.environ.get("SEEDS", "1").partition("-")
    return range(int(first), int(last or first) + 1)


class BodySoakTest(unittest.IsolatedAsyncioTestCase):
    async def test_what_looks_complete_is_one_whole_answer(self):
        for seed in seeds():
            with self.subTest(seed=seed):
                print(f"body soak seed {seed}")
                await Soak(self, seed).run()


class Soak:
    """Run callers beside faults of targets and routers, drawn from a seed."""

    def __init__(self, test, seed):
        self.test = test
        self.seed = seed
        self.rng = random.Random(seed)
        self.targets = [self.make_target(f"p{n}", "plain") for n in range(5)]
        self.targets += [self.make_target(f"m{n}", "model") for n in range(4)]
        self.fleet = ProcessFleet(
            *self.targets,
            routers=self.rng.choice((2, 3)),
            retries=AMPLE_RETRIES,
        )
        # Whether bodies grow while routers stand still, which delays grants.
        self.is_growing = self.rng.random() < 0.4
        for target in self.targets:
            target.is_growing = self.is_growing
        self.counts = Counter()
        # Statuses 408, 421, 429 and 503, by request.
        self.refused = {}
        self.faults = []
        self.is_over = False

    def make_target(self, name, service):
        rng = random.Random(f"{self.seed} {name}")
        return VariedTarget(name, service, rng)

    async def run(self):
        async with self.fleet:
            await self.publish()
            async with asyncio.timeout(START_TIMEOUT_S):
                for router in self.fleet.routers:
                    while not await self.is_serving(router):
                        await asyncio.sleep(0.1)
            callers = [
                asyncio.create_task(self.call(n)) for n in range(CALLERS)
            ]
            await self.inject_faults()
            self.is_over = True
            await asyncio.gather(*callers)
            self.judge()
            if self.faults and "SOAK_LOGS" in os.environ:
                self.keep_logs(pathlib.Path(os.environ["SOAK_LOGS"]))
        print(f"body soak: {dict(sorted(self.counts.items()))}")
        self.test.assertEqual(self.faults, [])
        self.test.assertGreater(self.counts["200 whole"], MIN_SERVED)

    async def publish(self):
        """Writes a configuration with more time and attempts than usual."""
        routes = [
            route
            | {"timeout_ms": self.rng.choice((2000, 6000))}
            | ({"max_attempts": 3} if route["max_attempts"] > 1 else {})
            for route in ROUTES
        ]
        await self.fleet.store.put("config", "main", make_config(2, routes))

    async def is_serving(self, router):
        with contextlib.suppress(OSError):
            caller = await CallerConnection.open(router.address)
            await caller.send(
                "/read/x", request_id=f"first-{self.rng.random()}"
            )
            response = await caller.receive()
            caller.close()
            return response.status not in (0, 503)
        return False

    def keep_logs(self, folder):
        folder.mkdir(parents=True, exist_ok=True)
        for router in self.fleet.routers:
            shutil.copy(router.log, folder / f"{self.seed}-{router.log.name}")
        text = "\n".join(self.faults)
        (folder / f"{self.seed}-faults.txt").write_text(text)

    # The faults of routers.

    async def inject_faults(self):
        loop = asyncio.get_running_loop()
        ends_at = loop.time() + DURATION_S
        while loop.time() < ends_at:
            longest_s = 0.8 if self.is_growing else 2.0
            await asyncio.sleep(self.rng.uniform(0.3, longest_s))
            router = self.rng.choice(self.fleet.routers)
            if self.rng.random() < (0.9 if self.is_growing else 0.5):
                await router.freeze(self.rng.uniform(0.2, 2.0))
            else:
                router.kill()
                await asyncio.sleep(self.rng.uniform(0.0, 1.0))
                router.start()

    # The callers.

    async def call(self, number):
        """Sends requests on connections that are used until they end."""
        rng = random.Random(f"{self.seed} caller {number}")
        count = 0
        while not self.is_over:
            await asyncio.sleep(0.05)
            router = rng.choice(self.fleet.routers)
            with contextlib.suppress(OSError, TimeoutError):
                caller = await CallerConnection.open(router.address)
                with contextlib.closing(caller):
                    is_open = True
                    while is_open and not self.is_over:
                        count += 1
                        is_open = await self.call_once(
                            caller, rng, f"{number}-{count}"
                        )

    async def call_once(self, caller, rng, name):
        """Sends a request; returns whether the connection may be kept."""
        path = rng.choices(list(PATHS), list(PATHS.values()))[0]
        request_id = f"{path[1:5]}-{name}"
        options = {"request_id": request_id, "timeout_remaining": "7000"}
        if path in ("/chat/x", "/draft/x"):
            options["token_usage"] = "100,20"
        async with asyncio.timeout(CALL_TIMEOUT_S):
            await caller.send(path, **options)
            response = await caller.receive()
        self.check(request_id, response)
        if not response.is_complete or not response.is_framed:
            return False
        if response.headers.get("Connection") == "close":
            return False
        # Nothing may come while no request waits.
        with contextlib.suppress(TimeoutError):
            data = await asyncio.wait_for(
                caller.reader.read(100), rng.choice((0.005, 0.05, 0.3))
            )
            if data:
                self.add_fault(request_id, f"bytes unasked: {data!r}")
            return False
        return True

    # The rules.

    def add_fault(self, request_id, text):
        runs = self.runs_of(request_id)
        self.faults.append(f"{request_id}: {text}; runs: {runs}")

    def runs_of(self, request_id):
        return [r for t in self.targets for r in t.runs.get(request_id, ())]

    def check(self, request_id, response):
        status, body = response.status, response.body
        end = "whole" if response.is_complete else "cut"
        self.counts[f"{status} {end}"] += 1
        is_signed = "Response-Signature" in response.headers
        if not is_signed:
            if status in REFUSED_STATUSES:
                self.refused[request_id] = status
            elif 200 <= status < 300:
                self.add_fault(request_id, f"{status} without a signature")
            return
        runs, is_complete = self.runs_of(request_id), response.is_complete
        content_type = response.headers.get("Content-Type", "")
        if "event-stream" in content_type:
            fault = self.find_stream_fault(request_id, response)
        elif any(
            r.explains(status, body, is_complete=is_complete) for r in runs
        ):
            fault = ""
        else:
            fault = "no target's body"
        if fault:
            framed = "framed" if response.is_framed else "not framed"
            text = f"{fault}: {status}, {len(body)} bytes, {framed}, {end}"
            self.add_fault(request_id, f"{text}, ends {body[-300:]!r}")

    def find_stream_fault(self, request_id, response):
        """Returns what is wrong with the pieces of a stream, "" for nothing."""
        runs = {run.tag.encode(): run for run in self.runs_of(request_id)}
        *pieces, rest = response.body.split(b"\n\n")
        total = len(piece_sizes(request_id))
        used = []
        for number, piece in enumerate(pieces, 1):
            _, _, data = piece.partition(b"data: ")
            run = runs.get(data.partition(b"\n")[0])
            is_due = run is not None and number <= total
            if not is_due or run.piece(number) != piece + b"\n\n":
                return f"piece {number} is none: {piece[:200]!r}"
            used.append(run)
        if len(set(used)) > 1 and request_id.startswith(RUN_ONCE):
            return "pieces of several runs"
        if not response.is_complete:
            return ""
        if rest or not used:
            return f"ends with {rest[:200]!r}"
        is_whole = any(
            b"".join(map(run.piece, range(run.first_piece, len(pieces) + 1)))
            == run.looks_whole
            for run in runs.values()
            if run.first_piece
        )
        return "" if is_whole else f"piece {len(pieces)} is the last"

    def judge(self):
        """Checks what ran, once all requests have ended."""
        executed = Counter(x for t in self.targets for x in t.executed)
        for request_id, times in executed.items():
            if times > 1 and request_id.startswith(RUN_ONCE):
                self.add_fault(request_id, f"ran {times} times")
        for request_id, status in self.refused.items():
            if executed[request_id]:
                self.add_fault(request_id, f"refused with {status} and ran")
        self.counts["runs"] = executed.total()
        self.counts["copies"] = sum(t.copies_sent for t in self.targets)


if __name__ == "__main__":
    unittest.main()
