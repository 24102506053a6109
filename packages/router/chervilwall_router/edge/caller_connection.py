"""A caller's connection: its requests, one after the other."""

import asyncio
import logging
from collections import deque
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol, cast

import httptools
from chervilwall import events
from chervilwall.http_messages import InboundRequest
from chervilwall.protocol import WireFormat
from chervilwall.routing import CallerLimits

from chervilwall_router.edge._dial import tune
from chervilwall_router.edge.caller_answer import CallerAnswer
from chervilwall_router.edge.partial_request import PartialRequest
from chervilwall_router.problem import Problem

LOG = logging.getLogger(__name__)
# Bytes kept of requests that a caller sends before its answer.
MAX_EARLY_BYTES = 1 << 17
# Bytes of answers that wait for a slow caller.
MAX_UNSENT_BYTES = 1 << 16
_CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class RequestHandler(Protocol):
    """The path of a request behind the ingress."""

    def limits(self) -> CallerLimits:
        """Returns the limits in force."""
        ...

    def may_cancel(self, req: InboundRequest) -> bool:
        """Tells whether a request stops when its caller leaves."""
        ...

    def handle(
        self, req: InboundRequest, answer: CallerAnswer
    ) -> Awaitable[None]:
        """Serves a request."""
        ...


class ConnectionParts(NamedTuple):
    """What all connections of callers share.

    Args:
        handler (RequestHandler): What becomes of requests.
        wire (WireFormat): Reads heads.
        clock (Callable): Returns the monotonic time.
        leaving (Callable): Tells whether the router stops, so that
            connections close after their answers.
        connections (set): The connections that are open.
        tasks (set): The tasks of the requests that are served.
    """

    handler: RequestHandler
    wire: WireFormat
    clock: Callable[[], float]
    leaving: Callable[[], bool]
    connections: "set[CallerConnection]"
    tasks: "set[asyncio.Task[None]]"


class CallerConnection(asyncio.Protocol):
    """Read requests of one caller, and answer them in their order.

    Args:
        parts (ConnectionParts): What all connections of callers share.
    """

    def __init__(self, parts: ConnectionParts) -> None:
        self._parts = parts
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpRequestParser(self)
        self._request: PartialRequest | None = None
        self._queue: deque[_WholeRequest] = deque()
        self._early: list[bytes] = []
        self._early_bytes = 0
        self._serving: _Serving | None = None
        self._drained: asyncio.Future[None] | None = None
        self._is_malformed = False
        self._heard_at = 0.0

    def __repr__(self) -> str:
        return f"CallerConnection(serving={self._serving is not None})"

    # What the transport calls.

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        # The transports of other loops are no subclasses.
        self._transport = tcp = cast(asyncio.Transport, transport)
        tune(tcp.get_extra_info("socket"))
        tcp.set_write_buffer_limits(high=MAX_UNSENT_BYTES)
        self._heard_at = self._parts.clock()
        self._parts.connections.add(self)

    def data_received(self, data: bytes) -> None:
        """Reads requests; what comes before an answer waits for it."""
        self._heard_at = self._parts.clock()
        if self._serving is None and not self._queue and not self._early:
            self._parse(data)
            return
        self._early.append(data)
        self._early_bytes += len(data)
        if self._early_bytes > MAX_EARLY_BYTES and self._transport is not None:
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Takes in that the caller has gone."""
        self._transport = None
        self._parts.connections.discard(self)
        self._queue.clear()
        self._early.clear()
        self.resume_writing()
        if self._serving is not None:
            self._serving.leave(self._parts.handler)

    def pause_writing(self) -> None:
        """Notes that the caller is slow."""
        if self._drained is None:
            self._drained = asyncio.get_running_loop().create_future()

    def resume_writing(self) -> None:
        """Notes that the caller has caught up, or gone."""
        drained, self._drained = self._drained, None
        if drained is not None and not drained.done():
            drained.set_result(None)

    # What the answers call.

    def write(self, data: bytes) -> "asyncio.Future[None] | None":
        """Sends bytes; returns what to wait for where the caller is slow."""
        if self._transport is not None:
            self._transport.write(data)
        return self._drained

    def closed(self) -> bool:
        """Tells whether the caller has gone."""
        return self._transport is None or self._transport.is_closing()

    def end_answer(self, *, close: bool) -> None:
        """Goes on to the next request, or closes in order."""
        self._serving = None
        self._heard_at = self._parts.clock()
        if close:
            self._queue.clear()
            if self._transport is not None:
                self._transport.close()
            return
        asyncio.get_running_loop().call_soon(self._go_on)

    def cut(self, *, abort: bool) -> None:
        """Ends the connection in the middle of an answer."""
        self._serving = None
        if self._transport is None:
            return
        if abort:
            self._transport.abort()
        else:
            self._transport.close()

    def has_unsent(self) -> bool:
        """Tells whether a part of an answer has not left yet."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def close_if_slow(self, limits: CallerLimits, now: float) -> None:
        """Closes the connection if its caller takes too long.

        A request must come whole within its time, however often a byte of it
        comes.
        """
        if self._serving is not None or self.has_unsent():
            return
        request = self._request
        if request is None:
            late = now - self._heard_at > limits.idle_timeout_s
        elif request.has_head:
            late = now - request.began_at > limits.idle_timeout_s
        else:
            late = now - request.began_at > limits.header_timeout_s
        if late:
            self.cut(abort=True)

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Begins a request."""
        limits = self._parts.handler.limits()
        self._request = PartialRequest(limits, self._parts.clock())

    def on_url(self, url: bytes) -> None:
        """Takes a piece of the URL."""
        if self._request is not None:
            self._request.url += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; trailers after a body are not passed on."""
        if self._request is not None:
            self._request.add_header(name, value)

    def on_headers_complete(self) -> None:
        """Reads the head."""
        request = self._request
        if request is None:
            return
        request.method = self._parser.get_method().decode("latin1")
        request.read_head(self._parts.wire, self._parts.clock())
        # An answer to an earlier request is not to be interrupted.
        is_next = self._serving is None and not self._queue
        if request.expects_continue and request.problem is None and is_next:
            self.write(_CONTINUE)
        if request.problem is not None:
            self._take_whole()

    def on_body(self, chunk: bytes) -> None:
        """Takes a piece of the body."""
        if self._request is None:
            return
        self._request.add_body(chunk)
        if self._request.problem is not None:
            self._take_whole()

    def on_message_complete(self) -> None:
        """Ends a request."""
        self._take_whole()

    def _take_whole(self) -> None:
        request, self._request = self._request, None
        if request is None:
            return
        keep = self._parser.should_keep_alive() and request.problem is None
        answer = CallerAnswer(
            self,
            lambda: self._parts.leaving() or not keep,
            chunked=self._parser.get_http_version() == "1.1",
            bodiless=request.method == "HEAD",
        )
        self._queue.append(_WholeRequest(request.whole(), answer))

    # The order of the requests.

    def _parse(self, data: bytes) -> None:
        if self._is_malformed or self.closed():
            return
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserCallbackError:
            self._is_malformed = True
            events.log_failure(LOG, events.TASK_FAILED)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            self._is_malformed = True
            LOG.debug("malformed request: %s", exc)
        request = self._request
        if request is not None and request.grows_too_large(len(data)):
            self._take_whole()
        self._serve_next()

    def _go_on(self) -> None:
        """Serves what came before the last answer."""
        if self._serving is None:
            self._serve_next()
        if self._serving is None and self._early:
            data = b"".join(self._early)
            self._early.clear()
            self._early_bytes = 0
            if self._transport is not None:
                self._transport.resume_reading()
            self._parse(data)

    def _serve_next(self) -> None:
        if self._serving is not None or self.closed():
            return
        if self._queue:
            self._serve(self._queue.popleft())
        elif self._is_malformed:
            problem = Problem(400, "malformed_request", "Not a request.")
            self._refuse(CallerAnswer(self, lambda: True), problem)

    def _serve(self, whole: "_WholeRequest") -> None:
        req, answer = whole
        if isinstance(req, Problem):
            self._refuse(answer, req)
            return
        work = self._handle(req, answer)
        task = asyncio.get_running_loop().create_task(work)
        self._serving = _Serving(req, task)
        self._parts.tasks.add(task)
        task.add_done_callback(self._parts.tasks.discard)

    async def _handle(self, req: InboundRequest, answer: CallerAnswer) -> None:
        try:
            await self._parts.handler.handle(req, answer)
        except asyncio.CancelledError:
            answer.cut()
        except Exception:
            events.log_failure(LOG, events.TASK_FAILED)
            answer.cut()
        finally:
            if not answer.ended:
                answer.cut()

    def _refuse(self, answer: CallerAnswer, problem: Problem) -> None:
        events.log_event(
            LOG,
            events.REQUEST_REFUSED,
            step="read request",
            status=problem.status,
            reason=problem.reason,
        )
        answer.refuse(problem, close=True)


class _Serving(NamedTuple):
    """A request that is being served."""

    req: InboundRequest
    task: "asyncio.Task[None]"

    def leave(self, handler: RequestHandler) -> None:
        """Takes in that its caller has gone."""
        if handler.may_cancel(self.req):
            self.task.cancel()


class _WholeRequest(NamedTuple):
    """A request that waits for its turn, or why it is refused."""

    req: InboundRequest | Problem
    answer: CallerAnswer
