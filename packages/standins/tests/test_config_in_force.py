"""Tests that an accepted configuration takes effect soon and never reverts."""

import asyncio
import pathlib
import signal
import tempfile
import unittest

from chervilwall.errors import PlatformUnavailableError
from chervilwall_ctl.config_change import (
    LostRaceError,
    apply_config,
    read_stored_config,
)
from chervilwall_platform.client import HttpPlatform
from chervilwall_standins.case import FleetCase
from chervilwall_standins.demo import apply_sheet, make_deployment
from chervilwall_standins.fleet import Fleet, call_json, wait_for
from chervilwall_standins.sheets import make_sheet

IN_FORCE_TIMEOUT_S = 5.0


class ConfigInForceTest(FleetCase):
    relayed = True
    routers = 4

    def config_version(self, name):
        return self.fleet.status(name)["config_version"]

    def apply_teams(self, teams):
        """Applies a sheet with this number of teams and returns its version."""
        sheet = make_sheet(self.deployment._replace(teams=teams))
        with tempfile.NamedTemporaryFile(suffix=".csv") as file:
            pathlib.Path(file.name).write_bytes(sheet)
            result = self.ctl("apply", file.name)
        self.assertEqual(result.returncode, 0, result.stderr)
        return int(result.stdout.split("version ")[1].split(",")[0])

    def wait_in_force(self, version, names=None):
        wait_for(
            lambda: all(
                self.config_version(n) >= version
                for n in names or self.fleet.router_names
            ),
            limit_s=IN_FORCE_TIMEOUT_S,
            what=f"version {version} in force",
        )

    def test_in_force_everywhere_within_the_limit(self):
        self.wait_in_force(self.apply_teams(17))

    def test_spreads_by_peers_when_the_platform_goes_right_after(self):
        version = self.apply_teams(18)
        self.fleet.set_platform_faults(down=True)
        self.addCleanup(self.fleet.set_platform_faults, down=False)
        wait_for(
            lambda: any(
                self.config_version(n) >= version
                for n in self.fleet.router_names
            ),
            limit_s=IN_FORCE_TIMEOUT_S,
            what="version on any router",
        )
        self.wait_in_force(version)

    def test_an_empty_router_learns_it_from_a_peer(self):
        version = self.apply_teams(19)
        self.wait_in_force(version)
        self.fleet.set_platform_faults(down=True)
        self.addCleanup(self.fleet.set_platform_faults, down=False)
        self.fleet.signal_process("router2", signal.SIGKILL)
        self.fleet.wait_exit("router2", 5)
        self.fleet.start_router("router2")
        self.fleet.wait_ready("router2")
        self.wait_in_force(version)

    def test_the_higher_version_wins_after_a_partition(self):
        hosts = [self.fleet.router_ip(name) for name in self.fleet.router_names]
        self.wait_in_force(self.apply_teams(20))
        self.fleet.relays.isolate(hosts[0], hosts[1:])
        self.addCleanup(self.fleet.relays.heal)
        version = self.apply_teams(21)
        self.wait_in_force(version)
        self.fleet.relays.heal()
        newer = self.apply_teams(22)
        self.wait_in_force(newer)
        for name in self.fleet.router_names:
            self.assertEqual(self.config_version(name), newer)

    def test_of_two_operators_exactly_one_wins(self):
        async def scenario():
            platform = HttpPlatform(self.fleet.platform_url)
            current = await read_stored_config(platform)
            changes = [
                apply_config(platform, current, lambda c: c, operator=operator)
                for operator in ("ana", "eero")
            ]
            return await asyncio.gather(*changes, return_exceptions=True)

        results = self.run_async(scenario())
        losers = [r for r in results if isinstance(r, LostRaceError)]
        self.assertEqual(len(losers), 1)
        self.assertIn(losers[0].accepted_change.operator, ("ana", "eero"))
        self.assertIn(losers[0].accepted_change.operator, str(losers[0]))

    def test_a_lost_reply_to_an_accepted_change_is_reported_accepted(self):
        self.fleet.set_platform_faults(lose_replies=1)
        version = self.apply_teams(23)
        self.wait_in_force(version)

    def test_without_the_platform_a_sheet_is_refused_with_a_clear_error(self):
        async def scenario():
            platform = HttpPlatform(self.fleet.platform_url, timeout_s=1.0)
            with self.assertRaises(PlatformUnavailableError) as caught:
                await read_stored_config(platform)
            return str(caught.exception)

        self.fleet.set_platform_faults(down=True)
        self.addCleanup(self.fleet.set_platform_faults, down=False)
        text = self.run_async(scenario())
        self.assertIn(self.fleet.platform_url, text)


class NamedToCallersTest(unittest.TestCase):
    def setUp(self):
        self.fleet = self.enterContext(Fleet(routers=3))

    def named_by(self, router):
        url = f"{self.fleet.router_url(router)}/v1/routers"
        return {r["name"] for r in call_json(url)["routers"]}

    def test_no_router_is_named_before_it_has_a_configuration(self):
        names = self.fleet.router_names
        wait_for(
            lambda: all(
                [m[3] for m in self.fleet.status(n)["members"]]
                == ["alive"] * len(names)
                for n in names
            ),
            limit_s=IN_FORCE_TIMEOUT_S,
            what="all routers joined",
        )
        for name in names:
            self.assertEqual(self.named_by(name), set(), name)
        apply_sheet(self.fleet, make_sheet(make_deployment()), quiet=True)
        wait_for(
            lambda: all(self.named_by(n) == set(names) for n in names),
            limit_s=IN_FORCE_TIMEOUT_S,
            what="all routers named to callers",
        )
