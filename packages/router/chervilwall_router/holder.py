"""Requests of this router that wait for a grant or run.

The router that received a request holds it until its last attempt has ended.
Grants come from the scheduler of the request's cell, the group of targets of
one service that one router schedules.
"""

import asyncio
import time
from collections import Counter
from collections.abc import Callable, Container

from chervilwall import cell_messages
from chervilwall.cell_messages import (
    Done,
    Enqueue,
    Grant,
    Refuse,
    RunningItem,
    Sync,
)
from chervilwall.forecast import MIN_RETRY_AFTER_S
from chervilwall.scheduler import REASON_DEADLINE, REASON_NO_TARGET

SendToCell = Callable[[str, cell_messages.Message], None]
SendToPeer = Callable[[str, cell_messages.Message], None]


class HeldRequest:
    """Hold the state of a request that waits for a grant or runs.

    Args:
        enqueue (Enqueue): Message that queued the request.
        deadline (float): Monotonic time in seconds by which a grant must
            arrive.
    """

    def __init__(self, enqueue: Enqueue, deadline: float) -> None:
        self.enqueue = enqueue
        self.deadline = deadline
        self.target = ""
        loop = asyncio.get_running_loop()
        self.decision: asyncio.Future[Grant | Refuse] = loop.create_future()

    def __repr__(self) -> str:
        return f"HeldRequest({self.enqueue.req_id}, target={self.target!r})"

    def make_enqueue(self, now: float) -> Enqueue:
        """Returns the message that queues the request, with the time left."""
        return self.enqueue._replace(deadline_left_s=self.deadline - now)


class RequestHolder:
    """Request grants from schedulers and track the requests until they end.

    Because messages may be lost and schedulers may change, each scheduler is
    sent the list of its requests periodically. Waiting requests that the
    scheduler does not know are queued again.

    Args:
        send_to_cell (Callable): Sends a message to the scheduler of a cell.
        send_to_peer (Callable): Sends a message to a router by name.
    """

    def __init__(
        self, send_to_cell: SendToCell, send_to_peer: SendToPeer
    ) -> None:
        self._send_to_cell = send_to_cell
        self._send_to_peer = send_to_peer
        self._requests: dict[int, HeldRequest] = {}
        self._counts_by_team: Counter[str] = Counter()
        self._last_id = 0

    def __repr__(self) -> str:
        return f"RequestHolder(held={len(self._requests)})"

    def __len__(self) -> int:
        return len(self._requests)

    def count_by_team(self, team: str) -> int:
        """Returns how many requests of a team wait or run."""
        return self._counts_by_team[team]

    def next_id(self) -> int:
        """Returns an id that is unique among the requests of this router."""
        self._last_id += 1
        return self._last_id

    async def request_grant(self, enqueue: Enqueue) -> Grant | Refuse:
        """Queues a request and waits for the decision of its scheduler.

        Args:
            enqueue (Enqueue): Message that queues the request.

        Returns:
            The grant or the refusal. A request without either by its deadline
            is cancelled at the scheduler and refused with REASON_DEADLINE.
        """
        now = time.monotonic()
        request = HeldRequest(enqueue, now + enqueue.deadline_left_s)
        self._requests[enqueue.req_id] = request
        self._counts_by_team[enqueue.team] += 1
        self._send_to_cell(enqueue.cell, enqueue)
        try:
            return await asyncio.wait_for(
                request.decision, enqueue.deadline_left_s
            )
        except TimeoutError:
            self._cancel(request)
            return Refuse(
                enqueue.req_id, enqueue.cell, REASON_DEADLINE, MIN_RETRY_AFTER_S
            )
        except asyncio.CancelledError:
            self._cancel(request)
            raise

    def report_done(self, done: Done) -> None:
        """Stops tracking an attempt and reports its end to its scheduler."""
        request = self._requests.get(done.req_id)
        if request is not None:
            self._remove(request)
        self._send_to_cell(done.cell, done)

    def on_grant(self, peer: str, grant: Grant) -> None:
        """Handles a grant.

        A repeated grant is ignored. If the request has ended, or was granted or
        refused before, the slot on the target is returned to the router that
        sent the grant.
        """
        request = self._requests.get(grant.req_id)
        if request is not None and request.target == grant.target:
            return
        if request is None or request.decision.done():
            returned = Done(
                grant.req_id,
                grant.cell,
                grant.target,
                cell_messages.OUTCOME_CANCELLED,
                # No cost.
                0.0,
                # No first byte.
                -1.0,
            )
            self._send_to_peer(peer, returned)
            return
        request.target = grant.target
        request.decision.set_result(grant)

    def on_refuse(self, refuse: Refuse) -> None:
        """Handles a refusal, ignored unless its request waits."""
        request = self._requests.get(refuse.req_id)
        if request is not None and not request.decision.done():
            self._remove(request)
            request.decision.set_result(refuse)

    def refuse_removed_cells(self, cells: Container[str]) -> None:
        """Refuses waiting requests whose cell is no longer configured.

        Args:
            cells (Container[str]): Cells of the current configuration.
        """
        for request in list(self._requests.values()):
            enqueue = request.enqueue
            if enqueue.cell not in cells and not request.decision.done():
                self.on_refuse(
                    Refuse(
                        enqueue.req_id,
                        enqueue.cell,
                        REASON_NO_TARGET,
                        MIN_RETRY_AFTER_S,
                    )
                )

    def on_unknown_requests(
        self, unknown: cell_messages.UnknownRequests
    ) -> None:
        """Queues waiting requests again that their scheduler does not have."""
        now = time.monotonic()
        for req_id in unknown.req_ids:
            request = self._requests.get(req_id)
            if request is not None and not request.decision.done():
                self._send_to_cell(unknown.cell, request.make_enqueue(now))

    def on_move(self, move: cell_messages.Move) -> None:
        """Queues a waiting request in another cell of its service instead."""
        request = self._requests.get(move.req_id)
        if request is None or request.decision.done():
            return
        if request.enqueue.cell != move.cell:
            return
        request.enqueue = request.enqueue._replace(cell=move.to_cell)
        self._send_to_cell(move.to_cell, request.make_enqueue(time.monotonic()))

    def count_waiting(self, cell: str) -> int:
        """Returns how many requests of this router wait in a cell."""
        return sum(
            1
            for request in self._requests.values()
            if request.enqueue.cell == cell and not request.target
        )

    def resync_cell(self, cell: str) -> None:
        """Sends a cell's new scheduler the list of this router's requests.

        Requests that are waiting are also queued again.
        """
        now = time.monotonic()
        self._send_to_cell(cell, self._make_sync(cell))
        for request in self._requests.values():
            if request.enqueue.cell == cell and not request.decision.done():
                self._send_to_cell(cell, request.make_enqueue(now))

    def sync_all(self) -> None:
        """Sends each scheduler the list of this router's requests."""
        for cell in {h.enqueue.cell for h in self._requests.values()}:
            self._send_to_cell(cell, self._make_sync(cell))

    def _make_sync(self, cell: str) -> Sync:
        requests = [
            h for h in self._requests.values() if h.enqueue.cell == cell
        ]
        waiting = tuple(h.enqueue.req_id for h in requests if not h.target)
        running = tuple(_running_item(h) for h in requests if h.target)
        return Sync(cell, waiting, running)

    def _cancel(self, request: HeldRequest) -> None:
        enqueue = request.enqueue
        self._remove(request)
        self._send_to_cell(
            enqueue.cell, cell_messages.Cancel(enqueue.req_id, enqueue.cell)
        )

    def _remove(self, request: HeldRequest) -> None:
        if self._requests.pop(request.enqueue.req_id, None) is not None:
            self._counts_by_team[request.enqueue.team] -= 1
            if not self._counts_by_team[request.enqueue.team]:
                del self._counts_by_team[request.enqueue.team]


def _running_item(request: HeldRequest) -> RunningItem:
    enqueue = request.enqueue
    return RunningItem(
        enqueue.req_id,
        request.target,
        enqueue.team,
        enqueue.cls,
        enqueue.estimate,
        enqueue.fingerprint,
    )
