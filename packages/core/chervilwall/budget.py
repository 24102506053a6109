"""Budgets that keep retries a fraction of the work."""

from collections import deque


class RetryBudget:
    """Allow retries as a fraction of successes.

    Every router keeps its own; as each stays below its fraction, so does the
    fleet as a whole.

    Args:
        ratio (float): Retries earned by one success. Defaults to 0.1.
        reserve (float): Retries allowed before any success. Defaults to 20.
        limit (float): Most retries that can be saved up. Defaults to 50.
    """

    def __init__(
        self, *, ratio: float = 0.1, reserve: float = 20.0, limit: float = 50.0
    ) -> None:
        self._ratio = ratio
        self._limit = limit
        self._balance = reserve

    def __repr__(self) -> str:
        return f"RetryBudget(balance={self._balance:.1f})"

    def succeed(self) -> None:
        """Earns a fraction of a retry."""
        self._balance = min(self._limit, self._balance + self._ratio)

    def spend(self) -> bool:
        """Takes one retry; returns False where none is left."""
        if self._balance < 1.0:
            return False
        self._balance -= 1.0
        return True


class RetryWindow:
    """Allow retries as a fraction of the requests of a sliding window.

    Every router spends its own fraction and its part of the fleet's slack, so
    the sum over all routers holds without a message.

    Args:
        ratio (float): Retries allowed for one request.
        window_s (float): Length of the window in seconds.
        slack (float): Further retries that the whole fleet may spend.
    """

    # Peers may be counted late, so a part of the slack is never spent.
    SLACK_PORTION = 0.6

    def __init__(self, ratio: float, window_s: float, slack: float) -> None:
        self._ratio = ratio
        self._window_s = window_s
        self._slack = slack
        self._requests: deque[float] = deque()
        self._retries: deque[float] = deque()

    def __repr__(self) -> str:
        return f"RetryWindow(retries={len(self._retries)})"

    def note_request(self, now: float) -> None:
        """Counts a caller's request."""
        self._requests.append(now)
        self._expire(now)

    def spend(self, now: float, routers: int) -> bool:
        """Takes one retry; returns False where none is left.

        Args:
            now (float): Monotonic time.
            routers (int): Routers that share the slack.
        """
        if not self.has_left(now, routers):
            return False
        self._retries.append(now)
        return True

    def has_left(self, now: float, routers: int) -> bool:
        """Tells whether a retry is left."""
        self._expire(now)
        allowed = self._ratio * len(self._requests)
        allowed += self.SLACK_PORTION * self._slack / max(1, routers)
        return len(self._retries) + 1 <= allowed

    def _expire(self, now: float) -> None:
        for log in (self._requests, self._retries):
            while log and now - log[0] > self._window_s:
                log.popleft()
