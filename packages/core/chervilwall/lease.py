"""A lease with a fencing number, stored in one platform object.

Only the router that holds the lease sends orders. An order instructs a target
to load a model.
"""

from typing import NamedTuple

import msgspec

LEASE_KEY = "leases/orders"
LEASE_TTL_S = 10.0
RENEW_INTERVAL_S = 3.0
# Timeout of an order.
ORDER_TIMEOUT_S = 5.0


class LeaseRecord(NamedTuple):
    """The value of the lease object.

    Args:
        holder (str): Router incarnation that holds the lease.
        ttl_s (float): Seconds after the write at which the lease expires.
        renewal (int): Incremented at each write.
        fencing (int): Incremented each time the holder changes.
    """

    holder: str
    ttl_s: float
    renewal: int
    fencing: int


_DECODER = msgspec.msgpack.Decoder(LeaseRecord)


def encode_lease(record: LeaseRecord) -> bytes:
    """Encodes a record as the value of the lease object."""
    return msgspec.msgpack.encode(record)


def decode_lease(value: bytes) -> LeaseRecord:
    """Decodes the value of the lease object.

    Raises:
        msgspec.DecodeError: The value cannot be decoded.
    """
    return _DECODER.decode(value)


class LeaseView:
    """Decide whether this router may take, renew or use the lease.

    The clocks of hosts differ, so the lease of another holder counts as expired
    only after its object has stayed unchanged for its full term as measured by
    the local clock.

    Args:
        incarnation (str): Incarnation of this router.
        ttl_s (float): Term of the lease in seconds. Defaults to LEASE_TTL_S.
    """

    def __init__(self, incarnation: str, *, ttl_s: float = LEASE_TTL_S) -> None:
        self._incarnation = incarnation
        self._ttl_s = ttl_s
        self._observed: LeaseRecord | None = None
        self._observed_version = 0
        self._observed_at = 0.0
        self._valid_until = 0.0
        self._acquired_at = 0.0

    def __repr__(self) -> str:
        return f"LeaseView({self._incarnation!r}, fencing={self.fencing})"

    @property
    def fencing(self) -> int:
        """The newest fencing number observed, 0 for none."""
        return self._observed.fencing if self._observed else 0

    @property
    def version(self) -> int:
        """The platform version of the lease object, 0 for none."""
        return self._observed_version

    def observe(
        self, record: LeaseRecord | None, version: int, now: float
    ) -> None:
        """Records the lease object as read from the platform.

        Args:
            record (LeaseRecord | None): The record, None if there is no object.
            version (int): Platform version of the object.
            now (float): Monotonic time at which it was read.
        """
        if record == self._observed and version == self._observed_version:
            return
        self._observed = record
        self._observed_version = version
        self._observed_at = now

    def next_record(self, now: float) -> LeaseRecord | None:
        """Returns the record to write in order to take or renew the lease.

        Returns None if the lease of another router has not expired, or if this
        router holds the lease and no renewal is due.
        """
        observed = self._observed
        if observed is None:
            return LeaseRecord(self._incarnation, self._ttl_s, 1, 1)
        if observed.holder == self._incarnation:
            due = self._valid_until - self._ttl_s + RENEW_INTERVAL_S
            renewed = observed._replace(renewal=observed.renewal + 1)
            return renewed if now >= due else None
        if now - self._observed_at < observed.ttl_s:
            return None
        return LeaseRecord(
            self._incarnation,
            self._ttl_s,
            observed.renewal + 1,
            observed.fencing + 1,
        )

    def record_written(
        self, record: LeaseRecord, version: int, started_at: float
    ) -> None:
        """Records that this router wrote the lease object.

        Args:
            record (LeaseRecord): The record written.
            version (int): Platform version of the written object.
            started_at (float): Monotonic time before the write was sent, at
                which the term starts.
        """
        if self._observed is None or self._observed.fencing != record.fencing:
            self._acquired_at = started_at
        self._observed = record
        self._observed_version = version
        self._observed_at = started_at
        self._valid_until = started_at + self._ttl_s

    def is_held(self, now: float) -> bool:
        """Returns whether this router holds the lease."""
        is_holder = (
            self._observed is not None
            and self._observed.holder == self._incarnation
        )
        return is_holder and now < self._valid_until

    def may_send_order(self, now: float, *, target_checks: bool) -> bool:
        """Returns whether an order may be sent to a target.

        The lease must remain valid for at least half of `ORDER_TIMEOUT_S`.

        A target that does not check fencing numbers may still receive a late
        order from the previous holder. A new holder therefore waits for one
        term plus `ORDER_TIMEOUT_S` before it sends to such a target. The first
        holder, with fencing number 1, has no predecessor and does not wait.

        Args:
            now (float): Monotonic time.
            target_checks (bool): Whether the target checks fencing numbers and
                refuses orders with an old one.
        """
        if not self.is_held(now + ORDER_TIMEOUT_S / 2):
            return False
        wait_is_over = now - self._acquired_at >= self._ttl_s + ORDER_TIMEOUT_S
        return target_checks or self.fencing == 1 or wait_is_over
