"""Tests that a request did not run if its refusal says so."""

import asyncio

from chervilwall_standins.case import (
    CHAT_PATH,
    FILING_PATH,
    STATUS_PATH,
    FleetCase,
)
from chervilwall_standins.demo import make_deployment
from chervilwall_standins.fleet import call_json
from chervilwall_standins.target import HANG_MARKER


class RefusalsTest(FleetCase):
    engine_args = ("--token-s", "0.05", "--slots", "1")
    settings = {
        "timing": {"address_ttl_s": 1},
        "limits": {"target_idle_s": 4.0, "max_held_per_team": 40},
    }

    @classmethod
    def make_deployment(cls):
        return make_deployment()._replace(slots=1)

    def assert_accurate_refusal(self, label, answer):
        """Asserts that a refusal agrees with the targets' run counters."""
        problem = answer.problem
        self.assertTrue(problem, answer)
        if problem["executed"] == "no":
            self.assertEqual(self.count_runs(label), 0, problem)
        else:
            self.assertEqual(problem["executed"], "unknown")

    def send_many(self, prefix, count, path=CHAT_PATH, **options):
        async def scenario():
            caller = self.caller(4)
            labels = [f"{prefix}{i}" for i in range(count)]
            sends = [caller.send(path, label=lb, **options) for lb in labels]
            return list(zip(labels, await asyncio.gather(*sends), strict=False))

        return self.run_async(scenario())

    def test_overload_is_refused_at_once_and_not_run(self):
        results = self.send_many("over", 150, tokens=40)
        refused = [(lb, a) for lb, a in results if not a.ok]
        self.assertTrue(refused)
        for label, answer in refused:
            self.assert_accurate_refusal(label, answer)
            self.assertEqual(answer.problem["executed"], "no")
            self.assertGreaterEqual(int(answer.headers["Retry-After"]), 1)
        for label, answer in results:
            self.assertEqual(self.count_runs(label), 1 if answer.ok else 0)

    def test_refusals_for_the_deadline_do_not_wait_for_it(self):
        self.send_many("learn", 6, tokens=40)
        results = self.send_many("late", 39, tokens=40)
        deadline_refusals = [
            answer
            for _, answer in results
            if answer.problem.get("title") == "deadline"
        ]
        self.assertTrue(deadline_refusals)
        # The class has a deadline of 5 s. Most requests that would miss it must
        # be refused long before.
        immediate = [
            answer for answer in deadline_refusals if answer.total_s < 1.0
        ]
        self.assertGreater(len(immediate), len(deadline_refusals) / 2)

    def test_a_silent_target_makes_the_outcome_unknown(self):
        results = self.send_many(
            "hang",
            1,
            FILING_PATH,
            text=HANG_MARKER,
            headers={"Idempotency-Key": "hang-1"},
        )
        for label, answer in results:
            self.assert_accurate_refusal(label, answer)
            self.assertEqual(answer.problem["executed"], "unknown")
            self.assertEqual(self.count_runs(label), 1)

    def test_targets_that_refuse_connections_ran_nothing(self):
        for address in self.deployment.plain_addresses:
            call_json(f"http://{address}/admin", {"crash": True})
        results = self.send_many("gone", 5, STATUS_PATH)
        for label, answer in results:
            if not answer.ok:
                self.assert_accurate_refusal(label, answer)
