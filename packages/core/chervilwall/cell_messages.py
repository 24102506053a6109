"""Messages between routers, and the accounting rows that they carry.

A cell is a group of targets of one service whose slots are granted by a single
router, the cell's scheduler. The router that holds a caller's request asks the
scheduler for a grant before it sends the request to a target.

Accounting rows carry totals that only grow. Copies of a row can therefore be
merged in any order, by the maximum of each total.
"""

from typing import NamedTuple

# Outcomes of requests and of attempts, which are single sends to a target.
# Answered completely, with a status below 500.
OUTCOME_COMPLETED = "completed"
# Not run: refused by a router, or by a target that states it did not run it.
OUTCOME_REFUSED = "refused"
# May have run, and was not completed. Cell routers also report this for an
# attempt with a complete answer whose status is 500 or above; edge routers
# report that as OUTCOME_ERROR.
OUTCOME_UNKNOWN = "unknown"
# Ended early, as the caller left or the grant was no longer needed. May have
# run.
OUTCOME_CANCELLED = "cancelled"
# The connection to the target ended before the answer did. May have run.
OUTCOME_BROKEN = "broken"
# Answered with a status of 500 or above. Reported by edge routers only; cell
# routers report OUTCOME_UNKNOWN.
OUTCOME_ERROR = "error"
# Not sent to the target, in most cases as no connection could be opened.
OUTCOME_NOT_SENT = "not_sent"
# Not sent although the target could be reached: the reason to send it there was
# gone. Reported by edge routers only.
OUTCOME_WITHDRAWN = "withdrawn"
# The target did not answer within a time limit. May have run.
OUTCOME_TIMEOUT = "timeout"
# Outcomes of requests that no target started to run.
OUTCOMES_NOT_RUN = frozenset(
    (OUTCOME_REFUSED, OUTCOME_NOT_SENT, OUTCOME_WITHDRAWN)
)
# Value of `MemberUpdate.refutation` at the start of a router. Routers of
# earlier versions start with 0. They refuse frames with entries of another
# length, so a further field would divide the fleet during a rolling update.
UNREADY_REFUTATION = -(1 << 31)
# Value of `Done.cost` when the actual cost is unknown: the team stays charged
# with the estimate.
COST_UNKNOWN = -1.0


class UsageKey(NamedTuple):
    """Key of a `UsageRow`.

    Each router counts the requests of a team, service and class separately.

    Args:
        incarnation (str): Incarnation of the router that counted, formed as
            "name-number" from the name of the router and its
            `MemberUpdate.incarnation`.
        team (str): Team that the requests belong to.
        service (str): Service that the requests were sent to.
        cls (str): Class of the requests.
    """

    incarnation: str
    team: str
    service: str
    cls: str


class UsageTotals(NamedTuple):
    """Totals for one `UsageKey`, which never decrease.

    Args:
        completed (int): Requests answered completely.
        refused (int): Requests refused without being run.
        unknown (int): Requests that may have run but were not answered
            completely, as counted by the router that sent them.
        uncertain (int): Requests granted to a router that was lost before it
            reported their outcome. They are counted by another router, which
            knows nothing about how they ended.
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
    """Totals and their key, as transmitted and stored."""

    key: UsageKey
    totals: UsageTotals


class Enqueue(NamedTuple):
    """Request for a grant, sent to a cell's scheduler.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        cell (str): Cell to run the request in.
        team (str): Team that is charged.
        cls (str): Request class.
        deadline_left_s (float): Seconds until the answer must have started.
        estimate (float): Expected cost, in the measure of the service. The
            scheduler may use the learned mean instead.
        fingerprint (bytes): Digest of the request; identical requests have the
            same digest.
        prefix (int): Hash of the start of the prompt, or 0 without one.
        exclude (tuple): Targets that must not receive the request, such as
            those that already failed it.
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
    """Removal of a request from the queue of a cell.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        cell (str): The cell.
    """

    req_id: int
    cell: str


class Grant(NamedTuple):
    """Permission for the router that holds a request to send it to a target.

    A grant is valid for one attempt.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        cell (str): Cell whose scheduler grants the attempt.
        target (str): Target to send the request to.
    """

    req_id: int
    cell: str
    target: str


class Refuse(NamedTuple):
    """Refusal of a request, on arrival or while it is queued.

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
    """Report of the outcome of a granted attempt.

    Args:
        req_id (int): Id of the request, unique in the router that holds it.
        cell (str): Cell whose scheduler granted the attempt.
        target (str): Target that the attempt was sent to.
        outcome (str): One of the OUTCOME constants.
        cost (float): Actual cost in the measure of the service, or COST_UNKNOWN
            if it is unknown.
        first_byte_s (float): Seconds to the first byte of the answer, negative
            if none arrived.
        total (UsageRow | None): Row of the sending router that counts this
            request, or None if the request will be retried.
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
    """List of all requests of a cell that a router holds.

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
    """List of waiting requests in a `Sync` that the scheduler does not have.

    Not related to requests whose outcome is unknown.

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
            suspicion. It starts at UNREADY_REFUTATION and is below 0 until the
            member is ready for callers.
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

    @property
    def is_ready(self) -> bool:
        """Whether the member has a configuration, which it never loses."""
        return self.refutation >= 0


class Suspicion(NamedTuple):
    """A request that was in flight on targets when they crashed.

    Routers with cells count each broken connection as a crash.

    Not related to the suspicion that a member of the fleet is dead, which is a
    state of `MemberUpdate`.

    Args:
        fingerprint (bytes): Digest of the request.
        crashes (int): Number of crashes attributed to the request. A request
            with one is a suspect; with more it is refused, except for a trial
            after each pause.
        age_s (float): Seconds since the latest of these crashes.
    """

    fingerprint: bytes
    crashes: int
    age_s: float


class FreeSlotsOffer(NamedTuple):
    """Offer of free slots to a sibling, another cell of the same service.

    Args:
        cell (str): Cell that receives the offer.
        idle_cell (str): Cell that has free slots and an empty queue.
        slots (int): Number of free slots.
    """

    cell: str
    idle_cell: str
    slots: int


class Move(NamedTuple):
    """Instruction to the router that holds a request to queue it elsewhere.

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
    """State of a cell's scheduler, sent to its successor.

    Args:
        cell (str): The cell.
        counters (tuple): Cost charged per unit of share, by team, minus that of
            the team with the lowest such amount. Here `TeamService.cost` is
            this difference.
        estimates (tuple): Mean cost and duration of each class.
    """

    cell: str
    counters: "tuple[TeamService, ...]"
    estimates: tuple[ClassEstimate, ...]


class TeamService(NamedTuple):
    """An amount of service that a team received.

    "Service" in this name means the cost charged to the team, not one of the
    configured services.

    Args:
        team (str): The team.
        cost (float): Cost of its requests, in the measure of the service. In
            `Handover.counters`, the cost per unit of share relative to another
            team.
    """

    team: str
    cost: float


class ServiceReport(NamedTuple):
    """Costs charged to each team since the previous message of this kind.

    Each cell reports the costs that it charged to the service's hub, one router
    per service. The hub sends to each cell the sum over all other cells, so
    that fairness between teams spans the cells of a service. This hub is not
    related to the hubs of a fleet of edge routers.

    Args:
        cell (str): Cell that reports or, from the hub, that receives the sum.
        from_hub (bool): Whether the hub is the sender.
        served (tuple): Costs by team.
    """

    cell: str
    from_hub: bool
    served: tuple[TeamService, ...]


class Ping(NamedTuple):
    """Check that a member is alive, with gossip.

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
    """Answer to a `Ping`, with gossip.

    Args:
        seq (int): Number in the answered `Ping` or `PingRequest`.
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
    """Request that a member ping another one on the sender's behalf.

    Args:
        seq (int): Number that the answer repeats.
        subject (str): Name of the member to ping.
    """

    seq: int
    subject: str


class MembersPull(NamedTuple):
    """Request for the full member list.

    Args:
        updates (tuple): Members that the sender knows; at its start, only
            itself.
    """

    updates: tuple[MemberUpdate, ...] = ()


class MembersPush(NamedTuple):
    """Answer to a `MembersPull`, with the full member list."""

    updates: tuple[MemberUpdate, ...]


class ConfigPull(NamedTuple):
    """Request for the configuration if it is newer than a version."""

    version: int


class ConfigPush(NamedTuple):
    """A configuration as compressed msgpack."""

    version: int
    blob: bytes


class UsagePush(NamedTuple):
    """Usage rows for a peer, which merges them into its own."""

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
    """A message and the name of its recipient or, on arrival, of its sender."""

    peer: str
    message: Message
