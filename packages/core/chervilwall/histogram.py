"""Histograms of durations for each team and request class."""

from collections import OrderedDict
from typing import NamedTuple

from hdrh.histogram import HdrHistogram

LOWEST_MS = 1
HIGHEST_MS = 600_000
SIGNIFICANT_DIGITS = 1
MAX_HISTOGRAMS = 2048
PERCENTILES = (50.0, 95.0, 99.0)


class HistogramKey(NamedTuple):
    """What a histogram counts.

    Args:
        kind (str): "wait", "first_byte" or "total".
        team (str): Team.
        cls (str): Request class.
    """

    kind: str
    team: str
    cls: str


class HistogramSummary(NamedTuple):
    """A histogram in short, in milliseconds."""

    key: HistogramKey
    samples: int
    p50_ms: float
    p95_ms: float
    p99_ms: float
    max_ms: float


class HistogramTable:
    """Hold a bounded number of histograms, dropping the least recent.

    Args:
        limit (int): Most histograms to hold. Defaults to MAX_HISTOGRAMS.
    """

    def __init__(self, *, limit: int = MAX_HISTOGRAMS) -> None:
        self._limit = limit
        self._table: OrderedDict[HistogramKey, HdrHistogram] = OrderedDict()

    def __repr__(self) -> str:
        return f"HistogramTable(histograms={len(self._table)})"

    def __len__(self) -> int:
        return len(self._table)

    def observe(self, key: HistogramKey, seconds: float) -> None:
        """Adds one duration."""
        hist = self._table.get(key)
        if hist is None:
            hist = HdrHistogram(
                LOWEST_MS, HIGHEST_MS, SIGNIFICANT_DIGITS, word_size=4
            )
            self._table[key] = hist
        self._table.move_to_end(key)
        millis = min(HIGHEST_MS, max(LOWEST_MS, round(seconds * 1000)))
        hist.record_value(millis)
        if len(self._table) > self._limit:
            self._table.popitem(last=False)

    def summaries(self) -> list[HistogramSummary]:
        """Returns all histograms in short."""
        return [_summarise(k, h) for k, h in sorted(self._table.items())]


def _summarise(key: HistogramKey, hist: HdrHistogram) -> HistogramSummary:
    p50, p95, p99 = (hist.get_value_at_percentile(p) for p in PERCENTILES)
    return HistogramSummary(
        key, hist.total_count, p50, p95, p99, hist.get_max_value()
    )
