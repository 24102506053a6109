"""Tests of the scheduler of a cell, with its quarantine and ejection."""

import unittest

from chervilwall import cell_messages, scheduler
from chervilwall.cell_messages import (
    Done,
    Enqueue,
    Grant,
    Refuse,
    RunningItem,
    Sync,
)
from chervilwall.config import (
    TARGET_LEAVING,
    Config,
    RequestClass,
    Service,
    Target,
    Team,
)
from chervilwall.quarantine import Quarantine
from chervilwall.scheduler import CellScheduler, SchedulerSettings
from chervilwall.trial_pauses import CRASHES_TO_REFUSE, TRIAL_PAUSES_S

CELL = "svc#0"


def make_config(targets=2, slots=2, measure="work"):
    return Config(
        teams=tuple(Team(name, 1.0) for name in "ab"),
        services=(Service("svc", measure),),
        classes=(RequestClass("c", "svc", "/", worth=2.0),),
        targets=tuple(
            Target(f"t{i}", "svc", f"10.0.0.{i}:80", f"az{i}", slots)
            for i in range(targets)
        ),
    )


def make_scheduler(config=None, **settings):
    config = config or make_config()
    cell_scheduler = CellScheduler(
        CELL, "svc", Quarantine(), SchedulerSettings(**settings)
    )
    cell_scheduler.configure(config, config.targets)
    return cell_scheduler


def enqueue(
    req_id, team="a", deadline_left_s=100.0, fingerprint=None, exclude=()
):
    digest = fingerprint or req_id.to_bytes(8, "big")
    return Enqueue(
        req_id, CELL, team, "c", deadline_left_s, 10.0, digest, 0, exclude
    )


def done(req_id, target, outcome=cell_messages.OUTCOME_COMPLETED, cost=10.0):
    return Done(req_id, CELL, target, outcome, cost, 0.1)


def grants(envelopes):
    found = [e.message for e in envelopes if isinstance(e.message, Grant)]
    return {g.req_id: g.target for g in found}


def refusals(envelopes):
    found = [e.message for e in envelopes if isinstance(e.message, Refuse)]
    return {r.req_id: r.reason for r in found}


class SchedulerTest(unittest.TestCase):
    def test_no_slot_idles_while_work_waits(self):
        cell_scheduler = make_scheduler()
        granted = {}
        for req_id in range(1, 7):
            granted |= grants(
                cell_scheduler.enqueue("r1", enqueue(req_id), 0.0)
            )
        self.assertEqual(len(granted), 4)
        self.assertEqual(sorted(granted.values()), ["t0", "t0", "t1", "t1"])
        out = cell_scheduler.finish("r1", done(1, granted[1]), 1.0)
        self.assertEqual(list(grants(out)), [5])

    def test_a_repeated_enqueue_gets_the_same_grant(self):
        cell_scheduler = make_scheduler()
        first = grants(cell_scheduler.enqueue("r1", enqueue(1), 0.0))
        second = grants(cell_scheduler.enqueue("r1", enqueue(1), 0.1))
        self.assertEqual(first, second)
        self.assertEqual(len(cell_scheduler.slots), 1)

    def test_a_leaving_target_gets_nothing(self):
        config = make_config()
        cell_scheduler = make_scheduler(config)
        targets = [
            t._replace(state=TARGET_LEAVING) if t.name == "t0" else t
            for t in config.targets
        ]
        cell_scheduler.configure(config, targets)
        granted = {}
        for req_id in range(1, 5):
            granted |= grants(
                cell_scheduler.enqueue("r1", enqueue(req_id), 0.0)
            )
        self.assertEqual(set(granted.values()), {"t1"})

    def test_without_any_target_all_are_refused_at_once(self):
        config = make_config(1, 1)
        cell_scheduler = make_scheduler(config)
        cell_scheduler.enqueue("r1", enqueue(1), 0.0)
        cell_scheduler.enqueue("r1", enqueue(2), 0.0)
        leaving = config.targets[0]._replace(state=TARGET_LEAVING)
        cell_scheduler.configure(config, [leaving])
        out = cell_scheduler.tick(0.1)
        self.assertEqual(refusals(out), {2: scheduler.REASON_NO_TARGET})
        out = cell_scheduler.enqueue("r1", enqueue(3), 0.2)
        self.assertEqual(refusals(out), {3: scheduler.REASON_NO_TARGET})

    def test_a_handover_keeps_the_order_of_teams_and_what_was_learned(self):
        old, new = make_scheduler(), make_scheduler()
        for req_id in range(8):
            team = "a" if req_id < 6 else "b"
            old.enqueue("r1", enqueue(req_id, team), 0.0)
        old.finish("r1", done(0, "t0", cost=40.0), 2.0)
        for req_id in range(1, 8):
            team = "a" if req_id < 6 else "b"
            new.enqueue("r1", enqueue(req_id, team), 3.0)
        new.apply_handover(old.make_handover())
        lead = new.queue.counter("a") - new.queue.counter("b")
        old_lead = old.queue.counter("a") - old.queue.counter("b")
        self.assertAlmostEqual(lead, old_lead)
        self.assertEqual(
            new.make_handover().estimates, old.make_handover().estimates
        )

    def test_what_cannot_make_its_deadline_is_refused_at_once(self):
        cell_scheduler = make_scheduler(make_config(targets=1, slots=1))
        cell_scheduler.enqueue("r1", enqueue(1), 0.0)
        cell_scheduler.finish("r1", done(1, "t0"), 10.0)
        cell_scheduler.enqueue("r1", enqueue(2), 10.0)
        cell_scheduler.enqueue("r1", enqueue(3), 10.0)
        out = cell_scheduler.enqueue(
            "r1", enqueue(4, deadline_left_s=5.0), 10.0
        )
        self.assertEqual(refusals(out), {4: scheduler.REASON_DEADLINE})
        self.assertGreaterEqual(out[0].message.retry_after_s, 1.0)

    def test_queues_are_bounded_by_team(self):
        cell_scheduler = make_scheduler(make_config(1, 1), max_depth=3)
        for req_id in range(1, 5):
            cell_scheduler.enqueue("r1", enqueue(req_id), 0.0)
        out = cell_scheduler.enqueue("r1", enqueue(5), 0.0)
        self.assertEqual(refusals(out), {5: scheduler.REASON_QUEUE_FULL})
        self.assertFalse(
            refusals(cell_scheduler.enqueue("r2", enqueue(6, "b"), 0.0))
        )

    def test_expired_requests_are_refused(self):
        cell_scheduler = make_scheduler(make_config(1, 1))
        cell_scheduler.enqueue("r1", enqueue(1), 0.0)
        cell_scheduler.enqueue("r1", enqueue(2, deadline_left_s=3.0), 0.0)
        self.assertFalse(refusals(cell_scheduler.tick(2.9)))
        self.assertEqual(list(refusals(cell_scheduler.tick(3.1))), [2])

    def test_a_lost_router_gives_its_slots_back(self):
        cell_scheduler = make_scheduler(make_config(1, 2))
        cell_scheduler.enqueue("r1", enqueue(1), 0.0)
        cell_scheduler.enqueue("r1", enqueue(2), 0.0)
        cell_scheduler.enqueue("r1", enqueue(3), 0.0)
        cell_scheduler.enqueue("r2", enqueue(4), 0.0)
        lost, out = cell_scheduler.drop_router("r1", 1.0)
        self.assertEqual([run.req_id for run in lost], [1, 2])
        self.assertEqual(list(grants(out)), [4])

    def test_a_new_scheduler_learns_what_runs_and_waits(self):
        cell_scheduler = make_scheduler(make_config(1, 2))
        running = RunningItem(1, "t0", "a", "c", 10.0, b"x")
        out = cell_scheduler.sync("r1", Sync(CELL, (2, 3), (running,)), 0.0)
        self.assertEqual(
            out[0].message, cell_messages.UnknownRequests(CELL, (2, 3))
        )
        self.assertEqual(cell_scheduler.slots.in_flight("t0"), 1)
        out = cell_scheduler.enqueue("r1", enqueue(2), 0.0)
        out += cell_scheduler.enqueue("r1", enqueue(3), 0.0)
        self.assertEqual(list(grants(out)), [2])

    def test_a_lost_grant_is_sent_again_and_a_lost_end_is_noticed(self):
        cell_scheduler = make_scheduler(make_config(1, 1), sync_grace_s=2.0)
        cell_scheduler.enqueue("r1", enqueue(1), 0.0)
        out = cell_scheduler.sync("r1", Sync(CELL, (1,), ()), 1.0)
        self.assertEqual(grants(out), {1: "t0"})
        cell_scheduler.enqueue("r1", enqueue(2), 1.0)
        out = cell_scheduler.sync("r1", Sync(CELL, (2,), ()), 3.0)
        self.assertEqual(grants(out), {2: "t0"})

    def test_foreign_load_takes_room_until_it_is_old(self):
        cell_scheduler = make_scheduler(make_config(1, 2))
        cell_scheduler.record_load("t0", 2, 0.0)
        self.assertFalse(grants(cell_scheduler.enqueue("r1", enqueue(1), 0.0)))
        self.assertTrue(grants(cell_scheduler.tick(11.0)))

    def test_long_requests_are_charged_while_they_run(self):
        cell_scheduler = make_scheduler(make_config(1, 2))
        cell_scheduler.enqueue("r1", enqueue(1), 0.0)
        cell_scheduler.finish("r1", done(1, "t0", cost=10.0), 1.0)
        cell_scheduler.enqueue("r1", enqueue(2, "b"), 1.0)
        before = cell_scheduler.queue.counter("b")
        cell_scheduler.tick(11.0)
        self.assertAlmostEqual(cell_scheduler.queue.counter("b") - before, 90.0)
        cell_scheduler.finish("r1", done(2, "t0", cost=100.0), 11.0)
        self.assertAlmostEqual(cell_scheduler.queue.counter("b") - before, 90.0)

    def test_worth_is_counted_for_completed_requests_only(self):
        cell_scheduler = make_scheduler(make_config(measure="worth"))
        cell_scheduler.enqueue("r1", enqueue(1), 0.0)
        charged = cell_scheduler.queue.counter("a")
        cell_scheduler.finish(
            "r1", done(1, "t0", cell_messages.OUTCOME_BROKEN, -1.0), 1.0
        )
        self.assertLess(cell_scheduler.queue.counter("a"), charged)


class QuarantineTest(unittest.TestCase):
    def report_crash(self, cell_scheduler, req_id, target, now, router="r1"):
        end = done(req_id, target, cell_messages.OUTCOME_BROKEN, -1.0)
        return cell_scheduler.finish(router, end, now)

    def test_the_second_crash_refuses_a_request_through_any_router(self):
        cell_scheduler = make_scheduler(make_config(4, 2))
        first = grants(
            cell_scheduler.enqueue("r1", enqueue(1, fingerprint=b"k"), 0.0)
        )
        self.report_crash(cell_scheduler, 1, first[1], 1.0)
        repeat = enqueue(2, fingerprint=b"k", exclude=(first[1],))
        second = grants(cell_scheduler.enqueue("r2", repeat, 1.0))
        self.assertNotEqual(second[2], first[1])
        self.report_crash(cell_scheduler, 2, second[2], 2.0, "r2")
        out = cell_scheduler.enqueue("r3", enqueue(3, fingerprint=b"k"), 3.0)
        self.assertEqual(refusals(out), {3: scheduler.REASON_CRASHED_TARGETS})

    def test_suspects_run_apart_and_a_success_clears_them(self):
        cell_scheduler = make_scheduler(make_config(4, 2))
        granted = {}
        for req_id in range(1, 9):
            granted |= grants(
                cell_scheduler.enqueue("r1", enqueue(req_id), 0.0)
            )
        suspects = [r for r, t in granted.items() if t == "t0"]
        for req_id in granted:
            if req_id not in suspects:
                cell_scheduler.finish("r1", done(req_id, granted[req_id]), 1.0)
        for req_id in suspects:
            self.report_crash(cell_scheduler, req_id, "t0", 2.0)
        regranted = {}
        for req_id in suspects:
            regranted |= grants(
                cell_scheduler.enqueue("r1", enqueue(req_id), 2.0)
            )
        self.assertEqual(len(set(regranted.values())), len(suspects))
        self.assertNotIn("t0", regranted.values())
        for req_id, target in regranted.items():
            cell_scheduler.finish("r1", done(req_id, target), 3.0)
        out = cell_scheduler.enqueue(
            "r1", enqueue(99, fingerprint=bytes(8)), 3.0
        )
        self.assertFalse(refusals(out))

    def test_a_crash_on_a_failing_target_is_not_laid_to_a_suspect(self):
        cell_scheduler = make_scheduler(make_config(1, 4))
        for req_id in (1, 2):
            cell_scheduler.enqueue("r1", enqueue(req_id), 0.0)
        for req_id in (1, 2):
            self.report_crash(cell_scheduler, req_id, "t0", 1.0)
        cell_scheduler.enqueue("r1", enqueue(1), 1.0)
        self.report_crash(cell_scheduler, 1, "t0", 1.1)
        self.assertFalse(
            refusals(cell_scheduler.enqueue("r1", enqueue(1), 1.2))
        )

    def test_a_refused_request_is_let_go_by_a_trial_that_is_answered(self):
        cell_scheduler = make_scheduler(make_config(4, 2))
        for now in (0.0, 1.0):
            (target,) = grants(
                cell_scheduler.enqueue("r1", enqueue(1), now)
            ).values()
            self.report_crash(cell_scheduler, 1, target, now)
        self.assertTrue(refusals(cell_scheduler.enqueue("r1", enqueue(1), 1.5)))
        later = 1.0 + TRIAL_PAUSES_S[0]
        out = cell_scheduler.enqueue("r1", enqueue(1), later)
        (target,) = grants(out).values()
        repeat = enqueue(2)._replace(fingerprint=enqueue(1).fingerprint)
        self.assertTrue(refusals(cell_scheduler.enqueue("r1", repeat, later)))
        cell_scheduler.finish("r1", done(1, target), later + 0.1)
        self.assertFalse(
            refusals(cell_scheduler.enqueue("r1", repeat, later + 0.2))
        )

    def test_a_trial_that_crashes_is_followed_by_a_longer_pause(self):
        cell_scheduler = make_scheduler(make_config(6, 2))
        now = 0.0
        for pause_s in (0.0, 0.0, *TRIAL_PAUSES_S[:2]):
            now += pause_s
            if pause_s:
                refused = cell_scheduler.enqueue("r1", enqueue(1), now - 0.1)
                self.assertTrue(refusals(refused))
            (target,) = grants(
                cell_scheduler.enqueue("r1", enqueue(1), now)
            ).values()
            self.report_crash(cell_scheduler, 1, target, now)

    def test_an_entry_lasts_as_long_as_its_trial_pause(self):
        quarantine, now = Quarantine(), 0.0
        for _ in range(CRASHES_TO_REFUSE + len(TRIAL_PAUSES_S)):
            quarantine.record_crash(b"k", zone="az1", suspect=True, now=now)
        longest_s = TRIAL_PAUSES_S[-1]
        self.assertTrue(quarantine.is_refused(b"k", longest_s - 1.0))
        self.assertTrue(quarantine.is_suspect(b"k", longest_s + 1.0))

    def test_peers_that_did_not_hear_do_not_bring_a_suspicion_back(self):
        quarantine, peer_quarantine = Quarantine(), Quarantine()
        quarantine.record_crash(b"k", zone="az1", suspect=False, now=0.0)
        peer_quarantine.merge(quarantine.recent(1.0), 1.0)
        quarantine.clear(b"k", 2.0)
        self.assertFalse(quarantine.merge(peer_quarantine.recent(3.0), 3.0))
        self.assertFalse(quarantine.is_suspect(b"k", 3.0))

    def test_suspects_are_told_to_other_schedulers_while_new(self):
        quarantine, peer_quarantine = Quarantine(), Quarantine()
        quarantine.record_crash(b"k", zone="az1", suspect=False, now=0.0)
        self.assertTrue(peer_quarantine.merge(quarantine.recent(1.0), 1.0))
        self.assertTrue(peer_quarantine.is_suspect(b"k", 1.0))
        self.assertFalse(peer_quarantine.merge(quarantine.recent(1.0), 1.0))
        self.assertEqual(quarantine.recent(100.0), ())


class EjectionTest(unittest.TestCase):
    def test_failing_targets_are_ejected_and_probed_back(self):
        cell_scheduler = make_scheduler(make_config(4, 1))
        now = 0.0
        for _req_id in range(1, 4):
            cell_scheduler.slots.health.record_failure("t0", now)
        self.assertEqual(cell_scheduler.slots.health.ejected(now), ["t0"])
        later = now + 2.1
        self.assertTrue(cell_scheduler.slots.health.is_usable("t0", later, 0))
        self.assertFalse(cell_scheduler.slots.health.is_usable("t0", later, 1))
        cell_scheduler.slots.health.record_success("t0", 0.1, later)
        self.assertTrue(cell_scheduler.slots.health.is_usable("t0", later, 1))

    def test_never_more_than_half_are_ejected_for_failures(self):
        cell_scheduler = make_scheduler(make_config(4, 1))
        for name in ("t0", "t1", "t2", "t3"):
            for _ in range(5):
                cell_scheduler.slots.health.record_failure(name, 0.0)
        self.assertEqual(len(cell_scheduler.slots.health.ejected(0.0)), 2)

    def test_a_slow_target_is_ejected(self):
        cell_scheduler = make_scheduler(make_config(4, 1))
        health = cell_scheduler.slots.health
        for _ in range(6):
            for name in ("t0", "t1", "t2"):
                health.record_success(name, 0.1, 0.0)
            health.record_success("t3", 2.0, 0.0)
        self.assertEqual(health.ejected(0.0), ["t3"])
