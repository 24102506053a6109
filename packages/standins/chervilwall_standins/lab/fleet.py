"""Edge routers' decisions before model engines, in virtual time."""

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
from chervilwall.route_statistics import SizeClasses
from chervilwall.wait_queue import WaitSettings
from chervilwall_router.edge.dispatcher import Dispatcher, DispatcherParts
from chervilwall_router.edge.grant import Wish

from chervilwall_standins.lab.engine import Engine, EngineRun, EngineSettings
from chervilwall_standins.lab.load import Call, LoadSettings, make_calls

SERVICE = "engines"
HOP_S = 0.001
CACHED_PORTION = 0.6
CALLER_LAG_S = 0.003
DEADLINE_S = 15.0


class LabSettings(NamedTuple):
    """What is played.

    Args:
        load (LoadSettings): The load.
        engines (int): Number of engines.
        engine (EngineSettings): The engines.
        placement (PlacementSettings): Limits of placement.
        waiting (WaitSettings): Limits of waiting.
        capacity (float): Tokens a second by which shares are reckoned.
    """

    load: LoadSettings = LoadSettings()
    engines: int = 6
    engine: EngineSettings = EngineSettings()
    placement: PlacementSettings = PlacementSettings()
    waiting: WaitSettings = WaitSettings()
    capacity: float = 170_000.0


class Outcome(NamedTuple):
    """How one call ended.

    Args:
        call (Call): The call.
        first_s (float | None): Time to its first event, None if refused.
        refusals (int): How often it was refused.
        value (float): Benefit that it earned.
    """

    call: Call
    first_s: float | None
    refusals: int
    value: float


class LabRouter:
    """The decisions of the router that schedules.

    Args:
        lab (Lab): What is played.
    """

    def __init__(self, lab: "Lab") -> None:
        self._lab = lab
        clock = asyncio.get_running_loop().time
        load = LoadView()
        prefixes = PrefixMap(int(lab.cfg.engine.kv_tokens * CACHED_PORTION))
        model = PrefillModel()
        placement = Placement(
            lab.cfg.placement, "zone", load, prefixes, model, lambda _: True
        )
        self.dispatcher = Dispatcher(
            DispatcherParts(
                settings=lab.cfg.waiting,
                placement=placement,
                registry=lab.registry,
                load=load,
                prefixes=prefixes,
                model=model,
                crashes=CrashLedger(),
                shares=FairShare(),
                capacity=lambda: lab.cfg.capacity,
                routers=lambda: 1,
                granted=lambda target_id, parts: None,
                clock=clock,
            )
        )

    def __repr__(self) -> str:
        return f"LabRouter(dispatcher={self.dispatcher!r})"

    async def serve(
        self, call: Call, first_sent_at: float, *, first: bool
    ) -> float | None:
        """Runs a call; returns the time of its first event, None if refused."""
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
        wish = Wish(
            demand,
            call.team,
            cls.objective_s,
            first_sent_at + cls.objective_s - 2 * CALLER_LAG_S,
            first_sent_at + DEADLINE_S,
            now,
            first=first,
            route=cls.name,
            size_class=self._lab.sizes(call),
        )
        grant = await self.dispatcher.acquire(wish)
        seen: list[float] = []

        def on_event(at: float) -> None:
            if not seen:
                grant.note_first_token(at - grant.started_at)
            seen.append(at)

        with grant:
            run = EngineRun(call.parts, call.output_tokens, on_event)
            await self._lab.engines[grant.choice.target.id].serve(run)
        return seen[0]


class Lab:
    """Play a load into a fleet.

    Args:
        cfg (LabSettings): What is played.
    """

    def __init__(self, cfg: LabSettings) -> None:
        self.cfg = cfg
        self.registry = TargetRegistry()
        self.engines: dict[str, Engine] = {}
        self.outcomes: list[Outcome] = []
        self._sizes: dict[str, SizeClasses] = defaultdict(SizeClasses)

    def __repr__(self) -> str:
        return f"Lab(outcomes={len(self.outcomes)})"

    def sizes(self, call: Call) -> int:
        """Returns the size class of a call."""
        sizes = self._sizes[call.cls.name]
        size = sum(part.tokens for part in call.parts)
        sizes.observe(size)
        return sizes.classify(size)

    async def play(self) -> "LabResult":
        """Plays the load to its end."""
        loop = asyncio.get_running_loop()
        for index in range(self.cfg.engines):
            name = f"engine{index}"
            self.engines[name] = Engine(self.cfg.engine)
            slots = self.cfg.engine.slots
            target = RegisteredTarget(name, SERVICE, "", "zone", slots)
            self.registry.put(target)
        router = LabRouter(self)
        works = [
            loop.create_task(work)
            for engine in self.engines.values()
            for work in (engine.read(), engine.generate())
        ]
        calls = []
        for call in make_calls(self.cfg.load):
            await asyncio.sleep(max(0.0, call.at - loop.time()))
            calls.append(loop.create_task(self._call(router, call)))
        await asyncio.gather(*calls)
        for work in works:
            work.cancel()
        return summarise(self)

    async def _call(self, router: LabRouter, call: Call) -> None:
        loop = asyncio.get_running_loop()
        sent_at = loop.time()
        refusals = 0
        while refusals < 2:
            await asyncio.sleep(CALLER_LAG_S + HOP_S)
            try:
                async with asyncio.timeout(DEADLINE_S):
                    first_at = await router.serve(
                        call, sent_at, first=not refusals
                    )
            except RequestRefusedError as exc:
                refusals += 1
                left_s = DEADLINE_S - (loop.time() - sent_at)
                await asyncio.sleep(min(exc.retry_after_s, left_s / 3))
                continue
            assert first_at is not None
            first_s = first_at + CALLER_LAG_S - sent_at
            self.outcomes.append(Outcome(call, first_s, refusals, 0.0))
            return
        self.outcomes.append(Outcome(call, None, refusals, 0.0))


class LabResult(NamedTuple):
    """What a play came to.

    Args:
        classes (dict): Asked, in time, late and refused by class.
        worth (float): Benefit earned over benefit owed.
        worst_teams (float): The same for the worst tenth of teams.
        read_tokens (int): Prompt tokens read.
        kept_tokens (int): Prompt tokens found in caches.
        busy (float): Portion of the time in which engines made steps.
    """

    classes: dict[str, tuple[int, int, int, int]]
    worth: float
    worst_teams: float
    read_tokens: int
    kept_tokens: int
    busy: float

    def line(self) -> str:
        """Returns the figures in one line."""
        classes = " ".join(
            f"{name} {counts[1]}/{counts[2]}/{counts[3]}"
            for name, counts in sorted(self.classes.items())
        )
        kept = self.kept_tokens / (self.kept_tokens + self.read_tokens)
        return (
            f"worth {self.worth:.3f} worst teams {self.worst_teams:.3f} "
            f"kept {kept:.2f} busy {self.busy:.2f} in time/late/refused: "
            f"{classes}"
        )


def summarise(lab: Lab) -> LabResult:
    """Returns the result of a play."""
    means = defaultdict(list)
    for out in lab.outcomes:
        means[out.call.cls.name].append(out.call.size)
    mean = {name: sum(v) / len(v) for name, v in means.items()}
    counts: dict[str, list[int]] = defaultdict(lambda: [0, 0, 0, 0])
    asked: dict[int, dict[str, float]] = defaultdict(lambda: defaultdict(float))
    owed: dict = defaultdict(float)
    earned: dict = defaultdict(float)
    for out in lab.outcomes:
        cls = out.call.cls
        size = min(4.0, 0.3 + 0.7 * out.call.size / mean[cls.name])
        window = int(out.call.at / WINDOW_S)
        key = (window, out.call.team)
        tokens = sum(p.tokens for p in out.call.parts)
        asked[window][out.call.team] += tokens + 2 * out.call.output_tokens
        owed[key] += cls.worth * size
        row = counts[cls.name]
        row[0] += 1
        if out.first_s is None:
            row[3] += 1
        elif out.first_s <= cls.objective_s:
            row[1] += 1
            earned[key] += cls.worth * size
        elif out.first_s <= cls.patience_s:
            row[2] += 1
            earned[key] += cls.late_worth * size
        else:
            row[3] += 1
    by_team: dict[str, list[float]] = defaultdict(lambda: [0.0, 0.0])
    for (window, team), value in owed.items():
        level = max_min_level(asked[window], lab.cfg.capacity * WINDOW_S)
        part = min(1.0, level / asked[window][team])
        by_team[team][0] += min(earned[(window, team)], value * part)
        by_team[team][1] += value * part
    total = [sum(v[i] for v in by_team.values()) for i in (0, 1)]
    worst = sorted(v[0] / v[1] for v in by_team.values())
    engines = lab.engines.values()
    return LabResult(
        {name: (r[0], r[1], r[2], r[3]) for name, r in counts.items()},
        total[0] / total[1],
        sum(worst[:2]) / 2,
        sum(e.read_tokens for e in engines),
        sum(e.kept_tokens for e in engines),
        sum(e.busy_s for e in engines) / len(engines) / lab.cfg.load.seconds,
    )
