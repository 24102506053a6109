"""Slots of a cell's targets: who runs where, and where the next one fits."""

from collections import OrderedDict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from chervilwall.config import TARGET_ACTIVE, Target
from chervilwall.fair_queue import Queued
from chervilwall.health import CellHealth, LoadReport

MAX_PREFIXES = 4096
LOAD_REPORT_TTL_S = 10.0


class Running(NamedTuple):
    """A granted attempt that has not been reported done.

    Args:
        router (str): The router that holds the request.
        req_id (int): Id that this router gave it.
        target (str): The target it was granted.
        team (str): Team that pays.
        cls (str): Request class.
        charged (float): Cost charged so far.
        fingerprint (bytes): Digest of the request.
        granted_at (float): Monotonic time of the grant.
        suspect (bool): Whether it was in flight when a target crashed.
        proven (bool): Whether the target had answered since its last failure.
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
    """A target as its scheduler sees it.

    Args:
        name (str): The target.
        state (str): "active" or "leaving".
        slots (int): Requests it may run at once.
        in_flight (int): Requests that this scheduler has on it.
        foreign (int): Requests of others that it reports.
        ejected (bool): Whether it takes no work for its failures.
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
    """Choose targets by room, health and prefix affinity."""

    def __init__(self) -> None:
        self.health = CellHealth()
        self._targets: dict[str, Target] = {}
        self._running: dict[tuple[str, int], Running] = {}
        self._in_flight: dict[str, int] = {}
        self._reports: dict[str, tuple[LoadReport, float]] = {}
        self._prefixes: OrderedDict[int, str] = OrderedDict()
        self._suspects: set[str] = set()

    def __repr__(self) -> str:
        return f"SlotTable(targets={len(self._targets)}, running={len(self)})"

    def __len__(self) -> int:
        return len(self._running)

    def __iter__(self) -> Iterator[Running]:
        return iter(list(self._running.values()))

    def set_targets(self, targets: Iterable[Target]) -> None:
        """Replaces the targets; what runs on a removed one keeps running."""
        self._targets = {t.name: t for t in targets}
        self.health.set_targets(set(self._targets))

    def get(self, router: str, req_id: int) -> Running | None:
        """Returns a running attempt, if known."""
        return self._running.get((router, req_id))

    def add(self, run: Running) -> None:
        """Takes a slot."""
        if run.suspect:
            self._suspects.add(run.target)
        self._running[run.router, run.req_id] = run
        self._in_flight[run.target] = self.in_flight(run.target) + 1

    def release(self, router: str, req_id: int) -> Running | None:
        """Gives a slot back; returns the attempt that held it."""
        run = self._running.pop((router, req_id), None)
        if run is None:
            return None
        self._in_flight[run.target] -= 1
        if not self._in_flight[run.target]:
            del self._in_flight[run.target]
        if run.suspect:
            self._suspects.discard(run.target)
        return run

    def update(self, run: Running) -> None:
        """Replaces the record of a running attempt."""
        self._running[run.router, run.req_id] = run

    def zone(self, target: str) -> str:
        """Returns the availability zone of a target."""
        found = self._targets.get(target)
        return found.zone if found else ""

    def in_flight(self, target: str) -> int:
        """Returns how many attempts this scheduler has on a target."""
        return self._in_flight.get(target, 0)

    def report(self, target: str, report: LoadReport, now: float) -> None:
        """Takes in a target's own account of its load."""
        self._reports[target] = (report, now)

    def foreign(self, target: str, now: float) -> int:
        """Returns how many requests of other schedulers a target runs."""
        report, at = self._reports.get(target, (LoadReport(0, 0), 0.0))
        if now - at > LOAD_REPORT_TTL_S:
            return 0
        return max(0, report.active - report.own)

    def capacity(self, now: float) -> int:
        """Returns the slots of targets that take work."""
        return sum(t.slots for t in self._takers(now))

    def room(self, target: Target, now: float) -> int:
        """Returns how many more requests a target may be given."""
        taken = self.in_flight(target.name) + self.foreign(target.name, now)
        return target.slots - taken

    def is_served(self) -> bool:
        """Tells whether any target is to take work, now or after a pause."""
        return any(t.state == TARGET_ACTIVE for t in self._targets.values())

    def total_room(self, now: float) -> int:
        """Returns how many more requests all targets may be given."""
        return sum(max(0, self.room(t, now)) for t in self._takers(now))

    def has_room(self, now: float) -> bool:
        """Tells whether any target may be given a request."""
        return any(self.room(t, now) > 0 for t in self._takers(now))

    def choose(self, item: Queued, now: float) -> str | None:
        """Returns the target for a request, or None where none has room."""
        names = [t.name for t in self._candidates(item, now)]
        if not names:
            return None
        cached = self._prefixes.get(item.prefix) if item.prefix else None
        if cached in names:
            return cached
        best = min(names, key=lambda n: self._load(self._targets[n], now))
        self._remember(item.prefix, best)
        return best

    def choose_for_suspect(
        self, item: Queued, zone: str, now: float
    ) -> str | None:
        """Returns the target for a suspect request.

        No target runs two suspects, so that a second crash names one request.
        Another availability zone than that of the first crash is preferred,
        so that the loss of a zone is not laid to a request.

        Args:
            item (Queued): The request.
            zone (str): Zone of the target that crashed first.
            now (float): Monotonic time.
        """
        free = [
            t
            for t in self._candidates(item, now)
            if t.name not in self._suspects
        ]

        def rank(target: Target) -> tuple[bool, bool, float]:
            same_zone = bool(zone) and target.zone == zone
            unproven = not self.health.of(target.name).is_proven()
            return unproven, same_zone, self._load(target, now)

        best = min(free, key=rank, default=None)
        return best.name if best else None

    def states(self, now: float) -> list[TargetView]:
        """Returns how each target stands."""
        return [
            TargetView(
                t.name,
                t.state,
                t.slots,
                self.in_flight(t.name),
                self.foreign(t.name, now),
                self.health.of(t.name).is_ejected(now),
                t.name in self._suspects,
            )
            for t in self._targets.values()
        ]

    def _candidates(self, item: Queued, now: float) -> list[Target]:
        return [
            t
            for t in self._takers(now)
            if t.name not in item.exclude and self.room(t, now) > 0
        ]

    def _takers(self, now: float) -> list[Target]:
        return [
            t
            for t in self._targets.values()
            if t.state == TARGET_ACTIVE
            and self.health.usable(t.name, now, self.in_flight(t.name))
        ]

    def _load(self, target: Target, now: float) -> float:
        return 1.0 - self.room(target, now) / target.slots

    def _remember(self, prefix: int, target: str) -> None:
        if not prefix:
            return
        self._prefixes[prefix] = target
        self._prefixes.move_to_end(prefix)
        if len(self._prefixes) > MAX_PREFIXES:
            self._prefixes.popitem(last=False)
