"""Tests of which targets are cold, and from which source that is known."""

import unittest

from chervilwall.cold_targets import (
    MAX_COLD_S,
    MAX_REPORTED,
    RISE_S,
    ColdSource,
    ColdTargets,
)
from chervilwall.registry import RegisteredTarget
from chervilwall.routing import Service

TARGET = RegisteredTarget("t1", "svc", "a:1", "z", 8, born_ms=5)
COLD_START_S = 20.0
SERVICES = {
    "svc": Service("svc", cold_time_s=COLD_START_S, cold_rate_per_s=9.3),
    "never": Service("never", cold_time_s=COLD_START_S, cold_rate_per_s=0.0),
}


class ColdTargetsTest(unittest.TestCase):
    def setUp(self):
        self.cold = ColdTargets(True)
        self.cold.configure(SERVICES, 0.0)

    def register(self, now, warmup_s=0.0, **fields):
        target = TARGET._replace(warmup_s=warmup_s, **fields)
        self.cold.record_registrations({target.id: target}, now)
        return target

    def until(self):
        """Returns the end of the cold time, None if the target is warm."""
        return self.cold.cold_end(TARGET)

    def test_a_registration_states_the_cold_time(self):
        self.register(100.0, 12.0)
        self.assertTrue(self.cold.is_cold(TARGET, 111.9))
        self.assertFalse(self.cold.is_cold(TARGET, 112.0))

    def test_a_warm_target_is_not_limited(self):
        self.register(100.0)
        self.assertTrue(self.cold.is_empty)
        self.assertFalse(self.cold.is_cold(TARGET, 100.0))

    def test_a_registration_that_is_read_again_says_nothing_new(self):
        # Guards against a target that stays cold for as long as the list of
        # registrations is read every two seconds.
        self.register(100.0, 12.0)
        self.register(110.0, 12.0)
        self.assertEqual(self.until(), 112.0)

    def test_a_changed_registration_of_the_same_start_counts(self):
        self.register(100.0, 12.0)
        self.register(101.0, 3.0)
        self.assertEqual(self.until(), 104.0)
        self.register(102.0, 30.0)
        self.assertEqual(self.until(), 132.0)

    def test_a_failed_connection_counts_from_each_failure(self):
        target = self.register(100.0)
        self.cold.record_unreachable(target, 101.0)
        self.assertEqual(self.until(), 101.0 + COLD_START_S)
        self.cold.record_unreachable(target, 103.0)
        self.assertEqual(self.until(), 103.0 + COLD_START_S)

    def test_a_registration_of_the_same_start_ends_no_assumption(self):
        # It may have been written before the connection failed.
        target = self.register(100.0, 1.0)
        self.cold.record_unreachable(target, 101.0)
        self.register(102.0, 0.0)
        self.assertEqual(self.until(), 101.0 + COLD_START_S)

    def test_a_new_start_replaces_what_was_assumed(self):
        target = self.register(100.0)
        self.cold.record_unreachable(target, 101.0)
        self.register(102.0, 0.0, born_ms=9)
        self.assertIsNone(self.until())
        self.register(103.0, 4.0, born_ms=12)
        self.assertEqual(self.until(), 107.0)

    def test_a_failure_after_the_new_registration_counts_for_it(self):
        old = self.register(100.0)
        self.register(102.0, 0.0, born_ms=9)
        self.cold.record_unreachable(old, 103.0)
        self.assertEqual(self.until(), 103.0 + COLD_START_S)

    def test_a_failure_at_an_earlier_address_says_nothing(self):
        # Guards against a warm target that is limited because a request was
        # granted, or is probed, at the address of its earlier start.
        old = self.register(100.0)
        self.register(101.0, born_ms=9, address="a:2")
        self.assertFalse(self.cold.record_unreachable(old, 102.0))
        self.assertIsNone(self.until())

    def test_a_target_that_comes_back_under_its_id_is_cold_before_it_registers(
        self,
    ):
        target = self.register(100.0)
        self.cold.record_unreachable(target, 101.0)
        self.cold.record_registrations({}, 101.5)
        self.assertTrue(self.cold.is_cold(target, 102.0))

    def test_a_returned_zone_is_cold_until_a_new_start_registers(self):
        target = self.register(100.0)
        other = TARGET._replace(id="t2", service="never")
        self.cold.record_zone_returned([target, other], 101.0)
        self.assertEqual(self.until(), 101.0 + COLD_START_S)
        self.assertFalse(self.cold.is_cold(other, 102.0))
        self.register(102.0, 0.0, born_ms=9)
        self.assertIsNone(self.until())

    def test_a_response_states_the_cold_time(self):
        target = self.register(100.0)
        self.assertTrue(self.cold.record_response(target, 8.0, 100.5, 101.0))
        self.assertEqual(self.until(), 109.0)
        # A later one shortens it, and 0 ends it.
        self.cold.record_response(target, 2.0, 102.0, 102.1)
        self.assertEqual(self.until(), 104.1)
        self.assertTrue(self.cold.record_response(target, 0.0, 103.0, 103.1))
        self.assertFalse(self.cold.is_cold(target, 103.2))

    def test_a_response_to_an_earlier_request_shortens_nothing(self):
        # Its target may have failed after it had answered.
        target = self.register(100.0)
        self.cold.record_unreachable(target, 101.0)
        self.cold.record_response(target, 0.0, 100.9, 101.5)
        self.assertEqual(self.until(), 101.0 + COLD_START_S)
        self.cold.record_response(target, 0.0, 101.1, 102.0)
        self.assertFalse(self.cold.is_cold(target, 102.0))

    def test_what_is_learned_after_a_grant_is_told_from_what_was_known(self):
        # Guards against routers that return grants for as long as they believe
        # that a target is cold, because they read its registration later than
        # the scheduler.
        target = self.register(100.0, 12.0)
        self.assertTrue(self.cold.has_learned_since(target, 99.9, 101.0))
        self.assertFalse(self.cold.has_learned_since(target, 100.5, 101.0))
        # A repeated statement is no news, a longer time is.
        self.cold.record_response(target, 9.1, 102.5, 103.0)
        self.assertFalse(self.cold.has_learned_since(target, 102.9, 103.0))
        self.cold.record_unreachable(target, 104.0)
        self.assertTrue(self.cold.has_learned_since(target, 103.9, 104.0))
        self.assertFalse(self.cold.has_learned_since(target, 0.0, 124.0))

    def test_a_response_of_an_earlier_start_shortens_nothing(self):
        old = self.register(100.0)
        new = self.register(101.0, 10.0, born_ms=9)
        self.cold.record_response(old, 0.0, 101.5, 102.0)
        self.assertTrue(self.cold.is_cold(new, 102.0))

    def test_a_response_without_a_statement_says_nothing(self):
        target = self.register(100.0, 10.0)
        self.assertFalse(self.cold.record_response(target, None, 101.0, 102.0))
        self.assertEqual(self.until(), 110.0)

    def test_a_stated_time_is_bounded(self):
        target = self.register(100.0)
        self.cold.record_response(target, 1e9, 100.5, 101.0)
        self.assertEqual(self.until(), 101.0 + MAX_COLD_S)

    def test_targets_of_services_that_are_never_cold_are_not_limited(self):
        target = self.register(100.0, 12.0, service="never")
        self.cold.record_unreachable(target, 101.0)
        self.cold.record_response(target, 8.0, 101.0, 101.0)
        self.assertTrue(self.cold.is_empty)

    def test_a_configuration_that_changes_the_service_counts_at_once(self):
        self.register(100.0, 12.0)
        self.cold.configure({"svc": Service("svc")}, 101.0)
        self.assertTrue(self.cold.is_empty)
        self.cold.configure(SERVICES, 102.0)
        self.assertTrue(self.cold.is_cold(TARGET, 103.0))

    def test_without_settings_nothing_is_recorded(self):
        self.cold = ColdTargets(False)
        self.cold.configure(SERVICES, 0.0)
        target = self.register(100.0, 12.0)
        self.cold.record_unreachable(target, 101.0)
        self.cold.record_zone_returned([target], 101.0)
        self.cold.record_response(target, 8.0, 101.0, 101.0)
        self.assertTrue(self.cold.is_empty)
        self.assertEqual(self.cold.take_report(101.0), ())
        self.assertEqual(self.cold.services(), [])

    def test_changes_are_listed_once(self):
        target = self.register(100.0, 12.0)
        (change,) = self.cold.pop_changes(100.0)
        self.assertEqual(
            (change.target_id, change.source, change.remaining_s),
            (target.id, ColdSource.REGISTRATION, 12.0),
        )
        self.assertEqual(self.cold.pop_changes(105.0), [])
        (change,) = self.cold.pop_changes(112.5)
        self.assertFalse(change.is_cold)
        self.assertFalse(self.cold.is_empty)
        self.assertEqual(self.cold.pop_changes(112.0 + RISE_S), [])
        self.assertTrue(self.cold.is_empty)


class ExchangeTest(unittest.TestCase):
    """Tests of what routers tell each other."""

    def setUp(self):
        self.here, self.there = ColdTargets(True), ColdTargets(True)
        for cold in (self.here, self.there):
            cold.configure(SERVICES, 0.0)
            cold.record_registrations({TARGET.id: TARGET}, 100.0)

    def exchange(self, now):
        stated = self.here.take_report(now)
        for item in stated:
            self.there.record_stated(item, now + 0.01)
        return stated

    def test_what_a_response_states_is_reported_twice(self):
        self.here.record_response(TARGET, 8.0, 101.0, 101.1)
        self.assertEqual(len(self.exchange(101.2)), 1)
        self.assertAlmostEqual(self.there.cold_end(TARGET), 109.1, places=1)
        self.assertEqual(len(self.exchange(101.4)), 1)
        self.assertEqual(self.exchange(101.6), ())

    def test_a_response_that_ends_the_cold_time_is_reported(self):
        self.here.record_response(TARGET, 8.0, 101.0, 101.1)
        self.exchange(101.2)
        self.here.record_response(TARGET, 0.0, 102.0, 102.1)
        self.exchange(102.2)
        self.assertFalse(self.there.is_cold(TARGET, 102.3))

    def test_a_failure_is_reported_and_ends_no_other_assumption(self):
        self.here.record_unreachable(TARGET, 101.0)
        self.there.record_unreachable(TARGET, 102.0)
        self.exchange(103.0)
        self.assertEqual(self.there.cold_end(TARGET), 102.0 + COLD_START_S)

    def test_an_older_statement_does_not_undo_a_newer_response(self):
        # Guards against a warm target that is limited again whenever a router
        # repeats an assumption that a response has ended elsewhere, as each one
        # does when a router starts.
        self.here.record_unreachable(TARGET, 101.0)
        self.exchange(101.1)
        self.there.record_response(TARGET, 0.0, 102.0, 102.1)
        self.exchange(102.5)
        self.here.report_all(105.0)
        self.assertEqual(len(self.exchange(105.0)), 1)
        self.assertFalse(self.there.is_cold(TARGET, 105.1))

    def test_a_statement_that_overtook_another_one_counts(self):
        # Guards against a target that just became cold and counts as warm, as
        # an earlier response of it was read later elsewhere.
        self.there.record_unreachable(TARGET, 100.5)
        self.here.record_response(TARGET, 8.0, 101.0, 101.1)
        self.there.record_response(TARGET, 0.0, 101.0, 101.2)
        self.exchange(101.2)
        self.assertTrue(self.there.is_cold(TARGET, 101.3))

    def test_registrations_and_zones_are_not_reported(self):
        # Each router learns of them itself.
        self.here.record_registrations(
            {TARGET.id: TARGET._replace(warmup_s=9.0)}, 101.0
        )
        self.here.record_zone_returned([TARGET], 101.0)
        self.assertEqual(self.exchange(101.0), ())

    def test_a_router_that_starts_is_told_of_all_cold_targets(self):
        self.here.record_zone_returned([TARGET], 101.0)
        self.here.report_all(102.0)
        self.exchange(102.0)
        self.assertTrue(self.there.is_cold(TARGET, 103.0))

    def test_all_targets_are_stated_once_before_any_is_repeated(self):
        # Guards against a router that starts as a large zone returns, and is
        # informed about the last targets after repetitions of the first ones.
        targets = [TARGET._replace(id=f"t{n}") for n in range(MAX_REPORTED + 8)]
        self.here.record_zone_returned(targets, 101.0)
        self.here.report_all(102.0)
        stated = [*self.exchange(102.0), *self.exchange(102.25)]
        self.assertEqual(
            {item.start.target_id for item in stated}, {t.id for t in targets}
        )
        self.assertEqual(len(self.exchange(102.5)), len(targets) - 24)
        self.assertEqual(self.exchange(102.75), ())

    def test_hubs_report_few_of_the_changes_to_all(self):
        # Guards against statements to hundreds of routers at each attempt to
        # connect to each target of a zone that is down.
        self.here.record_unreachable(TARGET, 101.0)
        self.exchange(101.0)
        hub = self.there
        self.assertEqual(len(hub.take_report_to_all(101.2)), 1)
        self.assertEqual(hub.take_report_to_all(101.4), ())
        for now in (102.0, 104.0, 106.0, 108.0):
            self.here.record_unreachable(TARGET, now)
            self.exchange(now)
            self.assertEqual(hub.take_report_to_all(now), ())
        self.here.record_unreachable(TARGET, 110.0)
        self.exchange(110.0)
        self.assertEqual(len(hub.take_report_to_all(110.2)), 1)
        hub.record_response(TARGET, 0.0, 111.0, 111.1)
        (stated,) = hub.take_report_to_all(111.2)
        self.assertEqual(stated.remaining_ms, 0)

    def test_a_statement_about_an_earlier_start_is_ignored(self):
        self.here.record_unreachable(TARGET, 101.0)
        new = TARGET._replace(born_ms=9)
        self.there.record_registrations({new.id: new}, 101.5)
        self.exchange(102.0)
        self.assertFalse(self.there.is_cold(new, 102.5))


if __name__ == "__main__":
    unittest.main()
