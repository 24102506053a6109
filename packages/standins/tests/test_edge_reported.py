"""Regression tests for faults that were reported for similar systems."""

import asyncio
import unittest

from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import CallerConnection, EdgeFleet
from chervilwall_standins.users.target import FakeTarget

CALLERS = 24
HEADER_TIMEOUT_S = 3.0


class ReportedFaultsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *targets, routers=1):
        self.fleet = EdgeFleet(*targets, routers=routers)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        return self.fleet

    async def test_a_late_second_copy_reaches_no_other_caller(self):
        target = FakeTarget("p0", "plain")
        fleet = await self.start(target)
        target.mode = t.LATE_DUPLICATE
        for number in range(30):
            request_id = f"b{number}"
            response = await fleet.call("/book/x", request_id=request_id)
            self.assertEqual(response.status, 200)
            self.assertEqual(response.body, f"p0:{request_id}".encode())
            await asyncio.sleep(0.001 * (number % 5))

    async def test_a_stop_under_load_cuts_no_request(self):
        targets = [FakeTarget(f"p{i}", "plain") for i in range(3)]
        fleet = await self.start(*targets)
        leaving = await fleet.add_router("leaving", grace_s=3, accept_s=0.5)
        await fleet.wait_until(fleet.is_ready)
        address = leaving.settings.listen.callers
        outcomes = []
        callers = [
            asyncio.create_task(self.send_on(address, number, outcomes))
            for number in range(CALLERS)
        ]
        # Stops under load, also on a slow host.
        await fleet.wait_until(lambda: outcomes.count(200) > 2 * CALLERS, 20.0)
        before_stop = len(outcomes)
        leaving.begin_shutdown()
        await leaving.run()
        leaving.ingress.stop()
        await asyncio.gather(*callers)
        # A router that shuts down may refuse requests as not executed, but
        # interrupts none.
        self.assertLessEqual(set(outcomes), {200, 503})
        self.assertGreater(outcomes.count(200), 2 * CALLERS)
        self.assertGreaterEqual(len(outcomes), before_stop + CALLERS)

    async def send_on(self, address, caller, outcomes):
        """Sends requests on kept and new connections until the router stops."""
        number = 0
        while True:
            try:
                conn = await CallerConnection.open(address)
            except OSError:
                return
            is_closing = is_reused = False
            while not is_closing:
                number += 1
                try:
                    await conn.send("/read/x", request_id=f"{caller}-{number}")
                except ConnectionError:
                    # A reset is allowed only for a connection that was not yet
                    # accepted.
                    if is_reused:
                        outcomes.append("cut")
                    return
                is_reused = True
                response = await conn.receive()
                if not response.status and conn.reader.at_eof():
                    # The connection was never accepted.
                    return
                outcomes.append(
                    response.status if response.is_complete else "cut"
                )
                is_closing = response.headers.get("Connection") == "close"
            conn.close()

    async def test_a_caller_that_sends_a_byte_now_and_then_is_closed(self):
        fleet = await self.start(FakeTarget("p0", "plain"))
        caller = await fleet.connect()
        started = asyncio.get_running_loop().time()
        caller.writer.write(b"POST /read/x HTTP/1.1\r\nX-Slow: ")
        with self.assertRaises(ConnectionError):
            while True:
                caller.writer.write(b"x")
                await caller.writer.drain()
                await asyncio.sleep(0.2)
        elapsed_s = asyncio.get_running_loop().time() - started
        self.assertLess(elapsed_s, HEADER_TIMEOUT_S + 1.5)

    async def test_a_target_that_sends_a_byte_now_and_then_ends_in_time(self):
        model = FakeTarget("m0", "model", events=6)
        fleet = await self.start(model)
        model.mode = t.SLOW_DRIP
        started = asyncio.get_running_loop().time()
        response = await fleet.call(
            "/chat/x", token_usage="100,30", timeout_remaining="1000"
        )
        elapsed_s = asyncio.get_running_loop().time() - started
        self.assertIn(response.status, (0, 504))
        self.assertFalse(response.is_complete and response.status == 200)
        self.assertLess(elapsed_s, 1.5)

    async def test_a_slow_but_sound_stream_is_not_cut(self):
        model = FakeTarget("m0", "model", events=4, event_interval_s=0.45)
        fleet = await self.start(model)
        response = await fleet.call(
            "/chat/x", token_usage="100,30", timeout_remaining="10000"
        )
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body.count(b"id: "), 4)

    async def test_a_message_that_fails_does_not_end_the_link_to_peers(self):
        fleet = await self.start(FakeTarget("p0", "plain"), routers=2)
        first, second = fleet.routers

        def fail(*_):
            raise ValueError("unexpected failure")

        receive_frame = first.reports.receive_frame
        first.link._received = fail
        await asyncio.sleep(0.6)
        first.link._received = receive_frame
        sent = second.link.frames_sent
        await fleet.wait_until(lambda: second.link.frames_sent > sent)
        await fleet.wait_until(fleet.is_ready)
