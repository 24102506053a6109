"""The answer to one request of a caller."""

import asyncio
from collections.abc import Callable
from http import HTTPStatus
from typing import Protocol

from chervilwall.http_messages import Headers

from chervilwall_router.edge._head import encode_head
from chervilwall_router.problem import Problem

_BODILESS = (204, 304)
_REASONS = {int(status): status.phrase for status in HTTPStatus}


class AnswerSink(Protocol):
    """A caller's connection, as an answer sees it."""

    def write(self, data: bytes) -> "asyncio.Future[None] | None":
        """Sends bytes; returns what to wait for where the caller is slow."""
        ...

    def closed(self) -> bool:
        """Tells whether the caller has gone."""
        ...

    def end_answer(self, *, close: bool) -> None:
        """Goes on to the next request, or closes in order."""
        ...

    def cut(self, *, abort: bool) -> None:
        """Ends the connection in the middle of an answer.

        Args:
            abort (bool): Whether to reset it, where its end would look like
                the answer's.
        """
        ...


class CallerAnswer:
    """Write the answer to one request.

    Args:
        sink (AnswerSink): The caller's connection.
        closing (Callable): Tells whether the connection closes afterwards.
        chunked (bool): Whether the caller understands chunks.
        bodiless (bool): Whether answers to this request have no body.
    """

    def __init__(
        self,
        sink: AnswerSink,
        closing: Callable[[], bool],
        *,
        chunked: bool = True,
        bodiless: bool = False,
    ) -> None:
        self._sink = sink
        self._closing = closing
        self._may_chunk = chunked
        self._bodiless = bodiless
        self._chunks = False
        self._unframed = False
        self._close_after = False
        self.begun = False
        self.ended = False

    def __repr__(self) -> str:
        return f"CallerAnswer(begun={self.begun}, ended={self.ended})"

    def begin(self, status: int, headers: Headers, body: bytes = b"") -> None:
        """Writes the head, and the whole or the first piece of the body."""
        self.begun = True
        names = {name.lower() for name, _ in headers}
        has_body = status not in _BODILESS and not self._bodiless
        framed = "content-length" in names or not has_body
        self._chunks = not framed and self._may_chunk
        self._unframed = not framed and not self._may_chunk
        asked = any(h == ("Connection", "close") for h in headers)
        self._close_after = self._closing() or asked or self._unframed
        if self._close_after and not asked:
            headers += (("Connection", "close"),)
        if self._chunks:
            headers += (("Transfer-Encoding", "chunked"),)
        reason = _REASONS.get(status, "-")
        head = encode_head(f"HTTP/1.1 {status} {reason}", headers)
        self._bodiless = not has_body
        self._sink.write(head + self._framed(body))

    def write(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Writes a piece of the body.

        Returns:
            What to wait for while the caller is slow, or None.
        """
        data = self._framed(chunk)
        return self._sink.write(data) if data else None

    def _framed(self, chunk: bytes) -> bytes:
        if not chunk or self._bodiless:
            return b""
        return b"%x\r\n%b\r\n" % (len(chunk), chunk) if self._chunks else chunk

    def finish(self) -> None:
        """Ends the answer."""
        if self.ended:
            return
        self.ended = True
        if self._chunks:
            self._sink.write(b"0\r\n\r\n")
        self._sink.end_answer(close=self._close_after)

    def whole(self, status: int, headers: Headers, body: bytes) -> None:
        """Writes a whole answer."""
        if self.ended or self._sink.closed():
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
        self._sink.cut(abort=self._unframed)
