"""Limits that targets name on the requests they take from all routers."""

from collections.abc import Mapping
from typing import NamedTuple

from chervilwall.registry import RegisteredTarget, TargetStart
from chervilwall.untrusted import MAX_COUNT, Count, Finite

# Smaller changes of a limit are neither logged nor reported at once.
MATERIAL_CHANGE = 0.1
# Time for which the end of a limit is remembered, so that an older statement of
# a peer does not bring it back.
ENDED_MEMORY_S = 60.0
# Time for which a limit is remembered that no answer confirms. Peers may state
# that of a target which has ended.
LIMIT_MEMORY_S = 600.0
# Reports in which a change is stated; one may be lost.
CHANGE_REPEATS = 2
# Changes in one report, and further limits that are stated in turn, so that
# routers that have started since know them.
MAX_CHANGES = 32
MAX_IN_TURN = 2


class KnownLimit(NamedTuple):
    """The newest statement of a target about its limit.

    Args:
        per_s (float | None): Requests per second that the target takes from all
            routers together, None if it names no limit any more.
        at (float): Monotonic time of the statement.
        since (float): Monotonic time since which it has named limits, or since
            which it names none.
        peer (str): Router that reported the statement, "" if the target made it
            to this one.
    """

    per_s: float | None
    at: float
    since: float
    peer: str = ""


class StatedLimit(NamedTuple):
    """A statement about a target's limit, as routers pass it on.

    Args:
        start (TargetStart): The target.
        per_s (float | None): Requests per second that it takes from all routers
            together, None if it names no limit any more.
        age_ms (int): Age of the statement in milliseconds.
    """

    start: TargetStart
    per_s: Finite | None
    age_ms: Count


class LimitChange(NamedTuple):
    """A change of what is known of a target's limit.

    Args:
        before (KnownLimit | None): What was known before.
        after (KnownLimit): What is known now.
    """

    before: KnownLimit | None
    after: KnownLimit

    @property
    def is_material(self) -> bool:
        """Whether peers and operators need to know of it now."""
        old = self.before.per_s if self.before else None
        new = self.after.per_s
        if old is None or new is None:
            return old is not new
        return abs(new - old) > MATERIAL_CHANGE * max(old, new)


class TargetLimits:
    """Track the limits that the starts of targets name in their answers.

    Answers of several routers arrive in any order, so the newest statement
    counts. An answer without a limit ends one only if its request was sent
    after the target last named it: what was sent before may have been answered
    before, too.
    """

    def __init__(self) -> None:
        self._known: dict[TargetStart, KnownLimit] = {}
        # Ids of these targets. Most lookups end here, as few targets are
        # limited at a time.
        self._ids: set[str] = set()
        self._unreported: dict[TargetStart, int] = {}

    def __repr__(self) -> str:
        return f"TargetLimits(known={len(self._known)})"

    @property
    def is_empty(self) -> bool:
        """Whether no target names a limit or has named one recently."""
        return not self._known

    def per_s(self, target: RegisteredTarget) -> float | None:
        """Returns the limit of a target in requests per second, or None."""
        if target.id not in self._ids:
            return None
        known = self._known.get(target.start)
        return known.per_s if known else None

    def record_answer(
        self,
        start: TargetStart,
        per_s: float | None,
        sent_at: float,
        now: float,
    ) -> LimitChange | None:
        """Records what an answer says; returns the change if it is one.

        Args:
            start (TargetStart): Target that answered.
            per_s (float | None): Limit in the answer, None if it names none.
            sent_at (float): Monotonic time at which the request was sent.
            now (float): Monotonic time.
        """
        at = now if per_s is not None else sent_at
        change = self._update(start, per_s, at, now)
        if change is not None:
            self._unreported[start] = CHANGE_REPEATS
        return change

    def record_stated(
        self, stated: StatedLimit, now: float, *, peer: str = ""
    ) -> LimitChange | None:
        """Records what a peer states; returns the change if it is one."""
        at = now - stated.age_ms / 1000
        if _is_outdated(stated.per_s, at, now):
            return None
        return self._update(stated.start, stated.per_s, at, now, peer)

    def report_all(self) -> None:
        """Lets the next reports state all limits, as a router has started."""
        for start in self._known:
            self._unreported.setdefault(start, 1)

    def in_force(self) -> Mapping[TargetStart, KnownLimit]:
        """Returns the limits that targets name now."""
        return {s: k for s, k in self._known.items() if k.per_s is not None}

    def take_report(self, now: float) -> tuple[StatedLimit, ...]:
        """Returns what the next report states; empty if there are no limits."""
        if not self._known:
            return ()
        starts = list(self._unreported)[:MAX_CHANGES]
        for start in starts:
            self._unreported[start] -= 1
            if not self._unreported[start]:
                del self._unreported[start]
        in_turn = [s for s in self._known if s not in starts][:MAX_IN_TURN]
        for start in in_turn:
            # Moves it to the end of the order.
            self._known[start] = self._known.pop(start)
        stated = tuple(
            self._state(start, now)
            for start in starts + in_turn
            if start in self._known
        )
        for start in in_turn:
            known = self._known[start]
            if _is_outdated(known.per_s, known.at, now):
                del self._known[start]
                self._ids = {s.target_id for s in self._known}
        return stated

    def _state(self, start: TargetStart, now: float) -> StatedLimit:
        known = self._known[start]
        age_ms = min(MAX_COUNT, max(0, round((now - known.at) * 1000)))
        return StatedLimit(start, known.per_s, age_ms)

    def forget(self, target_id: str) -> None:
        """Removes what is known of a target that ended."""
        if not self._known:
            return
        self._known = {
            start: known
            for start, known in self._known.items()
            if start.target_id != target_id
        }
        self._ids.discard(target_id)
        self._unreported = {
            start: repeats
            for start, repeats in self._unreported.items()
            if start in self._known
        }

    def _update(
        self,
        start: TargetStart,
        per_s: float | None,
        at: float,
        now: float,
        peer: str = "",
    ) -> LimitChange | None:
        known = self._known.get(start)
        if known is None and per_s is None:
            return None
        if known is not None and known.at >= at:
            return None
        before_per_s = known.per_s if known else None
        is_same_kind = known and (known.per_s is None) == (per_s is None)
        since = known.since if known and is_same_kind else now
        self._ids.add(start.target_id)
        after = self._known[start] = KnownLimit(per_s, at, since, peer)
        if known is not None and before_per_s == per_s:
            return None
        return LimitChange(known, after)


def _is_outdated(per_s: float | None, at: float, now: float) -> bool:
    memory_s = ENDED_MEMORY_S if per_s is None else LIMIT_MEMORY_S
    return now - at > memory_s
