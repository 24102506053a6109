"""Measures the resource usage of router processes, idle and under load."""

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
    """Measured values at one size of the system.

    Args:
        size (int): The varied size, such as the number of members.
        values (dict): Measured values by name, which includes the unit.
    """

    size: int
    values: dict[str, float]


def measure_idle_fleet(count: int) -> Point:
    """Measures mean CPU time, memory and traffic of a router in an idle fleet.

    Args:
        count (int): Number of routers.
    """
    dep = make_deployment()
    with Fleet(routers=count) as fleet:
        fleet.start_targets("engines", list(dep.engine_addresses))
        fleet.start_targets("plains", list(dep.plain_addresses))
        apply_sheet(fleet, make_sheet(dep), quiet=True)
        time.sleep(4)
        seconds = 10.0
        before = [_read_usage(fleet, name) for name in fleet.router_names]
        calls_before = call_json(f"{fleet.platform_url}/admin/calls")
        time.sleep(seconds)
        after = [_read_usage(fleet, name) for name in fleet.router_names]
        calls_after = call_json(f"{fleet.platform_url}/admin/calls")
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
            "platform_reads/s": (calls_after["reads"] - calls_before["reads"])
            / seconds,
            "platform_writes/s": (
                calls_after["writes"] - calls_before["writes"]
            )
            / seconds,
        },
    )


def measure_loaded_fleet(requests_per_s: int) -> Point:
    """Measures CPU time and traffic of three routers per answered request.

    The usage includes that of relaying requests between routers.
    """
    dep = make_deployment()
    seconds = 8.0
    with Fleet(routers=3) as fleet:
        fleet.start_targets(
            "engines", list(dep.engine_addresses), "--token-s", "0.002"
        )
        fleet.start_targets("plains", list(dep.plain_addresses))
        apply_sheet(fleet, make_sheet(dep), quiet=True)
        time.sleep(2)
        before = [_read_usage(fleet, name) for name in fleet.router_names]
        answered = asyncio.run(
            _send_requests(fleet, dep, requests_per_s, seconds)
        )
        after = [_read_usage(fleet, name) for name in fleet.router_names]
    usage = {
        name: sum(b[name] - a[name] for a, b in zip(before, after, strict=True))
        for name in before[0]
    }
    return Point(
        requests_per_s,
        {
            "cpu_ms/request": usage["cpu_ms"] / answered,
            "frames/request": usage["frames"] / answered,
            "bytes/request": usage["bytes"] / answered,
        },
    )


async def _send_requests(
    fleet: Fleet, dep: Deployment, requests_per_s: int, seconds: float
) -> int:
    seeds = [fleet.caller_address(name) for name in fleet.router_names]
    callers = [Caller(seeds, team_key(dep, i)) for i in range(dep.teams)]
    tasks = []
    for number in range(int(requests_per_s * seconds)):
        caller = callers[number % len(callers)]
        send = caller.send("/v1/chat/completions", tokens=5)
        tasks.append(asyncio.create_task(send))
        await asyncio.sleep(1.0 / requests_per_s)
    responses = await asyncio.gather(*tasks)
    return sum(response.ok for response in responses)


def _read_usage(fleet: Fleet, name: str) -> dict[str, float]:
    with open(f"/proc/{fleet.pid(name)}/stat") as file:
        fields = file.read().rsplit(")", 1)[1].split()
    control = fleet.status(name)["control"]
    return {
        "cpu_ms": (int(fields[11]) + int(fields[12])) * 1000 / CLOCK_TICKS,
        "rss_mb": int(fields[21]) * PAGE_BYTES / 1e6,
        "frames": control["frames_sent"],
        "bytes": control["bytes_sent"],
    }
