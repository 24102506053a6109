"""Grow-only totals of the service delivered by one router, for reports.

Used by the edge routers. The routers that store their totals in the object
service use `ledger` instead.
"""

import logging
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from chervilwall.errors import CodecError

LOG = logging.getLogger(__name__)
# Kind of the store objects that hold the totals of one router incarnation.
SERVICE_TOTALS_KIND = "service-totals"


class TotalKey(NamedTuple):
    """Team and route to which totals belong.

    Args:
        team (str): Team of the requests, "" for requests without a key.
        route (str): Name of the route.
    """

    team: str
    route: str


class Total(NamedTuple):
    """Totals of one team on one route.

    Args:
        answered (int): Requests that received a complete answer.
        refused (int): Requests refused without being run.
        unknown (int): Requests that may have run but received no complete
            answer.
        prompt_tokens (int): Prompt tokens of the answered requests.
        output_tokens (int): Tokens generated for the answered requests.
    """

    answered: int = 0
    refused: int = 0
    unknown: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def plus(self, other: "Total") -> "Total":
        """Returns the sum of both totals, field by field."""
        return Total(*(a + b for a, b in zip(self, other, strict=True)))


class ServiceTotals:
    """Count the service that this router delivered.

    Attributes:
        changed (bool): Whether totals changed since they were last written.
            The code that writes them resets it.
    """

    def __init__(self) -> None:
        self._totals: dict[TotalKey, Total] = {}
        self.changed = False

    def __repr__(self) -> str:
        return f"ServiceTotals(rows={len(self._totals)})"

    def add(self, key: TotalKey, total: Total) -> None:
        """Adds amounts to the total with the given key."""
        self._totals[key] = self._totals.get(key, Total()).plus(total)
        self.changed = True

    def rows(self) -> dict[TotalKey, Total]:
        """Returns all totals by key."""
        return self._totals

    def encode(self) -> bytes:
        """Returns the totals encoded as JSON."""
        return msgspec.json.encode(list(self._totals.items()))


def decode_totals(value: bytes) -> dict[TotalKey, Total]:
    """Decodes the totals written by a router.

    Raises:
        CodecError: The value is not valid JSON of this form.
    """
    try:
        rows = msgspec.json.decode(value, type=list[tuple[TotalKey, Total]])
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise CodecError(str(exc), step="read service totals") from exc
    return dict(rows)


def merge_totals(
    objects: Iterable[tuple[str, bytes]],
) -> tuple[dict[TotalKey, Total], list[str]]:
    """Adds up the totals of all routers.

    Args:
        objects (Iterable): Name and value of each store object, one per
            router incarnation.

    Returns:
        The totals by key, sorted, and the names of the objects that could not
        be decoded and are not included.
    """
    sums: dict[TotalKey, Total] = {}
    unreadable = []
    for name, value in objects:
        try:
            rows = decode_totals(value)
        except CodecError as exc:
            LOG.warning(
                "cannot decode service totals %s, not included in the sum: %s",
                name,
                exc,
            )
            unreadable.append(name)
            continue
        for key, total in rows.items():
            sums[key] = sums.get(key, Total()).plus(total)
    return dict(sorted(sums.items())), unreadable
