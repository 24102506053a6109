"""Requests of callers, read whole, and answers written back."""

import asyncio
import logging
from collections.abc import Awaitable, Callable
from typing import NamedTuple, Protocol

from chervilwall import events
from chervilwall.errors import CodecError
from chervilwall.inbound import Headers, InboundRequest
from chervilwall.protocol import WireFormat
from chervilwall.routing import CallerLimits
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
    HTTP1ServerConnection,
)
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPMessageDelegate,
    HTTPServerConnectionDelegate,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpserver import TCPServer

from chervilwall_router.edge._dial import tune
from chervilwall_router.problem import Problem

LOG = logging.getLogger(__name__)
# Heads beyond the limit are read this much further to be refused in words.
HEAD_SLACK = 2
# Bodies are awaited as long as a connection may stay idle.
MAX_BODY_BYTES = 1 << 34
_BODILESS = (204, 304)


class CallerAnswer:
    """The answer to one request.

    Args:
        conn (HTTP1Connection): The caller's connection.
        stream (IOStream): Its socket.
        closing (Callable): Tells whether the connection closes afterwards.
    """

    def __init__(
        self,
        conn: HTTP1Connection,
        stream: IOStream,
        closing: Callable[[], bool],
    ) -> None:
        self._conn = conn
        self._stream = stream
        self._closing = closing
        self._close_after = False
        self.begun = False
        self.ended = False

    def __repr__(self) -> str:
        return f"CallerAnswer(begun={self.begun}, ended={self.ended})"

    def begin(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Writes the head, and the whole or the first piece of the body."""
        self.begun = True
        sent = HTTPHeaders()
        for name, value in headers:
            sent.add(name, value)
        self._close_after = self._closing() or sent.get("Connection") == "close"
        if self._close_after:
            sent["Connection"] = "close"
        start = ResponseStartLine(
            "HTTP/1.1", status, responses.get(status, "-")
        )
        self._conn.write_headers(start, sent, body or None)
        self._stream.set_nodelay(True)

    async def write(self, chunk: bytes) -> None:
        """Writes a piece of the body, and waits while the caller is slow.

        Raises:
            StreamClosedError: The caller has gone.
        """
        if chunk:
            await self._conn.write(chunk)

    def finish(self) -> None:
        """Ends the answer."""
        if self.ended:
            return
        self.ended = True
        try:
            self._conn.finish()
        except StreamClosedError:
            return
        if self._close_after and not self._stream.closed():
            self._stream.write(b"").add_done_callback(self._close)

    def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a whole answer."""
        if self.ended or self._stream.closed():
            return
        kept = tuple(h for h in headers if h[0].lower() != "content-length")
        if status not in _BODILESS:
            kept += (("Content-Length", str(len(body))),)
        self.begin(status, kept, body)
        self.finish()

    def refuse(self, problem: Problem, *, close: bool = False) -> None:
        """Writes a refusal."""
        headers = [("Content-Type", "application/problem+json")]
        if problem.retry_after_s > 0:
            headers.append(("Retry-After", f"{problem.retry_after_s:.2f}"))
        if close:
            headers.append(("Connection", "close"))
        self.whole(problem.status, tuple(headers), problem.body())

    def cut(self) -> None:
        """Breaks the connection, so that a part never looks whole."""
        self.ended = True
        self._stream.close()

    def _close(self, _: "asyncio.Future[None]") -> None:
        self._stream.close()


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


class IngressStats(NamedTuple):
    """Requests and connections of callers now."""

    connections: int
    requests: int


class Ingress(TCPServer):
    """Serve HTTP to callers.

    Args:
        handler (RequestHandler): What becomes of requests.
        wire (WireFormat): Reads heads.
        clock (Callable): Returns the monotonic time.
    """

    def __init__(
        self,
        handler: RequestHandler,
        wire: WireFormat,
        clock: Callable[[], float],
    ) -> None:
        super().__init__()
        self.handler = handler
        self.wire = wire
        self.clock = clock
        self.leaving = False
        self.tasks: set[asyncio.Task[None]] = set()
        self._connections: set[object] = set()

    def __repr__(self) -> str:
        return f"Ingress(connections={len(self._connections)})"

    def stats(self) -> IngressStats:
        """Returns what is open now."""
        return IngressStats(len(self._connections), len(self.tasks))

    async def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Serves one connection."""
        tune(stream.socket)
        limits = self.handler.limits()
        params = HTTP1ConnectionParameters(
            max_header_size=limits.max_header_bytes * HEAD_SLACK,
            header_timeout=limits.idle_timeout_s,
            max_body_size=MAX_BODY_BYTES,
            body_timeout=limits.idle_timeout_s,
        )
        conn = HTTP1ServerConnection(stream, params, address)
        self._connections.add(conn)
        conn.start_serving(_ConnectionDelegate(self, stream))

    def forget(self, conn: object) -> None:
        """Takes out a closed connection."""
        self._connections.discard(conn)


class _ConnectionDelegate(HTTPServerConnectionDelegate):
    def __init__(self, ingress: Ingress, stream: IOStream) -> None:
        self._ingress = ingress
        self._stream = stream

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        assert isinstance(request_conn, HTTP1Connection)
        return _RequestReader(self._ingress, request_conn, self._stream)

    def on_close(self, server_conn: object) -> None:
        self._ingress.forget(server_conn)


class _RequestReader(HTTPMessageDelegate):
    """Read one request and start its task."""

    def __init__(
        self, ingress: Ingress, conn: HTTP1Connection, stream: IOStream
    ) -> None:
        self._ingress = ingress
        self._conn = conn
        self._stream = stream
        self._limits = ingress.handler.limits()
        self._answer = CallerAnswer(conn, stream, lambda: ingress.leaving)
        self._req: InboundRequest | None = None
        self._chunks: list[bytes] = []
        self._size = 0
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, RequestStartLine)
        pairs = tuple(headers.get_all())
        problem = self._check(pairs)
        if problem is None:
            problem = self._decode(start_line, pairs)
        if problem is not None:
            self._refuse(problem)

    def data_received(self, chunk: bytes) -> None:
        self._size += len(chunk)
        if self._answer.ended:
            return
        if self._size > self._limits.max_body_bytes:
            self._refuse(_too_large(self._limits.max_body_bytes))
            return
        self._chunks.append(chunk)

    def finish(self) -> None:
        if self._req is None or self._answer.ended:
            return
        req = self._req._replace(body=b"".join(self._chunks))
        self._chunks.clear()
        self._conn.set_close_callback(self._leave)
        work = self._serve(req)
        self._task = asyncio.get_running_loop().create_task(work)
        self._ingress.tasks.add(self._task)
        self._task.add_done_callback(self._ingress.tasks.discard)

    def on_connection_close(self) -> None:
        self._chunks.clear()

    async def _serve(self, req: InboundRequest) -> None:
        try:
            await self._ingress.handler.handle(req, self._answer)
        except (StreamClosedError, asyncio.CancelledError):
            self._answer.cut()
        except Exception:
            event = events.TASK_FAILED
            LOG.exception(event.text, extra={"event": event.number})
            self._answer.cut()
        finally:
            if not self._answer.ended:
                self._answer.cut()

    def _leave(self) -> None:
        req = self._req
        if self._task is None or req is None:
            return
        if self._ingress.handler.may_cancel(req):
            self._task.cancel()

    def _check(self, pairs: Headers) -> Problem | None:
        size = sum(len(name) + len(value) + 4 for name, value in pairs)
        limits = self._limits
        if size > limits.max_header_bytes:
            detail = f"A head may have {limits.max_header_bytes} bytes."
            return Problem(431, "head_too_large", detail)
        for name, value in pairs:
            if name != "Content-Length":
                continue
            if not value.isdecimal():
                return Problem(400, "malformed_request", "Bad length.")
            if int(value) > limits.max_body_bytes:
                return _too_large(limits.max_body_bytes)
        return None

    def _decode(
        self, start_line: RequestStartLine, pairs: Headers
    ) -> Problem | None:
        try:
            self._req = self._ingress.wire.read_request(
                start_line.method, start_line.path, pairs, self._ingress.clock()
            )
        except CodecError as exc:
            return Problem(400, "malformed_request", exc.reason)
        return None

    def _refuse(self, problem: Problem) -> None:
        event = events.REQUEST_REFUSED
        events.log_event(
            LOG,
            event,
            step="read request",
            status=problem.status,
            reason=problem.reason,
        )
        self._answer.refuse(problem, close=True)


def _too_large(limit: int) -> Problem:
    return Problem(413, "body_too_large", f"A body may have {limit} bytes.")
