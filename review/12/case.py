"""A sound engine falls silent, and the other one, which is full, says so late."""

import asyncio
import contextlib
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import harness  # noqa: E402

EVENTS = 30
EVENT_INTERVAL_S = 0.1
CONSUMERS = 100
RUN_S = 48.0
# Seconds after the begin at which an engine falls silent; the two take turns.
SILENCES = (12.0, 18.0, 24.0, 30.0, 36.0, 42.0)
SILENCE_S = 1.4
# The other one is full from a little before on, and rejects what is new after
# this time.
FULL_BEFORE_S = 0.1
REJECT_AFTER_S = float(os.environ.get("REJECT_AFTER_S", "0.4"))
ALLOWED = 3


class Schedule:
    """Which engine is silent or full."""

    def __init__(self) -> None:
        self.began_at: float | None = None

    def now(self) -> float:
        if self.began_at is None:
            return 0.0
        return asyncio.get_running_loop().time() - self.began_at

    def silent_s(self, number: int) -> float:
        """Returns for how long an engine stays silent."""
        now = self.now()
        if not harness.TROUBLE:
            return 0.0
        ends = [
            at + SILENCE_S
            for turn, at in enumerate(SILENCES)
            if at <= now and turn % 2 == number
        ]
        return max(0.0, max(ends, default=0.0) - now)

    def is_full(self, number: int) -> bool:
        now = self.now()
        return any(
            at - FULL_BEFORE_S <= now < at + SILENCE_S and turn % 2 != number
            for turn, at in enumerate(SILENCES)
        )


class Engine:
    """A model engine that sends streams of events."""

    def __init__(
        self, number: int, schedule: Schedule, record: harness.Recorder
    ) -> None:
        self.id = f"i-{number:08x}"
        self._number = number
        self._schedule, self._record = schedule, record
        self.address = ""

    async def __aenter__(self) -> "Engine":
        self._server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        self._server.close()

    def entry(self) -> dict:
        return {
            "backend": "llm",
            "address": self.address,
            "zone": "zone-a",
            "version": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": 1,
            "born": 1000,
        }

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
                lines = (x.partition(":") for x in head.split("\r\n")[1:] if x)
                headers = {n.lower(): v.strip() for n, _, v in lines}
                length = int(headers.get("content-length", 0))
                await reader.readexactly(length)
                await self._answer(headers, writer)
        writer.close()

    async def _answer(
        self, headers: dict[str, str], writer: asyncio.StreamWriter
    ) -> None:
        request_id = headers["attempt-id"]
        identity = f"Attempt-Id: {request_id}\r\nInstance-Id: {self.id}\r\n"
        if self._schedule.is_full(self._number):
            await asyncio.sleep(REJECT_AFTER_S)
            self._record.line("rejected", engine=self.id, id=request_id)
            writer.write(
                f"HTTP/1.1 503 -\r\n{identity}Not-Executed: 1\r\n"
                "Content-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
            return
        self._record.line("run", engine=self.id, id=request_id)
        writer.write(
            f"HTTP/1.1 200 -\r\n{identity}Response-Signature: 3e.{self.id}\r\n"
            "Content-Type: text/event-stream\r\n"
            "Transfer-Encoding: chunked\r\n\r\n".encode()
        )
        first = int(headers.get("last-event-id", 0)) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            silent_s = self._schedule.silent_s(self._number)
            if silent_s:
                await asyncio.sleep(silent_s)
                self._record.line("goes_on", engine=self.id, id=request_id)
            data = f"id: {number}\ndata: {request_id} {number}\n\n".encode()
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()


async def read_stream(reader: asyncio.StreamReader) -> tuple[int, float]:
    """Reads an answer; returns its status and Retry-After."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    status = int(raw.split()[1])
    lines = (x.partition(":") for x in raw.split("\r\n")[1:] if x)
    headers = {n.lower(): v.strip() for n, _, v in lines}
    if "transfer-encoding" in headers:
        while size := int(await reader.readuntil(b"\r\n"), 16):
            await reader.readexactly(size + 2)
        await reader.readexactly(2)
    else:
        await reader.readexactly(int(headers["content-length"]))
    return status, float(headers.get("retry-after", 0))


async def case() -> int:
    record, schedule = harness.Recorder(FOLDER), Schedule()
    lost: list[str] = []
    whole = 0
    routes = [
        harness.make_route(
            "chat",
            "llm",
            kind="streaming",
            resumable=True,
            timeout_ms=15000,
            target_latency_ms=400,
        )
    ]
    config = harness.make_config(1, ["llm"], routes)
    config["limits"]["tokens_per_s"] = 300_000
    async with harness.Fleet(1, config) as fleet:
        for number in range(2):
            engine = Engine(number, schedule, record)
            await fleet.enter_async_context(engine)
            await fleet.store.put("servers", engine.id, engine.entry())
        await fleet.start_routers()
        host, _, port = fleet.routers[0].callers.rpartition(":")
        loop = asyncio.get_running_loop()
        schedule.began_at = loop.time()
        ends_at = loop.time() + RUN_S

        async def consume(consumer: int) -> None:
            """Sends one stream after the other on a kept channel."""
            nonlocal whole
            await asyncio.sleep(
                consumer * EVENTS * EVENT_INTERVAL_S / CONSUMERS
            )
            count = 0
            while loop.time() < ends_at:
                reader, writer = await asyncio.open_connection(host, int(port))
                try:
                    while loop.time() < ends_at:
                        count += 1
                        request_id = f"c{consumer}-{count}"
                        writer.write(
                            f"POST /chat/x HTTP/1.1\r\nHost: {harness.HOST}\r\n"
                            f"Attempt-Id: {request_id}\r\n"
                            "Timeout-Remaining: 15000\r\n"
                            f"Authorization: Token {harness.KEY}\r\n"
                            "Model: m\r\nToken-Usage: 800,150\r\nPrompt-Prefix:"
                            f" 5c1e07a2:600,{consumer:04x}{count:04x}:200\r\n"
                            "Content-Length: 2\r\n\r\n{}".encode()
                        )
                        status, pause_s = await read_stream(reader)
                        whole += status == 200
                        record.line("answered", id=request_id, status=status)
                        await asyncio.sleep(pause_s)
                except (asyncio.IncompleteReadError, ConnectionError):
                    lost.append(request_id)
                    record.line("ended_without_whole_answer", id=request_id)
                finally:
                    writer.close()

        await asyncio.gather(*(consume(n) for n in range(CONSUMERS)))
    record.line("verdict", whole=whole, lost=len(lost))
    print(f"whole={whole} lost={len(lost)}")
    return harness.BROKEN if len(lost) > ALLOWED else harness.HELD


harness.run_case(case)
