"""Grow-only totals of service, merged by a maximum per field."""

from collections.abc import Iterable, Iterator

from chervilwall.message import (
    OUTCOME_COMPLETED,
    OUTCOME_REFUSED,
    KeyedRow,
    Row,
    RowKey,
)

UNCERTAIN = "uncertain"


class Ledger:
    """Keep totals by router incarnation, team, service and class.

    Totals only grow, so merging a copy twice, late or out of order changes
    nothing.

    Args:
        incarnation (str): Identity under which this process counts.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self._rows: dict[RowKey, Row] = {}

    def __repr__(self) -> str:
        return f"Ledger({self.incarnation!r}, rows={len(self._rows)})"

    def __iter__(self) -> Iterator[KeyedRow]:
        for key, row in self._rows.items():
            yield KeyedRow(key, row)

    def __len__(self) -> int:
        return len(self._rows)

    def add(
        self,
        team: str,
        service: str,
        cls: str,
        outcome: str,
        *,
        work: float = 0.0,
        worth: float = 0.0,
    ) -> KeyedRow:
        """Counts one settled request and returns its row's new totals."""
        key = RowKey(self.incarnation, team, service, cls)
        row = self._rows.get(key, Row())
        if outcome == OUTCOME_COMPLETED:
            row = row._replace(
                completed=row.completed + 1,
                work=row.work + work,
                worth=row.worth + worth,
            )
        elif outcome == OUTCOME_REFUSED:
            row = row._replace(refused=row.refused + 1)
        elif outcome == UNCERTAIN:
            row = row._replace(uncertain=row.uncertain + 1)
        else:
            row = row._replace(unknown=row.unknown + 1)
        self._rows[key] = row
        return KeyedRow(key, row)

    def merge(self, rows: Iterable[KeyedRow]) -> bool:
        """Takes in copies of rows; returns whether any total grew."""
        changed = False
        for key, row in rows:
            old = self._rows.get(key)
            new = row if old is None else max_row(old, row)
            if new != old:
                self._rows[key] = new
                changed = True
        return changed

    def own(self) -> tuple[KeyedRow, ...]:
        """Returns the rows that this process counted."""
        return self.rows_of(self.incarnation)

    def rows_of(self, incarnation: str) -> tuple[KeyedRow, ...]:
        """Returns the rows of one incarnation."""
        return tuple(r for r in self if r.key.incarnation == incarnation)

    def incarnations(self) -> set[str]:
        """Returns every incarnation of which rows are held."""
        return {key.incarnation for key in self._rows}

    def forget(self, incarnation: str) -> None:
        """Drops the rows of an incarnation that the platform holds."""
        for key in [k for k in self._rows if k.incarnation == incarnation]:
            del self._rows[key]


def max_row(left: Row, right: Row) -> Row:
    """Returns the larger total of each field."""
    return Row._make(max(a, b) for a, b in zip(left, right, strict=True))


def sum_rows(rows: Iterable[Row]) -> Row:
    """Returns the sum of each field."""
    totals = Row()
    for row in rows:
        totals = Row._make(a + b for a, b in zip(totals, row, strict=True))
    return totals
