"""Tests of relayed connections when the process of a router ends or hangs.

The kernel closes the connections of a killed process without an error, which is
how a body without length or chunks ends.
"""

import asyncio
import contextlib
import unittest

from chervilwall_router.edge.settings import ShutdownSettings
from chervilwall_standins.users.fleet import AMPLE_RETRIES, CallerConnection
from chervilwall_standins.users.process_fleet import ProcessFleet
from chervilwall_standins.users.relay_flood import (
    RECEIVER,
    SENDER,
    read_metric,
    start_relaying,
)
from chervilwall_standins.users.target import FakeTarget, UnframedEnd

EVENTS = 40
STOP = ShutdownSettings(grace_s=6.0, accept_s=1.0)
CALLERS = 10
# A process of these tests may wait that long for a processor.
MAX_SILENCE_S = 1.0


class RelayProcessTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.models = [FakeTarget(f"m{i}", "model") for i in range(3)]
        self.set_targets(events=4, slots=64)
        self.fleet = ProcessFleet(
            *self.models,
            routers=2,
            stop=STOP,
            retries=AMPLE_RETRIES,
            overrides=(SENDER, RECEIVER),
        )
        await self.enterAsyncContext(self.fleet)
        self.sender, self.receiver = self.fleet.routers
        # Its use of the processor alone makes the first router relay.
        await start_relaying(self.sender)
        self.set_targets(events=EVENTS, event_interval_s=0.03)

    def set_targets(self, **attributes):
        for model in self.models:
            for name, value in attributes.items():
                setattr(model, name, value)

    async def start_stream(self, request_id="s1"):
        """Returns a relayed caller whose stream has begun."""
        relayed = await read_metric(self.sender, "relay_sent")
        caller = await CallerConnection.open(self.sender.address)
        self.addCleanup(caller.close)
        await caller.send(
            "/chat/x",
            request_id=request_id,
            token_usage="100,30",
            timeout_remaining="9000",
        )
        await caller.reader.readuntil(b"id: 2\n")
        self.assertEqual(
            await read_metric(self.sender, "relay_sent"), relayed + 1
        )
        return caller

    async def assert_reset(self, caller):
        with self.assertRaises(ConnectionResetError):
            while await caller.reader.read(4096):
                pass

    async def call(self, request_id):
        """Sends a resumable stream on a new connection.

        The target closes its connection after each stream without announcing
        it, so that a stream which may not be retried at another one gets a 502
        at times, also without relaying.
        """
        caller = await CallerConnection.open(self.sender.address)
        try:
            await caller.send(
                "/draft/x",
                request_id=request_id,
                token_usage="100,30",
                timeout_remaining="9000",
            )
            return await caller.receive()
        finally:
            caller.close()

    async def test_an_unframed_stream_of_a_killed_receiver_is_reset(self):
        self.set_targets(unframed=UnframedEnd(is_whole=True))
        caller = await self.start_stream()
        self.receiver.kill()
        await self.assert_reset(caller)
        self.set_targets(unframed=None, events=4)
        response = await self.call("s2")
        self.assertEqual(response.status, 200)
        self.assertTrue(response.is_complete)

    async def test_a_stream_of_a_killed_receiver_is_not_complete(self):
        caller = await self.start_stream()
        self.receiver.kill()
        await caller.reader.readuntil(b"\n\n\r\n")
        _, is_complete = await caller.read_chunks()
        self.assertFalse(is_complete)

    async def test_an_unframed_stream_of_a_killed_sender_is_reset(self):
        self.set_targets(unframed=UnframedEnd(is_whole=True))
        caller = await self.start_stream()
        self.sender.kill()
        await self.assert_reset(caller)

    async def test_the_work_of_a_killed_sender_ends(self):
        await self.start_stream()
        self.sender.kill()
        async with asyncio.timeout(2.0):
            while not any(m.cancelled for m in self.models):
                await asyncio.sleep(0.02)

    async def test_a_frozen_receiver_delays_a_request_only_briefly(self):
        frozen = asyncio.ensure_future(self.receiver.freeze(1.2))
        await asyncio.sleep(0.1)
        loop = asyncio.get_running_loop()
        started = loop.time()
        # The kernel of the receiver's host accepts the connection.
        caller = await CallerConnection.open(self.sender.address)
        self.addCleanup(caller.close)
        await caller.send("/nowhere/x")
        self.assertEqual((await caller.receive()).status, 404)
        self.assertLess(loop.time() - started, MAX_SILENCE_S)
        await frozen
        self.assertEqual(await read_metric(self.sender, "relay_failed"), 1)

    async def test_nothing_accepted_is_lost_when_the_sender_stops(self):
        await self.stop_under_load(self.sender)

    async def test_nothing_accepted_is_lost_when_the_receiver_stops(self):
        await self.stop_under_load(self.receiver)

    async def stop_under_load(self, stopped):
        """Stops a router while callers send streams, each its next one."""
        self.set_targets(events=15, event_interval_s=0.02)
        relayed = await read_metric(self.sender, "relay_sent")
        responses = []
        has_ended = asyncio.Event()

        async def send_all(number):
            sent = 0
            while not has_ended.is_set():
                try:
                    response = await self.call(f"c{number}-{sent}")
                except OSError:
                    # The sender no longer accepts connections.
                    return
                responses.append(response)
                sent += 1

        callers = [asyncio.ensure_future(send_all(n)) for n in range(CALLERS)]
        await asyncio.sleep(1.0)
        self.assertGreater(
            await read_metric(self.sender, "relay_sent"), relayed
        )
        async with asyncio.timeout(STOP.grace_s + 2.0):
            self.assertEqual(await stopped.terminate(), 0)
        await asyncio.sleep(0.5)
        has_ended.set()
        await asyncio.gather(*callers)
        served = [r for r in responses if r.status == 200]
        self.assertGreater(len(served), CALLERS)
        self.assertTrue(all(r.is_complete for r in served))
        self.assertEqual({r.body.count(b"id: ") for r in served}, {15})
        # A refusal says that the request has not run.
        self.maxDiff = None
        odd = [(r.status, r.body) for r in responses if r.status != 200]
        self.assertEqual([r for r in odd if r[0] != 503], [])
        with contextlib.suppress(OSError):
            self.assertEqual(await read_metric(self.sender, "relay_share"), 1)


if __name__ == "__main__":
    unittest.main()
