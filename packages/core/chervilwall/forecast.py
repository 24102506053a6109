"""Estimates of queueing times and of the Retry-After of refusals in a cell.

A cell is a set of targets of one service with one scheduler.
"""

from typing import NamedTuple

from chervilwall.estimator import Estimator
from chervilwall.fair_queue import FairQueue
from chervilwall.slots import SlotTable

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class TeamView(NamedTuple):
    """State of a team in the fair queue of a cell.

    Args:
        cell (str): Name of the cell.
        team (str): Name of the team.
        waiting (int): Number of its waiting requests.
        share (float): Its configured share.
        counter (float): Cost charged to it per unit of share.
        least_counter (float): Lowest counter of all backlogged teams.
        backlogged_teams (int): Number of teams with waiting requests.
        free_slots (bool): Whether any target has free slots.
        expected_wait_s (float): Seconds until a new request would start that
            goes first in its team.
    """

    cell: str
    team: str
    waiting: int
    share: float
    counter: float
    least_counter: float
    backlogged_teams: int
    free_slots: bool
    expected_wait_s: float


class WaitForecast:
    """Estimate waits in a cell from its queue, slots and request durations.

    Args:
        queue (FairQueue): Queue of the cell.
        slots (SlotTable): Slots of its targets.
        estimator (Estimator): Learned request durations.
    """

    def __init__(
        self, queue: FairQueue, slots: SlotTable, estimator: Estimator
    ) -> None:
        self._queue = queue
        self._slots = slots
        self._estimator = estimator

    def __repr__(self) -> str:
        return f"WaitForecast({self._queue!r})"

    def explain(self, cell: str, team: str, now: float) -> TeamView:
        """Returns the state that explains why a team's requests wait."""
        return TeamView(
            cell=cell,
            team=team,
            waiting=self._queue.depth(team),
            share=self._queue.share(team),
            counter=self._queue.counter(team),
            least_counter=min(
                (self._queue.counter(t) for t in self._queue.backlogged()),
                default=self._queue.counter(team),
            ),
            backlogged_teams=len(self._queue.backlogged()),
            free_slots=self._slots.has_free_slots(now),
            expected_wait_s=self.wait_s(team, now, now),
        )

    def wait_s(self, team: str, deadline: float, now: float) -> float:
        """Returns the seconds until a new request of a team would start.

        Requests of the team with an earlier deadline go first. With a deadline
        of `now`, the request goes ahead of those whose deadline has not passed.

        Args:
            team (str): Name of the team.
            deadline (float): Monotonic deadline of the request, by which it is
                ordered among those of its team.
            now (float): Monotonic time.
        """
        if self._slots.has_free_slots(now) and not self._queue.backlogged():
            return 0.0
        slots = max(1, self._slots.capacity(now))
        team_slots = slots * self._queue.active_share(team)
        ahead = self._queue.ahead_of(team, deadline) + 1
        return ahead * self._estimator.duration_s() / team_slots

    def retry_after_s(self, team: str, now: float) -> float:
        """Returns the Retry-After of a refused request, in seconds."""
        wait_s = self.wait_s(team, now, now) + self._half_drain_s(team, now)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _half_drain_s(self, team: str, now: float) -> float:
        """Returns the mean wait of a team's waiting requests, in seconds.

        It is half the time in which all of them start.
        """
        team_slots = max(
            1, self._slots.capacity(now)
        ) * self._queue.active_share(team)
        return (
            self._queue.depth(team)
            * self._estimator.duration_s()
            / team_slots
            / 2
        )
