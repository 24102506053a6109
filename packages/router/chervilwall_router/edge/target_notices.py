"""Pause requests and shutdown notices in the response heads of targets.

A target that announces its shutdown is leaving: it gets no further requests.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import events
from chervilwall.http_messages import ResponseHead
from chervilwall.pauses import TargetPauses
from chervilwall.registry import RegisteredTarget, TargetRegistry

LOG = logging.getLogger(__name__)


class NoticeParts(NamedTuple):
    """Dependencies of TargetNotices.

    Args:
        registry (TargetRegistry): Records targets that are shutting down.
        pauses (TargetPauses): Records the pauses that targets ask for.
        send_reports_now (Callable): Called when a target announces its
            shutdown, to send reports to peers at once.
        clock (Callable): Returns the monotonic time in seconds.
    """

    registry: TargetRegistry
    pauses: TargetPauses
    send_reports_now: Callable[[], None]
    clock: Callable[[], float]


class TargetNotices:
    """Apply the pause requests and shutdown notices of targets.

    Args:
        parts (NoticeParts): Dependencies.
    """

    def __init__(self, parts: NoticeParts) -> None:
        self._parts = parts

    def __repr__(self) -> str:
        return f"TargetNotices(pauses={self._parts.pauses!r})"

    def apply_head(self, target: RegisteredTarget, head: ResponseHead) -> None:
        """Applies the pause request or shutdown notice in a response head.

        Args:
            target (RegisteredTarget): Target that sent the head.
            head (ResponseHead): Head of the answer.
        """
        if head.pause_s > 0:
            self._record_pause(target, head.pause_s)
        if head.target_leaving:
            self._record_leaving(target)

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
