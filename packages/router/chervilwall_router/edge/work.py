"""What the path of a request passes from step to step."""

import enum
import random
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import cell_messages
from chervilwall.host_load import HostLoad
from chervilwall.http_messages import InboundRequest, ResponseHead
from chervilwall.protocol import Metrics, WireFormat
from chervilwall.registry import RegisteredTarget
from chervilwall.routing import Route, RoutingTable
from chervilwall.service_totals import ServiceTotals

from chervilwall_router.edge.connections import TargetConnections
from chervilwall_router.edge.crash_watch import CrashWatch
from chervilwall_router.edge.scheduling import Scheduling
from chervilwall_router.edge.settings import RetrySettings

SERVER_ERROR = 500


class Fate(enum.Enum):
    """How an attempt ended."""

    NOT_SENT = "not sent"
    NOT_EXECUTED = "not executed"
    ANSWERED = "answered"
    BROKEN = "broken"
    SILENT = "silent"
    TIMED_OUT = "timed out"


_OUTCOMES = {
    Fate.NOT_SENT: cell_messages.OUTCOME_NOT_SENT,
    Fate.NOT_EXECUTED: cell_messages.OUTCOME_REFUSED,
    Fate.BROKEN: cell_messages.OUTCOME_BROKEN,
    Fate.SILENT: cell_messages.OUTCOME_TIMEOUT,
    Fate.TIMED_OUT: cell_messages.OUTCOME_TIMEOUT,
}


class Attempt(NamedTuple):
    """One attempt and how it ended.

    Args:
        fate (Fate): How it ended.
        target (RegisteredTarget): Where it ran.
        head (ResponseHead | None): Head of the answer, if one came.
        reason (str): Why it failed, or "".
    """

    fate: Fate
    target: RegisteredTarget
    head: ResponseHead | None = None
    reason: str = ""


class Admitted(NamedTuple):
    """A request with what was decided about it.

    Args:
        req (InboundRequest): The request.
        route (Route): Its route.
        team (str): Its team, "" on an anonymous route.
        service (str): The service that runs it.
        deadline_at (float): Monotonic time by which it must have ended.
        fingerprint (bytes): Digest by which it is known when it comes again.
    """

    req: InboundRequest
    route: Route
    team: str
    service: str
    deadline_at: float
    fingerprint: bytes


class FlowParts(NamedTuple):
    """What the path of a request is made of.

    Args:
        table (Callable): Returns the configuration in force, or None.
        scheduling (Scheduling): Places requests.
        waiting (Callable): Returns how many requests wait here.
        connections (TargetConnections): Connections to them.
        wire (WireFormat): Names of headers.
        retries (RetrySettings): Budget of retries.
        routers (Callable): Returns how many routers there are.
        metrics (Metrics): Counters and histograms.
        totals (ServiceTotals): Service for the reports.
        clock (Callable): Returns the monotonic time.
        rng (random.Random): Source of chance.
        crashes (CrashWatch): Requests that crash targets.
        heard (Callable): Takes each head that a target sends.
        host_load (HostLoad): Whether this host falls behind.
    """

    table: Callable[[], RoutingTable | None]
    scheduling: Scheduling
    waiting: Callable[[], int]
    connections: TargetConnections
    wire: WireFormat
    retries: RetrySettings
    routers: Callable[[], int]
    metrics: Metrics
    totals: ServiceTotals
    clock: Callable[[], float]
    rng: random.Random
    crashes: CrashWatch
    heard: Callable[[RegisteredTarget, ResponseHead], None]
    host_load: HostLoad


def outcome_of(attempt: Attempt) -> str:
    """Returns what an attempt tells of its target's health."""
    if attempt.fate is Fate.ANSWERED:
        failed = attempt.head is None or attempt.head.status >= SERVER_ERROR
        return (
            cell_messages.OUTCOME_ERROR
            if failed
            else cell_messages.OUTCOME_COMPLETED
        )
    return _OUTCOMES[attempt.fate]
