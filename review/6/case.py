"""An answer that breaks off in its head, before a late second answer.

The second answer is, in turn, the confirmation of another booking and a
rejection, each of the request before it on the channel.
"""

import asyncio
import pathlib
import sys
import weakref
from collections import Counter

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-2"))

from standins import (  # noqa: E402
    Engine,
    Record,
    Router,
    Store,
    answer_head,
    desired_state,
    read_body,
    read_head,
    request,
    route,
    run_case,
    temporary_folder,
)

BODY_BYTES = 800
WORK_S = 0.09
CONSUMERS = 12
LASTS_S = 20.0
# One engine of two is faulty, and spoils every fiftieth of its answers.
FAULTY = "i-1"
SPOILED_EACH = 50
# Bytes of the signature that are sent before the answer breaks off.
SIGNATURE_BYTES = 8


def whole_body(request_id):
    """Returns the confirmation of a booking."""
    text = f'{{"booking":"{request_id}","state":"confirmed","note":"'
    rest = '"}'
    return (text + "." * (BODY_BYTES - len(text) - len(rest)) + rest).encode()


def whole_answer(request_id):
    data = whole_body(request_id)
    head = answer_head(
        {"attempt-id": request_id}, f"Content-Length: {len(data)}"
    )
    return head + data


def rejection(request_id):
    """Returns the answer of an engine that is full."""
    return (
        f"HTTP/1.1 503 -\r\nAttempt-Id: {request_id}\r\nNot-Executed: 1\r\n"
        "Content-Length: 0\r\n\r\n"
    ).encode()


class Spoiler:
    """Spoils each fiftieth answer of the faulty engine.

    In every second case the engine has rejected the request before it on the
    channel, as it was full.
    """

    def __init__(self, record, trouble):
        self._record, self._trouble = record, trouble
        self._count = 0
        # The last request that was answered on each channel, and its answer.
        self._answered = weakref.WeakKeyDictionary()
        self._rejected_on = None
        self.rejected = 0
        self.spoiled = []
        self.ran = Counter()

    async def answer(self, engine, headers, body, reader, writer):
        request_id = headers["attempt-id"]
        last_id, last = self._answered.get(writer, ("", b""))
        is_due = False
        if engine.name == FAULTY:
            self._count += 1
            is_due = self._count >= SPOILED_EACH
        after_rejection = len(self.spoiled) % 2 == 0
        if is_due and after_rejection and self._rejected_on is None:
            self.rejected += 1
            self._rejected_on = writer
            self._record.add(f"engine {engine.name} rejects {request_id}")
            await self._send(writer, request_id, rejection(request_id))
            return
        if after_rejection:
            is_due = is_due and writer is self._rejected_on
        self.ran[request_id] += 1
        whole = data = whole_answer(request_id)
        if is_due and last:
            self._count, self._rejected_on = 0, None
            if self._trouble:
                self.spoiled.append(request_id)
                self._record.add(
                    f"engine {engine.name} has run {request_id}, breaks off its"
                    f" answer and answers {last_id} once more: {last[:14]!r}"
                )
                name = b"Response-Signature: "
                cut = data.index(name) + len(name) + SIGNATURE_BYTES
                data = data[:cut] + last
        await asyncio.sleep(WORK_S)
        await self._send(writer, request_id, data, whole)

    async def _send(self, writer, request_id, data, whole=b""):
        writer.write(data)
        await writer.drain()
        self._answered[writer] = (request_id, whole or data)


async def consume(router, record, number, ends_at, wrong):
    loop = asyncio.get_running_loop()
    count = 0
    while loop.time() < ends_at:
        reader, writer = await asyncio.open_connection(*router.front)
        try:
            while loop.time() < ends_at:
                count += 1
                request_id = f"c{number}-{count}"
                writer.write(
                    request("POST", "/book/x", request_id, b"{}", 3000)
                )
                head = await read_head(reader)
                if head is None:
                    record.add(f"{request_id} channel closed")
                    break
                line, headers = head
                body = await read_body(reader, headers)
                if " 200 " not in line:
                    record.add(f"{request_id} answered {line}")
                elif body == whole_body(request_id):
                    record.add(f"{request_id} answered 200, whole")
                else:
                    wrong.append(request_id)
                    record.add(
                        f"{request_id} answered 200, headers {headers},"
                        f" WRONG: {body!r}"
                    )
                if headers.get("connection") == "close":
                    break
        except (asyncio.IncompleteReadError, ConnectionError):
            record.add(f"{request_id} broke off")
        finally:
            writer.close()


async def main(trouble):
    record = Record(FOLDER)
    spoiler = Spoiler(record, trouble)
    wrong = []
    async with (
        Store() as store,
        Engine("i-1", "app", record, spoiler.answer) as one,
        Engine("i-2", "app", record, spoiler.answer) as two,
    ):
        routes = [route("book", "app", "non_idempotent", max_attempts=1)]
        store.put("config", "main", desired_state(1, routes, ["app"]))
        for engine in (one, two):
            store.put("servers", engine.name, engine.entry())
        with temporary_folder() as folder:
            async with Router("router-1", store, folder, record) as router:
                await router.wait_ready()
                await asyncio.sleep(3.5)
                ends_at = asyncio.get_running_loop().time() + LASTS_S
                await asyncio.gather(
                    *(
                        consume(router, record, n, ends_at, wrong)
                        for n in range(CONSUMERS)
                    )
                )
    twice = [i for i, count in spoiler.ran.items() if count > 1]
    for request_id in twice:
        record.add(f"{request_id} has run twice")
    result = (
        f"{len(spoiler.spoiled)} answers spoiled, {spoiler.rejected} requests"
        f" rejected; {len(twice)} requests ran twice, {len(wrong)} consumers"
        " got the answer to another request"
    )
    record.add(result)
    print(result)
    return bool(twice or wrong)


sys.exit(run_case(main))
