"""Generates the stored traces from specifications of their load."""

import pathlib
import random
import sys
from collections.abc import Iterator
from typing import NamedTuple

from chervilwall_standins.trace import (
    FORMAT,
    PROMPT_TOKENS,
    TraceClass,
    TraceFault,
    TraceHeading,
    TraceRequest,
    TraceService,
    write_trace,
)

TEAM_COUNT = 16
ROUTER_COUNT = 8
# Index of the team whose demand `flood_factor` multiplies.
FLOODING_TEAM = 13
DURATION_S = 240.0
# Maximum factor by which the hint of a request is too large or too small.
MAX_HINT_ERROR = 10.0
# Ratio of a team's demand to its fair share of the capacity, before the factors
# of the trace; team i has entry i modulo the length.
DEMAND_RATIOS = (1.2, 3.0, 1.2, 2.0)
SEED = 20261204


class TraceSpec(NamedTuple):
    """Deployment and load of a generated trace.

    Args:
        name (str): Name of the trace, and of its file without the suffix.
        measure (str): Unit in which fair sharing counts usage, "work" or
            "worth".
        services (tuple): Services; the first one determines the arrival rates.
        classes (tuple): Request classes.
        tokens (dict): Median number of generated tokens by class.
        mix (dict): Fraction of the requests by class.
        demand_factor (float): Factor on the demand of all teams. Defaults to
            1.0.
        min_share (float): Share of the two smallest teams. Defaults to 1.0.
        flood_factor (float): Further factor on the demand of FLOODING_TEAM.
            Defaults to 1.0.
        faults (tuple): Failures of targets. Defaults to none.
    """

    name: str
    measure: str
    services: tuple[TraceService, ...]
    classes: tuple[TraceClass, ...]
    tokens: dict[str, int]
    mix: dict[str, float]
    demand_factor: float = 1.0
    min_share: float = 1.0
    flood_factor: float = 1.0
    faults: tuple[TraceFault, ...] = ()


ASTILLAS = TraceSpec(
    name="astillas",
    measure="work",
    services=(
        TraceService("contract-model", 6, 8, 0.02),
        TraceService("booking", 3, 4, 0.02),
    ),
    classes=(
        TraceClass("amendment", "contract-model", 3.0, True, 90.0),
        TraceClass("query", "contract-model", 1.0, True, 5.0),
        TraceClass("booking", "booking", 5.0, False, 60.0),
    ),
    tokens={"amendment": 180, "query": 50, "booking": 30},
    mix={"amendment": 0.5, "query": 0.2, "booking": 0.3},
)
AGENCY = TraceSpec(
    name="agency",
    measure="worth",
    services=(
        TraceService("advice-model", 6, 8, 0.02),
        TraceService("case", 4, 4, 0.02),
    ),
    classes=(
        TraceClass("review", "advice-model", 8.0, True, 90.0),
        TraceClass("chat", "advice-model", 3.0, True, 5.0),
        TraceClass("tariff", "advice-model", 1.0, True, 60.0),
        TraceClass("filing", "case", 5.0, False, 60.0),
        TraceClass("status", "case", 0.5, True, 20.0),
    ),
    tokens={
        "review": 220,
        "chat": 60,
        "tariff": 15,
        "filing": 40,
        "status": 5,
    },
    mix={
        "review": 0.25,
        "chat": 0.15,
        "tariff": 0.25,
        "filing": 0.2,
        "status": 0.15,
    },
)
TRACE_SPECS = (
    ASTILLAS,
    AGENCY,
    ASTILLAS._replace(
        name="flood", flood_factor=50.0, demand_factor=0.5, min_share=0.2
    ),
    ASTILLAS._replace(
        name="target-loss",
        min_share=0.2,
        faults=(TraceFault(50.0, "contract-model/2", 95.0),),
    ),
)


def team_share(spec: TraceSpec, index: int) -> float:
    """Returns the share of a team.

    The first three teams have large shares, the last two `spec.min_share`.
    """
    small = 1.0 if index < TEAM_COUNT - 2 else spec.min_share
    return {0: 10.0, 1: 5.0, 2: 5.0}.get(index, small)


def make_requests(
    spec: TraceSpec, rng: random.Random
) -> Iterator[TraceRequest]:
    """Yields the requests of a trace, team by team, not sorted by time."""
    rates = _arrival_rates(spec)
    for team, (rate, router_weights) in enumerate(
        _draw_router_weights(rates, rng)
    ):
        at = rng.expovariate(rate)
        while at < DURATION_S:
            if not _is_paused(team, at):
                yield _draw_request(spec, rng, team, router_weights, at)
            at += rng.expovariate(rate)


def _arrival_rates(spec: TraceSpec) -> list[float]:
    """Returns the requests per second of each team."""
    main_service = spec.services[0]
    mean_slot_s = sum(
        spec.mix[c.name] * spec.tokens[c.name] * main_service.token_s
        for c in spec.classes
        if c.service == main_service.name
    )
    total_rate = (
        spec.demand_factor
        * main_service.targets
        * main_service.slots
        / mean_slot_s
    )
    weights = [team_share(spec, i) for i in range(TEAM_COUNT)]
    rates = [
        total_rate
        * weight
        / sum(weights)
        * DEMAND_RATIOS[i % len(DEMAND_RATIOS)]
        for i, weight in enumerate(weights)
    ]
    rates[FLOODING_TEAM] *= spec.flood_factor
    return rates


def _draw_router_weights(
    rates: list[float], rng: random.Random
) -> Iterator[tuple[float, list[float]]]:
    """Yields each rate with the weights by which a team chooses routers."""
    for rate in rates:
        router_weights = [1.0 / (rank + 1) ** 2 for rank in range(ROUTER_COUNT)]
        rng.shuffle(router_weights)
        yield rate, router_weights


def _is_paused(team: int, at: float) -> bool:
    """Returns whether a team sends nothing at a time.

    Every fourth team pauses from 30 s to 60 s, so that traces have teams that
    return from idle.
    """
    return team % 4 == 3 and 30.0 < at < 60.0


def _draw_request(
    spec: TraceSpec,
    rng: random.Random,
    team: int,
    router_weights: list[float],
    at: float,
) -> TraceRequest:
    names = list(spec.mix)
    name = rng.choices(names, [spec.mix[n] for n in names])[0]
    cls = next(c for c in spec.classes if c.name == name)
    median_tokens = spec.tokens[name]
    tokens = max(
        2,
        min(
            4 * median_tokens, round(rng.lognormvariate(0, 0.6) * median_tokens)
        ),
    )
    hint_error = MAX_HINT_ERROR ** rng.uniform(-1, 1)
    return TraceRequest(
        at=round(at, 3),
        router=rng.choices(range(ROUTER_COUNT), router_weights)[0],
        team=f"team{team:02}",
        cls=name,
        service=cls.service,
        tokens=tokens,
        hint=round((PROMPT_TOKENS + 2 * tokens) * hint_error, 1),
    )


def main() -> int:
    """Writes all traces to the directory given on the command line."""
    folder = pathlib.Path(sys.argv[1])
    for spec in TRACE_SPECS:
        heading = TraceHeading(
            format=FORMAT,
            name=spec.name,
            measure=spec.measure,
            routers=ROUTER_COUNT,
            until=DURATION_S,
            teams=tuple(
                (f"team{i:02}", team_share(spec, i)) for i in range(TEAM_COUNT)
            ),
            services=spec.services,
            classes=spec.classes,
            faults=spec.faults,
        )
        requests = make_requests(spec, random.Random(SEED))
        write_trace(folder / f"{spec.name}.jsonl", heading, sorted(requests))
    return 0


if __name__ == "__main__":
    sys.exit(main())
