"""Heads of HTTP/1.1 messages as bytes."""

import re

from chervilwall.errors import CodecError
from chervilwall.http_messages import Headers

_UNSAFE = re.compile(r"[\r\n\0]")


def encode_head(first_line: str, headers: Headers) -> bytes:
    """Returns a head with its blank line.

    Args:
        first_line (str): Request or status line.
        headers (Headers): Names and values.

    Raises:
        CodecError: A field would end the line that it stands in.
    """
    lines = [first_line]
    lines += [f"{name}: {value}" for name, value in headers]
    text = "\r\n".join(lines)
    # Each line feed but those between the lines stands in a field.
    if text.count("\n") != len(headers) or _UNSAFE.search("".join(lines)):
        raise CodecError("a header holds a line end", step="write head")
    return (text + "\r\n\r\n").encode("latin1")


def decode_headers(raw: list[tuple[bytes, bytes]]) -> Headers:
    """Returns headers as text."""
    return tuple((n.decode("latin1"), v.decode("latin1")) for n, v in raw)
