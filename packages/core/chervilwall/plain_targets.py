"""Selection among plain targets, which are compared by their requests only."""

from collections.abc import Sequence
from operator import itemgetter
from typing import NamedTuple

from chervilwall.load_choice import LoadChoice, surplus_requests
from chervilwall.load_view import LoadView
from chervilwall.registry import RegisteredTarget
from chervilwall.request_pacer import RequestPacer


class PlainSettings(NamedTuple):
    """Limits and weights for the choice of a plain target.

    Args:
        zone (str): This router's availability zone.
        queue_fraction (float): Requests that may be queued at a target, as a
            fraction of its slots.
        cross_zone_penalty (float): Added to the cost of targets in other
            availability zones.
    """

    zone: str
    queue_fraction: float
    cross_zone_penalty: float


class PlainTargets:
    """Select plain targets by the fraction of their slots in use.

    Args:
        settings (PlainSettings): Limits and weights.
        load (LoadView): Load of the targets.
        pacer (RequestPacer): Spaces the requests to targets that name limits.
        reports (LoadChoice): Applies the load that targets report.
    """

    def __init__(
        self,
        settings: PlainSettings,
        load: LoadView,
        pacer: RequestPacer,
        reports: LoadChoice,
    ) -> None:
        self._settings = settings
        self._load = load
        self._pacer = pacer
        self._reports = reports

    def __repr__(self) -> str:
        return f"PlainTargets({self._settings!r})"

    def choose(
        self, targets: Sequence[RegisteredTarget], now: float
    ) -> RegisteredTarget | None:
        """Returns the best target, None if all are full.

        Args:
            targets (Sequence): Usable targets of one service, at least one.
            now (float): Monotonic time.
        """
        service = targets[0].service
        reported, is_scheduler = self._reports.current(service, now)
        pacer = None if self._pacer.is_idle else self._pacer
        has_reports = False
        candidates: list[tuple[float, RegisteredTarget]] = []
        for target in targets:
            running: float = self._load.total(target.id, now).running
            slowdown = 1.0
            report = reported.get(target.id) if reported else None
            if report is not None and report.is_of(target):
                has_reports = True
                if report.surplus:
                    running += surplus_requests(report, target, is_scheduler)
                if is_scheduler:
                    slowdown = report.slowdown
            if self._is_full(target, running):
                continue
            if pacer is not None and pacer.wait_s(target, now) > 0:
                continue
            cost = (running + 1) / max(1, target.slots) * slowdown
            if target.zone != self._settings.zone:
                cost += self._settings.cross_zone_penalty
            candidates.append((cost, target))
        if not candidates:
            return None
        if has_reports and not is_scheduler:
            return self._reports.better_of_two(candidates)[1]
        return min(candidates, key=itemgetter(0))[1]

    def _is_full(self, target: RegisteredTarget, running: float) -> bool:
        max_running = target.slots * (1 + self._settings.queue_fraction)
        return bool(target.slots) and running >= max_running
