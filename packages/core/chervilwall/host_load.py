"""Load shedding of a router host whose event loop falls behind.

Designed for a burst of one team that arrives at a single slow host. Callers
time out on requests that wait there unread, and then retry. The host therefore
refuses excess requests before it spends work on them, starting with those of
the team that has the most requests in flight there.
"""

import math
from collections import Counter

# Thresholds of the event loop lag, as multiples of the maximum delay of an
# event of a stream.
# At or above this lag, new requests of the teams that have the most requests in
# flight, or at least half of all, are refused.
LARGEST_TEAM_LAG = 0.4
# At or above this lag, new requests of all teams that have more requests in
# flight than the average of the teams that have any are refused.
UNEVEN_SHARE_LAG = 0.8
# At or above this lag, new requests of all teams that have a request in flight
# are refused.
ANY_IN_FLIGHT_LAG = 2.0
# With fewer requests in flight, the lag is not attributed to them, and no
# request is refused.
MIN_IN_FLIGHT = 8
# Half-life of a measured lag.
LAG_HALF_LIFE_S = 0.15
# Half-life of an ended request in the estimate of the completion rate.
RATE_HALF_LIFE_S = 1.0
MIN_RETRY_S = 0.3
MAX_RETRY_S = 4.0


class HostLoad:
    """Track event loop lag and requests in flight by team on this host.

    Args:
        event_delay_s (float): Maximum time in seconds that this host may take
            to relay an event of a stream.
    """

    def __init__(self, event_delay_s: float) -> None:
        self._event_delay_s = event_delay_s
        self._in_flight: Counter[str] = Counter()
        self._total = 0
        self._lag_s = 0.0
        self._lag_measured_at = 0.0
        self._recent_ends = 0.0
        self._recent_ends_at = 0.0

    def __repr__(self) -> str:
        return f"HostLoad(in_flight={self._total}, lag_s={self._lag_s:.3f})"

    def record_lag(self, lag_s: float, now: float) -> None:
        """Records a measured lag of the event loop.

        Args:
            lag_s (float): Lag in seconds.
            now (float): Monotonic time.
        """
        self._lag_s = max(lag_s, self.lag_s(now))
        self._lag_measured_at = now

    def lag_s(self, now: float) -> float:
        """Returns the recent lag of the event loop, in seconds."""
        passed_s = max(0.0, now - self._lag_measured_at)
        return self._lag_s * 0.5 ** (passed_s / LAG_HALF_LIFE_S)

    def begin(self, team: str) -> None:
        """Records an accepted request."""
        self._in_flight[team] += 1
        self._total += 1

    def end(self, team: str, now: float) -> None:
        """Records the end of an accepted request."""
        self._total -= 1
        self._in_flight[team] -= 1
        if self._in_flight[team] <= 0:
            del self._in_flight[team]
        self._decay_ends(now)
        self._recent_ends += 1.0

    def should_refuse(self, team: str, now: float) -> bool:
        """Returns whether a new request of a team is to be refused."""
        lag = self.lag_s(now) / self._event_delay_s
        if lag < LARGEST_TEAM_LAG or self._total < MIN_IN_FLIGHT:
            return False
        in_flight = self._in_flight.get(team, 0)
        if lag >= ANY_IN_FLIGHT_LAG and in_flight:
            return True
        if lag >= UNEVEN_SHARE_LAG:
            return in_flight * len(self._in_flight) > self._total
        return 2 * in_flight >= self._total or in_flight >= max(
            self._in_flight.values()
        )

    def retry_after_s(self, team: str, now: float) -> float:
        """Returns the Retry-After of a refused request, in seconds.

        It is about the time in which the requests that the team has in flight
        should end, at the recent completion rate of the host.
        """
        self._decay_ends(now)
        ends_per_s = self._recent_ends * math.log(2) / RATE_HALF_LIFE_S
        rate = max(ends_per_s, 1.0)
        in_flight = self._in_flight.get(team, 0)
        return min(MAX_RETRY_S, max(MIN_RETRY_S, in_flight / rate))

    def _decay_ends(self, now: float) -> None:
        passed_s = max(0.0, now - self._recent_ends_at)
        self._recent_ends *= 2.0 ** (-passed_s / RATE_HALF_LIFE_S)
        self._recent_ends_at = now
