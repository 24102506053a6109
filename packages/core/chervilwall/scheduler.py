"""Scheduler of one cell: queues requests and grants them target slots.

A cell is a set of targets that serve one service and share one scheduler.
"""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from chervilwall import cell_messages
from chervilwall.cell_messages import Envelope
from chervilwall.config import MEASURE_WORTH, Config, Target
from chervilwall.estimator import Estimator
from chervilwall.fair_queue import FairQueue, QueuedRequest
from chervilwall.forecast import TeamView, WaitForecast
from chervilwall.health import LoadReport
from chervilwall.quarantine import Quarantine
from chervilwall.siblings import (
    ServiceByTeam,
    SlotAnnouncer,
    SlotOffers,
    make_service_message,
)
from chervilwall.slots import RunningAttempt, SlotTable

REASON_CRASHED_TARGETS = "crashed_targets"
REASON_DEADLINE = "deadline"
REASON_QUEUE_FULL = "queue_full"
REASON_NO_TARGET = "no_target"
SYNC_GRACE_S = 2.0
PROGRESS_CHARGE_INTERVAL_S = 0.25
# Failures of targets, for which the team is not charged if the service is
# measured by the worth of completed requests.
_REFUNDED_OUTCOMES = (
    cell_messages.OUTCOME_BROKEN,
    cell_messages.OUTCOME_TIMEOUT,
    cell_messages.OUTCOME_UNKNOWN,
    *cell_messages.OUTCOMES_NOT_RUN,
)


class SchedulerSettings(NamedTuple):
    """Settings of a cell's scheduler.

    Args:
        max_depth (int): Maximum number of queued requests per team.
        sync_grace_s (float): Seconds for which a request is kept, after it was
            queued or granted, although the Sync of its router does not list it.
        learn_costs (bool): Whether costs learned from completed requests
            replace the estimates sent with requests.
    """

    max_depth: int = 256
    sync_grace_s: float = SYNC_GRACE_S
    learn_costs: bool = True


class CellScheduler:
    """Queue the requests of one cell and grant them target slots.

    The scheduler neither reads a clock nor sends messages: methods take the
    current time and return the messages to send, so that a recorded trace can
    be replayed.

    Args:
        cell (str): Name of the cell.
        service (str): Service that the cell's targets serve.
        quarantine (Quarantine): Requests suspected of crashing targets,
            shared by all schedulers of a router.
        settings (SchedulerSettings): Settings. Defaults to
            `SchedulerSettings()`.
    """

    def __init__(
        self,
        cell: str,
        service: str,
        quarantine: Quarantine,
        settings: SchedulerSettings | None = None,
    ) -> None:
        self.cell = cell
        self.service = service
        self.slots = SlotTable()
        self.queue = FairQueue()
        self._settings = settings or SchedulerSettings()
        self._quarantine = quarantine
        self._estimator = Estimator()
        self._forecast = WaitForecast(self.queue, self.slots, self._estimator)
        self._queued: dict[tuple[str, int], QueuedRequest] = {}
        self._default_costs: dict[str, float] = {}
        self._charges_worth = False
        self._last_seq = 0
        self._next_progress_charge_at = 0.0
        self._slot_offers = SlotOffers()
        self._slot_announcer = SlotAnnouncer()
        self._unreported_service: ServiceByTeam = defaultdict(float)

    def __repr__(self) -> str:
        return (
            f"CellScheduler({self.cell!r}, waiting={len(self._queued)}, "
            f"running={len(self.slots)})"
        )

    def configure(self, config: Config, targets: Iterable[Target]) -> None:
        """Applies a configuration.

        Args:
            config (Config): Configuration in force.
            targets (Iterable): Targets of this cell.
        """
        service = config.service(self.service)
        classes = config.classes_of(self.service)
        self._charges_worth = bool(service and service.measure == MEASURE_WORTH)
        self._default_costs = {
            c.name: c.worth if self._charges_worth else c.cost_hint
            for c in classes
        }
        self.queue.set_shares({t.name: t.share for t in config.teams})
        self.slots.set_targets(targets)

    def explain(self, team: str, now: float) -> TeamView:
        """Returns a team's queue state and expected wait in this cell."""
        return self._forecast.explain(self.cell, team, now)

    def make_handover(self) -> cell_messages.Handover:
        """Returns the state to hand over to the cell's next scheduler."""
        return cell_messages.Handover(
            self.cell, self.queue.counters(), self._estimator.estimates()
        )

    def apply_handover(self, msg: cell_messages.Handover) -> None:
        """Applies the state handed over by the cell's previous scheduler."""
        self.queue.add_counters(msg.counters)
        self._estimator.apply_estimates(msg.estimates)

    def queue_length(self) -> int:
        """Returns the number of queued requests."""
        return len(self._queued)

    def enqueue(
        self, router: str, msg: cell_messages.Enqueue, now: float
    ) -> list[Envelope]:
        """Queues a request, or refuses it immediately.

        A repeated message for a running request returns its grant again.
        """
        attempt = self.slots.get(router, msg.req_id)
        if attempt is not None:
            grant = cell_messages.Grant(msg.req_id, self.cell, attempt.target)
            return [Envelope(router, grant)]
        if (router, msg.req_id) in self._queued:
            return []
        refusal = self._check_admission(msg, now)
        if refusal is not None:
            return [Envelope(router, refusal)]
        self._add_to_queue(router, msg, now)
        return self.dispatch(now)

    def cancel(self, router: str, req_id: int) -> None:
        """Removes a queued request; does nothing if it is not queued."""
        item = self._queued.pop((router, req_id), None)
        if item is not None:
            self.queue.remove(item)

    def finish(
        self, router: str, msg: cell_messages.Done, now: float
    ) -> list[Envelope]:
        """Records the end of an attempt and grants the slot that it frees."""
        attempt = self.slots.release(router, msg.req_id)
        if attempt is None:
            return []
        completed = msg.outcome == cell_messages.OUTCOME_COMPLETED
        cost = attempt.charged if msg.cost < 0 else msg.cost
        if self._charges_worth and msg.outcome in _REFUNDED_OUTCOMES:
            cost = 0.0
        self.queue.finish(attempt.team, cost - attempt.charged)
        self._unreported_service[attempt.team] += cost - attempt.charged
        self._update_quarantine(attempt, msg, now)
        self._update_target_health(attempt, msg, now)
        if completed:
            self._estimator.learn(
                attempt.team,
                attempt.cls,
                cost=msg.cost,
                duration_s=now - attempt.granted_at,
            )
        return self.dispatch(now)

    def sync(
        self, router: str, msg: cell_messages.Sync, now: float
    ) -> list[Envelope]:
        """Reconciles the scheduler's state with a router's list of requests.

        Repairs the effects of lost messages: grants are sent again, requests
        unknown here are reported as missing, running attempts unknown here are
        adopted, and requests that the router no longer lists are dropped.
        """
        out = list(self._resend_grants(router, msg.waiting))
        missing = tuple(
            req_id
            for req_id in msg.waiting
            if (router, req_id) not in self._queued
            and self.slots.get(router, req_id) is None
        )
        if missing:
            out.append(
                Envelope(
                    router, cell_messages.UnknownRequests(self.cell, missing)
                )
            )
        self._adopt_running(router, msg.running, now)
        self._drop_unlisted(router, msg, now)
        return out + self.dispatch(now)

    def drop_router(
        self, router: str, now: float
    ) -> tuple[list[RunningAttempt], list[Envelope]]:
        """Drops all requests of a lost router.

        Returns:
            The router's running attempts, whose outcome will never be
            reported, and the grants of the slots that they held.
        """
        for key in [k for k in self._queued if k[0] == router]:
            self.cancel(*key)
        lost_attempts = [
            attempt for attempt in self.slots if attempt.router == router
        ]
        for attempt in lost_attempts:
            self.slots.release(router, attempt.req_id)
            self.queue.finish(attempt.team, 0.0)
        return lost_attempts, self.dispatch(now)

    def record_load(
        self, target: str, active: int, now: float
    ) -> list[Envelope]:
        """Records the load that a target reports.

        Args:
            target (str): Name of the target.
            active (int): Requests that it runs, from all schedulers.
            now (float): Monotonic time in seconds.
        """
        own_in_flight = self.slots.in_flight(target)
        self.slots.record_load(target, LoadReport(active, own_in_flight), now)
        return self.dispatch(now)

    def receive_offer(
        self, msg: cell_messages.FreeSlotsOffer, now: float
    ) -> list[Envelope]:
        """Records a sibling's offer of free slots and moves requests there."""
        self._slot_offers.put(msg.idle_cell, msg.slots, now)
        return self.dispatch(now)

    def announce_free_slots(
        self, siblings: list[str], now: float
    ) -> cell_messages.FreeSlotsOffer | None:
        """Returns the offer of free slots to send to a sibling, if one is due.

        Slots are offered only while no request is queued here.
        """
        if self._queued:
            return None
        free_slots = self.slots.total_free_slots(now)
        if free_slots <= 0:
            return None
        sibling = self._slot_announcer.due(siblings, now)
        return (
            cell_messages.FreeSlotsOffer(sibling, self.cell, free_slots)
            if sibling
            else None
        )

    def take_unreported_service(self) -> cell_messages.ServiceReport | None:
        """Returns the costs charged to teams since the last call.

        The amounts are then reset. The hub of the service adds up the reports
        of all cells, and reports to each cell the costs of the others.
        """
        service, self._unreported_service = (
            self._unreported_service,
            defaultdict(float),
        )
        return make_service_message(self.cell, service, from_hub=False)

    def charge_sibling_service(self, msg: cell_messages.ServiceReport) -> None:
        """Charges teams the costs that were charged in sibling cells."""
        for team, cost in msg.served:
            self.queue.charge(team, cost)

    def tick(self, now: float) -> list[Envelope]:
        """Performs periodic work and returns the resulting messages.

        Refuses requests whose deadline has passed, refuses all requests if no
        target is active, charges long-running requests and grants free slots.
        """
        out = [
            self._refuse_queued(item, REASON_DEADLINE, now)
            for item in list(self.queue.expired(now))
        ]
        if self._queued and not self.slots.has_active_target():
            waiting = list(self._queued.values())
            out += [
                self._refuse_queued(item, REASON_NO_TARGET, now)
                for item in waiting
            ]
        if now >= self._next_progress_charge_at and not self._charges_worth:
            self._next_progress_charge_at = now + PROGRESS_CHARGE_INTERVAL_S
            self._charge_progress(now)
        return out + self.dispatch(now)

    def dispatch(self, now: float) -> list[Envelope]:
        """Grants slots until no queued request can be placed.

        Requests that cannot be placed move to siblings with free slots.
        """
        out: list[Envelope] = []
        while self._queued and self.slots.has_free_slots(now):
            placed = self.queue.pop(lambda item: self._choose_target(item, now))
            if placed is None:
                break
            out.append(self._grant(*placed, now=now))
        return out + self._move_to_siblings(now)

    def _move_to_siblings(self, now: float) -> list[Envelope]:
        """Moves queued requests to siblings that offered free slots."""
        out: list[Envelope] = []
        while self._queued and (cell := self._slot_offers.take(now)):
            popped = self.queue.pop(lambda _: cell)
            if popped is None:
                break
            item = popped[0]
            del self._queued[item.router, item.req_id]
            move = cell_messages.Move(item.req_id, self.cell, cell)
            out.append(Envelope(item.router, move))
        return out

    def _refuse_queued(
        self, item: QueuedRequest, reason: str, now: float
    ) -> Envelope:
        self.cancel(item.router, item.req_id)
        retry_after_s = self._forecast.retry_after_s(item.team, now)
        refusal = cell_messages.Refuse(
            item.req_id, self.cell, reason, retry_after_s
        )
        return Envelope(item.router, refusal)

    def _choose_target(self, item: QueuedRequest, now: float) -> str | None:
        if self._quarantine.is_suspect(item.fingerprint, now):
            zone = self._quarantine.zone(item.fingerprint)
            return self.slots.choose_for_suspect(item, zone, now)
        return self.slots.choose(item, now)

    def _charge_progress(self, now: float) -> None:
        """Charges running requests whose cost has exceeded their estimate."""
        for attempt in self.slots:
            elapsed_s = now - attempt.granted_at
            cost_so_far = self._estimator.cost_so_far(attempt.cls, elapsed_s)
            if cost_so_far > attempt.charged:
                self.queue.charge(attempt.team, cost_so_far - attempt.charged)
                self._unreported_service[attempt.team] += (
                    cost_so_far - attempt.charged
                )
                self.slots.update(attempt._replace(charged=cost_so_far))

    def _check_admission(
        self, msg: cell_messages.Enqueue, now: float
    ) -> cell_messages.Refuse | None:
        reason, retry_after_s = "", 0.0
        deadline = now + msg.deadline_left_s
        if self._quarantine.is_refused(msg.fingerprint, now):
            reason = REASON_CRASHED_TARGETS
            retry_after_s = self._quarantine.retry_after_s(msg.fingerprint, now)
        elif not self.slots.has_active_target():
            reason = REASON_NO_TARGET
        elif self.queue.depth(msg.team) >= self._settings.max_depth:
            reason = REASON_QUEUE_FULL
        elif (
            self._forecast.wait_s(msg.team, deadline, now) > msg.deadline_left_s
        ):
            reason = REASON_DEADLINE
        if not reason:
            return None
        retry_after_s = retry_after_s or self._forecast.retry_after_s(
            msg.team, now
        )
        return cell_messages.Refuse(
            msg.req_id, self.cell, reason, retry_after_s
        )

    def _add_to_queue(
        self, router: str, msg: cell_messages.Enqueue, now: float
    ) -> None:
        self._last_seq += 1
        item = QueuedRequest(
            deadline=now + msg.deadline_left_s,
            seq=self._last_seq,
            router=router,
            req_id=msg.req_id,
            team=msg.team,
            cls=msg.cls,
            estimate=msg.estimate,
            fingerprint=msg.fingerprint,
            prefix=msg.prefix,
            exclude=msg.exclude,
            queued_at=now,
        )
        self._queued[router, msg.req_id] = item
        self._slot_announcer.reset()
        self._estimator.record_hint(msg.cls, msg.estimate)
        self.queue.push(item)

    def _grant(
        self, item: QueuedRequest, target: str, *, now: float
    ) -> Envelope:
        del self._queued[item.router, item.req_id]
        charge = self._expected_cost(item)
        self.queue.start(item.team, charge)
        self._unreported_service[item.team] += charge
        attempt = RunningAttempt(
            router=item.router,
            req_id=item.req_id,
            target=target,
            team=item.team,
            cls=item.cls,
            charged=charge,
            fingerprint=item.fingerprint,
            granted_at=now,
            suspect=self._quarantine.is_suspect(item.fingerprint, now),
            proven=self.slots.health.of(target).is_proven(),
        )
        self.slots.add(attempt)
        self._quarantine.record_trial(item.fingerprint, now)
        grant = cell_messages.Grant(item.req_id, self.cell, target)
        return Envelope(item.router, grant)

    def _expected_cost(self, item: QueuedRequest) -> float:
        hint = item.estimate or self._default_costs.get(item.cls, 1.0)
        if self._charges_worth or not self._settings.learn_costs:
            return hint
        return self._estimator.cost(item.team, item.cls, hint)

    def _update_target_health(
        self, attempt: RunningAttempt, msg: cell_messages.Done, now: float
    ) -> None:
        health = self.slots.health
        if msg.outcome == cell_messages.OUTCOME_COMPLETED:
            health.record_success(attempt.target, msg.first_byte_s, now)
        elif msg.outcome == cell_messages.OUTCOME_NOT_SENT:
            health.record_failure(attempt.target, now, refused=True)
        elif msg.outcome in (
            cell_messages.OUTCOME_BROKEN,
            cell_messages.OUTCOME_TIMEOUT,
        ):
            health.record_failure(attempt.target, now)

    def _update_quarantine(
        self, attempt: RunningAttempt, msg: cell_messages.Done, now: float
    ) -> None:
        if msg.outcome == cell_messages.OUTCOME_COMPLETED:
            self._quarantine.clear(attempt.fingerprint, now)
        elif msg.outcome == cell_messages.OUTCOME_BROKEN:
            self._quarantine.record_crash(
                attempt.fingerprint,
                zone=self.slots.zone(attempt.target),
                suspect=attempt.suspect and attempt.proven,
                now=now,
            )

    def _resend_grants(
        self, router: str, waiting: tuple[int, ...]
    ) -> Iterator[Envelope]:
        for req_id in waiting:
            attempt = self.slots.get(router, req_id)
            if attempt is not None:
                grant = cell_messages.Grant(req_id, self.cell, attempt.target)
                yield Envelope(router, grant)

    def _adopt_running(
        self,
        router: str,
        items: tuple[cell_messages.RunningItem, ...],
        now: float,
    ) -> None:
        for item in items:
            if self.slots.get(router, item.req_id) is not None:
                continue
            self.cancel(router, item.req_id)
            self.queue.start(item.team, item.charged)
            attempt = RunningAttempt(router, *item, granted_at=now)
            self.slots.add(attempt)

    def _drop_unlisted(
        self, router: str, msg: cell_messages.Sync, now: float
    ) -> None:
        listed = set(msg.waiting) | {item.req_id for item in msg.running}
        cutoff = now - self._settings.sync_grace_s
        for attempt in self.slots:
            if (
                attempt.router == router
                and attempt.req_id not in listed
                and attempt.granted_at < cutoff
            ):
                self.slots.release(router, attempt.req_id)
                self.queue.finish(attempt.team, 0.0)
        for key, item in list(self._queued.items()):
            if (
                key[0] == router
                and key[1] not in listed
                and item.queued_at < cutoff
            ):
                self.cancel(*key)
