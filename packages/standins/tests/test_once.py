"""Tests that a non-idempotent request runs at most once."""

import asyncio
import signal
import time

from chervilwall_standins.case import FILING_PATH, FleetCase
from chervilwall_standins.fleet import wait_for


class OnceTest(FleetCase):
    plain_args = ("--token-s", "0.05")

    async def send_booking(self, label, router, key=None, tokens=4):
        return await self.caller(5).send(
            FILING_PATH,
            label=label,
            tokens=tokens,
            router=self.fleet.caller_address(router),
            headers={"Idempotency-Key": key or label},
        )

    def test_a_resend_through_any_router_gets_the_first_outcome(self):
        async def scenario():
            first = await self.send_booking("resend", "router1")
            await asyncio.sleep(0.3)
            return first, [
                await self.send_booking("resend", n)
                for n in self.fleet.router_names
            ]

        first, resends = self.run_async(scenario())
        self.assertTrue(first.ok)
        for answer in resends:
            self.assertEqual(answer.body, first.body)
            self.assertEqual(answer.headers["Idempotency-Replayed"], "true")
        self.assertEqual(self.count_runs("resend"), 1)

    def test_a_key_of_another_request_is_refused(self):
        async def scenario():
            await self.send_booking("one", "router1", "shared-key")
            caller = self.caller(5)
            return await caller.send(
                FILING_PATH,
                label="other",
                text="another booking",
                headers={"Idempotency-Key": "shared-key"},
            )

        answer = self.run_async(scenario())
        self.assertEqual(answer.status, 422)
        self.assertEqual(self.count_runs("other"), 0)

    def test_resends_at_the_same_time_run_once(self):
        async def scenario():
            sends = [
                self.send_booking("race", n)
                for n in self.fleet.router_names * 5
            ]
            return await asyncio.gather(*sends)

        answers = self.run_async(scenario())
        self.assertEqual(self.count_runs("race"), 1)
        for answer in answers:
            known = answer.ok or answer.problem["executed"] == "unknown"
            self.assertTrue(known, answer)

    def test_a_killed_router_leaves_an_honest_unknown(self):
        async def scenario():
            first = asyncio.create_task(
                self.send_booking("killed", "router3", tokens=40)
            )
            await asyncio.sleep(0.5)
            self.fleet.signal_process("router3", signal.SIGKILL)
            self.fleet.wait_exit("router3", 5)
            await first
            before = await self.send_booking("killed", "router1", tokens=40)
            self.fleet.start_router("router3")
            self.fleet.wait_ready("router3")
            wait_for(
                lambda: self.fleet.status("router3")["config_version"],
                limit_s=5,
                what="configuration in force on the restarted router",
            )
            after = await self.send_booking("killed", "router3", tokens=40)
            return first.result(), before, after

        first, before, after = self.run_async(scenario())
        self.assertFalse(first.ok)
        for answer in (before, after):
            self.assertEqual(answer.problem["executed"], "unknown")
        self.assertEqual(self.count_runs("killed"), 1)

    def test_without_the_platform_nothing_is_run(self):
        async def scenario():
            self.fleet.set_platform_faults(down=True)
            try:
                down = await self.send_booking("down", "router1")
            finally:
                self.fleet.set_platform_faults(down=False)
            return down

        refusal = self.run_async(scenario())
        self.assertEqual(refusal.problem["executed"], "no")
        self.assertIn("Retry-After", refusal.headers)
        self.assertEqual(self.count_runs("down"), 0)
        wait_for(
            lambda: self.run_async(self.send_booking("down", "router2")).ok,
            limit_s=5,
            what="success of the booking after the outage",
        )
        self.assertEqual(self.count_runs("down"), 1)

    def test_a_lost_reply_to_the_claim_still_runs_it_once(self):
        async def scenario():
            self.fleet.set_platform_faults(lose_replies=1)
            first = await self.send_booking("lost", "router1")
            second = await self.send_booking("lost", "router2")
            return first, second

        first, second = self.run_async(scenario())
        self.fleet.set_platform_faults(lose_replies=0)
        self.assertLessEqual(self.count_runs("lost"), 1)
        for answer in (first, second):
            if answer.problem.get("executed") == "no":
                self.assertEqual(self.count_runs("lost"), 0)

    def test_a_caller_that_leaves_finds_the_outcome_later(self):
        async def scenario():
            first = asyncio.create_task(self.send_booking("left", "router1"))
            await asyncio.sleep(0.1)
            first.cancel()
            await asyncio.sleep(1.5)
            return await self.send_booking("left", "router2")

        answer = self.run_async(scenario())
        self.assertTrue(answer.ok, answer)
        self.assertEqual(answer.headers["Idempotency-Replayed"], "true")
        self.assertEqual(self.count_runs("left"), 1)

    def test_a_paused_holder_of_a_claim_does_not_run_it_again(self):
        async def scenario():
            load = [
                asyncio.create_task(
                    self.send_booking(f"fill{i}", "router1", tokens=30)
                )
                for i in range(24)
            ]
            await asyncio.sleep(0.5)
            paused = asyncio.create_task(self.send_booking("paused", "router2"))
            await asyncio.sleep(0.2)
            self.fleet.signal_process("router2", signal.SIGSTOP)
            second = await self.send_booking("paused", "router1")
            await asyncio.sleep(3)
            self.fleet.signal_process("router2", signal.SIGCONT)
            await asyncio.gather(*load)
            return await paused, second

        first, second = self.run_async(scenario())
        self.assertEqual(second.problem["executed"], "unknown")
        self.assertLessEqual(self.count_runs("paused"), 1)
        if first.problem.get("executed") == "no":
            self.assertEqual(self.count_runs("paused"), 0)

    def test_a_slow_platform_delays_and_does_not_double(self):
        async def scenario():
            self.fleet.set_platform_faults(slow_s=0.4)
            started = time.monotonic()
            answers = await asyncio.gather(
                self.send_booking("slow", "router1"),
                self.send_booking("slow", "router2"),
            )
            self.fleet.set_platform_faults(slow_s=0.0)
            return answers, time.monotonic() - started

        answers, _ = self.run_async(scenario())
        self.assertEqual(self.count_runs("slow"), 1)
        self.assertTrue(any(a.ok for a in answers))
