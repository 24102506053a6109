"""Pausing and giving up of responses of which too many bytes are kept."""

import logging
from collections.abc import Callable
from typing import Protocol

from chervilwall import events
from chervilwall.kept_bytes import KeptBytes, KeptResponse, Standing
from chervilwall.protocol import Metrics

LOG = logging.getLogger(__name__)


class ResponseReader(Protocol):
    """Read a response."""

    def hold(self) -> None:
        """Pauses reading until release() is called."""
        ...

    def release(self) -> None:
        """Ends hold()."""
        ...

    def give_up(self, reason: str) -> None:
        """Fails the response and drops what is kept of it."""
        ...


class KeptResponses:
    """Keep the bytes of all responses together below a limit.

    Args:
        limit_bytes (int): Limit on the bytes that are kept.
        metrics (Metrics): Counts the responses paused and given up.
        clock (Callable): Returns the monotonic time in seconds.
    """

    def __init__(
        self, limit_bytes: int, metrics: Metrics, clock: Callable[[], float]
    ) -> None:
        self._bytes = KeptBytes(limit_bytes)
        self._metrics = metrics
        self._clock = clock
        self._readers: dict[KeptResponse, ResponseReader] = {}

    def __repr__(self) -> str:
        return f"KeptResponses(total_bytes={self._bytes.total_bytes})"

    @property
    def total_bytes(self) -> int:
        """Bytes that are kept for all responses."""
        return self._bytes.total_bytes

    def update(
        self,
        response: KeptResponse,
        reader: ResponseReader,
        kept_bytes: int,
        standing: Standing,
    ) -> None:
        """Records what is kept for a response.

        Args:
            response (KeptResponse): The response.
            reader (ResponseReader): Reads it.
            kept_bytes (int): Bytes that are kept for it now.
            standing (Standing): How near it is to being no answer.
        """
        if response.is_given_up:
            return
        self._readers[response] = reader
        if self._bytes.update(response, kept_bytes, standing):
            self._relieve()

    def keep(self, response: KeptResponse, kept_bytes: int) -> None:
        """Records what is kept for a response that is complete."""
        if self._bytes.update(response, kept_bytes, Standing.COMPLETE):
            self._relieve()

    def remove(self, response: KeptResponse) -> None:
        """Forgets a response that has ended."""
        self._readers.pop(response, None)
        if self._bytes.remove(response):
            self._relieve()

    def _relieve(self) -> None:
        total = self._bytes.total_bytes
        relief = self._bytes.decide(self._clock())
        for response in relief.given_up:
            reader = self._readers.pop(response)
            self._metrics.count("responses_given_up")
            events.log_event(
                LOG,
                events.RESPONSE_GIVEN_UP,
                target=response.target,
                standing=response.standing.name.lower(),
                kept_bytes=response.kept_bytes,
                total_bytes=total,
                limit_bytes=self._bytes.limit_bytes,
            )
            reader.give_up(
                f"given up, as {total} bytes are kept for all responses"
            )
        for response in relief.paused:
            self._metrics.count("responses_paused")
            self._readers[response].hold()
        for response in relief.resumed:
            self._readers[response].release()
