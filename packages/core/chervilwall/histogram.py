"""Histograms of durations per team and request class."""

from collections import OrderedDict
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

MIN_TRACKABLE_MS = 1
MAX_TRACKABLE_MS = 600_000
SIGNIFICANT_DIGITS = 1
MAX_HISTOGRAMS = 2048
PERCENTILES = (50.0, 95.0, 99.0)


class HistogramKey(NamedTuple):
    """Key of a histogram.

    Args:
        kind (str): Duration recorded: "wait", "first_byte" or "total".
        team (str): Team of the requests.
        cls (str): Class of the requests.
    """

    kind: str
    team: str
    cls: str


class HistogramSummary(NamedTuple):
    """Number of samples, percentiles and maximum of a histogram.

    Args:
        key (HistogramKey): Key of the histogram.
        samples (int): Number of durations recorded.
        p50_ms (float): Median in milliseconds.
        p95_ms (float): 95th percentile in milliseconds.
        p99_ms (float): 99th percentile in milliseconds.
        max_ms (float): Maximum in milliseconds.
    """

    key: HistogramKey
    samples: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class HistogramTable:
    """Record durations in a bounded number of histograms.

    Beyond the limit, the least recently updated histogram is removed.

    Args:
        limit (int): Maximum number of histograms. Defaults to
            `MAX_HISTOGRAMS`.
    """

    def __init__(self, *, limit: int = MAX_HISTOGRAMS) -> None:
        self._limit = limit
        self._histograms: OrderedDict[HistogramKey, HdrHistogram] = (
            OrderedDict()
        )

    def __repr__(self) -> str:
        return f"HistogramTable(histograms={len(self._histograms)})"

    def __len__(self) -> int:
        return len(self._histograms)

    def observe(self, key: HistogramKey, duration_s: float) -> None:
        """Records a duration, limited to the trackable range."""
        histogram = self._histograms.get(key)
        if histogram is None:
            histogram = HdrHistogram(
                MIN_TRACKABLE_MS,
                MAX_TRACKABLE_MS,
                SIGNIFICANT_DIGITS,
                word_size=4,
            )
            self._histograms[key] = histogram
        self._histograms.move_to_end(key)
        duration_ms = min(
            MAX_TRACKABLE_MS, max(MIN_TRACKABLE_MS, round(duration_s * 1000))
        )
        histogram.record_value(duration_ms)
        if len(self._histograms) > self._limit:
            self._histograms.popitem(last=False)

    def summaries(self) -> list[HistogramSummary]:
        """Returns a summary of each histogram, sorted by key."""
        return [_summarize(k, h) for k, h in sorted(self._histograms.items())]


def _summarize(key: HistogramKey, histogram: HdrHistogram) -> HistogramSummary:
    p50, p95, p99 = (histogram.get_value_at_percentile(p) for p in PERCENTILES)
    return HistogramSummary(
        key, histogram.total_count, p50, p95, p99, histogram.get_max_value()
    )
