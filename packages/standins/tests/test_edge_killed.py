"""Tests of what callers get from a router whose process is killed.

The kernel closes the connections of a killed process without an error, which is
how a body without length or chunks ends.
"""

import asyncio
import os
import signal
import unittest

from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import HOST, KEY, CallerConnection
from chervilwall_standins.users.flood import run_router
from chervilwall_standins.users.target import UnframedEnd

EVENTS = 40
# Two thirds of the events of each stream were made when the router is killed.
KILL_AFTER_S = 0.8


class KilledRouterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.router = await self.enterAsyncContext(run_router())
        for model in self.router.models:
            model.events, model.event_interval_s = EVENTS, 0.03

    async def connect(self):
        caller = await CallerConnection.open(self.router.address)
        self.addCleanup(caller.close)
        return caller

    def kill(self):
        os.kill(self.router.pid, signal.SIGKILL)

    async def call_and_kill(self):
        caller = await self.connect()
        await caller.send("/chat/x", token_usage="100,30")
        answer = asyncio.ensure_future(caller.receive())
        await asyncio.sleep(KILL_AFTER_S)
        self.kill()
        return await answer

    async def test_a_stream_without_length_is_not_complete(self):
        for model in self.router.models:
            model.unframed = UnframedEnd(is_whole=True)
        response = await self.call_and_kill()
        self.assertEqual((response.status, response.is_framed), (200, False))
        self.assertFalse(response.is_complete)

    async def test_a_stream_in_chunks_is_not_complete(self):
        response = await self.call_and_kill()
        self.assertTrue(response.is_framed)
        self.assertFalse(response.is_complete)

    async def test_a_stream_for_an_http_1_0_caller_is_not_complete(self):
        caller = await self.connect()
        caller.writer.write(
            f"POST /chat/x HTTP/1.0\r\nHost: {HOST}\r\nAttempt-Id: r1\r\n"
            f"Authorization: Token {KEY}\r\nTimeout-Remaining: 5000\r\n"
            "Content-Length: 0\r\n\r\n".encode()
        )
        await caller.reader.readuntil(b"id: 2\n")
        self.kill()
        with self.assertRaises(ConnectionResetError):
            await caller.reader.read()

    async def test_a_large_body_that_a_slow_caller_reads_is_not_complete(self):
        for model in self.router.models:
            model.events, model.mode = 0, t.LARGE_UNFRAMED
        caller = await self.connect()
        await caller.send("/chat/x", token_usage="100,30")
        await caller.reader.readuntil(b"\r\n\r\n")
        await asyncio.sleep(KILL_AFTER_S)
        self.kill()
        with self.assertRaises(ConnectionResetError):
            while await caller.reader.read(1 << 20):
                pass

    async def test_an_answer_that_was_sent_before_is_complete(self):
        for model in self.router.models:
            model.unframed = UnframedEnd(is_whole=True)
            model.events = 3
        caller = await self.connect()
        await caller.send("/chat/x", token_usage="100,30")
        await asyncio.sleep(KILL_AFTER_S)
        self.kill()
        response = await caller.receive()
        self.assertEqual(response.body.count(b"id: "), 3)
        self.assertTrue(response.is_complete)
