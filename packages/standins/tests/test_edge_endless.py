"""Tests of targets that send endless responses.

A router has to close the connection after a bounded number of bytes, whichever
part of the response is endless, and must not run out of memory.
"""

import asyncio
import resource
import unittest

from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import HOST, KEY, EdgeFleet
from chervilwall_standins.users.target import FakeTarget

# Bound of the bytes that a router reads of one response before it closes the
# connection, including those in the socket buffers of both ends.
MAX_BYTES = 16 << 20
MAX_GROWTH_KB = 48 << 10
PLAIN_MODES = (
    t.ENDLESS_HEAD,
    t.ENDLESS_HEADERS,
    t.ENDLESS_INFORMATIONAL,
    t.ENDLESS_UNSIGNED,
    t.ENDLESS_CHUNK_LINE,
    t.ENDLESS_CHUNK_EXTENSION,
    t.ENDLESS_TRAILER,
    t.ENDLESS_TRAILERS,
)
STREAM_MODES = (*PLAIN_MODES, t.ENDLESS_EVENT)


class EndlessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.plain = FakeTarget("p0", "plain")
        self.model = FakeTarget("m0", "model", events=6)
        self.fleet = EdgeFleet(self.plain, self.model)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def call_endless(self, target, mode, path, **options):
        target.mode = mode
        target.endless_bytes_sent = 0
        target.executed.clear()
        before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        response = await self.fleet.call(path, **options)
        target.mode = t.NORMAL
        after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
        self.assertLess(target.endless_bytes_sent, MAX_BYTES)
        self.assertLess(after - before, MAX_GROWTH_KB)
        self.assertEqual(len(target.executed), 1)
        return response

    async def test_a_plain_answer_is_told_as_unknown(self):
        for mode in PLAIN_MODES:
            with self.subTest(mode=mode):
                response = await self.call_endless(self.plain, mode, "/book/x")
                self.assertEqual(response.status, 502)
                await self.wait_until_served("/book/x")

    async def test_a_stream_is_told_as_unknown(self):
        for mode in STREAM_MODES:
            with self.subTest(mode=mode):
                response = await self.call_endless(
                    self.model, mode, "/chat/x", token_usage="100,30"
                )
                self.assertEqual(response.status, 502)
                await self.wait_until_served("/chat/x")

    async def test_bytes_after_an_answer_reach_nobody(self):
        response = await self.call_endless(
            self.plain, t.ENDLESS_TRAILING_BYTES, "/book/x"
        )
        self.assertEqual((response.status, response.body), (200, b"done"))
        response = await self.fleet.call("/book/x", request_id="next")
        self.assertEqual(response.body, b"p0:next")

    async def test_endless_comments_delay_no_other_request(self):
        self.model.mode = t.ENDLESS_COMMENTS
        streams = [
            asyncio.ensure_future(
                self.fleet.call(
                    "/chat/x", token_usage="100,30", request_id=f"s{number}"
                )
            )
            for number in range(4)
        ]
        loop = asyncio.get_running_loop()
        longest_s = 0.0
        while not all(stream.done() for stream in streams):
            started_at = loop.time()
            response = await self.fleet.call("/book/x")
            self.assertEqual(response.status, 200)
            longest_s = max(longest_s, loop.time() - started_at)
        self.assertLess(longest_s, 0.5)
        for stream in streams:
            response = await stream
            self.assertFalse(response.is_complete and response.status == 200)
        self.assertLess(self.model.endless_bytes_sent, MAX_BYTES)

    async def test_a_caller_with_an_endless_trailer_is_refused(self):
        head = (
            f"POST /book/x HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: r1\r\n"
            f"Authorization: Token {KEY}\r\nTransfer-Encoding: chunked\r\n\r\n"
        ).encode()
        for start in (b"0\r\nX-Long: ", b"4;x="):
            with self.subTest(start=start):
                before = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                sent, received = await self.send_endless(head + start)
                after = resource.getrusage(resource.RUSAGE_SELF).ru_maxrss
                self.assertLess(sent, MAX_BYTES)
                self.assertLess(after - before, MAX_GROWTH_KB)
                self.assertTrue(received.startswith(b"HTTP/1.1 431 "))
                self.assertEqual(self.plain.executed, [])

    async def send_endless(self, prefix):
        """Sends blocks to the router until it answers.

        Returns:
            The number of bytes that were sent, and the beginning of the answer.
        """
        caller = await self.fleet.connect()
        self.addCleanup(caller.close)
        answer = asyncio.ensure_future(caller.reader.read(t.BLOCK_BYTES))
        caller.writer.write(prefix)
        sent = 0
        while sent < MAX_BYTES and not answer.done():
            caller.writer.write(b"x" * t.BLOCK_BYTES)
            await caller.writer.drain()
            sent += t.BLOCK_BYTES
            await asyncio.sleep(0)
        if not answer.done():
            caller.close()
        return sent, await answer

    async def test_neighbours_are_answered_meanwhile(self):
        self.model.mode = t.ENDLESS_EVENT
        stream = asyncio.ensure_future(
            self.fleet.call("/chat/x", token_usage="100,30")
        )
        for number in range(10):
            response = await self.fleet.call("/book/x", request_id=f"b{number}")
            self.assertEqual(response.status, 200)
        await stream

    async def wait_until_served(self, path):
        """Waits until the router sends requests to the target again."""
        async with asyncio.timeout(10.0):
            number = 0
            while True:
                number += 1
                response = await self.fleet.call(
                    path, request_id=f"ok{number}", token_usage="100,30"
                )
                if response.status == 200:
                    return
                await asyncio.sleep(0.05)
