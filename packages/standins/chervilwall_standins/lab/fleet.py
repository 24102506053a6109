"""Simulation of an edge router's decisions for simulated model engines."""

import asyncio
from collections import defaultdict
from typing import NamedTuple

from chervilwall.crash_ledger import CrashLedger
from chervilwall.errors import RequestRefusedError
from chervilwall.fair_share import WINDOW_S, FairShare, max_min_level
from chervilwall.load_view import LoadView
from chervilwall.placement import Demand, Placement, PlacementSettings
from chervilwall.prefill import PrefillModel
from chervilwall.prefix import PrefixMap
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.request_pacer import RequestPacer
from chervilwall.route_statistics import SizeClasses
from chervilwall.stream_origins import StreamDemand
from chervilwall.stream_versions import StreamVersions
from chervilwall.target_limits import TargetLimits
from chervilwall.wait_queue import WaitSettings
from chervilwall_router.edge.dispatcher import Dispatcher, DispatcherParts
from chervilwall_router.edge.grants import GrantRequest

from chervilwall_standins.lab.engine import (
    Engine,
    EngineRun,
    EngineSettings,
)
from chervilwall_standins.lab.load import Call, LoadSettings, make_calls

SERVICE = "engines"
ROUTER_LATENCY_S = 0.001
CALLER_LATENCY_S = 0.003
DEADLINE_S = 15.0


class SimulationSettings(NamedTuple):
    """Parameters of a simulation.

    Args:
        load (LoadSettings): Load of the callers.
        engines (int): Number of engines.
        engine (EngineSettings): Speed and size of each engine.
        placement (PlacementSettings): Settings of placement.
        waiting (WaitSettings): Settings of the wait queue.
        capacity_tokens_per_s (float): Capacity of all engines, from which the
            fair shares are computed. A prompt token counts once and a
            generated token twice, unlike in Call.size.
    """

    load: LoadSettings = LoadSettings()
    engines: int = 6
    engine: EngineSettings = EngineSettings()
    placement: PlacementSettings = PlacementSettings()
    waiting: WaitSettings = WaitSettings()
    capacity_tokens_per_s: float = 170_000.0


class Outcome(NamedTuple):
    """Outcome of one call.

    Args:
        call (Call): The call.
        first_s (float | None): Time to the first event in seconds, None if
            all attempts were refused.
        refusals (int): Number of refused attempts.
        value (float): Unused, always 0; the summary computes the benefit.
    """

    call: Call
    first_s: float | None
    refusals: int
    value: float


class SimulatedRouter:
    """Dispatch calls to simulated engines with a router's dispatcher.

    Args:
        simulation (Simulation): The simulation, with its engines.
    """

    def __init__(self, simulation: "Simulation") -> None:
        self._simulation = simulation
        clock = asyncio.get_running_loop().time
        load = LoadView()
        prefixes = simulation.prefixes
        model = PrefillModel()
        placement = Placement(
            simulation.cfg.placement,
            "zone",
            load,
            prefixes,
            model,
            lambda _: True,
        )
        self.dispatcher = Dispatcher(
            DispatcherParts(
                settings=simulation.cfg.waiting,
                placement=placement,
                registry=simulation.registry,
                load=load,
                prefixes=prefixes,
                model=model,
                crashes=CrashLedger(),
                shares=FairShare(),
                tokens_per_s=lambda: simulation.cfg.capacity_tokens_per_s,
                scheduler_count=lambda service: 1,
                on_grant=lambda target_id, parts: None,
                streams=StreamVersions(lambda service: 0.0),
                agreement=_SoleVersion(),
                pacer=RequestPacer(TargetLimits(), lambda service: 1.0),
                clock=clock,
            )
        )

    def __repr__(self) -> str:
        return f"SimulatedRouter(dispatcher={self.dispatcher!r})"

    async def serve(
        self, call: Call, first_sent_at: float, *, first: bool
    ) -> float | None:
        """Runs one attempt of a call to its end.

        Args:
            call (Call): The call.
            first_sent_at (float): Time at which the caller first sent it.
            first (bool): Whether this is the first attempt.

        Returns:
            Time at which the router received the first event.

        Raises:
            RequestRefusedError: If the dispatcher refuses the call.
        """
        loop = asyncio.get_running_loop()
        now = loop.time()
        demand = Demand(
            SERVICE,
            sum(p.tokens for p in call.parts),
            call.output_tokens,
            call.parts,
            call.parts[-2].id,
        )
        cls = call.cls
        request = GrantRequest(
            demand,
            call.team,
            cls.objective_s,
            first_sent_at + cls.objective_s - 2 * CALLER_LATENCY_S,
            first_sent_at + DEADLINE_S,
            now,
            is_first_attempt=first,
            route=cls.name,
            size_class=self._simulation.size_class_of(call),
        )
        grant = await self.dispatcher.acquire(request)
        event_times: list[float] = []

        def on_event(at: float) -> None:
            if not event_times:
                grant.record_first_token(at - grant.started_at, has_event=True)
            event_times.append(at)

        with grant:
            run = EngineRun(call.parts, call.output_tokens, on_event)
            await self._simulation.engines[grant.choice.target.id].serve(run)
        return event_times[0]


class Simulation:
    """Simulate callers, one router and its engines.

    Args:
        cfg (SimulationSettings): Parameters of the simulation.
    """

    def __init__(self, cfg: SimulationSettings) -> None:
        self.cfg = cfg
        self.registry = TargetRegistry()
        self.prefixes = PrefixMap(
            int(cfg.engine.kv_tokens * cfg.placement.cached_kv_fraction)
        )
        self.engines: dict[str, Engine] = {}
        self.outcomes: list[Outcome] = []
        self._size_classes: dict[str, SizeClasses] = defaultdict(SizeClasses)

    def __repr__(self) -> str:
        return f"Simulation(outcomes={len(self.outcomes)})"

    def size_class_of(self, call: Call) -> int:
        """Records the size of a call and returns its size class."""
        size_classes = self._size_classes[call.cls.name]
        size = sum(part.tokens for part in call.parts)
        size_classes.observe(size)
        return size_classes.classify(size)

    async def run_load(self) -> "SimulationResult":
        """Runs the load until all calls have ended and returns the result."""
        loop = asyncio.get_running_loop()
        for index in range(self.cfg.engines):
            name = f"engine{index}"
            self.engines[name] = Engine(self.cfg.engine)
            slots = self.cfg.engine.slots
            target = RegisteredTarget(name, SERVICE, "", "zone", slots)
            self.registry.put(target)
        router = SimulatedRouter(self)
        engine_tasks = [
            loop.create_task(coroutine)
            for engine in self.engines.values()
            for coroutine in (engine.run_prefill(), engine.run_decoding())
        ]
        calls = []
        for call in make_calls(self.cfg.load):
            await asyncio.sleep(max(0.0, call.at - loop.time()))
            calls.append(loop.create_task(self._send_call(router, call)))
        await asyncio.gather(*calls)
        for task in engine_tasks:
            task.cancel()
        return summarise(self)

    async def _send_call(self, router: SimulatedRouter, call: Call) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        refusals = 0
        while refusals < 2:
            await asyncio.sleep(CALLER_LATENCY_S + ROUTER_LATENCY_S)
            try:
                async with asyncio.timeout(DEADLINE_S):
                    first_at = await router.serve(
                        call, sent_at, first=not refusals
                    )
            except RequestRefusedError as exc:
                refusals += 1
                remaining_s = DEADLINE_S - (loop.time() - sent_at)
                await asyncio.sleep(min(exc.retry_after_s, remaining_s / 3))
                continue
            assert first_at is not None
            first_s = first_at + CALLER_LATENCY_S - sent_at
            self.outcomes.append(Outcome(call, first_s, refusals, 0.0))
            return
        self.outcomes.append(Outcome(call, None, refusals, 0.0))


class SimulationResult(NamedTuple):
    """Measurements of a simulation.

    Args:
        classes (dict): By class, the number of calls in total, within the
            objective, within the patience only, and refused or later.
        worth (float): Benefit earned by all teams, divided by the benefit that
            they offered, both only within the teams' fair shares. The benefit
            of a call is that of its class times the relative size of the call.
        worst_teams_worth (float): The same fraction, averaged over the two
            teams where it is lowest.
        prefill_tokens (int): Prompt tokens prefilled.
        cached_tokens (int): Prompt tokens found in caches.
        busy_fraction (float): Fraction of the time that engines spent on
            prefill.
    """

    classes: dict[str, tuple[int, int, int, int]]
    worth: float
    worst_teams_worth: float
    prefill_tokens: int
    cached_tokens: int
    busy_fraction: float

    def format_line(self) -> str:
        """Returns the measurements in one line."""
        classes = " ".join(
            f"{name} {counts[1]}/{counts[2]}/{counts[3]}"
            for name, counts in sorted(self.classes.items())
        )
        cached_fraction = self.cached_tokens / (
            self.cached_tokens + self.prefill_tokens
        )
        return (
            f"worth {self.worth:.3f} worst teams {self.worst_teams_worth:.3f} "
            f"kept {cached_fraction:.2f} busy {self.busy_fraction:.2f} "
            f"in time/late/refused: {classes}"
        )


def summarise(simulation: Simulation) -> SimulationResult:
    """Returns the result of a simulation.

    A team's benefit counts up to the part of its demand that is within its fair
    share, separately for each window of the shares.
    """
    sizes_by_class = defaultdict(list)
    for outcome in simulation.outcomes:
        sizes_by_class[outcome.call.cls.name].append(outcome.call.size)
    mean_size = {name: sum(v) / len(v) for name, v in sizes_by_class.items()}
    counts: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0, 0])
    demand: dict[int, dict[str, float]] = defaultdict(
        lambda: defaultdict(float)
    )
    offered_value: dict = defaultdict(float)
    earned_value: dict = defaultdict(float)
    for outcome in simulation.outcomes:
        cls = outcome.call.cls
        # Factor on the benefit, which grows with the size of the call relative
        # to the mean of its class.
        size = min(4.0, 0.3 + 0.7 * outcome.call.size / mean_size[cls.name])
        window = int(outcome.call.at / WINDOW_S)
        key = (window, outcome.call.team)
        tokens = sum(p.tokens for p in outcome.call.parts)
        demand[window][outcome.call.team] += (
            tokens + 2 * outcome.call.output_tokens
        )
        offered_value[key] += cls.worth * size
        class_counts = counts[cls.name]
        class_counts[0] += 1
        if outcome.first_s is None:
            class_counts[3] += 1
        elif outcome.first_s <= cls.objective_s:
            class_counts[1] += 1
            earned_value[key] += cls.worth * size
        elif outcome.first_s <= cls.patience_s:
            class_counts[2] += 1
            earned_value[key] += cls.late_worth * size
        else:
            class_counts[3] += 1
    benefit_by_team: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for (window, team), value in offered_value.items():
        level = max_min_level(
            demand[window], simulation.cfg.capacity_tokens_per_s * WINDOW_S
        )
        fraction_within_share = min(1.0, level / demand[window][team])
        benefit_by_team[team][0] += min(
            earned_value[(window, team)], value * fraction_within_share
        )
        benefit_by_team[team][1] += value * fraction_within_share
    total = [sum(v[i] for v in benefit_by_team.values()) for i in (0, 1)]
    team_worths = sorted(v[0] / v[1] for v in benefit_by_team.values())
    engines = simulation.engines.values()
    return SimulationResult(
        {name: (r[0], r[1], r[2], r[3]) for name, r in counts.items()},
        total[0] / total[1],
        sum(team_worths[:2]) / 2,
        sum(e.prefill_tokens for e in engines),
        sum(e.cached_tokens for e in engines),
        sum(e.busy_s for e in engines)
        / len(engines)
        / simulation.cfg.load.seconds,
    )


class _SoleVersion:
    """Agreement of routers whose targets all run the same software."""

    async def wait_for_versions(self, service: str) -> None:
        """Returns at once."""
        del service

    async def confirm_versions(
        self, service: str, stream: StreamDemand
    ) -> bool:
        """Returns that all is known."""
        del service, stream
        return True
