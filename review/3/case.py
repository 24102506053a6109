"""A further software version registers while all routers are gone."""

import asyncio
import pathlib
import re
import signal
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment as d  # noqa: E402

STABILITY_S = d.BOUNDS["stability_ms"] / 1000
EVENTS, EVENT_MS = 150, 80
LIMIT_S = 15.0
MOST_RETRIES = 3
DOWN_S = 2.0
OLD, NEW = "v1", "v2"


async def viewer(deployment, router, name, in_touch):
    """Asks for a stream; takes it up again with Resumes if it breaks off.

    The consumer waits for the machines to be back, and then tries up to three
    times, while its time limit lasts.
    """
    begun, first = time.monotonic(), f"{name}-1"
    last, number = 0, 0
    while last < EVENTS and number <= MOST_RETRIES:
        number += 1
        attempt = f"{name}-{number}"
        left_s = begun + LIMIT_S - time.monotonic()
        more = {"timeout_ms": int(left_s * 1000), "model": "m"}
        more |= {"token_usage": "600,750", "max_gap_s": 3.2}
        if last:
            more |= {"last_event_id": str(last), "resumes": first}
        channel = d.Channel(router.front, deployment.record, name)
        await channel.open()
        status, complete, body = await channel.ask(
            "/review/x", attempt, body=name.encode(), **more
        )
        channel.close()
        ids = [int(i) for i in re.findall(rb"^id: (\d+)$", body, re.M)]
        deployment.record.note(
            "try", id=attempt, after=last, status=status, complete=complete,
            events=len(ids),
        )
        last = ids[-1] if ids else last
        if last < EVENTS:
            await in_touch.wait()
            await asyncio.sleep(0.5)
    deployment.record.note(
        "stream", id=first, last=last, whole=last == EVENTS, tries=number
    )


async def case(deployment, trouble):
    store, record = deployment.store, deployment.record
    routes = [
        d.route(
            "review", "neuvo-llm", kind="streaming", resumable=True,
            max_attempts=2, timeout_ms=15_000, target_latency_ms=800,
        )
    ]
    await store.put("config", "main", d.config(1, routes, {"neuvo-llm": 360}))
    for number in range(3):
        await deployment.engine(
            "neuvo-llm", f"i-llm{number}", slots=64, events=EVENTS,
            gap_ms=EVENT_MS, version=OLD,
        )
    for name, zone in (("a-1", "fi-south-a"), ("b-1", "fi-south-b")):
        deployment.router(f"edge-fi-south-{name}", zone).start()
    if not await deployment.wait_ready():
        raise RuntimeError("the routers did not become ready")
    await asyncio.sleep(3.0)

    in_touch = asyncio.Event()

    def start_viewers(name, count):
        return [
            asyncio.ensure_future(
                viewer(
                    deployment, deployment.routers[n % 2], f"{name}{n}", in_touch
                )
            )
            for n in range(count)
        ]

    tasks = start_viewers("old", 20)
    await asyncio.sleep(2.0)
    if trouble:
        for router in deployment.routers:
            router.signal(signal.SIGKILL)
            router.process.wait()
    # The first engine of a release.
    await deployment.engine(
        "neuvo-llm", "i-llm3", slots=64, events=EVENTS, gap_ms=EVENT_MS,
        version=NEW,
    )
    record.note("a further version registers")
    await asyncio.sleep(DOWN_S)
    if trouble:
        for router in deployment.routers:
            router.start()
    if not await deployment.wait_ready():
        raise RuntimeError("the routers did not become ready again")
    record.note("ready again")
    await asyncio.sleep(STABILITY_S)
    record.note("in touch")
    in_touch.set()
    tasks += start_viewers("new", 20)
    await asyncio.wait(tasks)
    for task in tasks:
        task.result()
    return judge(record)


def judge(record):
    """LOST: streams that are taken up again and do not go on."""
    touch_at = next(x["t"] for x in record.lines if x["what"] == "in touch")
    tries = [
        x for x in record.lines if x["what"] == "try" and x["t"] >= touch_at
    ]
    again = {x["id"].partition("-")[0] for x in tries if x["after"]}
    went_on = {
        x["id"].partition("-")[0]
        for x in tries
        if x["after"] and x["events"]
    }
    new = {x["id"].partition("-")[0] for x in tries if not x["after"]}
    began = {
        x["id"].partition("-")[0]
        for x in tries
        if not x["after"] and x["events"]
    }
    record.note(
        "summary",
        taken_up_again=len(again),
        went_on=len(went_on),
        new_streams=len(new),
        began=len(began),
        answers_to_take_ups=sorted(
            {x["status"] for x in tries if x["after"]}
        ),
    )
    if len(again) < 12 or not new:
        return True
    return len(went_on) / len(again) >= 0.5 * len(began) / len(new)


d.run(case, FOLDER)
