"""Measures the processor time that an edge router uses per request.

The router runs in its own process. This process runs the callers and the
stand-ins for store and targets. Run it with `make flood`.
"""

import argparse
import asyncio
import contextlib
import os
import pathlib
import pstats
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Sequence
from typing import NamedTuple

import msgspec
from chervilwall_router.edge.settings import (
    EdgeListen,
    EdgeSettings,
    ShutdownSettings,
    StoreSettings,
)

from chervilwall_standins.loopback import unique_loopback_address
from chervilwall_standins.users.fleet import (
    CallerConnection,
    make_config,
    make_listen,
)
from chervilwall_standins.users.store import FakeStore
from chervilwall_standins.users.target import FakeTarget

ROOT = pathlib.Path(__file__).resolve().parents[4]
CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
START_TIMEOUT_S = 20.0
TARGETS = 8
SLOTS = 64
EVENT_INTERVAL_S = 0.02
PROFILE_LINES = 45

SHORT_STOP = ShutdownSettings(grace_s=1.0, accept_s=0.1)


class Load(NamedTuple):
    """Requests that concurrent callers send, each one at a time.

    Args:
        name (str): Name in the printed table.
        path (str): Path of the requests.
        events (int): Events of each stream, 0 for plain responses.
        callers (int): Concurrent callers.
        requests (int): Requests of each caller.
        keep_alive (bool): Whether callers reuse their connections.
    """

    name: str
    path: str
    events: int = 0
    callers: int = 8
    requests: int = 150
    keep_alive: bool = True


class RunningRouter(NamedTuple):
    """A router that runs in its own process.

    Args:
        address (str): Address for callers, as `host:port`.
        pid (int): Process id.
        models (list): Its targets that are model engines.
        plain (list): Its other targets.
        listen (EdgeListen): All its addresses.
    """

    address: str
    pid: int
    models: list[FakeTarget]
    plain: list[FakeTarget]
    listen: EdgeListen


class Cost(NamedTuple):
    """Processor time that a router used for a load, and its responses.

    Args:
        load (Load): Load that was applied.
        responses (dict): Number of responses by status, with refusals.
        cpu_s (float): Processor time of the router, in seconds.
        elapsed_s (float): Duration of the load, in seconds.
    """

    load: Load
    responses: dict[int, int]
    cpu_s: float
    elapsed_s: float

    @property
    def us_per_request(self) -> float:
        """Processor time per response, refusals included, in microseconds."""
        return self.cpu_s * 1e6 / sum(self.responses.values())


LOADS = (
    Load("plain answer", "/read/x"),
    Load("plain answer, new connection", "/read/x", keep_alive=False),
    Load("stream of 1 event", "/chat/x", events=1),
    Load("stream of 41 events", "/chat/x", events=41, callers=48, requests=8),
    Load("refused: no target", "/none/x"),
    Load("refused: no route", "/nowhere/x"),
)


@contextlib.asynccontextmanager
async def run_router(
    profile: str = "",
    *,
    routes: list[dict] | None = None,
    stop: ShutdownSettings = SHORT_STOP,
    limits: dict | None = None,
    overrides: dict | None = None,
) -> AsyncIterator[RunningRouter]:
    """Runs a router with stand-ins for store and targets.

    Args:
        profile (str): File to which cProfile writes a profile of the router.
            Defaults to none.
        routes (list): Routes of the configuration. Defaults to those of
            `make_config`.
        stop (ShutdownSettings): How it stops. Defaults to SHORT_STOP.
        limits (dict): Limits of the configuration to replace. Defaults to none.
        overrides (dict): Settings of the router to replace, as in its settings
            file. Defaults to none.
    """
    plain = [FakeTarget(f"p{i}", "plain") for i in range(TARGETS)]
    models = [
        FakeTarget(f"m{i}", "model", event_interval_s=EVENT_INTERVAL_S)
        for i in range(TARGETS)
    ]
    async with contextlib.AsyncExitStack() as stack:
        store = await stack.enter_async_context(FakeStore())
        config = make_config(1, routes)
        unserved = config["routes"][0] | {
            "name": "none",
            "path_prefix": "/none/",
            "backend": "nothing",
        }
        config["routes"] = [*config["routes"], unserved]
        config["limits"] |= limits or {}
        await store.put("config", "main", config)
        for target in (*plain, *models):
            await stack.enter_async_context(target)
            spec = target.spec(slots=SLOTS)
            await store.put("servers", target.id, spec)
        cfg = make_settings("router0", StoreSettings(store.address), stop)
        folder = stack.enter_context(tempfile.TemporaryDirectory())
        path = pathlib.Path(folder) / "settings.json"
        fields = msgspec.to_builtins(cfg) | (overrides or {})
        path.write_bytes(msgspec.json.encode(fields))
        process = stack.enter_context(start_process(path, profile))
        stack.callback(process.terminate)
        await _wait_until_ready(cfg.listen.callers)
        yield RunningRouter(
            cfg.listen.callers, process.pid, models, plain, cfg.listen
        )


def make_settings(
    name: str, store: StoreSettings, stop: ShutdownSettings = SHORT_STOP
) -> EdgeSettings:
    """Returns the settings of a router at a loopback address of its own."""
    return EdgeSettings(
        name=name,
        zone="z1",
        listen=make_listen(unique_loopback_address()),
        store=store,
        stop=stop,
    )


def start_process(
    path: pathlib.Path, profile: str = "", *, log: str = os.devnull
) -> "subprocess.Popen[bytes]":
    """Starts a router in its own process.

    Args:
        path (pathlib.Path): Settings file.
        profile (str): File to which cProfile writes a profile of the router.
            Defaults to none.
        log (str): File to which its log is appended. Defaults to none.
    """
    command = [sys.executable]
    if profile:
        command += ["-m", "cProfile", "-o", profile]
    command.append(str(ROOT / "platform" / "edge.py"))
    with open(log, "ab") as stdout:
        return subprocess.Popen(
            command,
            env=os.environ | {"CHERVILWALL_SETTINGS": str(path)},
            stdout=stdout,
        )


async def _wait_until_ready(address: str) -> None:
    async with asyncio.timeout(START_TIMEOUT_S):
        while True:
            with contextlib.suppress(OSError):
                caller = await CallerConnection.open(address)
                await caller.send("/read/x")
                response = await caller.receive()
                caller.close()
                if response.status == 200:
                    return
            await asyncio.sleep(0.1)


async def measure(router: RunningRouter, load: Load) -> Cost:
    """Applies a load to a router and returns its cost.

    Args:
        router (RunningRouter): Router that receives the requests.
        load (Load): Load to apply.
    """
    for model in router.models:
        model.events = load.events
    cpu_before_s, started = process_cpu_s(router.pid), time.monotonic()
    senders = (
        _send_all(router.address, load, number)
        for number in range(load.callers)
    )
    statuses_by_caller = await asyncio.gather(*senders)
    responses: dict[int, int] = {}
    for status in (
        status for statuses in statuses_by_caller for status in statuses
    ):
        responses[status] = responses.get(status, 0) + 1
    elapsed_s = time.monotonic() - started
    return Cost(
        load, responses, process_cpu_s(router.pid) - cpu_before_s, elapsed_s
    )


async def _send_all(address: str, load: Load, caller: int) -> list[int]:
    statuses = []
    conn = await CallerConnection.open(address)
    for number in range(load.requests):
        await conn.send(
            load.path,
            request_id=f"{load.name}-{caller}-{number}",
            token_usage="100,30" if load.events else "",
            prompt_prefix=f"a:40,b{caller}:60" if load.events else "",
            timeout_remaining="10000",
        )
        statuses.append((await conn.receive()).status)
        if not load.keep_alive:
            conn.close()
            conn = await CallerConnection.open(address)
    conn.close()
    return statuses


def process_cpu_s(pid: int) -> float:
    """Returns the processor time used by a process, in seconds."""
    with open(f"/proc/{pid}/stat", encoding="ascii") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / CLOCK_TICKS


async def run(loads: Sequence[Load], profile: str) -> None:
    """Measures loads and prints a table.

    Args:
        loads (Sequence): Loads to measure.
        profile (str): File for a profile of the router, empty for none.
    """
    print(f"{'load':32} {'us/request':>10} {'requests/s':>10} answers")
    async with run_router(profile) as router:
        for load in loads:
            cost = await measure(router, load)
            rate = sum(cost.responses.values()) / cost.elapsed_s
            print(
                f"{load.name:32} {cost.us_per_request:10.0f} {rate:10.0f} "
                f"{cost.responses}",
                flush=True,
            )


def main() -> None:
    """Measures the loads that the command line selects."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--profile", default="", help="file for a profile")
    parser.add_argument("--only", default="", help="part of a load's name")
    args = parser.parse_args()
    loads = [load for load in LOADS if args.only in load.name]
    asyncio.run(run(loads, args.profile))
    if args.profile:
        stats = pstats.Stats(args.profile)
        stats.sort_stats("tottime").print_stats(PROFILE_LINES)


if __name__ == "__main__":
    main()
