"""One request of a caller while its bytes arrive."""

from chervilwall.errors import CodecError
from chervilwall.http_messages import Headers, InboundRequest
from chervilwall.protocol import WireFormat
from chervilwall.routing import CallerLimits

from chervilwall_router.edge._head import decode_headers
from chervilwall_router.problem import Problem

# Heads beyond the limit are read this much further to be refused in words.
HEAD_SLACK = 2


class PartialRequest:
    """Gather one request.

    Args:
        limits (CallerLimits): What callers may send.
        began_at (float): Monotonic time at which it began.
    """

    def __init__(self, limits: CallerLimits, began_at: float) -> None:
        self.began_at = began_at
        self._limits = limits
        self._raw: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._req: InboundRequest | None = None
        self.has_head = False
        self.method = ""
        self.url = b""
        self.problem: Problem | None = None
        self.expects_continue = False

    def add_header(self, name: bytes, value: bytes) -> None:
        """Takes a header."""
        if not self.has_head:
            self._raw.append((name, value))

    def grows_too_large(self, count: int) -> bool:
        """Counts bytes of a head; tells whether it is refused unfinished."""
        if self.has_head:
            return False
        self._head_bytes += count
        if self._head_bytes > self._limits.max_header_bytes * HEAD_SLACK:
            self.problem = _head_too_large(self._limits)
        return self.problem is not None

    def read_head(self, wire: WireFormat, now: float) -> None:
        """Reads the head, and notes what is wrong with it."""
        self.has_head = True
        pairs = decode_headers(self._raw)
        self.problem = self._check(pairs)
        if self.problem is not None:
            return
        try:
            self._req = wire.read_request(
                self.method, self.url.decode("latin1"), pairs, now
            )
        except CodecError as exc:
            self.problem = Problem(400, "malformed_request", exc.reason)

    def add_body(self, chunk: bytes) -> None:
        """Takes a piece of the body."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._limits.max_body_bytes:
            self.problem = _body_too_large(self._limits)
        elif self.problem is None:
            self._chunks.append(chunk)

    def whole(self) -> InboundRequest | Problem:
        """Returns the request, or why it is refused."""
        if self.problem is not None:
            return self.problem
        assert self._req is not None
        body = b"".join(self._chunks)
        self._chunks.clear()
        return self._req._replace(body=body)

    def _check(self, pairs: Headers) -> Problem | None:
        size = sum(len(name) + len(value) + 4 for name, value in pairs)
        if size > self._limits.max_header_bytes:
            return _head_too_large(self._limits)
        for name, value in pairs:
            lowered = name.lower()
            if lowered == "expect":
                self.expects_continue = value.lower() == "100-continue"
            if lowered != "content-length":
                continue
            if not value.isdecimal():
                return Problem(400, "malformed_request", "Bad length.")
            if int(value) > self._limits.max_body_bytes:
                return _body_too_large(self._limits)
        return None


def _head_too_large(limits: CallerLimits) -> Problem:
    detail = f"A head may have {limits.max_header_bytes} bytes."
    return Problem(431, "head_too_large", detail)


def _body_too_large(limits: CallerLimits) -> Problem:
    detail = f"A body may have {limits.max_body_bytes} bytes."
    return Problem(413, "body_too_large", detail)
