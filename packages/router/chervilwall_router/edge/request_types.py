"""Types shared by the steps that process a request."""

import enum
import http
import random
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import cell_messages
from chervilwall.fingerprints import Fingerprints
from chervilwall.host_load import HostLoad
from chervilwall.http_messages import InboundRequest, ResponseHead
from chervilwall.protocol import Metrics, WireFormat
from chervilwall.registry import RegisteredTarget
from chervilwall.routing import Route, RoutingTable
from chervilwall.service_totals import ServiceTotals
from chervilwall.stream_versions import StreamVersions

from chervilwall_router.edge.cold_notices import ColdNotices
from chervilwall_router.edge.connections import TargetConnectionPool
from chervilwall_router.edge.crash_watch import CrashWatch
from chervilwall_router.edge.exchange import Ending, SkippedResponse
from chervilwall_router.edge.kept_responses import KeptResponses
from chervilwall_router.edge.scheduling import Scheduling
from chervilwall_router.edge.settings import RetrySettings

MIN_CLIENT_ERROR = 400
MIN_SERVER_ERROR = 500
# Statuses by which a response states that the request was not run.
NOT_RUN_STATUSES = frozenset((408, 421, 429, 503))


class AttemptResult(enum.Enum):
    """Result of one attempt as seen by this router; the values are logged.

    outcome_of() maps it to the outcome that counts for the target's health.
    """

    NOT_SENT = "not sent"
    # Not sent although the target accepted a connection: a reason to send the
    # request there was gone by then.
    WITHDRAWN = "withdrawn"
    NOT_EXECUTED = "not executed"
    ANSWERED = "answered"
    # The response was cut off, is invalid, or must not be relayed; or the
    # caller left, or this router stopped, before the end of the response.
    BROKEN = "broken"
    # Abandoned after too long a silence of the target.
    SILENT = "silent"
    # Abandoned, as the silent target that it was to replace went on.
    NOT_NEEDED = "not needed"
    # The deadline of the request passed.
    TIMED_OUT = "timed out"


_OUTCOMES = {
    AttemptResult.NOT_SENT: cell_messages.OUTCOME_NOT_SENT,
    AttemptResult.WITHDRAWN: cell_messages.OUTCOME_WITHDRAWN,
    AttemptResult.NOT_EXECUTED: cell_messages.OUTCOME_REFUSED,
    AttemptResult.BROKEN: cell_messages.OUTCOME_BROKEN,
    AttemptResult.SILENT: cell_messages.OUTCOME_TIMEOUT,
    AttemptResult.NOT_NEEDED: cell_messages.OUTCOME_CANCELLED,
    AttemptResult.TIMED_OUT: cell_messages.OUTCOME_TIMEOUT,
}


class Attempt(NamedTuple):
    """An attempt that has ended.

    Args:
        result (AttemptResult): Result of the attempt.
        target (RegisteredTarget): Target that it was sent to.
        head (ResponseHead | None): Head of the response, or None if none was
            received. Defaults to None.
        reason (str): Reason of a failure, for the log. Defaults to "".
        ending (Ending | None): How the response ended, or None if the request
            was not sent. Defaults to None.
        partial_bytes (int): Bytes of an unfinished event at the end of a
            stream. Defaults to 0.
        last_event_id (int): Id of the last event that was sent to the caller,
            in this attempt or before, or 0. Defaults to 0.
        skipped (tuple[SkippedResponse, ...]): Responses that did not belong to
            the attempt. Defaults to none.
        sent_bytes (int): Bytes of the body that the caller had at its end.
            Defaults to 0.
        silent_bytes (int): Those that the caller had when another target was
            last asked for in place of this one. Defaults to 0.
        may_try_again (bool): Whether the same target may be asked for again, as
            it was only sent nothing yet. Defaults to False.
    """

    result: AttemptResult
    target: RegisteredTarget
    head: ResponseHead | None = None
    reason: str = ""
    ending: Ending | None = None
    partial_bytes: int = 0
    last_event_id: int = 0
    skipped: tuple[SkippedResponse, ...] = ()
    sent_bytes: int = 0
    silent_bytes: int = 0
    may_try_again: bool = False


class AdmittedRequest(NamedTuple):
    """An admitted request.

    Args:
        req (InboundRequest): Request as received.
        route (Route): Route that the request matched.
        team (str): Team of the caller, "" on an anonymous route.
        service (str): Service whose targets may run the request.
        deadline_at (float): Monotonic time by which the request must end.
        fingerprints (Fingerprints): Fingerprint that identifies the request
            when it is retried, and those of the parts of its prompt.
    """

    req: InboundRequest
    route: Route
    team: str
    service: str
    deadline_at: float
    fingerprints: Fingerprints


class RequestContext(NamedTuple):
    """Dependencies of the steps that process a request.

    Args:
        table (Callable): Returns the current configuration, or None if there
            is none yet.
        scheduling (Scheduling): Places requests on targets.
        waiting_count (Callable): Returns the number of requests that wait at
            this router.
        connections (TargetConnectionPool): Connections to targets.
        wire (WireFormat): Mapping between HTTP headers and requests and
            responses.
        retries (RetrySettings): Limits on retries.
        known_router_count (Callable): Returns the number of routers that may be
            running, unreachable ones included, or None while this router does
            not know its fleet.
        metrics (Metrics): Counters and histograms.
        totals (ServiceTotals): Totals by team and route, which are written to
            the object store.
        clock (Callable): Returns the monotonic time in seconds.
        started_at (float): Monotonic time at which this router started.
        rng (random.Random): Source of randomness.
        crashes (CrashWatch): Detects crashes of targets.
        on_response_head (Callable): Called with the target, the head of each
            response received from it, and the monotonic time at which the
            request was sent.
        host_load (HostLoad): Sheds load while this host is overloaded.
        streams (StreamVersions): Software versions that began streams.
        kept (KeptResponses): Bounds what is kept for all responses.
        cold (ColdNotices): Decides whether a cold target may be sent a request.
    """

    table: Callable[[], RoutingTable | None]
    scheduling: Scheduling
    waiting_count: Callable[[], int]
    connections: TargetConnectionPool
    wire: WireFormat
    retries: RetrySettings
    known_router_count: Callable[[], int | None]
    metrics: Metrics
    totals: ServiceTotals
    clock: Callable[[], float]
    started_at: float
    rng: random.Random
    crashes: CrashWatch
    on_response_head: Callable[[RegisteredTarget, ResponseHead, float], None]
    host_load: HostLoad
    streams: StreamVersions
    kept: KeptResponses
    cold: ColdNotices


def outcome_of(attempt: Attempt) -> str:
    """Returns the outcome that counts for the target's health.

    Args:
        attempt (Attempt): Attempt that has ended.

    Returns:
        One of the OUTCOME_ constants of cell_messages.
    """
    if attempt.result is AttemptResult.ANSWERED:
        failed = attempt.head is None or is_failure(attempt.head)
        return (
            cell_messages.OUTCOME_ERROR
            if failed
            else cell_messages.OUTCOME_COMPLETED
        )
    if attempt.head is not None and (
        attempt.head.status == http.HTTPStatus.MISDIRECTED_REQUEST
    ):
        # Another target answers at the address, so this one has ended.
        return cell_messages.OUTCOME_NOT_SENT
    return _OUTCOMES[attempt.result]


def is_failure(head: ResponseHead) -> bool:
    """Returns whether a response means that its target failed.

    An unsigned response that refuses the request counts too: the target has not
    confirmed it, so it must not be passed on.
    """
    return head.status >= MIN_SERVER_ERROR or is_unconfirmed_refusal(head)


def is_unconfirmed_refusal(head: ResponseHead) -> bool:
    """Returns whether an unsigned response refuses the request.

    It may say that nothing was run, or come from a server that is no target and
    knows no such page.
    """
    is_refusal = MIN_CLIENT_ERROR <= head.status < MIN_SERVER_ERROR
    return not head.signed and (is_refusal or head.status in NOT_RUN_STATUSES)
