"""Expected cost and duration of requests, learned from finished ones."""

from typing import NamedTuple

WEIGHT = 0.1
MAX_ENTRIES = 10_000


class Expectation(NamedTuple):
    """Learned means of one team's class."""

    cost: float
    duration_s: float
    samples: int


class Estimator:
    """Learn cost and duration by team and class.

    Hints may be wrong by an order of magnitude, so a learned mean replaces
    them with the first finished request.
    """

    def __init__(self) -> None:
        self._known: dict[tuple[str, str], Expectation] = {}
        self._duration_s = 0.0

    def __repr__(self) -> str:
        return f"Estimator(entries={len(self._known)})"

    def cost(self, team: str, cls: str, hint: float) -> float:
        """Returns the expected cost of a request."""
        known = self._known.get((team, cls))
        return known.cost if known else hint

    def duration_s(self) -> float:
        """Returns the mean seconds that an attempt holds its slot."""
        return self._duration_s

    def learn(
        self, team: str, cls: str, *, cost: float, duration_s: float
    ) -> None:
        """Takes in a finished request."""
        old = self._known.get((team, cls))
        if old is None:
            new = Expectation(cost, duration_s, 1)
        else:
            weight = max(WEIGHT, 1.0 / (old.samples + 1))
            new = Expectation(
                old.cost + weight * (cost - old.cost),
                old.duration_s + weight * (duration_s - old.duration_s),
                old.samples + 1,
            )
        if len(self._known) >= MAX_ENTRIES:
            self._known.clear()
        self._known[team, cls] = new
        first = self._duration_s == 0.0
        step = 1.0 if first else WEIGHT
        self._duration_s += step * (duration_s - self._duration_s)
