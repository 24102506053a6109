"""Tests of the headers sent to targets and of the usage they report."""

import asyncio
import time
import unittest

from chervilwall import cell_messages
from chervilwall.classify import CallerRequest
from chervilwall.config import Target
from chervilwall_router.settings import LimitSettings
from chervilwall_router.target_client import (
    TargetClient,
    _request_headers,
    _usage_work,
)

ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody"


class _Sink:
    """Collect the body of a response."""

    def __init__(self):
        self.body = b""

    def begin(self, status, headers):
        """Does nothing, as only the body is looked at."""

    async def write(self, chunk):
        self.body += chunk


class SecondAnswerTest(unittest.IsolatedAsyncioTestCase):
    async def send(self, data):
        """Sends a request to a target that answers with bytes."""

        async def serve(reader, writer):
            await reader.readuntil(b"\r\n\r\n")
            writer.write(data)
            await writer.drain()
            writer.close()

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self.addCleanup(server.close)
        host, port = server.sockets[0].getsockname()
        sink = _Sink()
        attempt = await TargetClient(LimitSettings()).send(
            Target("t0", "svc", f"{host}:{port}"),
            CallerRequest("GET", "/x", {}, b"", time.monotonic()),
            sink,
            may_retry=True,
        )
        return attempt.outcome, sink.body

    async def test_a_second_answer_is_no_part_of_the_first(self):
        outcome, body = await self.send(2 * ANSWER)
        self.assertEqual(
            (outcome, body), (cell_messages.OUTCOME_COMPLETED, b"body")
        )

    async def test_a_second_answer_does_not_fill_up_the_first(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 20\r\n\r\nbo"
        outcome, _ = await self.send(head + ANSWER)
        self.assertNotEqual(outcome, cell_messages.OUTCOME_COMPLETED)

    async def test_a_status_that_http_does_not_know_is_no_answer(self):
        for status in (b"000", b"099", b"600", b"999"):
            for rest in (b"Content-Length: 4\r\n\r\nbody", b"\r\nbody"):
                with self.subTest(status=status, rest=rest):
                    outcome, body = await self.send(
                        b"HTTP/1.1 " + status + b" X\r\n" + rest
                    )
                    self.assertEqual(
                        (outcome, body), (cell_messages.OUTCOME_BROKEN, b"")
                    )


class TargetRequestTest(unittest.TestCase):
    def test_a_team_key_never_reaches_a_target(self):
        headers = {
            "Authorization": "Bearer secret",
            "Accept": "text/event-stream",
            "Connection": "keep-alive",
        }
        req = CallerRequest("POST", "/x", headers, b"{}", 0.0)
        sent = _request_headers(req, "10.0.0.1:80")
        self.assertNotIn("Authorization", sent)
        self.assertEqual(sent["Accept"], "text/event-stream")
        self.assertEqual(sent["Content-Length"], "2")

    def test_usage_is_read_from_any_tail(self):
        usage = (
            '{"prompt_tokens": 10, "prompt_tokens_details": {"cached": 1}, '
            '"completion_tokens": 20}'
        )
        tail = f'data: {{"usage": {usage}}}\n\ndata: [DONE]\n\n'
        self.assertEqual(_usage_work(tail.encode()), 50.0)
        for bad in (b"", b'"usage":', b'"usage": null', b'"usage": {"a": 1}'):
            self.assertIsNone(_usage_work(bad))
