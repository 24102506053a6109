"""Scheduling policies for replays, among them that of the cell schedulers."""

from collections import Counter
from collections.abc import Iterable
from typing import NamedTuple, Protocol

from chervilwall import cell_messages
from chervilwall.cell_messages import Done, Enqueue, Envelope
from chervilwall.cells import (
    MAX_UNSPLIT_TARGETS,
    find_cells,
    siblings_of,
    split_cells,
)
from chervilwall.codec import FrameCodec
from chervilwall.quarantine import Quarantine
from chervilwall.rendezvous import owner
from chervilwall.scheduler import CellScheduler, SchedulerSettings
from chervilwall.siblings import SERVICE_EXCHANGE_INTERVAL_S, ServiceHub

from chervilwall_standins.trace import Trace, TraceRequest

# Time that a control message takes from a router to a scheduler or back.
HOP_S = 0.0005
# Any key will do: only the lengths of encoded messages are counted.
_FLEET_KEY = b"key-for-counting-bytes"


class Start(NamedTuple):
    """Decision of a policy to start a request on a target.

    Args:
        request_index (int): Index of the request in the trace.
        target (str): Name of the target.
    """

    request_index: int
    target: str


class Policy(Protocol):
    """Decide which request starts when, and on which target.

    Requests are named by their index in the trace, and times are seconds of
    simulated time.

    Attributes:
        name (str): Name in the printed tables.
        hop_s (float): Time that a message takes between a router and the
            scheduler, in seconds.
    """

    name: str
    hop_s: float

    def enqueue(self, index: int, now: float) -> None:
        """Queues a request."""
        ...

    def finish_attempt(
        self, index: int, target: str, outcome: str, now: float
    ) -> None:
        """Handles the end of an attempt; see `cell_messages.OUTCOME_*`."""
        ...

    def fail_target(self, target: str, now: float) -> None:
        """Handles the failure of a target."""
        ...

    def restore_target(self, target: str, now: float) -> None:
        """Handles the recovery of a target."""
        ...

    def tick(self, now: float) -> None:
        """Expires requests and starts queued ones whose time has come."""
        ...

    def take_starts(self) -> list[Start]:
        """Returns the starts decided since the last call."""
        ...

    def take_refusals(self) -> list[int]:
        """Returns the requests refused since the last call."""
        ...

    def queue_lengths(self) -> dict[tuple[str, str], int]:
        """Returns the number of queued requests by service and team."""
        ...


class DecisionBuffer:
    """Collect the decisions of a policy until the replay takes them.

    Policies derive from it.
    """

    def __init__(self) -> None:
        self._starts: list[Start] = []
        self._refusals: list[int] = []

    def take_starts(self) -> list[Start]:
        """Returns the starts decided since the last call."""
        starts, self._starts = self._starts, []
        return starts

    def take_refusals(self) -> list[int]:
        """Returns the requests refused since the last call."""
        refusals, self._refusals = self._refusals, []
        return refusals


class CellSchedulerPolicy(DecisionBuffer):
    """Schedule with Chervilwall's cell schedulers, one per cell.

    Requests, starts and reports of ended attempts are delayed by `HOP_S`.
    Control messages are counted unless the router that sends or receives them
    runs the scheduler itself. A request that moves to a sibling cell is queued
    there at the next tick.

    Args:
        trace (Trace): The trace.
        settings (SchedulerSettings | None): Limits of the schedulers. Defaults
            to the schedulers' own.
        targets_per_cell (int): Maximum number of targets per cell. Defaults to
            MAX_UNSPLIT_TARGETS, as in routers.
    """

    name = "chervilwall"
    hop_s = HOP_S

    def __init__(
        self,
        trace: Trace,
        settings: SchedulerSettings | None = None,
        *,
        targets_per_cell: int = MAX_UNSPLIT_TARGETS,
    ) -> None:
        super().__init__()
        self._trace = trace
        self._pending_moves: list[cell_messages.Move] = []
        self._failed_targets_by_request: dict[int, tuple[str, ...]] = {}
        self._codec = FrameCodec([_FLEET_KEY])
        self.control_bytes = 0
        self.control_messages = 0
        config = trace.config()
        quarantine = Quarantine()
        self.schedulers: dict[str, CellScheduler] = {}
        self._cells = split_cells(
            config,
            max_unsplit_targets=targets_per_cell,
            max_targets_per_cell=targets_per_cell,
        )
        self._cell_by_request: dict[int, str] = {}
        self._queued_by_cell: Counter[tuple[int, str]] = Counter()
        self._hubs = {s.name: ServiceHub() for s in config.services}
        self._next_exchange_at = 0.0
        for cell in self._cells.values():
            scheduler = CellScheduler(
                cell.name, cell.service, quarantine, settings
            )
            scheduler.configure(config, cell.targets)
            self.schedulers[cell.name] = scheduler
        routers = [str(i) for i in range(trace.heading.routers)]
        self._router_by_cell = {
            s.cell: owner(s.cell, routers) for s in self.schedulers.values()
        }

    def enqueue(self, index: int, now: float) -> None:
        """Queues a request at the cell where its router has fewest queued."""
        req = self._trace.requests[index]
        cell = self._choose_cell(req)
        self._cell_by_request[index] = cell
        self._queued_by_cell[req.router, cell] += 1
        scheduler = self.schedulers[cell]
        enqueue = self._make_enqueue(index, req, scheduler.cell, now)
        self._count_bytes(str(req.router), scheduler.cell, enqueue)
        self._apply_messages(scheduler.enqueue(str(req.router), enqueue, now))

    def finish_attempt(
        self, index: int, target: str, outcome: str, now: float
    ) -> None:
        """Reports the end of an attempt to the scheduler."""
        req = self._trace.requests[index]
        scheduler = self.schedulers[self._cell_by_request[index]]
        completed = outcome == cell_messages.OUTCOME_COMPLETED
        cost = (
            self._trace.cost(req) if completed else cell_messages.COST_UNKNOWN
        )
        # Filler values: only the encoded size of the message matters.
        total = cell_messages.UsageRow(
            cell_messages.UsageKey(
                f"router{req.router}-0", req.team, req.service, req.cls
            ),
            cell_messages.UsageTotals(completed=index, work=req.work() * index),
        )
        done = Done(index, scheduler.cell, target, outcome, cost, 0.1, total)
        self._count_bytes(str(req.router), scheduler.cell, done)
        self._apply_messages(scheduler.finish(str(req.router), done, now))
        if not completed:
            previous = self._failed_targets_by_request.get(index, ())
            self._failed_targets_by_request[index] = (*previous, target)

    def fail_target(self, target: str, now: float) -> None:
        """Does nothing; schedulers detect the failure by broken attempts."""

    def restore_target(self, target: str, now: float) -> None:
        """Does nothing; schedulers detect the recovery by probes."""

    def tick(self, now: float) -> None:
        """Advances the schedulers and exchanges messages between sibling cells.

        Sibling cells are the other cells of the same service.
        """
        for scheduler in self.schedulers.values():
            self._apply_messages(scheduler.tick(now))
            siblings = siblings_of(self._cells, scheduler.cell)
            offer = scheduler.announce_free_slots(siblings, now)
            if offer is not None:
                self._count_bytes("", offer.cell, offer)
                self._apply_messages(
                    self.schedulers[offer.cell].receive_offer(offer, now)
                )
        self._apply_moves(now)
        if now >= self._next_exchange_at:
            self._next_exchange_at = now + SERVICE_EXCHANGE_INTERVAL_S
            self._exchange_usage()

    def queue_lengths(self) -> dict[tuple[str, str], int]:
        """Returns the number of queued requests by service and team."""
        lengths: Counter[tuple[str, str]] = Counter()
        for scheduler in self.schedulers.values():
            for team in scheduler.queue.backlogged():
                depth = scheduler.queue.depth(team)
                lengths[scheduler.service, team] += depth
        return lengths

    def _choose_cell(self, req: TraceRequest) -> str:
        cells = find_cells(self._cells, req.service)
        return min(cells, key=lambda c: self._queued_by_cell[req.router, c])

    def _exchange_usage(self) -> None:
        """Passes what each cell's teams used on to the sibling cells."""
        for scheduler in self.schedulers.values():
            report = scheduler.take_unreported_service()
            if report and siblings_of(self._cells, scheduler.cell):
                self._count_bytes("", f"{scheduler.service}#0", report)
                self._hubs[scheduler.service].add(report)
        for service, hub in self._hubs.items():
            for report in hub.take_messages(find_cells(self._cells, service)):
                self._count_bytes("", report.cell, report)
                self.schedulers[report.cell].charge_sibling_service(report)

    def _apply_moves(self, now: float) -> None:
        moves, self._pending_moves = self._pending_moves, []
        for move in moves:
            req = self._trace.requests[move.req_id]
            self._queued_by_cell[req.router, move.cell] -= 1
            self._queued_by_cell[req.router, move.to_cell] += 1
            self._cell_by_request[move.req_id] = move.to_cell
            enqueue = self._make_enqueue(move.req_id, req, move.to_cell, now)
            self._count_bytes(str(req.router), move.to_cell, enqueue)
            scheduler = self.schedulers[move.to_cell]
            self._apply_messages(
                scheduler.enqueue(str(req.router), enqueue, now)
            )

    def _make_enqueue(
        self, index: int, req: TraceRequest, cell: str, now: float
    ) -> Enqueue:
        is_worth_measured = self._trace.heading.measure == "worth"
        estimate = self._trace.cost(req) if is_worth_measured else req.hint
        remaining_s = req.at + self._trace.deadline_s(req) - now
        return Enqueue(
            req_id=index,
            cell=cell,
            team=req.team,
            cls=req.cls,
            deadline_left_s=remaining_s,
            estimate=estimate,
            fingerprint=index.to_bytes(8, "big"),
            exclude=self._failed_targets_by_request.get(index, ()),
        )

    def _apply_messages(self, envelopes: Iterable[Envelope]) -> None:
        for peer, msg in envelopes:
            self._count_bytes(peer, getattr(msg, "cell", ""), msg)
            if isinstance(msg, cell_messages.Grant | cell_messages.Refuse):
                self._queued_by_cell[
                    int(peer), self._cell_by_request[msg.req_id]
                ] -= 1
            if isinstance(msg, cell_messages.Move):
                self._pending_moves.append(msg)
            elif isinstance(msg, cell_messages.Grant):
                self._starts.append(Start(msg.req_id, msg.target))
            elif isinstance(msg, cell_messages.Refuse):
                self._refusals.append(msg.req_id)

    def _count_bytes(
        self, router: str, cell: str, msg: cell_messages.Message
    ) -> None:
        if self._router_by_cell.get(cell) != router:
            frame = self._codec.encode(f"router{router}", 1 << 40, [msg])
            self.control_bytes += len(frame)
            self.control_messages += 1
