"""A retry budget that keeps retries a fraction of successes."""


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
