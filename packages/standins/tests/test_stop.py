"""Tests that a planned stop of a router cuts off no request in progress."""

import asyncio
import signal
import time

from chervilwall_standins.caller import is_complete_stream
from chervilwall_standins.case import CHAT_PATH, FleetCase
from chervilwall_standins.fleet import OPERATOR_KEY, call_json, wait_for

TOKENS = 40


class StopTest(FleetCase):
    engine_args = ("--token-s", "0.02")

    async def send_streams_during(self, disturb):
        """Sends streaming requests at a steady rate while `disturb` runs.

        Returns:
            list: Label and answer of each request.
        """
        caller = self.caller(7)
        tasks = []
        disturbance = asyncio.create_task(asyncio.to_thread(disturb))
        while not disturbance.done():
            label = f"{self._testMethodName}{len(tasks)}"
            send = caller.send(
                CHAT_PATH, label=label, tokens=TOKENS, stream=True
            )
            tasks.append((label, asyncio.create_task(send)))
            await asyncio.sleep(0.03)
        await disturbance
        return [(label, await task) for label, task in tasks]

    def assert_streams_complete(self, results):
        self.assertTrue(results)
        for label, answer in results:
            self.assertTrue(is_complete_stream(answer, label, TOKENS), answer)
            self.assertEqual(self.count_runs(label), 1)

    def restart_after_exit(self, name):
        self.assertEqual(self.fleet.wait_exit(name, 20), 0)
        self.fleet.start_router(name)
        self.fleet.wait_ready(name)
        wait_for(
            lambda: self.fleet.status(name)["config_version"],
            limit_s=5,
            what=f"configuration in force on {name}",
        )

    def listed_routers(self, router):
        routers = call_json(f"{self.fleet.router_url(router)}/v1/routers")[
            "routers"
        ]
        return {r["name"] for r in routers}

    def test_rolling_restart_under_load_loses_nothing(self):
        def disturb():
            for name in self.fleet.router_names:
                self.fleet.signal_process(name, signal.SIGTERM)
                self.restart_after_exit(name)
                wait_for(
                    lambda: (
                        self.listed_routers("router1")
                        == set(self.fleet.router_names)
                    ),
                    limit_s=5,
                    what="all routers in the list for callers",
                )

        results = self.run_async(self.send_streams_during(disturb))
        self.assert_streams_complete(results)

    def test_two_stops_at_once_lose_nothing(self):
        def disturb():
            time.sleep(0.3)
            for name in ("router1", "router2"):
                self.fleet.signal_process(name, signal.SIGTERM)
            for name in ("router1", "router2"):
                self.restart_after_exit(name)

        results = self.run_async(self.send_streams_during(disturb))
        self.assert_streams_complete(results)

    def test_a_leaving_router_is_no_longer_named_to_callers(self):
        url = f"{self.fleet.router_url('router2')}/v1/admin/drain"
        call_json(url, {}, key=OPERATOR_KEY)
        elapsed_s = wait_for(
            lambda: "router2" not in self.listed_routers("router1"),
            limit_s=1.0,
            what="router2 removed from the list for callers",
        )
        self.assertLess(elapsed_s, 1.0)
        self.restart_after_exit("router2")
