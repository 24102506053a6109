"""Tests of how the router that schedules shares out targets."""

import unittest

from chervilwall.errors import RequestRefusedError
from chervilwall.fair_share import FairShare
from chervilwall.load_view import LoadView
from chervilwall.placement import Demand, Placement, PlacementSettings
from chervilwall.prefill import PrefillModel
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.wait_queue import WaitSettings
from chervilwall_router.edge.dispatcher import Dispatcher, DispatcherParts, Wish

OBJECTIVE_S = 0.3


class _Clock:
    def __init__(self):
        self.now = 100.0

    def __call__(self):
        return self.now


class _NotingPlacement(Placement):
    """Note how long before their due times requests are placed."""

    def __init__(self, *args):
        super().__init__(*args)
        self.slacks = []

    def choose(self, *args, **kwargs):
        self.slacks.append(kwargs["slack_s"])
        return super().choose(*args, **kwargs)


def make_dispatcher(clock, *, capacity, targets=1):
    registry = TargetRegistry()
    target = RegisteredTarget("i-1", "svc", "127.0.0.1:1", "zone", 8)
    if targets:
        registry.put(target)
    load, prefixes, model = LoadView(), PrefixMap(1_000_000), PrefillModel()
    placement = _NotingPlacement(
        PlacementSettings(), "zone", load, prefixes, model, lambda _: True
    )
    shares = FairShare()
    parts = DispatcherParts(
        settings=WaitSettings(),
        placement=placement,
        registry=registry,
        load=load,
        prefixes=prefixes,
        model=model,
        shares=shares,
        capacity=lambda: capacity,
        routers=lambda: 1,
        granted=lambda target_id, parts: None,
        clock=clock,
    )
    return Dispatcher(parts), parts


def make_wish(clock, team, number, tokens=1000):
    parts = (PromptPart("top", 100), PromptPart(f"own{number}", tokens - 100))
    return Wish(
        demand=Demand("svc", tokens, 10, parts, "top"),
        team=team,
        objective_s=OBJECTIVE_S,
        due_at=clock.now + OBJECTIVE_S,
        deadline_at=clock.now + 15.0,
        arrived_at=clock.now,
    )


class DispatcherTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.clock = _Clock()

    async def test_what_a_team_asks_counts_each_time_it_is_asked(self):
        dispatcher, parts = make_dispatcher(self.clock, capacity=1000.0)
        for number in range(6):
            wish = make_wish(self.clock, "flood", number)
            with await dispatcher.acquire(wish) as grant:
                grant.note_first_token(0.02)
            self.clock.now += 0.1
        over = parts.shares.over_teams(1000.0, self.clock.now)
        self.assertEqual(over, {"flood"})

    async def test_a_request_that_comes_again_is_due_as_at_first(self):
        dispatcher, parts = make_dispatcher(self.clock, capacity=0.0, targets=0)
        with self.assertRaises(RequestRefusedError):
            await dispatcher.acquire(make_wish(self.clock, "team", 7))
        self.clock.now += 2.0
        for number in (7, 8):
            with self.assertRaises(RequestRefusedError):
                await dispatcher.acquire(make_wish(self.clock, "team", number))
        slacks = [round(slack, 3) for slack in parts.placement.slacks]
        self.assertEqual(slacks, [OBJECTIVE_S, OBJECTIVE_S - 2.0, OBJECTIVE_S])
