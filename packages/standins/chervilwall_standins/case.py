"""Base class of tests that run against a fleet of real processes."""

import asyncio
import unittest
from collections.abc import Coroutine
from typing import Any, TypeVar

from chervilwall_standins.caller import Caller
from chervilwall_standins.demo import apply_sheet, make_deployment, run_ctl
from chervilwall_standins.fleet import Fleet, call_json
from chervilwall_standins.sheets import Deployment, make_sheet, team_key

T = TypeVar("T")
CHAT_PATH = "/v1/chat/completions"
# Its requests are not idempotent; the demo sends one as a booking.
FILING_PATH = "/case/filings"
STATUS_PATH = "/case/status"


class FleetCase(unittest.TestCase):
    """Run the tests of a class against a fleet with a sheet of its own.

    Subclasses override the class attributes to configure the fleet:

    Attributes:
        routers (int): Number of routers.
        relayed (bool): Whether routers connect through relays that tests can
            cut.
        engine_args (tuple): Options of the engine targets' process.
        plain_args (tuple): Options of the process of the plain targets, which
            do not generate tokens.
        settings (dict): Router settings that override the fleet's defaults.
    """

    routers = 3
    relayed = False
    engine_args: tuple[str, ...] = ()
    plain_args: tuple[str, ...] = ()
    settings: dict[str, Any] = {}
    fleet: Fleet
    deployment: Deployment

    @classmethod
    def setUpClass(cls) -> None:
        """Starts the fleet and waits until the sheet is in force."""
        cls.deployment = cls.make_deployment()
        cls.fleet = Fleet(
            routers=cls.routers, settings=cls.settings, relayed=cls.relayed
        )
        cls.enterClassContext(cls.fleet)
        engines, plains = (
            list(cls.deployment.engine_addresses),
            list(cls.deployment.plain_addresses),
        )
        cls.fleet.start_targets("engines", engines, *cls.engine_args)
        cls.fleet.start_targets("plains", plains, *cls.plain_args)
        apply_sheet(cls.fleet, make_sheet(cls.deployment), quiet=True)

    @classmethod
    def make_deployment(cls) -> Deployment:
        """Returns the deployment that the fleet's sheet describes."""
        return make_deployment()

    def run_async(self, coroutine: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine in a new event loop and returns its result."""
        return asyncio.run(coroutine)

    def caller(self, team: int = 0) -> Caller:
        """Returns a caller of a team.

        Must be called from a coroutine, as the HTTP client binds to the running
        event loop.
        """
        seeds = [
            self.fleet.caller_address(name) for name in self.fleet.router_names
        ]
        return Caller(seeds, team_key(self.deployment, team))

    def count_runs(self, label: str) -> int:
        """Returns how often all targets together started a labelled request."""
        return sum(
            call_json(f"http://{address}/admin")["runs"].get(label, 0)
            for address in (
                *self.deployment.engine_addresses,
                *self.deployment.plain_addresses,
            )
        )

    def ctl(self, *args: str) -> Any:
        """Runs the operator command line and returns the finished process."""
        return run_ctl(self.fleet, *args)
