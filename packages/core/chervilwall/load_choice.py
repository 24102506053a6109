"""Use of load reports when a target is chosen.

A scheduler knows the requests of all routers and takes the best target. Routers
that choose by themselves know the load of others late, and all see the same
best target: each compares two random ones instead. Over 45 targets and 75
routers that know a load of 200 ms ago, 45 places instead of 129 are idle while
requests wait; see docs/design/stale-load.md.
"""

import random
from collections.abc import Callable, Mapping, Sequence
from typing import NamedTuple, TypeVar

from chervilwall.registry import RegisteredTarget
from chervilwall.reported_load import MIN_SURPLUS, CurrentLoad, ReportedLoad

# Part of a target's slots by which a report can lower what a scheduler uses, so
# that a target which always reports full keeps the rest.
SCHEDULER_SURPLUS_FRACTION = 0.5
# The same for a router that chooses by itself: the requests of all others are
# beyond what it knows.
ROUTER_SURPLUS_FRACTION = 1.0
# Prefill time of others' requests that a report can add to the cost of an
# engine: as much as may be queued there. Without this bound, an engine that
# always reported a long queue got 4 of 200 requests.
MAX_QUEUED_BY_OTHERS_S = 0.06
# Time for which the number of routers that choose is reused.
CHOOSER_COUNT_TTL_S = 0.2

T = TypeVar("T")


class ReportUse(NamedTuple):
    """What a placement needs for the use of load reports.

    Args:
        reported (ReportedLoad): Reports of the targets.
        chooser_count (Callable): Returns the number of routers that place
            requests of a service: 1 if this router is its scheduler.
        rng (random.Random): Source of the random choices.
    """

    reported: ReportedLoad
    chooser_count: Callable[[str], int]
    rng: random.Random


def no_reports() -> ReportUse:
    """Returns dependencies for targets that report no load."""
    return ReportUse(ReportedLoad(), lambda service: 1, random.Random())


class LoadChoice:
    """Apply load reports to the known load of targets.

    Args:
        use (ReportUse): Dependencies.
    """

    def __init__(self, use: ReportUse) -> None:
        self.reported = use.reported
        self._use = use
        self._counts: dict[str, int] = {}
        self._counted_at = 0.0

    def __repr__(self) -> str:
        return f"LoadChoice({self.reported!r})"

    def current(
        self, service: str, now: float
    ) -> tuple[Mapping[str, CurrentLoad], bool]:
        """Returns what targets report, and whether this router is a scheduler.

        Without reports the second value is True, as it makes no difference.

        Args:
            service (str): The service.
            now (float): Monotonic time.
        """
        reported = self.reported.current(now)
        return reported, not reported or self._is_scheduler(service, now)

    def _is_scheduler(self, service: str, now: float) -> bool:
        if not 0.0 <= now - self._counted_at < CHOOSER_COUNT_TTL_S:
            self._counts.clear()
            self._counted_at = now
        count = self._counts.get(service)
        if count is None:
            count = self._counts[service] = self._use.chooser_count(service)
        return count <= 1

    def better_of_two(
        self, candidates: Sequence[tuple[float, T]]
    ) -> tuple[float, T]:
        """Returns the cheaper of two random candidates.

        Args:
            candidates (Sequence): Costs and candidates, at least one.
        """
        if len(candidates) == 1:
            return candidates[0]
        first, second = self._use.rng.sample(candidates, 2)
        return second if second[0] < first[0] else first


def surplus_requests(
    report: CurrentLoad, target: RegisteredTarget, is_scheduler: bool
) -> float:
    """Returns the requests to count beyond the known ones, within the bound.

    Args:
        report (CurrentLoad): Report of the target.
        target (RegisteredTarget): The target.
        is_scheduler (bool): Whether the fleet's requests are all known.
    """
    fraction = (
        SCHEDULER_SURPLUS_FRACTION if is_scheduler else ROUTER_SURPLUS_FRACTION
    )
    surplus = min(report.surplus, fraction * target.slots)
    surplus *= report.surplus_weight
    return surplus if surplus >= MIN_SURPLUS else 0.0


def load_of_others(
    report: CurrentLoad,
    target: RegisteredTarget,
    prefill_s: float,
    is_scheduler: bool,
) -> tuple[int, float]:
    """Returns others' requests on an engine and their queued prefill time.

    The time is a part of the cost of the engine, but does not count for its
    limit: a report must not keep all requests away.

    Args:
        report (CurrentLoad): Report of the engine.
        target (RegisteredTarget): The engine.
        prefill_s (float): Prefill time assumed for each that waits there.
        is_scheduler (bool): Whether the fleet's requests are all known.
    """
    surplus = surplus_requests(report, target, is_scheduler)
    waiting = min(surplus, report.waiting)
    return int(surplus), min(MAX_QUEUED_BY_OTHERS_S, waiting * prefill_s)
