"""A lease with a fencing number, kept in one platform object."""

from typing import NamedTuple

import msgspec

LEASE_KEY = "leases/orders"
LEASE_TTL_S = 10.0
RENEW_INTERVAL_S = 3.0
LONGEST_ORDER_S = 5.0


class LeaseRecord(NamedTuple):
    """The value of the lease object.

    Args:
        holder (str): Router incarnation that holds it.
        ttl_s (float): Seconds for which it holds after it was written.
        renewal (int): Raised at each renewal.
        fencing (int): Raised each time the holder changes.
    """

    holder: str
    ttl_s: float
    renewal: int
    fencing: int


_DECODER = msgspec.msgpack.Decoder(LeaseRecord)


def encode_lease(record: LeaseRecord) -> bytes:
    """Returns the value of the lease object."""
    return msgspec.msgpack.encode(record)


def decode_lease(value: bytes) -> LeaseRecord:
    """Returns the record in a lease object."""
    return _DECODER.decode(value)


class LeaseView:
    """Decide when a lease may be taken, used or must be left alone.

    Clocks of hosts differ, so a lease of another holder counts as lapsed only
    when its object has stayed unchanged for its whole term on our own clock.

    Args:
        me (str): This router's incarnation.
        ttl_s (float): Term of a lease. Defaults to LEASE_TTL_S.
    """

    def __init__(self, me: str, *, ttl_s: float = LEASE_TTL_S) -> None:
        self._me = me
        self._ttl_s = ttl_s
        self._seen: LeaseRecord | None = None
        self._seen_version = 0
        self._seen_at = 0.0
        self._valid_until = 0.0
        self._acquired_at = 0.0

    def __repr__(self) -> str:
        return f"LeaseView({self._me!r}, fencing={self.fencing})"

    @property
    def fencing(self) -> int:
        """The newest fencing number seen."""
        return self._seen.fencing if self._seen else 0

    @property
    def version(self) -> int:
        """The platform version of the lease object last seen, 0 for none."""
        return self._seen_version

    def observe(
        self, record: LeaseRecord | None, version: int, now: float
    ) -> None:
        """Notes the lease object as read at a time."""
        if record == self._seen and version == self._seen_version:
            return
        self._seen = record
        self._seen_version = version
        self._seen_at = now

    def wants(self, now: float) -> LeaseRecord | None:
        """Returns the record to write in order to take or renew the lease."""
        seen = self._seen
        if seen is None:
            return LeaseRecord(self._me, self._ttl_s, 1, 1)
        if seen.holder == self._me:
            due = self._valid_until - self._ttl_s + RENEW_INTERVAL_S
            renewed = seen._replace(renewal=seen.renewal + 1)
            return renewed if now >= due else None
        if now - self._seen_at < seen.ttl_s:
            return None
        return LeaseRecord(
            self._me, self._ttl_s, seen.renewal + 1, seen.fencing + 1
        )

    def written(
        self, record: LeaseRecord, version: int, started_at: float
    ) -> None:
        """Notes that our record was written.

        Args:
            record (LeaseRecord): What was written.
            version (int): The platform version it got.
            started_at (float): Monotonic time before the write was sent, from
                which the term counts.
        """
        if self._seen is None or self._seen.fencing != record.fencing:
            self._acquired_at = started_at
        self._seen = record
        self._seen_version = version
        self._seen_at = started_at
        self._valid_until = started_at + self._ttl_s

    def holds(self, now: float) -> bool:
        """Tells whether the lease is ours now."""
        mine = self._seen is not None and self._seen.holder == self._me
        return mine and now < self._valid_until

    def may_order(self, now: float, *, target_checks: bool) -> bool:
        """Tells whether an order may be sent now.

        A target that ignores fencing numbers may still receive a late order
        of the last holder, so a new holder first waits out the longest order.

        Args:
            now (float): Monotonic time.
            target_checks (bool): Whether the target refuses old numbers.
        """
        if not self.holds(now + LONGEST_ORDER_S / 2):
            return False
        waited_out = now - self._acquired_at >= self._ttl_s + LONGEST_ORDER_S
        return target_checks or self.fencing == 1 or waited_out
