"""Tests of connections that an overloaded router relays to another one.

Each test makes the first router relay all new connections, and the others
accept them whatever the load of the machine is.
"""

import asyncio
import contextlib
import socket
import struct
import unittest
from unittest import mock

import uvloop
from chervilwall.caller_memory import CallerUsage, Stage
from chervilwall.codec import FrameCodec
from chervilwall_router.edge.relaying import receiving, sending
from chervilwall_router.edge.relaying.copying import MAX_UNSENT_BYTES
from chervilwall_router.edge.relaying.preamble import encode_preamble
from chervilwall_router.edge.relaying.relays import relay_address
from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import (
    HOST,
    KEY,
    CallerConnection,
    EdgeFleet,
    make_config,
)
from chervilwall_standins.users.target import FakeTarget, UnframedEnd

EVENTS = 12
# How long and how much each 0.1 s a caller reads of a large response.
STEADY_S = 7.0
STEADY_BYTES = 30_000
# A peer that does not answer may delay a request by 0.1 s.
MAX_SILENCE_S = 0.4


def relay_all(router):
    """Makes a router relay all new connections, whatever its load is."""
    accept_all(router)
    router.relaying.decision.share = 1.0


def accept_all(router):
    """Makes a router accept relayed connections, whatever its load is.

    The load of the start of the routers was recorded before.
    """
    decision = router.relaying.decision
    decision.record_load = lambda *load: None
    decision.lag = decision.cpu = decision.share = 0.0


class RelayCase(unittest.IsolatedAsyncioTestCase):
    """Runs two routers, of which the first relays to the second."""

    routers = 2
    # Time for which a peer may be silent, as a multiple of that of a router.
    # All routers of a test share one event loop on a busy machine.
    patience = 20

    @classmethod
    def setUpClass(cls):
        # The event loop of the router process.
        asyncio.set_event_loop_policy(uvloop.EventLoopPolicy())
        cls.addClassCleanup(asyncio.set_event_loop_policy, None)

    def setUp(self):
        step_s = sending.SILENCE_STEP_S * self.patience
        patch = mock.patch.object(sending, "SILENCE_STEP_S", step_s)
        patch.start()
        self.addCleanup(patch.stop)

    async def asyncSetUp(self):
        self.model = FakeTarget("m0", "model", events=EVENTS)
        self.plain = FakeTarget("p0", "plain")
        self.fleet = EdgeFleet(
            self.model, self.plain, routers=self.routers, relay=True
        )
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.sender, *self.receivers = self.fleet.routers
        for router in self.receivers:
            accept_all(router)
        relay_all(self.sender)
        await self.fleet.wait_until(
            lambda: len(self.sender.relaying._peers) == len(self.receivers)
        )

    async def connect(self):
        caller = await self.fleet.connect()
        self.addCleanup(caller.close)
        return caller

    async def stream(self, caller, request_id="s1", path="/chat/x"):
        await caller.send(
            path,
            request_id=request_id,
            token_usage="100,30",
            timeout_remaining="9000",
        )

    def counter(self, name, router=None):
        router = self.sender if router is None else router
        return router.metrics.counters[name]

    def assert_relayed(self, count=1):
        self.assertEqual(self.counter("relay_sent"), count)
        received = sum(
            self.counter("relay_received", r) for r in self.receivers
        )
        self.assertEqual(received, count)

    def assert_served_here(self):
        self.assertEqual(self.counter("relay_sent"), 0)

    async def wait_for_no_relay(self):
        await self.fleet.wait_until(
            lambda: (
                not self.sender.relaying.sender.count()
                and not any(
                    r.relaying.receiver.connections for r in self.receivers
                )
            )
        )


class RelayedRequestsTest(RelayCase):
    async def test_a_stream_arrives_whole_and_unchanged(self):
        direct = await CallerConnection.open(
            self.receivers[0].settings.listen.callers
        )
        self.addCleanup(direct.close)
        await self.stream(direct, "s0")
        expected = await direct.receive()
        caller = await self.connect()
        await self.stream(caller)
        response = await caller.receive()
        self.assertTrue(response.is_complete)
        self.assertEqual(response.body, expected.body)
        self.assertEqual(set(response.headers), set(expected.headers))
        self.assert_relayed()

    async def test_events_that_follow_each_other_are_copied_together(self):
        # Each read costs the overloaded host a write as well.
        self.model.events, self.model.event_interval_s = 60, 0.005
        caller = await self.connect()
        read = sending._PeerSide.buffer_updated
        with mock.patch.object(
            sending._PeerSide, "buffer_updated", autospec=True, side_effect=read
        ) as reads:
            await self.stream(caller)
            response = await caller.receive()
        self.assertEqual(response.body.count(b"id: "), 60)
        self.assertLess(reads.call_count, 40)

    async def test_an_event_alone_is_not_held_back(self):
        self.model.events, self.model.event_interval_s = 4, 0.2
        caller = await self.connect()
        loop = asyncio.get_running_loop()
        with mock.patch.object(
            receiving.RelayedCallerConnection, "_send_held"
        ) as sent_held:
            await self.stream(caller)
            await caller.reader.readuntil(b"id: 1\n")
            await caller.reader.readuntil(b"id: 2\n")
            started = loop.time()
            await caller.reader.readuntil(b"id: 3\n")
            self.assertLess(loop.time() - started, 0.3)
            sent_held.assert_not_called()

    async def test_the_first_event_of_a_further_stream_is_not_held_back(self):
        self.model.events, self.model.event_interval_s = 2, 0.2
        caller = await self.connect()
        for number in range(2):
            await self.stream(caller, f"s{number}")
            await caller.reader.readuntil(b"id: 1\n")
            conn = next(iter(self.receivers[0].relaying.receiver.connections))
            self.assertIsNone(conn._send_timer)
            await caller.reader.readuntil(b"0\r\n\r\n")
        self.assert_relayed()

    async def test_the_receiver_knows_the_address_of_the_caller(self):
        caller = await self.connect()
        await caller.send("/read/x")
        await caller.receive()
        conn = next(iter(self.receivers[0].relaying.receiver.connections))
        host, port = caller.writer.get_extra_info("sockname")
        self.assertEqual(conn.caller, f"{host}:{port}")

    async def test_a_booking_runs_once(self):
        response = await self.fleet.call("/book/x", request_id="b1")
        self.assertEqual(response.status, 200)
        self.assertEqual(self.plain.executed, ["b1"])
        self.assert_relayed()
        await self.wait_for_no_relay()

    async def test_a_connection_carries_several_requests(self):
        caller = await self.connect()
        for number in range(5):
            await caller.send("/read/x", request_id=f"r{number}")
        for number in range(5):
            response = await caller.receive()
            self.assertEqual(response.body, b"p0:r%d" % number)
        self.assert_relayed()

    async def test_a_large_body_that_a_slow_caller_reads_is_whole(self):
        # The sender must not buffer it: its unsent bytes are bounded.
        self.plain.mode, self.plain.large_status = t.LARGE_BODY, 200
        caller = await self.connect()
        await caller.send("/read/x", request_id="r1")
        await asyncio.sleep(0.4)
        relay = next(iter(self.sender.relaying.sender.relays))
        unsent = relay.caller.transport.get_write_buffer_size()
        self.assertLess(unsent, 1 << 18)
        response = await caller.receive()
        self.assertEqual(len(response.body), t.LARGE_BYTES)
        self.assertTrue(response.is_complete)

    async def test_a_response_that_a_caller_reads_steadily_goes_on(self):
        # The sender leaves bytes unread for over 2.5 s at a time, which was
        # the receiver's limit on unacknowledged bytes.
        self.plain.mode, self.plain.large_status = t.LARGE_BODY, 200
        loop = asyncio.get_running_loop()
        host, port = self.sender.settings.listen.callers.split(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 1 << 15)
        self.addCleanup(sock.close)
        sock.setblocking(False)
        await loop.sock_connect(sock, (host, int(port)))
        writer = mock.Mock(drain=mock.AsyncMock())
        await CallerConnection(mock.Mock(), writer).send(
            "/read/x", timeout_remaining="30000"
        )
        await loop.sock_sendall(sock, writer.write.call_args.args[0])
        until = loop.time() + STEADY_S
        while loop.time() < until:
            self.assertTrue(await loop.sock_recv(sock, STEADY_BYTES))
            await asyncio.sleep(0.1)
        self.assert_relayed()

    async def test_unsent_bytes_count_as_memory_of_callers(self):
        # Callers that read slowly would take any memory by relays.
        self.plain.mode, self.plain.large_status = t.LARGE_BODY, 200
        bounds = self.sender.caller_bounds
        used = bounds.descriptors.used(0, 0)
        caller = await self.connect()
        await caller.send("/read/x", request_id="r1")
        await self.fleet.wait_until(lambda: self.sender.relaying.sender.relays)
        relay = next(iter(self.sender.relaying.sender.relays))
        await self.fleet.wait_until(relay.caller.has_unsent_data)
        await asyncio.sleep(0.3)
        unsent = relay.caller.transport.get_write_buffer_size()
        self.assertGreater(unsent, MAX_UNSENT_BYTES)
        self.assertGreater(bounds.total_bytes, unsent)
        self.assertEqual(bounds.descriptors.used(0, 0), used + 2)
        response = await caller.receive()
        self.assertTrue(response.is_complete)
        caller.close()
        await self.wait_for_no_relay()
        self.assertEqual(bounds.total_bytes, 0)
        self.assertEqual(bounds.descriptors.used(0, 0), used)

    async def test_the_kernel_receives_no_more_than_for_direct_callers(self):
        # Unread bytes are memory of the host; by itself the kernel keeps
        # megabytes of each connection that is paused.
        caller = await self.connect()
        await caller.send("/read/x")
        await caller.receive()
        relay = next(iter(self.sender.relaying.sender.relays))
        received = next(iter(self.receivers[0].relaying.receiver.connections))
        sizes = [
            transport.get_extra_info("socket").getsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF
            )
            for transport in (
                relay.caller.transport,
                relay.peer.transport,
                received._transport,
            )
        ]
        self.assertEqual(sizes, sizes[:1] * 3)

    async def test_a_large_request_is_whole(self):
        body = bytes(range(256)) * 250
        response = await self.fleet.call("/book/x", body=body)
        self.assertEqual(response.status, 200)
        self.assertEqual(self.plain.received[0].body, body)
        self.assert_relayed()

    async def test_many_at_once_are_served(self):
        responses = await asyncio.gather(
            *(self.fleet.call("/read/x", request_id=f"r{n}") for n in range(60))
        )
        self.assertEqual({r.status for r in responses}, {200})
        self.assertEqual(len(self.plain.executed), 60)
        self.assertGreater(self.counter("relay_sent"), 0)
        await self.wait_for_no_relay()
        self.assertFalse(self.sender.relaying.decision._relays)

    async def test_a_relayed_connection_is_not_relayed_again(self):
        relay_all(self.receivers[0])
        # It accepts, as its decision is replaced here.
        self.receivers[0].relaying.decision.accepts = lambda current: True
        response = await self.fleet.call("/read/x")
        self.assertEqual(response.status, 200)
        self.assert_relayed()
        self.assertEqual(self.counter("relay_sent", self.receivers[0]), 0)

    async def test_the_numbers_are_on_the_metrics_page(self):
        caller = await self.connect()
        await caller.send("/read/x")
        await caller.receive()
        self.assertIn("relays_to_peers 1\n", self.sender.relaying.render())
        page = self.receivers[0].relaying.render()
        self.assertIn("relays_from_peers 1\n", page)
        await self.fleet.wait_until(lambda: self.counter("relay_bytes"))


class EndOfConnectionTest(RelayCase):
    async def start_stream(self):
        self.model.events, self.model.event_interval_s = 400, 0.02
        caller = await self.connect()
        await self.stream(caller)
        await caller.reader.readuntil(b"id: 2\n")
        self.assert_relayed()
        return caller

    async def test_a_caller_that_closes_ends_the_work_at_the_target(self):
        caller = await self.start_stream()
        caller.close()
        await self.fleet.wait_until(lambda: self.model.cancelled, 1.0)
        await self.wait_for_no_relay()

    async def test_a_caller_that_resets_ends_the_work_at_the_target(self):
        caller = await self.start_stream()
        sock = caller.writer.get_extra_info("socket")
        linger = struct.pack("ii", 1, 0)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
        caller.writer.transport.abort()
        await self.fleet.wait_until(lambda: self.model.cancelled, 1.0)
        await self.wait_for_no_relay()

    async def test_an_unframed_response_that_breaks_off_is_reset(self):
        # An orderly end would make the part look like a whole response.
        self.model.mode = t.TRUNCATED
        caller = await self.connect()
        caller.writer.write(
            f"GET /chat/x HTTP/1.0\r\nHost: {HOST}\r\nAttempt-Id: r1\r\n"
            f"Authorization: Token {KEY}\r\nTimeout-Remaining: 2000\r\n\r\n"
            "".encode()
        )
        with self.assertRaises(ConnectionResetError):
            while await caller.reader.read(4096):
                pass
        self.assert_relayed()

    async def test_a_whole_unframed_response_ends_in_order(self):
        for kind in ("stream", "body"):
            with self.subTest(kind=kind):
                self.model.unframed = UnframedEnd(is_whole=True)
                self.plain.unframed = UnframedEnd(is_whole=True)
                caller = await self.connect()
                path = "/chat/x" if kind == "stream" else "/read/x"
                await self.stream(caller, path=path)
                response = await caller.receive()
                self.assertFalse(response.is_framed)
                self.assertTrue(response.is_complete)
                if kind == "stream":
                    self.assertEqual(response.body.count(b"id: "), EVENTS)
                else:
                    self.assertEqual(response.body, b"p0:s1")
        await self.wait_for_no_relay()

    async def test_a_large_unframed_response_to_a_slow_caller_is_whole(self):
        self.plain.mode = t.LARGE_UNFRAMED
        caller = await self.connect()
        await caller.send("/read/x", timeout_remaining="9000")
        await asyncio.sleep(0.3)
        response = await caller.receive()
        self.assertTrue(response.is_complete)
        self.assertEqual(len(response.body), t.LARGE_BYTES)
        await self.wait_for_no_relay()

    async def test_the_router_of_a_relay_that_ends_resets_the_caller(self):
        self.model.unframed = UnframedEnd(is_whole=True)
        caller = await self.start_stream()
        self.sender.relaying.sender.close()
        with self.assertRaises(ConnectionResetError):
            while await caller.reader.read(4096):
                pass
        await self.wait_for_no_relay()

    async def test_half_a_request_and_an_end_leave_nothing_open(self):
        caller = await self.connect()
        caller.writer.write(b"POST /book/x HTTP/1.1\r\nHost: a")
        await self.fleet.wait_until(lambda: self.counter("relay_sent"))
        caller.writer.write_eof()
        self.assertEqual(await caller.reader.read(), b"")
        await self.wait_for_no_relay()
        self.assertEqual(self.plain.received, [])

    async def test_a_malformed_request_is_answered(self):
        caller = await self.connect()
        caller.writer.write(b"NONSENSE\r\n\r\n")
        response = await caller.receive()
        self.assertEqual(response.status, 400)
        self.assertEqual(await caller.reader.read(), b"")
        caller.close()
        await self.wait_for_no_relay()

    async def test_only_the_receiver_ends_an_idle_connection(self):
        config = make_config(2)
        config["limits"]["idle_timeout_ms"] = 600
        await self.fleet.store.put("config", "main", config)
        await self.fleet.wait_until(
            lambda: all(r.config.version == 2 for r in self.fleet.routers)
        )
        caller = await self.connect()
        await caller.send("/read/x")
        self.assertEqual((await caller.receive()).status, 200)
        async with asyncio.timeout(3.0):
            self.assertEqual(await caller.reader.read(), b"")
        closed = "caller_closed_idle"
        self.assertEqual(self.counter(closed, self.receivers[0]), 1)
        self.assertEqual(self.counter(closed), 0)
        await self.wait_for_no_relay()


class PlannedStopTest(RelayCase):
    async def start_streams(self, count=6):
        self.model.slots = 2 * count
        await self.fleet.store.put("servers", "m0", self.model.spec())
        self.model.events, self.model.event_interval_s = 40, 0.03
        callers = [await self.connect() for _ in range(count)]
        for number, caller in enumerate(callers):
            await self.stream(caller, f"s{number}")
        await self.fleet.wait_until(lambda: len(self.model.executed) == count)
        self.assert_relayed(count)
        return callers

    async def stop(self, router):
        router.begin_shutdown()
        async with asyncio.timeout(8.0):
            await router.run()
        await self.fleet.stop_router(router)

    async def assert_whole(self, callers):
        for caller in callers:
            response = await caller.receive()
            self.assertEqual(response.status, 200)
            self.assertTrue(response.is_complete)
            self.assertEqual(response.body.count(b"id: "), 40)

    async def test_streams_are_whole_when_their_sender_stops(self):
        callers = await self.start_streams()
        await asyncio.gather(self.assert_whole(callers), self.stop(self.sender))

    async def test_streams_are_whole_when_their_receiver_stops(self):
        callers = await self.start_streams()
        await asyncio.gather(
            self.assert_whole(callers), self.stop(self.receivers[0])
        )

    async def test_an_idle_connection_does_not_delay_the_stop_of_its_sender(
        self,
    ):
        caller = await self.connect()
        await caller.send("/read/x")
        self.assertEqual((await caller.receive()).status, 200)
        self.assert_relayed()
        loop = asyncio.get_running_loop()
        started = loop.time()
        self.sender.begin_shutdown()
        async with asyncio.timeout(8.0):
            self.assertEqual(await caller.reader.read(), b"")
            caller.close()
            await self.sender.run()
        accept_s = self.sender.settings.stop.accept_s
        self.assertLess(loop.time() - started, accept_s + 2.0)

    async def test_a_response_announces_the_close_when_its_sender_stops(self):
        self.plain.response_delay_s = 1.0
        caller = await self.connect()
        await caller.send("/book/x")
        await self.fleet.wait_until(lambda: self.plain.received)
        self.sender.begin_shutdown()
        response = await caller.receive()
        self.assertEqual(response.status, 200)
        self.assertEqual(response.headers.get("Connection"), "close")
        self.assertEqual(await caller.reader.read(), b"")

    async def test_a_stopping_router_relays_nothing(self):
        self.sender.begin_shutdown()
        response = await self.fleet.call("/read/x")
        self.assertEqual(response.status, 200)
        self.assert_served_here()

    async def test_a_stopping_router_accepts_nothing(self):
        receiver = self.receivers[0]
        receiver.begin_shutdown()
        # The sender has received no report of it yet.
        peers = list(self.sender.relaying._peers)
        self.sender.relaying._usable_peers = lambda now: peers
        self.sender.relaying._peers = peers
        response = await self.fleet.call("/read/x")
        self.assertEqual(response.status, 200)
        self.assert_served_here()
        self.assertEqual(self.counter("relay_refused"), 1)


class PeerThatDoesNotAcceptTest(RelayCase):
    patience = 1

    async def call_served_here(self):
        loop = asyncio.get_running_loop()
        started = loop.time()
        response = await self.fleet.call("/book/x", request_id="b1")
        self.assertLess(loop.time() - started, MAX_SILENCE_S)
        self.assertEqual(response.status, 200)
        self.assertEqual(self.plain.executed, ["b1"])
        self.assert_served_here()

    async def listen_instead(self, serve):
        """Replaces the listener of the receiver, as one of another version."""
        receiver = self.receivers[0]
        relaying = receiver.relaying
        relaying._may_listen_at = float("inf")
        relaying.receiver.close()
        address = relay_address(receiver.settings.listen.peers)
        host, _, port = address.rpartition(":")
        # The listener is closed in the next iteration of the event loop.
        await asyncio.sleep(0.05)
        server = await asyncio.start_server(serve, host, int(port))
        self.addCleanup(server.close)

    async def test_a_busy_one_refuses(self):
        self.receivers[0].relaying.decision.cpu = 0.9
        await self.call_served_here()
        self.assertEqual(self.counter("relay_refused"), 1)
        self.assertEqual(self.counter("relay_rejected", self.receivers[0]), 1)
        # It is not asked again at once.
        await self.fleet.call("/read/x")
        self.assertEqual(self.counter("relay_refused"), 1)

    async def test_a_silent_one_is_given_up(self):
        async def serve(reader, writer):
            await reader.read()
            writer.close()

        await self.listen_instead(serve)
        await self.call_served_here()
        self.assertEqual(self.counter("relay_failed"), 1)

    async def test_one_that_closes_is_given_up(self):
        async def serve(reader, writer):
            await reader.read(1)
            writer.close()

        await self.listen_instead(serve)
        await self.call_served_here()
        self.assertEqual(self.counter("relay_failed"), 1)

    async def test_one_of_an_older_version_does_not_listen(self):
        self.receivers[0].relaying._may_listen_at = float("inf")
        self.receivers[0].relaying.receiver.close()
        await asyncio.sleep(0.05)
        await self.call_served_here()
        self.assertEqual(self.counter("relay_failed"), 1)

    async def test_one_that_answers_late_gets_no_bytes_of_the_caller(self):
        received = asyncio.get_running_loop().create_future()

        async def serve(reader, writer):
            data = b""
            # The sender has reset the connection by then.
            with contextlib.suppress(ConnectionError, RuntimeError):
                await asyncio.sleep(0.5)
                writer.write(b"+")
                data = await reader.read()
            received.set_result(data)

        await self.listen_instead(serve)
        await self.call_served_here()
        async with asyncio.timeout(2.0):
            self.assertNotIn(b"HTTP", await received)

    async def test_another_key(self):
        self.receivers[0].link.codec = FrameCodec([b"another key"])
        await self.call_served_here()
        self.assertEqual(self.counter("relay_refused"), 1)
        self.assertEqual(self.counter("relay_invalid", self.receivers[0]), 1)

    async def test_a_key_that_the_receiver_does_not_know_yet(self):
        self.receivers[0].link.codec = None
        await self.call_served_here()
        self.assertEqual(self.counter("relay_refused"), 1)

    async def test_a_key_that_the_sender_does_not_know_yet(self):
        self.sender.link.codec = None
        await self.call_served_here()
        self.assertEqual(self.counter("relay_refused"), 0)

    async def test_one_of_another_zone_is_not_asked(self):
        for state in self.sender.peers.alive(0.0).values():
            self.assertEqual(state.report.zone, "z1")
        usable = self.sender.relaying._usable_peers
        now = self.sender._clock()
        self.assertEqual(len(usable(now)), 1)
        parts = self.sender.relaying._parts
        settings = type(parts.settings)(
            **{
                f: getattr(parts.settings, f)
                for f in parts.settings.__struct_fields__
            }
            | {"zone": "z2"}
        )
        self.sender.relaying._parts = parts._replace(settings=settings)
        self.assertEqual(usable(now), [])


class SecondPeerTest(RelayCase):
    routers = 3

    async def test_another_peer_is_asked_if_one_refuses(self):
        for number in range(4):
            for router in self.receivers:
                router.relaying.decision.cpu = 0.0
            self.receivers[number % 2].relaying.decision.cpu = 0.9
            self.sender.relaying.decision._paused_until.clear()
            response = await self.fleet.call("/read/x", request_id=f"r{number}")
            self.assertEqual(response.status, 200)
        self.assert_relayed(4)


class SilentSecondPeerTest(RelayCase):
    routers = 3
    patience = 1

    async def test_a_caller_waits_for_one_silent_peer_only(self):
        # They answer nothing, as processes that are suspended.
        patch = mock.patch.object(
            receiving._PreambleReader, "data_received", lambda *data: None
        )
        patch.start()
        self.addCleanup(patch.stop)
        response = await self.fleet.call("/read/x")
        self.assertEqual(response.status, 200)
        self.assertEqual(self.counter("relay_failed"), 1)
        self.assert_served_here()


class ListenerTest(RelayCase):
    async def open(self):
        address = relay_address(self.receivers[0].settings.listen.peers)
        caller = await CallerConnection.open(address)
        self.addCleanup(caller.close)
        return caller

    def preamble(self, receiver="router1", caller="127.0.0.1:1"):
        return encode_preamble(
            self.sender.link.codec, "router0", 1, receiver, caller
        )

    async def answer_to(self, *parts):
        caller = await self.open()
        for part in parts:
            caller.writer.write(part)
            await asyncio.sleep(0.02)
        async with asyncio.timeout(2.0):
            return await caller.reader.read(1)

    async def test_a_preamble_in_parts_is_accepted(self):
        data = self.preamble()
        self.assertEqual(
            await self.answer_to(data[:1], data[1:9], data[9:]), b"+"
        )

    async def test_a_full_receiver_refuses(self):
        # A receiver whose processor is idle may be full: of connections
        # without a request, or of bodies that never end.
        bounds = self.receivers[0].caller_bounds
        limit = bounds.descriptors.limit
        bounds.descriptors.register(limit)
        self.assertEqual(await self.answer_to(self.preamble()), b"-")
        bounds.descriptors.register(-limit)
        usage = CallerUsage("127.0.0.9")
        self.receivers[0].caller_bounds._memory.update(
            usage, bounds._memory.limit_bytes, 0, Stage.COMPLETE, 0.0
        )
        self.assertEqual(await self.answer_to(self.preamble()), b"-")
        bounds._memory.remove(usage)
        self.assertEqual(await self.answer_to(self.preamble()), b"+")

    async def test_memory_counts_for_the_caller_and_not_for_its_sender(self):
        # Callers that one host relays would be refused for each other.
        head = (
            b"POST /book/x HTTP/1.1\r\nHost: h\r\nAttempt-Id: r1\r\n"
            b"Content-Length: 60000\r\n\r\n"
        )
        callers = []
        for number in (1, 2):
            caller = await self.open()
            address = f"127.0.0.{number}:1"
            caller.writer.write(self.preamble(caller=address))
            self.assertEqual(await caller.reader.read(1), b"+")
            caller.writer.write(head + b"x" * 50_000)
            callers.append(caller)
        memory = self.receivers[0].caller_bounds._memory
        await self.fleet.wait_until(lambda: len(memory._usages) == 2)
        self.assertEqual(
            {usage.peer for usage in memory._usages}, {"127.0.0.1", "127.0.0.2"}
        )

    async def test_what_is_no_preamble_is_refused(self):
        for data in (
            b"GET / HTTP/1.1\r\n\r\n",
            b"\x00\x10" + b"x" * 16,
            self.preamble("another router"),
            # A sender has to wait for the answer.
            self.preamble() + b"GET",
        ):
            with self.subTest(data=data):
                self.assertEqual(await self.answer_to(data), b"-")
        self.assertFalse(self.receivers[0].relaying.receiver.connections)

    async def test_a_changed_preamble_is_refused(self):
        data = bytearray(self.preamble())
        data[-1] ^= 1
        self.assertEqual(await self.answer_to(bytes(data)), b"-")

    async def test_a_silent_connection_is_closed(self):
        caller = await self.open()
        async with asyncio.timeout(3.0):
            self.assertEqual(await caller.reader.read(1), b"")
        await self.fleet.wait_until(
            lambda: not self.receivers[0].relaying.receiver.pending
        )


class DefaultTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_small_fleet_does_not_listen(self):
        async with EdgeFleet(routers=2) as fleet:
            await asyncio.sleep(0.3)
            for router in fleet.routers:
                self.assertFalse(router.relaying.receiver.is_listening)

    async def test_a_large_fleet_listens(self):
        async with EdgeFleet(routers=3, mesh_most=2) as fleet:
            await fleet.wait_until(
                lambda: all(
                    r.relaying.receiver.is_listening for r in fleet.routers
                )
            )

    async def test_it_can_be_turned_off_in_a_large_fleet(self):
        async with EdgeFleet(routers=3, mesh_most=2, relay=False) as fleet:
            await fleet.wait_until(lambda: fleet.routers[0].fleet.hubs())
            await asyncio.sleep(0.3)
            for router in fleet.routers:
                self.assertFalse(router.relaying.receiver.is_listening)


if __name__ == "__main__":
    unittest.main()
