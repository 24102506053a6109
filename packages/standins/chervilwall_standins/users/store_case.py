"""Test case with a fleet whose object store comes back from older copies."""

import unittest
from collections.abc import Callable
from typing import Any

from chervilwall_router.edge.edge_router import EdgeRouter

from chervilwall_standins.users.fleet import EdgeFleet, Response
from chervilwall_standins.users.target import FakeTarget


class StoreCase(unittest.IsolatedAsyncioTestCase):
    """Run a fleet, and call its routers in turn.

    Attributes:
        fleet (EdgeFleet): The fleet.
        store (FakeStore): Its object store.
        count (int): Calls so far.
    """

    async def start_fleet(self, *targets: FakeTarget, routers: int) -> None:
        """Starts a fleet that ends with the test."""
        self.fleet = EdgeFleet(*targets, routers=routers)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.store = self.fleet.store
        self.count = 0

    async def call(self, path: str = "/read/x", **options: Any) -> Response:
        """Sends a request to the next router.

        Args:
            path (str): Path of the request. Defaults to a lookup.
            **options (Any): Options of EdgeFleet.call.
        """
        self.count += 1
        return await self.fleet.call(
            path,
            router=self.count % len(self.fleet.routers),
            request_id=f"r{self.count}",
            **options,
        )

    async def wait_for_all(
        self, condition: Callable[[EdgeRouter], Any], timeout_s: float
    ) -> None:
        """Waits until a condition holds for all routers."""
        await self.fleet.wait_until(
            lambda: all(condition(router) for router in self.fleet.routers),
            timeout_s,
        )
