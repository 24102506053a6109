"""Spacing of the requests to targets that name a limit."""

import contextlib
import math
from collections import Counter
from collections.abc import Callable, Iterable, Iterator

from chervilwall.registry import RegisteredTarget, TargetStart
from chervilwall.target_limits import TargetLimits

# Requests that may follow each other at once after a pause.
MAX_BURST = 2
# A target with a lower limit gets this many requests per second: only its
# answers tell that the limit has risen.
MIN_RATE_PER_S = 0.2
# Time without a placement after which a router may not have been the one that
# places the requests of a service.
RESUME_S = 1.0
# Time for which the fraction of a service is reused.
FRACTION_TTL_S = 0.05


class RequestPacer:
    """Space requests so that targets get no more than the limits they name.

    Designed for the router that places all requests of a service. The requests
    to a target are spread evenly over time, and a router that begins to place
    them may send the first one after an interval.

    Args:
        limits (TargetLimits): Limits that the targets name.
        fraction (Callable): Returns the fraction of the limits that this router
            may use for the targets of a service.
    """

    def __init__(
        self, limits: TargetLimits, fraction: Callable[[str], float]
    ) -> None:
        self._limits = limits
        self._fraction = fraction
        # The fractions by service, and when they were computed.
        self._fractions: dict[str, tuple[float, float]] = {}
        # Monotonic times at which the targets have taken what was sent to them.
        self._taken_at: dict[TargetStart, float] = {}
        # Monotonic times at which the limit of a target was last asked for.
        self._asked_at: dict[TargetStart, float] = {}
        # Requests sent to targets while they named limits.
        self.sent: Counter[TargetStart] = Counter()
        # Requests that waited while a target of their service could not be sent
        # any, by service.
        self.held_back: Counter[str] = Counter()

    def __repr__(self) -> str:
        return f"RequestPacer(targets={len(self._taken_at)})"

    @property
    def is_idle(self) -> bool:
        """Whether no target needs any spacing."""
        return self._limits.is_empty

    def rate_per_s(self, target: RegisteredTarget, now: float) -> float | None:
        """Returns the rate at which this router may send, None for no limit."""
        per_s = self._limits.per_s(target)
        if per_s is None:
            return None
        return max(MIN_RATE_PER_S, per_s * self._fraction_of(target, now))

    def _fraction_of(self, target: RegisteredTarget, now: float) -> float:
        fraction, at = self._fractions.get(target.service, (0.0, -math.inf))
        if now - at > FRACTION_TTL_S:
            fraction = self._fraction(target.service)
            self._fractions[target.service] = (fraction, now)
        return fraction

    def wait_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the seconds until a target may be sent a request.

        Asking also records that this router places requests of the target now:
        one that begins to, or begins again, has no burst.

        Args:
            target (RegisteredTarget): The target.
            now (float): Monotonic time.
        """
        rate = self.rate_per_s(target, now)
        if rate is None:
            return 0.0
        taken_at = self._taken_at.get(target.start)
        if taken_at is None:
            taken_at = now + MAX_BURST / rate
        elif now - self._asked_at.get(target.start, now) > RESUME_S:
            taken_at = max(taken_at, now + (MAX_BURST - 1) / rate)
        self._taken_at[target.start] = taken_at
        self._asked_at[target.start] = now
        return max(0.0, taken_at - (MAX_BURST - 1) / rate - now)

    @contextlib.contextmanager
    def unrecorded(self) -> Iterator[None]:
        """Undoes at its end what asking for waits records.

        Meanwhile nothing may be sent.
        """
        taken_at, asked_at = dict(self._taken_at), dict(self._asked_at)
        try:
            yield
        finally:
            self._taken_at, self._asked_at = taken_at, asked_at

    def idle_s(
        self, target: RegisteredTarget, work_s: float, now: float
    ) -> float:
        """Returns how long a limit leaves a target idle after a request.

        A limited target takes few requests, of any size: short ones leave most
        of what it could do unused, which other targets then have to do.

        Args:
            target (RegisteredTarget): The target.
            work_s (float): Time that the request takes there, in seconds.
            now (float): Monotonic time.
        """
        rate = self.rate_per_s(target, now)
        return 0.0 if rate is None else max(0.0, 1.0 / rate - work_s)

    def forget(self, target_id: str) -> None:
        """Removes what is known of a target that ended."""
        for start in [s for s in self._taken_at if s.target_id == target_id]:
            del self._taken_at[start]
            self._asked_at.pop(start, None)
            self.sent.pop(start, None)

    def record_sent(self, target: RegisteredTarget, now: float) -> None:
        """Records a request that is sent to a target."""
        rate = self.rate_per_s(target, now)
        if rate is not None:
            taken_at = self._taken_at.get(target.start, now)
            self._taken_at[target.start] = max(taken_at, now) + 1.0 / rate
            self.sent[target.start] += 1

    def record_waiting(
        self, service: str, targets: Iterable[RegisteredTarget], now: float
    ) -> None:
        """Counts a request that begins to wait, if a limit holds it back."""
        if not self.is_idle and any(
            self.wait_s(target, now) > 0 for target in targets
        ):
            self.held_back[service] += 1

    def record_not_sent(self, target: RegisteredTarget, now: float) -> None:
        """Takes back a request that did not reach its target."""
        rate = self.rate_per_s(target, now)
        if rate is not None and target.start in self._taken_at:
            self._taken_at[target.start] -= 1.0 / rate
