"""Tests of the rates at which routers may send requests to cold targets."""

import math
import random
import unittest

from chervilwall.cold_rates import (
    GRANT_TTL_S,
    MAX_DELAY_S,
    ColdRates,
    ColdSettings,
    sending_rate_per_s,
)
from chervilwall.cold_targets import RISE_S, ColdTargets
from chervilwall.registry import RegisteredTarget
from chervilwall.request_pacer import RequestPacer, RequestSpacing
from chervilwall.routing import Service
from chervilwall.target_limits import TargetLimits

SETTINGS = ColdSettings(rate_factor=1.5, slack=5.0)
COLD_S = 60.0
TARGET = RegisteredTarget("t1", "svc", "a:1", "z", 8, warmup_s=COLD_S)


def make_pacer(per_s, fraction=1.0, settings=SETTINGS, **options):
    cold = ColdTargets(True)
    service = Service("svc", cold_time_s=COLD_S, cold_rate_per_s=per_s)
    cold.configure({"svc": service}, 0.0)
    cold.record_registrations({TARGET.id: TARGET}, 0.0)
    rates = ColdRates(cold, settings, lambda service: fraction, **options)
    spacing = RequestSpacing(rates)
    return RequestPacer(TargetLimits(), lambda service: 1.0, [spacing]), cold


def send_all(pacer, begin, end, step_s=0.005):
    """Sends whenever it is allowed; returns the times."""
    times = []
    for tick in range(round((end - begin) / step_s)):
        now = begin + tick * step_s
        if pacer.wait_s(TARGET, now) <= 0:
            pacer.record_sent(TARGET, now)
            times.append(now)
    return times


def bunched(times, second):
    """Delays requests so that as many as possible fall into one second."""
    return sum(
        second <= at < second + 1.0 or second - MAX_DELAY_S <= at < second
        for at in times
    )


class ColdRatesTest(unittest.TestCase):
    def test_two_schedulers_with_late_requests_stay_within_the_bound(self):
        # Guards against constants that leave no room for two schedulers, or for
        # requests that are sent at any time within MAX_DELAY_S of their grants.
        for per_s in (0.1, 1.0, 2.0, 4.0, 5.0, 7.6, 9.3, 20.0, 100.0):
            bound = per_s * SETTINGS.rate_factor + SETTINGS.slack
            first, second = make_pacer(per_s)[0], make_pacer(per_s)[0]
            sent = send_all(first, 0.0, 20.0) + send_all(second, 0.031, 20.0)
            most = max(bunched(sent, at) for at in sent)
            self.assertLessEqual(most, bound, per_s)

    def test_parts_of_a_fleet_stay_within_the_bound(self):
        rng = random.Random(3)
        for _ in range(200):
            per_s = rng.uniform(0.5, 40.0)
            settings = ColdSettings(
                rate_factor=rng.uniform(0.5, 2.0), slack=rng.uniform(0.0, 8.0)
            )
            cuts = sorted(rng.random() for _ in range(rng.randrange(6)))
            bounds = zip([0.0, *cuts], [*cuts, 1.0], strict=True)
            parts = [end - begin for begin, end in bounds]
            requests = 0.0
            for part in parts:
                fraction = 1.0 if part > 0.5 else part
                rate = sending_rate_per_s(per_s, settings, fraction)
                if rate > 0:
                    requests += math.floor((1.0 + MAX_DELAY_S) * rate) + 1
            bound = per_s * settings.rate_factor + settings.slack
            self.assertLessEqual(requests, bound)

    def test_one_scheduler_uses_most_of_what_is_tolerated(self):
        for per_s in (1.0, 7.6, 9.3):
            sent = send_all(make_pacer(per_s)[0], 0.0, 20.0)
            self.assertGreater(len(sent), 0.7 * per_s * 20.0)
            self.assertLessEqual(len(sent), per_s * 20.0 + 1)

    def test_no_minimum_rate_applies(self):
        for per_s, fraction in ((9.3, 0.0), (9.3, 0.02), (0.1, 0.1)):
            pacer, _ = make_pacer(per_s, fraction)
            self.assertEqual(pacer.rate_per_s(TARGET, 1.0), 0.0)
            self.assertEqual(send_all(pacer, 1.0, 50.0), [])

    def test_a_router_that_may_send_nothing_waits_until_the_target_is_warm(
        self,
    ):
        pacer, _ = make_pacer(9.3, 0.0)
        self.assertEqual(pacer.wait_s(TARGET, 10.0), COLD_S + RISE_S - 10.0)
        self.assertGreater(pacer.idle_s(TARGET, 0.1, 10.0), 1.0)
        # A scheduler that has just taken over soon may.
        pacer, _ = make_pacer(9.3, 0.0, resumes_in_s=lambda service: 0.5)
        self.assertEqual(pacer.wait_s(TARGET, 10.0), 0.5)

    def test_requests_that_were_not_sent_free_no_room(self):
        # Guards against grants that follow each other at once after the reports
        # of several requests that were not sent.
        pacer, _ = make_pacer(9.3)
        sent = send_all(pacer, 0.0, 5.0)
        wait_s = pacer.wait_s(TARGET, 5.0)
        for _ in sent[-4:]:
            pacer.record_not_sent(TARGET, 5.0)
        self.assertEqual(pacer.wait_s(TARGET, 5.0), wait_s)

    def test_requests_after_a_pause_do_not_follow_each_other_at_once(self):
        pacer, _ = make_pacer(9.3)
        last = send_all(pacer, 0.0, 2.0)[-1]
        # Shorter than the pause after which a scheduler begins anew.
        self.assertEqual(len(send_all(pacer, last + 0.8, last + 0.9)), 1)

    def test_a_pause_and_a_restart_of_the_target_allow_no_burst(self):
        pacer, cold = make_pacer(9.3)
        send_all(pacer, 0.0, 2.0)
        sent = send_all(pacer, 10.0, 11.0)
        self.assertLessEqual(len(sent), 9)
        pacer.forget(TARGET.id)
        new = TARGET._replace(born_ms=9, warmup_s=30.0)
        cold.record_registrations({new.id: new}, 11.0)
        self.assertGreater(sent[-1] + 0.3, 11.0)
        self.assertLessEqual(len(send_all(pacer, 11.0, 12.0)), 9)

    def test_grants_of_cold_targets_expire(self):
        pacer, cold = make_pacer(9.3)
        self.assertEqual(pacer.max_send_delay_s(TARGET, 1.0), GRANT_TTL_S)
        self.assertLess(GRANT_TTL_S, MAX_DELAY_S)
        cold.pop_changes(COLD_S + RISE_S)
        self.assertEqual(
            pacer.max_send_delay_s(TARGET, COLD_S + RISE_S), math.inf
        )

    def test_the_rate_rises_after_the_cold_time(self):
        # Guards against a wave of what has waited for the end of it.
        pacer, cold = make_pacer(9.3)
        send_all(pacer, COLD_S - 2.0, COLD_S)
        rise = send_all(pacer, COLD_S, COLD_S + RISE_S)
        counts = [
            sum(COLD_S + n / 2 <= at < COLD_S + (n + 1) / 2 for at in rise)
            for n in range(4)
        ]
        self.assertLessEqual(counts[0], 10)
        self.assertEqual(counts, sorted(counts))
        self.assertIsNone(pacer.rate_per_s(TARGET, COLD_S + RISE_S))
        cold.pop_changes(COLD_S + RISE_S)
        self.assertTrue(pacer.is_idle)

    def test_a_limit_that_the_target_names_holds_as_well(self):
        cold = make_pacer(9.3)[1]
        limits = TargetLimits()
        limits.record_answer(TARGET.start, 2.0, 0.0, 0.0)
        rates = ColdRates(cold, SETTINGS, lambda service: 1.0)
        pacer = RequestPacer(
            limits, lambda service: 1.0, [RequestSpacing(rates)]
        )
        self.assertEqual(pacer.rate_per_s(TARGET, 1.0), 2.0)
        sent = send_all(pacer, 0.0, 10.0)
        self.assertLessEqual(len(sent), 22)
        self.assertEqual(pacer.ends_in_s(TARGET, 1.0), math.inf)


if __name__ == "__main__":
    unittest.main()
