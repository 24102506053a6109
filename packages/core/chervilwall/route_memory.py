"""What the requests of each route have in common, learned as they pass."""

import bisect
from collections import deque

from chervilwall.inbound import InboundRequest
from chervilwall.prefix import SessionFinder
from chervilwall.returns import UnservedRequests
from chervilwall.routing import Route

# Weight of one more answer in a route's mean length.
LENGTH_WEIGHT = 0.05
# Taken for a stream of a route of which none has ended yet.
DEFAULT_DURATION_S = 1.0


class SizeClasses:
    """Tell the largest requests of a route from the others.

    The largest tenth and the fifth below it take so long that an order by
    benefit for time alone would starve them.
    """

    # Requests by which sizes are compared.
    SAMPLE = 200
    # Portions of requests that are smaller than each class.
    BOUNDS = (0.7, 0.9)

    def __init__(self) -> None:
        self._recent: deque[int] = deque()
        self._sorted: list[int] = []

    def __repr__(self) -> str:
        return f"SizeClasses(requests={len(self._recent)})"

    def observe(self, size: int) -> None:
        """Takes in a request's size."""
        self._recent.append(size)
        bisect.insort(self._sorted, size)
        if len(self._recent) > self.SAMPLE:
            oldest = self._recent.popleft()
            del self._sorted[bisect.bisect_left(self._sorted, oldest)]

    def of(self, size: int) -> int:
        """Returns 0 for most requests, 2 for the largest tenth."""
        count = len(self._sorted)
        smaller = bisect.bisect_left(self._sorted, size)
        return sum(smaller >= bound * count for bound in self.BOUNDS)


class RouteMemory:
    """Learn sizes, lengths of answers and sessions by route."""

    def __init__(self) -> None:
        self._unserved = UnservedRequests()
        self._events: dict[str, float] = {}
        self._durations: dict[str, float] = {}
        self._sessions: dict[str, SessionFinder] = {}
        self._sizes: dict[str, SizeClasses] = {}

    def __repr__(self) -> str:
        return f"RouteMemory(routes={len(self._sizes)})"

    def note_arrival(
        self, req: InboundRequest, route: Route, team: str
    ) -> None:
        """Takes in a request, unless it was here before."""
        own_part = req.parts[-1].id if req.parts else ""
        if self._unserved.take(team, own_part, req.received_at) is None:
            self._finder(route).observe(req.parts)
            sizes = self._sizes.setdefault(route.name, SizeClasses())
            sizes.observe(req.prompt_tokens)

    def note_unserved(self, req: InboundRequest, team: str) -> None:
        """Takes in that a request was refused and may come again."""
        own_part = req.parts[-1].id if req.parts else ""
        self._unserved.note(team, own_part, req.received_at)

    def note_stream(self, route: Route, events: int, taken_s: float) -> None:
        """Takes in a whole stream.

        Args:
            route (Route): Its route.
            events (int): Number of its events.
            taken_s (float): Time from its request to its end.
        """
        for means, value in (
            (self._events, float(events)),
            (self._durations, taken_s),
        ):
            known = means.get(route.name, value)
            means[route.name] = known + LENGTH_WEIGHT * (value - known)

    def duration_s(self, route: Route) -> float:
        """Returns how long a stream of a route lasts in the mean."""
        return self._durations.get(route.name, DEFAULT_DURATION_S)

    def output_tokens(
        self, req: InboundRequest, route: Route, event_tokens: int
    ) -> int:
        """Returns how many tokens a request will probably generate.

        Args:
            req (InboundRequest): The request.
            route (Route): Its route.
            event_tokens (int): Tokens of one event.
        """
        if req.length_hint:
            return min(req.output_tokens or req.length_hint, req.length_hint)
        mean = self._events.get(route.name)
        if mean is None:
            return req.output_tokens
        return min(req.output_tokens, round(mean * event_tokens))

    def size_class(self, req: InboundRequest, route: Route) -> int:
        """Returns 0 for most requests of a route, 2 for the largest tenth."""
        sizes = self._sizes.get(route.name)
        return sizes.of(req.prompt_tokens) if sizes else 0

    def session(self, req: InboundRequest, route: Route) -> str:
        """Returns the last part of a prompt that others share, or ""."""
        shared = self._finder(route).shared(req.parts)
        return shared[-1].id if shared else ""

    def _finder(self, route: Route) -> SessionFinder:
        finder = self._sessions.get(route.name)
        if finder is None:
            finder = self._sessions[route.name] = SessionFinder()
        return finder
