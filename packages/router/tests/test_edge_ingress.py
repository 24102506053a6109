"""Tests of connections of callers: order of requests and accepting."""

import asyncio
import socket
import struct
import time
import unittest
from unittest import mock

import uvloop
from chervilwall.caller_memory import MAX_PAUSE_S, CallerMemory
from chervilwall.descriptor_budget import DescriptorBudget
from chervilwall.limit_history import LimitHistory
from chervilwall.routing import CallerLimits
from chervilwall_router.edge import caller_bounds, caller_connection
from chervilwall_router.edge.caller_bounds import CallerBounds
from chervilwall_router.edge.caller_closes import CallerCloseLog
from chervilwall_router.edge.caller_connection import (
    CallerConnection,
)
from chervilwall_router.edge.caller_context import ConnectionContext
from chervilwall_router.edge.ingress import Ingress
from chervilwall_router.edge.settings import ShutdownSettings
from chervilwall_router.edge.shutdown import Shutdown, ShutdownParts
from chervilwall_router.metrics import RouterMetrics
from headers import HeaderFormat


class _Handler:
    """Hold requests until a test completes them."""

    def __init__(self):
        self.received = []

    def limits(self):
        return CallerLimits()

    def may_cancel(self, req):
        return True

    # Whether responses end with their connection.
    is_unframed = False

    async def handle(self, req, answer):
        done = asyncio.get_running_loop().create_future()
        self.received.append((req, done))
        await done
        known_end = not self.is_unframed
        answer.send(200, (), req.id.encode(), has_known_end=known_end)


def make_bounds(limit_bytes=1 << 25, descriptors=2000, metrics=None):
    return CallerBounds(
        CallerMemory(limit_bytes),
        DescriptorBudget(descriptors),
        metrics or RouterMetrics(),
        time.monotonic,
    )


def make_ingress(handler, bounds=None):
    return Ingress(
        handler,
        HeaderFormat(),
        time.monotonic,
        RouterMetrics(),
        bounds or make_bounds(),
        1 << 16,
    )


def request(number):
    return (
        f"POST /x HTTP/1.1\r\nHost: h\r\nAttempt-Id: r{number}\r\n"
        f"Content-Length: 4\r\n\r\nbod{number}"
    ).encode()


class CallerConnectionTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.handler = _Handler()
        parts = ConnectionContext(
            self.handler,
            HeaderFormat(),
            time.monotonic,
            lambda: False,
            set(),
            set(),
            CallerCloseLog(RouterMetrics()),
            make_bounds(),
        )
        self.conn = CallerConnection(parts)
        self.transport = mock.MagicMock()
        self.transport.is_closing.return_value = False
        self.transport.get_write_buffer_size.return_value = 0
        self.conn.connection_made(self.transport)

    async def run_loop(self):
        for _ in range(5):
            await asyncio.sleep(0)

    def received(self):
        return [(req.id, req.body) for req, _ in self.handler.received]

    async def test_bytes_that_come_as_an_answer_ends_stay_in_order(self):
        second = request(2)
        self.conn.data_received(request(1))
        await self.run_loop()
        self.conn.data_received(second[:40])
        end_answer = self.conn.end_answer

        def end_and_receive(*, close):
            end_answer(close=close)
            self.conn.data_received(second[40:])

        self.conn.end_answer = end_and_receive
        self.handler.received[0][1].set_result(None)
        await self.run_loop()
        self.assertEqual(self.received(), [("r1", b"bod1"), ("r2", b"bod2")])

    async def test_requests_sent_ahead_are_served_one_by_one(self):
        self.conn.data_received(request(1) + request(2) + request(3)[:20])
        await self.run_loop()
        self.assertEqual(len(self.received()), 1)
        self.conn.data_received(request(3)[20:])
        for _ in range(3):
            self.handler.received[-1][1].set_result(None)
            await self.run_loop()
        self.assertEqual([r for r, _ in self.received()], ["r1", "r2", "r3"])
        sent = b"".join(c.args[0] for c in self.transport.write.mock_calls)
        self.assertEqual(sent.count(b"HTTP/1.1 200"), 3)
        self.assertLess(sent.index(b"r1"), sent.index(b"r2"))

    async def test_a_request_that_arrived_behind_another_is_not_late(self):
        second = request(2)
        self.conn.data_received(request(1) + second[:-2])
        await self.run_loop()
        self.conn.data_received(second[-2:])
        end_answer = self.conn.end_answer
        history = LimitHistory(CallerLimits())

        def end_and_sweep(*, close):
            end_answer(close=close)
            self.conn.close_if_timed_out(history, time.monotonic() + 100.0)

        self.conn.end_answer = end_and_sweep
        with mock.patch.object(
            caller_connection, "unread_bytes", return_value=0
        ):
            self.handler.received[0][1].set_result(None)
            await self.run_loop()
        self.assertEqual(self.received(), [("r1", b"bod1"), ("r2", b"bod2")])

    async def test_a_caller_that_sends_far_ahead_is_paused(self):
        self.conn.data_received(request(1))
        await self.run_loop()
        for _ in range(3):
            self.conn.data_received(b"x" * 65_536)
        self.transport.pause_reading.assert_called()

    async def test_a_request_that_offers_an_upgrade_gets_one_answer(self):
        offer = b"\r\nConnection: Upgrade\r\nUpgrade: h2c\r\nContent-Length"
        data = request(1).replace(b"\r\nContent-Length", offer)
        self.conn.data_received(data)
        await self.run_loop()
        self.handler.received[0][1].set_result(None)
        await self.run_loop()
        self.assertEqual(self.received(), [("r1", b"bod1")])
        sent = b"".join(c.args[0] for c in self.transport.write.mock_calls)
        self.assertEqual(sent.count(b"HTTP/1.1 "), 1, sent)

    async def test_offers_of_upgrades_change_no_framing(self):
        offer = b"\r\nConnection: keep-alive, Upgrade\r\nUpgrade: h2c"
        sized = request(1).replace(
            b"\r\nContent-Length", offer + b"\r\nContent-Length"
        )
        chunked = (
            b"POST /x HTTP/1.1\r\nHost: a\r\nAttempt-Id: r2"
            + offer
            + b"\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbod2\r\n0\r\n\r\n"
        )
        empty = (
            b"GET /x HTTP/1.1\r\nHost: a\r\nAttempt-Id: r3"
            + offer
            + b"\r\n\r\n"
        )
        data = sized + chunked + empty + request(4)
        for size in (len(data), 7, 1):
            self.setUp()
            for begin in range(0, len(data), size):
                self.conn.data_received(data[begin : begin + size])
            for number in range(4):
                await self.run_loop()
                self.handler.received[number][1].set_result(None)
            await self.run_loop()
            self.assertEqual(
                self.received(),
                [
                    ("r1", b"bod1"),
                    ("r2", b"bod2"),
                    ("r3", b""),
                    ("r4", b"bod4"),
                ],
            )

    async def test_an_unframed_answer_is_reset_until_all_of_it_is_sent(self):
        # The end of the process closes the connection: what is unsent is lost.
        self.handler.is_unframed = True
        self.transport.get_write_buffer_size.return_value = 100
        ends = socket.socketpair()
        for end in ends:
            self.addCleanup(end.close)
        sock = self.transport.get_extra_info.return_value
        sock.fileno.return_value = ends[0].fileno()
        self.conn.data_received(request(1))
        await self.run_loop()
        sock.setsockopt.reset_mock()
        self.handler.received[0][1].set_result(None)
        await self.run_loop()
        self.assertEqual(self.lingers(sock), [(1, 0)])
        self.transport.close.assert_not_called()
        self.transport.set_write_buffer_limits.assert_called_with(high=0)
        self.transport.get_write_buffer_size.return_value = 0
        self.conn.resume_writing()
        self.assertEqual(self.lingers(sock), [(1, 0), (0, 0)])
        self.transport.close.assert_called_once()

    def lingers(self, sock):
        """Returns the SO_LINGER options that were set on a socket."""
        calls = [c.args for c in sock.setsockopt.mock_calls]
        return [
            struct.unpack("ii", value)
            for _, option, value in calls
            if option == socket.SO_LINGER
        ]

    async def test_a_caller_that_leaves_ends_its_request(self):
        self.conn.data_received(request(1))
        await self.run_loop()
        self.conn.connection_lost(None)
        await self.run_loop()
        self.assertTrue(self.handler.received[0][1].cancelled())

    async def test_a_request_that_outlives_its_caller_is_counted(self):
        # Callers that send large bodies and leave would take any memory.
        self.handler.may_cancel = lambda req: False
        bounds = self.conn._context.bounds
        body = b"x" * 100_000
        head = request(1).partition(b"Content-Length")[0]
        self.conn.data_received(
            head + b"Content-Length: %d\r\n\r\n" % len(body) + body
        )
        await self.run_loop()
        self.conn.connection_lost(None)
        self.assertGreater(bounds.total_bytes, len(body))
        self.handler.received[0][1].set_result(None)
        await self.run_loop()
        self.assertEqual(bounds.total_bytes, 0)
        self.assertFalse(bounds._readers)


class AcceptTest(unittest.TestCase):
    """Tests accepting on uvloop while each loop iteration is slow.

    With one accept per iteration, callers of a busy host would time out before
    they are accepted.
    """

    CONNECTIONS = 60
    TURN_S = 0.02

    def test_a_late_loop_takes_many_connections_in_each_turn(self):
        turns = uvloop.run(self.count_turns())
        self.assertLess(turns, self.CONNECTIONS / 4)

    async def count_turns(self):
        ingress = make_ingress(_Handler())
        ingress.listen("127.0.0.1", 0, backlog=128)
        clients = [socket.socket() for _ in range(self.CONNECTIONS)]
        for client in clients:
            client.setblocking(False)
            client.connect_ex(ingress.address)
        turns = 0
        while ingress.stats().connections < self.CONNECTIONS:
            time.sleep(self.TURN_S)
            turns += 1
            await asyncio.sleep(0)
            if turns > 2 * self.CONNECTIONS:
                break
        for client in clients:
            client.close()
        ingress.stop()
        return turns


class _EchoHandler(_Handler):
    """Answer each request at once.

    Attributes:
        aborts_at (float): When the stop aborts unfinished responses.
    """

    def __init__(self, *, grace_s):
        super().__init__()
        self.aborts_at = time.monotonic() + grace_s

    async def handle(self, req, answer):
        answer.send(200, (), req.id.encode())


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Tests connections whose requests cross the end of a planned stop."""

    GRACE_S = 2.0

    async def asyncSetUp(self):
        self.handler = _EchoHandler(grace_s=self.GRACE_S)
        self.ingress = make_ingress(self.handler)
        self.ingress.listen("127.0.0.1", 0, backlog=128)
        self.addAsyncCleanup(self.stop)
        settings = ShutdownSettings(grace_s=self.GRACE_S)
        self.shutdown = Shutdown(
            ShutdownParts(
                lambda: settings,
                self.ingress,
                self.handler,
                lambda: None,
                time.monotonic,
            )
        )

    async def stop(self):
        self.ingress.stop()

    def connect(self):
        caller = socket.create_connection(self.ingress.address)
        caller.setblocking(False)
        self.addCleanup(caller.close)
        return caller

    async def receive(self, caller):
        loop = asyncio.get_running_loop()
        return await asyncio.wait_for(loop.sock_recv(caller, 4096), 1.0)

    async def test_requests_of_connections_not_yet_accepted_are_answered(self):
        callers = [self.connect() for _ in range(40)]
        closing = asyncio.create_task(self.shutdown.close_connections())
        await asyncio.sleep(0.05)
        for number, caller in enumerate(callers):
            caller.send(request(number))
        for caller in callers:
            response = await self.receive(caller)
            self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
        await closing

    async def test_a_connection_that_sends_nothing_delays_no_stop(self):
        self.connect()
        await asyncio.wait_for(
            self.shutdown.close_connections(), 0.6 * self.GRACE_S
        )

    async def test_a_request_that_crosses_the_close_is_not_reset(self):
        caller = self.connect()
        caller.send(request(1))
        await self.receive(caller)
        # It arrives after the check for unread bytes.
        self.ingress.close_idle()
        caller.send(request(2))
        self.assertEqual(await self.receive(caller), b"")
        self.assertEqual(self.handler.received, [])


class DescriptorTest(unittest.IsolatedAsyncioTestCase):
    """Tests requests and connections while descriptors run short."""

    DESCRIPTORS = 400

    async def asyncSetUp(self):
        self.handler = _Handler()
        self.metrics = RouterMetrics()
        self.bounds = make_bounds(
            descriptors=self.DESCRIPTORS, metrics=self.metrics
        )
        self.ingress = make_ingress(self.handler, self.bounds)
        self.ingress.listen("127.0.0.1", 0, backlog=128)
        self.addAsyncCleanup(self.stop)

    async def stop(self):
        self.ingress.stop()

    async def connect(self):
        count = self.ingress.stats().connections
        caller = socket.create_connection(self.ingress.address)
        caller.setblocking(False)
        self.addCleanup(caller.close)
        while self.ingress.stats().connections == count:
            await asyncio.sleep(0.01)
        return caller

    async def receive(self, caller):
        loop = asyncio.get_running_loop()
        return await asyncio.wait_for(loop.sock_recv(caller, 4096), 5.0)

    async def end_requests(self):
        while not self.handler.received:
            await asyncio.sleep(0.01)
        for _, done in self.handler.received:
            done.set_result(None)

    async def test_a_request_does_not_close_its_own_connection(self):
        # It counted as idle while its request was about to begin.
        caller = await self.connect()
        self.bounds.descriptors.register(self.bounds.descriptors.limit - 2)
        caller.send(request(1))
        await self.end_requests()
        response = await self.receive(caller)
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)

    async def test_a_request_behind_another_does_not_refuse_that_one(self):
        # The refusal was read as the answer to the first request, which ran.
        caller = await self.connect()
        self.bounds.descriptors.register(self.bounds.descriptors.limit)
        caller.send(request(1) + request(2)[:20])
        await self.end_requests()
        response = await self.receive(caller)
        self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)

    async def test_responses_announce_closes_while_descriptors_run_short(self):
        # Idle connections that were closed instead met requests of callers that
        # were not told, which got no answer.
        for used, closes in ((0.5, False), (0.8, True)):
            with self.subTest(used=used):
                caller = await self.connect()
                budget = self.bounds.descriptors
                registered = int(used * budget.limit)
                budget.register(registered)
                caller.send(request(1))
                await self.end_requests()
                response = await self.receive(caller)
                self.assertTrue(response.startswith(b"HTTP/1.1 200"), response)
                self.assertEqual(
                    b"connection: close" in response.lower(), closes
                )
                budget.register(-registered)
                self.handler.received.clear()

    async def test_connections_that_are_closing_count_as_closed(self):
        # Each is read for a while longer, in which each search closed as many
        # again.
        callers = [await self.connect() for _ in range(60)]
        for caller in callers:
            caller.send(request(1))
        while len(self.handler.received) < len(callers):
            await asyncio.sleep(0.01)
        for _, done in self.handler.received:
            done.set_result(None)
        for caller in callers:
            await self.receive(caller)
        budget, counters = self.bounds.descriptors, self.metrics.counters
        budget.register(int(0.91 * budget.limit) - len(callers))
        surplus = budget.surplus(len(callers), 0)
        for _ in range(4):
            self.ingress._has_room()
            await asyncio.sleep(caller_bounds.SEARCH_INTERVAL_S)
        self.assertLess(surplus, len(callers) / 2)
        self.assertEqual(counters["callers_closed_idle"], surplus)


class PausedAtStopTest(unittest.IsolatedAsyncioTestCase):
    """Tests connections that are paused for memory as the router stops."""

    def body_head(self, number, size):
        head = request(number).partition(b"Content-Length")[0]
        return head + b"Content-Length: %d\r\n\r\n" % size

    async def test_a_paused_request_is_refused_during_a_stop(self):
        # Pauses ended with the sweeps, which end as the router stops.
        bounds = make_bounds(limit_bytes=1 << 20)
        ingress = make_ingress(_Handler(), bounds)
        ingress.listen("127.0.0.1", 0, backlog=128)
        loop = asyncio.get_running_loop()
        callers = [socket.create_connection(ingress.address) for _ in range(2)]
        for caller in callers:
            self.addCleanup(caller.close)
            caller.setblocking(False)
        size = 600_000
        await loop.sock_sendall(
            callers[0], self.body_head(1, size) + b"x" * size
        )
        while not ingress.request_tasks:
            await asyncio.sleep(0.01)
        await loop.sock_sendall(
            callers[1], self.body_head(2, size) + b"x" * 20_000
        )
        while not bounds._memory.paused_count:
            await asyncio.sleep(0.01)
        ingress.stop()
        until = loop.time() + MAX_PAUSE_S + 0.5
        while loop.time() < until:
            ingress.close_idle()
            await asyncio.sleep(0.05)
        response = await asyncio.wait_for(loop.sock_recv(callers[1], 4096), 1.0)
        self.assertTrue(response.startswith(b"HTTP/1.1 503"), response)
