"""Statistics of the requests of each route, learned from live traffic."""

import bisect
from collections import deque

from chervilwall.http_messages import InboundRequest
from chervilwall.prefix import SharedPrefixDetector
from chervilwall.routing import Route
from chervilwall.unserved_requests import UnservedRequests

# Weight of a new answer in the moving averages of a route.
SAMPLE_WEIGHT = 0.05
# Assumed for routes of which no stream has ended yet.
DEFAULT_DURATION_S = 1.0


class SizeClasses:
    """Classify the requests of a route by size.

    The largest tenth and the fifth below it are size classes of their own. They
    take so long that an order by benefit per time alone, as in
    `WaitQueue.rank`, would starve them.
    """

    # Number of recent requests that a size is compared with.
    SAMPLE_SIZE = 200
    # Quantiles at which size classes 1 and 2 begin.
    QUANTILES = (0.7, 0.9)

    def __init__(self) -> None:
        self._recent_sizes: deque[int] = deque()
        self._sorted_sizes: list[int] = []

    def __repr__(self) -> str:
        return f"SizeClasses(requests={len(self._recent_sizes)})"

    def observe(self, size: int) -> None:
        """Records the size of a request."""
        self._recent_sizes.append(size)
        bisect.insort(self._sorted_sizes, size)
        if len(self._recent_sizes) > self.SAMPLE_SIZE:
            oldest = self._recent_sizes.popleft()
            del self._sorted_sizes[
                bisect.bisect_left(self._sorted_sizes, oldest)
            ]

    def classify(self, size: int) -> int:
        """Returns the size class of a request of a size.

        It is 0 for most requests, 2 for the largest tenth and 1 for the fifth
        below it.
        """
        count = len(self._sorted_sizes)
        smaller = bisect.bisect_left(self._sorted_sizes, size)
        return sum(smaller >= bound * count for bound in self.QUANTILES)


class RouteStatistics:
    """Learn request sizes, answer lengths and shared prefixes by route."""

    def __init__(self) -> None:
        self._unserved = UnservedRequests()
        self._mean_events: dict[str, float] = {}
        self._mean_durations: dict[str, float] = {}
        self._prefix_detectors: dict[str, SharedPrefixDetector] = {}
        self._size_classes: dict[str, SizeClasses] = {}

    def __repr__(self) -> str:
        return f"RouteStatistics(routes={len(self._size_classes)})"

    def record_arrival(
        self, req: InboundRequest, route: Route, team: str
    ) -> None:
        """Records a request, unless it is the retry of an unserved one."""
        own_part = req.prompt_parts[-1].id if req.prompt_parts else ""
        if (
            self._unserved.pop_first_arrival(team, own_part, req.received_at)
            is None
        ):
            self._prefix_detector(route).observe(req.prompt_parts)
            sizes = self._size_classes.setdefault(route.name, SizeClasses())
            sizes.observe(req.prompt_tokens)

    def record_unserved(self, req: InboundRequest, team: str) -> None:
        """Records a request that was not served and may be retried.

        Its arrival is the one that a later retry is traced to, also if it is
        itself a retry.
        """
        own_part = req.prompt_parts[-1].id if req.prompt_parts else ""
        self._unserved.record(team, own_part, req.received_at)

    def record_stream(
        self, route: Route, events: int, duration_s: float
    ) -> None:
        """Records a stream that was completed.

        Args:
            route (Route): Route of the request.
            events (int): Number of events in the stream.
            duration_s (float): Seconds from the request to the end.
        """
        for means, value in (
            (self._mean_events, float(events)),
            (self._mean_durations, duration_s),
        ):
            known = means.get(route.name, value)
            means[route.name] = known + SAMPLE_WEIGHT * (value - known)

    def duration_s(self, route: Route) -> float:
        """Returns the mean duration of the streams of a route."""
        return self._mean_durations.get(route.name, DEFAULT_DURATION_S)

    def output_tokens(
        self, req: InboundRequest, route: Route, event_tokens: int
    ) -> int:
        """Returns the number of tokens that a request is expected to generate.

        The caller's length hint takes precedence over the mean of the route,
        and the request's own limit bounds both. Without a limit (0), the hint
        is returned as it is; without a hint either, the result is 0.

        Args:
            req (InboundRequest): The request.
            route (Route): Route of the request.
            event_tokens (int): Tokens per event of a stream.
        """
        if req.length_hint:
            return min(req.output_tokens or req.length_hint, req.length_hint)
        mean = self._mean_events.get(route.name)
        if mean is None:
            return req.output_tokens
        return min(req.output_tokens, round(mean * event_tokens))

    def size_class(self, req: InboundRequest, route: Route) -> int:
        """Returns the size class of a request among those of its route."""
        sizes = self._size_classes.get(route.name)
        return sizes.classify(req.prompt_tokens) if sizes else 0

    def session(self, req: InboundRequest, route: Route) -> str:
        """Returns the id of the last prompt part that others share, or ""."""
        shared = self._prefix_detector(route).shared(req.prompt_parts)
        return shared[-1].id if shared else ""

    def _prefix_detector(self, route: Route) -> SharedPrefixDetector:
        detector = self._prefix_detectors.get(route.name)
        if detector is None:
            detector = self._prefix_detectors[route.name] = (
                SharedPrefixDetector()
            )
        return detector
