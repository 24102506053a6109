"""Log lines on the attempts and the end of a request."""

import logging
from typing import NamedTuple, TypedDict

from chervilwall import events
from chervilwall.http_messages import InboundRequest
from chervilwall.retry_budget import RetryUsage

from chervilwall_router.edge.caller_response import Framing
from chervilwall_router.edge.request_types import AdmittedRequest, Attempt
from chervilwall_router.edge.scheduling import PlacedRequest

LOG = logging.getLogger(__name__)
# Maximum number of prompt parts in one log line.
MAX_LOGGED_PARTS = 8


class RequestEnd(NamedTuple):
    """How and when a request ended.

    Args:
        outcome (str): OUTCOME_ANSWERED of `request_run`, "caller_left", or the
            reason of the problem that the caller got. It is not one of the
            outcomes of an attempt in cell_messages.
        status (int): Status that the caller got, 0 if it disconnected.
        framing (Framing): What shows the caller where the body ends.
        runs (int): Attempts that may have been executed.
        first_data_at (float): Monotonic time of the first data of the last
            attempt.
        at (float): Monotonic time of the end.
        size_class (int): Size among the requests of the route.
    """

    outcome: str
    status: int
    framing: Framing
    runs: int
    first_data_at: float
    at: float
    size_class: int


def log_attempt_failed(admitted: AdmittedRequest, attempt: Attempt) -> None:
    """Logs an attempt that was not completed."""
    events.log_event(
        LOG,
        events.ATTEMPT_FAILED,
        request=admitted.req.id,
        target=attempt.target.id,
        fate=attempt.result.value,
        status=attempt.head.status if attempt.head else 0,
        reason=attempt.reason,
        parts=_format_parts(admitted.req),
        **_describe_stream(admitted.req, attempt),
        **_describe_ending(attempt),
    )


def log_request_ended(
    admitted: AdmittedRequest,
    attempt: Attempt,
    grant: PlacedRequest | None,
    end: RequestEnd,
) -> None:
    """Logs the end of a request.

    Args:
        admitted (AdmittedRequest): The request.
        attempt (Attempt): Its last attempt.
        grant (PlacedRequest | None): Placement of that attempt, or None.
        end (RequestEnd): How it ended.
    """
    received_at = admitted.req.received_at
    events.log_event(
        LOG,
        events.REQUEST_ENDED,
        request=admitted.req.id,
        team=admitted.team,
        route=admitted.route.name,
        target=attempt.target.id,
        outcome=end.outcome,
        status=end.status,
        runs=end.runs,
        wait_ms=to_ms(grant.started_at - received_at) if grant else 0,
        first_ms=to_ms(end.first_data_at - received_at),
        total_ms=to_ms(end.at - received_at),
        objective_ms=to_ms(admitted.route.latency_objective_s),
        size=end.size_class,
        prompt=admitted.req.prompt_tokens,
        miss=grant.choice.uncached_tokens if grant else 0,
        predicted_ms=to_ms(grant.choice.first_token_s) if grant else 0,
        **_describe_load(grant),
        framing=end.framing.value,
        resumable=admitted.route.repeatable,
        **_describe_stream(admitted.req, attempt),
        **_describe_ending(attempt),
    )


def log_retry_decided(
    admitted: AdmittedRequest,
    cause: str,
    usage: RetryUsage,
    *,
    allowed: bool,
    routers: int | None,
    age_s: float,
) -> None:
    """Logs whether the budget allowed a retry.

    Args:
        admitted (AdmittedRequest): The request.
        cause (str): How the attempt before it ended.
        usage (RetryUsage): Budget of its service, this retry included.
        allowed (bool): Whether the retry was allowed.
        routers (int | None): Number of routers that share the slack, None if
            the fleet is not known.
        age_s (float): Seconds since this router started.
    """
    events.log_event(
        LOG,
        events.RETRY_DECIDED,
        request=admitted.req.id,
        service=admitted.service,
        cause=cause,
        outcome="allowed" if allowed else "withheld",
        spent=usage.spent,
        requests=usage.requests,
        allowed=round(usage.allowed, 1),
        credit=round(usage.credit, 1),
        routers=routers,
        age_s=round(age_s, 1),
    )


def to_ms(seconds: float) -> int:
    """Returns a duration in milliseconds."""
    return round(seconds * 1000)


def _format_parts(req: InboundRequest) -> str:
    """Returns the ids of the prompt parts that other requests may share."""
    parts = req.prompt_parts[:-1][:MAX_LOGGED_PARTS]
    return ",".join(part.id for part in parts)


def _describe_load(grant: PlacedRequest | None) -> dict[str, int]:
    """Returns the age of the load report used, if there was one."""
    age_s = grant.choice.load_age_s if grant else None
    return {} if age_s is None else {"load_age_ms": to_ms(age_s)}


class _StreamFields(TypedDict):
    """Fields that tell which target version wrote which part of a stream."""

    version: str
    resumes: str
    last_event: int
    sent_event: int


def _describe_stream(req: InboundRequest, attempt: Attempt) -> _StreamFields:
    return _StreamFields(
        version=attempt.target.version,
        resumes=req.resumes,
        last_event=req.last_event_id,
        sent_event=attempt.last_event_id,
    )


class _EndingFields(TypedDict):
    """Fields by which the log describes how a target's response ended."""

    ending: str
    partial_bytes: int
    skipped: str
    sent_bytes: int
    silent_bytes: int


def _describe_ending(attempt: Attempt) -> _EndingFields:
    return _EndingFields(
        ending=attempt.ending.value if attempt.ending else "",
        partial_bytes=attempt.partial_bytes,
        skipped=",".join(
            f"{s.status} {s.reason.value}" for s in attempt.skipped
        ),
        sent_bytes=attempt.sent_bytes,
        silent_bytes=attempt.silent_bytes,
    )
