"""Bound on the bytes that are kept for all responses together."""

import enum
from typing import NamedTuple

# Sum at which reading is paused, and to which it is lowered once it has passed
# the limit, as fractions of the limit.
PAUSE_FRACTION = 0.5
RELIEF_FRACTION = 0.75
# Responses of which fewer bytes are kept are not paused: pausing them frees
# little, and small answers go on.
MIN_PAUSED_BYTES = 1 << 14
# What one response may grow to, so that room for its rest can be set aside.
MAX_RESPONSE_BYTES = 1 << 20
# Change of the sum after which it is decided anew which responses are paused,
# so that many small reads cost few decisions.
DECISION_STEP_BYTES = 1 << 16
# Time for which a target whose response was given up ranks behind others, in
# seconds: as long as the longest usual time limit of a request.
SUSPECT_S = 60.0
# Targets that are remembered; the oldest is forgotten first.
MAX_SUSPECTS = 1024


class Standing(enum.IntEnum):
    """How near a response is to being no answer."""

    # It is whole, and about to be passed on.
    COMPLETE = 0
    # A signed body, or a stream of which events were passed on.
    BEGUN = 1
    # A stream without an event yet.
    NO_EVENT = 2
    # Nothing shows yet that it may be relayed.
    UNCONFIRMED = 3


class KeptResponse:
    """Count what is kept for one response.

    Args:
        target (str): Id of the target that sends it.

    Attributes:
        target (str): As above.
        kept_bytes (int): Bytes that are kept for it.
        standing (Standing): How near it is to being no answer.
        is_paused (bool): Whether it is to be read no further for now.
        is_given_up (bool): Whether it was given up.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.kept_bytes = 0
        self.standing = Standing.UNCONFIRMED
        self.is_paused = False
        self.is_given_up = False

    def __repr__(self) -> str:
        return f"KeptResponse(kept_bytes={self.kept_bytes})"


class Relief(NamedTuple):
    """What changes so that the sum stays below its limit.

    Args:
        paused (tuple): Responses that are read no further for now.
        resumed (tuple): Responses that are read again.
        given_up (tuple): Responses that are given up; they no longer count.
    """

    paused: tuple[KeptResponse, ...] = ()
    resumed: tuple[KeptResponse, ...] = ()
    given_up: tuple[KeptResponse, ...] = ()


class KeptBytes:
    """Decide which responses are paused or given up as their sum grows.

    Above a first level, a response goes on if it is small, or if room for its
    rest can be set aside below the limit, beginning with the one that is
    nearest to being an answer; others are paused. So what goes on can end,
    which lets the paused ones go on. Above the limit, the response that is
    nearest to being no answer is given up first: that of a target of which one
    was given up before, then by its standing, then that of the target for
    which most is kept.

    Args:
        limit_bytes (int): Limit on the sum. Exceeded by at most the bytes of
            one read, and by responses that are complete.

    Attributes:
        limit_bytes (int): As above.
        total_bytes (int): The sum.
    """

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.total_bytes = 0
        self._pause_bytes = int(limit_bytes * PAUSE_FRACTION)
        self._relief_bytes = int(limit_bytes * RELIEF_FRACTION)
        self._decided_bytes = 0
        self._responses: set[KeptResponse] = set()
        self._paused_count = 0
        self._by_target: dict[str, int] = {}
        # Time at which a response of a target was last given up.
        self._suspects: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"KeptBytes(total_bytes={self.total_bytes})"

    def update(
        self, response: KeptResponse, kept_bytes: int, standing: Standing
    ) -> bool:
        """Records what is kept for a response.

        Args:
            response (KeptResponse): The response.
            kept_bytes (int): Bytes that are kept for it now.
            standing (Standing): How near it is to being no answer.

        Returns:
            Whether `decide` is due.
        """
        if response.is_given_up:
            return False
        self._responses.add(response)
        response.standing = standing
        self._add(response.target, kept_bytes - response.kept_bytes)
        response.kept_bytes = kept_bytes
        total = self.total_bytes
        if total > self.limit_bytes:
            return True
        if total <= self._pause_bytes:
            return self._paused_count > 0
        return abs(total - self._decided_bytes) >= DECISION_STEP_BYTES

    def remove(self, response: KeptResponse) -> bool:
        """Forgets a response that has ended; returns whether to decide."""
        if response not in self._responses:
            return False
        self._drop(response)
        return self._paused_count > 0

    def decide(self, now: float) -> Relief:
        """Returns which responses to pause, to read again and to give up.

        Args:
            now (float): Monotonic time.
        """
        ranked = sorted(
            (
                response
                for response in self._responses
                if response.standing is not Standing.COMPLETE
            ),
            key=lambda response: self._rank(response, now),
        )
        given_up = self._give_up(ranked, now)
        self._decided_bytes = self.total_bytes
        room = self.limit_bytes - self.total_bytes
        is_full = self.total_bytes > self._pause_bytes
        has_reader = False
        paused: list[KeptResponse] = []
        resumed: list[KeptResponse] = []
        for response in ranked:
            if response.is_given_up:
                continue
            is_paused = False
            if is_full and response.kept_bytes >= MIN_PAUSED_BYTES:
                rest = max(0, MAX_RESPONSE_BYTES - response.kept_bytes)
                is_paused = has_reader and rest > room
                if not is_paused:
                    room -= rest
                    has_reader = True
            if is_paused != response.is_paused:
                response.is_paused = is_paused
                (paused if is_paused else resumed).append(response)
        self._paused_count += len(paused) - len(resumed)
        return Relief(tuple(paused), tuple(resumed), tuple(given_up))

    def _give_up(
        self, ranked: list[KeptResponse], now: float
    ) -> list[KeptResponse]:
        """Gives up responses, the last ranked first, if there are too many."""
        given_up: list[KeptResponse] = []
        if self.total_bytes <= self.limit_bytes:
            return given_up
        large = [r for r in ranked if r.kept_bytes >= MIN_PAUSED_BYTES]
        candidates = large or list(ranked)
        while candidates and self.total_bytes > self._relief_bytes:
            response = candidates.pop()
            self._drop(response)
            response.is_given_up = True
            given_up.append(response)
            self._suspect(response.target, now)
        return given_up

    def _rank(
        self, response: KeptResponse, now: float
    ) -> tuple[bool, int, int, int]:
        """Returns a key that is larger, the nearer it is to no answer."""
        suspected_at = self._suspects.get(response.target)
        is_suspect = suspected_at is not None and now - suspected_at < SUSPECT_S
        return (
            is_suspect,
            response.standing,
            self._by_target.get(response.target, 0),
            response.kept_bytes,
        )

    def _suspect(self, target: str, now: float) -> None:
        self._suspects.pop(target, None)
        if len(self._suspects) >= MAX_SUSPECTS:
            del self._suspects[next(iter(self._suspects))]
        self._suspects[target] = now

    def _add(self, target: str, change: int) -> None:
        self.total_bytes += change
        self._by_target[target] = self._by_target.get(target, 0) + change

    def _drop(self, response: KeptResponse) -> None:
        self._responses.discard(response)
        self._add(response.target, -response.kept_bytes)
        if not self._by_target[response.target]:
            del self._by_target[response.target]
        if response.is_paused:
            response.is_paused = False
            self._paused_count -= 1
