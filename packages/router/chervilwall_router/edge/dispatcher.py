"""Grants of targets to requests, at once or from a queue.

A request that no target can take waits in the queue of its service. A pass,
which tries to grant targets to the waiting requests, runs when capacity becomes
free and at a fixed interval.

A suspect is a request to which crashes of targets are attributed. With enough
of them it is quarantined: it is refused, except that one trial of it is granted
from time to time.
"""

import asyncio
import contextlib
import functools
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import cell_messages
from chervilwall.crash_ledger import CrashLedger
from chervilwall.errors import RequestRefusedError
from chervilwall.fair_share import FairShare
from chervilwall.isolation import Isolation
from chervilwall.load_view import LoadView
from chervilwall.placement import Choice, Placement
from chervilwall.prefill import PrefillModel
from chervilwall.prefix import PrefixMap, PromptPart
from chervilwall.quarantine_status import QuarantineStatus
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.request_pacer import RequestPacer
from chervilwall.stream_versions import StreamVersions
from chervilwall.unserved_requests import UnservedRequests
from chervilwall.wait_queue import (
    TeamShares,
    Ticket,
    WaitQueue,
    WaitSettings,
)

from chervilwall_router.edge.grants import Grant, GrantRequest
from chervilwall_router.edge.stream_binding import (
    StreamBinding,
    VersionAgreement,
    lost_version_refusal,
)
from chervilwall_router.edge.tickets import TicketMaker
from chervilwall_router.edge.wait_estimate import (
    WaitEstimate,
    WaitEstimateParts,
)

# Interval of passes and expiry checks while requests wait, in addition to the
# passes that freed capacity starts.
CHECK_INTERVAL_S = 0.02
# Capacity freed within this time is granted in one pass. A target that runs a
# model has queued work for many times as long, so it does not become idle
# before the pass.
MIN_PASS_INTERVAL_S = 0.003
# Minimum time from the end of a pass to the next one, as a multiple of the
# duration of that pass. Passes must leave most of the time to newly arriving
# requests.
PASS_PAUSE_FACTOR = 2.0
REASON_CRASHES = "targets ended under it"
REASON_NO_TARGET = "no target takes requests"
# A pass moves on to the next queue after this many requests of a queue found no
# target.
MAX_MISSES_PER_QUEUE = 8
# The same limit for streams that are bound to a software version: the targets
# of other versions may be free while they wait.
MAX_BOUND_MISSES_PER_QUEUE = 32


class _Waiter(NamedTuple):
    """A waiting request and the future that gets its grant or refusal."""

    request: GrantRequest
    ticket: Ticket
    future: "asyncio.Future[Grant]"


class DispatcherParts(NamedTuple):
    """Dependencies of Dispatcher.

    Args:
        settings (WaitSettings): Limits on waiting times.
        placement (Placement): Chooses targets.
        registry (TargetRegistry): Registered targets.
        load (LoadView): Load of the targets.
        prefixes (PrefixMap): Prompt prefixes that the targets have cached.
        model (PrefillModel): Prefill speed of the targets.
        shares (FairShare): Recent demand and usage of each team.
        crashes (CrashLedger): Crashes and the requests attributed to them.
        tokens_per_s (Callable): Returns the capacity of all model engines in
            tokens per second.
        scheduler_count (Callable): Returns the number of routers that place
            requests of a service: 1 if this router is its scheduler, all of
            them if each places its own.
        on_grant (Callable): Called with the target id and the prompt parts of
            each grant.
        streams (StreamVersions): Keeps resumable streams at the software
            version that began them.
        agreement (VersionAgreement): Versions that routers have agreed on.
        pacer (RequestPacer): Spaces the requests to targets that name limits or
            are cold.
        clock (Callable): Returns the monotonic time in seconds.
        on_unreachable (Callable): Called with each target that was granted and
            to which no connection could be opened. Defaults to a function
            without effect.
    """

    settings: WaitSettings
    placement: Placement
    registry: TargetRegistry
    load: LoadView
    prefixes: PrefixMap
    model: PrefillModel
    shares: FairShare
    crashes: CrashLedger
    tokens_per_s: Callable[[], float]
    scheduler_count: Callable[[str], int]
    on_grant: Callable[[str, tuple[PromptPart, ...]], None]
    streams: StreamVersions
    agreement: VersionAgreement
    pacer: RequestPacer
    clock: Callable[[], float]
    on_unreachable: Callable[[RegisteredTarget], None] = lambda target: None


class Preview(NamedTuple):
    """What acquire() would do with a request.

    Args:
        choice (Choice | None): Target that it would be granted at once, None if
            it would wait or be refused.
        wait_s (float): Expected wait in seconds.
        refusal (str): Why it would be refused, "" if it would not.
        retry_after_s (float): Retry-After of the refusal in seconds.
        waiting (int): Requests of the service that wait here.
    """

    choice: Choice | None = None
    wait_s: float = 0.0
    refusal: str = ""
    retry_after_s: float = 0.0
    waiting: int = 0


class Dispatcher:
    """Grant targets to requests, which wait while no target can take them.

    Args:
        parts (DispatcherParts): Dependencies.
    """

    def __init__(self, parts: DispatcherParts) -> None:
        self._parts = parts
        self._clock = parts.clock
        self._tickets = TicketMaker(
            parts.settings, parts.registry, parts.placement, parts.streams
        )
        self._queues: dict[str, WaitQueue] = {}
        self._waiters: dict[int, _Waiter] = {}
        self._unserved = UnservedRequests()
        self._isolation = Isolation()
        self._wait_estimate = WaitEstimate(
            WaitEstimateParts(
                parts.registry, parts.pacer, parts.scheduler_count
            )
        )
        self._binding = StreamBinding(
            parts.streams, parts.agreement, parts.registry, parts.clock
        )
        self._timer: asyncio.TimerHandle | None = None
        self._next_pass: asyncio.Handle | None = None
        self._last_pass_at = 0.0
        self._last_pass_s = 0.0

    def __repr__(self) -> str:
        return f"Dispatcher(waiting={len(self._waiters)})"

    def waiting_count(self) -> int:
        """Returns the number of waiting requests."""
        return len(self._waiters)

    async def acquire(self, request: GrantRequest) -> Grant:
        """Returns a grant, at once or after a wait.

        Args:
            request (GrantRequest): Request that needs a target.

        Raises:
            RequestRefusedError: The request waited too long or is expected to,
                is quarantined and not due for a trial, has no target left
                that is not excluded, or resumes a stream whose software version
                is not known or not in service.
        """
        request = await self._binding.bind(request)
        now = self._clock()
        status = self._parts.crashes.combined_status(request.fingerprints)
        if status.is_refused(now):
            raise self._crash_refusal(request, now)
        if request.is_first_attempt:
            self._parts.shares.record_demand(request.team, request.tokens, now)
            request = self._restore_due_time(request, now)
        queue = self._queue_of(request.demand.service)
        ticket = self._tickets.make(request, now)
        if not self._is_outranked(queue, ticket, now):
            grant = self._try_grant(request, queue, ticket, now)
            if grant is not None:
                return grant
        reason = self._refusal_reason(queue, ticket, request, now)
        if reason:
            self._record_unserved(queue, ticket, request, now)
            raise self._build_refusal(queue, ticket, reason, now)
        service = request.demand.service
        targets = self._parts.registry.serving_targets(service)
        self._parts.pacer.record_waiting(service, targets, now)
        return await self._wait_for_grant(queue, ticket, request)

    def preview(self, request: GrantRequest) -> Preview:
        """Returns what acquire() would do with a request, without doing it.

        Args:
            request (GrantRequest): The request.
        """
        parts, now = self._parts, self._clock()
        service = request.demand.service
        queue = self._queues.get(service) or WaitQueue(parts.settings)
        status = parts.crashes.combined_status(request.fingerprints)
        if status.is_refused(now):
            return Preview(
                refusal=REASON_CRASHES,
                retry_after_s=status.retry_after_s(now),
                waiting=len(queue),
            )
        with parts.pacer.unrecorded():
            ticket = self._tickets.make(request, now)
            if not self._is_outranked(queue, ticket, now):
                choice = self._choose(request, ticket, status, now)
                if choice is not None:
                    return Preview(choice, waiting=len(queue))
            wait_s = self._expected_wait_s(queue, ticket, now)
            refusal = self._refusal_reason(queue, ticket, request, now)
        retry_after_s = queue.retry_after_s(wait_s) if refusal else 0.0
        return Preview(None, wait_s, refusal, retry_after_s, len(queue))

    def _restore_due_time(
        self, request: GrantRequest, now: float
    ) -> GrantRequest:
        """Returns a request with the due time of its first arrival.

        The first arrival is earlier if the caller was refused and has sent the
        request again.
        """
        if request.is_resumption:
            return request
        own_part = request.demand.own_part
        first_at = self._unserved.pop_first_arrival(request.team, own_part, now)
        if first_at is None:
            return request
        return request._replace(due_at=first_at + request.objective_s)

    def schedule_pass(self) -> None:
        """Schedules a pass that grants free capacity to waiting requests."""
        if self._waiters:
            self._schedule_pass()

    def _schedule_pass(self) -> None:
        if self._next_pass is None:
            loop = asyncio.get_running_loop()
            pause_s = max(
                MIN_PASS_INTERVAL_S, PASS_PAUSE_FACTOR * self._last_pass_s
            )
            pause_s += self._last_pass_at - self._clock()
            self._next_pass = loop.call_later(max(0.0, pause_s), self._run_pass)

    def _queue_of(self, service: str) -> WaitQueue:
        queue = self._queues.get(service)
        if queue is None:
            queue = self._queues[service] = WaitQueue(self._parts.settings)
        return queue

    def _is_outranked(
        self, queue: WaitQueue, ticket: Ticket, now: float
    ) -> bool:
        return queue.is_outranked(ticket, now, self._team_shares(now))

    def _team_shares(self, now: float) -> TeamShares:
        shares = self._parts.shares
        over_share = shares.teams_over_share(self._parts.tokens_per_s(), now)
        return TeamShares(over_share, shares.usage_by_team())

    def _refusal_reason(
        self,
        queue: WaitQueue,
        ticket: Ticket,
        request: GrantRequest,
        now: float,
    ) -> str:
        if not self._has_target(request, now):
            return REASON_NO_TARGET
        start_at = now + self._expected_wait_s(queue, ticket, now)
        limit = ticket.late_wait_limit_at()
        if queue.starts_late_requests():
            limit = ticket.give_up_at
        return "would wait too long" if start_at > limit else ""

    def _has_target(self, request: GrantRequest, now: float) -> bool:
        """Returns whether a target takes requests that is not excluded."""
        service = request.demand.service
        targets = self._parts.registry.serving_targets(service)
        excluded = request.excluded
        if request.is_bound_to_version:
            excluded = self._binding.excluded(request, targets, now)
        return any(target.id not in excluded for target in targets)

    def _expected_wait_s(
        self, queue: WaitQueue, ticket: Ticket, now: float
    ) -> float:
        return self._wait_estimate.expected_wait_s(
            queue, ticket, self._team_shares(now), now
        )

    def _record_unserved(
        self,
        queue: WaitQueue,
        ticket: Ticket,
        request: GrantRequest,
        now: float,
    ) -> None:
        """Records that a request is refused.

        One that runs already loses nothing. If it counted, many silent targets
        would make the queue refuse other requests that may still wait.
        """
        if request.is_replacement:
            return
        own_part = ticket.demand.own_part
        self._unserved.record(ticket.team, own_part, ticket.first_sent_at)
        queue.record_outcome(ticket, now, False)

    def _build_refusal(
        self, queue: WaitQueue, ticket: Ticket, reason: str, now: float
    ) -> RequestRefusedError:
        wait_s = self._expected_wait_s(queue, ticket, now)
        retry_s = queue.retry_after_s(wait_s)
        service = ticket.demand.service
        return RequestRefusedError(reason, retry_s, step="wait", peer=service)

    async def _wait_for_grant(
        self, queue: WaitQueue, ticket: Ticket, request: GrantRequest
    ) -> Grant:
        loop = asyncio.get_running_loop()
        future: asyncio.Future[Grant] = loop.create_future()
        queue.push(ticket)
        self._waiters[ticket.number] = _Waiter(request, ticket, future)
        self._start_timer()
        try:
            return await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                future.result().__exit__()
            raise
        finally:
            queue.discard(ticket.number)
            self._waiters.pop(ticket.number, None)

    def _try_grant(
        self,
        request: GrantRequest,
        queue: WaitQueue,
        ticket: Ticket,
        now: float,
    ) -> Grant | None:
        parts, demand = self._parts, request.demand
        status = parts.crashes.combined_status(request.fingerprints)
        if status.is_refused(now):
            return None
        choice = self._choose(request, ticket, status, now)
        if choice is None:
            return None
        target_id = choice.target.id
        send_within_s = parts.pacer.max_send_delay_s(choice.target, now)
        parts.pacer.record_sent(choice.target, now)
        if status.is_quarantined:
            parts.crashes.record_trial(status.causes, now)
            # Waiting requests with the same fingerprints are refused during the
            # trial.
            asyncio.get_running_loop().call_soon(
                self.refuse_waiting_quarantined
            )
        if demand.is_generation:
            parts.prefixes.record(target_id, demand.parts, now)
            parts.shares.record_usage(request.team, request.tokens, now)
        queue.record_started_work(ticket.work_s, now)
        if not request.is_replacement:
            queue.record_outcome(ticket, now, True)
        on_release = None
        if status.is_suspect:
            self._isolation.begin(target_id)
            on_release = functools.partial(self._isolation.end, target_id)
        grant = Grant(
            choice,
            demand,
            parts.load,
            parts.model,
            self.schedule_pass,
            now,
            on_release,
            self._stream_listener(request, choice),
            functools.partial(self._slowdown_now, choice),
        )
        grant.send_within_s = send_within_s
        if status.is_quarantined:
            grant.trial_fingerprints = status.causes
        if request.stream is not None:
            grant.stream = request.stream
            parts.streams.record_resumed(request.stream)
        parts.on_grant(target_id, demand.parts)
        return grant

    def _slowdown_now(self, choice: Choice) -> float | None:
        reported = self._parts.placement.reported
        report = reported.of(choice.target, self._clock())
        return report.slowdown if report is not None else None

    def _stream_listener(
        self, request: GrantRequest, choice: Choice
    ) -> Callable[[], None] | None:
        """Returns what to call when a resumable stream begins on a grant."""
        stream = request.stream
        if stream is None:
            return None
        streams, clock = self._parts.streams, self._clock
        return lambda: streams.record_granted(stream, choice.target, clock())

    def _choose(
        self,
        request: GrantRequest,
        ticket: Ticket,
        status: QuarantineStatus,
        now: float,
    ) -> Choice | None:
        """Returns a target for a request, or None if none can take it.

        A suspect is placed on a target that runs no other suspect and that has
        not crashed under it since its start, if one has room. Otherwise it is
        placed like any other request: while a service is busy, targets without
        suspects are rare, and it would wait in vain.
        """
        parts, demand = self._parts, request.demand
        targets = parts.registry.serving_targets(demand.service)
        choose = functools.partial(
            parts.placement.choose,
            demand,
            targets,
            now,
            slack_s=ticket.due_at - now,
            urgency=ticket.urgency(
                now, self._team_shares(now).teams_over_share
            ),
        )
        excluded = self._binding.excluded(request, targets, now)
        if status.is_suspect:
            crashed_starts = {crash.start for crash in status.crashes}
            busy = self._isolation.targets()
            avoided = {
                t.id
                for t in targets
                if t.start in crashed_starts or t.id in busy
            }
            choice = choose(excluded=excluded | avoided)
            if choice is not None:
                return choice
        return choose(excluded=excluded)

    def refuse_quarantined(self, request: GrantRequest) -> None:
        """Raises RequestRefusedError if a request is quarantined.

        Called when this router places requests because the scheduler does not
        answer. Only the scheduler grants trials: if each router did, several
        would run at once.

        Args:
            request (GrantRequest): Request to be placed without its scheduler.

        Raises:
            RequestRefusedError: The request is quarantined.
        """
        status = self._parts.crashes.combined_status(request.fingerprints)
        if status.is_quarantined:
            raise self._crash_refusal(request, self._clock())

    def record_outcome(self, grant: Grant, outcome: str) -> None:
        """Records the outcome of a grant.

        An answer clears the parts of the prompt, also if another router
        relayed it. A trial that did not run is cancelled.

        Args:
            grant (Grant): Grant that ended.
            outcome (str): One of the OUTCOME_ constants of cell_messages.
        """
        now = self._clock()
        if outcome in (
            cell_messages.OUTCOME_NOT_SENT,
            cell_messages.OUTCOME_WITHDRAWN,
        ):
            self._parts.pacer.record_not_sent(grant.choice.target, now)
        if outcome == cell_messages.OUTCOME_NOT_SENT:
            self._parts.on_unreachable(grant.choice.target)
        if outcome == cell_messages.OUTCOME_COMPLETED:
            self._parts.crashes.record_parts_answered(
                grant.part_fingerprints, now
            )
            if grant.stream is not None:
                self._parts.streams.record_completed(grant.stream, now)
        if outcome in cell_messages.OUTCOMES_NOT_RUN:
            self._parts.crashes.cancel_trial(grant.trial_fingerprints)

    def refuse_waiting_quarantined(self) -> None:
        """Refuses the waiting requests that were quarantined while queued."""
        now = self._clock()
        for waiter in list(self._waiters.values()):
            status = self._parts.crashes.combined_status(
                waiter.request.fingerprints
            )
            if status.is_refused(now) and not waiter.future.done():
                refusal = self._crash_refusal(waiter.request, now)
                waiter.future.set_exception(refusal)

    def refuse_waiting_without_target(self) -> None:
        """Refuses the waiting requests that no target is left for."""
        now = self._clock()
        for waiter in list(self._waiters.values()):
            if not self._has_target(waiter.request, now):
                queue = self._queue_of(waiter.request.demand.service)
                self._refuse_waiter(queue, waiter.ticket, now, REASON_NO_TARGET)

    def _refuse_waiting_lost_versions(self) -> None:
        """Refuses waiting streams whose version has left the service."""
        for waiter in list(self._waiters.values()):
            if waiter.future.done() or not self._binding.has_lost_version(
                waiter.request
            ):
                continue
            service = waiter.request.demand.service
            refusal = lost_version_refusal(service)
            waiter.future.set_exception(refusal)

    def _crash_refusal(
        self, request: GrantRequest, now: float
    ) -> RequestRefusedError:
        status = self._parts.crashes.combined_status(request.fingerprints)
        return RequestRefusedError(
            REASON_CRASHES,
            status.retry_after_s(now),
            step="schedule",
            peer=request.demand.service,
        )

    def _start_timer(self) -> None:
        if self._timer is None and self._waiters:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(CHECK_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        # What waits is refused in time even if it cannot be placed because of
        # an unexpected error.
        with contextlib.ExitStack() as stack:
            stack.callback(self._start_timer)
            stack.callback(self._refuse_expired)
            stack.callback(self._refuse_waiting_lost_versions)
            self._run_pass()

    def _run_pass(self) -> None:
        if self._next_pass is not None:
            self._next_pass.cancel()
            self._next_pass = None
        now = self._clock()
        for service, queue in self._queues.items():
            if self._may_place_any(service, queue, now):
                self._grant_waiting(queue, now)
        self._last_pass_at = self._clock()
        self._last_pass_s = self._last_pass_at - now

    def _grant_waiting(self, queue: WaitQueue, now: float) -> None:
        misses = bound_misses = 0
        team_shares = self._team_shares(now)
        overtaking = queue.make_overtaking_limit()
        for rank, ticket in queue.in_order(now, team_shares):
            waiter = self._waiters.get(ticket.number)
            if waiter is None or waiter.future.done():
                continue
            if not overtaking.allows(rank):
                return
            grant = self._try_grant(waiter.request, queue, ticket, now)
            is_bound = waiter.request.is_bound_to_version
            if grant is None and is_bound:
                bound_misses += 1
                if bound_misses >= MAX_BOUND_MISSES_PER_QUEUE:
                    return
                continue
            if grant is None:
                overtaking.record_waiting(rank)
                misses += 1
                if misses >= MAX_MISSES_PER_QUEUE:
                    return
                continue
            queue.discard(ticket.number)
            waiter.future.set_result(grant)

    def _may_place_any(
        self, service: str, queue: WaitQueue, now: float
    ) -> bool:
        """Returns whether any waiting request might be placed now.

        The capacity is checked only if all waiting requests are for model
        engines, as the check covers no other targets.
        """
        if not queue.has_only_generations():
            return True
        targets = self._parts.registry.serving_targets(service)
        return self._parts.placement.has_free_capacity(targets, now)

    def _refuse_expired(self) -> None:
        now = self._clock()
        for queue in self._queues.values():
            for ticket in queue.expired(now):
                self._refuse_waiter(queue, ticket, now)

    def _refuse_waiter(
        self,
        queue: WaitQueue,
        ticket: Ticket,
        now: float,
        reason: str = "waited in vain",
    ) -> None:
        waiter = self._waiters.get(ticket.number)
        if waiter is None or waiter.future.done():
            return
        self._record_unserved(queue, ticket, waiter.request, now)
        refusal = self._build_refusal(queue, ticket, reason, now)
        waiter.future.set_exception(refusal)
        queue.discard(ticket.number)
