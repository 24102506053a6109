"""Health of a cell's targets, and ejection of those that fail or are slow.

A cell is the group of targets that one scheduler assigns requests to.
"""

import statistics
from typing import NamedTuple

# Number of consecutive failures at which a target is ejected.
CONSECUTIVE_FAILURES_TO_EJECT = 3
# Duration of the first ejection; each further one lasts twice as long.
EJECTION_BASE_S = 2.0
EJECTION_MAX_S = 60.0
# Maximum fraction of a cell's targets that are ejected at once.
MAX_EJECTED_FRACTION = 0.5
# A target is slow if its average time to first byte exceeds this multiple of
# the median of the cell.
SLOW_FACTOR = 5.0
# Minimum number of answers for such an average to be used.
SLOW_MIN_SAMPLES = 5
# Weight of the latest answer in the moving average of the time to first byte;
# the first answers all weigh the same.
FIRST_BYTE_WEIGHT = 0.2
# Weight of the latest attempt in the moving average of a target's failures.
FAILURE_RATIO_WEIGHT = 0.03
# A target is ejected if its failure ratio exceeds both of these limits: the
# first absolute, the second a multiple of the median of the other targets.
MAX_FAILURE_RATIO = 0.3
MAX_FAILURE_RATIO_FACTOR = 3.0
# Minimum number of attempts for a target's failure ratio to be used.
FAILURE_RATIO_MIN_SAMPLES = 20


class LoadReport(NamedTuple):
    """Load that a target reported.

    Args:
        active (int): Requests that it was running, from all schedulers.
        own (int): Requests that this scheduler had in flight on it when the
            report arrived.
    """

    active: int
    own: int


class TargetHealth:
    """Track the outcomes of recent attempts on one target, and its ejection."""

    def __init__(self) -> None:
        # Consecutive failures.
        self.failures = 0
        # Ejections since the last success that was not during an ejection.
        self.ejections = 0
        self.ejected_until = 0.0
        self.first_byte_s = 0.0
        # Number of answers averaged in `first_byte_s`.
        self.samples = 0
        self.failure_ratio = 0.0
        self.failure_ratio_samples = 0

    def __repr__(self) -> str:
        return f"TargetHealth(failures={self.failures})"

    def record_success(self, first_byte_s: float, now: float) -> None:
        """Records an attempt that was answered completely.

        An attempt that ends during an ejection was sent before it, so it
        doesn't reset the failures.

        Args:
            first_byte_s (float): Seconds until the first byte of the answer.
            now (float): Monotonic time.
        """
        if not self.is_ejected(now):
            self.failures = 0
            self.ejections = 0
        self.samples += 1
        weight = max(FIRST_BYTE_WEIGHT, 1.0 / self.samples)
        self.first_byte_s += weight * (first_byte_s - self.first_byte_s)

    def record_failure(self) -> None:
        """Increments the count of consecutive failures."""
        self.failures += 1

    def record_outcome(self, failed: bool) -> None:
        """Updates the failure ratio with the outcome of an attempt."""
        self.failure_ratio_samples += 1
        change = float(failed) - self.failure_ratio
        self.failure_ratio += FAILURE_RATIO_WEIGHT * change

    def eject(self, now: float) -> None:
        """Ejects the target for a time that doubles with each ejection.

        The time is at most `EJECTION_MAX_S`.
        """
        pause_s = min(EJECTION_MAX_S, EJECTION_BASE_S * 2**self.ejections)
        self.ejections += 1
        self.ejected_until = now + pause_s

    def is_ejected(self, now: float) -> bool:
        """Returns whether the target is ejected now."""
        return now < self.ejected_until

    def is_proven(self) -> bool:
        """Returns whether the target has no failure since its last success.

        Ejections count as failures, and a target that was not tried yet has
        none. A success during an ejection is ignored, as the attempt was sent
        before the ejection.
        """
        return self.failures == 0 and self.ejections == 0


class CellHealth:
    """Track the health of a cell's targets and eject unhealthy ones.

    At most `MAX_EJECTED_FRACTION` of them are ejected at once, except for
    targets to which a request could not be sent, which are always ejected.
    """

    def __init__(self) -> None:
        self._targets: dict[str, TargetHealth] = {}

    def __repr__(self) -> str:
        return f"CellHealth(targets={len(self._targets)})"

    def set_targets(self, names: set[str]) -> None:
        """Sets the targets of the cell; the records of others are dropped."""
        kept = {n: h for n, h in self._targets.items() if n in names}
        self._targets = {n: kept.get(n, TargetHealth()) for n in names}

    def of(self, name: str) -> TargetHealth:
        """Returns the health record of a target, created on first use."""
        return self._targets.setdefault(name, TargetHealth())

    def record_success(
        self, name: str, first_byte_s: float, now: float
    ) -> None:
        """Records a complete answer, and ejects the target if it is slow.

        A target is slow if its average time to first byte exceeds
        `SLOW_FACTOR` times the median of the cell.

        Args:
            name (str): The target.
            first_byte_s (float): Seconds until the first byte of the answer.
            now (float): Monotonic time.
        """
        health = self.of(name)
        health.record_outcome(False)
        health.record_success(first_byte_s, now)
        if self._is_slow(health):
            self._try_eject(name, now)
            health.samples = 0

    def record_failure(
        self, name: str, now: float, *, refused: bool = False
    ) -> None:
        """Records a failed attempt, and ejects the target if it fails often.

        It does so after `CONSECUTIVE_FAILURES_TO_EJECT` failures in a row, or
        if its failure ratio exceeds both limits. A target that was ejected and
        has not succeeded since is ejected again at its next failure.

        A refused connection shows that nothing listens there, so the target is
        ejected at once, however many others are ejected already.

        Args:
            name (str): The target.
            now (float): Monotonic time.
            refused (bool): Whether the attempt was not sent, in most cases as
                the target refused the connection. Not related to
                `OUTCOME_REFUSED`.
        """
        health = self.of(name)
        health.record_outcome(True)
        health.record_failure()
        if refused:
            health.eject(now)
        elif (
            health.failures >= CONSECUTIVE_FAILURES_TO_EJECT or health.ejections
        ):
            self._try_eject(name, now)
        else:
            self._check_failure_ratio(name, now)

    def record_error(self, name: str, now: float) -> None:
        """Records an error response of a target.

        Some requests cause errors on any target, so a target is ejected only if
        its failure ratio is far above that of the others.
        """
        self.of(name).record_outcome(True)
        self._check_failure_ratio(name, now)

    def _check_failure_ratio(self, name: str, now: float) -> None:
        """Ejects a target if its failure ratio exceeds both limits."""
        health = self.of(name)
        others = [
            h.failure_ratio for n, h in self._targets.items() if n != name
        ]
        median_ratio = statistics.median(others) if others else 0.0
        limit = max(MAX_FAILURE_RATIO, MAX_FAILURE_RATIO_FACTOR * median_ratio)
        has_enough_samples = (
            health.failure_ratio_samples >= FAILURE_RATIO_MIN_SAMPLES
        )
        if (
            has_enough_samples
            and health.failure_ratio > limit
            and not health.is_ejected(now)
        ):
            self._try_eject(name, now)
            # After the ejection, the ratio starts again below the limit.
            health.failure_ratio = limit / 2
            health.failure_ratio_samples = 0

    def is_usable(self, name: str, now: float, in_flight: int) -> bool:
        """Returns whether a target may be assigned a request now.

        A target that has failed gets one request at a time until one succeeds.

        Args:
            name (str): The target.
            now (float): Monotonic time.
            in_flight (int): Requests that it is running.
        """
        health = self.of(name)
        if health.is_ejected(now):
            return False
        return health.is_proven() or in_flight == 0

    def ejected(self, now: float) -> list[str]:
        """Returns the targets that are ejected now."""
        return [n for n, h in self._targets.items() if h.is_ejected(now)]

    def _is_slow(self, health: TargetHealth) -> bool:
        """Returns whether a target is far slower than the cell's median.

        The median needs at least three targets with enough samples.
        """
        first_byte_averages = [
            h.first_byte_s
            for h in self._targets.values()
            if h.samples >= SLOW_MIN_SAMPLES
        ]
        if health.samples < SLOW_MIN_SAMPLES or len(first_byte_averages) < 3:
            return False
        return health.first_byte_s > SLOW_FACTOR * statistics.median(
            first_byte_averages
        )

    def _try_eject(self, name: str, now: float) -> None:
        """Ejects a target unless too many others are ejected already."""
        ejected = set(self.ejected(now)) | {name}
        if len(ejected) <= len(self._targets) * MAX_EJECTED_FRACTION:
            self.of(name).eject(now)
