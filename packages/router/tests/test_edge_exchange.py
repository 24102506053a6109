"""Tests of a request and its response on a connection to a target."""

import asyncio
import unittest
from unittest import mock

from chervilwall.http_messages import InboundRequest
from chervilwall_router.edge.exchange import MAX_UNMATCHED_BYTES, Exchange
from headers import HeaderFormat

ANSWER = (
    b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nResponse-Signature: s\r\n"
    b"Content-Length: 4\r\n\r\nbody"
)


REFUSAL = b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\nContent-Length: 3\r\n\r\nold"
SUCCESS = (
    b"HTTP/1.1 200 OK\r\nResponse-Signature: s\r\nContent-Length: 3\r\n\r\nold"
)


def make_connection(*, has_carried_request):
    conn = mock.MagicMock()
    conn.closed.return_value = False
    conn.has_unsent_data.return_value = False
    conn.has_carried_request = has_carried_request
    conn.request_ids = ["r0"] if has_carried_request else []
    return conn


class ExchangeTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.conn = make_connection(has_carried_request=False)
        self.receiver = mock.MagicMock()
        self.receiver.receive_data.return_value = None
        self.exchange = Exchange(
            self.conn, HeaderFormat(), self.receiver, lambda head: None
        )
        req = InboundRequest("r1", "POST", "h", "/x", (), b"", 0.0)
        self.done = self.exchange.start(req, ())

    async def test_an_answer_in_single_bytes_is_whole(self):
        for at in range(len(ANSWER)):
            self.exchange.receive(ANSWER[at : at + 1])
        await self.done
        self.assertTrue(self.exchange.is_complete and self.exchange.reusable)
        calls = self.receiver.receive_data.mock_calls
        self.assertEqual(b"".join(c.args[0] for c in calls), b"body")

    async def test_a_connection_is_not_kept_paused_for_a_slow_caller(self):
        drained = asyncio.get_running_loop().create_future()
        self.receiver.receive_data.return_value = drained
        self.exchange.receive(ANSWER)
        await self.done
        self.conn.pause.assert_called_once()
        self.exchange.close()
        self.conn.resume.assert_called_once()
        drained.set_result(None)
        await asyncio.sleep(0)
        self.conn.resume.assert_called_once()

    async def test_a_copy_in_a_body_without_framing_ends_it(self):
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n\r\n"
        for size in (1, 7, 1000):
            await self.asyncSetUp()
            data = head + b"body" + head + b"body"
            for at in range(0, len(data), size):
                if not self.done.done():
                    self.exchange.receive(data[at : at + size])
            await self.done
            self.exchange.on_connection_lost("closed", clean=True)
            self.assertFalse(self.exchange.is_complete)

    async def test_a_body_without_framing_may_quote_a_response(self):
        quoted = b"HTTP/1.1 200 OK\r\nAttempt-Id: r2\r\n\r\n"
        self.exchange.receive(quoted.replace(b"r2", b"r1") + quoted)
        self.exchange.on_connection_lost("closed", clean=True)
        await self.done
        self.assertTrue(self.exchange.is_complete)

    async def receive_unframed(self, body, *, size=1000):
        """Receives a body without framing; returns whether it is complete."""
        await self.asyncSetUp()
        data = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n\r\n" + body
        for at in range(0, len(data), size):
            if not self.done.done():
                self.exchange.receive(data[at : at + size])
        self.exchange.on_connection_lost("closed", clean=True)
        await self.done
        return self.exchange.is_complete

    async def test_a_copy_that_is_cut_in_its_head_does_not_end_a_body(self):
        with_id = b"Attempt-Id: r1\r\nResponse-Signature: s\r\n\r\n"
        without_id = b"X-Any: 1\r\nResponse-Signature: s\r\n\r\n"
        for headers in (with_id, without_id):
            head = b"HTTP/1.1 200 OK\r\n" + headers
            # Fewer bytes may be the end of any text.
            for length in range(len(b"HTTP/"), len(head) + 1):
                for size in (1, 1000):
                    body = b"body" + head[:length]
                    with self.subTest(body=body, size=size):
                        self.assertFalse(
                            await self.receive_unframed(body, size=size)
                        )

    async def receive_with_length(self, length, body, *, size=1000):
        """Receives a body with a length; returns whether it is complete."""
        await self.asyncSetUp()
        head = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nContent-Length: %d\r\n"
        data = head % length + b"\r\n" + body
        for at in range(0, len(data), size):
            if not self.done.done():
                self.exchange.receive(data[at : at + size])
        async with asyncio.timeout(1.0):
            await self.done
        return self.exchange.is_complete

    async def test_a_second_answer_does_not_fill_up_a_short_body(self):
        copy = b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nContent-Length: 4\r\n\r\n"
        copy += b"body"
        for length in range(len(b"bbbHTTP/"), len(copy) + 3):
            for size in (1, 7, 1000):
                with self.subTest(length=length, size=size):
                    self.assertFalse(
                        await self.receive_with_length(
                            length, b"bbb" + copy, size=size
                        )
                    )

    async def test_a_body_with_a_length_may_end_like_a_head(self):
        for body in (b"}HTTP/1.1", b"}HTTP/1.1 200 OK\r\nX: 1", b"HTTP/1.1 2"):
            for size in (1, 1000):
                with self.subTest(body=body, size=size):
                    self.assertTrue(
                        await self.receive_with_length(
                            len(body), body, size=size
                        )
                    )
                    self.assertFalse(self.exchange.reusable)

    async def test_a_refusal_without_id_behind_a_body_does_not_end_it(self):
        self.assertFalse(await self.receive_unframed(b"body" + REFUSAL))

    async def test_a_body_without_framing_may_hold_parts_of_heads(self):
        for body in (
            b"H",
            b"curl -> HTTP/1.1 200 OK\nno header\n",
            b"HTTP/1.1 200 OK\r\nX-Any: 1\r\n\r\n",
            b"HTTP/1.1 20x",
            b"HTTP/1.1 200 OK\r\nX-Any: 1\r\n\r\nbody\r\n",
            b"HTTP/1.1 200 " + b"x" * 100,
            b"HTTP/1.1 200 OK\r\nX: " + b"x" * 70_000,
            b"this page is served over HTTP/1.1",
            b"$ curl -I /x\nHTTP/1.1 200 OK\n",
            b"$ curl -I /x\nHTTP/1.1 200 OK\nServer: nginx",
            b"expected HTTP/1.1 200 OK\ngot: nothing",
            b"<li>HTTP/1.1 421 Misdirected Request\n\n</li>",
        ):
            for size in (1, 1000):
                with self.subTest(body=body[:80], size=size):
                    self.assertTrue(
                        await self.receive_unframed(body, size=size)
                    )

    async def test_bytes_after_an_answer_end_the_connection(self):
        self.exchange.receive(ANSWER)
        self.exchange.receive(b"x")
        self.conn.close.assert_called()
        self.assertTrue(self.exchange.is_complete)
        self.assertFalse(self.exchange.reusable)

    async def test_an_answer_that_breaks_off_is_not_whole(self):
        self.exchange.receive(ANSWER[:-1])
        self.exchange.on_connection_lost("connection closed", clean=True)
        await self.done
        self.assertFalse(self.exchange.is_complete)

    async def test_a_coded_and_chunked_answer_that_breaks_off_is_not_whole(
        self,
    ):
        self.exchange.receive(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\n"
            b"Transfer-Encoding: gzip, chunked\r\n\r\n4\r\nbo"
        )
        self.exchange.on_connection_lost("connection closed", clean=True)
        await self.done
        self.assertFalse(self.exchange.is_complete)

    async def test_chunks_announced_by_a_second_header_count(self):
        self.exchange.receive(
            b"HTTP/1.1 200 OK\r\nAttempt-Id: r1\r\nTransfer-Encoding: gzip\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n4\r\nbo"
        )
        self.exchange.on_connection_lost("connection closed", clean=True)
        await self.done
        self.assertFalse(self.exchange.is_complete)


class ResponseWithoutIdTest(unittest.IsolatedAsyncioTestCase):
    def start(self, *, has_carried_request, method="POST"):
        """Starts an exchange on a new connection or on one that was used."""
        self.conn = make_connection(has_carried_request=has_carried_request)
        self.receiver = mock.MagicMock()
        self.receiver.receive_data.return_value = None
        self.heads = []
        self.exchange = Exchange(
            self.conn, HeaderFormat(), self.receiver, self.heads.append
        )
        req = InboundRequest("r1", method, "h", "/x", (), b"", 0.0)
        self.done = self.exchange.start(req, ())

    async def wait(self):
        async with asyncio.timeout(1.0):
            await self.done

    def body(self):
        calls = self.receiver.receive_data.mock_calls
        return b"".join(c.args[0] for c in calls)

    async def test_it_is_no_answer_on_a_connection_that_was_used(self):
        for copy in (REFUSAL, SUCCESS):
            for size in (1, len(copy), len(copy + ANSWER)):
                with self.subTest(copy=copy, size=size):
                    self.start(has_carried_request=True)
                    data = copy + ANSWER
                    for at in range(0, len(data), size):
                        self.exchange.receive(data[at : at + size])
                    await self.wait()
                    self.assertEqual(self.exchange.head.status, 200)
                    self.assertEqual(self.body(), b"body")
                    self.receiver.receive_head.assert_called_once()

    async def test_a_connection_that_ends_after_it_leaves_no_answer(self):
        self.start(has_carried_request=True)
        self.exchange.receive(REFUSAL)
        self.exchange.on_connection_lost("connection closed", clean=True)
        await self.wait()
        self.assertIsNone(self.exchange.head)
        self.assertFalse(self.exchange.is_complete)

    async def test_it_answers_the_first_request_of_a_connection(self):
        self.start(has_carried_request=False)
        self.exchange.receive(REFUSAL)
        await self.wait()
        self.assertTrue(self.exchange.head.not_executed)
        self.assertTrue(self.exchange.is_complete)

    async def test_its_connection_carries_no_other_request(self):
        self.start(has_carried_request=False)
        self.exchange.receive(REFUSAL)
        await self.wait()
        self.assertFalse(self.exchange.reusable)

    async def test_an_informational_response_does_not_replace_it(self):
        self.start(has_carried_request=True)
        self.exchange.receive(b"HTTP/1.1 103 X\r\n\r\n" + REFUSAL + ANSWER)
        await self.wait()
        self.assertEqual(self.exchange.head.status, 200)

    async def test_it_does_not_answer_a_head_request(self):
        self.start(has_carried_request=True, method="HEAD")
        self.exchange.receive(REFUSAL + ANSWER[: -len(b"body")])
        await self.wait()
        self.assertEqual(self.exchange.head.status, 200)
        self.assertFalse(self.exchange.reusable)

    async def test_its_head_is_not_reported(self):
        self.start(has_carried_request=True)
        other_id = b"X\r\nAttempt-Id: r0"
        self.exchange.receive(REFUSAL + REFUSAL.replace(b"X", other_id))
        self.assertEqual(self.heads, [])
        self.exchange.receive(ANSWER)
        await self.wait()
        self.assertEqual(self.heads, [self.exchange.head])

    async def test_its_body_is_limited(self):
        self.start(has_carried_request=True)
        self.exchange.receive(b"HTTP/1.1 200 OK\r\n\r\n")
        for _ in range(MAX_UNMATCHED_BYTES // 65_536 + 1):
            self.assertFalse(self.done.done())
            self.exchange.receive(b"x" * 65_536)
        await self.wait()
        self.assertFalse(self.exchange.is_complete)
        self.conn.close.assert_called()

    async def test_a_copy_in_the_same_read_ends_the_connection(self):
        for length in range(1, len(ANSWER) + 1):
            self.start(has_carried_request=False)
            self.exchange.receive(ANSWER + ANSWER[:length])
            await self.wait()
            self.assertEqual(self.body(), b"body")
            self.assertFalse(self.exchange.reusable)
