"""Promise: the reports of service delivered per team are accurate."""

import asyncio
import csv
import io
import json
import signal
import time
from collections import Counter

from chervilwall_standins.case import CHAT_PATH, FleetCase
from chervilwall_standins.fleet import call_json, wait_for

TEAMS = 6
IN_PROGRESS = 5


class ReportsTest(FleetCase):
    engine_args = ("--token-s", "0.02")

    def report(self):
        """Returns the report's lines by team, summed over classes."""
        done = self.ctl("report", "--json")
        lines = json.loads(done.stdout)["lines"]
        totals: dict[str, Counter[str]] = {}
        for line in lines:
            team = totals.setdefault(line["team"], Counter())
            for field in ("completed", "refused", "unknown", "uncertain"):
                team[field] += line[field]
        return totals

    async def load(self, disturb):
        """Sends requests of several teams; returns whole answers by team."""
        got: Counter[str] = Counter()
        broken: Counter[str] = Counter()

        async def one(team):
            answer = await self.caller(team).send(CHAT_PATH, tokens=10)
            name = f"{self.dep.name}-team{team:02}"
            (got if answer.ok else broken)[name] += 1

        tasks = []
        work = asyncio.create_task(asyncio.to_thread(disturb))
        while not work.done() or len(tasks) < 200:
            tasks.append(asyncio.create_task(one(len(tasks) % TEAMS)))
            await asyncio.sleep(0.01)
        await asyncio.gather(*tasks)
        await work
        return got, broken

    def check_totals(self, got, broken, before):
        """Compares the report with what callers saw."""

        def settled():
            after = self.report()
            for team, count in got.items():
                old = before.get(team, Counter())
                new = after[team] - old
                known = new["completed"]
                slack = new["uncertain"] + broken[team]
                if not known <= count + broken[team]:
                    return False
                if not count - slack <= known:
                    return False
            return True

        wait_for(settled, limit_s=15, what="totals that match the callers'")

    def test_totals_match_after_a_router_was_killed(self):
        before = self.report()

        def disturb():
            time.sleep(1.0)
            self.fleet.send_signal("router3", signal.SIGKILL)
            self.fleet.wait_exit("router3", 5)

        got, broken = self.run_async(self.load(disturb))
        self.check_totals(got, broken, before)
        lost = self.report()
        uncertain = sum(team["uncertain"] for team in lost.values())
        self.assertLessEqual(uncertain, sum(broken.values()))
        self.fleet.start_router("router3")
        self.fleet.wait_ready("router3")

    def test_requests_in_progress_on_a_killed_router_are_uncertain(self):
        cells = self.fleet.status("router1")["cells"]
        victim = next(c["scheduler"] for c in cells if "model" in c["name"])
        survivors = [n for n in self.fleet.names if n != victim]
        for name in (victim, survivors[0]):
            before = sum(t["uncertain"] for t in self.report().values())

            async def work(name=name):
                caller = self.caller(1)
                address = self.fleet.address(name)
                sends = [
                    asyncio.create_task(
                        caller.send(CHAT_PATH, tokens=150, router=address)
                    )
                    for _ in range(IN_PROGRESS)
                ]
                await asyncio.sleep(1.5)
                self.fleet.send_signal(name, signal.SIGKILL)
                return await asyncio.gather(*sends)

            answers = self.run_async(work())
            self.assertFalse(any(a.ok for a in answers))
            self.fleet.wait_exit(name, 5)

            def counted(before=before):
                totals = self.report().values()
                now = sum(t["uncertain"] for t in totals)
                return now - before == IN_PROGRESS

            wait_for(counted, limit_s=15, what="uncertain requests")
            self.fleet.start_router(name)
            self.fleet.wait_ready(name)
            time.sleep(2.0)

    def test_a_router_given_up_for_lost_that_lives_leaves_no_doubt(self):
        before = self.report()
        dead = []

        def disturb():
            time.sleep(0.5)
            self.fleet.send_signal("router2", signal.SIGSTOP)
            wait_for(
                lambda: all(
                    m[0] != "router2" or m[3] == "dead"
                    for name in ("router1", "router3")
                    for m in self.fleet.status(name)["members"]
                ),
                limit_s=8,
                what="router2 given up for lost",
            )
            dead.append(True)
            self.fleet.send_signal("router2", signal.SIGCONT)

        got, broken = self.run_async(self.load(disturb))
        self.assertTrue(dead)
        self.check_totals(got, broken, before)

        def certain():
            after = self.report()
            return all(
                (after[team] - before.get(team, Counter()))["uncertain"] == 0
                for team in after
            )

        wait_for(certain, limit_s=10, what="no uncertain requests")

    def test_totals_match_when_the_platform_loses_replies(self):
        before = self.report()

        def disturb():
            for _ in range(4):
                self.fleet.switch(lose_replies=2)
                time.sleep(0.6)
            self.fleet.switch(lose_replies=0)

        got, broken = self.run_async(self.load(disturb))
        self.assertFalse(broken)
        wait_for(
            lambda: all(
                (self.report()[team] - before.get(team, Counter()))["completed"]
                == count
                for team, count in got.items()
            ),
            limit_s=15,
            what="exact totals",
        )

    def test_totals_survive_an_outage_of_the_platform(self):
        before = self.report()

        def disturb():
            self.fleet.switch(down=True)
            time.sleep(2.0)
            self.fleet.switch(down=False)

        got, broken = self.run_async(self.load(disturb))
        self.assertFalse(broken)
        self.check_totals(got, broken, before)

    def test_report_speaks_csv_and_names_silent_sources(self):
        done = self.ctl("report", "--csv")
        rows = list(csv.reader(io.StringIO(done.stdout)))
        self.assertEqual(rows[0][:4], ["team", "service", "class", "completed"])
        self.fleet.switch(down=True)
        self.addCleanup(self.fleet.switch, down=False)
        done = self.ctl("report")
        self.assertEqual(done.returncode, 4)
        self.assertIn("no answer from platform", done.stderr)

    def test_status_and_explain_answer(self):
        done = self.ctl("status", "--json")
        names = {view["name"] for view in json.loads(done.stdout)}
        self.assertLessEqual({"router1", "router2"}, names)
        done = self.ctl("explain", "--team", f"{self.dep.name}-team00")
        self.assertIn("waiting", done.stdout)
        url = f"{self.fleet.url('router1')}/v1/admin/status"
        with self.assertRaisesRegex(OSError, "401"):
            call_json(url, key="wrong")
