"""HTTP client that sends requests to targets and relays the responses."""

import asyncio
import json
import logging
import time
from collections.abc import Mapping
from typing import NamedTuple

from chervilwall import cell_messages
from chervilwall.classify import CallerRequest
from chervilwall.config import Target
from chervilwall.http_status import MIN_FINAL_STATUS, is_known_status
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
# Work units of one token of the prompt, and of one token of the completion.
PROMPT_TOKEN_WEIGHT = 1.0
COMPLETION_TOKEN_WEIGHT = 2.0
# The usage field is searched in this many bytes at the end of a response.
USAGE_TAIL_BYTES = 4096
MAX_RESPONSE_BYTES = 1 << 30
MAX_HEADER_BYTES = 65_536
RETRYABLE_STATUSES = (502, 503, 504)
MIN_SERVER_ERROR_STATUS = 500

_DROPPED_REQUEST_HEADERS = frozenset(
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
_DROPPED_RESPONSE_HEADERS = _DROPPED_REQUEST_HEADERS - {"content-length"}


class Attempt(NamedTuple):
    """Result of one attempt to have a target answer a request.

    Args:
        outcome (str): One of the OUTCOME constants.
        status (int): HTTP status of the target's response, 0 if none arrived.
        work (float): Work done, in work units.
        first_byte_s (float): Seconds to the head of the response, negative if
            none arrived.
        relayed (bool): Whether any of the response was passed to the sink.
        reason (str): Why the attempt failed, "" if it did not.
    """

    outcome: str
    status: int = 0
    work: float = 0.0
    first_byte_s: float = -1.0
    relayed: bool = False
    reason: str = ""


class TargetClient:
    """Send requests to targets, each on a new connection.

    If the connection can't be opened, the target has certainly not received the
    request. With a reused connection this would be uncertain, because the
    target may close it while the request is being sent.

    Args:
        limits (LimitSettings): Timeouts for connecting and for targets that
            send no data.
    """

    def __init__(self, limits: LimitSettings) -> None:
        self._limits = limits
        self._tcp = TCPClient()

    def __repr__(self) -> str:
        return "TargetClient()"

    async def send(
        self,
        target: Target,
        req: CallerRequest,
        sink: ResponseSink,
        *,
        may_retry: bool,
    ) -> Attempt:
        """Sends a request to a target and relays the response.

        Args:
            target (Target): The target.
            req (CallerRequest): The request.
            sink (ResponseSink): Receives the response.
            may_retry (bool): Whether the request may be retried on another
                target. If so, a response with one of RETRYABLE_STATUSES is not
                passed to the sink.

        Returns:
            The result of the attempt. Failures of the target are not raised.
        """
        started = time.monotonic()
        host, port = split_address(target.address)
        try:
            limit_s = self._limits.connect_timeout_s
            stream = await self._tcp.connect(host, port, timeout=limit_s)
        except (TimeoutError, OSError, StreamClosedError) as exc:
            reason = f"cannot connect to {target.address}: {exc}"
            return Attempt(cell_messages.OUTCOME_NOT_SENT, reason=reason)
        idle_s = self._limits.target_idle_s
        response = _ResponseRelay(stream, sink, started, idle_s, may_retry)
        try:
            await self._send_and_relay(stream, target, req, response)
        finally:
            response.cancel_timer()
            stream.close()
        return response.result(time.monotonic() - started)

    async def _send_and_relay(
        self,
        stream: IOStream,
        target: Target,
        req: CallerRequest,
        response: "_ResponseRelay",
    ) -> None:
        stream.set_nodelay(True)
        params = HTTP1ConnectionParameters(
            no_keep_alive=True,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_RESPONSE_BYTES,
        )
        conn = HTTP1Connection(stream, True, params)
        start = RequestStartLine(req.method, req.path, "HTTP/1.1")
        headers = _request_headers(req, target.address)
        try:
            await conn.write_headers(start, headers, req.body or None)
            conn.finish()
            await conn.read_response(response)
        except StreamClosedError as exc:
            response.record_failure(
                "connection to the target closed: "
                f"{exc.real_error or 'end of stream'}"
            )


class _ResponseRelay(HTTPMessageDelegate):
    """Relay a response to a sink and determine whether it is complete.

    A response is complete only if its head shows where the body ends: by a
    Content-Length, by chunked encoding, or by a status without a body. One that
    ends when the connection closes may have been cut off.

    If the request may be retried, a response with one of RETRYABLE_STATUSES is
    withheld, which means that it is not passed to the sink.
    """

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
        self._may_withhold = may_retry
        self._status = 0
        self._first_byte_s = -1.0
        self._body_tail = b""
        self._has_framing = False
        self._complete = False
        self._withheld = False
        self._timed_out = False
        self._caller_disconnected = False
        self._reason = ""
        self._timer: asyncio.TimerHandle | None = None
        self._restart_timer()

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        """Handles the head of the response; informational ones are ignored."""
        assert isinstance(start_line, ResponseStartLine)
        if not is_known_status(start_line.code):
            self.record_failure(f"HTTP has no status {start_line.code:03}")
            self._stream.close()
            return
        if start_line.code < MIN_FINAL_STATUS:
            return
        self._restart_timer()
        self._status = start_line.code
        self._first_byte_s = time.monotonic() - self._started
        self._has_framing = _has_body_framing(start_line.code, headers)
        self._withheld = (
            self._may_withhold and self._status in RETRYABLE_STATUSES
        )
        if not self._withheld:
            self._sink.begin(self._status, _relayed_headers(headers))

    async def data_received(self, chunk: bytes) -> None:
        """Handles a chunk of the body."""
        self._body_tail = (self._body_tail + chunk)[-USAGE_TAIL_BYTES:]
        # Without a status there is no answer that the body could belong to.
        if self._withheld or not self._status:
            return
        self.cancel_timer()
        try:
            await self._sink.write(chunk)
        except StreamClosedError:
            self._caller_disconnected = True
            self._stream.close()
        self._restart_timer()

    def finish(self) -> None:
        """Handles the end of the response."""
        self._complete = self._has_framing
        self.cancel_timer()

    def on_connection_close(self) -> None:
        """Handles a connection that closed before the end of the response."""
        self.record_failure(
            "target closed the connection before the end of the response"
        )

    def record_failure(self, reason: str) -> None:
        """Records the reason of a failure, unless one is recorded already."""
        self._reason = self._reason or reason

    def cancel_timer(self) -> None:
        """Cancels the idle timeout."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def result(self, elapsed_s: float) -> Attempt:
        """Returns the result of the attempt, which took `elapsed_s` seconds.

        A response that states no token usage counts one work unit per
        millisecond.
        """
        relayed = self._status != 0 and not self._withheld
        work = _usage_work(self._body_tail)
        return Attempt(
            outcome=self._outcome(),
            status=self._status,
            work=elapsed_s * 1000 if work is None else work,
            first_byte_s=self._first_byte_s,
            relayed=relayed,
            reason=self._reason,
        )

    def _outcome(self) -> str:
        if self._caller_disconnected:
            return cell_messages.OUTCOME_CANCELLED
        if self._timed_out:
            return cell_messages.OUTCOME_TIMEOUT
        if not self._complete:
            return cell_messages.OUTCOME_BROKEN
        if self._status >= MIN_SERVER_ERROR_STATUS:
            return cell_messages.OUTCOME_UNKNOWN
        return cell_messages.OUTCOME_COMPLETED

    def _restart_timer(self) -> None:
        self.cancel_timer()
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(self._idle_s, self._on_idle_timeout)

    def _on_idle_timeout(self) -> None:
        self._timed_out = True
        self.record_failure(f"no data from the target for {self._idle_s:g} s")
        self._stream.close()


def _request_headers(req: CallerRequest, address: str) -> HTTPHeaders:
    headers = HTTPHeaders({"Host": address, "Connection": "close"})
    for name, value in req.headers.items():
        if name.lower() not in _DROPPED_REQUEST_HEADERS:
            headers.add(name, value)
    headers["Content-Length"] = str(len(req.body))
    return headers


def _relayed_headers(headers: Mapping[str, str]) -> dict[str, str]:
    return {
        name: value
        for name, value in headers.items()
        if name.lower() not in _DROPPED_RESPONSE_HEADERS
    }


def _has_body_framing(status: int, headers: Mapping[str, str]) -> bool:
    transfer_encoding = headers.get("Transfer-Encoding", "").lower()
    has_no_body = status in (204, 304)
    return (
        "Content-Length" in headers
        or transfer_encoding == "chunked"
        or has_no_body
    )


def _usage_work(tail: bytes) -> float | None:
    """Returns the work that the usage field of a response states.

    Args:
        tail (bytes): The last bytes of the body.

    Returns:
        Work units, or None if there is no valid usage field.
    """
    text = tail.decode(errors="replace")
    start = text.rfind('"usage":')
    if start < 0:
        return None
    try:
        usage, _ = json.JSONDecoder().raw_decode(
            text[start + len('"usage":') :].lstrip()
        )
        prompt = float(usage["prompt_tokens"])
        completion = float(usage["completion_tokens"])
    except (ValueError, KeyError, TypeError, RecursionError):
        return None
    return PROMPT_TOKEN_WEIGHT * prompt + COMPLETION_TOKEN_WEIGHT * completion
