"""Max-min shares of what the engines produce, over short windows.

Answers the load pattern of a team that sends many times its usual: what it
asks beyond an even portion waits behind the others.
"""

from collections import deque
from collections.abc import Mapping

# The users' quota window: shares are owed over spans of this length.
WINDOW_S = 4.0
# Sums of hundreds of teams and routers are added up this often at most.
REFRESH_S = 0.01


def max_min_level(demands: Mapping[str, float], capacity: float) -> float:
    """Returns the largest amount that a team may get.

    Teams that ask for less get all they ask for; the others all get the same.

    Args:
        demands (Mapping): What each team asks for.
        capacity (float): What there is, in the same unit.
    """
    left = capacity
    asked = sorted(demands.values())
    for index, amount in enumerate(asked):
        level = left / (len(asked) - index)
        if amount > level:
            return level
        left -= amount
    return float("inf")


class TeamUsage:
    """Sum what teams asked for or got in the last window.

    Args:
        window_s (float): Length of the window. Defaults to WINDOW_S.
    """

    def __init__(self, *, window_s: float = WINDOW_S) -> None:
        self._window_s = window_s
        self._log: deque[tuple[float, str, float]] = deque()
        self._sums: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"TeamUsage(teams={len(self._sums)})"

    def add(self, team: str, amount: float, now: float) -> None:
        """Adds an amount to a team."""
        if amount <= 0:
            return
        self._log.append((now, team, amount))
        self._sums[team] = self._sums.get(team, 0.0) + amount

    def sums(self, now: float) -> dict[str, float]:
        """Returns the amounts by team."""
        while self._log and now - self._log[0][0] > self._window_s:
            _, team, amount = self._log.popleft()
            rest = self._sums[team] - amount
            if rest > 0.5:
                self._sums[team] = rest
            else:
                del self._sums[team]
        return self._sums


class FairShare:
    """Tell which teams had their share of late, over all routers."""

    def __init__(self) -> None:
        self._asked = TeamUsage()
        self._got = TeamUsage()
        self._peers: dict[str, tuple[float, dict[str, float], dict]] = {}
        self._over: frozenset[str] = frozenset()
        self._over_at = -REFRESH_S
        self._had: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"FairShare(peers={len(self._peers)})"

    def ask(self, team: str, tokens: float, now: float) -> None:
        """Counts a request's demand."""
        self._asked.add(team, tokens, now)

    def give(self, team: str, tokens: float, now: float) -> None:
        """Counts a request that was started."""
        self._got.add(team, tokens, now)

    def own(self, now: float) -> tuple[dict[str, float], dict[str, float]]:
        """Returns what teams asked for and got through this router."""
        return self._asked.sums(now), self._got.sums(now)

    def set_peer(
        self,
        peer: str,
        asked: dict[str, float],
        got: dict[str, float],
        now: float,
    ) -> None:
        """Takes in a peer's sums."""
        self._peers[peer] = (now, asked, got)

    def drop_peer(self, peer: str) -> None:
        """Forgets a peer."""
        self._peers.pop(peer, None)

    def over_teams(self, capacity_per_s: float, now: float) -> frozenset[str]:
        """Returns the teams that got all that they are owed in this window.

        Args:
            capacity_per_s (float): What the engines produce in a second; 0
                where it is not known.
            now (float): Monotonic time.
        """
        if now - self._over_at < REFRESH_S:
            return self._over
        asked, self._had = self._totals(now)
        self._over_at = now
        self._over = frozenset()
        if capacity_per_s > 0:
            level = max_min_level(asked, capacity_per_s * WINDOW_S)
            self._over = frozenset(
                t for t, n in self._had.items() if n >= level
            )
        return self._over

    def had(self) -> Mapping[str, float]:
        """Returns what teams had when over_teams() last added it up."""
        return self._had

    def _totals(self, now: float) -> tuple[dict[str, float], dict[str, float]]:
        own_asked, own_got = self.own(now)
        asked, got = dict(own_asked), dict(own_got)
        for at, peer_asked, peer_got in self._peers.values():
            if now - at > WINDOW_S:
                continue
            _add(asked, peer_asked)
            _add(got, peer_got)
        return asked, got


def _add(total: dict[str, float], more: Mapping[str, float]) -> None:
    for team, amount in more.items():
        total[team] = total.get(team, 0.0) + amount
