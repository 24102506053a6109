"""Tests of counters on the platform, with replies lost."""

import unittest

from chervilwall.report import decode_rows
from chervilwall_router.accounts import Accounts
from chervilwall_standins.memory_platform import MemoryPlatform


class AccountsTest(unittest.IsolatedAsyncioTestCase):
    def make(self, platform, incarnation="r1-1"):
        return Accounts(incarnation, platform, on_change=lambda: None)

    def stored(self, platform, incarnation="r1-1"):
        value = platform.store.get(f"counters/{incarnation}").value
        return sum(row.totals.completed for row in decode_rows(value))

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
