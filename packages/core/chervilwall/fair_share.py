"""Max-min fair shares of the engines' throughput over a sliding window.

Designed for a team that suddenly sends a multiple of its usual traffic. Its
demand beyond its fair share waits behind the requests of the other teams.
"""

from collections import Counter, deque
from collections.abc import Mapping

# Length of the sliding window. Equal to the window of the deployment platform's
# quotas, as teams are entitled to their shares over spans of this length.
WINDOW_S = 4.0
# Minimum time between two summations, which run over hundreds of teams and
# routers.
REFRESH_S = 0.01
# Demand counts as not met if it exceeds what was started by this factor; some
# requests have always just arrived.
BACKLOG_FACTOR = 1.15
# Lower bound of the available capacity, as a fraction of the configured one, as
# little has been started right after a start.
MIN_CAPACITY_FRACTION = 0.25


def max_min_level(demands: Mapping[str, float], capacity: float) -> float:
    """Returns the max-min fair limit per team.

    Teams that demand less than the limit are served in full. All others are
    served up to the limit.

    Args:
        demands (Mapping): Demand by team.
        capacity (float): Total capacity, in the unit of the demands.

    Returns:
        float: The limit, infinite if the capacity meets all demands.
    """
    remaining = capacity
    amounts = sorted(demands.values())
    for index, amount in enumerate(amounts):
        limit = remaining / (len(amounts) - index)
        if amount > limit:
            return limit
        remaining -= amount
    return float("inf")


class TeamUsage:
    """Sum amounts by team over a sliding window.

    The amounts are either the demand or the usage of the teams.

    Args:
        window_s (float): Length of the window in seconds. Defaults to WINDOW_S.
    """

    def __init__(self, *, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._entries: deque[tuple[float, str, float]] = deque()
        self._sum_by_team: dict[str, float] = {}
        self._entries_by_team: Counter[str] = Counter()

    def __repr__(self) -> str:
        return f"TeamUsage(teams={len(self._sum_by_team)})"

    def add(self, team: str, amount: float, now: float) -> None:
        """Adds an amount to the sum of a team."""
        if amount <= 0:
            return
        self._entries.append((now, team, amount))
        self._sum_by_team[team] = self._sum_by_team.get(team, 0.0) + amount
        self._entries_by_team[team] += 1

    def sums(self, now: float) -> dict[str, float]:
        """Returns the sums of the window that ends now, by team."""
        while self._entries and now - self._entries[0][0] > self._window_s:
            _, team, amount = self._entries.popleft()
            self._entries_by_team[team] -= 1
            if self._entries_by_team[team]:
                self._sum_by_team[team] -= amount
            else:
                # Also drops the rounding error of the sum.
                del self._sum_by_team[team], self._entries_by_team[team]
        return self._sum_by_team


class FairShare:
    """Find the teams whose usage through all routers reached their fair share.

    All teams weigh the same. Demand and usage are sums over the last WINDOW_S
    seconds, in tokens of the prompts and of the expected answers. The code that
    records them counts a generated token as two prompt tokens.
    """

    def __init__(self) -> None:
        self._demand = TeamUsage()
        self._usage = TeamUsage()
        self._peers: dict[str, tuple[float, dict[str, float], dict]] = {}
        self._over_share: frozenset[str] = frozenset()
        self._refreshed_at = -REFRESH_S
        self._total_usage: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"FairShare(peers={len(self._peers)})"

    def record_demand(self, team: str, tokens: float, now: float) -> None:
        """Adds the demand of an arriving request.

        Args:
            team (str): Team that is charged.
            tokens (float): Tokens that it demands.
            now (float): Monotonic time.
        """
        self._demand.add(team, tokens, now)

    def record_usage(self, team: str, tokens: float, now: float) -> None:
        """Adds the usage of a request that was started.

        Args:
            team (str): Team that is charged.
            tokens (float): Tokens that it is charged.
            now (float): Monotonic time.
        """
        self._usage.add(team, tokens, now)

    def local_sums(
        self, now: float
    ) -> tuple[dict[str, float], dict[str, float]]:
        """Returns the demand and the usage by team through this router."""
        return self._demand.sums(now), self._usage.sums(now)

    def set_peer(
        self,
        peer: str,
        demand: dict[str, float],
        usage: dict[str, float],
        now: float,
    ) -> None:
        """Replaces the sums that a peer last reported.

        Args:
            peer (str): Id of the peer.
            demand (dict): Demand by team through the peer.
            usage (dict): Usage by team through the peer.
            now (float): Monotonic time.
        """
        self._peers[peer] = (now, demand, usage)

    def drop_peer(self, peer: str) -> None:
        """Removes a peer and the sums that it reported."""
        self._peers.pop(peer, None)

    def teams_over_share(
        self, capacity_per_s: float, now: float
    ) -> frozenset[str]:
        """Returns the teams that have used up their share of the window.

        The result is cached for REFRESH_S.

        Args:
            capacity_per_s (float): Configured throughput of all engines
                together in tokens per second, with which the recorded demand is
                compared. If it is unknown and therefore 0, no team has a limit.
            now (float): Monotonic time.
        """
        if now - self._refreshed_at < REFRESH_S:
            return self._over_share
        demand, self._total_usage = self._totals(now)
        self._refreshed_at = now
        self._over_share = frozenset()
        if capacity_per_s > 0:
            capacity = self._available_capacity(
                capacity_per_s * WINDOW_S, demand
            )
            limit = max_min_level(demand, capacity)
            self._over_share = frozenset(
                t for t, used in self._total_usage.items() if used >= limit
            )
        return self._over_share

    def _available_capacity(
        self, configured: float, demand: Mapping[str, float]
    ) -> float:
        """Returns the tokens that the teams can share in a window.

        While demand is not met, it is what was started, if that is less than
        the configured capacity: engines may be lost, or slower than configured.
        Otherwise no team would reach its share, and a flood would push the
        other teams aside.
        """
        started = sum(self._total_usage.values())
        if sum(demand.values()) <= BACKLOG_FACTOR * started:
            return configured
        return min(configured, max(started, MIN_CAPACITY_FRACTION * configured))

    def usage_by_team(self) -> Mapping[str, float]:
        """Returns the usage by team as of the last refresh.

        It is refreshed by teams_over_share().
        """
        return self._total_usage

    def _totals(self, now: float) -> tuple[dict[str, float], dict[str, float]]:
        """Returns the demand and the usage by team through all routers."""
        own_demand, own_usage = self.local_sums(now)
        demand, usage = dict(own_demand), dict(own_usage)
        for at, peer_demand, peer_usage in self._peers.values():
            if now - at > WINDOW_S:
                continue
            _add_amounts(demand, peer_demand)
            _add_amounts(usage, peer_usage)
        return demand, usage


def _add_amounts(total: dict[str, float], more: Mapping[str, float]) -> None:
    for team, amount in more.items():
        total[team] = total.get(team, 0.0) + amount
