"""Report of the service that each team received, from grow-only totals."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

import msgspec

from chervilwall._decoding import decode_value
from chervilwall.cell_messages import UsageRow, UsageTotals
from chervilwall.ledger import (
    CLOSED_CLASS,
    LOST_SEPARATOR,
    Ledger,
    sum_rows,
)

COUNTERS_PREFIX = "counters/"
_ROWS_DECODER = msgspec.msgpack.Decoder(tuple[UsageRow, ...])


class ReportLine(NamedTuple):
    """Totals of one team for one request class of a service.

    Args:
        team (str): Name of the team.
        service (str): Name of the service.
        cls (str): Name of the request class.
        row (UsageTotals): Totals over all routers.
    """

    team: str
    service: str
    cls: str
    row: UsageTotals


def encode_rows(rows: tuple[UsageRow, ...]) -> bytes:
    """Encodes rows as the value of a counters object."""
    return msgspec.msgpack.encode(rows)


def decode_rows(value: bytes) -> tuple[UsageRow, ...]:
    """Decodes the value of a counters object.

    Raises:
        PlatformError: If the value cannot be decoded.
    """
    return decode_value(_ROWS_DECODER, value, "decode counters")


def merge_rows(copies: Iterable[Iterable[UsageRow]]) -> Ledger:
    """Merges copies of rows that may overlap or be outdated into a ledger."""
    ledger = Ledger("report")
    for rows in copies:
        ledger.merge(rows)
    return ledger


def report_lines(
    ledger: Ledger, alive: Collection[str] = ()
) -> list[ReportLine]:
    """Returns a line for each team, service and request class, sorted.

    When an incarnation is considered lost, other routers count the requests
    that it had in progress as uncertain. These counts are left out if the
    incarnation is alive or recorded a graceful shutdown, as its own totals
    then account for all its requests.

    Args:
        ledger (Ledger): Totals of the fleet.
        alive (Collection): Incarnations that are running.
    """
    complete = ledger.closed() | set(alive)
    groups: dict[tuple[str, str, str], list[UsageTotals]] = {}
    for key, row in ledger:
        lost_incarnation, separator, _ = key.incarnation.partition(
            LOST_SEPARATOR
        )
        if key.cls == CLOSED_CLASS or (
            separator and lost_incarnation in complete
        ):
            continue
        if key.incarnation not in complete:
            in_progress = max(0, row.started - row.finished)
            row = row._replace(uncertain=row.uncertain + in_progress)
        groups.setdefault((key.team, key.service, key.cls), []).append(row)
    return [
        ReportLine(*group, sum_rows(rows))
        for group, rows in sorted(groups.items())
    ]
