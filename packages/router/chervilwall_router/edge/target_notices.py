"""What targets say of themselves in their answers."""

import logging
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import events
from chervilwall.http_messages import ResponseHead
from chervilwall.pauses import TargetPauses
from chervilwall.registry import RegisteredTarget, TargetRegistry

LOG = logging.getLogger(__name__)


class NoticeParts(NamedTuple):
    """What notices change.

    Args:
        registry (TargetRegistry): Records targets that leave.
        pauses (TargetPauses): Takes the pauses that targets ask for.
        tell_peers (Callable): Called when peers must hear of a leaving target.
        clock (Callable): Returns the monotonic time.
    """

    registry: TargetRegistry
    pauses: TargetPauses
    tell_peers: Callable[[], None]
    clock: Callable[[], float]


class TargetNotices:
    """Take in what targets say beside their answers.

    Args:
        parts (NoticeParts): What notices change.
    """

    def __init__(self, parts: NoticeParts) -> None:
        self._parts = parts

    def __repr__(self) -> str:
        return f"TargetNotices(pauses={self._parts.pauses!r})"

    def hear(self, target: RegisteredTarget, head: ResponseHead) -> None:
        """Takes in the head of an answer.

        Args:
            target (RegisteredTarget): The target that sent it.
            head (ResponseHead): The head.
        """
        if head.pause_s > 0:
            self._pause(target, head.pause_s)
        if head.target_leaving:
            self._mark(target)

    def _pause(self, target: RegisteredTarget, pause_s: float) -> None:
        self._parts.pauses.record(target.id, pause_s, self._parts.clock())
        events.log_event(
            LOG, events.TARGET_PAUSED, target=target.id, pause_s=pause_s
        )

    def _mark(self, target: RegisteredTarget) -> None:
        now = self._parts.clock()
        if self._parts.registry.record_leaving(target.start, now):
            events.log_event(LOG, events.TARGET_LEAVING, target=target.id)
            self._parts.tell_peers()
