"""Tests of requests that are read behind others as their router stops."""

import asyncio
import unittest

import uvloop
from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import (
    CallerConnection,
    EdgeFleet,
    make_route,
)
from chervilwall_standins.users.target import FakeTarget

DELAY_S = 0.3
ROUTES = [
    make_route("read", "plain"),
    make_route("book", "plain", kind="non_idempotent", max_attempts=1),
    make_route("chat", "model", kind="streaming", max_attempts=1),
    make_route("hold", "plain", kind="non_idempotent", timeout_ms=9000),
]


class PipelinedStopTest(unittest.TestCase):
    def stop_after_sending(self, *paths, late=(), grace_s=6.0):
        """Stops a router in the first of several requests of a connection.

        Args:
            *paths (str): Paths of requests that are sent before the stop.
            late (Sequence): Paths of requests that are sent after its begin.
            grace_s (float): Grace period of the stop.

        Returns:
            The responses.
        """

        async def send_all(caller, names, first):
            for number, path in enumerate(names, first):
                await caller.send(
                    path,
                    request_id=f"r{number}",
                    token_usage="100,20",
                    timeout_remaining="9000" if "hold" in path else "2000",
                )

        async def run():
            self.plain = FakeTarget("p0", "plain")
            self.plain.response_delay_s = DELAY_S
            self.model = FakeTarget("m0", "model", events=3)
            async with (
                EdgeFleet(self.plain, self.model, routes=ROUTES) as fleet,
                asyncio.timeout(15.0),
            ):
                router = await fleet.add_router(
                    "x", grace_s=grace_s, accept_s=0.1
                )
                await fleet.wait_until(fleet.is_ready)
                caller = await CallerConnection.open(
                    router.settings.listen.callers
                )
                if "/hold/x" in paths:
                    self.plain.mode = t.HANG
                await send_all(caller, paths, 0)
                await asyncio.sleep(0.1)
                router.begin_shutdown()
                await send_all(caller, late, len(paths))
                await router.run()
                await fleet.stop_router(router)
                responses = [await caller.receive() for _ in (*paths, *late)]
                self.assertEqual(await caller.reader.read(), b"")
                return responses

        return uvloop.run(run())

    def assert_all_served(self, responses):
        self.assertEqual([r.status for r in responses], [200] * len(responses))
        self.assertTrue(all(r.is_complete for r in responses))
        closes = [r.headers.get("Connection") for r in responses]
        self.assertEqual(closes, [None] * (len(responses) - 1) + ["close"])
        runs = self.plain.executed + self.model.executed
        expected = [f"r{number}" for number in range(len(responses))]
        self.assertEqual(sorted(runs), expected)

    def test_requests_read_behind_another_are_not_dropped_in_a_stop(self):
        responses = self.stop_after_sending("/read/x", "/book/x", "/read/x")
        self.assert_all_served(responses)

    def test_a_stream_read_behind_another_request_is_not_dropped(self):
        responses = self.stop_after_sending("/book/x", "/chat/x", "/book/x")
        self.assert_all_served(responses)

    def test_requests_that_follow_after_the_stop_began_are_not_dropped(self):
        responses = self.stop_after_sending(
            "/book/x", late=("/read/x", "/book/x")
        )
        self.assert_all_served(responses)

    def test_the_end_of_the_grace_period_refuses_what_was_read_behind(self):
        responses = self.stop_after_sending(
            "/hold/x", "/read/x", "/book/x", grace_s=1.5
        )
        self.assertEqual([r.status for r in responses], [502, 503, 503])
        for response in responses[1:]:
            self.assertIn(b'"executed":"no"', response.body)
        self.assertEqual(self.plain.executed, ["r0"])


if __name__ == "__main__":
    unittest.main()
