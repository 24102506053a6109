"""Test case with a fleet whose zones are evacuated and returned."""

import asyncio
import unittest
from typing import Any

from chervilwall_router.edge.edge_router import EdgeRouter

from chervilwall_standins.users.fleet import EdgeFleet, Response
from chervilwall_standins.users.target import FakeTarget

KIND = "evacuations"
EVACUATION_MS = 5000.0
# Routers on a busy machine refuse nothing because of their own delay.
EVENT_DELAY_MS = 10_000.0
CONCURRENT_CALLS = 9


class EvacuationCase(unittest.IsolatedAsyncioTestCase):
    """Run a fleet, evacuate zones of its targets, and call its routers.

    Attributes:
        fleet (EdgeFleet): The fleet.
        count (int): Calls so far.
    """

    async def start(self, *targets: FakeTarget, **options: Any) -> None:
        """Starts a fleet that ends with the test.

        Args:
            *targets (FakeTarget): Targets to start.
            **options (Any): Options of EdgeFleet.
        """
        defaults = {
            "evacuation_ms": EVACUATION_MS,
            "event_delay_ms": EVENT_DELAY_MS,
        }
        self.fleet = EdgeFleet(*targets, **(defaults | options))
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.count = 0

    async def evacuate(self, *zones: str) -> None:
        """Evacuates zones, and waits until all routers know it."""
        for zone in zones:
            await self.fleet.store.put(KIND, zone, {})
        await self.wait_for_all(
            lambda router: router.evacuations.names().issuperset(zones)
        )

    async def return_zones(self, *zones: str) -> None:
        """Returns zones to service, and waits until all routers know it."""
        for zone in zones:
            await self.fleet.store.delete(KIND, zone)
        await self.wait_for_all(
            lambda router: router.evacuations.names().isdisjoint(zones)
        )

    async def wait_for_all(
        self, condition: Any, timeout_s: float = 5.0
    ) -> None:
        """Waits until a condition holds for all routers."""
        await self.fleet.wait_until(
            lambda: all(condition(router) for router in self.fleet.routers),
            timeout_s,
        )

    async def call(self, path: str = "/read/x", **options: Any) -> Response:
        """Sends a request to the next router.

        Args:
            path (str): Path of the request. Defaults to a lookup.
            **options (Any): Options of EdgeFleet.call.
        """
        self.count += 1
        options = {"router": self.count % len(self.fleet.routers)} | options
        return await self.fleet.call(
            path, request_id=f"r{self.count}", **options
        )

    async def call_many(
        self, count: int = CONCURRENT_CALLS, **options: Any
    ) -> set[int]:
        """Sends requests at once, so many that each target gets some.

        Returns:
            Statuses of the responses.
        """
        calls = [self.call(**options) for _ in range(count)]
        responses = await asyncio.gather(*calls)
        return {response.status for response in responses}

    def router_named(self, name: str) -> EdgeRouter:
        """Returns the router with a name."""
        return next(r for r in self.fleet.routers if r.settings.name == name)


def make_targets(
    *zones: str, service: str = "plain", **options: Any
) -> list[FakeTarget]:
    """Returns a target in each zone, named after its service, number and zone.

    Args:
        *zones (str): Zones of the targets.
        service (str): Service of all targets. Defaults to the plain one.
        **options (Any): Options of FakeTarget.
    """
    targets = []
    for number, zone in enumerate(zones):
        target = FakeTarget(f"{service}-{number}-{zone}", service, **options)
        target.zone = zone
        targets.append(target)
    return targets
