"""Tests of connections that bounds on memory and descriptors end."""

import asyncio
import contextlib
import socket
import time
import unittest

from chervilwall.caller_memory import CallerMemory
from chervilwall.descriptor_budget import DescriptorBudget
from chervilwall.http_messages import pack_headers, unpack_headers
from chervilwall.routing import CallerLimits
from chervilwall_router.edge.caller_bounds import CallerBounds
from chervilwall_router.edge.ingress import Ingress
from chervilwall_router.edge.page_server import (
    MAX_BODY_BYTES,
    MAX_HEADERS,
    ConnectionLimit,
    PageServer,
    Reply,
)
from chervilwall_router.edge.partial_request import PartialRequest
from chervilwall_router.metrics import RouterMetrics
from headers import HeaderFormat

KIB = 1024
LIMIT_BYTES = 1024 * KIB
RECEIVE_BUFFER_BYTES = 32 * KIB
TIMEOUT_S = 5.0


class _Handler:
    """Answer requests once `release` is set, which it is at first."""

    def __init__(self):
        self.received = []
        self.release = asyncio.Event()
        self.release.set()

    def limits(self):
        return CallerLimits()

    def may_cancel(self, req):
        return True

    async def handle(self, req, answer):
        self.received.append(req)
        await self.release.wait()
        answer.send(200, (), req.id.encode())


def head(request_id, size, *lines):
    """Returns the head of a request with a body of `size` bytes."""
    fields = ("Host: h", f"Attempt-Id: {request_id}", f"Content-Length: {size}")
    text = "\r\n".join(("POST /x HTTP/1.1", *fields, *lines, "", ""))
    return text.encode()


class BoundsCase(unittest.IsolatedAsyncioTestCase):
    """Serve callers within 1 MiB and few descriptors."""

    descriptors = 2000

    async def asyncSetUp(self):
        self.handler = _Handler()
        self.metrics = RouterMetrics()
        self.budget = DescriptorBudget(self.descriptors)
        self.bounds = CallerBounds(
            CallerMemory(LIMIT_BYTES, RECEIVE_BUFFER_BYTES),
            self.budget,
            self.metrics,
            time.monotonic,
        )
        self.ingress = Ingress(
            self.handler,
            HeaderFormat(),
            time.monotonic,
            self.metrics,
            self.bounds,
            RECEIVE_BUFFER_BYTES,
        )
        self.ingress.listen("127.0.0.1", 0, backlog=128)
        self.writers = []

    async def asyncTearDown(self):
        for writer in self.writers:
            writer.close()
        self.handler.release.set()
        await asyncio.sleep(0.01)
        self.ingress.stop()

    async def open(self, data=b"", source="127.0.0.1"):
        reader, writer = await asyncio.open_connection(
            *self.ingress.address, local_addr=(source, 0)
        )
        self.writers.append(writer)
        writer.write(data)
        # What is kept from being sent is paused.
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(0.05):
                await writer.drain()
        return reader, writer

    async def read(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.read()

    async def receive_head(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.readuntil(b"\r\n\r\n")

    async def wait_until(self, condition):
        async with asyncio.timeout(TIMEOUT_S):
            while not condition():
                await asyncio.sleep(0.01)

    def count(self, name):
        return self.metrics.view().counters.get(name, 0)


class MemoryTest(BoundsCase):
    async def test_a_request_that_is_refused_never_runs(self):
        size = 400 * KIB
        callers = [
            await self.open(head(f"r{i}", size) + bytes(size - 1))
            for i in range(4)
        ]
        await self.wait_until(lambda: self.count("callers_refused_memory"))
        refused = 0
        for reader, writer in callers:
            # The last byte does not complete a request that was refused.
            with contextlib.suppress(ConnectionError):
                writer.write(b"x")
            reply = await self.receive_head(reader)
            refused += reply.startswith(b"HTTP/1.1 503")
            self.assertEqual(b"Retry-After" in reply, b" 503 " in reply)
            self.assertEqual(b"Connection: close" in reply, b" 503 " in reply)
        self.assertEqual(len(self.handler.received) + refused, 4)
        self.assertGreater(refused, 0)
        self.assertGreater(len(self.handler.received), 0)

    async def test_a_request_that_runs_is_not_given_up(self):
        self.handler.release.clear()
        size = 600 * KIB
        running, _ = await self.open(head("r1", size) + bytes(size))
        await self.wait_until(lambda: self.handler.received)
        late = [
            await self.open(head(f"l{i}", size) + bytes(size - 1))
            for i in range(3)
        ]
        await self.wait_until(
            lambda: (
                self.count("callers_refused_memory")
                or self.count("callers_paused")
            )
        )
        small, _ = await self.open(head("small", 4) + b"body")
        await self.wait_until(lambda: len(self.handler.received) == 2)
        self.handler.release.set()
        for reader in (running, small):
            self.assertIn(b" 200 ", await self.receive_head(reader))
        self.assertEqual(len(late), 3)

    async def test_what_ended_counts_no_more(self):
        size = 300 * KIB
        for number in range(3):
            reader, writer = await self.open(
                head(f"r{number}", size) + bytes(size)
            )
            await self.receive_head(reader)
            writer.close()
        _, writer = await self.open(head("r4", size) + bytes(1000))
        writer.close()
        await self.wait_until(lambda: self.bounds.total_bytes == 0)

    async def test_many_pipelined_requests_are_all_answered(self):
        count = 1000
        data = b"".join(head(f"r{i}", 0) for i in range(count))
        reader, _ = await self.open(data)
        replies = b""
        async with asyncio.timeout(TIMEOUT_S):
            while replies.count(b"HTTP/1.1 200") < count:
                replies += await reader.read(1 << 16)
        self.assertEqual(
            [req.id for req in self.handler.received],
            [f"r{i}" for i in range(count)],
        )

    async def test_pipelined_requests_that_are_large_in_memory_are_few(self):
        self.handler.release.clear()
        data = b"".join(head(f"r{i}", 0) for i in range(2000))
        await self.open(data)
        await self.wait_until(lambda: self.handler.received)
        # 8 KiB hold about 140 of them, of 4 KiB each in memory.
        self.assertLess(self.bounds.total_bytes, 140 * 4096 + 300 * KIB)


class DescriptorTest(BoundsCase):
    descriptors = 80

    async def test_the_connection_idle_longest_is_closed_first(self):
        limit = self.budget.limit
        first, _ = await self.open(head("r1", 0))
        await self.receive_head(first)
        await asyncio.sleep(0.02)
        second, _ = await self.open(head("r2", 0))
        await self.receive_head(second)
        for _ in range(int(limit * 0.9) - 1):
            await self.open()
        # It ends without an error, behind the response that was sent.
        self.assertEqual(await self.read(first), b"r1")
        await self.open(head("r3", 0))
        await self.wait_until(lambda: len(self.handler.received) == 3)
        self.assertGreater(self.count("caller_closed_descriptors"), 0)

    async def test_a_request_with_little_progress_gives_way(self):
        limit = self.budget.limit
        slow = [await self.open(head(f"s{i}", 9) + b"x") for i in range(limit)]
        reader, _ = await self.open(head("new", 0))
        self.assertIn(b" 200 ", await self.receive_head(reader))
        self.assertGreater(self.count("callers_closed_slow"), 0)
        self.assertEqual(len(slow), limit)
        self.assertEqual([r.id for r in self.handler.received], ["new"])

    async def test_a_caller_is_told_if_no_connection_can_be_closed(self):
        self.handler.release.clear()
        self.budget.register(self.budget.limit - 2)
        await self.open(head("r1", 0))
        await self.wait_until(lambda: self.handler.received)
        reader, _ = await self.open()
        reply = await self.read(reader)
        self.assertTrue(reply.startswith(b"HTTP/1.1 503"))
        self.assertIn(b"Retry-After", reply)
        self.assertEqual(self.count("callers_closed_unserved"), 1)


class HeadTest(unittest.TestCase):
    def make(self, count):
        request = PartialRequest(CallerLimits(), 0.0)
        request.method, request.url = "POST", b"/x"
        request.add_header(b"Host", b"h")
        request.add_header(b"Attempt-Id", b"r1")
        for number in range(count):
            name = b"x%d" % number
            request.add_header(name, b"a:b; %d" % number)
        return request

    def test_many_headers_are_forwarded_in_order(self):
        for count in (0, 10, 46, 47, 48, 49, 500):
            with self.subTest(count=count):
                request = self.make(count)
                request.read_head(HeaderFormat(), 0.0)
                req = request.build()
                expected = [("Host", "h"), ("Attempt-Id", "r1")]
                expected += [(f"x{i}", f"a:b; {i}") for i in range(count)]
                self.assertEqual(req.forwarded_headers, tuple(expected))

    def test_many_headers_take_little_memory(self):
        request = self.make(500)
        request.read_head(HeaderFormat(), 0.0)
        self.assertLess(request.held_bytes, 16 << 10)

    def test_packed_headers_are_unpacked_unchanged(self):
        headers = (("a", ""), ("b", "c:d"), ("e", " \xe4 "), ("a", "2"))
        self.assertEqual(unpack_headers(pack_headers(headers)), headers)
        self.assertEqual(unpack_headers(pack_headers(())), ())


class PageServerTest(unittest.IsolatedAsyncioTestCase):
    """Guards against pages that keep what strangers send without end."""

    async def asyncSetUp(self):
        self.opened = self.closed_early = 0
        with socket.socket() as sock:
            sock.bind(("127.0.0.1", 0))
            self.port = sock.getsockname()[1]
        limit = ConnectionLimit(4, self.change, self.close_early)
        server = PageServer({"/p": lambda request: Reply(200, b"page")}, limit)
        server.listen(f"127.0.0.1:{self.port}")
        self.addCleanup(server.stop)

    def change(self, change):
        self.opened += change

    def close_early(self):
        self.closed_early += 1

    async def ask(self, data):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        self.addCleanup(writer.close)
        writer.write(data)
        return reader

    async def line(self, reader):
        async with asyncio.timeout(TIMEOUT_S):
            return await reader.readline()

    async def test_connections_are_bounded_and_the_newest_is_served(self):
        readers = [await self.ask(b"GET /p HT") for _ in range(6)]
        reader = await self.ask(b"GET /p HTTP/1.1\r\nHost: h\r\n\r\n")
        self.assertIn(b" 200 ", await self.line(reader))
        self.assertEqual(self.opened, 4)
        self.assertEqual(self.closed_early, 3)
        self.assertEqual(await self.line(readers[0]), b"")

    async def test_many_header_lines_are_refused(self):
        lines = b"a: b\r\n" * (MAX_HEADERS + 1)
        reader = await self.ask(b"GET /p HTTP/1.1\r\n" + lines + b"\r\n")
        self.assertIn(b" 400 ", await self.line(reader))

    async def test_a_large_body_is_refused(self):
        length = b"Content-Length: %d\r\n\r\n" % (MAX_BODY_BYTES + 1)
        reader = await self.ask(b"POST /p HTTP/1.1\r\n" + length)
        self.assertIn(b" 400 ", await self.line(reader))
