"""Tests of what a router logs and estimates while targets are cold."""

import errno
import logging
import unittest
from unittest import mock

from chervilwall import events
from chervilwall.cold_rates import ColdRates, ColdSettings
from chervilwall.cold_targets import RISE_S, ColdTargets
from chervilwall.edge_messages import StatedCold
from chervilwall.errors import DialError
from chervilwall.http_messages import ResponseHead
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.request_pacer import RequestPacer, RequestSpacing
from chervilwall.routing import Service
from chervilwall.target_limits import TargetLimits
from chervilwall_router.edge.cold_notices import ColdNotices
from chervilwall_router.edge.wait_estimate import (
    WaitEstimate,
    WaitEstimateParts,
)

TARGET = RegisteredTarget("t1", "svc", "a:1", "z", 8, born_ms=5)
SERVICES = {"svc": Service("svc", cold_time_s=20.0, cold_rate_per_s=9.3)}
LIMITLESS = float("inf")


class _Lines(logging.Handler):
    """Collect the numbers and fields of log events."""

    def __init__(self):
        super().__init__()
        self.found = []

    def emit(self, record):
        self.found.append((record.event, record.fields))


class ColdNoticesTest(unittest.TestCase):
    def setUp(self):
        self.now, self.lag_s = 100.0, 0.0
        self.cold = ColdTargets(True)
        self.send_reports_now = mock.Mock()
        self.notices = ColdNotices(
            self.cold,
            self.send_reports_now,
            mock.Mock(),
            lambda: self.lag_s,
            lambda: self.now,
        )
        self.notices.configure(SERVICES)
        self.notices.apply_registrations({TARGET.id: TARGET})
        logger = logging.getLogger("chervilwall_router.edge.cold_notices")
        self.lines = _Lines()
        logger.addHandler(self.lines)
        self.addCleanup(logger.removeHandler, self.lines)
        self.addCleanup(logger.setLevel, logger.level)
        self.addCleanup(logging.disable, logging.root.manager.disable)
        logging.disable(logging.NOTSET)
        logger.setLevel(logging.INFO)
        logger.propagate = False
        self.addCleanup(setattr, logger, "propagate", True)

    def say(self, remaining_s):
        head = ResponseHead(200, cold_for_s=remaining_s)
        self.notices.apply_head(TARGET, head, self.now - 0.01)

    def test_a_target_that_becomes_cold_and_warm_is_logged_once_each(self):
        self.say(3.0)
        self.say(2.9)
        self.now += 3.5
        self.notices.log_changes()
        self.notices.log_changes()
        numbers = [number for number, _ in self.lines.found]
        self.assertEqual(
            numbers, [events.TARGET_COLD.number, events.TARGET_WARM.number]
        )
        fields = self.lines.found[0][1]
        self.assertEqual(fields["target"], TARGET.id)
        self.assertEqual(fields["source"], "response")
        self.assertEqual(fields["remaining_s"], 3.0)

    def test_peers_are_told_at_once_of_cold_targets_and_of_warm_ones(self):
        self.say(3.0)
        self.assertEqual(self.send_reports_now.call_count, 1)
        self.say(2.9)
        self.notices.record_unreachable(TARGET)
        self.assertEqual(self.send_reports_now.call_count, 1)
        self.now += 1.0
        self.say(0.0)
        self.assertEqual(self.send_reports_now.call_count, 2)

    def test_what_peers_and_zones_tell_is_logged_with_the_source(self):
        stated = StatedCold(TARGET.start, "svc", 2000, 10)
        self.notices.apply_stated([stated])
        self.now += 10.0
        self.notices.log_changes()
        self.notices.record_zone_returned([TARGET])
        sources = [fields["source"] for _, fields in self.lines.found]
        self.assertEqual(sources, ["peer", "peer", "zone returned"])

    def test_a_failure_that_this_host_causes_is_not_the_targets(self):
        # Guards against a host without descriptors that makes all targets cold
        # for the fleet.
        def fail(cause):
            error = DialError("failed", step="dial", peer="a:1")
            error.__cause__ = cause
            return self.notices.is_own_fault(error)

        self.assertTrue(fail(OSError(errno.EMFILE, "too many files")))
        self.assertFalse(fail(ConnectionRefusedError()))
        self.assertFalse(fail(TimeoutError()))
        self.lag_s = 0.3
        self.assertTrue(fail(TimeoutError()))

    def test_a_request_is_withdrawn_when_its_grant_is_too_old(self):
        reason = self.notices.withdrawal_reason
        self.assertEqual(reason(TARGET, self.now - 0.09, 0.1), "")
        self.assertIn("expired", reason(TARGET, self.now - 0.11, 0.1))
        # The grant may have waited while the event loop was behind.
        self.lag_s = 0.05
        self.assertIn("expired", reason(TARGET, self.now - 0.09, 0.1))

    def test_a_request_is_withdrawn_when_its_target_became_cold(self):
        reason = self.notices.withdrawal_reason
        self.assertEqual(reason(TARGET, self.now, LIMITLESS), "")
        self.say(5.0)
        self.assertIn("cold", reason(TARGET, self.now - 0.2, LIMITLESS))
        # The scheduler learned of it before it granted the next request.
        self.now += 1.0
        self.assertEqual(reason(TARGET, self.now, LIMITLESS), "")


class WaitEstimateTest(unittest.TestCase):
    """Tests of the estimate of the wait while all targets are cold."""

    def estimate_s(self, now, *, ahead, fraction=1.0, resumes_in_s=LIMITLESS):
        cold, registry = ColdTargets(True), TargetRegistry()
        cold.configure(SERVICES, 0.0)
        targets = [TARGET._replace(id=f"t{n}", warmup_s=20.0) for n in range(2)]
        for target in targets:
            registry.put(target)
        cold.record_registrations(registry.all(), 0.0)
        rates = ColdRates(
            cold,
            ColdSettings(1.5, 5.0),
            lambda service: fraction,
            lambda service: resumes_in_s,
        )
        pacer = RequestPacer(
            TargetLimits(), lambda service: 1.0, [RequestSpacing(rates)]
        )
        for target in targets:
            pacer.wait_s(target, now - 0.5)
        queue = mock.Mock()
        queue.expected_wait_s.return_value = 0.0
        queue.mean_started_work_s.return_value = 0.02
        queue.count_ahead.return_value = ahead
        ticket = mock.Mock()
        ticket.demand.service = "svc"
        estimate = WaitEstimate(
            WaitEstimateParts(registry, pacer, lambda service: 1)
        )
        return estimate.expected_wait_s(queue, ticket, mock.Mock(), now)

    def test_requests_ahead_take_the_rates_of_all_targets(self):
        self.assertAlmostEqual(
            self.estimate_s(1.0, ahead=14), 14 / (2 * 8.475 / 1.2), places=2
        )

    def test_no_request_waits_longer_than_the_targets_are_cold(self):
        left_s = self.estimate_s(19.0, ahead=1000)
        self.assertAlmostEqual(left_s, 1.0 + RISE_S)

    def test_a_router_that_may_send_nothing_waits_for_the_end(self):
        left_s = self.estimate_s(5.0, ahead=0, fraction=0.0)
        self.assertAlmostEqual(left_s, 15.0 + RISE_S)

    def test_a_scheduler_that_takes_over_soon_sends_again(self):
        left_s = self.estimate_s(5.0, ahead=0, fraction=0.0, resumes_in_s=0.4)
        self.assertAlmostEqual(left_s, 0.4)


if __name__ == "__main__":
    unittest.main()
