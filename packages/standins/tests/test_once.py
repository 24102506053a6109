"""Promise: a non-idempotent request runs at most once."""

import asyncio
import signal
import time

from chervilwall_standins.case import FILING_PATH, FleetCase
from chervilwall_standins.fleet import wait_for


class OnceTest(FleetCase):
    plain_args = ("--token-s", "0.05")

    async def book(self, label, router, key=None, tokens=4):
        return await self.caller(5).send(
            FILING_PATH,
            label=label,
            tokens=tokens,
            router=self.fleet.address(router),
            headers={"Idempotency-Key": key or label},
        )

    def test_a_resend_through_any_router_gets_the_first_outcome(self):
        async def work():
            first = await self.book("resend", "router1")
            await asyncio.sleep(0.3)
            return first, [
                await self.book("resend", n) for n in self.fleet.names
            ]

        first, again = self.run_async(work())
        self.assertTrue(first.ok)
        for answer in again:
            self.assertEqual(answer.body, first.body)
            self.assertEqual(answer.headers["Idempotency-Replayed"], "true")
        self.assertEqual(self.runs("resend"), 1)

    def test_a_key_of_another_request_is_refused(self):
        async def work():
            await self.book("one", "router1", "shared-key")
            caller = self.caller(5)
            return await caller.send(
                FILING_PATH,
                label="other",
                text="another booking",
                headers={"Idempotency-Key": "shared-key"},
            )

        answer = self.run_async(work())
        self.assertEqual(answer.status, 422)
        self.assertEqual(self.runs("other"), 0)

    def test_resends_at_the_same_time_run_once(self):
        async def work():
            sends = [self.book("race", n) for n in self.fleet.names * 5]
            return await asyncio.gather(*sends)

        answers = self.run_async(work())
        self.assertEqual(self.runs("race"), 1)
        for answer in answers:
            known = answer.ok or answer.problem["executed"] == "unknown"
            self.assertTrue(known, answer)

    def test_a_killed_router_leaves_an_honest_unknown(self):
        async def work():
            first = asyncio.create_task(
                self.book("killed", "router3", tokens=40)
            )
            await asyncio.sleep(0.5)
            self.fleet.send_signal("router3", signal.SIGKILL)
            self.fleet.wait_exit("router3", 5)
            await first
            before = await self.book("killed", "router1", tokens=40)
            self.fleet.start_router("router3")
            self.fleet.wait_ready("router3")
            wait_for(
                lambda: self.fleet.status("router3")["config_version"],
                limit_s=5,
                what="configuration on the restarted router",
            )
            after = await self.book("killed", "router3", tokens=40)
            return first.result(), before, after

        first, before, after = self.run_async(work())
        self.assertFalse(first.ok)
        for answer in (before, after):
            self.assertEqual(answer.problem["executed"], "unknown")
        self.assertEqual(self.runs("killed"), 1)

    def test_without_the_platform_nothing_is_run(self):
        async def work():
            self.fleet.switch(down=True)
            try:
                down = await self.book("down", "router1")
            finally:
                self.fleet.switch(down=False)
            return down

        down = self.run_async(work())
        self.assertEqual(down.problem["executed"], "no")
        self.assertIn("Retry-After", down.headers)
        self.assertEqual(self.runs("down"), 0)
        wait_for(
            lambda: self.run_async(self.book("down", "router2")).ok,
            limit_s=5,
            what="the booking once the platform is back",
        )
        self.assertEqual(self.runs("down"), 1)

    def test_a_lost_reply_to_the_claim_still_runs_it_once(self):
        async def work():
            self.fleet.switch(lose_replies=1)
            first = await self.book("lost", "router1")
            second = await self.book("lost", "router2")
            return first, second

        first, second = self.run_async(work())
        self.fleet.switch(lose_replies=0)
        self.assertLessEqual(self.runs("lost"), 1)
        for answer in (first, second):
            if answer.problem.get("executed") == "no":
                self.assertEqual(self.runs("lost"), 0)

    def test_a_caller_that_leaves_finds_the_outcome_later(self):
        async def work():
            first = asyncio.create_task(self.book("left", "router1"))
            await asyncio.sleep(0.1)
            first.cancel()
            await asyncio.sleep(1.5)
            return await self.book("left", "router2")

        answer = self.run_async(work())
        self.assertTrue(answer.ok, answer)
        self.assertEqual(answer.headers["Idempotency-Replayed"], "true")
        self.assertEqual(self.runs("left"), 1)

    def test_a_paused_holder_of_a_claim_does_not_run_it_again(self):
        async def work():
            fill = [
                asyncio.create_task(self.book(f"fill{i}", "router1", tokens=30))
                for i in range(24)
            ]
            await asyncio.sleep(0.5)
            paused = asyncio.create_task(self.book("paused", "router2"))
            await asyncio.sleep(0.2)
            self.fleet.send_signal("router2", signal.SIGSTOP)
            second = await self.book("paused", "router1")
            await asyncio.sleep(3)
            self.fleet.send_signal("router2", signal.SIGCONT)
            await asyncio.gather(*fill)
            return await paused, second

        first, second = self.run_async(work())
        self.assertEqual(second.problem["executed"], "unknown")
        self.assertLessEqual(self.runs("paused"), 1)
        if first.problem.get("executed") == "no":
            self.assertEqual(self.runs("paused"), 0)

    def test_a_slow_platform_delays_and_does_not_double(self):
        async def work():
            self.fleet.switch(slow_s=0.4)
            started = time.monotonic()
            answers = await asyncio.gather(
                self.book("slow", "router1"), self.book("slow", "router2")
            )
            self.fleet.switch(slow_s=0.0)
            return answers, time.monotonic() - started

        answers, _ = self.run_async(work())
        self.assertEqual(self.runs("slow"), 1)
        self.assertTrue(any(a.ok for a in answers))
