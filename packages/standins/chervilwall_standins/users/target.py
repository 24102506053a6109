"""A stand-in of the users' targets: model engines and plain services."""

import asyncio
import contextlib
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.httputil import HTTPHeaders

NORMAL = "normal"
ERROR = "error"
SHED = "shed"
HANG = "hang"
TORN = "torn"
RESET = "reset"
UNSIGNED = "unsigned"
UNFRAMED = "unframed"
EXTRA = "extra"
STRAY = "stray"
CLOSES_IDLE = "closes idle"


# The same answer once more, some milliseconds later.
LATE_COPY = "late copy"
# A byte of a stream's event now and then, without end.
DRIP = "drip"
# Bytes that are no answer, until the connection is closed.
ENDLESS_HEAD = "endless head"
ENDLESS_LINES = "endless head lines"
ENDLESS_INFORMATIONAL = "endless informational answers"
ENDLESS_UNSIGNED = "endless unsigned body"
ENDLESS_EVENT = "endless event"
ENDLESS_CHUNK_LINE = "endless chunk line"
ENDLESS_TAIL = "endless bytes after an answer"
_ENDLESS = (
    ENDLESS_HEAD,
    ENDLESS_LINES,
    ENDLESS_INFORMATIONAL,
    ENDLESS_UNSIGNED,
    ENDLESS_EVENT,
    ENDLESS_CHUNK_LINE,
    ENDLESS_TAIL,
)
PIECE_BYTES = 65_536
LATE_COPY_S = 0.002
DRIP_S = 0.1
DARK_LOOK_S = 0.05
EVENT_STREAM = {"Content-Type": "text/event-stream"}
# Stops a test that would otherwise fill the memory.
MAX_ENDLESS_BYTES = 1 << 28


class SeenRequest(NamedTuple):
    """A request that arrived at a target.

    Args:
        id (str): Attempt of the caller.
        line (str): Request line.
        headers (HTTPHeaders): Headers.
        body (bytes): Body.
    """

    id: str
    line: str
    headers: HTTPHeaders
    body: bytes


class UsersTarget:
    """Answer requests over HTTP/1.1, well or badly.

    Args:
        id (str): Its id.
        service (str): Its service.
        events (int): Events of a stream; 0 for plain answers. Defaults to 0.
        event_s (float): Time for each event. Defaults to 0.01.
    """

    def __init__(
        self, id: str, service: str, *, events: int = 0, event_s: float = 0.01
    ) -> None:
        self.id = id
        self.service = service
        self.events = events
        self.event_s = event_s
        self.mode = NORMAL
        # A request with this body ends the target.
        self.crashing_body = b""
        # Events of a stream that such a request still gets.
        self.crash_after = 0
        # Loop times at which such a request began, and its id.
        self.crashes: list[tuple[float, str]] = []
        # Time for which such a request runs before.
        self.crash_delay_s = 0.0
        # Whether it then falls silent and closes nothing until it is back.
        self.crashes_dark = False
        self._is_dark = False
        # Seconds after which the target is back at its address, as a new start
        # with another id; None for never.
        self.restart_s: float | None = None
        # Called with the old id when it is back.
        self.restarted: Callable[[UsersTarget, str], Awaitable[None]] | None
        self.restarted = None
        self.born_ms = 1000
        # Whether its answers say that it leaves.
        self.leaving = False
        # Seconds that it asks for when it turns a request away.
        self.pause_s = 0.0
        # Events after which a stream breaks off, in the mode "torn".
        self.torn_after = 2
        self.seen: list[SeenRequest] = []
        self.ran: list[str] = []
        self.cancelled: list[str] = []
        self.connections = 0
        self.endless_bytes = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f"UsersTarget(id={self.id!r}, mode={self.mode!r})"

    async def __aenter__(self) -> "UsersTarget":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.restart_s = None
        if self._restart is not None:
            self._restart.cancel()
        self.crash()

    def crash(self) -> None:
        """Ends all connections and listens no more."""
        if self.restart_s is not None:
            work = self._start_again(self.restart_s)
            self._restart = asyncio.get_running_loop().create_task(work)
            if self.crashes_dark:
                self._is_dark = True
                return
        self._close()

    @property
    def is_up(self) -> bool:
        """Whether it takes connections and answers."""
        listening = self._server is not None and self._server.is_serving()
        return listening and not self._is_dark

    def _close(self) -> None:
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.transport.abort()

    async def _start_again(self, pause_s: float) -> None:
        await asyncio.sleep(pause_s)
        if self.crashes_dark:
            self._close()
            self._is_dark = False
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        old_id = self.id
        self.born_ms += 1
        self.id = f"{old_id.partition('+')[0]}+{self.born_ms}"
        if self.restarted is not None:
            await self.restarted(self, old_id)

    def spec(self, **changes: object) -> dict:
        """Returns its registration."""
        return {
            "backend": self.service,
            "address": self.address,
            "zone": "z1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": self.born_ms,
        } | changes

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.connections += 1
        self._writers.add(writer)
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while await self._serve_one(reader, writer):
                pass
        self._writers.discard(writer)
        writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, _, rest = head.partition("\r\n")
        headers = HTTPHeaders.parse(rest)
        body = await reader.readexactly(int(headers.get("Content-Length", 0)))
        request = SeenRequest(
            headers.get("Attempt-Id", ""), line, headers, body
        )
        self.seen.append(request)
        if self._is_dark:
            await self._wait_while_dark()
            return False
        expected = headers.get("Expect-Instance")
        if expected and expected != self.id:
            writer.write(_head(421, {"Instance-Id": self.id}, 0))
            return True
        if self.mode == SHED:
            refusal = {"Not-Executed": "1"}
            if self.pause_s:
                refusal["Retry-After"] = f"{self.pause_s:g}"
            writer.write(_head(503, refusal, 0))
            return True
        self.ran.append(request.id)
        if body and body == self.crashing_body:
            await self._run_and_crash(request, writer)
            return False
        return await self._run(request, reader, writer)

    async def _run_and_crash(
        self, request: SeenRequest, writer: asyncio.StreamWriter
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.crashes.append((now, request.id))
        if self.crash_after:
            writer.write(_head(200, self._signed(request) | EVENT_STREAM, -1))
        for number in range(1, self.crash_after + 1):
            writer.write(_event(number))
        await writer.drain()
        await asyncio.sleep(self.crash_delay_s)
        self.crash()
        await self._wait_while_dark()

    async def _wait_while_dark(self) -> None:
        while self._is_dark:
            await asyncio.sleep(DARK_LOOK_S)

    def _signed(self, request: SeenRequest) -> dict[str, str]:
        return {
            "Attempt-Id": request.id,
            "Response-Signature": f"sig-{self.id}",
            "Instance-Id": self.id,
        }

    async def _run(
        self,
        request: SeenRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        signed = self._signed(request)
        if self.leaving:
            signed["Server-Leaving"] = "1"
        if self.mode in _ENDLESS:
            await self._send_endless(writer, signed)
            return False
        if self.mode == HANG:
            await asyncio.wait({asyncio.ensure_future(reader.read(1))})
            self.cancelled.append(request.id)
            return False
        if self.mode == RESET:
            writer.transport.abort()
            return False
        if self.mode == ERROR:
            writer.write(_head(500, signed, 4) + b"oops")
            return True
        if self.events:
            return await self._stream(request, reader, writer, signed)
        return self._answer(request, writer, signed)

    async def _send_endless(
        self, writer: asyncio.StreamWriter, signed: dict[str, str]
    ) -> None:
        """Sends bytes that are no answer until the connection is closed."""
        start, piece = _endless(self.mode, signed)
        writer.write(start)
        sent = 0
        while sent < MAX_ENDLESS_BYTES:
            writer.write(piece)
            await writer.drain()
            sent += len(piece)
            self.endless_bytes += len(piece)

    def _answer(
        self,
        request: SeenRequest,
        writer: asyncio.StreamWriter,
        signed: dict[str, str],
    ) -> bool:
        body = f"{self.id}:{request.id}".encode()
        if self.mode == UNSIGNED:
            writer.write(_head(200, {}, len(body)) + body)
        elif self.mode == TORN:
            writer.write(_head(200, signed, len(body)) + body[:-3])
            return False
        elif self.mode == UNFRAMED:
            writer.write(_head(200, signed, None) + body)
            return False
        elif self.mode == STRAY:
            stray = signed | {"Attempt-Id": "another"}
            writer.write(_head(200, stray, 3) + b"old")
            writer.write(_head(200, signed, len(body)) + body)
        else:
            writer.write(_head(200, signed, len(body)) + body)
        if self.mode == LATE_COPY:
            copy = _head(200, signed, len(body)) + body
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_COPY_S, writer.write, copy)
        if self.mode == EXTRA:
            writer.write(_head(200, signed, 5) + b"extra")
        return self.mode != CLOSES_IDLE

    async def _stream(
        self,
        request: SeenRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        signed: dict[str, str],
    ) -> bool:
        writer.write(_head(200, signed | EVENT_STREAM, -1))
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        gone = asyncio.ensure_future(reader.read(1))
        while self.mode == DRIP and not gone.done():
            writer.write(_chunk(b"x"))
            await asyncio.wait({gone}, timeout=DRIP_S)
        try:
            for number in range(first, self.events + 1):
                if self.mode == TORN and number - first >= self.torn_after:
                    writer.write(_chunk(b"id: %d\ndat" % number))
                    await writer.drain()
                    writer.transport.abort()
                    return False
                writer.write(_event(number))
                await asyncio.sleep(self.event_s)
                if gone.done():
                    self.cancelled.append(request.id)
                    return False
        finally:
            gone.cancel()
        writer.write(b"0\r\n\r\n")
        # The reader cannot be shared with the task that watched for the end.
        return False


def _endless(mode: str, signed: dict[str, str]) -> tuple[bytes, bytes]:
    """Returns what an endless answer begins with, and what it repeats."""
    filler = b"x" * PIECE_BYTES
    if mode == ENDLESS_HEAD:
        return b"HTTP/1.1 200 OK\r\nX-Long: ", filler
    if mode == ENDLESS_LINES:
        return b"HTTP/1.1 200 OK\r\n", b"X-Long: 1\r\n" * 4096
    if mode == ENDLESS_INFORMATIONAL:
        return b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1024
    if mode == ENDLESS_UNSIGNED:
        return _head(200, {}, None), filler
    if mode == ENDLESS_CHUNK_LINE:
        return _head(200, signed, -1), filler
    if mode == ENDLESS_TAIL:
        return _head(200, signed, 4) + b"done", filler
    return _head(200, signed | EVENT_STREAM, -1), _chunk(filler)


def _event(number: int) -> bytes:
    return _chunk(b"id: %d\ndata: %d\n\n" % (number, number))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _head(status: int, headers: dict[str, str], length: int | None) -> bytes:
    """Returns a head; a length of -1 means chunks and None until the end."""
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length == -1:
        lines.append("Transfer-Encoding: chunked")
    elif length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
