"""Service delivered per team: counted here, copied to peers and platform."""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable

from chervilwall import events
from chervilwall.archive import ARCHIVE_KEY, decode_archive
from chervilwall.cell_messages import UsageKey, UsagePush, UsageRow, UsageTotals
from chervilwall.errors import (
    AlreadyArchivedError,
    PlatformError,
    VersionConflictError,
)
from chervilwall.ledger import UNCERTAIN, Ledger
from chervilwall.protocol import Platform
from chervilwall.report import COUNTERS_PREFIX, decode_rows, encode_rows
from chervilwall.slots import RunningAttempt

LOG = logging.getLogger(__name__)
COPIES = 2
TRANSIENT_TTL_S = 120.0
RENAME_MARK = "+"


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
        self._written: dict[str, tuple[UsageRow, ...]] = {}
        self._backed: set[str] = set()
        self._transient: OrderedDict[UsageKey, float] = OrderedDict()
        self._copied: dict[str, dict[UsageKey, UsageTotals]] = {}

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
    ) -> UsageRow:
        """Counts a settled request."""
        row = self.ledger.add(
            team, service, cls, outcome, work=work, worth=worth
        )
        self._on_change()
        return row

    def settle_lost(
        self, incarnation: str, service: str, runs: Iterable[RunningAttempt]
    ) -> None:
        """Counts the attempts of a lost router as uncertain."""
        for run in runs:
            self.ledger.add(
                run.team, service, run.cls, UNCERTAIN, lost=incarnation
            )
            events.log_event(
                LOG,
                events.LOST_ROUTER_OUTCOME_UNKNOWN,
                step="lose router",
                peer=run.router,
                team=run.team,
            )

    def keep_copy(self, incarnation: str, rows: Iterable[UsageRow]) -> None:
        """Takes in rows that a router copies here for safe keeping."""
        self._backed.add(incarnation)
        self.ledger.merge(rows)

    def note_total(self, total: UsageRow, now: float) -> None:
        """Takes in a row that came with the end of an attempt.

        It is dropped once its router has had time to write it, so that a
        scheduler does not gather the rows of the whole fleet.
        """
        self.ledger.merge([total])
        self._transient[total.key] = now
        self._transient.move_to_end(total.key)

    def prune(self, now: float) -> None:
        """Drops passing rows that are old."""
        while self._transient:
            key, at = next(iter(self._transient.items()))
            if now - at < TRANSIENT_TTL_S:
                return
            del self._transient[key]
            kept = key.incarnation in self._backed
            if not kept and key.incarnation != self.incarnation:
                self.ledger.forget_row(key)

    def copy_to(
        self, peer: str, send: Callable[[str, UsagePush], None]
    ) -> None:
        """Sends a peer the own rows that changed since its last copy."""
        copied = self._copied.setdefault(peer, {})
        changed = tuple(
            item
            for item in self.ledger.own_rows()
            if copied.get(item.key) != item.totals
        )
        if changed:
            send(peer, UsagePush(changed))
            copied.update({item.key: item.totals for item in changed})

    async def flush(self, lost: Iterable[str] = ()) -> bool:
        """Writes own rows and those of lost routers to the platform.

        Args:
            lost (Iterable[str]): Incarnations of routers that are gone; their
                rows are forgotten here once they are written.

        Returns:
            Whether all that is known is now kept.
        """
        kept = True
        for incarnation in (self.incarnation, *lost):
            try:
                await self._flush_one(incarnation)
            except AlreadyArchivedError:
                self._drop_archived(incarnation)
                continue
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
                continue
            if not incarnation.endswith(self.incarnation):
                self._forget(incarnation)
        return kept

    async def _is_archived(self, incarnation: str) -> bool:
        found = await self._platform.get(ARCHIVE_KEY)
        archive = decode_archive(found.value if found else None)
        return incarnation in archive.archived

    def _drop_archived(self, incarnation: str) -> None:
        """Forgets rows that the archive holds.

        A router that was given up for an hour and lives counts on under a new
        name, beginning with what it had not yet written.
        """
        if incarnation == self.incarnation:
            written = self._written.get(incarnation, ())
            self.ledger.rename(incarnation + RENAME_MARK, written)
        self._forget(incarnation)

    def _forget(self, incarnation: str) -> None:
        self.ledger.forget(incarnation)
        self._backed.discard(incarnation)
        self._versions.pop(incarnation, None)
        self._written.pop(incarnation, None)

    async def _flush_one(self, incarnation: str) -> None:
        rows = self.ledger.rows_of(incarnation)
        if not rows or self._written.get(incarnation) == rows:
            return
        key = COUNTERS_PREFIX + incarnation
        if incarnation not in self._versions:
            rows = await self._read(key, incarnation)
        version = self._versions[incarnation]
        blob = encode_rows(rows)
        try:
            new = await self._platform.put(key, blob, if_version=version)
        except VersionConflictError:
            rows = await self._read(key, incarnation)
            blob = encode_rows(rows)
            version = self._versions[incarnation]
            new = await self._platform.put(key, blob, if_version=version)
        self._versions[incarnation] = new
        self._written[incarnation] = rows

    async def _read(self, key: str, incarnation: str) -> tuple[UsageRow, ...]:
        kept = await self._platform.get(key)
        if kept is None and await self._is_archived(incarnation):
            raise AlreadyArchivedError(incarnation, step="write counters")
        self._versions[incarnation] = kept.version if kept else 0
        if kept is not None:
            self.ledger.merge(decode_rows(kept.value))
        return self.ledger.rows_of(incarnation)
