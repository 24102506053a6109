"""Tests that a target marked as leaving soon receives no new requests.

Either an operator or the target itself sets the mark. It must take effect
within `LEAVE_TIMEOUT_S`, without any request failing.
"""

import asyncio
import time

from chervilwall_standins.caller import is_complete_answer
from chervilwall_standins.case import CHAT_PATH, FleetCase
from chervilwall_standins.fleet import call_json

LEAVE_TIMEOUT_S = 3.0
LOAD_DURATION_S = 6.0
CLOCK_MARGIN_S = 0.05


class LeavingTest(FleetCase):
    relayed = True
    engine_args = ("--token-s", "0.02")

    def load_and_mark(self, mark, label):
        """Sends steady load and calls `mark` after 1 s.

        Returns:
            tuple: The answers, and the Unix time at which `mark` returned.
        """

        async def scenario():
            caller = self.caller(6)
            tasks, marked_at = [], 0.0
            started = time.time()
            while time.time() - started < LOAD_DURATION_S:
                if not marked_at and time.time() - started > 1.0:
                    await asyncio.to_thread(mark)
                    marked_at = time.time()
                send = caller.send(CHAT_PATH, label=label, tokens=20)
                tasks.append(asyncio.create_task(send))
                await asyncio.sleep(0.02)
            return await asyncio.gather(*tasks), marked_at

        return self.run_async(scenario())

    def assert_drained(self, address, marked_at, answers, label):
        status = call_json(f"http://{address}/admin")
        delay_s = status["last_accepted_at"] - marked_at
        self.assertGreater(status["last_accepted_at"], 0.0)
        self.assertLess(delay_s, LEAVE_TIMEOUT_S)
        for answer in answers:
            self.assertTrue(is_complete_answer(answer, label), answer)

    def test_an_operators_mark(self):
        def mark():
            result = self.ctl("target", "leave", "contract-model-0")
            self.assertEqual(result.returncode, 0, result.stderr)

        answers, marked_at = self.load_and_mark(mark, "ctl")
        self.assert_drained(
            self.deployment.engine_addresses[0], marked_at, answers, "ctl"
        )

    def test_a_mark_by_the_target_itself(self):
        def mark():
            url = f"http://{self.deployment.engine_addresses[1]}/admin"
            call_json(url, {"leaving": True})

        answers, marked_at = self.load_and_mark(mark, "self")
        self.assert_drained(
            self.deployment.engine_addresses[1], marked_at, answers, "self"
        )

    def test_a_mark_during_a_partition_with_a_lagging_host_list(self):
        hosts = [self.fleet.router_ip(name) for name in self.fleet.router_names]
        self.fleet.set_platform_faults(hosts_lag_s=60.0)
        self.fleet.relays.isolate(hosts[0], hosts[1:])
        self.addCleanup(self.fleet.relays.heal)

        def mark():
            result = self.ctl("target", "leave", "contract-model-2")
            self.assertEqual(result.returncode, 0, result.stderr)

        answers, marked_at = self.load_and_mark(mark, "cut")
        self.assert_drained(
            self.deployment.engine_addresses[2], marked_at, answers, "cut"
        )
