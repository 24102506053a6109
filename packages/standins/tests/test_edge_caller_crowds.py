"""Tests of many callers at once, each within the limits of the configuration.

They guard against a router that takes more memory than its host has, or that
runs out of descriptors, through requests of unusual shape. The router runs in
its own process. No test checks a time or how many requests are served.
"""

import asyncio
import contextlib
import itertools
import unittest

from chervilwall_standins.users.crowd import (
    LARGE_CHUNK_BYTES,
    MIB,
    Crowd,
    UsageMonitor,
    body_at_once,
    body_in_pieces,
    chunked_body,
    head_of_lines,
    lines_and_body,
    stop_short,
)
from chervilwall_standins.users.fleet import CallerConnection, make_route
from chervilwall_standins.users.flood import run_router
from chervilwall_standins.users.target import BulkKind, BulkResponse

LIMITS = {"max_header_bytes": 16_384, "max_body_bytes": 4 * MIB}
# Memory of the smallest host, which is the bound on the peak.
MEMORY_MB = 128
MAX_FDS = 400
CALLERS = 60
# One of so many requests is complete; the others stop just short of it.
COMPLETE_EVERY = 10
HEADER_LINES = 1980
# With the overhead of each line in memory, these take more than the host has.
CALLERS_WITH_LINES = 320
BODY_BYTES = 4 * MIB
SMALL_BODY_BYTES = 16 << 10
# Bytes that a router can read one by one in the time of a test.
BYTE_CHUNKS = 260_000
READERS = 200
RESPONSE_BYTES = 1_000_000
IDLE_CALLERS = 800
# The largest request that the other listeners have accepted so far.
PAGE_BODY_BYTES = MIB
PAGE_CALLERS = 140
# Longest time for which a crowd is waited for, and within which an ordinary
# request is answered. They only end a test of a router that hangs.
SETTLE_S = 12.0
ANSWER_S = 60.0
ROUTES = [
    make_route("read", "plain", timeout_ms=20_000),
    make_route("chat", "model", kind="streaming", timeout_ms=20_000),
]


async def ask(address):
    """Sends one ordinary request and returns the status, 0 for none."""
    caller = None
    try:
        async with asyncio.timeout(5.0):
            caller = await CallerConnection.open(address)
            await caller.send("/read/x", timeout_remaining="4000")
            return (await caller.receive()).status
    except (OSError, TimeoutError):
        return 0
    finally:
        if caller is not None:
            caller.close()


async def ask_until_answered(address):
    """Asks until an ordinary request is answered; raises TimeoutError."""
    async with asyncio.timeout(ANSWER_S):
        while await ask(address) != 200:
            await asyncio.sleep(0.1)


def mostly_short(make, count):
    """Returns requests, most of which stop just short of their end."""
    return [
        make(number)
        if number % COMPLETE_EVERY == 0
        else stop_short(make(number))
        for number in range(count)
    ]


class CrowdCase(unittest.IsolatedAsyncioTestCase):
    """Play a crowd against a router with little memory."""

    async def play(
        self, requests, *, listen="callers", reads=True, bulk=None, **overrides
    ):
        """Plays a crowd against a listener and checks what the router uses."""
        overrides = {"memory_mb": MEMORY_MB} | overrides
        async with contextlib.AsyncExitStack() as stack:
            router = await stack.enter_async_context(
                run_router(routes=ROUTES, limits=LIMITS, overrides=overrides)
            )
            monitor = await stack.enter_async_context(
                UsageMonitor(router.pid, router.address)
            )
            address = getattr(router.listen, listen)
            for target in router.plain:
                target.bulk = bulk
            async with Crowd(address, reads=reads) as crowd:
                crowd.start(requests)
                await crowd.settle(SETTLE_S)
                for target in router.plain:
                    target.bulk = None
                await ask_until_answered(router.address)
            await ask_until_answered(router.address)
            # Reading the usage of a process that has ended raises an error.
            usage = monitor.usage()
        self.assertLess(usage.memory_bytes, MEMORY_MB * MIB)
        max_fds = overrides.get("max_fds")
        if max_fds is not None:
            self.assertLessEqual(usage.descriptors, max_fds)


class CrowdTest(CrowdCase):
    """Guards against memory or descriptors that grow with the callers."""

    async def test_heads_of_many_short_lines(self):
        await self.play(
            mostly_short(
                lambda number: head_of_lines(number, HEADER_LINES),
                CALLERS_WITH_LINES,
            )
        )

    async def test_heads_of_many_short_lines_with_a_body(self):
        await self.play(
            mostly_short(
                lambda number: lines_and_body(
                    number, HEADER_LINES, SMALL_BODY_BYTES
                ),
                CALLERS_WITH_LINES,
            )
        )

    async def test_bodies_in_one_write(self):
        await self.play(
            mostly_short(
                lambda number: body_at_once(number, BODY_BYTES), CALLERS
            )
        )

    async def test_bodies_in_pieces(self):
        await self.play(
            mostly_short(
                lambda number: body_in_pieces(number, BODY_BYTES), CALLERS
            )
        )

    async def test_bodies_in_large_chunks(self):
        await self.play(
            mostly_short(
                lambda number: chunked_body(
                    number, BODY_BYTES, LARGE_CHUNK_BYTES
                ),
                CALLERS,
            )
        )

    async def test_bodies_in_chunks_of_one_byte(self):
        await self.play(
            mostly_short(
                lambda number: chunked_body(number, BYTE_CHUNKS, 1), CALLERS
            )
        )

    async def test_callers_of_every_shape(self):
        shapes = itertools.cycle(
            (
                lambda number: lines_and_body(number, HEADER_LINES, MIB),
                lambda number: body_at_once(number, BODY_BYTES),
                lambda number: body_in_pieces(number, BODY_BYTES),
                lambda number: chunked_body(
                    number, BODY_BYTES, LARGE_CHUNK_BYTES
                ),
                lambda number: chunked_body(number, BYTE_CHUNKS // 4, 1),
            )
        )
        await self.play(
            mostly_short(lambda number: next(shapes)(number), 2 * CALLERS),
            max_fds=MAX_FDS,
        )

    async def test_callers_that_read_no_response(self):
        await self.play(
            [body_at_once(number, 5) for number in range(READERS)],
            reads=False,
            bulk=BulkResponse(BulkKind.BODY, RESPONSE_BYTES),
        )

    async def test_idle_connections(self):
        # Half of them have had a response.
        requests = [
            body_at_once(number, 5) if number % 2 else ()
            for number in range(IDLE_CALLERS)
        ]
        await self.play(requests, max_fds=MAX_FDS)

    async def test_unfinished_requests_on_many_connections(self):
        await self.play(
            [
                stop_short(body_at_once(number, 5))
                for number in range(IDLE_CALLERS)
            ],
            max_fds=MAX_FDS,
        )


class OtherListenersTest(CrowdCase):
    """Guards against the same at the listeners for single small pages."""

    async def test_idle_connections(self):
        requests = [()] * IDLE_CALLERS
        await self.play(requests, listen="directory", max_fds=MAX_FDS)

    async def test_bodies(self):
        await self.play(
            [
                stop_short(body_in_pieces(number, PAGE_BODY_BYTES))
                for number in range(PAGE_CALLERS)
            ],
            listen="metrics",
            max_fds=MAX_FDS,
        )

    async def test_heads(self):
        lines = MIB // 20
        await self.play(
            [
                stop_short(head_of_lines(number, lines))
                for number in range(PAGE_CALLERS)
            ],
            listen="peers",
            max_fds=MAX_FDS,
        )


class SingleRequestTest(unittest.IsolatedAsyncioTestCase):
    """Guards against limits that refuse a valid request without any load."""

    async def check(self, make):
        """Checks that a request of a shape is answered, twice."""
        async with run_router(
            routes=ROUTES, limits=LIMITS, overrides={"memory_mb": MEMORY_MB}
        ) as router:
            caller = await CallerConnection.open(router.address)
            for number in range(2):
                async with asyncio.timeout(ANSWER_S):
                    for piece in make(number):
                        caller.writer.write(piece)
                        await caller.writer.drain()
                    response = await caller.receive()
                self.assertEqual(response.status, 200)
            caller.close()

    async def test_two_thousand_header_lines(self):
        await self.check(lambda number: head_of_lines(number, 2000))

    async def test_two_thousand_header_lines_with_a_large_body(self):
        await self.check(
            lambda number: lines_and_body(number, 2000, BODY_BYTES)
        )

    async def test_large_body_in_one_write(self):
        await self.check(lambda number: body_at_once(number, BODY_BYTES))

    async def test_large_body_in_pieces(self):
        await self.check(lambda number: body_in_pieces(number, BODY_BYTES))

    async def test_large_body_in_large_chunks(self):
        await self.check(
            lambda number: chunked_body(number, BODY_BYTES, LARGE_CHUNK_BYTES)
        )

    async def test_large_body_in_chunks_of_one_byte(self):
        await self.check(lambda number: chunked_body(number, BODY_BYTES, 1))
