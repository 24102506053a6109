"""Service delivered per team: counted here, copied to peers and platform."""

import logging
from collections.abc import Callable, Iterable

import msgspec
from chervilwall import events
from chervilwall.errors import PlatformError, VersionConflictError
from chervilwall.ledger import UNCERTAIN, Ledger
from chervilwall.message import KeyedRow, Row, RowKey, RowsPush
from chervilwall.protocol import Platform
from chervilwall.report import COUNTERS_PREFIX
from chervilwall.slots import Running

LOG = logging.getLogger(__name__)
COPIES = 2
_ROWS = msgspec.msgpack.Decoder(tuple[KeyedRow, ...])


class Accounts:
    """Keep the fleet's totals as far as this router knows them.

    Args:
        incarnation (str): Identity under which this router counts.
        platform (Platform): Where totals are kept.
        on_change (Callable): Called when an own total grew.
    """

    def __init__(
        self,
        incarnation: str,
        platform: Platform,
        *,
        on_change: Callable[[], None],
    ) -> None:
        self._on_change = on_change
        self.ledger = Ledger(incarnation)
        self._platform = platform
        self._versions: dict[str, int] = {}
        self._written: dict[str, tuple[KeyedRow, ...]] = {}
        self._copied: dict[str, dict[RowKey, Row]] = {}

    def __repr__(self) -> str:
        return f"Accounts({self.ledger!r})"

    @property
    def incarnation(self) -> str:
        """Identity under which this router counts."""
        return self.ledger.incarnation

    def settle(
        self,
        team: str,
        service: str,
        cls: str,
        outcome: str,
        *,
        work: float = 0.0,
        worth: float = 0.0,
    ) -> KeyedRow:
        """Counts a settled request."""
        row = self.ledger.add(
            team, service, cls, outcome, work=work, worth=worth
        )
        self._on_change()
        return row

    def settle_lost(self, service: str, runs: Iterable[Running]) -> None:
        """Counts the attempts of a lost router as uncertain."""
        for run in runs:
            self.settle(run.team, service, run.cls, UNCERTAIN)
            events.log_event(
                LOG,
                events.SERVICE_UNCERTAIN,
                step="lose router",
                peer=run.router,
                team=run.team,
            )

    def merge(self, rows: Iterable[KeyedRow]) -> None:
        """Takes in copies of other routers' rows."""
        self.ledger.merge(rows)

    def copy_to(self, peer: str, send: Callable[[str, RowsPush], None]) -> None:
        """Sends a peer the own rows that changed since its last copy."""
        copied = self._copied.setdefault(peer, {})
        changed = tuple(
            item
            for item in self.ledger.own()
            if copied.get(item.key) != item.row
        )
        if changed:
            send(peer, RowsPush(changed))
            copied.update({item.key: item.row for item in changed})

    async def flush(self, incarnations: Iterable[str]) -> bool:
        """Writes the rows of incarnations to the platform.

        Args:
            incarnations (Iterable[str]): Own incarnation and lost ones.

        Returns:
            Whether all that is known of them is now kept.
        """
        kept = True
        for incarnation in incarnations:
            try:
                await self._flush_one(incarnation)
            except PlatformError as exc:
                self._versions.pop(incarnation, None)
                kept = False
                events.log_event(
                    LOG,
                    events.COUNTERS_WRITE_FAILED,
                    step=exc.step,
                    peer=exc.peer,
                    reason=exc.reason,
                )
        return kept

    async def _flush_one(self, incarnation: str) -> None:
        rows = self.ledger.rows_of(incarnation)
        if not rows or self._written.get(incarnation) == rows:
            return
        key = COUNTERS_PREFIX + incarnation
        if incarnation not in self._versions:
            rows = await self._read(key, incarnation)
        version = self._versions[incarnation]
        blob = msgspec.msgpack.encode(rows)
        try:
            new = await self._platform.put(key, blob, if_version=version)
        except VersionConflictError:
            rows = await self._read(key, incarnation)
            blob = msgspec.msgpack.encode(rows)
            version = self._versions[incarnation]
            new = await self._platform.put(key, blob, if_version=version)
        self._versions[incarnation] = new
        self._written[incarnation] = rows

    async def _read(self, key: str, incarnation: str) -> tuple[KeyedRow, ...]:
        kept = await self._platform.get(key)
        self._versions[incarnation] = kept.version if kept else 0
        if kept is not None:
            self.ledger.merge(decode_rows(kept.value))
        return self.ledger.rows_of(incarnation)


def decode_rows(value: bytes) -> tuple[KeyedRow, ...]:
    """Returns the rows in a counters object.

    Raises:
        PlatformError: The value does not decode.
    """
    try:
        return _ROWS.decode(value)
    except msgspec.MsgspecError as exc:
        raise PlatformError(str(exc), step="decode counters") from exc
