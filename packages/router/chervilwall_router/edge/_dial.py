"""TCP connections that detect an unresponsive peer."""

import asyncio
import contextlib
import fcntl
import socket
import struct
import sys
import termios

from chervilwall.errors import DialError
from tornado.iostream import IOStream, StreamClosedError

from chervilwall_router.settings import split_address

# The kernel closes a connection whose data stays unacknowledged this long.
ACK_TIMEOUT_MS = 2500
# The same for a peer that may read slowly. The kernel counts a full window as
# unacknowledged, and the peer's kernel opens it again only in large steps: a
# third of its buffer, or the largest segment of the path (64 KiB on loopback).
SLOW_READER_ACK_TIMEOUT_MS = 10_000
# Probes of an idle connection detect an unresponsive peer in about 3 s.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# State of a connection that has ended, in the first byte of TCP_INFO.
_TCP_CLOSE = 7


def set_tcp_options(
    sock: socket.socket, ack_timeout_ms: int = ACK_TIMEOUT_MS
) -> None:
    """Enables detection of an unresponsive peer and disables Nagle's delay.

    Args:
        sock (socket.socket): The connection.
        ack_timeout_ms (int): Time for which sent bytes may stay unacknowledged,
            in milliseconds. Defaults to ACK_TIMEOUT_MS.
    """
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, ack_timeout_ms),
        (socket.IPPROTO_TCP, socket.TCP_NODELAY, 1),
    )
    for level, option, value in options:
        # Some operating systems lack some of the options. There, only the
        # timeout of each request detects an unresponsive peer.
        with contextlib.suppress(OSError):
            sock.setsockopt(level, option, value)


def set_reset_on_close(sock: socket.socket, enabled: bool) -> None:
    """Sets whether the close of a connection is a reset.

    A transport that is aborted, and a process that is killed, drop unsent data
    but still close the connection without an error, which ends a body without
    length or chunks.
    """
    linger = struct.pack("ii", int(enabled), 0)
    # Fails only on a connection that has already ended.
    with contextlib.suppress(OSError):
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def unread_bytes(sock: socket.socket) -> int:
    """Returns the number of received bytes that were not read.

    If there are any, closing the connection resets it.
    """
    count = bytearray(4)
    # Fails only on a connection that has already ended.
    with contextlib.suppress(OSError):
        fcntl.ioctl(sock.fileno(), termios.FIONREAD, count)
    return int.from_bytes(count, sys.byteorder)


def unacknowledged_bytes(sock: socket.socket) -> int:
    """Returns the number of sent bytes that the peer's host has not confirmed.

    Those that it has confirmed may still be unread there.
    """
    count = bytearray(4)
    # Fails only on a connection that has already ended.
    with contextlib.suppress(OSError):
        fcntl.ioctl(sock.fileno(), termios.TIOCOUTQ, count)
    return int.from_bytes(count, sys.byteorder)


def has_ended(sock: socket.socket) -> bool:
    """Returns whether a connection that was not closed here has ended.

    The peer closing its side does not end it, but a reset does. False where the
    operating system does not tell.
    """
    with contextlib.suppress(OSError, AttributeError):
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)
        return info[0] == _TCP_CLOSE
    return False


async def dial(address: str, timeout_s: float, *, step: str) -> IOStream:
    """Opens a connection.

    Args:
        address (str): "IP:port" of the peer.
        timeout_s (float): Maximum time until the peer accepts.
        step (str): Purpose of the connection, named in errors.

    Returns:
        The stream of the open connection.

    Raises:
        DialError: The connection failed or took longer than `timeout_s`.
    """
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    set_tcp_options(sock)
    stream = IOStream(sock)
    try:
        # asyncio.wait_for may swallow a cancellation that arrives as the
        # connection opens, so asyncio.timeout is used.
        async with asyncio.timeout(timeout_s):
            await stream.connect(split_address(address))
    except (
        OSError,
        TimeoutError,
        StreamClosedError,
        # Raised for an address that no socket accepts.
        ValueError,
        OverflowError,
    ) as exc:
        stream.close()
        cause = getattr(exc, "real_error", None) or exc
        reason = str(cause) or type(cause).__name__
        raise DialError(reason, step=step, peer=address) from exc
    except asyncio.CancelledError:
        stream.close()
        raise
    return stream
