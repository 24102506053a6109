"""A target's answer on its way to the caller."""

import asyncio
from collections.abc import Callable

from chervilwall.errors import OversizedError
from chervilwall.event_stream import EventSplitter
from chervilwall.http_messages import ResponseHead

from chervilwall_router.edge.caller_answer import CallerAnswer

# Plain answers are held back until they are whole, up to this size.
MAX_HELD_BYTES = 1 << 20


class PlainRelay:
    """Hold an answer back until it is whole, unless it is large.

    Args:
        answer (CallerAnswer): Where it goes.
        first_data (Callable): Called when the target begins to answer.
    """

    def __init__(
        self, answer: CallerAnswer, first_data: Callable[[], None]
    ) -> None:
        self._answer = answer
        self._first_data = first_data
        self._head: ResponseHead | None = None
        self._held: list[bytes] = []
        self._size = 0

    def __repr__(self) -> str:
        return f"PlainRelay(size={self._size})"

    def receive_head(self, head: ResponseHead) -> None:
        """Takes status and headers."""
        self._head = head
        self._first_data()

    def receive_data(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Takes a piece of the body.

        Returns:
            What to wait for while the caller is slow, or None.

        Raises:
            OversizedError: It is no sound answer's.
        """
        self._size += len(chunk)
        if self._answer.begun:
            return self._answer.write(chunk)
        self._held.append(chunk)
        if self._size <= MAX_HELD_BYTES:
            return None
        head = self._head
        if head is None or not head.is_genuine or head.not_executed:
            self._held.clear()
            raise OversizedError(
                f"over {MAX_HELD_BYTES} bytes that may not be passed on",
                step="read answer",
            )
        self._answer.begin(head.status, head.headers, b"".join(self._held))
        self._held.clear()
        return None

    def pass_on(self) -> None:
        """Writes the whole answer, or ends the one that was begun."""
        if self._answer.begun:
            self._answer.finish()
            return
        head = self._head
        assert head is not None
        self._answer.whole(head.status, head.headers, b"".join(self._held))


class StreamRelay:
    """Pass events on as they arrive, whole ones only.

    Several attempts may feed one relay: events that the caller has are left
    out, so an attempt that goes on after a break joins without a seam.

    Args:
        answer (CallerAnswer): Where they go.
        first_data (Callable): Called when the first event arrives.
        last_event_id (int): Last event that the caller has.
    """

    def __init__(
        self,
        answer: CallerAnswer,
        first_data: Callable[[], None],
        last_event_id: int,
    ) -> None:
        self._answer = answer
        self._first_data = first_data
        self._splitter = EventSplitter()
        self._head: ResponseHead | None = None
        self._plain: PlainRelay | None = None
        self.last_event_id = last_event_id
        self.events = 0

    def __repr__(self) -> str:
        return f"StreamRelay(last_event_id={self.last_event_id})"

    def restart(self) -> None:
        """Prepares for another attempt's answer."""
        self._splitter = EventSplitter()
        self._head = None
        self._plain = None

    def receive_head(self, head: ResponseHead) -> None:
        """Takes status and headers."""
        self._head = head
        if not (head.is_success and head.is_genuine):
            self._plain = PlainRelay(self._answer, self._first_data)
            self._plain.receive_head(head)

    def receive_data(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Takes bytes of the stream.

        Returns:
            What to wait for while the caller is slow, or None.

        Raises:
            OversizedError: They are no sound stream's.
        """
        if self._plain is not None:
            if self._answer.begun:
                return None
            return self._plain.receive_data(chunk)
        fresh = []
        for event in self._splitter.feed(chunk):
            if event.id and event.id <= self.last_event_id:
                continue
            self.last_event_id = event.id or self.last_event_id
            fresh.append(event.raw)
        if not fresh:
            return None
        self.events += len(fresh)
        self._first_data()
        return self._write(b"".join(fresh))

    def _write(self, data: bytes) -> "asyncio.Future[None] | None":
        if self._answer.begun:
            return self._answer.write(data)
        head = self._head
        assert head is not None
        headers = tuple(
            h for h in head.headers if h[0].lower() != "content-length"
        )
        self._answer.begin(head.status, headers, data)
        return None

    def pass_on(self) -> None:
        """Ends the stream, or writes the target's failure."""
        if self._plain is not None and not self._answer.begun:
            self._plain.pass_on()
            return
        if self._splitter.pending or not self._answer.begun:
            self._write(self._splitter.pending)
        self._answer.finish()


def may_pass(head: ResponseHead) -> bool:
    """Tells whether an answer is a target's own and may be passed on."""
    return head.is_genuine or not head.is_success
