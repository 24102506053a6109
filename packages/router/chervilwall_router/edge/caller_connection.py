"""HTTP/1.1 connection of a caller, which serves requests in order."""

import asyncio
import logging
from collections import deque
from typing import cast

import httptools
from chervilwall import events
from chervilwall.caller_memory import CallerUsage, Stage
from chervilwall.http_messages import InboundRequest
from chervilwall.limit_history import LimitHistory

from chervilwall_router.edge._dial import (
    SLOW_READER_ACK_TIMEOUT_MS,
    set_reset_on_close,
    set_tcp_options,
    unread_bytes,
)
from chervilwall_router.edge.caller_closes import (
    CallerClose,
    CloseReason,
)
from chervilwall_router.edge.caller_context import (
    ActiveRequest,
    ConnectionContext,
    QueuedRequest,
)
from chervilwall_router.edge.caller_response import CallerResponse
from chervilwall_router.edge.partial_request import PartialRequest
from chervilwall_router.problem import EXECUTED_UNKNOWN, Problem

LOG = logging.getLogger(__name__)
# Reading pauses once a caller has sent this much ahead of a pending response.
MAX_PIPELINED_BYTES = 1 << 17
# Bytes that are parsed at once: they may hold many requests, each of which
# takes much more memory than its bytes.
PARSED_BYTES = 1 << 13
# What a connection holds counts in the sum over all from this size on, so that
# most requests cost no accounting.
MIN_COUNTED_BYTES = 1 << 13
# Unsent bytes of a response at which the source of the response is paused.
MAX_WRITE_BUFFER_BYTES = 1 << 16
# Time for which a connection is still read after a response to a request that
# was not read completely. It is shorter for a caller that has used up its time.
LINGER_S = 2.0
TIMEOUT_LINGER_S = 0.25
# The same for an idle connection. A caller whose request crosses the close gets
# no answer, and some of them learn that only at the end of this time.
IDLE_LINGER_S = 0.15
# Time that a caller has for the first bytes of a new connection before the
# connection counts as idle while the router stops.
FIRST_REQUEST_S = 0.5
# Number of requests whose ids are logged if they are dropped with a connection.
MAX_LOGGED_REQUESTS = 8
_CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"


class CallerConnection(asyncio.Protocol):
    """Parse the requests of one caller and serve them one at a time.

    Pipelined requests are buffered until the response before them is sent.

    Args:
        context (ConnectionContext): Objects that all connections share.
    """

    def __init__(self, context: ConnectionContext) -> None:
        self._context = context
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request: PartialRequest | None = None
        self._queue: deque[QueuedRequest] = deque()
        self._pipelined: deque[bytes] = deque()
        self._pipelined_bytes = 0
        self._queued_bytes = 0
        # What is counted in the sum over all connections.
        self._usage: CallerUsage | None = None
        # Why reading is paused: too much is pipelined, or too much is held by
        # all connections.
        self._has_too_much_pipelined = False
        self._is_held = False
        self._active: ActiveRequest | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_malformed = False
        # Whether the parser is fed a head again, and whether that is a whole
        # message.
        self._is_replaying_head = False
        self._has_replayed_message = False
        # Start of the period that was last found to exceed its timeout.
        self._overdue_since = -1.0
        self._last_active_at = 0.0
        self._has_received = False
        # Whether the response ends with the connection, and whether the
        # connection closes once its last bytes are sent.
        self._is_unframed = False
        self._closes_when_sent = False
        # Time to linger after a request that was not read completely.
        self._linger_s = 0.0
        self._linger_timer: asyncio.TimerHandle | None = None

    def __repr__(self) -> str:
        return f"CallerConnection(serving={self._active is not None})"

    # Callbacks of the transport.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the socket options."""
        # Transports of uvloop do not subclass asyncio.Transport.
        self._transport = tcp = cast(asyncio.Transport, transport)
        set_tcp_options(
            tcp.get_extra_info("socket"), SLOW_READER_ACK_TIMEOUT_MS
        )
        tcp.set_write_buffer_limits(high=MAX_WRITE_BUFFER_BYTES)
        self._last_active_at = self._context.clock()
        self._context.connections.add(self)
        self._context.bounds.add_connection()

    def data_received(self, data: bytes) -> None:
        """Parses bytes, or buffers them while a response is pending."""
        if self.closed():
            return
        self._last_active_at = self._context.clock()
        self._has_received = True
        if self._active is None and not self._queue and not self._pipelined:
            self._parse(data)
        else:
            self._pipelined.append(data)
            self._pipelined_bytes += len(data)
            if self._pipelined_bytes > MAX_PIPELINED_BYTES:
                self._has_too_much_pipelined = True
                self._update_reading()
        self._count_held()

    def connection_lost(self, exc: Exception | None) -> None:
        """Drops the queue; cancels the active request if it may be."""
        self._transport = None
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._context.connections.discard(self)
        self._queue.clear()
        self._clear_pipelined()
        self._request = None
        self._forget_held()
        self.resume_writing()
        if self._active is not None:
            self._active.on_disconnect()

    def pause_writing(self) -> None:
        """Records that the write buffer is full, as the caller reads slowly."""
        if self._drained is None:
            self._drained = asyncio.get_running_loop().create_future()
        self._count_held()

    def resume_writing(self) -> None:
        """Wakes writers after the caller has caught up or disconnected."""
        drained, self._drained = self._drained, None
        if drained is not None and not drained.done():
            drained.set_result(None)
        self._count_held()
        if self._closes_when_sent:
            self._closes_when_sent = False
            self._close_without_reset()

    # Bounds over all connections.

    def _count_held(self) -> None:
        """Records what this connection holds, unless that is little."""
        held, rest = self._pipelined_bytes + self._queued_bytes, 0
        request, active = self._request, self._active
        if request is not None:
            held += request.held_bytes
            rest = request.rest_bytes
        if active is not None:
            held += active.held_bytes
            if self._pipelined:
                rest += max(0, MAX_PIPELINED_BYTES - self._pipelined_bytes)
        if self._drained is not None and self._transport is not None:
            held += self._transport.get_write_buffer_size()
        usage, bounds = self._usage, self._context.bounds
        if held < MIN_COUNTED_BYTES or self._transport is None:
            if usage is not None:
                self._usage = None
                bounds.remove(usage)
                self.release()
            return
        if usage is None:
            usage = self._usage = CallerUsage(self.caller_address())
        is_reading = request is not None and not (active or self._queue)
        stage = Stage.READING if is_reading else Stage.COMPLETE
        bounds.update(usage, self, held, rest, stage)

    def _forget_held(self) -> None:
        """Records that the connection ended, and what still runs."""
        usage, self._usage = self._usage, None
        bounds, active = self._context.bounds, self._active
        bounds.remove_connection()
        if usage is None:
            return
        if active is None:
            bounds.remove(usage)
            return
        # A request that was sent to a target may run on without its caller.
        bounds.update(usage, self, active.held_bytes, 0, Stage.COMPLETE)
        active.task.add_done_callback(lambda _: bounds.remove(usage))

    def caller_address(self) -> str:
        """Returns the address of the caller, "" if it is unknown."""
        assert self._transport is not None
        peername = self._transport.get_extra_info("peername")
        return peername[0] if peername else ""

    def hold(self) -> None:
        """Pauses reading until release() is called."""
        self._is_held = True
        self._update_reading()

    def release(self) -> None:
        """Ends hold()."""
        if self._is_held:
            self._is_held = False
            self._update_reading()

    def _update_reading(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._is_held or self._has_too_much_pipelined:
            transport.pause_reading()
        else:
            transport.resume_reading()

    def _clear_pipelined(self) -> None:
        self._pipelined.clear()
        self._pipelined_bytes = 0
        self._has_too_much_pipelined = False

    def give_up(self, problem: Problem, *, is_brief: bool = False) -> None:
        """Refuses a request that has not arrived completely, and closes.

        Does nothing if an earlier request is still being served.

        Args:
            problem (Problem): Why it is refused.
            is_brief (bool): Whether the connection is to end soon, even if its
                caller may miss the refusal. Defaults to False.
        """
        if self.closed() or self._active is not None or self._queue:
            if self._usage is not None and self._usage.is_given_up:
                # The sum no longer has it, so it is counted anew.
                self._usage = None
                self.release()
            return
        self._drop_request()
        linger_s = TIMEOUT_LINGER_S if is_brief else LINGER_S
        self._refuse(CallerResponse(self, lambda: True), problem, linger_s)

    def _drop_request(self) -> None:
        """Drops what was read of a request, and what the parser keeps of it."""
        self._request = None
        self._parser = httptools.HttpRequestParser(self)
        if self._usage is not None:
            usage, self._usage = self._usage, None
            self._context.bounds.remove(usage)
        self.release()

    def _is_without_request(self) -> bool:
        is_serving = self._active is not None or self._queue or self._pipelined
        return not (self.closed() or is_serving or self._request is not None)

    def idle_s(self, now: float) -> float | None:
        """Returns the time without a request, in seconds, None if it has one.

        Also None for a connection that is new or has unread or unsent bytes.
        """
        idle_s = now - self._last_active_at
        is_new = not self._has_received and idle_s < FIRST_REQUEST_S
        if is_new or not self._is_without_request() or self.has_unsent_data():
            return None
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        return None if unread_bytes(sock) else idle_s

    def receive_rate(self, now: float) -> float | None:
        """Returns the bytes per second of an incomplete request, or None."""
        request = self._request
        is_serving = self._active is not None or self._queue
        if request is None or is_serving or self.closed():
            return None
        # A request that has just begun counts as fast.
        age_s = now - request.started_at
        return request.received_bytes / age_s if age_s > 0 else None

    def close_for_descriptor(self) -> None:
        """Closes an idle connection without a reset."""
        self._close_idle(CloseReason.DESCRIPTORS)

    # Methods for responses.

    def write(self, data: bytes) -> "asyncio.Future[None] | None":
        """Sends bytes.

        Returns:
            A future that is done when a slow caller has caught up, or None.
        """
        if self._transport is not None:
            self._transport.write(data)
        if self._drained is not None:
            self._count_held()
        return self._drained

    def closed(self) -> bool:
        """Returns whether the connection has ended or is closing."""
        return (
            self._transport is None
            or self._transport.is_closing()
            or self._linger_timer is not None
            or self._closes_when_sent
        )

    def begin_unframed(self) -> None:
        """Prepares for a body that ends with the connection.

        Until end_answer() is called and all bytes are sent, the connection is
        reset if it ends, also with the process.
        """
        self._is_unframed = True
        if self._transport is not None:
            sock = self._transport.get_extra_info("socket")
            set_reset_on_close(sock, True)

    def end_answer(self, *, close: bool) -> None:
        """Proceeds to the next request, or closes after sending all bytes."""
        self._active = None
        if close:
            self._close_after_response()
            self._count_held()
            return
        if self._usage is not None:
            self._count_held()
        self._last_active_at = self._context.clock()
        asyncio.get_running_loop().call_soon(self._process_pipelined)

    def _close_after_response(self) -> None:
        """Closes the connection after a response that announced it.

        Bytes that are unread, or that arrive after the close, reset the
        connection, and a reset may discard the response before its caller has
        read it. So if the caller may still be sending, only this side is
        closed, and what arrives is discarded for a while.
        """
        self._record_close(CloseReason.RESPONSE_SENT)
        self._queue.clear()
        self._queued_bytes = 0
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        if self._is_unframed and self.has_unsent_data():
            self._closes_when_sent = True
            transport.set_write_buffer_limits(high=0)
            return
        self._close_without_reset()

    def _close_without_reset(self) -> None:
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        sock = transport.get_extra_info("socket")
        if self._is_unframed:
            set_reset_on_close(sock, False)
        if not self._linger_s and not unread_bytes(sock):
            transport.close()
            return
        loop = asyncio.get_running_loop()
        self._linger_timer = loop.call_later(
            self._linger_s or LINGER_S, transport.close
        )
        self._clear_pipelined()
        self._is_held = False
        self._update_reading()
        transport.write_eof()

    def disconnect(self, reason: CloseReason, *, abort: bool) -> None:
        """Closes the connection in the middle of a response."""
        self._record_close(reason)
        self._active = None
        if self._transport is None:
            return
        if abort:
            sock = self._transport.get_extra_info("socket")
            set_reset_on_close(sock, True)
            self._transport.abort()
        else:
            self._transport.close()

    def _record_close(self, reason: CloseReason) -> None:
        """Records that the connection is about to be closed here."""
        transport, active = self._transport, self._active
        if transport is None or transport.is_closing():
            return
        in_socket = unread_bytes(transport.get_extra_info("socket"))
        queued = [item.req for item in self._queue]
        queued_ids = [r.id for r in queued if isinstance(r, InboundRequest)]
        self._context.closes.record(
            CallerClose(
                reason,
                active.req.id if active is not None else "",
                len(self._queue),
                tuple(queued_ids[:MAX_LOGGED_REQUESTS]),
                in_socket + self._pipelined_bytes,
                transport.get_write_buffer_size(),
                self._context.clock() - self._last_active_at,
            )
        )

    def has_unsent_data(self) -> bool:
        """Returns whether the write buffer holds bytes."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def close_if_timed_out(self, history: LimitHistory, now: float) -> None:
        """Closes the connection if its caller exceeds a timeout.

        A request that has begun is refused before.
        """
        if self.closed() or self._active is not None:
            return
        if self._queue or self._pipelined:
            # What has arrived behind a response that just ended is read first.
            return
        if self.has_unsent_data():
            # The connection is idle once its caller has the whole response.
            self._last_active_at = now
            return
        request = self._request
        if request is None:
            since = self._last_active_at
            limits = history.since(since)
            timed_out = now - since > limits.idle_timeout_s
        else:
            since = request.phase_started_at
            limits = history.since(request.started_at)
            timed_out = request.exceeds_timeout(limits, now)
        if not timed_out or self._may_have_arrived(since):
            return
        if request is None:
            self._close_idle(CloseReason.IDLE)
            return
        self._drop_request()
        problem = request.timeout_problem()
        answer = CallerResponse(self, lambda: True)
        self._refuse(answer, problem, TIMEOUT_LINGER_S)

    def close_if_idle(self) -> None:
        """Closes the connection if it carries no request, as the router stops.

        Bytes that are unread may be a request, and the caller of a new
        connection is about to send one.
        """
        if not self._is_without_request():
            return
        idle_s = self._context.clock() - self._last_active_at
        if not self._has_received and idle_s < FIRST_REQUEST_S:
            return
        assert self._transport is not None
        sock = self._transport.get_extra_info("socket")
        if not self.has_unsent_data() and not unread_bytes(sock):
            self._close_idle(CloseReason.STOPPED)

    def _close_idle(self, reason: CloseReason) -> None:
        """Closes a connection without a request.

        A request that crosses the close is discarded, and does not reset the
        connection.
        """
        self._record_close(reason)
        self._linger_s = IDLE_LINGER_S
        self._close_without_reset()

    def _may_have_arrived(self, since: float) -> bool:
        """Returns whether bytes that arrived in time may still be unread.

        They may after the event loop was held up. Closing would lose them, so
        a verdict on each period is put off once, until the next sweep.

        Args:
            since (float): Monotonic time at which the period began.
        """
        assert self._transport is not None
        if self._overdue_since == since:
            return False
        self._overdue_since = since
        return unread_bytes(self._transport.get_extra_info("socket")) > 0

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a request."""
        if self._is_replaying_head:
            return
        limits = self._context.handler.limits()
        self._request = PartialRequest(limits, self._context.clock())

    def on_url(self, url: bytes) -> None:
        """Collects a part of the URL."""
        if self._request is not None:
            self._request.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; trailers after the body are ignored."""
        if self._request is not None:
            self._request.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Decodes and validates the head.

        Sends a 100 response to a caller that expects one, or queues the
        refusal if the head is invalid.
        """
        request = self._request
        if request is None:
            return
        request.method = self._parser.get_method().decode("latin1")
        request.read_head(self._context.wire, self._context.clock())
        # A 100 response must not be written into a pending response to an
        # earlier request.
        is_next = self._active is None and not self._queue
        if request.expects_continue and request.problem is None and is_next:
            self.write(_CONTINUE_RESPONSE)
        if request.problem is not None:
            self._enqueue_request()

    def on_body(self, chunk: bytes) -> None:
        """Collects a chunk of the body."""
        if self._request is None:
            return
        self._request.add_body(chunk)
        if self._request.problem is not None:
            self._enqueue_request()

    def on_message_complete(self) -> None:
        """Queues the complete request.

        For one that offers an upgrade, this is called at the end of its head.
        """
        if self._is_replaying_head:
            self._has_replayed_message = True
        elif not self._parser.should_upgrade():
            self._enqueue_request()

    def _enqueue_request(self) -> None:
        request, self._request = self._request, None
        if request is None:
            return
        keep_alive = (
            self._parser.should_keep_alive() and request.problem is None
        )
        answer = CallerResponse(
            self,
            lambda: self._is_last_before_close() or not keep_alive,
            chunked=self._parser.get_http_version() == "1.1",
            bodiless=request.method == "HEAD",
        )
        queued = QueuedRequest(request.build(), answer)
        self._queued_bytes += queued.held_bytes
        self._queue.append(queued)

    def _is_last_before_close(self) -> bool:
        """Returns whether to close after a response, as no request is behind.

        So it is while the router stops or runs short of descriptors. Requests
        that have arrived behind the current one are served or refused first: a
        close that its response announces would drop them.
        """
        context = self._context
        is_short = context.bounds.descriptors.announces_closes(
            len(context.connections), len(context.tasks)
        )
        if not is_short and not context.is_shutting_down():
            return False
        if self._queue or self._pipelined or self._request is not None:
            return False
        transport = self._transport
        return transport is None or not unread_bytes(
            transport.get_extra_info("socket")
        )

    # Serving of requests in order.

    def _parse(self, data: bytes) -> None:
        """Parses bytes up to the end of a request, and keeps the rest.

        What follows a request within PARSED_BYTES is parsed with it.
        """
        for begin in range(0, len(data), PARSED_BYTES):
            if self._active is not None or self._queue:
                self._pipelined.appendleft(data[begin:])
                self._pipelined_bytes += len(data) - begin
                return
            self._parse_part(data[begin : begin + PARSED_BYTES])

    def _parse_part(self, data: bytes) -> None:
        if self._is_malformed or self.closed():
            return
        before = self._request
        was_in_head = before is None or not before.has_head
        unparsed = data
        while unparsed:
            unparsed = self._feed_parser(unparsed)
        request = self._request
        if request is not None and request.add_bytes(
            len(data), was_in_head=was_in_head or request is not before
        ):
            self._enqueue_request()
        self._serve_next()

    def _feed_parser(self, data: bytes) -> bytes:
        """Parses bytes; returns those after an upgrade that is declined."""
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade as exc:
            self._decline_upgrade()
            return b"" if self._is_malformed else data[exc.args[0] :]
        except httptools.HttpParserCallbackError:
            self._is_malformed = True
            events.log_failure(LOG, events.TASK_FAILED)
        except httptools.HttpParserError as exc:
            self._is_malformed = True
            LOG.debug("malformed request: %s", exc)
        return b""

    def _decline_upgrade(self) -> None:
        """Reads on as if a request had not offered an upgrade.

        The parser ends such a message at its head (RFC 9110, section 7.8). A
        new one gets a head with the same framing, and then the body.
        """
        request, self._request = self._request, None
        if request is None or request.method == "CONNECT":
            self._is_malformed = True
            return
        head = request.framing_head(self._parser.get_http_version())
        self._parser = httptools.HttpRequestParser(self)
        self._is_replaying_head = True
        self._has_replayed_message = False
        try:
            self._parser.feed_data(head)
        except httptools.HttpParserError:
            self._is_malformed = True
        self._is_replaying_head = False
        self._request = request
        if self._has_replayed_message:
            self._enqueue_request()

    def _process_pipelined(self) -> None:
        """Serves queued requests, then parses buffered bytes."""
        if self._active is None:
            self._serve_next()
        if self._active is None and self._pipelined:
            data = b"".join(self._pipelined)
            self._clear_pipelined()
            self._update_reading()
            self._parse(data)
            self._count_held()

    def _serve_next(self) -> None:
        if self._active is not None or self.closed():
            return
        if self._queue:
            self._serve()
        elif self._is_malformed:
            problem = Problem(400, "malformed_request", "Not a request.")
            self._refuse(CallerResponse(self, lambda: True), problem)

    def _serve(self) -> None:
        """Serves the first request of the queue, or refuses it."""
        # The bounds close connections that are idle or receive slowly. The
        # request stays in the queue until then, so that its own connection is
        # neither.
        queued, context = self._queue[0], self._context
        req, answer = queued
        problem: Problem | None
        if isinstance(req, Problem):
            problem = req
        else:
            problem = context.bounds.refusal(
                context.connections, len(context.tasks)
            )
        self._queue.popleft()
        self._queued_bytes -= queued.held_bytes
        if problem is not None:
            self._refuse(answer, problem)
            return
        assert isinstance(req, InboundRequest)
        coro = self._handle(req, answer)
        task = asyncio.get_running_loop().create_task(coro)
        may_cancel = self._context.handler.may_cancel(req)
        self._active = ActiveRequest(
            req, task, may_cancel, answer, queued.held_bytes
        )
        self._context.tasks.add(task)
        task.add_done_callback(self._context.tasks.discard)

    async def _handle(
        self, req: InboundRequest, answer: CallerResponse
    ) -> None:
        try:
            await self._context.handler.handle(req, answer)
        except asyncio.CancelledError:
            LOG.debug("request %s cancelled", req.id)
        except Exception:
            events.log_failure(LOG, events.TASK_FAILED, request=req.id)
        finally:
            if not answer.ended:
                _fail(answer)

    def _refuse(
        self,
        answer: CallerResponse,
        problem: Problem,
        linger_s: float = LINGER_S,
    ) -> None:
        """Refuses a request that was not read completely, and closes."""
        events.log_event(
            LOG,
            events.REQUEST_REFUSED,
            step="read request",
            status=problem.status,
            reason=problem.reason,
        )
        self._linger_s = linger_s
        answer.refuse(problem, close=True)


def _fail(answer: CallerResponse) -> None:
    """Ends a response that its handler did not end."""
    if not answer.started:
        detail = "The router failed; the request may have run."
        answer.refuse(Problem(500, "internal", detail, EXECUTED_UNKNOWN))
    if not answer.ended:
        answer.abort(CloseReason.HANDLER_FAILED)
