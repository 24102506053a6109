"""A router that alone cannot reach the platform."""

import signal

from chervilwall_standins.case import CHAT_PATH, FILING_PATH, FleetCase
from chervilwall_standins.fleet import wait_for
from chervilwall_standins.loopback import free_port

STOP_LIMIT_S = 25.0


class CutOffTest(FleetCase):
    def test_it_serves_refuses_claims_truthfully_and_stops(self):
        self.fleet.send_signal("router2", signal.SIGKILL)
        self.fleet.wait_exit("router2", 5)
        nowhere = f"http://127.0.0.1:{free_port()}"
        self.fleet.start_router("router2", platform=nowhere)
        self.fleet.wait_ready("router2")
        wait_for(
            lambda: self.fleet.status("router2")["config_version"],
            limit_s=5,
            what="configuration by peers",
        )
        address = self.fleet.address("router2")

        async def work():
            caller = self.caller(3)
            chat = await caller.send(CHAT_PATH, router=address)
            key = {"Idempotency-Key": "cut-off"}
            booking = await caller.send(
                FILING_PATH, label="cut-off", router=address, headers=key
            )
            return chat, booking

        chat, booking = self.run_async(work())
        self.assertTrue(chat.ok, chat)
        self.assertEqual(booking.problem["executed"], "no")
        self.assertEqual(self.runs("cut-off"), 0)
        self.fleet.send_signal("router2", signal.SIGTERM)
        self.assertEqual(self.fleet.wait_exit("router2", STOP_LIMIT_S), 0)
        # Its counters were handed to peers, who write them once it is gone.
        team = f"{self.dep.name}-team03"

        def reported():
            lines = self.ctl("report").stdout.splitlines()
            chats = [x.split() for x in lines if team in x and "chat" in x]
            return chats and int(chats[0][3]) == 1

        wait_for(reported, limit_s=15, what="its service in the report")
