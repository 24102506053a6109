"""Floods one router on a small part of a processor, and measures its callers.

The router's process is suspended whenever it has used up its part. The other
routers of its zone are idle. Run it with `make slow-host`.
"""

import argparse
import asyncio
import collections
import os
import signal
import subprocess
import sys
import time
from typing import NamedTuple

from chervilwall_router.edge.settings import ShutdownSettings

from chervilwall_standins.users.fleet import CallerConnection
from chervilwall_standins.users.process_fleet import ProcessFleet, RouterProcess
from chervilwall_standins.users.relay_flood import read_metric
from chervilwall_standins.users.target import FakeTarget

TARGETS = 8
SLOTS = 64
EVENTS = 41
EVENT_INTERVAL_S = 0.02
IDLE_ROUTERS = 3
JOIN_S = 5.0
LIMITER_START_S = 1.0
CALLER_TIMEOUT_S = 3.0
# Period in which the limited process may use its part, in seconds.
PERIOD_S = 0.02
POLL_S = 0.001
STOP = ShutdownSettings(grace_s=1.0, accept_s=0.1)


class Outcome(NamedTuple):
    """What one caller saw.

    Args:
        result (str): HTTP status, or why there was no whole response.
        first_s (float | None): Time to the first event in seconds, None if
            there was none.
    """

    result: str
    first_s: float | None = None


def limit_cpu(pid: int, share: float) -> None:
    """Suspends a process whenever it has used its share, without an end."""
    budget_s = 0.0
    while True:
        started = time.monotonic()
        budget_s = min(2 * share * PERIOD_S, budget_s + share * PERIOD_S)
        before_s = _used_s(pid)
        os.kill(pid, signal.SIGCONT)
        while time.monotonic() - started < PERIOD_S:
            time.sleep(POLL_S)
            if _used_s(pid) - before_s >= budget_s:
                os.kill(pid, signal.SIGSTOP)
                break
        budget_s -= _used_s(pid) - before_s
        time.sleep(max(0.0, PERIOD_S - (time.monotonic() - started)))


def _used_s(pid: int) -> float:
    with open(f"/proc/{pid}/schedstat", encoding="ascii") as file:
        return int(file.read().split()[0]) / 1e9


async def run(
    *, relay: bool, share: float, rate: float, duration_s: float
) -> None:
    """Floods a router and prints the outcomes of its callers.

    Args:
        relay (bool): Whether routers relay connections.
        share (float): Processors that the flooded router may use.
        rate (float): Streams per second, each on a new connection.
        duration_s (float): Duration of the flood in seconds.
    """
    targets = [
        FakeTarget(
            f"m{i}", "model", events=EVENTS, event_interval_s=EVENT_INTERVAL_S
        )
        for i in range(TARGETS)
    ]
    for target in targets:
        target.slots = SLOTS
    fleet = ProcessFleet(
        *targets,
        routers=1 + IDLE_ROUTERS,
        stop=STOP,
        overrides=(
            {"relay": relay, "cpu": share},
            *({"relay": relay},) * IDLE_ROUTERS,
        ),
    )
    async with fleet:
        await asyncio.sleep(JOIN_S)
        router = fleet.routers[0]
        command = [sys.executable, "-m", __spec__.name, "--limit"]
        limiter = subprocess.Popen([*command, str(router.pid), str(share)])
        try:
            await asyncio.sleep(LIMITER_START_S)
            outcomes = await _flood(router, rate, duration_s)
        finally:
            limiter.kill()
            limiter.wait()
            os.kill(router.pid, signal.SIGCONT)
        relayed = await read_metric(router, "relay_sent")
        lag_ms = await read_metric(
            router, 'loop_lag_ms{team="",class="",quantile="0.95"}'
        )
    counts = collections.Counter(x.result for x in outcomes)
    firsts = sorted(x.first_s for x in outcomes if x.first_s is not None)
    quantiles = [
        f"{1000 * firsts[int(q * (len(firsts) - 1))]:.0f}" for q in (0.5, 0.95)
    ]
    print(
        f"relay={relay} share={share} rate={rate}: {dict(counts)}, relayed "
        f"{relayed:.0f}, first event {' and '.join(quantiles)} ms (p50, p95), "
        f"lag {lag_ms:.0f} ms (p95)",
        flush=True,
    )


async def _flood(
    router: RouterProcess, rate: float, duration_s: float
) -> list[Outcome]:
    calls: list[asyncio.Future[Outcome]] = []
    started = time.monotonic()
    while time.monotonic() - started < duration_s:
        call = _call(router.address, f"c{len(calls)}")
        calls.append(asyncio.ensure_future(call))
        due_at = started + len(calls) / rate
        await asyncio.sleep(max(0.0, due_at - time.monotonic()))
    return await asyncio.gather(*calls)


async def _call(address: str, request_id: str) -> Outcome:
    started = time.monotonic()
    first_s = None
    caller = None
    try:
        async with asyncio.timeout(CALLER_TIMEOUT_S):
            caller = await CallerConnection.open(address)
            await caller.send(
                "/chat/x",
                request_id=request_id,
                token_usage="100,30",
                timeout_remaining=str(int(1000 * CALLER_TIMEOUT_S)),
            )
            head = await caller.reader.readuntil(b"\r\n\r\n")
            status = head.split()[1].decode()
            if status == "200":
                await caller.reader.readuntil(b"id: 1\n")
                first_s = time.monotonic() - started
                await caller.reader.readuntil(b"id: %d\n" % EVENTS)
            return Outcome(status, first_s)
    except (TimeoutError, OSError, asyncio.IncompleteReadError) as exc:
        return Outcome(type(exc).__name__, first_s)
    finally:
        if caller is not None:
            caller.close()


def main() -> None:
    """Runs the flood without and with relaying."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--limit", nargs=2, help=argparse.SUPPRESS)
    parser.add_argument("--share", type=float, default=0.1)
    parser.add_argument("--rate", type=float, default=60.0)
    parser.add_argument("--seconds", type=float, default=10.0)
    args = parser.parse_args()
    if args.limit:
        limit_cpu(int(args.limit[0]), float(args.limit[1]))
    for relay in (False, True):
        asyncio.run(
            run(
                relay=relay,
                share=args.share,
                rate=args.rate,
                duration_s=args.seconds,
            )
        )


if __name__ == "__main__":
    main()
