"""The scheduler of one cell: grants slots to queued requests, fairly."""

from collections import defaultdict
from collections.abc import Iterable, Iterator
from typing import NamedTuple

from chervilwall import message
from chervilwall.config import MEASURE_WORTH, Config, Target
from chervilwall.estimator import Estimator
from chervilwall.fair_queue import FairQueue, Queued
from chervilwall.forecast import TeamView, WaitForecast
from chervilwall.health import LoadReport
from chervilwall.message import Envelope
from chervilwall.quarantine import Quarantine
from chervilwall.siblings import (
    RoomAnnouncer,
    RoomOffers,
    ServiceByTeam,
    make_service,
)
from chervilwall.slots import Running, SlotTable

REASON_CRASHED_TARGETS = "crashed_targets"
REASON_DEADLINE = "deadline"
REASON_QUEUE_FULL = "queue_full"
REASON_NO_TARGET = "no_target"
SYNC_GRACE_S = 2.0
PROGRESS_INTERVAL_S = 0.25
# Failures of targets, for which a team does not pay in completed requests.
_REFUNDED = (
    message.OUTCOME_BROKEN,
    message.OUTCOME_TIMEOUT,
    message.OUTCOME_UNKNOWN,
    message.OUTCOME_NOT_SENT,
)


class SchedulerSettings(NamedTuple):
    """Limits of a cell's scheduler.

    Args:
        max_depth (int): Most requests of one team that may wait.
        sync_grace_s (float): Age before a request missing in a Sync counts
            as gone.
        learn_costs (bool): Whether learned costs replace the hints.
    """

    max_depth: int = 256
    sync_grace_s: float = SYNC_GRACE_S
    learn_costs: bool = True


class CellScheduler:
    """Queue requests for one cell and grant them slots.

    All methods take the time and return the messages to send, so that a trace
    can be replayed into it.

    Args:
        cell (str): Name of the cell.
        service (str): Service that its targets serve.
        quarantine (Quarantine): Suspects, shared by all cells of a router.
        settings (SchedulerSettings): Limits. Defaults to the usual ones.
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
        self._cfg = settings or SchedulerSettings()
        self._quarantine = quarantine
        self._estimator = Estimator()
        self._forecast = WaitForecast(self.queue, self.slots, self._estimator)
        self._queued: dict[tuple[str, int], Queued] = {}
        self._hints: dict[str, float] = {}
        self._by_worth = False
        self._seq = 0
        self._progress_at = 0.0
        self._offers = RoomOffers()
        self._calls = RoomAnnouncer()
        self._served: ServiceByTeam = defaultdict(float)

    def __repr__(self) -> str:
        return (
            f"CellScheduler({self.cell!r}, waiting={len(self._queued)}, "
            f"running={len(self.slots)})"
        )

    def configure(self, config: Config, targets: Iterable[Target]) -> None:
        """Takes a new configuration in force."""
        service = config.service(self.service)
        classes = config.classes_of(self.service)
        self._by_worth = bool(service and service.measure == MEASURE_WORTH)
        self._hints = {
            c.name: c.worth if self._by_worth else c.cost_hint for c in classes
        }
        self.queue.set_shares({t.name: t.share for t in config.teams})
        self.slots.set_targets(targets)

    def explain(self, team: str, now: float) -> TeamView:
        """Returns why a team's requests wait here."""
        return self._forecast.explain(self.cell, team, now)

    def hand_over(self) -> message.Handover:
        """Returns what the cell's next scheduler should know."""
        return message.Handover(
            self.cell, self.queue.counters(), self._estimator.learned()
        )

    def take_over(self, msg: message.Handover) -> None:
        """Takes in what the cell's last scheduler knew."""
        self.queue.add_counters(msg.counters)
        self._estimator.take_over(msg.learned)

    def waiting(self) -> int:
        """Returns how many requests wait."""
        return len(self._queued)

    def enqueue(
        self, router: str, msg: message.Enqueue, now: float
    ) -> list[Envelope]:
        """Queues a request, or refuses it at once."""
        run = self.slots.get(router, msg.req_id)
        if run is not None:
            grant = message.Grant(msg.req_id, self.cell, run.target)
            return [Envelope(router, grant)]
        if (router, msg.req_id) in self._queued:
            return []
        refusal = self._refusal(msg, now)
        if refusal is not None:
            return [Envelope(router, refusal)]
        self._push(router, msg, now)
        return self.dispatch(now)

    def cancel(self, router: str, req_id: int) -> None:
        """Withdraws a queued request."""
        item = self._queued.pop((router, req_id), None)
        if item is not None:
            self.queue.remove(item)

    def done(
        self, router: str, msg: message.Done, now: float
    ) -> list[Envelope]:
        """Settles a granted attempt and grants what now fits."""
        run = self.slots.release(router, msg.req_id)
        if run is None:
            return []
        completed = msg.outcome == message.OUTCOME_COMPLETED
        cost = run.charged if msg.cost < 0 else msg.cost
        if self._by_worth and msg.outcome in _REFUNDED:
            cost = 0.0
        self.queue.finish(run.team, cost - run.charged)
        self._served[run.team] += cost - run.charged
        self._judge_request(run, msg, now)
        self._judge_target(run, msg, now)
        if completed:
            self._estimator.learn(
                run.team,
                run.cls,
                cost=msg.cost,
                duration_s=now - run.granted_at,
            )
        return self.dispatch(now)

    def sync(
        self, router: str, msg: message.Sync, now: float
    ) -> list[Envelope]:
        """Compares what a router holds with what is known here."""
        out = list(self._resend_grants(router, msg.waiting))
        missing = tuple(
            req_id
            for req_id in msg.waiting
            if (router, req_id) not in self._queued
            and self.slots.get(router, req_id) is None
        )
        if missing:
            out.append(Envelope(router, message.Missing(self.cell, missing)))
        self._adopt(router, msg.running, now)
        self._drop_stale(router, msg, now)
        return out + self.dispatch(now)

    def drop_router(
        self, router: str, now: float
    ) -> tuple[list[Running], list[Envelope]]:
        """Forgets a lost router.

        Returns:
            The attempts whose end will not be known, and the grants that their
            slots allow.
        """
        for key in [k for k in self._queued if k[0] == router]:
            self.cancel(*key)
        lost = [run for run in self.slots if run.router == router]
        for run in lost:
            self.slots.release(router, run.req_id)
            self.queue.finish(run.team, 0.0)
        return lost, self.dispatch(now)

    def report_load(
        self, target: str, active: int, now: float
    ) -> list[Envelope]:
        """Takes in a target's own account of its load."""
        own = self.slots.in_flight(target)
        self.slots.report(target, LoadReport(active, own), now)
        return self.dispatch(now)

    def offer(self, msg: message.Room, now: float) -> list[Envelope]:
        """Takes an offer of room; moves waiting requests there."""
        self._offers.put(msg.idle_cell, msg.slots, now)
        return self.dispatch(now)

    def announce_room(
        self, siblings: list[str], now: float
    ) -> message.Room | None:
        """Returns an offer to a sibling, where slots idle and nothing waits."""
        if self._queued:
            return None
        slots = self.slots.total_room(now)
        if slots <= 0:
            return None
        sibling = self._calls.due(siblings, now)
        return message.Room(sibling, self.cell, slots) if sibling else None

    def drain_service(self) -> message.CellService | None:
        """Returns what was given since the last call, for the hub."""
        served, self._served = self._served, defaultdict(float)
        return make_service(self.cell, served, from_hub=False)

    def add_remote_service(self, msg: message.CellService) -> None:
        """Charges teams for what they got in other cells."""
        for team, cost in msg.served:
            self.queue.charge(team, cost)

    def tick(self, now: float) -> list[Envelope]:
        """Refuses what can no longer start in time, and grants the rest."""
        out = [
            self._refuse_queued(item, REASON_DEADLINE, now)
            for item in list(self.queue.expired(now))
        ]
        if self._queued and not self.slots.is_served():
            waiting = list(self._queued.values())
            out += [
                self._refuse_queued(item, REASON_NO_TARGET, now)
                for item in waiting
            ]
        if now >= self._progress_at and not self._by_worth:
            self._progress_at = now + PROGRESS_INTERVAL_S
            self._charge_progress(now)
        return out + self.dispatch(now)

    def dispatch(self, now: float) -> list[Envelope]:
        """Grants slots until no waiting request fits."""
        out: list[Envelope] = []
        while self._queued and self.slots.has_room(now):
            found = self.queue.pop(lambda item: self._place(item, now))
            if found is None:
                break
            out.append(self._grant(*found, now=now))
        return out + self._move_out(now)

    def _move_out(self, now: float) -> list[Envelope]:
        """Moves what cannot run here to siblings that have room."""
        out: list[Envelope] = []
        while self._queued and (cell := self._offers.take(now)):
            found = self.queue.pop(lambda _: cell)
            if found is None:
                break
            item = found[0]
            del self._queued[item.router, item.req_id]
            move = message.Move(item.req_id, self.cell, cell)
            out.append(Envelope(item.router, move))
        return out

    def _refuse_queued(self, item: Queued, reason: str, now: float) -> Envelope:
        self.cancel(item.router, item.req_id)
        after_s = self._forecast.retry_after_s(item.team, now)
        refusal = message.Refuse(item.req_id, self.cell, reason, after_s)
        return Envelope(item.router, refusal)

    def _place(self, item: Queued, now: float) -> str | None:
        if self._quarantine.is_suspect(item.fingerprint, now):
            zone = self._quarantine.zone(item.fingerprint)
            return self.slots.choose_for_suspect(item, zone, now)
        return self.slots.choose(item, now)

    def _charge_progress(self, now: float) -> None:
        """Charges running requests that have outgrown their estimate."""
        for run in self.slots:
            elapsed_s = now - run.granted_at
            so_far = self._estimator.cost_so_far(run.cls, elapsed_s)
            if so_far > run.charged:
                self.queue.charge(run.team, so_far - run.charged)
                self._served[run.team] += so_far - run.charged
                self.slots.update(run._replace(charged=so_far))

    def _refusal(
        self, msg: message.Enqueue, now: float
    ) -> message.Refuse | None:
        reason, after_s = "", 0.0
        deadline = now + msg.deadline_left_s
        if self._quarantine.is_refused(msg.fingerprint, now):
            reason = REASON_CRASHED_TARGETS
            after_s = self._quarantine.retry_after_s(msg.fingerprint, now)
        elif not self.slots.is_served():
            reason = REASON_NO_TARGET
        elif self.queue.depth(msg.team) >= self._cfg.max_depth:
            reason = REASON_QUEUE_FULL
        elif (
            self._forecast.wait_s(msg.team, deadline, now) > msg.deadline_left_s
        ):
            reason = REASON_DEADLINE
        if not reason:
            return None
        after_s = after_s or self._forecast.retry_after_s(msg.team, now)
        return message.Refuse(msg.req_id, self.cell, reason, after_s)

    def _push(self, router: str, msg: message.Enqueue, now: float) -> None:
        self._seq += 1
        item = Queued(
            deadline=now + msg.deadline_left_s,
            seq=self._seq,
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
        self._calls.reset()
        self._estimator.note_hint(msg.cls, msg.estimate)
        self.queue.push(item)

    def _grant(self, item: Queued, target: str, *, now: float) -> Envelope:
        del self._queued[item.router, item.req_id]
        charge = self._expected_cost(item)
        self.queue.start(item.team, charge)
        self._served[item.team] += charge
        run = Running(
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
        self.slots.add(run)
        self._quarantine.note_trial(item.fingerprint, now)
        grant = message.Grant(item.req_id, self.cell, target)
        return Envelope(item.router, grant)

    def _expected_cost(self, item: Queued) -> float:
        hint = item.estimate or self._hints.get(item.cls, 1.0)
        if self._by_worth or not self._cfg.learn_costs:
            return hint
        return self._estimator.cost(item.team, item.cls, hint)

    def _judge_target(
        self, run: Running, msg: message.Done, now: float
    ) -> None:
        health = self.slots.health
        if msg.outcome == message.OUTCOME_COMPLETED:
            health.succeed(run.target, msg.first_byte_s, now)
        elif msg.outcome == message.OUTCOME_NOT_SENT:
            health.fail(run.target, now, refused=True)
        elif msg.outcome in (message.OUTCOME_BROKEN, message.OUTCOME_TIMEOUT):
            health.fail(run.target, now)

    def _judge_request(
        self, run: Running, msg: message.Done, now: float
    ) -> None:
        if msg.outcome == message.OUTCOME_COMPLETED:
            self._quarantine.clear(run.fingerprint, now)
        elif msg.outcome == message.OUTCOME_BROKEN:
            self._quarantine.record_crash(
                run.fingerprint,
                zone=self.slots.zone(run.target),
                suspect=run.suspect and run.proven,
                now=now,
            )

    def _resend_grants(
        self, router: str, waiting: tuple[int, ...]
    ) -> Iterator[Envelope]:
        for req_id in waiting:
            run = self.slots.get(router, req_id)
            if run is not None:
                grant = message.Grant(req_id, self.cell, run.target)
                yield Envelope(router, grant)

    def _adopt(
        self, router: str, items: tuple[message.RunningItem, ...], now: float
    ) -> None:
        for item in items:
            if self.slots.get(router, item.req_id) is not None:
                continue
            self.cancel(router, item.req_id)
            self.queue.start(item.team, item.charged)
            run = Running(router, *item, granted_at=now)
            self.slots.add(run)

    def _drop_stale(self, router: str, msg: message.Sync, now: float) -> None:
        held = set(msg.waiting) | {item.req_id for item in msg.running}
        limit = now - self._cfg.sync_grace_s
        for run in self.slots:
            if (
                run.router == router
                and run.req_id not in held
                and run.granted_at < limit
            ):
                self.slots.release(router, run.req_id)
                self.queue.finish(run.team, 0.0)
        for key, item in list(self._queued.items()):
            if (
                key[0] == router
                and key[1] not in held
                and item.queued_at < limit
            ):
                self.cancel(*key)
