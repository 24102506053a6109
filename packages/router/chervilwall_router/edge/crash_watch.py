"""Detection of crashes of targets, and of the requests that ran meanwhile.

A start of a target is one run of it, from when it starts until it ends. A
request to which a crash is attributed is a suspect; the crash ledger
quarantines it when enough crashes are attributed to it.
"""

import asyncio
import contextlib
import http
import logging
from collections.abc import Iterator, Sequence
from typing import NamedTuple

from chervilwall import events
from chervilwall.crash_records import Crash
from chervilwall.crash_updates import CrashUpdates
from chervilwall.errors import DialError
from chervilwall.fingerprints import Fingerprints, is_part
from chervilwall.http_messages import ResponseHead
from chervilwall.in_flight import (
    UNANSWERED_RETENTION_S,
    InFlightAttempt,
    InFlightAttempts,
)
from chervilwall.quarantine_status import QuarantineChange, QuarantineStatus
from chervilwall.registry import (
    RegisteredTarget,
    TargetStart,
)

from chervilwall_router.edge.crash_evidence import (
    ACCEPTS_CONNECTIONS,
    ADDRESS_TAKEN,
    CRASH_KNOWN,
    MISDIRECTED,
    REFUSES_CONNECTIONS,
    RESTARTED,
    SHUTTING_DOWN,
    CrashWatchParts,
    WatchedAttempt,
)

LOG = logging.getLogger(__name__)
# A process that ends closes its connections one after the other. A probe sent
# at once might still be accepted.
CLOSE_SETTLE_S = 0.01
# Maximum number of fingerprints in one log line.
MAX_LOGGED_FINGERPRINTS = 8


class _AddressEntry(NamedTuple):
    """The target last registered at an address, and when it was removed."""

    target: RegisteredTarget
    removed_at: float | None = None


class CrashWatch:
    """Distinguish crashes of targets from cut connections and shutdowns.

    A target has crashed if it refuses connections right after a response broke
    off, or if a later start of it or another target at its address is seen. A
    target that still accepts connections has not crashed, nor has one that was
    shutting down gracefully: its registration said that it was draining, or it
    announced in a response that it was leaving.

    Args:
        parts (CrashWatchParts): Dependencies.
    """

    def __init__(self, parts: CrashWatchParts) -> None:
        self._parts = parts
        self._ledger = parts.ledger
        self._attempts = InFlightAttempts()
        self._by_address: dict[str, _AddressEntry] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"CrashWatch(attempts={self._attempts!r})"

    def status(self, fingerprints: Fingerprints) -> QuarantineStatus:
        """Returns the quarantine status of a request and its prompt parts."""
        return self._ledger.combined_status(fingerprints)

    @contextlib.contextmanager
    def attempt(
        self,
        target: RegisteredTarget,
        request_id: str,
        fingerprints: Fingerprints,
    ) -> Iterator[WatchedAttempt]:
        """Tracks an attempt of a request on a target until the context ends.

        Args:
            target (RegisteredTarget): Target that the request is sent to.
            request_id (str): Id of the caller's request, for the log.
            fingerprints (Fingerprints): Fingerprints of the request and of the
                parts of its prompt.

        Yields:
            The attempt; the caller sets its attribute `answered`.
        """
        begun_at = self._parts.clock()
        watched = WatchedAttempt(request_id, fingerprints, begun_at)
        number = self._attempts.begin(target.start, fingerprints, begun_at)
        try:
            yield watched
        finally:
            self._attempts.end(
                target.start,
                number,
                self._parts.clock(),
                answered=watched.answered,
            )

    def record_success(self, fingerprints: Fingerprints) -> None:
        """Records that a request was answered completely.

        This releases it and the parts of its prompt.
        """
        fingerprint, *parts = fingerprints
        self._attempts.remove_answered(fingerprint)
        now = self._parts.clock()
        has_changed = self._ledger.record_answered(fingerprint, now, now)
        has_changed |= self._ledger.record_parts_answered(parts, now)
        # Reports are sent at once only if this changes a quarantine. That a
        # suspect is cleared can wait for the next periodic report.
        if has_changed and self._handle_changes():
            self._parts.send_reports_now()

    def record_head(
        self, target: RegisteredTarget, head: ResponseHead, begun_at: float
    ) -> None:
        """Records the head of a response as evidence for or against a crash.

        A head shows that the target was alive when the request was sent, unless
        it says that another target answered at its address.

        Args:
            target (RegisteredTarget): Target that the request was sent to.
            head (ResponseHead): Head of the answer.
            begun_at (float): Monotonic time at which the request was sent.
        """
        if head.status == http.HTTPStatus.MISDIRECTED_REQUEST:
            attempts = self._unanswered_on(target.start)
            self._record_crash(target.start, attempts, MISDIRECTED, proven=True)
            return
        self._attempts.record_alive(target.start, begun_at)
        if self._ledger.record_alive(
            target.start, begun_at, self._parts.clock()
        ):
            events.log_event(LOG, events.CRASH_WITHDRAWN, target=target.id)
            self._handle_changes_and_report()

    def examine(
        self, target: RegisteredTarget, attempt: WatchedAttempt
    ) -> "asyncio.Task[None]":
        """Starts to determine whether a target crashed during an attempt.

        Args:
            target (RegisteredTarget): Target that the attempt ran on.
            attempt (WatchedAttempt): Attempt whose response broke off.

        Returns:
            A task that ends when a crash, if there was one, is recorded. It
            runs to its end even if nobody awaits it.
        """
        work = self._examine(target, attempt)
        task = asyncio.get_running_loop().create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def confirm_serving(
        self, target: RegisteredTarget, attempt: WatchedAttempt
    ) -> bool:
        """Returns whether a target that closed a connection is still there.

        A response without a length or chunks ends with its connection. A target
        that crashes closes its connections too, so that such a response can
        only be complete if the target outlives it.

        Args:
            target (RegisteredTarget): Target that the attempt ran on.
            attempt (WatchedAttempt): Attempt whose response has ended.
        """
        await asyncio.sleep(CLOSE_SETTLE_S)
        verdict = RESTARTED
        if not self._has_ended(target, attempt):
            verdict = await self._probe(target, attempt)
            # Another start may have accepted the probe.
            if self._has_ended(target, attempt):
                verdict = RESTARTED
        self._log_verdict(target, attempt, verdict)
        return verdict == ACCEPTS_CONNECTIONS

    def _has_ended(
        self, target: RegisteredTarget, attempt: WatchedAttempt
    ) -> bool:
        """Returns whether a start of a target is known to have ended."""
        known = self._parts.registry.get(target.id)
        if known is not None and known.start != target.start:
            return True
        entry = self._by_address.get(target.address)
        if entry is not None and entry.target.start != target.start:
            return True
        return self._ledger.has_crashed_since(target.start, attempt.begun_at)

    async def _examine(
        self, target: RegisteredTarget, attempt: WatchedAttempt
    ) -> None:
        verdict = SHUTTING_DOWN
        if self._is_serving(target):
            verdict = await self._probe(target, attempt)
        self._log_verdict(target, attempt, verdict)

    def _log_verdict(
        self, target: RegisteredTarget, attempt: WatchedAttempt, verdict: str
    ) -> None:
        events.log_event(
            LOG,
            events.ATTEMPT_EXAMINED,
            request=attempt.request_id,
            fingerprint=attempt.fingerprints[0].hex(),
            target=target.id,
            verdict=verdict,
        )

    async def _probe(
        self, target: RegisteredTarget, attempt: WatchedAttempt
    ) -> str:
        """Returns the verdict on a target that may have crashed."""
        if self._ledger.has_crashed_since(target.start, attempt.begun_at):
            attempts = self._attempts.on_target(target.start)
            self._record_crash(
                target.start, attempts, CRASH_KNOWN, proven=False
            )
            return CRASH_KNOWN
        try:
            await self._parts.probe(target)
        except DialError as exc:
            if exc.refused:
                self.record_connection_refused(target)
            return exc.reason
        return ACCEPTS_CONNECTIONS

    def record_connection_refused(self, target: RegisteredTarget) -> None:
        """Records that a connection to a target was refused.

        Args:
            target (RegisteredTarget): Target at whose address nothing listens.
        """
        if not self._is_serving(target):
            return
        now = self._parts.clock()
        attempts = self._attempts.on_target(target.start)
        self._record_crash(
            target.start, attempts, REFUSES_CONNECTIONS, proven=False
        )
        if self._ledger.record_unreachable(target.start, now, now):
            # Peers may have had attempts on it that ended without an answer,
            # and can then attribute the crash to those requests.
            self._parts.send_reports_now()

    def record_registration(self, target: RegisteredTarget) -> None:
        """Records a new or changed registration of a target.

        Args:
            target (RegisteredTarget): Target as registered.
        """
        entry = self._by_address.get(target.address)
        if entry is not None and entry.target.id != target.id:
            # A listing may contain both the old and the new target for a while;
            # the older must not replace the newer.
            if entry.target.born_ms >= target.born_ms:
                return
            now = self._parts.clock()
            if (
                entry.removed_at is None
                or now - entry.removed_at <= UNANSWERED_RETENTION_S
            ):
                known = self._parts.registry.get(entry.target.id)
                self.record_target_ended(
                    known or entry.target, ADDRESS_TAKEN, proven=True
                )
        self._by_address[target.address] = _AddressEntry(target)

    def record_target_ended(
        self, target: RegisteredTarget, reason: str, *, proven: bool
    ) -> None:
        """Records that a start of a target ended or lost its registration.

        Args:
            target (RegisteredTarget): Target as it was registered.
            reason (str): Evidence of the end, for the log.
            proven (bool): Whether a later start, or another target at its
                address, proves that this start has ended. A target that only
                lost its registration may still be serving.
        """
        entry = self._by_address.get(target.address)
        if entry is not None and entry.target.start == target.start:
            removed = _AddressEntry(target, self._parts.clock())
            self._by_address[target.address] = removed
        if target.draining:
            return
        attempts = self._unanswered_on(target.start)
        if proven:
            attempts = self._attempts.on_target(target.start)
        self._record_crash(target.start, attempts, reason, proven=proven)

    def apply_updates(
        self,
        peer: str,
        updates: CrashUpdates,
        *,
        are_quarantined: bool = False,
    ) -> None:
        """Applies updates from a peer or from the object store.

        Args:
            peer (str): Source of the updates: the name of the peer that sent
                them, or "store" if they were read from the object store.
            updates (CrashUpdates): Crashes and targets found unreachable.
            are_quarantined (bool): Whether the crashes name only requests and
                parts that the fleet has quarantined. Defaults to False.
        """
        merged = self._ledger.merge(
            updates, self._parts.clock(), are_quarantined=are_quarantined
        )
        for update in merged.crashes:
            events.log_event(
                LOG,
                events.CRASH_REPORTED,
                peer=peer,
                target=update.start.target_id,
                seen_by=update.seen_by,
                proven=update.proven,
                age_s=round(update.age_s, 2),
                requests=len(update.fingerprints),
                fingerprints=_format_fingerprints(update.fingerprints),
            )
        self._handle_changes()
        for unreachable in merged.lost:
            unanswered = self._unanswered_on(unreachable.start)
            self._record_crash(
                unreachable.start,
                unanswered,
                REFUSES_CONNECTIONS,
                proven=False,
            )

    def sweep(self) -> None:
        """Removes attempts and addresses that are too old to be evidence."""
        now = self._parts.clock()
        self._attempts.sweep(now)
        for address, entry in list(self._by_address.items()):
            removed_at = entry.removed_at
            if (
                removed_at is not None
                and now - removed_at > UNANSWERED_RETENTION_S
            ):
                del self._by_address[address]

    def _is_serving(self, target: RegisteredTarget) -> bool:
        known = self._parts.registry.get(target.id)
        if known is None or known.start != target.start:
            return False
        return not known.draining

    def _unanswered_on(self, start: TargetStart) -> list[InFlightAttempt]:
        """Returns the ended attempts on a target that had no full response."""
        return [
            f for f in self._attempts.on_target(start) if f.ended_at is not None
        ]

    def _record_crash(
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
        crashed_at = max(
            now if attempt.ended_at is None else attempt.ended_at
            for attempt in attempts
        )
        crash = Crash(start, crashed_at, proven, parts.name)
        fingerprints = {f for a in attempts for f in a.fingerprints}
        if not self._ledger.record_crash(crash, fingerprints, now):
            return
        parts.metrics.count("target_crashed")
        events.log_event(
            LOG,
            events.TARGET_CRASHED,
            target=start.target_id,
            evidence=evidence,
            proven=proven,
            age_s=round(now - crashed_at, 2),
            requests=len({attempt.fingerprints[0] for attempt in attempts}),
            fingerprints=_format_fingerprints(fingerprints),
        )
        self._handle_changes_and_report()

    def _handle_changes_and_report(self) -> None:
        self._handle_changes()
        self._parts.send_reports_now()

    def _handle_changes(self) -> bool:
        """Logs each quarantine change and passes it to `on_quarantine_change`.

        Returns:
            Whether there were any changes.
        """
        changes = self._ledger.take_changes()
        for change in changes:
            self._log_change(change)
            self._parts.on_quarantine_change(change)
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
            kind="part" if is_part(change.fingerprint) else "request",
            reason=change.reason,
            crashes=len(crashes),
            targets=",".join(c.start.target_id for c in crashes),
            seen_by=",".join(c.seen_by for c in crashes),
        )


def _format_fingerprints(fingerprints: "Sequence[bytes] | set[bytes]") -> str:
    """Returns the first MAX_LOGGED_FINGERPRINTS fingerprints, for the log.

    Those of prompt parts, which are longer, come first.
    """
    ordered = sorted(fingerprints, key=lambda f: (-len(f), f))
    return ",".join(f.hex() for f in ordered[:MAX_LOGGED_FINGERPRINTS])
