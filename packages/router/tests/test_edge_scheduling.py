"""Tests of requests for targets that are sent to a scheduler."""

import asyncio
import time
import unittest

from chervilwall import cell_messages, edge_messages
from chervilwall.errors import RequestRefusedError
from chervilwall.health import CellHealth
from chervilwall.load_view import LoadView
from chervilwall.pauses import TargetPauses
from chervilwall.placement import Choice, Demand
from chervilwall.prefill import PrefillModel
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.reported_load import PassedLoad, ReportedLoad, StatedLoad
from chervilwall.running_requests import Granter, RunningRequests
from chervilwall.wire_version import new_incarnation
from chervilwall_router.edge.grants import Grant, GrantRequest
from chervilwall_router.edge.peer_grants import SchedulerPeer, SchedulingParts
from chervilwall_router.edge.scheduling import REMINDER_INTERVAL_S, Scheduling

SCHEDULER = SchedulerPeer("s", 7, "10.0.0.1:7400")
TARGET = RegisteredTarget("t1", "model", "10.0.0.2:80", "z", 8)


class _LocalDispatcher:
    """Stub of the local dispatcher that refuses with a reason of its own."""

    def refuse_quarantined(self, request):
        pass

    def record_outcome(self, grant, outcome):
        pass

    async def acquire(self, request):
        raise RequestRefusedError("placed here", 1.0)


class _FailingDispatcher(_LocalDispatcher):
    """Stub of a dispatcher that fails on numbers that fit no float."""

    async def acquire(self, request):
        raise OverflowError("int too large to convert to float")


class _GrantingDispatcher(_LocalDispatcher):
    """Stub of a dispatcher that grants the target that a team is named for."""

    def __init__(self, load_age_s=None):
        self.load_age_s = load_age_s

    async def acquire(self, request):
        target = TARGET._replace(id=request.team)
        return Grant(
            Choice(target, 0, 0.0, 0.0, load_age_s=self.load_age_s),
            request.demand,
            LoadView(),
            PrefillModel(),
            lambda: None,
            0.0,
        )


def _placement_request(number, team):
    return edge_messages.PlacementRequest(
        number, "model", team, 1, 1, (), "", 1, 1, 1, (), True, "r", 0
    )


class AskTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.sent = []
        self.answers = []
        self.scheduler = SCHEDULER
        registry = TargetRegistry()
        registry.put(TARGET)
        self.running_requests = RunningRequests()
        health = CellHealth()
        self.scheduling = Scheduling(
            SchedulingParts(
                me=Granter("me", 1),
                dispatcher=_LocalDispatcher(),
                registry=registry,
                running_requests=self.running_requests,
                pauses=TargetPauses(),
                reported=ReportedLoad(),
                health=lambda service: health,
                find_scheduler=self.find_scheduler,
                send=self.send,
                clock=time.monotonic,
            )
        )

    def find_scheduler(self, service, avoided):
        return None if SCHEDULER.name in avoided else self.scheduler

    def send(self, address, item):
        self.sent.append(item)
        if isinstance(item, edge_messages.PlacementRequest):
            loop = asyncio.get_running_loop()
            loop.call_soon(self.answer, item.number)

    def answer(self, number):
        """Delivers all answers at once, like those of one frame."""
        for make in self.answers:
            self.scheduling.receive(self.scheduler, make(number))

    async def acquire(self):
        now = time.monotonic()
        demand = Demand("model", 100, 10)
        request = GrantRequest(demand, "team", 0.3, now + 0.3, now + 2.0, now)
        started = time.monotonic()
        placed = await self.scheduling.acquire(request)
        return placed, time.monotonic() - started

    def granted(self, number):
        return edge_messages.PlacementGranted(number, "t1", 100, 5, 10)

    async def test_a_grant_that_comes_with_the_queued_note_is_taken(self):
        self.answers = [edge_messages.PlacementQueued, self.granted]
        placed, took_s = await self.acquire()
        self.assertLess(took_s, REMINDER_INTERVAL_S / 2)
        self.assertEqual(placed.choice.target, TARGET)
        with placed:
            self.assertEqual(len(self.running_requests.loads()), 1)
        self.assertEqual(self.running_requests.loads(), ())

    async def test_a_grant_at_once_is_taken(self):
        self.answers = [self.granted]
        _, took_s = await self.acquire()
        self.assertLess(took_s, REMINDER_INTERVAL_S / 2)

    async def test_a_grant_that_is_repeated_does_not_end_the_request(self):
        # Guards against a scheduler that counts a running request as ended, as
        # its grant crossed a reminder and was sent twice.
        self.answers = [self.granted, self.granted]
        placed, _ = await self.acquire()

        def ended():
            kind = edge_messages.PlacementEnded
            return [item for item in self.sent if isinstance(item, kind)]

        with placed:
            self.scheduling.receive(SCHEDULER, self.granted(placed.number))
            self.assertEqual(ended(), [])
        self.assertEqual(len(ended()), 1)
        # A grant of a request that has ended is returned.
        self.scheduling.receive(SCHEDULER, self.granted(placed.number))
        self.assertEqual(len(ended()), 2)

    async def test_the_silence_of_a_target_is_reported_once(self):
        self.answers = [self.granted]
        placed, _ = await self.acquire()
        with placed:
            for _ in range(2):
                placed.record_silence()
            placed.outcome = cell_messages.OUTCOME_TIMEOUT
        reports = [
            x for x in self.sent if isinstance(x, edge_messages.PlacementSilent)
        ]
        self.assertEqual(len(reports), 1)
        # A further failure of the same attempt would count twice.
        self.assertEqual(self.sent[-1].outcome, cell_messages.OUTCOME_CANCELLED)

    async def test_silence_that_a_peer_reports_counts_as_a_failure(self):
        parts = self.scheduling._parts._replace(
            dispatcher=_GrantingDispatcher()
        )
        self.scheduling = Scheduling(parts)
        health = self.scheduling._parts.health("model")
        self.scheduling.receive(SCHEDULER, _placement_request(1, TARGET.id))
        await asyncio.sleep(0)
        silent = edge_messages.PlacementSilent(1)
        self.scheduling.receive(SCHEDULER, silent)
        self.assertEqual(health.of(TARGET.id).failures, 1)
        ended = edge_messages.PlacementEnded(1, cell_messages.OUTCOME_CANCELLED)
        self.scheduling.receive(SCHEDULER, ended)
        self.assertEqual(health.of(TARGET.id).failures, 1)

    async def test_one_grant_in_an_evacuated_zone_excludes_all_targets_there(
        self,
    ):
        # A scheduler that hears of the evacuation late would otherwise grant
        # them one after the other, a message to and fro each.
        registry = self.scheduling._parts.registry
        targets = [
            TARGET._replace(id=f"t{number}", zone="east")
            for number in range(1, 6)
        ]
        targets.append(TARGET._replace(id="t9", zone="west"))
        for target in targets:
            registry.put(target)
        registry.set_evacuated_zones(frozenset(("east",)))

        def grant_first(number):
            (request,) = (
                item
                for item in self.sent
                if isinstance(item, edge_messages.PlacementRequest)
                and item.number == number
            )
            free = [t.id for t in targets if t.id not in request.excluded]
            return edge_messages.PlacementGranted(number, free[0], 100, 5, 10)

        self.answers = [grant_first]
        placed, _ = await self.acquire()
        self.assertEqual(placed.choice.target.id, "t9")
        self.assertFalse(self.scheduling.takes_requests(targets[0]))
        self.assertTrue(self.scheduling.takes_requests(targets[-1]))
        kinds = [type(item) for item in self.sent]
        self.assertEqual(kinds.count(edge_messages.PlacementRequest), 2)
        self.assertEqual(kinds.count(edge_messages.PlacementEnded), 1)

    async def use_target(self, scheduler):
        """Runs a request that hears a load report; returns what was sent."""
        self.scheduler = scheduler
        self.answers = [self.granted]
        self.sent.clear()
        placed, _ = await self.acquire()
        with placed:
            stated = StatedLoad(3, 1, 8, 2.5)
            reported = self.scheduling._parts.reported
            reported.record(TARGET.start, stated, time.monotonic())
            placed.record_first_token(time.monotonic(), has_event=False)
            placed.outcome = cell_messages.OUTCOME_COMPLETED
        return self.sent

    async def test_a_load_report_is_passed_on_once_and_without_a_message(self):
        for reads_reports in (False, True):
            scheduler = SCHEDULER
            if reads_reports:
                scheduler = SCHEDULER._replace(incarnation=new_incarnation())
            sent = await self.use_target(scheduler)
            kinds = [type(item) for item in sent]
            self.assertEqual(
                kinds,
                [
                    edge_messages.PlacementRequest,
                    edge_messages.PlacementFirstToken,
                    edge_messages.PlacementEnded,
                ],
            )
            # An earlier version would reject the frame.
            if not reads_reports:
                self.assertIsNone(sent[1].load)
                continue
            self.assertEqual(sent[1].load[:4], (3, 1, 8, 250))
            self.assertLess(sent[1].load.age_ms, 100)
            self.assertIsNone(sent[2].load)

    async def test_a_report_heard_after_the_first_token_is_passed_at_the_end(
        self,
    ):
        self.scheduler = SCHEDULER._replace(incarnation=new_incarnation())
        self.answers = [self.granted]
        placed, _ = await self.acquire()
        with placed:
            placed.record_first_token(time.monotonic(), has_event=False)
            reported = self.scheduling._parts.reported
            stated = StatedLoad(1, 0, 8)
            reported.record(TARGET.start, stated, time.monotonic())
        self.assertEqual(self.sent[-1].load[:4], (1, 0, 8, 100))

    async def test_a_scheduler_uses_reports_that_are_passed_on(self):
        parts = self.scheduling._parts._replace(
            dispatcher=_GrantingDispatcher()
        )
        self.scheduling = Scheduling(parts)
        self.scheduling.receive(SCHEDULER, _placement_request(1, TARGET.id))
        await asyncio.sleep(0)
        load = PassedLoad(5, 2, 8, 250, 40)
        first = edge_messages.PlacementFirstToken(1, 20, False, load)
        self.scheduling.receive(SCHEDULER, first)
        now = time.monotonic()
        report = parts.reported.of(TARGET, now)
        self.assertAlmostEqual(now - report.at, 0.04, delta=0.02)
        self.assertGreater(report.slowdown, 2.0)
        # It is not sent around again.
        self.assertIsNone(parts.reported.take_unpassed(TARGET, now))
        later = edge_messages.PlacementEnded(1, "completed", load)
        self.scheduling.receive(SCHEDULER, later)
        unknown = edge_messages.PlacementEnded(99, "completed", load)
        self.scheduling.receive(SCHEDULER, unknown)

    async def test_the_age_of_a_report_is_sent_to_those_that_read_it(self):
        reported = ReportedLoad()
        parts = self.scheduling._parts._replace(
            dispatcher=_GrantingDispatcher(load_age_s=0.03), reported=reported
        )
        self.scheduling = Scheduling(parts)
        ages = []
        for incarnation in (7, new_incarnation()):
            sender = SchedulerPeer("r", incarnation, "10.0.0.3:7400")
            self.scheduling.receive(sender, _placement_request(1, TARGET.id))
            await asyncio.sleep(0.01)
            ages.append(self.sent[-1].load_age_ms)
        self.assertEqual(ages, [-1, 30])

    async def test_a_refusal_says_when_to_come_back(self):
        self.answers = [
            edge_messages.PlacementQueued,
            lambda number: edge_messages.PlacementRefused(number, 700, "full"),
        ]
        with self.assertRaises(RequestRefusedError) as context:
            await self.acquire()
        self.assertAlmostEqual(context.exception.retry_after_s, 0.7)

    async def test_a_silent_scheduler_is_asked_again_and_then_left_alone(self):
        with self.assertRaises(RequestRefusedError) as context:
            await self.acquire()
        self.assertEqual(context.exception.reason, "placed here")
        requests = [
            m
            for m in self.sent
            if isinstance(m, edge_messages.PlacementRequest)
        ]
        self.assertGreater(len(requests), 1)
        self.assertEqual(len({m.number for m in requests}), 1)

    async def test_a_grant_that_nobody_wants_is_given_back(self):
        self.scheduling.receive(SCHEDULER, self.granted(99))
        (ended,) = self.sent
        self.assertEqual(ended.number, 99)

    async def test_its_own_lateness_is_not_held_against_a_scheduler(self):
        loop = asyncio.get_running_loop()
        loop.call_later(0.01, time.sleep, 0.4)
        answer = self.answer
        self.answers = [self.granted]
        # The answer arrives while the event loop is blocked, so the timeout
        # fires before it is read.
        self.answer = lambda number: loop.call_later(0.06, answer, number)
        await self.acquire()
        requests = [
            m
            for m in self.sent
            if isinstance(m, edge_messages.PlacementRequest)
        ]
        self.assertEqual(len(requests), 1)

    async def test_a_request_on_which_the_scheduler_fails_does_not_wait(self):
        parts = self.scheduling._parts._replace(dispatcher=_FailingDispatcher())
        self.scheduling = Scheduling(parts)
        request = edge_messages.PlacementRequest(
            1, "model", "team", 1, 1, (), "", 1, 1, 1, (), True, "r", 0
        )
        for _ in range(2):
            self.scheduling.receive(SCHEDULER, request)
            await asyncio.sleep(0.01)
        kinds = [type(item) for item in self.sent]
        self.assertEqual(kinds.count(edge_messages.PlacementRefused), 2)

    async def test_a_restarted_router_gets_no_grant_of_its_earlier_start(self):
        parts = self.scheduling._parts._replace(
            dispatcher=_GrantingDispatcher()
        )
        self.scheduling = Scheduling(parts)
        for incarnation, team in ((1, "t1"), (2, "t2")):
            sender = SchedulerPeer("r", incarnation, "10.0.0.3:7400")
            self.scheduling.receive(sender, _placement_request(1, team))
            await asyncio.sleep(0.01)
        granted = [
            m.target_id
            for m in self.sent
            if isinstance(m, edge_messages.PlacementGranted)
        ]
        self.assertEqual(granted, ["t1", "t2"])

    async def test_a_restarted_router_takes_no_answer_to_its_earlier_start(
        self,
    ):
        numbers = []
        for incarnation in (1, 2):
            parts = self.scheduling._parts._replace(
                me=Granter("me", incarnation)
            )
            self.scheduling = Scheduling(parts)
            self.sent.clear()
            self.answers = [self.granted]
            await self.acquire()
            numbers.append(self.sent[0].number)
        self.assertNotEqual(*numbers)
