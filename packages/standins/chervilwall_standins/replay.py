"""Discrete-event simulation of a trace under a scheduling policy.

Measures fairness, utilisation, waits and control traffic in simulated time.
"""

import heapq
import itertools
import statistics
from collections import Counter, defaultdict
from typing import NamedTuple

from chervilwall import cell_messages
from chervilwall.config import MEASURE_WORK

from chervilwall_standins.policies import Policy
from chervilwall_standins.trace import Trace

SAMPLE_INTERVAL_S = 0.25
TICK_INTERVAL_S = 0.05
# Maximum deadline of the request classes whose waits are measured.
TIGHT_DEADLINE_S = 10.0
MAX_ATTEMPTS = 3

# Kinds of events; of events at the same time, the lower kind is handled first.
(
    _ARRIVAL,
    _START,
    _FINISH,
    _OUTCOME_REPORT,
    _FAILURE,
    _RECOVERY,
    _TICK,
    _SAMPLE,
) = range(8)

# Usage (work or worth, as the deployment measures it), by service and team.
ServiceByTeam = dict[tuple[str, str], float]


class ReplayOutcome(NamedTuple):
    """Measurements of a replay.

    Args:
        policy (str): Name of the policy.
        gap (float): Fairness gap: the largest difference between two teams in
            usage per unit of share, over any interval in which both were
            backlogged.
        utilisation (float): Fraction of the slot time of targets that have not
            failed that was used while requests were queued.
        refused (int): Number of refused requests.
        wait_p50_s (float): Median wait for the first start of requests with a
            tight deadline, in seconds.
        wait_p99_s (float): 99th percentile of the same waits.
        starved_s (float): Longest time in seconds for which a backlogged team,
            one with queued requests, had no request started.
        bytes_per_request (float): Control bytes sent per request.
        messages_per_request (float): Control messages sent per request.
        max_running (int): Maximum number of attempts of one team that ran at
            the same time in one service.
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
    max_running: int


class _RunningAttempt(NamedTuple):
    request_index: int
    target: str
    start_s: float
    end_s: float


class Replay:
    """Replay a trace under one scheduling policy.

    Args:
        trace (Trace): The trace.
        policy (Policy): The policy that decides which request starts where.
        count_progress (bool): Whether the finished part of a running request
            counts as usage. Applies only to deployments whose measure is
            "work". Defaults to True.
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
        self._sequence = itertools.count()
        self._running: dict[int, _RunningAttempt] = {}
        self._failed_targets: set[str] = set()
        self._slots = {t.name: t.slots for t in trace.config().targets}
        self._served: ServiceByTeam = defaultdict(float)
        self._attempts: Counter[int] = Counter()
        self._gaps = FairnessGapMeter(dict(trace.heading.teams))
        self._tight_waits_s: list[float] = []
        self._refused = 0
        self._busy_s = 0.0
        self._slot_s = 0.0
        self._last_start: dict[tuple[str, str], float] = {}
        self._starved_s = 0.0
        self._max_running = 0

    def run(self) -> ReplayOutcome:
        """Runs the simulation and returns its measurements."""
        self._schedule_trace()
        while self._events:
            now, kind, _, args = heapq.heappop(self._events)
            if now > self._trace.heading.until:
                break
            self._handle(now, kind, args)
            self._collect_decisions(now)
        waits = sorted(self._tight_waits_s) or [0.0]
        count = len(self._trace.requests)
        policy = self._policy
        return ReplayOutcome(
            policy=policy.name,
            gap=self._gaps.max_gap(),
            utilisation=self._busy_s / self._slot_s if self._slot_s else 1.0,
            refused=self._refused,
            wait_p50_s=statistics.median(waits),
            wait_p99_s=waits[int(len(waits) * 0.99)],
            starved_s=self._starved_s,
            bytes_per_request=getattr(policy, "control_bytes", 0) / count,
            messages_per_request=getattr(policy, "control_messages", 0) / count,
            max_running=self._max_running,
        )

    def _schedule_trace(self) -> None:
        head = self._trace.heading
        hop_s = self._policy.hop_s
        for index, req in enumerate(self._trace.requests):
            self._schedule(req.at + hop_s, _ARRIVAL, index)
        for fault in head.faults:
            self._schedule(fault.at, _FAILURE, fault.target)
            self._schedule(fault.back_at, _RECOVERY, fault.target)
        for step in range(int(head.until / TICK_INTERVAL_S)):
            self._schedule(step * TICK_INTERVAL_S, _TICK)
        for step in range(int(head.until / SAMPLE_INTERVAL_S)):
            self._schedule(step * SAMPLE_INTERVAL_S, _SAMPLE)

    def _schedule(self, when: float, kind: int, *args: object) -> None:
        heapq.heappush(self._events, (when, kind, next(self._sequence), args))

    def _handle(self, now: float, kind: int, args: tuple) -> None:
        if kind == _ARRIVAL:
            self._policy.enqueue(args[0], now)
        elif kind == _START:
            self._start_attempt(now, *args)
        elif kind == _FINISH:
            self._finish_attempt(now, *args)
        elif kind == _OUTCOME_REPORT:
            self._report_outcome(now, *args)
        elif kind == _FAILURE:
            self._fail_target(now, args[0])
        elif kind == _RECOVERY:
            self._failed_targets.discard(args[0])
            self._policy.restore_target(args[0], now)
        elif kind == _TICK:
            self._policy.tick(now)
        else:
            self._sample(now)

    def _collect_decisions(self, now: float) -> None:
        hop_s = self._policy.hop_s
        for start in self._policy.take_starts():
            self._schedule(
                now + hop_s, _START, start.request_index, start.target
            )
        self._refused += len(self._policy.take_refusals())

    def _start_attempt(self, now: float, index: int, target: str) -> None:
        req = self._trace.requests[index]
        self._last_start[req.service, req.team] = now
        has_tight_deadline = self._trace.deadline_s(req) <= TIGHT_DEADLINE_S
        if has_tight_deadline and not self._attempts[index]:
            self._tight_waits_s.append(now - req.at)
        self._attempts[index] += 1
        if target in self._failed_targets:
            outcome = cell_messages.OUTCOME_NOT_SENT
            self._schedule(
                now + self._policy.hop_s,
                _OUTCOME_REPORT,
                index,
                target,
                outcome,
            )
            return
        end_s = now + self._trace.duration_s(req)
        self._running[index] = _RunningAttempt(index, target, now, end_s)
        self._schedule(end_s, _FINISH, index, target, now)

    def _finish_attempt(
        self, now: float, index: int, target: str, start_s: float
    ) -> None:
        run = self._running.get(index)
        if run is None or run.start_s != start_s:
            return
        del self._running[index]
        req = self._trace.requests[index]
        self._served[req.service, req.team] += self._trace.cost(req)
        outcome = cell_messages.OUTCOME_COMPLETED
        self._schedule(
            now + self._policy.hop_s, _OUTCOME_REPORT, index, target, outcome
        )

    def _report_outcome(
        self, now: float, index: int, target: str, outcome: str
    ) -> None:
        self._policy.finish_attempt(index, target, outcome, now)
        if outcome != cell_messages.OUTCOME_COMPLETED:
            if self._attempts[index] < MAX_ATTEMPTS:
                self._policy.enqueue(index, now)
            else:
                self._refused += 1

    def _fail_target(self, now: float, target: str) -> None:
        self._failed_targets.add(target)
        self._policy.fail_target(target, now)
        for run in list(self._running.values()):
            if run.target == target:
                del self._running[run.request_index]
                hop_s = self._policy.hop_s
                outcome = cell_messages.OUTCOME_BROKEN
                self._schedule(
                    now + hop_s,
                    _OUTCOME_REPORT,
                    run.request_index,
                    target,
                    outcome,
                )

    def _sample(self, now: float) -> None:
        queue_lengths = self._policy.queue_lengths()
        running: Counter[tuple[str, str]] = Counter()
        running_by_service: Counter[str] = Counter()
        served = defaultdict(float, self._served)
        for run in self._running.values():
            req = self._trace.requests[run.request_index]
            running[req.service, req.team] += 1
            running_by_service[req.service] += 1
            if self._count_progress:
                done = (now - run.start_s) / (run.end_s - run.start_s)
                served[req.service, req.team] += done * self._trace.cost(req)
        self._gaps.sample(queue_lengths, served)
        self._max_running = max([self._max_running, *running.values()])
        for service in {service for service, _ in queue_lengths}:
            self._busy_s += running_by_service[service] * SAMPLE_INTERVAL_S
            self._slot_s += self._capacity(service) * SAMPLE_INTERVAL_S
        for key in queue_lengths:
            since = self._last_start.setdefault(key, now)
            self._starved_s = max(self._starved_s, now - since)
        for key in [k for k in self._last_start if k not in queue_lengths]:
            del self._last_start[key]

    def _capacity(self, service: str) -> int:
        return sum(
            slots
            for name, slots in self._slots.items()
            if name.partition("/")[0] == service
            and name not in self._failed_targets
        )


class FairnessGapMeter:
    """Measure the fairness gap between teams from periodic samples.

    For each pair of teams with requests queued at the same service, the meter
    keeps the range of the difference in their usage per unit of share. The
    range starts anew whenever one of the two has no queued request.

    Args:
        shares (dict): Shares by team.
    """

    def __init__(self, shares: dict[str, float]) -> None:
        self._shares = shares
        self._ranges: dict[tuple[str, str, str], tuple[float, float]] = {}
        self._max_gap = 0.0

    def sample(
        self,
        queue_lengths: dict[tuple[str, str], int],
        served: ServiceByTeam,
    ) -> None:
        """Adds a sample.

        Args:
            queue_lengths (dict): Number of queued requests by service and
                team, for backlogged teams only.
            served (dict): Usage so far by service and team.
        """
        ranges: dict[tuple[str, str, str], tuple[float, float]] = {}
        for one, other in itertools.combinations(sorted(queue_lengths), 2):
            if one[0] != other[0]:
                continue
            key = (one[0], one[1], other[1])
            gap = self._per_share(one, served) - self._per_share(other, served)
            low, high = self._ranges.get(key, (gap, gap))
            ranges[key] = (min(low, gap), max(high, gap))
            self._max_gap = max(self._max_gap, ranges[key][1] - ranges[key][0])
        self._ranges = ranges

    def max_gap(self) -> float:
        """Returns the largest gap of all pairs so far."""
        return self._max_gap

    def _per_share(self, key: tuple[str, str], served: ServiceByTeam) -> float:
        return served[key] / self._shares[key[1]]
