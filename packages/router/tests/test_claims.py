"""Tests of claims on the platform, with lost replies of the platform."""

import time
import unittest

from chervilwall import claim as claim_lib
from chervilwall.claim import ClaimView, StoredResponse
from chervilwall.classify import Classified
from chervilwall.config import RequestClass, Team
from chervilwall.errors import PlatformUnavailableError
from chervilwall_router import claims as claims_lib
from chervilwall_router.claims import ClaimTable
from chervilwall_standins.memory_platform import MemoryPlatform

CLS = RequestClass("booking", "svc", "/b", idempotent=False)
REQUEST = Classified(Team("a", 1.0), CLS, b"fingerpr", 0, "key-1")


class ClaimTableTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.platform = MemoryPlatform()
        self.table = ClaimTable(self.platform, "r1-1")
        self.other_table = ClaimTable(self.platform, "r2-1")

    async def test_a_lost_reply_leaves_the_claim_with_its_maker(self):
        self.platform.lose_replies = 1
        own = await self.table.acquire(REQUEST)
        self.assertNotIsInstance(own, ClaimView)
        view = await self.other_table.acquire(REQUEST)
        self.assertEqual(view.verdict, claim_lib.VERDICT_RUNNING)

    async def test_an_unknown_claim_is_released_once_the_platform_is_back(self):
        original = self.platform.get

        async def fail(key):
            raise PlatformUnavailableError("down", step="get")

        self.platform.lose_replies = 1
        self.platform.get = fail
        with self.assertRaises(PlatformUnavailableError):
            await self.table.acquire(REQUEST)
        self.platform.get = original
        self.assertTrue(await self.table.drain(5.0))
        own = await self.other_table.acquire(REQUEST)
        self.assertNotIsInstance(own, ClaimView)

    async def test_an_outcome_is_replayed_and_an_unknown_stays_unknown(self):
        own = await self.table.acquire(REQUEST)
        answer = StoredResponse(200, "text/plain", b"booked", True)
        self.table.record_result(own, answer)
        self.assertTrue(await self.table.drain(5.0))
        view = await self.other_table.acquire(REQUEST)
        self.assertEqual(view, (claim_lib.VERDICT_REPLAY, answer))
        second = REQUEST._replace(key="key-2")
        self.table.record_result(await self.table.acquire(second), None)
        self.assertTrue(await self.table.drain(5.0))
        view = await self.other_table.acquire(second)
        self.assertEqual(view.verdict, claim_lib.VERDICT_UNKNOWN)

    async def test_the_sweep_deletes_expired_claims_only(self):
        for number in range(40):
            await self.table.acquire(REQUEST._replace(key=f"key-{number}"))
        later = time.time() + claim_lib.CLAIM_TTL_S + 60
        shards = claims_lib.SHARD_COUNT
        deleted_early = [
            await self.table.sweep(time.time()) for _ in range(shards)
        ]
        self.assertEqual(sum(deleted_early), 0)
        deleted_late = [await self.table.sweep(later) for _ in range(shards)]
        self.assertEqual(sum(deleted_late), 40)
