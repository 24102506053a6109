"""All promises at once, while faults come together and twice."""

import asyncio
import json
import math
import pathlib
import random
import signal
import tempfile
import time
from collections import Counter
from typing import NamedTuple

from chervilwall_standins.caller import Answer, is_whole_answer
from chervilwall_standins.case import CHAT_PATH, FILING_PATH, FleetCase
from chervilwall_standins.fleet import call_json, wait_for
from chervilwall_standins.sheets import make_sheet

SEEDS = (20261204, 7)
CHAOS_S = 15.0
STEP_S = 1.0
SEND_S = 0.05
COPY_S = 0.2
SETTLE_LIMIT_S = 15.0


class Sent(NamedTuple):
    """A submission and its answer."""

    label: str
    key: str
    answer: Answer


class ChaosTest(FleetCase):
    routers = 4
    relayed = True
    engine_args = ("--token-s", "0.02")

    def setUp(self):
        self.sent: list[Sent] = []
        self.versions: Counter[str] = Counter()
        self.reverted: list[str] = []
        self.teams = 16
        self.kills = 0
        self.before = self.completed_chats()

    def test_seed_0(self):
        self.run_seed(SEEDS[0])

    def test_seed_1(self):
        self.run_seed(SEEDS[1])

    def run_seed(self, seed):
        print(f"chaos seed {seed}")
        rng = random.Random(seed)
        self.run_async(self.storm(rng, seed))
        self.calm()
        self.check_answers()
        self.check_fleet()
        self.check_report()

    async def storm(self, rng, seed):
        """Sends load while faults come and go."""
        loop = asyncio.get_running_loop()
        until = loop.time() + CHAOS_S
        faults = asyncio.create_task(self.faults(rng, until))
        load_rng = random.Random(seed + 1)
        load = []
        number = 0
        while loop.time() < until:
            number += 1
            name = f"s{seed}n{number}"
            work = (
                self.book(load_rng, name)
                if number % 4 == 0
                else self.chat(name)
            )
            load.append(asyncio.create_task(work))
            await asyncio.sleep(SEND_S)
        await faults
        await asyncio.to_thread(self.calm)
        await asyncio.gather(*load)

    async def chat(self, label):
        answer = await self.caller(len(self.sent) % 16).send(
            CHAT_PATH, label=label, tokens=15, timeout_s=30
        )
        self.sent.append(Sent(label, "", answer))

    async def book(self, rng, key):
        """Books and, as callers do, sends again what did not succeed."""
        names = rng.sample(self.fleet.names, 3)
        for number, name in enumerate(names):
            label = f"{key}try{number}"
            answer = await self.caller(1).send(
                FILING_PATH,
                label=label,
                router=self.fleet.address(name),
                headers={"Idempotency-Key": key},
                timeout_s=30,
            )
            self.sent.append(Sent(label, key, answer))
            if answer.ok:
                return
            await asyncio.sleep(0.5)

    async def faults(self, rng, until):
        loop = asyncio.get_running_loop()
        while loop.time() < until:
            fault = rng.choice(
                (
                    self.kill,
                    self.freeze,
                    self.cut,
                    self.platform_down,
                    self.platform_slow,
                    self.lose_replies,
                    self.crash_target,
                    self.new_sheet,
                )
            )
            await asyncio.to_thread(fault, rng)
            await asyncio.to_thread(self.note_versions)
            await asyncio.sleep(STEP_S * rng.random())

    def kill(self, rng):
        name = rng.choice(self.fleet.names)
        self.fleet.send_signal(name, signal.SIGKILL)
        self.fleet.wait_exit(name, 5)
        self.versions[name] = 0
        self.kills += 1
        self.fleet.start_router(name)

    def freeze(self, rng):
        name = rng.choice(self.fleet.names)
        self.fleet.send_signal(name, signal.SIGSTOP)
        time.sleep(rng.uniform(0.2, 3.0))
        self.fleet.send_signal(name, signal.SIGCONT)

    def cut(self, rng):
        self.fleet.relays.heal()
        hosts = [self.fleet.host(n) for n in self.fleet.names]
        rng.shuffle(hosts)
        if rng.random() < 0.5:
            self.fleet.relays.isolate(hosts[0], hosts[1:])
        else:
            self.fleet.relays.cut(hosts[0], hosts[1])

    def platform_down(self, rng):
        self.fleet.switch(down=rng.random() < 0.6)

    def platform_slow(self, rng):
        self.fleet.switch(slow_s=rng.choice((0.0, 0.3, 1.5)))

    def lose_replies(self, rng):
        self.fleet.switch(lose_replies=rng.randint(1, 5))

    def crash_target(self, rng):
        address = rng.choice((*self.dep.engines, *self.dep.plains))
        call_json(f"http://{address}/admin", {"crash": True})

    def new_sheet(self, rng):
        self.teams += 1
        sheet = make_sheet(self.dep._replace(teams=self.teams))
        with tempfile.NamedTemporaryFile(suffix=".csv") as file:
            pathlib.Path(file.name).write_bytes(sheet)
            self.ctl("apply", file.name)

    def note_versions(self):
        for name in self.fleet.names:
            try:
                version = self.fleet.status(name)["config_version"]
            except OSError:
                continue
            if version < self.versions[name]:
                self.reverted.append(name)
            self.versions[name] = version

    def calm(self):
        self.fleet.relays.heal()
        self.fleet.switch(down=False, slow_s=0.0, lose_replies=0)
        for name in self.fleet.names:
            self.fleet.wait_ready(name)

    def check_answers(self):
        runs: Counter[str] = Counter()
        keys: Counter[str] = Counter()
        for address in (*self.dep.engines, *self.dep.plains):
            view = call_json(f"http://{address}/admin")
            runs.update(view["runs"])
            keys.update(view["keys"])
        answered = 0
        for sent in self.sent:
            with self.subTest(sent.label):
                if sent.key:
                    self.assertLessEqual(keys[sent.key], 1)
                if sent.answer.ok and not sent.key:
                    whole = is_whole_answer(sent.answer, sent.label)
                    self.assertTrue(whole)
                if sent.answer.problem.get("executed") == "no":
                    self.assertEqual(runs[sent.label], 0, sent.answer.problem)
                answered += sent.answer.ok
        self.assertGreater(answered, len(self.sent) / 4)
        print(f"chaos: {answered} of {len(self.sent)} submissions answered")

    def completed_chats(self):
        """Returns completed and uncertain chats of the report."""
        done = self.ctl("report", "--json")
        lines = json.loads(done.stdout)["lines"]
        chats = [x for x in lines if x["service"] == self.dep.engine]
        return (
            sum(x["completed"] for x in chats),
            sum(x["uncertain"] for x in chats),
        )

    def check_report(self):
        """Compares the report with what callers saw of their chats."""
        chats = [s.answer for s in self.sent if not s.key]
        answered = sum(a.ok for a in chats) + len(self.fleet.names)
        unseen = sum(
            not a.ok and a.problem.get("executed") != "no" for a in chats
        )
        # What ended on a killed router within the last copy of its rows.
        lost = self.kills * math.ceil(COPY_S / SEND_S)

        def matches():
            now = self.completed_chats()
            completed = now[0] - self.before[0]
            uncertain = now[1] - self.before[1]
            upper = answered + unseen
            lower = answered - uncertain - lost
            return lower <= completed <= upper

        wait_for(matches, limit_s=15, what="a report that matches")

    def check_fleet(self):
        self.assertEqual(self.reverted, [])

        def settled():
            views = [self.fleet.status(n) for n in self.fleet.names]
            versions = {v["config_version"] for v in views}
            states = {m[3] for v in views for m in v["members"]}
            return len(versions) == 1 and states == {"alive"}

        wait_for(settled, limit_s=SETTLE_LIMIT_S, what="fleet settled")
        for name in self.fleet.names:
            answer = self.run_async(
                self.caller(2).send(CHAT_PATH, router=self.fleet.address(name))
            )
            self.assertTrue(answer.ok, answer)
