"""Pauses, limits and shutdown notices in the response heads of targets.

A target that announces its shutdown is leaving: it gets no further requests.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import events
from chervilwall.http_messages import RateLimit, ResponseHead
from chervilwall.pauses import TargetPauses
from chervilwall.protocol import Metrics
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.reported_load import ReportedLoad
from chervilwall.target_limits import LimitChange, TargetLimits

from chervilwall_router.edge.cold_notices import ColdNotices

LOG = logging.getLogger(__name__)
# Targets whose malformed limits are remembered, so that each is logged once.
MAX_MALFORMED = 1024


class NoticeParts(NamedTuple):
    """Dependencies of TargetNotices.

    Args:
        registry (TargetRegistry): Records targets that are shutting down.
        pauses (TargetPauses): Records the pauses that targets ask for.
        limits (TargetLimits): Records the limits that targets name.
        cold (ColdNotices): Records which targets are cold.
        reported (ReportedLoad): Records the load that targets report.
        send_reports_now (Callable): Called when a target announces its
            shutdown or changes its limit, to send reports to peers at once.
        metrics (Metrics): Counts the changes of limits.
        clock (Callable): Returns the monotonic time in seconds.
    """

    registry: TargetRegistry
    pauses: TargetPauses
    limits: TargetLimits
    cold: ColdNotices
    reported: ReportedLoad
    send_reports_now: Callable[[], None]
    metrics: Metrics
    clock: Callable[[], float]


class TargetNotices:
    """Apply the pause requests, limits and shutdown notices of targets.

    Args:
        parts (NoticeParts): Dependencies.
    """

    def __init__(self, parts: NoticeParts) -> None:
        self._parts = parts
        self._malformed: dict[str, str] = {}
        self._malformed_loads: set[str] = set()

    def __repr__(self) -> str:
        return f"TargetNotices(pauses={self._parts.pauses!r})"

    def apply_head(
        self, target: RegisteredTarget, head: ResponseHead, sent_at: float
    ) -> None:
        """Applies what a response head says of its target.

        Args:
            target (RegisteredTarget): Target that sent the head.
            head (ResponseHead): Head of the answer.
            sent_at (float): Monotonic time at which the request was sent.
        """
        if head.pause_s > 0:
            self._record_pause(target, head.pause_s)
        if head.target_leaving:
            self._record_leaving(target)
        self._record_limit(target, head.rate_limit, sent_at)
        self._parts.cold.apply_head(target, head, sent_at)
        if head.load is not None:
            self._parts.reported.record(
                target.start, head.load, self._parts.clock()
            )
        elif head.malformed_load:
            self._log_malformed_load(target, head.malformed_load)

    def _record_limit(
        self, target: RegisteredTarget, stated: RateLimit, sent_at: float
    ) -> None:
        if stated.malformed:
            self._log_malformed(target, stated.malformed)
            return
        parts = self._parts
        change = parts.limits.record_answer(
            target.start, stated.per_s, sent_at, parts.clock()
        )
        if change is not None and change.is_material:
            log_limit_change(target.id, change, parts.metrics)
            parts.send_reports_now()

    def _log_malformed(self, target: RegisteredTarget, text: str) -> None:
        if self._malformed.get(target.id) == text:
            return
        if len(self._malformed) >= MAX_MALFORMED:
            self._malformed.clear()
        self._malformed[target.id] = text
        events.log_event(
            LOG, events.TARGET_LIMIT_REFUSED, target=target.id, value=text
        )

    def _log_malformed_load(self, target: RegisteredTarget, text: str) -> None:
        """Counts a load that cannot be read, and logs it once per target."""
        self._parts.metrics.count("target_load_refused")
        if target.id in self._malformed_loads:
            return
        if len(self._malformed_loads) >= MAX_MALFORMED:
            self._malformed_loads.clear()
        self._malformed_loads.add(target.id)
        events.log_event(
            LOG, events.TARGET_LOAD_REFUSED, target=target.id, value=text
        )

    def _record_pause(self, target: RegisteredTarget, pause_s: float) -> None:
        self._parts.pauses.record(target.id, pause_s, self._parts.clock())
        events.log_event(
            LOG, events.TARGET_PAUSED, target=target.id, pause_s=pause_s
        )

    def _record_leaving(self, target: RegisteredTarget) -> None:
        now = self._parts.clock()
        if self._parts.registry.record_leaving(target.start, now):
            events.log_event(LOG, events.TARGET_LEAVING, target=target.id)
            self._parts.send_reports_now()


def log_limit_change(
    target_id: str, change: LimitChange, metrics: Metrics, *, peer: str = ""
) -> None:
    """Logs and counts a change of a target's limit.

    Args:
        target_id (str): The target.
        change (LimitChange): The change.
        metrics (Metrics): Counts it.
        peer (str): Router that reported it, "" if the target told this one.
    """
    before, after = change
    named = before is not None and before.per_s is not None
    metrics.count(f"target_limit_{'ended' if after.per_s is None else 'named'}")
    events.log_event(
        LOG,
        events.TARGET_LIMIT_CHANGED,
        target=target_id,
        per_s=_shown_rate(after.per_s),
        before=_shown_rate(before.per_s if before else None),
        limited_s=round(after.at - before.since, 1) if before and named else 0,
        peer=peer,
    )


def _shown_rate(per_s: float | None) -> str:
    return "" if per_s is None else f"{per_s:g}"
