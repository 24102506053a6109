"""Records in the platform's store of the crashes behind refused requests."""

import asyncio
import logging
import random
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from chervilwall import events
from chervilwall.crash_ledger import QuarantineChange
from chervilwall.crash_updates import CrashUpdate, CrashUpdates
from chervilwall.errors import PlatformError, VersionConflictError
from chervilwall.protocol import ObjectList, ObjectStore, StoredObject
from chervilwall.registry import TargetStart

LOG = logging.getLogger(__name__)
CRASH_KIND = "crash-records"
RETRY_S = 1.0
# Who did not write a record removes it when its writer has not done so.
OTHERS_AFTER_S = 2.0


class _StoredCrash(msgspec.Struct):
    target: str
    born_ms: int
    address: str
    at_ms: int
    proven: bool
    seen_by: str


class _Record(msgspec.Struct):
    crashes: list[_StoredCrash]


class StoredCrashParts(NamedTuple):
    """What the records are made of.

    Args:
        store (ObjectStore): The store.
        name (str): This router's name.
        take_news (Callable): Takes who tells of crashes, and the crashes.
        wall (Callable): Returns the time of day in seconds.
        clock (Callable): Returns the monotonic time.
        rng (random.Random): Spreads the routers' calls.
    """

    store: ObjectStore
    name: str
    take_news: Callable[[str, CrashUpdates], None]
    wall: Callable[[], float]
    clock: Callable[[], float]
    rng: random.Random


class _Pending(NamedTuple):
    """A record to write, or to remove if it is None."""

    record: _Record | None
    due_at: float


class StoredCrashes:
    """Keep what refused requests are refused for, and read what others kept.

    Args:
        parts (StoredCrashParts): What the records are made of.
    """

    def __init__(self, parts: StoredCrashParts) -> None:
        self._parts = parts
        self._stored: set[str] = set()
        self._written: set[str] = set()
        self._pending: dict[str, _Pending] = {}
        self._changed = asyncio.Event()
        # Records are joined, so an older one read again undoes nothing.
        self.revision = 0

    def __repr__(self) -> str:
        return f"StoredCrashes(stored={len(self._stored)})"

    def read_list(self, listing: ObjectList, *, doubt_until: float) -> None:
        """Takes all records."""
        del doubt_until
        for item in listing.objects:
            self._read(item)

    def read_changes(self, changes: ObjectList, *, doubt_until: float) -> None:
        """Takes changes."""
        self.read_list(changes, doubt_until=doubt_until)

    def note_change(self, change: QuarantineChange) -> None:
        """Takes in that a request is refused from now on, or let go."""
        name = change.fingerprint.hex()
        crashes = change.status.crashes
        now = self._parts.clock()
        if change.status.is_quarantined:
            # Of those that know, one who saw a crash writes.
            if any(c.seen_by == self._parts.name for c in crashes):
                self._pending[name] = _Pending(self._record(change), now)
        elif name in self._stored or name in self._pending:
            pause_s = 0.0
            if name not in self._written:
                pause_s = OTHERS_AFTER_S * self._parts.rng.uniform(0.5, 1.5)
            self._pending[name] = _Pending(None, now + pause_s)
        self._changed.set()

    async def keep(self) -> None:
        """Writes and removes records until it is cancelled."""
        while True:
            if not self._pending:
                self._changed.clear()
                await self._changed.wait()
            now = self._parts.clock()
            due = [n for n, p in self._pending.items() if p.due_at <= now]
            for name in due:
                await self._settle(name)
            if not due:
                await asyncio.sleep(RETRY_S * self._parts.rng.uniform(0.1, 0.3))

    async def _settle(self, name: str) -> None:
        pending = self._pending.pop(name)
        try:
            await self._write(name, pending.record)
        except PlatformError as exc:
            events.log_event(
                LOG,
                events.CRASH_RECORD_WRITE_FAILED,
                fingerprint=name,
                step=exc.step,
                reason=exc.reason,
            )
            due_at = self._parts.clock() + RETRY_S
            self._pending.setdefault(name, pending._replace(due_at=due_at))

    async def _write(self, name: str, record: _Record | None) -> None:
        store = self._parts.store
        if record is None:
            if name in self._stored:
                await store.remove(CRASH_KIND, name)
            self._stored.discard(name)
            self._written.discard(name)
            return
        value = msgspec.json.encode(record)
        try:
            await store.create(CRASH_KIND, name, value)
        except VersionConflictError:
            await store.replace(CRASH_KIND, name, value, revision=None)
        self._stored.add(name)
        self._written.add(name)

    def _record(self, change: QuarantineChange) -> _Record:
        parts = self._parts
        born = parts.wall() - parts.clock()
        return _Record(
            [
                _StoredCrash(
                    c.start.target_id,
                    c.start.born_ms,
                    c.start.address,
                    round((born + c.at) * 1000),
                    c.proven,
                    c.seen_by,
                )
                for c in change.status.crashes
            ]
        )

    def _read(self, item: StoredObject) -> None:
        if item.deleted:
            self._stored.discard(item.name)
            return
        try:
            record = msgspec.json.decode(item.value, type=_Record)
            fingerprint = bytes.fromhex(item.name)
        except (msgspec.MsgspecError, ValueError) as exc:
            events.log_event(
                LOG, events.CRASH_RECORD_REFUSED, name=item.name, reason=exc
            )
            return
        self._stored.add(item.name)
        now = self._parts.wall()
        updates = tuple(
            CrashUpdate(
                TargetStart(c.target, c.born_ms, c.address),
                max(0.0, now - c.at_ms / 1000),
                c.proven,
                c.seen_by,
                (fingerprint,),
            )
            for c in record.crashes
        )
        self._parts.take_news("store", CrashUpdates(updates))
