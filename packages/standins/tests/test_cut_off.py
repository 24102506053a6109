"""Tests a router that cannot reach the platform while its peers can.

It must obtain the configuration from peers, run requests that need no claim,
refuse the others as not executed, and hand over its counters when it stops.
"""

import signal

from chervilwall_standins.case import CHAT_PATH, FILING_PATH, FleetCase
from chervilwall_standins.fleet import wait_for
from chervilwall_standins.loopback import free_port

STOP_TIMEOUT_S = 25.0


class CutOffTest(FleetCase):
    def test_it_serves_refuses_claims_truthfully_and_stops(self):
        self.fleet.signal_process("router2", signal.SIGKILL)
        self.fleet.wait_exit("router2", 5)
        unreachable_platform = f"http://127.0.0.1:{free_port()}"
        self.fleet.start_router("router2", platform=unreachable_platform)
        self.fleet.wait_ready("router2")
        wait_for(
            lambda: self.fleet.status("router2")["config_version"],
            limit_s=5,
            what="configuration received from peers",
        )
        address = self.fleet.caller_address("router2")

        async def scenario():
            caller = self.caller(3)
            chat = await caller.send(CHAT_PATH, router=address)
            headers = {"Idempotency-Key": "cut-off"}
            booking = await caller.send(
                FILING_PATH, label="cut-off", router=address, headers=headers
            )
            return chat, booking

        chat, booking = self.run_async(scenario())
        self.assertTrue(chat.ok, chat)
        self.assertEqual(booking.problem["executed"], "no")
        self.assertEqual(self.count_runs("cut-off"), 0)
        self.fleet.signal_process("router2", signal.SIGTERM)
        self.assertEqual(self.fleet.wait_exit("router2", STOP_TIMEOUT_S), 0)
        # On exit it hands its counters to peers, which write them to the
        # platform once it is gone.
        team = f"{self.deployment.name}-team03"

        def is_reported():
            lines = self.ctl("report").stdout.splitlines()
            chats = [x.split() for x in lines if team in x and "chat" in x]
            return chats and int(chats[0][3]) == 1

        wait_for(is_reported, limit_s=15, what="the chat in the report")
