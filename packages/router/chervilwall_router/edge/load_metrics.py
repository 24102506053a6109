"""Histograms of the load reports that placements use."""

import bisect
from collections import defaultdict
from collections.abc import Iterator, Sequence

from chervilwall.load_view import LoadView
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.reported_load import ReportedLoad

# Upper bounds of the buckets.
AGE_BOUNDS_MS = (5.0, 10.0, 25.0, 50.0, 100.0, 200.0, 400.0, 800.0, 1600.0)
SPREAD_BOUNDS = (1.1, 1.25, 1.5, 2.0, 3.0, 5.0, 10.0)
# Minimum time between two samples of the spread over a service's targets, as
# each visits all of them.
SPREAD_INTERVAL_S = 0.25


class _Histogram:
    """Count values in buckets."""

    def __init__(self, bounds: Sequence[float]) -> None:
        self._bounds = bounds
        self._counts = [0] * (len(bounds) + 1)
        self._sum = 0.0

    def observe(self, value: float) -> None:
        self._counts[bisect.bisect_left(self._bounds, value)] += 1
        self._sum += value

    def lines(self, name: str, label: str) -> Iterator[str]:
        total = 0
        for bound, count in zip(
            (*self._bounds, "+Inf"), self._counts, strict=True
        ):
            total += count
            le = bound if isinstance(bound, str) else f"{bound:g}"
            yield f'{name}_bucket{{{label},le="{le}"}} {total}'
        yield f"{name}_sum{{{label}}} {self._sum:.1f}"
        yield f"{name}_count{{{label}}} {total}"


class LoadMetrics:
    """Record the age of the load used and the spread over targets.

    Nothing is recorded while no target reports its load.

    Args:
        registry (TargetRegistry): Registered targets.
        load (LoadView): Load of the targets.
        reported (ReportedLoad): Reports of the targets.
    """

    def __init__(
        self, registry: TargetRegistry, load: LoadView, reported: ReportedLoad
    ) -> None:
        self._registry = registry
        self._load = load
        self._reported = reported
        self._ages: dict[str, _Histogram] = defaultdict(
            lambda: _Histogram(AGE_BOUNDS_MS)
        )
        self._spreads: dict[str, _Histogram] = defaultdict(
            lambda: _Histogram(SPREAD_BOUNDS)
        )
        self._next_spread_at: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"LoadMetrics(services={len(self._ages)})"

    def record_grant(self, target: RegisteredTarget, now: float) -> None:
        """Records a grant of this router, whose request counts as load already.

        Args:
            target (RegisteredTarget): Target that was granted.
            now (float): Monotonic time.
        """
        report = self._reported.of(target, now)
        if report is None:
            return
        age_s = max(0.0, now - report.at)
        self._ages[target.service].observe(age_s * 1000)
        if now >= self._next_spread_at.get(target.service, now):
            self._next_spread_at[target.service] = now + SPREAD_INTERVAL_S
            self._record_spread(target.service, now)

    def _record_spread(self, service: str, now: float) -> None:
        """Records the highest load of a target relative to the mean."""
        running = [
            self._load.total(target.id, now).running
            for target in self._registry.serving_targets(service)
        ]
        if any(running):
            mean = sum(running) / len(running)
            self._spreads[service].observe(max(running) / mean)

    def render(self) -> str:
        """Returns the histograms in the Prometheus text format, "" for none."""
        return "".join(f"{line}\n" for line in self._lines())

    def _lines(self) -> Iterator[str]:
        for name, histograms in (
            ("load_report_age_ms", self._ages),
            ("load_busiest_to_mean", self._spreads),
        ):
            for service, histogram in sorted(histograms.items()):
                yield from histogram.lines(name, f'service="{service}"')
