"""Queue of requests that wait in a router for capacity on a target.

Built for overload, when the targets cannot start all work in time. Targets
serve requests in order of arrival, so the order is decided here: requests that
can still meet their latency objective go first, and requests that would not be
served before their callers give up are refused.
"""

import math
from collections.abc import Mapping
from typing import NamedTuple

import msgspec

from chervilwall._setting_types import Fraction, NonNegative, Positive
from chervilwall.placement import Demand, Urgency

# Weight of a generated token in the benefit of a request, which is its prompt
# tokens plus this many times its generated tokens.
OUTPUT_WEIGHT = 10.0
# Lower bound of the prefill time by which the benefit is divided.
MIN_WORK_S = 0.002
# Ranks are cached for this time instead of being computed for each arrival.
RANKS_TTL_S = 0.01
# Added to the on-time ratio of a group, so that its boost, which is a negative
# power of the sum, is finite at a ratio of 0.
BOOST_OFFSET = 0.25
# Minimum wait before a request is refused for being late, as a target may be
# about to become free.
MIN_WAIT_S = 0.03
# Weight of a new sample in the moving average of the ratio of late requests
# that are started.
LATE_SAMPLE_WEIGHT = 0.05
# Late requests keep waiting while at least this ratio of them is started.
MIN_LATE_START_RATIO = 0.3


class WaitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on waiting and on the Retry-After of refusals.

    Of the three limits on waiting, the one that is reached first applies.

    Args:
        late_objectives (float): Maximum wait beyond the due time, as a multiple
            of the latency objective.
        late_s (float): Maximum wait beyond the due time, in seconds.
        deadline_fraction (float): Maximum wait, as a fraction of the time until
            the deadline of the caller.
        min_retry_s (float): Minimum Retry-After, in seconds.
        max_retry_s (float): Maximum Retry-After, in seconds.
        boost_exponent (float): Strength of the boost of groups of which few
            requests start in time; 0 for none.
        overtaking_factor (float): A team beyond its share may overtake a
            waiting request of another one if its usage is at most this multiple
            of that team's.
    """

    late_objectives: NonNegative = 0.2
    late_s: NonNegative = 1.0
    deadline_fraction: Fraction = 0.5
    min_retry_s: NonNegative = 0.3
    max_retry_s: NonNegative = 4.0
    boost_exponent: NonNegative = 2.0
    overtaking_factor: Positive = 1.4


class Ticket(NamedTuple):
    """A waiting request.

    Args:
        number (int): Unique number within this router.
        team (str): Team that the request is accounted to.
        demand (Demand): Resources that it needs.
        due_at (float): Monotonic time by which its first token is due.
        enqueued_at (float): Monotonic time of its arrival at this router.
        give_up_at (float): Monotonic time at which the queue refuses it, unless
            it has started; not the deadline of its caller.
        work_s (float): Predicted prefill time of its prompt, in seconds.
        first_sent_at (float): Monotonic time at which its caller first sent it;
            earlier than `enqueued_at` for a retry.
        group (str): Route and size class, whose on-time ratio is tracked.
        is_resumption (bool): Whether its caller has a part of the response
            already. Defaults to False.
        is_exempt (bool): Whether it is not put behind because its team is
            beyond its share. Defaults to False.
        start_delay_s (float): Time by which the engines of its service start
            requests later than usual ones, in seconds. Defaults to 0.
    """

    number: int
    team: str
    demand: Demand
    due_at: float
    enqueued_at: float
    give_up_at: float
    work_s: float = 0.0
    first_sent_at: float = 0.0
    group: str = ""
    is_resumption: bool = False
    is_exempt: bool = False
    start_delay_s: float = 0.0

    @property
    def benefit_per_s(self) -> float:
        """Benefit per second of prefill; see OUTPUT_WEIGHT."""
        demand = self.demand
        size = demand.prompt_tokens + OUTPUT_WEIGHT * demand.output_tokens
        return size / max(self.work_s, MIN_WORK_S)

    def latest_start_at(self) -> float:
        """Returns the monotonic time by which it must start to be in time."""
        return self.due_at - self.work_s - self.start_delay_s

    def late_wait_limit_at(self) -> float:
        """Returns the time until which it may wait while late ones are refused.

        This replaces `give_up_at` while too few late requests are started. A
        resumption cannot be late, as its caller has the first event.
        """
        if self.is_resumption:
            return self.give_up_at
        return max(self.latest_start_at(), self.enqueued_at + MIN_WAIT_S)

    def urgency(self, now: float, teams_over_share: frozenset[str]) -> Urgency:
        """Returns the urgency class of the request.

        Args:
            now (float): Monotonic time.
            teams_over_share (frozenset): Teams that have used up their share.
        """
        is_over_share = self.team in teams_over_share and not self.is_exempt
        if is_over_share and self.demand.is_generation:
            return Urgency.BEYOND_SHARE
        if now > self.latest_start_at() and not self.is_resumption:
            return Urgency.LATE
        return Urgency.IN_TIME


class TeamShares(NamedTuple):
    """Snapshot of the teams' usage in the current window of fair sharing.

    Args:
        teams_over_share (frozenset): Teams that have used up their share.
        tokens_by_team (Mapping): Tokens of the started requests, by team.
    """

    teams_over_share: frozenset[str]
    tokens_by_team: Mapping[str, float]


# Sort key of the queue: urgency, usage of the team where it exceeds its share
# (else 0), whether it would start late, negated benefit per time, number of the
# ticket.
Rank = tuple[Urgency, float, bool, float, int]


class OvertakingLimit:
    """Keep teams with much usage from overtaking teams with little.

    Of the teams beyond their shares, the one with the lowest usage goes first.
    While its request waits for free capacity, requests of teams with much more
    usage wait too. Otherwise they would take all the capacity that becomes
    free, and the waiting request would never start.

    Args:
        max_usage_factor (float): A team may overtake if its usage is at most
            this multiple of that of the waiting team, plus SLACK_TOKENS.
    """

    # The usages of two teams may differ by one long request, of this many
    # tokens, even if capacity is shared fairly.
    SLACK_TOKENS = 15_000.0

    def __init__(self, max_usage_factor: float) -> None:
        self._max_usage_factor = max_usage_factor
        self._min_usage = float("inf")

    def __repr__(self) -> str:
        return f"OvertakingLimit(min_usage={self._min_usage:.0f})"

    def record_waiting(self, rank: Rank) -> None:
        """Records a request for which no target had free capacity."""
        if rank[0] is Urgency.BEYOND_SHARE:
            self._min_usage = min(self._min_usage, rank[1])

    def allows(self, rank: Rank) -> bool:
        """Returns whether a request may start before those recorded."""
        if rank[0] is not Urgency.BEYOND_SHARE:
            return True
        return (
            rank[1]
            <= self._max_usage_factor * self._min_usage + self.SLACK_TOKENS
        )


class OnTimeRatios:
    """Track the ratio of requests that start in time, by group.

    Args:
        boost_exponent (float): Strength of the boost; 0 for none.
    """

    # Weight of a new request in the moving average of a group.
    SAMPLE_WEIGHT = 0.03

    def __init__(self, boost_exponent: float) -> None:
        self._boost_exponent = boost_exponent
        self._ratios: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"OnTimeRatios({self._ratios})"

    def record(self, group: str, started: bool) -> None:
        """Records whether a request was started in time."""
        known = self._ratios.get(group, 1.0)
        self._ratios[group] = known + self.SAMPLE_WEIGHT * (started - known)

    def mean(self) -> float:
        """Returns the mean ratio over all groups, 1 if there are none."""
        known = self._ratios.values()
        return sum(known) / len(known) if known else 1.0

    def boost(self, group: str) -> float:
        """Returns the factor by which the benefit of a group is multiplied.

        The lower the on-time ratio of the group, the higher the boost: with the
        default exponent it is 0.64 if all requests of the group start in time
        and 16 if none does.
        """
        ratio = BOOST_OFFSET + self._ratios.get(group, 1.0)
        return ratio**-self._boost_exponent


class WaitQueue:
    """Order the waiting requests of one service by rank.

    Args:
        settings (WaitSettings): Limits on waiting, and weights of the order.
    """

    # Half-life of started work in the estimate of the drain rate.
    RATE_HALF_LIFE_S = 2.0

    def __init__(self, settings: WaitSettings) -> None:
        self._settings = settings
        self._waiting: dict[int, Ticket] = {}
        self._ranks: dict[int, Rank] = {}
        self._ranked_at = float("-inf")
        self._unranked: list[Ticket] = []
        self._started_work_s = 0.0
        self._started_count = 0.0
        self._rate_updated_at = 0.0
        self._on_time_ratios = OnTimeRatios(settings.boost_exponent)
        self._late_start_ratio = 1.0

    def __repr__(self) -> str:
        return f"WaitQueue(waiting={len(self._waiting)})"

    def __len__(self) -> int:
        return len(self._waiting)

    def push(self, ticket: Ticket) -> None:
        """Adds a request to the queue."""
        self._waiting[ticket.number] = ticket
        self._unranked.append(ticket)

    def discard(self, number: int) -> None:
        """Removes a request that was started, refused or cancelled."""
        self._waiting.pop(number, None)
        self._ranks.pop(number, None)

    def rank(self, ticket: Ticket, now: float, team_shares: TeamShares) -> Rank:
        """Returns the sort key of a request; the lowest goes first.

        Requests of teams beyond their shares are ordered by the usage of the
        team, and within a team those that can be in time go first. All others
        are ordered by benefit per time, boosted for groups of which few
        requests start in time. Resumptions precede others of their urgency and
        team, as what their callers have is lost without the rest.
        """
        urgency = ticket.urgency(now, team_shares.teams_over_share)
        team_usage = 0.0
        if urgency is Urgency.BEYOND_SHARE:
            team_usage = team_shares.tokens_by_team.get(ticket.team, 0.0)
        benefit = ticket.benefit_per_s * self._on_time_ratios.boost(
            ticket.group
        )
        if ticket.is_resumption:
            return (urgency, team_usage, False, -math.inf, ticket.number)
        is_late = now > ticket.latest_start_at()
        return (urgency, team_usage, is_late, -benefit, ticket.number)

    def has_only_generations(self) -> bool:
        """Returns whether all waiting requests are for model engines."""
        return all(t.demand.is_generation for t in self._waiting.values())

    def make_overtaking_limit(self) -> OvertakingLimit:
        """Returns the limit on overtaking for one pass over the queue."""
        return OvertakingLimit(self._settings.overtaking_factor)

    def in_order(
        self, now: float, team_shares: TeamShares
    ) -> list[tuple[Rank, Ticket]]:
        """Returns the waiting requests with their ranks, lowest rank first."""
        ranks = self._current_ranks(now, team_shares)
        return sorted((rank, self._waiting[n]) for n, rank in ranks.items())

    def is_outranked(
        self, ticket: Ticket, now: float, team_shares: TeamShares
    ) -> bool:
        """Returns whether a waiting request has precedence over a new one."""
        rank = self.rank(ticket, now, team_shares)
        ranks = self._current_ranks(now, team_shares).values()
        return bool(ranks) and min(ranks) < rank

    def _current_ranks(
        self, now: float, team_shares: TeamShares
    ) -> dict[int, Rank]:
        """Returns the ranks of all waiting requests.

        They are recomputed if they are older than RANKS_TTL_S. In between,
        only new requests are ranked.
        """
        if not 0.0 <= now - self._ranked_at < RANKS_TTL_S:
            self._ranked_at = now
            self._ranks = {
                n: self.rank(t, now, team_shares)
                for n, t in self._waiting.items()
            }
        else:
            for ticket in self._unranked:
                if ticket.number in self._waiting:
                    rank = self.rank(ticket, now, team_shares)
                    self._ranks[ticket.number] = rank
        self._unranked.clear()
        return self._ranks

    def expired(self, now: float) -> list[Ticket]:
        """Returns the requests that have reached the limit of their wait."""
        starts_late = self.starts_late_requests()
        return [
            t
            for t in self._waiting.values()
            if now >= (t.give_up_at if starts_late else t.late_wait_limit_at())
        ]

    def starts_late_requests(self) -> bool:
        """Returns whether enough late requests are started to let them wait."""
        return self._late_start_ratio >= MIN_LATE_START_RATIO

    def record_outcome(self, ticket: Ticket, now: float, started: bool) -> None:
        """Records the outcome of a request's wait.

        Args:
            ticket (Ticket): The request.
            now (float): Monotonic time.
            started (bool): Whether it was started.
        """
        in_time = now <= ticket.latest_start_at()
        self._on_time_ratios.record(ticket.group, started and in_time)
        if not in_time:
            change = LATE_SAMPLE_WEIGHT * (started - self._late_start_ratio)
            self._late_start_ratio += change

    def record_started_work(self, work_s: float, now: float) -> None:
        """Records started work, also of requests that did not wait.

        Args:
            work_s (float): Predicted prefill time of the request, in seconds.
            now (float): Monotonic time.
        """
        self._decay_rate(now)
        self._started_work_s += work_s
        self._started_count += 1.0

    def expected_wait_s(
        self,
        ticket: Ticket,
        now: float,
        team_shares: TeamShares,
        min_rate: float,
    ) -> float:
        """Returns the expected wait of a request, in seconds.

        It is the prefill time that ranks before the request, divided by the
        rate at which prefill time has recently been started. Resumptions do not
        count for other requests, as they may wait for a few targets only.

        Args:
            ticket (Ticket): The request.
            now (float): Monotonic time.
            team_shares (TeamShares): Recent usage of the teams.
            min_rate (float): Lower bound of the rate, in seconds of prefill
                started per second. The measured rate is too low while little
                work arrives.
        """
        ahead_s = sum(t.work_s for t in self._ahead(ticket, now, team_shares))
        self._decay_rate(now)
        rate = self._started_work_s * math.log(2) / self.RATE_HALF_LIFE_S
        return ahead_s / max(rate, min_rate)

    def count_ahead(
        self, ticket: Ticket, now: float, team_shares: TeamShares
    ) -> int:
        """Returns the number of requests that expected_wait_s() counts."""
        return len(self._ahead(ticket, now, team_shares))

    def _ahead(
        self, ticket: Ticket, now: float, team_shares: TeamShares
    ) -> list[Ticket]:
        rank = self.rank(ticket, now, team_shares)
        ranks = self._current_ranks(now, team_shares)
        ahead = (self._waiting[n] for n, other in ranks.items() if other < rank)
        return [
            other
            for other in ahead
            if ticket.is_resumption or not other.is_resumption
        ]

    def mean_started_work_s(self) -> float:
        """Returns the mean work of the requests started recently, or 0."""
        if self._started_count <= 0:
            return 0.0
        return self._started_work_s / self._started_count

    def retry_after_s(self, wait_s: float) -> float:
        """Returns the Retry-After of a refused request, in seconds.

        The higher the ratio of requests that do not start in time, the longer
        the overload is expected to last.

        Args:
            wait_s (float): Expected wait of the request.
        """
        cfg = self._settings
        missed_ratio = 1.0 - self._on_time_ratios.mean()
        wait_s = max(wait_s, missed_ratio * cfg.max_retry_s)
        return min(cfg.max_retry_s, max(cfg.min_retry_s, wait_s))

    def _decay_rate(self, now: float) -> None:
        passed_s = max(0.0, now - self._rate_updated_at)
        decay = 2.0 ** (-passed_s / self.RATE_HALF_LIFE_S)
        self._started_work_s *= decay
        self._started_count *= decay
        self._rate_updated_at = now
