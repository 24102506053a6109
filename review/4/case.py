"""A router is stopped as planned while an engine preempts streams."""

import asyncio
import pathlib
import re
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment as d  # noqa: E402

GRACE_S = d.BOUNDS["grace_s"]
STOP_AT_S = 15.0
SLOTS, EVENTS, EVENT_MS = 4, 60, 100
ENGINES = 2
# One engine runs out of memory so long after the stop began.
PREEMPT_AFTER_S = 0.5
# An engine that is at work in the last sixth of the grace is excused.
EXCUSED_FROM_S = GRACE_S * 5 / 6


async def consumer(deployment, router, name, until):
    """Asks for one stream after the other on a channel that it keeps."""
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
            "/review/x", attempt, timeout_ms=15_000, max_gap_s=3.2, model="m",
            token_usage="600,300", prompt_prefix=f"{number:x}{name}:600",
        )
        ids = [int(i) for i in re.findall(rb"^id: (\d+)$", body, re.M)]
        deployment.record.note(
            "stream", id=attempt, status=status, complete=complete,
            last=ids[-1] if ids else 0,
        )
        await asyncio.sleep(0.05 if status == 200 else 0.3)
    channel.close()


async def case(deployment, trouble):
    store, record = deployment.store, deployment.record
    routes = [
        d.route(
            "review", "neuvo-llm", kind="streaming", resumable=True,
            max_attempts=2, timeout_ms=15_000, target_latency_ms=800,
        )
    ]
    await store.put("config", "main", d.config(1, routes, {"neuvo-llm": 360}))
    for number in range(ENGINES):
        await deployment.engine(
            "neuvo-llm", f"i-llm{number}", slots=SLOTS, events=EVENTS,
            gap_ms=EVENT_MS,
        )
    for name, zone in (("a-1", "fi-south-a"), ("b-1", "fi-south-b")):
        deployment.router(f"edge-fi-south-{name}", zone).start()
    if not await deployment.wait_ready():
        raise RuntimeError("the routers did not become ready")
    until = time.monotonic() + STOP_AT_S + GRACE_S + 2.0
    tasks = []
    for number in range(ENGINES * SLOTS):
        router = deployment.routers[0]
        work = consumer(deployment, router, f"c{number}", until)
        tasks.append(asyncio.ensure_future(work))
    await asyncio.sleep(STOP_AT_S)
    stopped = deployment.routers[0]
    stopped.signal(signal.SIGTERM)
    await asyncio.sleep(PREEMPT_AFTER_S)
    if trouble:
        await deployment.engines[0].change(preempt=2)
    await asyncio.sleep(GRACE_S - PREEMPT_AFTER_S)
    stopped.signal(signal.SIGKILL)
    await asyncio.wait(tasks)
    for task in tasks:
        task.result()
    return judge(record)


def judge(record):
    """LOST: requests that are cut around a planned stop."""
    stop_at = next(
        line["t"] for line in record.lines if line.get("signal") == "SIGTERM"
    )
    begun = {x["id"] for x in record.lines if x["what"] == "begin"}
    abandoned = {x["id"] for x in record.lines if x["what"] == "abandoned"}
    cut = [
        (line["id"], line["last"], round(line["t"] - stop_at, 2))
        for line in record.lines
        if line["what"] == "stream"
        and not line["complete"]
        and line["id"] in begun - abandoned
        and stop_at <= line["t"] <= stop_at + EXCUSED_FROM_S
    ]
    everywhere = sum(
        line["what"] == "stream" and not line["complete"]
        for line in record.lines
    )
    record.note(
        "summary",
        streams=sum(line["what"] == "stream" for line in record.lines),
        preempted=sum(line["what"] == "preempted" for line in record.lines),
        cut_by_the_stopped_router=cut,
        incomplete_at_any_time_and_router=everywhere,
    )
    return not cut


d.run(case, FOLDER)
