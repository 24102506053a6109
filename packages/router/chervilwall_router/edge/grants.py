"""Requests for a target and the capacity granted to them."""

import math
from collections.abc import Callable
from typing import NamedTuple

from chervilwall.fingerprints import Fingerprints, part_fingerprints
from chervilwall.load_view import LoadView
from chervilwall.placement import Choice, Demand
from chervilwall.prefill import PrefillModel
from chervilwall.stream_origins import StreamDemand


class GrantRequest(NamedTuple):
    """A caller's request that needs a target.

    Args:
        demand (Demand): Service, tokens and prompt parts of the request.
        team (str): Team that the request is accounted to.
        objective_s (float): Latency objective in seconds.
        due_at (float): Monotonic time by which the first token is due.
        deadline_at (float): Monotonic time at which the caller's time limit
            ends.
        arrived_at (float): Monotonic time of arrival at this router.
        excluded (frozenset): Ids of targets that must not be chosen, because
            they were tried already or are unusable.
        is_first_attempt (bool): Whether this is the first attempt of the
            request. Defaults to True.
        route (str): Name of the route. Defaults to "".
        size_class (int): Size among the requests of the route: 2 for the
            largest tenth, 1 for the fifth below it, 0 for all others. Defaults
            to 0.
        fingerprint (bytes): Digest that identifies the request when it is
            retried. Defaults to b"".
        stream (StreamDemand | None): The resumable stream that is requested,
            None for any other request. Defaults to None.
        is_replacement (bool): Whether the request runs on a target that is
            silent, and goes on there without a grant. Defaults to False.
    """

    demand: Demand
    team: str
    objective_s: float
    due_at: float
    deadline_at: float
    arrived_at: float
    excluded: frozenset[str] = frozenset()
    is_first_attempt: bool = True
    route: str = ""
    size_class: int = 0
    fingerprint: bytes = b""
    stream: StreamDemand | None = None
    is_replacement: bool = False

    @property
    def is_bound_to_version(self) -> bool:
        """Whether only targets of one software version may be chosen."""
        return self.stream is not None and self.stream.version is not None

    @property
    def is_resumption(self) -> bool:
        """Whether the request resumes a stream."""
        return self.stream is not None and self.stream.is_resumption

    @property
    def fingerprints(self) -> Fingerprints:
        """Fingerprints of the request and of the parts of its prompt."""
        parts = part_fingerprints(self.demand.service, self.demand.parts)
        return (self.fingerprint, *parts)

    @property
    def tokens(self) -> float:
        """Cost in tokens that is charged to the team's fair share.

        A generated token counts as two prompt tokens.
        """
        return self.demand.prompt_tokens + 2.0 * self.demand.output_tokens


class Grant:
    """Reserve capacity of a target for one request until the context ends.

    A grant belongs to the scheduler. The router that runs the request holds a
    PlacedRequest.

    Args:
        choice (Choice): Chosen target with its predicted times.
        demand (Demand): Service, tokens and prompt parts of the request.
        load (LoadView): Load view in which the request is counted.
        model (PrefillModel): Model that is updated with the measured time to
            the first token.
        on_capacity_freed (Callable): Called at the first token, because the
            target has then read the prompt, and at the end of the grant.
        started_at (float): Monotonic time of the grant.
        on_release (Callable | None): Called once when the grant ends. Defaults
            to None.
        on_stream_begun (Callable | None): Called at the first event of a
            resumable stream. Defaults to None.
        slowdown (Callable | None): Returns the slowdown that the target reports
            now, None if it reports none. Defaults to None, for a target that
            reports none.
    """

    def __init__(
        self,
        choice: Choice,
        demand: Demand,
        load: LoadView,
        model: PrefillModel,
        on_capacity_freed: Callable[[], None],
        started_at: float,
        on_release: Callable[[], None] | None = None,
        on_stream_begun: Callable[[], None] | None = None,
        slowdown: Callable[[], float | None] | None = None,
    ) -> None:
        self._slowdown = slowdown
        self._on_stream_begun = on_stream_begun
        self.first_token_s = 0.0
        self._on_release = on_release
        # Fingerprints of the request that are quarantined, if it is a trial.
        self.trial_fingerprints: Fingerprints = ()
        # The resumable stream that the request begins or resumes.
        self.stream: StreamDemand | None = None
        # Time from the grant in which the request must be sent.
        self.send_within_s = math.inf
        self.part_fingerprints = part_fingerprints(demand.service, demand.parts)
        self._model = model
        self.choice = choice
        self.started_at = started_at
        self._load = load
        self._on_capacity_freed = on_capacity_freed
        self._kv_tokens = demand.prompt_tokens + demand.output_tokens
        self._is_open = True
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
        if not self._is_open:
            return
        self._is_open = False
        self._load.end(self.choice.target.id, self._number, self._kv_tokens)
        if self._on_release is not None:
            self._on_release()
        self._on_capacity_freed()

    def record_first_token(
        self, first_token_s: float, *, has_event: bool
    ) -> None:
        """Records the first token, which shows that the prompt was read.

        Calls after the first one, or after the end of the grant, are ignored.

        Args:
            first_token_s (float): Seconds from the grant to the first token.
            has_event (bool): Whether it is an event of a stream.
        """
        if not self._is_open or self.first_token_s:
            return
        self.first_token_s = first_token_s
        if has_event and self._on_stream_begun is not None:
            self._on_stream_begun()
        choice = self.choice
        self._load.record_prefill_done(choice.target.id, self._number)
        self._model.observe(
            choice.target.id,
            choice.first_token_s,
            first_token_s,
            choice.factor,
            self._slowdown_ratio(),
            service=choice.target.service,
        )
        self._on_capacity_freed()

    def _slowdown_ratio(self) -> float | None:
        """Returns the mean slowdown since the grant relative to that then.

        It is None if the target reports none.
        """
        slowdown = self._slowdown() if self._slowdown is not None else None
        if slowdown is None:
            return None
        predicted = self.choice.slowdown
        return (predicted + slowdown) / 2 / predicted
