"""Bounds on the memory and the descriptors that callers take."""

import logging
from collections.abc import Callable, Collection, Iterable
from typing import Protocol

from chervilwall import events
from chervilwall.caller_memory import CallerMemory, CallerUsage, Stage
from chervilwall.descriptor_budget import DescriptorBudget
from chervilwall.protocol import Metrics

from chervilwall_router.edge.page_server import (
    CONNECTIONS_FRACTION,
    DEFAULT_MAX_CONNECTIONS,
    ConnectionLimit,
)
from chervilwall_router.problem import Problem

LOG = logging.getLogger(__name__)
# Interval between two lines of the same event, in seconds.
LOG_INTERVAL_S = 5.0
# Interval between two searches for idle connections: each looks at all.
SEARCH_INTERVAL_S = 0.05
# Longest time until the descriptor of a connection that is closed is free, in
# seconds: it is read a little longer, so that it is not reset.
CLOSE_S = 0.3
RETRY_AFTER_S = 1.0
MEMORY_PROBLEM = Problem(
    503,
    "caller_memory",
    "Requests take too much memory at this router; this one was not run.",
    retry_after_s=RETRY_AFTER_S,
)
DESCRIPTOR_PROBLEM = Problem(
    503,
    "caller_connections",
    "This router has too many connections; the request was not run.",
    retry_after_s=RETRY_AFTER_S,
)


class CallerReader(Protocol):
    """Read the requests of a caller."""

    def hold(self) -> None:
        """Pauses reading until release() is called."""
        ...

    def release(self) -> None:
        """Ends hold()."""
        ...

    def give_up(self, problem: Problem) -> None:
        """Refuses a request that has not arrived completely."""
        ...


class BoundedConnection(Protocol):
    """A connection that may be closed for its descriptor."""

    def give_up(self, problem: Problem, *, is_brief: bool = False) -> None:
        """Refuses a request that has not arrived completely.

        Args:
            problem (Problem): Why it is refused.
            is_brief (bool): Whether the connection is to end soon, even if its
                caller may miss the refusal. Defaults to False.
        """
        ...

    def idle_s(self, now: float) -> float | None:
        """Returns the time without a request, in seconds, None if it has one.

        Also None for a connection that is new or has unread or unsent bytes.
        """
        ...

    def receive_rate(self, now: float) -> float | None:
        """Returns the bytes per second of an incomplete request, or None."""
        ...

    def close_for_descriptor(self) -> None:
        """Closes an idle connection without a reset."""
        ...


class LimitLog:
    """Log an event at most once in LOG_INTERVAL_S, with a count.

    Args:
        event (events.Event): The event.
    """

    def __init__(self, event: events.Event) -> None:
        self._event = event
        self._count = 0
        self._logged_at = -LOG_INTERVAL_S

    def add(
        self, count: int, now: float, fields: Callable[[], dict[str, object]]
    ) -> None:
        """Counts occurrences, and logs all since the last line if it is due.

        Args:
            count (int): Occurrences.
            now (float): Monotonic time in seconds.
            fields (Callable): Returns the further values of the line.
        """
        self._count += count
        if now - self._logged_at < LOG_INTERVAL_S:
            return
        events.log_event(LOG, self._event, count=self._count, **fields())
        self._logged_at, self._count = now, 0


class CallerBounds:
    """Keep the memory and the descriptors of callers below their limits.

    Args:
        memory (CallerMemory): Decides what memory callers may take.
        descriptors (DescriptorBudget): Decides how many connections may be
            open.
        metrics (Metrics): Counts what is paused, refused and closed.
        clock (Callable): Returns the monotonic time in seconds.

    Attributes:
        descriptors (DescriptorBudget): As above. Other parts register theirs.
    """

    def __init__(
        self,
        memory: CallerMemory,
        descriptors: DescriptorBudget,
        metrics: Metrics,
        clock: Callable[[], float],
    ) -> None:
        self._memory = memory
        self.descriptors = descriptors
        self._metrics = metrics
        self._clock = clock
        self._readers: dict[CallerUsage, CallerReader] = {}
        self._searched_at = -SEARCH_INTERVAL_S
        self._has_searched_all = False
        # Time at which connections were last closed for their descriptors.
        self._closed_at = -CLOSE_S
        self._closing: list[BoundedConnection] = []
        self._paused_log = LimitLog(events.CALLERS_PAUSED)
        self._refused_log = LimitLog(events.CALLERS_REFUSED)
        self._closed_log = LimitLog(events.CALLERS_CLOSED)
        self._page_log = LimitLog(events.PAGE_CONNECTIONS_CLOSED)

    def __repr__(self) -> str:
        return f"CallerBounds(total_bytes={self._memory.total_bytes})"

    @property
    def total_bytes(self) -> int:
        """Memory that all connections of callers hold."""
        return self._memory.total_bytes

    def render(self) -> str:
        """Returns what callers hold as lines of a metrics page."""
        return (
            f"caller_memory_bytes {self._memory.total_bytes}\n"
            f"caller_memory_limit_bytes {self._memory.limit_bytes}\n"
            f"callers_paused_now {self._memory.paused_count}\n"
            f"caller_descriptors_limit {self.descriptors.limit}\n"
        )

    # Memory.

    @property
    def is_full(self) -> bool:
        """Whether no further request may begin for lack of memory."""
        return self._memory.is_full

    def add_connection(self) -> None:
        """Counts a connection that was opened."""
        self._memory.add_connection()

    def remove_connection(self) -> None:
        """Counts the end of a connection."""
        self._memory.remove_connection()

    def update(
        self,
        usage: CallerUsage,
        reader: CallerReader,
        held_bytes: int,
        rest_bytes: int,
        stage: Stage,
    ) -> None:
        """Records what a connection holds.

        Args:
            usage (CallerUsage): The connection.
            reader (CallerReader): Reads it.
            held_bytes (int): Memory that it holds now.
            rest_bytes (int): Bytes by which it may still grow.
            stage (Stage): How far its request has come.
        """
        if usage.is_given_up:
            return
        self._readers[usage] = reader
        now = self._clock()
        if self._memory.update(usage, held_bytes, rest_bytes, stage, now):
            self._relieve(now)

    def remove(self, usage: CallerUsage) -> None:
        """Forgets what a connection held."""
        self._readers.pop(usage, None)
        if self._memory.remove(usage):
            self._relieve(self._clock())

    def refusal(
        self, connections: Collection[BoundedConnection], requests: int
    ) -> Problem | None:
        """Returns why a request that has just arrived must not begin.

        Args:
            connections (Collection): All connections of callers.
            requests (int): Number of requests being served.
        """
        count = len(connections)
        if self._memory.is_full:
            self._count_refused(1, self._clock())
            return MEMORY_PROBLEM
        if self.descriptors.is_high(count, requests):
            self.make_room(connections, count, requests)
            if not self.descriptors.allows_request(count, requests):
                self._count_closed("request", 1, self._clock())
                return DESCRIPTOR_PROBLEM
        return None

    def has_spare_room(self, connections: int, requests: int) -> bool:
        """Returns whether neither memory nor descriptors run short.

        Args:
            connections (int): Number of connections of callers.
            requests (int): Number of requests being served.
        """
        is_high = self.descriptors.is_high(connections, requests)
        return not (is_high or self._memory.is_high)

    def check(self) -> None:
        """Ends pauses that take too long; called from time to time."""
        if self._memory.paused_count:
            self._relieve(self._clock())

    def _relieve(self, now: float) -> None:
        relief = self._memory.decide(now)
        if relief.given_up:
            self._count_refused(len(relief.given_up), now)
        if relief.paused:
            self._metrics.count("callers_paused", len(relief.paused))
            self._paused_log.add(len(relief.paused), now, self._memory_fields)
        for usage in relief.paused:
            self._readers[usage].hold()
        for usage in relief.resumed:
            self._readers[usage].release()
        readers = [self._readers.pop(usage) for usage in relief.given_up]
        for reader in readers:
            reader.give_up(MEMORY_PROBLEM)

    def _count_refused(self, count: int, now: float) -> None:
        self._metrics.count("callers_refused_memory", count)
        self._refused_log.add(count, now, self._memory_fields)

    def _memory_fields(self) -> dict[str, object]:
        peer, held_bytes = self._memory.largest_peer()
        return {
            "paused": self._memory.paused_count,
            "total_bytes": self._memory.total_bytes,
            "limit_bytes": self._memory.limit_bytes,
            "peer": peer,
            "peer_bytes": held_bytes,
        }

    # Descriptors.

    def make_room(
        self,
        connections: Collection[BoundedConnection],
        count: int,
        requests: int,
    ) -> bool:
        """Closes connections if too many descriptors are in use.

        Idle ones are closed first, the one that is idle longest before others;
        if none is left, requests that arrive slowest are refused.

        Args:
            connections (Collection): All connections of callers.
            count (int): Their number, with those being accepted.
            requests (int): Number of requests being served.

        Returns:
            Whether a connection may be accepted now.
        """
        budget = self.descriptors
        if not budget.is_high(count, requests):
            return True
        is_full = budget.is_full(count, requests)
        now = self._clock()
        is_due = now - self._searched_at >= SEARCH_INTERVAL_S
        if is_due or (is_full and not self._has_searched_all):
            self._searched_at = now
            # Incomplete requests are looked at only if there is no room.
            self._has_searched_all = is_full
            # Those that were closed before are read a little longer.
            self._closing = [c for c in self._closing if c in connections]
            surplus = budget.surplus(count, requests) - len(self._closing)
            closed: list[BoundedConnection] = []
            if surplus > 0:
                closed = self._close_idle(connections, surplus, now)
                if not closed and is_full:
                    closed = self._refuse_slowest(connections, surplus, now)
            if closed:
                self._closing += closed
                self._closed_at = now
        return not is_full

    def awaits_room(self) -> bool:
        """Returns whether connections that were closed will soon have ended."""
        return self._clock() - self._closed_at < CLOSE_S

    def count_unserved(self) -> None:
        """Counts a connection that was accepted only to be refused."""
        self._count_closed("unserved", 1, self._clock())

    def page_limit(self, max_descriptors: int) -> ConnectionLimit:
        """Returns the limit on the connections of a page server.

        They share the descriptors of callers.

        Args:
            max_descriptors (int): Descriptors that the process may open.
        """
        count = int(max_descriptors * CONNECTIONS_FRACTION)
        return ConnectionLimit(
            min(DEFAULT_MAX_CONNECTIONS, count),
            self.descriptors.register,
            self._count_page_close,
        )

    def _count_page_close(self) -> None:
        self._metrics.count("page_connections_closed")
        self._page_log.add(1, self._clock(), dict)

    def _close_idle(
        self,
        connections: Iterable[BoundedConnection],
        surplus: int,
        now: float,
    ) -> list[BoundedConnection]:
        timed = [(conn.idle_s(now), conn) for conn in connections]
        idle = [(idle_s, conn) for idle_s, conn in timed if idle_s is not None]
        idle.sort(key=lambda item: item[0], reverse=True)
        chosen = idle[:surplus]
        for _, conn in chosen:
            conn.close_for_descriptor()
        self._count_closed("idle", len(chosen), now)
        return [conn for _, conn in chosen]

    def _refuse_slowest(
        self,
        connections: Iterable[BoundedConnection],
        surplus: int,
        now: float,
    ) -> list[BoundedConnection]:
        rated = [(conn.receive_rate(now), conn) for conn in connections]
        slow = [(rate, conn) for rate, conn in rated if rate is not None]
        slow.sort(key=lambda item: item[0])
        chosen = slow[:surplus]
        for _, conn in chosen:
            conn.give_up(DESCRIPTOR_PROBLEM, is_brief=True)
        self._count_closed("slow", len(chosen), now)
        return [conn for _, conn in chosen]

    def _count_closed(self, reason: str, count: int, now: float) -> None:
        if not count:
            return
        self._metrics.count(f"callers_closed_{reason}", count)
        self._closed_log.add(
            count,
            now,
            lambda: {"reason": reason, "limit": self.descriptors.limit},
        )
