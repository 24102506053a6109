"""Tests of responses whose status is none of a final response."""

import asyncio
import unittest
from unittest import mock

from chervilwall.http_messages import InboundRequest
from chervilwall_router.edge.exchange import Exchange
from headers import HeaderFormat

NAMES = b"Attempt-Id: r1\r\nResponse-Signature: s\r\n"
ANSWER = b"HTTP/1.1 200 OK\r\n" + NAMES + b"Content-Length: 5\r\n\r\nwhole"
LENGTH = b"Content-Length: 5\r\n\r\nwrong"
CHUNKS = b"Transfer-Encoding: chunked\r\n\r\n5\r\nwrong\r\n0\r\n\r\n"
READ_SIZES = (1, 7, 1000)


class OddStatusTest(unittest.IsolatedAsyncioTestCase):
    async def receive(self, data, size=1000):
        """Receives bytes; returns the exchange once it has ended."""
        conn = mock.MagicMock(has_carried_request=True, request_ids=["r0"])
        conn.closed.return_value = False
        conn.has_unsent_data.return_value = False
        self.receiver = mock.MagicMock(kept_bytes=0)
        self.receiver.receive_data.return_value = None
        exchange = Exchange(
            conn, HeaderFormat(), self.receiver, lambda head: None
        )
        req = InboundRequest("r1", "POST", "h", "/x", (), b"", 0.0)
        done = exchange.start(req, ())
        for at in range(0, len(data), size):
            if not done.done():
                exchange.receive(data[at : at + size])
        async with asyncio.timeout(1.0):
            await done
        return exchange

    def body(self):
        calls = self.receiver.receive_data.mock_calls
        return b"".join(call.args[0] for call in calls)

    async def test_no_answer_follows_the_body_of_an_informational_one(self):
        for status in (0, 1, 42, 99, 100, 103, 199):
            for rest in (LENGTH, CHUNKS):
                head = b"HTTP/1.1 %03d X\r\n" % status + NAMES
                for size in READ_SIZES:
                    with self.subTest(status=status, size=size):
                        exchange = await self.receive(
                            head + rest + ANSWER, size
                        )
                        self.assertFalse(exchange.is_complete)
                        self.assertNotIn(b"wrong", self.body())

    async def test_a_status_that_http_does_not_know_is_no_answer(self):
        for status in (0, 1, 42, 99, 600, 999):
            for rest in (LENGTH, CHUNKS, b"Content-Length: 0\r\n\r\n"):
                head = b"HTTP/1.1 %03d X\r\n" % status + NAMES
                with self.subTest(status=status, rest=rest):
                    # Ends without waiting for more bytes.
                    exchange = await self.receive(head + rest)
                    self.assertFalse(exchange.is_complete)
                    self.assertIn(f"{status:03}", exchange.reason)

    async def test_an_informational_body_that_does_not_come_is_not_awaited(
        self,
    ):
        head = b"HTTP/1.1 103 X\r\n" + NAMES + b"Content-Length: 5\r\n\r\n"
        exchange = await self.receive(head)
        self.assertFalse(exchange.is_complete)

    async def test_an_answer_follows_informational_responses(self):
        hints = b"HTTP/1.1 103 Hints\r\nLink: </a>\r\n\r\n"
        # Has no body, as it says.
        empty = b"HTTP/1.1 100 Continue\r\nContent-Length: 0\r\n\r\n"
        for size in READ_SIZES:
            exchange = await self.receive(hints + empty + ANSWER, size)
            self.assertTrue(exchange.is_complete and exchange.reusable)
            self.assertEqual(self.body(), b"whole")

    async def test_the_largest_status_of_http_is_passed_on(self):
        exchange = await self.receive(ANSWER.replace(b"200", b"599"))
        self.assertTrue(exchange.is_complete)
        self.assertEqual(exchange.head.status, 599)


if __name__ == "__main__":
    unittest.main()
