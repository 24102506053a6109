"""Relaying of a target's response to the caller."""

import asyncio
from collections.abc import Callable, Iterator

from chervilwall.errors import CodecError, OversizedError
from chervilwall.event_stream import EventSplitter, StreamEvent
from chervilwall.http_messages import ResponseHead

from chervilwall_router.edge.caller_response import CallerResponse
from chervilwall_router.edge.request_types import is_unconfirmed_refusal

# Responses that are not streams are buffered until complete, up to this size,
# so that another target can be tried if one fails.
MAX_BUFFERED_BYTES = 1 << 20

# Comments that a stream may have between two events, in bytes.
MAX_COMMENT_BYTES = 1 << 14
# Memory of each part of a buffered body besides its bytes.
PART_OVERHEAD_BYTES = 64
# Bytes that are split into events at a time, so that a limit that they exceed
# ends the work on the rest.
SPLIT_BYTES = 1 << 14


class BufferedRelay:
    """Buffer a response until it is complete, and stream it if it is large.

    The body of a response that is never relayed is counted, but not kept.

    A response that exceeds `MAX_BUFFERED_BYTES` is sent while it arrives if it
    is signed by the target, not encoded, and does not state that the request
    was not executed. Otherwise receive_data() raises OversizedError.

    Args:
        answer (CallerResponse): Response to the caller.
        on_first_data (Callable): Called when the head arrives, which counts as
            the first data.
    """

    def __init__(
        self, answer: CallerResponse, on_first_data: Callable[[], None]
    ) -> None:
        self._answer = answer
        self._on_first_data = on_first_data
        self._head: ResponseHead | None = None
        self._buffered: list[bytes] = []
        self._keeps_body = False
        self._kept_bytes = 0
        self._body_bytes = 0

    def __repr__(self) -> str:
        return f"BufferedRelay(size={self._body_bytes})"

    @property
    def sent_bytes(self) -> int:
        """Bytes of the body that the caller was sent."""
        return self._answer.sent_bytes

    @property
    def partial_bytes(self) -> int:
        """Always 0, as the body is not divided into events."""
        return 0

    @property
    def kept_bytes(self) -> int:
        """Bytes of memory that are kept of the body."""
        return self._kept_bytes

    @property
    def awaits_event(self) -> bool:
        """Always False, as the body is not divided into events."""
        return False

    @property
    def last_event_id(self) -> int:
        """Always 0, as the body is not divided into events."""
        return 0

    @property
    def is_discarded(self) -> bool:
        """Always False, as no part of a response is sent before this one."""
        return False

    @property
    def buffered(self) -> "BufferedRelay":
        """This relay; it has no events."""
        return self

    @property
    def may_be_replaced(self) -> bool:
        """Whether another response may still take the place of this one."""
        return not self._answer.started

    def find_fault(self, *, is_framed: bool) -> str:
        """Returns "", as a buffered body alone does not show a fault."""
        del is_framed
        return ""

    def receive_head(self, head: ResponseHead) -> None:
        """Handles the status and the headers."""
        self._head = head
        self._keeps_body = may_relay(head) and not (
            head.not_executed or is_unconfirmed_refusal(head)
        )
        self._on_first_data()

    def receive_data(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Buffers a chunk of the body, or sends it to the caller.

        Returns:
            A future that is done when a slow caller has caught up, or None.

        Raises:
            OversizedError: The body is too large to buffer and must not be
                relayed.
        """
        self._body_bytes += len(chunk)
        if self._answer.started:
            return self._answer.write(chunk)
        if self._keeps_body:
            self._buffered.append(chunk)
            self._kept_bytes += len(chunk) + PART_OVERHEAD_BYTES
        if self._body_bytes <= MAX_BUFFERED_BYTES:
            return None
        head = self._head
        if head is None or not head.may_be_relayed or head.not_executed:
            self.discard()
            raise OversizedError(
                "response that must not be relayed exceeds"
                f" {MAX_BUFFERED_BYTES} bytes",
                step="read answer",
            )
        self._answer.begin(
            head.status,
            head.headers,
            self._take_buffered(),
            has_known_end=head.is_delimited,
        )
        return None

    def _take_buffered(self) -> bytes:
        """Returns the buffered body, whose parts are kept no longer."""
        body = b"".join(self._buffered)
        self.discard()
        return body

    def discard(self) -> None:
        """Drops the bytes that are kept."""
        self._buffered.clear()
        self._kept_bytes = 0

    def finish(self) -> None:
        """Sends the buffered response, or ends the one being streamed."""
        if self._answer.started:
            self._answer.finish()
            return
        head = self._head
        assert head is not None
        self._answer.send(
            head.status,
            head.headers,
            self._take_buffered(),
            has_known_end=head.is_delimited,
        )


class StreamRelay:
    """Relay complete events of a stream as they arrive.

    One relay may serve several attempts, one after another; reset() is called
    between them. Events that were already sent are skipped, so a resumed stream
    has no duplicates. In a continuation, an event without an id cannot belong
    to the stream: it may tell of an error. A `BufferedRelay` handles a response
    that is a failure, unsigned, encoded or of another content type.

    Comments are relayed, but are neither events nor the first data.

    Args:
        answer (CallerResponse): Response to the caller.
        on_first_data (Callable): Called on each batch of new events; the
            receiver ignores all calls but the first. Also called on the head
            of a response that a `BufferedRelay` handles.
        last_event_id (int): Id of the last event that the caller received.

    Attributes:
        last_event_id (int): Id of the last event that was sent to the caller.
        events (int): Number of events that were sent to the caller.
    """

    def __init__(
        self,
        answer: CallerResponse,
        on_first_data: Callable[[], None],
        last_event_id: int,
    ) -> None:
        self._answer = answer
        self._on_first_data = on_first_data
        self._splitter = EventSplitter()
        self._head: ResponseHead | None = None
        self._buffered_relay: BufferedRelay | None = None
        # Whether the caller has events, which a body must not follow.
        self._follows_events = False
        self.last_event_id = last_event_id
        self.events = 0
        self._comment_bytes = 0
        # Whether the caller has an event without an id.
        self._has_unnumbered = False
        self._is_continuation = last_event_id > 0

    def __repr__(self) -> str:
        return f"StreamRelay(last_event_id={self.last_event_id})"

    @property
    def sent_bytes(self) -> int:
        """Bytes that the caller was sent, in this attempt or before."""
        return self._answer.sent_bytes

    @property
    def partial_bytes(self) -> int:
        """Bytes received after the last complete event."""
        return len(self._splitter.pending)

    @property
    def kept_bytes(self) -> int:
        """Bytes of memory that are kept of the response."""
        if self._buffered_relay is not None:
            return self._buffered_relay.kept_bytes
        return len(self._splitter.pending)

    @property
    def awaits_event(self) -> bool:
        """Whether the response is a stream that had no new event yet."""
        return self._buffered_relay is None and not self.events

    def find_fault(self, *, is_framed: bool) -> str:
        """Returns why the events of an ended response are no whole stream.

        Args:
            is_framed (bool): Whether a length or chunks showed its end.

        Returns:
            The fault, or "" if none is visible.
        """
        if self._buffered_relay is not None:
            return ""
        if self._splitter.pending:
            return "stream ended inside an event"
        if not is_framed and not self.events and not self.last_event_id:
            return "stream ended without an event"
        return ""

    @property
    def is_discarded(self) -> bool:
        """Whether the response cannot follow the events that were sent."""
        return self._buffered_relay is not None and self._follows_events

    @property
    def buffered(self) -> BufferedRelay | None:
        """Holds the current response if that is not relayed as events."""
        return self._buffered_relay

    @property
    def may_be_replaced(self) -> bool:
        """Whether another response may still replace or continue this one.

        It may not once a body that is no event stream was sent in part, nor
        after an event without an id, behind which nothing can be resumed.
        """
        if self._has_unnumbered:
            return False
        has_sent_body = (
            self._buffered_relay is not None
            and not self._follows_events
            and not self._buffered_relay.may_be_replaced
        )
        return not has_sent_body

    def reset(self) -> None:
        """Resets the parser for the response of another attempt."""
        self._splitter = EventSplitter()
        self._head = None
        self._buffered_relay = None
        self._follows_events = self._answer.started
        self._is_continuation = self.last_event_id > 0

    def discard(self) -> None:
        """Drops the bytes that are kept of the current response."""
        self._splitter = EventSplitter()
        if self._buffered_relay is not None:
            self._buffered_relay.discard()

    def receive_head(self, head: ResponseHead) -> None:
        """Handles the status and the headers."""
        self._head = head
        is_stream = head.is_success and head.may_be_event_stream
        if not is_stream or not head.may_be_relayed or head.not_executed:
            self._buffered_relay = BufferedRelay(
                self._answer, self._on_first_data
            )
            self._buffered_relay.receive_head(head)

    def receive_data(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Sends the events that the bytes complete.

        Returns:
            A future that is done when a slow caller has caught up, or None.

        Raises:
            CodecError: A continuation has an event without an id. Those before
                it were sent.
            OversizedError: An event, or a failure that is buffered, is too
                large.
        """
        if self._buffered_relay is not None:
            if self._follows_events:
                return None
            return self._buffered_relay.receive_data(chunk)
        new_events: list[bytes] = []
        comments: list[bytes] = []
        is_foreign = False
        for event in self._split(chunk):
            if event.is_comment:
                self._add_comment(event.raw)
                (new_events or comments).append(event.raw)
                continue
            self._comment_bytes = 0
            is_foreign = self._is_continuation and event.is_without_id
            if is_foreign:
                break
            if event.id and event.id <= self.last_event_id:
                continue
            self._has_unnumbered |= not event.id
            self.last_event_id = event.id or self.last_event_id
            self.events += 1
            new_events.append(event.raw)
        drained = None
        if comments:
            drained = self._write(b"".join(comments))
        if new_events:
            self._on_first_data()
            drained = self._write(b"".join(new_events))
        if is_foreign:
            raise CodecError(
                "a continuation has an event without an id", step="read events"
            )
        return drained

    def _split(self, chunk: bytes) -> Iterator[StreamEvent]:
        """Generates the events that a chunk completes."""
        for start in range(0, len(chunk), SPLIT_BYTES):
            yield from self._splitter.feed(chunk[start : start + SPLIT_BYTES])

    def _add_comment(self, raw: bytes) -> None:
        """Counts a comment.

        Raises:
            OversizedError: There are too many since the last event.
        """
        self._comment_bytes += len(raw)
        if self._comment_bytes > MAX_COMMENT_BYTES:
            raise OversizedError(
                f"comments between two events exceed {MAX_COMMENT_BYTES} bytes",
                step="read events",
            )

    def _write(self, data: bytes) -> "asyncio.Future[None] | None":
        if self._answer.started:
            return self._answer.write(data)
        head = self._head
        assert head is not None
        headers = tuple(
            h for h in head.headers if h[0].lower() != "content-length"
        )
        self._answer.begin(
            head.status, headers, data, has_known_end=head.is_delimited
        )
        return None

    def finish(self) -> None:
        """Ends the stream, or sends the target's failure response."""
        if self._buffered_relay is not None and not self._follows_events:
            self._buffered_relay.finish()
            return
        if not self._answer.started:
            self._write(b"")
        self._answer.finish()


def may_relay(head: ResponseHead) -> bool:
    """Returns whether a response may be relayed to the caller.

    A failure always may. A success must be signed by the target and must not
    be encoded, which `ResponseHead.may_be_relayed` checks.
    """
    return head.may_be_relayed or not head.is_success
