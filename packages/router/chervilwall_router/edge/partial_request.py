"""Request of a caller that has not arrived completely."""

from chervilwall.errors import CodecError
from chervilwall.http_messages import (
    Headers,
    InboundRequest,
    pack_headers,
)
from chervilwall.protocol import WireFormat
from chervilwall.routing import CallerLimits

from chervilwall_router.edge._framing import (
    MAX_FRAMING_BYTES,
    FramingCounter,
)
from chervilwall_router.edge._head import decode_headers
from chervilwall_router.problem import Problem

# A head that exceeds its limit is still read up to this multiple of the limit,
# so that its caller gets a complete refusal.
HEAD_READ_FACTOR = 2
# Headers beyond this number are kept packed.
MAX_UNPACKED_HEADERS = 48
# Memory of one header that is not packed besides its bytes: two strings in a
# pair, in a list.
HEADER_OVERHEAD_BYTES = 160
# Memory of the objects of a request besides its head and body.
REQUEST_BYTES = 2048
_FRAMING_HEADERS = (b"content-length", b"transfer-encoding", b"connection")


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
        # Lines of the headers before those, if there are many.
        self._packed_headers = bytearray()
        self._framing_headers: list[tuple[bytes, bytes]] = []
        # The only chunk so far, or all in one buffer.
        self._body: bytes | bytearray = b""
        self._length: int | None = None
        self._is_chunked = False
        self._head_bytes = 0
        # Bytes since the last byte of the body. The parser keeps them if they
        # are an unfinished trailer.
        self._trailing_bytes = 0
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
        if self.has_head:
            return
        self._raw_headers.append((name, value))
        if len(self._raw_headers) > MAX_UNPACKED_HEADERS:
            self._pack_raw_headers()

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
            if body_bytes:
                self._trailing_bytes = 0
            self._trailing_bytes += count - body_bytes
            limit = self._limits.max_header_bytes * HEAD_READ_FACTOR
            limit = max(limit, MAX_FRAMING_BYTES)
            if (
                self._framing.add(count, body_bytes)
                or self._trailing_bytes > limit
            ):
                self.problem = _framing_too_large()
        self._counted_body_bytes = self._body_bytes
        return self.problem is not None

    def read_head(self, wire: WireFormat, now: float) -> None:
        """Decodes the complete head; sets `problem` if it is invalid."""
        self.has_head = True
        self.phase_started_at = now
        pairs = self._take_headers()
        self.problem = self._validate_headers(pairs)
        if self.problem is not None:
            return
        try:
            req = wire.decode_request_head(
                self.method, self.url.decode("latin1"), pairs, now
            )
        except CodecError as exc:
            self.problem = Problem(400, "malformed_request", exc.reason)
            return
        if len(req.headers) > MAX_UNPACKED_HEADERS:
            packed = pack_headers(req.headers)
            req = req._replace(headers=(), packed_headers=packed)
        self._req = req

    def _pack_raw_headers(self) -> None:
        lines = [b"%b:%b\n" % header for header in self._raw_headers]
        self._packed_headers += b"".join(lines)
        self._raw_headers.clear()

    def _take_headers(self) -> Headers:
        """Returns the headers; keeps only those that frame the body."""
        if not self._packed_headers:
            raw = self._raw_headers
        else:
            self._pack_raw_headers()
            lines = bytes(self._packed_headers).split(b"\n")[:-1]
            parts = [line.partition(b":") for line in lines]
            raw = [(name, value) for name, _, value in parts]
        self._packed_headers.clear()
        self._raw_headers = []
        self._framing_headers = [
            header for header in raw if header[0].lower() in _FRAMING_HEADERS
        ]
        return decode_headers(raw)

    def framing_head(self, http_version: str) -> bytes:
        """Returns a head that frames the same body and offers no upgrade.

        Args:
            http_version (str): Version of HTTP in the request.
        """
        lines = [f"POST / HTTP/{http_version}".encode()]
        for name, value in self._framing_headers:
            if name.lower() != b"connection":
                lines.append(name + b": " + value)
            else:
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
            if not self._body:
                self._body = chunk
            elif isinstance(self._body, bytearray):
                self._body += chunk
            else:
                self._body = bytearray(self._body) + chunk

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes."""
        held = REQUEST_BYTES + self._trailing_bytes
        if isinstance(self._body, bytearray):
            held += self._body.__alloc__()
        else:
            held += len(self._body)
        if self._req is not None:
            return held + len(self._req.packed_headers)
        # The parser keeps the header that it reads.
        headers = len(self._raw_headers) * HEADER_OVERHEAD_BYTES
        return held + 2 * self._head_bytes + headers

    @property
    def rest_bytes(self) -> int:
        """Bytes by which the request may still grow."""
        if not self.has_head:
            return max(0, self._limits.max_header_bytes - self._head_bytes)
        size = 0 if self._length is None else self._length
        if self._is_chunked:
            size = self._limits.max_body_bytes
        return max(0, size - self._body_bytes)

    @property
    def received_bytes(self) -> int:
        """Bytes of the head, while it is incomplete, and of the body."""
        return self._head_bytes + self._body_bytes

    def build(self) -> InboundRequest | Problem:
        """Returns the request, or the problem for which it is refused."""
        if self.problem is not None:
            return self.problem
        assert self._req is not None
        body, self._body = bytes(self._body), b""
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
            if lower_name == "transfer-encoding":
                self._is_chunked = True
            if lower_name != "content-length":
                continue
            if not value.isdecimal():
                return Problem(400, "malformed_request", "Bad length.")
            self._length = int(value)
            if self._length > self._limits.max_body_bytes:
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
