"""Selection of the target that runs a request.

Built for a mix of long and short prompts. The time to the first token of a
request is mostly the prefill work queued before it, and a prompt whose shared
prefix is cached needs only a part of its own prefill. Requests are therefore
placed by predicted prefill time, and may wait for a target that has their
prefix cached.

Targets are either model engines, which prefill a prompt and generate tokens, or
plain targets, which are compared by the number of requests only.
"""

import enum
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

import msgspec

from chervilwall._setting_types import Fraction, NonNegative
from chervilwall.load_view import TOTALS_TTL_S, LoadView, TargetLoad
from chervilwall.prefill import TOKENS_PER_S, PrefillModel, nominal_prefill_s
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.registry import RegisteredTarget
from chervilwall.rendezvous import score
from chervilwall.request_pacer import RequestPacer
from chervilwall.target_limits import TargetLimits


class Urgency(enum.IntEnum):
    """Urgency class of a request; lower values go first.

    The less urgent a request, the shorter the prefill queue of an engine must
    be for the request to be added to it.
    """

    IN_TIME = 0
    LATE = 1
    BEYOND_SHARE = 2


class PlacementSettings(
    msgspec.Struct, frozen=True, forbid_unknown_fields=True
):
    """Limits and weights for the choice of a target.

    Args:
        max_queued_s (tuple): Prefill time in seconds, by urgency, that may be
            queued at an engine before a request of that urgency is added.
        idle_queued_s (float): Queued prefill time in seconds up to which an
            engine counts as idle: it may then recompute a prefix that another
            engine has cached. Negative for never.
        slot_fraction (float): Fraction of an engine's slots that is used.
        plain_queue_fraction (float): Requests that may be queued at a plain
            target, as a fraction of its slots.
        recompute_weight (float): Weight of time spent on recomputing a prefix
            that is cached elsewhere, relative to time spent waiting.
        non_home_penalty_s (float): Added to the cost of all targets but the
            home of a session, while no target has the session cached. The home
            is the target that all routers prefer for the session.
        cross_zone_penalty_s (float): Added to the cost of targets in other
            availability zones.
        cached_kv_fraction (float): Fraction of an engine's KV memory that is
            assumed to hold the parts of recent prompts.
    """

    max_queued_s: tuple[NonNegative, NonNegative, NonNegative] = (
        0.06,
        0.04,
        0.02,
    )
    idle_queued_s: float = 0.015
    slot_fraction: Fraction = 0.85
    plain_queue_fraction: NonNegative = 1.0
    recompute_weight: NonNegative = 3.0
    non_home_penalty_s: NonNegative = 0.05
    cross_zone_penalty_s: NonNegative = 0.002
    cached_kv_fraction: Fraction = 0.85


class Demand(NamedTuple):
    """Resources that a request needs.

    Args:
        service (str): Service that it is for.
        prompt_tokens (int): Length of its prompt, 0 for a plain request.
        output_tokens (int): Expected number of generated tokens.
        parts (tuple): Parts of its prompt, in order.
        session (str): Id of the last prompt part that other requests share, or
            "".
    """

    service: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    session: str = ""

    @property
    def is_generation(self) -> bool:
        """Whether the request is for a model engine."""
        return self.prompt_tokens > 0

    @property
    def own_part(self) -> str:
        """Id of the part that is unique to this request, or ""."""
        last = self.parts[-1].id if self.parts else ""
        return last if last != self.session else ""


class Choice(NamedTuple):
    """The selected target and the predicted cost of the request there.

    Args:
        target (RegisteredTarget): Target that runs the request.
        uncached_tokens (int): Prompt tokens that are not cached there.
        prefill_s (float): Predicted prefill time of the prompt, in seconds.
        first_token_s (float): Predicted time to the first token, in seconds.
        factor (float): Factor of the target that the predictions used.
    """

    target: RegisteredTarget
    uncached_tokens: int = 0
    prefill_s: float = 0.0
    first_token_s: float = 0.0
    factor: float = 1.0


class _Candidate(NamedTuple):
    """An engine that may run a request.

    Args:
        cost (float): Predicted time to the first token plus penalties, in
            seconds. The lowest cost is best.
        wait_s (float): Time until the engine may be sent the request.
        queued_s (float): Prefill time queued at the engine.
        prefill_s (float): Prefill time of the request.
        uncached_tokens (int): Prompt tokens that are not cached.
        factor (float): Factor of its prefill times.
        target (RegisteredTarget): The engine.
    """

    cost: float
    wait_s: float
    queued_s: float
    prefill_s: float
    uncached_tokens: int
    factor: float
    target: RegisteredTarget

    def to_choice(self) -> Choice:
        """Returns the choice of this engine."""
        first_token_s = self.queued_s + self.prefill_s
        return Choice(
            self.target,
            self.uncached_tokens,
            self.prefill_s,
            first_token_s,
            self.factor,
        )


class _FailedSearch(NamedTuple):
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


class Placement:
    """Select targets by the load that all routers report.

    Args:
        settings (PlacementSettings): Limits and weights.
        zone (str): This router's availability zone.
        load (LoadView): Load of the targets.
        prefixes (PrefixMap): Prompt parts that the targets have cached.
        model (PrefillModel): Prefill speed of the targets.
        usable (Callable): Returns whether a target may be sent requests.
        pacer (RequestPacer): Spaces the requests to targets that name limits.
            Defaults to one that knows no limits.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        zone: str,
        load: LoadView,
        prefixes: PrefixMap,
        model: PrefillModel,
        usable: Callable[[RegisteredTarget], bool],
        pacer: RequestPacer | None = None,
    ) -> None:
        self._settings = settings
        self._zone = zone
        self._load = load
        self._prefixes = prefixes
        self._model = model
        self._usable = usable
        self._pacer = pacer or RequestPacer(TargetLimits(), lambda service: 1.0)
        self._failed_searches: dict[str, _FailedSearch] = {}

    def __repr__(self) -> str:
        return f"Placement(zone={self._zone!r})"

    def choose(
        self,
        demand: Demand,
        targets: Sequence[RegisteredTarget],
        now: float,
        *,
        slack_s: float = 0.0,
        urgency: Urgency = Urgency.IN_TIME,
        excluded: Iterable[str] = (),
    ) -> Choice | None:
        """Returns the best target, or None.

        It is None if no target can take the request now, or if the request
        should wait for a better one.

        Args:
            demand (Demand): Resources that the request needs.
            targets (Sequence): Targets of the service.
            now (float): Monotonic time.
            slack_s (float): Seconds from now until the first token is due. The
                request waits for the best engine if that can produce the first
                token by then.
            urgency (Urgency): Urgency class of the request.
            excluded (Iterable): Ids of targets that were already tried.
        """
        if demand.is_generation and not self.has_free_capacity(targets, now):
            return None
        excluded_ids = set(excluded)
        usable = [
            t for t in targets if t.id not in excluded_ids and self._usable(t)
        ]
        if not usable:
            return None
        if not demand.is_generation:
            return self._choose_plain_target(usable, now)
        return self._choose_engine(demand, usable, now, slack_s, urgency)

    def has_free_capacity(
        self, targets: Sequence[RegisteredTarget], now: float
    ) -> bool:
        """Returns whether any engine can take a request of some urgency.

        Engines that `usable` rejects are counted as well. The queues of the
        engines are compared with the highest of the limits by urgency, which by
        default is that of requests in time.
        """
        if not targets:
            return False
        service, version = targets[0].service, self._load.version
        failed_search = self._failed_searches.get(service)
        if failed_search is not None and failed_search.is_current(
            len(targets), version, now
        ):
            return False
        if self._has_free_engine(targets, now):
            return True
        self._failed_searches[service] = _FailedSearch(
            len(targets), version, now
        )
        return False

    def _has_free_engine(
        self, targets: Sequence[RegisteredTarget], now: float
    ) -> bool:
        max_queued_s = max(self._settings.max_queued_s)
        pacer = None if self._pacer.is_idle else self._pacer
        for target in targets:
            load = self._load.total(target.id, now)
            if self._capacity_wait_s(target, load, max_queued_s) > 0:
                continue
            if pacer is None or pacer.wait_s(target, now) <= 0:
                return True
        return False

    def min_prefill_s(
        self, demand: Demand, targets: Sequence[RegisteredTarget], now: float
    ) -> float:
        """Returns the prefill time in seconds with the best cached prefix.

        It is the time on a target of mean speed that has cached the longest
        prefix that any of the targets has. The result is 0 for a plain request.
        """
        if not demand.is_generation or not targets:
            return 0.0
        cached_at = self._prefixes.cached_by_target(demand.parts, now)
        cached = max(cached_at.get(t.id, 0) for t in targets)
        uncached = max(1, demand.prompt_tokens - cached)
        return self._model.mean_work_s(uncached, cached)

    def start_delay_s(self, demand: Demand) -> float:
        """Returns by how much engines start a request later than usual ones.

        Args:
            demand (Demand): Resources that the request needs.

        Returns:
            Seconds; 0 for a plain request.
        """
        if not demand.is_generation:
            return 0.0
        return self._model.start_latency.excess_s(demand.service)

    def _choose_plain_target(
        self, targets: list[RegisteredTarget], now: float
    ) -> Choice | None:
        best: tuple[float, RegisteredTarget] | None = None
        pacer = None if self._pacer.is_idle else self._pacer
        for target in targets:
            running = self._load.total(target.id, now).running
            max_running = target.slots * (
                1 + self._settings.plain_queue_fraction
            )
            if target.slots and running >= max_running:
                continue
            if pacer is not None and pacer.wait_s(target, now) > 0:
                continue
            cost = (running + 1) / max(1, target.slots)
            cost += (
                0.0
                if target.zone == self._zone
                else self._settings.cross_zone_penalty_s
            )
            if best is None or cost < best[0]:
                best = (cost, target)
        return Choice(best[1]) if best else None

    def _choose_engine(
        self,
        demand: Demand,
        targets: list[RegisteredTarget],
        now: float,
        slack_s: float,
        urgency: Urgency,
    ) -> Choice | None:
        best, idle = self._find_cheapest(demand, targets, now, urgency)
        if best.wait_s <= 0:
            return best.to_choice()
        first_token_s = best.wait_s + best.queued_s + best.prefill_s
        if first_token_s + self.start_delay_s(demand) <= slack_s:
            return None
        # The best engine has no free capacity in time. Another one may
        # recompute the prefix only if it is idle: otherwise the recomputation
        # would delay requests that it could start instead.
        return idle.to_choice() if idle is not None else None

    def _find_cheapest(
        self,
        demand: Demand,
        targets: list[RegisteredTarget],
        now: float,
        urgency: Urgency,
    ) -> "tuple[_Candidate, _Candidate | None]":
        """Returns the cheapest engine, and the cheapest idle one if any."""
        cached_at = self._prefixes.cached_by_target(demand.parts, now)
        max_cached = max((cached_at.get(t.id, 0) for t in targets), default=0)
        home_id = self._home_id(demand, targets) if not max_cached else ""
        max_queued_s = self._settings.max_queued_s[urgency]
        nominal_by_cached: dict[int, float] = {}
        best: _Candidate | None = None
        idle: _Candidate | None = None
        pacer = None if self._pacer.is_idle else self._pacer
        pace_s = 0.0
        for target in targets:
            target_id = target.id
            load = self._load.total(target_id, now)
            queued_s = load.prefill_s
            cached = cached_at.get(target_id, 0)
            uncached = max(1, demand.prompt_tokens - cached)
            nominal_s = nominal_by_cached.get(cached)
            if nominal_s is None:
                nominal_s = nominal_by_cached[cached] = nominal_prefill_s(
                    uncached, cached
                )
            factor = self._model.factor(target_id)
            prefill_s = nominal_s * factor
            recompute_s = (max_cached - cached) * factor / TOKENS_PER_S
            cost = (
                queued_s
                + prefill_s
                + self._settings.recompute_weight * recompute_s
            )
            if home_id and target_id != home_id:
                cost += self._settings.non_home_penalty_s
            if target.zone != self._zone:
                cost += self._settings.cross_zone_penalty_s
            if pacer is not None:
                pace_s = pacer.wait_s(target, now)
                cost += pace_s + pacer.idle_s(target, prefill_s, now)
            is_best = best is None or cost < best.cost
            may_be_idle = queued_s <= self._settings.idle_queued_s and (
                idle is None or cost < idle.cost
            )
            if not is_best and not may_be_idle:
                continue
            wait_s = self._capacity_wait_s(target, load, max_queued_s)
            wait_s = max(wait_s, pace_s)
            candidate = _Candidate(
                cost, wait_s, queued_s, prefill_s, uncached, factor, target
            )
            if is_best:
                best = candidate
            if may_be_idle and wait_s <= 0:
                idle = candidate
        assert best is not None
        return best, idle

    def _capacity_wait_s(
        self, target: RegisteredTarget, load: TargetLoad, max_queued_s: float
    ) -> float:
        """Returns the seconds until a target has free capacity, 0 for now.

        With a free slot, it is the time until the queue is within its limit.
        Without one, it is the time of the queue, and at least `max_queued_s`.

        Args:
            target (RegisteredTarget): An engine.
            load (TargetLoad): Its load.
            max_queued_s (float): Prefill time that may be queued there.
        """
        if target.slots:
            limit = max(1, int(target.slots * self._settings.slot_fraction))
            if load.running >= limit:
                return max(max_queued_s, load.prefill_s)
        return max(0.0, load.prefill_s - max_queued_s)

    def _home_id(self, demand: Demand, targets: list[RegisteredTarget]) -> str:
        """Returns the id of a session's home, or "" without a session.

        The home is the target that all routers prefer while no target has the
        session cached.
        """
        session = demand.session
        if not session:
            return ""
        return max(targets, key=lambda t: score(session, t.id)).id
