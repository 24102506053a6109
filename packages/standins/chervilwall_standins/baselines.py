"""Policies that the product's decisions are compared with."""

from collections import deque

from chervilwall.fair_queue import FairQueue, Queued

from chervilwall_standins.policies import Decisions, Start
from chervilwall_standins.trace import Trace, TraceRequest


class _SlotPolicy(Decisions):
    """Base of the baselines: slots are seen exactly and at once."""

    name = ""
    hop_s = 0.0

    def __init__(self, trace: Trace) -> None:
        super().__init__()
        self._trace = trace
        self._free = {t.name: t.slots for t in trace.config().targets}
        self._slots = dict(self._free)
        self._down: set[str] = set()
        self._shares = dict(trace.heading.teams)
        self._waiting: dict[tuple[str, str], int] = {}

    def arrive(self, index: int, now: float) -> None:
        """Takes a request."""
        req = self._trace.requests[index]
        key = (req.service, req.team)
        self._waiting[key] = self._waiting.get(key, 0) + 1
        self._push(index, req)
        self._run(req.service, now)

    def end(self, index: int, target: str, outcome: str, now: float) -> None:
        """Takes the end of an attempt."""
        self._free[target] += 1
        req = self._trace.requests[index]
        self._settle(index, req)
        self._run(req.service, now)

    def lose(self, target: str, now: float) -> None:
        """Stops using a target."""
        self._down.add(target)

    def restore(self, target: str, now: float) -> None:
        """Uses a target again."""
        self._down.discard(target)
        self._run(target.partition("/")[0], now)

    def tick(self, now: float) -> None:
        """Drops requests whose deadline has passed."""
        for service in self._trace.heading.services:
            self._run(service.name, now)

    def waiting(self) -> dict[tuple[str, str], int]:
        """Returns waiting requests by service and team."""
        return {k: n for k, n in self._waiting.items() if n}

    def _push(self, index: int, req: TraceRequest) -> None:
        raise NotImplementedError

    def _pop(self, service: str, now: float) -> int | None:
        raise NotImplementedError

    def _settle(self, index: int, req: TraceRequest) -> None:
        pass

    def _target(self, service: str) -> str | None:
        names = [
            n
            for n, free in self._free.items()
            if free > 0
            and n.partition("/")[0] == service
            and n not in self._down
        ]
        return max(names, key=lambda n: self._free[n], default=None)

    def _run(self, service: str, now: float) -> None:
        while (target := self._target(service)) is not None:
            index = self._pop(service, now)
            if index is None:
                return
            self._forget(index)
            self._free[target] -= 1
            self._starts.append(Start(index, target))

    def _queued(self, index: int, req: TraceRequest, estimate: float) -> Queued:
        return Queued(
            deadline=req.at + self._trace.deadline_s(req),
            seq=index,
            router="",
            req_id=index,
            team=req.team,
            cls=req.cls,
            estimate=estimate,
        )

    def _late(self, index: int, now: float) -> bool:
        req = self._trace.requests[index]
        if now <= req.at + self._trace.deadline_s(req):
            return False
        self._forget(index)
        self._refusals.append(index)
        return True

    def _forget(self, index: int) -> None:
        req = self._trace.requests[index]
        self._waiting[req.service, req.team] -= 1


class FirstComePolicy(_SlotPolicy):
    """One queue for the whole fleet, in the order of arrival."""

    name = "first come"

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._queues: dict[str, deque[int]] = {}

    def _push(self, index: int, req: TraceRequest) -> None:
        self._queues.setdefault(req.service, deque()).append(index)

    def _pop(self, service: str, now: float) -> int | None:
        queue = self._queues.get(service, deque())
        while queue:
            index = queue.popleft()
            if not self._late(index, now):
                return index
        return None


class RoundRobinPolicy(_SlotPolicy):
    """Routers take turns; each takes its own teams in turn."""

    name = "round robin"

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._queues: dict[tuple[str, int], dict[str, deque[int]]] = {}
        self._turn = 0

    def _push(self, index: int, req: TraceRequest) -> None:
        teams = self._queues.setdefault((req.service, req.router), {})
        teams.setdefault(req.team, deque()).append(index)

    def _pop(self, service: str, now: float) -> int | None:
        routers = self._trace.heading.routers
        for _ in range(routers):
            self._turn = (self._turn + 1) % routers
            index = self._pop_router((service, self._turn), now)
            if index is not None:
                return index
        return None

    def _pop_router(self, key: tuple[str, int], now: float) -> int | None:
        teams = self._queues.get(key, {})
        for team in list(teams):
            queue = teams.pop(team)
            while queue:
                index = queue.popleft()
                if not self._late(index, now):
                    if queue:
                        teams[team] = queue
                    return index
        return None


class StaticSharesPolicy(_SlotPolicy):
    """Each router owns a fixed part of the slots and shares it by weight."""

    name = "static shares"

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._queues: dict[tuple[str, int], FairQueue] = {}
        self._busy: dict[tuple[str, int], int] = {}

    def _limit(self, service: str) -> float:
        slots = sum(
            n for t, n in self._slots.items() if t.partition("/")[0] == service
        )
        return max(1.0, slots / self._trace.heading.routers)

    def _push(self, index: int, req: TraceRequest) -> None:
        key = (req.service, req.router)
        queue = self._queues.setdefault(key, FairQueue(self._shares))
        queue.push(self._queued(index, req, req.hint))

    def _pop(self, service: str, now: float) -> int | None:
        for (name, router), queue in self._queues.items():
            key = (name, router)
            if name != service or self._busy.get(key, 0) >= self._limit(name):
                continue
            while (found := queue.pop(lambda _: "any")) is not None:
                index = found[0].req_id
                if not self._late(index, now):
                    self._busy[key] = self._busy.get(key, 0) + 1
                    queue.start(found[0].team, found[0].estimate)
                    return index
        return None

    def _settle(self, index: int, req: TraceRequest) -> None:
        key = (req.service, req.router)
        self._busy[key] -= 1
        self._queues[key].finish(req.team, self._trace.cost(req) - req.hint)


class OraclePolicy(_SlotPolicy):
    """One fair queue that knows every cost and every slot at once."""

    name = "oracle"

    def __init__(self, trace: Trace) -> None:
        super().__init__(trace)
        self._queues: dict[str, FairQueue] = {}

    def _push(self, index: int, req: TraceRequest) -> None:
        queue = self._queues.setdefault(req.service, FairQueue(self._shares))
        queue.push(self._queued(index, req, self._trace.cost(req)))

    def _pop(self, service: str, now: float) -> int | None:
        queue = self._queues.get(service)
        while queue and (found := queue.pop(lambda _: "any")) is not None:
            item = found[0]
            if not self._late(item.req_id, now):
                queue.start(item.team, item.estimate)
                return item.req_id
        return None

    def _settle(self, index: int, req: TraceRequest) -> None:
        self._queues[req.service].finish(req.team, 0.0)
