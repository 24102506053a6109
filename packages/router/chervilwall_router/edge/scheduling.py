"""Placement of requests by one scheduler for each service.

If each router placed its own requests, several would see the same free capacity
and use it more than once; a single scheduler grants it once. If the scheduler
does not answer, the router places the request itself, based on the load that
was last reported to it.
"""

import asyncio
import itertools
import logging
import math
from collections.abc import Callable, Collection

from chervilwall import cell_messages, edge_messages, events
from chervilwall.edge_messages import GranterLoad
from chervilwall.errors import RequestRefusedError, UnusableTargetError
from chervilwall.placement import Choice
from chervilwall.registry import RegisteredTarget
from chervilwall.reported_load import PassedLoad
from chervilwall.running_requests import Granter, RunningRequest
from chervilwall.wire_version import reads_load_reports

from chervilwall_router.edge.grants import GrantRequest
from chervilwall_router.edge.peer_grants import (
    Granting,
    SchedulerPeer,
    SchedulingParts,
    record_outcome,
    record_silence,
)

LOG = logging.getLogger(__name__)
# A scheduler answers each request at once, if only to say that it is queued.
ANSWER_TIMEOUT_S = 0.05
# Times that an unanswered request is sent again before the scheduler counts as
# unreachable.
MAX_RESENDS = 2
# A timeout that fires more than this many seconds late was delayed by this
# router's own event loop. Up to MAX_LAGGED_TIMEOUTS of them per request are not
# counted against the scheduler, as its answer may have arrived but not been
# read.
LOOP_LAG_THRESHOLD_S = 0.03
MAX_LAGGED_TIMEOUTS = 4
# A queued request is sent again at this interval, to detect a scheduler that is
# gone.
REMINDER_INTERVAL_S = 0.3
# Distance between the first numbers of requests of two incarnations, and the
# number of such ranges.
NUMBER_RANGE = 1 << 16
# Targets in evacuated zones that are excluded at once, so that the request to
# the scheduler fits a datagram.
MAX_EXCLUDED_TOGETHER = 512
# Time for which a scheduler that did not answer is not used.
AVOID_DURATION_S = 0.5


_Answer = (
    edge_messages.PlacementQueued
    | edge_messages.PlacementGranted
    | edge_messages.PlacementRefused
)


class PlacedRequest:
    """Hold a target for one request of this router until the context ends.

    The grant itself, a Grant, is held by the scheduler.

    Leaving the context reports the attribute `outcome`, one of the OUTCOME_
    constants of cell_messages; it is OUTCOME_CANCELLED unless set otherwise.

    Args:
        number (int): Number of the request at this router.
        choice (Choice): Chosen target with its predicted times.
        started_at (float): Monotonic time of the grant.
        record_first_token (Callable): Called at the first token, with the
            seconds since the grant and whether it is an event of a stream.
        record_silence (Callable): Called if the target is silent for too long.
        end (Callable): Called with the outcome when the context ends.
        send_within_s (float): Time from the grant in which the request must be
            sent. Defaults to infinity.
    """

    def __init__(
        self,
        number: int,
        choice: Choice,
        started_at: float,
        record_first_token: Callable[[float, bool], None],
        record_silence: Callable[[], None],
        end: Callable[[str], None],
        send_within_s: float = math.inf,
    ) -> None:
        self.send_within_s = send_within_s
        self.number = number
        self.choice = choice
        self.started_at = started_at
        self.outcome = cell_messages.OUTCOME_CANCELLED
        self._on_first_token = record_first_token
        self._on_silence = record_silence
        self._is_silence_recorded = False
        self._on_end = end

    def __repr__(self) -> str:
        return f"PlacedRequest(target={self.choice.target.id!r})"

    def __enter__(self) -> "PlacedRequest":
        return self

    def __exit__(self, *exc_info: object) -> None:
        outcome = self.outcome
        if (
            self._is_silence_recorded
            and outcome == cell_messages.OUTCOME_TIMEOUT
        ):
            # It counts as a failure of the target already.
            outcome = cell_messages.OUTCOME_CANCELLED
        self._on_end(outcome)

    def record_silence(self) -> None:
        """Records that the target has been silent for too long.

        It counts as a failure of the target, unless that goes on.
        """
        if not self._is_silence_recorded:
            self._is_silence_recorded = True
            self._on_silence()

    def record_first_token(self, now: float, *, has_event: bool) -> None:
        """Records the arrival of the first token.

        Args:
            now (float): Monotonic time.
            has_event (bool): Whether it is an event of a stream, and not the
                head of another response.
        """
        self._on_first_token(now - self.started_at, has_event)


class Scheduling:
    """Get targets for requests, and grant targets to other routers.

    A target is requested from the scheduler of the service. If that is this
    router, or does not answer, this router places the request itself.

    Args:
        parts (SchedulingParts): Dependencies.
    """

    def __init__(self, parts: SchedulingParts) -> None:
        self._parts = parts
        self._numbers = itertools.count(_first_number(parts.me.incarnation))
        self._inboxes: dict[int, asyncio.Queue[_Answer]] = {}
        self._avoided_until: dict[str, float] = {}
        self._granting = Granting(parts)

    def __repr__(self) -> str:
        return f"Scheduling(requests={len(self._inboxes)})"

    async def acquire(self, request: GrantRequest) -> PlacedRequest:
        """Returns a target for a request, at once or after a wait.

        Args:
            request (GrantRequest): Request that needs a target.

        Raises:
            RequestRefusedError: The scheduler, or this router in its place,
                refused the request, or all targets asked for a pause.
        """
        while True:
            number = next(self._numbers)
            scheduler = self._find_scheduler(request.demand.service)
            request = self._exclude_paused(request)
            # This router may stand in for a scheduler that is being avoided,
            # but only the scheduler itself grants trials.
            if scheduler is None and self._avoided_until:
                self._parts.dispatcher.refuse_quarantined(request)
            try:
                if scheduler is None:
                    return await self._place_locally(number, request)
                return await self._place_remotely(scheduler, number, request)
            except TimeoutError:
                assert scheduler is not None
                self._start_avoiding(scheduler)
            except UnusableTargetError as exc:
                request = request._replace(
                    excluded=request.excluded
                    | {exc.target_id}
                    | self._excluded_with(exc.target_id)
                )

    def has_target(
        self, service: str, excluded: Collection[str], version: str | None
    ) -> bool:
        """Returns whether a service has a target that takes requests.

        Args:
            service (str): The service.
            excluded (Collection): Ids of targets that do not count.
            version (str | None): Software version that it must run, None for
                any.
        """
        return any(
            target.id not in excluded and version in (None, target.version)
            for target in self._parts.registry.serving_targets(service)
        )

    def receive(
        self, sender: SchedulerPeer, item: edge_messages.AnyMessage
    ) -> None:
        """Handles a message of another router.

        Args:
            sender (SchedulerPeer): Router that sent the message.
            item (AnyMessage): Message.
        """
        if isinstance(
            item,
            edge_messages.PlacementQueued
            | edge_messages.PlacementGranted
            | edge_messages.PlacementRefused,
        ):
            inbox = self._inboxes.get(item.number)
            if inbox is not None:
                inbox.put_nowait(item)
            elif isinstance(item, edge_messages.PlacementGranted):
                self._return_grant(sender, item.number)
        else:
            self._granting.receive(sender, item)

    def _return_grant(self, sender: SchedulerPeer, number: int) -> None:
        """Returns a grant that no request waits for.

        A scheduler repeats a grant if it crosses a reminder; the request runs
        on it then.
        """
        granter = Granter(sender.name, sender.incarnation)
        if not self._parts.running_requests.is_granted_by(number, granter):
            self._send_ended(sender, number, cell_messages.OUTCOME_CANCELLED)

    def reconcile_grants(
        self, name: str, loads: tuple[GranterLoad, ...]
    ) -> None:
        """Ends the grants that a router no longer lists in its report.

        Args:
            name (str): Name of the router.
            loads (tuple): Load of the router's requests by granter.
        """
        self._granting.reconcile_grants(name, loads)

    def drop_peer(self, name: str) -> None:
        """Ends the requests and grants of a router that is gone.

        Args:
            name (str): Name of the router.
        """
        self._granting.drop_peer(name)

    def _exclude_paused(self, request: GrantRequest) -> GrantRequest:
        """Returns the request with paused targets excluded.

        Raises:
            RequestRefusedError: Every target of the service is excluded or
                paused.
        """
        parts, now = self._parts, self._parts.clock()
        paused = parts.pauses.paused(now)
        if not paused:
            return request
        service = request.demand.service
        known = {t.id for t in parts.registry.serving_targets(service)}
        if known and known <= paused | request.excluded:
            raise RequestRefusedError(
                "every target asked for a pause",
                parts.pauses.remaining_s(known & paused, now),
                step="schedule",
                peer=service,
            )
        return request._replace(excluded=request.excluded | paused)

    def _excluded_with(self, target_id: str) -> frozenset[str]:
        """Returns the targets to exclude together with an unusable one.

        A scheduler that grants a target in an evacuated zone does not know of
        the evacuation yet, and would grant the other targets there one after
        the other.

        Args:
            target_id (str): The unusable target.
        """
        registry = self._parts.registry
        unusable = registry.get(target_id)
        if unusable is None or not registry.is_evacuated(unusable):
            return frozenset()
        targets = registry.undrained_targets(unusable.service)
        evacuated = (t.id for t in targets if registry.is_evacuated(t))
        return frozenset(itertools.islice(evacuated, MAX_EXCLUDED_TOGETHER))

    def takes_requests(self, target: RegisteredTarget) -> bool:
        """Returns whether a target that was granted may still be used.

        Args:
            target (RegisteredTarget): Target as it was registered then.
        """
        known = self._parts.registry.get(target.id)
        if known is None or known.draining:
            return False
        if self._parts.registry.is_evacuated(known):
            return False
        # A later start under the same id serves as well.
        if (known.address, known.version) != (target.address, target.version):
            return False
        return target.id not in self._parts.pauses.paused(self._parts.clock())

    def _usable_target(
        self, target_id: str, request: GrantRequest, version: str
    ) -> RegisteredTarget:
        """Returns a granted target if this router may use it.

        Args:
            target_id (str): The target.
            request (GrantRequest): Request that it was granted to.
            version (str): Its software version, as the scheduler knows it.

        Raises:
            UnusableTargetError: The target is not registered, is draining, is
                in an evacuated zone, asked this router to pause or, for a
                resumable stream, has another version. The scheduler that
                granted it may not know this yet.
        """
        parts = self._parts
        target = parts.registry.get(target_id)
        paused = parts.pauses.paused(parts.clock())
        is_usable = (
            target is not None
            and not target.draining
            and not parts.registry.is_evacuated(target)
            and (request.stream is None or target.version == version)
            and target_id not in paused
        )
        if target is None or not is_usable:
            raise UnusableTargetError(target_id, step="schedule")
        return target

    def _find_scheduler(self, service: str) -> SchedulerPeer | None:
        now = self._parts.clock()
        for name in [
            n for n, until in self._avoided_until.items() if until <= now
        ]:
            del self._avoided_until[name]
        return self._parts.find_scheduler(service, self._avoided_until)

    def _start_avoiding(self, scheduler: SchedulerPeer) -> None:
        self._avoided_until[scheduler.name] = (
            self._parts.clock() + AVOID_DURATION_S
        )
        events.log_event(LOG, events.SCHEDULER_SILENT, peer=scheduler.name)

    async def _place_locally(
        self, number: int, request: GrantRequest
    ) -> PlacedRequest:
        parts = self._parts
        grant = await parts.dispatcher.acquire(request)
        try:
            target = grant.choice.target
            self._usable_target(target.id, request, target.version)
        except UnusableTargetError:
            grant.__exit__()
            raise
        self._add_running(number, parts.me, grant.choice, request)
        service = request.demand.service

        def record_first_token(first_token_s: float, has_event: bool) -> None:
            parts.running_requests.record_prefill_done(number)
            grant.record_first_token(first_token_s, has_event=has_event)

        def report_silence() -> None:
            record_silence(parts, grant)

        def end(outcome: str) -> None:
            parts.running_requests.remove(number)
            record_outcome(parts, service, grant, outcome)
            grant.__exit__()

        return PlacedRequest(
            number,
            grant.choice,
            grant.started_at,
            record_first_token,
            report_silence,
            end,
            grant.send_within_s,
        )

    def _add_running(
        self,
        number: int,
        granter: Granter,
        choice: Choice,
        request: GrantRequest,
    ) -> None:
        demand = request.demand
        running = RunningRequest(
            granter,
            choice.target.id,
            round(choice.prefill_s * 1000),
            demand.prompt_tokens + demand.output_tokens,
        )
        self._parts.running_requests.add(number, running)

    async def _place_remotely(
        self, scheduler: SchedulerPeer, number: int, request: GrantRequest
    ) -> PlacedRequest:
        granted = False
        try:
            answer = await self._wait_for_answer(scheduler, number, request)
            if isinstance(answer, edge_messages.PlacementRefused):
                raise RequestRefusedError(
                    answer.reason,
                    answer.retry_after_ms / 1000,
                    step="schedule",
                    peer=scheduler.name,
                )
            target = self._usable_target(
                answer.target_id, request, answer.version
            )
            granted = True
        finally:
            self._inboxes.pop(number, None)
            if not granted:
                self._send_ended(
                    scheduler, number, cell_messages.OUTCOME_CANCELLED
                )
        return self._accept_grant(scheduler, number, request, target, answer)

    async def _wait_for_answer(
        self, scheduler: SchedulerPeer, number: int, request: GrantRequest
    ) -> edge_messages.PlacementGranted | edge_messages.PlacementRefused:
        """Sends a request to a scheduler until it is granted or refused.

        Raises:
            TimeoutError: The scheduler did not answer in ANSWER_TIMEOUT_S after
                the last resend.
        """
        # A queue, as one frame may contain both a PlacementQueued and the
        # PlacementGranted for the same request.
        inbox: asyncio.Queue[_Answer] = asyncio.Queue()
        self._inboxes[number] = inbox
        self._parts.send(scheduler.address, self._make_message(number, request))
        pause_s, unanswered, lagged_timeouts = ANSWER_TIMEOUT_S, 0, 0
        while True:
            due_at = self._parts.clock() + pause_s
            try:
                async with asyncio.timeout(pause_s):
                    answer = await inbox.get()
            except TimeoutError:
                late_s = self._parts.clock() - due_at
                if (
                    late_s > LOOP_LAG_THRESHOLD_S
                    and lagged_timeouts < MAX_LAGGED_TIMEOUTS
                ):
                    # The answer may have arrived during the delay.
                    lagged_timeouts += 1
                    pause_s = ANSWER_TIMEOUT_S
                    continue
                unanswered += 1
                if unanswered > MAX_RESENDS:
                    raise
                pause_s = ANSWER_TIMEOUT_S
                message = self._make_message(number, request)
                self._parts.send(scheduler.address, message)
                continue
            if not isinstance(answer, edge_messages.PlacementQueued):
                return answer
            pause_s, unanswered = REMINDER_INTERVAL_S, 0

    def _make_message(
        self, number: int, request: GrantRequest
    ) -> edge_messages.PlacementRequest:
        now = self._parts.clock()
        demand = request.demand
        return edge_messages.PlacementRequest(
            number=number,
            service=demand.service,
            team=request.team,
            prompt_tokens=demand.prompt_tokens,
            output_tokens=demand.output_tokens,
            parts=tuple((p.id, p.tokens) for p in demand.parts),
            session=demand.session,
            objective_ms=round(request.objective_s * 1000),
            due_ms=round((request.due_at - now) * 1000),
            deadline_ms=round((request.deadline_at - now) * 1000),
            excluded=tuple(request.excluded),
            is_first_attempt=request.is_first_attempt,
            route=request.route,
            size_class=request.size_class,
            fingerprint=request.fingerprint,
            stream=request.stream,
            is_replacement=request.is_replacement,
        )

    def _accept_grant(
        self,
        scheduler: SchedulerPeer,
        number: int,
        request: GrantRequest,
        target: RegisteredTarget,
        answer: edge_messages.PlacementGranted,
    ) -> PlacedRequest:
        choice = Choice(
            target,
            answer.uncached_tokens,
            answer.prefill_ms / 1000,
            answer.first_token_ms / 1000,
            load_age_s=answer.load_age_ms / 1000
            if answer.load_age_ms >= 0
            else None,
        )
        granter = Granter(scheduler.name, scheduler.incarnation)
        self._add_running(number, granter, choice, request)

        def record_first_token(first_token_s: float, has_event: bool) -> None:
            self._parts.running_requests.record_prefill_done(number)
            item = edge_messages.PlacementFirstToken(
                number,
                round(first_token_s * 1000),
                has_event,
                self._take_load(scheduler, target),
            )
            self._parts.send(scheduler.address, item)

        def report_silence() -> None:
            item = edge_messages.PlacementSilent(number)
            self._parts.send(scheduler.address, item)

        def end(outcome: str) -> None:
            self._parts.running_requests.remove(number)
            load = self._take_load(scheduler, target)
            self._send_ended(scheduler, number, outcome, load)

        return PlacedRequest(
            number,
            choice,
            self._parts.clock(),
            record_first_token,
            report_silence,
            end,
            answer.send_within_ms / 1000 or math.inf,
        )

    def _take_load(
        self, scheduler: SchedulerPeer, target: RegisteredTarget
    ) -> PassedLoad | None:
        """Returns the latest load report of a target, if it is to be sent."""
        if not reads_load_reports(scheduler.incarnation):
            return None
        return self._parts.reported.take_unpassed(target, self._parts.clock())

    def _send_ended(
        self,
        scheduler: SchedulerPeer,
        number: int,
        outcome: str,
        load: PassedLoad | None = None,
    ) -> None:
        item = edge_messages.PlacementEnded(number, outcome, load)
        self._parts.send(scheduler.address, item)


def _first_number(incarnation: int) -> int:
    """Returns the number of the first request of an incarnation.

    Answers to an earlier incarnation arrive at the same address.
    """
    return 1 + incarnation % NUMBER_RANGE * NUMBER_RANGE
