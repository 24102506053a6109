"""Incremental splitting of a `text/event-stream` body into events."""

import re
from typing import NamedTuple

from chervilwall.errors import OversizedError

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d{1,18})(?=[\r\n])")
# The longest terminator has 4 bytes, of which up to 3 may have arrived with
# earlier chunks.
_END_OVERLAP = 3
MAX_EVENT_BYTES = 1 << 20


class StreamEvent(NamedTuple):
    """An event of the stream.

    Args:
        raw (bytes): Bytes of the event, including the blank line that ends it.
        id (int): Numeric id of the event, or 0 without one.
    """

    raw: bytes
    id: int


class EventSplitter:
    """Splitter that turns chunks of bytes into complete events."""

    def __init__(self) -> None:
        self._rest = b""

    def __repr__(self) -> str:
        return f"EventSplitter(rest={len(self._rest)})"

    @property
    def rest(self) -> bytes:
        """Bytes received after the last complete event."""
        return self._rest

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Adds a chunk and returns the events that it completes.

        Raises:
            OversizedError: An incomplete event exceeds MAX_EVENT_BYTES.
        """
        searched = max(0, len(self._rest) - _END_OVERLAP)
        data = self._rest + chunk
        events = []
        at = 0
        while found := _END.search(data, max(at, searched)):
            raw = data[at : found.end()]
            match = _ID.search(raw)
            events.append(StreamEvent(raw, int(match[1]) if match else 0))
            at = found.end()
        self._rest = data[at:]
        if len(self._rest) > MAX_EVENT_BYTES:
            raise OversizedError(
                f"an event exceeds {MAX_EVENT_BYTES} bytes", step="read events"
            )
        return events
