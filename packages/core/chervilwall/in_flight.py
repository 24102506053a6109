"""Requests that were on a target when it ended."""

from typing import NamedTuple

from chervilwall.registry import TargetStart

# An attempt that ended without an answer may have ended by a crash that shows
# this much later, when the target is back or its registration lapses.
UNANSWERED_KEPT_S = 10.0


class Flight(NamedTuple):
    """An attempt on a target.

    Args:
        fingerprint (bytes): Digest of the request.
        begun_at (float): Monotonic time at which it was sent.
        ended_at (float | None): Monotonic time at which it ended without a
            whole answer, None while it runs.
    """

    fingerprint: bytes
    begun_at: float
    ended_at: float | None = None


class InFlight:
    """Hold the attempts of this router that run or ended without an answer."""

    def __init__(self) -> None:
        self._by_start: dict[TargetStart, dict[int, Flight]] = {}
        # Where requests ended without an answer, by request.
        self._unanswered: dict[bytes, dict[int, TargetStart]] = {}
        # Numbers of those by target.
        self._ended_on: dict[TargetStart, set[int]] = {}
        self._last = 0

    def __repr__(self) -> str:
        return f"InFlight(targets={len(self._by_start)})"

    def begin(self, start: TargetStart, fingerprint: bytes, now: float) -> int:
        """Notes that a request is sent; returns the attempt's number."""
        self._last += 1
        flights = self._by_start.setdefault(start, {})
        flights[self._last] = Flight(fingerprint, now)
        return self._last

    def end(
        self, start: TargetStart, number: int, now: float, *, answered: bool
    ) -> None:
        """Notes that an attempt has ended.

        Args:
            start (TargetStart): Where it ran.
            number (int): Its number.
            now (float): Monotonic time.
            answered (bool): Whether the target answered it whole, or said
                that it did not run it.
        """
        flight = self._by_start[start][number]
        if answered:
            self._remove(start, number)
            return
        self._by_start[start][number] = flight._replace(ended_at=now)
        self._unanswered.setdefault(flight.fingerprint, {})[number] = start
        self._ended_on.setdefault(start, set()).add(number)

    def forgive(self, fingerprint: bytes) -> None:
        """Forgets the attempts of a request that another one answered."""
        for number, start in list(
            self._unanswered.get(fingerprint, {}).items()
        ):
            self._remove(start, number)

    def note_alive(self, start: TargetStart, at: float) -> None:
        """Forgets attempts that ended before a target was asked and answered.

        Args:
            start (TargetStart): The target.
            at (float): Monotonic time at which it was asked.
        """
        for number in list(self._ended_on.get(start, ())):
            ended_at = self._by_start[start][number].ended_at
            if ended_at is not None and ended_at < at:
                self._remove(start, number)

    def on(self, start: TargetStart) -> list[Flight]:
        """Returns the attempts on a target that may have ended with it."""
        return list(self._by_start.get(start, {}).values())

    def sweep(self, now: float) -> None:
        """Forgets attempts that ended long ago."""
        for start, numbers in list(self._ended_on.items()):
            for number in list(numbers):
                ended_at = self._by_start[start][number].ended_at
                if ended_at is not None and now - ended_at > UNANSWERED_KEPT_S:
                    self._remove(start, number)

    def _remove(self, start: TargetStart, number: int) -> None:
        flights = self._by_start[start]
        flight = flights.pop(number)
        if not flights:
            del self._by_start[start]
        if flight.ended_at is None:
            return
        ended = self._unanswered[flight.fingerprint]
        del ended[number]
        if not ended:
            del self._unanswered[flight.fingerprint]
        numbers = self._ended_on[start]
        numbers.discard(number)
        if not numbers:
            del self._ended_on[start]
