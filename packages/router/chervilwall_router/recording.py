"""A copy of an answer, kept for callers that send a request again."""

from collections.abc import Mapping

from chervilwall import claim as claim_lib
from chervilwall.claim import StoredResponse
from chervilwall.protocol import ResponseSink
from tornado.iostream import StreamClosedError


class RecordingSink:
    """Pass an answer on and keep a copy, also when the caller has gone.

    Args:
        sink (ResponseSink): The caller.
    """

    def __init__(self, sink: ResponseSink) -> None:
        self._sink = sink
        self._gone = False
        self._status = 0
        self._content_type = ""
        self._body = bytearray()
        self._is_body_stored = True

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Takes the status and the headers."""
        self._status = status
        self._content_type = headers.get("Content-Type", "")
        self._sink.begin(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Takes a piece of the body."""
        room = claim_lib.MAX_STORED_BODY_BYTES - len(self._body)
        self._is_body_stored = self._is_body_stored and len(chunk) <= room
        if self._is_body_stored:
            self._body += chunk
        if self._gone:
            return
        try:
            await self._sink.write(chunk)
        except StreamClosedError:
            self._gone = True

    def answer(self) -> StoredResponse:
        """Returns the copy."""
        body = bytes(self._body) if self._is_body_stored else b""
        return StoredResponse(
            self._status, self._content_type, body, self._is_body_stored
        )
