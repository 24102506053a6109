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
STARTED = "started"
FINISHED = "finished"
# Divides a lost incarnation from the one that counted what it had in progress.
LOST_MARK = "?"
# Class of the empty row that an incarnation writes when it ends as planned.
CLOSED_CLASS = "closed"


class Ledger:
    """Keep totals by router incarnation, team, service and class.

    Totals only grow, so merging a copy twice, late or out of order changes
    nothing.

    Args:
        incarnation (str): Identity under which this process counts.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self._books: dict[str, dict[RowKey, Row]] = {incarnation: {}}

    def __repr__(self) -> str:
        return f"Ledger({self.incarnation!r}, rows={len(self)})"

    def __iter__(self) -> Iterator[KeyedRow]:
        for book in self._books.values():
            for key, row in book.items():
                yield KeyedRow(key, row)

    def __len__(self) -> int:
        return sum(len(book) for book in self._books.values())

    def add(
        self,
        team: str,
        service: str,
        cls: str,
        outcome: str,
        *,
        work: float = 0.0,
        worth: float = 0.0,
        lost: str = "",
    ) -> KeyedRow:
        """Counts one settled request and returns its row's new totals.

        Args:
            team (str): Team that pays.
            service (str): Service.
            cls (str): Request class.
            outcome (str): Which total grows.
            work (float): Work of a completed request.
            worth (float): Worth of a completed request.
            lost (str): Incarnation that was lost with the request.
        """
        incarnation = self.incarnation
        if lost:
            incarnation = f"{lost}{LOST_MARK}{self.incarnation}"
        key = RowKey(incarnation, team, service, cls)
        book = self._books.setdefault(incarnation, {})
        row = book.get(key, Row())
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
        elif outcome == STARTED:
            row = row._replace(started=row.started + 1)
        elif outcome == FINISHED:
            row = row._replace(finished=row.finished + 1)
        else:
            row = row._replace(unknown=row.unknown + 1)
        book[key] = row
        return KeyedRow(key, row)

    def close(self) -> None:
        """Notes that this incarnation ends as planned, with nothing open."""
        key = RowKey(self.incarnation, "", "", CLOSED_CLASS)
        self._books.setdefault(self.incarnation, {})[key] = Row()

    def closed(self) -> set[str]:
        """Returns the incarnations that ended as planned."""
        return {
            incarnation
            for incarnation, book in self._books.items()
            if RowKey(incarnation, "", "", CLOSED_CLASS) in book
        }

    def rename(self, incarnation: str, kept: Iterable[KeyedRow]) -> None:
        """Counts on under a new name, less what is kept under the old one."""
        before = {item.key: item.row for item in kept}
        book = self._books.get(self.incarnation, {})
        self.incarnation = incarnation
        self._books[incarnation] = {
            key._replace(incarnation=incarnation): _less(
                row, before.get(key, Row())
            )
            for key, row in book.items()
        }

    def merge(self, rows: Iterable[KeyedRow]) -> bool:
        """Takes in copies of rows; returns whether any total grew."""
        changed = False
        for key, row in rows:
            book = self._books.setdefault(key.incarnation, {})
            old = book.get(key)
            new = row if old is None else max_row(old, row)
            if new != old:
                book[key] = new
                changed = True
        return changed

    def own(self) -> tuple[KeyedRow, ...]:
        """Returns the rows that this process counted."""
        return self.rows_of(self.incarnation)

    def rows_of(self, incarnation: str) -> tuple[KeyedRow, ...]:
        """Returns the rows of one incarnation."""
        book = self._books.get(incarnation, {})
        return tuple(KeyedRow(key, row) for key, row in book.items())

    def incarnations(self) -> set[str]:
        """Returns every incarnation of which rows are held."""
        return set(self._books)

    def forget(self, incarnation: str) -> None:
        """Drops the rows of an incarnation that the platform holds."""
        self._books.pop(incarnation, None)

    def forget_row(self, key: RowKey) -> None:
        """Drops one copied row."""
        book = self._books.get(key.incarnation, {})
        book.pop(key, None)
        if not book and key.incarnation != self.incarnation:
            self._books.pop(key.incarnation, None)


def max_row(left: Row, right: Row) -> Row:
    """Returns the larger total of each field."""
    return Row._make(max(a, b) for a, b in zip(left, right, strict=True))


def sum_rows(rows: Iterable[Row]) -> Row:
    """Returns the sum of each field."""
    totals = Row()
    for row in rows:
        totals = Row._make(a + b for a, b in zip(totals, row, strict=True))
    return totals


def _less(row: Row, other: Row) -> Row:
    return Row._make(max(0, a - b) for a, b in zip(row, other, strict=True))
