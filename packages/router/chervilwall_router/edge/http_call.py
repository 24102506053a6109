"""Client for single HTTP requests with small responses."""

import asyncio
from typing import NamedTuple

from chervilwall.errors import ChervilwallError, DialError
from tornado.http1connection import HTTP1Connection, HTTP1ConnectionParameters
from tornado.httputil import (
    HTTPHeaders,
    HTTPMessageDelegate,
    RequestStartLine,
    ResponseStartLine,
)
from tornado.iostream import StreamClosedError

from chervilwall_router.edge._dial import dial

# Limit on response bodies, several times larger than any list from the object
# store or snapshot from a peer.
MAX_BODY_BYTES = 1 << 24
_CONNECTION_PARAMS = HTTP1ConnectionParameters(
    max_body_size=MAX_BODY_BYTES, no_keep_alive=True
)


class CallFailedError(ChervilwallError):
    """Call without a complete response.

    The server may have executed the request.
    """


class CallTimeoutError(CallFailedError):
    """Call whose response was not complete in time."""


class CallResponse(NamedTuple):
    """Complete response to a call.

    Args:
        status (int): HTTP status.
        headers (HTTPHeaders): Headers of the response.
        body (bytes): Body of the response.
    """

    status: int
    headers: HTTPHeaders
    body: bytes


class _ResponseCollector(HTTPMessageDelegate):
    def __init__(self) -> None:
        self.status = 0
        self.headers = HTTPHeaders()
        self.body = bytearray()
        self.is_complete = False

    def headers_received(
        self,
        start_line: RequestStartLine | ResponseStartLine,
        headers: HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, ResponseStartLine)
        self.status = start_line.code
        self.headers = headers

    def data_received(self, chunk: bytes) -> None:
        self.body += chunk

    def finish(self) -> None:
        self.is_complete = True


async def send_request(
    address: str,
    method: str,
    url: str,
    *,
    body: bytes | None = None,
    headers: dict[str, str] | None = None,
    timeout_s: float,
    step: str,
) -> CallResponse:
    """Sends one request on a new connection and returns the response.

    Args:
        address (str): "IP:port" of the server.
        method (str): HTTP method.
        url (str): Path and query.
        body (bytes | None): Body of the request. Defaults to none.
        headers (dict | None): Additional headers. Defaults to none.
        timeout_s (float): Maximum duration of the whole call.
        step (str): Purpose of the call, named in errors.

    Returns:
        The complete response, whatever its status.

    Raises:
        DialError: The connection failed; nothing was sent.
        CallFailedError: The connection closed before the response was complete.
        CallTimeoutError: The timeout passed before.
    """
    try:
        async with asyncio.timeout(timeout_s):
            return await _send_request(
                address, method, url, body, headers or {}, step, timeout_s
            )
    except TimeoutError as exc:
        reason = f"no complete response within {timeout_s:g} s"
        raise CallTimeoutError(reason, step=step, peer=address) from exc


async def _send_request(
    address: str,
    method: str,
    url: str,
    body: bytes | None,
    headers: dict[str, str],
    step: str,
    timeout_s: float,
) -> CallResponse:
    stream = await dial(address, timeout_s, step=step)
    try:
        conn = HTTP1Connection(stream, True, _CONNECTION_PARAMS)
        request_headers = HTTPHeaders(
            {"Host": address, "Connection": "close", **headers}
        )
        if body is not None:
            request_headers["Content-Length"] = str(len(body))
        conn.write_headers(
            RequestStartLine(method, url, ""), request_headers, body
        )
        conn.finish()
        response = _ResponseCollector()
        await conn.read_response(response)
    except (StreamClosedError, ValueError) as exc:
        # The library raises a ValueError for some malformed numbers.
        raise CallFailedError(str(exc), step=step, peer=address) from exc
    finally:
        stream.close()
    if not response.is_complete or response.status == 0:
        raise CallFailedError(
            "connection closed before the response was complete",
            step=step,
            peer=address,
        )
    return CallResponse(response.status, response.headers, bytes(response.body))


__all__ = [
    "CallFailedError",
    "CallResponse",
    "CallTimeoutError",
    "DialError",
    "send_request",
]
