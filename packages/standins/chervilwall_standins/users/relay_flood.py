"""Measures the processor time of relaying connections and of serving them.

Two routers run in processes of their own; the first relays to the second. This
process runs the callers and the stand-ins for store and targets. Run it with
`make relay-flood`.
"""

import asyncio
import contextlib
import time

from chervilwall_router.edge.settings import ShutdownSettings

from chervilwall_standins.users.fleet import CallerConnection
from chervilwall_standins.users.flood import (
    EVENT_INTERVAL_S,
    SLOTS,
    TARGETS,
    Load,
    RunningRouter,
    measure,
    process_cpu_s,
)
from chervilwall_standins.users.process_fleet import ProcessFleet, RouterProcess
from chervilwall_standins.users.target import FakeTarget

START_TIMEOUT_S = 20.0
# Settings by which the first router is always overloaded and the second one
# never is.
SENDER = {"relay": True, "cpu": 0.01, "event_delay_ms": 60_000.0}
RECEIVER = {"relay": True, "cpu": 1.0, "event_delay_ms": 60_000.0}
# Concurrent requests that make the first router begin to relay.
WARM_UP_CALLERS = 12
# Time in which the use of idle routers is measured.
IDLE_S = 4.0
LOADS = (
    Load("stream of 41 events", "/chat/x", events=41, callers=48, requests=6),
    Load(
        "stream of 41 events, new connection",
        "/chat/x",
        events=41,
        callers=48,
        requests=6,
        keep_alive=False,
    ),
)


async def read_metric(router: RouterProcess, name: str) -> float:
    """Returns a value on the metrics page of a router, 0 if it has none."""
    host, _, port = router.settings.listen.metrics.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    writer.write(
        b"GET /metrics HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
    )
    page = (await reader.read()).decode()
    writer.close()
    for line in page.splitlines():
        key, _, value = line.partition(" ")
        if key == name:
            return float(value)
    return 0.0


async def start_relaying(sender: RouterProcess) -> None:
    """Sends requests until a router relays all new connections.

    Raises:
        TimeoutError: It does not within START_TIMEOUT_S.
    """
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                before = await read_metric(sender, "relay_sent")
                await asyncio.gather(
                    *(_call(sender.address) for _ in range(WARM_UP_CALLERS))
                )
                relayed = await read_metric(sender, "relay_sent") - before
                # A peer that has just started may have refused some.
                if relayed == WARM_UP_CALLERS:
                    return
            await asyncio.sleep(0.02)


async def _call(address: str) -> None:
    caller = await CallerConnection.open(address)
    await caller.send("/chat/x", token_usage="100,30")
    await caller.receive()
    caller.close()


async def run() -> None:
    """Measures the loads and prints a table."""
    models = [
        FakeTarget(
            f"m{i}", "model", events=4, event_interval_s=EVENT_INTERVAL_S
        )
        for i in range(TARGETS)
    ]
    for model in models:
        model.slots = SLOTS
    stop = ShutdownSettings(grace_s=1.0, accept_s=0.1)
    fleet = ProcessFleet(
        *models, routers=2, stop=stop, overrides=(SENDER, RECEIVER)
    )
    async with fleet:
        sender, receiver = fleet.routers
        # They have joined the fleet by then.
        await asyncio.sleep(IDLE_S)
        idle_us = await _measure_idle(fleet)
        await start_relaying(sender)
        print(f"idle: {idle_us[0]:.0f}, {idle_us[1]:.0f} us per second")
        print(f"{'load':36} {'path':8} us/stream: first, second  relayed")
        for load in LOADS:
            for path, router in (("direct", receiver), ("relayed", sender)):
                print(await _measure(load, path, router, fleet), flush=True)


async def _measure_idle(fleet: ProcessFleet) -> list[float]:
    """Returns the processor time of each idle router, in us per second."""
    before = [process_cpu_s(r.pid) for r in fleet.routers]
    await asyncio.sleep(IDLE_S)
    return [
        (process_cpu_s(r.pid) - cpu_s) * 1e6 / IDLE_S
        for r, cpu_s in zip(fleet.routers, before, strict=True)
    ]


async def _measure(
    load: Load, path: str, router: RouterProcess, fleet: ProcessFleet
) -> str:
    """Returns a line of the table."""
    sender, receiver = fleet.routers
    relayed = await read_metric(sender, "relay_sent")
    before = [process_cpu_s(r.pid) for r in (sender, receiver)]
    running = RunningRouter(
        router.address, router.pid, fleet.targets, [], router.settings.listen
    )
    started = time.monotonic()
    cost = await measure(running, load)
    streams = sum(cost.responses.values())
    used_us = [
        (process_cpu_s(r.pid) - cpu_s) * 1e6 / streams
        for r, cpu_s in zip((sender, receiver), before, strict=True)
    ]
    relayed = await read_metric(sender, "relay_sent") - relayed
    per_s = streams / (time.monotonic() - started)
    return (
        f"{load.name:36} {path:8} {used_us[0]:17.0f} {used_us[1]:7.0f} "
        f"{relayed:8.0f}  {per_s:.0f}/s {cost.responses}"
    )


if __name__ == "__main__":
    asyncio.run(run())
