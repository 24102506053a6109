"""Tests of load reports of targets, from the header to the placement."""

import asyncio
import itertools
import logging
import unittest

from chervilwall import edge_messages, events
from chervilwall.reported_load import StatedLoad
from chervilwall_standins.users.fleet import EdgeFleet
from chervilwall_standins.users.target import FakeTarget
from headers import HeaderFormat

HUGE = "9" * 400
REQUEST_LOG = "chervilwall_router.edge.request_log"


class HeaderTest(unittest.TestCase):
    wire = HeaderFormat()

    def decode(self, *values, status=200):
        headers = tuple(("Instance-Load", value) for value in values)
        return self.wire.decode_response_head(status, headers)

    def test_reads_three_or_four_numbers(self):
        for text, expected in (
            ("3,1,12,250", (3, 1, 12, 2.5)),
            (" 3 , 1,12 ,100 ", (3, 1, 12, 1.0)),
            ("0,0,12", (0, 0, 12, 1.0)),
            ("0,0,0,90", (0, 0, 0, 0.9)),
        ):
            head = self.decode(text)
            self.assertEqual(head.load, StatedLoad(*expected))
            self.assertEqual(head.malformed_load, "")
        for status in (404, 429, 500, 503):
            self.assertEqual(self.decode("3,1,12", status=status).load[0], 3)

    def test_absent_is_neither_a_load_nor_malformed(self):
        head = self.decode()
        self.assertIsNone(head.load)
        self.assertEqual(head.malformed_load, "")

    def test_a_response_of_another_target_says_nothing(self):
        for text in ("3,1,12,250", "x"):
            head = self.decode(text, status=421)
            self.assertIsNone(head.load)
            self.assertEqual(head.malformed_load, "")

    def test_what_states_no_load_is_not_used(self):
        for text in (
            "",
            "3",
            "3,1",
            "3,1,12,250,7",
            "3;1;12;250",
            "3,1,,250",
            "3,1,12,",
            "-1,1,12,250",
            "3,1,12,-250",
            "3,1,12,0",
            "3,1,12,2.5",
            "+3,1,12,100",
            "1e3,1,12,100",
            "0x3,1,12,100",
            "1_0,1,12,100",
            "nan,1,12,100",
            "inf,1,12,100",
            "\u0663,1,12,100",
            "3,1,12,\u0661\u0660\u0660",
            "\uff13,1,12,100",
            "\u00b2,1,12,100",
            f"{HUGE},1,12,100",
            f"3,1,12,{HUGE}",
            "100001,1,12,100",
            "3,1,12,1000000",
            "3,1,12\n,100",
        ):
            with self.subTest(text[:20]):
                head = self.decode(text)
                self.assertIsNone(head.load)
                self.assertTrue(head.malformed_load)
                self.assertLess(len(head.malformed_load), 200)
        self.assertIsNone(self.decode("3,1,12", "3,1,12").load)


class LoadReportsTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, load_report, routers=3):
        self.targets = [FakeTarget(f"p{i}", "plain") for i in range(3)]
        for target in self.targets:
            target.load_report = load_report
        self.fleet = EdgeFleet(*self.targets, routers=routers)
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)
        self.numbers = itertools.count()
        self.sent = []
        for router in self.fleet.routers:
            router.link.send = self.record_sent(router.link.send)

    def record_sent(self, send):
        def recorded(address, item):
            self.sent.append(item)
            send(address, item)

        return recorded

    async def call(self, count):
        for _ in range(count):
            number = next(self.numbers)
            response = await self.fleet.call(
                "/read/x",
                router=number % len(self.fleet.routers),
                request_id=f"r{number}",
            )
            self.assertEqual(response.status, 200)
        # The ends of the last requests are on their way.
        await asyncio.sleep(0.05)

    def capture_logs(self, logger, level):
        logging.disable(logging.NOTSET)
        self.addCleanup(logging.disable, logging.CRITICAL)
        return self.assertLogs(logger, level)

    def scheduler(self):
        return next(
            router
            for router in self.fleet.routers
            if router.fleet.find_scheduler("plain", ()) is None
        )

    def kinds(self):
        names = [
            type(item).__name__
            for item in self.sent
            if isinstance(
                item,
                edge_messages.PlacementRequest
                | edge_messages.PlacementGranted
                | edge_messages.PlacementFirstToken
                | edge_messages.PlacementEnded,
            )
        ]
        return sorted(names)

    async def test_reports_reach_the_scheduler_without_further_messages(self):
        kinds, requests = [], []
        for load_report in ("", "1,0,8,150"):
            await self.start(load_report)
            await self.call(9)
            kinds.append(self.kinds())
            requests.append(sum(len(x.received) for x in self.targets))
            reported = self.scheduler()._state.reported
            self.assertEqual(reported.is_empty, not load_report)
        self.assertEqual(*kinds)
        self.assertEqual(requests, [9, 9])
        passed = [
            item.load
            for item in self.sent
            if isinstance(
                item,
                edge_messages.PlacementFirstToken
                | edge_messages.PlacementEnded,
            )
            and item.load is not None
        ]
        # One for each request of the two routers that do not schedule.
        self.assertEqual({load[:4] for load in passed}, {(1, 0, 8, 150)})
        self.assertEqual(len(passed), 6)

    async def test_a_slowed_target_gets_fewer_requests(self):
        await self.start("1,0,8,100")
        self.targets[0].load_report = "1,0,8,400"
        await self.call(30)
        counts = [len(x.received) for x in self.targets]
        self.assertLess(counts[0], 5)

    async def test_the_age_is_logged_and_measured(self):
        await self.start("1,0,8,100")
        await self.call(6)
        with self.capture_logs(REQUEST_LOG, "INFO") as logs:
            await self.call(9)
        ended = [
            record.fields
            for record in logs.records
            if record.event == events.REQUEST_ENDED.number
        ]
        ages = [fields.get("load_age_ms") for fields in ended]
        self.assertEqual(len(ages), 9)
        self.assertTrue(any(age is not None for age in ages))
        self.assertTrue(all(0 <= age < 3000 for age in ages if age is not None))
        page = self.scheduler()._metrics_page(None).body.decode()
        self.assertIn('load_report_age_ms_bucket{service="plain",le="', page)
        self.assertIn('load_busiest_to_mean_count{service="plain"}', page)

    async def test_targets_without_reports_change_no_page_and_no_line(self):
        await self.start("")
        with self.capture_logs(REQUEST_LOG, "INFO") as logs:
            await self.call(6)
        for record in logs.records:
            self.assertNotIn("load_age_ms", record.fields)
        for router in self.fleet.routers:
            page = router._metrics_page(None).body.decode()
            self.assertNotIn("load_", page)

    async def test_a_malformed_report_is_logged_once(self):
        await self.start("7,seven", routers=1)
        with self.capture_logs("chervilwall_router.edge", "WARNING") as logs:
            for number in range(12):
                for target in self.targets:
                    target.load_report = "1,0,8" if number % 2 else "7,seven"
                await self.call(1)
        refused = [
            record.fields
            for record in logs.records
            if record.event == events.TARGET_LOAD_REFUSED.number
        ]
        self.assertLessEqual(len(refused), 3)
        self.assertEqual(refused[0]["value"], "'7,seven'")
        counters = self.fleet.routers[0].metrics.counters
        self.assertEqual(counters["target_load_refused"], 6)

    async def test_a_report_is_kept_for_a_start_of_a_target_only(self):
        await self.start("1,0,8,250", routers=1)
        await self.call(6)
        (router,) = self.fleet.routers
        reported = router._state.reported
        heard = [x for x in self.targets if x.received][0]
        await self.fleet.remove_target(heard)
        await self.fleet.wait_until(lambda: heard.id not in router.registry)
        now = router._clock()
        self.assertNotIn(heard.id, reported.current(now))
