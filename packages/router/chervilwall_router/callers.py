"""HTTP towards callers."""

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
DRAINED_BODIES = 4
UNLIMITED_BYTES = 1 << 34
_MALFORMED = Problem(400, "malformed_request", "The request is malformed.")
_BARE_REFUSAL = b"HTTP/1.1 400 Bad Request\r\n\r\n"


class OpenRequests:
    """Count requests until the last byte of their answer was written."""

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
    """What the handlers towards callers need.

    Args:
        settings (RouterSettings): Settings.
        pipeline (Pipeline): The path of a request.
        membership (Membership): The routers.
        open_requests (OpenRequests): Requests in progress.
    """

    settings: RouterSettings
    pipeline: Pipeline
    membership: Membership
    open_requests: OpenRequests


class HandlerSink:
    """Write a target's answer to a caller.

    Args:
        handler (RequestHandler): The caller's request.
    """

    def __init__(self, handler: RequestHandler) -> None:
        self._handler = handler
        self.begun = False

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Takes the status and the headers."""
        self.begun = True
        self._handler.set_status(status)
        self._handler.clear_header("Content-Type")
        for name, value in headers.items():
            self._handler.set_header(name, value)

    async def write(self, chunk: bytes) -> None:
        """Takes a piece of the body."""
        self._handler.write(chunk)
        await self._handler.flush()


class BaseHandler(RequestHandler):
    """Answer in this product's name and report faults as problems."""

    def set_default_headers(self) -> None:
        """Sets headers common to all answers."""
        self.set_header("Server", "chervilwall")

    def send_problem(self, problem: Problem) -> "asyncio.Future[None]":
        """Ends the request with a refusal; the future ends with its write."""
        self.set_status(problem.status)
        for name, value in problem.headers().items():
            self.set_header(name, value)
        return self.finish(problem.body())

    def write_error(self, status_code: int, **kwargs: Any) -> None:
        """Ends a request that failed inside the router."""
        detail = self._reason
        executed = EXECUTED_UNKNOWN if status_code >= 500 else EXECUTED_NO
        self.send_problem(Problem(status_code, "error", detail, executed))


@stream_request_body
class ProxyHandler(BaseHandler):
    """Take any request to a service and relay its answer."""

    SUPPORTED_METHODS = ("GET", "HEAD", "POST", "PUT", "PATCH", "DELETE")

    def initialize(self, context: CallerContext) -> None:
        """Takes what the handler needs."""
        self._context = context
        self._body = bytearray()
        self._task: asyncio.Task[Problem | None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._req: CallerRequest | None = None
        self._refused: Problem | None = None

    def prepare(self) -> None:
        """Checks the head of the request."""
        limits = self._context.settings.limits
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(limits.body_timeout_s, self._too_slow)
        length = self.request.headers.get("Content-Length", "0")
        if not length.isdecimal():
            self._refused = _MALFORMED
            self._refuse_now()
        elif int(length) > limits.max_body_bytes:
            self._refused = _too_large(limits.max_body_bytes)
            if int(length) > DRAINED_BODIES * limits.max_body_bytes:
                self._refuse_now()

    def data_received(self, chunk: bytes) -> None:
        """Takes a piece of the body."""
        limit = self._context.settings.limits.max_body_bytes
        if len(self._body) + len(chunk) > limit:
            self._refused = _too_large(limit)
        if self._refused is None:
            self._body += chunk

    async def get(self) -> None:
        """Serves the request, whatever its method."""
        with self._context.open_requests:
            await self._serve()
            if not self._finished and self._auto_finish:
                await self.finish()

    head = post = put = patch = delete = get

    def on_connection_close(self) -> None:
        """Stops an idempotent request whose caller has gone."""
        self._stop_timer()
        req = self._req
        task = self._task
        if task and req and self._context.pipeline.is_idempotent(req):
            task.cancel()

    def on_finish(self) -> None:
        """Stops the timer."""
        self._stop_timer()

    async def _serve(self) -> None:
        self._stop_timer()
        if self._refused is not None:
            self._refuse_now()
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
        self._close_if_leaving()
        sink = HandlerSink(self)
        work = pipeline.run(self._req, sink, request_id)
        self._task = asyncio.get_running_loop().create_task(work)
        await self._finish_with(self._task, sink)

    async def _finish_with(
        self, task: "asyncio.Task[Problem | None]", sink: HandlerSink
    ) -> None:
        try:
            problem = await task
        except (
            RelayInterruptedError,
            StreamClosedError,
            asyncio.CancelledError,
        ):
            self._cut()
            return
        except Exception:
            if sink.begun:
                self._cut()
            raise
        if problem is not None:
            await self.send_problem(problem)

    def _cut(self) -> None:
        """Breaks the connection, so that a part never looks whole."""
        self._auto_finish = False
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def _close_if_leaving(self) -> None:
        me = self._context.membership.me
        if me.state != "alive":
            self.set_header("Connection", "close")

    def _too_slow(self) -> None:
        limit_s = self._context.settings.limits.body_timeout_s
        detail = f"The body did not arrive within {limit_s:g} s."
        self._refused = Problem(408, "slow_body", detail)
        self._refuse_now()

    def _refuse_now(self) -> None:
        self._stop_timer()
        if not self._finished and self._refused is not None:
            self.set_header("Connection", "close")
            self.send_problem(self._refused)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class RoutersHandler(BaseHandler):
    """Tell callers which addresses to use."""

    def initialize(self, context: CallerContext) -> None:
        """Takes what the handler needs."""
        self._context = context

    def get(self) -> None:
        """Lists the routers, those of the caller's zone first."""
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
    """Serve HTTP and explain malformed requests."""

    def handle_stream(self, stream: IOStream, address: tuple) -> None:
        """Takes a connection.

        The library refuses a malformed head with an empty answer; the wrapped
        write replaces just that answer by one with a problem.
        """
        write = stream.write

        def write_explained(data: bytes | memoryview) -> Any:
            return write(_explain_refusal(data))

        stream.write = write_explained  # type: ignore[method-assign]
        super().handle_stream(stream, address)


def _explain_refusal(data: bytes | memoryview) -> bytes | memoryview:
    if data != _BARE_REFUSAL:
        return data
    body = _MALFORMED.body()
    head = (
        "HTTP/1.1 400 Bad Request\r\n"
        "Content-Type: application/problem+json\r\n"
        "Connection: close\r\n"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    return head.encode() + body


def _too_large(limit: int) -> Problem:
    return Problem(413, "body_too_large", f"A body may have {limit} bytes.")
