"""Messages between edge routers.

Edge routers do not split services into cells, unlike the routers that exchange
`cell_messages`. They report their load to each other. One router per service,
its scheduler, places the requests that the others receive: the asking router
sends a `PlacementRequest`, and the scheduler grants a target or refuses. In a
large fleet, a few routers are hubs: the others report only to them, and the
hubs schedule and announce which routers are alive.
"""

from typing import NamedTuple

from chervilwall.cell_messages import Message
from chervilwall.crash_updates import CrashUpdates
from chervilwall.registry import TargetStart
from chervilwall.reported_load import PassedLoad
from chervilwall.store_era import StoreRevision
from chervilwall.stream_origins import StreamDemand
from chervilwall.target_limits import StatedLimit
from chervilwall.untrusted import Count, Finite


class TargetLoadItem(NamedTuple):
    """Load that one router's requests cause on one target.

    Args:
        target_id (str): The target.
        running (int): Requests that were sent and have not ended.
        prefill_ms (int): Estimated milliseconds of prefill still to be done for
            these requests.
        kv_tokens (int): Tokens that these requests occupy in the KV cache.
    """

    target_id: str
    running: int
    prefill_ms: int
    kv_tokens: int


class GranterLoad(NamedTuple):
    """Load of a router's requests that were granted by one scheduler.

    Args:
        granter (str): Name of the scheduler, the router that granted the
            requests.
        incarnation (int): Incarnation of the scheduler.
        request_numbers (tuple): Numbers of the granted requests that have not
            ended. The scheduler ends grants whose numbers are missing here,
            except for recent ones.
        items (tuple): Load by target.
    """

    granter: str
    incarnation: int
    request_numbers: tuple[int, ...]
    items: tuple[TargetLoadItem, ...]


class RecentPrefix(NamedTuple):
    """A prompt prefix that was recently sent to a target.

    Args:
        target_id (str): The target, which now has the prefix in its cache.
        parts (tuple): Ids and lengths in tokens of the parts of the prefix, in
            the order of the prompt.
    """

    target_id: str
    parts: tuple[tuple[str, int], ...]


class StatedCold(NamedTuple):
    """The cold time of a target, as routers pass it on.

    Args:
        start (TargetStart): The target.
        service (str): Its service.
        remaining_ms (int): Milliseconds for which it stays cold, 0 if it is
            warm.
        age_ms (int): Milliseconds since that was stated or assumed.
        is_assumed (bool): Whether the target itself has not stated it.
    """

    start: TargetStart
    service: str
    remaining_ms: Count
    age_ms: Count
    is_assumed: bool = False


class EdgeReport(NamedTuple):
    """State of an edge router, sent periodically to its peers.

    The interval is `peers.REPORT_INTERVAL_S`, longer for some reports in a
    large fleet. Some changes are reported at once.

    Args:
        sequence (int): Number of the report, ascending within an incarnation.
        caller_address (str): "IP:port" on which it accepts requests of callers.
        control_address (str): "IP:port" on which it serves snapshots. Currently
            the same as `datagram_address`, the only one in `LivePeer`.
        datagram_address (str): "IP:port" on which it receives reports.
        zone (str): Availability zone.
        ready (bool): Whether it accepts requests of callers.
        config_version (int): Version of its configuration, 0 without one.
        registry_revision (StoreRevision): Revision of its list of targets.
        loads (tuple): Load that it causes on targets, by scheduler.
        prefixes (tuple): Prompt prefixes that it placed since its last report.
        requested_tokens (dict): Demand of each team in the last
            `fair_share.WINDOW_S` seconds, in tokens.
        granted_tokens (dict): Usage of each team in the same time, in tokens.
        crashes (CrashUpdates): Recent changes of what it knows about crashes.
        hub (bool): Whether it acts as a hub.
        cpu (float): Number of processors of its host.
        store_reachable (bool): Whether it currently gets answers from the
            store of the deployment platform. If no hub reports this, every
            router watches the store itself.
        leaving (tuple): Targets that recently announced their shutdown.
        limits (tuple): Limits of targets, those that changed first.
        evacuations_revision (StoreRevision): Revision at which its set of
            evacuated zones was read, (0, 0) if it knows none.
        evacuated_zones (tuple): Names of the evacuated zones, at most
            `evacuations.MAX_ZONES`.
        cold (tuple): Cold times of targets that responses or failed
            connections have changed recently.
    """

    sequence: int
    caller_address: str
    control_address: str
    datagram_address: str
    zone: str
    ready: bool
    config_version: int
    registry_revision: StoreRevision
    loads: tuple[GranterLoad, ...] = ()
    prefixes: tuple[RecentPrefix, ...] = ()
    requested_tokens: dict[str, Finite] = {}
    granted_tokens: dict[str, Finite] = {}
    crashes: CrashUpdates = CrashUpdates()
    hub: bool = False
    cpu: Finite = 1.0
    store_reachable: bool = False
    leaving: tuple[TargetStart, ...] = ()
    limits: tuple[StatedLimit, ...] = ()
    evacuations_revision: StoreRevision = StoreRevision()
    evacuated_zones: tuple[str, ...] = ()
    cold: tuple[StatedCold, ...] = ()


class LivePeer(NamedTuple):
    """A router whose reports a hub receives.

    Args:
        name (str): Name of the router.
        incarnation (int): Its incarnation.
        sequence (int): Number of its latest report.
        caller_address (str): "IP:port" on which it accepts requests of callers.
        datagram_address (str): "IP:port" on which it receives reports and
            serves snapshots.
        zone (str): Availability zone.
        ready (bool): Whether it accepts requests of callers.
        cpu (float): Number of processors of its host.
    """

    name: str
    incarnation: int
    sequence: int
    caller_address: str
    datagram_address: str
    zone: str
    ready: bool
    cpu: Finite = 1.0


class PeerDigest(NamedTuple):
    """Announcement by a hub of which routers are alive.

    Args:
        live (tuple): Routers whose reports the hub receives. Periodically
            all of them are listed, otherwise only those that changed.
        lost (tuple): Names and incarnations of routers whose reports stopped.
    """

    live: tuple[LivePeer, ...]
    lost: tuple[tuple[str, int], ...]


class PlacementRequest(NamedTuple):
    """Request to a scheduler to choose a target for a caller's request.

    It may be repeated without further effect.

    Args:
        number (int): Number of the request, unique in the asking router.
        service (str): Service that is to serve the request.
        team (str): Team that is charged.
        prompt_tokens (int): Length of the prompt in tokens.
        output_tokens (int): Expected length of the answer in tokens; see
            `Demand`. It is not the maximum that the caller allows.
        parts (tuple): Ids and lengths in tokens of the parts of the prompt.
        session (str): Id of the last part of the prompt that other requests
            share, or "". Requests with the same id prefer the same target, so
            that it has that part cached.
        objective_ms (int): Latency objective in milliseconds.
        due_ms (int): Milliseconds until the first token is due.
        deadline_ms (int): Milliseconds until the caller gives up.
        excluded (tuple): Targets that must not be chosen, such as those that
            already failed this request.
        is_first_attempt (bool): Whether no target was tried for the request
            before.
        route (str): Name of its route.
        size_class (int): 2 for the largest tenth of a route's requests, 1 for
            the fifth below it, 0 for all others.
        fingerprint (bytes): Digest of the request; identical requests have the
            same digest.
        stream (StreamDemand | None): The resumable stream that is requested,
            None for any other request.
        is_replacement (bool): Whether the request runs on a target that is
            silent, and goes on there if it is refused.
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
    is_first_attempt: bool
    route: str
    size_class: int
    fingerprint: bytes = b""
    stream: StreamDemand | None = None
    is_replacement: bool = False


class PlacementQueued(NamedTuple):
    """Confirmation that a request waits at the scheduler.

    The asking router then repeats its `PlacementRequest` less often.
    """

    number: int


class PlacementGranted(NamedTuple):
    """Assignment of a target to a request.

    Args:
        number (int): Number of the request, unique in the asking router.
        target_id (str): Target to send the request to.
        uncached_tokens (int): Prompt tokens that the target does not have
            cached.
        prefill_ms (int): Predicted milliseconds of prefill for these tokens.
        first_token_ms (int): Predicted milliseconds to the first token.
        version (str): Software version of the target, as far as the scheduler
            knows.
        send_within_ms (int): Milliseconds after which the request must not be
            sent to the target on this grant, 0 for no limit.
        load_age_ms (int): Age in milliseconds of the load report that was used,
            -1 if there was none. Sent only to routers that read it.
    """

    number: int
    target_id: str
    uncached_tokens: int
    prefill_ms: int
    first_token_ms: int
    version: str = ""
    send_within_ms: Count = 0
    load_age_ms: int = -1


class PlacementRefused(NamedTuple):
    """Refusal of a request for which no target was chosen.

    Args:
        number (int): Number of the request, unique in the asking router.
        retry_after_ms (int): Milliseconds after which a retry may succeed.
        reason (str): Why the request is refused.
    """

    number: int
    retry_after_ms: int
    reason: str


class PlacementFirstToken(NamedTuple):
    """Report of the first token of a request.

    Args:
        number (int): Number of the request, unique in the asking router.
        first_token_ms (int): Measured milliseconds to the first token.
        has_event (bool): Whether it is the first event of a stream, and not the
            head of another response.
        load (PassedLoad | None): Latest load report of the target, None if it
            was passed on before. Sent only to routers that read it.
    """

    number: int
    first_token_ms: int
    has_event: bool = False
    load: PassedLoad | None = None


class PlacementSilent(NamedTuple):
    """Report that the target of a request has been silent for too long.

    The request still holds its place.

    Args:
        number (int): Number of the request, unique in the asking router.
    """

    number: int


class PlacementEnded(NamedTuple):
    """Report that a request ended or was cancelled.

    Args:
        number (int): Number of the request, unique in the asking router.
        outcome (str): One of the OUTCOME constants.
        load (PassedLoad | None): Latest load report of the target, None if it
            was passed on before. Sent only to routers that read it.
    """

    number: int
    outcome: str
    load: PassedLoad | None = None


class StreamOriginsUpdate(NamedTuple):
    """Software versions that began the resumable streams of a service.

    Sent while more than one version serves, by the routers that relay streams
    and by those that place them.

    Args:
        service (str): The service.
        versions (tuple): Versions that may have begun its streams, as agreed in
            the object store; empty unless the sender places its streams.
        origins (tuple): Versions and the concatenated ids of streams that began
            there.
        predecessor (tuple | None): Version that began the streams from before
            the fleet started, and the seconds for which these may be resumed.
            Defaults to None, not known.
    """

    service: str
    versions: tuple[str, ...]
    origins: tuple[tuple[str, bytes], ...] = ()
    predecessor: tuple[str, float] | None = None


class ConnectionPreamble(NamedTuple):
    """First message of a connection that an overloaded router relays.

    Args:
        version (int): Version of the exchange.
        receiver (str): Name of the router that it is sent to.
        caller (str): "IP:port" of the caller.
    """

    version: int
    receiver: str
    caller: str


class SnapshotPull(NamedTuple):
    """Request for a peer's copy of the deployment platform's objects.

    Args:
        config_version (int): Configuration version of the asking router.
        registry_revision (StoreRevision): Revision of its list of targets.
    """

    config_version: int
    registry_revision: StoreRevision


class StoreSnapshot(NamedTuple):
    """A router's copy of the objects in the deployment platform's store.

    Args:
        config_version (int): Version of the configuration.
        config (bytes): The configuration as stored, or b"" if it is not newer
            than the requested version.
        registry_revision (StoreRevision): Revision of the list of targets, or
            (0, 0) if it is not newer than the requested one.
        targets (tuple): Names and stored values of the registrations.
        lapsed (tuple): Names of targets that are no longer listed but are kept
            for a while, as an outage of the store may have kept them from
            renewing their registrations.
    """

    config_version: int
    config: bytes
    registry_revision: StoreRevision
    targets: tuple[tuple[str, bytes], ...]
    lapsed: tuple[str, ...] = ()


EdgeMessage = (
    EdgeReport
    | PeerDigest
    | PlacementRequest
    | PlacementQueued
    | PlacementGranted
    | PlacementRefused
    | PlacementFirstToken
    | PlacementEnded
    | PlacementSilent
    | StreamOriginsUpdate
    | SnapshotPull
    | StoreSnapshot
    | ConnectionPreamble
)

AnyMessage = Message | EdgeMessage
