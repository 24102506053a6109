"""Tests of many large responses at once, each below the bounds of one.

The router runs in its own process, so that its memory is its own.
"""

import asyncio
import unittest

from chervilwall_standins.users.fleet import (
    CallerConnection,
    EdgeFleet,
    make_route,
)
from chervilwall_standins.users.flood import run_router
from chervilwall_standins.users.target import (
    BulkKind,
    BulkResponse,
    FakeTarget,
)

ATTEMPTS = 300
# What a router may grow by on a host with the memory that it assumes, of which
# a fifth is for the responses, each byte with the overhead of its storage.
MAX_GROWTH_KB = 64 << 10
TIMEOUT_MS = 4000
# Between the starts of two requests, so that the stand-ins, which share one
# process, keep up.
START_INTERVAL_S = 0.006
ROUTES = [
    make_route("read", "plain"),
    make_route("book", "plain", kind="non_idempotent", max_attempts=1),
    make_route(
        "chat",
        "model",
        kind="streaming",
        max_attempts=1,
        timeout_ms=TIMEOUT_MS,
    ),
]


def memory_kb(pid, field):
    """Returns a field of the status of a process, such as its peak."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith(f"{field}:"):
                return int(line.split()[1])
    raise LookupError(field)


async def call(router, path, request_id, **options):
    """Sends a request on a new connection and returns the response."""
    caller = await CallerConnection.open(router.address)
    try:
        await caller.send(path, request_id=request_id, **options)
        return await caller.receive()
    finally:
        caller.close()


async def stream(router, number):
    """Sends a request to an engine and returns the response."""
    await asyncio.sleep(START_INTERVAL_S * number)
    return await call(
        router,
        "/chat/x",
        f"s{number}",
        token_usage="100,30",
        timeout_remaining=str(TIMEOUT_MS),
    )


def start_streams(router, count):
    """Starts requests to the engines, one after another."""
    return [
        asyncio.ensure_future(stream(router, number)) for number in range(count)
    ]


class ManyResponsesTest(unittest.IsolatedAsyncioTestCase):
    async def grow(self, bulk):
        """Returns by how much a router grows while its engines misbehave.

        Meanwhile requests to another service are answered, or refused while
        the host is behind; none is cut off.
        """
        async with run_router(routes=ROUTES) as router:
            for model in router.models:
                model.bulk = bulk
            before_kb = memory_kb(router.pid, "VmRSS")
            streams = start_streams(router, ATTEMPTS)
            answered = refused = 0
            while not all(stream.done() for stream in streams):
                request_id = f"b{answered + refused}"
                response = await call(router, "/book/x", request_id)
                self.assertIn(response.status, (200, 503))
                self.assertTrue(response.is_complete)
                answered += response.status == 200
                refused += response.status == 503
                await asyncio.sleep(0.02)
            self.assertGreater(answered, refused)
            grown_kb = memory_kb(router.pid, "VmHWM") - before_kb
            for task in streams:
                response = await task
                self.assertIn(response.status, (502, 503, 504))
                executed = b"no" if response.status == 503 else b"unknown"
                self.assertIn(b'"executed":"%b"' % executed, response.body)
            executed = sum(len(model.executed) for model in router.models)
            # Engines whose responses are given up are ejected meanwhile.
            self.assertGreater(executed, ATTEMPTS // 10)
            return grown_kb

    async def check(self, kind, size):
        grown_kb = await self.grow(BulkResponse(kind, size))
        self.assertLess(grown_kb, MAX_GROWTH_KB)

    async def test_long_headers_of_many_responses_are_bounded(self):
        await self.check(BulkKind.HEAD, 65_000)

    async def test_short_headers_of_many_responses_are_bounded(self):
        await self.check(BulkKind.HEADERS, 65_000)

    async def test_unsigned_bodies_of_many_responses_are_bounded(self):
        await self.check(BulkKind.UNSIGNED, 1_000_000)

    async def test_signed_bodies_of_many_responses_are_bounded(self):
        await self.check(BulkKind.BODY, 1_000_000)

    async def test_unfinished_events_of_many_responses_are_bounded(self):
        await self.check(BulkKind.EVENT, 1_000_000)

    async def test_skipped_responses_are_not_kept(self):
        await self.check(BulkKind.SKIPPED, 1_000_000)

    async def test_unfinished_trailers_of_many_responses_are_bounded(self):
        await self.check(BulkKind.TRAILER, 900_000)


class SmallRouterTest(unittest.IsolatedAsyncioTestCase):
    """A router that keeps 4 MiB of all responses, and pauses at 2 MiB."""

    async def asyncSetUp(self):
        self.models = [FakeTarget(f"m{number}", "model") for number in range(2)]
        self.plain = FakeTarget("p0", "plain")
        for target in (*self.models, self.plain):
            target.slots = 64
        self.fleet = EdgeFleet(
            *self.models, self.plain, routes=ROUTES, memory_mb=20.0
        )
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.router = self.fleet.routers[0]
        self.kept = self.router.flow._parts.kept

    def start(self, path, count, prefix):
        return [
            asyncio.ensure_future(
                self.fleet.call(
                    path,
                    request_id=f"{prefix}{number}",
                    token_usage="100,30",
                    timeout_remaining=str(TIMEOUT_MS),
                )
            )
            for number in range(count)
        ]

    def count(self, name):
        return self.router.metrics.view().counters.get(name, 0)

    async def test_paused_answers_are_all_relayed(self):
        for model in self.models:
            model.bulk = BulkResponse(BulkKind.BODY, 240_000, 0.3)
        answers = await asyncio.gather(*self.start("/chat/x", 16, "s"))
        for response in answers:
            self.assertEqual(response.status, 200)
            self.assertEqual(len(response.body), 240_000)
        self.assertGreater(self.count("responses_paused"), 0)
        self.assertEqual(self.count("responses_given_up"), 0)
        self.assertEqual(self.kept.total_bytes, 0)

    async def test_sound_answers_outlive_those_of_a_faulty_service(self):
        for model in self.models:
            model.bulk = BulkResponse(BulkKind.BODY, 1_000_000)
        self.plain.bulk = BulkResponse(BulkKind.BODY, 300_000, 0.3)
        faulty = self.start("/chat/x", 24, "s")
        await asyncio.sleep(0.3)
        sound = self.start("/book/x", 3, "b")
        for response in await asyncio.gather(*sound):
            self.assertEqual(response.status, 200)
            self.assertEqual(len(response.body), 300_000)
        statuses = {
            response.status for response in await asyncio.gather(*faulty)
        }
        self.assertLessEqual(statuses, {502, 503, 504})
        self.assertGreater(self.count("responses_paused"), 0)
        self.assertEqual(self.kept.total_bytes, 0)

    async def test_a_failure_that_is_kept_during_a_retry_counts(self):
        other = FakeTarget("p1", "plain")
        await self.fleet.add_target(other)
        for target in (self.plain, other):
            target.large_status = 500
            target.bulk = BulkResponse(BulkKind.BODY, 200_000, 0.3)
        (answer,) = self.start("/read/x", 1, "r")
        most_bytes = 0
        while not answer.done():
            most_bytes = max(most_bytes, self.kept.total_bytes)
            await asyncio.sleep(0.01)
        response = await answer
        self.assertEqual((response.status, len(response.body)), (500, 200_000))
        self.assertGreater(most_bytes, 400_000)
        self.assertEqual(self.kept.total_bytes, 0)
