"""Tests of the attempts of a request on the targets of its cell."""

import time
import unittest
from unittest import mock

from chervilwall import claim as claim_lib
from chervilwall.cell_messages import Grant
from chervilwall.classify import CallerRequest, Classified
from chervilwall.config import Config, RequestClass, Service, Target, Team
from chervilwall.quarantine import Quarantine
from chervilwall.scheduler import CellScheduler
from chervilwall_router.pipeline import Pipeline
from chervilwall_router.settings import LimitSettings

CELL = "svc#0"
TARGET = Target("t0", "svc", "10.0.0.1:80", "az0", 2)
CONFIG = Config(
    teams=(Team("a", 1.0),),
    services=(Service("svc"),),
    classes=(RequestClass("c", "svc", "/"),),
    targets=(TARGET,),
)


class UnsentAttemptTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.scheduler = CellScheduler(CELL, "svc", Quarantine())
        self.scheduler.configure(CONFIG, CONFIG.targets)
        self.cells = mock.Mock(cells={CELL: None})
        self.holder = mock.Mock()
        self.holder.request_grant = self.grant
        self.pipeline = Pipeline(
            LimitSettings(max_attempts=1),
            holder=self.holder,
            cells=self.cells,
            claims=mock.Mock(),
            usage_counters=mock.Mock(incarnation="r1"),
            quarantine=Quarantine(),
            metrics=mock.Mock(),
        )
        self.pipeline.configure(CONFIG)

    async def grant(self, enqueue):
        self.scheduler.enqueue("r1", enqueue, time.monotonic())
        return Grant(enqueue.req_id, CELL, TARGET.name)

    async def run_attempts(self, claim=None):
        """Runs a request and returns its result and the ejected targets."""
        self.holder.next_id.return_value = 1
        req = CallerRequest("POST", "/x", {}, b"{}", time.monotonic())
        classified = Classified(CONFIG.teams[0], CONFIG.classes[0], b"k", 0, "")
        with mock.patch("chervilwall_router.pipeline.find_cells") as find:
            find.return_value = [CELL]
            result = await self.pipeline._run_attempts(
                req, classified, mock.Mock(), claim
            )
        (done,) = self.holder.report_done.call_args.args
        now = time.monotonic()
        self.scheduler.finish("r1", done, now)
        return result, self.scheduler.slots.health.ejected(now)

    async def test_a_target_that_was_removed_is_not_called_unhealthy(self):
        self.cells.target.return_value = None
        result, ejected = await self.run_attempts()
        self.assertEqual(result.problem.executed, "no")
        self.assertEqual(ejected, [])

    async def test_an_old_claim_does_not_eject_the_target(self):
        self.cells.target.return_value = TARGET
        claimed_at = time.monotonic() - 2 * claim_lib.DISPATCH_LIMIT_S
        claim = mock.Mock(claimed_at=claimed_at)
        result, ejected = await self.run_attempts(claim)
        self.assertEqual(result.problem.executed, "no")
        self.assertEqual(ejected, [])
