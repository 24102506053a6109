"""Measures how a fleet recovers when the store comes back from an older copy.

    python -m chervilwall_standins.users.store_restore [--away S] [ROUTERS ...]

The store is away for a moment. Its copy lacks all registrations of routers, a
configuration, and changes of the targets, which are written again while the
fleet recovers. Prints, for each number of routers, the times from the store's
return and the calls to the store until the fleet agrees, and in the ten seconds
that follow.
"""

import argparse
import asyncio
import logging
import random
from collections import Counter
from collections.abc import Awaitable
from typing import NamedTuple

from chervilwall_standins.users.fleet import EdgeFleet, make_config
from chervilwall_standins.users.store import FakeStore
from chervilwall_standins.users.target import FakeTarget

TARGETS = 6
# Time within which the platform has written targets and configuration again.
WRITTEN_AGAIN_S = 2.0
SETTLED_S = 10.0
TIMEOUT_S = 30.0
# Objects in a page of a list, as the users state.
PAGE_SIZE = 500


class Recovery(NamedTuple):
    """Figures of one recovery, in seconds from the store's return.

    Args:
        noticed_s (float): Until all routers have read the targets anew.
        registered_s (float): Until all are registered again.
        agreed_s (float): Until all have the targets and the configuration
            that the platform has written again.
        calls (Counter): Calls to the store until then, by method and kind.
        later_calls (int): Calls in the SETTLED_S that follow.
    """

    noticed_s: float
    registered_s: float
    agreed_s: float
    calls: Counter[str]
    later_calls: int


async def measure(routers: int, away_s: float) -> Recovery:
    """Restores the store of a fleet once and returns the figures.

    Args:
        routers (int): Number of routers.
        away_s (float): Seconds for which the store is away before. With 0, the
            watches that wait stay open until then.
    """
    targets = [FakeTarget(f"p{i}", "plain") for i in range(TARGETS)]
    async with EdgeFleet(*targets, routers=routers) as fleet:
        store = fleet.store
        store.page_size = PAGE_SIZE
        copy = store.copy()
        copy.kinds.pop("routers")
        await store.put("servers", "added", targets[0].spec())
        await store.delete("servers", targets[1].id)
        await store.put("config", "main", make_config(2))
        await _wait_until_agreed(fleet)
        # Lets the watches that were opened at the start time out.
        await asyncio.sleep(SETTLED_S)
        if away_s:
            await store.restore_after_outage(copy, away_s)
        else:
            store.restore(copy)
        store.requests.clear()
        restored_at = asyncio.get_running_loop().time()
        _, noticed_s, registered_s, agreed_s = await asyncio.gather(
            _write_again(store, targets),
            _elapsed(restored_at, _wait_until_noticed(fleet)),
            _elapsed(restored_at, _wait_until_registered(fleet)),
            _elapsed(restored_at, _wait_until_agreed(fleet)),
        )
        calls = Counter(_describe(request) for request in store.requests)
        store.requests.clear()
        await asyncio.sleep(SETTLED_S)
        return Recovery(
            noticed_s, registered_s, agreed_s, calls, len(store.requests)
        )


async def _write_again(store: FakeStore, targets: list[FakeTarget]) -> None:
    """Writes what operators and targets wrote in the lost span."""
    rng = random.Random(1)
    await asyncio.sleep(WRITTEN_AGAIN_S * rng.random())
    await store.put("config", "main", make_config(2))
    await store.put("servers", "added", targets[0].spec())
    await store.delete("servers", targets[1].id)


async def _elapsed(started_at: float, step: Awaitable[None]) -> float:
    """Waits for a step; returns the seconds since a time of the loop."""
    await step
    return asyncio.get_running_loop().time() - started_at


async def _wait_until_noticed(fleet: EdgeFleet) -> None:
    await fleet.wait_until(
        lambda: all(
            router.targets.revision.era == fleet.store.era
            for router in fleet.routers
        ),
        TIMEOUT_S,
    )


async def _wait_until_registered(fleet: EdgeFleet) -> None:
    await fleet.wait_until(
        lambda: len(fleet.store.items("routers")) == len(fleet.routers),
        TIMEOUT_S,
    )


async def _wait_until_agreed(fleet: EdgeFleet) -> None:
    store = fleet.store

    def is_agreed() -> bool:
        registered = {x["metadata"]["name"] for x in store.items("servers")}
        return "added" in registered and all(
            router.registry.all().keys() == registered
            and router.config.version == 2
            and router.targets.revision.era == store.era
            for router in fleet.routers
        )

    await fleet.wait_until(is_agreed, TIMEOUT_S)


def _describe(request: str) -> str:
    """Returns the method and kind of a request, and whether it is a watch."""
    method, _, uri = request.partition(" ")
    path, _, query = uri.partition("?")
    kind = path.split("/")[3]
    return f"{method} {kind}" + (" watch" if "watch=" in query else "")


def main() -> None:
    """Prints a row for each number of routers."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("routers", nargs="*", type=int, default=[8, 30])
    parser.add_argument("--away", type=float, default=0.5, metavar="S")
    args = parser.parse_args()
    logging.disable(logging.CRITICAL)
    for routers in args.routers:
        found = asyncio.run(measure(routers, args.away))
        print(
            f"{routers} routers: noticed by all after {found.noticed_s:.2f} s,"
            f" registered after {found.registered_s:.2f} s, agreed after"
            f" {found.agreed_s:.2f} s, {found.calls.total()} calls, then"
            f" {found.later_calls} in {SETTLED_S:.0f} s"
        )
        for name, count in found.calls.most_common():
            print(f"  {count:5} {name}")


if __name__ == "__main__":
    main()
