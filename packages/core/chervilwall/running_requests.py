"""Requests that a router has in flight, by the scheduler that granted them.

A request is in flight, or runs, from its grant until the end of its attempt.
"""

from typing import NamedTuple

from chervilwall.edge_messages import GranterLoad, TargetLoadItem


class Granter(NamedTuple):
    """A scheduler: one incarnation of a router that schedules requests."""

    name: str
    incarnation: int


class RunningRequest(NamedTuple):
    """A request in flight.

    Args:
        granter (Granter): Scheduler that granted it.
        target_id (str): Target that runs it.
        work_ms (int): Predicted prefill time in milliseconds, that is, the time
            for which the target processes the prompt.
        kv_tokens (int): Tokens that it occupies in the target's KV cache.
        prefilling (bool): Whether the target still processes the prompt, that
            is, has not produced the first token.
    """

    granter: Granter
    target_id: str
    work_ms: int
    kv_tokens: int
    prefilling: bool = True


class RunningRequests:
    """Track the requests in flight at this router, for its reports to peers."""

    def __init__(self) -> None:
        self._requests: dict[int, RunningRequest] = {}

    def __repr__(self) -> str:
        return f"RunningRequests(requests={len(self._requests)})"

    def add(self, number: int, request: RunningRequest) -> None:
        """Adds a request under its number."""
        self._requests[number] = request

    def is_granted_by(self, number: int, granter: Granter) -> bool:
        """Returns whether a request runs on a grant of a granter."""
        request = self._requests.get(number)
        return request is not None and request.granter == granter

    def record_prefill_done(self, number: int) -> None:
        """Records that the target has processed the prompt of a request.

        Does nothing if the request has ended.
        """
        request = self._requests.get(number)
        if request is not None:
            self._requests[number] = request._replace(prefilling=False)

    def remove(self, number: int) -> None:
        """Removes a request that has ended."""
        self._requests.pop(number, None)

    def loads(self) -> tuple[GranterLoad, ...]:
        """Returns the load on targets for each granter."""
        by_granter: dict[Granter, dict[int, RunningRequest]] = {}
        for number, request in self._requests.items():
            by_granter.setdefault(request.granter, {})[number] = request
        return tuple(
            GranterLoad(*granter, tuple(granted), _sum_by_target(granted))
            for granter, granted in by_granter.items()
        )


def _sum_by_target(
    granted: dict[int, RunningRequest],
) -> tuple[TargetLoadItem, ...]:
    totals: dict[str, list[int]] = {}
    for request in granted.values():
        row = totals.setdefault(request.target_id, [0, 0, 0])
        row[0] += 1
        row[1] += request.work_ms if request.prefilling else 0
        row[2] += request.kv_tokens
    return tuple(TargetLoadItem(t, *row) for t, row in totals.items())
