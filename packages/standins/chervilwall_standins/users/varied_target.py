"""A stand-in target whose answers differ in framing, size, end and copies.

Each answer is drawn from a seed. Its body names the target, the run, the
request and its own byte positions, so that a caller can tell whose it is.
"""

import asyncio
import contextlib
import functools
import random
import socket
import struct

from chervilwall_standins.users.target import (
    EVENT_STREAM,
    FakeTarget,
    ReceivedRequest,
)

LINE_BYTES = 256
# Sizes of bodies, from which one is chosen evenly.
SIZES = ((1, 100), (100, 5000), (5000, 900_000), (900_000, 3_000_000))
# Most bytes that a router buffers, around which silences are frequent.
BUFFERED_BYTES = 1 << 20
MAX_CHUNK_BYTES = 100_000
# Bytes at the beginning and the end of a text that are sent by a few at a
# time, and the pause after each part.
TINY_BYTES = 150
TINY_PAUSE_S = 0.0005
# A copied head that is cut within these bytes cannot be told from text.
UNKNOWABLE_BYTES = 4
# Ends of an answer, and how frequent they are: all of it, at once or after
# silences in the middle, or a part that nothing, a close or a reset follows.
WHOLE, PAUSED, SILENT, CLOSED, RESET = range(5)
END_WEIGHTS = (55, 17, 8, 10, 10)
# The same for a target whose bodies are large and grow after silences.
GROWING_WEIGHTS = (35, 40, 5, 10, 10)
# Framings of an answer: a length, chunks, or the end of its connection.
LENGTH, CHUNKS, NONE = range(3)
# Parts of an answer that are sent a second time, and how frequent these are.
COPIES = ("", "all", "head", "body")
COPY_WEIGHTS = (50, 20, 15, 15)
COPY_DELAYS_S = (0.0, 0.002, 0.02, 0.1, 0.4, 1.2)


@functools.lru_cache(4096)
def piece_sizes(request_id: str) -> tuple[int, ...]:
    """Returns the sizes of the pieces of a stream, which all runs share."""
    rng = random.Random(request_id)
    most = rng.choice((40, 40, 2000, 300_000))
    return tuple(rng.randint(1, most) for _ in range(rng.randint(1, 10)))


class Run:
    """A run of a request and what its target sends, drawn from a seed.

    Args:
        target (VariedTarget): Target that runs it.
        request (ReceivedRequest): The request.
        number (int): Number of the run at its target.
    """

    def __init__(
        self, target: "VariedTarget", request: ReceivedRequest, number: int
    ) -> None:
        rng = target.rng
        self.request_id = request.id
        self.target_id = target.id
        self.tag = f"{target.id}/{number}/{request.id}"
        self.status = 500 if rng.random() < 0.15 else 200
        sizes = SIZES[-1:] if target.is_growing else SIZES
        self.size = max(len(self.tag), rng.randint(*rng.choice(sizes)))
        self.framing = rng.choice((LENGTH, CHUNKS, NONE))
        weights = GROWING_WEIGHTS if target.is_growing else END_WEIGHTS
        self.end = rng.choices(range(5), weights)[0]
        self.pause_s = rng.choice((1.0, rng.uniform(0.9, 1.3), 2.0, 3.0))
        self.copied = rng.choices(COPIES, COPY_WEIGHTS)[0]
        self.copied_portion = rng.random()
        self.copy_delay_s = rng.choice(COPY_DELAYS_S)
        self.is_named = rng.random() < 0.93
        self.is_copy_named = self.is_named and rng.random() < 0.6
        self.is_tiny = rng.random() < 0.3
        # First piece of a stream, 0 for a body that is none.
        self.first_piece = 0
        if target.is_model and self.status == 200 and rng.random() < 0.9:
            last_id = request.headers.get("Last-Event-Id", 0)
            self.first_piece = int(last_id) + 1
        # Bytes of the body before each silence and before its end.
        body = self.body
        cuts = (self._draw_cut(rng, body) for _ in range(rng.choice((1, 2))))
        self.cuts = [] if self.end == WHOLE else sorted(cuts)

    def _draw_cut(self, rng: random.Random, body: bytes) -> int:
        cut = rng.randrange(len(body)) if body else 0
        if self.first_piece and rng.random() < 0.3:
            end = body.rfind(b"\n\n", 0, cut)
            return end + 2 if end >= 0 else 0
        if len(body) > BUFFERED_BYTES and rng.random() < 0.5:
            return rng.randint(BUFFERED_BYTES * 3 // 5, BUFFERED_BYTES)
        return cut

    def __repr__(self) -> str:
        return f"Run({vars(self)})"

    @property
    def body(self) -> bytes:
        """The whole body."""
        if not self.first_piece:
            return self._positions(self.size)
        last = len(piece_sizes(self.request_id))
        return b"".join(map(self.piece, range(self.first_piece, last + 1)))

    def piece(self, number: int) -> bytes:
        """Returns a piece of a stream, counted from 1."""
        size = piece_sizes(self.request_id)[number - 1]
        data = f"{self.tag}\ndata: ".encode() + self._positions(size)
        return b"id: %d\ndata: %b\n\n" % (number, data)

    def _positions(self, size: int) -> bytes:
        starts = range(0, size, LINE_BYTES)
        lines = (f"{self.tag} {n} ".ljust(LINE_BYTES, ".") for n in starts)
        return "".join(lines).encode()[:size]

    @property
    def looks_whole(self) -> bytes:
        """What a caller cannot tell from the whole body."""
        is_cut_unseen = self.framing == NONE and self.end == CLOSED
        return self.body[: self.cuts[-1]] if is_cut_unseen else self.body

    def explains(self, status: int, body: bytes, *, is_complete: bool) -> bool:
        """Returns whether a caller may get this body from this run."""
        whole = self.looks_whole
        if status != self.status:
            return False
        if not is_complete:
            return whole.startswith(body)
        if not body.startswith(whole):
            return False
        rest = body[len(whole) :]
        # It may be the late copy of an earlier answer of the connection.
        return not rest or (
            self.framing == NONE
            and len(rest) <= UNKNOWABLE_BYTES
            and b"HTTP".startswith(rest)
        )

    def encode(self, body: bytes, *, named: bool = False) -> bytes:
        """Returns the head and a beginning of the body; all are signed."""
        fields = {"Response-Signature": f"sig-{self.target_id}"}
        if named:
            fields["Attempt-Id"] = self.request_id
            fields["Instance-Id"] = self.target_id
        if self.first_piece:
            fields |= EVENT_STREAM
        if self.framing == LENGTH:
            fields["Content-Length"] = str(len(self.body))
        elif self.framing == CHUNKS:
            fields["Transfer-Encoding"] = "chunked"
        lines = [f"HTTP/1.1 {self.status} X"]
        lines += [f"{name}: {value}" for name, value in fields.items()]
        head = "\r\n".join([*lines, "", ""])
        return head.encode() + self.frame(body)

    def frame(self, body: bytes) -> bytes:
        """Returns a part of the body in chunks, if it has these."""
        if self.framing != CHUNKS:
            return body
        size = max(1, min(MAX_CHUNK_BYTES, len(body) // 3))
        starts = range(0, len(body), size)
        parts = (body[n : n + size] for n in starts)
        return b"".join(b"%x\r\n%b\r\n" % (len(p), p) for p in parts)

    @property
    def last(self) -> bytes:
        """What ends the whole body."""
        return b"0\r\n\r\n" if self.framing == CHUNKS else b""


class VariedTarget(FakeTarget):
    """Answer each request in a way that is drawn from a seed.

    Args:
        id (str): Instance id of the target.
        service (str): Service that it belongs to, `model` for streams.
        rng (random.Random): Draws its answers.

    Attributes:
        is_growing (bool): Whether its bodies are large and grow after silences.
        runs (dict): Runs of each request.
        copies_sent (int): Copies of answers that were sent.
    """

    def __init__(self, id: str, service: str, rng: random.Random) -> None:
        super().__init__(id, service)
        self.rng = rng
        self.is_model = service == "model"
        self.is_growing = False
        self.runs: dict[str, list[Run]] = {}
        self.copies_sent = 0
        # An answer and a late copy are not sent into each other.
        self._locks: dict[asyncio.StreamWriter, asyncio.Lock] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    async def __aexit__(self, *exc_info: object) -> None:
        for task in self._tasks:
            task.cancel()
        await super().__aexit__(*exc_info)

    async def _run(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        run = Run(self, request, len(self.executed))
        self.runs.setdefault(request.id, []).append(run)
        await asyncio.sleep(self.rng.choice((0.0, 0.0, 0.01, 0.05)))
        lock = self._locks.setdefault(writer, asyncio.Lock())
        async with lock:
            if not await self._send(run, reader, writer):
                return False
        copying = self._copy(run, writer, lock)
        if run.framing == NONE:
            await copying
            return False
        task = asyncio.create_task(copying)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    async def _send(
        self,
        run: Run,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Sends an answer; returns whether it was sent to its end."""
        body, sent = run.body, 0
        text = run.encode(b"", named=run.is_named)
        for number, cut in enumerate(run.cuts, 1):
            text += run.frame(body[sent:cut])
            await self._write(run, writer, text)
            text, sent = b"", cut
            if run.end == PAUSED or number < len(run.cuts):
                await asyncio.sleep(run.pause_s)
        if run.end in (WHOLE, PAUSED):
            text += run.frame(body[sent:]) + run.last
            await self._write(run, writer, text)
            return True
        if run.end == SILENT:
            await asyncio.wait({asyncio.ensure_future(reader.read(1))})
        elif run.end == RESET:
            linger = struct.pack("ii", 1, 0)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)
            writer.transport.abort()
        return False

    async def _copy(
        self, run: Run, writer: asyncio.StreamWriter, lock: asyncio.Lock
    ) -> None:
        """Sends an answer again; a cut copy ends with its connection."""
        if not run.copied:
            return
        await asyncio.sleep(run.copy_delay_s)
        body, portion = run.body, run.copied_portion
        if run.copied == "body":
            body = body[: int(portion * len(body))]
        text = run.encode(b"", named=run.is_copy_named)
        if run.copied == "head":
            text = text[: int(portion * len(text))]
        else:
            text += run.frame(body)
        with contextlib.suppress(ConnectionError):
            async with lock:
                self.copies_sent += 1
                if run.copied == "all":
                    await self._write(run, writer, text + run.last)
                else:
                    await self._write(run, writer, text)
                    writer.close()

    async def _write(
        self, run: Run, writer: asyncio.StreamWriter, text: bytes
    ) -> None:
        while run.is_tiny and text:
            size = self.rng.randint(1, 3)
            if len(text) > 2 * TINY_BYTES:
                size = len(text) - TINY_BYTES
            writer.write(text[:size])
            text = text[size:]
            await asyncio.sleep(TINY_PAUSE_S)
        writer.write(text)
        await writer.drain()
