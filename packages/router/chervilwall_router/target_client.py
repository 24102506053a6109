"""One attempt of a request on one target, relayed as it arrives."""

import asyncio
import json
import logging
import time
from collections.abc import Mapping
from typing import NamedTuple

from chervilwall import cell_messages
from chervilwall.classify import CallerRequest
from chervilwall.config import Target
from chervilwall.protocol import ResponseSink
from tornado.http1connection import (
    HTTP1Connection,
    HTTP1ConnectionParameters,
)
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import IOStream, StreamClosedError
from tornado.tcpclient import TCPClient

from chervilwall_router.settings import LimitSettings, split_address

LOG = logging.getLogger(__name__)
PROMPT_WEIGHT = 1.0
COMPLETION_WEIGHT = 2.0
USAGE_TAIL_BYTES = 4096
MAX_ANSWER_BYTES = 1 << 30
MAX_HEADER_BYTES = 65_536
RETRY_STATUSES = (502, 503, 504)
SERVER_ERROR = 500

_HOP_HEADERS = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "host",
        "content-length",
        "authorization",
        "expect",
    )
)
_ANSWER_DROPPED = _HOP_HEADERS - {"content-length"}


class Attempt(NamedTuple):
    """How one attempt ended.

    Args:
        outcome (str): One of the OUTCOME constants.
        status (int): HTTP status of the target's answer, 0 without one.
        work (float): Work done, in work units.
        first_byte_s (float): Seconds to the first byte, below 0 without one.
        relayed (bool): Whether any of the answer went to the caller.
        reason (str): Why it failed, or "".
    """

    outcome: str
    status: int = 0
    work: float = 0.0
    first_byte_s: float = -1.0
    relayed: bool = False
    reason: str = ""


class TargetClient:
    """Send requests to targets, each on a connection of its own.

    A fresh connection for each attempt makes it certain whether a byte left.

    Args:
        limits (LimitSettings): Time limits.
    """

    def __init__(self, limits: LimitSettings) -> None:
        self._limits = limits
        self._tcp = TCPClient()

    def __repr__(self) -> str:
        return "TargetClient()"

    async def attempt(
        self,
        target: Target,
        req: CallerRequest,
        sink: ResponseSink,
        *,
        may_retry: bool,
    ) -> Attempt:
        """Runs one attempt to its end.

        Args:
            target (Target): Where to.
            req (CallerRequest): What to send.
            sink (ResponseSink): Where the answer goes.
            may_retry (bool): Whether a busy target's answer is held back, so
                that another target may be tried.
        """
        started = time.monotonic()
        host, port = split_address(target.address)
        try:
            limit_s = self._limits.connect_timeout_s
            stream = await self._tcp.connect(host, port, timeout=limit_s)
        except (TimeoutError, OSError, StreamClosedError) as exc:
            reason = f"connect: {exc}"
            return Attempt(cell_messages.OUTCOME_NOT_SENT, reason=reason)
        idle_s = self._limits.target_idle_s
        answer = _Answer(stream, sink, started, idle_s, may_retry)
        try:
            await self._exchange(stream, target, req, answer)
        finally:
            answer.stop_timer()
            stream.close()
        return answer.result(time.monotonic() - started)

    async def _exchange(
        self,
        stream: IOStream,
        target: Target,
        req: CallerRequest,
        answer: "_Answer",
    ) -> None:
        stream.set_nodelay(True)
        params = HTTP1ConnectionParameters(
            no_keep_alive=True,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_ANSWER_BYTES,
        )
        conn = HTTP1Connection(stream, True, params)
        start = RequestStartLine(req.method, req.path, "HTTP/1.1")
        headers = _request_headers(req, target.address)
        try:
            await conn.write_headers(start, headers, req.body or None)
            conn.finish()
            await conn.read_response(answer)
        except StreamClosedError as exc:
            answer.note_broken(f"connection closed: {exc.real_error or ''}")


class _Answer(HTTPMessageDelegate):
    """Relay an answer and judge whether it came whole."""

    def __init__(
        self,
        stream: IOStream,
        sink: ResponseSink,
        started: float,
        idle_s: float,
        may_retry: bool,
    ) -> None:
        self._stream = stream
        self._sink = sink
        self._started = started
        self._idle_s = idle_s
        self._may_retry = may_retry
        self._status = 0
        self._first_byte_s = -1.0
        self._tail = b""
        self._framed = False
        self._whole = False
        self._held_back = False
        self._timed_out = False
        self._caller_gone = False
        self._reason = ""
        self._timer: asyncio.TimerHandle | None = None
        self._arm()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Takes the head of the answer."""
        assert isinstance(start_line, ResponseStartLine)
        if start_line.code < 200:
            return
        self._arm()
        self._status = start_line.code
        self._first_byte_s = time.monotonic() - self._started
        self._framed = _is_framed(start_line.code, headers)
        self._held_back = self._may_retry and self._status in RETRY_STATUSES
        if not self._held_back:
            self._sink.begin(self._status, _answer_headers(headers))

    async def data_received(self, chunk: bytes) -> None:
        """Takes a piece of the body."""
        self._tail = (self._tail + chunk)[-USAGE_TAIL_BYTES:]
        if self._held_back:
            return
        self.stop_timer()
        try:
            await self._sink.write(chunk)
        except StreamClosedError:
            self._caller_gone = True
            self._stream.close()
        self._arm()

    def finish(self) -> None:
        """Notes the end of the answer."""
        self._whole = self._framed
        self.stop_timer()

    def on_connection_close(self) -> None:
        """Notes that the connection ended early."""
        self.note_broken("connection closed early")

    def note_broken(self, reason: str) -> None:
        """Keeps the first reason for a failure."""
        self._reason = self._reason or reason

    def stop_timer(self) -> None:
        """Stops waiting for more data."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def result(self, elapsed_s: float) -> Attempt:
        """Returns how the attempt ended."""
        relayed = self._status != 0 and not self._held_back
        work = _usage_work(self._tail)
        return Attempt(
            outcome=self._outcome(),
            status=self._status,
            work=elapsed_s * 1000 if work is None else work,
            first_byte_s=self._first_byte_s,
            relayed=relayed,
            reason=self._reason,
        )

    def _outcome(self) -> str:
        if self._caller_gone:
            return cell_messages.OUTCOME_CANCELLED
        if self._timed_out:
            return cell_messages.OUTCOME_TIMEOUT
        if not self._whole:
            return cell_messages.OUTCOME_BROKEN
        if self._status >= SERVER_ERROR:
            return cell_messages.OUTCOME_UNKNOWN
        return cell_messages.OUTCOME_COMPLETED

    def _arm(self) -> None:
        self.stop_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._idle_s, self._time_out)

    def _time_out(self) -> None:
        self._timed_out = True
        self.note_broken(f"silent for {self._idle_s:g} s")
        self._stream.close()


def _request_headers(req: CallerRequest, address: str) -> HTTPHeaders:
    headers = HTTPHeaders({"Host": address, "Connection": "close"})
    for name, value in req.headers.items():
        if name.lower() not in _HOP_HEADERS:
            headers.add(name, value)
    headers["Content-Length"] = str(len(req.body))
    return headers


def _answer_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _ANSWER_DROPPED
    }


def _is_framed(status: int, headers: Mapping[str, str]) -> bool:
    coding = headers.get("Transfer-Encoding", "").lower()
    bodiless = status in (204, 304)
    return "Content-Length" in headers or coding == "chunked" or bodiless


def _usage_work(tail: bytes) -> float | None:
    """Returns the work that an answer's usage field states, if any."""
    text = tail.decode(errors="replace")
    at = text.rfind('"usage":')
    if at < 0:
        return None
    try:
        usage, _ = json.JSONDecoder().raw_decode(
            text[at + len('"usage":') :].lstrip()
        )
        prompt = float(usage["prompt_tokens"])
        completion = float(usage["completion_tokens"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    return PROMPT_WEIGHT * prompt + COMPLETION_WEIGHT * completion
