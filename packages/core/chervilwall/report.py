"""The report of service delivered per team, from grow-only totals."""

from collections.abc import Iterable
from typing import NamedTuple

from chervilwall.ledger import Ledger, sum_rows
from chervilwall.message import KeyedRow, Row

COUNTERS_PREFIX = "counters/"
ARCHIVE_KEY = "archive/counters"


class ReportLine(NamedTuple):
    """What one team got of one class.

    Args:
        team (str): Team.
        service (str): Service.
        cls (str): Request class.
        row (Row): Totals over all routers.
    """

    team: str
    service: str
    cls: str
    row: Row


def merge_copies(copies: Iterable[Iterable[KeyedRow]]) -> Ledger:
    """Returns one ledger from copies that may overlap or be late."""
    ledger = Ledger("report")
    for rows in copies:
        ledger.merge(rows)
    return ledger


def report_lines(ledger: Ledger) -> list[ReportLine]:
    """Returns a line for each team, service and class."""
    groups: dict[tuple[str, str, str], list[Row]] = {}
    for key, row in ledger:
        groups.setdefault((key.team, key.service, key.cls), []).append(row)
    return [
        ReportLine(*group, sum_rows(rows))
        for group, rows in sorted(groups.items())
    ]
