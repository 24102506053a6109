"""Engines that fall silent for 1.4 s in turn, while the other one is full."""

import asyncio
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from standins import (  # noqa: E402
    Engine,
    Record,
    Router,
    Store,
    answer_head,
    desired_state,
    read_chunked,
    read_head,
    request,
    route,
    run_case,
    temporary_folder,
)

EVENTS = 30
EVENT_INTERVAL_S = 0.1
CONSUMERS = 20
LASTS_S = 48.0
# Times from the begin of the traffic at which an engine falls silent, and which.
# The other one is full, by other callers, from a little before on.
SILENCES = (
    (12.0, "i-1"),
    (18.0, "i-2"),
    (24.0, "i-1"),
    (30.0, "i-2"),
    (36.0, "i-1"),
    (42.0, "i-2"),
)
SILENCE_S = 1.4
FULL_BEFORE_S = 0.1
# What the rule allows at any time.
ALLOWED = 3


def event(request_id, number):
    return f"id: {number}\ndata: {request_id} word-{number}\n\n".encode()


class Schedule:
    """When an engine is silent, and when the other one is full."""

    def __init__(self, trouble):
        self._trouble = trouble
        self.began_at = None

    def _now(self):
        if self.began_at is None:
            return 0.0
        return asyncio.get_running_loop().time() - self.began_at

    def silent_s(self, name):
        """Returns for how long an engine stays silent, 0 if it is not."""
        now = self._now() if self._trouble else 0.0
        ends = [
            at + SILENCE_S for at, who in SILENCES if at <= now and who == name
        ]
        return max(0.0, max(ends, default=0.0) - now)

    def is_full(self, name):
        now = self._now()
        return any(
            at - FULL_BEFORE_S <= now < at + SILENCE_S and who != name
            for at, who in SILENCES
        )


def make_answer(schedule):
    async def answer(engine, headers, body, reader, writer):
        request_id = headers["attempt-id"]
        if schedule.is_full(engine.name):
            engine.record.add(
                f"engine {engine.name} is full and rejects {request_id}"
            )
            writer.write(
                f"HTTP/1.1 503 -\r\nAttempt-Id: {request_id}\r\n"
                "Not-Executed: 1\r\nContent-Length: 0\r\n\r\n".encode()
            )
            await writer.drain()
            return
        writer.write(
            answer_head(
                headers,
                "Content-Type: text/event-stream",
                "Transfer-Encoding: chunked",
            )
        )
        first = int(headers.get("last-event-id", "0")) + 1
        for number in range(first, EVENTS + 1):
            await asyncio.sleep(EVENT_INTERVAL_S)
            silent_s = schedule.silent_s(engine.name)
            if silent_s:
                await asyncio.sleep(silent_s)
                engine.record.add(
                    f"engine {engine.name} goes on with {request_id}, event"
                    f" {number}"
                )
            data = event(request_id, number)
            writer.write(b"%x\r\n%b\r\n" % (len(data), data))
            await writer.drain()
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    return answer


async def consume(router, record, number, ends_at, lost):
    """Sends one stream after the other on a kept channel."""
    loop = asyncio.get_running_loop()
    await asyncio.sleep(number * EVENTS * EVENT_INTERVAL_S / CONSUMERS)
    count = 0
    while loop.time() < ends_at:
        reader, writer = await asyncio.open_connection(*router.front)
        try:
            while loop.time() < ends_at:
                count += 1
                request_id = f"c{number}-{count}"
                writer.write(
                    request(
                        "POST",
                        "/chat/x",
                        request_id,
                        b"{}",
                        15000,
                        Model="m",
                        Token_Usage="800,150",
                        Prompt_Prefix=f"5c1e07a2:600,{number:04x}{count:04x}:200",
                    )
                )
                head = await read_head(reader)
                if head is None:
                    raise ConnectionError("closed")
                if "chunked" in head[1].get("transfer-encoding", ""):
                    await read_chunked(reader)
                else:
                    length = int(head[1].get("content-length", "0"))
                    await reader.readexactly(length)
                record.add(f"{request_id} answered {head[0]}")
                if "retry-after" in head[1]:
                    await asyncio.sleep(float(head[1]["retry-after"]))
        except (asyncio.IncompleteReadError, ConnectionError):
            lost.append(request_id)
            record.add(f"{request_id} channel ended without a whole answer")
        finally:
            writer.close()


async def main(trouble):
    record = Record(FOLDER)
    schedule = Schedule(trouble)
    lost = []
    answer = make_answer(schedule)
    async with (
        Store() as store,
        Engine("i-1", "llm", record, answer) as one,
        Engine("i-2", "llm", record, answer) as two,
    ):
        routes = [
            route("chat", "llm", "streaming", resumable=True, gap_aim_ms=200)
        ]
        state = desired_state(1, routes, ["llm"], tokens_per_s=300_000)
        store.put("config", "main", state)
        for engine in (one, two):
            store.put("servers", engine.name, engine.entry())
        with temporary_folder() as folder:
            async with Router("router-1", store, folder, record) as router:
                await router.wait_ready()
                await asyncio.sleep(3.5)
                schedule.began_at = asyncio.get_running_loop().time()
                ends_at = schedule.began_at + LASTS_S
                await asyncio.gather(
                    *(
                        consume(router, record, n, ends_at, lost)
                        for n in range(CONSUMERS)
                    )
                )
    result = f"{len(lost)} streams ended without a whole answer"
    record.add(result)
    print(result)
    return len(lost) > ALLOWED


sys.exit(run_case(main))
