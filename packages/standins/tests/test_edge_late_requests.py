"""Tests of requests that arrive late in the grace period of a planned stop.

The router runs in a process of its own, which is killed at the end of the
period. Callers keep using the connections that they opened before the stop.
"""

import asyncio
import os
import signal
import unittest
from typing import NamedTuple

from chervilwall_router.edge.settings import ShutdownSettings
from chervilwall_standins.users.fleet import (
    CallerConnection,
    EdgeFleet,
    make_route,
)
from chervilwall_standins.users.flood import run_router
from chervilwall_standins.users.target import FakeTarget

GRACE_S = 3.0
ACCEPT_S = 0.5
# Requests of a route without a timeout are limited by their callers only.
ROUTES = [
    make_route("book", "plain", kind="non_idempotent", max_attempts=1),
    make_route(
        "untimed", "plain", kind="non_idempotent", max_attempts=1, timeout_ms=0
    ),
    make_route("read", "plain"),
    make_route("chat", "model", kind="streaming", timeout_ms=8000),
    make_route(
        "draft", "model", kind="streaming", resumable=True, timeout_ms=8000
    ),
]
INTERVAL_S = 0.1
CONNECTIONS = int(GRACE_S / INTERVAL_S)


class Sent(NamedTuple):
    """A request that was sent after the stop began.

    Args:
        id (str): Its id.
        at_s (float): Time since the stop began, in seconds.
        status (int): Status of the answer, 0 without one.
        is_complete (bool): Whether the whole answer was received.
    """

    id: str
    at_s: float
    status: int
    is_complete: bool


class LateRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def stop_and_send(self, path, **options):
        """Stops a router and sends a request every INTERVAL_S meanwhile.

        Returns:
            The requests that the router may have read: a connection that it
            closes before a request is sent carries none.
        """
        callers = [
            await CallerConnection.open(self.router.address)
            for _ in range(CONNECTIONS)
        ]
        # Requests on each show that it was accepted.
        for number, caller in enumerate(callers):
            self.addCleanup(caller.close)
            await caller.send("/read/x", request_id=f"w{number}")
            await caller.receive()
        for target in (*self.router.plain, *self.router.models):
            target.executed.clear()
            target.response_delay_s = 0.8
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        os.kill(self.router.pid, signal.SIGTERM)
        loop.call_later(GRACE_S, os.kill, self.router.pid, signal.SIGKILL)

        async def send(number, caller):
            await asyncio.sleep(number * INTERVAL_S)
            if caller.reader.at_eof():
                return None
            at_s = loop.time() - started_at
            try:
                await caller.send(path, request_id=f"r{number}", **options)
            except ConnectionError:
                return None
            response = await caller.receive()
            return Sent(
                f"r{number}", at_s, response.status, response.is_complete
            )

        found = await asyncio.gather(
            *(send(n, caller) for n, caller in enumerate(callers))
        )
        return [sent for sent in found if sent is not None]

    async def start(self, **stop):
        stop = ShutdownSettings(grace_s=GRACE_S, accept_s=ACCEPT_S, **stop)
        self.router = await self.enterAsyncContext(
            run_router(routes=ROUTES, stop=stop)
        )
        for model in self.router.models:
            model.events, model.event_interval_s = 15, 0.1

    def executed(self):
        targets = (*self.router.plain, *self.router.models)
        return {i for target in targets for i in target.executed}

    def assert_none_cut(self, requests):
        """Asserts that each request was answered, or not passed on."""
        executed = self.executed()
        cut = [x for x in requests if not x.is_complete and x.id in executed]
        self.assertEqual(cut, [])
        refused = {x.id for x in requests if x.status == 503}
        self.assertEqual(refused & executed, set())

    async def test_bookings(self):
        await self.start()
        requests = await self.stop_and_send("/book/x")
        self.assert_none_cut(requests)
        self.assertIn(200, {x.status for x in requests})

    async def test_bookings_of_a_route_without_a_timeout(self):
        await self.start()
        requests = await self.stop_and_send(
            "/untimed/x", timeout_remaining="8000"
        )
        self.assert_none_cut(requests)
        # They could last longer than the router does. The one that is sent as
        # the router closes its idle connections may cross that close.
        crossing = [x for x in requests if not x.status]
        self.assertLessEqual(len(crossing), 1)
        answered = {x.status for x in requests if x.status}
        self.assertEqual(answered, {503})

    async def test_streams(self):
        for path in ("/chat/x", "/draft/x"):
            with self.subTest(path=path):
                await self.start()
                requests = await self.stop_and_send(
                    path, token_usage="100,100", timeout_remaining="8000"
                )
                self.assert_none_cut(requests)


class WaitingRequestsTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_stream_that_waited_is_not_begun_too_late(self):
        model = FakeTarget("m0", "model", events=20, event_interval_s=0.1)
        model.slots = 1
        # Its objective lets a stream wait for the end of the one before.
        route = make_route(
            "chat",
            "model",
            kind="streaming",
            timeout_ms=8000,
            target_latency_ms=6000,
        )
        fleet = EdgeFleet(model, routers=0, routes=[route])
        await fleet.__aenter__()
        self.addAsyncCleanup(fleet.__aexit__)
        leaving = await fleet.add_router(
            "leaving", grace_s=GRACE_S, accept_s=ACCEPT_S
        )
        await fleet.wait_until(fleet.is_ready)

        async def call(request_id):
            return await fleet.call(
                "/chat/x",
                request_id=request_id,
                token_usage="100,20",
                timeout_remaining="8000",
            )

        # Shows how long streams take.
        await call("r0")
        first = asyncio.ensure_future(call("r1"))
        await asyncio.sleep(0.3)
        second = asyncio.ensure_future(call("r2"))
        await asyncio.sleep(0.3)
        leaving.begin_shutdown()
        await leaving.run()
        self.assertEqual((await first).status, 200)
        self.assertTrue((await first).is_complete)
        self.assertEqual((await second).status, 503)
        self.assertNotIn("r2", model.executed)
