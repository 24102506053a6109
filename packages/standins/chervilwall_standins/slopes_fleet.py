"""Measures routers as processes, idle and under load."""

import asyncio
import os
import time
from typing import NamedTuple

from chervilwall_standins.caller import Caller
from chervilwall_standins.demo import apply_sheet, make_deployment
from chervilwall_standins.fleet import Fleet, call_json
from chervilwall_standins.sheets import Deployment, make_sheet, team_key

CLOCK_TICKS = os.sysconf("SC_CLK_TCK")
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


class Point(NamedTuple):
    """One measurement.

    Args:
        size (int): Size of what was measured.
        values (dict): What was found, by name with its unit.
    """

    size: int
    values: dict[str, float]


def processes(count: int) -> Point:
    """Measures idle routers of a fleet of processes."""
    dep = make_deployment()
    with Fleet(routers=count) as fleet:
        fleet.start_targets("engines", list(dep.engines))
        fleet.start_targets("plains", list(dep.plains))
        apply_sheet(fleet, make_sheet(dep), quiet=True)
        time.sleep(4)
        seconds = 10.0
        before = [_process(fleet, name) for name in fleet.names]
        calls = call_json(f"{fleet.platform_url}/admin/calls")
        time.sleep(seconds)
        after = [_process(fleet, name) for name in fleet.names]
        later = call_json(f"{fleet.platform_url}/admin/calls")
    mean = {
        name: sum(b[name] - a[name] for a, b in zip(before, after, strict=True))
        / count
        / seconds
        for name in before[0]
    }
    return Point(
        count,
        {
            "cpu_ms/s": mean["cpu_ms"],
            "frames_sent/s": mean["frames"],
            "bytes_sent/s": mean["bytes"],
            "resident_MB": sum(a["rss_mb"] for a in after) / count,
            "platform_reads/s": (later["reads"] - calls["reads"]) / seconds,
            "platform_writes/s": (later["writes"] - calls["writes"]) / seconds,
        },
    )


def loaded(requests_per_s: int) -> Point:
    """Measures routers under steady load, relaying included."""
    dep = make_deployment()
    seconds = 8.0
    with Fleet(routers=3) as fleet:
        fleet.start_targets("engines", list(dep.engines), "--token-s", "0.002")
        fleet.start_targets("plains", list(dep.plains))
        apply_sheet(fleet, make_sheet(dep), quiet=True)
        time.sleep(2)
        before = [_process(fleet, name) for name in fleet.names]
        sent = asyncio.run(_send(fleet, dep, requests_per_s, seconds))
        after = [_process(fleet, name) for name in fleet.names]
    spent = {
        name: sum(b[name] - a[name] for a, b in zip(before, after, strict=True))
        for name in before[0]
    }
    return Point(
        requests_per_s,
        {
            "cpu_ms/request": spent["cpu_ms"] / sent,
            "frames/request": spent["frames"] / sent,
            "bytes/request": spent["bytes"] / sent,
        },
    )


async def _send(
    fleet: Fleet, dep: Deployment, requests_per_s: int, seconds: float
) -> int:
    seeds = [fleet.address(name) for name in fleet.names]
    callers = [Caller(seeds, team_key(dep, i)) for i in range(dep.teams)]
    tasks = []
    for number in range(int(requests_per_s * seconds)):
        caller = callers[number % len(callers)]
        send = caller.send("/v1/chat/completions", tokens=5)
        tasks.append(asyncio.create_task(send))
        await asyncio.sleep(1.0 / requests_per_s)
    answers = await asyncio.gather(*tasks)
    return sum(answer.ok for answer in answers)


def _process(fleet: Fleet, name: str) -> dict[str, float]:
    with open(f"/proc/{fleet.pid(name)}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    control = fleet.status(name)["control"]
    return {
        "cpu_ms": (int(fields[11]) + int(fields[12])) * 1000 / CLOCK_TICKS,
        "rss_mb": int(fields[21]) * PAGE_BYTES / 1e6,
        "frames": control["frames_sent"],
        "bytes": control["bytes_sent"],
    }
