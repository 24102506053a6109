"""Tables, printed as aligned text or as CSV."""

import csv
import io
from collections.abc import Sequence
from typing import NamedTuple


class Column(NamedTuple):
    """A column of a table.

    Args:
        title (str): Heading of the column.
        is_number (bool): Whether the column is right-aligned. Defaults to
            False.
    """

    title: str
    is_number: bool = False


class Table:
    """Render rows as aligned text or as CSV.

    Args:
        columns (Sequence[Column]): The columns, left to right.
    """

    def __init__(self, columns: Sequence[Column]) -> None:
        self._columns = tuple(columns)
        self._rows: list[tuple[str, ...]] = []

    def __repr__(self) -> str:
        return f"Table(columns={len(self._columns)}, rows={len(self._rows)})"

    def add(self, *cells: object) -> None:
        """Adds a row, one cell per column; floats get one decimal place."""
        self._rows.append(tuple(_format_cell(cell) for cell in cells))

    def to_text(self) -> str:
        """Returns the table as aligned text, heading first."""
        titles = tuple(c.title for c in self._columns)
        widths = [
            max(len(row[i]) for row in (titles, *self._rows))
            for i in range(len(titles))
        ]
        lines = [
            "  ".join(
                cell.rjust(width) if col.is_number else cell.ljust(width)
                for cell, width, col in zip(
                    row, widths, self._columns, strict=True
                )
            ).rstrip()
            for row in (titles, *self._rows)
        ]
        return "\n".join(lines)

    def to_csv(self) -> str:
        """Returns the table as CSV, heading first."""
        buffer = io.StringIO()
        writer = csv.writer(buffer, lineterminator="\n")
        writer.writerow(c.title for c in self._columns)
        writer.writerows(self._rows)
        return buffer.getvalue().rstrip("\n")


def _format_cell(cell: object) -> str:
    return f"{cell:.1f}" if isinstance(cell, float) else str(cell)
