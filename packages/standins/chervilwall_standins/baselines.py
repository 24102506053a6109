"""Baseline scheduling policies for comparison with the cell schedulers."""

from collections import deque

from chervilwall.fair_queue import FairQueue, QueuedRequest

from chervilwall_standins.policies import DecisionBuffer, Start
from chervilwall_standins.trace import Trace, TraceRequest


class _SlotPolicy(DecisionBuffer):
    """Track free slots, queue lengths and deadlines for a baseline.

    All baselines know the free slots exactly and without delay.
    """

    name = ""
    hop_s = 0.0

    def __init__(self, trace: Trace) -> None:
        super().__init__()
        self._trace = trace
        self._free_slots = {t.name: t.slots for t in trace.config().targets}
        self._slots = dict(self._free_slots)
        self._failed_targets: set[str] = set()
        self._shares = dict(trace.heading.teams)
        self._queue_lengths: dict[tuple[str, str], int] = {}

    def enqueue(self, index: int, now: float) -> None:
        """Queues a request and fills the free slots of its service."""
        req = self._trace.requests[index]
        key = (req.service, req.team)
        self._queue_lengths[key] = self._queue_lengths.get(key, 0) + 1
        self._add_to_queue(index, req)
        self._start_queued(req.service, now)

    def finish_attempt(
        self, index: int, target: str, outcome: str, now: float
    ) -> None:
        """Frees the slot of an attempt and fills the service's free slots."""
        self._free_slots[target] += 1
        req = self._trace.requests[index]
        self._finish_request(index, req)
        self._start_queued(req.service, now)

    def fail_target(self, target: str, now: float) -> None:
        """Starts no more requests on a target.

        The replay ends the running ones.
        """
        self._failed_targets.add(target)

    def restore_target(self, target: str, now: float) -> None:
        """Starts requests on a target again."""
        self._failed_targets.discard(target)
        self._start_queued(target.partition("/")[0], now)

    def tick(self, now: float) -> None:
        """Fills free slots, refusing expired requests on the way."""
        for service in self._trace.heading.services:
            self._start_queued(service.name, now)

    def queue_lengths(self) -> dict[tuple[str, str], int]:
        """Returns the number of queued requests by service and team."""
        return {k: n for k, n in self._queue_lengths.items() if n}

    def _add_to_queue(self, index: int, req: TraceRequest) -> None:
        """Adds a request to the queue of the policy."""
        raise NotImplementedError

    def _take_next(self, service: str, now: float) -> int | None:
        """Removes and returns the next request of a service, if any.

        Expired requests before it are removed and refused.
        """
        raise NotImplementedError

    def _finish_request(self, index: int, req: TraceRequest) -> None:
        """Updates the state of the policy after a request has ended."""

    def _choose_target(self, service: str) -> str | None:
        names = [
            n
            for n, free in self._free_slots.items()
            if free > 0
            and n.partition("/")[0] == service
            and n not in self._failed_targets
        ]
        return max(names, key=lambda n: self._free_slots[n], default=None)

    def _start_queued(self, service: str, now: float) -> None:
        while (target := self._choose_target(service)) is not None:
            index = self._take_next(service, now)
            if index is None:
                return
            self._decrement_queue_length(index)
            self._free_slots[target] -= 1
            self._starts.append(Start(index, target))

    def _make_queued(
        self, index: int, req: TraceRequest, estimate: float
    ) -> QueuedRequest:
        return QueuedRequest(
            deadline=req.at + self._trace.deadline_s(req),
            seq=index,
            router="",
            req_id=index,
            team=req.team,
            cls=req.cls,
            estimate=estimate,
        )

    def _refuse_expired(self, index: int, now: float) -> bool:
        """Refuses a request past its deadline; returns whether it did."""
        req = self._trace.requests[index]
        if now <= req.at + self._trace.deadline_s(req):
            return False
        self._decrement_queue_length(index)
        self._refusals.append(index)
        return True

    def _decrement_queue_length(self, index: int) -> None:
        req = self._trace.requests[index]
        self._queue_lengths[req.service, req.team] -= 1


class FirstComePolicy(_SlotPolicy):
    """Start requests in order of arrival, from one queue per service."""

    name = "first come"

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._queues: dict[str, deque[int]] = {}

    def _add_to_queue(self, index: int, req: TraceRequest) -> None:
        self._queues.setdefault(req.service, deque()).append(index)

    def _take_next(self, service: str, now: float) -> int | None:
        queue = self._queues.get(service, deque())
        while queue:
            index = queue.popleft()
            if not self._refuse_expired(index, now):
                return index
        return None


class RoundRobinPolicy(_SlotPolicy):
    """Start requests of routers in turn, and of each router's teams in turn."""

    name = "round robin"

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._queues: dict[tuple[str, int], dict[str, deque[int]]] = {}
        self._last_router = 0

    def _add_to_queue(self, index: int, req: TraceRequest) -> None:
        teams = self._queues.setdefault((req.service, req.router), {})
        teams.setdefault(req.team, deque()).append(index)

    def _take_next(self, service: str, now: float) -> int | None:
        routers = self._trace.heading.routers
        for _ in range(routers):
            self._last_router = (self._last_router + 1) % routers
            index = self._take_next_of_router((service, self._last_router), now)
            if index is not None:
                return index
        return None

    def _take_next_of_router(
        self, key: tuple[str, int], now: float
    ) -> int | None:
        teams = self._queues.get(key, {})
        for team in list(teams):
            queue = teams.pop(team)
            while queue:
                index = queue.popleft()
                if not self._refuse_expired(index, now):
                    if queue:
                        teams[team] = queue
                    return index
        return None


class StaticSharesPolicy(_SlotPolicy):
    """Give each router an equal, fixed number of slots.

    The number is at least 1 and is rounded up, so that the routers' numbers may
    add up to more slots than there are. A request starts on a free slot only.

    Each router shares its slots among teams with a fair queue of its own, by
    the teams' shares and the estimated costs.
    """

    name = "static shares"

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._queues: dict[tuple[str, int], FairQueue] = {}
        self._running: dict[tuple[str, int], int] = {}

    def _slot_limit(self, service: str) -> float:
        slots = sum(
            n for t, n in self._slots.items() if t.partition("/")[0] == service
        )
        return max(1.0, slots / self._trace.heading.routers)

    def _add_to_queue(self, index: int, req: TraceRequest) -> None:
        key = (req.service, req.router)
        queue = self._queues.setdefault(key, FairQueue(self._shares))
        queue.push(self._make_queued(index, req, req.hint))

    def _take_next(self, service: str, now: float) -> int | None:
        for (name, router), queue in self._queues.items():
            key = (name, router)
            running = self._running.get(key, 0)
            if name != service or running >= self._slot_limit(name):
                continue
            # Every request may start: a target with a free slot was chosen.
            while (found := queue.pop(lambda _: "any")) is not None:
                index = found[0].req_id
                if not self._refuse_expired(index, now):
                    self._running[key] = running + 1
                    queue.start(found[0].team, found[0].estimate)
                    return index
        return None

    def _finish_request(self, index: int, req: TraceRequest) -> None:
        key = (req.service, req.router)
        self._running[key] -= 1
        self._queues[key].finish(req.team, self._trace.cost(req) - req.hint)


class OraclePolicy(_SlotPolicy):
    """Share all slots of a service with one fair queue.

    The queue knows the exact cost of each request beforehand, which no real
    scheduler does.
    """

    name = "oracle"

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._queues: dict[str, FairQueue] = {}

    def _add_to_queue(self, index: int, req: TraceRequest) -> None:
        queue = self._queues.setdefault(req.service, FairQueue(self._shares))
        queue.push(self._make_queued(index, req, self._trace.cost(req)))

    def _take_next(self, service: str, now: float) -> int | None:
        queue = self._queues.get(service)
        # Every request may start: a target with a free slot was chosen.
        while queue and (found := queue.pop(lambda _: "any")) is not None:
            item = found[0]
            if not self._refuse_expired(item.req_id, now):
                queue.start(item.team, item.estimate)
                return item.req_id
        return None

    def _finish_request(self, index: int, req: TraceRequest) -> None:
        self._queues[req.service].finish(req.team, 0.0)
