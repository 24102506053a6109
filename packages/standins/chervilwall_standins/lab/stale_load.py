"""Simulation of routers that choose among targets by stale load reports.

The targets run plain requests in their slots and queue what exceeds them. The
simulation processes events in order of time without coroutines, so that 300
routers and many settings take seconds. Ways to choose a target are compared by
the places that are idle at one target while requests wait at another.
"""

import argparse
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable, Iterator
from typing import NamedTuple

from chervilwall.load_choice import LoadChoice, ReportUse
from chervilwall.load_view import LoadView, TargetLoad
from chervilwall.plain_targets import PlainSettings, PlainTargets
from chervilwall.registry import RegisteredTarget
from chervilwall.reported_load import (
    SLOWDOWN_MEMORY_S,
    ReportedLoad,
    StatedLoad,
)
from chervilwall.request_pacer import RequestPacer
from chervilwall.target_limits import TargetLimits

# Interval of the samples of the load, which also bound the age of a view.
SAMPLE_S = 0.01
# Time for which a router keeps a request for which all targets are full.
MAX_WAIT_S = 0.5
RETRY_S = 0.02
# Ignored at the start, while the targets fill.
WARMUP_S = 1.0


class StaleLoadSettings(NamedTuple):
    """Parameters of a simulation.

    Args:
        routers (int): Routers that choose; 1 stands for a scheduler.
        age_s (float): Age of the load of others that a router knows, and of the
            slowdown.
        slowdown_age_s (float | None): Age of the slowdown, None for `age_s`.
        seconds (float): Duration.
        rate_per_s (float): Mean rate of requests.
        targets (int): Number of targets.
        slots (int): Slots of each target.
        work_s (float): Mean duration of a request at normal speed.
        speeds (tuple): Speeds of the targets, in turn.
        slow_share (float): Probability that a target is slowed.
        slow_factor (float): Factor on the durations while it is.
        redraw_s (float): Time after which this is drawn anew.
        foreign_fraction (float): Slots of every fifth target that are taken by
            requests of others than the routers.
        seed (int): Seed of the random numbers.
    """

    routers: int = 1
    age_s: float = 0.05
    slowdown_age_s: float | None = None
    seconds: float = 12.0
    rate_per_s: float = 900.0
    targets: int = 45
    slots: int = 12
    work_s: float = 0.45
    speeds: tuple[float, ...] = (0.55, 1.2, 1.2)
    slow_share: float = 0.15
    slow_factor: float = 2.5
    redraw_s: float = 0.6
    foreign_fraction: float = 0.0
    seed: int = 1


class TargetView(NamedTuple):
    """What a router knows of a target when it chooses.

    Args:
        running (float): Requests that were sent to the target and have not
            ended, as far as the router knows.
        own (int): Those of the router itself.
        reported (float): Load that the target reported, brought up to date with
            the router's own requests.
        slots (int): Slots of the target.
        slowdown (float): Reported slowdown, decayed by its age.
    """

    running: float
    own: int
    reported: float
    slots: int
    slowdown: float


Chooser = Callable[[list[TargetView], random.Random], int | None]


class StaleLoadResult(NamedTuple):
    """Result of a simulation.

    Args:
        idle_places (float): Mean number of places that are idle while as many
            requests wait at other targets or at a router.
        busiest (float): Mean of the highest load of a target relative to the
            mean load.
        mean_s (float): Mean time from arrival to end of a request.
        p99_s (float): 99th percentile of it.
        refused (int): Requests for which no place was found in MAX_WAIT_S.
        ended (int): Requests that ended.
    """

    idle_places: float
    busiest: float
    mean_s: float
    p99_s: float
    refused: int
    ended: int

    def format_line(self) -> str:
        """Returns the result as one line."""
        return (
            f"idle {self.idle_places:6.2f}  busiest/mean {self.busiest:5.2f}  "
            f"mean {self.mean_s * 1000:5.0f} ms  p99 {self.p99_s * 1000:5.0f} "
            f"ms  refused {self.refused}/{self.ended + self.refused}"
        )


class _Request(NamedTuple):
    arrived_at: float
    work_s: float
    router: int


class _Target:
    """Run requests in slots at a speed that changes with time."""

    def __init__(
        self, speed: float, slots: int, cfg: StaleLoadSettings, seed: int
    ) -> None:
        rng = random.Random(seed)
        self.speed, self.slots = speed, slots
        self.running = 0
        self.queue: deque[_Request] = deque()
        self._cfg = cfg
        self._phase_s = rng.random() * cfg.redraw_s
        epochs = int(cfg.seconds / cfg.redraw_s) * 4 + 50
        self._slowdowns = [
            cfg.slow_factor if rng.random() < cfg.slow_share else 1.0
            for _ in range(epochs)
        ]

    @property
    def load(self) -> int:
        return self.running + len(self.queue)

    def slowdown(self, at: float) -> float:
        index = int((max(0.0, at) + self._phase_s) / self._cfg.redraw_s)
        return self._slowdowns[min(index, len(self._slowdowns) - 1)]

    def end_of(self, work_s: float, at: float) -> float:
        """Returns the time at which work that starts now is done."""
        redraw_s = self._cfg.redraw_s
        while True:
            left_s = redraw_s - (at + self._phase_s) % redraw_s + 1e-9
            rate = self.speed / self.slowdown(at)
            if work_s <= left_s * rate:
                return at + work_s / rate
            work_s -= left_s * rate
            at += left_s


class StaleLoadSimulation:
    """Simulate routers that choose targets by views of a given age.

    Args:
        cfg (StaleLoadSettings): Parameters.
        choose (Chooser): Chooses a target, None if all appear full.
    """

    def __init__(self, cfg: StaleLoadSettings, choose: Chooser) -> None:
        self._cfg = cfg
        self._choose = choose
        self._rng = random.Random(cfg.seed)
        # Separate, so that all ways are compared on the same requests.
        self._choice_rng = random.Random(cfg.seed + 1)
        self._targets = []
        foreign_slots = int(cfg.slots * cfg.foreign_fraction)
        self._foreign: list[int] = []
        for index in range(cfg.targets):
            speed = cfg.speeds[index % len(cfg.speeds)]
            foreign = foreign_slots if index % 5 == 4 else 0
            self._foreign.append(foreign)
            target = _Target(
                speed, cfg.slots - foreign, cfg, cfg.seed * 1000 + index
            )
            self._targets.append(target)
        self._own = [[0] * cfg.targets for _ in range(cfg.routers)]
        # Changes of a router's own counts that its view of the load of others
        # does not show yet.
        self._recent: list[deque[tuple[float, int, int]]] = [
            deque() for _ in range(cfg.routers)
        ]
        self._samples: deque[tuple[float, list[int]]] = deque()
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._waiting = 0
        self._idle_places: list[float] = []
        self._busiest: list[float] = []
        self._durations: list[float] = []
        self._refused = 0

    def __repr__(self) -> str:
        return f"StaleLoadSimulation({self._cfg!r})"

    def run(self) -> StaleLoadResult:
        """Runs the simulation and returns its result."""
        self._at(0.0, self._sample)
        self._at(0.0, self._arrive)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > self._cfg.seconds:
                break
            action(at)
        durations = sorted(self._durations)
        return StaleLoadResult(
            sum(self._idle_places) / len(self._idle_places),
            sum(self._busiest) / len(self._busiest),
            sum(durations) / len(durations),
            durations[int(0.99 * len(durations))],
            self._refused,
            len(durations),
        )

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _arrive(self, now: float) -> None:
        rng, cfg = self._rng, self._cfg
        self._at(now + rng.expovariate(cfg.rate_per_s), self._arrive)
        work_s = cfg.work_s * rng.lognormvariate(-0.18, 0.6)
        request = _Request(now, work_s, rng.randrange(cfg.routers))
        self._place(request, now)

    def _place(self, request: _Request, now: float) -> None:
        index = self._choose(self._views(request.router, now), self._choice_rng)
        if index is not None:
            self._count(request.router, index, 1, now)
            target = self._targets[index]
            if target.running < target.slots:
                self._start(index, request, now)
            else:
                target.queue.append(request)
        elif now - request.arrived_at + RETRY_S > MAX_WAIT_S:
            self._refused += now > WARMUP_S
        else:
            self._waiting += 1
            self._at(now + RETRY_S, lambda at: self._place_again(request, at))

    def _place_again(self, request: _Request, now: float) -> None:
        self._waiting -= 1
        self._place(request, now)

    def _start(self, index: int, request: _Request, now: float) -> None:
        target = self._targets[index]
        target.running += 1
        end_at = target.end_of(request.work_s, now)
        self._at(end_at, lambda at: self._end(index, request, at))

    def _end(self, index: int, request: _Request, now: float) -> None:
        target = self._targets[index]
        target.running -= 1
        self._count(request.router, index, -1, now)
        if request.arrived_at > WARMUP_S:
            self._durations.append(now - request.arrived_at)
        if target.queue:
            self._start(index, target.queue.popleft(), now)

    def _count(self, router: int, index: int, change: int, now: float) -> None:
        self._own[router][index] += change
        self._recent[router].append((now, index, change))

    def _sample(self, now: float) -> None:
        self._at(now + SAMPLE_S, self._sample)
        loads = [t.load for t in self._targets]
        self._samples.append((now, loads))
        if now - self._samples[0][0] > 1.0:
            self._samples.popleft()
        if now < WARMUP_S:
            return
        idle = sum(t.slots - t.running for t in self._targets)
        waiting = self._waiting + sum(len(t.queue) for t in self._targets)
        self._idle_places.append(min(idle, waiting))
        mean = sum(loads) / len(loads)
        self._busiest.append(max(loads) / mean if mean else 1.0)

    def _views(self, router: int, now: float) -> list[TargetView]:
        cfg = self._cfg
        slowdown_age_s = cfg.slowdown_age_s
        if slowdown_age_s is None:
            slowdown_age_s = cfg.age_s
        weight = max(0.0, 1.0 - slowdown_age_s / SLOWDOWN_MEMORY_S)
        own = self._own[router]
        loads, changes = self._known_loads(router, now)
        return [
            TargetView(
                loads[index] + changes.get(index, 0),
                own[index],
                loads[index] + changes.get(index, 0) + self._foreign[index],
                cfg.slots,
                1.0 + weight * (target.slowdown(now - slowdown_age_s) - 1.0),
            )
            for index, target in enumerate(self._targets)
        ]

    def _known_loads(
        self, router: int, now: float
    ) -> tuple[list[int], dict[int, int]]:
        """Returns loads of a given age and the router's own changes since.

        A scheduler knows all requests without delay.
        """
        if self._cfg.routers == 1:
            return self._own[router], {}
        back = min(len(self._samples), int(self._cfg.age_s / SAMPLE_S) + 1)
        sampled_at, loads = self._samples[-back]
        recent = self._recent[router]
        while recent and recent[0][0] <= sampled_at:
            recent.popleft()
        changes: dict[int, int] = {}
        for _, index, change in recent:
            changes[index] = changes.get(index, 0) + change
        return loads, changes


def _lowest(costs: Iterator[float | None]) -> int | None:
    known = [(c, i) for i, c in enumerate(costs) if c is not None]
    return min(known)[1] if known else None


def _cost(view: TargetView, way: str) -> float | None:
    """Returns the cost of a target, None if it appears full."""
    running = view.running
    if "own" in way:
        running = view.own
    if "joined" in way:
        running = view.reported
    if running >= 2 * view.slots:
        return None
    cost = (running + 1) / view.slots
    return cost * view.slowdown if "slow" in way else cost


def make_chooser(way: str) -> Chooser:
    """Returns a way to choose a target.

    Args:
        way (str): Words joined by "+": "lowest", "near" (random among those
            within one request of the lowest), "two" (the better of two random
            ones) or "share" (random by free slots); "slow" uses the slowdown,
            "joined" the reported load instead of the known one, "own" knows
            only the router's own requests.
    """
    words = way.split("+")

    def choose(views: list[TargetView], rng: random.Random) -> int | None:
        costs = [_cost(view, way) for view in views]
        open_indexes = [i for i, c in enumerate(costs) if c is not None]
        if not open_indexes:
            return None
        cost_of = {i: costs[i] or 0.0 for i in open_indexes}
        if "two" in words:
            pair = rng.sample(open_indexes, min(2, len(open_indexes)))
            return min(pair, key=cost_of.__getitem__)
        if "share" in words:
            room = [max(0.0, 1.0 - cost_of[i]) for i in open_indexes]
            if sum(room) > 0:
                return rng.choices(open_indexes, room)[0]
        best = min(cost_of.values())
        if "near" in words:
            limit = best + 1.0 / views[0].slots + 1e-9
            return rng.choice([i for i in open_indexes if cost_of[i] <= limit])
        return min(open_indexes, key=cost_of.__getitem__)

    return choose


class ProductChooser:
    """Choose a target as a router does.

    The load of others is what its peers told it, and each view is a new report.

    Args:
        cfg (StaleLoadSettings): Parameters of the simulation.
    """

    def __init__(self, cfg: StaleLoadSettings) -> None:
        self._cfg = cfg
        self._targets = [
            RegisteredTarget(f"t{i}", "s", f"10.0.0.{i}:80", "z", cfg.slots)
            for i in range(cfg.targets)
        ]
        self._pacer = RequestPacer(TargetLimits(), lambda service: 1.0)

    def __repr__(self) -> str:
        return f"ProductChooser(targets={len(self._targets)})"

    def __call__(
        self, views: list[TargetView], rng: random.Random
    ) -> int | None:
        """Returns the index of a target, None if all are full."""
        load = LoadView()
        loads = [
            (target.id, TargetLoad(running=round(view.running)))
            for target, view in zip(self._targets, views, strict=True)
        ]
        load.set_peer("others", loads, 0.0)
        reported = ReportedLoad(
            lambda target_id, now: load.total(target_id, now).running
        )
        for target, view in zip(self._targets, views, strict=True):
            running = min(view.slots, round(view.reported))
            waiting = round(view.reported) - running
            stated = StatedLoad(running, waiting, view.slots, view.slowdown)
            reported.record(target.start, stated, 0.0)
        choice = LoadChoice(
            ReportUse(reported, lambda service: self._cfg.routers, rng)
        )
        plain = PlainTargets(
            PlainSettings("z", 1.0, 0.002), load, self._pacer, choice
        )
        found = plain.choose(self._targets, 0.0)
        return self._targets.index(found) if found is not None else None


SCHEDULER_WAYS = (
    "lowest",
    "near",
    "two",
    "share",
    "lowest+slow",
    "near+slow",
    "two+slow",
    "product",
)
ROUTER_WAYS = (
    "lowest",
    "own+lowest",
    "two",
    "near",
    "share",
    "two+slow",
    "near+slow",
    "share+slow",
    "product",
)


def main() -> None:
    """Prints a line per way, number of routers and age."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=12.0)
    parser.add_argument("--rate", type=float, default=900.0)
    parser.add_argument("--ages", type=int, nargs="*", default=[50, 200, 800])
    parser.add_argument(
        "--routers", type=int, nargs="*", default=[1, 8, 75, 300]
    )
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--ways", nargs="*", default=[])
    parser.add_argument("--foreign", type=float, default=0.0)
    args = parser.parse_args()
    for routers, age_ms in itertools.product(args.routers, args.ages):
        ways = args.ways or (SCHEDULER_WAYS if routers == 1 else ROUTER_WAYS)
        for way in ways:
            cfg = StaleLoadSettings(
                routers=routers,
                age_s=age_ms / 1000,
                seconds=args.seconds,
                rate_per_s=args.rate,
                foreign_fraction=args.foreign,
                seed=args.seed,
            )
            choose = (
                ProductChooser(cfg) if way == "product" else make_chooser(way)
            )
            result = StaleLoadSimulation(cfg, choose).run()
            print(
                f"{routers:4} {age_ms:4} {way:14} {result.format_line()}",
                flush=True,
            )


if __name__ == "__main__":
    main()
