"""Tests that every target ends up with the model that is configured.

Only the router that holds the lease sends orders. A paused holder that resumes
after it lost the lease must not overwrite newer orders: its fencing number is
lower than that of the new holder.
"""

import asyncio
import signal
import time

import msgspec
from chervilwall.config import CONFIG_KEY, decode_object
from chervilwall_platform.client import HttpPlatform
from chervilwall_standins.case import FleetCase
from chervilwall_standins.fleet import call_json, wait_for

LOADS_PER_S = 2.0
OBSERVATION_S = 4.0


class ModelOrdersTest(FleetCase):
    engine_args = ("--fencing",)
    routers = 3
    settings = {
        "timing": {"address_ttl_s": 1},
        "limits": {"weight_loads_per_s": LOADS_PER_S},
    }

    def configure_model(self, model):
        """Writes a configuration in which all targets have this model."""

        async def scenario():
            platform = HttpPlatform(self.fleet.platform_url)
            stored = await platform.get(CONFIG_KEY)
            current = decode_object(stored.value)
            engine = self.deployment.engine_service
            targets = tuple(
                t._replace(model=model, checks_fencing=t.service == engine)
                for t in current.config.targets
            )
            config = current.config._replace(targets=targets)
            value = msgspec.json.encode(current._replace(config=config))
            await platform.put(CONFIG_KEY, value, if_version=stored.version)

        self.run_async(scenario())

    def target_status(self, address):
        return call_json(f"http://{address}/admin")

    def wait_loaded(self, model, limit_s):
        addresses = (
            *self.deployment.engine_addresses,
            *self.deployment.plain_addresses,
        )
        wait_for(
            lambda: all(
                self.target_status(a)["model"] == model for a in addresses
            ),
            limit_s=limit_s,
            what=f"model {model} everywhere",
        )

    def lease_record(self):
        """Returns the fields of the stored lease on sending orders."""

        async def scenario():
            platform = HttpPlatform(self.fleet.platform_url)
            found = await platform.get("leases/orders")
            return msgspec.msgpack.decode(found.value)

        return self.run_async(scenario())

    def test_orders_follow_the_configuration_through_a_paused_holder(self):
        self.configure_model("v1")
        self.wait_loaded("v1", 60)
        name, previous_fencing = (
            self.lease_record()[0].rsplit("-", 1)[0],
            self.lease_record()[3],
        )
        self.fleet.signal_process(name, signal.SIGSTOP)
        self.addCleanup(self.fleet.signal_process, name, signal.SIGCONT)
        self.configure_model("v2")
        wait_for(
            lambda: self.lease_record()[3] > previous_fencing,
            limit_s=30,
            what="a new holder of the lease",
        )
        self.wait_loaded("v2", 90)
        self.fleet.signal_process(name, signal.SIGCONT)
        time.sleep(3.0)
        self.wait_loaded("v2", 10)
        for address in self.deployment.engine_addresses:
            numbers = [
                o["fencing"] for o in self.target_status(address)["orders"]
            ]
            self.assertEqual(numbers, sorted(numbers))

    def test_weight_loads_stay_below_the_rate(self):
        self.configure_model("v9")

        async def count_orders():
            started = time.monotonic()
            order_counts = []
            while time.monotonic() - started < OBSERVATION_S:
                total = sum(
                    len(self.target_status(a)["orders"])
                    for a in (
                        *self.deployment.engine_addresses,
                        *self.deployment.plain_addresses,
                    )
                )
                order_counts.append(total)
                await asyncio.sleep(0.2)
            return order_counts[-1] - order_counts[0]

        # One order may already be due when the observation begins.
        limit = OBSERVATION_S * LOADS_PER_S + 1
        self.assertLessEqual(self.run_async(count_orders()), limit)
