"""Weighted fair queueing over teams by virtual service counters.

The counters follow the virtual-token-counter method published in "Fairness in
Serving Large Language Models" (OSDI 2024). docs/FAIRNESS.md derives the bound.
"""

import bisect
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple

from chervilwall.message import TeamService

DEFAULT_SHARE = 1.0


class Queued(NamedTuple):
    """A request that waits for a grant.

    Args:
        deadline (float): Monotonic time by which its answer must start.
        seq (int): Order of arrival, which breaks ties.
        router (str): The router that holds it.
        req_id (int): Id that this router gave it.
        team (str): Team that pays.
        cls (str): Request class.
        estimate (float): Expected cost.
        fingerprint (bytes): Digest of the request.
        prefix (int): Hash of the prompt's head, or 0.
        exclude (tuple): Targets it must not go to.
        queued_at (float): Monotonic time of arrival.
    """

    deadline: float
    seq: int
    router: str
    req_id: int
    team: str
    cls: str
    estimate: float
    fingerprint: bytes = b""
    prefix: int = 0
    exclude: tuple[str, ...] = ()
    queued_at: float = 0.0


class FairQueue:
    """Order waiting requests: least served team first, then deadline.

    Args:
        shares (Mapping[str, float]): Share of each team. Defaults to none.
    """

    def __init__(self, shares: Mapping[str, float] | None = None) -> None:
        self._shares = dict(shares or {})
        self._queues: dict[str, list[Queued]] = {}
        self._counters: dict[str, float] = {}
        self._running: dict[str, int] = {}
        self._floor = 0.0

    def __repr__(self) -> str:
        return f"FairQueue(waiting={len(self)}, teams={len(self._queues)})"

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Replaces the shares; counters of teams that are gone are dropped."""
        self._shares = dict(shares)
        for team in [t for t in self._counters if t not in shares]:
            if team not in self._queues and not self._running.get(team):
                del self._counters[team]

    def depth(self, team: str) -> int:
        """Returns how many requests of a team wait."""
        return len(self._queues.get(team, ()))

    def ahead_of(self, team: str, deadline: float) -> int:
        """Returns how many requests of a team go before a deadline."""
        queue = self._queues.get(team, [])
        return bisect.bisect_left(queue, deadline, key=lambda q: q.deadline)

    def backlogged(self) -> tuple[str, ...]:
        """Returns the teams with waiting requests."""
        return tuple(self._queues)

    def share(self, team: str) -> float:
        """Returns a team's share."""
        return self._shares.get(team, DEFAULT_SHARE)

    def active_share(self, team: str) -> float:
        """Returns a team's portion of the shares of all backlogged teams."""
        own = self.share(team)
        others = sum(self.share(t) for t in self._queues if t != team)
        return own / (own + others)

    def counter(self, team: str) -> float:
        """Returns a team's service per unit of share, as charged."""
        return self._counters.get(team, self._floor)

    def counters(self) -> tuple[TeamService, ...]:
        """Returns the counters of active teams, counted from the least."""
        active = self._queues.keys() | self._running.keys()
        least = min((self.counter(t) for t in active), default=0.0)
        return tuple(
            TeamService(team, self.counter(team) - least)
            for team in sorted(active)
        )

    def add_counters(self, counters: Iterable[TeamService]) -> None:
        """Adds the counters of the scheduler that went before."""
        for team, lead in counters:
            self._counters[team] = self.counter(team) + lead

    def push(self, item: Queued) -> None:
        """Adds a waiting request.

        A team that had nothing waiting starts no lower than the least served
        team that had, so that idleness earns no credit.
        """
        if item.team not in self._queues:
            self._lift(item.team)
            self._queues[item.team] = []
        bisect.insort(self._queues[item.team], item)

    def pop(
        self, place: Callable[[Queued], str | None]
    ) -> tuple[Queued, str] | None:
        """Removes and returns the next request that can be placed.

        Args:
            place (Callable): Returns the target for a request, or None where
                it cannot run now.
        """
        for team in sorted(self._queues, key=self.counter):
            for item in self._queues[team]:
                target = place(item)
                if target is not None:
                    self._take(item)
                    self._floor = max(self._floor, self.counter(team))
                    return item, target
        return None

    def remove(self, item: Queued) -> bool:
        """Removes a waiting request; returns whether it was there."""
        queue = self._queues.get(item.team, [])
        at = bisect.bisect_left(queue, item)
        if at >= len(queue) or queue[at] != item:
            return False
        self._take(item)
        return True

    def expired(self, now: float) -> Iterator[Queued]:
        """Yields waiting requests whose deadline has passed."""
        for queue in list(self._queues.values()):
            yield from queue[: bisect.bisect_right(queue, now, key=_deadline)]

    def start(self, team: str, charge: float) -> None:
        """Charges a team for a request that starts."""
        self._running[team] = self._running.get(team, 0) + 1
        self.charge(team, charge)

    def finish(self, team: str, correction: float) -> None:
        """Settles a request: adds actual cost less what was charged."""
        left = self._running.get(team, 0) - 1
        if left > 0:
            self._running[team] = left
        else:
            self._running.pop(team, None)
        self.charge(team, correction)

    def charge(self, team: str, cost: float) -> None:
        """Adds cost to a team's counter."""
        self._counters[team] = self.counter(team) + cost / self.share(team)

    def _lift(self, team: str) -> None:
        waiting = (self.counter(t) for t in self._queues)
        least = min(waiting, default=self._floor)
        self._counters[team] = max(self.counter(team), least)

    def _take(self, item: Queued) -> None:
        queue = self._queues[item.team]
        del queue[bisect.bisect_left(queue, item)]
        if not queue:
            del self._queues[item.team]


def _deadline(item: Queued) -> float:
    return item.deadline
