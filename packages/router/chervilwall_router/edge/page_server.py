"""Minimal HTTP server for readiness, directory, snapshot and metrics pages."""

import logging
import socket
from collections.abc import Awaitable, Callable, Mapping
from typing import NamedTuple, cast

from chervilwall import events
from tornado.http1connection import HTTP1ServerConnection
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPConnection,
    HTTPHeaders,
    HTTPInputError,
    HTTPMessageDelegate,
    HTTPServerRequest,
    RequestStartLine,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError
from tornado.netutil import bind_sockets

from chervilwall_router.edge._dial import unread_bytes
from chervilwall_router.settings import split_address

LOG = logging.getLogger(__name__)
JSON_CONTENT_TYPE = "application/json"
# The only requests with a body are those of peers for a snapshot, which have
# some hundred bytes.
MAX_BODY_BYTES = 4096
# A question of chervilctl explain with 1,025 parts has 8.3 kB.
MAX_HEAD_BYTES = 16_384
# Header lines of a request: each takes much more memory than its bytes.
MAX_HEADERS = 64
READ_BYTES = 1 << 14
# Bytes that the kernel may receive on a connection before they are read.
RECEIVE_BUFFER_BYTES = 1 << 14
IDLE_TIMEOUT_S = 30.0
BODY_TIMEOUT_S = 2.0
# Without another limit, the connections of one page server.
DEFAULT_MAX_CONNECTIONS = 256
# Fraction of all descriptors for the connections of one page server.
CONNECTIONS_FRACTION = 1 / 16


class Reply(NamedTuple):
    """Response of a page.

    Args:
        status (int): HTTP status code.
        body (bytes): Body. Defaults to an empty one.
        content_type (str): Media type of the body. Defaults to JSON.
    """

    status: int
    body: bytes = b""
    content_type: str = JSON_CONTENT_TYPE


PageHandler = Callable[[HTTPServerRequest], Reply]


class ConnectionLimit(NamedTuple):
    """Limit on the connections of one page server.

    Args:
        max_connections (int): Connections. Defaults to
            DEFAULT_MAX_CONNECTIONS.
        on_opened (Callable): Called with 1 as a connection opens, and with -1
            as it ends. Defaults to a function that does nothing.
        on_closed_early (Callable): Called as a connection is closed to make
            room. Defaults to a function that does nothing.
    """

    max_connections: int = DEFAULT_MAX_CONNECTIONS
    on_opened: Callable[[int], None] = lambda change: None
    on_closed_early: Callable[[], None] = lambda: None


DEFAULT_LIMIT = ConnectionLimit()


class _SmallHeadDelegate(HTTPMessageDelegate):
    """Refuse a request with too many header lines."""

    def __init__(self, delegate: HTTPMessageDelegate) -> None:
        self._delegate = delegate

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> Awaitable[None] | None:
        if sum(1 for _ in headers.get_all()) > MAX_HEADERS:
            raise HTTPInputError("too many header lines")
        return self._delegate.headers_received(start_line, headers)

    def data_received(self, chunk: bytes) -> Awaitable[None] | None:
        return self._delegate.data_received(chunk)

    def finish(self) -> None:
        self._delegate.finish()

    def on_connection_close(self) -> None:
        self._delegate.on_connection_close()


class _BoundedServer(HTTPServer):
    """Close the connection that is idle longest where there are too many."""

    # HTTPServer takes its arguments in this method.
    def initialize(  # type: ignore[override]
        self,
        callback: Callable[[HTTPServerRequest], None],
        limit: ConnectionLimit,
    ) -> None:
        super().initialize(
            callback,
            chunk_size=READ_BYTES,
            max_header_size=MAX_HEAD_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
            body_timeout=BODY_TIMEOUT_S,
        )
        self._limit = limit
        # In the order in which they were opened or last began to wait for a
        # request.
        self._open: dict[HTTP1ServerConnection, None] = {}

    def start_request(
        self, server_conn: object, request_conn: HTTPConnection
    ) -> HTTPMessageDelegate:
        conn = cast(HTTP1ServerConnection, server_conn)
        if self._open.pop(conn, self) is self:
            self._limit.on_opened(1)
        self._open[conn] = None
        if len(self._open) > self._limit.max_connections:
            self._close_oldest()
        delegate = super().start_request(server_conn, request_conn)
        return _SmallHeadDelegate(delegate)

    def on_close(self, server_conn: object) -> None:
        super().on_close(server_conn)
        conn = cast(HTTP1ServerConnection, server_conn)
        if self._open.pop(conn, self) is not self:
            self._limit.on_opened(-1)

    def _close_oldest(self) -> None:
        """Closes one connection, preferably without unread data."""
        oldest = next(iter(self._open))
        for conn in self._open:
            stream = conn.stream
            sock = getattr(stream, "socket", None)
            if sock is not None and not unread_bytes(sock):
                oldest = conn
                break
        self._limit.on_closed_early()
        oldest.stream.close()


class PageServer:
    """Serve pages at fixed paths.

    Args:
        pages (Mapping): Functions that build the reply to a request, by path.
        limit (ConnectionLimit): Limit on its connections. Defaults to
            DEFAULT_LIMIT, that of a process with many descriptors.
    """

    def __init__(
        self,
        pages: Mapping[str, PageHandler],
        limit: ConnectionLimit = DEFAULT_LIMIT,
    ) -> None:
        self._pages = pages
        self._server = _BoundedServer(self._serve, limit)

    def __repr__(self) -> str:
        return f"PageServer(pages={sorted(self._pages)})"

    def listen(self, address: str) -> None:
        """Starts listening.

        Args:
            address (str): "IP:port".
        """
        host, port = split_address(address)
        sockets = bind_sockets(port, host)
        for sock in sockets:
            # Accepted connections inherit it.
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
            )
        self._server.add_sockets(sockets)

    def stop(self) -> None:
        """Stops accepting connections."""
        self._server.stop()

    def _serve(self, request: HTTPServerRequest) -> None:
        reply = self._build_reply(request)
        headers = HTTPHeaders(
            {
                "Content-Type": reply.content_type,
                "Content-Length": str(len(reply.body)),
            }
        )
        reason = responses.get(reply.status, "-")
        start = ResponseStartLine("HTTP/1.1", reply.status, reason)
        conn = request.connection
        assert conn is not None
        try:
            conn.write_headers(start, headers, reply.body or None)
            conn.finish()
        except StreamClosedError as exc:
            LOG.debug(
                "client disconnected before the reply to %s: %s",
                request.path,
                exc,
            )

    def _build_reply(self, request: HTTPServerRequest) -> Reply:
        page = self._pages.get(request.path)
        if page is None:
            return Reply(404)
        try:
            return page(request)
        except Exception:
            events.log_failure(LOG, events.TASK_FAILED)
            return Reply(500)
