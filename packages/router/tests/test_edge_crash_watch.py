"""Tests that distinguish crashes of targets from cuts and shutdowns."""

import unittest
from unittest import mock

from chervilwall.crash_ledger import CrashLedger
from chervilwall.crash_records import Crash
from chervilwall.crash_updates import CrashUpdates
from chervilwall.errors import DialError
from chervilwall.http_messages import ResponseHead
from chervilwall.in_flight import UNANSWERED_RETENTION_S
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall_router.edge import crash_watch as cw
from chervilwall_router.edge.crash_evidence import CrashWatchParts

T1 = RegisteredTarget("t1", "svc", "10.0.0.1:1", "z", 8, born_ms=1)
T2 = RegisteredTarget("t2", "svc", "10.0.0.2:1", "z", 8, born_ms=1)
REQUEST = b"request"
OTHER = b"other"


class CrashWatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 1000.0
        self.registry = TargetRegistry()
        self.probe = mock.AsyncMock()
        self.send_reports_now = mock.Mock()
        self.ledger = CrashLedger()
        self.watch = self.make_watch(self.ledger)
        for target in (T1, T2):
            self.registry.put(target)
            self.watch.record_registration(target)

    def make_watch(self, ledger, name="r0"):
        return cw.CrashWatch(
            CrashWatchParts(
                name=name,
                ledger=ledger,
                registry=self.registry,
                probe=self.probe,
                send_reports_now=self.send_reports_now,
                on_quarantine_change=lambda change: None,
                metrics=mock.MagicMock(),
                clock=lambda: self.now,
            )
        )

    def fail_probe(self, *, refused=True):
        self.probe.side_effect = DialError("no", refused=refused)

    def run_attempt(self, request=REQUEST, target=T1, *, answered=False):
        """Runs an attempt for one second, and returns it."""
        with self.watch.attempt(target, "r", (request,)) as attempt:
            self.now += 1.0
            attempt.answered = answered
        return attempt

    def count_crashes(self, request=REQUEST):
        return len(self.watch.status((request,)).crashes)

    async def test_a_target_that_outlives_its_answer_is_confirmed(self):
        with self.watch.attempt(T1, "r", (REQUEST,)) as attempt:
            self.assertTrue(await self.watch.confirm_serving(T1, attempt))
        self.assertEqual(self.count_crashes(), 0)

    async def test_a_target_that_ended_with_its_answer_has_crashed(self):
        self.fail_probe()
        with self.watch.attempt(T1, "r", (REQUEST,)) as attempt:
            self.assertFalse(await self.watch.confirm_serving(T1, attempt))
        self.assertEqual(self.count_crashes(), 1)

    async def test_a_target_that_falls_silent_is_not_confirmed(self):
        self.fail_probe(refused=False)
        with self.watch.attempt(T1, "r", (REQUEST,)) as attempt:
            self.assertFalse(await self.watch.confirm_serving(T1, attempt))
        self.assertEqual(self.count_crashes(), 0)

    async def test_another_start_at_the_address_confirms_nothing(self):
        with self.watch.attempt(T1, "r", (REQUEST,)) as attempt:
            self.registry.put(T1._replace(born_ms=2))
            self.assertFalse(await self.watch.confirm_serving(T1, attempt))

    async def check_change_during_probe(self, change):
        self.probe.side_effect = lambda target: change()
        with self.watch.attempt(T1, "r", (REQUEST,)) as attempt:
            self.assertFalse(await self.watch.confirm_serving(T1, attempt))

    async def test_a_start_that_takes_the_probe_confirms_nothing(self):
        await self.check_change_during_probe(
            lambda: self.registry.put(T1._replace(born_ms=2))
        )

    async def test_a_target_that_takes_the_address_confirms_nothing(self):
        other = T1._replace(id="t1+2", born_ms=2)

        def take_address():
            self.registry.put(other)
            self.watch.record_registration(other)

        await self.check_change_during_probe(take_address)

    async def test_a_crash_reported_during_the_probe_confirms_nothing(self):
        crash = Crash(T1.start, self.now, True, "r9")
        await self.check_change_during_probe(
            lambda: self.ledger.record_crash(crash, (REQUEST,), self.now)
        )

    async def test_a_leaving_target_that_is_gone_confirms_nothing(self):
        self.registry.put(T1._replace(draining=True))
        self.fail_probe()
        with self.watch.attempt(T1, "r", (REQUEST,)) as attempt:
            self.assertFalse(await self.watch.confirm_serving(T1, attempt))
        self.assertEqual(self.count_crashes(), 0)

    async def test_a_target_that_refuses_connections_has_crashed(self):
        self.fail_probe()
        await self.watch.examine(T1, self.run_attempt())
        self.assertEqual(self.count_crashes(), 1)
        self.send_reports_now.assert_called()

    async def test_a_target_that_takes_connections_has_not(self):
        await self.watch.examine(T1, self.run_attempt())
        self.assertEqual(self.count_crashes(), 0)

    async def test_a_target_that_cannot_be_reached_may_be_cut_off(self):
        self.fail_probe(refused=False)
        await self.watch.examine(T1, self.run_attempt())
        self.assertEqual(self.count_crashes(), 0)

    async def test_a_target_that_was_leaving_has_ended_as_planned(self):
        self.fail_probe()
        attempt = self.run_attempt()
        self.registry.put(T1._replace(draining=True))
        await self.watch.examine(T1, attempt)
        self.registry.remove("t1")
        await self.watch.examine(T1, attempt)
        self.probe.assert_not_awaited()
        draining = T1._replace(draining=True)
        self.watch.record_target_ended(draining, "removed", proven=False)
        self.assertEqual(self.count_crashes(), 0)

    async def test_all_that_was_in_flight_is_named_by_one_probe(self):
        self.fail_probe()
        with self.watch.attempt(T1, "o", (OTHER,)) as other:
            await self.watch.examine(T1, self.run_attempt())
        await self.watch.examine(T1, other)
        self.assertEqual(self.count_crashes(OTHER), 1)
        self.probe.assert_awaited_once()

    async def test_what_was_answered_there_before_is_not_named(self):
        self.fail_probe()
        self.run_attempt(OTHER, answered=True)
        await self.watch.examine(T1, self.run_attempt())
        self.assertEqual(self.count_crashes(OTHER), 0)

    async def test_a_target_that_answers_again_was_cut_off(self):
        self.fail_probe()
        await self.watch.examine(T1, self.run_attempt())
        self.watch.record_head(T1, ResponseHead(200), self.now + 0.1)
        self.assertEqual(self.count_crashes(), 0)

    def test_a_new_start_at_the_address_shows_a_crash(self):
        self.run_attempt()
        self.now += 3.0
        replacement = T2._replace(id="t3", address=T1.address, born_ms=5)
        self.watch.record_registration(replacement)
        self.assertEqual(self.count_crashes(), 1)
        # The later start proves the end of this one, so the crash is not
        # withdrawn.
        self.watch.record_head(T1, ResponseHead(200), self.now + 1)
        self.assertEqual(self.count_crashes(), 1)

    def test_a_list_that_names_old_and_new_starts_shows_no_other_crash(self):
        replacement = T2._replace(id="t3", address=T1.address, born_ms=5)
        self.watch.record_registration(replacement)
        self.run_attempt(target=replacement)
        for _ in range(2):
            for target in (replacement, T1):
                self.watch.record_registration(target)
        self.assertEqual(self.count_crashes(), 0)

    def test_an_address_of_a_target_that_said_it_leaves_shows_nothing(self):
        self.registry.record_leaving(T1.start, self.now)
        self.run_attempt()
        replacement = T2._replace(id="t3", address=T1.address, born_ms=5)
        self.watch.record_registration(replacement)
        self.assertEqual(self.count_crashes(), 0)

    def test_an_address_that_was_given_up_long_ago_shows_nothing(self):
        self.registry.remove("t1")
        self.watch.record_target_ended(T1, "removed", proven=False)
        self.run_attempt()
        self.now += UNANSWERED_RETENTION_S + 1
        self.watch.sweep()
        replacement = T2._replace(id="t3", address=T1.address, born_ms=5)
        self.watch.record_registration(replacement)
        self.assertEqual(self.count_crashes(), 0)

    def test_a_start_with_the_same_id_shows_a_crash(self):
        self.run_attempt()
        self.watch.record_target_ended(T1, "started anew", proven=True)
        self.assertEqual(self.count_crashes(), 1)

    def test_a_registration_that_vanishes_names_what_fell_silent(self):
        self.run_attempt()
        with self.watch.attempt(T1, "o", (OTHER,)):
            self.now += 3.0
            self.watch.record_target_ended(T1, "removed", proven=False)
            # The target may still be serving, as during a graceful shutdown.
            self.assertEqual(self.count_crashes(OTHER), 0)
        self.assertEqual(self.count_crashes(), 1)

    def test_another_target_at_the_address_shows_a_crash(self):
        self.run_attempt()
        with self.watch.attempt(T1, "o", (OTHER,)) as attempt:
            self.watch.record_head(T1, ResponseHead(421), attempt.begun_at)
            attempt.answered = True
        self.assertEqual(self.count_crashes(), 1)
        self.assertEqual(self.count_crashes(OTHER), 0)

    def test_a_target_that_answered_since_did_not_crash_under_it(self):
        self.run_attempt()
        self.watch.record_head(T1, ResponseHead(200), self.now + 0.1)
        self.now += 1.0
        self.watch.record_target_ended(T1, "started anew", proven=True)
        self.assertEqual(self.count_crashes(), 0)

    def test_a_refusal_that_a_peer_met_names_what_was_silent_here(self):
        peer_ledger = CrashLedger()
        peer = self.make_watch(peer_ledger, "r1")
        self.run_attempt()
        self.now += 0.3
        peer.record_connection_refused(T1)
        updates = peer_ledger.pending_updates(self.now, quarantined_only=True)
        self.watch.apply_updates("r1", updates)
        self.assertEqual(self.count_crashes(), 1)

    def test_a_request_that_is_answered_is_let_go(self):
        for target in (T1, T2):
            self.run_attempt(target=target)
            self.watch.record_target_ended(target, "started anew", proven=True)
        self.assertTrue(self.watch.status((REQUEST,)).is_quarantined)
        self.watch.record_success((REQUEST,))
        self.assertEqual(self.count_crashes(), 0)

    def test_what_another_attempt_answered_is_not_named_later(self):
        self.run_attempt()
        self.run_attempt(target=T2, answered=True)
        self.watch.record_success((REQUEST,))
        self.watch.record_target_ended(T1, "started anew", proven=True)
        self.assertEqual(self.count_crashes(), 0)

    def test_no_news_is_no_trouble(self):
        self.watch.apply_updates("r1", CrashUpdates())
        self.assertEqual(self.count_crashes(), 0)


if __name__ == "__main__":
    unittest.main()
