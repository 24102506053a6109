"""A copy of an answer, kept for callers that send a request again."""

from collections.abc import Mapping

from chervilwall import claim as claim_lib
from chervilwall.claim import StoredAnswer
from chervilwall.protocol import AnswerSink
from tornado.iostream import StreamClosedError


class RecordingSink:
    """Pass an answer on and keep a copy, also when the caller has gone.

    Args:
        sink (AnswerSink): The caller.
    """

    def __init__(self, sink: AnswerSink) -> None:
        self._sink = sink
        self._gone = False
        self._status = 0
        self._content_type = ""
        self._body = bytearray()
        self._whole = True

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Takes the status and the headers."""
        self._status = status
        self._content_type = headers.get("Content-Type", "")
        self._sink.begin(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Takes a piece of the body."""
        room = claim_lib.MAX_STORED_BODY_BYTES - len(self._body)
        self._whole = self._whole and len(chunk) <= room
        if self._whole:
            self._body += chunk
        if self._gone:
            return
        try:
            await self._sink.write(chunk)
        except StreamClosedError:
            self._gone = True

    def answer(self) -> StoredAnswer:
        """Returns the copy."""
        body = bytes(self._body) if self._whole else b""
        return StoredAnswer(self._status, self._content_type, body, self._whole)
