"""Archive of the totals of ended router incarnations.

Each router incarnation writes its totals to a counters object of its own. When
an incarnation has ended, its objects are compacted: their rows are added to the
archive object and they are deleted, so that the number of objects does not grow
with each restart.
"""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import msgspec

from chervilwall._decoding import decode_value
from chervilwall.cell_messages import UsageKey, UsageRow, UsageTotals
from chervilwall.ledger import LOST_SEPARATOR, Ledger, sum_rows
from chervilwall.report import report_lines

ARCHIVE_KEY = "archive/counters"
ARCHIVE_INCARNATION = "archive"
# Time without a change after which a counters object may be compacted.
COMPACTION_AGE_S = 3600.0
# Number of archived incarnations whose names the archive keeps.
MAX_ARCHIVED_NAMES = 10_000

Rows = tuple[UsageRow, ...]


class Archive(NamedTuple):
    """The value of the archive object.

    Args:
        rows (tuple): Totals of all archived incarnations by team, service and
            class.
        archived (tuple): Names of the last MAX_ARCHIVED_NAMES archived
            incarnations, newest last, so that none of them is added twice.
    """

    rows: Rows = ()
    archived: tuple[str, ...] = ()


_DECODER = msgspec.msgpack.Decoder(Archive)


def encode_archive(archive: Archive) -> bytes:
    """Encodes an archive as the value of the archive object."""
    return msgspec.msgpack.encode(archive)


def decode_archive(value: bytes | None) -> Archive:
    """Decodes the value of the archive object.

    Args:
        value (bytes | None): The value, None if there is no object.

    Returns:
        The archive, an empty one if there is no object.

    Raises:
        PlatformError: If the value cannot be decoded.
    """
    if value is None:
        return Archive()
    return decode_value(_DECODER, value, "decode archive")


def base_incarnation(incarnation: str) -> str:
    """Returns the incarnation whose requests a counters object counts.

    The object may be compacted only after that incarnation has ended. Requests
    that were in progress when an incarnation was lost are counted by others,
    under the name of the lost incarnation, followed by LOST_SEPARATOR and the
    incarnation that counted them.
    """
    return incarnation.partition(LOST_SEPARATOR)[0]


def add_to_archive(archive: Archive, ended: Mapping[str, Rows]) -> Archive:
    """Returns an archive with the rows of ended incarnations added.

    Incarnations that are already in the archive are skipped.

    Args:
        archive (Archive): The current archive.
        ended (Mapping): Rows by incarnation: those of an ended incarnation and,
            under names with LOST_SEPARATOR, those in which others counted the
            requests that it had in progress.
    """
    unarchived = {
        i: rows for i, rows in ended.items() if i not in archive.archived
    }
    ledger = Ledger("")
    for rows in unarchived.values():
        ledger.merge(rows)
    totals = {item.key: item.totals for item in archive.rows}
    for line in report_lines(ledger):
        key = UsageKey(ARCHIVE_INCARNATION, line.team, line.service, line.cls)
        # report_lines() has already counted the started but unfinished
        # requests as uncertain.
        row = line.row._replace(started=0, finished=0)
        totals[key] = sum_rows((totals.get(key, UsageTotals()), row))
    rows = tuple(UsageRow(key, row) for key, row in sorted(totals.items()))
    return Archive(rows, (*archive.archived, *unarchived)[-MAX_ARCHIVED_NAMES:])


class CompactionPlan:
    """Decide which counters objects may be compacted.

    An incarnation counts as ended if it is not among the live ones and its
    objects have not changed for COMPACTION_AGE_S. The time is measured by the
    local clock, from when this router first saw a version.
    """

    def __init__(self) -> None:
        self._last_changes: dict[str, tuple[int, float]] = {}

    def __repr__(self) -> str:
        return f"CompactionPlan(objects={len(self._last_changes)})"

    def due(
        self,
        versions: Mapping[str, int],
        alive: Collection[str],
        now: float,
    ) -> list[list[str]]:
        """Returns groups of incarnations to compact together.

        Args:
            versions (Mapping): Version of the counters object of each
                incarnation.
            alive (Collection): Incarnations that are or may be running.
            now (float): Monotonic time.
        """
        for name, version in versions.items():
            if self._last_changes.get(name, (0, 0.0))[0] != version:
                self._last_changes[name] = (version, now)
        self._last_changes = {
            n: s for n, s in self._last_changes.items() if n in versions
        }
        groups: dict[str, list[str]] = {}
        for name in sorted(versions):
            groups.setdefault(base_incarnation(name), []).append(name)
        return [
            names
            for ended, names in groups.items()
            if ended not in alive and self._are_unchanged(names, now)
        ]

    def _are_unchanged(self, names: Iterable[str], now: float) -> bool:
        return all(
            now - self._last_changes[n][1] >= COMPACTION_AGE_S for n in names
        )
