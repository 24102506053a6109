"""Tests of the admission of requests."""

import asyncio
import random
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from chervilwall.cell_messages import OUTCOME_WITHDRAWN
from chervilwall.cold_targets import ColdTargets
from chervilwall.crash_ledger import CrashLedger
from chervilwall.errors import DialError, RequestRefusedError
from chervilwall.host_load import HostLoad
from chervilwall.http_messages import InboundRequest
from chervilwall.placement import Choice
from chervilwall.prefix import PromptPart
from chervilwall.quarantine_status import NO_CRASHES
from chervilwall.registry import RegisteredTarget
from chervilwall.routing import Route, RouteKind, RoutingTable, WeightedService
from chervilwall.stream_versions import StreamVersions
from chervilwall_router.edge.admission import RequestAdmission
from chervilwall_router.edge.attempts import MIN_SILENCE_S, AttemptRunner
from chervilwall_router.edge.cold_notices import ColdNotices
from chervilwall_router.edge.scheduling import PlacedRequest
from chervilwall_router.edge.settings import RetrySettings
from chervilwall_router.problem import EXECUTED_NO

OBJECTIVE_S = 0.3
ROUTE = Route(
    "r", "h", "/", RouteKind.STREAMING, 15.0, OBJECTIVE_S, 0,
    (WeightedService("s", 1.0),), 1,
)  # fmt: skip


def make_cold_notices():
    """Returns the notices of a router without the setting `cold`."""
    return ColdNotices(
        ColdTargets(False),
        mock.Mock(),
        mock.Mock(),
        lambda: 0.0,
        time.monotonic,
    )


class _RefusingScheduling:
    """Refuse and record every request for a slot."""

    def __init__(self):
        self.requests = []

    async def acquire(self, request):
        self.requests.append(request)
        raise RequestRefusedError("full", 1.0, step="wait", peer="s")


class _GrantingScheduling:
    """Grant the same target to every request and record the outcomes."""

    def __init__(self):
        self.outcomes = []

    def takes_requests(self, target):
        return True

    async def acquire(self, request):
        target = RegisteredTarget("t", "s", "127.0.0.1:9", "z", 8)
        return PlacedRequest(
            1,
            Choice(target),
            request.arrived_at,
            mock.Mock(),
            mock.Mock(),
            self.outcomes.append,
        )


class _SlowlyFailingConnections:
    """Fail to connect after the time limit of every request."""

    def __init__(self, limit_s):
        self._limit_s = limit_s

    async def acquire(self, target):
        await asyncio.sleep(self._limit_s)
        raise DialError("timed out", step="connect", peer=target.address)


class _SlowConnections:
    """Connect after the time limit of every request."""

    def __init__(self, limit_s):
        self._limit_s = limit_s

    async def acquire(self, target):
        await asyncio.sleep(self._limit_s)
        return mock.MagicMock()


class RequestFlowTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.scheduling = _RefusingScheduling()
        table = RoutingTable(1, [ROUTE], [])
        parts = SimpleNamespace(
            table=lambda: table,
            scheduling=self.scheduling,
            retries=RetrySettings(),
            metrics=mock.MagicMock(),
            clock=time.monotonic,
            started_at=0.0,
            rng=random.Random(1),
            crashes=CrashLedger(),
            waiting_count=lambda: 0,
            host_load=HostLoad(0.2),
            known_router_count=lambda: 1,
            totals=mock.MagicMock(),
            connections=None,
            wire=None,
            streams=StreamVersions(lambda service: 30.0),
            kept=mock.MagicMock(),
            cold=make_cold_notices(),
        )
        self.flow = RequestAdmission(parts)

    async def arrive(self, number=0, remaining_s=15.0):
        req = InboundRequest(
            f"id{number}", "POST", "h", "/x", (), b"", time.monotonic(),
            remaining_s=remaining_s, prompt_tokens=100,
            prompt_parts=(PromptPart("top", 50), PromptPart(str(number), 50)),
        )  # fmt: skip
        answer = mock.MagicMock(started=False)
        answer.closed.return_value = False
        await self.flow.handle(req, answer)
        return answer.refuse.call_args.args[0]

    async def test_late_in_a_stop_no_stream_is_taken_that_may_be_cut(self):
        # The mean of five short streams underestimates the longest streams of
        # the route, which the shutdown would cut off.
        for _ in range(5):
            self.flow.statistics.record_stream(ROUTE, 40, 1.2)
        self.flow.aborts_at = time.monotonic() + 4.3
        self.flow.accepts_until = time.monotonic() + 1.0
        self.assertNotEqual((await self.arrive(1)).reason, "leaving")
        self.flow.accepts_until = time.monotonic() - 0.1
        self.assertEqual((await self.arrive(2)).reason, "leaving")

    async def test_late_in_a_stop_what_surely_ends_is_taken(self):
        self.flow.aborts_at = time.monotonic() + ROUTE.timeout_s + 1.0
        self.flow.accepts_until = time.monotonic() - 0.1
        self.assertNotEqual((await self.arrive(1)).reason, "leaving")

    async def test_a_caller_with_less_time_than_others_is_not_late(self):
        for number, remaining_s in enumerate((15.0, 12.8, 14.0)):
            await self.arrive(number, remaining_s)
        for request in self.scheduling.requests:
            self.assertAlmostEqual(
                request.due_at - request.arrived_at, OBJECTIVE_S
            )
            self.assertTrue(request.is_first_attempt)

    async def test_a_request_whose_time_ends_before_a_send_was_not_run(self):
        parts = self.flow._parts
        parts.scheduling = _GrantingScheduling()
        parts.connections = _SlowlyFailingConnections(0.05)
        problem = await self.arrive(remaining_s=0.05)
        self.assertEqual((problem.status, problem.reason), (503, "timeout"))
        self.assertEqual(problem.executed, EXECUTED_NO)

    async def test_a_time_limit_that_ends_before_a_send_ejects_no_target(self):
        parts = self.flow._parts
        scheduling = parts.scheduling = _GrantingScheduling()
        parts.connections = _SlowConnections(0.05)
        parts.crashes = mock.MagicMock()
        parts.crashes.status.return_value = NO_CRASHES
        problem = await self.arrive(remaining_s=0.05)
        self.assertEqual((problem.status, problem.reason), (503, "timeout"))
        self.assertEqual(scheduling.outcomes, [OUTCOME_WITHDRAWN])


class _StoppingConnections:
    """Begin a stop of the router while a connection is opened."""

    def __init__(self, flow, conn):
        self._flow = flow
        self._conn = conn
        self.dialled = 0

    async def acquire(self, target):
        self.dialled += 1
        self._flow.aborts_at = time.monotonic() + 0.01
        if self._conn is None:
            raise DialError("timed out", step="connect", peer=target.address)
        return self._conn


class LateInStopTest(unittest.IsolatedAsyncioTestCase):
    setUp = RequestFlowTest.setUp
    arrive = RequestFlowTest.arrive

    async def begin(self, conn):
        parts = self.flow._parts
        parts.scheduling = _GrantingScheduling()
        parts.crashes = mock.MagicMock()
        parts.crashes.status.return_value = NO_CRASHES
        connections = _StoppingConnections(self.flow, conn)
        parts.connections = connections
        problem = await self.arrive()
        self.assertEqual(problem.executed, EXECUTED_NO)
        self.assertEqual(connections.dialled, 1)

    async def test_no_request_is_begun_late_after_one_that_was_not_sent(self):
        await self.begin(None)

    async def test_no_request_is_sent_late_after_a_connection_was_opened(self):
        conn = mock.MagicMock()
        await self.begin(conn)
        conn.write.assert_not_called()


class _FullTargets:
    """Refuse replacements at the end of a wait."""

    def __init__(self, until):
        self._until = until

    def may_replace(self):
        return True

    async def acquire_replacement(self):
        await asyncio.sleep(self._until - time.monotonic())
        raise RequestRefusedError("full", 1.0, step="wait", peer="s")


class SilentTargetTest(unittest.IsolatedAsyncioTestCase):
    async def test_a_budget_that_is_earned_again_fails_no_search(self):
        # Each check of the budget may differ from the one before.
        replacements = _FullTargets(time.monotonic() + 60.0)
        answers = iter((True, False, True))
        replacements.may_replace = lambda: next(answers, False)
        runner = AttemptRunner(
            SimpleNamespace(clock=time.monotonic),
            SimpleNamespace(deadline_at=time.monotonic() + 5.0, route=ROUTE),
            replacements,
        )
        runner._grant = mock.MagicMock()
        work = asyncio.get_running_loop().create_future()
        relay = mock.Mock(events=0, sent_bytes=0)
        self.assertFalse(
            await runner._find_replacement(work, relay, lambda: False)
        )

    async def test_a_refused_takeover_is_followed_by_another_search(self):
        # The silent target may be gone: no time is spent on it meanwhile.
        replacements = mock.Mock()
        replacements.may_replace.return_value = True
        grants = [mock.MagicMock(), mock.MagicMock()]
        replacements.acquire_replacement = mock.AsyncMock(side_effect=grants)
        runner = AttemptRunner(
            SimpleNamespace(clock=time.monotonic),
            SimpleNamespace(deadline_at=time.monotonic() + 5.0, route=ROUTE),
            replacements,
        )
        runner._grant = mock.MagicMock()
        takeovers = mock.AsyncMock(side_effect=(False, True))
        runner._try_takeover = takeovers
        work = asyncio.get_running_loop().create_future()
        relay = mock.Mock(events=0, sent_bytes=0)
        self.assertTrue(
            await runner._find_replacement(work, relay, lambda: False)
        )
        tried = [call.args[0] for call in takeovers.await_args_list]
        self.assertEqual(tried, grants)

    async def test_a_target_that_is_not_read_is_not_silent(self):
        now = time.monotonic()
        replacements = mock.Mock()
        replacements.may_replace.return_value = True
        runner = AttemptRunner(
            SimpleNamespace(clock=time.monotonic),
            SimpleNamespace(deadline_at=now + MIN_SILENCE_S + 0.5, route=ROUTE),
            replacements,
        )
        runner._grant = mock.MagicMock()
        runner._grant.choice.first_token_s = 0.0
        work = asyncio.get_running_loop().create_future()
        relay = mock.Mock(events=0)
        await runner._wait_for_end(work, relay, lambda: True)
        replacements.acquire_replacement.assert_not_called()
        runner._grant.record_silence.assert_not_called()

    async def test_the_search_for_another_target_ends_in_time(self):
        now = time.monotonic()
        deadline_at = now + MIN_SILENCE_S + 0.4
        runner = AttemptRunner(
            SimpleNamespace(clock=time.monotonic),
            SimpleNamespace(deadline_at=deadline_at, route=ROUTE),
            _FullTargets(deadline_at),
        )
        runner._grant = mock.MagicMock()
        runner._grant.choice.first_token_s = 0.0
        work = asyncio.get_running_loop().create_future()
        relay = mock.Mock(events=0)
        self.assertFalse(await runner._wait_for_end(work, relay, lambda: False))
        self.assertLess(time.monotonic() - deadline_at, 0.2)
