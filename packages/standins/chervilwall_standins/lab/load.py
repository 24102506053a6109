"""Random loads of callers, with distributions from the users' sheets."""

import math
import random
from collections.abc import Iterator
from typing import NamedTuple

from chervilwall.prefix import PromptPart

TOKENS_PER_EVENT = 5
# Period of the sine wave on the rate of calls.
RATE_PERIOD_S = 11.0


class LogNormalSize(NamedTuple):
    """Log-normal distribution of a size.

    Args:
        mean (float): Mean of the distribution without the maximum.
        sigma (float): Standard deviation of the logarithm.
        max_value (float): Maximum; larger values are reduced to it.
    """

    mean: float
    sigma: float
    max_value: float

    def draw(self, rng: random.Random) -> int:
        """Returns a random size of at least 1."""
        mu = math.log(self.mean) - self.sigma**2 / 2
        return max(
            1, round(min(self.max_value, rng.lognormvariate(mu, self.sigma)))
        )


class CallClass(NamedTuple):
    """A class of requests.

    The benefits are relative: the simulation multiplies them by the relative
    size of the call.

    Args:
        name (str): Name of the class.
        rate_per_s (float): Mean arrival rate.
        objective_s (float): Latency objective for the first event.
        patience_s (float): Time after which the first event is worthless.
        worth (float): Benefit of a response within the objective.
        late_worth (float): Benefit of a later one within the patience.
        own_tokens (LogNormalSize): Tokens of the part of the prompt that is not
            shared with other requests.
        shared_parts (tuple): For each shared part of the prompt, in order, the
            size in tokens and the number of different parts.
        events (LogNormalSize): Number of events of a response.
    """

    name: str
    rate_per_s: float
    objective_s: float
    patience_s: float
    worth: float
    late_worth: float
    own_tokens: LogNormalSize
    shared_parts: tuple[tuple[LogNormalSize, int], ...]
    events: LogNormalSize


class Call(NamedTuple):
    """One request of a caller.

    Args:
        at (float): Time of sending, in seconds from the start.
        cls (CallClass): Class of the request.
        team (str): Team that sends it.
        parts (tuple): Parts of the prompt.
        output_tokens (int): Number of tokens to generate.
        size (float): Prompt tokens plus ten times the tokens to generate, by
            which the benefits of calls of a class are weighted. The fair shares
            count tokens with other weights.
    """

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
    LogNormalSize(6610, 0.95, 54_600),
    (
        (LogNormalSize(512, 0.4, 1280), 3),
        (LogNormalSize(4870, 0.65, 14_600), 78),
    ),
    LogNormalSize(76.4, 0.42, 208),
)
CHAT = CallClass(
    "chat",
    56.0,
    0.3,
    2.0,
    1.8,
    0.53,
    LogNormalSize(628, 0.8, 3310),
    ((LogNormalSize(119, 0.4, 298), 8), (LogNormalSize(79, 0.65, 238), 264)),
    LogNormalSize(58.3, 0.62, 191),
)
# Requests with short responses, of 4.5 events on average.
TAG = CallClass(
    "tag",
    39.7,
    0.4,
    2.0,
    0.55,
    0.17,
    LogNormalSize(1800, 0.95, 6870),
    ((LogNormalSize(341, 0.4, 851), 20), (LogNormalSize(227, 0.65, 681), 186)),
    LogNormalSize(4.5, 0.95, 18),
)


class LoadSettings(NamedTuple):
    """Parameters of a load.

    Args:
        seconds (float): Duration.
        rate_factor (float): Factor on the rates of all classes.
        teams (int): Number of teams.
        skew (float): Unevenness of the teams' rates; the team of rank n has a
            weight of n ** (-skew / 2).
        wave_amplitude (float): Relative amplitude of the sine wave on the rate.
        flood_factor (float): Factor on the rate of the second largest team
            during the middle third of the load.
        classes (tuple): Classes of requests.
        seed (int): Seed of the random numbers.
    """

    seconds: float = 30.0
    rate_factor: float = 1.0
    teams: int = 16
    skew: float = 1.8
    wave_amplitude: float = 0.4
    flood_factor: float = 1.0
    classes: tuple[CallClass, ...] = (LONG, CHAT, TAG)
    seed: int = 1


class _PromptGenerator:
    """Generate the prompts of a class from a fixed set of shared parts."""

    def __init__(self, cls: CallClass, rng: random.Random) -> None:
        self._cls = cls
        self._levels = []
        for level_index, (size, count) in enumerate(cls.shared_parts):
            level = [
                PromptPart(f"{cls.name}{level_index}.{i}", size.draw(rng))
                for i in range(count)
            ]
            self._levels.append(level)

    def draw(
        self, rng: random.Random, call_number: int
    ) -> tuple[PromptPart, ...]:
        deepest = self._levels[-1]
        index = min(int(len(deepest) * rng.random() ** 1.2), len(deepest) - 1)
        parts = [level[index % len(level)] for level in self._levels]
        own_part = PromptPart(
            f"{self._cls.name}#{call_number}", self._cls.own_tokens.draw(rng)
        )
        return (*parts, own_part)


def make_calls(cfg: LoadSettings) -> Iterator[Call]:
    """Yields the calls of a load in order of their times."""
    rng = random.Random(cfg.seed)
    weights = [1.0 / (rank + 1) ** (cfg.skew / 2) for rank in range(cfg.teams)]
    parts = {cls.name: _PromptGenerator(cls, rng) for cls in cfg.classes}
    rate = sum(cls.rate_per_s for cls in cfg.classes) * cfg.rate_factor
    at, call_number = 0.0, 0
    while True:
        wave_factor = 1.0 + cfg.wave_amplitude * math.sin(
            2 * math.pi * at / RATE_PERIOD_S
        )
        is_flood = cfg.seconds / 3 < at < 2 * cfg.seconds / 3
        team_factor = cfg.flood_factor if is_flood else 1.0
        extra_load = weights[1] * (team_factor - 1) / sum(weights)
        at += rng.expovariate(rate * wave_factor * (1 + extra_load))
        if at >= cfg.seconds:
            return
        current_weights = list(weights)
        current_weights[1] *= team_factor
        cls = rng.choices(cfg.classes, [c.rate_per_s for c in cfg.classes])[0]
        team = f"team{rng.choices(range(cfg.teams), current_weights)[0]}"
        call_number += 1
        prompt_parts = parts[cls.name].draw(rng, call_number)
        output = cls.events.draw(rng) * TOKENS_PER_EVENT
        tokens = sum(p.tokens for p in prompt_parts) + 10 * output
        yield Call(at, cls, team, prompt_parts, output, float(tokens))
