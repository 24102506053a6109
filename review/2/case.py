"""An engine in trouble sends a body without end of comments."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment as d  # noqa: E402

PLAY_S = 40.0
TIMEOUT_MS = 1000
# Half a second after its route's timeout, a request should have an answer.
LATE_S = TIMEOUT_MS / 1000 + 0.5
# Consumers abandon a stream after such a gap between two pieces.
GAP_S = 2.0
# Fewer requests that outlast the timeout than this say nothing.
FEWEST = 8


async def consumer(deployment, router, name, path, until, **options):
    """Sends one request after the other on a channel that it keeps."""
    channel, number = d.Channel(router.front, deployment.record, name), 0
    while time.monotonic() < until:
        try:
            if channel.writer is None:
                await channel.open()
        except OSError:
            await asyncio.sleep(0.1)
            continue
        number += 1
        status, _, _ = await channel.ask(
            path, f"{name}-{number}", body=b"x" * 600, **options
        )
        if status != 200:
            await asyncio.sleep(0.2)
    channel.close()


async def case(deployment, trouble):
    store, record = deployment.store, deployment.record
    routes = [
        d.route(
            "book", "tuki-app", kind="non_idempotent", timeout_ms=TIMEOUT_MS
        ),
        d.route("chat", "neuvo-llm", kind="streaming", timeout_ms=12_000),
    ]
    services = {"tuki-app": 100, "neuvo-llm": 360}
    await store.put("config", "main", d.config(1, routes, services))
    for number in range(2):
        await deployment.engine("tuki-app", f"i-app{number}", work_ms=90)
    bad = await deployment.engine("neuvo-llm", "i-llm0", slots=64)
    for number in (1, 2):
        await deployment.engine("neuvo-llm", f"i-llm{number}", slots=64)
    router = deployment.router("edge-fi-south-a-1")
    router.start()
    if not await deployment.wait_ready():
        raise RuntimeError("the router did not become ready")
    until = time.monotonic() + PLAY_S
    tasks = []
    for number in range(12):
        work = consumer(
            deployment, router, f"b{number}", "/book/x", until, timeout_ms=15_000
        )
        tasks.append(asyncio.ensure_future(work))
    for number in range(12):
        work = consumer(
            deployment, router, f"c{number}", "/chat/x", until,
            timeout_ms=12_000, max_gap_s=GAP_S, model="m",
            token_usage="628,58",
        )
        tasks.append(asyncio.ensure_future(work))
    await asyncio.sleep(5.0)
    if trouble:
        await bad.change(mode="endless comments")
    await asyncio.wait(tasks)
    for task in tasks:
        task.result()
    return judge(record)


def judge(record):
    """CONFIG: requests without an answer at their route's timeout."""
    sent, took = {}, {}
    for line in record.lines:
        if line["what"] == "sent" and line["path"].startswith("/book/"):
            sent[line["id"]] = line["t"]
        elif line["what"] == "answered" and line["id"] in sent:
            took[line["id"]] = line["t"] - sent[line["id"]]
    end = record.lines[-1]["t"]
    waited = {id: took.get(id, end - at) for id, at in sent.items()}
    outlast = [id for id, s in waited.items() if s > TIMEOUT_MS / 1000]
    late = [id for id in outlast if waited[id] > LATE_S]
    record.note(
        "late",
        requests=len(sent),
        unanswered_at_timeout=len(outlast),
        half_a_second_later=len(late),
        longest_s=round(max(waited.values()), 2),
    )
    return len(outlast) < FEWEST or 2 * len(late) <= len(outlast)


d.run(case, FOLDER)
