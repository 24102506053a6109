"""Tests of routers that exchange frames in memory, without sockets."""

import asyncio
import unittest
from unittest import mock

import msgspec
from chervilwall.cell_messages import ConfigPull, ConfigPush
from chervilwall.codec import FrameCodec
from chervilwall.config import (
    Config,
    ConfigObject,
    RequestClass,
    Service,
    Target,
    Team,
)
from chervilwall.errors import PlatformError
from chervilwall.membership import STATE_ALIVE
from chervilwall.protocol import PlatformObject
from chervilwall_router.router import Router
from chervilwall_router.settings import ListenSettings, RouterSettings

FLEET_KEY = "fleet-key-of-the-test"
CONFIG = Config(
    teams=(Team("a", 1.0),),
    services=tuple(Service(f"svc{i}") for i in range(3)),
    classes=tuple(RequestClass("c", f"svc{i}", f"/{i}") for i in range(3)),
    targets=tuple(
        Target(f"t{i}", f"svc{i}", f"10.0.0.{i}:80") for i in range(3)
    ),
)
STORED = msgspec.json.encode(ConfigObject(CONFIG, "id"))


class MemoryMesh:
    """Queue the frames of a router instead of sending them."""

    def __init__(self, name, sent):
        self.codec = FrameCodec([FLEET_KEY.encode()])
        self._name = name
        self._sent = sent

    def send(self, address, message):
        frame = self.codec.encode(self._name, 1, [message])
        self._sent.append((address, frame))

    def close_other_sockets(self, addresses):
        """Does nothing, as there are no sockets."""


class SlowPlatform:
    """Answer reads of the configuration once the test says so."""

    def __init__(self):
        self.value = STORED
        self.may_answer = asyncio.Event()

    async def get(self, key):
        await self.may_answer.wait()
        return PlatformObject(key, 7, self.value)

    def close(self):
        """Does nothing, as there are no connections."""


class UnreadyRouterTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.sent = []
        self.routers = {}
        self.platforms = {}
        for name in ("r1", "r2", "r3"):
            self.add_router(name)
        for name in ("r1", "r2"):
            self.platforms[name].may_answer.set()
            await self.routers[name]._config_watcher.poll()
        for router in self.routers.values():
            router._fleet.join()
        self.deliver()

    def add_router(self, name):
        addresses = {f"r{i}": f"127.0.0.{i}:1" for i in (1, 2, 3)}
        settings = RouterSettings(
            name=name,
            zone="az1",
            listen=ListenSettings(addresses[name], addresses[name]),
            platform="http://127.0.0.1:1",
            fleet_keys=[FLEET_KEY],
            seeds=list(addresses.values()),
        )
        self.platforms[name] = SlowPlatform()
        with (
            mock.patch(
                "chervilwall_router.router.HttpPlatform",
                return_value=self.platforms[name],
            ),
            mock.patch.object(
                Router, "_make_mesh", lambda _: MemoryMesh(name, self.sent)
            ),
            mock.patch("chervilwall_router.router.time.time", lambda: 0.001),
        ):
            router = Router(settings)
        self.addCleanup(router._cell_host.close)
        self.addCleanup(router._model_orders.close)
        self.routers[name] = router

    def deliver(self):
        """Delivers all frames but those that carry the configuration."""
        by_address = {
            r._membership.me.peer_address: r for r in self.routers.values()
        }
        while self.sent:
            address, data = self.sent.pop(0)
            router = by_address[address]
            frame = router._mesh.codec.decode(data)
            if not isinstance(frame.messages[0], ConfigPull | ConfigPush):
                router._fleet.on_frame(frame)

    def named(self):
        """Returns the names that each router gives to callers."""
        return {
            name: {m.name for m in router._membership.ready_members()}
            for name, router in self.routers.items()
        }

    def assert_named(self, *names):
        self.assertEqual(self.named(), dict.fromkeys(self.routers, set(names)))

    async def test_a_router_is_not_named_while_its_first_read_is_delayed(self):
        read = asyncio.create_task(self.routers["r3"]._config_watcher.poll())
        await asyncio.sleep(0)
        for router in self.routers.values():
            self.assertEqual(
                [m.state for m in router._membership.members()],
                3 * [STATE_ALIVE],
            )
        self.assert_named("r1", "r2")
        self.platforms["r3"].may_answer.set()
        await read
        self.deliver()
        self.assert_named("r1", "r2", "r3")

    async def test_a_router_is_not_named_if_it_cannot_read_one(self):
        self.platforms["r3"].value = b"{"
        self.platforms["r3"].may_answer.set()
        with self.assertRaises(PlatformError):
            await self.routers["r3"]._config_watcher.poll()
        self.deliver()
        self.assert_named("r1", "r2")

    async def test_a_router_without_teams_is_not_named(self):
        self.platforms["r3"].value = msgspec.json.encode(
            ConfigObject(Config(), "id")
        )
        self.platforms["r3"].may_answer.set()
        await self.routers["r3"]._config_watcher.poll()
        self.deliver()
        self.assert_named("r1", "r2")

    async def test_a_router_schedules_nothing_until_it_knows_the_cells(self):
        for name in ("r1", "r2"):
            owners = self.routers[name]._cell_host.router_by_cell
            self.assertEqual(set(owners.values()), {"r1", "r2"}, name)
        self.platforms["r3"].may_answer.set()
        await self.routers["r3"]._config_watcher.poll()
        self.deliver()
        for name, router in self.routers.items():
            owners = router._cell_host.router_by_cell
            self.assertEqual(set(owners.values()), set(self.routers), name)
            for cell, owner in owners.items():
                self.assertTrue(
                    self.routers[owner]._cell_host.is_scheduled_here(cell)
                )
