"""Bound on the descriptors that the connections of callers take."""

# Descriptors for files, listening sockets, the store and peers. Fewer are set
# aside where all are few.
RESERVED_DESCRIPTORS = 200
MAX_RESERVED_FRACTION = 0.25
# Idle connections to targets may take this fraction of the others.
IDLE_TARGET_FRACTION = 0.2
# Responses announce that their connection closes above this fraction of the
# bound. A caller that is told sends no request that crosses the close.
ANNOUNCE_FRACTION = 0.75
# Idle connections of callers are closed above the first fraction of the bound,
# until the second is met.
HIGH_FRACTION = 0.9
RELIEF_FRACTION = 0.85
# Requests begin above the bound, on connections that were idle, until they take
# this fraction of the descriptors that are set aside.
REQUEST_SLACK_FRACTION = 0.5


class DescriptorBudget:
    """Decide how many connections of callers have to be closed.

    A connection takes one descriptor, and its request another one, for the
    connection to a target.

    Args:
        max_descriptors (int): Descriptors that the process may open.

    Attributes:
        limit (int): Descriptors for connections of callers, their requests,
            and what other parts have registered.
        max_idle_targets (int): Limit on idle connections to targets.
    """

    def __init__(self, max_descriptors: int) -> None:
        reserved = min(
            RESERVED_DESCRIPTORS, int(max_descriptors * MAX_RESERVED_FRACTION)
        )
        free = max_descriptors - reserved
        self.max_idle_targets = int(free * IDLE_TARGET_FRACTION)
        self.limit = free - self.max_idle_targets
        self._request_slack = int(reserved * REQUEST_SLACK_FRACTION)
        self._registered = 0

    def __repr__(self) -> str:
        return f"DescriptorBudget(limit={self.limit})"

    def register(self, count: int) -> None:
        """Counts descriptors that another part has opened or closed.

        Args:
            count (int): Descriptors, such as two of a relayed connection;
                negative as they are closed.
        """
        self._registered += count

    def used(self, connections: int, requests: int) -> int:
        """Returns the descriptors in use.

        Args:
            connections (int): Connections of callers.
            requests (int): Requests of callers that are being served.
        """
        return connections + requests + self._registered

    def announces_closes(self, connections: int, requests: int) -> bool:
        """Returns whether responses are to end their connections."""
        used = self.used(connections, requests)
        return used > ANNOUNCE_FRACTION * self.limit

    def is_high(self, connections: int, requests: int) -> bool:
        """Returns whether idle connections are to be closed."""
        used = self.used(connections, requests)
        return used > HIGH_FRACTION * self.limit

    def is_full(self, connections: int, requests: int) -> bool:
        """Returns whether no further descriptor may be taken."""
        return self.used(connections, requests) >= self.limit

    def allows_request(self, connections: int, requests: int) -> bool:
        """Returns whether a request on an open connection may begin."""
        used = self.used(connections, requests)
        return used < self.limit + self._request_slack

    def surplus(self, connections: int, requests: int) -> int:
        """Returns how many connections to close once the use is high."""
        used = self.used(connections, requests)
        return max(0, used - int(RELIEF_FRACTION * self.limit))
