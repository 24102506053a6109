"""Tests of the usage counters, with lost replies of the platform."""

import unittest

from chervilwall.report import decode_rows
from chervilwall_router.accounts import Accounts
from chervilwall_standins.memory_platform import MemoryPlatform


class AccountsTest(unittest.IsolatedAsyncioTestCase):
    def make_accounts(self, platform, incarnation="r1-1"):
        return Accounts(incarnation, platform, on_change=lambda: None)

    def stored_completed(self, platform, incarnation="r1-1"):
        value = platform.store.get(f"counters/{incarnation}").value
        return sum(row.totals.completed for row in decode_rows(value))

    async def test_lost_replies_count_nothing_twice(self):
        platform = MemoryPlatform()
        accounts = self.make_accounts(platform)
        for _ in range(20):
            accounts.settle("a", "s", "c", "completed")
            platform.lose_replies = 1
            await accounts.flush()
            await accounts.flush()
        self.assertEqual(self.stored_completed(platform), 20)

    async def test_a_peer_writes_what_a_lost_router_could_not(self):
        platform = MemoryPlatform()
        lost, peer = (
            self.make_accounts(platform),
            self.make_accounts(platform, "r2-1"),
        )
        lost.settle("a", "s", "c", "completed")
        await lost.flush()
        lost.settle("a", "s", "c", "completed")
        lost.copy_to("r2", lambda _, msg: peer.keep_copy("r1-1", msg.rows))
        platform.down = True
        self.assertFalse(await peer.flush(["r1-1"]))
        platform.down = False
        self.assertTrue(await peer.flush(["r1-1"]))
        self.assertEqual(self.stored_completed(platform), 2)
        self.assertEqual(peer.ledger.rows_of("r1-1"), ())

    async def test_passing_rows_are_dropped_and_copies_stay(self):
        accounts = self.make_accounts(MemoryPlatform())
        other = self.make_accounts(MemoryPlatform(), "r2-1")
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
