"""Load of each target, summed over all routers of the fleet."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

# Reports older than this are ignored: the router has stopped or cannot be
# reached.
PEER_TTL_S = 1.5
# Computed totals are reused for this time. A change to the load of a target
# invalidates its total at once.
TOTALS_TTL_S = 0.002
# Fraction of a prefill's predicted time that still counts once the prediction
# has run out, until the first token arrives.
OVERDUE_WORK_FRACTION = 0.15


class TargetLoad(NamedTuple):
    """Load of one target.

    Args:
        running (int): Requests sent to it that have not ended.
        prefill_s (float): Remaining prefill work, in seconds.
        kv_tokens (int): Tokens of its KV cache that its requests occupy.
    """

    running: int = 0
    prefill_s: float = 0.0
    kv_tokens: int = 0

    def plus(self, other: "TargetLoad") -> "TargetLoad":
        """Returns the sum of two loads."""
        return TargetLoad(
            self.running + other.running,
            self.prefill_s + other.prefill_s,
            self.kv_tokens + other.kv_tokens,
        )


NO_LOAD = TargetLoad()


class FailedSearch(NamedTuple):
    """A search that found no engine of a service with free capacity.

    Args:
        targets (int): Number of engines searched.
        version (int): Version of the load view that was searched.
        at (float): Monotonic time of the search.
    """

    targets: int
    version: int
    at: float

    def is_current(self, targets: int, version: int, now: float) -> bool:
        """Returns whether another search would find the same."""
        same = (targets, version) == (self.targets, self.version)
        return same and 0.0 <= now - self.at < TOTALS_TTL_S


class _Prefill(NamedTuple):
    """The prefill of one request.

    Args:
        prefill_s (float): Predicted prefill time, in seconds.
        done_at (float): Monotonic time at which it should be done.
    """

    prefill_s: float
    done_at: float

    def remaining_s(self, now: float) -> float:
        """Returns the predicted remaining prefill time, in seconds.

        An overdue prefill keeps counting with a fraction of its predicted time,
        so that a slow target does not look idle.
        """
        prefill_s = self.prefill_s
        remaining_s = self.done_at - now
        if remaining_s >= prefill_s:
            return prefill_s
        min_remaining_s = OVERDUE_WORK_FRACTION * prefill_s
        return remaining_s if remaining_s > min_remaining_s else min_remaining_s


class _LocalLoad:
    """Track this router's requests on one target."""

    def __init__(self) -> None:
        self.running = 0
        self.kv_tokens = 0
        self.prefills: dict[int, _Prefill] = {}

    def load(self, now: float) -> TargetLoad:
        prefill_s = 0.0
        for prefill in self.prefills.values():
            prefill_s += prefill.remaining_s(now)
        return TargetLoad(self.running, prefill_s, self.kv_tokens)


class LoadView:
    """Sum this router's load and the latest report of each peer."""

    def __init__(self) -> None:
        self._local: dict[str, _LocalLoad] = {}
        self._peers: dict[str, tuple[float, Mapping[str, TargetLoad]]] = {}
        # Peers that report load on each target, so that a total visits only
        # these.
        self._peers_by_target: dict[str, set[str]] = {}
        self._last_number = 0
        # Incremented whenever a request of this router or a report of a peer
        # changes the load; not when loads decrease as time passes.
        self.version = 0
        # Totals computed since `_totals_computed_at`, shared by the placements
        # that follow within TOTALS_TTL_S.
        self._totals: dict[str, TargetLoad] = {}
        self._totals_computed_at = 0.0

    def __repr__(self) -> str:
        return f"LoadView(peers={len(self._peers)})"

    def start(
        self, target_id: str, *, work_s: float, kv_tokens: int, now: float
    ) -> int:
        """Adds a request of this router to a target's load.

        Args:
            target_id (str): Target that runs the request.
            work_s (float): Predicted prefill time, in seconds.
            kv_tokens (int): Tokens of the KV cache that it occupies.
            now (float): Monotonic time.

        Returns:
            int: Number by which later calls refer to the request.
        """
        self._last_number += 1
        self.version += 1
        ahead_s = self.total(target_id, now).prefill_s
        local = self._local.setdefault(target_id, _LocalLoad())
        local.running += 1
        local.kv_tokens += kv_tokens
        if work_s > 0:
            prefill = _Prefill(work_s, now + ahead_s + work_s)
            local.prefills[self._last_number] = prefill
        self._totals.pop(target_id, None)
        return self._last_number

    def record_prefill_done(self, target_id: str, number: int) -> None:
        """Records that the prefill of a request is done."""
        local = self._local.get(target_id)
        if local is not None:
            self.version += 1
            local.prefills.pop(number, None)
            self._totals.pop(target_id, None)

    def end(self, target_id: str, number: int, kv_tokens: int) -> None:
        """Removes a request that ended."""
        local = self._local.get(target_id)
        if local is None:
            return
        self.version += 1
        self._totals.pop(target_id, None)
        local.prefills.pop(number, None)
        local.running -= 1
        local.kv_tokens -= kv_tokens
        if local.running <= 0:
            del self._local[target_id]

    def own_running(self, target_id: str) -> int:
        """Returns the number of this router's requests on a target."""
        local = self._local.get(target_id)
        return local.running if local else 0

    def set_peer(
        self, peer: str, loads: Iterable[tuple[str, TargetLoad]], now: float
    ) -> None:
        """Replaces the load that a peer last reported."""
        self.drop_peer(peer)
        loads_by_target = dict(loads)
        if loads_by_target:
            self.version += 1
        self._peers[peer] = (now, loads_by_target)
        for target_id in loads_by_target:
            self._peers_by_target.setdefault(target_id, set()).add(peer)
            self._totals.pop(target_id, None)

    def drop_peer(self, peer: str) -> None:
        """Removes a peer and the load that it reported."""
        _, loads = self._peers.pop(peer, (0.0, {}))
        if loads:
            self.version += 1
        for target_id in loads:
            self._totals.pop(target_id, None)
            reporting_peers = self._peers_by_target[target_id]
            reporting_peers.discard(peer)
            if not reporting_peers:
                del self._peers_by_target[target_id]

    def oldest_report_s(self, target_id: str, now: float) -> float | None:
        """Returns the age of the oldest report in a target's load.

        Returns:
            Seconds, None if only requests of this router count.
        """
        ages = [
            now - self._peers[peer][0]
            for peer in self._peers_by_target.get(target_id, ())
        ]
        return max((age for age in ages if age <= PEER_TTL_S), default=None)

    def total(self, target_id: str, now: float) -> TargetLoad:
        """Returns the load of a target, summed over all routers."""
        if not 0.0 <= now - self._totals_computed_at < TOTALS_TTL_S:
            self._totals.clear()
            self._totals_computed_at = now
        total = self._totals.get(target_id)
        if total is None:
            total = self._totals[target_id] = self._compute_total(
                target_id, now
            )
        return total

    def _compute_total(self, target_id: str, now: float) -> TargetLoad:
        local = self._local.get(target_id)
        load = local.load(now) if local else NO_LOAD
        for peer in self._peers_by_target.get(target_id, ()):
            at, loads = self._peers[peer]
            if now - at <= PEER_TTL_S:
                load = load.plus(loads[target_id])
        return load
