"""Evidence that a target has crashed, and what was in flight on it."""

import asyncio
import contextlib
import http
import logging
from collections.abc import Callable, Iterator, Sequence
from typing import NamedTuple, Protocol

from chervilwall import events
from chervilwall.crash_ledger import (
    CrashLedger,
    QuarantineChange,
    QuarantineStatus,
)
from chervilwall.crash_records import Crash
from chervilwall.crash_updates import CrashUpdates
from chervilwall.errors import DialError
from chervilwall.http_messages import ResponseHead
from chervilwall.in_flight import (
    UNANSWERED_RETENTION_S,
    InFlightAttempt,
    InFlightAttempts,
)
from chervilwall.protocol import Metrics
from chervilwall.registry import (
    RegisteredTarget,
    TargetRegistry,
    TargetStart,
)

LOG = logging.getLogger(__name__)
# Fingerprints named in one log line.
MAX_LOGGED = 8
# Verdicts on a broken attempt, and evidence of a crash.
LEAVING = "the target was leaving"
KNOWN = "a crash that is known"
TAKES_CONNECTIONS = "takes connections"
REFUSES = "refuses connections"
MISDIRECTED = "another target answers at its address"
ADDRESS_TAKEN = "another target is registered at its address"


class Prober(Protocol):
    """Opens a connection to a target and closes it."""

    async def __call__(self, target: RegisteredTarget) -> None:
        """Raises DialError where none can be opened."""
        ...


class CrashWatchParts(NamedTuple):
    """What the watch is made of.

    Args:
        name (str): This router's name.
        ledger (CrashLedger): Judges requests.
        registry (TargetRegistry): The targets.
        probe (Prober): Tells whether a target takes connections.
        tell_peers (Callable): Called when peers must hear of a crash.
        judged (Callable): Called with each request that is refused from now
            on, or let go.
        metrics (Metrics): Counts crashes.
        clock (Callable): Returns the monotonic time.
    """

    name: str
    ledger: CrashLedger
    registry: TargetRegistry
    probe: Prober
    tell_peers: Callable[[], None]
    judged: Callable[[QuarantineChange], None]
    metrics: Metrics
    clock: Callable[[], float]


class WatchedAttempt:
    """An attempt that is under way.

    Args:
        request_id (str): The caller's attempt.
        fingerprint (bytes): Digest of the request.
        begun_at (float): Monotonic time at which it was sent.
    """

    def __init__(
        self, request_id: str, fingerprint: bytes, begun_at: float
    ) -> None:
        self.request_id = request_id
        self.fingerprint = fingerprint
        self.begun_at = begun_at
        # Whether the target answered it whole or did not run it.
        self.answered = False

    def __repr__(self) -> str:
        return f"WatchedAttempt(answered={self.answered})"


class _Seen(NamedTuple):
    """The target that was registered last at an address."""

    target: RegisteredTarget
    gone_at: float | None = None


class CrashWatch:
    """Tell crashes of targets from cuts and planned stops.

    A target has crashed if it refuses connections right after an answer broke
    off, or if a later start of it, or another target at its address, shows. A
    target that was leaving, or takes connections and goes on, has not.

    Args:
        parts (CrashWatchParts): What it is made of.
    """

    def __init__(self, parts: CrashWatchParts) -> None:
        self._parts = parts
        self._ledger = parts.ledger
        self._attempts = InFlightAttempts()
        self._at_address: dict[str, _Seen] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"CrashWatch(attempts={self._attempts!r})"

    def status(self, fingerprint: bytes) -> QuarantineStatus:
        """Returns what is held against a request."""
        return self._ledger.status(fingerprint)

    @contextlib.contextmanager
    def attempt(
        self, target: RegisteredTarget, request_id: str, fingerprint: bytes
    ) -> Iterator[WatchedAttempt]:
        """Watches over an attempt of a request on a target."""
        begun_at = self._parts.clock()
        watched = WatchedAttempt(request_id, fingerprint, begun_at)
        number = self._attempts.begin(target.start, fingerprint, begun_at)
        try:
            yield watched
        finally:
            self._attempts.end(
                target.start,
                number,
                self._parts.clock(),
                answered=watched.answered,
            )

    def note_success(self, fingerprint: bytes) -> None:
        """Lets go a request that was answered whole."""
        self._attempts.remove_answered(fingerprint)
        now = self._parts.clock()
        is_news = self._ledger.record_answered(fingerprint, now, now)
        # The next report is soon enough for what was only suspected.
        if is_news and self._log_changes():
            self._parts.tell_peers()

    def hear(
        self, target: RegisteredTarget, head: ResponseHead, begun_at: float
    ) -> None:
        """Takes in the head of an answer.

        Args:
            target (RegisteredTarget): Where the request was sent.
            head (ResponseHead): The head.
            begun_at (float): Monotonic time at which it was sent.
        """
        if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            found = self._ended_on(target.start)
            self._record(target.start, found, MISDIRECTED, proven=True)
            return
        self._attempts.record_alive(target.start, begun_at)
        if self._ledger.record_alive(
            target.start, begun_at, self._parts.clock()
        ):
            events.log_event(LOG, events.CRASH_WITHDRAWN, target=target.id)
            self._publish()

    def examine(
        self, target: RegisteredTarget, attempt: WatchedAttempt
    ) -> "asyncio.Task[None]":
        """Begins to find out whether a target ended under an attempt.

        Args:
            target (RegisteredTarget): The target.
            attempt (WatchedAttempt): One that broke off.

        Returns:
            What ends when it is known; it need not be waited for.
        """
        work = self._examine(target, attempt)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _examine(
        self, target: RegisteredTarget, attempt: WatchedAttempt
    ) -> None:
        verdict = await self._find_verdict(target, attempt)
        events.log_event(
            LOG,
            events.ATTEMPT_EXAMINED,
            request=attempt.request_id,
            fingerprint=attempt.fingerprint.hex(),
            target=target.id,
            verdict=verdict,
        )

    async def _find_verdict(
        self, target: RegisteredTarget, attempt: WatchedAttempt
    ) -> str:
        if not self._is_serving(target):
            return LEAVING
        if self._ledger.has_crashed_since(target.start, attempt.begun_at):
            found = self._attempts.on_target(target.start)
            self._record(target.start, found, KNOWN, proven=False)
            return KNOWN
        try:
            await self._parts.probe(target)
        except DialError as exc:
            if exc.refused:
                self.note_refused(target)
            return exc.reason
        return TAKES_CONNECTIONS

    def note_refused(self, target: RegisteredTarget) -> None:
        """Takes in that nothing listens at a target's address."""
        if not self._is_serving(target):
            return
        now = self._parts.clock()
        found = self._attempts.on_target(target.start)
        self._record(target.start, found, REFUSES, proven=False)
        if self._ledger.record_unreachable(target.start, now, now):
            # Others may have had requests there that ended in silence.
            self._parts.tell_peers()

    def target_added(self, target: RegisteredTarget) -> None:
        """Takes in a registration, of a new start or a changed one."""
        seen = self._at_address.get(target.address)
        if seen is not None and seen.target.id != target.id:
            # For a while a list may name both that were there.
            if seen.target.born_ms >= target.born_ms:
                return
            now = self._parts.clock()
            if (
                seen.gone_at is None
                or now - seen.gone_at <= UNANSWERED_RETENTION_S
            ):
                known = self._parts.registry.get(seen.target.id)
                self.target_lost(
                    known or seen.target, ADDRESS_TAKEN, proven=True
                )
        self._at_address[target.address] = _Seen(target)

    def target_lost(
        self, target: RegisteredTarget, reason: str, *, proven: bool
    ) -> None:
        """Takes in that a start of a target is over.

        Args:
            target (RegisteredTarget): The target as it was registered.
            reason (str): Why, for the log.
            proven (bool): Whether a later start shows that it has ended. A
                target whose registration alone is gone may serve on.
        """
        seen = self._at_address.get(target.address)
        if seen is not None and seen.target.start == target.start:
            gone = _Seen(target, self._parts.clock())
            self._at_address[target.address] = gone
        if target.draining:
            return
        found = self._ended_on(target.start)
        if proven:
            found = self._attempts.on_target(target.start)
        self._record(target.start, found, reason, proven=proven)

    def take_news(self, peer: str, updates: CrashUpdates) -> None:
        """Takes in what a peer tells of crashes."""
        found = self._ledger.merge(updates, self._parts.clock())
        for update in found.crashes:
            events.log_event(
                LOG,
                events.CRASH_REPORTED,
                peer=peer,
                target=update.start.target_id,
                seen_by=update.seen_by,
                proven=update.proven,
                age_s=round(update.age_s, 2),
                requests=len(update.fingerprints),
                fingerprints=_hexes(update.fingerprints),
            )
        self._log_changes()
        for lost in found.lost:
            ended = self._ended_on(lost.start)
            self._record(lost.start, ended, REFUSES, proven=False)

    def sweep(self) -> None:
        """Forgets what is too old to be evidence."""
        now = self._parts.clock()
        self._attempts.sweep(now)
        for address, seen in list(self._at_address.items()):
            gone_at = seen.gone_at
            if gone_at is not None and now - gone_at > UNANSWERED_RETENTION_S:
                del self._at_address[address]

    def _is_serving(self, target: RegisteredTarget) -> bool:
        known = self._parts.registry.get(target.id)
        if known is None or known.start != target.start:
            return False
        return not known.draining

    def _ended_on(self, start: TargetStart) -> list[InFlightAttempt]:
        """Returns what ended unanswered on a target, which is silent since."""
        return [
            f for f in self._attempts.on_target(start) if f.ended_at is not None
        ]

    def _record(
        self,
        start: TargetStart,
        attempts: Sequence[InFlightAttempt],
        evidence: str,
        *,
        proven: bool,
    ) -> None:
        if not attempts:
            return
        parts, now = self._parts, self._parts.clock()
        at = max(now if f.ended_at is None else f.ended_at for f in attempts)
        crash = Crash(start, at, proven, parts.name)
        named = {attempt.fingerprint for attempt in attempts}
        if not self._ledger.record_crash(crash, named, now):
            return
        parts.metrics.count("target_crashed")
        events.log_event(
            LOG,
            events.TARGET_CRASHED,
            target=start.target_id,
            evidence=evidence,
            proven=proven,
            age_s=round(now - at, 2),
            requests=len(named),
            fingerprints=_hexes(named),
        )
        self._publish()

    def _publish(self) -> None:
        self._log_changes()
        self._parts.tell_peers()

    def _log_changes(self) -> bool:
        """Tells of what is refused from now on, or let go; returns if any."""
        changes = self._ledger.take_changes()
        for change in changes:
            self._log_change(change)
            self._parts.judged(change)
        return bool(changes)

    def _log_change(self, change: QuarantineChange) -> None:
        crashes = change.status.crashes
        event, counter = events.REQUEST_RELEASED, "request_released"
        if change.status.is_quarantined:
            event, counter = events.REQUEST_QUARANTINED, "request_quarantined"
        self._parts.metrics.count(counter)
        events.log_event(
            LOG,
            event,
            fingerprint=change.fingerprint.hex(),
            reason=change.reason,
            crashes=len(crashes),
            targets=",".join(c.start.target_id for c in crashes),
            seen_by=",".join(c.seen_by for c in crashes),
        )


def _hexes(fingerprints: "Sequence[bytes] | set[bytes]") -> str:
    """Returns some fingerprints, for the log."""
    return ",".join(f.hex() for f in sorted(fingerprints)[:MAX_LOGGED])
