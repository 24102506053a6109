"""Which targets are cold, until when, and from which source that is known.

A target that has just started tolerates few requests until it has warmed up.
Four sources say that a target is cold: its registration, its responses, the
return of its zone to service, and a connection to it that could not be opened.
The last two are assumptions, as the target itself has said nothing.

Rules by which statements replace each other, for one id of a target:

- The registration of a new start replaces all that is known of earlier starts,
  assumptions included: the new start states its own cold time, and 0 is such a
  statement. A connection that fails after that registration was read counts
  for the new start.
- A statement or an assumption that prolongs the cold time always counts.
- A response shortens the cold time if its request was sent after that was last
  stated or assumed. So it ends an assumption as well.
- A changed registration of the same start shortens what the target had stated,
  and no assumption: it may have been written before that.
- A registration that is read again unchanged says nothing new.
- A statement of a peer counts from the time at which it was made there. One
  that is older than what the target has stated, beyond REORDER_S, says nothing.
"""

import enum
import math
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

from chervilwall.edge_messages import StatedCold
from chervilwall.registry import RegisteredTarget, TargetStart
from chervilwall.routing import Service
from chervilwall.untrusted import MAX_COUNT

# Longest cold time that a statement of a target may cause. A larger number
# would limit the target for as long as it runs.
MAX_COLD_S = 3600.0
# Time after the end of the cold time in which the rate rises, so that what
# waited does not reach the target at once.
RISE_S = 2.0
# Reports in which a change is stated; one may be lost.
CHANGE_REPEATS = 2
MAX_REPORTED = 32
# Smaller changes of the end of the cold time are no news to peers.
MATERIAL_CHANGE_S = 0.5
# Hubs report smaller changes to all routers of a large fleet only if the target
# becomes cold or warm. Each attempt to connect to a target that is down
# prolongs its cold time.
CHANGE_FOR_ALL_S = 8.0
# Statements may be received in another order than they were made, as responses
# and datagrams take different times.
REORDER_S = 0.2


class ColdSource(enum.Enum):
    """How it is known that a target is cold; the values are logged."""

    REGISTRATION = "registration"
    RESPONSE = "response"
    ZONE_RETURNED = "zone returned"
    UNREACHABLE = "unreachable"
    PEER = "peer"


class ColdState(NamedTuple):
    """What is known of the cold time of a target.

    Args:
        start (TargetStart): Newest known start of the target.
        service (str): Its service.
        until (float): Monotonic time at which it stops being cold, minus
            infinity if it never was.
        at (float): Monotonic time at which that was stated or assumed.
        source (ColdSource): Who stated it, or why it is assumed.
        is_assumed (bool): Whether the target itself has not stated it.
        registered_s (float | None): Cold time in its latest registration, None
            if none was read.
        learned_at (float): Monotonic time at which this router learned of a
            cold time, or of a materially longer one.
    """

    start: TargetStart
    service: str
    until: float
    at: float
    source: ColdSource
    is_assumed: bool = False
    registered_s: float | None = None
    learned_at: float = -math.inf

    def with_end(
        self,
        until: float,
        now: float,
        source: ColdSource,
        *,
        may_shorten: bool,
        assumed: bool = False,
    ) -> "ColdState":
        """Returns the state after a statement or an assumption.

        Args:
            until (float): Monotonic time at which the target stops being cold.
            now (float): Monotonic time.
            source (ColdSource): Who states it, or why it is assumed.
            may_shorten (bool): Whether it counts also if the cold time ends
                sooner than was known.
            assumed (bool): Whether the target itself has not stated it.
        """
        if until <= now and self.until <= now:
            return self
        if until < self.until and not may_shorten:
            return self
        is_longer = until - max(self.until, now) >= MATERIAL_CHANGE_S
        return self._replace(
            until=until,
            at=now,
            source=source,
            is_assumed=assumed,
            learned_at=now if is_longer else self.learned_at,
        )


class ColdChange(NamedTuple):
    """A target that became cold or warm.

    Args:
        target_id (str): The target.
        service (str): Its service.
        source (ColdSource): How it is known.
        remaining_s (float): Seconds for which it stays cold, 0 if it is warm.
    """

    target_id: str
    service: str
    source: ColdSource
    remaining_s: float

    @property
    def is_cold(self) -> bool:
        """Whether the target became cold."""
        return self.remaining_s > 0


class ColdTargets:
    """Track until when targets are cold.

    Designed for targets that come back under a known id before their new
    registration is read: all is kept by id.

    Args:
        is_enabled (bool): Whether anything is recorded. Otherwise no target is
            cold.
    """

    def __init__(self, is_enabled: bool) -> None:
        self.is_enabled = is_enabled
        self._services: Mapping[str, Service] = {}
        self._states: dict[str, ColdState] = {}
        # Ids of the targets that are cold, or whose rate is rising.
        self._limited: set[str] = set()
        # Targets that were last logged as cold.
        self._logged: set[str] = set()
        # How often reports are still to state a target, by id.
        self._unreported: dict[str, int] = {}
        # The same for the reports of hubs to all routers, and the ends of the
        # cold times that these have stated.
        self._unreported_to_all: dict[str, int] = {}
        self._told_until: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"ColdTargets(limited={len(self._limited)})"

    @property
    def is_empty(self) -> bool:
        """Whether no target is limited because it is or was cold."""
        return not self._limited

    def configure(self, services: Mapping[str, Service], now: float) -> None:
        """Sets the services of the configuration in force."""
        if not self.is_enabled:
            return
        self._services = services
        self._limited = {
            i for i in self._states if self._is_limited(self._states[i], now)
        }

    def services(self) -> Collection[str]:
        """Returns the services whose targets may be cold."""
        return [n for n, s in self._services.items() if s.cold_rate_per_s > 0]

    def record_registrations(
        self, targets: Mapping[str, RegisteredTarget], now: float
    ) -> None:
        """Records the registrations in force.

        Args:
            targets (Mapping): All registered targets by id.
            now (float): Monotonic time at which they were read.
        """
        if not self.is_enabled:
            return
        for target in targets.values():
            self._record_registration(target, now)
        for target_id in self._states.keys() - targets.keys():
            if self._states[target_id].until + RISE_S <= now:
                del self._states[target_id]
                self._limited.discard(target_id)
                self._told_until.pop(target_id, None)

    def _record_registration(
        self, target: RegisteredTarget, now: float
    ) -> None:
        known = self._states.get(target.id)
        cold_s = min(MAX_COLD_S, target.warmup_s)
        if known is None or known.start != target.start:
            known = _unknown(target.start, target.service).with_end(
                now + cold_s, now, ColdSource.REGISTRATION, may_shorten=False
            )
        elif known.registered_s == target.warmup_s:
            return
        else:
            known = known.with_end(
                now + cold_s,
                now,
                ColdSource.REGISTRATION,
                may_shorten=not known.is_assumed,
            )
        self._put(known._replace(registered_s=target.warmup_s), now)

    def record_response(
        self,
        target: RegisteredTarget,
        remaining_s: float | None,
        sent_at: float,
        now: float,
    ) -> bool:
        """Records what a response says of the cold time of its target.

        Args:
            target (RegisteredTarget): Target that the request was sent to.
            remaining_s (float | None): Seconds for which it stays cold, None if
                the response does not say.
            sent_at (float): Monotonic time at which the request was sent.
            now (float): Monotonic time.

        Returns:
            Whether peers need to know of a change now.
        """
        if not self.is_enabled or remaining_s is None:
            return False
        known = self._states.get(target.id)
        cold_s = min(MAX_COLD_S, max(0.0, remaining_s))
        if known is None and cold_s <= 0:
            return False
        before = known or _unknown(target.start, target.service)
        after = before.with_end(
            now + cold_s,
            now,
            ColdSource.RESPONSE,
            may_shorten=before.start == target.start and sent_at > before.at,
        )
        self._put(after, now)
        return self._has_changed(before, after, now)

    def record_unreachable(self, target: RegisteredTarget, now: float) -> bool:
        """Records that a connection to a target could not be opened.

        Args:
            target (RegisteredTarget): The target.
            now (float): Monotonic time.

        Returns:
            Whether peers need to know of a change now.
        """
        return self._assume(target, ColdSource.UNREACHABLE, now)

    def record_zone_returned(
        self, targets: Iterable[RegisteredTarget], now: float
    ) -> None:
        """Records that the zone of some targets returned to service.

        They got no requests meanwhile. Peers learn of the return themselves.

        Args:
            targets (Iterable): Targets of the zone.
            now (float): Monotonic time.
        """
        for target in targets:
            self._assume(target, ColdSource.ZONE_RETURNED, now)

    def _assume(
        self, target: RegisteredTarget, source: ColdSource, now: float
    ) -> bool:
        service = self._services.get(target.service)
        if not self.is_enabled or service is None:
            return False
        cold_s = min(MAX_COLD_S, service.cold_time_s)
        if cold_s <= 0:
            return False
        before = self._states.get(target.id) or _unknown(
            target.start, target.service
        )
        if _has_moved(target.start, before.start):
            return False
        after = before.with_end(
            now + cold_s, now, source, may_shorten=False, assumed=True
        )
        self._put(after, now)
        return source is ColdSource.UNREACHABLE and self._has_changed(
            before, after, now
        )

    def record_stated(self, stated: StatedCold, now: float) -> None:
        """Records what a peer states of the cold time of a target.

        Args:
            stated (StatedCold): The statement.
            now (float): Monotonic time.
        """
        if not self.is_enabled:
            return
        known = self._states.get(stated.start.target_id)
        cold_s = min(MAX_COLD_S, stated.remaining_ms / 1000)
        if known is None and cold_s <= 0:
            return
        if known and known.start.born_ms > stated.start.born_ms:
            return
        before = known or _unknown(stated.start, stated.service)
        stated_at = now - stated.age_ms / 1000
        is_same_start = before.start == stated.start
        is_outdated = stated_at < before.at - REORDER_S
        if is_same_start and is_outdated and not before.is_assumed:
            return
        after = before.with_end(
            now + cold_s,
            now,
            ColdSource.PEER,
            may_shorten=is_same_start
            and stated_at > before.at
            and not stated.is_assumed,
            assumed=stated.is_assumed,
        )
        if after is not before:
            # A statement that is passed on grows no younger.
            after = after._replace(at=max(before.at, stated_at))
        self._put(after, now)
        self._note_for_all(before, after, now)

    def report_all(self, now: float) -> bool:
        """Lets the next reports state all cold targets, as a router started.

        Returns:
            Whether any target is cold.
        """
        cold = [i for i in self._limited if self._states[i].until > now]
        for target_id in cold:
            self._unreported[target_id] = CHANGE_REPEATS
            self._unreported_to_all[target_id] = 1
        return bool(cold)

    def report(self, target: RegisteredTarget, now: float) -> None:
        """Lets the next reports state the cold time of a target.

        Not if it ends within MATERIAL_CHANGE_S: routers know the end to within
        the delay of reports.
        """
        state = self._states.get(target.id)
        if state is not None and state.until - now >= MATERIAL_CHANGE_S:
            self._unreported.setdefault(target.id, CHANGE_REPEATS)

    def take_report(self, now: float) -> tuple[StatedCold, ...]:
        """Returns what the next report states; empty if nothing changed."""
        return self._take(self._unreported, now)

    def take_report_to_all(self, now: float) -> tuple[StatedCold, ...]:
        """Returns what a hub's next report to all routers states."""
        return self._take(self._unreported_to_all, now)

    def _take(
        self, unreported: dict[str, int], now: float
    ) -> tuple[StatedCold, ...]:
        stated = []
        for target_id in list(unreported)[:MAX_REPORTED]:
            # Those that are stated again come after all others.
            left = unreported.pop(target_id) - 1
            if left > 0:
                unreported[target_id] = left
            state = self._states.get(target_id)
            if state is not None:
                stated.append(_to_stated(state, now))
        return tuple(stated)

    def is_cold(self, target: RegisteredTarget, now: float) -> bool:
        """Returns whether a target is cold now."""
        if target.id not in self._limited:
            return False
        state = self._states[target.id]
        return state.until > now and self.tolerated_per_s(target.service) > 0

    def has_learned_since(
        self, target: RegisteredTarget, since: float, now: float
    ) -> bool:
        """Returns whether a target is cold, which was not known at a time.

        Args:
            target (RegisteredTarget): The target.
            since (float): Monotonic time.
            now (float): Monotonic time.
        """
        is_cold = self.is_cold(target, now)
        return is_cold and self._states[target.id].learned_at >= since

    def cold_end(self, target: RegisteredTarget) -> float | None:
        """Returns the monotonic time at which the cold time ends or ended.

        None if the target is neither cold nor was so within RISE_S.
        """
        if target.id not in self._limited:
            return None
        return self._states[target.id].until

    def tolerated_per_s(self, service: str) -> float:
        """Returns the requests per second that cold targets tolerate.

        It is 0 if targets of the service are never cold.
        """
        known = self._services.get(service)
        return known.cold_rate_per_s if known else 0.0

    def cold_states(self, now: float) -> list[ColdState]:
        """Returns the states of the targets that are cold now, by id."""
        return [
            self._states[target_id]
            for target_id in sorted(self._limited)
            if self._states[target_id].until > now
        ]

    def pop_changes(self, now: float) -> list[ColdChange]:
        """Returns the targets that became cold or warm since the last call."""
        if not self._limited and not self._logged:
            return []
        self._limited = {
            i for i in self._limited if self._is_limited(self._states[i], now)
        }
        cold = {state.start.target_id for state in self.cold_states(now)}
        changed = sorted(i for i in cold ^ self._logged if i in self._states)
        self._logged = cold
        return [_to_change(self._states[i], now) for i in changed]

    def _put(self, state: ColdState, now: float) -> None:
        target_id = state.start.target_id
        self._states[target_id] = state
        if self._is_limited(state, now):
            self._limited.add(target_id)
        else:
            self._limited.discard(target_id)

    def _is_limited(self, state: ColdState, now: float) -> bool:
        is_recent = state.until + RISE_S > now
        return is_recent and self.tolerated_per_s(state.service) > 0

    def _has_changed(
        self, before: ColdState, after: ColdState, now: float
    ) -> bool:
        """Notes a change for the reports; returns whether it is material."""
        self._note_for_all(before, after, now)
        change_s = abs(max(after.until, now) - max(before.until, now))
        if change_s < MATERIAL_CHANGE_S:
            return False
        self._unreported[after.start.target_id] = CHANGE_REPEATS
        return (before.until > now) != (after.until > now)

    def _note_for_all(
        self, before: ColdState, after: ColdState, now: float
    ) -> None:
        """Notes a change for a hub's reports to all routers, if it matters."""
        target_id = after.start.target_id
        told_until = max(now, self._told_until.get(target_id, now))
        until = max(now, after.until)
        has_turned = (before.until > now) != (after.until > now)
        if has_turned or abs(until - told_until) >= CHANGE_FOR_ALL_S:
            self._told_until[target_id] = until
            # All hubs state it, so one report of each is enough.
            self._unreported_to_all[target_id] = 1


def _unknown(start: TargetStart, service: str) -> ColdState:
    """Returns the state of a target that was never cold."""
    return ColdState(
        start, service, -math.inf, -math.inf, ColdSource.REGISTRATION
    )


def _has_moved(start: TargetStart, known: TargetStart) -> bool:
    """Returns whether a later start of a target is known at another address."""
    return known.born_ms > start.born_ms and known.address != start.address


def _to_stated(state: ColdState, now: float) -> StatedCold:
    remaining_ms = math.ceil(max(0.0, state.until - now) * 1000)
    age_ms = max(0, math.ceil((now - state.at) * 1000))
    return StatedCold(
        state.start,
        state.service,
        min(MAX_COUNT, remaining_ms),
        min(MAX_COUNT, age_ms),
        state.is_assumed,
    )


def _to_change(state: ColdState, now: float) -> ColdChange:
    remaining_s = max(0.0, state.until - now)
    return ColdChange(
        state.start.target_id, state.service, state.source, remaining_s
    )
