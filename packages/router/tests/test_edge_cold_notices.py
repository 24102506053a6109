"""Tests of which grants of cold targets are still used."""

import math
import unittest
from unittest import mock

from chervilwall.cold_rates import GRANT_TTL_S
from chervilwall.cold_targets import ColdTargets
from chervilwall.registry import RegisteredTarget
from chervilwall_router.edge.cold_notices import ColdNotices

TARGET = RegisteredTarget("t", "svc", "a:1", "z", 8)


class WithdrawalTest(unittest.TestCase):
    def reason(self, age_s, send_within_s):
        """Returns why a grant that was received some time ago is not used."""
        notices = ColdNotices(
            ColdTargets(True),
            lambda: None,
            mock.Mock(),
            lambda: 0.0,
            lambda: 100.0 + age_s,
        )
        return notices.withdrawal_reason(TARGET, 100.0, send_within_s)

    def test_a_grant_is_used_in_its_time(self):
        self.assertEqual(self.reason(0.9 * GRANT_TTL_S, GRANT_TTL_S), "")
        self.assertNotEqual(self.reason(1.1 * GRANT_TTL_S, GRANT_TTL_S), "")
        self.assertEqual(self.reason(10.0, math.inf), "")

    def test_an_expired_grant_that_is_repeated_is_not_used(self):
        # Guards against grants whose first datagrams were lost, which are sent
        # long after they were spaced. A scheduler states at least 1 ms for
        # them, and with an open connection less than that passes.
        self.assertNotEqual(self.reason(0.0002, 0.001), "")
        self.assertNotEqual(self.reason(0.0, 0.001), "")


if __name__ == "__main__":
    unittest.main()
