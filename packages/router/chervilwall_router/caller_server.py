"""HTTP server for callers: relayed requests and the list of routers."""

import asyncio
import random
import time
from collections.abc import Mapping
from typing import Any, NamedTuple

import msgspec
from chervilwall.classify import CallerRequest
from chervilwall.errors import RelayInterruptedError
from chervilwall.membership import Membership
from tornado.httpserver import HTTPServer
from tornado.iostream import IOStream, StreamClosedError
from tornado.web import RequestHandler, stream_request_body

from chervilwall_router.pipeline import Pipeline
from chervilwall_router.problem import (
    EXECUTED_NO,
    EXECUTED_UNKNOWN,
    Problem,
)
from chervilwall_router.settings import RouterSettings

REQUEST_ID_HEADER = "Chervilwall-Request-Id"
# Oversized bodies up to this multiple of max_body_bytes are read and discarded,
# because a caller that is still sending might not read the refusal.
DISCARD_LIMIT_FACTOR = 4
# Body limit of the HTTP server, in practice never reached, because ProxyHandler
# enforces max_body_bytes itself.
SERVER_MAX_BODY_BYTES = 1 << 34
_MALFORMED = Problem(400, "malformed_request", "The request is malformed.")
_TORNADO_BAD_REQUEST = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class OpenRequests:
    """Count requests whose response has not been written completely."""

    def __init__(self) -> None:
        self._count = 0

    def __repr__(self) -> str:
        return f"OpenRequests(count={self._count})"

    def __len__(self) -> int:
        return self._count

    def __enter__(self) -> "OpenRequests":
        self._count += 1
        return self

    def __exit__(self, *exc_info: object) -> None:
        self._count -= 1


class CallerContext(NamedTuple):
    """Dependencies of the handlers for callers.

    Args:
        settings (RouterSettings): Settings of this router.
        pipeline (Pipeline): Processes requests.
        membership (Membership): Routers of the fleet.
        open_requests (OpenRequests): Counts the requests in progress.
    """

    settings: RouterSettings
    pipeline: Pipeline
    membership: Membership
    open_requests: OpenRequests


class HandlerSink:
    """Write the response of a target to a caller.

    Args:
        handler (RequestHandler): Handler of the caller's request.
    """

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self.has_begun = False

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Starts the response with a status and headers."""
        self.has_begun = True
        self._handler.set_status(status)
        self._handler.clear_header("Content-Type")
        for name, value in headers.items():
            self._handler.set_header(name, value)

    async def write(self, chunk: bytes) -> None:
        """Writes a chunk of the body."""
        self._handler.write(chunk)
        await self._handler.flush()


class ProblemHandler(RequestHandler):
    """Set the Server header and report errors as problem details."""

    def set_default_headers(self) -> None:
        """Sets the headers that all responses have."""
        self.set_header("Server", "chervilwall")

    def send_problem(self, problem: Problem) -> "asyncio.Future[None]":
        """Finishes the request with problem details.

        Args:
            problem (Problem): Status, headers and body of the response.

        Returns:
            A future that completes when the response has been written.
        """
        self.set_status(problem.status)
        for name, value in problem.headers().items():
            self.set_header(name, value)
        return self.finish(problem.body())

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Finishes a request that raised an error, with problem details."""
        detail = self._reason
        executed = EXECUTED_UNKNOWN if status_code >= 500 else EXECUTED_NO
        self.send_problem(Problem(status_code, "error", detail, executed))


@stream_request_body
class ProxyHandler(ProblemHandler):
    """Run a request to a service in the pipeline and relay the response."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

    def initialize(self, context: CallerContext) -> None:
        """Stores the dependencies and sets the initial state."""
        self._context = context
        self._body = bytearray()
        self._task: asyncio.Task[Problem | None] | None = None
        self._body_timer: asyncio.TimerHandle | None = None
        self._req: CallerRequest | None = None
        self._refusal: Problem | None = None

    def prepare(self) -> None:
        """Checks the declared body size and starts the body timeout."""
        limits = self._context.settings.limits
        loop = asyncio.get_running_loop()
        self._body_timer = loop.call_later(
            limits.body_timeout_s, self._on_body_timeout
        )
        length = self.request.headers.get("Content-Length", "0")
        if not length.isdecimal():
            self._refusal = _MALFORMED
            self._send_refusal()
        elif int(length) > limits.max_body_bytes:
            self._refusal = _body_too_large(limits.max_body_bytes)
            if int(length) > DISCARD_LIMIT_FACTOR * limits.max_body_bytes:
                self._send_refusal()

    def data_received(self, chunk: bytes) -> None:
        """Appends a chunk of the body; discards it for a refused request."""
        limit = self._context.settings.limits.max_body_bytes
        if len(self._body) + len(chunk) > limit:
            self._refusal = _body_too_large(limit)
        if self._refusal is None:
            self._body += chunk

    async def get(self) -> None:
        """Handles a request of any method."""
        with self._context.open_requests:
            await self._serve()
            if not self._finished and self._auto_finish:
                await self.finish()

    head = post = put = patch = delete = get

    def on_connection_close(self) -> None:
        """Cancels an idempotent request whose caller has disconnected.

        Other requests run to their end, so that their outcome can be stored.
        """
        self._cancel_body_timer()
        req = self._req
        task = self._task
        if task and req and self._context.pipeline.is_idempotent(req):
            task.cancel()

    def on_finish(self) -> None:
        """Cancels the body timeout."""
        self._cancel_body_timer()

    async def _serve(self) -> None:
        self._cancel_body_timer()
        if self._refusal is not None:
            self._send_refusal()
            return
        self._req = CallerRequest(
            method=self.request.method or "GET",
            path=self.request.uri or "/",
            headers=self.request.headers,
            body=bytes(self._body),
            received_at=time.monotonic(),
        )
        pipeline = self._context.pipeline
        request_id = pipeline.new_request_id()
        self.set_header(REQUEST_ID_HEADER, request_id)
        self._set_close_if_leaving()
        sink = HandlerSink(self)
        run = pipeline.run(self._req, sink, request_id)
        self._task = asyncio.get_running_loop().create_task(run)
        await self._await_pipeline(self._task, sink)

    async def _await_pipeline(
        self, task: "asyncio.Task[Problem | None]", sink: HandlerSink
    ) -> None:
        try:
            problem = await task
        except (
            RelayInterruptedError,
            StreamClosedError,
            asyncio.CancelledError,
        ):
            self._abort_connection()
            return
        except Exception:
            if sink.has_begun:
                self._abort_connection()
            raise
        if problem is not None:
            await self.send_problem(problem)

    def _abort_connection(self) -> None:
        """Closes the connection without completing the response.

        The caller can then tell that a partial response is not complete.
        """
        self._auto_finish = False
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def _set_close_if_leaving(self) -> None:
        member = self._context.membership.me
        if member.state != "alive":
            self.set_header("Connection", "close")

    def _on_body_timeout(self) -> None:
        limit_s = self._context.settings.limits.body_timeout_s
        detail = f"The body did not arrive within {limit_s:g} s."
        self._refusal = Problem(408, "slow_body", detail)
        self._send_refusal()

    def _send_refusal(self) -> None:
        self._cancel_body_timer()
        if not self._finished and self._refusal is not None:
            self.set_header("Connection", "close")
            self.send_problem(self._refusal)

    def _cancel_body_timer(self) -> None:
        if self._body_timer is not None:
            self._body_timer.cancel()
            self._body_timer = None


class RoutersHandler(ProblemHandler):
    """List the routers that accept requests, for callers."""

    def initialize(self, context: CallerContext) -> None:
        """Stores the dependencies of the handler."""
        self._context = context

    def get(self) -> None:
        """Writes the list of routers.

        Routers in the zone named by the query parameter `zone`, by default the
        zone of this router, come first.
        """
        cfg = self._context.settings
        zone = self.get_query_argument("zone", cfg.zone)
        members = self._context.membership.ready_members()
        random.shuffle(members)
        members.sort(key=lambda m: m.zone != zone)
        ttl_s = cfg.timing.address_ttl_s
        routers = [
            {"name": m.name, "address": m.caller_address, "zone": m.zone}
            for m in members
        ]
        self.set_header("Content-Type", "application/json")
        self.set_header("Cache-Control", f"max-age={ttl_s}")
        body = {"routers": routers, "ttl_s": ttl_s}
        self.finish(msgspec.json.encode(body))


class CallerServer(HTTPServer):
    """Serve HTTP and answer malformed requests with problem details."""

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Handles a new connection.

        Tornado answers a malformed request head with a 400 without a body. The
        wrapped `write` recognizes this response by its exact bytes and replaces
        it by one with problem details. All other data is written unchanged.
        """
        write = stream.write

        def write_with_problem(data: bytes | memoryview) -> Any:
            return write(_add_problem_body(data))

        stream.write = write_with_problem  # type: ignore[method-assign]
        super().handle_stream(stream, address)


def _add_problem_body(data: bytes | memoryview) -> bytes | memoryview:
    if data != _TORNADO_BAD_REQUEST:
        return data
    body = _MALFORMED.body()
    head = (
        "HTTP/1.1 400 Bad Request\r\n"
        "Content-Type: application/problem+json\r\n"
        "Connection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _body_too_large(limit: int) -> Problem:
    return Problem(413, "body_too_large", f"A body may have {limit} bytes.")
