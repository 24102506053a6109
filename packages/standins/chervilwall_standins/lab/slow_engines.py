"""Simulation of a scheduler and engines whose speed changes often.

Uses a router's placement, load view and prefill model. Engines read one prompt
at a time and then hold a slot while they generate. Each response carries a load
report, which reaches the scheduler with a given age.
"""

import argparse
import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from chervilwall.load_choice import ReportUse
from chervilwall.load_view import LoadView
from chervilwall.placement import (
    Choice,
    Demand,
    Placement,
    PlacementSettings,
)
from chervilwall.prefill import PrefillModel, nominal_prefill_s
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.registry import RegisteredTarget
from chervilwall.reported_load import PassedLoad, ReportedLoad, StatedLoad

SERVICE = "engines"
RETRY_S = 0.005
LATENCY_S = 0.012
WARMUP_S = 3.0
# Interval of the samples of idle engines.
SAMPLE_S = 0.01


class SlowEngineSettings(NamedTuple):
    """Parameters of a simulation.

    Args:
        reports (str): What is used of the reports: "" for nothing, "learn" for
            the division of observed times only, "scale" for the scaling of
            predicted times only, "all".
        age_s (float): Age at which a report reaches the scheduler.
        seconds (float): Duration.
        rate_per_s (float): Mean rate of requests.
        engines (int): Number of engines.
        slots (int): Slots of each.
        speeds (tuple): Speeds of the engines, in turn.
        prompt_tokens (float): Median length of a prompt.
        decode_s (float): Mean time of generation at normal speed.
        objective_s (float): Time by which the first token is due.
        slow_share (float): Probability that an engine is slowed.
        slow_factor (float): Factor on times while it is.
        redraw_s (float): Time after which this is drawn anew.
        foreign_waiting (int): Requests of others that wait at every fifth
            engine for all of the time.
        seed (int): Seed of the random numbers.
    """

    reports: str = "all"
    age_s: float = 0.02
    seconds: float = 20.0
    rate_per_s: float = 900.0
    engines: int = 45
    slots: int = 12
    speeds: tuple[float, ...] = (0.55, 1.2, 1.2)
    prompt_tokens: float = 1300.0
    decode_s: float = 0.15
    objective_s: float = 0.3
    slow_share: float = 0.15
    slow_factor: float = 2.5
    redraw_s: float = 0.6
    foreign_waiting: int = 0
    seed: int = 1


class SlowEngineResult(NamedTuple):
    """Result of a simulation.

    Args:
        mean_s (float): Mean time to the first token.
        p95_s (float): 95th percentile of it.
        late (float): Fraction of requests later than the objective or refused.
        refused (int): Requests that found no engine in time.
        idle_engines (float): Mean number of engines without a prompt to read
            while as many prompts wait elsewhere.
        placed (int): Requests that ran.
        shares (tuple): Requests by engine.
    """

    mean_s: float
    p95_s: float
    late: float
    refused: int
    idle_engines: float
    placed: int
    shares: tuple[int, ...]

    def format_line(self) -> str:
        """Returns the result as one line."""
        return (
            f"first token mean {self.mean_s * 1000:4.0f} ms  p95 "
            f"{self.p95_s * 1000:4.0f} ms  late or refused {self.late:6.1%}  "
            f"refused {self.refused}/{self.placed + self.refused}  idle "
            f"engines {self.idle_engines:5.2f}"
        )


class _Run(NamedTuple):
    """A request on an engine.

    Args:
        arrived_at (float): Time of its arrival.
        granted_at (float): Time of its grant.
        choice (Choice): The grant.
        number (int): Its number in the load view.
        tokens (int): Length of its prompt.
        decode_s (float): Time of its generation at normal speed.
    """

    arrived_at: float
    granted_at: float
    choice: Choice
    number: int
    tokens: int
    decode_s: float


class _Engine:
    """Read prompts one at a time, at a speed that changes with time."""

    def __init__(
        self, cfg: SlowEngineSettings, index: int, foreign: int
    ) -> None:
        rng = random.Random(cfg.seed * 1000 + index)
        self.target = RegisteredTarget(
            f"e{index}", SERVICE, f"10.0.0.{index}:80", "zone", cfg.slots
        )
        self.queue: deque[_Run] = deque()
        self.reading = False
        self.running = 0
        self.foreign = foreign
        self.placed = 0
        self._speed = cfg.speeds[index % len(cfg.speeds)]
        self._redraw_s = cfg.redraw_s
        self._phase_s = rng.random() * cfg.redraw_s
        self._slowdowns = [
            cfg.slow_factor if rng.random() < cfg.slow_share else 1.0
            for _ in range(int(cfg.seconds / cfg.redraw_s) + 100)
        ]

    def slowdown(self, now: float) -> float:
        index = int((now + self._phase_s) / self._redraw_s)
        return self._slowdowns[min(index, len(self._slowdowns) - 1)]

    def end_of(self, work_s: float, now: float) -> float:
        """Returns the time at which work that starts now is done."""
        while True:
            left_s = self._redraw_s - (now + self._phase_s) % self._redraw_s
            left_s += 1e-9
            rate = self._speed / self.slowdown(now)
            if work_s <= left_s * rate:
                return now + work_s / rate
            work_s -= left_s * rate
            now += left_s

    def stated(self, now: float) -> StatedLoad:
        waiting = len(self.queue) + self.foreign
        return StatedLoad(
            self.running - len(self.queue),
            waiting,
            self.target.slots,
            self.slowdown(now),
        )


class SlowEngineSimulation:
    """Simulate a scheduler that places prompts on engines.

    Args:
        cfg (SlowEngineSettings): Parameters.
    """

    def __init__(self, cfg: SlowEngineSettings) -> None:
        self._cfg = cfg
        self._rng = random.Random(cfg.seed)
        self._load = LoadView()
        self.model = PrefillModel()
        self._reported = ReportedLoad(
            lambda target_id, now: self._load.total(target_id, now).running
        )
        uses_reports = cfg.reports in ("scale", "all")
        used = self._reported if uses_reports else ReportedLoad()
        self._placement = Placement(
            PlacementSettings(),
            "zone",
            self._load,
            PrefixMap(),
            self.model,
            lambda target: True,
            reports=ReportUse(used, lambda service: 1, random.Random(cfg.seed)),
        )
        self._engines = {
            f"e{index}": _Engine(
                cfg, index, cfg.foreign_waiting if index % 5 == 4 else 0
            )
            for index in range(cfg.engines)
        }
        self._targets = [e.target for e in self._engines.values()]
        self._events: list[tuple[float, int, Callable[[float], None]]] = []
        self._numbers = itertools.count()
        self._first_token_s: list[float] = []
        self._refused = 0
        self._waiting = 0
        self._idle: list[int] = []

    def __repr__(self) -> str:
        return f"SlowEngineSimulation({self._cfg!r})"

    def run(self) -> SlowEngineResult:
        """Runs the simulation and returns its result."""
        self._at(0.0, self._arrive)
        self._at(WARMUP_S, self._sample)
        while self._events:
            at, _, action = heapq.heappop(self._events)
            if at > self._cfg.seconds:
                break
            action(at)
        times = sorted(self._first_token_s)
        late = sum(t > self._cfg.objective_s for t in times) + self._refused
        return SlowEngineResult(
            sum(times) / len(times),
            times[int(0.95 * len(times))],
            late / (len(times) + self._refused),
            self._refused,
            sum(self._idle) / len(self._idle),
            len(times),
            tuple(e.placed for e in self._engines.values()),
        )

    def _at(self, at: float, action: Callable[[float], None]) -> None:
        heapq.heappush(self._events, (at, next(self._numbers), action))

    def _arrive(self, now: float) -> None:
        cfg, rng = self._cfg, self._rng
        self._at(now + rng.expovariate(cfg.rate_per_s), self._arrive)
        tokens = int(cfg.prompt_tokens * rng.lognormvariate(0.0, 0.7)) + 1
        decode_s = rng.expovariate(1 / cfg.decode_s)
        self._place(now, tokens, decode_s, now)

    def _place(
        self, arrived_at: float, tokens: int, decode_s: float, now: float
    ) -> None:
        own_part = PromptPart(f"p{next(self._numbers)}", tokens)
        demand = Demand(SERVICE, tokens, 50, (own_part,))
        slack_s = arrived_at + self._cfg.objective_s - now
        choice = self._placement.choose(
            demand, self._targets, now, slack_s=slack_s
        )
        if choice is not None:
            self._grant(choice, arrived_at, tokens, decode_s, now)
        elif slack_s < 0:
            self._refused += now > WARMUP_S
        else:
            self._waiting += 1

            def retry(at: float) -> None:
                self._waiting -= 1
                self._place(arrived_at, tokens, decode_s, at)

            self._at(now + RETRY_S, retry)

    def _grant(
        self,
        choice: Choice,
        arrived_at: float,
        tokens: int,
        decode_s: float,
        now: float,
    ) -> None:
        target_id = choice.target.id
        number = self._load.start(
            target_id, work_s=choice.prefill_s, kv_tokens=tokens, now=now
        )
        engine = self._engines[target_id]
        engine.running += 1
        engine.placed += 1
        run = _Run(arrived_at, now, choice, number, tokens, decode_s)
        engine.queue.append(run)
        if not engine.reading:
            self._read_next(engine, now)

    def _read_next(self, engine: _Engine, now: float) -> None:
        engine.reading = bool(engine.queue)
        if not engine.reading:
            return
        run = engine.queue.popleft()
        work_s = nominal_prefill_s(run.tokens, 0) * (1 + engine.foreign)
        done_at = engine.end_of(work_s, now)
        self._at(done_at, lambda at: self._first_token(engine, run, at))

    def _first_token(self, engine: _Engine, run: _Run, now: float) -> None:
        self._report(engine, now)
        target = engine.target
        self._load.record_prefill_done(target.id, run.number)
        ratio = None
        if self._cfg.reports in ("all", "learn"):
            predicted = run.choice.slowdown
            report = self._reported.of(target, now)
            now_slower = report.slowdown if report else 1.0
            ratio = (predicted + now_slower) / 2 / predicted
        self.model.observe(
            target.id,
            run.choice.first_token_s,
            now + LATENCY_S - run.granted_at,
            run.choice.factor,
            ratio,
        )
        if run.arrived_at > WARMUP_S:
            self._first_token_s.append(now + LATENCY_S - run.arrived_at)
        end_at = engine.end_of(run.decode_s, now)
        self._at(end_at, lambda at: self._end(engine, run, at))
        self._read_next(engine, now)

    def _end(self, engine: _Engine, run: _Run, now: float) -> None:
        engine.running -= 1
        self._load.end(engine.target.id, run.number, run.tokens)
        self._report(engine, now)

    def _report(self, engine: _Engine, now: float) -> None:
        """Lets the scheduler hear of an engine's load after the report's age.

        It is recorded with the time at which it was valid.
        """
        if not self._cfg.reports:
            return
        stated, start = engine.stated(now), engine.target.start

        passed = PassedLoad(
            stated.running,
            stated.waiting,
            stated.slots,
            round(stated.slowdown * 100),
            round(self._cfg.age_s * 1000),
        )

        def record(at: float) -> None:
            self._reported.record_passed(start, passed, at)

        self._at(now + self._cfg.age_s, record)

    def _sample(self, now: float) -> None:
        self._at(now + SAMPLE_S, self._sample)
        idle = sum(not e.reading for e in self._engines.values())
        waiting = self._waiting + sum(
            len(e.queue) for e in self._engines.values()
        )
        self._idle.append(min(idle, waiting))


def main() -> None:
    """Prints a line per use of the reports and age."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seconds", type=float, default=20.0)
    parser.add_argument("--rate", type=float, default=900.0)
    parser.add_argument("--foreign", type=int, default=0)
    parser.add_argument("--decode-s", type=float, default=0.15)
    parser.add_argument("--seeds", type=int, nargs="*", default=[1])
    parser.add_argument("--ages", type=int, nargs="*", default=[20])
    parser.add_argument("--uses", nargs="*", default=["", "learn", "all"])
    args = parser.parse_args()
    for use, age_ms, seed in itertools.product(
        args.uses, args.ages, args.seeds
    ):
        cfg = SlowEngineSettings(
            reports=use,
            age_s=age_ms / 1000,
            seconds=args.seconds,
            rate_per_s=args.rate,
            foreign_waiting=args.foreign,
            decode_s=args.decode_s,
            seed=seed,
        )
        result = SlowEngineSimulation(cfg).run()
        print(
            f"{use or 'as is':6} {age_ms:4} {seed} {result.format_line()}",
            flush=True,
        )


if __name__ == "__main__":
    main()
