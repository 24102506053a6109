"""Health of a cell's targets: ejection, probes and load seen late."""

import statistics
from typing import NamedTuple

FAILURES_TO_EJECT = 3
EJECTION_BASE_S = 2.0
EJECTION_MAX_S = 60.0
MAX_EJECTED_FRACTION = 0.5
SLOW_FACTOR = 5.0
SLOW_MIN_SAMPLES = 5
EWMA_WEIGHT = 0.2
# Weight of one more request in a target's portion of failures.
RATIO_WEIGHT = 0.03
# A target fails too much beyond this portion, and this many times the others.
FAILED_RATIO = 0.3
FAILED_FACTOR = 3.0
RATIO_MIN_SAMPLES = 20


class LoadReport(NamedTuple):
    """What a target said of its load.

    Args:
        active (int): Requests that it ran.
        own (int): Requests that this scheduler had on it at that time.
    """

    active: int
    own: int


class TargetHealth:
    """Judge one target from the attempts that ran on it."""

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.ejected_until = 0.0
        self.first_byte_s = 0.0
        self.samples = 0
        self.failed_ratio = 0.0
        self.ratio_samples = 0

    def __repr__(self) -> str:
        return f"TargetHealth(failures={self.failures})"

    def succeed(self, first_byte_s: float, now: float) -> None:
        """Records an attempt that was answered whole.

        An attempt that ends while the target is ejected began before, so it
        does not bring the target back.
        """
        if not self.is_ejected(now):
            self.failures = 0
            self.ejections = 0
        self.samples += 1
        weight = max(EWMA_WEIGHT, 1.0 / self.samples)
        self.first_byte_s += weight * (first_byte_s - self.first_byte_s)

    def fail(self) -> None:
        """Records an attempt that failed."""
        self.failures += 1

    def note(self, failed: bool) -> None:
        """Counts an attempt in the portion of failures."""
        self.ratio_samples += 1
        change = float(failed) - self.failed_ratio
        self.failed_ratio += RATIO_WEIGHT * change

    def eject(self, now: float) -> None:
        """Takes the target out for a time that doubles with each ejection."""
        pause_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause_s

    def is_ejected(self, now: float) -> bool:
        """Tells whether the target takes no work now."""
        return now < self.ejected_until

    def is_proven(self) -> bool:
        """Tells whether the target answered since its last failure."""
        return self.failures == 0 and self.ejections == 0


class CellHealth:
    """Judge the targets of a cell, never ejecting more than half of them."""

    def __init__(self) -> None:
        self._targets: dict[str, TargetHealth] = {}

    def __repr__(self) -> str:
        return f"CellHealth(targets={len(self._targets)})"

    def set_targets(self, names: set[str]) -> None:
        """Keeps records of these targets only."""
        kept = {n: h for n, h in self._targets.items() if n in names}
        self._targets = {n: kept.get(n, TargetHealth()) for n in names}

    def of(self, name: str) -> TargetHealth:
        """Returns the record of a target."""
        return self._targets.setdefault(name, TargetHealth())

    def succeed(self, name: str, first_byte_s: float, now: float) -> None:
        """Records a whole answer and ejects the target if it is slow."""
        health = self.of(name)
        health.note(False)
        health.succeed(first_byte_s, now)
        if self._is_slow(health):
            self._try_eject(name, now)
            health.samples = 0

    def fail(self, name: str, now: float, *, refused: bool = False) -> None:
        """Records a failure.

        A refused connection shows that nothing listens, so it ejects at once
        and without regard to how many targets are ejected already.
        """
        health = self.of(name)
        health.note(True)
        health.fail()
        if refused:
            health.eject(now)
        elif health.failures >= FAILURES_TO_EJECT or health.ejections:
            self._try_eject(name, now)
        else:
            self._check_ratio(name, now)

    def note_error(self, name: str, now: float) -> None:
        """Records a target's own error, which some requests bring about.

        Only a target that answers so far more often than its neighbours is
        taken out.
        """
        self.of(name).note(True)
        self._check_ratio(name, now)

    def _check_ratio(self, name: str, now: float) -> None:
        health = self.of(name)
        others = [h.failed_ratio for n, h in self._targets.items() if n != name]
        usual = statistics.median(others) if others else 0.0
        limit = max(FAILED_RATIO, FAILED_FACTOR * usual)
        known = health.ratio_samples >= RATIO_MIN_SAMPLES
        if known and health.failed_ratio > limit and not health.is_ejected(now):
            self._try_eject(name, now)
            health.failed_ratio = limit / 2
            health.ratio_samples = 0

    def usable(self, name: str, now: float, in_flight: int) -> bool:
        """Tells whether a target may be given a request now.

        A target that failed gets one request at a time until one is answered.
        """
        health = self.of(name)
        if health.is_ejected(now):
            return False
        return health.is_proven() or in_flight == 0

    def ejected(self, now: float) -> list[str]:
        """Returns the targets that take no work now."""
        return [n for n, h in self._targets.items() if h.is_ejected(now)]

    def _is_slow(self, health: TargetHealth) -> bool:
        known = [
            h.first_byte_s
            for h in self._targets.values()
            if h.samples >= SLOW_MIN_SAMPLES
        ]
        if health.samples < SLOW_MIN_SAMPLES or len(known) < 3:
            return False
        return health.first_byte_s > SLOW_FACTOR * statistics.median(known)

    def _try_eject(self, name: str, now: float) -> None:
        ejected = set(self.ejected(now)) | {name}
        if len(ejected) <= len(self._targets) * MAX_EJECTED_FRACTION:
            self.of(name).eject(now)
