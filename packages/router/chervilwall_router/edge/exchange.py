"""HTTP/1.1 exchange with a target: one request and its response."""

import asyncio
import enum
from collections.abc import Callable
from typing import NamedTuple, Protocol

import httptools
from chervilwall.errors import CodecError, OversizedError
from chervilwall.http_messages import Headers, InboundRequest, ResponseHead
from chervilwall.http_status import MIN_FINAL_STATUS, find_status_fault
from chervilwall.kept_bytes import KeptResponse, Standing
from chervilwall.protocol import WireFormat

from chervilwall_router.edge._framing import FramingCounter
from chervilwall_router.edge._head import (
    decode_headers,
    encode_head,
    has_status_line,
)
from chervilwall_router.edge._repeated_head import RepeatedHeadDetector
from chervilwall_router.edge.kept_responses import KeptResponses
from chervilwall_router.edge.target_connection import TargetConnection

# Limit on the body of a response, streams included.
MAX_BODY_BYTES = 1 << 28
MAX_HEAD_BYTES = 65_536
# A target may still send responses to earlier requests. They are skipped; the
# exchange fails at this many, or if their bodies exceed this size together.
MAX_UNMATCHED_RESPONSES = 4
MAX_UNMATCHED_BYTES = 1 << 20
MAX_INFORMATIONAL_RESPONSES = 8
# Time for the rest of a head whose beginning met the length of a body.
REST_WAIT_S = 0.01
# A request with a longer body may be answered before it has been read. Its
# answer, if it ends with the connection, is whole only if no reset follows in
# this time: the target's host resets the connection when a process closes it
# without having read everything.
LONG_BODY_BYTES = 1 << 14
END_SETTLE_S = 1.0
END_CHECK_INTERVAL_S = 0.05
# Memory of one header besides its bytes: two strings in a pair, in a list.
HEADER_OVERHEAD_BYTES = 192
# The parser copies an unfinished trailer at each read.
REST_COPIES = 2
# What is kept for a response counts in the sum from this size on, so that most
# responses cost no accounting.
MIN_COUNTED_BYTES = 4096
# Bodies from this size on are written without a copy.
MIN_SEPARATE_BYTES = 1 << 16
_BODY_METHODS = frozenset(("POST", "PUT", "PATCH"))


class Ending(enum.Enum):
    """How a response ended; the values are logged."""

    # Its length was met, or its last chunk came.
    FRAMED = "framed"
    # The target closed the connection without an error.
    CLOSED = "closed"
    # The connection failed.
    LOST = "lost"
    # This router gave up on the response.
    ABANDONED = "abandoned"


class SkipReason(enum.Enum):
    """Why a response is not the one to the request; the values are logged."""

    OTHER_ID = "other id"
    # It names no id, and the connection has carried another request.
    NO_ID = "no id"


class SkippedResponse(NamedTuple):
    """A response that does not belong to the request.

    Args:
        status (int): Its status.
        reason (SkipReason): Why it does not belong to the request.
    """

    status: int
    reason: SkipReason


class AnswerReceiver(Protocol):
    """Consume a response while it arrives."""

    @property
    def kept_bytes(self) -> int:
        """Bytes of memory that are kept of the body."""
        ...

    @property
    def awaits_event(self) -> bool:
        """Whether the response is a stream that had no new event yet."""
        ...

    def discard(self) -> None:
        """Drops the bytes that are kept."""
        ...

    def receive_head(self, head: ResponseHead) -> None:
        """Handles the status and the headers."""
        ...

    def receive_data(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Handles a chunk of the body.

        Returns:
            A future that is done when reading may continue, or None if
            reading need not pause.

        Raises:
            CodecError: The body cannot be a part of the response.
            OversizedError: The body exceeds the size that the receiver
                accepts.
        """
        ...


class Exchange:
    """Send one request on a connection and parse its response.

    A response belongs to the request if it names the id of the request, or if
    it names none and the connection has carried no other request. All other
    responses are skipped: they may be copies of earlier ones.

    Args:
        conn (TargetConnection): A connection without an outstanding response.
        wire (WireFormat): Decodes the heads of responses.
        receiver (AnswerReceiver): Receives the response to this request.
        on_head (Callable): Called with the head of the response.
        kept (KeptResponses | None): Bounds what is kept for all responses.
            Defaults to None, for no bound.
        target_id (str): Id of the target, for that bound. Defaults to "".

    Attributes:
        head (ResponseHead | None): Head of the response, or None if none was
            received.
        is_complete (bool): Whether the response is complete.
        ending (Ending): How the response ended.
        reusable (bool): Whether the connection can carry another request.
        reason (str): Why the exchange failed, "" if it did not.
        skipped (list[SkippedResponse]): Responses that were skipped.
    """

    def __init__(
        self,
        conn: TargetConnection,
        wire: WireFormat,
        receiver: AnswerReceiver,
        on_head: Callable[[ResponseHead], None],
        kept: KeptResponses | None = None,
        target_id: str = "",
    ) -> None:
        self._conn = conn
        self._wire = wire
        self._receiver = receiver
        self._on_head = on_head
        self._parser = httptools.HttpResponseParser(self)
        self._done: asyncio.Future[None] | None = None
        self._request_id = ""
        self._is_first_request = False
        self._is_head_request = False
        self._reason_phrase = b""
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._in_head = True
        self._head_bytes = 0
        self._body_bytes = 0
        self._unmatched_bytes = 0
        # Bytes of bodies in the read that is being parsed.
        self._read_body_bytes = 0
        self._framing = FramingCounter()
        self._informational_count = 0
        self._is_unmatched = False
        self._pending_body: list[bytes] = []
        self._repeats: RepeatedHeadDetector | None = None
        # Completes a body that ends like the beginning of a head, unless more
        # bytes follow.
        self._completion: asyncio.TimerHandle | None = None
        # Bytes of such a body that the last read brought.
        self._last_chunk = b""
        self._has_long_request = False
        # Checks for a reset after the target has closed its side.
        self._end_check: asyncio.TimerHandle | None = None
        # Why reading is paused: the caller is slow, or too much is kept.
        self._awaits_caller = False
        self._is_held = False
        self._kept = kept
        self._kept_response = KeptResponse(target_id)
        # Memory of the head, and bytes since the last byte of the body, which
        # the parser keeps if they are an unfinished trailer.
        self._head_memory_bytes = 0
        self._rest_bytes = 0
        # Bytes received since what is kept was last counted.
        self._uncounted_bytes = 0
        self.head: ResponseHead | None = None
        self.is_complete = False
        self.ending = Ending.ABANDONED
        self.reusable = False
        self.reason = ""
        self.skipped: list[SkippedResponse] = []

    def __repr__(self) -> str:
        return f"Exchange(is_complete={self.is_complete})"

    def start(
        self, req: InboundRequest, headers: Headers
    ) -> "asyncio.Future[None]":
        """Sends a request.

        Returns:
            A future that is done when the exchange ends. The attributes are
            final only then.
        """
        self._done = asyncio.get_running_loop().create_future()
        self._request_id = req.id
        self._is_head_request = req.method == "HEAD"
        self._has_long_request = len(req.body) > LONG_BODY_BYTES
        self._is_first_request = not self._conn.has_carried_request
        self._conn.request_ids.append(req.id)
        self._conn.attach(self)
        if req.body or req.method in _BODY_METHODS:
            headers += (("Content-Length", str(len(req.body))),)
        try:
            head = encode_head(f"{req.method} {req.url} HTTP/1.1", headers)
        except CodecError as exc:
            self.abort(str(exc))
            return self._done
        if self._conn.closed():
            self._finish("connection closed before the request")
            return self._done
        if len(req.body) < MIN_SEPARATE_BYTES:
            self._conn.write(head + req.body)
        else:
            # Joining would copy the body, which is kept until it is sent.
            self._conn.write(head)
            self._conn.write(req.body)
        return self._done

    def close(self) -> None:
        """Detaches from the connection, and closes it unless reusable."""
        self._conn.detach()
        if self._kept is not None:
            self._kept.remove(self._kept_response)
        if self.reusable:
            self._set_paused(awaits_caller=False, is_held=False)
        else:
            self._awaits_caller = self._is_held = False
            self._conn.close()

    def abort(self, reason: str) -> None:
        """Fails the exchange with a reason and closes the connection."""
        self._finish(reason)
        self._conn.close()

    def reject(self, reason: str) -> None:
        """Fails the exchange even if it is complete.

        A receiver that took the body only after its end may not accept it.
        """
        self.is_complete = self.reusable = False
        self.abort(reason)
        self.reason = reason

    @property
    def is_paused(self) -> bool:
        """Whether this router reads no further for now."""
        is_ending = self._end_check is not None
        return self._awaits_caller or self._is_held or is_ending

    # Callbacks of KeptResponses.

    def hold(self) -> None:
        """Pauses reading, as too much is kept for all responses."""
        self._set_paused(awaits_caller=self._awaits_caller, is_held=True)

    def release(self) -> None:
        """Ends hold()."""
        self._set_paused(awaits_caller=self._awaits_caller, is_held=False)

    def give_up(self, reason: str) -> None:
        """Fails the exchange and drops what is kept of the response."""
        self.abort(reason)
        self._raw_headers = []
        self._parser = httptools.HttpResponseParser(self)
        self._receiver.discard()

    # Callbacks of the connection.

    def receive(self, data: bytes) -> None:
        """Parses bytes received from the target."""
        if self._is_done():
            self.reusable = False
            self._conn.close()
            return
        if self._completion is not None:
            self.abort("the body ends inside the head of another response")
            return
        was_in_head = self._in_head
        if was_in_head:
            self._head_bytes += len(data)
        self._read_body_bytes = 0
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as exc:
            # Malformed bytes after a complete response only prevent reuse of
            # the connection; the response stays valid.
            self.reusable = False
            self.abort(f"malformed response: {exc}")
            return
        if self._completion is not None and not data.endswith(self._last_chunk):
            # The parser does not report line ends behind a response.
            self.abort("the body ends inside the head of another response")
            return
        if self._in_head and self._head_bytes > MAX_HEAD_BYTES:
            self.abort(
                f"response head of {self._head_bytes} bytes exceeds"
                f" {MAX_HEAD_BYTES} bytes"
            )
        if not was_in_head and self._framing.add(
            len(data), self._read_body_bytes
        ):
            self.abort("chunk extensions or trailers are too large")
        if self._unmatched_bytes > MAX_UNMATCHED_BYTES:
            self.abort(
                f"responses to other requests exceed {MAX_UNMATCHED_BYTES}"
                " bytes"
            )
        if was_in_head:
            self._rest_bytes = 0
        elif self._read_body_bytes:
            self._rest_bytes = len(data) - self._read_body_bytes
        else:
            self._rest_bytes += len(data)
        self._deliver_body()
        self._uncounted_bytes += len(data)
        if self._kept is not None and (
            was_in_head
            or self._uncounted_bytes >= MIN_COUNTED_BYTES
            or self._kept_response.kept_bytes
        ):
            self._uncounted_bytes = 0
            self._count_kept(self._kept)

    def on_eof(self) -> bool:
        """Waits for a reset before an answer to a long request counts as whole.

        Returns:
            Whether the connection stays open for that.
        """
        if (
            self._is_done()
            or not self._has_long_request
            or not self._ends_at_close()
        ):
            return False
        loop = asyncio.get_running_loop()
        self._check_end(loop.time() + END_SETTLE_S)
        return True

    def _check_end(self, settles_at: float) -> None:
        """Ends an exchange whose target has closed its side, at `settles_at`.

        It ends before if the connection is reset.
        """
        loop = asyncio.get_running_loop()
        if self._conn.has_ended():
            self.abort("the connection was reset after the target's end")
        elif loop.time() < settles_at:
            self._end_check = loop.call_later(
                END_CHECK_INTERVAL_S, self._check_end, settles_at
            )
        elif self._conn.has_unacknowledged_data():
            self.abort("the target ended before it had taken the request")
        else:
            self._end_at_close()
            self._conn.close()

    def on_connection_lost(self, reason: str, *, clean: bool) -> None:
        """Ends the exchange after the connection closed.

        A response that is neither chunked nor has a length ends with the
        connection, so it is complete if the target closed that cleanly and
        had not begun another one.
        """
        if self._completion is not None:
            self._complete()
        self.reusable = False
        if not self._is_done():
            self.ending = Ending.CLOSED if clean else Ending.LOST
        if clean and not self._is_done() and self._ends_at_close():
            self._end_at_close()
        self._finish(reason)

    def _ends_at_close(self) -> bool:
        """Returns whether the response ends with its connection."""
        head = self.head
        return head is not None and not head.is_delimited and not self._in_head

    def _end_at_close(self) -> None:
        """Ends the exchange with the connection, as its target closed that."""
        self.ending = Ending.CLOSED
        if self._repeats is not None and self._repeats.ends_inside_head():
            self._finish("the body ends inside the head of a response")
            return
        self.is_complete = True
        self._finish("")

    # Callbacks of the parser.

    def on_message_begin(self) -> None:
        """Starts a response, to this request or to another one."""
        if self.is_complete:
            self.reusable = False
        if self._completion is not None:
            self.abort("the body ends inside the head of another response")
        self._reason_phrase = b""
        self._raw_headers = []
        self._in_head = True
        self._is_unmatched = False

    def on_status(self, phrase: bytes) -> None:
        """Collects the reason phrase, which may come in parts."""
        self._reason_phrase += phrase

    def on_header(self, name: bytes, value: bytes) -> None:
        """Collects a header; trailers after the body are ignored."""
        if self._in_head:
            self._raw_headers.append((name, value))

    def on_headers_complete(self) -> None:
        """Decodes the head and passes it on if it matches the request."""
        if self._is_done():
            return
        status = self._parser.get_status_code()
        fault = find_status_fault(status, self._raw_headers)
        if fault:
            # Without its framing, nothing shows where the next one begins.
            self.abort(fault)
            return
        if status < MIN_FINAL_STATUS:
            self._informational_count += 1
            return
        self._in_head = False
        if self._head_bytes >= MIN_COUNTED_BYTES:
            self._head_memory_bytes += HEADER_OVERHEAD_BYTES * len(
                self._raw_headers
            ) + sum(len(n) + len(v) for n, v in self._raw_headers)
        self._head_bytes = 0
        head = self._wire.decode_response_head(
            status, decode_headers(self._raw_headers)
        )
        fault = head.contradiction
        if has_status_line(self._reason_phrase, self._raw_headers):
            fault = "it holds the head of another response"
        self._raw_headers = []
        if fault:
            self.abort(f"contradictory response head: {fault}")
            return
        mismatch = self._find_mismatch(head)
        if mismatch is not None:
            self._is_unmatched = True
            self.skipped.append(SkippedResponse(status, mismatch))
            return
        self._on_head(head)
        self.head = head
        self._repeats = RepeatedHeadDetector(self._conn.request_ids, self._wire)
        self._receiver.receive_head(head)
        if self._is_head_request:
            self.is_complete = True
            self.ending = Ending.FRAMED
            self._finish("")

    def on_body(self, chunk: bytes) -> None:
        """Collects a chunk of the body."""
        self._read_body_bytes += len(chunk)
        if self._is_done():
            return
        if self._is_unmatched:
            self._unmatched_bytes += len(chunk)
        else:
            self._pending_body.append(chunk)

    def on_message_complete(self) -> None:
        """Ends a response; the exchange ends if it matches the request."""
        if self._is_done():
            return
        if self._in_head:
            if self._informational_count > MAX_INFORMATIONAL_RESPONSES:
                self.abort(
                    f"more than {MAX_INFORMATIONAL_RESPONSES} informational"
                    " responses"
                )
            return
        if self._is_unmatched:
            if len(self.skipped) >= MAX_UNMATCHED_RESPONSES:
                self.abort(f"{len(self.skipped)} responses to other requests")
            return
        chunk = self._deliver_body()
        if self._is_done():
            return
        if self._may_lack_bytes():
            self._last_chunk = chunk
            loop = asyncio.get_running_loop()
            self._completion = loop.call_later(REST_WAIT_S, self._complete)
            return
        self._complete()

    def _may_lack_bytes(self) -> bool:
        """Returns whether a body that met its length may have broken off.

        The last chunk of a chunked body shows that it did not.
        """
        if self.head is None or self.head.is_chunked or self._repeats is None:
            return False
        return self._repeats.may_end_inside_head()

    def _complete(self) -> None:
        """Ends the exchange with a whole response."""
        if self._is_done():
            return
        head = self.head
        assert head is not None
        self.is_complete = True
        self.ending = Ending.FRAMED
        self.reusable = (
            head.is_delimited
            # What may still come could not be told from the next response.
            and self._completion is None
            and not head.closes_connection
            # The next response could not be told from a copy of this one.
            and bool(head.request_id)
            and self._parser.should_keep_alive()
            and not self._conn.has_unsent_data()
        )
        self._finish("")

    def _find_mismatch(self, head: ResponseHead) -> SkipReason | None:
        """Returns why a response is not the one to the request, or None."""
        if head.request_id:
            is_own = head.request_id == self._request_id
            return None if is_own else SkipReason.OTHER_ID
        return None if self._is_first_request else SkipReason.NO_ID

    def _deliver_body(self) -> bytes:
        """Passes the body bytes that one read brought to the receiver.

        Returns:
            These bytes.
        """
        chunk = b"".join(self._pending_body)
        self._pending_body.clear()
        if chunk and not self._is_done():
            self._deliver(chunk)
        return chunk

    def _deliver(self, chunk: bytes) -> None:
        self._body_bytes += len(chunk)
        if self._repeats is not None and self._repeats.feed(chunk):
            self.abort("another response follows inside the body")
            return
        try:
            if self._body_bytes > MAX_BODY_BYTES:
                raise OversizedError(
                    f"response body exceeds {MAX_BODY_BYTES} bytes",
                    step="read answer",
                )
            drained = self._receiver.receive_data(chunk)
        except (CodecError, OversizedError) as exc:
            self.abort(str(exc))
            return
        if drained is not None and not self._awaits_caller:
            self._set_paused(awaits_caller=True, is_held=self._is_held)
            drained.add_done_callback(lambda _: self._resume())

    def _resume(self) -> None:
        if self._awaits_caller:
            self._set_paused(awaits_caller=False, is_held=self._is_held)

    def _set_paused(self, *, awaits_caller: bool, is_held: bool) -> None:
        was_paused = self.is_paused
        self._awaits_caller, self._is_held = awaits_caller, is_held
        if self.is_paused and not was_paused:
            self._conn.pause()
        elif was_paused and not self.is_paused:
            self._conn.resume()

    def _count_kept(self, kept: KeptResponses) -> None:
        """Counts what is kept for the response in the sum of all."""
        kept_bytes = (
            self._head_memory_bytes
            + self._head_bytes
            + HEADER_OVERHEAD_BYTES * len(self._raw_headers)
            + REST_COPIES * self._rest_bytes
            + self._receiver.kept_bytes
        )
        response = self._kept_response
        if kept_bytes >= MIN_COUNTED_BYTES or response.kept_bytes:
            kept.update(response, self, kept_bytes, self._standing())

    def _standing(self) -> Standing:
        if self.is_complete:
            return Standing.COMPLETE
        if self.head is None or not self.head.signed:
            return Standing.UNCONFIRMED
        if self._receiver.awaits_event:
            return Standing.NO_EVENT
        return Standing.BEGUN

    def _is_done(self) -> bool:
        return self._done is None or self._done.done()

    def _finish(self, reason: str) -> None:
        for timer in (self._completion, self._end_check):
            if timer is not None:
                timer.cancel()
        if not self.is_complete:
            self.reason = self.reason or reason
        if self._done is not None and not self._done.done():
            self._done.set_result(None)
