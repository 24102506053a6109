"""Metrics of the targets that are cold."""

from collections.abc import Iterator

from chervilwall.cold_targets import ColdTargets
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.request_pacer import RequestSpacing


def render_cold(
    cold: ColdTargets,
    registry: TargetRegistry,
    spacing: RequestSpacing | None,
    now: float,
) -> str:
    """Returns the cold targets in the Prometheus text format.

    Empty if the settings do not bound the requests to cold targets.

    Args:
        cold (ColdTargets): Which targets are cold.
        registry (TargetRegistry): Registered targets.
        spacing (RequestSpacing | None): Rates and requests of this router,
            None without the setting `cold`.
        now (float): Monotonic time.
    """
    if spacing is None:
        return ""
    return "".join(f"{line}\n" for line in _lines(cold, registry, spacing, now))


def _lines(
    cold: ColdTargets,
    registry: TargetRegistry,
    spacing: RequestSpacing,
    now: float,
) -> Iterator[str]:
    states = cold.cold_states(now)
    yield f"cold_targets {len(states)}"
    for state in states:
        target = registry.get(state.start.target_id)
        if target is None:
            continue
        label = f'target="{target.id}",service="{target.service}"'
        source = state.source.value
        yield (
            f'cold_target_remaining_s{{{label},source="{source}"}}'
            f" {state.until - now:.2f}"
        )
        yield from _use(target, f"{{{label}}}", spacing, now)


def _use(
    target: RegisteredTarget, label: str, spacing: RequestSpacing, now: float
) -> Iterator[str]:
    rate = spacing.source.rate_per_s(target, now) or 0.0
    used = spacing.recent_count(target, now) / rate if rate else 0.0
    yield f"cold_target_rate_per_s{label} {rate:.3f}"
    yield f"cold_target_use{label} {used:.3f}"
    yield f"cold_target_sent{label} {spacing.sent[target.id]}"
