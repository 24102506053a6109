"""Log lines and counters on the connections of callers that are closed here."""

import enum
import logging
from typing import NamedTuple

from chervilwall import events
from chervilwall.protocol import Metrics

LOG = logging.getLogger(__name__)


class CloseReason(enum.Enum):
    """Why a router closed a connection; the values are logged."""

    IDLE = "idle"
    # Idle while descriptors run short.
    DESCRIPTORS = "descriptors"
    # Idle as the router stops.
    STOPPED = "stopped"
    # A complete response announced the close.
    RESPONSE_SENT = "response_sent"
    # A response that had begun could not be completed.
    RESPONSE_FAILED = "response_failed"
    # The handler of the request failed or returned without a response.
    HANDLER_FAILED = "handler_failed"


class CallerClose(NamedTuple):
    """State of a connection as the router closes it.

    Args:
        reason (CloseReason): Why it is closed.
        request_id (str): Request that was read and is not answered completely,
            "" for none. Defaults to none.
        queued (int): Further requests that were read. Defaults to 0.
        queued_ids (tuple[str, ...]): Ids of the first of these. Defaults to
            none.
        unread_bytes (int): Received bytes that were not parsed. Defaults to 0.
        unsent_bytes (int): Bytes of responses that were not sent. Defaults to
            0.
        idle_s (float): Time in seconds since the last activity. Defaults to 0.
    """

    reason: CloseReason
    request_id: str = ""
    queued: int = 0
    queued_ids: tuple[str, ...] = ()
    unread_bytes: int = 0
    unsent_bytes: int = 0
    idle_s: float = 0.0

    @property
    def is_harmless(self) -> bool:
        """Whether the close affects no request."""
        return self.reason in (
            CloseReason.IDLE,
            CloseReason.DESCRIPTORS,
            CloseReason.STOPPED,
            CloseReason.RESPONSE_SENT,
        ) and not (self.queued or self.unread_bytes)


class CallerCloseLog:
    """Log and count the closes of connections.

    Harmless closes are frequent. They are only counted; those of idle
    connections share one line for each sweep.

    Args:
        metrics (Metrics): Counts the closes by reason.
    """

    def __init__(self, metrics: Metrics) -> None:
        self._metrics = metrics
        self._idle_times_s: list[float] = []

    def __repr__(self) -> str:
        return f"CallerCloseLog(unlogged={len(self._idle_times_s)})"

    def record(self, close: CallerClose) -> None:
        """Counts a close, and logs it unless it is harmless."""
        self._metrics.count(f"caller_closed_{close.reason.value}")
        if close.unread_bytes:
            self._metrics.count("caller_closed_unread")
        if not close.is_harmless:
            events.log_event(
                LOG,
                events.CALLER_CLOSED,
                reason=close.reason.value,
                connections=1,
                request=close.request_id,
                queued=close.queued,
                queued_requests=",".join(close.queued_ids),
                unread_bytes=close.unread_bytes,
                unsent_bytes=close.unsent_bytes,
                idle_ms=round(close.idle_s * 1000),
            )
        elif close.reason is CloseReason.IDLE:
            self._idle_times_s.append(close.idle_s)

    def log_idle(self, idle_limit_s: float) -> None:
        """Logs the closes of idle connections since the last call.

        Args:
            idle_limit_s (float): Current limit on the idle time in seconds.
        """
        if not self._idle_times_s:
            return
        events.log_event(
            LOG,
            events.CALLER_CLOSED,
            reason=CloseReason.IDLE.value,
            connections=len(self._idle_times_s),
            idle_ms=round(min(self._idle_times_s) * 1000),
            limit_ms=round(idle_limit_s * 1000),
        )
        self._idle_times_s.clear()
