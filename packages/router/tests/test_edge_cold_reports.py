"""Tests of which grants of cold targets are still used."""

import errno
import math
import unittest
from unittest import mock

from chervilwall.cold_rates import GRANT_TTL_S
from chervilwall.cold_targets import ColdTargets
from chervilwall.errors import DialError
from chervilwall.registry import RegisteredTarget
from chervilwall.routing import Service
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

    def test_a_scheduler_that_takes_a_target_for_warm_is_told(self):
        # Guards against a scheduler that never saw a short evacuation, or lost
        # what it was told: each of its grants would be returned until the end
        # of the cold time.
        cold = ColdTargets(True)
        service = Service("svc", cold_time_s=20.0, cold_rate_per_s=9.3)
        cold.configure({"svc": service}, 100.0)
        notices = ColdNotices(
            cold, mock.Mock(), mock.Mock(), lambda: 0.0, lambda: 100.0
        )
        notices.record_zone_returned([TARGET])
        self.assertEqual(cold.take_report(100.0), ())
        self.assertNotEqual(
            notices.withdrawal_reason(TARGET, 100.0, math.inf), ""
        )
        (stated,) = cold.take_report(100.0)
        self.assertEqual(stated.start, TARGET.start)

    def test_a_scheduler_is_not_told_of_the_last_moments(self):
        # Guards against cold times that routers prolong at each other, as a
        # statement ends later by the time that it takes.
        cold = ColdTargets(True)
        service = Service("svc", cold_time_s=20.0, cold_rate_per_s=9.3)
        cold.configure({"svc": service}, 80.0)
        cold.record_zone_returned([TARGET], 80.2)
        notices = ColdNotices(
            cold, mock.Mock(), mock.Mock(), lambda: 0.0, lambda: 100.0
        )
        # The scheduler may have read the registration sooner, so what was known
        # before its grant does not return it.
        self.assertEqual(notices.withdrawal_reason(TARGET, 100.0, math.inf), "")
        self.assertEqual(cold.take_report(100.0), ())


class OwnFaultTest(unittest.TestCase):
    def is_own_fault(self, cause):
        notices = ColdNotices(
            ColdTargets(True),
            mock.Mock(),
            mock.Mock(),
            lambda: 0.0,
            mock.Mock(),
        )
        exc = DialError("failed", step="dial target", peer="a:1")
        exc.__cause__ = cause
        return notices.is_own_fault(exc)

    def test_a_host_without_network_says_nothing_of_targets(self):
        # Guards against targets that all count as cold because one host has
        # no descriptors, ports or network.
        for code in (errno.EMFILE, errno.EADDRNOTAVAIL, errno.ENETUNREACH):
            with self.subTest(errno.errorcode[code]):
                self.assertTrue(self.is_own_fault(OSError(code, "")))
        for code in (errno.ECONNREFUSED, errno.ECONNRESET, errno.EHOSTUNREACH):
            with self.subTest(errno.errorcode[code]):
                self.assertFalse(self.is_own_fault(OSError(code, "")))


if __name__ == "__main__":
    unittest.main()
