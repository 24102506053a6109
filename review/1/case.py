"""Router processes are killed while they pass on streams without a length."""

import asyncio
import pathlib
import re
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment as d  # noqa: E402

PLAY_S = 30.0
EVENTS = 58
KILLS = 4
KILL_EVERY_S = 5.0
RESTART_S = 0.5


async def consumer(deployment, router, name, until):
    """Asks for one stream after the other."""
    channel, number = d.Channel(router.front, deployment.record, name), 0
    while time.monotonic() < until:
        try:
            if channel.writer is None:
                await channel.open()
        except OSError:
            await asyncio.sleep(0.1)
            continue
        number += 1
        attempt = f"{name}-{number}"
        status, complete, body = await channel.ask(
            "/chat/x", attempt, timeout_ms=12_000, max_gap_s=3.0, model="m",
            token_usage="628,290",
        )
        ids = [int(i) for i in re.findall(rb"^id: (\d+)$", body, re.M)]
        deployment.record.note(
            "stream",
            id=attempt,
            status=status,
            looks_complete=complete,
            events=len(ids),
            last=ids[-1] if ids else 0,
        )
        await asyncio.sleep(0.05)
    channel.close()


async def case(deployment, trouble):
    store, record = deployment.store, deployment.record
    routes = [d.route("chat", "neuvo-llm", kind="streaming", timeout_ms=12_000)]
    await store.put("config", "main", d.config(1, routes, {"neuvo-llm": 360}))
    for number in range(3):
        mode = "unframed" if number == 0 else "sound"
        await deployment.engine(
            "neuvo-llm", f"i-llm{number}", slots=64, events=EVENTS, gap_ms=40,
            mode=mode,
        )
    for name, zone in (("a-1", "fi-south-a"), ("b-1", "fi-south-b")):
        deployment.router(f"edge-fi-south-{name}", zone).start()
    if not await deployment.wait_ready():
        raise RuntimeError("the routers did not become ready")
    until = time.monotonic() + PLAY_S
    tasks = []
    for number in range(12):
        router = deployment.routers[number % 2]
        work = consumer(deployment, router, f"c{number}", until)
        tasks.append(asyncio.ensure_future(work))
    await asyncio.sleep(3.0)
    for number in range(KILLS if trouble else 0):
        router = deployment.routers[number % 2]
        router.signal(signal.SIGKILL)
        router.process.wait()
        await asyncio.sleep(RESTART_S)
        router.start()
        await asyncio.sleep(KILL_EVERY_S - RESTART_S)
    await asyncio.wait(tasks)
    for task in tasks:
        task.result()
    return judge(record)


def judge(record):
    """ORDER, MIXED: streams that end as complete before their last piece."""
    streams = [line for line in record.lines if line["what"] == "stream"]
    whole = [s for s in streams if s["looks_complete"] and s["status"] == 200]
    short = [s for s in whole if s["last"] < EVENTS]
    record.note(
        "summary",
        streams=len(streams),
        looked_complete=len(whole),
        looked_complete_but_short=len(short),
        their_events=[s["last"] for s in short],
    )
    return not short


d.run(case, FOLDER)
