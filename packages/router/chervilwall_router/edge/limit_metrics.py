"""Metrics of the targets that name limits on requests."""

from collections.abc import Iterator

from chervilwall.request_pacer import RequestPacer
from chervilwall.target_limits import TargetLimits


def render_limits(limits: TargetLimits, pacer: RequestPacer, now: float) -> str:
    """Returns the limits in the Prometheus text format, "" for none.

    Args:
        limits (TargetLimits): Limits that targets name.
        pacer (RequestPacer): Counts what this router sent and held back.
        now (float): Monotonic time.
    """
    return "".join(f"{line}\n" for line in _lines(limits, pacer, now))


def _lines(
    limits: TargetLimits, pacer: RequestPacer, now: float
) -> Iterator[str]:
    for start, known in sorted(limits.in_force().items()):
        label = f'{{target="{start.target_id}",peer="{known.peer}"}}'
        yield f"target_limit_per_s{label} {known.per_s:g}"
        yield f"target_limit_named_s{label} {now - known.since:.1f}"
        yield f"target_limit_age_s{label} {now - known.at:.1f}"
        yield f"target_limit_sent{label} {pacer.sent[start]}"
    for service, requests in sorted(pacer.held_back.items()):
        yield f'held_back_by_limits{{service="{service}"}} {requests}'
