"""Spacing of the requests to targets that take only so many."""

import contextlib
import math
from collections import Counter, deque
from collections.abc import Callable, Hashable, Iterable, Iterator, Sequence

from chervilwall.rate_sources import NamedLimitRates, RateSource
from chervilwall.registry import RegisteredTarget, TargetStart
from chervilwall.target_limits import TargetLimits

# Requests that may follow each other at once after a pause, at targets that
# name limits.
MAX_BURST = NamedLimitRates.max_burst
# Time without a placement after which a router may not have been the one that
# places the requests of a service.
RESUME_S = 1.0
# Least wait for a target that may be sent nothing now.
MIN_WAIT_S = 0.01
# Period over which the use of a rate is shown, and requests in it that are
# counted at most.
USE_WINDOW_S = 1.0
MAX_COUNTED = 256
# With more targets, those that were not limited for this time are forgotten.
MAX_KEPT = 1024
UNUSED_MEMORY_S = 60.0


class RequestSpacing:
    """Space the requests to targets by the rates of one source.

    Args:
        source (RateSource): States the rates.
    """

    def __init__(self, source: RateSource) -> None:
        self.source = source
        # Monotonic times at which the targets have taken what was sent to them.
        self._taken_at: dict[Hashable, float] = {}
        # Monotonic times at which the limit of a target was last asked for.
        self._asked_at: dict[Hashable, float] = {}
        # Times of the latest requests, for their count in USE_WINDOW_S.
        self._sent_at: dict[Hashable, deque[float]] = {}
        # Requests sent to targets while they were limited.
        self.sent: Counter[Hashable] = Counter()

    def __repr__(self) -> str:
        return f"RequestSpacing(source={self.source!r})"

    def wait_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the seconds until a target may be sent a request.

        Args:
            target (RegisteredTarget): The target.
            now (float): Monotonic time.
        """
        source = self.source
        rate = source.rate_per_s(target, now)
        if rate is None:
            return 0.0
        ends_in_s = source.ends_in_s(target, now)
        if rate <= 0:
            resumes_in_s = source.resumes_in_s(target, now)
            return max(MIN_WAIT_S, min(ends_in_s, resumes_in_s))
        key = source.key(target)
        taken_at = self._taken_at.get(key)
        if taken_at is None:
            taken_at = now + source.max_burst / rate
        elif now - self._asked_at.get(key, now) > RESUME_S:
            taken_at = max(taken_at, now + (source.max_burst - 1) / rate)
        self._taken_at[key] = taken_at
        self._asked_at[key] = now
        free_at = taken_at - (source.max_burst - 1) / rate
        return min(ends_in_s, max(0.0, free_at - now))

    def record_sent(self, target: RegisteredTarget, now: float) -> None:
        """Records a request that is sent to a target."""
        rate = self.source.rate_per_s(target, now)
        if rate is None:
            return
        key = self.source.key(target)
        if len(self._taken_at) > MAX_KEPT and key not in self._taken_at:
            self._forget_unused(now)
        taken_at = max(self._taken_at.get(key, now), now)
        if rate > 0:
            taken_at += 1.0 / rate
        self._taken_at[key] = taken_at
        self.sent[key] += 1
        times = self._sent_at.setdefault(key, deque(maxlen=MAX_COUNTED))
        times.append(now)

    def record_not_sent(self, target: RegisteredTarget, now: float) -> None:
        """Takes back a request that did not reach its target."""
        if not self.source.credits_unsent:
            return
        rate = self.source.rate_per_s(target, now)
        key = self.source.key(target)
        if rate and key in self._taken_at:
            self._taken_at[key] -= 1.0 / rate

    @contextlib.contextmanager
    def unrecorded(self) -> Iterator[None]:
        """Undoes at its end what asking for waits records."""
        taken_at, asked_at = dict(self._taken_at), dict(self._asked_at)
        try:
            yield
        finally:
            self._taken_at, self._asked_at = taken_at, asked_at

    def recent_count(self, target: RegisteredTarget, now: float) -> int:
        """Returns the requests that were sent in the last USE_WINDOW_S."""
        times = self._sent_at.get(self.source.key(target), ())
        return sum(now - at < USE_WINDOW_S for at in times)

    def forget(self, key: Hashable) -> None:
        """Removes what is known of a target that ended."""
        self._taken_at.pop(key, None)
        self._asked_at.pop(key, None)
        self._sent_at.pop(key, None)
        self.sent.pop(key, None)

    def known_keys(self) -> Sequence[Hashable]:
        """Returns the keys of the targets of which something is known."""
        return list(self._taken_at)

    def _forget_unused(self, now: float) -> None:
        """Removes what is known of targets that were long not limited."""
        for key, taken_at in list(self._taken_at.items()):
            if now - taken_at > UNUSED_MEMORY_S:
                self.forget(key)


class RequestPacer:
    """Space requests so that targets get no more than they may be sent.

    Designed for the router that places all requests of a service. The requests
    to a target are spread evenly over time, and a router that begins to place
    them may send the first one after an interval. Where several sources limit
    a target, each of them is kept.

    Args:
        limits (TargetLimits): Limits that the targets name.
        fraction (Callable): Returns the fraction of the limits that this router
            may use for the targets of a service.
        others (Sequence): Spacing by the rates of further sources. Defaults to
            none.
    """

    def __init__(
        self,
        limits: TargetLimits,
        fraction: Callable[[str], float],
        others: Sequence[RequestSpacing] = (),
    ) -> None:
        self._named = RequestSpacing(NamedLimitRates(limits, fraction))
        self._spacings = [self._named, *others]
        # Requests that waited while a target of their service could not be sent
        # any, by service.
        self.held_back: Counter[str] = Counter()

    def __repr__(self) -> str:
        return f"RequestPacer(spacings={self._spacings!r})"

    @property
    def sent(self) -> Counter[Hashable]:
        """Requests sent to targets while they named limits."""
        return self._named.sent

    @property
    def is_idle(self) -> bool:
        """Whether no target needs any spacing."""
        return all(s.source.is_empty for s in self._spacings)

    def rate_per_s(self, target: RegisteredTarget, now: float) -> float | None:
        """Returns the rate at which this router may send, None for no limit."""
        lowest: float | None = None
        for spacing in self._spacings:
            rate = spacing.source.rate_per_s(target, now)
            if rate is not None and (lowest is None or rate < lowest):
                lowest = rate
        return lowest

    def wait_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the seconds until a target may be sent a request.

        Asking also records that this router places requests of the target now:
        one that begins to, or begins again, has no burst.

        Args:
            target (RegisteredTarget): The target.
            now (float): Monotonic time.
        """
        return max(spacing.wait_s(target, now) for spacing in self._spacings)

    def available(
        self, targets: Sequence[RegisteredTarget], now: float
    ) -> Sequence[RegisteredTarget]:
        """Returns the targets without those that no request should wait for.

        Returns all of them if none may be sent a request now.

        Args:
            targets (Sequence): Targets of a service.
            now (float): Monotonic time.
        """
        strict = [
            spacing
            for spacing in self._spacings
            if not (spacing.source.may_be_waited_for or spacing.source.is_empty)
        ]
        if not strict:
            return targets
        found = [
            target
            for target in targets
            if all(spacing.wait_s(target, now) <= 0 for spacing in strict)
        ]
        return found or targets

    def ends_in_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the seconds until nothing limits a target, or infinity.

        Args:
            target (RegisteredTarget): The target.
            now (float): Monotonic time.
        """
        ends_in_s = 0.0
        for spacing in self._spacings:
            if spacing.source.rate_per_s(target, now) is not None:
                end_s = spacing.source.ends_in_s(target, now)
                ends_in_s = max(ends_in_s, end_s)
        return ends_in_s

    def max_send_delay_s(self, target: RegisteredTarget, now: float) -> float:
        """Returns the longest time from a grant until the request is sent.

        Args:
            target (RegisteredTarget): The target.
            now (float): Monotonic time.

        Returns:
            Seconds, infinity for no limit.
        """
        return min(
            (s.source.max_send_delay_s(target, now) for s in self._spacings),
            default=math.inf,
        )

    @contextlib.contextmanager
    def unrecorded(self) -> Iterator[None]:
        """Undoes at its end what asking for waits records.

        Meanwhile nothing may be sent.
        """
        with contextlib.ExitStack() as stack:
            for spacing in self._spacings:
                stack.enter_context(spacing.unrecorded())
            yield

    def idle_s(
        self, target: RegisteredTarget, work_s: float, now: float
    ) -> float:
        """Returns how long a limit leaves a target idle after a request.

        A limited target takes few requests, of any size: short ones leave most
        of what it could do unused, which other targets then have to do.

        Args:
            target (RegisteredTarget): The target.
            work_s (float): Time that the request takes there, in seconds.
            now (float): Monotonic time.
        """
        rate = self.rate_per_s(target, now)
        if rate is None:
            return 0.0
        interval_s = 1.0 / rate if rate > 0 else math.inf
        interval_s = min(interval_s, self.ends_in_s(target, now))
        return max(0.0, interval_s - work_s)

    def forget(self, target_id: str) -> None:
        """Removes what is known of the limits of a target that ended.

        What other sources count goes on, as they state rates for all starts of
        a target together.
        """
        for key in self._named.known_keys():
            if isinstance(key, TargetStart) and key.target_id == target_id:
                self._named.forget(key)

    def record_sent(self, target: RegisteredTarget, now: float) -> None:
        """Records a request that is sent to a target."""
        for spacing in self._spacings:
            spacing.record_sent(target, now)

    def record_waiting(
        self, service: str, targets: Iterable[RegisteredTarget], now: float
    ) -> None:
        """Counts a request that begins to wait, if a limit holds it back."""
        if not self.is_idle and any(
            self.wait_s(target, now) > 0 for target in targets
        ):
            self.held_back[service] += 1

    def record_not_sent(self, target: RegisteredTarget, now: float) -> None:
        """Takes back a request that did not reach its target."""
        for spacing in self._spacings:
            spacing.record_not_sent(target, now)
