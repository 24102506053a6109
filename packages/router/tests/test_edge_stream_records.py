"""Tests of the stored and exchanged origins of streams."""

import asyncio
import contextlib
import random
import time
import unittest

import msgspec
from chervilwall.edge_messages import StreamOriginsUpdate
from chervilwall.errors import (
    MissingObjectError,
    PlatformUnavailableError,
    RequestRefusedError,
    VersionConflictError,
)
from chervilwall.protocol import ObjectList, StoredObject
from chervilwall.registry import RegisteredTarget
from chervilwall.store_era import StoreEra
from chervilwall.stream_origins import StreamDemand, stream_id
from chervilwall.stream_versions import StreamVersions
from chervilwall_router.edge import stream_records as sr

OLD, NEW = "v1", "v1.1"
RETENTION_S = 30.0
# Long enough for several rounds of a router.
SETTLE_S = 0.35
# Largest value of an object that the users' platform accepts.
MAX_VALUE_BYTES = 1 << 20


class _Store:
    """Object store in memory, which is away while `is_away` is set."""

    def __init__(self):
        self.objects = {}
        self.calls = []
        self.revision = 0
        self.is_away = False
        # Calls that fail, each once.
        self.failing = []
        self.era = StoreEra()

    async def read(self, kind, name):
        self._call("read", kind)
        return self.objects.get((kind, name))

    async def list_objects(self, kind, *, stale=False):
        self._call("list", kind)
        found = [o for (k, _), o in self.objects.items() if k == kind]
        return ObjectList(self.revision, tuple(found))

    async def create(self, kind, name, value):
        self._call("create", kind)
        if (kind, name) in self.objects:
            raise VersionConflictError("exists")
        return self._put(kind, name, value)

    async def replace(self, kind, name, value, *, revision):
        self._call("replace", kind)
        known = self.objects.get((kind, name))
        if known is None:
            raise MissingObjectError("missing")
        if revision not in (None, known.position):
            raise VersionConflictError("changed")
        return self._put(kind, name, value)

    async def remove(self, kind, name):
        self._call("remove", kind)
        self.objects.pop((kind, name), None)

    def kinds(self):
        return {kind for kind, _ in self.objects}

    def _put(self, kind, name, value):
        if len(value) > MAX_VALUE_BYTES:
            raise PlatformUnavailableError("status 413", step="put")
        self.revision += 1
        item = StoredObject(name, self.revision, value)
        self.objects[kind, name] = item
        return item

    def _call(self, name, kind):
        self.calls.append((name, kind))
        if (name, kind) in self.failing:
            self.failing.remove((name, kind))
            raise PlatformUnavailableError("no answer", step=name)
        if self.is_away:
            raise PlatformUnavailableError("away", step=name)


class _Router:
    """The records of one router, and a clock that tests may advance."""

    def __init__(self, store, name):
        self.advanced_s = 0.0
        self.has_peer_majority = True
        self.streams = StreamVersions(lambda service: RETENTION_S)
        self.records = sr.StreamRecords(
            sr.StreamRecordParts(
                store,
                name,
                # A store of a later era has held what it lost.
                not store.era.number,
                self.streams,
                lambda: None,
                lambda: (),
                lambda: self.has_peer_majority,
                self.clock,
                random.Random(1),
            )
        )

    def clock(self):
        return time.monotonic() + self.advanced_s

    def register(self, *versions):
        self.targets = {
            v: RegisteredTarget(f"i-{v}", "svc", "a:1", "z", 8, version=v)
            for v in versions
        }
        self.streams.services.observe(self.targets.values(), self.clock())
        self.records.check_versions()

    def begin(self, attempt, version):
        stream = StreamDemand(stream_id(attempt))
        target = self.targets[version]
        self.streams.record_granted(stream, target, self.clock())

    def relay(self, attempt, version):
        stream = StreamDemand(stream_id(attempt))
        target = self.targets[version]
        self.streams.record_relayed(stream, target, self.clock())

    async def confirm(self, attempt):
        stream = StreamDemand(stream_id("next"), stream_id(attempt))
        return await self.records.confirm_versions("svc", stream)

    def version_of(self, attempt):
        stream = StreamDemand(stream_id("next"), stream_id(attempt))
        try:
            return self.streams.bind("svc", stream, self.clock()).version
        except RequestRefusedError:
            return None


class StreamRecordsTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.store = _Store()
        self.tasks = []

    async def asyncTearDown(self):
        for task in self.tasks:
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(*self.tasks)

    async def start(self, name, *versions):
        router = _Router(self.store, name)
        router.register(*versions)
        self.tasks.append(asyncio.create_task(router.records.run()))
        await router.records.wait_for_versions("svc")
        return router

    def kill_all(self):
        for task in self.tasks:
            task.cancel()
        self.tasks.clear()

    async def test_streams_of_mixed_versions_survive_the_loss_of_all(self):
        first = await self.start("r0", OLD, NEW)
        await asyncio.sleep(SETTLE_S)
        first.begin("a1", OLD)
        first.begin("a2", NEW)
        await asyncio.sleep(SETTLE_S)
        self.kill_all()
        second = await self.start("r1", OLD, NEW)
        self.assertEqual(second.version_of("a1"), OLD)
        self.assertEqual(second.version_of("a2"), NEW)
        self.assertIsNone(second.version_of("a3"))

    async def test_running_streams_are_written_before_a_version_is_agreed(self):
        first = await self.start("r0", OLD)
        first.begin("a1", OLD)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.store.kinds(), {sr.VERSIONS_KIND})
        first.register(OLD, NEW)
        await asyncio.sleep(SETTLE_S)
        writes = [kind for name, kind in self.store.calls if name != "list"]
        self.assertLess(
            writes.index(sr.ORIGINS_KIND),
            len(writes) - 1 - writes[::-1].index(sr.VERSIONS_KIND),
        )
        self.kill_all()
        second = await self.start("r1", OLD, NEW)
        self.assertEqual(second.version_of("a1"), OLD)

    async def test_a_version_that_left_during_the_loss_is_not_guessed(self):
        await self.start("r0", OLD)
        await asyncio.sleep(SETTLE_S)
        self.kill_all()
        second = await self.start("r1", NEW)
        self.assertIsNone(second.version_of("a1"))

    async def test_streams_of_one_version_go_on_after_the_loss_of_all(self):
        await self.start("r0", OLD)
        await asyncio.sleep(SETTLE_S)
        self.kill_all()
        second = await self.start("r1", OLD)
        self.assertEqual(second.version_of("a1"), OLD)

    async def test_nothing_is_written_while_one_version_serves(self):
        first = await self.start("r0", OLD)
        await asyncio.sleep(SETTLE_S)
        self.store.calls.clear()
        first.begin("a1", OLD)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.store.calls, [])
        self.assertEqual(list(first.records.messages()), [])

    async def test_records_are_removed_after_the_older_version_has_left(self):
        first = await self.start("r0", OLD, NEW)
        first.begin("a1", OLD)
        await asyncio.sleep(SETTLE_S)
        self.assertIn(sr.ORIGINS_KIND, self.store.kinds())
        first.register(NEW)
        first.advanced_s = 1.1 * RETENTION_S
        await first.records.wait_for_versions("svc")
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.store.kinds(), {sr.VERSIONS_KIND})
        self.assertEqual(first.version_of("a9"), NEW)

    async def test_two_routers_agree_on_the_union_of_what_they_see(self):
        first = await self.start("r0", OLD)
        second = await self.start("r1", OLD)
        for router in (first, second):
            # Streams from before they started are not resumed any more.
            router.advanced_s = 1.1 * RETENTION_S
            await router.records.wait_for_versions("svc")
        first.register(OLD, NEW)
        second.register(OLD, "v2")
        await asyncio.sleep(2 * SETTLE_S)
        for router in (first, second):
            self.assertIsNone(router.version_of("a1"))
        item = self.store.objects[sr.VERSIONS_KIND, "svc"]
        for version in (OLD, NEW, "v2"):
            self.assertIn(f'"{version}"'.encode(), item.value)

    async def test_a_store_that_is_away_delays_streams_for_a_second_once(self):
        self.store.is_away = True
        started_at = time.monotonic()
        router = await self.start("r0", OLD)
        self.assertLess(time.monotonic() - started_at, 1.5)
        self.assertIsNone(router.version_of("a1"))
        started_at = time.monotonic()
        await router.records.wait_for_versions("svc")
        self.assertLess(time.monotonic() - started_at, 0.1)
        self.store.is_away = False
        await asyncio.sleep(2.5)
        self.assertEqual(router.version_of("a1"), OLD)

    async def test_peers_know_the_streams_that_another_router_relays(self):
        first = await self.start("r0", OLD, NEW)
        second = _Router(self.store, "r1")
        second.register(OLD, NEW)
        await asyncio.sleep(SETTLE_S)
        for number in range(3 * sr.MAX_REPORTED_STREAMS):
            first.relay(f"a{number}", NEW)
        for message in first.records.messages():
            second.records.receive(message)
        self.assertEqual(second.version_of("a0"), NEW)
        self.assertEqual(second.version_of("a299"), NEW)

    async def test_a_stream_with_two_stored_origins_is_not_known(self):
        for name, version in (("r0", OLD), ("r1", NEW)):
            router = await self.start(name, OLD, NEW)
            await asyncio.sleep(SETTLE_S)
            router.begin("a1", version)
            await asyncio.sleep(SETTLE_S)
            self.kill_all()
        third = await self.start("r2", OLD, NEW)
        self.assertIsNone(third.version_of("a1"))

    async def test_a_router_that_is_cut_off_concludes_nothing(self):
        router = await self.start("r0", OLD)
        await asyncio.sleep(SETTLE_S)
        router.advanced_s = 2 * sr.CONFIRM_TTL_S
        self.store.is_away = True
        self.assertTrue(await router.confirm("a9"))
        router.has_peer_majority = False
        self.assertFalse(await router.confirm("a9"))
        self.store.is_away = False
        self.assertTrue(await router.confirm("a9"))

    async def test_a_router_learns_what_was_agreed_without_it(self):
        cut_off = await self.start("r0", OLD)
        await asyncio.sleep(SETTLE_S)
        other = await self.start("r1", OLD, NEW)
        await asyncio.sleep(SETTLE_S)
        other.begin("a1", NEW)
        await asyncio.sleep(SETTLE_S)
        cut_off.advanced_s = 2 * sr.CONFIRM_TTL_S
        self.assertTrue(await cut_off.confirm("a1"))
        self.assertEqual(cut_off.version_of("a1"), NEW)
        self.assertIsNone(cut_off.version_of("a2"))

    async def test_the_later_batch_of_a_router_counts(self):
        first = await self.start("r0", OLD, NEW)
        for version in (OLD, NEW):
            first.begin("a1", version)
            await asyncio.sleep(sr.MIN_BATCH_S + SETTLE_S)
        first.begin("a2", OLD)
        await asyncio.sleep(SETTLE_S)
        batches = [k for k, _ in self.store.objects if k == sr.ORIGINS_KIND]
        self.assertGreater(len(batches), 1)
        self.kill_all()
        second = await self.start("r1", OLD, NEW)
        self.assertEqual(second.version_of("a1"), NEW)

    async def test_a_stream_that_is_about_to_be_written_is_waited_for(self):
        first = await self.start("r0", OLD, NEW)
        second = await self.start("r1", OLD, NEW)
        await asyncio.sleep(SETTLE_S)
        second.advanced_s = 2 * sr.CONFIRM_TTL_S
        first.begin("a1", NEW)
        self.assertTrue(await second.confirm("a1"))
        self.assertEqual(second.version_of("a1"), NEW)

    async def test_odd_records_of_other_writers_are_refused(self):
        deep = b"[" * 5000 + b"]" * 5000
        self.store._put(sr.VERSIONS_KIND, "svc", deep)
        self.store._put(sr.ORIGINS_KIND, "r9", deep)
        self.store._put(
            sr.ORIGINS_KIND,
            "r8.1",
            b'{"router":"r8","batch":1,"services":{"svc":{"v1":"%%"}}}',
        )
        router = await self.start("r0", OLD, NEW)
        await asyncio.sleep(SETTLE_S)
        router.begin("a1", NEW)
        self.assertEqual(router.version_of("a1"), NEW)

    async def test_a_batch_that_could_not_be_created_is_written_again(self):
        first = await self.start("r0", OLD)
        first.begin("a1", OLD)
        await asyncio.sleep(SETTLE_S)
        self.store.failing = [("create", sr.ORIGINS_KIND)]
        first.register(OLD, NEW)
        await asyncio.sleep(2 * SETTLE_S)
        self.kill_all()
        second = await self.start("r1", OLD, NEW)
        self.assertEqual(second.version_of("a1"), OLD)

    async def test_ended_streams_are_not_written_again_while_versions_are_mixed(
        self,
    ):
        router = await self.start("r0", OLD, NEW)
        router.begin("a1", OLD)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.batches_with("a1"), 1)
        router.advanced_s = 1.1 * RETENTION_S
        await router.records.wait_for_versions("svc")
        await asyncio.sleep(SETTLE_S)
        await router.confirm("unknown")
        router.begin("a2", NEW)
        await asyncio.sleep(SETTLE_S)
        self.assertEqual(self.batches_with("a2"), 1)
        self.assertEqual(self.batches_with("a1"), 1)

    async def test_more_streams_than_an_object_holds_are_written(self):
        first = await self.start("r0", OLD)
        for number in range(110_000):
            first.begin(f"a{number}", OLD)
        first.register(OLD, NEW)
        await asyncio.sleep(4 * SETTLE_S)
        self.kill_all()
        second = await self.start("r1", OLD, NEW)
        self.assertEqual(second.version_of("a0"), OLD)
        self.assertEqual(second.version_of("a109999"), OLD)

    async def test_streams_from_before_a_release_during_the_loss_go_on(self):
        await self.start("r0", OLD)
        await asyncio.sleep(SETTLE_S)
        self.kill_all()
        second = await self.start("r1", OLD, NEW)
        await second.confirm("a1")
        self.assertEqual(second.version_of("a1"), OLD)

    async def test_streams_of_a_release_after_two_losses_are_not_guessed(self):
        await self.start("r0", OLD)
        await asyncio.sleep(SETTLE_S)
        self.kill_all()
        second = await self.start("r1", OLD, NEW)
        await asyncio.sleep(SETTLE_S)
        second.begin("a1", NEW)
        self.kill_all()
        third = await self.start("r2", OLD, NEW)
        self.assertIsNone(third.version_of("a1"))

    async def test_a_router_that_starts_later_learns_it_from_a_peer(self):
        await self.start("r0", OLD)
        await asyncio.sleep(SETTLE_S)
        self.kill_all()
        second = await self.start("r1", OLD, NEW)
        second.begin("a0", NEW)
        await asyncio.sleep(SETTLE_S)
        third = await self.start("r2", OLD, NEW)
        self.assertIsNone(third.version_of("a1"))
        for message in list(second.records.messages()):
            third.records.receive(message)
        self.assertEqual(third.version_of("a1"), OLD)

    async def test_versions_that_a_restored_store_never_held_are_not_guessed(
        self,
    ):
        self.store.era.learn(3, "store")
        router = await self.start("r0", NEW)
        self.assertIsNone(router.version_of("a1"))

    async def test_a_store_that_stays_away_delays_streams_for_one_second_in_all(
        self,
    ):
        self.store.is_away = True
        router = await self.start("r0", OLD)
        await router.records.wait_for_versions("svc")
        waited_from = time.monotonic()
        for _ in range(3):
            await router.records.wait_for_versions("svc")
        self.assertLess(time.monotonic() - waited_from, 0.5)

    async def test_a_version_that_left_is_not_kept_by_what_peers_repeat(self):
        agreed = StreamOriginsUpdate("svc", (OLD, NEW))
        first, second = (_Router(self.store, name) for name in ("r0", "r1"))
        for router in (first, second):
            router.register(OLD, NEW)
            router.records.receive(agreed)
            router.register(NEW)
        first.advanced_s = 1.1 * RETENTION_S
        first.streams.expire(first.clock())
        second.advanced_s = 0.9 * RETENTION_S
        second.streams.expire(second.clock())
        second.relay("a1", NEW)
        for message in list(second.records.messages()):
            first.records.receive(message)
        self.assertFalse(first.streams.services.are_mixed("svc"))

    def batches_with(self, attempt):
        """Returns the number of stored batches that hold a stream."""
        return sum(
            stream_id(attempt) in sr._decode_ids(self.decode(item))
            for (kind, _), item in self.store.objects.items()
            if kind == sr.ORIGINS_KIND
        )

    def decode(self, item):
        return msgspec.json.decode(item.value, type=sr._StoredOrigins)
