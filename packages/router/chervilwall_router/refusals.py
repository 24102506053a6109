"""Problem details of refusals, and a log for operators.

The log contains the requests that were refused or failed recently.
"""

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
MAX_RECENT_REFUSALS = 256

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
    """A refused or failed request, shown to operators.

    Args:
        request_id (str): Id that the caller received.
        team (str): Team that is charged.
        service (str): Service of the request.
        cls (str): Request class.
        reason (str): Code of the problem.
        executed (str): Whether a target may have run the request: "no" if
            certainly not, otherwise "unknown".
        at (float): Unix time of the refusal or failure, in seconds.
    """

    request_id: str
    team: str
    service: str
    cls: str
    reason: str
    executed: str
    at: float


class RefusalLog:
    """Keep the most recent refused and failed requests of this router."""

    def __init__(self) -> None:
        self._refusals: deque[Refusal] = deque(maxlen=MAX_RECENT_REFUSALS)

    def __iter__(self) -> Iterator[Refusal]:
        return iter(self._refusals)

    def __repr__(self) -> str:
        return f"RefusalLog(refusals={len(self._refusals)})"

    def record(
        self, classified: Classified, problem: Problem, request_id: str
    ) -> None:
        """Records a refused or failed request and logs it."""
        refusal = Refusal(
            request_id,
            classified.team.name,
            classified.cls.service,
            classified.cls.name,
            problem.reason,
            problem.executed,
            time.time(),
        )
        self._refusals.append(refusal)
        may_have_run = problem.executed == EXECUTED_UNKNOWN
        event = (
            events.REQUEST_UNKNOWN if may_have_run else events.REQUEST_REFUSED
        )
        events.log_event(
            LOG,
            event,
            step=problem.reason,
            peer=classified.team.name,
            id=request_id,
        )


def refusal_problem(
    reason: str, retry_after_s: float, may_have_run: bool
) -> Problem:
    """Returns the problem details of a refusal by a scheduler or this router.

    Args:
        reason (str): One of the scheduler's REASON constants.
        retry_after_s (float): Seconds after which the caller may retry.
        may_have_run (bool): Whether a target may have run the request.
    """
    status, detail = _REFUSAL_DETAILS[reason]
    executed = EXECUTED_UNKNOWN if may_have_run else EXECUTED_NO
    return Problem(status, reason, detail, executed, retry_after_s)
