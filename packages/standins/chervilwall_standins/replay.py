"""Replays a trace into a policy and measures what each team got."""

import heapq
import itertools
import statistics
from collections import Counter, defaultdict
from typing import NamedTuple

from chervilwall import cell_messages
from chervilwall.config import MEASURE_WORK

from chervilwall_standins.policies import Policy
from chervilwall_standins.trace import Trace

SAMPLE_S = 0.25
TICK_S = 0.05
TIGHT_DEADLINE_S = 10.0
MAX_ATTEMPTS = 3

_ARRIVE, _BEGIN, _END, _NOTE, _LOSE, _RESTORE, _TICK, _SAMPLE = range(8)


ServiceTotals = dict[tuple[str, str], float]


class Outcome(NamedTuple):
    """What a replay measured.

    Args:
        policy (str): Name of the policy.
        gap (float): Largest gap in service per unit of share between two
            teams over any time in which both were backlogged.
        utilisation (float): Portion of slot time used while work waited.
        refused (int): Requests refused.
        wait_p50_s (float): Median wait of classes with a tight deadline.
        wait_p99_s (float): 99th percentile of the same.
        starved_s (float): Longest time that a backlogged team went without
            a start.
        bytes_per_request (float): Control bytes a request.
        messages_per_request (float): Control messages a request.
        most_running (int): Most attempts of one team at once.
    """

    policy: str
    gap: float
    utilisation: float
    refused: int
    wait_p50_s: float
    wait_p99_s: float
    starved_s: float
    bytes_per_request: float
    messages_per_request: float
    most_running: int


class _Run(NamedTuple):
    number: int
    target: str
    begun: float
    ends: float


class Replay:
    """Drive one policy with one trace.

    Args:
        trace (Trace): What is replayed.
        policy (Policy): What decides.
        count_progress (bool): Whether running requests count as service for
            their part, where work is measured. Defaults to True.
    """

    def __init__(
        self, trace: Trace, policy: Policy, *, count_progress: bool = True
    ) -> None:
        self._count_progress = (
            count_progress and trace.heading.measure == MEASURE_WORK
        )
        self._trace = trace
        self._policy = policy
        self._events: list[tuple[float, int, int, tuple]] = []
        self._order = itertools.count()
        self._running: dict[int, _Run] = {}
        self._down: set[str] = set()
        self._slots = {t.name: t.slots for t in trace.config().targets}
        self._served: ServiceTotals = defaultdict(float)
        self._attempts: Counter[int] = Counter()
        self._gaps = GapMeter(dict(trace.heading.teams))
        self._waits: list[float] = []
        self._refused = 0
        self._busy_s = 0.0
        self._room_s = 0.0
        self._last_start: dict[tuple[str, str], float] = {}
        self._starved_s = 0.0
        self._most_running = 0

    def run(self) -> Outcome:
        """Returns what was measured."""
        self._load()
        while self._events:
            now, kind, _, args = heapq.heappop(self._events)
            if now > self._trace.heading.until:
                break
            self._handle(now, kind, args)
            self._collect(now)
        waits = sorted(self._waits) or [0.0]
        count = len(self._trace.requests)
        policy = self._policy
        return Outcome(
            policy=policy.name,
            gap=self._gaps.largest(),
            utilisation=self._busy_s / self._room_s if self._room_s else 1.0,
            refused=self._refused,
            wait_p50_s=statistics.median(waits),
            wait_p99_s=waits[int(len(waits) * 0.99)],
            starved_s=self._starved_s,
            bytes_per_request=getattr(policy, "control_bytes", 0) / count,
            messages_per_request=getattr(policy, "control_messages", 0) / count,
            most_running=self._most_running,
        )

    def _load(self) -> None:
        head = self._trace.heading
        hop_s = self._policy.hop_s
        for index, req in enumerate(self._trace.requests):
            self._at(req.at + hop_s, _ARRIVE, index)
        for fault in head.faults:
            self._at(fault.at, _LOSE, fault.target)
            self._at(fault.back_at, _RESTORE, fault.target)
        for step in range(int(head.until / TICK_S)):
            self._at(step * TICK_S, _TICK)
        for step in range(int(head.until / SAMPLE_S)):
            self._at(step * SAMPLE_S, _SAMPLE)

    def _at(self, when: float, kind: int, *args: object) -> None:
        heapq.heappush(self._events, (when, kind, next(self._order), args))

    def _handle(self, now: float, kind: int, args: tuple) -> None:
        if kind == _ARRIVE:
            self._policy.arrive(args[0], now)
        elif kind == _BEGIN:
            self._begin(now, *args)
        elif kind == _END:
            self._end(now, *args)
        elif kind == _NOTE:
            self._note(now, *args)
        elif kind == _LOSE:
            self._lose(now, args[0])
        elif kind == _RESTORE:
            self._down.discard(args[0])
            self._policy.restore(args[0], now)
        elif kind == _TICK:
            self._policy.tick(now)
        else:
            self._sample(now)

    def _collect(self, now: float) -> None:
        hop_s = self._policy.hop_s
        for start in self._policy.starts():
            self._at(now + hop_s, _BEGIN, start.number, start.target)
        self._refused += len(self._policy.refusals())

    def _begin(self, now: float, index: int, target: str) -> None:
        req = self._trace.requests[index]
        self._last_start[req.service, req.team] = now
        tight = self._trace.deadline_s(req) <= TIGHT_DEADLINE_S
        if tight and not self._attempts[index]:
            self._waits.append(now - req.at)
        self._attempts[index] += 1
        if target in self._down:
            outcome = cell_messages.OUTCOME_NOT_SENT
            self._at(now + self._policy.hop_s, _NOTE, index, target, outcome)
            return
        ends = now + self._trace.duration_s(req)
        self._running[index] = _Run(index, target, now, ends)
        self._at(ends, _END, index, target, now)

    def _end(self, now: float, index: int, target: str, begun: float) -> None:
        run = self._running.get(index)
        if run is None or run.begun != begun:
            return
        del self._running[index]
        req = self._trace.requests[index]
        self._served[req.service, req.team] += self._trace.cost(req)
        outcome = cell_messages.OUTCOME_COMPLETED
        self._at(now + self._policy.hop_s, _NOTE, index, target, outcome)

    def _note(self, now: float, index: int, target: str, outcome: str) -> None:
        self._policy.end(index, target, outcome, now)
        if outcome != cell_messages.OUTCOME_COMPLETED:
            if self._attempts[index] < MAX_ATTEMPTS:
                self._policy.arrive(index, now)
            else:
                self._refused += 1

    def _lose(self, now: float, target: str) -> None:
        self._down.add(target)
        self._policy.lose(target, now)
        for run in list(self._running.values()):
            if run.target == target:
                del self._running[run.number]
                hop_s = self._policy.hop_s
                outcome = cell_messages.OUTCOME_BROKEN
                self._at(now + hop_s, _NOTE, run.number, target, outcome)

    def _sample(self, now: float) -> None:
        waiting = self._policy.waiting()
        running: Counter[tuple[str, str]] = Counter()
        by_service: Counter[str] = Counter()
        served = defaultdict(float, self._served)
        for run in self._running.values():
            req = self._trace.requests[run.number]
            running[req.service, req.team] += 1
            by_service[req.service] += 1
            if self._count_progress:
                part = (now - run.begun) / (run.ends - run.begun)
                served[req.service, req.team] += part * self._trace.cost(req)
        self._gaps.sample(waiting, served)
        self._most_running = max([self._most_running, *running.values()])
        for service in {service for service, _ in waiting}:
            self._busy_s += by_service[service] * SAMPLE_S
            self._room_s += self._room(service) * SAMPLE_S
        for key in waiting:
            since = self._last_start.setdefault(key, now)
            self._starved_s = max(self._starved_s, now - since)
        for key in [k for k in self._last_start if k not in waiting]:
            del self._last_start[key]

    def _room(self, service: str) -> int:
        return sum(
            slots
            for name, slots in self._slots.items()
            if name.partition("/")[0] == service and name not in self._down
        )


class GapMeter:
    """Measure the gap between teams while both are backlogged.

    Args:
        shares (dict): Share of each team.
    """

    def __init__(self, shares: dict[str, float]) -> None:
        self._shares = shares
        self._ranges: dict[tuple[str, str, str], tuple[float, float]] = {}
        self._largest = 0.0

    def sample(
        self,
        waiting: dict[tuple[str, str], int],
        served: ServiceTotals,
    ) -> None:
        """Takes the backlog and the service of each team at one time."""
        ranges: dict[tuple[str, str, str], tuple[float, float]] = {}
        for one, other in itertools.combinations(sorted(waiting), 2):
            if one[0] != other[0]:
                continue
            key = (one[0], one[1], other[1])
            gap = self._per_share(one, served) - self._per_share(other, served)
            low, high = self._ranges.get(key, (gap, gap))
            ranges[key] = (min(low, gap), max(high, gap))
            self._largest = max(self._largest, ranges[key][1] - ranges[key][0])
        self._ranges = ranges

    def largest(self) -> float:
        """Returns the largest gap seen."""
        return self._largest

    def _per_share(self, key: tuple[str, str], served: ServiceTotals) -> float:
        return served[key] / self._shares[key[1]]
