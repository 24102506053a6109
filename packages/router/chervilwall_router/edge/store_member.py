"""What a router keeps in the platform's store."""

import asyncio
import contextlib
import logging
import random
import secrets

import msgspec
from chervilwall import events
from chervilwall.codec import FrameCodec
from chervilwall.errors import (
    CodecError,
    MissingObjectError,
    PlatformError,
    VersionConflictError,
)
from chervilwall.protocol import ObjectStore
from chervilwall.service_totals import SERVICE_TOTALS_KIND, ServiceTotals

LOG = logging.getLogger(__name__)
ROUTER_KIND = "routers"
KEY_KIND = "fleet-keys"
KEY_NAME = "main"
KEY_BYTES = 32
SETUP_PAUSE_S = 0.3
# Every call to the store is paid for, so totals are written in batches.
TOTALS_PERIOD_S = 20.0


class _Registration(msgspec.Struct):
    datagrams: str


class StoreMember:
    """Make a router known, find the others, and write its totals.

    Args:
        store (ObjectStore): The store.
        name (str): This router's name.
        incarnation (int): Its incarnation.
        datagrams (str): Its address for reports.
        totals (ServiceTotals): Service that it delivered.
        rng (random.Random): Spreads the routers' calls.
    """

    def __init__(
        self,
        store: ObjectStore,
        name: str,
        incarnation: int,
        datagrams: str,
        totals: ServiceTotals,
        rng: random.Random,
    ) -> None:
        self._store = store
        self._name = name
        self._incarnation = incarnation
        self._datagrams = datagrams
        self._totals = totals
        self._rng = rng
        self._written: set[tuple[str, str]] = set()
        self.addresses: dict[str, str] = {}

    def __repr__(self) -> str:
        return f"StoreMember(name={self._name!r})"

    async def join(self) -> FrameCodec:
        """Makes the router known; returns the codec of the fleet's key."""
        while True:
            try:
                key = await self._fleet_key()
                await self._register()
                await self._find_routers()
                return FrameCodec([key])
            except (PlatformError, CodecError) as exc:
                events.log_event(
                    LOG,
                    events.PLATFORM_UNAVAILABLE,
                    step=exc.step,
                    reason=exc.reason,
                )
                await asyncio.sleep(SETUP_PAUSE_S * self._rng.uniform(1, 2))

    async def _fleet_key(self) -> bytes:
        found = await self._store.read(KEY_KIND, KEY_NAME)
        if found is None:
            made = msgspec.json.encode(secrets.token_hex(KEY_BYTES))
            with contextlib.suppress(VersionConflictError):
                await self._store.create(KEY_KIND, KEY_NAME, made)
            found = await self._store.read(KEY_KIND, KEY_NAME)
        if found is None:
            raise PlatformError("no key", step="read fleet key")
        return bytes.fromhex(msgspec.json.decode(found.value, type=str))

    async def _register(self) -> None:
        spec = _Registration(self._datagrams)
        value = msgspec.json.encode(spec)
        await self._put(ROUTER_KIND, self._name, value)

    async def _put(self, kind: str, name: str, value: bytes) -> None:
        """Writes an object, whether it exists or not."""
        if (kind, name) not in self._written:
            # Each call is paid for, and most objects are new.
            try:
                await self._store.create(kind, name, value)
            except VersionConflictError:
                await self._store.replace(kind, name, value, revision=None)
            self._written.add((kind, name))
            return
        try:
            await self._store.replace(kind, name, value, revision=None)
        except MissingObjectError:
            await self._store.create(kind, name, value)

    async def _find_routers(self) -> None:
        listing = await self._store.list_objects(ROUTER_KIND)
        for item in listing.objects:
            try:
                found = msgspec.json.decode(item.value, type=_Registration)
            except msgspec.MsgspecError as exc:
                events.log_event(
                    LOG, events.FRAME_REFUSED, peer=item.name, reason=exc
                )
                continue
            if item.name != self._name:
                self.addresses[item.name] = found.datagrams

    async def keep_totals(self) -> None:
        """Writes the service of this incarnation now and then, without end."""
        while True:
            pause_s = TOTALS_PERIOD_S * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(pause_s)
            await self.write_totals()

    async def write_totals(self) -> None:
        """Writes the service of this incarnation, if it has changed.

        Totals only grow, so a write that happened unseen does no harm.
        """
        if not self._totals.changed:
            return
        value = self._totals.encode()
        name = f"{self._name}.{self._incarnation:x}"
        self._totals.changed = False
        try:
            await self._put(SERVICE_TOTALS_KIND, name, value)
        except PlatformError as exc:
            self._totals.changed = True
            events.log_event(
                LOG, events.COUNTERS_WRITE_FAILED, step=exc.step, reason=exc
            )
            return
        events.log_event(
            LOG, events.SERVICE_WRITTEN, rows=len(self._totals.rows())
        )
