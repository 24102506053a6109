"""Tests of what is kept: ledger, claims, lease, budget and estimates."""

import random
import unittest

from chervilwall import claim as claim_lib
from chervilwall.budget import RetryBudget
from chervilwall.claim import Claim, StoredAnswer, view_claim
from chervilwall.estimator import Estimator
from chervilwall.lease import LONGEST_ORDER_S, LeaseRecord, LeaseView
from chervilwall.ledger import UNCERTAIN, Ledger
from chervilwall.rendezvous import assign, owner, owners
from chervilwall.report import merge_copies, report_lines

TTL_S = 10.0


class LedgerTest(unittest.TestCase):
    def test_copies_late_doubled_and_out_of_order_count_once(self):
        rng = random.Random(3)
        ledgers = [Ledger(f"r{i}-1") for i in range(3)]
        copies = []
        for _ in range(300):
            ledger = rng.choice(ledgers)
            ledger.add("a", "s", "c", "completed", work=2.0, worth=1.0)
            if rng.random() < 0.3:
                copies.append(tuple(ledger))
        copies += [tuple(ledger) for ledger in ledgers]
        copies += rng.sample(copies, len(copies) // 2)
        rng.shuffle(copies)
        line = report_lines(merge_copies(copies))[0]
        self.assertEqual(line.row.completed, 300)
        self.assertEqual(line.row.work, 600.0)

    def test_each_outcome_has_its_column(self):
        ledger = Ledger("r-1")
        for outcome in ("completed", "refused", "broken", UNCERTAIN):
            ledger.add("a", "s", "c", outcome, work=1.0, worth=5.0)
        row = report_lines(ledger)[0].row
        self.assertEqual(row, (1, 1, 1, 1, 1.0, 5.0, 0, 0))

    def test_what_a_lost_router_had_is_uncertain_unless_it_lived(self):
        ledger = Ledger("r1-1")
        ledger.add("a", "s", "c", UNCERTAIN, lost="r2-1")
        uncertain = [line.row.uncertain for line in report_lines(ledger)]
        self.assertEqual(uncertain, [1])
        self.assertEqual(report_lines(ledger, alive=["r2-1"]), [])
        ended = Ledger("r2-1")
        ended.close()
        ledger.merge(ended)
        self.assertEqual(report_lines(ledger), [])


class ClaimTest(unittest.TestCase):
    def make(self, state, answer=None):
        return Claim("r1-1", "n1", b"fp", state, 100.0, answer)

    def view(self, claim, nonce="n2", fingerprint=b"fp"):
        return view_claim(claim, nonce=nonce, fingerprint=fingerprint)

    def test_verdicts(self):
        answer = StoredAnswer(200, "text/plain", b"ok", True)
        done = self.make(claim_lib.STATE_DONE, answer)
        claimed = self.make(claim_lib.STATE_CLAIMED)
        unknown = self.make(claim_lib.STATE_UNKNOWN)
        self.assertEqual(self.view(done), (claim_lib.VERDICT_REPLAY, answer))
        verdicts = [
            self.view(claimed).verdict,
            self.view(unknown).verdict,
            self.view(claimed, nonce="n1").verdict,
            self.view(done, fingerprint=b"other").verdict,
        ]
        self.assertEqual(
            verdicts,
            [
                claim_lib.VERDICT_RUNNING,
                claim_lib.VERDICT_UNKNOWN,
                claim_lib.VERDICT_OURS,
                claim_lib.VERDICT_MISMATCH,
            ],
        )

    def test_a_holder_paused_past_the_limit_may_not_dispatch(self):
        self.assertTrue(claim_lib.may_dispatch(10.0, 10.5))
        late = 10.0 + claim_lib.DISPATCH_LIMIT_S
        self.assertFalse(claim_lib.may_dispatch(10.0, late))
        self.assertLess(claim_lib.DISPATCH_LIMIT_S, claim_lib.CLAIM_TTL_S)

    def test_travels_as_bytes(self):
        claim = self.make(claim_lib.STATE_CLAIMED)
        blob = claim_lib.encode_claim(claim)
        self.assertEqual(claim_lib.decode_claim(blob), claim)


class LeaseTest(unittest.TestCase):
    def test_only_one_of_two_holds_it(self):
        one, other = LeaseView("r1"), LeaseView("r2")
        record = one.wants(0.0)
        one.written(record, 5, 0.0)
        other.observe(record, 5, 0.1)
        self.assertTrue(one.holds(9.9))
        self.assertIsNone(other.wants(9.9))
        taken = other.wants(10.2)
        self.assertEqual(taken.fencing, record.fencing + 1)
        self.assertFalse(one.holds(10.2))

    def test_a_paused_holder_stops_on_its_own_clock(self):
        view = LeaseView("r1")
        view.written(view.wants(0.0), 1, 0.0)
        self.assertTrue(view.may_order(1.0, target_checks=True))
        self.assertFalse(view.may_order(TTL_S, target_checks=True))

    def test_a_new_holder_waits_where_targets_ignore_the_number(self):
        view = LeaseView("r2")
        view.observe(LeaseRecord("r1", TTL_S, 1, 1), 3, 0.0)
        taken = view.wants(TTL_S)
        view.written(taken, 4, TTL_S)
        soon = TTL_S + 1
        self.assertTrue(view.may_order(soon, target_checks=True))
        self.assertFalse(view.may_order(soon, target_checks=False))
        at = 2 * TTL_S + LONGEST_ORDER_S
        renewed = view.wants(at - 1)
        view.written(renewed, 5, at - 1)
        self.assertTrue(view.may_order(at, target_checks=False))


class BudgetTest(unittest.TestCase):
    def test_retries_stay_a_fraction_of_successes(self):
        budget = RetryBudget(ratio=0.1, reserve=3.0)
        spent = 0
        for _ in range(1000):
            budget.succeed()
            spent += budget.spend()
        self.assertLessEqual(spent, 1000 * 0.1 + 3)


class EstimatorTest(unittest.TestCase):
    def test_what_is_learned_replaces_wrong_hints(self):
        made = Estimator()
        made.note_hint("c", 1000.0)
        made.note_hint("c", 10.0)
        self.assertAlmostEqual(made.cost("a", "c", 5000.0), 100.0)
        made.learn("a", "c", cost=70.0, duration_s=2.0)
        self.assertEqual(made.cost("a", "c", 5000.0), 70.0)
        self.assertEqual(made.cost("b", "c", 5000.0), 70.0)
        self.assertEqual(made.cost_so_far("c", 4.0), 140.0)


class RendezvousTest(unittest.TestCase):
    def test_a_lost_member_moves_only_what_it_owned(self):
        members = [f"r{i}" for i in range(8)]
        keys = [f"cell{i}" for i in range(200)]
        before = {k: owner(k, members) for k in keys}
        after = {k: owner(k, members[1:]) for k in keys}
        moved = [k for k in keys if before[k] != after[k]]
        self.assertTrue(all(before[k] == "r0" for k in moved))
        self.assertEqual(owners("x", members, 3)[0], owner("x", members))
        self.assertIsNone(owner("x", []))

    def test_no_member_is_assigned_more_than_an_even_part(self):
        members = [f"r{i}" for i in range(8)]
        keys = [f"cell{i}" for i in range(20)]
        found = assign(keys, members)
        counts = [list(found.values()).count(m) for m in members]
        self.assertLessEqual(max(counts), 3)
        self.assertEqual(found, assign(reversed(keys), members))
        self.assertEqual(assign(keys, []), {})

    def test_a_lost_member_moves_few_cells_but_its_own(self):
        members = [f"r{i}" for i in range(40)]
        keys = [f"cell{i}" for i in range(30)]
        before = assign(keys, members)
        lost = before["cell0"]
        after = assign(keys, [m for m in members if m != lost])
        moved = [k for k in keys if before[k] != after[k]]
        self.assertIn("cell0", moved)
        self.assertLessEqual(len(moved), 3)
