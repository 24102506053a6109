"""Tests that no stream consists of the answers of two targets."""

import unittest

from chervilwall_standins.users.fleet import EdgeFleet
from chervilwall_standins.users.target import (
    EVENT_STREAM,
    FakeTarget,
    encode_chunked,
)

EVENTS = 4
# Events that the first answer has.
FIRST_EVENTS = 2


class StreamingTarget(FakeTarget):
    """Answer the first request of all targets with a part of a stream.

    Attributes:
        requests (list): Ids of the requests, shared by all targets.
        is_not_executed (bool): Whether the first answer says that the request
            was not run, and ends; otherwise it breaks off.
        numbered_from (int): First event that has an id.
    """

    requests: list[str]
    is_not_executed = False
    numbered_from = 1

    async def _run(self, request, reader, writer):
        self.requests.append(request.id)
        headers = self._identity_headers(request) | EVENT_STREAM
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        is_first = len(self.requests) == 1
        if is_first and self.is_not_executed:
            headers["Not-Executed"] = "1"
        last = FIRST_EVENTS if is_first else EVENTS
        events = [self.encode(number) for number in range(first, last + 1)]
        is_whole = not is_first or self.is_not_executed
        writer.write(encode_chunked(headers, events, is_whole=is_whole))
        await writer.drain()
        return False

    def encode(self, number):
        event_id = f"id: {number}\n" if number >= self.numbered_from else ""
        return f"{event_id}data: {self.id} {number}\n\n".encode()


class JoinedStreamsTest(unittest.IsolatedAsyncioTestCase):
    async def call(self, path, **fields):
        """Returns the response, and how many targets have events in it."""
        requests = []
        targets = [StreamingTarget(f"e{i}", "model") for i in range(2)]
        for target in targets:
            target.requests = requests
            for name, value in fields.items():
                setattr(target, name, value)
        async with EdgeFleet(*targets) as fleet:
            response = await fleet.call(path)
        sources = sum(target.id.encode() in response.body for target in targets)
        return response, sources

    async def test_a_stream_with_ids_goes_on_at_another_target(self):
        response, sources = await self.call("/draft/x")
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body.count(b"id: "), EVENTS)
        self.assertEqual(sources, 2)

    async def test_a_stream_that_is_said_not_to_have_run_is_not_joined(self):
        for path in ("/chat/x", "/draft/x"):
            for numbered_from in (1, EVENTS + 1):
                with self.subTest(path=path, numbered_from=numbered_from):
                    response, sources = await self.call(
                        path, is_not_executed=True, numbered_from=numbered_from
                    )
                    self.assertTrue(response.is_complete)
                    self.assertEqual(sources, 1)
                    self.assertEqual(response.body.count(b"data: "), EVENTS)

    async def test_a_stream_without_ids_is_not_joined(self):
        response, sources = await self.call(
            "/draft/x", numbered_from=EVENTS + 1
        )
        self.assertFalse(response.is_complete)
        self.assertEqual(sources, 1)

    async def test_a_first_event_without_id_does_not_come_twice(self):
        response, sources = await self.call("/draft/x", numbered_from=2)
        self.assertFalse(response.is_complete)
        self.assertEqual(sources, 1)


if __name__ == "__main__":
    unittest.main()
