"""Requests that this router holds: waiting for a grant, or running."""

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


class Held:
    """A request that waits for a grant or runs."""

    def __init__(self, enqueue: Enqueue, deadline: float) -> None:
        self.enqueue = enqueue
        self.deadline = deadline
        self.target = ""
        loop = asyncio.get_running_loop()
        self.answer: asyncio.Future[Grant | Refuse] = loop.create_future()

    def __repr__(self) -> str:
        return f"Held({self.enqueue.req_id}, target={self.target!r})"

    def current(self, now: float) -> Enqueue:
        """Returns the message that queues it now."""
        return self.enqueue._replace(deadline_left_s=self.deadline - now)


class Holder:
    """Ask schedulers for grants and keep asking until they answer.

    Args:
        send_to_cell (Callable): Sends to the scheduler of a cell.
        send_to_peer (Callable): Sends to a router by name.
    """

    def __init__(
        self, send_to_cell: SendToCell, send_to_peer: SendToPeer
    ) -> None:
        self._send_to_cell = send_to_cell
        self._send_to_peer = send_to_peer
        self._held: dict[int, Held] = {}
        self._by_team: Counter[str] = Counter()
        self._seq = 0

    def __repr__(self) -> str:
        return f"Holder(held={len(self._held)})"

    def __len__(self) -> int:
        return len(self._held)

    def held_by(self, team: str) -> int:
        """Returns how many requests of a team are held."""
        return self._by_team[team]

    def next_id(self) -> int:
        """Returns an id that no other request of this router has."""
        self._seq += 1
        return self._seq

    async def ask(self, enqueue: Enqueue) -> Grant | Refuse:
        """Waits for a grant or a refusal, no longer than the deadline."""
        now = time.monotonic()
        held = Held(enqueue, now + enqueue.deadline_left_s)
        self._held[enqueue.req_id] = held
        self._by_team[enqueue.team] += 1
        self._send_to_cell(enqueue.cell, enqueue)
        try:
            return await asyncio.wait_for(held.answer, enqueue.deadline_left_s)
        except TimeoutError:
            self._withdraw(held)
            return Refuse(
                enqueue.req_id, enqueue.cell, REASON_DEADLINE, MIN_RETRY_AFTER_S
            )
        except asyncio.CancelledError:
            self._withdraw(held)
            raise

    def done(self, done: Done) -> None:
        """Reports the end of an attempt to its scheduler."""
        held = self._held.get(done.req_id)
        if held is not None:
            self._forget(held)
        self._send_to_cell(done.cell, done)

    def on_grant(self, peer: str, grant: Grant) -> None:
        """Takes a grant; one that is of no use gives its slot back."""
        held = self._held.get(grant.req_id)
        if held is not None and held.target == grant.target:
            return
        if held is None or held.answer.done():
            back = Done(
                grant.req_id,
                grant.cell,
                grant.target,
                cell_messages.OUTCOME_CANCELLED,
                0.0,
                -1.0,
            )
            self._send_to_peer(peer, back)
            return
        held.target = grant.target
        held.answer.set_result(grant)

    def on_refuse(self, refuse: Refuse) -> None:
        """Takes a refusal."""
        held = self._held.get(refuse.req_id)
        if held is not None and not held.answer.done():
            self._forget(held)
            held.answer.set_result(refuse)

    def refuse_gone(self, cells: Container[str]) -> None:
        """Refuses what waits for a cell that the configuration has no more."""
        for held in list(self._held.values()):
            enqueue = held.enqueue
            if enqueue.cell not in cells and not held.answer.done():
                self.on_refuse(
                    Refuse(
                        enqueue.req_id,
                        enqueue.cell,
                        REASON_NO_TARGET,
                        MIN_RETRY_AFTER_S,
                    )
                )

    def on_missing(self, unknown: cell_messages.UnknownRequests) -> None:
        """Queues again what the scheduler does not know."""
        now = time.monotonic()
        for req_id in unknown.req_ids:
            held = self._held.get(req_id)
            if held is not None and not held.answer.done():
                self._send_to_cell(unknown.cell, held.current(now))

    def on_move(self, move: cell_messages.Move) -> None:
        """Queues a request in another cell of its service."""
        held = self._held.get(move.req_id)
        if held is None or held.answer.done():
            return
        if held.enqueue.cell != move.cell:
            return
        held.enqueue = held.enqueue._replace(cell=move.to_cell)
        self._send_to_cell(move.to_cell, held.current(time.monotonic()))

    def waiting_in(self, cell: str) -> int:
        """Returns how many requests of this router wait in a cell."""
        return sum(
            1
            for held in self._held.values()
            if held.enqueue.cell == cell and not held.target
        )

    def resend(self, cell: str) -> None:
        """Tells a new scheduler of a cell all that is held of it."""
        now = time.monotonic()
        self._send_to_cell(cell, self._sync(cell))
        for held in self._held.values():
            if held.enqueue.cell == cell and not held.answer.done():
                self._send_to_cell(cell, held.current(now))

    def sync_all(self) -> None:
        """Lists to each scheduler what is held of its cell."""
        for cell in {h.enqueue.cell for h in self._held.values()}:
            self._send_to_cell(cell, self._sync(cell))

    def _sync(self, cell: str) -> Sync:
        held = [h for h in self._held.values() if h.enqueue.cell == cell]
        waiting = tuple(h.enqueue.req_id for h in held if not h.target)
        running = tuple(_running_item(h) for h in held if h.target)
        return Sync(cell, waiting, running)

    def _withdraw(self, held: Held) -> None:
        enqueue = held.enqueue
        self._forget(held)
        self._send_to_cell(
            enqueue.cell, cell_messages.Cancel(enqueue.req_id, enqueue.cell)
        )

    def _forget(self, held: Held) -> None:
        if self._held.pop(held.enqueue.req_id, None) is not None:
            self._by_team[held.enqueue.team] -= 1
            if not self._by_team[held.enqueue.team]:
                del self._by_team[held.enqueue.team]


def _running_item(held: Held) -> RunningItem:
    enqueue = held.enqueue
    return RunningItem(
        enqueue.req_id,
        held.target,
        enqueue.team,
        enqueue.cls,
        enqueue.estimate,
        enqueue.fingerprint,
    )
