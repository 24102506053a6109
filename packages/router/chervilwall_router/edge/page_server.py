"""Minimal HTTP server for readiness, directory, snapshot and metrics pages."""

import logging
from collections.abc import Callable, Mapping
from typing import NamedTuple

from chervilwall import events
from tornado.httpserver import HTTPServer
from tornado.httputil import (
    HTTPHeaders,
    HTTPServerRequest,
    ResponseStartLine,
    responses,
)
from tornado.iostream import StreamClosedError

from chervilwall_router.settings import split_address

LOG = logging.getLogger(__name__)
JSON_CONTENT_TYPE = "application/json"
MAX_REQUEST_BYTES = 1 << 20
IDLE_TIMEOUT_S = 30.0


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


class PageServer:
    """Serve pages at fixed paths.

    Args:
        pages (Mapping): Functions that build the reply to a request, by path.
    """

    def __init__(self, pages: Mapping[str, PageHandler]) -> None:
        self._pages = pages
        self._server = HTTPServer(
            self._serve,
            max_body_size=MAX_REQUEST_BYTES,
            idle_connection_timeout=IDLE_TIMEOUT_S,
        )

    def __repr__(self) -> str:
        return f"PageServer(pages={sorted(self._pages)})"

    def listen(self, address: str) -> None:
        """Starts listening.

        Args:
            address (str): "IP:port".
        """
        host, port = split_address(address)
        self._server.listen(port, host)

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
