"""Totals of ended router incarnations, folded into one object."""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

import msgspec

from chervilwall._value import decode_value
from chervilwall.ledger import LOST_MARK, Ledger, sum_rows
from chervilwall.message import KeyedRow, Row, RowKey
from chervilwall.report import report_lines

ARCHIVE_KEY = "archive/counters"
ARCHIVE_INCARNATION = "archive"
FOLD_AGE_S = 3600.0
MAX_FOLDED = 10_000

Rows = tuple[KeyedRow, ...]


class Archive(NamedTuple):
    """The archive object.

    Args:
        rows (tuple): Totals of all folded incarnations, by team and class.
        folded (tuple): Names of folded incarnations, the newest last.
    """

    rows: Rows = ()
    folded: tuple[str, ...] = ()


_DECODER = msgspec.msgpack.Decoder(Archive)


def encode_archive(archive: Archive) -> bytes:
    """Returns the value of the archive object."""
    return msgspec.msgpack.encode(archive)


def decode_archive(value: bytes | None) -> Archive:
    """Returns the archive in an object, empty where there is none.

    Raises:
        PlatformError: The value does not decode.
    """
    if value is None:
        return Archive()
    return decode_value(_DECODER, value, "decode archive")


def base_incarnation(incarnation: str) -> str:
    """Returns the incarnation on whose end a counters object depends."""
    return incarnation.partition(LOST_MARK)[0]


def fold(archive: Archive, ended: Mapping[str, Rows]) -> Archive:
    """Returns the archive with the rows of ended incarnations added.

    Args:
        archive (Archive): The archive as it stands.
        ended (Mapping): Rows of an incarnation that is gone, and of those who
            counted what it had in progress, by incarnation.
    """
    new = {i: rows for i, rows in ended.items() if i not in archive.folded}
    ledger = Ledger("")
    for rows in new.values():
        ledger.merge(rows)
    totals = {item.key: item.row for item in archive.rows}
    for line in report_lines(ledger):
        key = RowKey(ARCHIVE_INCARNATION, line.team, line.service, line.cls)
        row = line.row._replace(started=0, finished=0)
        totals[key] = sum_rows((totals.get(key, Row()), row))
    rows = tuple(KeyedRow(key, row) for key, row in sorted(totals.items()))
    return Archive(rows, (*archive.folded, *new)[-MAX_FOLDED:])


class FoldPlan:
    """Decide which counters objects may be folded.

    Versions are watched on our own clock: an object that did not change for
    an hour, of an incarnation that no member list names, has ended.
    """

    def __init__(self) -> None:
        self._seen: dict[str, tuple[int, float]] = {}

    def __repr__(self) -> str:
        return f"FoldPlan(objects={len(self._seen)})"

    def due(
        self,
        versions: Mapping[str, int],
        alive: Collection[str],
        now: float,
    ) -> list[list[str]]:
        """Returns groups of incarnations to fold together.

        Args:
            versions (Mapping): Version of each incarnation's object.
            alive (Collection): Incarnations that run, or may.
            now (float): Monotonic time.
        """
        for name, version in versions.items():
            if self._seen.get(name, (0, 0.0))[0] != version:
                self._seen[name] = (version, now)
        self._seen = {n: s for n, s in self._seen.items() if n in versions}
        groups: dict[str, list[str]] = {}
        for name in sorted(versions):
            groups.setdefault(base_incarnation(name), []).append(name)
        return [
            names
            for ended, names in groups.items()
            if ended not in alive and self._are_old(names, now)
        ]

    def _are_old(self, names: Iterable[str], now: float) -> bool:
        return all(now - self._seen[n][1] >= FOLD_AGE_S for n in names)
