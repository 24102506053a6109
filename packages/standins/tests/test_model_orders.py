"""Promise: no target ends in a state that the configuration does not ask."""

import asyncio
import signal
import time

import msgspec
from chervilwall.config import CONFIG_KEY, decode_object
from chervilwall_platform.client import HttpPlatform
from chervilwall_standins.case import FleetCase
from chervilwall_standins.fleet import call_json, wait_for

LOADS_PER_S = 2.0
WATCHED_S = 4.0


class ModelOrdersTest(FleetCase):
    engine_args = ("--fencing",)
    routers = 3
    settings = {
        "timing": {"address_ttl_s": 1},
        "limits": {"weight_loads_per_s": LOADS_PER_S},
    }

    def ask_for(self, model):
        """Asks that all engines load a model."""

        async def work():
            platform = HttpPlatform(self.fleet.platform_url)
            found = await platform.get(CONFIG_KEY)
            standing = decode_object(found.value)
            engine = self.dep.engine
            targets = tuple(
                t._replace(model=model, checks_fencing=t.service == engine)
                for t in standing.config.targets
            )
            config = standing.config._replace(targets=targets)
            value = msgspec.json.encode(standing._replace(config=config))
            await platform.put(CONFIG_KEY, value, if_version=found.version)

        self.run_async(work())

    def admin(self, address):
        return call_json(f"http://{address}/admin")

    def wait_loaded(self, model, limit_s):
        addresses = (*self.dep.engines, *self.dep.plains)
        wait_for(
            lambda: all(self.admin(a)["model"] == model for a in addresses),
            limit_s=limit_s,
            what=f"model {model} everywhere",
        )

    def holder(self):
        async def work():
            platform = HttpPlatform(self.fleet.platform_url)
            found = await platform.get("leases/orders")
            return msgspec.msgpack.decode(found.value)

        return self.run_async(work())

    def test_orders_follow_the_configuration_through_a_paused_holder(self):
        self.ask_for("v1")
        self.wait_loaded("v1", 60)
        name, fencing = self.holder()[0].rsplit("-", 1)[0], self.holder()[3]
        self.fleet.send_signal(name, signal.SIGSTOP)
        self.addCleanup(self.fleet.send_signal, name, signal.SIGCONT)
        self.ask_for("v2")
        wait_for(
            lambda: self.holder()[3] > fencing, limit_s=30, what="new holder"
        )
        self.wait_loaded("v2", 90)
        self.fleet.send_signal(name, signal.SIGCONT)
        time.sleep(3.0)
        self.wait_loaded("v2", 10)
        for address in self.dep.engines:
            numbers = [o["fencing"] for o in self.admin(address)["orders"]]
            self.assertEqual(numbers, sorted(numbers))

    def test_weight_loads_stay_below_the_rate(self):
        self.ask_for("v9")

        async def count():
            started = time.monotonic()
            seen = []
            while time.monotonic() - started < WATCHED_S:
                total = sum(
                    len(self.admin(a)["orders"])
                    for a in (*self.dep.engines, *self.dep.plains)
                )
                seen.append(total)
                await asyncio.sleep(0.2)
            return seen[-1] - seen[0]

        # One order may have been due already at the start.
        limit = WATCHED_S * LOADS_PER_S + 1
        self.assertLessEqual(self.run_async(count()), limit)
