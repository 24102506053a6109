"""Encoding and decoding of HTTP/1.1 message heads."""

import re

from chervilwall.errors import CodecError
from chervilwall.http_messages import Headers

_FORBIDDEN = re.compile(r"[\r\n\0]")
_STATUS_LINE = re.compile(rb"HTTP/\d\.\d \d{3}")


def encode_head(first_line: str, headers: Headers) -> bytes:
    """Encodes a message head, including the blank line at its end.

    Args:
        first_line (str): Request or status line.
        headers (Headers): Names and values of the headers.

    Raises:
        CodecError: The first line or a header contains CR, LF or NUL.
    """
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers]
    text = "\r\n".join(lines)
    # Joining adds one LF per header; any further one was in the first line or
    # in a header.
    if text.count("\n") != len(headers) or _FORBIDDEN.search("".join(lines)):
        raise CodecError(
            "first line or header contains CR, LF or NUL", step="write head"
        )
    return (text + "\r\n\r\n").encode("latin1")


def decode_headers(raw: list[tuple[bytes, bytes]]) -> Headers:
    """Decodes header names and values from Latin-1."""
    return tuple((n.decode("latin1"), v.decode("latin1")) for n, v in raw)


def has_status_line(reason: bytes, raw: list[tuple[bytes, bytes]]) -> bool:
    """Returns whether the head of a response holds a further status line.

    If so, the response may have broken off in its head, before that of another
    response: a parser reads both as one.

    Args:
        reason (bytes): Reason phrase of the response.
        raw (list): Names and values of its headers.
    """
    if _STATUS_LINE.search(reason) is not None:
        return True
    values = b"\n".join([value for _, value in raw])
    return _STATUS_LINE.search(values) is not None
