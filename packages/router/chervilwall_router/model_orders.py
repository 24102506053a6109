"""Orders to targets to load a model, sent by the router that holds a lease.

Each order carries the lease's fencing number, so that targets can refuse orders
of a previous holder.
"""

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

# Minimum interval in seconds at which a target that has loaded the right model
# is checked again.
CONFIRM_INTERVAL_S = 2.0
LOG = logging.getLogger(__name__)


class ModelOrders:
    """Make targets load the models that the configuration assigns to them.

    Args:
        incarnation (str): Incarnation of this router.
        platform (Platform): Object service that stores the lease.
        config (Callable): Returns the current configuration.
        loads_per_s (float): Maximum number of orders per second, which limits
            the load on the store of model weights.
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
        self._get_config = config
        self._loads_per_s = loads_per_s
        self._http = AsyncHTTPClient(force_instance=True, max_clients=32)
        self._next_order_at = 0.0
        self._holds_lease = False
        self._confirmed_at: dict[Target, float] = {}

    def __repr__(self) -> str:
        return f"ModelOrders({self.lease!r})"

    def close(self) -> None:
        """Closes idle connections."""
        self._http.close()

    async def step(self) -> None:
        """Acquires or renews the lease, then sends the orders that are due.

        Without a model in the configuration, the lease is not acquired or
        renewed either. Without the lease, no order is sent.
        """
        if not any(t.model for t in self._get_config().targets):
            return
        await self._refresh_lease()
        self._log_lease_change()
        if not self._holds_lease:
            return
        unconfirmed = self._unconfirmed_targets(time.monotonic())
        loads = await asyncio.gather(
            *(self._fetch_load(t) for t in unconfirmed)
        )
        for target, load in zip(unconfirmed, loads, strict=True):
            if load is None:
                continue
            if load.model == target.model:
                self._confirmed_at[target] = time.monotonic()
            else:
                await self._send_order(target)

    def _unconfirmed_targets(self, now: float) -> list[Target]:
        """Returns the targets whose model was not confirmed recently."""
        wanted = [t for t in self._get_config().targets if t.model]
        period_s = scaled_period_s(
            CONFIRM_INTERVAL_S, len(wanted), ORDER_POLLS_PER_S
        )
        self._confirmed_at = {
            t: at for t, at in self._confirmed_at.items() if now - at < period_s
        }
        return [t for t in wanted if t not in self._confirmed_at]

    async def release(self) -> None:
        """Releases the lease, if held, during a graceful shutdown."""
        if self.lease.is_held(time.monotonic()):
            version = self.lease.version
            await self._platform.delete(LEASE_KEY, if_version=version)

    async def _refresh_lease(self) -> None:
        stored = await self._platform.get(LEASE_KEY)
        now = time.monotonic()
        if stored is None:
            self.lease.observe(None, 0, now)
        else:
            record = decode_lease(stored.value)
            self.lease.observe(record, stored.version, now)
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

    def _log_lease_change(self) -> None:
        is_held = self.lease.is_held(time.monotonic())
        if is_held != self._holds_lease:
            event = events.LEASE_ACQUIRED if is_held else events.LEASE_LOST
            events.log_event(LOG, event, fencing=self.lease.fencing)
        self._holds_lease = is_held

    async def _fetch_load(self, target: Target) -> TargetLoad | None:
        url = f"http://{target.address}/load"
        try:
            response = await self._http.fetch(url, request_timeout=1.0)
            return msgspec.json.decode(response.body, type=TargetLoad)
        except (
            HTTPError,
            OSError,
            msgspec.MsgspecError,
            RecursionError,
        ):
            return None

    async def _send_order(self, target: Target) -> None:
        now = time.monotonic()
        checks = target.checks_fencing
        if now < self._next_order_at:
            return
        # Orders to a target that does not check the fencing number may have to
        # wait until none of the previous holder can still arrive.
        if not self.lease.may_send_order(now, target_checks=checks):
            return
        self._next_order_at = now + 1.0 / self._loads_per_s
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
