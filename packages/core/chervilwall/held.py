"""Requests that a router has in flight, by who granted them."""

from typing import NamedTuple

from chervilwall.edge_message import GranterLoad, TargetLoadItem


class Granter(NamedTuple):
    """A router that schedules, in one incarnation."""

    name: str
    incarnation: int


class HeldRequest(NamedTuple):
    """A request in flight.

    Args:
        granter (Granter): Who granted it.
        target_id (str): Where it runs.
        work_ms (int): Time for which the target reads its prompt.
        kv_tokens (int): Tokens that it occupies.
        reading (bool): Whether its first token is awaited.
    """

    granter: Granter
    target_id: str
    work_ms: int
    kv_tokens: int
    reading: bool = True


class HeldRequests:
    """Hold what this router has in flight, to report it to peers."""

    def __init__(self) -> None:
        self._requests: dict[int, HeldRequest] = {}

    def __repr__(self) -> str:
        return f"HeldRequests(requests={len(self._requests)})"

    def add(self, number: int, request: HeldRequest) -> None:
        """Adds a request."""
        self._requests[number] = request

    def note_read(self, number: int) -> None:
        """Notes that a request's prompt was read."""
        request = self._requests.get(number)
        if request is not None:
            self._requests[number] = request._replace(reading=False)

    def remove(self, number: int) -> None:
        """Takes out a request that ended."""
        self._requests.pop(number, None)

    def loads(self) -> tuple[GranterLoad, ...]:
        """Returns the load by granter."""
        groups: dict[Granter, dict[int, HeldRequest]] = {}
        for number, request in self._requests.items():
            groups.setdefault(request.granter, {})[number] = request
        return tuple(
            GranterLoad(*granter, tuple(found), _sum(found))
            for granter, found in groups.items()
        )


def _sum(found: dict[int, HeldRequest]) -> tuple[TargetLoadItem, ...]:
    totals: dict[str, list[int]] = {}
    for request in found.values():
        row = totals.setdefault(request.target_id, [0, 0, 0])
        row[0] += 1
        row[1] += request.work_ms if request.reading else 0
        row[2] += request.kv_tokens
    return tuple(TargetLoadItem(t, *row) for t, row in totals.items())
