"""Incremental splitting of a `text/event-stream` body into events."""

import re
from typing import NamedTuple

from chervilwall.errors import OversizedError

_TERMINATOR = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_CONTENT_LINE = re.compile(rb"(?:^|[\r\n])(?:data|event)[:\r\n]")
_ID_LINE = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d{1,18})(?=[\r\n])")
# The longest terminator has 4 bytes, of which up to 3 may have arrived with
# earlier chunks.
_MAX_SPLIT_TERMINATOR_BYTES = 3
MAX_EVENT_BYTES = 1 << 20


class StreamEvent(NamedTuple):
    """An event of the stream.

    Args:
        raw (bytes): Bytes of the event, including the blank line that ends it.
        id (int): Numeric id of the event, or 0 without one.
    """

    raw: bytes
    id: int

    @property
    def is_comment(self) -> bool:
        """Whether it has neither an id nor content."""
        return not self.id and not _CONTENT_LINE.search(self.raw)

    @property
    def is_without_id(self) -> bool:
        """Whether it has content but no id; a comment has no content."""
        return not self.id and bool(_CONTENT_LINE.search(self.raw))


class EventSplitter:
    """Split chunks of bytes into complete events."""

    def __init__(self) -> None:
        self._buffer = b""

    def __repr__(self) -> str:
        return f"EventSplitter(pending={len(self._buffer)})"

    @property
    def pending(self) -> bytes:
        """Bytes received after the last complete event."""
        return self._buffer

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Adds a chunk and returns the events that it completes.

        Raises:
            OversizedError: An incomplete event exceeds MAX_EVENT_BYTES.
        """
        search_start = max(0, len(self._buffer) - _MAX_SPLIT_TERMINATOR_BYTES)
        data = self._buffer + chunk
        events = []
        start = 0
        while found := _TERMINATOR.search(data, max(start, search_start)):
            raw = data[start : found.end()]
            match = _ID_LINE.search(raw)
            events.append(StreamEvent(raw, int(match[1]) if match else 0))
            start = found.end()
        self._buffer = data[start:]
        if len(self._buffer) > MAX_EVENT_BYTES:
            raise OversizedError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes", step="read events"
            )
        return events
