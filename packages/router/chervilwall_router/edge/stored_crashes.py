"""Storage of the crashes attributed to quarantined requests.

The records are kept in the object store, so that routers that start later
refuse the same requests.
"""

import asyncio
import logging
import random
from collections import OrderedDict
from collections.abc import Callable
from typing import Annotated, NamedTuple, Protocol

import msgspec
from chervilwall import events
from chervilwall.crash_updates import CrashUpdate, CrashUpdates
from chervilwall.errors import PlatformError, VersionConflictError
from chervilwall.fingerprints import PART_FINGERPRINT_BYTES
from chervilwall.protocol import ObjectList, ObjectStore, StoredObject
from chervilwall.quarantine_status import QuarantineChange
from chervilwall.registry import TargetStart
from chervilwall.store_era import StoreRevision
from chervilwall.untrusted import Name, UnixMs

LOG = logging.getLogger(__name__)
CRASH_KIND = "crash-records"
RETRY_INTERVAL_S = 1.0
# Time over which records are written again after the store came back from an
# older copy.
REWRITE_SPREAD_S = 1.0
MAX_REMOVED_RECORDS = 4096
# Limit on the crashes in one record.
MAX_CRASHES = 1024
# A router that did not write a record waits about this long for its writer to
# remove it, or to write it again, and then does so itself.
FOREIGN_DELAY_S = 2.0


class _StoredCrash(msgspec.Struct):
    """A crash as written to the object store."""

    target: Name
    born_ms: UnixMs
    address: Name
    at_ms: UnixMs
    proven: bool
    seen_by: Name


class _Record(msgspec.Struct):
    """Value of a record; its name is the fingerprint of the request in hex."""

    crashes: Annotated[list[_StoredCrash], msgspec.Meta(max_length=MAX_CRASHES)]

    def starts(self) -> set[TargetStart]:
        """Returns the starts of targets that the crashes ended."""
        return {
            TargetStart(c.target, c.born_ms, c.address) for c in self.crashes
        }


_RECORD_DECODER = msgspec.json.Decoder(_Record)


class UpdateHandler(Protocol):
    """Function that applies crash updates."""

    def __call__(
        self,
        peer: str,
        updates: CrashUpdates,
        *,
        are_quarantined: bool = False,
    ) -> None:
        """Applies updates.

        Args:
            peer (str): Source of the updates.
            updates (CrashUpdates): The updates.
            are_quarantined (bool): Whether they name only requests and parts
                that the fleet has quarantined. Defaults to False.
        """
        ...


class StoredCrashParts(NamedTuple):
    """Dependencies of StoredCrashes.

    Args:
        store (ObjectStore): Client of the object store.
        name (str): Name of this router.
        apply_updates (UpdateHandler): Called with the updates that were read.
        wall_clock (Callable): Returns the Unix time in seconds.
        clock (Callable): Returns the monotonic time in seconds.
        rng (random.Random): Source of the jitter that spreads the calls of
            different routers.
    """

    store: ObjectStore
    name: str
    apply_updates: UpdateHandler
    wall_clock: Callable[[], float]
    clock: Callable[[], float]
    rng: random.Random


class _PendingWrite(NamedTuple):
    """A write or removal of a record.

    Args:
        record (_Record | None): The record to write, None to remove it.
        due_at (float): Monotonic time at which it is due.
        replaces (bool): Whether it replaces a record that is stored already.
            Defaults to True.
    """

    record: _Record | None
    due_at: float
    replaces: bool = True


class _RemovedRecord(NamedTuple):
    """A record that was removed.

    Args:
        record (_Record): The record.
        is_removed_here (bool): Whether this router removed it.
    """

    record: _Record
    is_removed_here: bool


class StoredCrashes:
    """Store the crashes of quarantined requests, and read those of others.

    Args:
        parts (StoredCrashParts): Dependencies.
    """

    def __init__(self, parts: StoredCrashParts) -> None:
        self._parts = parts
        self._records: dict[str, _Record] = {}
        # Era of the latest list.
        self._era = 0
        # Names of the records that this router wrote.
        self._written_here: set[str] = set()
        # Names of all requests that are quarantined.
        self._quarantined: set[str] = set()
        # Removed records, in case an older copy of the store has them again;
        # the oldest first.
        self._removed: OrderedDict[str, _RemovedRecord] = OrderedDict()
        self._pending: dict[str, _PendingWrite] = {}
        self._changed = asyncio.Event()
        # Always 0: a watch need not skip old changes, as records are merged
        # into the ledger and reading one again has no effect.
        self.revision = StoreRevision()

    def __repr__(self) -> str:
        return f"StoredCrashes(records={len(self._records)})"

    def names(self) -> frozenset[str]:
        """Returns no names, as waiting watches of records are not checked."""
        return frozenset()

    def apply_list(
        self, listing: ObjectList, *, lapse_grace_until: float
    ) -> None:
        """Applies all records of a listing.

        After the store came back from an older copy, records of other routers
        that it lacks are written again, unless they are read meanwhile.

        Args:
            listing (ObjectList): All records.
            lapse_grace_until (float): Not used, as a missing record has no
                other effect.
        """
        del lapse_grace_until
        if self._era and listing.era > self._era:
            self._write_missing({item.name for item in listing.objects})
        self._era = listing.era
        self._apply_all(listing)

    def apply_changes(
        self, changes: ObjectList, *, lapse_grace_until: float
    ) -> None:
        """Applies changed records.

        Args:
            changes (ObjectList): Records that were written or deleted. The
                crashes of a deleted one stay in the ledger.
            lapse_grace_until (float): Not used.
        """
        del lapse_grace_until
        self._apply_all(changes)

    def _apply_all(self, items: ObjectList) -> None:
        for item in items.objects:
            self._apply(item)

    def record_change(self, change: QuarantineChange) -> None:
        """Schedules the write or removal of the record of a request.

        Args:
            change (QuarantineChange): Request that was quarantined or released,
                or that crashed another target.
        """
        name = change.fingerprint.hex()
        crashes = change.status.crashes
        now = self._parts.clock()
        if change.status.is_quarantined:
            self._quarantined.add(name)
            # Only routers that observed one of the crashes write the record.
            if any(c.seen_by == self._parts.name for c in crashes):
                self._pending[name] = _PendingWrite(
                    self._make_record(change), now
                )
            self._changed.set()
            return
        self._quarantined.discard(name)
        if name in self._records or name in self._pending:
            self._schedule_removal(name, name in self._written_here)

    def write_again(self) -> None:
        """Writes all records of this router, as the store may have lost them.

        Records that were removed are removed again once they are read.
        """
        now = self._parts.clock()
        for name in self._written_here & self._quarantined:
            delay_s = REWRITE_SPREAD_S * self._parts.rng.random()
            pending = _PendingWrite(self._records[name], now + delay_s)
            self._pending.setdefault(name, pending)
        self._changed.set()

    def _write_missing(self, listed: set[str]) -> None:
        now = self._parts.clock()
        for name in (self._records.keys() & self._quarantined) - listed:
            due_at = now + self._foreign_delay_s()
            record = self._records[name]
            self._pending.setdefault(
                name, _PendingWrite(record, due_at, replaces=False)
            )
        self._changed.set()

    def _schedule_removal(self, name: str, is_own: bool) -> None:
        delay_s = 0.0 if is_own else self._foreign_delay_s()
        due_at = self._parts.clock() + delay_s
        self._pending[name] = _PendingWrite(None, due_at)
        self._changed.set()

    def _foreign_delay_s(self) -> float:
        return FOREIGN_DELAY_S * self._parts.rng.uniform(0.5, 1.5)

    async def run(self) -> None:
        """Writes and removes records as they become due, until cancelled."""
        while True:
            if not self._pending:
                self._changed.clear()
                await self._changed.wait()
            now = self._parts.clock()
            due_names = [n for n, p in self._pending.items() if p.due_at <= now]
            for name in due_names:
                await self._flush(name)
            if not due_names:
                # Wait a fraction of RETRY_INTERVAL_S, with jitter.
                await asyncio.sleep(
                    RETRY_INTERVAL_S * self._parts.rng.uniform(0.1, 0.3)
                )

    async def _flush(self, name: str) -> None:
        pending = self._pending.pop(name, None)
        if pending is None:
            return
        try:
            if pending.record is None:
                await self._remove(name)
            else:
                await self._write(name, pending.record, pending.replaces)
        except PlatformError as exc:
            events.log_event(
                LOG,
                events.CRASH_RECORD_WRITE_FAILED,
                fingerprint=name,
                step=exc.step,
                reason=exc.reason,
            )
            self._retry_later(name, pending)
        except Exception:
            self._retry_later(name, pending)
            raise

    def _retry_later(self, name: str, pending: _PendingWrite) -> None:
        due_at = self._parts.clock() + RETRY_INTERVAL_S
        self._pending.setdefault(name, pending._replace(due_at=due_at))

    async def _remove(self, name: str) -> None:
        record = self._records.get(name)
        if record is None:
            return
        await self._parts.store.remove(CRASH_KIND, name)
        self._record_removed(name, record, is_removed_here=True)

    async def _write(self, name: str, record: _Record, replaces: bool) -> None:
        store = self._parts.store
        value = msgspec.json.encode(record)
        try:
            await store.create(CRASH_KIND, name, value)
        except VersionConflictError:
            if not replaces:
                return
            await store.replace(CRASH_KIND, name, value, revision=None)
        self._records[name] = record
        self._written_here.add(name)
        self._removed.pop(name, None)

    def _record_removed(
        self, name: str, record: _Record, *, is_removed_here: bool
    ) -> None:
        self._records.pop(name, None)
        self._written_here.discard(name)
        self._removed[name] = _RemovedRecord(record, is_removed_here)
        while len(self._removed) > MAX_REMOVED_RECORDS:
            self._removed.popitem(last=False)

    def _make_record(self, change: QuarantineChange) -> _Record:
        parts = self._parts
        wall_offset_s = parts.wall_clock() - parts.clock()
        return _Record(
            [
                _StoredCrash(
                    c.start.target_id,
                    c.start.born_ms,
                    c.start.address,
                    round((wall_offset_s + c.at) * 1000),
                    c.proven,
                    c.seen_by,
                )
                for c in change.status.crashes
            ]
        )

    def _apply(self, item: StoredObject) -> None:
        if item.deleted:
            known = self._records.get(item.name)
            if known is not None:
                self._record_removed(item.name, known, is_removed_here=False)
            return
        try:
            record = _RECORD_DECODER.decode(item.value)
            fingerprint = _decode_fingerprint(item.name)
        except (msgspec.MsgspecError, RecursionError, ValueError) as exc:
            events.log_event(
                LOG, events.CRASH_RECORD_REFUSED, name=item.name, reason=exc
            )
            return
        self._drop_needless_rewrite(item.name, record)
        self._records[item.name] = record
        removed = self._removed.get(item.name)
        if removed is not None and record.starts() <= removed.record.starts():
            self._schedule_removal(item.name, removed.is_removed_here)
            return
        self._removed.pop(item.name, None)
        now = self._parts.wall_clock()
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
        self._parts.apply_updates(
            "store", CrashUpdates(updates), are_quarantined=True
        )

    def _drop_needless_rewrite(self, name: str, stored: _Record) -> None:
        known, pending = self._records.get(name), self._pending.get(name)
        if known is None or pending is None or pending.record is not known:
            return
        if known.starts() <= stored.starts():
            del self._pending[name]


def _decode_fingerprint(name: str) -> bytes:
    """Decodes the name of a record.

    Raises:
        ValueError: It is not hexadecimal, or longer than any fingerprint.
    """
    fingerprint = bytes.fromhex(name)
    if not 0 < len(fingerprint) <= PART_FINGERPRINT_BYTES:
        raise ValueError(f"a fingerprint of {len(fingerprint)} bytes")
    return fingerprint
