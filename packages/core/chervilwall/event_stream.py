"""Events of a `text/event-stream` body, cut out of arriving bytes."""

import re
from typing import NamedTuple

_END = re.compile(rb"\r\n\r\n|\n\n|\r\r")
_ID = re.compile(rb"(?:^|[\r\n])id:[ ]?(\d+)(?=[\r\n])")
MAX_EVENT_BYTES = 1 << 20


class StreamEvent(NamedTuple):
    """One event.

    Args:
        raw (bytes): Its bytes, with the blank line.
        id (int): Its id, 0 without one.
    """

    raw: bytes
    id: int


class EventSplitter:
    """Cut arriving bytes into whole events."""

    def __init__(self) -> None:
        self._rest = b""

    def __repr__(self) -> str:
        return f"EventSplitter(rest={len(self._rest)})"

    @property
    def rest(self) -> bytes:
        """Bytes after the last whole event."""
        return self._rest

    def feed(self, chunk: bytes) -> list[StreamEvent]:
        """Returns the events that the bytes complete."""
        data = self._rest + chunk
        events = []
        at = 0
        while found := _END.search(data, at):
            raw = data[at : found.end()]
            match = _ID.search(raw)
            events.append(StreamEvent(raw, int(match[1]) if match else 0))
            at = found.end()
        self._rest = data[at:]
        return events
