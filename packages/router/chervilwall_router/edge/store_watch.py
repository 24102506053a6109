"""Continuous watches of the platform's object store.

Designed for outages of the object store: calls are retried with exponential
backoff, and after an outage registrations that have disappeared are treated as
lapsed for a while, because their targets may still be running.
"""

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
    UnreadablePageError,
    WatchCutError,
)
from chervilwall.protocol import ObjectList, ObjectStore
from chervilwall.registry import LAPSE_GRACE_S
from chervilwall.store_era import StoreRevision

LOG = logging.getLogger(__name__)
# The pause after the first failure is twice this. Each further failure doubles
# the pause; jitter then shortens it by up to a half.
RETRY_BASE_S = 0.1
MAX_RETRY_PAUSE_S = 1.0
# Interval at which a disabled watch checks whether it is enabled again.
DISABLED_POLL_S = 0.25
# Longest wait of a watch after a failed call. A watch returns only after a
# change or at the end of its wait, and until it returns the outage counts as
# ongoing, so the wait is short.
RECOVERY_WAIT_S = 0.2
# Time over which the routers spread their lists after the store has dropped its
# history, or came back from an older copy.
RESTART_SPREAD_S = 0.3


class ObjectHandler(Protocol):
    """Receive the objects that a watch reads.

    Both methods have a parameter `lapse_grace_until`. Until that monotonic
    time, a missing registration may only have lapsed in an outage while its
    target still runs. 0 means that a missing object has been removed.
    """

    @property
    def revision(self) -> StoreRevision:
        """Revision up to which the objects are known, (0, 0) if unknown.

        It includes what peers have read. Changes up to this revision must not
        be applied again, as they would overwrite newer ones.
        """
        ...

    def names(self) -> frozenset[str]:
        """Returns the names of the objects that the store is taken to hold."""
        ...

    def apply_list(
        self, listing: ObjectList, *, lapse_grace_until: float
    ) -> None:
        """Applies a list of all objects of the kind.

        Args:
            listing (ObjectList): The objects.
            lapse_grace_until (float): Monotonic time until which missing
                objects may have lapsed, or 0.
        """
        ...

    def apply_changes(
        self, changes: ObjectList, *, lapse_grace_until: float
    ) -> None:
        """Applies changes.

        Args:
            changes (ObjectList): Changed and deleted objects.
            lapse_grace_until (float): Monotonic time until which deleted
                objects may have lapsed, or 0.
        """
        ...


class StoreWatch:
    """Watch all objects of one kind and pass them to a handler.

    Args:
        store (ObjectStore): The object store.
        kind (str): Kind of the objects.
        handler (ObjectHandler): Receives the objects.
        wait_s (float): Longest wait of one watch call in seconds.
        clock (Callable): Returns the monotonic time in seconds.
        rng (random.Random): Source of the jitter of retries.
        enabled (Callable): Returns whether to watch. While disabled, the
            handler gets its updates from peers. Defaults to always enabled.
        check_interval_s (float | None): Interval in seconds at which a waiting
            watch is checked by reads that may be stale. A response that was
            lost shows otherwise only at the end of the wait. Defaults to None,
            no checks.

    Attributes:
        kind (str): Kind of the objects.
    """

    def __init__(
        self,
        store: ObjectStore,
        kind: str,
        handler: ObjectHandler,
        *,
        wait_s: float,
        clock: Callable[[], float],
        rng: random.Random,
        enabled: Callable[[], bool] = lambda: True,
        check_interval_s: float | None = None,
    ) -> None:
        self._enabled = enabled
        self._check_interval_s = check_interval_s
        self._store = store
        self.kind = kind
        self._handler = handler
        self._wait_s = wait_s
        self._clock = clock
        self._rng = rng
        self._revision: StoreRevision | None = None
        self._has_read = False
        self._is_restarted = False
        self._call: asyncio.Task[ObjectList] | None = None
        self._failures = 0
        # Whether the last watch was cut off and no call was answered since.
        self._is_cut = False
        # Whether a check of the current watch failed.
        self._has_failed_check = False
        # Whether the last check failed while the watch goes on.
        self._is_silent = False
        self._recovered_at = -math.inf

    def __repr__(self) -> str:
        return f"StoreWatch(kind={self.kind!r}, revision={self._revision})"

    @property
    def revision(self) -> StoreRevision:
        """Revision up to which this watch has read, (0, 0) before a list."""
        return self._revision or StoreRevision()

    @property
    def unavailable(self) -> bool:
        """Whether nothing has been read yet or the last call failed.

        A check is such a call: a watch that is cut off without a reset fails
        only at the end of its wait.
        """
        return self._failures > 0 or self._is_silent or not self._has_read

    async def run(self) -> None:
        """Watches until cancelled, beginning with a list of all objects."""
        self._revision = None
        while True:
            while self._has_read and not self._enabled():
                await asyncio.sleep(DISABLED_POLL_S)
            try:
                await self._poll()
            except RevisionExpiredError as exc:
                self._log(events.WATCH_RESTARTED, exc)
                self._revision = None
                await self._spread_restarts()
            except UnreadablePageError as exc:
                # A list skips the revisions of a page that stays unreadable.
                self._revision = None
                await self._back_off(exc)
            except WatchCutError as exc:
                # The next call, which is short, shows whether it is an outage.
                if self._failures or self._is_cut:
                    await self._back_off(exc)
                self._is_cut = True
            except PlatformError as exc:
                await self._back_off(exc)

    def restart(self) -> None:
        """Reads all objects again, as the store came back from an older copy.

        A watch that is waiting is given up: what it waits for may have another
        meaning by now. While disabled, the objects are read once it is enabled
        again.
        """
        self._recovered_at = self._clock()
        self._is_restarted = self._has_read
        self._revision = None
        if self._call is not None:
            self._call.cancel()

    async def _poll(self) -> None:
        if self._revision is None:
            listing = await self._store.list_objects(self.kind)
            grace_until = self._record_success()
            self._handler.apply_list(listing, lapse_grace_until=grace_until)
            self._revision = listing.position
            self._has_read = True
            self._log_restart(listing)
            return
        wait_s = self._wait_s
        if self._failures:
            wait_s = RECOVERY_WAIT_S
        elif self._is_cut:
            wait_s = 0.0
        since = max(self._revision, self._handler.revision)
        changes = await self._watch(since, wait_s)
        if changes is None or self._revision is None:
            await self._spread_restarts()
            return
        grace_until = self._record_success()
        if self._handler.revision > since:
            # A peer reported a newer revision during the call, so these changes
            # may be outdated; the next watch starts at the newer one.
            return
        self._handler.apply_changes(changes, lapse_grace_until=grace_until)
        self._revision = max(self._revision, changes.position)

    def _log_restart(self, listing: ObjectList) -> None:
        if self._is_restarted:
            self._is_restarted = False
            events.log_event(
                LOG,
                events.STORE_READ_AGAIN,
                kind=self.kind,
                revision=listing.position,
                objects=len(listing.objects),
            )

    async def _watch(
        self, since: StoreRevision, wait_s: float
    ) -> ObjectList | None:
        """Returns the changes, or None if the watch has to begin again.

        It was restarted meanwhile, or a response to it was lost. What is
        missing then may have lapsed in an outage that only the checks noticed.
        """
        self._has_failed_check = False
        call = self._store.watch_objects(self.kind, since.number, wait_s)
        self._call = asyncio.get_running_loop().create_task(call)
        task = self._call
        try:
            while not task.done():
                await asyncio.wait((task,), timeout=self._check_interval_s)
                if task.done() or not await self._has_missed_change(since):
                    continue
                # The response may be on its way.
                await asyncio.wait((task,), timeout=RECOVERY_WAIT_S)
                if not task.done():
                    events.log_event(
                        LOG, events.WATCH_LOST, kind=self.kind, revision=since
                    )
                    if self._has_failed_check:
                        self._recovered_at = self._clock()
                    return None
        finally:
            task.cancel()
            self._call = None
            self._is_silent = False
        return None if task.cancelled() else task.result()

    async def _has_missed_change(self, since: StoreRevision) -> bool:
        """Returns whether the store holds a change that a watch waits for."""
        try:
            listing = await self._store.list_objects(self.kind, stale=True)
        except PlatformError as exc:
            LOG.debug("the check of a watch failed: %s", exc)
            self._has_failed_check = self._is_silent = True
            return False
        self._is_silent = False
        known = max(since, self._handler.revision)
        if any(item.position > known for item in listing.objects):
            return True
        listed = {item.name for item in listing.objects}
        has_removed = not self._handler.names() <= listed
        return has_removed and listing.position > known

    async def _spread_restarts(self) -> None:
        """Waits, so that all routers do not read at the same moment."""
        await asyncio.sleep(RESTART_SPREAD_S * self._rng.random())

    def _record_success(self) -> float:
        """Records that a call was answered.

        Returns:
            Monotonic time until which what it does not name may have lapsed, or
            0. A watch that was cut off may have waited through an outage, so
            that holds for the first call after it.
        """
        was_cut, self._is_cut = self._is_cut, False
        if self._failures:
            self._recovered_at = self._clock()
            events.log_event(
                LOG,
                events.PLATFORM_RECOVERED,
                kind=self.kind,
                failures=self._failures,
            )
        self._failures = 0
        now = self._clock()
        until = now + LAPSE_GRACE_S
        if not was_cut:
            until = self._recovered_at + LAPSE_GRACE_S
        return until if now < until else 0.0

    async def _back_off(self, exc: PlatformError) -> None:
        if not self._failures:
            self._log(events.PLATFORM_UNAVAILABLE, exc)
        self._failures += 1
        pause_s = min(MAX_RETRY_PAUSE_S, RETRY_BASE_S * 2**self._failures)
        if isinstance(exc, RateLimitedError):
            pause_s = max(pause_s, exc.retry_after_s)
        await asyncio.sleep(pause_s * self._rng.uniform(0.5, 1.0))

    def _log(self, event: events.Event, exc: PlatformError) -> None:
        events.log_event(
            LOG,
            event,
            kind=self.kind,
            revision=self.revision,
            step=exc.step,
            peer=exc.peer,
            reason=exc.reason,
        )
