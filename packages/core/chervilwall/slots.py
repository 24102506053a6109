"""Slots of a cell's targets: running attempts and choice of targets."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from chervilwall.config import TARGET_ACTIVE, Target
from chervilwall.fair_queue import QueuedRequest
from chervilwall.health import CellHealth, LoadReport

MAX_PREFIXES = 4096
LOAD_REPORT_TTL_S = 10.0


class RunningAttempt(NamedTuple):
    """A granted attempt whose end has not been reported.

    Args:
        router (str): Router that holds the request.
        req_id (int): Request id, unique within the router.
        target (str): Target that the attempt was granted.
        team (str): Team that is charged.
        cls (str): Request class.
        charged (float): Cost charged so far.
        fingerprint (bytes): Digest of the request.
        granted_at (float): Monotonic time of the grant, in seconds.
        suspect (bool): Whether the request was suspected of crashing a target
            when it was granted.
        proven (bool): State of the target at the time of the grant: whether it
            had answered a request since its last failure.
    """

    router: str
    req_id: int
    target: str
    team: str
    cls: str
    charged: float
    fingerprint: bytes
    granted_at: float
    suspect: bool = False
    proven: bool = True


class TargetView(NamedTuple):
    """Snapshot of a target's state in its scheduler.

    Args:
        name (str): Name of the target.
        state (str): "active" or "leaving".
        slots (int): Maximum number of concurrent requests.
        in_flight (int): Requests that this scheduler has placed on it.
        foreign (int): Requests that other schedulers have placed on it, as far
            as its load report shows.
        ejected (bool): Whether it receives no requests because of failures.
        has_suspect (bool): Whether a suspect request runs on it.
    """

    name: str
    state: str
    slots: int
    in_flight: int
    foreign: int
    ejected: bool
    has_suspect: bool


class SlotTable:
    """Track running attempts and choose targets for requests.

    Targets are chosen by free slots, health and prefix affinity: a request
    goes to the target that last received its prompt prefix, if that has a free
    slot, and otherwise to the least utilized one.
    """

    def __init__(self) -> None:
        self.health = CellHealth()
        self._targets: dict[str, Target] = {}
        self._running: dict[tuple[str, int], RunningAttempt] = {}
        self._in_flight: dict[str, int] = {}
        self._load_reports: dict[str, tuple[LoadReport, float]] = {}
        # Target last chosen for each prompt prefix, which it may still have
        # cached.
        self._target_by_prefix: OrderedDict[int, str] = OrderedDict()
        self._targets_with_suspect: set[str] = set()

    def __repr__(self) -> str:
        return f"SlotTable(targets={len(self._targets)}, running={len(self)})"

    def __len__(self) -> int:
        return len(self._running)

    def __iter__(self) -> Iterator[RunningAttempt]:
        return iter(list(self._running.values()))

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replaces the targets; attempts on removed targets stay recorded."""
        self._targets = {t.name: t for t in targets}
        self.health.set_targets(set(self._targets))

    def get(self, router: str, req_id: int) -> RunningAttempt | None:
        """Returns a running attempt, or None if it is unknown."""
        return self._running.get((router, req_id))

    def add(self, attempt: RunningAttempt) -> None:
        """Records a running attempt, which occupies a slot of its target."""
        if attempt.suspect:
            self._targets_with_suspect.add(attempt.target)
        self._running[attempt.router, attempt.req_id] = attempt
        self._in_flight[attempt.target] = self.in_flight(attempt.target) + 1

    def release(self, router: str, req_id: int) -> RunningAttempt | None:
        """Frees an attempt's slot; returns the attempt, None if unknown."""
        attempt = self._running.pop((router, req_id), None)
        if attempt is None:
            return None
        self._in_flight[attempt.target] -= 1
        if not self._in_flight[attempt.target]:
            del self._in_flight[attempt.target]
        if attempt.suspect:
            self._targets_with_suspect.discard(attempt.target)
        return attempt

    def update(self, attempt: RunningAttempt) -> None:
        """Replaces the record of a running attempt with the same id."""
        self._running[attempt.router, attempt.req_id] = attempt

    def zone(self, target: str) -> str:
        """Returns a target's availability zone, "" for an unknown target."""
        known = self._targets.get(target)
        return known.zone if known else ""

    def in_flight(self, target: str) -> int:
        """Returns the number of this scheduler's attempts on a target."""
        return self._in_flight.get(target, 0)

    def record_load(self, target: str, report: LoadReport, now: float) -> None:
        """Records the load that a target reports."""
        self._load_reports[target] = (report, now)

    def foreign_requests(self, target: str, now: float) -> int:
        """Returns the number of requests from other schedulers on a target.

        Load reports expire after `LOAD_REPORT_TTL_S`; without one the number
        is 0.
        """
        report, received_at = self._load_reports.get(
            target, (LoadReport(0, 0), 0.0)
        )
        if now - received_at > LOAD_REPORT_TTL_S:
            return 0
        return max(0, report.active - report.own)

    def capacity(self, now: float) -> int:
        """Returns the number of slots, free or not, of available targets."""
        return sum(t.slots for t in self._available_targets(now))

    def free_slots(self, target: Target, now: float) -> int:
        """Returns a target's number of free slots.

        It is negative if the target runs more requests than it has slots.
        """
        occupied = self.in_flight(target.name) + self.foreign_requests(
            target.name, now
        )
        return target.slots - occupied

    def has_active_target(self) -> bool:
        """Returns whether any target is active, including ejected targets."""
        return any(t.state == TARGET_ACTIVE for t in self._targets.values())

    def total_free_slots(self, now: float) -> int:
        """Returns the number of free slots of all available targets."""
        return sum(
            max(0, self.free_slots(t, now))
            for t in self._available_targets(now)
        )

    def has_free_slots(self, now: float) -> bool:
        """Returns whether any available target has a free slot."""
        return any(
            self.free_slots(t, now) > 0 for t in self._available_targets(now)
        )

    def choose(self, item: QueuedRequest, now: float) -> str | None:
        """Returns the target for a request, or None if no slot is free."""
        candidates = [t.name for t in self._candidates(item, now)]
        if not candidates:
            return None
        preferred = (
            self._target_by_prefix.get(item.prefix) if item.prefix else None
        )
        if preferred in candidates:
            return preferred
        best = min(
            candidates, key=lambda n: self._utilization(self._targets[n], now)
        )
        self._remember_prefix(item.prefix, best)
        return best

    def choose_for_suspect(
        self, item: QueuedRequest, zone: str, now: float
    ) -> str | None:
        """Returns the target for a suspect request, or None if none fits.

        A target runs at most one suspect at a time, so that a second crash can
        be attributed to a single request. Targets that have answered since
        their last failure are preferred, then targets outside the availability
        zone of the last crash, so that the loss of a zone is not attributed to
        a request.

        Args:
            item (QueuedRequest): The request.
            zone (str): Availability zone of the last crash, "" if unknown.
            now (float): Monotonic time in seconds.
        """
        candidates = [
            t
            for t in self._candidates(item, now)
            if t.name not in self._targets_with_suspect
        ]

        def rank(target: Target) -> tuple[bool, bool, float]:
            same_zone = bool(zone) and target.zone == zone
            unproven = not self.health.of(target.name).is_proven()
            return unproven, same_zone, self._utilization(target, now)

        best = min(candidates, key=rank, default=None)
        return best.name if best else None

    def target_views(self, now: float) -> list[TargetView]:
        """Returns a snapshot of each target."""
        return [
            TargetView(
                t.name,
                t.state,
                t.slots,
                self.in_flight(t.name),
                self.foreign_requests(t.name, now),
                self.health.of(t.name).is_ejected(now),
                t.name in self._targets_with_suspect,
            )
            for t in self._targets.values()
        ]

    def _candidates(self, item: QueuedRequest, now: float) -> list[Target]:
        return [
            t
            for t in self._available_targets(now)
            if t.name not in item.exclude and self.free_slots(t, now) > 0
        ]

    def _available_targets(self, now: float) -> list[Target]:
        return [
            t
            for t in self._targets.values()
            if t.state == TARGET_ACTIVE
            and self.health.is_usable(t.name, now, self.in_flight(t.name))
        ]

    def _utilization(self, target: Target, now: float) -> float:
        return 1.0 - self.free_slots(target, now) / target.slots

    def _remember_prefix(self, prefix: int, target: str) -> None:
        if not prefix:
            return
        self._target_by_prefix[prefix] = target
        self._target_by_prefix.move_to_end(prefix)
        if len(self._target_by_prefix) > MAX_PREFIXES:
            self._target_by_prefix.popitem(last=False)
