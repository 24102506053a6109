"""A stand-in for the users' targets: model engines and plain targets."""

import asyncio
import contextlib
import enum
import socket
import struct
from collections.abc import Awaitable, Callable
from typing import NamedTuple

from tornado.httputil import HTTPHeaders

# Modes of a target.

# Responds without a fault.
NORMAL = "normal"
# Answers 500.
ERROR = "error"
# Refuses requests with 503 and a header that says that they did not run.
OVERLOADED = "overloaded"
# Runs requests but sends no response.
HANG = "hang"
# Closes the connection in the middle of a response.
TRUNCATED = "truncated"
# Closes the connection instead of responding.
RESET = "reset"
# Leaves out the headers that identify the target and the attempt, among them
# the response signature.
UNSIGNED = "unsigned"
# Answers as a web server does that knows no such page: 404, without the headers
# that identify a target.
FOREIGN = "foreign"
# Sends a body without length or chunks, which ends with the connection.
CLOSE_DELIMITED = "close-delimited"
# Sends LARGE_BYTES of another content type than an event stream, in chunks or
# without length or chunks.
LARGE_BODY = "large body"
LARGE_UNFRAMED = "large unframed"
# Sends the same in chunks and resets the connection before the last one.
LARGE_BROKEN = "large broken"
# Sends a second response to the same request.
EXTRA_RESPONSE = "extra-response"
# Runs a request and responds with 429 without a signature.
UNSIGNED_BUSY = "unsigned-busy"
# Sends a response to another attempt before the right one.
STALE_RESPONSE = "stale-response"
# Closes the connection after a response without announcing it.
CLOSE_AFTER_RESPONSE = "close-after-response"
# Sends a body of another content type than an event stream.
JSON_BODY = "json body"
# Breaks off a stream by its last chunk, in the middle of an event.
ENDED_INSIDE_EVENT = "ended inside an event"
# Repeats the response after LATE_DUPLICATE_S.
LATE_DUPLICATE = "late-duplicate"
# Sends one byte of an event every DRIP_INTERVAL_S until the connection is
# closed.
SLOW_DRIP = "slow-drip"
# Each of these repeats bytes until the connection is closed, in a different
# part of a response: ENDLESS_HEAD in the value of one header, ENDLESS_HEADERS
# with ever more headers.
ENDLESS_HEAD = "endless head"
ENDLESS_HEADERS = "endless headers"
ENDLESS_INFORMATIONAL = "endless informational responses"
ENDLESS_UNSIGNED = "endless unsigned body"
ENDLESS_BODY = "endless body"
ENDLESS_EVENT = "endless event"
# Empty comments of an event stream, each byte in a chunk of its own.
ENDLESS_COMMENTS = "endless comments"
ENDLESS_CHUNK_LINE = "endless chunk line"
ENDLESS_CHUNK_EXTENSION = "endless chunk extension"
ENDLESS_TRAILER = "endless trailer"
ENDLESS_TRAILERS = "endless trailers"
ENDLESS_TRAILING_BYTES = "endless bytes after a response"
_ENDLESS = (
    ENDLESS_HEAD,
    ENDLESS_HEADERS,
    ENDLESS_INFORMATIONAL,
    ENDLESS_UNSIGNED,
    ENDLESS_BODY,
    ENDLESS_EVENT,
    ENDLESS_COMMENTS,
    ENDLESS_CHUNK_LINE,
    ENDLESS_CHUNK_EXTENSION,
    ENDLESS_TRAILER,
    ENDLESS_TRAILERS,
    ENDLESS_TRAILING_BYTES,
)
BLOCK_BYTES = 65_536
LARGE_BYTES = 24 << 20
# Time from a response to its repetition in mode LATE_DUPLICATE.
LATE_DUPLICATE_S = 0.002
DRIP_INTERVAL_S = 0.1
# Time for a router to read what came before a reset in mode LARGE_BROKEN.
RESET_DELAY_S = 0.1
# Time for a router to read a part of a BulkResponse on its own.
BULK_PAUSE_S = 0.05
UNRESPONSIVE_POLL_S = 0.05
EVENT_STREAM = {"Content-Type": "text/event-stream"}
# Keeps a failing test from exhausting the memory.
MAX_ENDLESS_BYTES = 1 << 28


class UnframedEnd(NamedTuple):
    """End of a response that has neither a length nor chunks.

    Args:
        is_whole (bool): Whether the body is complete. Defaults to False: a
            stream ends after `truncate_after_events` events, any other body
            three bytes early. A resumed stream is always whole.
        rest (bytes): Bytes of an unfinished event at the end of a stream.
            Defaults to none.
        crashes (bool): Whether the target ends together with the connection,
            without an error on it. Defaults to False.
        resets (bool): Whether the connection is reset. Defaults to False.
        repeats (bool): Whether the response is sent twice before the end.
            Defaults to False.
        repeated_bytes (int): Bytes of a copy of the head that follow a body
            that is no stream. Defaults to 0.
    """

    is_whole: bool = False
    rest: bytes = b""
    crashes: bool = False
    resets: bool = False
    repeats: bool = False
    repeated_bytes: int = 0


class BodyPart(NamedTuple):
    """Part of a body that is sent after a pause.

    Args:
        size (int): Number of bytes.
        pause_s (float): Pause before it, in seconds. Defaults to 0.
    """

    size: int
    pause_s: float = 0.0


class BulkKind(enum.Enum):
    """Part of a response that holds most of its bytes."""

    # The value of one header, or headers of four bytes each.
    HEAD = "head"
    HEADERS = "headers"
    UNSIGNED = "unsigned body"
    BODY = "signed body"
    EVENT = "event"
    # The body of a response to another attempt.
    SKIPPED = "skipped response"
    # Behind a body of BLOCK_BYTES.
    TRAILER = "trailer"


class BulkResponse(NamedTuple):
    """Response with many bytes, after which the target waits for its router.

    Args:
        kind (BulkKind): Part that holds the bytes.
        size (int): Number of bytes of that part.
        end_after_s (float | None): Seconds after which a body ends, so that
            the response is whole. Defaults to None, for no end.
    """

    kind: BulkKind
    size: int
    end_after_s: float | None = None


class ReceivedRequest(NamedTuple):
    """A request that arrived at a target.

    Args:
        id (str): Value of its Attempt-Id header.
        line (str): Request line.
        headers (HTTPHeaders): Headers.
        body (bytes): Body.
        at (float): Loop time at which it arrived. Defaults to 0.
    """

    id: str
    line: str
    headers: HTTPHeaders
    body: bytes
    at: float = 0.0


class FakeTarget:
    """Answer requests over HTTP/1.1, with faults on demand.

    Args:
        id (str): Instance id of the target.
        service (str): Service that it belongs to.
        events (int): Events of each stream, 0 for plain responses. Defaults
            to 0.
        event_interval_s (float): Pause after each event, in seconds. Defaults
            to 0.01.
        version (str | None): Version of its software, which each event states
            in its second line of data. None leaves it out. Defaults to `v1`.

    Attributes:
        mode (str): One of the modes above, which selects the fault.
        received (list[ReceivedRequest]): All requests that arrived.
        executed (list[str]): Ids of the requests that ran.
        cancelled (list[str]): Ids of the requests whose router closed the
            connection before they finished.
    """

    def __init__(
        self,
        id: str,
        service: str,
        *,
        events: int = 0,
        event_interval_s: float = 0.01,
        version: str | None = "v1",
    ) -> None:
        self.id = id
        self.version = version
        # Availability zone that it registers.
        self.zone = "z1"
        # Requests that it says that it processes concurrently.
        self.slots = 8
        # Time that a response takes that is not a stream.
        self.response_delay_s = 0.0
        self.service = service
        self.events = events
        self.event_interval_s = event_interval_s
        self.mode = NORMAL
        # A request with this body crashes the target; empty for none.
        self.crashing_body = b""
        # Ids of prompt parts that crash the target, except as the last part.
        self.crashing_parts: frozenset[str] = frozenset()
        # Events of a stream that are sent before a crash by a request.
        self.crash_after_events = 0
        # Loop time at which each crashing request began, and its id.
        self.crashes: list[tuple[float, str]] = []
        # Time for which a crashing request runs before the crash.
        self.crash_delay_s = 0.0
        # Whether the target, after a crash, stays connected but unresponsive
        # until it restarts, as a host that loses power does.
        self.hangs_before_restart = False
        self._is_unresponsive = False
        # Loop time until which the target, which is sound, sends nothing.
        self.silent_until = 0.0
        # Seconds until a crashed target restarts at the same address with
        # another id; None if it does not restart.
        self.restart_delay_s: float | None = None
        # Called with the target and its old id after a restart.
        self.on_restart: Callable[[FakeTarget, str], Awaitable[None]] | None
        self.on_restart = None
        self.born_ms = 1000
        # Whether its responses announce that it is shutting down.
        self.leaving = False
        # Server-Limit of its responses; empty for none.
        self.limit = ""
        # Loop time until which it says that it is cold; 0 if it is warm. A
        # restart makes it cold for `cold_start_s`.
        self.cold_until = 0.0
        self.cold_start_s = 0.0
        # Whether its responses say how long it stays cold.
        self.states_cold = True
        # Whether it has the same id after a restart, and the seconds after
        # which that is registered.
        self.keeps_id = False
        self.registration_delay_s = 0.0
        # Instance-Load of its responses; empty for none.
        self.load_report = ""
        # Retry-After of its refusals in mode OVERLOADED; 0 leaves it out.
        self.retry_after_s = 0.0
        # Events after which a stream breaks off in modes TRUNCATED and
        # ENDED_INSIDE_EVENT, and with `unframed`.
        self.truncate_after_events = 2
        # Status of responses in the modes whose bodies are large.
        self.large_status = 200
        # Whether it answers 404 to requests to resume a stream.
        self.rejects_resumption = False
        # Body of the event stream that it sends instead of resuming a stream;
        # empty for none. It has a length, is chunked or ends with its
        # connection, as `_head` takes it.
        self.resumption_body = b""
        self.resumption_length: int | None = -1
        # Parts of a chunked body that is no event stream; the target sends no
        # end of it. Empty for none.
        self.body_parts: tuple[BodyPart, ...] = ()
        # Bytes of the head of a response after which the connection ends, None
        # for whole responses; whether it is reset then.
        self.head_bytes: int | None = None
        self.resets_in_head = False
        # How responses without length or chunks end, None for framed ones.
        self.unframed: UnframedEnd | None = None
        # Response with many bytes, None for others.
        self.bulk: BulkResponse | None = None
        self.received: list[ReceivedRequest] = []
        self.executed: list[str] = []
        self.cancelled: list[str] = []
        self.connections = 0
        self.endless_bytes_sent = 0
        self.address = ""
        self._server: asyncio.Server | None = None
        self._writers: set[asyncio.StreamWriter] = set()
        self._restart_task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f"FakeTarget(id={self.id!r}, mode={self.mode!r})"

    async def __aenter__(self) -> "FakeTarget":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self.restart_delay_s = None
        if self._restart_task is not None:
            self._restart_task.cancel()
        self.crash()

    def crash(self) -> None:
        """Closes the listener and all connections, as a crash does.

        With `restart_delay_s` set, the target restarts after that time. With
        `hangs_before_restart` too, connections stay open until then.
        """
        if self.restart_delay_s is not None:
            restart = self._restart(self.restart_delay_s)
            self._restart_task = asyncio.get_running_loop().create_task(restart)
            if self.hangs_before_restart:
                self._is_unresponsive = True
                return
        self._close()

    @property
    def open_connections(self) -> int:
        """Number of connections that are open."""
        return len(self._writers)

    @property
    def is_up(self) -> bool:
        """Whether the target accepts connections and responds."""
        listening = self._server is not None and self._server.is_serving()
        return listening and not self._is_unresponsive

    def become_cold(self, duration_s: float) -> None:
        """Is cold for a time from now on."""
        self.cold_until = asyncio.get_running_loop().time() + duration_s

    @property
    def cold_remaining_ms(self) -> int:
        """Milliseconds for which it stays cold, negative once it is warm."""
        if not self.cold_until:
            return 0
        now = asyncio.get_running_loop().time()
        return round((self.cold_until - now) * 1000)

    def fall_silent(self, duration_s: float) -> None:
        """Sends nothing for a time, and then goes on."""
        now = asyncio.get_running_loop().time()
        self.silent_until = now + duration_s

    async def _wait_while_silent(self) -> None:
        loop = asyncio.get_running_loop()
        while self.silent_until > loop.time():
            await asyncio.sleep(self.silent_until - loop.time())

    def break_connections(self) -> None:
        """Resets all connections but keeps accepting new ones."""
        for writer in list(self._writers):
            writer.transport.abort()

    def end_cleanly(self) -> None:
        """Ends as a killed process does: its sockets are closed, not reset."""
        assert self._server is not None
        self._server.close()
        for writer in list(self._writers):
            writer.close()

    def _close(self) -> None:
        assert self._server is not None
        self._server.close()
        self.break_connections()

    async def _restart(self, delay_s: float) -> None:
        await asyncio.sleep(delay_s)
        if self.hangs_before_restart:
            self._close()
            self._is_unresponsive = False
        host, _, port = self.address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))
        old_id = self.id
        self.born_ms += 1
        if not self.keeps_id:
            self.id = f"{old_id.partition('+')[0]}+{self.born_ms}"
        if self.cold_start_s:
            self.become_cold(self.cold_start_s)
        if self.on_restart is not None:
            await self.on_restart(self, old_id)

    def spec(self, **overrides: object) -> dict:
        """Returns the registration that the target writes to the store.

        Args:
            **overrides (object): Fields to replace.
        """
        spec: dict[str, object] = {
            "backend": self.service,
            "address": self.address,
            "zone": self.zone,
            "slots": self.slots,
            "state": "ready",
            "cold_remaining_ms": self.cold_remaining_ms,
            "sequence": 1,
            "born": self.born_ms,
        }
        if self.version is not None:
            spec["version"] = self.version
        return spec | overrides

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
        """Handles a request; returns whether to keep the connection open."""
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
        line, _, rest = head.partition("\r\n")
        headers = HTTPHeaders.parse(rest)
        body = await reader.readexactly(int(headers.get("Content-Length", 0)))
        request = ReceivedRequest(
            headers.get("Attempt-Id", ""),
            line,
            headers,
            body,
            asyncio.get_running_loop().time(),
        )
        self.received.append(request)
        if self._is_unresponsive:
            await self._wait_while_unresponsive()
            return False
        expected = headers.get("Expect-Instance")
        if expected and expected != self.id:
            identity = {"Attempt-Id": request.id, "Instance-Id": self.id}
            writer.write(_head(421, identity, 0))
            return True
        if self.mode == OVERLOADED:
            self._refuse(request, writer)
            return True
        self.executed.append(request.id)
        if self._is_crashing(request):
            await self._run_and_crash(request, writer)
            return False
        return await self._run(request, reader, writer)

    def _refuse(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        refusal = {"Attempt-Id": request.id, "Not-Executed": "1"}
        if self.limit:
            refusal["Server-Limit"] = self.limit
        if self.retry_after_s:
            refusal["Retry-After"] = f"{self.retry_after_s:g}"
        writer.write(_head(503, refusal, 0))

    def _is_crashing(self, request: ReceivedRequest) -> bool:
        if request.body and request.body == self.crashing_body:
            return True
        parts = request.headers.get("Prompt-Prefix", "").split(",")[:-1]
        ids = {part.partition(":")[0] for part in parts}
        return not ids.isdisjoint(self.crashing_parts)

    async def _run_and_crash(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        now = asyncio.get_running_loop().time()
        self.crashes.append((now, request.id))
        if self.crash_after_events:
            writer.write(
                _head(200, self._identity_headers(request) | EVENT_STREAM, -1)
            )
        for number in range(1, self.crash_after_events + 1):
            writer.write(_chunk(self._event(number)))
        await writer.drain()
        await asyncio.sleep(self.crash_delay_s)
        self.crash()
        await self._wait_while_unresponsive()

    async def _wait_while_unresponsive(self) -> None:
        while self._is_unresponsive:
            await asyncio.sleep(UNRESPONSIVE_POLL_S)

    def _identity_headers(self, request: ReceivedRequest) -> dict[str, str]:
        identity = {
            "Attempt-Id": request.id,
            "Response-Signature": f"sig-{self.id}",
            "Instance-Id": self.id,
        }
        if self.limit:
            identity["Server-Limit"] = self.limit
        if self.cold_until and self.states_cold:
            remaining_ms = max(0, self.cold_remaining_ms)
            identity["Cold-Remaining"] = str(remaining_ms)
        if self.load_report:
            identity["Instance-Load"] = self.load_report
        return identity

    async def _run(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        await self._wait_while_silent()
        identity = self._identity_headers(request)
        if self.leaving:
            identity["Server-Leaving"] = "1"
        if self.mode in _ENDLESS:
            await self._send_endless(writer, identity)
            return False
        if self.mode == HANG:
            await asyncio.wait({asyncio.ensure_future(reader.read(1))})
            self.cancelled.append(request.id)
            return False
        if self.mode == RESET:
            writer.transport.abort()
            return False
        if self.mode == UNSIGNED_BUSY:
            writer.write(_head(429, {"Attempt-Id": request.id}, 4) + b"busy")
            return True
        if self.mode == ERROR:
            writer.write(_head(500, identity, 4) + b"oops")
            return True
        if self.rejects_resumption and "Last-Event-Id" in request.headers:
            writer.write(_head(404, identity, 4) + b"gone")
            return True
        if self.head_bytes is not None:
            head = _head(200, identity | EVENT_STREAM, 4)
            writer.write(head[: self.head_bytes])
            if self.resets_in_head:
                writer.transport.abort()
            return False
        if self.resumption_body and "Last-Event-Id" in request.headers:
            length, body = self.resumption_length, self.resumption_body
            if length == -1:
                body = _chunk(body) + b"0\r\n\r\n"
            writer.write(_head(200, identity | EVENT_STREAM, length) + body)
            return False
        if self.bulk is not None:
            for part in _encode_bulk(self.bulk, identity, self.large_status):
                writer.write(part)
                await asyncio.sleep(BULK_PAUSE_S)
            if self.bulk.end_after_s is None:
                await reader.read(1)
                return False
            await asyncio.sleep(self.bulk.end_after_s)
            writer.write(b"0\r\n\r\n")
            return True
        if self.body_parts:
            await self._send_parts(reader, writer, identity)
            return False
        if self.unframed is not None:
            await self._send_unframed(self.unframed, request, writer, identity)
            return False
        if self.events:
            return await self._send_stream(request, reader, writer, identity)
        await asyncio.sleep(self.response_delay_s)
        await self._wait_while_silent()
        if self.mode in (LARGE_BODY, LARGE_UNFRAMED, LARGE_BROKEN):
            await self._send_large(writer, identity)
            return False
        return self._send_plain(request, writer, identity)

    async def _send_endless(
        self, writer: asyncio.StreamWriter, identity: dict[str, str]
    ) -> None:
        """Sends an endless response until the connection is closed."""
        prefix, block = _endless_parts(self.mode, identity)
        writer.write(prefix)
        sent = 0
        while sent < MAX_ENDLESS_BYTES:
            writer.write(block)
            await writer.drain()
            sent += len(block)
            self.endless_bytes_sent += len(block)

    async def _send_large(
        self, writer: asyncio.StreamWriter, identity: dict[str, str]
    ) -> None:
        """Sends a body that is larger than a router buffers."""
        identity["Content-Type"] = "application/json"
        body = b"x" * LARGE_BYTES
        length = None if self.mode == LARGE_UNFRAMED else -1
        if length == -1:
            body = _chunk(body)
        if self.mode == LARGE_BODY:
            body += b"0\r\n\r\n"
        writer.write(_head(self.large_status, identity, length) + body)
        await writer.drain()
        if self.mode == LARGE_BROKEN:
            await asyncio.sleep(RESET_DELAY_S)
            writer.transport.abort()

    async def _send_parts(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        identity: dict[str, str],
    ) -> None:
        """Sends the parts of a body, and then nothing until the router left."""
        identity["Content-Type"] = "application/json"
        writer.write(_head(self.large_status, identity, -1))
        for part in self.body_parts:
            await asyncio.sleep(part.pause_s)
            writer.write(_chunk(b"x" * part.size))
        await reader.read(1)

    async def _send_unframed(
        self,
        end: UnframedEnd,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        identity: dict[str, str],
    ) -> None:
        """Sends a response that ends with its connection."""
        if end.repeats and "Last-Event-Id" not in request.headers:
            original = end._replace(repeats=False, crashes=False, resets=False)
            await self._send_unframed(original, request, writer, identity)
        if self.events:
            writer.write(_head(200, identity | EVENT_STREAM, None))
            first = int(request.headers.get("Last-Event-Id", 0)) + 1
            if first > 1:
                end = UnframedEnd(is_whole=True)
            last = self.events if end.is_whole else self.truncate_after_events
            for number in range(first, last + 1):
                writer.write(self._event(number))
                await asyncio.sleep(self.event_interval_s)
            writer.write(end.rest)
        else:
            body = f"{self.id}:{request.id}".encode()
            writer.write(_head(200, identity, None))
            writer.write(body if end.is_whole else body[:-3])
            copy = _head(200, identity, None)
            writer.write(copy[: end.repeated_bytes])
        await writer.drain()
        if end.resets:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        elif end.crashes:
            self.end_cleanly()

    def _event(self, number: int) -> bytes:
        """Returns an event that states which version of software wrote it."""
        lines = [f"id: {number}", f"data: {number}"]
        if self.version is not None:
            lines.append(f"data: {self.version}")
        return "\n".join([*lines, "", ""]).encode()

    def _send_plain(
        self,
        request: ReceivedRequest,
        writer: asyncio.StreamWriter,
        identity: dict[str, str],
    ) -> bool:
        body = f"{self.id}:{request.id}".encode()
        if self.mode == JSON_BODY:
            identity["Content-Type"] = "application/json"
        if self.mode == UNSIGNED:
            writer.write(_head(200, {}, len(body)) + body)
        elif self.mode == FOREIGN:
            writer.write(_head(404, {}, 9) + b"not found")
        elif self.mode == TRUNCATED:
            writer.write(_head(200, identity, len(body)) + body[:-3])
            return False
        elif self.mode == CLOSE_DELIMITED:
            writer.write(_head(200, identity, None) + body)
            return False
        elif self.mode == STALE_RESPONSE:
            other = identity | {"Attempt-Id": "another"}
            writer.write(_head(200, other, 3) + b"old")
            writer.write(_head(200, identity, len(body)) + body)
        else:
            writer.write(_head(200, identity, len(body)) + body)
        if self.mode == LATE_DUPLICATE:
            duplicate = _head(200, identity, len(body)) + body
            loop = asyncio.get_running_loop()
            loop.call_later(LATE_DUPLICATE_S, writer.write, duplicate)
        if self.mode == EXTRA_RESPONSE:
            writer.write(_head(200, identity, 5) + b"extra")
        return self.mode != CLOSE_AFTER_RESPONSE

    async def _send_stream(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        identity: dict[str, str],
    ) -> bool:
        writer.write(_head(200, identity | EVENT_STREAM, -1))
        first = int(request.headers.get("Last-Event-Id", 0)) + 1
        disconnected = asyncio.ensure_future(reader.read(1))
        while self.mode == SLOW_DRIP and not disconnected.done():
            writer.write(_chunk(b"x"))
            await asyncio.wait({disconnected}, timeout=DRIP_INTERVAL_S)
        try:
            for number in range(first, self.events + 1):
                if (
                    self.mode == TRUNCATED
                    and number - first >= self.truncate_after_events
                ):
                    writer.write(_chunk(b"id: %d\ndat" % number))
                    await writer.drain()
                    writer.transport.abort()
                    return False
                if (
                    self.mode == ENDED_INSIDE_EVENT
                    and number - first >= self.truncate_after_events
                ):
                    writer.write(_chunk(b"id: %d\ndat" % number))
                    break
                await self._wait_while_silent()
                writer.write(_chunk(self._event(number)))
                await asyncio.sleep(self.event_interval_s)
                if disconnected.done():
                    self.cancelled.append(request.id)
                    return False
        finally:
            disconnected.cancel()
        writer.write(b"0\r\n\r\n")
        # The connection ends here: the task that watched for its end may have
        # consumed a byte of the next request.
        return False


def encode_response(status: int, headers: dict[str, str], body: bytes) -> bytes:
    """Returns a response whose head gives the length of its body.

    Args:
        status (int): HTTP status.
        headers (dict[str, str]): Headers besides Content-Length.
        body (bytes): Body.
    """
    return _head(status, headers, len(body)) + body


def encode_chunked(
    headers: dict[str, str], chunks: list[bytes], *, is_whole: bool
) -> bytes:
    """Returns a chunked response.

    Args:
        headers (dict[str, str]): Headers besides Transfer-Encoding.
        chunks (list[bytes]): Its chunks, without framing.
        is_whole (bool): Whether the last, empty chunk follows.
    """
    body = b"".join(_chunk(chunk) for chunk in chunks)
    return _head(200, headers, -1) + body + (b"0\r\n\r\n" if is_whole else b"")


def _endless_parts(mode: str, identity: dict[str, str]) -> tuple[bytes, bytes]:
    """Returns the beginning of an endless response and the block it repeats."""
    block = b"x" * BLOCK_BYTES
    if mode == ENDLESS_HEAD:
        return b"HTTP/1.1 200 OK\r\nX-Long: ", block
    if mode == ENDLESS_HEADERS:
        return b"HTTP/1.1 200 OK\r\n", b"X-Long: 1\r\n" * 4096
    if mode == ENDLESS_INFORMATIONAL:
        return b"", b"HTTP/1.1 103 Early Hints\r\n\r\n" * 1024
    if mode == ENDLESS_UNSIGNED:
        return _head(200, {}, None), block
    if mode == ENDLESS_BODY:
        return _head(200, identity, -1), _chunk(block)
    if mode == ENDLESS_COMMENTS:
        comment = b"".join(_chunk(b) for b in (b":", b"\n", b"\n"))
        return _head(200, identity | EVENT_STREAM, -1), comment * 4096
    if mode == ENDLESS_CHUNK_LINE:
        return _head(200, identity, -1), block
    if mode == ENDLESS_CHUNK_EXTENSION:
        return _head(200, identity, -1) + b"4;x=", block
    if mode == ENDLESS_TRAILER:
        return _head(200, identity, -1) + b"0\r\nX-Long: ", block
    if mode == ENDLESS_TRAILERS:
        return _head(200, identity, -1) + b"0\r\n", b"X-Long: 1\r\n" * 4096
    if mode == ENDLESS_TRAILING_BYTES:
        return _head(200, identity, 4) + b"done", block
    return _head(200, identity | EVENT_STREAM, -1), _chunk(block)


def _encode_bulk(
    bulk: BulkResponse, identity: dict[str, str], status: int
) -> tuple[bytes, ...]:
    """Returns the parts of a response with many bytes."""
    kind, data = bulk.kind, b"x" * bulk.size
    if kind is BulkKind.HEAD:
        return (b"HTTP/1.1 200 OK\r\nX-Long: " + data,)
    if kind is BulkKind.HEADERS:
        return (b"HTTP/1.1 200 OK\r\n" + b"a:\r\n" * (bulk.size // 4),)
    if kind is BulkKind.SKIPPED:
        other = identity | {"Attempt-Id": "another"}
        return (_head(200, other, bulk.size + 1) + data,)
    if kind is BulkKind.EVENT:
        return (_head(200, identity | EVENT_STREAM, -1) + _chunk(data),)
    if kind is BulkKind.TRAILER:
        body = _chunk(b"x" * BLOCK_BYTES)
        trailer = b"0\r\nX-Long: " + data
        return _head(200, identity, -1), body, trailer
    headers = {} if kind is BulkKind.UNSIGNED else identity
    head = _head(status, headers | {"Content-Type": "application/json"}, -1)
    return (head + _chunk(data),)


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def _head(status: int, headers: dict[str, str], length: int | None) -> bytes:
    """Returns the status line and headers of a response.

    Args:
        status (int): HTTP status.
        headers (dict[str, str]): Headers besides those that frame the body.
        length (int | None): Length of the body in bytes, -1 for a chunked
            body, None for a body that ends with the connection.
    """
    lines = [f"HTTP/1.1 {status} X"]
    lines += [f"{name}: {value}" for name, value in headers.items()]
    if length == -1:
        lines.append("Transfer-Encoding: chunked")
    elif length is not None:
        lines.append(f"Content-Length: {length}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode()
