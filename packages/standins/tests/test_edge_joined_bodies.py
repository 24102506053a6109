"""Tests that no body consists of the answers of two targets."""

import asyncio
import logging
import unittest

from chervilwall import events
from chervilwall_router.edge.relay import MAX_BUFFERED_BYTES
from chervilwall_standins.users.fleet import EdgeFleet, make_route
from chervilwall_standins.users.target import BodyPart, FakeTarget

# A scheduler whose host stands still for a moment answers this late.
GRANT_DELAY_S = 0.6
# A body that fits the buffer until a replacement has been asked for, a second
# after the start of the request.
PARTS = (
    BodyPart(MAX_BUFFERED_BYTES * 4 // 5),
    BodyPart(MAX_BUFFERED_BYTES * 2 // 5, pause_s=1.3),
)


class LateGrantTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, **route):
        self.growing = FakeTarget("p0", "svc")
        self.growing.body_parts = PARTS
        self.other = FakeTarget("p1", "svc")
        routes = [make_route("job", "svc", timeout_ms=4000, **route)]
        self.fleet = EdgeFleet(self.growing, self.other, routes=routes)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        scheduling = self.fleet.routers[0].scheduling
        acquire = scheduling.acquire

        async def acquire_late(request):
            if request.is_replacement:
                await asyncio.sleep(GRANT_DELAY_S)
            return await acquire(request)

        scheduling.acquire = acquire_late

    async def call_growing(self):
        """Sends requests until one ran at the target with the large body."""
        for number in range(8):
            response = await self.fleet.call(
                "/job/x", request_id=f"r{number}", timeout_remaining="4000"
            )
            if self.growing.executed:
                return response
        raise AssertionError("the target with the large body got no request")

    async def check(self):
        sent = sum(part.size for part in PARTS)
        response = await self.call_growing()
        self.assertFalse(response.is_complete)
        self.assertEqual(response.body, b"x" * sent)

    async def test_a_body_that_begins_while_a_target_is_asked_for_is_not_joined(
        self,
    ):
        await self.start()
        await self.check()

    async def test_a_large_body_on_a_streaming_route_is_not_joined(self):
        await self.start(kind="streaming", resumable=True)
        await self.check()

    async def test_a_failed_attempt_names_what_its_caller_had(self):
        await self.start()
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        with self.assertLogs("chervilwall_router.edge", "INFO") as logs:
            await self.call_growing()
        (failed,) = (
            r.fields
            for r in logs.records
            if r.event == events.ATTEMPT_FAILED.number
        )
        sent = sum(part.size for part in PARTS)
        self.assertEqual(int(failed["sent_bytes"]), sent)


if __name__ == "__main__":
    unittest.main()
