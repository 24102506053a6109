"""Prints the peak memory and descriptors of a router for crowds of callers.

The router runs in its own process. Run one at a time, as a crowd of 1,000
callers sends up to 4 GB.
"""

import argparse
import asyncio
from collections.abc import Iterator

from chervilwall_standins.users.crowd import (
    LARGE_CHUNK_BYTES,
    MIB,
    Crowd,
    Shape,
    UsageMonitor,
    body_at_once,
    body_in_pieces,
    chunked_body,
    head_of_lines,
    lines_and_body,
    memory_kb,
    stop_short,
)
from chervilwall_standins.users.flood import run_router

LIMITS = {"max_header_bytes": 16_384, "max_body_bytes": 4 * MIB}
HEADER_LINES = 1980
BODY_BYTES = 4 * MIB
BYTE_CHUNKS = 400_000
# Longer than the time that a body may take.
SETTLE_S = 16.0
SHAPES: dict[str, Shape] = {
    "head of 2,000 lines": lambda n: head_of_lines(n, HEADER_LINES),
    "2,000 lines, 1 MiB body": lambda n: lines_and_body(n, HEADER_LINES, MIB),
    "4 MiB in one write": lambda n: body_at_once(n, BODY_BYTES),
    "4 MiB in 16 KiB pieces": lambda n: body_in_pieces(n, BODY_BYTES),
    "4 MiB in 64 KiB chunks": lambda n: chunked_body(
        n, BODY_BYTES, LARGE_CHUNK_BYTES
    ),
    "0.4 MB in 1-byte chunks": lambda n: chunked_body(n, BYTE_CHUNKS, 1),
}


def short_requests(shape: Shape, callers: int) -> Iterator[Iterator[bytes]]:
    """Yields requests of a shape that stop just short of their end."""
    for number in range(callers):
        yield stop_short(shape(number))


async def measure(name: str, callers: int, memory_mb: int) -> None:
    """Prints what a router uses for one crowd."""
    overrides = {"memory_mb": memory_mb}
    async with (
        run_router(limits=LIMITS, overrides=overrides) as router,
        UsageMonitor(router.pid, router.address) as monitor,
    ):
        idle_kb = memory_kb(router.pid, "VmRSS")
        async with Crowd(router.address) as crowd:
            crowd.start(short_requests(SHAPES[name], callers))
            await crowd.settle(SETTLE_S)
        usage = monitor.usage()
        peak_kb = memory_kb(router.pid, "VmHWM")
        unread_bytes = usage.memory_bytes - (peak_kb << 10)
    print(
        f"{name:26} {callers:6} {idle_kb / 1024:8.0f} {peak_kb / 1024:8.0f}"
        f" {unread_bytes / MIB:8.1f} {usage.descriptors:8}",
        flush=True,
    )


async def run(callers: list[int], only: str, memory_mb: int) -> None:
    """Measures all shapes for several numbers of callers."""
    print("shape, callers, MiB idle, MiB at the peak, MiB unread, descriptors")
    for name in SHAPES:
        for count in callers if only in name else ():
            await measure(name, count, memory_mb)


def main() -> None:
    """Measures what the command line selects."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("callers", type=int, nargs="+")
    parser.add_argument("--only", default="", help="part of a shape's name")
    parser.add_argument("--memory-mb", type=int, default=128)
    args = parser.parse_args()
    asyncio.run(run(args.callers, args.only, args.memory_mb))


if __name__ == "__main__":
    main()
