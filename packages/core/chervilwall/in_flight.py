"""Attempts in flight on each target, to find those affected by a crash."""

from typing import NamedTuple

from chervilwall.fingerprints import Fingerprints
from chervilwall.registry import TargetStart

# A crash may be detected this long after it broke off an attempt, when the
# target has restarted or its registration has lapsed. Unanswered attempts are
# kept until then.
UNANSWERED_RETENTION_S = 10.0


class InFlightAttempt(NamedTuple):
    """An attempt to run a request on a target.

    Args:
        fingerprints (tuple): Fingerprints of the request and of the parts of
            its prompt.
        begun_at (float): Monotonic time at which it was sent.
        ended_at (float | None): Monotonic time at which it ended without a
            complete answer, None while it runs.
    """

    fingerprints: Fingerprints
    begun_at: float
    ended_at: float | None = None


class InFlightAttempts:
    """Track the attempts of this router that a crash of a target may affect.

    These are the running attempts, and those that ended without a complete
    answer at most `UNANSWERED_RETENTION_S` ago.
    """

    def __init__(self) -> None:
        self._by_start: dict[TargetStart, dict[int, InFlightAttempt]] = {}
        # Target starts of unanswered attempts, by request and attempt number.
        self._unanswered_by_request: dict[bytes, dict[int, TargetStart]] = {}
        # Numbers of unanswered attempts, by target start.
        self._unanswered_by_start: dict[TargetStart, set[int]] = {}
        self._last_number = 0

    def __repr__(self) -> str:
        return f"InFlightAttempts(targets={len(self._by_start)})"

    def begin(
        self, start: TargetStart, fingerprints: Fingerprints, now: float
    ) -> int:
        """Records an attempt that is sent to a target.

        Args:
            start (TargetStart): The start of the target.
            fingerprints (Fingerprints): Fingerprints of the request and of the
                parts of its prompt.
            now (float): Monotonic time.

        Returns:
            The number that identifies the attempt.
        """
        self._last_number += 1
        attempts = self._by_start.setdefault(start, {})
        attempts[self._last_number] = InFlightAttempt(fingerprints, now)
        return self._last_number

    def end(
        self, start: TargetStart, number: int, now: float, *, answered: bool
    ) -> None:
        """Records the end of an attempt.

        An unanswered attempt is kept for `UNANSWERED_RETENTION_S`, as a crash
        of the target may have ended it.

        Args:
            start (TargetStart): The start of the target that it ran on.
            number (int): The number that `begin` returned.
            now (float): Monotonic time.
            answered (bool): Whether the target answered it completely, or
                reported that it did not run it.
        """
        attempt = self._by_start[start][number]
        if answered:
            self._remove(start, number)
            return
        self._by_start[start][number] = attempt._replace(ended_at=now)
        self._unanswered_by_request.setdefault(attempt.fingerprints[0], {})[
            number
        ] = start
        self._unanswered_by_start.setdefault(start, set()).add(number)

    def remove_answered(self, fingerprint: bytes) -> None:
        """Removes the unanswered attempts of a request that was answered."""
        for number, start in list(
            self._unanswered_by_request.get(fingerprint, {}).items()
        ):
            self._remove(start, number)

    def record_alive(self, start: TargetStart, at: float) -> None:
        """Removes unanswered attempts that a crash did not end.

        A target that answers a request sent at `at` was alive then, so no
        crash ended the attempts that ended earlier.

        Args:
            start (TargetStart): The start of the target that answered.
            at (float): Monotonic time at which the request was sent.
        """
        for number in list(self._unanswered_by_start.get(start, ())):
            ended_at = self._by_start[start][number].ended_at
            if ended_at is not None and ended_at < at:
                self._remove(start, number)

    def on_target(self, start: TargetStart) -> list[InFlightAttempt]:
        """Returns the attempts that a crash of a target may have ended.

        They include attempts that already ended without a complete answer.
        """
        return list(self._by_start.get(start, {}).values())

    def sweep(self, now: float) -> None:
        """Removes unanswered attempts older than `UNANSWERED_RETENTION_S`."""
        for start, numbers in list(self._unanswered_by_start.items()):
            for number in list(numbers):
                ended_at = self._by_start[start][number].ended_at
                if (
                    ended_at is not None
                    and now - ended_at > UNANSWERED_RETENTION_S
                ):
                    self._remove(start, number)

    def _remove(self, start: TargetStart, number: int) -> None:
        attempts = self._by_start[start]
        attempt = attempts.pop(number)
        if not attempts:
            del self._by_start[start]
        if attempt.ended_at is None:
            return
        ended = self._unanswered_by_request[attempt.fingerprints[0]]
        del ended[number]
        if not ended:
            del self._unanswered_by_request[attempt.fingerprints[0]]
        numbers = self._unanswered_by_start[start]
        numbers.discard(number)
        if not numbers:
            del self._unanswered_by_start[start]
