"""What a request asks of the scheduler, and the room that it is given."""

from collections.abc import Callable
from typing import NamedTuple

from chervilwall.load_view import LoadView
from chervilwall.placement import Choice, Demand
from chervilwall.prefill import PrefillModel


class Wish(NamedTuple):
    """A request that asks for a target.

    Args:
        demand (Demand): What it needs.
        team (str): Team that pays.
        objective_s (float): Its latency objective.
        due_at (float): Monotonic time by which its first token is due.
        deadline_at (float): Monotonic time after which nobody waits for it.
        arrived_at (float): Monotonic time of its arrival at this router.
        excluded (frozenset): Targets that were tried already.
        first (bool): Whether no target was tried for it before.
        route (str): Its route.
        size_class (int): 0 for most requests, 2 for the largest of a route.
        fingerprint (bytes): Digest by which it is known when it comes again.
    """

    demand: Demand
    team: str
    objective_s: float
    due_at: float
    deadline_at: float
    arrived_at: float
    excluded: frozenset[str] = frozenset()
    first: bool = True
    route: str = ""
    size_class: int = 0
    fingerprint: bytes = b""

    @property
    def tokens(self) -> float:
        """Tokens by which the engines' output is shared."""
        return self.demand.prompt_tokens + 2.0 * self.demand.output_tokens


class Grant:
    """Hold a target's room for one request.

    Args:
        choice (Choice): Where it runs.
        demand (Demand): What it needs.
        load (LoadView): Where its load is counted.
        model (PrefillModel): Learns from its first token.
        released (Callable): Called when room becomes free.
        started_at (float): Monotonic time of the grant.
        ended (Callable | None): Called at its end. Defaults to None.
    """

    def __init__(
        self,
        choice: Choice,
        demand: Demand,
        load: LoadView,
        model: PrefillModel,
        released: Callable[[], None],
        started_at: float,
        ended: Callable[[], None] | None = None,
    ) -> None:
        self.first_token_s = 0.0
        self._ended = ended
        # The request, if this is a trial of one that crashed targets.
        self.trial_of = b""
        self._model = model
        self.choice = choice
        self.started_at = started_at
        self._load = load
        self._released = released
        self._kv_tokens = demand.prompt_tokens + demand.output_tokens
        self._open = True
        self._number = load.start(
            choice.target.id,
            work_s=choice.prefill_s,
            kv_tokens=self._kv_tokens,
            now=started_at,
        )

    def __repr__(self) -> str:
        return f"Grant(target={self.choice.target.id!r})"

    def __enter__(self) -> "Grant":
        return self

    def __exit__(self, *exc_info: object) -> None:
        if not self._open:
            return
        self._open = False
        self._load.end(self.choice.target.id, self._number, self._kv_tokens)
        if self._ended is not None:
            self._ended()
        self._released()

    def note_first_token(self, first_token_s: float) -> None:
        """Notes that the prompt was read, and how long that took."""
        if not self._open or self.first_token_s:
            return
        self.first_token_s = first_token_s
        choice = self.choice
        self._load.record_prefill_done(choice.target.id, self._number)
        self._model.observe(
            choice.target.id, choice.first_token_s, first_token_s
        )
        self._released()
