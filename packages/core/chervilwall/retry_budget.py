"""Budgets that limit retries to a fraction of the traffic.

`RetryBudget` needs no knowledge of other routers. `RetryWindow`, which the edge
routers use, keeps to a limit that is given for the whole fleet and for a window
of time.
"""

from collections import deque
from typing import NamedTuple


class RetryUsage(NamedTuple):
    """What a router may spend on retries, and has spent.

    Args:
        spent (int): Retries in the window.
        requests (int): Requests in the window.
        allowed (float): Retries allowed in the window.
        credit (float): Retries that may be spent at once.
    """

    spent: int
    requests: int
    allowed: float
    credit: float

    @property
    def allows_retry(self) -> bool:
        """Whether one more retry may be spent."""
        return self.credit >= 1.0 and self.spent + 1 <= self.allowed


class RetryBudget:
    """Limit retries to a fraction of the successes.

    Every router has its own budget. The fraction holds for the fleet because it
    holds for each router.

    Args:
        ratio (float): Retries earned per success. Defaults to 0.1.
        reserve (float): Initial balance of retries. Defaults to 20.
        limit (float): Maximum balance of retries. Defaults to 50.
    """

    def __init__(
        self, *, ratio: float = 0.1, reserve: float = 20.0, limit: float = 50.0
    ) -> None:
        self._ratio = ratio
        self._limit = limit
        self._balance = reserve

    def __repr__(self) -> str:
        return f"RetryBudget(balance={self._balance:.1f})"

    def record_success(self) -> None:
        """Records a success, which earns a fraction of a retry."""
        self._balance = min(self._limit, self._balance + self._ratio)

    def try_spend(self) -> bool:
        """Spends one retry and returns whether the balance allowed it."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class RetryWindow:
    """Limit retries to a fraction of the requests in a sliding window.

    Each of n routers applies the limit to its own requests and 1/n of the slack
    of the fleet, so it holds for the fleet without coordination. A router does
    not know what it spent before its start, so the sum has to hold for any
    series of starts, of all routers at once too:

    - Retries are spent from credit, which a start resets to zero. Requests and
      time earn it, less of it in the first window after a start.
    - The credit is capped, which limits what a router can have spent at once
      just before it restarted.
    - The retries in a window are limited as well, without regard to starts.

    With steady traffic, the credit cap times EARLY_FRACTION, which is the most
    that the starts of a window can add, and STEADY_FRACTION of the slack are
    the whole slack.

    Args:
        ratio (float): Retries allowed per request.
        window_s (float): Length of the window in seconds.
        slack (float): Additional retries that the whole fleet may spend per
            window.
        started_at (float): Monotonic time at which this router started.
    """

    # Fraction of its part of the slack that a router uses in a window.
    STEADY_FRACTION = 0.4
    # Fraction of the credit that is earned in the first window after a start.
    EARLY_FRACTION = 0.25
    # Cap on the credit, as a multiple of the router's part of the slack.
    MAX_CREDIT = (1.0 - STEADY_FRACTION) / EARLY_FRACTION

    def __init__(
        self, ratio: float, window_s: float, slack: float, started_at: float
    ) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._is_early_until = started_at + window_s
        self._credit = 0.0
        self._earned_until = started_at
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def __repr__(self) -> str:
        return f"RetryWindow(retries={len(self._retries)})"

    def record_request(self, now: float, routers: int | None) -> None:
        """Records a caller's request.

        Args:
            now (float): Monotonic time.
            routers (int | None): Number of routers that share the slack, None
                if the fleet is not known.
        """
        self._requests.append(now)
        self._update(now, routers, requests=1)

    def spend(self, now: float, routers: int | None) -> bool:
        """Spends one retry and returns whether the budget allowed it.

        Args:
            now (float): Monotonic time.
            routers (int | None): Number of routers that share the slack, None
                if the fleet is not known.
        """
        if not self.allows_retry(now, routers):
            return False
        self._retries.append(now)
        self._credit -= 1.0
        return True

    def allows_retry(self, now: float, routers: int | None) -> bool:
        """Returns whether the budget allows a retry, without spending it."""
        return self.usage(now, routers).allows_retry

    def usage(self, now: float, routers: int | None) -> RetryUsage:
        """Returns what is allowed and spent in the window that ends now.

        Args:
            now (float): Monotonic time.
            routers (int | None): Number of routers that share the slack, None
                if the fleet is not known: then no slack is used.
        """
        self._update(now, routers)
        requests = len(self._requests)
        allowed = self._ratio * requests + self._steady_slack(routers)
        return RetryUsage(len(self._retries), requests, allowed, self._credit)

    def _steady_slack(self, routers: int | None) -> float:
        return self.STEADY_FRACTION * self._slack / routers if routers else 0.0

    def _update(
        self, now: float, routers: int | None, requests: int = 0
    ) -> None:
        """Adds the credit earned until now and drops what left the window."""
        passed_s = max(0.0, now - self._earned_until)
        self._earned_until = now
        earned = self._ratio * requests
        earned += self._steady_slack(routers) * passed_s / self._window_s
        if now < self._is_early_until:
            earned *= self.EARLY_FRACTION
        max_credit = 1.0
        if routers:
            max_credit = max(1.0, self.MAX_CREDIT * self._slack / routers)
        self._credit = min(self._credit + earned, max_credit)
        for times in (self._requests, self._retries):
            while times and now - times[0] > self._window_s:
                times.popleft()
