"""Tests of the admission of requests."""

import random
import time
import unittest
from types import SimpleNamespace
from unittest import mock

from chervilwall.crash_ledger import CrashLedger
from chervilwall.errors import RequestRefusedError
from chervilwall.host_load import HostLoad
from chervilwall.http_messages import InboundRequest
from chervilwall.prefix import PromptPart
from chervilwall.routing import Route, RouteKind, RoutingTable, WeightedService
from chervilwall_router.edge.admission import RequestAdmission
from chervilwall_router.edge.settings import RetrySettings

OBJECTIVE_S = 0.3
ROUTE = Route(
    "r", "h", "/", RouteKind.STREAMING, 15.0, OBJECTIVE_S, 0,
    (WeightedService("s", 1.0),), 1,
)  # fmt: skip


class _RefusingScheduling:
    """Refuse and record every request for a slot."""

    def __init__(self):
        self.requests = []

    async def acquire(self, request):
        self.requests.append(request)
        raise RequestRefusedError("full", 1.0, step="wait", peer="s")


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
            rng=random.Random(1),
            crashes=CrashLedger(),
            waiting_count=lambda: 0,
            host_load=HostLoad(0.2),
            router_count=lambda: 1,
            totals=mock.MagicMock(),
            connections=None,
            wire=None,
        )
        self.flow = RequestAdmission(parts)

    async def arrive(self, number=0, remaining_s=15.0):
        req = InboundRequest(
            f"id{number}", "POST", "h", "/x", (), b"", time.monotonic(),
            remaining_s=remaining_s, prompt_tokens=100,
            prompt_parts=(PromptPart("top", 50), PromptPart(str(number), 50)),
        )  # fmt: skip
        answer = mock.MagicMock(started=False)
        await self.flow.handle(req, answer)
        return answer.refuse.call_args.args[0].reason

    async def test_late_in_a_stop_no_stream_is_taken_that_may_be_cut(self):
        # The mean of five short streams underestimates the longest streams of
        # the route, which the shutdown would cut off.
        for _ in range(5):
            self.flow.statistics.record_stream(ROUTE, 40, 1.2)
        self.flow.aborts_at = time.monotonic() + 4.3
        self.flow.accepts_until = time.monotonic() + 1.0
        self.assertNotEqual(await self.arrive(1), "leaving")
        self.flow.accepts_until = time.monotonic() - 0.1
        self.assertEqual(await self.arrive(2), "leaving")

    async def test_late_in_a_stop_what_surely_ends_is_taken(self):
        self.flow.aborts_at = time.monotonic() + ROUTE.timeout_s + 1.0
        self.flow.accepts_until = time.monotonic() - 0.1
        self.assertNotEqual(await self.arrive(1), "leaving")

    async def test_a_caller_with_less_time_than_others_is_not_late(self):
        for number, remaining_s in enumerate((15.0, 12.8, 14.0)):
            await self.arrive(number, remaining_s)
        for request in self.scheduling.requests:
            self.assertAlmostEqual(
                request.due_at - request.arrived_at, OBJECTIVE_S
            )
            self.assertTrue(request.is_first_attempt)
