"""Usage totals by team.

This router counts the outcomes of its requests, copies its totals to peers, and
writes them to the platform. A row has the totals of one team, service and
request class, as counted by one router incarnation.
"""

import logging
from collections import OrderedDict
from collections.abc import Callable, Iterable
from typing import NamedTuple

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
# Number of peers that each router copies its totals to.
COPY_PEER_COUNT = 2
# Seconds after which a row received with the end of an attempt is dropped. By
# then, its router has written the row itself. Rows of routers that copy their
# rows to this one as a backup are kept.
RECEIVED_ROW_TTL_S = 120.0
# Appended to the incarnation of a running router whose rows were archived, to
# name the incarnation under which it counts from then on.
RENAMED_SUFFIX = "+"


class _PeerCopies(NamedTuple):
    """Own rows that were sent to a peer.

    Args:
        incarnation (int): Incarnation of the peer.
        sent_totals (dict): Totals last sent, by row.
    """

    incarnation: int
    sent_totals: dict[UsageKey, UsageTotals]


class UsageCounters:
    """Hold the usage totals of this router and those received from others.

    Args:
        incarnation (str): Incarnation of this router process, its name and the
            time of its start, under which it counts.
        platform (Platform): Object service that stores the totals.
        on_change (Callable): Called when rows of this router are to be copied
            to peers: a total has grown, or a write to the platform failed.
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
        self._written_rows: dict[str, tuple[UsageRow, ...]] = {}
        self._copied_here: set[str] = set()
        self._received_at_by_key: OrderedDict[UsageKey, float] = OrderedDict()
        self._copies_by_peer: dict[str, _PeerCopies] = {}

    def __repr__(self) -> str:
        return f"UsageCounters({self.ledger!r})"

    @property
    def incarnation(self) -> str:
        """The incarnation under which this router counts.

        It differs from that at the start if the rows were archived while this
        router was running.
        """
        return self.ledger.incarnation

    def count_outcome(
        self,
        team: str,
        service: str,
        cls: str,
        outcome: str,
        *,
        work: float = 0.0,
        worth: float = 0.0,
    ) -> UsageRow:
        """Counts the outcome of a request and returns the row that has grown.

        Args:
            team (str): Team that is charged.
            service (str): Service that the request was for.
            cls (str): Request class.
            outcome (str): Name of the counter to increment.
            work (float): Work to add, in work units. Defaults to 0.
            worth (float): Worth to add, as configured for the class.
                Defaults to 0.
        """
        row = self.ledger.add(
            team, service, cls, outcome, work=work, worth=worth
        )
        self._on_change()
        return row

    def count_lost_attempts(
        self, incarnation: str, service: str, attempts: Iterable[RunningAttempt]
    ) -> None:
        """Counts the unfinished attempts of a lost router, of unknown outcome.

        Args:
            incarnation (str): Incarnation of the lost router.
            service (str): Service that the attempts were for.
            attempts (Iterable): Attempts whose outcome was not reported.
        """
        for attempt in attempts:
            self.ledger.add(
                attempt.team, service, attempt.cls, UNCERTAIN, lost=incarnation
            )
            events.log_event(
                LOG,
                events.LOST_ROUTER_OUTCOME_UNKNOWN,
                step="remove lost router",
                peer=attempt.router,
                team=attempt.team,
            )

    def merge_copy(self, incarnation: str, rows: Iterable[UsageRow]) -> None:
        """Merges rows that a router copies to this one as a backup.

        Args:
            incarnation (str): Incarnation of that router.
            rows (Iterable): Its rows that have changed.
        """
        self._copied_here.add(incarnation)
        self.ledger.merge(rows)

    def record_received_row(self, row: UsageRow, now: float) -> None:
        """Merges a row that a router sent with the end of an attempt.

        The row is dropped after `RECEIVED_ROW_TTL_S`, so that a scheduler does
        not accumulate the rows of the whole fleet.

        Args:
            row (UsageRow): Row of the router that ran the attempt.
            now (float): Monotonic time, in seconds.
        """
        self.ledger.merge([row])
        self._received_at_by_key[row.key] = now
        self._received_at_by_key.move_to_end(row.key)

    def prune(self, now: float) -> None:
        """Drops expired rows of routers that do not copy their rows here."""
        while self._received_at_by_key:
            key, received_at = next(iter(self._received_at_by_key.items()))
            if now - received_at < RECEIVED_ROW_TTL_S:
                return
            del self._received_at_by_key[key]
            is_copied = key.incarnation in self._copied_here
            if not is_copied and key.incarnation != self.incarnation:
                self.ledger.forget_row(key)

    def send_changed_rows(
        self,
        peer: str,
        send: Callable[[str, UsagePush], None],
        *,
        incarnation: int = 0,
    ) -> None:
        """Sends a peer the rows of this router that it does not have yet.

        Args:
            peer (str): Name of the peer.
            send (Callable): Sends a message to a router by name.
            incarnation (int): Incarnation of the peer, which has no rows yet
                after a restart. Defaults to 0, for a peer that never restarts.
        """
        copies = self._copies_by_peer.get(peer)
        if copies is None or copies.incarnation != incarnation:
            copies = _PeerCopies(incarnation, {})
            self._copies_by_peer[peer] = copies
        changed = tuple(
            item
            for item in self.ledger.own_rows()
            if copies.sent_totals.get(item.key) != item.totals
        )
        if changed:
            send(peer, UsagePush(changed))
            copies.sent_totals.update(
                {item.key: item.totals for item in changed}
            )

    async def flush(self, lost: Iterable[str] = ()) -> bool:
        """Writes the rows of this router and of lost routers to the platform.

        Args:
            lost (Iterable[str]): Incarnations of lost routers. Their rows are
                removed here once they are written.

        Returns:
            Whether all rows were written. If not, call again.
        """
        all_written = True
        for incarnation in (self.incarnation, *lost):
            try:
                await self._flush_incarnation(incarnation)
            except AlreadyArchivedError:
                if incarnation == self.incarnation:
                    all_written = False
                self._forget_archived(incarnation)
                continue
            except PlatformError as exc:
                self._versions.pop(incarnation, None)
                all_written = False
                events.log_event(
                    LOG,
                    events.COUNTERS_WRITE_FAILED,
                    step=exc.step,
                    peer=exc.peer,
                    reason=exc.reason,
                )
                if incarnation == self.incarnation:
                    self._repeat_copies()
                continue
            # Keep the rows that this router counts, including those that it
            # counts for lost routers. The incarnation of the latter consists of
            # the lost one, LOST_SEPARATOR and the one of this router.
            if incarnation.endswith(self.incarnation):
                continue
            written = self._written_rows.get(incarnation, ())
            if self.ledger.rows_of(incarnation) == written:
                self._forget(incarnation)
            else:
                # Copies arrived during the write.
                all_written = False
        return all_written

    def _repeat_copies(self) -> None:
        """Lets unwritten rows be copied again, as copies may be lost."""
        written = dict(self._written_rows.get(self.incarnation, ()))
        for key, totals in self.ledger.own_rows():
            if written.get(key) != totals:
                for copies in self._copies_by_peer.values():
                    copies.sent_totals.pop(key, None)
        self._on_change()

    async def _is_archived(self, incarnation: str) -> bool:
        stored = await self._platform.get(ARCHIVE_KEY)
        archive = decode_archive(stored.value if stored else None)
        return incarnation in archive.archived

    def _forget_archived(self, incarnation: str) -> None:
        """Removes the rows of an archived incarnation.

        If it is this router's own, peers could not reach this router for
        COMPACTION_AGE_S of `archive`, one hour, and archived its rows although
        it was running. It then continues under a new incarnation, starting with
        the usage that it had not yet written.
        """
        if incarnation == self.incarnation:
            written = self._written_rows.get(incarnation, ())
            self.ledger.rename(incarnation + RENAMED_SUFFIX, written)
        self._forget(incarnation)

    def _forget(self, incarnation: str) -> None:
        self.ledger.forget(incarnation)
        self._copied_here.discard(incarnation)
        self._versions.pop(incarnation, None)
        self._written_rows.pop(incarnation, None)

    async def _flush_incarnation(self, incarnation: str) -> None:
        rows = self.ledger.rows_of(incarnation)
        if not rows or self._written_rows.get(incarnation) == rows:
            return
        key = COUNTERS_PREFIX + incarnation
        if incarnation not in self._versions:
            rows = await self._merge_stored_rows(key, incarnation)
        version = self._versions[incarnation]
        blob = encode_rows(rows)
        try:
            new_version = await self._platform.put(
                key, blob, if_version=version
            )
        except VersionConflictError:
            rows = await self._merge_stored_rows(key, incarnation)
            blob = encode_rows(rows)
            version = self._versions[incarnation]
            new_version = await self._platform.put(
                key, blob, if_version=version
            )
        self._versions[incarnation] = new_version
        self._written_rows[incarnation] = rows

    async def _merge_stored_rows(
        self, key: str, incarnation: str
    ) -> tuple[UsageRow, ...]:
        stored = await self._platform.get(key)
        if stored is None and await self._is_archived(incarnation):
            raise AlreadyArchivedError(incarnation, step="write counters")
        self._versions[incarnation] = stored.version if stored else 0
        if stored is not None:
            self.ledger.merge(decode_rows(stored.value))
        return self.ledger.rows_of(incarnation)
