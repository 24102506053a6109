"""When a request would start, and when a refused caller should come back."""

from typing import NamedTuple

from chervilwall.estimator import Estimator
from chervilwall.fair_queue import FairQueue
from chervilwall.slots import SlotTable

MIN_RETRY_AFTER_S = 1.0
MAX_RETRY_AFTER_S = 60.0


class TeamView(NamedTuple):
    """A team's place in the queue of a cell.

    Args:
        cell (str): The cell.
        team (str): The team.
        waiting (int): Its waiting requests.
        share (float): Its share.
        counter (float): Its service per unit of share.
        least_counter (float): The least counter of any backlogged team.
        backlogged_teams (int): Teams with waiting requests.
        free_slots (bool): Whether any target has room.
        expected_wait_s (float): Seconds until a new request would start.
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
    """Foretell waits in a cell from its queue, slots and learned durations.

    Args:
        queue (FairQueue): The cell's queue.
        slots (SlotTable): Its slots.
        estimator (Estimator): What was learned of durations.
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
        """Returns why a team's requests wait here."""
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
            free_slots=self._slots.has_room(now),
            expected_wait_s=self.wait_s(team, now, now),
        )

    def wait_s(self, team: str, deadline: float, now: float) -> float:
        """Returns the seconds until a new request of a team would start."""
        if self._slots.has_room(now) and not self._queue.backlogged():
            return 0.0
        slots = max(1, self._slots.capacity(now))
        rate = slots * self._queue.active_share(team)
        ahead = self._queue.ahead_of(team, deadline) + 1
        return ahead * self._estimator.duration_s() / rate

    def retry_after_s(self, team: str, now: float) -> float:
        """Returns the seconds after which to come back."""
        wait_s = self.wait_s(team, now, now) + self._drain_s(team, now)
        return min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, wait_s))

    def _drain_s(self, team: str, now: float) -> float:
        rate = max(1, self._slots.capacity(now)) * self._queue.active_share(
            team
        )
        return self._queue.depth(team) * self._estimator.duration_s() / rate / 2
