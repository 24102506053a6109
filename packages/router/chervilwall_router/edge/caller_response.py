"""HTTP response to one request of a caller."""

import asyncio
import enum
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from chervilwall.http_messages import Headers

from chervilwall_router.edge._head import encode_head
from chervilwall_router.edge.caller_closes import CloseReason
from chervilwall_router.problem import Problem

_BODILESS_STATUSES = (204, 304)
_REASON_PHRASES = {int(status): status.phrase for status in HTTPStatus}


class Framing(enum.Enum):
    """What shows a caller where a body ends; the values are logged."""

    # No response was begun.
    NONE = ""
    LENGTH = "length"
    CHUNKED = "chunked"
    # The end of the connection.
    CLOSE = "close"


class CallerSink(Protocol):
    """Connection that a response is written to."""

    def write(self, data: bytes) -> "asyncio.Future[None] | None":
        """Sends bytes.

        Returns:
            A future that is done when a slow caller has caught up, or None.
        """
        ...

    def closed(self) -> bool:
        """Returns whether the caller has disconnected."""
        ...

    def begin_unframed(self) -> None:
        """Prepares for a body that ends with the connection.

        Until end_answer() is called and all bytes are sent, the connection is
        reset if it ends, also with the process.
        """
        ...

    def end_answer(self, *, close: bool) -> None:
        """Proceeds to the next request, or closes after sending all bytes."""
        ...

    def disconnect(self, reason: CloseReason, *, abort: bool) -> None:
        """Closes the connection in the middle of a response.

        Args:
            reason (CloseReason): Why it is closed, for the log.
            abort (bool): Whether to reset the connection. Needed if a normal
                close would mark the end of the response.
        """
        ...


class CallerResponse:
    """Write the response to one request.

    Args:
        sink (CallerSink): Connection of the caller.
        should_close (Callable): Returns whether the connection closes after
            the response.
        chunked (bool): Whether the caller supports chunked encoding.
        bodiless (bool): Whether the request is HEAD, so that the response has
            no body.

    Attributes:
        framing (Framing): What shows the caller where the body ends.
        sent_bytes (int): Bytes of the body that were written.
        may_have_run (bool): Whether a target may have run the request. If not,
            the request is cancelled when its caller disconnects.
    """

    def __init__(
        self,
        sink: CallerSink,
        should_close: Callable[[], bool],
        *,
        chunked: bool = True,
        bodiless: bool = False,
    ) -> None:
        self._sink = sink
        self._should_close = should_close
        self._may_chunk = chunked
        self._bodiless = bodiless
        self.framing = Framing.NONE
        self.sent_bytes = 0
        self.may_have_run = True
        self._close_after = False
        self.started = False
        self.ended = False

    def __repr__(self) -> str:
        return f"CallerResponse(started={self.started}, ended={self.ended})"

    def closed(self) -> bool:
        """Returns whether the caller has disconnected."""
        return self._sink.closed()

    def begin(
        self,
        status: int,
        headers: Headers,
        body: bytes = b"",
        *,
        has_known_end: bool = True,
    ) -> None:
        """Writes the head, and the whole body or its first chunk.

        Args:
            status (int): HTTP status.
            headers (Headers): Headers, with a length if it is known.
            body (bytes): Whole body or its first chunk. Defaults to none.
            has_known_end (bool): Whether the sender of the body shows where it
                ends. If not, the response ends with the connection as well:
                chunks would assert that the body is complete. Defaults to True.
        """
        self.started = True
        header_names = {name.lower() for name, _ in headers}
        has_body = status not in _BODILESS_STATUSES and not self._bodiless
        has_length = "content-length" in header_names or not has_body
        self.framing = Framing.LENGTH
        if not has_length:
            may_chunk = self._may_chunk and has_known_end
            self.framing = Framing.CHUNKED if may_chunk else Framing.CLOSE
        close_requested = any(h == ("Connection", "close") for h in headers)
        self._close_after = (
            self._should_close()
            or close_requested
            or self.framing is Framing.CLOSE
        )
        if self._close_after and not close_requested:
            headers += (("Connection", "close"),)
        if self.framing is Framing.CHUNKED:
            headers += (("Transfer-Encoding", "chunked"),)
        phrase = _REASON_PHRASES.get(status, "-")
        head = encode_head(f"HTTP/1.1 {status} {phrase}", headers)
        self._bodiless = not has_body
        if self.framing is Framing.CLOSE:
            self._sink.begin_unframed()
        self._sink.write(head + self._frame(body))

    def write(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Writes a chunk of the body.

        Returns:
            A future that is done when a slow caller has caught up, or None.
        """
        data = self._frame(chunk)
        return self._sink.write(data) if data else None

    def _frame(self, chunk: bytes) -> bytes:
        if not chunk or self._bodiless:
            return b""
        self.sent_bytes += len(chunk)
        if self.framing is Framing.CHUNKED:
            return b"%x\r\n%b\r\n" % (len(chunk), chunk)
        return chunk

    def finish(self) -> None:
        """Ends the response; does nothing if it has already ended."""
        if self.ended:
            return
        self.ended = True
        if self.framing is Framing.CHUNKED:
            self._sink.write(b"0\r\n\r\n")
        self._sink.end_answer(close=self._close_after)

    def send(
        self,
        status: int,
        headers: Headers,
        body: bytes,
        *,
        has_known_end: bool = True,
    ) -> None:
        """Writes a complete response.

        Args:
            status (int): HTTP status.
            headers (Headers): Headers; a length among them is replaced.
            body (bytes): Whole body.
            has_known_end (bool): As for `begin`. Defaults to True.
        """
        if self.ended or self._sink.closed():
            return
        sent_headers = tuple(
            h for h in headers if h[0].lower() != "content-length"
        )
        if has_known_end and status not in _BODILESS_STATUSES:
            sent_headers += (("Content-Length", str(len(body))),)
        self.begin(status, sent_headers, body, has_known_end=has_known_end)
        self.finish()

    def refuse(self, problem: Problem, *, close: bool = False) -> None:
        """Writes a problem document as the complete response.

        Args:
            problem (Problem): Why the request is refused.
            close (bool): Whether the connection closes afterwards.
        """
        headers = [("Content-Type", "application/problem+json")]
        if problem.retry_after_s > 0:
            headers.append(("Retry-After", f"{problem.retry_after_s:.2f}"))
        if close:
            headers.append(("Connection", "close"))
        self.send(problem.status, tuple(headers), problem.body())

    def abort(self, reason: CloseReason) -> None:
        """Closes the connection so that the response is visibly incomplete."""
        self.ended = True
        self._sink.disconnect(reason, abort=self.framing is Framing.CLOSE)
