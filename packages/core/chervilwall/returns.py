"""Requests that ended unserved, to know them when they come again.

Answers the load pattern of callers that come back after a refusal. A caller's
time limit does not tell: limits differ from request to request by more than a
refused one has spent. The part of a prompt that belongs to one request does.
"""

from collections import OrderedDict

# Callers give up and forget a request within about this time.
KEEP_S = 20.0
# Some seconds of refusals at the planned rate of 1,900 requests a second.
MAX_REQUESTS = 8192


class UnservedRequests:
    """Remember when requests that ended unserved came first.

    Args:
        keep_s (float): Time for which they are remembered. Defaults to KEEP_S.
        most (int): Requests that are remembered. Defaults to MAX_REQUESTS.
    """

    def __init__(
        self, *, keep_s: float = KEEP_S, most: int = MAX_REQUESTS
    ) -> None:
        self._keep_s = keep_s
        self._most = most
        self._first: OrderedDict[tuple[str, str], float] = OrderedDict()

    def __repr__(self) -> str:
        return f"UnservedRequests(requests={len(self._first)})"

    def note(self, team: str, own_part: str, first_at: float) -> None:
        """Notes that a request ended unserved.

        Args:
            team (str): Team that pays.
            own_part (str): The part of its prompt that is its own, "" for
                none: then it is not known again.
            first_at (float): Monotonic time at which it came first.
        """
        if not own_part:
            return
        self._first[team, own_part] = first_at
        if len(self._first) > self._most:
            self._first.popitem(last=False)

    def take(self, team: str, own_part: str, now: float) -> float | None:
        """Returns when a request came first, None for a new one.

        Each note tells of one return only, so that a part which many requests
        share is soon seen to be no one's own.
        """
        known = self._first.pop((team, own_part), None)
        if known is None or now - known > self._keep_s:
            return None
        return known
