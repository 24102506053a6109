"""Storage and exchange of the software versions that began streams.

Designed for the loss of any number of routers, also of all at once. Which
versions serve is agreed in the object store before the first stream begins at
one of them. While more than one of them may have begun streams, the scheduler
writes their origins several times a second, and the routers that relay them
tell their peers; at all other times nothing is written or told.
"""

import asyncio
import itertools
import logging
import math
import random
import time
from collections.abc import Callable, Collection, Iterator
from typing import NamedTuple

import msgspec
from chervilwall import events
from chervilwall.edge_messages import StreamOriginsUpdate
from chervilwall.errors import (
    MissingObjectError,
    PlatformError,
    VersionConflictError,
)
from chervilwall.protocol import ObjectStore, StoredObject
from chervilwall.service_versions import (
    AGREE_TIMEOUT_S,
    AgreedVersions,
    Predecessor,
)
from chervilwall.stream_origins import (
    StreamDemand,
    StreamOrigin,
    join_ids,
    split_ids,
)
from chervilwall.stream_versions import StreamVersions

LOG = logging.getLogger(__name__)
# Kind of the objects that hold the versions of a service, by its name.
VERSIONS_KIND = "service-versions"
# Kind of the objects that hold the origins of streams, in batches.
ORIGINS_KIND = "stream-origins"
# Shortest time for which streams are added to a batch. Each write repeats what
# the batch holds already.
MIN_BATCH_S = 0.5
# Batches of a router, after which the oldest one is replaced.
MAX_BATCHES = 128
# Streams in a batch, so that it fits an object of the store.
MAX_BATCH_STREAMS = 20_000
# Interval of writes while the versions of a service are mixed.
WRITE_INTERVAL_S = 0.1
# Interval at which a router checks whether versions have left, otherwise.
IDLE_INTERVAL_S = 1.0
MAX_RETRY_PAUSE_S = 1.0
# Time for which a router that placed a stream manages its service's records.
MANAGED_TTL_S = 5.0
# Age up to which what was read counts as up to date.
CONFIRM_TTL_S = 0.5
# Pause after which a stream that is not known is looked for once more: a write
# interval, and the time of a slow write.
RECHECK_S = 0.2
# Longest wait for the object store until what is known has to do.
CONFIRM_TIMEOUT_S = 0.5
# Streams in one message, so that it fits a datagram.
MAX_REPORTED_STREAMS = 100


class _StoredVersions(msgspec.Struct):
    """Value of an object of VERSIONS_KIND."""

    versions: list[str]
    # Era of the store in which it was written.
    era: int


class _StoredOrigins(msgspec.Struct):
    """Value of an object of ORIGINS_KIND: a batch of one router's streams."""

    router: str
    # Number of the batch, which ascends over the starts of the router.
    batch: int
    # Concatenated ids of streams in base64, by service and version.
    services: dict[str, dict[str, bytes]]


class _Batch(NamedTuple):
    """Streams that this router writes together.

    Args:
        number (int): Number of the batch.
        begun_at (float): Monotonic time of its first write.
        origins (dict): The streams.
    """

    number: int
    begun_at: float
    origins: dict[bytes, StreamOrigin]


class StreamRecordParts(NamedTuple):
    """Dependencies of StreamRecords.

    Args:
        store (ObjectStore): Client of the object store.
        name (str): Name of this router.
        is_first_start (bool): Whether the whole system starts for the first
            time.
        streams (StreamVersions): What this router knows.
        on_agreed (Callable): Called when streams may begin at further versions.
        scheduled_services (Callable): Returns the services with resumable
            streams that this router schedules.
        has_peer_majority (Callable): Returns whether this router currently
            receives reports from most of the others.
        clock (Callable): Returns the monotonic time in seconds.
        rng (random.Random): Source of the jitter of retries.
    """

    store: ObjectStore
    name: str
    is_first_start: bool
    streams: StreamVersions
    on_agreed: Callable[[], None]
    scheduled_services: Callable[[], Collection[str]]
    has_peer_majority: Callable[[], bool]
    clock: Callable[[], float]
    rng: random.Random


class StreamRecords:
    """Agree on versions and keep the origins of streams in the object store.

    Args:
        parts (StreamRecordParts): Dependencies.
    """

    def __init__(self, parts: StreamRecordParts) -> None:
        self._parts = parts
        self._streams = parts.streams
        # Monotonic time at which this router last placed a stream, by service.
        self._used_at: dict[str, float] = {}
        # Monotonic time until which streams wait for the first read.
        self._waits_until: float | None = None
        self._loaded = asyncio.Event()
        self._loaded_at = -math.inf
        self._load_task: asyncio.Task[None] | None = None
        self._changed = asyncio.Event()
        self._batch: _Batch | None = None

    def __repr__(self) -> str:
        return f"StreamRecords(services={len(self._used_at)})"

    async def wait_for_versions(self, service: str) -> None:
        """Waits until the versions of a service are known.

        Waits for AGREE_TIMEOUT_S at most, in all and not for each stream. What
        is known then has to do.

        Args:
            service (str): Service of a stream that this router is to place.
        """
        now = self._parts.clock()
        if service not in self._managed_services():
            self._changed.set()
        self._used_at[service] = now
        services = self._streams.services
        if (
            services.is_known(service)
            or services.sole_version(service, now) is not None
        ):
            return
        if self._waits_until is None:
            self._waits_until = now + AGREE_TIMEOUT_S
        try:
            async with asyncio.timeout(self._waits_until - now):
                await self._loaded.wait()
        except TimeoutError:
            return
        if not services.is_known(service):
            self._learn_missing(service)

    async def confirm_versions(
        self, service: str, stream: StreamDemand
    ) -> bool:
        """Reads the versions and origins again, unless that was just done.

        A router that is cut off from the others does not hear of further
        versions and streams. If the object store does not answer, what is known
        counts as up to date while most of the others report.

        While versions are mixed, a stream that is still not known is looked for
        once more after a moment: the router that placed it may be about to
        write it.

        Args:
            service (str): Service of the stream.
            stream (StreamDemand): A stream of which nothing is recorded.
        """
        now = self._parts.clock()
        if not await self._read_again(not_before=now - CONFIRM_TTL_S):
            return self._parts.has_peer_majority()
        if not (
            self._streams.services.are_mixed(service)
            and self._streams.is_unknown(service, stream)
        ):
            return True
        await asyncio.sleep(RECHECK_S)
        await self._read_again(not_before=now + WRITE_INTERVAL_S)
        return True

    async def _read_again(self, *, not_before: float) -> bool:
        """Reads the stored records, and returns whether that succeeded.

        Args:
            not_before (float): Monotonic time; what was read since then is
                recent enough.
        """
        if self._loaded_at >= not_before:
            return True
        if self._load_task is None or self._load_task.done():
            loop = asyncio.get_running_loop()
            self._load_task = loop.create_task(self._load())
            self._load_task.add_done_callback(_retrieve_exception)
        try:
            async with asyncio.timeout(CONFIRM_TIMEOUT_S):
                await asyncio.shield(self._load_task)
        except (PlatformError, TimeoutError):
            return False
        return True

    def record_router_lost(self) -> None:
        """Concludes nothing from the absence of a record from now on."""
        self._streams.services.record_router_lost()

    def check_versions(self) -> None:
        """Checks the versions now, as the registered targets changed."""
        self._changed.set()

    def write_again(self) -> None:
        """Writes everything again, as the store may have lost it."""
        self._streams.services.agree_again(self._parts.clock())
        self._batch = None
        self._changed.set()

    def messages(self) -> Iterator[StreamOriginsUpdate]:
        """Generates the messages for peers; none unless versions are mixed."""
        services = self._streams.services
        managed = self._managed_services()
        for service in services.mixed_services():
            agreed = services.agreed(service)
            if agreed is not None and service in managed:
                versions = tuple(sorted(agreed.versions))
                yield StreamOriginsUpdate(
                    service, versions, predecessor=self._predecessor(service)
                )
            unreported = self._streams.take_unreported(service)
            for version, ids in unreported.items():
                for start in range(0, len(ids), MAX_REPORTED_STREAMS):
                    batch = join_ids(ids[start : start + MAX_REPORTED_STREAMS])
                    yield StreamOriginsUpdate(service, (), ((version, batch),))

    def _predecessor(self, service: str) -> tuple[str, float] | None:
        now = self._parts.clock()
        known = self._streams.services.predecessor(service, now)
        return (known.version, known.until - now) if known else None

    def receive(self, update: StreamOriginsUpdate) -> None:
        """Records what a peer states."""
        now = self._parts.clock()
        if update.predecessor:
            version, left_s = update.predecessor
            self._streams.services.learn_predecessor(
                update.service, Predecessor(version, now + left_s)
            )
        if update.versions:
            self._streams.services.learn_from_peer(
                update.service, update.versions, now
            )
        # The report of a first token may be lost, so the scheduler also stores
        # streams that it learns of from its peers.
        is_scheduler = update.service in self._parts.scheduled_services()
        for version, joined in update.origins:
            self._streams.record_known(
                update.service,
                version,
                split_ids(joined),
                now,
                is_written=not is_scheduler,
            )

    async def run(self) -> None:
        """Reads and writes as needed until cancelled."""
        failures = 0
        while True:
            await self._wait_for_work()
            try:
                await self._synchronize()
                failures = 0
            except PlatformError as exc:
                if not failures:
                    events.log_event(
                        LOG,
                        events.STREAM_RECORDS_FAILED,
                        step=exc.step,
                        reason=exc.reason,
                    )
                failures += 1
                self._changed.set()
            pause_s = min(MAX_RETRY_PAUSE_S, WRITE_INTERVAL_S * 2**failures)
            await asyncio.sleep(pause_s * self._parts.rng.uniform(0.8, 1.0))

    async def _wait_for_work(self) -> None:
        services = self._streams.services
        if any(services.are_mixed(s) for s in self._managed_services()):
            return
        try:
            async with asyncio.timeout(IDLE_INTERVAL_S):
                await self._changed.wait()
        except TimeoutError:
            return

    def _managed_services(self) -> list[str]:
        """Returns the services whose streams this router places.

        These are the ones that it schedules, and those of which it has placed a
        stream recently, as their scheduler did not answer.
        """
        now = self._parts.clock()
        placed = {
            s for s, at in self._used_at.items() if now - at <= MANAGED_TTL_S
        }
        return sorted(placed.union(self._parts.scheduled_services()))

    async def _synchronize(self) -> None:
        self._changed.clear()
        self._streams.expire(self._parts.clock())
        services = self._managed_services()
        if services and not self._loaded.is_set():
            await self._load()
        for service in services:
            if not self._streams.services.is_known(service):
                self._learn_missing(service)
            await self._agree(service)
        if any(self._streams.services.are_mixed(s) for s in services):
            await self._write_origins()
        else:
            self._streams.take_unwritten()
        if not self._streams.services.mixed_services():
            self._batch = None

    async def _load(self) -> None:
        """Reads the versions of all services and, if mixed, the origins."""
        store, services = self._parts.store, self._streams.services
        is_first = not self._loaded.is_set()
        started_at = self._parts.clock()
        listing = await store.list_objects(VERSIONS_KIND)
        now = self._parts.clock()
        for item in listing.objects:
            self._apply_versions(item, now, is_first=is_first)
        for service in self._managed_services():
            if not services.is_known(service):
                self._learn_missing(service)
        if services.mixed_services():
            origins = await store.list_objects(ORIGINS_KIND)
            self._apply_origins(origins.objects)
        self._loaded_at = started_at
        self._loaded.set()

    def _learn_missing(self, service: str) -> None:
        """Records that the store holds no versions of a service.

        Unless the system starts for the first time, an older copy of the store
        may have lost them.
        """
        is_known = self._streams.services.is_known(service)
        self._streams.services.learn(
            service,
            AgreedVersions(frozenset()),
            self._parts.clock(),
            is_outdated=not is_known and not self._parts.is_first_start,
        )

    def _apply_versions(
        self, item: StoredObject, now: float, *, is_first: bool
    ) -> None:
        try:
            stored = msgspec.json.decode(item.value, type=_StoredVersions)
        except (msgspec.MsgspecError, RecursionError) as exc:
            self._refuse(VERSIONS_KIND, item.name, exc)
            stored = _StoredVersions([], 0)
        is_outdated = is_first and stored.era < self._parts.store.era.number
        self._streams.services.learn(
            item.name,
            AgreedVersions(frozenset(stored.versions), item.position),
            now,
            is_outdated=is_outdated,
        )
        if is_first and not is_outdated:
            self._streams.services.inherit(item.name, now)

    def _apply_origins(self, items: tuple[StoredObject, ...]) -> None:
        """Records the origins that routers have written.

        A router's later batch counts. Of a stream that two routers have placed
        at different versions, it is not known which of them began it.
        """
        batches = [b for b in map(self._decode_batch, items) if b is not None]
        by_router: dict[str, dict[bytes, StreamOrigin]] = {}
        for batch in sorted(batches, key=lambda b: b.batch):
            by_router.setdefault(batch.router, {}).update(_decode_ids(batch))
        found: dict[bytes, set[StreamOrigin]] = {}
        for origins in by_router.values():
            for known_id, origin in origins.items():
                found.setdefault(known_id, set()).add(origin)
        now = self._parts.clock()
        for known_id, candidates in found.items():
            if known_id in self._streams.origins or len(candidates) > 1:
                continue
            (origin,) = candidates
            self._streams.record_known(
                origin.service,
                origin.version,
                [known_id],
                now,
                is_written=True,
            )

    def _decode_batch(self, item: StoredObject) -> _StoredOrigins | None:
        try:
            return msgspec.json.decode(item.value, type=_StoredOrigins)
        except (msgspec.MsgspecError, RecursionError) as exc:
            self._refuse(ORIGINS_KIND, item.name, exc)
            return None

    def _refuse(self, kind: str, name: str, exc: Exception) -> None:
        events.log_event(
            LOG,
            events.STREAM_RECORD_REFUSED,
            kind=kind,
            name=name,
            reason=exc,
        )

    async def _agree(self, service: str) -> None:
        """Writes the versions of a service if they have changed.

        The origins of running streams are written first: once a further version
        is agreed, its absence no longer tells where they began.
        """
        services = self._streams.services
        proposed = services.proposal(service, self._parts.clock())
        known = services.agreed(service)
        if proposed is None or known is None:
            return
        if len(proposed) > 1:
            await self._write_origins()
        stored = _StoredVersions(sorted(proposed), self._parts.store.era.number)
        value = msgspec.json.encode(stored)
        store = self._parts.store
        try:
            if known.revision is None:
                item = await store.create(VERSIONS_KIND, service, value)
            else:
                item = await store.replace(
                    VERSIONS_KIND, service, value, revision=known.revision
                )
        except (VersionConflictError, MissingObjectError):
            await self._read_versions(service)
            return
        services.learn(
            service,
            AgreedVersions(proposed, item.position),
            self._parts.clock(),
        )
        events.log_event(
            LOG,
            events.VERSIONS_AGREED,
            service=service,
            versions=",".join(sorted(proposed)),
            before=",".join(sorted(known.versions)),
        )
        self._parts.on_agreed()
        if len(proposed) == 1 and not services.mixed_services():
            await self._remove_origins()

    async def _read_versions(self, service: str) -> None:
        """Reads the versions that another router has written."""
        item = await self._parts.store.read(VERSIONS_KIND, service)
        if item is None:
            self._learn_missing(service)
        else:
            self._apply_versions(item, self._parts.clock(), is_first=False)
        self._changed.set()

    async def _write_origins(self) -> None:
        """Writes the origins of the streams that became known since.

        The first write of a router holds all that it knows.
        """
        now = self._parts.clock()
        added = self._streams.take_unwritten()
        if self._batch is None:
            self._batch = _Batch(time.time_ns(), now, {})
            added = self._streams.origins.all()
        elif not added:
            return
        elif now - self._batch.begun_at > self._batch_s():
            self._batch = _Batch(self._batch.number + 1, now, {})
        try:
            await self._add_to_batches(added, self._batch)
        except PlatformError:
            self._batch = None
            raise

    async def _add_to_batches(
        self, added: dict[bytes, StreamOrigin], batch: _Batch
    ) -> None:
        """Writes streams to a batch, and to further ones if it is full."""
        left = iter(added.items())
        while part := dict(itertools.islice(left, MAX_BATCH_STREAMS)):
            if len(batch.origins) + len(part) > MAX_BATCH_STREAMS:
                batch = _Batch(batch.number + 1, self._parts.clock(), {})
            batch.origins.update(part)
            self._batch = batch
            await self._put_batch(batch)

    async def _put_batch(self, batch: _Batch) -> None:
        store = self._parts.store
        name = f"{self._parts.name}.{batch.number % MAX_BATCHES}"
        value = _encode_batch(self._parts.name, batch)
        try:
            await store.replace(ORIGINS_KIND, name, value, revision=None)
        except MissingObjectError:
            await store.create(ORIGINS_KIND, name, value)

    def _batch_s(self) -> float:
        """Returns the seconds for which streams are added to a batch.

        A batch is replaced only when its streams are not resumed any more.
        """
        retention_s = max(
            map(self._streams.retention_s, self._managed_services()),
            default=0.0,
        )
        return max(MIN_BATCH_S, 2.0 * retention_s / MAX_BATCHES)

    async def _remove_origins(self) -> None:
        """Removes the origins that routers have written, as one version serves.

        Which objects are there is read first: routers that wrote some may be
        gone.
        """
        self._batch = None
        listing = await self._parts.store.list_objects(ORIGINS_KIND)
        for item in listing.objects:
            await self._parts.store.remove(ORIGINS_KIND, item.name)


def _retrieve_exception(task: "asyncio.Task[None]") -> None:
    """Marks the exception of a task as seen that nobody may wait for now."""
    if not task.cancelled():
        task.exception()


def _encode_batch(router: str, batch: _Batch) -> bytes:
    services: dict[str, dict[str, list[bytes]]] = {}
    for known_id, origin in batch.origins.items():
        by_version = services.setdefault(origin.service, {})
        by_version.setdefault(origin.version, []).append(known_id)
    stored = _StoredOrigins(
        router,
        batch.number,
        {
            service: {version: join_ids(ids) for version, ids in found.items()}
            for service, found in services.items()
        },
    )
    return msgspec.json.encode(stored)


def _decode_ids(stored: _StoredOrigins) -> dict[bytes, StreamOrigin]:
    return {
        known_id: StreamOrigin(service, version)
        for service, by_version in stored.services.items()
        for version, joined in by_version.items()
        for known_id in split_ids(joined)
    }
