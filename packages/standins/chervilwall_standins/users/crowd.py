"""Callers that send valid requests of unusual shape, and what a router uses."""

import asyncio
import contextlib
import os
import socket
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from chervilwall_standins.loopback import unique_loopback_address
from chervilwall_standins.users.fleet import HOST, KEY

# Bytes by which most requests of a crowd stop short of their end.
MISSING_BYTES = 1
PIECE_BYTES = 16 << 10
LARGE_CHUNK_BYTES = 64 << 10
# Chunks that are sent in one write.
SMALL_CHUNKS_PER_WRITE = 4096
# Line of a head that is short and whose name and value differ from those of
# most other requests, so that neither is shared in memory.
HEADER_LINE = b"q%b:%b%b\r\n"
SAMPLE_INTERVAL_S = 0.02
SEND_BUFFER_BYTES = 1 << 16
# Receive buffer of a caller that reads no response.
UNREAD_BUFFER_BYTES = 1 << 12
MIB = 1 << 20

Pieces = Iterable[bytes]
Shape = Callable[[int], Pieces]


def encode_request_head(
    number: int, *lines: bytes, path: str = "/read/x"
) -> bytes:
    """Returns the head of a request without the blank line at its end.

    Args:
        number (int): Number of the caller, in the id of its request.
        *lines (bytes): Further header lines, each with its line end.
        path (str): Path. Defaults to that of a plain service.
    """
    head = (
        f"POST {path} HTTP/1.1\r\nHost: {HOST}\r\nAttempt-Id: c{number}\r\n"
        f"Timeout-Remaining: 10000\r\nAuthorization: Token {KEY}\r\n"
    )
    return head.encode() + b"".join(lines)


def short_lines(count: int) -> bytes:
    """Returns header lines of 7 bytes, each with a name of two bytes."""
    letters = b"abcdefghijklmnopqrstuvwxyz"
    lines = (
        HEADER_LINE
        % (
            letters[i % 26 : i % 26 + 1],
            letters[i // 26 % 26 : i // 26 % 26 + 1],
            letters[i // 7 % 26 : i // 7 % 26 + 1],
        )
        for i in range(count)
    )
    return b"".join(lines)


def head_of_lines(number: int, lines: int) -> Iterator[bytes]:
    """Yields a request without a body, of many short lines, in two pieces."""
    yield encode_request_head(number, short_lines(lines))
    yield b"Content-Length: 0\r\n\r\n"


def lines_and_body(number: int, lines: int, size: int) -> Iterator[bytes]:
    """Yields a request of many short lines and a body."""
    length = b"Content-Length: %d\r\n\r\n" % size
    yield encode_request_head(number, short_lines(lines), length)
    yield bytes(size)


def body_at_once(number: int, size: int) -> Iterator[bytes]:
    """Yields a request with a length, its body in one piece."""
    yield encode_request_head(number, b"Content-Length: %d\r\n\r\n" % size)
    yield bytes(size)


def body_in_pieces(number: int, size: int) -> Iterator[bytes]:
    """Yields a request with a length, its body in pieces of PIECE_BYTES."""
    yield encode_request_head(number, b"Content-Length: %d\r\n\r\n" % size)
    piece = bytes(PIECE_BYTES)
    for begin in range(0, size, PIECE_BYTES):
        yield piece[: size - begin]


def chunked_body(number: int, size: int, chunk_bytes: int) -> Iterator[bytes]:
    """Yields a request whose body comes in chunks of one size."""
    yield encode_request_head(number, b"Transfer-Encoding: chunked\r\n\r\n")
    chunk = b"%x\r\n%b\r\n" % (chunk_bytes, bytes(chunk_bytes))
    count = size // chunk_bytes
    per_write = SMALL_CHUNKS_PER_WRITE if chunk_bytes < PIECE_BYTES else 1
    for begin in range(0, count, per_write):
        yield chunk * min(per_write, count - begin)
    yield b"0\r\n\r\n"


def stop_short(pieces: Pieces) -> Iterator[bytes]:
    """Yields the pieces of a request without its last bytes."""
    last = b""
    for piece in pieces:
        if last:
            yield last
        last = piece
    yield last[:-MISSING_BYTES]


class Usage(NamedTuple):
    """Largest use of resources of a process while it was observed.

    Args:
        memory_bytes (int): Peak of its resident memory, and the most bytes that
            were received on its sockets and that it had not read.
        descriptors (int): Open descriptors.
    """

    memory_bytes: int
    descriptors: int


class UsageMonitor:
    """Sample the descriptors and the unread bytes of a router.

    Args:
        pid (int): Process id.
        address (str): Its address for callers, as `host:port`.
    """

    def __init__(self, pid: int, address: str) -> None:
        self._pid = pid
        self._socket_key = _encode_proc_address(address)
        self._task: asyncio.Task[None] | None = None
        self._unread_bytes = 0
        self._descriptors = 0

    def __repr__(self) -> str:
        return f"UsageMonitor(pid={self._pid})"

    async def __aenter__(self) -> "UsageMonitor":
        self._task = asyncio.create_task(self._run())
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._task is not None
        self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)

    def usage(self) -> Usage:
        """Returns the largest use so far."""
        peak_bytes = memory_kb(self._pid, "VmHWM") << 10
        return Usage(peak_bytes + self._unread_bytes, self._descriptors)

    async def _run(self) -> None:
        while True:
            count = len(os.listdir(f"/proc/{self._pid}/fd"))
            self._descriptors = max(self._descriptors, count)
            unread = _unread_bytes(self._socket_key)
            self._unread_bytes = max(self._unread_bytes, unread)
            await asyncio.sleep(SAMPLE_INTERVAL_S)


def _encode_proc_address(address: str) -> str:
    """Returns an address as the kernel's table of sockets shows it."""
    host, _, port = address.rpartition(":")
    return f"{socket.inet_aton(host)[::-1].hex().upper()}:{int(port):04X}"


def _unread_bytes(key: str) -> int:
    """Returns the bytes that wait in connections accepted at an address."""
    total = 0
    with open("/proc/net/tcp", encoding="ascii") as file:
        for line in file:
            fields = line.split()
            # The queue of a listening socket counts connections.
            if fields[1] == key and fields[3] != "0A":
                total += int(fields[4].partition(":")[2], 16)
    return total


def memory_kb(pid: int, field: str) -> int:
    """Returns a field of the status of a process, such as its peak, in KiB."""
    with open(f"/proc/{pid}/status", encoding="ascii") as file:
        for line in file:
            if line.startswith(f"{field}:"):
                return int(line.split()[1])
    raise LookupError(field)


class Crowd:
    """Open connections, each of which sends the pieces of one request.

    The connections stay open until the context ends, unless the router closes
    them. Their source addresses are loopback addresses of their own.

    Args:
        address (str): Address of the router, as `host:port`.
        sources (int): Number of source addresses. Defaults to 3.
        reads (bool): Whether the callers read responses. Defaults to True.
    """

    def __init__(
        self, address: str, *, sources: int = 3, reads: bool = True
    ) -> None:
        host, _, port = address.rpartition(":")
        self._peer = (host, int(port))
        self._sources = [unique_loopback_address() for _ in range(sources)]
        self._reads = reads
        self._tasks: list[asyncio.Task[None]] = []
        self._sockets: list[socket.socket] = []

    def __repr__(self) -> str:
        return f"Crowd(connections={len(self._sockets)})"

    async def __aenter__(self) -> "Crowd":
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for sock in self._sockets:
            sock.close()

    def start(self, requests: Iterable[Pieces]) -> None:
        """Starts one caller for each request."""
        for request in requests:
            number = len(self._tasks)
            call = self._call(number, request)
            self._tasks.append(asyncio.create_task(call))

    async def settle(self, timeout_s: float) -> None:
        """Waits until the router has closed every connection.

        Args:
            timeout_s (float): Longest wait, in seconds: a router may keep a
                connection, or pause its reading, for as long as it likes.
        """
        await asyncio.wait(self._tasks, timeout=timeout_s)

    async def _call(self, number: int, pieces: Pieces) -> None:
        loop = asyncio.get_running_loop()
        sock = socket.socket()
        self._sockets.append(sock)
        sock.setblocking(False)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SEND_BUFFER_BYTES)
        if not self._reads:
            sock.setsockopt(
                socket.SOL_SOCKET, socket.SO_RCVBUF, UNREAD_BUFFER_BYTES
            )
        sock.bind((self._sources[number % len(self._sources)], 0))
        # The router may refuse or close a connection at any moment.
        with contextlib.suppress(OSError):
            await loop.sock_connect(sock, self._peer)
            for piece in pieces:
                await loop.sock_sendall(sock, piece)
            if not self._reads:
                await asyncio.Event().wait()
            while await loop.sock_recv(sock, PIECE_BYTES):
                pass
