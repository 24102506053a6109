"""One request sent to one target, and its answer as it arrives."""

import asyncio
from collections.abc import Callable
from typing import Protocol

import httptools
from chervilwall.errors import CodecError, OversizedError
from chervilwall.http_messages import Headers, InboundRequest, ResponseHead
from chervilwall.protocol import WireFormat

from chervilwall_router.edge._head import decode_headers, encode_head
from chervilwall_router.edge.target_connection import TargetConnection

MAX_ANSWER_BYTES = 1 << 28
MAX_ANSWER_HEAD_BYTES = 65_536
# A target may send answers of earlier requests before the one awaited.
MAX_STRAY_ANSWERS = 4
MAX_INFORMATIONAL = 8
_WITH_BODY = frozenset(("POST", "PUT", "PATCH"))


class AnswerReceiver(Protocol):
    """What becomes of an answer."""

    def receive_head(self, head: ResponseHead) -> None:
        """Takes status and headers."""
        ...

    def receive_data(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Takes a piece of the body.

        Returns:
            What to wait for before more is read, or None.

        Raises:
            OversizedError: It is no sound answer's.
        """
        ...


class Exchange:
    """Send one request on a connection and read its answer.

    Args:
        conn (TargetConnection): A connection with no answer outstanding.
        wire (WireFormat): Reads the heads of answers.
        receiver (AnswerReceiver): Takes the answer.
        heard (Callable): Takes each head of the target, also those of answers
            to other requests.
    """

    def __init__(
        self,
        conn: TargetConnection,
        wire: WireFormat,
        receiver: AnswerReceiver,
        heard: Callable[[ResponseHead], None],
    ) -> None:
        self._conn = conn
        self._wire = wire
        self._receiver = receiver
        self._heard = heard
        self._parser = httptools.HttpResponseParser(self)
        self._done: asyncio.Future[None] | None = None
        self._request_id = ""
        self._is_head_request = False
        self._raw: list[tuple[bytes, bytes]] = []
        self._in_head = True
        self._head_bytes = 0
        self._body_bytes = 0
        self._informational = 0
        self._strays = 0
        self._stray = False
        self._pending = b""
        self._is_paused = False
        self.head: ResponseHead | None = None
        self.whole = False
        self.reusable = False
        self.reason = ""

    def __repr__(self) -> str:
        return f"Exchange(whole={self.whole})"

    def start(
        self, req: InboundRequest, headers: Headers
    ) -> "asyncio.Future[None]":
        """Sends a request; returns what ends with its answer.

        Afterwards `whole` tells whether the answer came whole, `reusable`
        whether the connection may carry another request, and `reason` what
        went wrong.
        """
        self._done = asyncio.get_running_loop().create_future()
        self._request_id = req.id
        self._is_head_request = req.method == "HEAD"
        self._conn.attach(self)
        if req.body or req.method in _WITH_BODY:
            headers += (("Content-Length", str(len(req.body))),)
        try:
            head = encode_head(f"{req.method} {req.url} HTTP/1.1", headers)
        except CodecError as exc:
            self.abandon(str(exc))
            return self._done
        if self._conn.closed():
            self._end("connection closed before the request")
            return self._done
        self._conn.write(head + req.body)
        return self._done

    def close(self) -> None:
        """Leaves the connection, and closes it unless it may be reused."""
        self._conn.detach()
        if self.reusable:
            self._resume()
        else:
            self._is_paused = False
            self._conn.close()

    def abandon(self, reason: str) -> None:
        """Stops the answer by closing the connection."""
        self._end(reason)
        self._conn.close()

    # What the connection calls.

    def receive(self, data: bytes) -> None:
        """Takes bytes of the target."""
        if self._is_over():
            self.reusable = False
            self._conn.close()
            return
        if self._in_head:
            self._head_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # An answer that is whole stays so, whatever follows it.
            self.reusable = False
            self.abandon(f"malformed answer: {exc}")
            return
        if self._in_head and self._head_bytes > MAX_ANSWER_HEAD_BYTES:
            self.abandon("head of an answer too large")
        self._deliver()

    def lose(self, reason: str, *, clean: bool) -> None:
        """Takes in that the connection has ended."""
        self.reusable = False
        head = self.head
        unframed = head is not None and not head.chunked_or_sized
        if clean and unframed and not self._is_over() and not self._in_head:
            self.whole = True
        self._end(reason)

    # What the parser calls.

    def on_message_begin(self) -> None:
        """Begins the head of an answer, of this request or another."""
        if self.whole:
            self.reusable = False
        self._raw = []
        self._in_head = True
        self._stray = False

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header; trailers after a body are not passed on."""
        if self._in_head:
            self._raw.append((name, value))

    def on_headers_complete(self) -> None:
        """Reads the head."""
        if self._is_over():
            return
        status = self._parser.get_status_code()
        if status < 200:
            self._informational += 1
            return
        self._in_head = False
        self._head_bytes = 0
        head = self._wire.read_answer(status, decode_headers(self._raw))
        self._heard(head)
        self._stray = bool(head.request_id) and (
            head.request_id != self._request_id
        )
        if self._stray:
            return
        self.head = head
        self._receiver.receive_head(head)
        if self._is_head_request:
            self.whole = True
            self._end("")

    def on_body(self, chunk: bytes) -> None:
        """Takes a piece of a body."""
        if not self._stray and not self._is_over():
            self._pending = self._pending + chunk if self._pending else chunk

    def on_message_complete(self) -> None:
        """Ends an answer."""
        if self._is_over():
            return
        if self._in_head:
            if self._informational > MAX_INFORMATIONAL:
                self.abandon("too many informational answers")
            return
        if self._stray:
            self._strays += 1
            if self._strays >= MAX_STRAY_ANSWERS:
                self.abandon("only answers to other requests came")
            return
        self._deliver()
        if self._is_over():
            return
        head = self.head
        assert head is not None
        self.whole = True
        self.reusable = (
            head.chunked_or_sized
            and not head.closing
            and self._parser.should_keep_alive()
            and not self._conn.is_sending()
        )
        self._end("")

    def _deliver(self) -> None:
        """Hands on the body that came in one piece of bytes."""
        chunk, self._pending = self._pending, b""
        if not chunk or self._is_over():
            return
        self._body_bytes += len(chunk)
        try:
            if self._body_bytes > MAX_ANSWER_BYTES:
                raise OversizedError("body too large", step="read answer")
            wait = self._receiver.receive_data(chunk)
        except OversizedError as exc:
            self.abandon(str(exc))
            return
        if wait is not None and not self._is_paused:
            self._is_paused = True
            self._conn.pause()
            wait.add_done_callback(lambda _: self._resume())

    def _resume(self) -> None:
        if self._is_paused:
            self._is_paused = False
            self._conn.resume()

    def _is_over(self) -> bool:
        return self._done is None or self._done.done()

    def _end(self, reason: str) -> None:
        if not self.whole:
            self.reason = self.reason or reason
        if self._done is not None and not self._done.done():
            self._done.set_result(None)
