"""Expected cost and duration of requests, learned from finished ones."""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from chervilwall.message import Learned

WEIGHT = 0.1
MAX_TEAMS_CLASSES = 10_000


class Expectation(NamedTuple):
    """Learned means.

    Args:
        cost (float): Cost of a request.
        duration_s (float): Seconds for which it holds its slot.
        samples (int): Finished requests learned from.
    """

    cost: float = 0.0
    duration_s: float = 0.0
    samples: int = 0

    def updated(self, cost: float, duration_s: float) -> "Expectation":
        """Returns the means with one more finished request."""
        weight = max(WEIGHT, 1.0 / (self.samples + 1))
        return Expectation(
            self.cost + weight * (cost - self.cost),
            self.duration_s + weight * (duration_s - self.duration_s),
            self.samples + 1,
        )


class Estimator:
    """Learn cost and duration by team and class.

    Hints may be wrong by an order of magnitude either way. Until a class has
    finished a request, the geometric mean of its hints stands in for them;
    then what was learned replaces them, by team where the team is known.
    """

    def __init__(self) -> None:
        self._by_team: OrderedDict[tuple[str, str], Expectation] = OrderedDict()
        self._by_class: dict[str, Expectation] = {}
        self._hints: dict[str, tuple[float, int]] = {}
        self._overall = Expectation()

    def __repr__(self) -> str:
        return f"Estimator(entries={len(self._by_team)})"

    def note_hint(self, cls: str, hint: float) -> None:
        """Takes in a hint of a request that arrives."""
        mean, count = self._hints.get(cls, (0.0, 0))
        weight = max(WEIGHT, 1.0 / (count + 1))
        log = math.log(max(hint, 1e-9))
        self._hints[cls] = (mean + weight * (log - mean), count + 1)

    def cost(self, team: str, cls: str, hint: float) -> float:
        """Returns the expected cost of a request."""
        known = self._by_team.get((team, cls)) or self._by_class.get(cls)
        if known:
            return known.cost
        if cls in self._hints:
            return math.exp(self._hints[cls][0])
        return hint

    def cost_so_far(self, cls: str, elapsed_s: float) -> float:
        """Returns the cost that a running request has probably caused.

        Slots of an engine generate at about the same speed, so the learned
        cost per second tells it without a message.
        """
        known = self._by_class.get(cls)
        if known is None or known.duration_s <= 0:
            return 0.0
        return known.cost / known.duration_s * elapsed_s

    def duration_s(self) -> float:
        """Returns the mean seconds that an attempt holds its slot."""
        return self._overall.duration_s

    def learned(self) -> tuple[Learned, ...]:
        """Returns what was learned of each class."""
        return tuple(
            Learned(cls, known.cost, known.duration_s)
            for cls, known in self._by_class.items()
        )

    def take_over(self, learned: Iterable[Learned]) -> None:
        """Takes in what another scheduler learned, where nothing is known."""
        for cls, cost, duration_s in learned:
            if cls not in self._by_class:
                self._by_class[cls] = Expectation(cost, duration_s, 1)
                self._overall = self._overall.updated(cost, duration_s)

    def learn(
        self, team: str, cls: str, *, cost: float, duration_s: float
    ) -> None:
        """Takes in a finished request."""
        old = self._by_team.pop((team, cls), Expectation())
        self._by_team[team, cls] = old.updated(cost, duration_s)
        if len(self._by_team) > MAX_TEAMS_CLASSES:
            self._by_team.popitem(last=False)
        of_class = self._by_class.get(cls, Expectation())
        self._by_class[cls] = of_class.updated(cost, duration_s)
        self._overall = self._overall.updated(cost, duration_s)
