"""What a router learns of cold targets, and what that means for a request.

Nothing here has an effect without the setting `cold`.
"""

import errno
import logging
import math
from collections.abc import Awaitable, Callable, Iterable, Mapping

from chervilwall import events
from chervilwall.cold_targets import ColdTargets
from chervilwall.edge_messages import StatedCold
from chervilwall.errors import DialError
from chervilwall.http_messages import ResponseHead
from chervilwall.protocol import Metrics
from chervilwall.registry import RegisteredTarget
from chervilwall.routing import Service

LOG = logging.getLogger(__name__)
# Errors of a connection that this host has caused, not the target.
OWN_ERRORS = frozenset(
    (
        errno.EMFILE,
        errno.ENFILE,
        errno.ENOBUFS,
        errno.ENOMEM,
        errno.EADDRNOTAVAIL,
        errno.ENETDOWN,
        errno.ENETUNREACH,
    )
)
# Time in which a scheduler learns what this router has learned.
NEWS_DELAY_S = 0.1
# Event loop lag from which a connection may have timed out because of this
# host. It is half the time that a connection may take.
OWN_TIMEOUT_LAG_S = 0.25
# Least time that a scheduler states for a grant, also if it has expired and is
# repeated because its first datagram was lost.
MIN_STATED_S = 0.001


class ColdNotices:
    """Record and log which targets are cold.

    Args:
        cold (ColdTargets): Records it.
        send_reports_now (Callable): Called to send reports to peers at once.
        metrics (Metrics): Counts the changes.
        lag_s (Callable): Returns the recent lag of the event loop in seconds.
        clock (Callable): Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        cold: ColdTargets,
        send_reports_now: Callable[[], None],
        metrics: Metrics,
        lag_s: Callable[[], float],
        clock: Callable[[], float],
    ) -> None:
        self._cold = cold
        self._send_reports_now = send_reports_now
        self._metrics = metrics
        self._lag_s = lag_s
        self._clock = clock

    def __repr__(self) -> str:
        return f"ColdNotices(cold={self._cold!r})"

    @property
    def is_enabled(self) -> bool:
        """Whether the settings bound the requests to cold targets."""
        return self._cold.is_enabled

    def configure(self, services: Mapping[str, Service]) -> None:
        """Applies the services of a configuration."""
        self._cold.configure(services, self._clock())
        self.log_changes()

    def apply_registrations(
        self, targets: Mapping[str, RegisteredTarget]
    ) -> None:
        """Applies all registrations in force, by id of the target."""
        self._cold.record_registrations(targets, self._clock())
        self.log_changes()

    def apply_head(
        self, target: RegisteredTarget, head: ResponseHead, sent_at: float
    ) -> None:
        """Applies what a response head says of its target.

        Args:
            target (RegisteredTarget): Target that sent the head.
            head (ResponseHead): Head of the answer.
            sent_at (float): Monotonic time at which the request was sent.
        """
        if head.cold_for_s is None:
            return
        is_urgent = self._cold.record_response(
            target, head.cold_for_s, sent_at, self._clock()
        )
        self._publish(is_urgent)

    def apply_stated(self, stated: Iterable[StatedCold]) -> None:
        """Applies what the report of a peer states."""
        now = self._clock()
        for item in stated:
            self._cold.record_stated(item, now)
        self.log_changes()

    def record_unreachable(self, target: RegisteredTarget) -> None:
        """Records that a connection to a target could not be opened."""
        is_urgent = self._cold.record_unreachable(target, self._clock())
        self._publish(is_urgent)

    async def watch_probe(
        self, probe: Awaitable[None], target: RegisteredTarget
    ) -> None:
        """Waits for a probe, and records a target that accepts no connection.

        Args:
            probe (Awaitable): Opens a connection to the target.
            target (RegisteredTarget): The target.

        Raises:
            DialError: The connection could not be opened.
        """
        try:
            await probe
        except DialError as exc:
            if not self.is_own_fault(exc):
                self.record_unreachable(target)
            raise

    def record_zone_returned(self, targets: Iterable[RegisteredTarget]) -> None:
        """Records that the zone of some targets returned to service."""
        self._cold.record_zone_returned(targets, self._clock())
        self.log_changes()

    def is_own_fault(self, exc: DialError) -> bool:
        """Returns whether this host caused the failure of a connection.

        The target is not assumed to be cold then: a host without descriptors
        fails to connect to every target.
        """
        if not self.is_enabled:
            return False
        cause = exc.__cause__
        if isinstance(cause, TimeoutError):
            return self._lag_s() >= OWN_TIMEOUT_LAG_S
        return isinstance(cause, OSError) and cause.errno in OWN_ERRORS

    def withdrawal_reason(
        self,
        target: RegisteredTarget,
        granted_at: float,
        send_within_s: float,
    ) -> str:
        """Returns why a request must not be sent on its grant, "" if it may.

        What this router knew before the grant, the scheduler had to know as
        well, and it may have learned since that the target is warm.

        Args:
            target (RegisteredTarget): Target that was granted.
            granted_at (float): Monotonic time at which this router had the
                grant.
            send_within_s (float): Time from then in which the request must be
                sent, infinity if the target was granted as one that is warm.
        """
        now = self._clock()
        if math.isinf(send_within_s):
            if self._cold.is_cold(target, now):
                # The scheduler takes it for warm, and may have missed why not.
                self._cold.report(target, now)
            since = granted_at - NEWS_DELAY_S
            if self._cold.has_learned_since(target, since, now):
                return "the target became cold"
            return ""
        # The datagram with the grant may have waited for as long as the event
        # loop was behind.
        age_s = now - granted_at + self._lag_s()
        if age_s >= send_within_s - MIN_STATED_S:
            return "the grant of a cold target expired"
        return ""

    def log_changes(self) -> None:
        """Logs and counts the targets that became cold or warm."""
        for change in self._cold.pop_changes(self._clock()):
            event = events.TARGET_COLD if change.is_cold else events.TARGET_WARM
            self._metrics.count(
                f"target_{'cold' if change.is_cold else 'warm'}"
            )
            events.log_event(
                LOG,
                event,
                target=change.target_id,
                service=change.service,
                source=change.source.value,
                remaining_s=round(change.remaining_s, 2),
            )

    def _publish(self, is_urgent: bool) -> None:
        self.log_changes()
        if is_urgent:
            self._send_reports_now()
