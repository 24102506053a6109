"""Which target runs a request.

Answers the load pattern of long prompts beside short ones: the time to a first
token is the prompt tokens queued before it, and a prompt whose shared parts
are cached costs a part of its length.
"""

import statistics
from collections.abc import Callable, Iterable, Sequence
from typing import NamedTuple

from chervilwall.load_view import LoadView, TargetLoad
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.registry import RegisteredTarget
from chervilwall.rendezvous import score


class PlacementSettings(NamedTuple):
    """Limits of placement.

    Args:
        prefill_window_s (float): Prompt work that may be queued at an engine.
        slot_fraction (float): Portion of an engine's slots that is filled.
        plain_queue (float): Requests queued at a plain target, as a portion of
            its slots.
        miss_weight (float): Weight of re-reading cached parts against waiting.
        away_weight (float): Weight of leaving a session's home, against
            re-reading its parts.
        prefill_rate (float): Prompt tokens a second before it is learned.
        cross_zone_s (float): Handicap of a target in another zone.
    """

    prefill_window_s: float = 0.14
    slot_fraction: float = 0.85
    plain_queue: float = 1.0
    miss_weight: float = 1.0
    away_weight: float = 0.5
    prefill_rate: float = 50_000.0
    cross_zone_s: float = 0.003


class Demand(NamedTuple):
    """What a request needs of a target.

    Args:
        service (str): Its service.
        prompt_tokens (int): Length of its prompt, 0 for a plain request.
        output_tokens (int): Most tokens that it generates.
        parts (tuple): Shared parts of its prompt, in order.
        session (str): The last shared part, or "".
    """

    service: str
    prompt_tokens: int = 0
    output_tokens: int = 0
    parts: tuple[PromptPart, ...] = ()
    session: str = ""

    @property
    def is_generation(self) -> bool:
        """Whether it is for a model engine."""
        return self.prompt_tokens > 0


class Choice(NamedTuple):
    """A target and what the request will cost there.

    Args:
        target (RegisteredTarget): Where the request goes.
        miss_tokens (int): Prompt tokens that it must read.
        first_token_s (float): Predicted time to the first token or answer.
    """

    target: RegisteredTarget
    miss_tokens: int
    first_token_s: float


class PrefillRate:
    """Learn how fast a target reads prompts, from its first-token times.

    Args:
        initial (float): Tokens a second before anything is known.
    """

    WEIGHT = 0.1
    LEAST = 5_000.0
    MOST = 200_000.0
    MIN_SAMPLE_TOKENS = 2_000

    def __init__(self, initial: float) -> None:
        self.tokens_per_s = initial

    def __repr__(self) -> str:
        return f"PrefillRate(tokens_per_s={self.tokens_per_s:.0f})"

    def observe(self, tokens_ahead: int, first_token_s: float) -> None:
        """Takes in one request's first token."""
        if tokens_ahead < self.MIN_SAMPLE_TOKENS or first_token_s <= 0:
            return
        seen = min(self.MOST, max(self.LEAST, tokens_ahead / first_token_s))
        self.tokens_per_s += self.WEIGHT * (seen - self.tokens_per_s)


class Placement:
    """Choose targets from the shared view of load.

    Args:
        settings (PlacementSettings): Limits.
        zone (str): This router's availability zone.
        load (LoadView): Load of the targets.
        prefixes (PrefixMap): Cached parts.
        usable (Callable): Tells whether a target is healthy enough.
    """

    def __init__(
        self,
        settings: PlacementSettings,
        zone: str,
        load: LoadView,
        prefixes: PrefixMap,
        usable: Callable[[RegisteredTarget], bool],
    ) -> None:
        self._cfg = settings
        self._zone = zone
        self._load = load
        self._prefixes = prefixes
        self._usable = usable
        self._rates: dict[str, PrefillRate] = {}

    def __repr__(self) -> str:
        return f"Placement(zone={self._zone!r})"

    def rate(self, target_id: str) -> PrefillRate:
        """Returns what is known of a target's reading speed."""
        rate = self._rates.get(target_id)
        if rate is None:
            rate = PrefillRate(self._cfg.prefill_rate)
            self._rates[target_id] = rate
        return rate

    def mean_rate(self) -> float:
        """Returns the mean reading speed of the known targets."""
        known = [rate.tokens_per_s for rate in self._rates.values()]
        return statistics.fmean(known) if known else self._cfg.prefill_rate

    def forget(self, target_id: str) -> None:
        """Forgets a target."""
        self._rates.pop(target_id, None)

    def choose(
        self,
        demand: Demand,
        targets: Sequence[RegisteredTarget],
        now: float,
        *,
        excluded: Iterable[str] = (),
    ) -> Choice | None:
        """Returns the best target with room, or None where all are taken.

        Args:
            demand (Demand): What is needed.
            targets (Sequence): Targets of the service.
            now (float): Monotonic time.
            excluded (Iterable): Ids of targets that were tried already.
        """
        left_out = set(excluded)
        usable = [
            t for t in targets if t.id not in left_out and self._usable(t)
        ]
        if not usable:
            return None
        if not demand.is_generation:
            return self._choose_plain(usable, now)
        return self._choose_engine(demand, usable, now)

    def _choose_plain(
        self, targets: list[RegisteredTarget], now: float
    ) -> Choice | None:
        best: tuple[float, RegisteredTarget] | None = None
        for target in targets:
            running = self._load.total(target.id, now).running
            room = target.slots * (1 + self._cfg.plain_queue)
            if target.slots and running >= room:
                continue
            cost = (running + 1) / max(1, target.slots)
            cost += 0.0 if target.zone == self._zone else self._cfg.cross_zone_s
            if best is None or cost < best[0]:
                best = (cost, target)
        return Choice(best[1], 0, 0.0) if best else None

    def _choose_engine(
        self, demand: Demand, targets: list[RegisteredTarget], now: float
    ) -> Choice | None:
        home = self._home(demand.session, targets)
        best: tuple[float, Choice] | None = None
        for target in targets:
            load = self._load.total(target.id, now)
            if not self._has_room(target, load):
                continue
            choice = self._predict(demand, target, load, now)
            cost = self._cost(demand, choice, home)
            if best is None or cost < best[0]:
                best = (cost, choice)
        return best[1] if best else None

    def _has_room(self, target: RegisteredTarget, load: TargetLoad) -> bool:
        if target.slots:
            limit = max(1, int(target.slots * self._cfg.slot_fraction))
            if load.running >= limit:
                return False
        rate = self.rate(target.id).tokens_per_s
        return load.prefill_tokens < self._cfg.prefill_window_s * rate

    def _predict(
        self,
        demand: Demand,
        target: RegisteredTarget,
        load: TargetLoad,
        now: float,
    ) -> Choice:
        cached = self._prefixes.cached_tokens(target.id, demand.parts, now)
        miss = max(1, demand.prompt_tokens - cached)
        rate = self.rate(target.id).tokens_per_s
        return Choice(target, miss, (load.prefill_tokens + miss) / rate)

    def _cost(self, demand: Demand, choice: Choice, home: str) -> float:
        target = choice.target
        rate = self.rate(target.id).tokens_per_s
        cost = choice.first_token_s
        cost += self._cfg.miss_weight * choice.miss_tokens / rate
        if home and target.id != home:
            shared = sum(part.tokens for part in demand.parts)
            cost += self._cfg.away_weight * shared / rate
        if target.zone != self._zone:
            cost += self._cfg.cross_zone_s
        return cost

    def _home(self, session: str, targets: list[RegisteredTarget]) -> str:
        if not session:
            return ""
        return max(targets, key=lambda t: score(session, t.id)).id
