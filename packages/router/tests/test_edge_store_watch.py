"""Tests of watches of the object store, in particular during outages."""

import asyncio
import random
import unittest
from unittest import mock

from chervilwall import events
from chervilwall.errors import (
    PlatformUnavailableError,
    RevisionExpiredError,
    UnreadablePageError,
    WatchCutError,
)
from chervilwall.protocol import ObjectList, StoredObject
from chervilwall.registry import LAPSE_GRACE_S
from chervilwall.store_era import StoreRevision
from chervilwall_router.edge.store_watch import (
    RECOVERY_WAIT_S,
    RESTART_SPREAD_S,
    StoreWatch,
)


class _ScriptedStore:
    """Object store whose calls return the items of a script in turn.

    Items that are exceptions are raised, and functions are called. Once the
    script has ended, calls block.
    """

    def __init__(self, *script):
        self.script = list(script)
        self.waits = []
        self.since = []
        self.listed_at = []

    async def list_objects(self, kind, *, stale=False):
        self.listed_at.append(asyncio.get_running_loop().time())
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


class _SilentStore(_ScriptedStore):
    """Object store that answers lists and loses the responses to watches.

    Attributes:
        next_watch (ObjectList | None): Answer to the second watch.
    """

    next_watch = None

    async def watch_objects(self, kind, since, wait_s):
        self.since.append(since)
        if len(self.since) != 2 or self.next_watch is None:
            await asyncio.Event().wait()
        return self.next_watch


class StoreWatchTest(unittest.IsolatedAsyncioTestCase):
    """Tests of StoreWatch; each test case is the handler of its watch."""

    def setUp(self):
        self.now = 100.0
        # Calls of the handler: what was read, revision and lapse_grace_until.
        self.seen = []
        # Revision known from peers, see ObjectHandler.revision.
        self.revision = StoreRevision()
        self.enabled = True

    def names(self):
        return frozenset(("t0",))

    def apply_list(self, listing, *, lapse_grace_until):
        self.seen.append(("list", listing.revision, lapse_grace_until))

    def apply_changes(self, changes, *, lapse_grace_until):
        self.seen.append(("changes", changes.revision, lapse_grace_until))

    def make_watch(self, store, seed=1):
        return StoreWatch(
            store,
            "servers",
            self,
            wait_s=1.0,
            clock=lambda: self.now,
            rng=random.Random(seed),
            enabled=lambda: self.enabled,
        )

    async def run_watch(self, *script, seed=1):
        store = _ScriptedStore(*script)
        watch = self.make_watch(store, seed)
        task = asyncio.create_task(watch.run())
        async with asyncio.timeout(5.0):
            while store.script:
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.01)
        task.cancel()
        return store

    def answer_later(self, seconds, revision):
        """Returns a step that advances the clock and answers a revision."""

        def step():
            self.now += seconds
            return ObjectList(revision, ())

        return step

    async def test_in_quiet_times_what_is_read_is_final(self):
        await self.run_watch(ObjectList(5, ()), ObjectList(6, ()))
        self.assertEqual(self.seen, [("list", 5, 0.0), ("changes", 6, 0.0)])

    async def test_after_a_failure_registrations_may_be_back_for_a_while(self):
        outage = PlatformUnavailableError("away")
        await self.run_watch(
            ObjectList(5, ()), outage, self.answer_later(1.0, 6)
        )
        self.assertEqual(self.seen[-1], ("changes", 6, 101.0 + LAPSE_GRACE_S))

    async def test_a_watch_that_is_cut_off_is_no_outage(self):
        cut = WatchCutError("closed")
        store = await self.run_watch(
            ObjectList(5, ()),
            cut,
            ObjectList(5, ()),
            ObjectList(6, ()),
            cut,
            self.answer_later(1.0, 7),
            ObjectList(8, ()),
        )
        # Only what is found at once may have lapsed in an outage before.
        self.assertEqual(
            self.seen,
            [
                ("list", 5, 0.0),
                ("changes", 5, 100.0 + LAPSE_GRACE_S),
                ("changes", 6, 0.0),
                ("changes", 7, 101.0 + LAPSE_GRACE_S),
                ("changes", 8, 0.0),
            ],
        )
        self.assertEqual(store.waits, [1.0, 0.0, 1.0, 1.0, 0.0, 1.0, 1.0])

    async def test_a_failure_after_a_watch_that_was_cut_off_is_an_outage(self):
        cut = WatchCutError("closed")
        for failure in (PlatformUnavailableError("away"), cut):
            self.seen.clear()
            store = await self.run_watch(
                ObjectList(5, ()), cut, failure, ObjectList(5, ())
            )
            self.assertEqual(store.waits, [1.0, 0.0, RECOVERY_WAIT_S, 1.0])
            self.assertEqual(
                self.seen[-1], ("changes", 5, 100.0 + LAPSE_GRACE_S)
            )

    async def test_a_watch_whose_response_is_lost_begins_again(self):
        known = StoredObject("t0", 5, b"{}")
        changed = StoredObject("main", 6, b"{}")
        # A change and a removal, each after a list that shows none.
        for missed in ((known, changed), ()):
            store = _SilentStore(
                ObjectList(5, (known,)),
                ObjectList(5, (known,)),
                ObjectList(6, missed),
            )
            watch = self.make_checked_watch(store)
            task = asyncio.create_task(watch.run())
            self.addCleanup(task.cancel)
            async with asyncio.timeout(2.0):
                while len(store.since) < 2:
                    await asyncio.sleep(0.01)
            self.assertEqual(store.since, [5, 5])
            self.assertFalse(watch.unavailable)

    async def test_what_an_unnoticed_outage_removed_may_have_lapsed(self):
        store = _SilentStore(
            ObjectList(5, (StoredObject("t0", 5, b"{}"),)),
            PlatformUnavailableError("silent"),
            ObjectList(6, ()),
        )
        store.next_watch = ObjectList(6, (StoredObject("t0", 6, b"", True),))
        task = asyncio.create_task(self.make_checked_watch(store).run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(2.0):
            while len(self.seen) < 2:
                await asyncio.sleep(0.01)
        self.assertEqual(self.seen[1], ("changes", 6, self.now + LAPSE_GRACE_S))

    async def test_an_outage_shows_while_a_watch_waits(self):
        # Guards against hubs that are cut off from the store without a reset:
        # until their watches time out, the routers that reach the store would
        # follow them, and miss an evacuation.
        listing = ObjectList(5, ())
        states = []

        def note(step):
            def run():
                states.append(watch.unavailable)
                if isinstance(step, Exception):
                    raise step
                return step

            return run

        silent = PlatformUnavailableError("silent")
        store = _SilentStore(
            listing, note(silent), note(silent), note(listing), note(listing)
        )
        watch = self.make_checked_watch(store)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(2.0):
            while len(states) < 4:
                await asyncio.sleep(0.01)
        self.assertEqual(states, [False, True, True, False])

    async def test_an_older_list_shows_no_removal(self):
        store = _SilentStore(
            ObjectList(5, (StoredObject("t0", 5, b"{}"),)),
            ObjectList(4, ()),
            ObjectList(5, ()),
        )
        task = asyncio.create_task(self.make_checked_watch(store).run())
        self.addCleanup(task.cancel)
        async with asyncio.timeout(2.0):
            while len(store.listed_at) < 4:
                await asyncio.sleep(0.01)
        self.assertEqual(store.since, [5])

    def make_checked_watch(self, store):
        return StoreWatch(
            store,
            "servers",
            self,
            wait_s=25.0,
            clock=lambda: self.now,
            rng=random.Random(1),
            check_interval_s=0.1,
        )

    async def test_the_doubt_ends_a_while_after_the_stores_return(self):
        outage = PlatformUnavailableError("away")
        await self.run_watch(
            ObjectList(5, ()),
            outage,
            self.answer_later(1.0, 6),
            self.answer_later(LAPSE_GRACE_S + 0.1, 7),
        )
        self.assertEqual(self.seen[-1], ("changes", 7, 0.0))

    async def test_the_stores_return_shows_before_the_next_change(self):
        outage = PlatformUnavailableError("away")
        store = await self.run_watch(
            ObjectList(5, ()), outage, ObjectList(5, ()), ObjectList(6, ())
        )
        self.assertEqual(store.waits, [1.0, RECOVERY_WAIT_S, 1.0, 1.0])

    async def test_it_goes_on_after_what_peers_have_told(self):
        outage = PlatformUnavailableError("away")

        def fail_after_peer_update():
            self.revision = StoreRevision(0, 9)
            raise outage

        store = await self.run_watch(
            ObjectList(5, ()), fail_after_peer_update, ObjectList(9, ())
        )
        self.assertEqual(store.since[:2], [5, 9])

    async def test_changes_older_than_what_peers_have_told_are_not_read(self):
        def answer_after_peer_update():
            self.revision = StoreRevision(0, 9)
            return ObjectList(7, ())

        await self.run_watch(
            ObjectList(5, ()), answer_after_peer_update, ObjectList(10, ())
        )
        self.assertEqual([s[1] for s in self.seen], [5, 10])

    async def test_it_rests_while_others_tell_and_goes_on_from_there(self):
        def disable_briefly():
            self.enabled = False
            loop = asyncio.get_running_loop()
            loop.call_later(0.3, self.enable_at, 8)
            return ObjectList(5, ())

        store = await self.run_watch(disable_briefly, ObjectList(9, ()))
        self.assertEqual(store.since, [8, 9])

    def enable_at(self, revision):
        self.revision = StoreRevision(0, revision)
        self.enabled = True

    async def test_forgotten_history_is_read_anew(self):
        gone = RevisionExpiredError("gone")
        await self.run_watch(ObjectList(5, ()), gone, ObjectList(9, ()))
        self.assertEqual([s[0] for s in self.seen], ["list", "list"])

    async def test_a_page_that_stays_unreadable_does_not_end_the_watch(self):
        unreadable = UnreadablePageError("no JSON")
        store = await self.run_watch(
            ObjectList(5, ()), unreadable, ObjectList(9, ()), ObjectList(10, ())
        )
        self.assertEqual([s[0] for s in self.seen], ["list", "list", "changes"])
        self.assertEqual(store.since, [5, 9, 10])

    async def test_a_watch_that_runs_again_begins_with_a_list(self):
        store = _ScriptedStore(ObjectList(5, ()), OverflowError("too large"))
        watch = self.make_watch(store)
        with self.assertRaises(OverflowError):
            await watch.run()
        store.script = [ObjectList(9, ())]
        task = asyncio.create_task(watch.run())
        await asyncio.sleep(0.01)
        task.cancel()
        self.assertEqual([s[:2] for s in self.seen], [("list", 5), ("list", 9)])

    async def test_lists_of_many_routers_after_an_expiry_are_spread(self):
        gone = RevisionExpiredError("gone")
        script = (ObjectList(5, ()), gone, ObjectList(9, ()))
        stores = await asyncio.gather(
            *(self.run_watch(*script, seed=seed) for seed in range(20))
        )
        times = [store.listed_at[1] for store in stores]
        self.assertGreater(max(times) - min(times), RESTART_SPREAD_S / 2)

    async def test_a_watch_that_lists_again_is_not_unavailable(self):
        store = _ScriptedStore(ObjectList(5, ()))
        watch = self.make_watch(store, seed=1)
        self.assertTrue(watch.unavailable)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        while not store.since:
            await asyncio.sleep(0.01)
        watch.restart()
        self.assertFalse(watch.unavailable)

    async def test_a_disabled_watch_reads_again_once_it_is_enabled(self):
        store = _ScriptedStore(ObjectList(5, ()))
        watch = self.make_watch(store, seed=1)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        while not store.since:
            await asyncio.sleep(0.01)
        self.enabled = False
        watch.restart()
        await asyncio.sleep(RESTART_SPREAD_S + 0.1)
        self.assertEqual(len(store.listed_at), 1)
        self.enabled = True
        async with asyncio.timeout(5.0):
            while len(store.listed_at) < 2:
                await asyncio.sleep(0.01)

    async def test_the_list_after_an_older_copy_is_logged(self):
        store = _ScriptedStore(ObjectList(5, (), 1))
        watch = self.make_watch(store, seed=1)
        task = asyncio.create_task(watch.run())
        self.addCleanup(task.cancel)
        while not store.since:
            await asyncio.sleep(0.01)
        store.script.append(ObjectList(3, (), 2))
        with mock.patch.object(events, "log_event") as log_event:
            watch.restart()
            async with asyncio.timeout(5.0):
                while len(store.since) < 2:
                    await asyncio.sleep(0.01)
        (call,) = log_event.call_args_list
        self.assertEqual(call.args[1], events.STORE_READ_AGAIN)
        self.assertEqual(str(call.kwargs["revision"]), "2/3")
