"""Orders to targets: which model to load, under a lease with fencing."""

import asyncio
import logging
import time
from collections.abc import Callable

import msgspec
from chervilwall import events
from chervilwall.config import Config, Target
from chervilwall.errors import VersionConflictError
from chervilwall.lease import (
    LEASE_KEY,
    ORDER_TIMEOUT_S,
    LeaseView,
    decode_lease,
    encode_lease,
)
from chervilwall.pacing import ORDER_POLLS_PER_S, scaled_period_s
from chervilwall.protocol import Platform
from tornado.httpclient import AsyncHTTPClient, HTTPError

from chervilwall_router.cell_host import TargetLoad

CONFIRM_S = 2.0
LOG = logging.getLogger(__name__)


class OrderKeeper:
    """Bring targets to the models that the configuration asks for.

    Args:
        incarnation (str): This router's incarnation.
        platform (Platform): Where the lease is kept.
        config (Callable): Returns the configuration in force.
        loads_per_s (float): Most orders a second, for the weight store.
    """

    def __init__(
        self,
        incarnation: str,
        platform: Platform,
        config: Callable[[], Config],
        *,
        loads_per_s: float,
    ) -> None:
        self.lease = LeaseView(incarnation)
        self._platform = platform
        self._config = config
        self._loads_per_s = loads_per_s
        self._http = AsyncHTTPClient(force_instance=True, max_clients=32)
        self._next_load_at = 0.0
        self._held = False
        self._confirmed: dict[Target, float] = {}

    def __repr__(self) -> str:
        return f"OrderKeeper({self.lease!r})"

    def close(self) -> None:
        """Closes idle connections."""
        self._http.close()

    async def step(self) -> None:
        """Takes or renews the lease, then sends the orders that are due."""
        if not any(t.model for t in self._config().targets):
            return
        await self._refresh_lease()
        self._note_holding()
        if not self._held:
            return
        wanted = self._due(time.monotonic())
        loads = await asyncio.gather(*(self._load(t) for t in wanted))
        for target, load in zip(wanted, loads, strict=True):
            if load is None:
                continue
            if load.model == target.model:
                self._confirmed[target] = time.monotonic()
            else:
                await self._order(target)

    def _due(self, now: float) -> list[Target]:
        """Returns the targets whose model is wrong or not confirmed lately."""
        wanted = [t for t in self._config().targets if t.model]
        period_s = scaled_period_s(CONFIRM_S, len(wanted), ORDER_POLLS_PER_S)
        self._confirmed = {
            t: at for t, at in self._confirmed.items() if now - at < period_s
        }
        return [t for t in wanted if t not in self._confirmed]

    async def release(self) -> None:
        """Gives the lease up at a planned stop."""
        if self.lease.is_held(time.monotonic()):
            version = self.lease.version
            await self._platform.delete(LEASE_KEY, if_version=version)

    async def _refresh_lease(self) -> None:
        found = await self._platform.get(LEASE_KEY)
        now = time.monotonic()
        if found is None:
            self.lease.observe(None, 0, now)
        else:
            record = decode_lease(found.value)
            self.lease.observe(record, found.version, now)
        next_record = self.lease.next_record(now)
        if next_record is None:
            return
        started = time.monotonic()
        try:
            version = await self._platform.put(
                LEASE_KEY,
                encode_lease(next_record),
                if_version=self.lease.version,
            )
        except VersionConflictError:
            return
        self.lease.record_written(next_record, version, started)

    def _note_holding(self) -> None:
        is_held = self.lease.is_held(time.monotonic())
        if is_held != self._held:
            event = events.LEASE_ACQUIRED if is_held else events.LEASE_LOST
            events.log_event(LOG, event, fencing=self.lease.fencing)
        self._held = is_held

    async def _load(self, target: Target) -> TargetLoad | None:
        url = f"http://{target.address}/load"
        try:
            response = await self._http.fetch(url, request_timeout=1.0)
            return msgspec.json.decode(response.body, type=TargetLoad)
        except (HTTPError, OSError, msgspec.MsgspecError):
            return None

    async def _order(self, target: Target) -> None:
        now = time.monotonic()
        checks = target.checks_fencing
        if now < self._next_load_at:
            return
        if not self.lease.may_send_order(now, target_checks=checks):
            return
        self._next_load_at = now + 1.0 / self._loads_per_s
        order = {"fencing": self.lease.fencing, "model": target.model}
        try:
            await self._http.fetch(
                f"http://{target.address}/orders",
                method="POST",
                body=msgspec.json.encode(order),
                request_timeout=ORDER_TIMEOUT_S,
            )
        except (HTTPError, OSError) as exc:
            events.log_event(
                LOG,
                events.ORDER_FAILED,
                step="order",
                peer=target.name,
                reason=exc,
            )
            return
        events.log_event(
            LOG, events.ORDER_SENT, peer=target.name, model=target.model
        )
