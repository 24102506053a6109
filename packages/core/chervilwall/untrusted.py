"""Limits on values that other programs write.

A value within these limits fits into floats, timers, datagrams and log lines.
"""

import ipaddress
import re
from typing import Annotated

import msgspec

from chervilwall.errors import CodecError

MAX_COUNT = 2**31 - 1
MAX_ID = 2**63 - 1
# Unix time in milliseconds at the end of the year 9999.
MAX_UNIX_MS = 253_402_300_799_999
MAX_DURATION_MS = 10 * 365 * 24 * 3600 * 1000
MAX_NAME_CHARS = 255
MAX_SHOWN_CHARS = 80

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Id = Annotated[int, msgspec.Meta(ge=0, le=MAX_ID)]
# A number that is neither NaN nor infinite, and whose sums are not either.
Finite = Annotated[float, msgspec.Meta(ge=-1e15, le=1e15)]
UnixMs = Annotated[int, msgspec.Meta(ge=0, le=MAX_UNIX_MS)]
DurationMs = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_MS)]
# A name that is used as a key, but not sent in a header.
Name = Annotated[str, msgspec.Meta(min_length=1, max_length=MAX_NAME_CHARS)]

_PORT = re.compile(r"[0-9]{1,5}")
_MAX_PORT = 65_535
_MAX_HOST_CHARS = 253
_HOST_NAME = re.compile(r"[A-Za-z0-9_-]{1,63}(?:\.[A-Za-z0-9_-]{1,63})*")
_HEADER_TOKEN = re.compile(r"[!-~]{1,255}")


def shown(value: object) -> str:
    """Returns a value for an error or a log line, with a bounded length."""
    text = str(value)
    if len(text) <= MAX_SHOWN_CHARS:
        return repr(text)
    return f"{text[:MAX_SHOWN_CHARS]!r}... ({len(text)} characters)"


def parse_address(address: str, *, step: str, peer: str) -> tuple[str, int]:
    """Parses "HOST:PORT", where the host is an IP address or a host name.

    Args:
        address (str): The address.
        step (str): Operation that needs it, named in the error.
        peer (str): Whose address it is, named in the error.

    Returns:
        Host, without the brackets of an IPv6 address, and port.

    Raises:
        CodecError: No such address can exist.
    """
    host, _, port = address.rpartition(":")
    is_port = bool(_PORT.fullmatch(port)) and 0 < int(port) <= _MAX_PORT
    if not is_port or not _is_host(host):
        raise CodecError(
            f"address {shown(address)} is not in the form HOST:PORT",
            step=step,
            peer=peer,
        )
    return host.strip("[]"), int(port)


def _is_host(host: str) -> bool:
    if len(host) > _MAX_HOST_CHARS:
        return False
    if _HOST_NAME.fullmatch(host):
        return True
    try:
        ipaddress.IPv6Address(host.removeprefix("[").removesuffix("]"))
    except ValueError:
        return False
    return "%" not in host


def is_ip_address(host: str) -> bool:
    """Returns whether a host is an IP address rather than a name."""
    try:
        ipaddress.ip_address(host)
    except ValueError:
        return False
    return True


def is_header_token(text: str) -> bool:
    """Returns whether a text can be sent as the whole value of a header."""
    return bool(_HEADER_TOKEN.fullmatch(text))
