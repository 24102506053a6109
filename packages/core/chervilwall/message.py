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
        crashes (int): 1 for a suspect, 2 for a refused request.
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


class TargetLoadItem(NamedTuple):
    """A router's load on one target.

    Args:
        target_id (str): The target.
        running (int): Requests sent and not yet ended.
        prefill_ms (int): Time for which it still reads prompts.
        kv_tokens (int): Tokens that its requests occupy.
    """

    target_id: str
    running: int
    prefill_ms: int
    kv_tokens: int


class GranterLoad(NamedTuple):
    """A router's load that one scheduler granted.

    Args:
        granter (str): Name of the router that granted it.
        incarnation (int): That router's incarnation.
        numbers (tuple): Numbers of the requests that it knows of.
        items (tuple): The load.
    """

    granter: str
    incarnation: int
    numbers: tuple[int, ...]
    items: tuple[TargetLoadItem, ...]


class RecentPrefix(NamedTuple):
    """A chain of prompt parts that was lately sent to a target."""

    target_id: str
    parts: tuple[tuple[str, int], ...]


class EdgeReport(NamedTuple):
    """What an edge router tells its peers, many times a second.

    Args:
        sequence (int): Raised with each report of an incarnation.
        callers (str): Address for callers.
        control (str): Address for snapshots.
        datagrams (str): Address for reports.
        zone (str): Availability zone.
        ready (bool): Whether callers may be sent to it.
        config_version (int): Version of its configuration, 0 without one.
        registry_revision (int): Revision of its list of targets.
        loads (tuple): Its load on targets, by who granted it.
        prefixes (tuple): Prompts that it placed since its last report.
        asked (dict): Tokens that teams asked for in the last window.
        got (dict): Tokens that teams got in the last window.
        suspicions (tuple): Requests that were in flight at crashes.
        hub (bool): Whether it passes on what others tell.
        cpu (float): Processors of its host.
        follows (bool): Whether the store answers it.
    """

    sequence: int
    callers: str
    control: str
    datagrams: str
    zone: str
    ready: bool
    config_version: int
    registry_revision: int
    loads: tuple[GranterLoad, ...] = ()
    prefixes: tuple[RecentPrefix, ...] = ()
    asked: dict[str, float] = {}
    got: dict[str, float] = {}
    suspicions: tuple[Suspicion, ...] = ()
    hub: bool = False
    cpu: float = 1.0
    follows: bool = False


class PresentPeer(NamedTuple):
    """A router that a hub hears.

    Args:
        name (str): Its name.
        incarnation (int): Its incarnation.
        sequence (int): Number of its newest report.
        callers (str): Its address for callers.
        datagrams (str): Its address for reports and snapshots.
        zone (str): Its availability zone.
        ready (bool): Whether callers may be sent to it.
        cpu (float): Processors of its host.
    """

    name: str
    incarnation: int
    sequence: int
    callers: str
    datagrams: str
    zone: str
    ready: bool
    cpu: float = 1.0


class PeerDigest(NamedTuple):
    """Tells who is there; from a hub.

    Args:
        present (tuple): Routers that the hub hears: all now and then, else
            those that have changed.
        gone (tuple): Names and incarnations of routers that it lost.
    """

    present: tuple[PresentPeer, ...]
    gone: tuple[tuple[str, int], ...]


class Place(NamedTuple):
    """Asks a scheduler for a target; asking again changes nothing.

    Args:
        number (int): Number of the request at the asker.
        service (str): Its service.
        team (str): Team that pays.
        prompt_tokens (int): Length of its prompt.
        output_tokens (int): Tokens that it will probably generate.
        parts (tuple): Ids and lengths of the parts of its prompt.
        session (str): The last part that others share, or "".
        objective_ms (int): Its latency objective.
        due_ms (int): Time until its first token is due.
        deadline_ms (int): Time for which the caller waits.
        excluded (tuple): Targets that were tried already.
        first (bool): Whether the caller sends it for the first time.
        route (str): Its route.
        size_class (int): 0 for most requests, 2 for the largest of a route.
    """

    number: int
    service: str
    team: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    session: str
    objective_ms: int
    due_ms: int
    deadline_ms: int
    excluded: tuple[str, ...]
    first: bool
    route: str
    size_class: int


class PlaceQueued(NamedTuple):
    """Says that a request waits at the scheduler."""

    number: int


class PlaceGranted(NamedTuple):
    """Gives a request a target.

    Args:
        number (int): Number of the request at the asker.
        target_id (str): Where it runs.
        miss_tokens (int): Prompt tokens that the target must read.
        work_ms (int): Time for which the target reads them.
        first_token_ms (int): Predicted time to the first token.
    """

    number: int
    target_id: str
    miss_tokens: int
    work_ms: int
    first_token_ms: int


class PlaceRefused(NamedTuple):
    """Refuses a request, which has not run."""

    number: int
    retry_after_ms: int
    reason: str


class PlaceRead(NamedTuple):
    """Says that a request's first token came, and after how long."""

    number: int
    first_token_ms: int


class PlaceEnded(NamedTuple):
    """Says that a request ended or is wanted no more.

    Args:
        number (int): Its number at the asker.
        outcome (str): One of the OUTCOME constants.
    """

    number: int
    outcome: str


class SnapshotPull(NamedTuple):
    """Asks a peer for what it read from the platform's store.

    Args:
        config_version (int): Version that the asker has.
        registry_revision (int): Revision of the asker's list of targets.
    """

    config_version: int
    registry_revision: int


class StoreSnapshot(NamedTuple):
    """What a router read from the platform's store.

    Args:
        config_version (int): Version of the configuration.
        config (bytes): The configuration as stored, b"" if not newer.
        registry_revision (int): Revision of the list of targets.
        targets (tuple): Names and values of the registrations.
        lapsed (tuple): Names of targets that are gone from the list, but may
            only have lapsed in an outage of the store.
    """

    config_version: int
    config: bytes
    registry_revision: int
    targets: tuple[tuple[str, bytes], ...]
    lapsed: tuple[str, ...] = ()


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
    | EdgeReport
    | Place
    | PlaceQueued
    | PlaceGranted
    | PlaceRefused
    | PlaceRead
    | PlaceEnded
    | SnapshotPull
    | StoreSnapshot
    | PeerDigest
)


class Envelope(NamedTuple):
    """A message with the peer it goes to or comes from."""

    peer: str
    message: Message
