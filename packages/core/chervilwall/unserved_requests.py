"""Recognition of retries of requests that were not served.

Built for callers that retry after a refusal. A retry is recognized by the part
of the prompt that is unique to the request. It is not recognized by a shorter
remaining time limit, because the limits of different requests differ by more
than the time that a refused request has used up.
"""

from collections import OrderedDict

# Callers stop retrying a request within about this time.
RETENTION_S = 20.0
# Enough for about 4 s of refusals at the planned rate of 1,900 requests per
# second.
MAX_REQUESTS = 8192


class UnservedRequests:
    """Record the latest arrivals of requests that were not served.

    Args:
        retention_s (float): Seconds from the recorded arrival within which a
            retry is recognized. Defaults to RETENTION_S.
        max_requests (int): Maximum number of entries, beyond which the oldest
            are dropped. Defaults to MAX_REQUESTS.
    """

    def __init__(
        self,
        *,
        retention_s: float = RETENTION_S,
        max_requests: int = MAX_REQUESTS,
    ) -> None:
        self._retention_s = retention_s
        self._max_requests = max_requests
        self._arrivals: OrderedDict[tuple[str, str], float] = OrderedDict()

    def __repr__(self) -> str:
        return f"UnservedRequests(requests={len(self._arrivals)})"

    def record(self, team: str, own_part: str, first_at: float) -> None:
        """Records that a request was not served.

        Args:
            team (str): Team that the request is accounted to.
            own_part (str): Id of the prompt part that is unique to the request.
                Without one ("") its retries are not recognized.
            first_at (float): Monotonic time of this arrival, which replaces an
                earlier one.
        """
        if not own_part:
            return
        self._arrivals[team, own_part] = first_at
        if len(self._arrivals) > self._max_requests:
            self._arrivals.popitem(last=False)

    def pop_first_arrival(
        self, team: str, own_part: str, now: float
    ) -> float | None:
        """Returns the time of a request's latest unserved arrival, or None.

        It is None for a request that is new, has no own part, or last arrived
        longer ago than the retention time.

        The entry is removed, so that it identifies one retry only. Otherwise a
        part that many requests share would make all of them look like retries.

        Args:
            team (str): Team that the request is accounted to.
            own_part (str): Id of the prompt part that is unique to the request.
            now (float): Monotonic time.
        """
        last_at = self._arrivals.pop((team, own_part), None)
        if last_at is None or now - last_at > self._retention_s:
            return None
        return last_at
