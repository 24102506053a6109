"""Measures the latency that a router adds over calling a target directly."""

import asyncio
import statistics
import sys

from chervilwall_standins.caller import Caller
from chervilwall_standins.demo import apply_sheet, make_deployment
from chervilwall_standins.fleet import Fleet
from chervilwall_standins.sheets import make_sheet, team_key

SAMPLES = 400
TOKENS = 1  # a minimal response, so that the latency is mostly overhead


async def _measure_latencies(caller: Caller, address: str) -> list[float]:
    latencies_ms = []
    for number in range(SAMPLES):
        answer = await caller.send(
            "/v1/chat/completions",
            label=f"n{number}",
            tokens=TOKENS,
            router=address,
        )
        if not answer.ok:
            raise RuntimeError(f"request failed: {answer}")
        latencies_ms.append(answer.total_s * 1000)
    return latencies_ms


async def _compare_latencies(fleet: Fleet, target: str, key: str) -> None:
    caller = Caller([], key)
    router = fleet.caller_address(fleet.router_names[0])
    await _measure_latencies(caller, router)  # warm-up of the router only
    direct_samples = await _measure_latencies(caller, target)
    routed_samples = await _measure_latencies(caller, router)
    for name, percentile in (("median", 50), ("p99", 99)):
        direct_ms = statistics.quantiles(direct_samples, n=100)[percentile - 1]
        routed_ms = statistics.quantiles(routed_samples, n=100)[percentile - 1]
        print(
            f"{name}: direct {direct_ms:.2f} ms, routed {routed_ms:.2f} ms, "
            f"added {routed_ms - direct_ms:.2f} ms, "
            f"ratio {routed_ms / direct_ms:.2f}"
        )


def main() -> int:
    """Runs the measurement and returns the exit code."""
    dep = make_deployment()
    with Fleet(routers=3) as fleet:
        fleet.start_targets(
            "engines", list(dep.engine_addresses), "--token-s", "0.001"
        )
        fleet.start_targets("plains", list(dep.plain_addresses))
        apply_sheet(fleet, make_sheet(dep))
        asyncio.run(
            _compare_latencies(fleet, dep.engine_addresses[0], team_key(dep, 0))
        )
    return 0


if __name__ == "__main__":
    sys.exit(main())
