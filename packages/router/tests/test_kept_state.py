"""Tests of what routers keep on the platform, with replies lost."""

import time
import unittest

from chervilwall import claim as claim_lib
from chervilwall.archive import ARCHIVE_KEY, FOLD_AGE_S, decode_archive
from chervilwall.claim import ClaimView, StoredAnswer
from chervilwall.classify import Classified
from chervilwall.config import Config, RequestClass, Team, VersionedConfig
from chervilwall.errors import PlatformUnavailableError
from chervilwall.report import decode_rows, merge_copies, report_lines
from chervilwall_router import claims as claims_lib
from chervilwall_router.accounts import Accounts
from chervilwall_router.claims import ClaimTable
from chervilwall_router.config_keeper import ConfigKeeper
from chervilwall_router.folding import Folder
from chervilwall_standins.memory_platform import MemoryPlatform

CLS = RequestClass("booking", "svc", "/b", idempotent=False)
REQUEST = Classified(Team("a", 1.0), CLS, b"fingerpr", 0, "key-1")


class ClaimTableTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.platform = MemoryPlatform()
        self.one = ClaimTable(self.platform, "r1-1")
        self.other = ClaimTable(self.platform, "r2-1")

    async def test_a_lost_reply_leaves_the_claim_with_its_maker(self):
        self.platform.lose_replies = 1
        held = await self.one.take(REQUEST)
        self.assertNotIsInstance(held, ClaimView)
        view = await self.other.take(REQUEST)
        self.assertEqual(view.verdict, claim_lib.VERDICT_RUNNING)

    async def test_an_unknown_claim_is_released_once_the_platform_is_back(self):
        original = self.platform.get

        async def fail(key):
            raise PlatformUnavailableError("down", step="get")

        self.platform.lose_replies = 1
        self.platform.get = fail
        with self.assertRaises(PlatformUnavailableError):
            await self.one.take(REQUEST)
        self.platform.get = original
        self.assertTrue(await self.one.drain(5.0))
        held = await self.other.take(REQUEST)
        self.assertNotIsInstance(held, ClaimView)

    async def test_an_outcome_is_replayed_and_an_unknown_stays_unknown(self):
        held = await self.one.take(REQUEST)
        answer = StoredAnswer(200, "text/plain", b"booked", True)
        self.one.settle(held, answer)
        self.assertTrue(await self.one.drain(5.0))
        view = await self.other.take(REQUEST)
        self.assertEqual(view, (claim_lib.VERDICT_REPLAY, answer))
        second = REQUEST._replace(key="key-2")
        self.one.settle(await self.one.take(second), None)
        self.assertTrue(await self.one.drain(5.0))
        view = await self.other.take(second)
        self.assertEqual(view.verdict, claim_lib.VERDICT_UNKNOWN)

    async def test_the_sweep_deletes_expired_claims_only(self):
        for number in range(40):
            await self.one.take(REQUEST._replace(key=f"key-{number}"))
        later = time.time() + claim_lib.CLAIM_TTL_S + 60
        shards = claims_lib.SWEEP_SHARDS
        kept = [await self.one.sweep(time.time()) for _ in range(shards)]
        self.assertEqual(sum(kept), 0)
        gone = [await self.one.sweep(later) for _ in range(shards)]
        self.assertEqual(sum(gone), 40)


class AccountsTest(unittest.IsolatedAsyncioTestCase):
    def make(self, platform, incarnation="r1-1"):
        return Accounts(incarnation, platform, on_change=lambda: None)

    def stored(self, platform, incarnation="r1-1"):
        value = platform.store.get(f"counters/{incarnation}").value
        return sum(row.row.completed for row in decode_rows(value))

    async def test_lost_replies_count_nothing_twice(self):
        platform = MemoryPlatform()
        accounts = self.make(platform)
        for _ in range(20):
            accounts.settle("a", "s", "c", "completed")
            platform.lose_replies = 1
            await accounts.flush()
            await accounts.flush()
        self.assertEqual(self.stored(platform), 20)

    async def test_a_peer_writes_what_a_lost_router_could_not(self):
        platform = MemoryPlatform()
        lost, peer = self.make(platform), self.make(platform, "r2-1")
        lost.settle("a", "s", "c", "completed")
        await lost.flush()
        lost.settle("a", "s", "c", "completed")
        lost.copy_to("r2", lambda _, msg: peer.keep_copy("r1-1", msg.rows))
        platform.down = True
        self.assertFalse(await peer.flush(["r1-1"]))
        platform.down = False
        self.assertTrue(await peer.flush(["r1-1"]))
        self.assertEqual(self.stored(platform), 2)
        self.assertEqual(peer.ledger.rows_of("r1-1"), ())

    async def test_passing_rows_are_dropped_and_copies_stay(self):
        accounts = self.make(MemoryPlatform())
        other = self.make(MemoryPlatform(), "r2-1")
        row = other.settle("a", "s", "c", "completed")
        accounts.note_total(row, 0.0)
        accounts.prune(60.0)
        self.assertEqual(len(accounts.ledger), 1)
        accounts.prune(200.0)
        self.assertEqual(len(accounts.ledger), 0)
        accounts.keep_copy("r2-1", [row])
        accounts.note_total(row, 200.0)
        accounts.prune(400.0)
        self.assertEqual(len(accounts.ledger), 1)


class FoldingTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.platform = MemoryPlatform()
        self.folder = Folder(self.platform)

    def accounts(self, incarnation):
        return Accounts(incarnation, self.platform, on_change=lambda: None)

    async def total(self):
        """Returns completed and uncertain as a report would show them."""
        found = self.platform.store.get(ARCHIVE_KEY)
        archive = decode_archive(found.value if found else None)
        copies = [archive.rows]
        for item in self.platform.store.list("counters/"):
            if item.key.removeprefix("counters/") not in archive.folded:
                copies.append(decode_rows(item.value))
        rows = [x.row for x in report_lines(merge_copies(copies))]
        return (
            sum(r.completed for r in rows),
            sum(r.uncertain for r in rows),
        )

    async def fold(self, alive):
        await self.folder.step(alive, now=0.0)
        return await self.folder.step(alive, now=FOLD_AGE_S + 1)

    async def test_ended_incarnations_are_folded_and_totals_stay(self):
        for number in range(5):
            accounts = self.accounts(f"r{number}-1")
            accounts.settle("a", "s", "c", "completed")
            accounts.settle("a", "s", "c", "started")
            await accounts.flush()
        before = await self.total()
        self.assertEqual(before, (5, 5))
        self.assertEqual(await self.fold({"r0-1"}), 4)
        self.assertEqual(await self.total(), before)
        self.assertEqual(len(list(self.platform.store.list("counters/"))), 1)

    async def test_a_fold_that_breaks_off_counts_nothing_twice(self):
        accounts = self.accounts("r1-1")
        accounts.settle("a", "s", "c", "completed")
        await accounts.flush()
        await self.folder.step(set(), now=0.0)
        self.platform.lose_replies = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.folder.step(set(), now=FOLD_AGE_S + 1)
        self.assertEqual(await self.total(), (1, 0))
        self.assertEqual(await self.folder.step(set(), now=FOLD_AGE_S + 2), 1)
        self.assertEqual(await self.total(), (1, 0))

    async def test_one_given_up_for_an_hour_counts_on_under_a_new_name(self):
        accounts, peer = self.accounts("r1-1"), self.accounts("r2-1")
        accounts.settle("a", "s", "c", "completed")
        accounts.copy_to("r2", lambda _, m: peer.keep_copy("r1-1", m.rows))
        await accounts.flush()
        self.assertEqual(await self.fold({"r2-1"}), 1)
        accounts.settle("a", "s", "c", "completed")
        for _ in range(3):
            await accounts.flush()
            await peer.flush(["r1-1"])
        self.assertEqual(await self.total(), (2, 0))


class ConfigKeeperTest(unittest.TestCase):
    def test_a_lower_version_never_comes_back(self):
        seen = []
        keeper = ConfigKeeper(MemoryPlatform(), seen.append)
        newer = Config(teams=(Team("new", 1.0),))
        self.assertTrue(keeper.offer(VersionedConfig(7, newer), "r1"))
        self.assertFalse(keeper.offer(VersionedConfig(6, Config()), "r2"))
        self.assertFalse(keeper.offer(VersionedConfig(7, Config()), "r2"))
        self.assertEqual(seen, [newer])
