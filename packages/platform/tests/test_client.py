"""Tests of the platform client against the stand-in platform."""

import asyncio

from chervilwall.errors import (
    PlatformUnavailableError,
    RateLimitedError,
    VersionConflictError,
)
from chervilwall_platform.client import HttpPlatform
from chervilwall_standins.platform import PlatformState, make_platform
from tornado.testing import AsyncHTTPTestCase, gen_test


class HttpPlatformTest(AsyncHTTPTestCase):
    def get_app(self):
        self.state = PlatformState()
        return make_platform(self.state)

    def setUp(self):
        super().setUp()
        self.platform = HttpPlatform(self.get_url(""), timeout_s=1.0)
        self.addCleanup(self.platform.close)

    @gen_test
    async def test_conditional_writes(self):
        self.assertIsNone(await self.platform.get("a/b"))
        first = await self.platform.put("a/b", b"one", if_version=0)
        with self.assertRaises(VersionConflictError):
            await self.platform.put("a/b", b"two", if_version=0)
        second = await self.platform.put("a/b", b"two", if_version=first)
        self.assertGreater(second, first)
        stored = await self.platform.get("a/b")
        self.assertEqual(stored, ("a/b", second, b"two"))
        with self.assertRaises(VersionConflictError):
            await self.platform.delete("a/b", if_version=first)
        await self.platform.delete("a/b", if_version=second)
        self.assertEqual(await self.platform.list("a/"), ())

    @gen_test
    async def test_a_watch_returns_what_changed_since(self):
        await self.platform.put("a/1", b"old", if_version=None)
        initial = await self.platform.watch("a/", 0, 1.0)
        watch = asyncio.create_task(
            self.platform.watch("a/", initial.revision, 5.0)
        )
        # Start the watch before the object changes.
        await asyncio.sleep(0)
        await self.platform.put("a/2", b"new", if_version=None)
        result = await watch
        self.assertEqual([o.key for o in result.objects], ["a/2"])

    @gen_test
    async def test_a_rate_limit_says_when_to_come_back(self):
        self.state.switches.reads_per_s = 0
        with self.assertRaises(RateLimitedError) as caught:
            await self.platform.get("a")
        self.assertEqual(caught.exception.retry_after_s, 1.0)

    @gen_test
    async def test_a_lost_reply_is_an_unknown_outcome(self):
        self.state.switches.lose_replies = 1
        with self.assertRaises(PlatformUnavailableError):
            await self.platform.put("a", b"x", if_version=0)
        self.assertFalse(self.platform.is_up)
        stored = await self.platform.get("a")
        self.assertEqual(stored.value, b"x")
        self.assertTrue(self.platform.is_up)

    @gen_test
    async def test_hosts_lag(self):
        self.state.set_hosts({"10.0.0.1": "leaving"})
        hosts = await self.platform.hosts()
        self.assertEqual(hosts, (("10.0.0.1", "leaving"),))
        self.state.switches.hosts_lag_s = 60.0
        self.assertEqual(await self.platform.hosts(), ())
