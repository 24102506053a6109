"""Reads of the platform's store that go on for as long as a router runs."""

import asyncio
import logging
import math
import random
from collections.abc import Callable
from typing import Protocol

from chervilwall import events
from chervilwall.errors import (
    PlatformError,
    RateLimitedError,
    RevisionExpiredError,
)
from chervilwall.protocol import ObjectList, ObjectStore
from chervilwall.registry import LAPSE_GRACE_S

LOG = logging.getLogger(__name__)
FIRST_PAUSE_S = 0.1
MOST_PAUSE_S = 1.0
# A watch that others make needless looks this often whether it still is.
REST_S = 0.25
# Wait of the first watch after a failure.
RETURN_WAIT_S = 0.2


class KindReader(Protocol):
    """Takes what a watch reads.

    `revision` is that up to which the store is known, also from peers; what
    is older must not be read again, or it would undo what is newer.

    Until the monotonic time `doubt_until`, registrations that are missing may
    have lapsed in an outage although their targets live; 0 for no doubt.
    """

    @property
    def revision(self) -> int:
        """Revision of the store up to which all is known, 0 if unknown."""
        ...

    def read_list(self, listing: ObjectList, *, doubt_until: float) -> None:
        """Takes all objects of the kind."""
        ...

    def read_changes(self, changes: ObjectList, *, doubt_until: float) -> None:
        """Takes changes."""
        ...


class StoreWatch:
    """Follow one kind of objects.

    Args:
        store (ObjectStore): The store.
        kind (str): The kind.
        reader (KindReader): Takes what is read.
        wait_s (float): Longest wait of one watch.
        clock (Callable): Returns the monotonic time.
        rng (random.Random): Spreads the routers' retries.
        wanted (Callable): Tells whether to go on; while not, others tell
            what they read.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        reader: KindReader,
        *,
        wait_s: float,
        clock: Callable[[], float],
        rng: random.Random,
        wanted: Callable[[], bool] = lambda: True,
    ) -> None:
        self._wanted = wanted
        self._store = store
        self._kind = kind
        self._reader = reader
        self._wait_s = wait_s
        self._clock = clock
        self._rng = rng
        self._revision: int | None = None
        self._failures = 0
        self._returned_at = -math.inf

    def __repr__(self) -> str:
        return f"StoreWatch(kind={self._kind!r}, revision={self._revision})"

    @property
    def revision(self) -> int:
        """Revision up to which the store was read, 0 for not yet."""
        return self._revision or 0

    @property
    def lost(self) -> bool:
        """Whether nothing was read yet or the last call failed."""
        return self._failures > 0 or self._revision is None

    async def run(self) -> None:
        """Follows the kind until it is cancelled."""
        while True:
            while self._revision is not None and not self._wanted():
                await asyncio.sleep(REST_S)
            try:
                await self._step()
            except RevisionExpiredError as exc:
                self._log(events.WATCH_RESTARTED, exc)
                self._revision = None
            except PlatformError as exc:
                await self._pause(exc)

    async def _step(self) -> None:
        if self._revision is None:
            listing = await self._store.list_objects(self._kind)
            self._note_answer()
            self._reader.read_list(listing, doubt_until=self._doubt_until())
            self._revision = listing.revision
            return
        # A short watch shows when the store is back; a long one would bring
        # its first answer with the next change.
        wait_s = RETURN_WAIT_S if self._failures else self._wait_s
        since = max(self._revision, self._reader.revision)
        changes = await self._store.watch_objects(self._kind, since, wait_s)
        self._note_answer()
        if self._reader.revision > since:
            # A peer has told more meanwhile; the next watch starts there.
            return
        self._reader.read_changes(changes, doubt_until=self._doubt_until())
        self._revision = max(self._revision, changes.revision)

    def _doubt_until(self) -> float:
        until = self._returned_at + LAPSE_GRACE_S
        return until if self._clock() < until else 0.0

    def _note_answer(self) -> None:
        if self._failures:
            self._returned_at = self._clock()
            events.log_event(
                LOG,
                events.PLATFORM_RECOVERED,
                kind=self._kind,
                failures=self._failures,
            )
        self._failures = 0

    async def _pause(self, exc: PlatformError) -> None:
        if not self._failures:
            self._log(events.PLATFORM_UNAVAILABLE, exc)
        self._failures += 1
        pause_s = min(MOST_PAUSE_S, FIRST_PAUSE_S * 2**self._failures)
        if isinstance(exc, RateLimitedError):
            pause_s = max(pause_s, exc.retry_after_s)
        await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))

    def _log(self, event: events.Event, exc: PlatformError) -> None:
        events.log_event(
            LOG,
            event,
            kind=self._kind,
            revision=self.revision,
            step=exc.step,
            peer=exc.peer,
            reason=exc.reason,
        )
