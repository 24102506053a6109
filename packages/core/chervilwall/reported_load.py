"""Load that targets report in the heads of their responses.

A report is some milliseconds old when it is used, and several routers act on
it. It is therefore not used as the load itself: the requests that the fleet has
sent are known better. Only the load beyond these is added, within a bound, and
the momentary slowdown scales predicted times. Both lose weight with age.
"""

from collections.abc import Callable, Mapping
from typing import NamedTuple

from chervilwall.registry import RegisteredTarget, TargetStart
from chervilwall.untrusted import MAX_COUNT, Count

# Requests and slots beyond this are errors of a target.
MAX_REPORTED_REQUESTS = 100_000
# Slowdowns are clamped to this range. The prefill model learns what a target
# that always states a wrong one differs by. With a minimum of 0.25, one that
# always stated less looked four times too slow as soon as its report was old,
# and got no more requests.
MIN_SLOWDOWN = 0.8
MAX_SLOWDOWN = 8.0
# A slowdown is drawn anew every 600 ms: of those reported 300 ms ago half still
# hold, and none of those reported longer ago than this. An exponential decay
# with the same half-life made reports of 800 ms ago worse than none.
SLOWDOWN_MEMORY_S = 0.6
# Requests of others last for about half a second. A busy target is heard more
# often; one that always reports full is tried again when this has passed a few
# times.
SURPLUS_HALF_LIFE_S = 0.5
# Reports vary by the requests on their way, so the surplus is averaged over
# reports with this half-life. A busy target is heard 20 times a second.
AVERAGE_HALF_LIFE_S = 0.1
# The known requests have changed too much for a comparison with older reports.
MAX_SURPLUS_AGE_S = 0.2
# Older reports are not used, so a target that is avoided for what it reported
# is tried again.
MAX_AGE_S = 3.0
# A surplus below one request is noise.
MIN_SURPLUS = 1.0
# Older reports are not passed on to the scheduler.
MAX_PASSED_AGE_S = 1.0
# Time for which decayed values are reused: within it a slowdown changes by 2 %.
REFRESH_S = 0.01


class StatedLoad(NamedTuple):
    """Load that a target states in a response.

    Args:
        running (int): Requests that it runs.
        waiting (int): Requests that wait there for a slot.
        slots (int): Requests that it can run at a time.
        slowdown (float): Factor on the time that work takes there now, 1 where
            it is normal.
    """

    running: int
    waiting: int
    slots: int
    slowdown: float = 1.0


class PassedLoad(NamedTuple):
    """Load that a target stated, as routers pass it on to a scheduler.

    Args:
        running (int): Requests that the target ran.
        waiting (int): Requests that waited there.
        slots (int): Requests that it can run at a time.
        slowdown_percent (int): Time that work took there, 100 where it is
            normal.
        age_ms (int): Age of the statement in milliseconds.
    """

    running: Count
    waiting: Count
    slots: Count
    slowdown_percent: Count
    age_ms: Count

    @property
    def stated(self) -> StatedLoad:
        """The statement of the target."""
        return StatedLoad(
            self.running,
            self.waiting,
            self.slots,
            self.slowdown_percent / 100,
        )


class CurrentLoad(NamedTuple):
    """What the reports of a target say now.

    Args:
        start (TargetStart): Start of the target that reported.
        slowdown (float): Factor on predicted times, decayed by age.
        surplus (float): Requests beyond those that the fleet knew, 0 if there
            were none.
        surplus_weight (float): Part of the surplus that counts at this age.
        waiting (int): Requests that waited there for a slot.
        at (float): Monotonic time at which the report was valid.
    """

    start: TargetStart
    slowdown: float
    surplus: float
    surplus_weight: float
    waiting: int
    at: float

    def is_of(self, target: RegisteredTarget) -> bool:
        """Returns whether the reports are of the registered start."""
        start = self.start
        return start[1] == target.born_ms and start[2] == target.address


class _Report(NamedTuple):
    """The latest report of a target.

    Args:
        start (TargetStart): Start of the target that reported.
        stated (StatedLoad): The report, with the slowdown clamped.
        at (float): Monotonic time at which it was valid.
        surplus (float): Average of the reported requests less the known ones;
            negative while requests are on their way.
    """

    start: TargetStart
    stated: StatedLoad
    at: float
    surplus: float

    def current(self, now: float) -> CurrentLoad | None:
        """Returns what it says now, None if it is too old."""
        age_s = max(0.0, now - self.at)
        if age_s > MAX_AGE_S:
            return None
        weight = max(0.0, 1.0 - age_s / SLOWDOWN_MEMORY_S)
        return CurrentLoad(
            self.start,
            1.0 + weight * (self.stated.slowdown - 1.0),
            self.surplus if self.surplus >= MIN_SURPLUS else 0.0,
            0.5 ** (age_s / SURPLUS_HALF_LIFE_S),
            self.stated.waiting,
            self.at,
        )


class ReportedLoad:
    """Track the latest load report of each target.

    Args:
        known_running (Callable): Returns the number of requests that the fleet
            has on a target, as far as this router knows; called with the id of
            the target and the monotonic time.
    """

    def __init__(
        self, known_running: Callable[[str, float], int] | None = None
    ) -> None:
        self._known_running = known_running or (lambda target_id, now: 0)
        self._reports: dict[str, _Report] = {}
        # Targets whose latest report was heard by this router and has not been
        # passed on.
        self._unpassed: set[str] = set()
        self._current: dict[str, CurrentLoad] = {}
        self._current_at = 0.0

    def __repr__(self) -> str:
        return f"ReportedLoad(targets={len(self._reports)})"

    @property
    def is_empty(self) -> bool:
        """Whether no target has reported its load."""
        return not self._reports

    def record(
        self, start: TargetStart, stated: StatedLoad, now: float
    ) -> bool:
        """Records a report that this router heard; returns whether it is used.

        Args:
            start (TargetStart): Target that reported.
            stated (StatedLoad): The report.
            now (float): Monotonic time.
        """
        used = self._update(start, stated, now, now)
        if used:
            self._unpassed.add(start.target_id)
        return used

    def record_passed(
        self, start: TargetStart, passed: PassedLoad, now: float
    ) -> bool:
        """Records a report that a peer passed on; returns whether it is used.

        Args:
            start (TargetStart): Target that reported.
            passed (PassedLoad): The report.
            now (float): Monotonic time.
        """
        at = now - passed.age_ms / 1000
        return self._update(start, passed.stated, at, now)

    def take_unpassed(
        self, target: RegisteredTarget, now: float
    ) -> PassedLoad | None:
        """Returns a report of a target to pass on, None if there is no new one.

        Args:
            target (RegisteredTarget): The target.
            now (float): Monotonic time.
        """
        if target.id not in self._unpassed:
            return None
        self._unpassed.discard(target.id)
        report = self._reports.get(target.id)
        if report is None or report.start != target.start:
            return None
        age_s = max(0.0, now - report.at)
        if age_s > MAX_PASSED_AGE_S:
            return None
        stated = report.stated
        return PassedLoad(
            stated.running,
            stated.waiting,
            stated.slots,
            round(stated.slowdown * 100),
            min(MAX_COUNT, round(age_s * 1000)),
        )

    def current(self, now: float) -> Mapping[str, CurrentLoad]:
        """Returns what the targets report, by id; ended starts may be included.

        The values are reused for REFRESH_S, so that a placement costs no
        computation for each target.
        """
        if not self._reports:
            return self._current
        if not 0.0 <= now - self._current_at < REFRESH_S:
            self._refresh(now)
        return self._current

    def of(self, target: RegisteredTarget, now: float) -> CurrentLoad | None:
        """Returns what a target reports, None if it is unknown or too old."""
        found = self.current(now).get(target.id)
        return found if found is not None and found.is_of(target) else None

    def forget(self, target_id: str) -> None:
        """Removes the report of a target that ended."""
        self._reports.pop(target_id, None)
        self._current.pop(target_id, None)
        self._unpassed.discard(target_id)

    def _refresh(self, now: float) -> None:
        self._current_at = now
        self._current = {
            target_id: current
            for target_id, report in self._reports.items()
            if (current := report.current(now)) is not None
        }

    def _update(
        self, start: TargetStart, stated: StatedLoad, at: float, now: float
    ) -> bool:
        if not _is_possible(stated) or now - at > MAX_AGE_S:
            return False
        target_id = start.target_id
        known = self._reports.get(target_id)
        if known is not None and known.start == start:
            if at <= known.at:
                return False
        elif known is not None:
            if start.born_ms < known.start.born_ms:
                return False
            known = None
        slowdown = min(MAX_SLOWDOWN, max(MIN_SLOWDOWN, stated.slowdown))
        report = _Report(
            start,
            stated._replace(slowdown=slowdown),
            at,
            self._average_surplus(known, start, stated, at, now),
        )
        self._reports[target_id] = report
        current = report.current(now)
        if current is not None:
            self._current[target_id] = current
        return True

    def _average_surplus(
        self,
        known: _Report | None,
        start: TargetStart,
        stated: StatedLoad,
        at: float,
        now: float,
    ) -> float:
        before = known.surplus if known is not None else 0.0
        if now - at > MAX_SURPLUS_AGE_S:
            return before
        surplus = stated.running + stated.waiting
        surplus -= self._known_running(start.target_id, now)
        if known is None:
            return float(surplus)
        kept = 0.5 ** ((at - known.at) / AVERAGE_HALF_LIFE_S)
        return surplus + kept * (before - surplus)


def _is_possible(stated: StatedLoad) -> bool:
    counts = (stated.running, stated.waiting, stated.slots)
    return (
        all(0 <= count <= MAX_REPORTED_REQUESTS for count in counts)
        and stated.slowdown > 0
    )
