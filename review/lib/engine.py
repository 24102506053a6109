"""Stand-in of one engine: HTTP/1.1 as PROTOCOL.md describes it.

Started as `engine.py SPEC`, SPEC being a JSON object (see DEFAULTS). It prints
one JSON line for each thing it does and takes JSON lines that replace fields
of the spec on standard input, so that a script can change its behaviour.
"""

import asyncio
import json
import sys
import time

DEFAULTS = {
    "id": "e0",
    "host": "127.0.0.1",
    "port": 0,
    # Milliseconds of work of a request that is not a stream.
    "work_ms": 90,
    # Events of a stream and milliseconds between them.
    "events": 20,
    "gap_ms": 40,
    # Number of streams to preempt at the next moment, the newest first, and
    # the milliseconds for which each is paused.
    "preempt": 0,
    "preempt_ms": 2000,
    # "sound", or the name of a fault that a case defines below.
    "mode": "sound",
    "version": "",
}
SIGNATURE = "3e1b.07.5a2.600.0.c9f2a4d1"
BLOCK = b"x" * 65_536


class Connection(asyncio.Protocol):
    """Serves the requests of one channel; drops its work when that closes."""

    def __init__(self, engine):
        self.engine, self.buffer = engine, b""
        self.arrived, self.drained = asyncio.Event(), asyncio.Event()
        self.drained.set()

    def connection_made(self, transport):
        self.transport = transport
        self.task = asyncio.ensure_future(self.engine.serve(self))

    def data_received(self, data):
        self.buffer += data
        self.arrived.set()

    def connection_lost(self, exc):
        self.task.cancel()

    def pause_writing(self):
        self.drained.clear()

    def resume_writing(self):
        self.drained.set()

    async def write(self, data):
        self.transport.write(data)
        await self.drained.wait()

    async def read(self):
        """Returns a whole request as (line, headers, body)."""
        while b"\r\n\r\n" not in self.buffer:
            await self.wait()
        head, self.buffer = self.buffer.split(b"\r\n\r\n", 1)
        line, *rest = head.decode("latin1").split("\r\n")
        headers = {}
        for item in rest:
            name, _, value = item.partition(":")
            headers[name.strip().lower()] = value.strip()
        length = int(headers.get("content-length", 0))
        while len(self.buffer) < length:
            await self.wait()
        body, self.buffer = self.buffer[:length], self.buffer[length:]
        return line, headers, body

    async def wait(self):
        self.arrived.clear()
        await self.arrived.wait()


class Engine:
    def __init__(self, spec):
        self.spec = {**DEFAULTS, **spec}
        # Streams in progress, the oldest first, and until when each is paused.
        self.runs = {}

    def preempt(self):
        """Preempts the newest streams, as if memory had run out."""
        count, self.spec["preempt"] = self.spec["preempt"], 0
        begun = [a for a, run in self.runs.items() if run["events"]]
        for attempt in begun[-count:] if count else []:
            pause_s = self.spec["preempt_ms"] / 1000
            self.runs[attempt]["until"] = time.monotonic() + pause_s
            self.say("preempted", id=attempt)

    def say(self, what, **fields):
        line = {"t": round(time.time(), 4), "engine": self.spec["id"]}
        print(json.dumps({**line, "what": what, **fields}), flush=True)

    async def serve(self, conn):
        keep = True
        while keep:
            line, headers, body = await conn.read()
            keep = await self.serve_one(conn, line, headers, body)
        conn.transport.close()

    async def serve_one(self, conn, line, headers, body):
        spec, attempt = self.spec, headers.get("attempt-id", "")
        if headers.get("expect-instance", spec["id"]) != spec["id"]:
            self.say("misdirected", id=attempt)
            await conn.write(
                b"HTTP/1.1 421 Misdirected Request\r\nInstance-Id: %s\r\n"
                b"Content-Length: 0\r\n\r\n" % spec["id"].encode()
            )
            return True
        self.say(
            "begin",
            id=attempt,
            line=line,
            tenant=headers.get("tenant", ""),
            after=headers.get("last-event-id", ""),
            bytes=len(body),
        )
        self.runs[attempt] = {"until": 0.0, "events": 0}
        try:
            keep = await self.answer(line, headers, attempt, conn)
        except asyncio.CancelledError:
            self.say("dropped", id=attempt)
            raise
        finally:
            self.runs.pop(attempt, None)
        self.say("end", id=attempt)
        return keep

    def head(self, attempt, *more):
        lines = [
            "HTTP/1.1 200 OK",
            f"Attempt-Id: {attempt}",
            f"Response-Signature: {SIGNATURE}",
            "Keep-Alive: timeout=10",
            *more,
        ]
        return ("\r\n".join(lines) + "\r\n\r\n").encode()

    async def answer(self, line, headers, attempt, conn):
        mode = self.spec["mode"]
        if mode == "endless trailer":
            return await self.answer_endless_trailer(attempt, conn)
        if "/stream/" in line or headers.get("model"):
            return await self.answer_stream(headers, attempt, conn)
        await asyncio.sleep(self.spec["work_ms"] / 1000)
        body = f"{self.spec['id']}:{attempt}".encode().ljust(800, b".")
        await conn.write(
            self.head(attempt, f"Content-Length: {len(body)}") + body
        )
        return True

    async def answer_stream(self, headers, attempt, conn):
        first = int(headers.get("last-event-id") or 0) + 1
        is_framed = self.spec["mode"] != "unframed"
        framing = "Transfer-Encoding: chunked"
        if not is_framed:
            framing = "Connection: close"
        kind = "Content-Type: text/event-stream"
        await conn.write(self.head(attempt, kind, framing))
        for number in range(first, self.spec["events"] + 1):
            await asyncio.sleep(self.spec["gap_ms"] / 1000)
            run = self.runs[attempt]
            while time.monotonic() < run["until"]:
                await asyncio.sleep(0.02)
            run["events"] += 1
            text = f"{attempt} {number} {self.spec['version']}"
            event = f"id: {number}\ndata: {text}\n\n".encode()
            if is_framed:
                event = b"%x\r\n%b\r\n" % (len(event), event)
            await conn.write(event)
        if is_framed:
            await conn.write(b"0\r\n\r\n")
        return is_framed

    async def answer_endless_trailer(self, attempt, conn):
        """Sends a sound head, and then a chunked body that never ends.

        Behind its last chunk the trailer section goes on until the caller
        closes: bytes that are no answer, without end, in a body.
        """
        await conn.write(
            self.head(attempt, "Transfer-Encoding: chunked")
            + b"2\r\nok\r\n0\r\nX-Trace: "
        )
        while True:
            await conn.write(BLOCK)


async def read_commands(engine):
    loop = asyncio.get_running_loop()
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(
        lambda: asyncio.StreamReaderProtocol(reader), sys.stdin
    )
    while line := await reader.readline():
        engine.spec.update(json.loads(line))
        engine.say("spec", change=json.loads(line))
        engine.preempt()


async def main():
    engine = Engine(json.loads(sys.argv[1]))
    loop = asyncio.get_running_loop()
    server = await loop.create_server(
        lambda: Connection(engine), engine.spec["host"], engine.spec["port"]
    )
    engine.say("listening", port=engine.spec["port"])
    async with server:
        await read_commands(engine)


if __name__ == "__main__":
    asyncio.run(main())
