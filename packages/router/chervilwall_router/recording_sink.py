"""Recording of responses, so that repeated requests can be answered."""

from collections.abc import Mapping

from chervilwall import claim as claim_lib
from chervilwall.claim import StoredResponse
from chervilwall.protocol import ResponseSink
from tornado.iostream import StreamClosedError


class RecordingSink:
    """Relay a response to a sink and keep a copy of it.

    Recording continues after the caller has disconnected, so that a repeated
    request can be answered with the response. A body longer than
    `MAX_STORED_BODY_BYTES` is relayed but not kept.

    Args:
        sink (ResponseSink): Receives the response.
    """

    def __init__(self, sink: ResponseSink) -> None:
        self._sink = sink
        self._caller_disconnected = False
        self._status = 0
        self._content_type = ""
        self._body = bytearray()
        self._is_body_stored = True

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Starts the response with a status and headers."""
        self._status = status
        self._content_type = headers.get("Content-Type", "")
        self._sink.begin(status, headers)

    async def write(self, chunk: bytes) -> None:
        """Writes a chunk of the body."""
        free_bytes = claim_lib.MAX_STORED_BODY_BYTES - len(self._body)
        self._is_body_stored = self._is_body_stored and len(chunk) <= free_bytes
        if self._is_body_stored:
            self._body += chunk
        if self._caller_disconnected:
            return
        try:
            await self._sink.write(chunk)
        except StreamClosedError:
            self._caller_disconnected = True

    def answer(self) -> StoredResponse:
        """Returns the recorded response."""
        body = bytes(self._body) if self._is_body_stored else b""
        return StoredResponse(
            self._status, self._content_type, body, self._is_body_stored
        )
