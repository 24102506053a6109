"""Makes the traces in the repository from their stated shapes."""

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

TEAMS = 16
ROUTERS = 8
UNTIL_S = 240.0
HINT_ERROR = 10.0
# Demand of teams over their portion of the capacity, in turn.
APPETITES = (1.2, 3.0, 1.2, 2.0)
SEED = 20261204


class Shape(NamedTuple):
    """The shape of a trace.

    Args:
        name (str): Name of the file.
        measure (str): What fairness counts.
        services (tuple): Services.
        classes (tuple): Request classes.
        tokens (dict): Mean tokens of each class.
        mix (dict): Portion of requests of each class.
        overload (float): Factor on the demand of all teams.
        least_share (float): Share of the two smallest teams.
        flood (float): Factor on the demand of one small team.
        faults (tuple): Targets lost.
    """

    name: str
    measure: str
    services: tuple[TraceService, ...]
    classes: tuple[TraceClass, ...]
    tokens: dict[str, int]
    mix: dict[str, float]
    overload: float = 1.0
    least_share: float = 1.0
    flood: float = 1.0
    faults: tuple[TraceFault, ...] = ()


ASTILLAS = Shape(
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
AGENCY = Shape(
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
SHAPES = (
    ASTILLAS,
    AGENCY,
    ASTILLAS._replace(name="flood", flood=50.0, overload=0.5, least_share=0.2),
    ASTILLAS._replace(
        name="target-loss",
        least_share=0.2,
        faults=(TraceFault(50.0, "contract-model/2", 95.0),),
    ),
)


def share(shape: Shape, index: int) -> float:
    """Returns a team's share; a few teams are large."""
    small = 1.0 if index < TEAMS - 2 else shape.least_share
    return {0: 10.0, 1: 5.0, 2: 5.0}.get(index, small)


def make_requests(shape: Shape, rng: random.Random) -> Iterator[TraceRequest]:
    """Yields the requests of a trace in the order of their arrival."""
    rates = _rates(shape)
    for team, (rate, spread) in enumerate(_teams(rates, rng)):
        at = rng.expovariate(rate)
        while at < UNTIL_S:
            if not _is_idle(team, at):
                yield _request(shape, rng, team, spread, at)
            at += rng.expovariate(rate)


def _rates(shape: Shape) -> list[float]:
    engine = shape.services[0]
    seconds = sum(
        shape.mix[c.name] * shape.tokens[c.name] * engine.token_s
        for c in shape.classes
        if c.service == engine.name
    )
    total = shape.overload * engine.targets * engine.slots / seconds
    weights = [share(shape, i) for i in range(TEAMS)]
    rates = [
        total * weight / sum(weights) * APPETITES[i % len(APPETITES)]
        for i, weight in enumerate(weights)
    ]
    rates[13] *= shape.flood
    return rates


def _teams(
    rates: list[float], rng: random.Random
) -> Iterator[tuple[float, list[float]]]:
    for rate in rates:
        spread = [1.0 / (rank + 1) ** 2 for rank in range(ROUTERS)]
        rng.shuffle(spread)
        yield rate, spread


def _is_idle(team: int, at: float) -> bool:
    """Tells whether a team pauses; some come back from idle."""
    return team % 4 == 3 and 30.0 < at < 60.0


def _request(
    shape: Shape,
    rng: random.Random,
    team: int,
    spread: list[float],
    at: float,
) -> TraceRequest:
    names = list(shape.mix)
    name = rng.choices(names, [shape.mix[n] for n in names])[0]
    cls = next(c for c in shape.classes if c.name == name)
    mean = shape.tokens[name]
    tokens = max(2, min(4 * mean, round(rng.lognormvariate(0, 0.6) * mean)))
    error = HINT_ERROR ** rng.uniform(-1, 1)
    return TraceRequest(
        at=round(at, 3),
        router=rng.choices(range(ROUTERS), spread)[0],
        team=f"team{team:02}",
        cls=name,
        service=cls.service,
        tokens=tokens,
        hint=round((PROMPT_TOKENS + 2 * tokens) * error, 1),
    )


def main() -> int:
    """Writes all traces into a folder."""
    folder = pathlib.Path(sys.argv[1])
    for shape in SHAPES:
        heading = TraceHeading(
            format=FORMAT,
            name=shape.name,
            measure=shape.measure,
            routers=ROUTERS,
            until=UNTIL_S,
            teams=tuple((f"team{i:02}", share(shape, i)) for i in range(TEAMS)),
            services=shape.services,
            classes=shape.classes,
            faults=shape.faults,
        )
        found = make_requests(shape, random.Random(SEED))
        write_trace(folder / f"{shape.name}.jsonl", heading, sorted(found))
    return 0


if __name__ == "__main__":
    sys.exit(main())
