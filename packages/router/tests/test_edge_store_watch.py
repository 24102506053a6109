"""Tests of following the store through its failures."""

import asyncio
import random
import unittest

from chervilwall.errors import PlatformUnavailableError, RevisionExpiredError
from chervilwall.protocol import ObjectList
from chervilwall.registry import LAPSE_GRACE_S
from chervilwall_router.edge.store_watch import RETURN_WAIT_S, StoreWatch


class _ScriptedStore:
    """Answers calls by a script; an exception in it is raised."""

    def __init__(self, *script):
        self.script = list(script)
        self.waits = []
        self.since = []

    async def list_objects(self, kind, *, stale=False):
        return await self._next()

    async def watch_objects(self, kind, since, wait_s):
        self.waits.append(wait_s)
        self.since.append(since)
        return await self._next()

    async def _next(self):
        if not self.script:
            await asyncio.Event().wait()
        step = self.script.pop(0)
        if isinstance(step, Exception):
            raise step
        return step() if callable(step) else step


class StoreWatchTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 100.0
        self.seen = []
        # What a peer has told of the store, beside the watch.
        self.revision = 0
        self.wanted = True

    def read_list(self, listing, *, doubt_until):
        self.seen.append(("list", listing.revision, doubt_until))

    def read_changes(self, changes, *, doubt_until):
        self.seen.append(("changes", changes.revision, doubt_until))

    async def play(self, *script):
        store = _ScriptedStore(*script)
        watch = StoreWatch(
            store,
            "servers",
            self,
            wait_s=1.0,
            clock=lambda: self.now,
            rng=random.Random(1),
            wanted=lambda: self.wanted,
        )
        task = asyncio.create_task(watch.run())
        async with asyncio.timeout(5.0):
            while store.script:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        task.cancel()
        return store

    def later(self, seconds, revision):
        def step():
            self.now += seconds
            return ObjectList(revision, ())

        return step

    async def test_in_quiet_times_what_is_read_is_final(self):
        await self.play(ObjectList(5, ()), ObjectList(6, ()))
        self.assertEqual(self.seen, [("list", 5, 0.0), ("changes", 6, 0.0)])

    async def test_after_a_failure_registrations_may_be_back_for_a_while(self):
        lost = PlatformUnavailableError("away")
        await self.play(ObjectList(5, ()), lost, self.later(1.0, 6))
        self.assertEqual(self.seen[-1], ("changes", 6, 101.0 + LAPSE_GRACE_S))

    async def test_the_doubt_ends_a_while_after_the_stores_return(self):
        lost = PlatformUnavailableError("away")
        await self.play(
            ObjectList(5, ()),
            lost,
            self.later(1.0, 6),
            self.later(LAPSE_GRACE_S + 0.1, 7),
        )
        self.assertEqual(self.seen[-1], ("changes", 7, 0.0))

    async def test_the_stores_return_shows_before_the_next_change(self):
        lost = PlatformUnavailableError("away")
        store = await self.play(
            ObjectList(5, ()), lost, ObjectList(5, ()), ObjectList(6, ())
        )
        self.assertEqual(store.waits, [1.0, RETURN_WAIT_S, 1.0, 1.0])

    async def test_it_goes_on_after_what_peers_have_told(self):
        lost = PlatformUnavailableError("away")

        def told():
            self.revision = 9
            raise lost

        store = await self.play(ObjectList(5, ()), told, ObjectList(9, ()))
        self.assertEqual(store.since[:2], [5, 9])

    async def test_changes_older_than_what_peers_have_told_are_not_read(self):
        def told_meanwhile():
            self.revision = 9
            return ObjectList(7, ())

        await self.play(ObjectList(5, ()), told_meanwhile, ObjectList(10, ()))
        self.assertEqual([s[1] for s in self.seen], [5, 10])

    async def test_it_rests_while_others_tell_and_goes_on_from_there(self):
        def read():
            self.wanted = False
            loop = asyncio.get_running_loop()
            loop.call_later(0.3, self.tell, 8)
            return ObjectList(5, ())

        store = await self.play(read, ObjectList(9, ()))
        self.assertEqual(store.since, [8, 9])

    def tell(self, revision):
        self.revision = revision
        self.wanted = True

    async def test_forgotten_history_is_read_anew(self):
        gone = RevisionExpiredError("gone")
        await self.play(ObjectList(5, ()), gone, ObjectList(9, ()))
        self.assertEqual([s[0] for s in self.seen], ["list", "list"])
