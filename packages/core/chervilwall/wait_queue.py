"""Requests that wait in a router for room on a target.

Answers the load pattern of more work than the targets can start in time:
targets admit in order of arrival, so the order is chosen here, and what will
not be served while its caller waits is refused at once.
"""

import heapq
import itertools
from typing import NamedTuple

from chervilwall.placement import Demand


class WaitSettings(NamedTuple):
    """Limits of waiting.

    Args:
        refuse_objectives (float): A request that is expected to wait longer
            than this many of its latency objectives is refused at once.
        hold_objectives (float): Longest wait, in latency objectives.
        deadline_fraction (float): Longest wait, as a portion of the time left.
        least_retry_s (float): Shortest Retry-After.
        most_retry_s (float): Longest Retry-After.
    """

    refuse_objectives: float = 1.0
    hold_objectives: float = 1.0
    deadline_fraction: float = 0.4
    least_retry_s: float = 0.3
    most_retry_s: float = 4.0


class Ticket(NamedTuple):
    """A request as the queue sees it.

    Args:
        number (int): Unique number in this router.
        demand (Demand): What it needs.
        objective_s (float): Its latency objective.
        enqueued_at (float): Monotonic time of its arrival.
        deadline_at (float): Monotonic time after which nobody waits for it.
        returner (bool): Whether it was refused before.
        over_share (bool): Whether its team has had its share of late.
        work_s (float): Target time that it takes to start.
    """

    number: int
    demand: Demand
    objective_s: float
    enqueued_at: float
    deadline_at: float
    returner: bool = False
    over_share: bool = False
    work_s: float = 0.0

    def latest_start(self, cfg: WaitSettings) -> float:
        """Returns the monotonic time until which it may wait."""
        left_s = self.deadline_at - self.enqueued_at
        held_s = min(
            cfg.hold_objectives * self.objective_s,
            cfg.deadline_fraction * left_s,
        )
        return self.enqueued_at + max(held_s, 0.0)

    def rank(self) -> tuple[bool, float, int]:
        """Returns its place in the order, the lowest first.

        A team within its share goes before one beyond it. Then the request
        goes first whose start is due first; a longer start is due earlier.
        """
        due_at = self.enqueued_at + self.objective_s - self.work_s
        if self.returner:
            due_at -= self.objective_s
        return (self.over_share, due_at, self.number)


class WaitQueue:
    """Order the waiting requests of one service.

    Args:
        settings (WaitSettings): Limits.
    """

    # Starts are counted over about this time to tell how fast it drains.
    RATE_TAU_S = 2.0

    def __init__(self, settings: WaitSettings) -> None:
        self._cfg = settings
        self._heap: list[tuple[tuple[bool, float, int], Ticket]] = []
        self._gone: set[int] = set()
        self._live: dict[int, Ticket] = {}
        self._numbers = itertools.count(1)
        self._started_work_s = 0.0
        self._rate_at = 0.0

    def __repr__(self) -> str:
        return f"WaitQueue(waiting={len(self._live)})"

    def __len__(self) -> int:
        return len(self._live)

    def next_number(self) -> int:
        """Returns a number for a new ticket."""
        return next(self._numbers)

    def push(self, ticket: Ticket) -> None:
        """Adds a request."""
        heapq.heappush(self._heap, (ticket.rank(), ticket))
        self._live[ticket.number] = ticket

    def discard(self, number: int) -> None:
        """Takes out a request that left or was refused."""
        if self._live.pop(number, None) is not None:
            self._gone.add(number)

    def in_order(self) -> list[Ticket]:
        """Returns the waiting requests, the first to start first."""
        self._sweep()
        return [
            ticket
            for _, ticket in sorted(self._heap)
            if ticket.number in self._live
        ]

    def expired(self, now: float) -> list[Ticket]:
        """Returns the requests that have waited as long as they may."""
        return [
            ticket
            for ticket in self._live.values()
            if now >= ticket.latest_start(self._cfg)
        ]

    def note_start(self, work_s: float, now: float) -> None:
        """Counts work that was started, whether it waited or not."""
        self._decay(now)
        self._started_work_s += work_s

    def expected_wait_s(self, ticket: Ticket, now: float) -> float:
        """Returns how long a request would wait behind those before it."""
        rank = ticket.rank()
        ahead_s = sum(
            other.work_s for other in self._live.values() if other.rank() < rank
        )
        self._decay(now)
        rate = self._started_work_s / self.RATE_TAU_S
        return ahead_s / max(rate, 0.05)

    def is_hopeless(self, ticket: Ticket, now: float) -> bool:
        """Tells whether a request would wait too long to be of use."""
        wait_s = self.expected_wait_s(ticket, now)
        return wait_s > self._cfg.refuse_objectives * ticket.objective_s

    def retry_after_s(self, ticket: Ticket, now: float) -> float:
        """Returns when the caller should come back."""
        wait_s = self.expected_wait_s(ticket, now)
        cfg = self._cfg
        return min(cfg.most_retry_s, max(cfg.least_retry_s, wait_s))

    def _decay(self, now: float) -> None:
        passed_s = max(0.0, now - self._rate_at)
        self._started_work_s *= 2.0 ** (-passed_s / self.RATE_TAU_S)
        self._rate_at = now

    def _sweep(self) -> None:
        if len(self._gone) * 2 > len(self._heap):
            self._heap = [
                item for item in self._heap if item[1].number in self._live
            ]
            heapq.heapify(self._heap)
            self._gone.clear()
