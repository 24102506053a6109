"""Tickets of the requests that wait in the queues of a dispatcher."""

import itertools

from chervilwall.placement import Placement
from chervilwall.registry import TargetRegistry
from chervilwall.stream_versions import StreamVersions
from chervilwall.wait_queue import Ticket, WaitSettings

from chervilwall_router.edge.grants import GrantRequest

# Time beyond its due time for which a resumed stream may wait at least.
MIN_RESUMED_LATE_S = 1.0


class TicketMaker:
    """Make tickets, which say how long and with which rank requests wait.

    Args:
        settings (WaitSettings): Limits on waiting times.
        registry (TargetRegistry): Registered targets.
        placement (Placement): Predicts the prefill times of requests.
        streams (StreamVersions): Tells which streams are exempt from the share
            of their team.
    """

    def __init__(
        self,
        settings: WaitSettings,
        registry: TargetRegistry,
        placement: Placement,
        streams: StreamVersions,
    ) -> None:
        self._settings = settings
        self._registry = registry
        self._placement = placement
        self._streams = streams
        self._numbers = itertools.count(1)

    def __repr__(self) -> str:
        return f"TicketMaker(settings={self._settings!r})"

    def make(self, request: GrantRequest, now: float) -> Ticket:
        """Returns the ticket of a request.

        Args:
            request (GrantRequest): The request.
            now (float): Monotonic time.
        """
        demand, stream = request.demand, request.stream
        targets = self._registry.serving_targets(demand.service)
        return Ticket(
            number=next(self._numbers),
            team=request.team,
            demand=demand,
            due_at=request.due_at,
            enqueued_at=request.arrived_at,
            give_up_at=self._give_up_at(request, now),
            work_s=self._placement.min_prefill_s(demand, targets, now),
            first_sent_at=request.due_at - request.objective_s,
            group=f"{request.route}#{request.size_class}",
            is_resumption=request.is_resumption,
            is_exempt=stream is not None
            and self._streams.is_exempt(demand.service, stream),
            start_delay_s=self._placement.start_delay_s(demand),
        )

    def _give_up_at(self, request: GrantRequest, now: float) -> float:
        """Returns the monotonic time until which a request may wait.

        It may wait beyond its due time for `late_objectives` times its latency
        objective, but at most for `late_s`, and in all for a fraction of the
        time until its deadline. A resumed stream may wait longer: its caller
        has a part of it, and callers wait for several objectives between two
        events. While too few late requests, which are those past their due
        time, are started, Ticket.late_wait_limit_at() replaces this limit.
        """
        settings = self._settings
        late_s = min(
            settings.late_objectives * request.objective_s, settings.late_s
        )
        if request.is_resumption:
            late_s = max(request.objective_s, MIN_RESUMED_LATE_S)
        max_wait_at = max(request.due_at, now) + late_s
        remaining_s = request.deadline_at - now
        return min(max_wait_at, now + settings.deadline_fraction * remaining_s)
