"""Weighted fair queueing over teams, based on virtual service counters.

The counters follow the virtual-token-counter method published in "Fairness in
Serving Large Language Models" (OSDI 2024). docs/FAIRNESS.md derives the bound
on the difference in service between two backlogged teams.
"""

import bisect
from collections.abc import Callable, Iterable, Iterator, Mapping
from typing import NamedTuple

from chervilwall.cell_messages import TeamService

DEFAULT_SHARE = 1.0


class QueuedRequest(NamedTuple):
    """A queued request.

    Requests of a team are ordered by deadline and then by arrival, which is
    why these two fields come first.

    Args:
        deadline (float): Monotonic time in seconds by which the answer must
            start.
        seq (int): Sequence number of arrival, which breaks ties.
        router (str): Router that holds the request.
        req_id (int): Request id, unique within the router.
        team (str): Team that is charged.
        cls (str): Request class.
        estimate (float): Expected cost.
        fingerprint (bytes): Digest of the request.
        prefix (int): Hash of the start of the prompt, 0 for no prompt.
        exclude (tuple): Targets that must not receive the request.
        queued_at (float): Monotonic time of arrival, in seconds.
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
    """Serve the team with the lowest service counter first.

    A counter is the cost charged to a team, divided by its share. Within a
    team, the request with the earliest deadline goes first.

    Args:
        shares (Mapping[str, float]): Share of each team. Teams not listed
            have `DEFAULT_SHARE`.
    """

    def __init__(self, shares: Mapping[str, float] | None = None) -> None:
        self._shares = dict(shares or {})
        self._queues: dict[str, list[QueuedRequest]] = {}
        self._counters: dict[str, float] = {}
        self._running_by_team: dict[str, int] = {}
        # Highest counter of a team at the removal of a request to be run. A
        # team without a counter starts with this value.
        self._virtual_time = 0.0

    def __repr__(self) -> str:
        return f"FairQueue(waiting={len(self)}, teams={len(self._queues)})"

    def __len__(self) -> int:
        return sum(len(queue) for queue in self._queues.values())

    def set_shares(self, shares: Mapping[str, float]) -> None:
        """Replaces the shares and drops counters of idle, unlisted teams."""
        self._shares = dict(shares)
        for team in [t for t in self._counters if t not in shares]:
            if team not in self._queues and not self._running_by_team.get(team):
                del self._counters[team]

    def depth(self, team: str) -> int:
        """Returns the number of a team's queued requests."""
        return len(self._queues.get(team, ()))

    def ahead_of(self, team: str, deadline: float) -> int:
        """Returns the number of a team's requests with an earlier deadline."""
        queue = self._queues.get(team, [])
        return bisect.bisect_left(queue, deadline, key=lambda q: q.deadline)

    def backlogged(self) -> tuple[str, ...]:
        """Returns the teams with queued requests."""
        return tuple(self._queues)

    def share(self, team: str) -> float:
        """Returns a team's share."""
        return self._shares.get(team, DEFAULT_SHARE)

    def active_share(self, team: str) -> float:
        """Returns a team's share as a fraction of all backlogged teams' shares.

        The team itself is counted whether or not it is backlogged.
        """
        own = self.share(team)
        others = sum(self.share(t) for t in self._queues if t != team)
        return own / (own + others)

    def counter(self, team: str) -> float:
        """Returns a team's service counter: cost charged per unit of share."""
        return self._counters.get(team, self._virtual_time)

    def counters(self) -> tuple[TeamService, ...]:
        """Returns the counters of active teams, relative to the lowest one.

        A team is active if it has queued or running requests.
        """
        active = self._queues.keys() | self._running_by_team.keys()
        min_counter = min((self.counter(t) for t in active), default=0.0)
        return tuple(
            TeamService(team, self.counter(team) - min_counter)
            for team in sorted(active)
        )

    def add_counters(self, counters: Iterable[TeamService]) -> None:
        """Adds the relative counters of the cell's previous scheduler."""
        for team, relative_counter in counters:
            self._counters[team] = self.counter(team) + relative_counter

    def push(self, item: QueuedRequest) -> None:
        """Queues a request.

        The counter of a team that becomes backlogged is raised to the lowest
        counter of the backlogged teams, so that a team builds up no credit
        while idle.
        """
        if item.team not in self._queues:
            self._raise_counter(item.team)
            self._queues[item.team] = []
        bisect.insort(self._queues[item.team], item)

    def pop(
        self, place: Callable[[QueuedRequest], str | None]
    ) -> tuple[QueuedRequest, str] | None:
        """Removes and returns the next request that can be placed.

        Requests that cannot be placed are skipped and stay queued.

        Args:
            place (Callable): Returns the destination of a request, a target or
                another cell, or None if it cannot be placed now.

        Returns:
            The request and its destination, or None if no request can be
            placed.
        """
        for team in sorted(self._queues, key=self.counter):
            for item in self._queues[team]:
                destination = place(item)
                if destination is not None:
                    self._remove_queued(item)
                    self._virtual_time = max(
                        self._virtual_time, self.counter(team)
                    )
                    return item, destination
        return None

    def remove(self, item: QueuedRequest) -> bool:
        """Removes a request; returns whether it was queued."""
        queue = self._queues.get(item.team, [])
        index = bisect.bisect_left(queue, item)
        if index >= len(queue) or queue[index] != item:
            return False
        self._remove_queued(item)
        return True

    def expired(self, now: float) -> Iterator[QueuedRequest]:
        """Yields the queued requests whose deadline has passed."""
        for queue in list(self._queues.values()):
            yield from queue[
                : bisect.bisect_right(queue, now, key=_get_deadline)
            ]

    def start(self, team: str, charge: float) -> None:
        """Records the start of a request and charges its expected cost."""
        self._running_by_team[team] = self._running_by_team.get(team, 0) + 1
        self.charge(team, charge)

    def finish(self, team: str, correction: float) -> None:
        """Records the end of a request and corrects the charge.

        Args:
            team (str): Team that is charged.
            correction (float): Actual cost minus the cost charged so far.
        """
        remaining = self._running_by_team.get(team, 0) - 1
        if remaining > 0:
            self._running_by_team[team] = remaining
        else:
            self._running_by_team.pop(team, None)
        self.charge(team, correction)

    def charge(self, team: str, cost: float) -> None:
        """Adds a cost, divided by the team's share, to its counter."""
        self._counters[team] = self.counter(team) + cost / self.share(team)

    def _raise_counter(self, team: str) -> None:
        backlogged_counters = (self.counter(t) for t in self._queues)
        min_counter = min(backlogged_counters, default=self._virtual_time)
        self._counters[team] = max(self.counter(team), min_counter)

    def _remove_queued(self, item: QueuedRequest) -> None:
        queue = self._queues[item.team]
        del queue[bisect.bisect_left(queue, item)]
        if not queue:
            del self._queues[item.team]


def _get_deadline(item: QueuedRequest) -> float:
    return item.deadline
