"""Sources of the rates at which a router may send requests to targets."""

import math
from collections.abc import Callable, Hashable
from typing import Protocol

from chervilwall.registry import RegisteredTarget
from chervilwall.target_limits import TargetLimits

# A target with a lower limit gets this many requests per second: only its
# answers tell that the limit has risen.
MIN_RATE_PER_S = 0.2
# Time for which the fraction of a service is reused.
FRACTION_TTL_S = 0.05


class RateSource(Protocol):
    """State at which rate this router may send requests to a target."""

    @property
    def max_burst(self) -> int:
        """Requests that may follow each other at once after a pause."""
        ...

    @property
    def credits_unsent(self) -> bool:
        """Whether a request that was not sent frees the room it had taken."""
        ...

    @property
    def may_be_waited_for(self) -> bool:
        """Whether a request may wait for a target that has its prompt cached.

        Otherwise it goes to a target that may be sent a request now.
        """
        ...

    @property
    def is_empty(self) -> bool:
        """Whether no target is limited."""
        ...

    def key(self, target: RegisteredTarget) -> Hashable:
        """Returns what the requests to a target are counted by."""
        ...

    def rate_per_s(self, target: RegisteredTarget, now: float) -> float | None:
        """Returns the rate at which this router may send, None for no limit.

        With a rate of 0 it sends nothing.
        """
        ...

    def ends_in_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the seconds until a limit ends at the latest, or infinity."""
        ...

    def resumes_in_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the seconds until a rate of 0 is expected to end.

        It is infinite if that is not known.
        """
        ...

    def max_send_delay_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the longest time from a grant until the request is sent.

        It is infinite if a late request does no harm.
        """
        ...


class CachedFraction:
    """Reuse the fraction of a service for a short time.

    Args:
        fraction (Callable): Returns the fraction of the rate of a service's
            targets that this router may use.
    """

    def __init__(self, fraction: Callable[[str], float]) -> None:
        self._fraction = fraction
        # The fractions by service, and when they were computed.
        self._fractions: dict[str, tuple[float, float]] = {}

    def __repr__(self) -> str:
        return f"CachedFraction(services={len(self._fractions)})"

    def get(self, service: str, now: float) -> float:
        """Returns the fraction of a service.

        Args:
            service (str): The service.
            now (float): Monotonic time.
        """
        fraction, at = self._fractions.get(service, (0.0, -math.inf))
        if now - at > FRACTION_TTL_S:
            fraction = self._fraction(service)
            self._fractions[service] = (fraction, now)
        return fraction


class NamedLimitRates:
    """Rates for targets that name limits in their answers.

    Args:
        limits (TargetLimits): Limits that the targets name.
        fraction (Callable): Returns the fraction of the limits that this router
            may use for the targets of a service.
    """

    max_burst = 2
    credits_unsent = True
    may_be_waited_for = True

    def __init__(
        self, limits: TargetLimits, fraction: Callable[[str], float]
    ) -> None:
        self._limits = limits
        self._fraction = CachedFraction(fraction)

    def __repr__(self) -> str:
        return f"NamedLimitRates(limits={self._limits!r})"

    @property
    def is_empty(self) -> bool:
        """Whether no target names a limit or has named one recently."""
        return self._limits.is_empty

    def key(self, target: RegisteredTarget) -> Hashable:
        """Returns the start of a target, as each start names its own limit."""
        return target.start

    def rate_per_s(self, target: RegisteredTarget, now: float) -> float | None:
        """Returns the rate at which this router may send, None for no limit."""
        per_s = self._limits.per_s(target)
        if per_s is None:
            return None
        fraction = self._fraction.get(target.service, now)
        return max(MIN_RATE_PER_S, per_s * fraction)

    def ends_in_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns infinity: only an answer ends a limit."""
        del target, now
        return math.inf

    def resumes_in_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns infinity: no rate is 0."""
        del target, now
        return math.inf

    def max_send_delay_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns infinity: limits are averages over several seconds."""
        del target, now
        return math.inf
