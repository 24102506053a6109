"""Rates at which routers may send requests to cold targets.

The bound on the requests in any one second is S = tolerated rate x rate_factor
+ slack, for all routers together. It is divided into shares whose sum is at
most 1: half of it for a router that hears more than half of the known routers,
and otherwise the fraction that it hears. So there is room for two schedulers
that hear the whole fleet, or for those of all parts of a partitioned one.

Grants of one router to a target are at least 1 / rate apart. A request is sent
at most MAX_DELAY_S after its grant, so those that are sent in one second were
granted in 1 + MAX_DELAY_S, which are at most (1 + MAX_DELAY_S) x rate + 1. The
rate is chosen so that this is the router's share of S.
"""

import math
from collections.abc import Callable, Hashable

import msgspec

from chervilwall._setting_types import NonNegative
from chervilwall.cold_targets import RISE_S, ColdTargets
from chervilwall.rate_sources import CachedFraction
from chervilwall.registry import RegisteredTarget

# Share of the bound that one router may use: two may both be the scheduler for
# a while.
MAX_SHARE = 0.5
# Longest time from a grant until the request is sent that the rate allows for.
MAX_DELAY_S = 0.2
# Time after which a router does not send a request that was granted. The rest
# of MAX_DELAY_S is for the datagram with the grant and for event loop lag that
# has not been measured.
GRANT_TTL_S = 0.1
# Time in which the rate doubles after the end of the cold time.
RISE_DOUBLING_S = 0.4


class ColdSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Bound on the requests to a cold target, from all routers together.

    Args:
        rate_factor (float): Multiple of the rate that the target tolerates.
        slack (float): Additional requests in any one second.
    """

    rate_factor: NonNegative
    slack: NonNegative


def sending_rate_per_s(
    tolerated_per_s: float, settings: ColdSettings, fraction: float
) -> float:
    """Returns the rate at which a router may send to a cold target.

    Args:
        tolerated_per_s (float): Requests per second that the target tolerates.
        settings (ColdSettings): Bound on the requests in any one second.
        fraction (float): Fraction that this router may use, 1 for a router
            that hears more than half of the fleet.

    Returns:
        Requests per second, 0 if the router's share of the bound is no whole
        request.
    """
    bound = tolerated_per_s * settings.rate_factor + settings.slack
    requests = bound * min(MAX_SHARE, fraction)
    # One request may precede the first interval.
    rate = (requests - 1.0) / (1.0 + MAX_DELAY_S)
    return max(0.0, min(tolerated_per_s * fraction, rate))


class ColdRates:
    """Rates for targets that are cold or have just become warm.

    Args:
        cold (ColdTargets): Which targets are cold.
        settings (ColdSettings): Bound on the requests in any one second.
        fraction (Callable): Returns the fraction that this router may use for
            the targets of a service, see FleetView.cold_fraction.
        resumes_in_s (Callable): Returns the seconds until a fraction of 0 is
            expected to end for a service, infinity if that is not known.
    """

    max_burst = 1
    # A grant that was not used may still have been sent late: its report and
    # the request take different paths.
    credits_unsent = False
    # In a returning zone, all requests whose prompts are cached there would
    # wait for it, and keep those behind them from targets that have room.
    may_be_waited_for = False

    def __init__(
        self,
        cold: ColdTargets,
        settings: ColdSettings,
        fraction: Callable[[str], float],
        resumes_in_s: Callable[[str], float] = lambda service: math.inf,
    ) -> None:
        self._resumes_in_s = resumes_in_s
        self._cold = cold
        self._settings = settings
        self._fraction = CachedFraction(fraction)

    def __repr__(self) -> str:
        return f"ColdRates(cold={self._cold!r})"

    @property
    def is_empty(self) -> bool:
        """Whether no target is limited because it is or was cold."""
        return self._cold.is_empty

    def key(self, target: RegisteredTarget) -> Hashable:
        """Returns the id of a target: a restart does not end the interval."""
        return target.id

    def rate_per_s(self, target: RegisteredTarget, now: float) -> float | None:
        """Returns the rate at which this router may send, None for no limit."""
        until = self._cold.cold_end(target)
        if until is None or now >= until + RISE_S:
            return None
        fraction = self._fraction.get(target.service, now)
        rate = sending_rate_per_s(
            self._cold.tolerated_per_s(target.service), self._settings, fraction
        )
        if now < until:
            return rate
        # A router that does not place all requests may not know what waits, and
        # a warm target needs no bound.
        if rate <= 0:
            return None
        return rate * 2.0 ** ((now - until) / RISE_DOUBLING_S)

    def ends_in_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the seconds until nothing limits a target any more."""
        until = self._cold.cold_end(target)
        return 0.0 if until is None else max(0.0, until + RISE_S - now)

    def resumes_in_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the seconds until this router is expected to send again."""
        del now
        return self._resumes_in_s(target.service)

    def max_send_delay_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns GRANT_TTL_S for a cold target, else infinity."""
        is_cold = self._cold.is_cold(target, now)
        return GRANT_TTL_S if is_cold else math.inf
