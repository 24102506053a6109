"""The report of service delivered per team, from grow-only totals."""

from collections.abc import Collection, Iterable
from typing import NamedTuple

import msgspec

from chervilwall._value import decode_value
from chervilwall.ledger import (
    CLOSED_CLASS,
    LOST_MARK,
    Ledger,
    sum_rows,
)
from chervilwall.message import KeyedRow, Row

COUNTERS_PREFIX = "counters/"
_ROWS = msgspec.msgpack.Decoder(tuple[KeyedRow, ...])


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


def encode_rows(rows: tuple[KeyedRow, ...]) -> bytes:
    """Returns the value of a counters object."""
    return msgspec.msgpack.encode(rows)


def decode_rows(value: bytes) -> tuple[KeyedRow, ...]:
    """Returns the rows in a counters object.

    Raises:
        PlatformError: The value does not decode.
    """
    return decode_value(_ROWS, value, "decode counters")


def merge_copies(copies: Iterable[Iterable[KeyedRow]]) -> Ledger:
    """Returns one ledger from copies that may overlap or be late."""
    ledger = Ledger("report")
    for rows in copies:
        ledger.merge(rows)
    return ledger


def report_lines(
    ledger: Ledger, alive: Collection[str] = ()
) -> list[ReportLine]:
    """Returns a line for each team, service and class.

    What an incarnation had in progress when others gave it up for lost is
    uncertain only if it really ended then: one that is alive, or that ended
    as planned, has told all of it in its own totals.

    Args:
        ledger (Ledger): The fleet's totals.
        alive (Collection): Incarnations that run now.
    """
    certain = ledger.closed() | set(alive)
    groups: dict[tuple[str, str, str], list[Row]] = {}
    for key, row in ledger:
        lost, mark, _ = key.incarnation.partition(LOST_MARK)
        if key.cls == CLOSED_CLASS or (mark and lost in certain):
            continue
        if key.incarnation not in certain:
            open_count = max(0, row.started - row.finished)
            row = row._replace(uncertain=row.uncertain + open_count)
        groups.setdefault((key.team, key.service, key.cls), []).append(row)
    return [
        ReportLine(*group, sum_rows(rows))
        for group, rows in sorted(groups.items())
    ]
