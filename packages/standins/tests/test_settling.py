"""Tests that the remaining routers settle soon after one of them fails."""

import asyncio
import signal
import time

from chervilwall_standins.case import CHAT_PATH, FleetCase
from chervilwall_standins.fleet import wait_for

# Covers a probe round over 7 peers, the suspicion timeout and the gossip that
# follows.
SETTLE_TIMEOUT_S = 8.0


class SettlingTest(FleetCase):
    routers = 8
    relayed = True

    def member_states(self, router, subject):
        """Returns the state of a member in a router's view, as a list."""
        members = self.fleet.status(router)["members"]
        return [m[3] for m in members if m[0] == subject]

    def wait_for_state(self, subject, state, observers):
        return wait_for(
            lambda: all(
                self.member_states(n, subject) == [state] for n in observers
            ),
            limit_s=SETTLE_TIMEOUT_S,
            what=f"{subject} {state} on all",
        )

    def other_routers(self, *names):
        return [n for n in self.fleet.router_names if n not in names]

    def assert_serving(self, names):
        async def scenario():
            caller = self.caller(2)
            sends = [
                caller.send(CHAT_PATH, router=self.fleet.caller_address(n))
                for n in names
            ]
            return await asyncio.gather(*sends)

        for answer in self.run_async(scenario()):
            self.assertTrue(answer.ok, answer)

    def contract_model_scheduler(self):
        cells = self.fleet.status("router1")["cells"]
        return next(c["scheduler"] for c in cells if "model" in c["name"])

    def test_a_killed_router_is_found_and_a_restarted_one_serves(self):
        self.fleet.set_platform_faults(down=True)
        self.addCleanup(self.fleet.set_platform_faults, down=False)
        self.fleet.signal_process("router5", signal.SIGKILL)
        self.fleet.wait_exit("router5", 5)
        self.wait_for_state("router5", "dead", self.other_routers("router5"))
        self.fleet.start_router("router5")
        self.fleet.wait_ready("router5")
        self.wait_for_state("router5", "alive", self.fleet.router_names)
        wait_for(
            lambda: self.fleet.status("router5")["config_version"],
            limit_s=5,
            what="configuration without the platform",
        )
        self.assert_serving(self.fleet.router_names)

    def test_a_killed_scheduler_is_replaced_and_work_goes_on(self):
        victim = self.contract_model_scheduler()
        survivors = self.other_routers(victim)

        async def scenario():
            caller = self.caller(3)
            tasks = []
            for i in range(100):
                router = self.fleet.caller_address(
                    survivors[i % len(survivors)]
                )
                if i == 30:
                    self.fleet.signal_process(victim, signal.SIGKILL)
                send = caller.send(
                    CHAT_PATH,
                    router=router,
                    headers={"Chervilwall-Class": "review"},
                )
                tasks.append(asyncio.create_task(send))
                await asyncio.sleep(0.02)
            return await asyncio.gather(*tasks)

        answers = self.run_async(scenario())
        for answer in answers:
            self.assertTrue(answer.ok, answer)
        self.fleet.wait_exit(victim, 5)
        self.fleet.start_router(victim)
        self.fleet.wait_ready(victim)
        self.wait_for_state(victim, "alive", self.fleet.router_names)

    def test_a_frozen_router_comes_back(self):
        self.fleet.signal_process("router4", signal.SIGSTOP)
        self.addCleanup(self.fleet.signal_process, "router4", signal.SIGCONT)
        self.wait_for_state("router4", "dead", self.other_routers("router4"))
        self.fleet.signal_process("router4", signal.SIGCONT)
        self.wait_for_state("router4", "alive", self.fleet.router_names)
        self.assert_serving(self.fleet.router_names)

    def test_a_cut_in_one_direction_and_back(self):
        hosts = {n: self.fleet.router_ip(n) for n in self.fleet.router_names}
        for name in self.other_routers("router6"):
            self.fleet.relays.cut(hosts[name], hosts["router6"])
        self.addCleanup(self.fleet.relays.heal)
        time.sleep(4.0)
        self.assert_serving(self.fleet.router_names)
        self.fleet.relays.heal()
        for name in self.fleet.router_names:
            self.wait_for_state(name, "alive", self.fleet.router_names)

    def test_both_sides_of_a_partition_serve_and_merge(self):
        hosts = [self.fleet.router_ip(n) for n in self.fleet.router_names]
        for host in hosts[:4]:
            self.fleet.relays.isolate(host, hosts[4:])
        self.addCleanup(self.fleet.relays.heal)
        for name in self.fleet.router_names[4:]:
            self.wait_for_state(name, "dead", self.fleet.router_names[:4])
        self.assert_serving(self.fleet.router_names)
        self.fleet.relays.heal()
        for name in self.fleet.router_names:
            self.wait_for_state(name, "alive", self.fleet.router_names)

    def test_one_lossy_pair_does_not_remove_a_member(self):
        hosts = [self.fleet.router_ip(n) for n in self.fleet.router_names]
        self.fleet.relays.isolate(hosts[1], [hosts[2]])
        self.addCleanup(self.fleet.relays.heal)
        end_time = time.monotonic() + 6.0
        while time.monotonic() < end_time:
            for name in self.fleet.router_names:
                self.assertNotEqual(
                    self.member_states(name, "router3"), ["dead"]
                )
            time.sleep(0.3)
