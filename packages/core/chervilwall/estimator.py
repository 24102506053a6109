"""Estimates of request cost and duration.

They are moving averages over completed requests.
"""

import math
from collections import OrderedDict
from collections.abc import Iterable
from typing import NamedTuple

from chervilwall.cell_messages import ClassEstimate

# Weight of a new request once an average includes 10 or more.
MIN_UPDATE_WEIGHT = 0.1
MAX_TEAM_CLASS_PAIRS = 10_000


class Expectation(NamedTuple):
    """Moving averages of cost and duration.

    Args:
        cost (float): Average cost of a request.
        duration_s (float): Average seconds for which a request occupies a
            slot.
        samples (int): Number of completed requests averaged.
    """

    cost: float = 0.0
    duration_s: float = 0.0
    samples: int = 0

    def updated(self, cost: float, duration_s: float) -> "Expectation":
        """Returns the averages with one more request included.

        The first requests all weigh the same; later each new request has the
        weight `MIN_UPDATE_WEIGHT`.
        """
        weight = max(MIN_UPDATE_WEIGHT, 1.0 / (self.samples + 1))
        return Expectation(
            self.cost + weight * (cost - self.cost),
            self.duration_s + weight * (duration_s - self.duration_s),
            self.samples + 1,
        )


class Estimator:
    """Learn cost and duration per team and request class.

    Cost hints sent with requests may be too high or too low by an order of
    magnitude. The expected cost is therefore the average of the team's
    completed requests in the class, else the average of the class over all
    teams. Until a request of the class has completed, it is the geometric mean
    of the hints received for the class.
    """

    def __init__(self) -> None:
        self._by_team_and_class: OrderedDict[tuple[str, str], Expectation] = (
            OrderedDict()
        )
        self._by_class: dict[str, Expectation] = {}
        self._log_hints: dict[str, tuple[float, int]] = {}
        self._overall = Expectation()

    def __repr__(self) -> str:
        return f"Estimator(entries={len(self._by_team_and_class)})"

    def record_hint(self, cls: str, hint: float) -> None:
        """Records the cost hint of an arriving request."""
        log_mean, count = self._log_hints.get(cls, (0.0, 0))
        weight = max(MIN_UPDATE_WEIGHT, 1.0 / (count + 1))
        # The logarithm needs a positive value.
        log_hint = math.log(max(hint, 1e-9))
        self._log_hints[cls] = (
            log_mean + weight * (log_hint - log_mean),
            count + 1,
        )

    def cost(self, team: str, cls: str, hint: float) -> float:
        """Returns the expected cost of a request.

        Args:
            team (str): Team that is charged.
            cls (str): Request class.
            hint (float): Estimate that was sent with the request, returned if
                nothing is known about its class.
        """
        known = self._by_team_and_class.get((team, cls)) or self._by_class.get(
            cls
        )
        if known:
            return known.cost
        if cls in self._log_hints:
            return math.exp(self._log_hints[cls][0])
        return hint

    def cost_so_far(self, cls: str, elapsed_s: float) -> float:
        """Returns the estimated cost that a running request has caused so far.

        Assumes that a target generates at about the same speed in all its
        slots, so that the learned cost per second gives an estimate without
        progress messages. Returns 0 for a class without completed requests.
        """
        known = self._by_class.get(cls)
        if known is None or known.duration_s <= 0:
            return 0.0
        return known.cost / known.duration_s * elapsed_s

    def duration_s(self) -> float:
        """Returns the average seconds that an attempt occupies its slot."""
        return self._overall.duration_s

    def estimates(self) -> tuple[ClassEstimate, ...]:
        """Returns the learned averages of each class."""
        return tuple(
            ClassEstimate(cls, known.cost, known.duration_s)
            for cls, known in self._by_class.items()
        )

    def apply_estimates(self, estimates: Iterable[ClassEstimate]) -> None:
        """Adopts another scheduler's averages of classes that have none here.

        Each counts as a single sample, so the requests that complete here soon
        outweigh it.
        """
        for cls, cost, duration_s in estimates:
            if cls not in self._by_class:
                self._by_class[cls] = Expectation(cost, duration_s, 1)
                self._overall = self._overall.updated(cost, duration_s)

    def learn(
        self, team: str, cls: str, *, cost: float, duration_s: float
    ) -> None:
        """Updates the averages with a completed request."""
        previous = self._by_team_and_class.pop((team, cls), Expectation())
        self._by_team_and_class[team, cls] = previous.updated(cost, duration_s)
        if len(self._by_team_and_class) > MAX_TEAM_CLASS_PAIRS:
            self._by_team_and_class.popitem(last=False)
        class_mean = self._by_class.get(cls, Expectation())
        self._by_class[cls] = class_mean.updated(cost, duration_s)
        self._overall = self._overall.updated(cost, duration_s)
