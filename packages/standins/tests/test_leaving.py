"""Promise: a target that is leaving receives no new work after seconds."""

import asyncio
import time

from chervilwall_standins.caller import is_whole_answer
from chervilwall_standins.case import CHAT_PATH, FleetCase
from chervilwall_standins.fleet import call_json

LIMIT_S = 3.0
LOAD_S = 6.0
CLOCK_MARGIN_S = 0.05


class LeavingTest(FleetCase):
    relayed = True
    engine_args = ("--token-s", "0.02")

    def load(self, mark, label):
        """Sends steady load, calls mark after 1 s; returns answers and when."""

        async def work():
            caller = self.caller(6)
            tasks, marked = [], 0.0
            started = time.time()
            while time.time() - started < LOAD_S:
                if not marked and time.time() - started > 1.0:
                    await asyncio.to_thread(mark)
                    marked = time.time()
                send = caller.send(CHAT_PATH, label=label, tokens=20)
                tasks.append(asyncio.create_task(send))
                await asyncio.sleep(0.02)
            return await asyncio.gather(*tasks), marked

        return self.run_async(work())

    def assert_left(self, address, marked, answers, label):
        view = call_json(f"http://{address}/admin")
        late_s = view["last_accepted_at"] - marked
        self.assertGreater(view["last_accepted_at"], 0.0)
        self.assertLess(late_s, LIMIT_S)
        for answer in answers:
            self.assertTrue(is_whole_answer(answer, label), answer)

    def test_an_operators_mark(self):
        def mark():
            done = self.ctl("target", "leave", "contract-model-0")
            self.assertEqual(done.returncode, 0, done.stderr)

        answers, marked = self.load(mark, "ctl")
        self.assert_left(self.dep.engines[0], marked, answers, "ctl")

    def test_a_mark_by_the_target_itself(self):
        def mark():
            url = f"http://{self.dep.engines[1]}/admin"
            call_json(url, {"leaving": True})

        answers, marked = self.load(mark, "self")
        self.assert_left(self.dep.engines[1], marked, answers, "self")

    def test_a_mark_during_a_partition_with_a_lagging_host_list(self):
        hosts = [self.fleet.host(name) for name in self.fleet.names]
        self.fleet.switch(hosts_lag_s=60.0)
        self.fleet.relays.isolate(hosts[0], hosts[1:])
        self.addCleanup(self.fleet.relays.heal)

        def mark():
            done = self.ctl("target", "leave", "contract-model-2")
            self.assertEqual(done.returncode, 0, done.stderr)

        answers, marked = self.load(mark, "cut")
        self.assert_left(self.dep.engines[2], marked, answers, "cut")
