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
from chervilwall.running_requests import Granter, RunningRequests
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

    async def acquire(self, request):
        target = TARGET._replace(id=request.team)
        return Grant(
            Choice(target, 0, 0.0, 0.0),
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
                health=lambda service: health,
                find_scheduler=self.find_scheduler,
                send=self.send,
                clock=time.monotonic,
            )
        )

    def find_scheduler(self, service, avoided):
        return None if SCHEDULER.name in avoided else SCHEDULER

    def send(self, address, item):
        self.sent.append(item)
        if isinstance(item, edge_messages.PlacementRequest):
            loop = asyncio.get_running_loop()
            loop.call_soon(self.answer, item.number)

    def answer(self, number):
        """Delivers all answers at once, like those of one frame."""
        for make in self.answers:
            self.scheduling.receive(SCHEDULER, make(number))

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
