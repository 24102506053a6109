"""Messages between routers, and the accounting rows that they carry.

A cell is a group of targets of one service whose slots are granted by a single
router, the cell's scheduler. The router that holds a caller's request asks the
scheduler for a grant before it sends the request to a target.
"""

from typing import NamedTuple

OUTCOME_COMPLETED = "completed"
OUTCOME_REFUSED = "refused"
OUTCOME_UNKNOWN = "unknown"
OUTCOME_CANCELLED = "cancelled"
OUTCOME_BROKEN = "broken"
OUTCOME_ERROR = "error"
OUTCOME_NOT_SENT = "not_sent"
OUTCOME_TIMEOUT = "timeout"
# Outcomes of requests that no target started to run.
OUTCOMES_NOT_RUN = frozenset((OUTCOME_REFUSED, OUTCOME_NOT_SENT))
# Value of `Done.cost` when the actual cost is unknown: the team stays charged
# with the estimate.
COST_UNKNOWN = -1.0


class UsageKey(NamedTuple):
    """Identity of a grow-only row.

    Args:
        incarnation (str): Incarnation of the router that counted.
        team (str): Team that the requests belong to.
        service (str): Service that the requests were sent to.
        cls (str): Class of the requests.
    """

    incarnation: str
    team: str
    service: str
    cls: str


class UsageTotals(NamedTuple):
    """Grow-only totals for one `UsageKey`.

    Args:
        completed (int): Requests answered completely.
        refused (int): Requests refused without being run.
        unknown (int): Requests that may have run but were not answered
            completely.
        uncertain (int): Requests granted to a router that was lost before it
            reported their outcome.
        work (float): Work of completed requests, in work units.
        worth (float): Worth of completed requests, as configured for the class.
        started (int): Attempts started on a grant from a scheduler on this
            same router. No other router knows of them.
        finished (int): Number of those attempts that have ended.
    """

    completed: int = 0
    refused: int = 0
    unknown: int = 0
    uncertain: int = 0
    work: float = 0.0
    worth: float = 0.0
    started: int = 0
    finished: int = 0


class UsageRow(NamedTuple):
    """A row and its key, as transmitted and stored."""

    key: UsageKey
    totals: UsageTotals


class Enqueue(NamedTuple):
    """Requests a grant from a cell's scheduler.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        cell (str): Cell to run the request in.
        team (str): Team that is charged.
        cls (str): Request class.
        deadline_left_s (float): Seconds until the answer must have started.
        estimate (float): Expected cost, in the measure of the service.
        fingerprint (bytes): Digest of the request; identical requests have the
            same digest.
        prefix (int): Hash of the start of the prompt, or 0 without one.
        exclude (tuple): Targets that already failed this request.
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
    """Removes a request from the queue of a cell.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        cell (str): The cell.
    """

    req_id: int
    cell: str


class Grant(NamedTuple):
    """Permits the router that holds a request to send it to a target once.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        cell (str): Cell whose scheduler grants the attempt.
        target (str): Target to send the request to.
    """

    req_id: int
    cell: str
    target: str


class Refuse(NamedTuple):
    """Refuses a request, on arrival or while it is queued.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        cell (str): Cell whose scheduler refuses the request.
        reason (str): Code of the reason.
        retry_after_s (float): Seconds after which a retry may succeed.
    """

    req_id: int
    cell: str
    reason: str
    retry_after_s: float


class Done(NamedTuple):
    """Reports the outcome of a granted attempt.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        cell (str): Cell whose scheduler granted the attempt.
        target (str): Target that the attempt was sent to.
        outcome (str): One of the OUTCOME constants.
        cost (float): Actual cost in the measure of the service, or COST_UNKNOWN
            if it is unknown.
        first_byte_s (float): Seconds to the first byte of the answer, negative
            if none arrived.
        total (UsageRow): Totals of the sending router including this request,
            or None if the request will be retried.
    """

    req_id: int
    cell: str
    target: str
    outcome: str
    cost: float
    first_byte_s: float
    total: UsageRow | None = None


class RunningItem(NamedTuple):
    """A running attempt, as listed in a `Sync`.

    Holds everything that a new scheduler needs to rebuild its state.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        target (str): Target that runs the attempt.
        team (str): Team that is charged.
        cls (str): Request class.
        charged (float): Cost that the team was charged at the grant, in the
            measure of the service.
        fingerprint (bytes): Digest of the request.
    """

    req_id: int
    target: str
    team: str
    cls: str
    charged: float
    fingerprint: bytes


class Sync(NamedTuple):
    """Lists all requests of a cell that a router holds.

    Sent periodically, so that the scheduler can recover from lost messages.

    Args:
        cell (str): The cell.
        waiting (tuple): Ids of the requests that wait for a grant.
        running (tuple): Attempts that were granted and have not ended.
    """

    cell: str
    waiting: tuple[int, ...]
    running: tuple[RunningItem, ...]


class UnknownRequests(NamedTuple):
    """Lists the waiting requests of a `Sync` that the scheduler does not have.

    Args:
        cell (str): The cell.
        req_ids (tuple): Ids of the requests, which have to be queued again.
    """

    cell: str
    req_ids: tuple[int, ...]


class MemberUpdate(NamedTuple):
    """State of a fleet member, as spread by gossip.

    Args:
        name (str): Host name, unique in the fleet.
        incarnation (int): Unix time of the router's start in milliseconds, so
            that each restart has a higher one.
        refutation (int): Counter, incremented by the member to refute a
            suspicion.
        state (str): "alive", "suspect", "leaving" or "dead".
        peer_address (str): "IP:port" on which it accepts messages of routers.
        caller_address (str): "IP:port" on which it accepts requests of callers.
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
    """A request that was in flight on targets when they crashed.

    Args:
        fingerprint (bytes): Digest of the request.
        crashes (int): Number of crashes attributed to the request. A request
            with one is a suspect; with more it is refused.
        age_s (float): Seconds since the latest of these crashes.
    """

    fingerprint: bytes
    crashes: int
    age_s: float


class FreeSlotsOffer(NamedTuple):
    """Offers free slots to a sibling, another cell of the same service.

    Args:
        cell (str): Cell that receives the offer.
        idle_cell (str): Cell that has free slots and an empty queue.
        slots (int): Number of free slots.
    """

    cell: str
    idle_cell: str
    slots: int


class Move(NamedTuple):
    """Instructs the router that holds a request to queue it in another cell.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        cell (str): Cell that had queued the request.
        to_cell (str): Cell to queue it in instead.
    """

    req_id: int
    cell: str
    to_cell: str


class ClassEstimate(NamedTuple):
    """Mean cost and duration of the completed requests of a class.

    Args:
        cls (str): Request class.
        cost (float): Mean cost, in the measure of the service.
        duration_s (float): Mean seconds from grant to end.
    """

    cls: str
    cost: float
    duration_s: float


class Handover(NamedTuple):
    """Transfers the state of a cell's scheduler to its successor.

    Args:
        cell (str): The cell.
        counters (tuple): Service received per unit of share, by team, as the
            difference from the team that received the least.
        estimates (tuple): Mean cost and duration of each class.
    """

    cell: str
    counters: "tuple[TeamService, ...]"
    estimates: tuple[ClassEstimate, ...]


class TeamService(NamedTuple):
    """Service that a team received.

    Args:
        team (str): The team.
        cost (float): Cost of its requests, in the measure of the service.
    """

    team: str
    cost: float


class ServiceReport(NamedTuple):
    """Service delivered to each team since the previous message of this kind.

    Each cell reports the service that it delivered to the hub, one router per
    service. The hub sends to each cell the sum over all other cells, so that
    fairness between teams spans the cells of a service.

    Args:
        cell (str): Cell that reports or, from the hub, that receives the sum.
        from_hub (bool): Whether the hub is the sender.
        served (tuple): Service by team.
    """

    cell: str
    from_hub: bool
    served: tuple[TeamService, ...]


class Ping(NamedTuple):
    """Checks that a member is alive, and carries gossip.

    Args:
        seq (int): Number that the answer repeats.
        config_version (int): Configuration version of the sender.
        updates (tuple): Recent changes of members.
        suspicions (tuple): Recent suspicions against requests.
    """

    seq: int
    config_version: int
    updates: tuple[MemberUpdate, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


class Ack(NamedTuple):
    """Answers a `Ping`, and carries gossip.

    Args:
        seq (int): Number of the answered probe.
        subject (str): Name of the member that was found alive.
        config_version (int): Configuration version of the sender.
        updates (tuple): Recent changes of members.
        suspicions (tuple): Recent suspicions against requests.
    """

    seq: int
    subject: str
    config_version: int
    updates: tuple[MemberUpdate, ...] = ()
    suspicions: tuple[Suspicion, ...] = ()


class PingRequest(NamedTuple):
    """Asks a member to probe another one on the sender's behalf.

    Args:
        seq (int): Number that the answer repeats.
        subject (str): Name of the member to probe.
    """

    seq: int
    subject: str


class MembersPull(NamedTuple):
    """Requests the full member list."""

    updates: tuple[MemberUpdate, ...] = ()


class MembersPush(NamedTuple):
    """Answers a `MembersPull` with the full member list."""

    updates: tuple[MemberUpdate, ...]


class ConfigPull(NamedTuple):
    """Requests the configuration if it is newer than a version."""

    version: int


class ConfigPush(NamedTuple):
    """Sends a configuration as compressed msgpack."""

    version: int
    blob: bytes


class UsagePush(NamedTuple):
    """Sends accounting rows to a peer, which merges them into its own."""

    rows: tuple[UsageRow, ...]


Message = (
    Enqueue
    | Cancel
    | Grant
    | Refuse
    | Done
    | Sync
    | UnknownRequests
    | FreeSlotsOffer
    | Move
    | ServiceReport
    | Handover
    | Ping
    | Ack
    | PingRequest
    | MembersPull
    | MembersPush
    | ConfigPull
    | ConfigPush
    | UsagePush
)


class Envelope(NamedTuple):
    """A message and the name of its recipient or sender."""

    peer: str
    message: Message
