"""Counters and histograms, kept here and sent by statsd."""

from collections import defaultdict
from typing import NamedTuple

import statsd
from chervilwall.histogram import (
    HistogramKey,
    HistogramSummary,
    HistogramTable,
)

from chervilwall_router.settings import split_address

PREFIX = "chervilwall"


class MetricsView(NamedTuple):
    """All metrics of a router, as shown to operators."""

    counters: dict[str, int]
    histograms: list[HistogramSummary]


class RouterMetrics:
    """Count events and durations, and send them once a second.

    Args:
        address (str | None): "IP:port" of a statsd server. Defaults to none.
    """

    def __init__(self, address: str | None = None) -> None:
        self.counters: defaultdict[str, int] = defaultdict(int)
        self.histograms = HistogramTable()
        self._unsent: defaultdict[str, int] = defaultdict(int)
        self._timings: list[tuple[str, float]] = []
        self._client = None
        if address is not None:
            host, port = split_address(address)
            self._client = statsd.StatsClient(host, port, prefix=PREFIX)

    def __repr__(self) -> str:
        return f"RouterMetrics(counters={len(self.counters)})"

    def count(self, name: str, value: int = 1) -> None:
        """Adds to a counter."""
        self.counters[name] += value
        if self._client is not None:
            self._unsent[name] += value

    def observe(self, kind: str, team: str, cls: str, seconds: float) -> None:
        """Adds a duration to the histogram of a team's class."""
        self.histograms.observe(HistogramKey(kind, team, cls), seconds)
        if self._client is not None:
            name = ".".join(_clean(part) for part in (kind, team, cls))
            self._timings.append((name, seconds * 1000))

    def flush(self) -> None:
        """Sends what was gathered since the last call."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self._unsent.items():
                pipe.incr(name, value)
            for name, millis in self._timings:
                pipe.timing(name, millis)
        self._unsent.clear()
        self._timings.clear()

    def view(self) -> MetricsView:
        """Returns all metrics."""
        return MetricsView(dict(self.counters), self.histograms.summaries())


def render_text(view: MetricsView) -> str:
    """Returns metrics as lines that scrapers read."""
    lines = [f"{name} {value}" for name, value in sorted(view.counters.items())]
    for row in view.histograms:
        labels = f'team="{row.key.team}",class="{row.key.cls}"'
        for quantile, value in (
            ("0.5", row.p50_ms),
            ("0.95", row.p95_ms),
            ("0.99", row.p99_ms),
        ):
            name = f'{row.key.kind}_ms{{{labels},quantile="{quantile}"}}'
            lines.append(f"{name} {value:g}")
        lines.append(f"{row.key.kind}_ms_count{{{labels}}} {row.samples}")
    return "\n".join(lines) + "\n"


def _clean(part: str) -> str:
    return "".join(c if c.isalnum() else "_" for c in part)
