"""Tests of time limits and budgets while the end of a target is examined."""

import asyncio
import time
import unittest
from unittest import mock

from chervilwall.errors import DialError
from chervilwall.retry_budget import RetryWindow
from chervilwall_standins.users import target as t
from chervilwall_standins.users.fleet import EdgeFleet
from chervilwall_standins.users.target import FakeTarget

LIMIT_S = 0.8
# Time limit of a request after which its caller has to have an answer.
MARGIN_S = 0.5
# Time that a probe takes that is not answered.
PROBE_S = 0.5


class LateVerdictTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, *modes, delay_s=0.0):
        self.targets = [FakeTarget(f"p{i}", "plain") for i in range(len(modes))]
        for target, mode in zip(self.targets, modes, strict=True):
            target.mode = mode
            target.response_delay_s = delay_s
        self.fleet = EdgeFleet(*self.targets)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    async def test_two_probes_in_a_row_end_at_the_time_limit(self):
        await self.start(t.CLOSE_DELIMITED, t.CLOSE_DELIMITED, delay_s=0.7)
        crashes = self.fleet.routers[0].crashes

        async def probe(target):
            await asyncio.sleep(PROBE_S)
            raise DialError("timed out", step="probe", peer=target.address)

        crashes._parts = crashes._parts._replace(probe=probe)
        began_at = time.monotonic()
        await self.fleet.call(
            "/read/x", timeout_remaining=str(round(1000 * LIMIT_S))
        )
        self.assertLess(time.monotonic() - began_at, LIMIT_S + MARGIN_S)

    async def test_no_retry_is_spent_where_there_is_no_other_target(self):
        for mode in (t.RESET, t.ERROR):
            with (
                self.subTest(mode=mode),
                mock.patch.object(
                    RetryWindow, "spend", return_value=True
                ) as spend,
            ):
                await self.start(mode)
                await self.fleet.call("/read/x")
                spend.assert_not_called()


if __name__ == "__main__":
    unittest.main()
