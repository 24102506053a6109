"""Measures what the router path adds over calling a target directly."""

import asyncio
import statistics
import sys

from chervilwall_standins.caller import Caller
from chervilwall_standins.demo import apply_sheet, make_deployment
from chervilwall_standins.fleet import Fleet
from chervilwall_standins.sheets import make_sheet, team_key

SAMPLES = 400
TOKENS = 1


async def _sample(caller: Caller, address: str) -> list[float]:
    times = []
    for number in range(SAMPLES):
        answer = await caller.send(
            "/v1/chat/completions",
            label=f"n{number}",
            tokens=TOKENS,
            router=address,
        )
        if not answer.ok:
            raise RuntimeError(f"request failed: {answer}")
        times.append(answer.total_s * 1000)
    return times


async def _measure(fleet: Fleet, target: str, key: str) -> None:
    caller = Caller([], key)
    router = fleet.address(fleet.names[0])
    await _sample(caller, router)
    direct = await _sample(caller, target)
    routed = await _sample(caller, router)
    for name, rank in (("median", 50), ("p99", 99)):
        before = statistics.quantiles(direct, n=100)[rank - 1]
        after = statistics.quantiles(routed, n=100)[rank - 1]
        print(
            f"{name}: direct {before:.2f} ms, routed {after:.2f} ms, "
            f"added {after - before:.2f} ms, ratio {after / before:.2f}"
        )


def main() -> int:
    """Runs the measurement."""
    dep = make_deployment()
    with Fleet(routers=3) as fleet:
        fleet.start_targets("engines", list(dep.engines), "--token-s", "0.001")
        fleet.start_targets("plains", list(dep.plains))
        apply_sheet(fleet, make_sheet(dep))
        asyncio.run(_measure(fleet, dep.engines[0], team_key(dep, 0)))
    return 0


if __name__ == "__main__":
    sys.exit(main())
