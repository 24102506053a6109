"""Tests of answers without framing that end before their request was taken.

The targets use sockets of their own: what a kernel does with bytes that were
not read decides what a router can see.
"""

import asyncio
import contextlib
import socket
import unittest
from unittest import mock

from chervilwall.http_messages import InboundRequest
from chervilwall_router.edge.exchange import END_SETTLE_S, Exchange
from chervilwall_router.edge.target_connection import dial_target
from headers import HeaderFormat

NAMES = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Signature: s\r\n"
UNFRAMED = NAMES + b"\r\npart of the answer"
WITH_LENGTH = NAMES + b"Content-Length: 18\r\n\r\npart of the answer"
LONG_BYTES = 200_000
# Sizes at which the kernels take the whole request, or a part of it.
LONG_SIZES = (20_000, 100_000, LONG_BYTES, 1 << 21)


class EarlyAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.listener = socket.create_server(("127.0.0.1", 0))
        self.listener.setblocking(False)
        self.addCleanup(self.listener.close)

    async def accept(self, *, reads_all):
        """Accepts a connection; reads the head of its request, or all of it."""
        loop = asyncio.get_running_loop()
        conn, _ = await loop.sock_accept(self.listener)
        self.addCleanup(conn.close)
        data = await loop.sock_recv(conn, 64)
        while reads_all and not data.endswith(b"end"):
            data = data[-3:] + await loop.sock_recv(conn, 1 << 16)
        return conn

    async def exchange(self, serve, body_bytes, *, early=True):
        """Sends a request; returns the exchange once it has ended."""
        host, port = self.listener.getsockname()
        serving = asyncio.ensure_future(self._serve(serve, early))
        conn = await dial_target(f"{host}:{port}", 1.0)
        receiver = mock.MagicMock(kept_bytes=0)
        receiver.receive_data.return_value = None
        exchange = Exchange(conn, HeaderFormat(), receiver, lambda head: None)
        body = b"x" * (body_bytes - 3) + b"end"
        req = InboundRequest("r1", "POST", "h", "/x", (), body, 0.0)
        async with asyncio.timeout(10.0):
            await exchange.start(req, ())
        exchange.close()
        serving.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await serving
        return exchange

    async def _serve(self, serve, early):
        await serve(await self.accept(reads_all=not early))

    async def test_a_reset_after_the_end_of_an_early_answer_is_seen(self):
        for body_bytes in LONG_SIZES:
            for unread_s in (0.0, 0.03, 0.5):

                async def serve(conn, unread_s=unread_s):
                    conn.send(UNFRAMED)
                    conn.shutdown(socket.SHUT_WR)
                    await asyncio.sleep(unread_s)
                    conn.close()

                with self.subTest(body_bytes=body_bytes, unread_s=unread_s):
                    exchange = await self.exchange(serve, body_bytes)
                    self.assertFalse(exchange.is_complete)

    async def test_an_end_before_the_request_has_left_is_no_end(self):
        async def serve(conn):
            conn.send(UNFRAMED)
            conn.shutdown(socket.SHUT_WR)
            await asyncio.sleep(5.0)

        exchange = await self.exchange(serve, 1 << 23)
        self.assertFalse(exchange.is_complete)

    async def test_a_whole_answer_to_a_long_request_is_passed_on(self):
        async def serve(conn):
            conn.send(UNFRAMED)
            conn.close()

        for body_bytes in LONG_SIZES:
            with self.subTest(body_bytes=body_bytes):
                exchange = await self.exchange(serve, body_bytes, early=False)
                self.assertTrue(exchange.is_complete)

    async def test_a_target_may_answer_early_and_read_on(self):
        async def serve(conn):
            loop = asyncio.get_running_loop()
            conn.send(UNFRAMED)
            conn.shutdown(socket.SHUT_WR)
            data = b""
            while not data.endswith(b"end"):
                data = data[-3:] + await loop.sock_recv(conn, 1 << 16)
            conn.close()

        for body_bytes in LONG_SIZES:
            with self.subTest(body_bytes=body_bytes):
                exchange = await self.exchange(serve, body_bytes)
                self.assertTrue(exchange.is_complete)

    async def test_an_early_answer_with_a_length_is_passed_on_at_once(self):
        async def serve(conn):
            conn.send(WITH_LENGTH)
            await asyncio.sleep(5.0)

        loop = asyncio.get_running_loop()
        began_at = loop.time()
        exchange = await self.exchange(serve, LONG_BYTES)
        self.assertTrue(exchange.is_complete)
        self.assertLess(loop.time() - began_at, END_SETTLE_S)

    async def test_an_answer_to_a_short_request_ends_with_its_connection(self):
        async def serve(conn):
            conn.send(UNFRAMED)
            conn.close()

        loop = asyncio.get_running_loop()
        began_at = loop.time()
        exchange = await self.exchange(serve, 800, early=False)
        self.assertTrue(exchange.is_complete)
        self.assertLess(loop.time() - began_at, END_SETTLE_S)


if __name__ == "__main__":
    unittest.main()
