"""Refusals of schedulers as problems, and the last ones for operators."""

import logging
import time
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

from chervilwall import events, scheduler
from chervilwall.classify import Classified

from chervilwall_router.problem import (
    EXECUTED_NO,
    EXECUTED_UNKNOWN,
    Problem,
)

LOG = logging.getLogger(__name__)
RECENT_REFUSALS = 256

_REFUSAL_DETAILS = {
    scheduler.REASON_DEADLINE: (
        503,
        "The answer could not start before the deadline of its class.",
    ),
    scheduler.REASON_QUEUE_FULL: (
        429,
        "The team has as many requests waiting as it may have.",
    ),
    scheduler.REASON_NO_TARGET: (
        503,
        "No target of the service takes work.",
    ),
    scheduler.REASON_CRASHED_TARGETS: (
        422,
        "The request crashed two targets and is refused.",
    ),
}


class Refusal(NamedTuple):
    """A refusal kept for operators who ask why."""

    request_id: str
    team: str
    service: str
    cls: str
    reason: str
    executed: str
    at: float


class RefusalLog:
    """Keep the last refusals of a router."""

    def __init__(self) -> None:
        self._refusals: deque[Refusal] = deque(maxlen=RECENT_REFUSALS)

    def __iter__(self) -> Iterator[Refusal]:
        return iter(self._refusals)

    def __repr__(self) -> str:
        return f"RefusalLog(refusals={len(self._refusals)})"

    def note(
        self, found: Classified, problem: Problem, request_id: str
    ) -> None:
        """Keeps and logs a refusal."""
        refusal = Refusal(
            request_id,
            found.team.name,
            found.cls.service,
            found.cls.name,
            problem.reason,
            problem.executed,
            time.time(),
        )
        self._refusals.append(refusal)
        unknown = problem.executed == EXECUTED_UNKNOWN
        event = events.REQUEST_UNKNOWN if unknown else events.REQUEST_REFUSED
        events.log_event(
            LOG, event, step=problem.reason, peer=found.team.name, id=request_id
        )


def refused_problem(reason: str, after_s: float, may_have_run: bool) -> Problem:
    """Returns what to tell the caller of a refusal.

    Args:
        reason (str): One of the scheduler's REASON constants.
        after_s (float): Seconds after which to come back.
        may_have_run (bool): Whether an attempt may have reached a target.
    """
    status, detail = _REFUSAL_DETAILS[reason]
    executed = EXECUTED_UNKNOWN if may_have_run else EXECUTED_NO
    return Problem(status, reason, detail, executed, after_s)
