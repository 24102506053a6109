"""Counters and duration histograms, also sent to a statsd server."""

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
    """All metrics of a router, as served to operators.

    Args:
        counters (dict): Values by counter name.
        histograms (list): Summary of each histogram.
    """

    counters: dict[str, int]
    histograms: list[HistogramSummary]


class RouterMetrics:
    """Hold counters and histograms, and send them to a statsd server.

    Args:
        address (str | None): "IP:port" of the statsd server. Defaults to
            None, which sends nothing.
    """

    def __init__(self, address: str | None = None) -> None:
        self.counters: defaultdict[str, int] = defaultdict(int)
        self.histograms = HistogramTable()
        self._unsent_counts: defaultdict[str, int] = defaultdict(int)
        self._unsent_timings_ms: list[tuple[str, float]] = []
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
            self._unsent_counts[name] += value

    def record_duration(
        self, kind: str, team: str, cls: str, seconds: float
    ) -> None:
        """Records a duration in the histogram of a team and request class.

        Args:
            kind (str): What was measured, such as "wait" or "total".
            team (str): Team of the request.
            cls (str): Request class, or name of the route in an edge router.
            seconds (float): Duration in seconds.
        """
        self.histograms.observe(HistogramKey(kind, team, cls), seconds)
        if self._client is not None:
            name = ".".join(_to_statsd_name(part) for part in (kind, team, cls))
            self._unsent_timings_ms.append((name, seconds * 1000))

    def flush(self) -> None:
        """Sends the counts and durations recorded since the last call."""
        if self._client is None:
            return
        with self._client.pipeline() as pipe:
            for name, value in self._unsent_counts.items():
                pipe.incr(name, value)
            for name, millis in self._unsent_timings_ms:
                pipe.timing(name, millis)
        self._unsent_counts.clear()
        self._unsent_timings_ms.clear()

    def view(self) -> MetricsView:
        """Returns all metrics."""
        return MetricsView(dict(self.counters), self.histograms.summaries())


def render_text(view: MetricsView) -> str:
    """Returns metrics in the Prometheus text format."""
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


def _to_statsd_name(part: str) -> str:
    return "".join(c if c.isalnum() else "_" for c in part)
