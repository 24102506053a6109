"""Grow-only totals of delivered service, merged by the maximum per field.

Used by the routers that store their totals in the object service. Edge routers
use `service_totals` instead.
"""

from collections.abc import Iterable, Iterator

from chervilwall.cell_messages import (
    OUTCOME_COMPLETED,
    OUTCOME_REFUSED,
    UsageKey,
    UsageRow,
    UsageTotals,
)

# Totals that `Ledger.add` can increment besides those named after an outcome.
UNCERTAIN = "uncertain"
STARTED = "started"
FINISHED = "finished"
# Separates, in the key of a row, a lost incarnation from the incarnation that
# counted the requests which the lost one had in progress.
LOST_SEPARATOR = "?"
# Class of the empty row that an incarnation writes at a graceful shutdown.
CLOSED_CLASS = "closed"


class Ledger:
    """Count totals by router incarnation, team, service and request class.

    Totals only grow, so copies may be merged repeatedly, late or out of order.

    Args:
        incarnation (str): Incarnation of this router process, under which it
            counts. It has no effect in a ledger that only merges rows.
    """

    def __init__(self, incarnation: str) -> None:
        self.incarnation = incarnation
        self._rows_by_incarnation: dict[str, dict[UsageKey, UsageTotals]] = {
            incarnation: {}
        }

    def __repr__(self) -> str:
        return f"Ledger({self.incarnation!r}, rows={len(self)})"

    def __iter__(self) -> Iterator[UsageRow]:
        for rows in self._rows_by_incarnation.values():
            for key, row in rows.items():
                yield UsageRow(key, row)

    def __len__(self) -> int:
        return sum(len(rows) for rows in self._rows_by_incarnation.values())

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
    ) -> UsageRow:
        """Counts one request and returns the updated row.

        Args:
            team (str): Team that is charged.
            service (str): Service that the request was for.
            cls (str): Request class.
            outcome (str): Selects the total to increment: an outcome of
                `cell_messages`, `UNCERTAIN`, `STARTED` or `FINISHED`. Of the
                outcomes, only completed and refused have totals of their own;
                any other counts as unknown, that is, as a request that may have
                run. Pass refused for a request that was not run.
            work (float): Work of a completed request.
            worth (float): Worth of a completed request.
            lost (str): Incarnation of the lost router that had the request in
                progress, "" if the request was this router's own.

        Returns:
            The row with its key and new totals.
        """
        incarnation = self.incarnation
        if lost:
            incarnation = f"{lost}{LOST_SEPARATOR}{self.incarnation}"
        key = UsageKey(incarnation, team, service, cls)
        rows = self._rows_by_incarnation.setdefault(incarnation, {})
        totals = rows.get(key, UsageTotals())
        if outcome == OUTCOME_COMPLETED:
            totals = totals._replace(
                completed=totals.completed + 1,
                work=totals.work + work,
                worth=totals.worth + worth,
            )
        elif outcome == OUTCOME_REFUSED:
            totals = totals._replace(refused=totals.refused + 1)
        elif outcome == UNCERTAIN:
            totals = totals._replace(uncertain=totals.uncertain + 1)
        elif outcome == STARTED:
            totals = totals._replace(started=totals.started + 1)
        elif outcome == FINISHED:
            totals = totals._replace(finished=totals.finished + 1)
        else:
            totals = totals._replace(unknown=totals.unknown + 1)
        rows[key] = totals
        return UsageRow(key, totals)

    def close(self) -> None:
        """Records a graceful shutdown, with no request in progress."""
        key = UsageKey(self.incarnation, "", "", CLOSED_CLASS)
        self._rows_by_incarnation.setdefault(self.incarnation, {})[key] = (
            UsageTotals()
        )

    def closed(self) -> set[str]:
        """Returns the incarnations that recorded a graceful shutdown."""
        return {
            incarnation
            for incarnation, rows in self._rows_by_incarnation.items()
            if UsageKey(incarnation, "", "", CLOSED_CLASS) in rows
        }

    def rename(self, incarnation: str, stored_rows: Iterable[UsageRow]) -> None:
        """Starts to count under a new incarnation.

        Own rows are copied to the new incarnation, reduced by the totals that
        are stored under the old one, so that no request is counted twice.

        Args:
            incarnation (str): New incarnation of this process.
            stored_rows (Iterable): Rows stored under the old incarnation.
        """
        stored = {row.key: row.totals for row in stored_rows}
        rows = self._rows_by_incarnation.get(self.incarnation, {})
        self.incarnation = incarnation
        self._rows_by_incarnation[incarnation] = {
            key._replace(incarnation=incarnation): _subtract_row(
                totals, stored.get(key, UsageTotals())
            )
            for key, totals in rows.items()
        }

    def merge(self, rows: Iterable[UsageRow]) -> bool:
        """Merges copies of rows; returns whether any row was added or grew."""
        changed = False
        for key, row in rows:
            known_rows = self._rows_by_incarnation.setdefault(
                key.incarnation, {}
            )
            old = known_rows.get(key)
            merged = row if old is None else merge_row(old, row)
            if merged != old:
                known_rows[key] = merged
                changed = True
        return changed

    def own_rows(self) -> tuple[UsageRow, ...]:
        """Returns the rows counted by this process under its incarnation."""
        return self.rows_of(self.incarnation)

    def rows_of(self, incarnation: str) -> tuple[UsageRow, ...]:
        """Returns the rows of one incarnation."""
        rows = self._rows_by_incarnation.get(incarnation, {})
        return tuple(UsageRow(key, row) for key, row in rows.items())

    def incarnations(self) -> set[str]:
        """Returns all incarnations with rows in this ledger."""
        return set(self._rows_by_incarnation)

    def forget(self, incarnation: str) -> None:
        """Drops all rows of an incarnation, which the platform has stored."""
        self._rows_by_incarnation.pop(incarnation, None)

    def forget_row(self, key: UsageKey) -> None:
        """Drops one row copied from another router."""
        rows = self._rows_by_incarnation.get(key.incarnation, {})
        rows.pop(key, None)
        if not rows and key.incarnation != self.incarnation:
            self._rows_by_incarnation.pop(key.incarnation, None)


def merge_row(left: UsageTotals, right: UsageTotals) -> UsageTotals:
    """Returns totals with the maximum of each field."""
    return UsageTotals._make(
        max(a, b) for a, b in zip(left, right, strict=True)
    )


def sum_rows(rows: Iterable[UsageTotals]) -> UsageTotals:
    """Returns totals with the sum of each field."""
    totals = UsageTotals()
    for row in rows:
        totals = UsageTotals._make(
            a + b for a, b in zip(totals, row, strict=True)
        )
    return totals


def _subtract_row(row: UsageTotals, other: UsageTotals) -> UsageTotals:
    return UsageTotals._make(
        max(0, a - b) for a, b in zip(row, other, strict=True)
    )
