"""Decides when a target takes over the request of a silent one.

The load it answers: a sound target is silent for about a second, and the others
are full or have left, so that they refuse what they are sent. Whether a target
takes a request is known only by its response. The silent target therefore keeps
the request until then, as long as two targets may work on it.
"""

import enum
from typing import NamedTuple

from chervilwall.http_messages import ResponseHead

# Two targets work on a request for at most this long. A resumed request may not
# run at two targets for more than 0.4 s, delays of this router included.
MAX_OVERLAP_S = 0.25


class Takeover(enum.Enum):
    """What becomes of a request that was sent to a second target."""

    UNDECIDED = "undecided"
    # The second target serves it from now on.
    TAKEN = "taken"
    # The second target refused it or failed; the first one keeps it.
    FAILED = "failed"
    # The first target goes on with it.
    NOT_NEEDED = "not needed"


class TakeoverState(NamedTuple):
    """State of a request that a second target may take over.

    Args:
        is_needed (bool): Whether the first target is still silent.
        head (ResponseHead | None): Head of the second target's response, or
            None if none has arrived.
        has_ended (bool): Whether the exchange with the second target has ended.
        is_complete (bool): Whether it has ended with a whole response.
        elapsed_s (float): Seconds since the second target was sent the request.
    """

    is_needed: bool
    head: ResponseHead | None
    has_ended: bool
    is_complete: bool
    elapsed_s: float


def decide_takeover(state: TakeoverState) -> Takeover:
    """Decides which target keeps a request.

    A second target without a response for MAX_OVERLAP_S takes over: most
    refusals come at once, and it may have begun to work.

    Args:
        state (TakeoverState): What both targets have done so far.
    """
    if not state.is_needed:
        return Takeover.NOT_NEEDED
    if state.has_ended and not state.is_complete:
        return Takeover.FAILED
    head = state.head
    if head is None:
        is_due = state.elapsed_s >= MAX_OVERLAP_S
        return Takeover.TAKEN if is_due else Takeover.UNDECIDED
    may_serve = head.is_success and head.may_be_relayed
    if may_serve and not head.not_executed:
        return Takeover.TAKEN
    # The rest of a refusal shows whether it is whole.
    is_over = state.has_ended or state.elapsed_s >= MAX_OVERLAP_S
    return Takeover.FAILED if is_over else Takeover.UNDECIDED
