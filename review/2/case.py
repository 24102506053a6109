"""An engine in trouble sends a trailer section without end."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment as d  # noqa: E402

PLAY_S = 60.0
# The rule excuses three.
MOST_LOST = 3


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
        attempt = f"{name}-{number}"
        body = attempt.encode().ljust(600, b"x")
        status, _, _ = await channel.ask(path, attempt, body=body, **options)
        if status != 200:
            await asyncio.sleep(0.2)
    channel.close()


async def platform(deployment, until):
    """Kills a process over its memory limit; starts one that has ended."""
    while time.monotonic() < until:
        for router in deployment.routers:
            used = router.memory_mb()
            ended = router.process.poll() is not None
            if used > d.MEMORY_MB:
                router.process.kill()
                router.process.wait()
                deployment.record.note(
                    "over its memory", router=router.name, mb=round(used)
                )
            if ended or used > d.MEMORY_MB:
                router.own_ends += 1
                deployment.record.note(
                    "ended by itself", router=router.name, times=router.own_ends
                )
                await asyncio.sleep(d.RESTART_S)
                router.start()
        await asyncio.sleep(0.05)


async def case(deployment, trouble):
    store, record = deployment.store, deployment.record
    routes = [
        d.route("book", "tuki-app", kind="non_idempotent"),
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
    record.note("ready", memory_mb=round(router.memory_mb()))
    until = time.monotonic() + PLAY_S
    tasks = [asyncio.ensure_future(platform(deployment, until))]
    for number in range(12):
        work = consumer(deployment, router, f"b{number}", "/book/x", until)
        tasks.append(asyncio.ensure_future(work))
    for number in range(12):
        work = consumer(
            deployment, router, f"c{number}", "/chat/x", until,
            timeout_ms=12_000, model="m", token_usage="628,58",
        )
        tasks.append(asyncio.ensure_future(work))
    await asyncio.sleep(5.0)
    if trouble:
        await bad.change(mode="endless trailer")
    await asyncio.wait(tasks)
    for task in tasks:
        task.result()
    return judge(record, bad.id)


def judge(record, bad_id):
    """LOST: requests of kept channels that sound engines had, cut unanswered.

    The routers have no disturbance: they end by themselves only, which counts
    as running all the while.
    """
    passed_on = {
        line["id"]
        for line in record.lines
        if line["what"] == "begin" and line["engine"] != bad_id
    }
    lost = [
        line["id"]
        for line in record.lines
        if line["what"] == "closed without an answer"
        and line["kept"]
        and line["id"] in passed_on
    ]
    record.note("lost", count=len(lost), excused=MOST_LOST, ids=lost[:40])
    return len(lost) <= MOST_LOST


d.run(case, FOLDER)
