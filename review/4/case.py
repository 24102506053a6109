"""The store is silent for some seconds, and loses the responses of watches."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib"))

import deployment as d  # noqa: E402
from proxy import StoreProxy  # noqa: E402

SILENT_S = 2.0
STABILITY_S = d.BOUNDS["stability_ms"] / 1000
APPLY_S = d.BOUNDS["config_apply_ms"] / 1000
OUTER_S = 5.0
PLAY_S = 45.0
OLD_KEY, NEW_KEY = "oldkeyoldkeyoldkey00", d.KEY


async def consumer(deployment, router, name, until, path, key):
    """Asks on a kept channel, a few times a second."""
    channel, number = d.Channel(router.front, deployment.record, name), 0
    while time.monotonic() < until:
        try:
            if channel.writer is None:
                await channel.open()
        except OSError:
            await asyncio.sleep(0.1)
            continue
        number += 1
        await channel.ask(
            path, f"{name}-{number}", authorization=f"Token {key}"
        )
        await asyncio.sleep(0.25)
    channel.close()


def make_config(version, *, service, keys):
    routes = [
        d.route("book", service, kind="non_idempotent"),
        d.route("read", "tuki-app"),
    ]
    services = {"tuki-app": 100, "tuki-new": 100}
    tenants = [{"name": d.TENANT, "api_keys": keys}]
    return d.config(version, routes, services, tenants=tenants)


async def case(deployment, trouble):
    store, record = deployment.store, deployment.record
    proxy = StoreProxy(store.address, record)
    await proxy.start()
    deployment.store_address = proxy.address
    first = make_config(1, service="tuki-app", keys=[NEW_KEY, OLD_KEY])
    second = make_config(4, service="tuki-new", keys=[NEW_KEY])
    await store.put("config", "main", first)
    for service in ("tuki-app", "tuki-new"):
        for number in range(2):
            await deployment.engine(service, f"i-{service[-3:]}{number}")
    for name, zone in (("a-1", "fi-south-a"), ("b-1", "fi-south-b")):
        deployment.router(f"edge-fi-south-{name}", zone).start()
    if not await deployment.wait_ready():
        raise RuntimeError("the routers did not become ready")
    until = time.monotonic() + PLAY_S
    tasks = []
    for number, router in enumerate(deployment.routers * 2):
        path, key = ("/book/x", NEW_KEY) if number < 2 else ("/read/x", OLD_KEY)
        work = consumer(
            deployment, router, f"c{number}", until, path, key
        )
        tasks.append(asyncio.ensure_future(work))
    await asyncio.sleep(5.0)
    proxy.is_silent = trouble
    record.note("store silent" if trouble else "store sound")
    await asyncio.sleep(1.0)
    # The operator's call is executed; while the store is silent, it gets no
    # response, and is made again afterwards, which changes nothing.
    await store.put("config", "main", second)
    record.note("desired state written", version=4)
    await asyncio.sleep(SILENT_S - 1.0)
    proxy.is_silent = False
    record.note("store answers", lost=proxy.lost)
    record.note("acknowledged", version=4)
    await asyncio.wait(tasks)
    for task in tasks:
        task.result()
    proxy.close()
    return judge(record)


def judge(record):
    """CONFIG: requests that are handled as only the older version allows.

    The bound is config_apply_ms after the acknowledgement; the machines are in
    touch stability_ms after the end of the outage, and outer_ms is allowed on
    top.
    """
    at = {line["what"]: line["t"] for line in record.lines}
    bound = at["acknowledged"] + max(STABILITY_S, APPLY_S) + OUTER_S
    sent = {
        line["id"]: line["t"]
        for line in record.lines
        if line["what"] == "sent" and line["t"] > bound
    }
    old_service = [
        line["id"]
        for line in record.lines
        if line["what"] == "begin"
        and line["id"] in sent
        and "/book/" in line["line"]
        and line["engine"].startswith("i-app")
    ]
    old_key = [
        line["id"]
        for line in record.lines
        if line["what"] == "begin"
        and line["id"] in sent
        and "/read/" in line["line"]
    ]
    late = [sent[id] - at["acknowledged"] for id in old_service + old_key]
    record.note(
        "summary",
        sent_after_bound=len(sent),
        run_by_the_old_service=len(old_service),
        run_with_a_removed_key=len(old_key),
        latest_s=round(max(late, default=0), 1),
    )
    return not late


d.run(case, FOLDER)
