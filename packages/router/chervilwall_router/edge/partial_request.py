"""Request of a caller that has not arrived completely."""

from chervilwall.errors import CodecError
from chervilwall.http_messages import Headers, InboundRequest
from chervilwall.protocol import WireFormat
from chervilwall.routing import CallerLimits

from chervilwall_router.edge._framing import FramingCounter
from chervilwall_router.edge._head import decode_headers
from chervilwall_router.problem import Problem

# A head that exceeds its limit is still read up to this multiple of the limit,
# so that its caller gets a complete refusal.
HEAD_READ_FACTOR = 2


class PartialRequest:
    """Collect the parts of one request and enforce the limits on its size.

    Args:
        limits (CallerLimits): Limits for requests of callers.
        started_at (float): Monotonic time at which its first byte arrived.

    Attributes:
        started_at (float): As above.
        phase_started_at (float): Monotonic time at which the head or, once it
            is complete, the body began.
    """

    def __init__(self, limits: CallerLimits, started_at: float) -> None:
        self.started_at = started_at
        self.phase_started_at = started_at
        self._limits = limits
        self._raw_headers: list[tuple[bytes, bytes]] = []
        self._chunks: list[bytes] = []
        self._head_bytes = 0
        self._body_bytes = 0
        self._counted_body_bytes = 0
        self._framing = FramingCounter()
        self._req: InboundRequest | None = None
        self.has_head = False
        self.method = ""
        self.url = b""
        self.problem: Problem | None = None
        self.expects_continue = False

    def add_header(self, name: bytes, value: bytes) -> None:
        """Adds a header; ignores trailers after the body."""
        if not self.has_head:
            self._raw_headers.append((name, value))

    def add_bytes(self, count: int, *, was_in_head: bool) -> bool:
        """Counts received bytes.

        Args:
            count (int): Number of bytes of the request that were parsed.
            was_in_head (bool): Whether the head was incomplete before.

        Returns:
            Whether the head, the chunk extensions or the trailers are so large
            that the request must be refused before it is complete.
        """
        if not self.has_head:
            self._head_bytes += count
            limit = self._limits.max_header_bytes * HEAD_READ_FACTOR
            if self._head_bytes > limit:
                self.problem = _head_too_large(self._limits)
        elif not was_in_head:
            body_bytes = self._body_bytes - self._counted_body_bytes
            if self._framing.add(count, body_bytes):
                self.problem = _framing_too_large()
        self._counted_body_bytes = self._body_bytes
        return self.problem is not None

    def read_head(self, wire: WireFormat, now: float) -> None:
        """Decodes the complete head; sets `problem` if it is invalid."""
        self.has_head = True
        self.phase_started_at = now
        pairs = decode_headers(self._raw_headers)
        self.problem = self._validate_headers(pairs)
        if self.problem is not None:
            return
        try:
            self._req = wire.decode_request_head(
                self.method, self.url.decode("latin1"), pairs, now
            )
        except CodecError as exc:
            self.problem = Problem(400, "malformed_request", exc.reason)

    def framing_head(self, http_version: str) -> bytes:
        """Returns a head that frames the same body and offers no upgrade.

        Args:
            http_version (str): Version of HTTP in the request.
        """
        lines = [f"POST / HTTP/{http_version}".encode()]
        for name, value in self._raw_headers:
            if name.lower() in (b"content-length", b"transfer-encoding"):
                lines.append(name + b": " + value)
            elif name.lower() == b"connection":
                options = [
                    option
                    for option in value.split(b",")
                    if option.strip().lower() != b"upgrade"
                ]
                lines.append(b"Connection: " + b",".join(options))
        return b"\r\n".join((*lines, b"", b""))

    def add_body(self, chunk: bytes) -> None:
        """Adds a chunk of the body; sets `problem` if the body is too large."""
        self._body_bytes += len(chunk)
        if self._body_bytes > self._limits.max_body_bytes:
            self.problem = _body_too_large(self._limits)
        elif self.problem is None:
            self._chunks.append(chunk)

    def build(self) -> InboundRequest | Problem:
        """Returns the request, or the problem for which it is refused."""
        if self.problem is not None:
            return self.problem
        assert self._req is not None
        body = b"".join(self._chunks)
        self._chunks.clear()
        return self._req._replace(body=body)

    def exceeds_timeout(self, limits: CallerLimits, now: float) -> bool:
        """Returns whether the head or the body takes too long.

        Further bytes do not extend the time, so a caller cannot keep a
        connection open by sending one byte at a time.
        """
        limit_s = (
            limits.idle_timeout_s if self.has_head else limits.header_timeout_s
        )
        return now - self.phase_started_at > limit_s

    def timeout_problem(self) -> Problem:
        """Returns the problem for which a request that is late is refused."""
        part = "body" if self.has_head else "head"
        detail = f"The {part} of the request did not arrive in time."
        return Problem(408, f"{part}_timeout", detail)

    def _validate_headers(self, pairs: Headers) -> Problem | None:
        size = sum(len(name) + len(value) + 4 for name, value in pairs)
        if size > self._limits.max_header_bytes:
            return _head_too_large(self._limits)
        for name, value in pairs:
            lower_name = name.lower()
            if lower_name == "expect":
                self.expects_continue = value.lower() == "100-continue"
            if lower_name != "content-length":
                continue
            if not value.isdecimal():
                return Problem(400, "malformed_request", "Bad length.")
            if int(value) > self._limits.max_body_bytes:
                return _body_too_large(self._limits)
        return None


def _head_too_large(limits: CallerLimits) -> Problem:
    detail = f"A head may have {limits.max_header_bytes} bytes."
    return Problem(431, "head_too_large", detail)


def _framing_too_large() -> Problem:
    detail = "The chunk extensions or trailers are too large."
    return Problem(431, "framing_too_large", detail)


def _body_too_large(limits: CallerLimits) -> Problem:
    detail = f"A body may have {limits.max_body_bytes} bytes."
    return Problem(413, "body_too_large", detail)
