"""A base for tests that need a fleet of real processes."""

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
FILING_PATH = "/case/filings"
STATUS_PATH = "/case/status"


class FleetCase(unittest.TestCase):
    """Give each test class a fleet of its own, with a sheet in force."""

    routers = 3
    relayed = False
    engine_args: tuple[str, ...] = ()
    plain_args: tuple[str, ...] = ()
    settings: dict[str, Any] = {}
    fleet: Fleet
    dep: Deployment

    @classmethod
    def setUpClass(cls) -> None:
        """Starts the fleet."""
        cls.dep = cls.make_deployment()
        cls.fleet = Fleet(
            routers=cls.routers, settings=cls.settings, relayed=cls.relayed
        )
        cls.enterClassContext(cls.fleet)
        engines, plains = list(cls.dep.engines), list(cls.dep.plains)
        cls.fleet.start_targets("engines", engines, *cls.engine_args)
        cls.fleet.start_targets("plains", plains, *cls.plain_args)
        apply_sheet(cls.fleet, make_sheet(cls.dep), quiet=True)

    @classmethod
    def make_deployment(cls) -> Deployment:
        """Returns the deployment to run."""
        return make_deployment()

    def run_async(self, work: Coroutine[Any, Any, T]) -> T:
        """Runs a coroutine to its end."""
        return asyncio.run(work)

    def caller(self, team: int = 0) -> Caller:
        """Returns a caller of a team; to be made inside a coroutine."""
        seeds = [self.fleet.address(name) for name in self.fleet.names]
        return Caller(seeds, team_key(self.dep, team))

    def runs(self, label: str) -> int:
        """Returns how often targets ran a request."""
        return sum(
            call_json(f"http://{address}/admin")["runs"].get(label, 0)
            for address in (*self.dep.engines, *self.dep.plains)
        )

    def ctl(self, *args: str) -> Any:
        """Runs the operators' tool and returns the finished process."""
        return run_ctl(self.fleet, *args)
