"""Bound on the memory that the connections of callers take together."""

import enum
from typing import NamedTuple

# Sum above which reading is paused, sum up to which large requests may grow,
# and sum to which it is lowered once it has passed the limit, as fractions of
# the limit. What lies above the second is for small requests.
PAUSE_FRACTION = 0.5
LARGE_FRACTION = 0.75
RELIEF_FRACTION = 0.9
# Connections that hold less, and need no more, are not paused: that frees
# little, and ordinary requests go on.
MIN_PAUSED_BYTES = 1 << 14
# Change of the sum after which it is decided anew which connections are paused,
# as a fraction of the limit, so that many small reads cost few decisions.
DECISION_STEP_FRACTION = 1 / 64
# Memory of an open connection without a request: the objects of the transport,
# the protocol and the parser.
CONNECTION_BYTES = 6 << 10
# Time without progress after which a request may be given up for those that are
# paused, and after which a paused request is refused, in seconds. Callers learn
# of the refusal well within the usual time limits of requests.
STALL_S = 1.0
MAX_PAUSE_S = 2.0
# A request makes progress if it grows by this fraction of what it holds, and by
# this many bytes, so that single bytes do not keep a large one.
PROGRESS_FRACTION = 1 / 64
MIN_PROGRESS_BYTES = 1024


class Stage(enum.Enum):
    """How far the request of a connection has come."""

    # It has not arrived completely, so no target can have run it.
    READING = "reading"
    # It is complete, and waits, runs or is being answered.
    COMPLETE = "complete"


class CallerUsage:
    """Count what one connection of a caller holds.

    Args:
        peer (str): Address of the caller.

    Attributes:
        peer (str): As above.
        held_bytes (int): Memory that it holds.
        rest_bytes (int): Bytes by which it may still grow.
        stage (Stage): How far its request has come.
        is_paused (bool): Whether it is to be read no further for now.
        is_given_up (bool): Whether its request is to be refused.
        is_counted (bool): Whether it is part of the sum.
    """

    __slots__ = (
        "held_bytes",
        "is_counted",
        "is_given_up",
        "is_paused",
        "peer",
        "progress_at",
        "progress_bytes",
        "rest_bytes",
        "since",
        "stage",
    )

    def __init__(self, peer: str) -> None:
        self.peer = peer
        self.held_bytes = 0
        self.rest_bytes = 0
        self.stage = Stage.READING
        self.is_paused = False
        self.is_given_up = False
        self.is_counted = False
        # Monotonic time of the last progress, and what was held then; the time
        # at which the connection was paused.
        self.progress_at = 0.0
        self.progress_bytes = 0
        self.since = 0.0

    def __repr__(self) -> str:
        return f"CallerUsage(held_bytes={self.held_bytes})"

    def stalled_s(self, now: float) -> float:
        """Returns the time without progress, in seconds.

        A paused connection cannot make any, so its pause does not count.
        """
        return (self.since if self.is_paused else now) - self.progress_at

    def record(self, held_bytes: int, now: float) -> None:
        """Records what is held now, and whether that is progress."""
        grown = held_bytes - self.progress_bytes
        needed = max(MIN_PROGRESS_BYTES, PROGRESS_FRACTION * held_bytes)
        if not self.is_counted or grown >= needed or grown < 0:
            self.progress_at = now
            self.progress_bytes = held_bytes
        self.held_bytes = held_bytes


class CallerRelief(NamedTuple):
    """What changes so that the sum stays below its limit.

    Args:
        paused (tuple): Connections that are read no further for now.
        resumed (tuple): Connections that are read again.
        given_up (tuple): Connections whose requests are refused. They no longer
            count.
    """

    paused: tuple[CallerUsage, ...] = ()
    resumed: tuple[CallerUsage, ...] = ()
    given_up: tuple[CallerUsage, ...] = ()


class CallerMemory:
    """Decide which connections are paused or refused as their sum grows.

    Above a first level, a connection is read on if it is small, or if room for
    the rest of its request can be set aside, beginning with the one that needs
    least; others are paused. Requests that stall give way to paused ones, and
    those that stay paused are refused. Above the limit, requests are refused
    that have made the least progress for what they hold, beginning with the
    address that holds most, so that no address uses up the room of others.
    Complete requests are never given up: a target may have run them.

    Args:
        limit_bytes (int): Limit on the sum. Exceeded by at most the bytes of
            one read of each connection, and by responses that their callers
            read slowly.
        paused_bytes (int): Bytes that the kernel may receive for a connection
            that is paused. Defaults to 0.

    Attributes:
        limit_bytes (int): As above.
        total_bytes (int): The sum.
    """

    def __init__(self, limit_bytes: int, paused_bytes: int = 0) -> None:
        self.limit_bytes = limit_bytes
        self._unread_bytes = paused_bytes
        self.total_bytes = 0
        self._pause_bytes = int(limit_bytes * PAUSE_FRACTION)
        self._large_bytes = int(limit_bytes * LARGE_FRACTION)
        self._relief_bytes = int(limit_bytes * RELIEF_FRACTION)
        self._step_bytes = int(limit_bytes * DECISION_STEP_FRACTION)
        self._decided_bytes = 0
        self._usages: set[CallerUsage] = set()
        self._paused_count = 0

    def __repr__(self) -> str:
        return f"CallerMemory(total_bytes={self.total_bytes})"

    @property
    def is_full(self) -> bool:
        """Whether no further request may begin."""
        return self.total_bytes > self.limit_bytes

    @property
    def is_high(self) -> bool:
        """Whether connections may be paused."""
        return self.total_bytes > self._pause_bytes

    @property
    def paused_count(self) -> int:
        """Number of connections that are paused."""
        return self._paused_count

    def largest_peer(self) -> tuple[str, int]:
        """Returns the address that holds most, and what it holds, in bytes."""
        held_by_peer: dict[str, int] = {"": 0}
        for usage in self._usages:
            held = held_by_peer.get(usage.peer, 0)
            held_by_peer[usage.peer] = held + usage.held_bytes
        return max(held_by_peer.items(), key=lambda item: item[1])

    def add_connection(self) -> None:
        """Counts a connection that was opened."""
        self.total_bytes += CONNECTION_BYTES

    def remove_connection(self) -> None:
        """Counts the end of a connection."""
        self.total_bytes -= CONNECTION_BYTES

    def update(
        self,
        usage: CallerUsage,
        held_bytes: int,
        rest_bytes: int,
        stage: Stage,
        now: float,
    ) -> bool:
        """Records what a connection holds.

        Args:
            usage (CallerUsage): The connection.
            held_bytes (int): Memory that it holds now.
            rest_bytes (int): Bytes by which it may still grow.
            stage (Stage): How far its request has come.
            now (float): Monotonic time in seconds.

        Returns:
            Whether `decide` is due.
        """
        if usage.is_given_up:
            return False
        self.total_bytes += held_bytes - usage.held_bytes
        usage.record(held_bytes, now)
        if not usage.is_counted:
            usage.is_counted = True
            self._usages.add(usage)
        usage.rest_bytes = rest_bytes
        usage.stage = stage
        return self._is_decision_due(stage)

    def remove(self, usage: CallerUsage) -> bool:
        """Forgets what a connection held; returns whether to decide."""
        if not usage.is_counted:
            return False
        self._drop(usage)
        return self._paused_count > 0 and self._has_moved()

    def _is_decision_due(self, stage: Stage) -> bool:
        # A complete request cannot be given up: where the limit is exceeded by
        # those, each of their writes would cost a decision.
        if self.total_bytes > self.limit_bytes and stage is Stage.READING:
            return True
        is_relevant = self.is_high or self._paused_count > 0
        return is_relevant and self._has_moved()

    def _has_moved(self) -> bool:
        change = abs(self.total_bytes - self._decided_bytes)
        return change >= self._step_bytes

    def decide(self, now: float) -> CallerRelief:
        """Returns which connections to pause, to read again and to refuse.

        Due when `update` or `remove` says so, and from time to time while
        connections are paused.

        Args:
            now (float): Monotonic time in seconds.
        """
        given_up = self._give_up_largest(now)
        given_up += self._give_up_stalled(now)
        self._decided_bytes = self.total_bytes
        paused, resumed = self._choose_paused(now)
        return CallerRelief(tuple(paused), tuple(resumed), tuple(given_up))

    def _reading(self) -> list[CallerUsage]:
        return [u for u in self._usages if u.stage is Stage.READING]

    def _give_up_largest(self, now: float) -> list[CallerUsage]:
        """Gives up requests while the sum is above the limit."""
        given_up: list[CallerUsage] = []
        if self.total_bytes <= self.limit_bytes:
            return given_up
        by_peer: dict[str, list[CallerUsage]] = {}
        held_by_peer: dict[str, int] = {}
        for usage in self._usages:
            held = held_by_peer.get(usage.peer, 0)
            held_by_peer[usage.peer] = held + usage.held_bytes
            if usage.stage is Stage.READING:
                by_peer.setdefault(usage.peer, []).append(usage)
        for usages in by_peer.values():
            usages.sort(key=lambda usage: _burden(usage, now))
        while by_peer and self.total_bytes > self._relief_bytes:
            peer = max(by_peer, key=lambda peer: held_by_peer[peer])
            usage = by_peer[peer].pop()
            held_by_peer[peer] -= usage.held_bytes
            if not by_peer[peer]:
                del by_peer[peer]
            given_up.append(self._give_up(usage))
        return given_up

    def _give_up_stalled(self, now: float) -> list[CallerUsage]:
        """Gives up what stalls while others are paused, and long pauses."""
        given_up: list[CallerUsage] = []
        if not self._paused_count:
            return given_up
        reading = self._reading()
        needed = min(u.rest_bytes for u in self._usages if u.is_paused)
        stalled = [
            usage
            for usage in reading
            if not usage.is_paused
            and usage.held_bytes >= MIN_PAUSED_BYTES
            and usage.stalled_s(now) >= STALL_S
        ]
        stalled.sort(key=lambda usage: _burden(usage, now))
        while stalled and self._large_bytes - self.total_bytes < needed:
            given_up.append(self._give_up(stalled.pop()))
        given_up += [
            self._give_up(usage)
            for usage in reading
            if usage.is_paused and now - usage.since >= MAX_PAUSE_S
        ]
        return given_up

    def _choose_paused(
        self, now: float
    ) -> tuple[list[CallerUsage], list[CallerUsage]]:
        """Pauses and resumes connections; returns those that changed."""
        paused: list[CallerUsage] = []
        resumed: list[CallerUsage] = []
        is_high = self.is_high
        if not is_high and not self._paused_count:
            return paused, resumed
        room = self._large_bytes - self.total_bytes
        # A complete request ends without room, and then frees some.
        will_free = any(
            usage.stage is Stage.COMPLETE
            and usage.held_bytes >= MIN_PAUSED_BYTES
            for usage in self._usages
        )
        for usage in sorted(self._usages, key=lambda usage: usage.rest_bytes):
            is_paused = False
            size = usage.held_bytes + usage.rest_bytes
            # A connection that nothing more is expected from is read on, as
            # that shows when its caller leaves.
            if is_high and usage.rest_bytes and size >= MIN_PAUSED_BYTES:
                is_paused = usage.rest_bytes > room and will_free
                if not is_paused:
                    room -= usage.rest_bytes
                    will_free |= usage.stalled_s(now) < STALL_S
            if is_paused != usage.is_paused:
                (paused if is_paused else resumed).append(usage)
                self._set_paused(usage, is_paused, now)
        return paused, resumed

    def _set_paused(
        self, usage: CallerUsage, is_paused: bool, now: float
    ) -> None:
        usage.is_paused = is_paused
        self._paused_count += 1 if is_paused else -1
        if is_paused:
            self.total_bytes += self._unread_bytes
            usage.since = now
        else:
            self.total_bytes -= self._unread_bytes
            usage.progress_at += now - usage.since

    def _give_up(self, usage: CallerUsage) -> CallerUsage:
        usage.is_given_up = True
        self._drop(usage)
        return usage

    def _drop(self, usage: CallerUsage) -> None:
        self._usages.discard(usage)
        usage.is_counted = False
        self.total_bytes -= usage.held_bytes
        if not usage.is_given_up:
            usage.held_bytes = 0
        usage.progress_bytes = 0
        if usage.is_paused:
            usage.is_paused = False
            self._paused_count -= 1
            self.total_bytes -= self._unread_bytes


def _burden(usage: CallerUsage, now: float) -> tuple[float, int]:
    """Returns a key that is larger, the less progress for what is held."""
    # A request that has just made progress counts a little, so that among
    # those the largest comes first.
    stalled_s = max(0.0, usage.stalled_s(now)) + 0.01
    return usage.held_bytes * stalled_s, usage.held_bytes
