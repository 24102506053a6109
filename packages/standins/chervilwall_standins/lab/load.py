"""Loads of callers, drawn from the shapes of the users' sheets."""

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from chervilwall.prefix import PromptPart


class Spread(NamedTuple):
    """A log-normal size.

    Args:
        mean (float): Mean.
        sigma (float): Standard deviation of the logarithm.
        most (float): Largest value.
    """

    mean: float
    sigma: float
    most: float

    def draw(self, rng: random.Random) -> int:
        """Returns a size."""
        mu = math.log(self.mean) - self.sigma**2 / 2
        return max(1, round(min(self.most, rng.lognormvariate(mu, self.sigma))))


class CallClass(NamedTuple):
    """A kind of request.

    Args:
        name (str): Name.
        per_s (float): Requests in a second.
        objective_s (float): Latency objective.
        patience_s (float): Time that a caller waits for the first event.
        worth (float): Benefit of an answer in time.
        late_worth (float): Benefit of a late one.
        own (Spread): Tokens of its own.
        chain (tuple): Sizes and numbers of its shared parts, in order.
        events (Spread): Events of an answer.
    """

    name: str
    per_s: float
    objective_s: float
    patience_s: float
    worth: float
    late_worth: float
    own: Spread
    chain: tuple[tuple[Spread, int], ...]
    events: Spread


class Call(NamedTuple):
    """One request of a caller."""

    at: float
    cls: CallClass
    team: str
    parts: tuple[PromptPart, ...]
    output_tokens: int
    size: float


LONG = CallClass(
    "long",
    25.0,
    0.8,
    3.2,
    5.5,
    1.6,
    Spread(6610, 0.95, 54_600),
    ((Spread(512, 0.4, 1280), 3), (Spread(4870, 0.65, 14_600), 78)),
    Spread(76.4, 0.42, 208),
)
CHAT = CallClass(
    "chat",
    56.0,
    0.3,
    2.0,
    1.8,
    0.53,
    Spread(628, 0.8, 3310),
    ((Spread(119, 0.4, 298), 8), (Spread(79, 0.65, 238), 264)),
    Spread(58.3, 0.62, 191),
)
TAG = CallClass(
    "tag",
    39.7,
    0.4,
    2.0,
    0.55,
    0.17,
    Spread(1800, 0.95, 6870),
    ((Spread(341, 0.4, 851), 20), (Spread(227, 0.65, 681), 186)),
    Spread(4.5, 0.95, 18),
)


class LoadSettings(NamedTuple):
    """A load.

    Args:
        seconds (float): Length.
        scale (float): Times the usual rate.
        teams (int): Number of teams.
        skew (float): How uneven their sizes are.
        swing (float): Height of the slow wave.
        flood (float): Times the usual rate of the second largest team in the
            middle third.
        classes (tuple): Kinds of requests.
        seed (int): Seed.
    """

    seconds: float = 30.0
    scale: float = 1.0
    teams: int = 16
    skew: float = 1.8
    swing: float = 0.4
    flood: float = 1.0
    classes: tuple[CallClass, ...] = (LONG, CHAT, TAG)
    seed: int = 1


class _Parts:
    """Make the shared parts of a class, each with its fixed size."""

    def __init__(self, cls: CallClass, rng: random.Random) -> None:
        self._cls = cls
        self._levels = []
        for depth, (spread, count) in enumerate(cls.chain):
            level = [
                PromptPart(f"{cls.name}{depth}.{i}", spread.draw(rng))
                for i in range(count)
            ]
            self._levels.append(level)

    def draw(self, rng: random.Random, number: int) -> tuple[PromptPart, ...]:
        deepest = self._levels[-1]
        index = min(int(len(deepest) * rng.random() ** 1.2), len(deepest) - 1)
        parts = [level[index % len(level)] for level in self._levels]
        own = PromptPart(f"{self._cls.name}#{number}", self._cls.own.draw(rng))
        return (*parts, own)


def make_calls(cfg: LoadSettings) -> Iterator[Call]:
    """Yields the calls of a load in order of time."""
    rng = random.Random(cfg.seed)
    weights = [1.0 / (rank + 1) ** (cfg.skew / 2) for rank in range(cfg.teams)]
    parts = {cls.name: _Parts(cls, rng) for cls in cfg.classes}
    rate = sum(cls.per_s for cls in cfg.classes) * cfg.scale
    at, number = 0.0, 0
    while True:
        wave = 1.0 + cfg.swing * math.sin(2 * math.pi * at / 11.0)
        flooded = cfg.seconds / 3 < at < 2 * cfg.seconds / 3
        factor = cfg.flood if flooded else 1.0
        extra = weights[1] * (factor - 1) / sum(weights)
        at += rng.expovariate(rate * wave * (1 + extra))
        if at >= cfg.seconds:
            return
        now_weights = list(weights)
        now_weights[1] *= factor
        cls = rng.choices(cfg.classes, [c.per_s for c in cfg.classes])[0]
        team = f"team{rng.choices(range(cfg.teams), now_weights)[0]}"
        number += 1
        drawn = parts[cls.name].draw(rng, number)
        output = cls.events.draw(rng) * 5
        tokens = sum(p.tokens for p in drawn) + 10 * output
        yield Call(at, cls, team, drawn, output, float(tokens))
