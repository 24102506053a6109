"""Estimates of the time that requests wait for a target.

Designed for overload: a request that cannot start in time is refused at once,
with the expected wait as its Retry-After.
"""

from collections.abc import Callable
from typing import NamedTuple

from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.request_pacer import RequestPacer
from chervilwall.wait_queue import TeamShares, Ticket, WaitQueue

# Lower bound of the rate at which a router starts work, in seconds of prefill
# per second.
MIN_WORK_RATE = 0.1


class WaitEstimateParts(NamedTuple):
    """Dependencies of WaitEstimate.

    Args:
        registry (TargetRegistry): Registered targets.
        pacer (RequestPacer): Spaces the requests to targets that name limits.
        scheduler_count (Callable): Returns the number of routers that place
            requests of a service.
    """

    registry: TargetRegistry
    pacer: RequestPacer
    scheduler_count: Callable[[str], int]


class WaitEstimate:
    """Estimate how long a request of a queue will wait.

    Args:
        parts (WaitEstimateParts): Dependencies.
    """

    def __init__(self, parts: WaitEstimateParts) -> None:
        self._parts = parts

    def __repr__(self) -> str:
        return f"WaitEstimate(pacer={self._parts.pacer!r})"

    def expected_wait_s(
        self,
        queue: WaitQueue,
        ticket: Ticket,
        team_shares: TeamShares,
        now: float,
    ) -> float:
        """Returns the expected wait of a request, in seconds.

        Args:
            queue (WaitQueue): Queue of its service.
            ticket (Ticket): The request.
            team_shares (TeamShares): Recent usage of the teams.
            now (float): Monotonic time.
        """
        service = ticket.demand.service
        targets = self._parts.registry.serving_targets(service)
        # This router's share of the targets bounds the rate from below, as the
        # measured rate is too low while little arrives.
        rate = self._max_work_rate(queue, targets, now)
        rate /= max(1, self._parts.scheduler_count(service))
        wait_s = queue.expected_wait_s(
            ticket, now, team_shares, max(rate, MIN_WORK_RATE)
        )
        if self._parts.pacer.is_idle:
            return wait_s
        ahead = queue.count_ahead(ticket, now, team_shares)
        return max(wait_s, self._paced_wait_s(ahead, targets, now))

    def _max_work_rate(
        self, queue: WaitQueue, targets: list[RegisteredTarget], now: float
    ) -> float:
        """Returns the prefill time per second that targets can take.

        It is one second for each target, less for one that is limited.
        """
        pacer = self._parts.pacer
        if pacer.is_idle:
            return float(len(targets))
        work_s = queue.mean_started_work_s()
        rates = [pacer.rate_per_s(target, now) for target in targets]
        return sum(1.0 if r is None else min(1.0, r * work_s) for r in rates)

    def _paced_wait_s(
        self, ahead: int, targets: list[RegisteredTarget], now: float
    ) -> float:
        """Returns the expected wait where all targets are limited, else 0.

        Args:
            ahead (int): Requests that rank before this one.
            targets (list): Targets of the service.
            now (float): Monotonic time.
        """
        pacer = self._parts.pacer
        rates = [pacer.rate_per_s(target, now) for target in targets]
        limits = [rate for rate in rates if rate is not None]
        if not limits or len(limits) < len(rates):
            return 0.0
        first_s = min(pacer.wait_s(target, now) for target in targets)
        # Cold targets that this router may send nothing are used once warm.
        wait_s = first_s + ahead / sum(limits) if sum(limits) else first_s
        return min(wait_s, *(pacer.ends_in_s(t, now) for t in targets))
