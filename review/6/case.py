"""An answer that breaks off in its head, before a late second answer."""

import asyncio
import pathlib
import sys
import weakref

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


def make_answer(trouble, spoiled):
    count = 0
    # The last request that was answered on each channel.
    answered = weakref.WeakKeyDictionary()

    async def answer(engine, headers, body, reader, writer):
        nonlocal count
        await asyncio.sleep(WORK_S)
        request_id = headers["attempt-id"]
        data = whole_answer(request_id)
        if engine.name == FAULTY:
            count += 1
            last_id = answered.get(writer)
            if trouble and count >= SPOILED_EACH and last_id:
                count = 0
                spoiled.append(request_id)
                engine.record.add(
                    f"engine {engine.name} breaks off its answer to"
                    f" {request_id} and answers {last_id} once more"
                )
                name = b"Response-Signature: "
                cut = data.index(name) + len(name) + SIGNATURE_BYTES
                data = data[:cut] + whole_answer(last_id)
        writer.write(data)
        await writer.drain()
        answered[writer] = request_id

    return answer


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
    spoiled, wrong = [], []
    answer = make_answer(trouble, spoiled)
    async with (
        Store() as store,
        Engine("i-1", "app", record, answer) as one,
        Engine("i-2", "app", record, answer) as two,
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
    result = f"{len(spoiled)} answers spoiled, {len(wrong)} foreign successes"
    record.add(result)
    print(result)
    return bool(wrong)


sys.exit(run_case(main))
