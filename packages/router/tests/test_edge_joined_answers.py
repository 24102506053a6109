"""Tests of answers that break off before another answer of the connection."""

import unittest
from unittest import mock

from chervilwall.http_messages import InboundRequest
from chervilwall_router.edge.exchange import Exchange
from headers import HeaderFormat

BODY = b"0123456789" * 8
OTHER_BODY = b"wrong" * 4
NAMES = (
    b"Attempt-Id: r1\r\nResponse-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
    b"Instance-Id: i-1\r\nInstance-Load: 1,0,8\r\n"
)
WITH_LENGTH = (
    b"HTTP/1.1 200 -\r\n" + NAMES + b"Content-Length: 80\r\n\r\n" + BODY
)
CHUNKED = (
    b"HTTP/1.1 200 -\r\n"
    + NAMES
    + b"Transfer-Encoding: chunked\r\n\r\n50\r\n"
    + BODY
    + b"\r\n0\r\n\r\n"
)
UNFRAMED = b"HTTP/1.1 200 -\r\n" + NAMES + b"\r\n" + BODY
OTHERS = {
    "success": b"HTTP/1.1 200 -\r\nAttempt-Id: r0\r\nResponse-Signature: s\r\n"
    b"Content-Length: 20\r\n\r\n" + OTHER_BODY,
    "refusal": b"HTTP/1.1 503 X\r\nAttempt-Id: r0\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "refusal without id": b"HTTP/1.1 503 X\r\nNot-Executed: 1\r\n"
    b"Content-Length: 0\r\n\r\n",
    "refusal of the request": b"HTTP/1.1 503 X\r\nAttempt-Id: r1\r\n"
    b"Not-Executed: 1\r\nContent-Length: 0\r\n\r\n",
    "misdirected": b"HTTP/1.1 421 -\r\nInstance-Id: i-2\r\n"
    b"Content-Length: 0\r\n\r\n",
    "the answer again": WITH_LENGTH,
}
READ_SIZES = (1, 7, 1000)


def make_connection():
    """Returns a kept connection that has carried one other request."""
    conn = mock.MagicMock()
    conn.closed.return_value = False
    conn.has_unsent_data.return_value = False
    conn.has_carried_request = True
    conn.request_ids = ["r0"]
    return conn


class JoinedAnswersTest(unittest.IsolatedAsyncioTestCase):
    async def receive(self, first, second, size):
        """Receives two answers, the second one in reads of its own.

        Returns:
            The exchange and the body that its receiver has.
        """
        receiver = mock.MagicMock()
        receiver.kept_bytes = 0
        receiver.receive_data.return_value = None
        exchange = Exchange(
            make_connection(), HeaderFormat(), receiver, lambda head: None
        )
        req = InboundRequest("r1", "POST", "h", "/x", (), b"", 0.0)
        done = exchange.start(req, ())
        for data in (first, second):
            for at in range(0, len(data), size):
                if not done.done():
                    exchange.receive(data[at : at + size])
        if not done.done() and exchange._completion is None:
            exchange.on_connection_lost("closed", clean=True)
        await done
        calls = receiver.receive_data.mock_calls
        return exchange, b"".join(call.args[0] for call in calls)

    async def check(self, whole, cuts):
        for cut in cuts:
            for name, other in OTHERS.items():
                for size in READ_SIZES:
                    exchange, body = await self.receive(
                        whole[:cut], other, size
                    )
                    with self.subTest(cut=whole[:cut][-9:], other=name):
                        self.check_answer(exchange, body)

    def check_answer(self, exchange, body):
        """Checks that what is taken for the answer is the answer."""
        self.assertNotIn(b"wrong", body)
        if exchange.is_complete:
            assert exchange.head is not None
            self.assertEqual((exchange.head.status, body), (200, BODY))
            self.assertFalse(exchange.head.not_executed)

    # An id that was cut off is that of another request, and a status line
    # that was cut off is none.
    def head_cuts(self, whole):
        return range(len(b"HTTP/1.1 200"), whole.index(b"\r\n\r\n") + 4)

    async def test_a_second_answer_in_a_head_is_no_part_of_it(self):
        for whole in (WITH_LENGTH, CHUNKED, UNFRAMED):
            await self.check(whole, self.head_cuts(whole))

    async def test_a_second_answer_does_not_end_a_body_with_a_length(self):
        # A body that ends with the first bytes of a status line, an exact fit
        # of the second answer, and anything between.
        body_at = len(WITH_LENGTH) - len(BODY)
        for size in range(1, len(WITH_LENGTH)):
            whole = WITH_LENGTH.replace(b" 80", b" %d" % (size + 10))
            await self.check(
                whole, [body_at + 10 + (len(whole) - len(WITH_LENGTH))]
            )

    async def test_a_second_answer_in_a_chunk_ends_no_event(self):
        body_at = CHUNKED.index(BODY)
        for cut in range(body_at, body_at + len(BODY) + 2):
            for name, other in OTHERS.items():
                for size in READ_SIZES:
                    exchange, body = await self.receive(
                        CHUNKED[:cut], other, size
                    )
                    with self.subTest(cut=cut - body_at, other=name):
                        self.assertFalse(exchange.is_complete)
                        self.assertNotIn(b"\r\n\r\n", body)

    async def test_a_head_with_repeated_headers_is_believed(self):
        head = (
            b"HTTP/1.1 200 Ok, as in HTTP/1.1\r\nAttempt-Id: r1\r\n"
            b"Via: HTTP/1.1 proxy\r\nVia: 1.0 other\r\nSet-Cookie: a\r\n"
            b"Set-Cookie: a\r\nVary: a\r\nvary: b\r\n"
            b"Cache-Control: private, max-age=0\r\nRetry-After: 1\r\n"
            b"Content-Length: 80\r\n\r\n"
        )
        for size in READ_SIZES:
            exchange, body = await self.receive(head, BODY, size)
            self.assertTrue(exchange.is_complete)
            self.assertTrue(exchange.reusable)
            self.assertEqual(body, BODY)


if __name__ == "__main__":
    unittest.main()
