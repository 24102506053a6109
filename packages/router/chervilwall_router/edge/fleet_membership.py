"""Registration of a router in the platform's object store, and its totals."""

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
from chervilwall.protocol import ObjectStore, StoredObject
from chervilwall.service_totals import SERVICE_TOTALS_KIND, ServiceTotals
from chervilwall.untrusted import (
    MAX_NAME_CHARS,
    Name,
    is_ip_address,
    parse_address,
    shown,
)

LOG = logging.getLogger(__name__)
ROUTER_KIND = "routers"
KEY_KIND = "fleet-keys"
KEY_NAME = "main"
KEY_BYTES = 32
# Longest key of the digest that authenticates frames.
MAX_KEY_BYTES = 64
JOIN_RETRY_PAUSE_S = 0.3
# Rate at which all routers together register again after the store came back
# from an older copy.
REWRITES_PER_S = 100.0
# Totals are written in batches, as every call to the object store is billed.
TOTALS_INTERVAL_S = 20.0


class _Registration(msgspec.Struct):
    """Registration of a router, as stored."""

    datagrams: Name


class FleetMembership:
    """Register a router, discover the others and write its service totals.

    Args:
        store (ObjectStore): The object store.
        name (str): Name of the router.
        incarnation (int): Its incarnation, which differs with each start.
        datagrams (str): "IP:port" on which it receives datagrams.
        totals (ServiceTotals): Totals of the requests that this incarnation has
            served, by team and route.
        rng (random.Random): Source of the jitter of calls.
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
        self._keys: list[bytes] = []
        self._restored = asyncio.Event()
        self.addresses: dict[str, str] = {}
        # Whether join() has succeeded since the start.
        self.has_joined = False

    def __repr__(self) -> str:
        return f"FleetMembership(name={self._name!r})"

    async def join(self) -> FrameCodec:
        """Registers the router and reads the addresses of the others.

        Retries until all calls succeed. The fleet's key is created if it does
        not exist.

        Returns:
            Codec that authenticates frames with the fleet's key. It also
            accepts keys that were read before.
        """
        self._restored.clear()
        while True:
            try:
                key = await self._fleet_key()
                await self._register()
                await self._find_routers()
                self._keys = [key, *(k for k in self._keys if k != key)]
                self.has_joined = True
                return FrameCodec(self._keys)
            except (PlatformError, CodecError) as exc:
                events.log_event(
                    LOG,
                    events.PLATFORM_UNAVAILABLE,
                    step=exc.step,
                    reason=exc.reason,
                )
                await asyncio.sleep(
                    JOIN_RETRY_PAUSE_S * self._rng.uniform(1, 2)
                )

    def write_again(self) -> None:
        """Registers once more, as the store may have lost the registration.

        The totals are written again at the next interval.
        """
        self._totals.changed = True
        self._restored.set()

    async def wait_for_restore(self) -> None:
        """Waits until write_again() is called, and for this router's turn."""
        await self._restored.wait()
        spread_s = (len(self.addresses) + 1) / REWRITES_PER_S
        await asyncio.sleep(spread_s * self._rng.random())

    async def _fleet_key(self) -> bytes:
        stored = await self._store.read(KEY_KIND, KEY_NAME)
        if stored is None:
            known = self._keys or [secrets.token_bytes(KEY_BYTES)]
            new_key = msgspec.json.encode(known[0].hex())
            with contextlib.suppress(VersionConflictError):
                await self._store.create(KEY_KIND, KEY_NAME, new_key)
            stored = await self._store.read(KEY_KIND, KEY_NAME)
        if stored is None:
            raise PlatformError(
                "object fleet-keys/main is missing", step="read fleet key"
            )
        return _decode_key(stored.value)

    async def _register(self) -> None:
        spec = _Registration(self._datagrams)
        value = msgspec.json.encode(spec)
        await self._upsert(ROUTER_KIND, self._name, value)

    async def _upsert(self, kind: str, name: str, value: bytes) -> None:
        """Creates or replaces an object.

        The first write of an object creates it: most objects are new then, and
        trying to replace a missing one would be billed as a further call.
        """
        if (kind, name) not in self._written:
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
                address = _decode_address(item)
            except CodecError as exc:
                events.log_event(
                    LOG,
                    events.STORE_OBJECT_REFUSED,
                    kind=ROUTER_KIND,
                    name=item.name,
                    reason=exc.reason,
                )
                continue
            if item.name != self._name:
                self.addresses[item.name] = address

    async def run(self) -> None:
        """Writes the totals periodically until cancelled.

        The pause is TOTALS_INTERVAL_S seconds, with jitter.
        """
        while True:
            pause_s = TOTALS_INTERVAL_S * self._rng.uniform(0.8, 1.2)
            await asyncio.sleep(pause_s)
            await self.write_totals()

    async def write_totals(self) -> None:
        """Writes this incarnation's totals if they have changed.

        A write whose outcome is unknown is repeated. This is safe, as each
        write replaces the whole object and totals only grow.
        """
        if not self._totals.changed:
            return
        value = self._totals.encode()
        name = f"{self._name}.{self._incarnation:x}"
        self._totals.changed = False
        try:
            await self._upsert(SERVICE_TOTALS_KIND, name, value)
        except PlatformError as exc:
            self._totals.changed = True
            events.log_event(
                LOG, events.COUNTERS_WRITE_FAILED, step=exc.step, reason=exc
            )
            return
        events.log_event(
            LOG, events.SERVICE_WRITTEN, rows=len(self._totals.rows())
        )


def _decode_key(value: bytes) -> bytes:
    """Decodes the fleet's key.

    Raises:
        CodecError: The value is no key of a length that frames can use.
    """
    step = "read fleet key"
    try:
        key = bytes.fromhex(msgspec.json.decode(value, type=str))
    except (msgspec.MsgspecError, RecursionError, ValueError) as exc:
        reason = "object fleet-keys/main holds no key"
        raise CodecError(reason, step=step) from exc
    if not 0 < len(key) <= MAX_KEY_BYTES:
        reason = f"a key of {len(key)} bytes, expected 1 to {MAX_KEY_BYTES}"
        raise CodecError(reason, step=step)
    return key


def _decode_address(item: StoredObject) -> str:
    """Decodes the address at which a router receives datagrams.

    Raises:
        CodecError: The object does not match the schema, or no datagram can be
            sent to its address.
    """
    step = "read router"
    try:
        raw = msgspec.json.decode(item.value, type=_Registration)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise CodecError(str(exc), step=step, peer=item.name) from exc
    host, _ = parse_address(raw.datagrams, step=step, peer=item.name)
    if not is_ip_address(host) or len(item.name) > MAX_NAME_CHARS:
        reason = f"{shown(raw.datagrams)} is not in the form IP:PORT"
        raise CodecError(reason, step=step, peer=item.name)
    return raw.datagrams
