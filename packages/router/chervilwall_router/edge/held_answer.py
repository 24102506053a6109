"""The beginning of an answer that is held back until it may be relayed."""

import asyncio

from chervilwall.http_messages import ResponseHead

from chervilwall_router.edge.exchange import AnswerReceiver


class HeldAnswer:
    """Keep the beginning of an answer until a receiver takes it.

    Reading pauses after the read that brought the head, so that little is kept.

    Attributes:
        head (ResponseHead | None): Head of the answer, or None if none has
            arrived.
        arrival (asyncio.Future): Done once the head has arrived.
    """

    def __init__(self) -> None:
        loop = asyncio.get_running_loop()
        self.head: ResponseHead | None = None
        self.arrival: asyncio.Future[None] = loop.create_future()
        self._released: asyncio.Future[None] = loop.create_future()
        self._receiver: AnswerReceiver | None = None
        self._held: list[bytes] = []

    def __repr__(self) -> str:
        return f"HeldAnswer(head={self.head!r})"

    @property
    def kept_bytes(self) -> int:
        """Bytes of memory that are kept of the body."""
        kept_bytes = sum(map(len, self._held))
        if self._receiver is not None:
            kept_bytes += self._receiver.kept_bytes
        return kept_bytes

    @property
    def awaits_event(self) -> bool:
        """Whether the response is a stream that had no new event yet."""
        return self._receiver is None or self._receiver.awaits_event

    def discard(self) -> None:
        """Drops the bytes that are kept."""
        self._held.clear()
        if self._receiver is not None:
            self._receiver.discard()

    def receive_head(self, head: ResponseHead) -> None:
        """Handles the status and the headers."""
        self.head = head
        if self._receiver is not None:
            self._receiver.receive_head(head)
        if not self.arrival.done():
            self.arrival.set_result(None)

    def receive_data(self, chunk: bytes) -> "asyncio.Future[None] | None":
        """Holds a chunk of the body back, or passes it on.

        Returns:
            A future that is done when reading may continue, or None if
            reading need not pause.

        Raises:
            CodecError: The body cannot be a part of the response.
            OversizedError: The body exceeds the size that the receiver
                accepts.
        """
        if self._receiver is not None:
            return self._receiver.receive_data(chunk)
        self._held.append(chunk)
        return self._released

    def release(self, receiver: AnswerReceiver) -> None:
        """Passes what was held, and all that follows, to a receiver.

        Raises:
            CodecError: The body cannot be a part of the response.
            OversizedError: The body exceeds the size that the receiver
                accepts.
        """
        self._receiver = receiver
        held = b"".join(self._held)
        self._held.clear()
        if self.head is not None:
            receiver.receive_head(self.head)
        drained = receiver.receive_data(held) if held else None
        if drained is None:
            self._resume()
        else:
            drained.add_done_callback(lambda _: self._resume())

    def _resume(self) -> None:
        if not self._released.done():
            self._released.set_result(None)
