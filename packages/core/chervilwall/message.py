"""Messages between routers, and the accounting rows that they carry."""

from typing import NamedTuple

OUTCOME_COMPLETED = "completed"
OUTCOME_REFUSED = "refused"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_CANCELLED = "cancelled"
OUTCOME_BROKEN = "broken"
OUTCOME_ERROR = "error"
OUTCOME_NOT_SENT = "not_sent"
OUTCOME_TIMEOUT = "timeout"
# Of a request that no target began to run.
OUTCOMES_NOT_RUN = frozenset((OUTCOME_REFUSED, OUTCOME_NOT_SENT))
# Cost of an attempt that did not end: its team keeps paying the estimate.
KEEP_CHARGE = -1.0


class RowKey(NamedTuple):
    """Identity of a grow-only row: who counted, and for what."""

    incarnation: str
    team: str
    service: str
    cls: str


class Row(NamedTuple):
    """Grow-only totals of one team's class on one router incarnation.

    Args:
        completed (int): Requests answered whole.
        refused (int): Requests refused and not run.
        unknown (int): Requests that may have run without a whole answer.
        uncertain (int): Requests granted to a router that was then lost.
        work (float): Work of completed requests, in work units.
        worth (float): Worth of completed requests.
        started (int): Attempts begun on a grant of this router's own
            scheduler, of which no other router knows.
        finished (int): Those of them that have ended.
    """

    completed: int = 0
    refused: int = 0
    unknown: int = 0
    uncertain: int = 0
    work: float = 0.0
    worth: float = 0.0
    started: int = 0
    finished: int = 0


class KeyedRow(NamedTuple):
    """A row with its key, as sent and stored."""

    key: RowKey
    row: Row


class Enqueue(NamedTuple):
    """Asks a cell's scheduler for a grant.

    Args:
        req_id (int): Id that the holding router gave the request.
        cell (str): The cell it should run in.
        team (str): Team that pays.
        cls (str): Request class.
        deadline_left_s (float): Seconds until the answer must have started.
        estimate (float): Expected cost in the service's measure.
        fingerprint (bytes): Digest of the request, equal for a resend.
        prefix (int): Hash of the prompt's head, 0 where there is none.
        exclude (tuple): Targets on which it was tried already.
    """

    req_id: int
    cell: str
    team: str
    cls: str
    deadline_left_s: float
    estimate: float
    fingerprint: bytes
    prefix: int = 0
    exclude: tuple[str, ...] = ()


class Cancel(NamedTuple):
    """Withdraws a queued request."""

    req_id: int
    cell: str


class Grant(NamedTuple):
    """Lets the holding router send one attempt to one target."""

    req_id: int
    cell: str
    target: str


class Refuse(NamedTuple):
    """Tells the holding router that a queued request will not be granted."""

    req_id: int
    cell: str
    reason: str
    retry_after_s: float


class Done(NamedTuple):
    """Reports the end of a granted attempt.

    Args:
        req_id (int): Id that the holding router gave the request.
        cell (str): The cell in which it ran.
        target (str): The target that ran it.
        outcome (str): One of the OUTCOME constants.
        cost (float): Actual cost in the service's measure, or KEEP_CHARGE.
        first_byte_s (float): Seconds to the first byte, below 0 if none came.
        total (KeyedRow): The router's running totals after this request.
    """

    req_id: int
    cell: str
    target: str
    outcome: str
    cost: float
    first_byte_s: float
    total: KeyedRow | None = None


class RunningItem(NamedTuple):
    """A running attempt in a Sync, enough to rebuild a scheduler's state."""

    req_id: int
    target: str
    team: str
    cls: str
    charged: float
    fingerprint: bytes


class Sync(NamedTuple):
    """Lists all that a router holds of a cell, to repair lost messages."""

    cell: str
    waiting: tuple[int, ...]
    running: tuple[RunningItem, ...]


class Missing(NamedTuple):
    """Names requests of a Sync that the scheduler does not know."""

    cell: str
    req_ids: tuple[int, ...]


class MemberUpdate(NamedTuple):
    """What one router knows of another.

    Args:
        name (str): Host name, unique in the fleet.
        incarnation (int): Start time in milliseconds; a restart raises it.
        refutation (int): Raised by the member to overrule a suspicion.
        state (str): "alive", "suspect", "leaving" or "dead".
        peer_address (str): "IP:port" of the router protocol.
        caller_address (str): "IP:port" for callers.
        zone (str): Availability zone.
    """

    name: str
    incarnation: int
    refutation: int
    state: str
    peer_address: str
    caller_address: str
    zone: str


class Suspicion(NamedTuple):
    """A request that was in flight when targets crashed.

    Args:
        fingerprint (bytes): Digest of the request.
        crashes (int): 1 for a suspect, more for a refused request.
        age_s (float): Seconds since the last crash.
    """

    fingerprint: bytes
    crashes: int
    age_s: float


class Room(NamedTuple):
    """Tells a sibling cell of free slots.

    Args:
        cell (str): The cell that is told.
        idle_cell (str): The cell with free slots and nothing waiting.
        slots (int): How many are free.
    """

    cell: str
    idle_cell: str
    slots: int


class Move(NamedTuple):
    """Tells the holding router to queue a request in another cell."""

    req_id: int
    cell: str
    to_cell: str


class Learned(NamedTuple):
    """Mean cost and duration of a class, learned from finished requests."""

    cls: str
    cost: float
    duration_s: float


class Handover(NamedTuple):
    """Tells a cell's next scheduler what the last one knew.

    Args:
        cell (str): The cell.
        counters (tuple): Service per unit of share, by team, counted from
            the least.
        learned (tuple): What was learned of each class.
    """

    cell: str
    counters: "tuple[TeamService, ...]"
    learned: tuple[Learned, ...]


class TeamService(NamedTuple):
    """Service that a team got, in the service's measure."""

    team: str
    cost: float


class CellService(NamedTuple):
    """Service by team since the last message of this kind.

    A cell sends what it gave to the hub of its service; the hub sends each
    cell what all others gave.

    Args:
        cell (str): The cell that gave, or that is told.
        from_hub (bool): Whether the hub sent it.
        served (tuple): Service by team.
    """

    cell: str
    from_hub: bool
    served: tuple[TeamService, ...]


class Ping(NamedTuple):
    """Probes a member and carries gossip."""

    seq: int
    config_version: int
    updates: tuple[MemberUpdate, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


class Ack(NamedTuple):
    """Answers a Ping and carries gossip."""

    seq: int
    subject: str
    config_version: int
    updates: tuple[MemberUpdate, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


class PingRequest(NamedTuple):
    """Asks a third member to probe a subject."""

    seq: int
    subject: str


class MembersPull(NamedTuple):
    """Asks for the whole member list."""

    updates: tuple[MemberUpdate, ...] = ()


class MembersPush(NamedTuple):
    """Gives the whole member list."""

    updates: tuple[MemberUpdate, ...]


class ConfigPull(NamedTuple):
    """Asks for the configuration if newer than the version given."""

    version: int


class ConfigPush(NamedTuple):
    """Gives a configuration, packed and compressed."""

    version: int
    blob: bytes


class RowsPush(NamedTuple):
    """Copies grow-only rows to a peer."""

    rows: tuple[KeyedRow, ...]


Message = (
    Enqueue
    | Cancel
    | Grant
    | Refuse
    | Done
    | Sync
    | Missing
    | Room
    | Move
    | CellService
    | Handover
    | Ping
    | Ack
    | PingRequest
    | MembersPull
    | MembersPush
    | ConfigPull
    | ConfigPush
    | RowsPush
)


class Envelope(NamedTuple):
    """A message with the peer it goes to or comes from."""

    peer: str
    message: Message
