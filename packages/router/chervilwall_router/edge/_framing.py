"""Limit on the bytes that frame a body."""

# Chunk sizes, chunk extensions and trailers together may have this many bytes,
# and in addition a multiple of the bytes of the body: a chunk may be one byte.
MAX_FRAMING_BYTES = 65_536
FRAMING_BYTES_PER_BODY_BYTE = 16


class FramingCounter:
    """Count the bytes behind the head of a message that are not its body.

    The parser reports neither chunk extensions nor an unfinished trailer, but
    keeps the latter in memory.
    """

    def __init__(self) -> None:
        self._framing_bytes = 0
        self._body_bytes = 0

    def __repr__(self) -> str:
        return f"FramingCounter(framing_bytes={self._framing_bytes})"

    def add(self, received: int, body: int) -> bool:
        """Counts received bytes.

        Args:
            received (int): Number of received bytes.
            body (int): Number of bytes of the body among them.

        Returns:
            Whether the message has too many bytes that are not its body.
        """
        self._framing_bytes += received - body
        self._body_bytes += body
        allowance = FRAMING_BYTES_PER_BODY_BYTE * self._body_bytes
        return self._framing_bytes > MAX_FRAMING_BYTES + allowance
