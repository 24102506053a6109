"""Detection of a further response in a body that has no framing."""

import re
from collections.abc import Collection

_STATUS_LINE = re.compile(rb"HTTP/1\.[01] \d{3}")
_STATUS_LINE_BYTES = len(b"HTTP/1.1 200")
MAX_HEAD_BYTES = 65_536


class RepeatedHeadDetector:
    """Find the head of a response among the bytes of a body.

    A body without length or chunks has no end but that of its connection, so
    nothing else tells a response that a target sends next from the body. A
    status line alone may be text; an id of a request is in no body by chance.

    Args:
        request_ids (Collection): Ids of the requests that the connection has
            carried.
    """

    def __init__(self, request_ids: Collection[str]) -> None:
        self._ids = [i.encode("latin1", "replace") for i in request_ids if i]
        self._tail = b""

    def __repr__(self) -> str:
        return f"RepeatedHeadDetector(ids={len(self._ids)})"

    def feed(self, chunk: bytes) -> bool:
        """Adds bytes of the body; returns whether they hold a head."""
        data = self._tail + chunk
        found = _STATUS_LINE.search(data)
        if found is None:
            self._tail = data[1 - _STATUS_LINE_BYTES :]
            return False
        if any(data.find(i, found.end()) >= 0 for i in self._ids):
            return True
        # The id may be in the next read.
        is_short = len(data) - found.start() <= MAX_HEAD_BYTES
        start = found.start() if is_short else 1 - _STATUS_LINE_BYTES
        self._tail = data[start:]
        return False
