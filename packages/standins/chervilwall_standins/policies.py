"""The scheduling policies that a trace is replayed into."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from chervilwall import cell_messages
from chervilwall.cell_messages import Done, Enqueue, Envelope
from chervilwall.cells import (
    SINGLE_CELL_TARGETS,
    cells_of,
    siblings_of,
    split_cells,
)
from chervilwall.codec import FrameCodec
from chervilwall.quarantine import Quarantine
from chervilwall.rendezvous import owner
from chervilwall.scheduler import CellScheduler, SchedulerSettings
from chervilwall.siblings import SERVICE_INTERVAL_S, ServiceHub

from chervilwall_standins.trace import Trace, TraceRequest

HOP_S = 0.0005
_KEY = b"key-for-counting-bytes"


class Start(NamedTuple):
    """A request that a policy starts on a target."""

    number: int
    target: str


class Policy(Protocol):
    """Decides which request runs where and when."""

    name: str
    hop_s: float

    def arrive(self, index: int, now: float) -> None:
        """Takes a request, by its index in the trace."""
        ...

    def end(self, index: int, target: str, outcome: str, now: float) -> None:
        """Takes the end of an attempt."""
        ...

    def lose(self, target: str, now: float) -> None:
        """Notes that a target is gone."""
        ...

    def restore(self, target: str, now: float) -> None:
        """Notes that a target is back."""
        ...

    def tick(self, now: float) -> None:
        """Advances timers."""
        ...

    def starts(self) -> list[Start]:
        """Returns what was started since the last call."""
        ...

    def refusals(self) -> list[int]:
        """Returns what was refused since the last call."""
        ...

    def waiting(self) -> dict[tuple[str, str], int]:
        """Returns waiting requests by service and team."""
        ...


class Decisions:
    """Gather what a policy decided until the replay asks."""

    def __init__(self) -> None:
        self._starts: list[Start] = []
        self._refusals: list[int] = []

    def starts(self) -> list[Start]:
        """Returns what was started since the last call."""
        starts, self._starts = self._starts, []
        return starts

    def refusals(self) -> list[int]:
        """Returns what was refused since the last call."""
        refusals, self._refusals = self._refusals, []
        return refusals


class FleetPolicy(Decisions):
    """The product's own decisions, with a hop between routers.

    Args:
        trace (Trace): What is replayed.
        settings (SchedulerSettings | None): Limits of the schedulers.
        targets_per_cell (int): Most targets of a cell.
    """

    name = "chervilwall"
    hop_s = HOP_S

    def __init__(
        self,
        trace: Trace,
        settings: SchedulerSettings | None = None,
        *,
        targets_per_cell: int = SINGLE_CELL_TARGETS,
    ) -> None:
        super().__init__()
        self._trace = trace
        self._moves: list[cell_messages.Move] = []
        self._excluded: dict[int, tuple[str, ...]] = {}
        self._codec = FrameCodec([_KEY])
        self.control_bytes = 0
        self.control_messages = 0
        config = trace.config()
        quarantine = Quarantine()
        self.schedulers: dict[str, CellScheduler] = {}
        self._cells = split_cells(
            config, single=targets_per_cell, per_cell=targets_per_cell
        )
        self._cell_of: dict[int, str] = {}
        self._held: Counter[tuple[int, str]] = Counter()
        self._hubs = {s.name: ServiceHub() for s in config.services}
        self._service_at = 0.0
        for cell in self._cells.values():
            scheduler = CellScheduler(
                cell.name, cell.service, quarantine, settings
            )
            scheduler.configure(config, cell.targets)
            self.schedulers[cell.name] = scheduler
        routers = [str(i) for i in range(trace.heading.routers)]
        self._owners = {
            s.cell: owner(s.cell, routers) for s in self.schedulers.values()
        }

    def arrive(self, index: int, now: float) -> None:
        """Queues a request at the scheduler of its service."""
        req = self._trace.requests[index]
        cell = self._choose_cell(req)
        self._cell_of[index] = cell
        self._held[req.router, cell] += 1
        scheduler = self.schedulers[cell]
        enqueue = self._enqueue(index, req, scheduler.cell, now)
        self._count(str(req.router), scheduler.cell, enqueue)
        self._take(scheduler.enqueue(str(req.router), enqueue, now))

    def end(self, index: int, target: str, outcome: str, now: float) -> None:
        """Reports the end of an attempt."""
        req = self._trace.requests[index]
        scheduler = self.schedulers[self._cell_of[index]]
        completed = outcome == cell_messages.OUTCOME_COMPLETED
        cost = (
            self._trace.cost(req) if completed else cell_messages.COST_UNKNOWN
        )
        total = cell_messages.UsageRow(
            cell_messages.UsageKey(
                f"router{req.router}-0", req.team, req.service, req.cls
            ),
            cell_messages.UsageTotals(completed=index, work=req.work() * index),
        )
        done = Done(index, scheduler.cell, target, outcome, cost, 0.1, total)
        self._count(str(req.router), scheduler.cell, done)
        self._take(scheduler.done(str(req.router), done, now))
        if not completed:
            old = self._excluded.get(index, ())
            self._excluded[index] = (*old, target)

    def lose(self, target: str, now: float) -> None:
        """Learns of the loss only from broken attempts."""

    def restore(self, target: str, now: float) -> None:
        """Learns of the return only from probes."""

    def tick(self, now: float) -> None:
        """Advances the schedulers' timers."""
        for scheduler in self.schedulers.values():
            self._take(scheduler.tick(now))
            siblings = siblings_of(self._cells, scheduler.cell)
            offer = scheduler.announce_free_slots(siblings, now)
            if offer is not None:
                self._count("", offer.cell, offer)
                self._take(
                    self.schedulers[offer.cell].receive_offer(offer, now)
                )
        self._move(now)
        if now >= self._service_at:
            self._service_at = now + SERVICE_INTERVAL_S
            self._exchange_service()

    def waiting(self) -> dict[tuple[str, str], int]:
        """Returns waiting requests by service and team."""
        found: Counter[tuple[str, str]] = Counter()
        for scheduler in self.schedulers.values():
            for team in scheduler.queue.backlogged():
                depth = scheduler.queue.depth(team)
                found[scheduler.service, team] += depth
        return found

    def _choose_cell(self, req: TraceRequest) -> str:
        cells = cells_of(self._cells, req.service)
        return min(cells, key=lambda c: self._held[req.router, c])

    def _exchange_service(self) -> None:
        for scheduler in self.schedulers.values():
            served = scheduler.drain_service()
            if served and siblings_of(self._cells, scheduler.cell):
                self._count("", f"{scheduler.service}#0", served)
                self._hubs[scheduler.service].add(served)
        for service, hub in self._hubs.items():
            for told in hub.drain(cells_of(self._cells, service)):
                self._count("", told.cell, told)
                self.schedulers[told.cell].add_remote_service(told)

    def _move(self, now: float) -> None:
        moves, self._moves = self._moves, []
        for move in moves:
            req = self._trace.requests[move.req_id]
            self._held[req.router, move.cell] -= 1
            self._held[req.router, move.to_cell] += 1
            self._cell_of[move.req_id] = move.to_cell
            enqueue = self._enqueue(move.req_id, req, move.to_cell, now)
            self._count(str(req.router), move.to_cell, enqueue)
            scheduler = self.schedulers[move.to_cell]
            self._take(scheduler.enqueue(str(req.router), enqueue, now))

    def _enqueue(
        self, index: int, req: TraceRequest, cell: str, now: float
    ) -> Enqueue:
        by_worth = self._trace.heading.measure == "worth"
        estimate = self._trace.cost(req) if by_worth else req.hint
        left_s = req.at + self._trace.deadline_s(req) - now
        return Enqueue(
            req_id=index,
            cell=cell,
            team=req.team,
            cls=req.cls,
            deadline_left_s=left_s,
            estimate=estimate,
            fingerprint=index.to_bytes(8, "big"),
            exclude=self._excluded.get(index, ()),
        )

    def _take(self, envelopes: Iterable[Envelope]) -> None:
        for peer, msg in envelopes:
            self._count(peer, getattr(msg, "cell", ""), msg)
            if isinstance(msg, cell_messages.Grant | cell_messages.Refuse):
                self._held[int(peer), self._cell_of[msg.req_id]] -= 1
            if isinstance(msg, cell_messages.Move):
                self._moves.append(msg)
            elif isinstance(msg, cell_messages.Grant):
                self._starts.append(Start(msg.req_id, msg.target))
            elif isinstance(msg, cell_messages.Refuse):
                self._refusals.append(msg.req_id)

    def _count(
        self, router: str, cell: str, msg: cell_messages.Message
    ) -> None:
        if self._owners.get(cell) != router:
            frame = self._codec.encode(f"router{router}", 1 << 40, [msg])
            self.control_bytes += len(frame)
            self.control_messages += 1
