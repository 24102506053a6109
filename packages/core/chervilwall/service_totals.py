"""Service delivered by one router, as grow-only totals for the reports."""

import logging
from collections.abc import Iterable
from typing import NamedTuple

import msgspec

from chervilwall.errors import CodecError

LOG = logging.getLogger(__name__)
# Kind of the objects in the store that hold the totals of one incarnation.
SERVICE_KIND = "service-totals"


class TotalKey(NamedTuple):
    """What a total counts.

    Args:
        team (str): Team, "" for requests without a key.
        route (str): Route.
    """

    team: str
    route: str


class Total(NamedTuple):
    """Totals of one team's route.

    Args:
        answered (int): Requests answered whole.
        refused (int): Requests refused and not run.
        unknown (int): Requests that may have run without a whole answer.
        prompt_tokens (int): Prompt tokens of those answered.
        output_tokens (int): Tokens generated for them.
    """

    answered: int = 0
    refused: int = 0
    unknown: int = 0
    prompt_tokens: int = 0
    output_tokens: int = 0

    def plus(self, other: "Total") -> "Total":
        """Returns the sum of two totals."""
        return Total(*(a + b for a, b in zip(self, other, strict=True)))


class ServiceTotals:
    """Sum up service, and tell whether it changed since it was written."""

    def __init__(self) -> None:
        self._totals: dict[TotalKey, Total] = {}
        self.changed = False

    def __repr__(self) -> str:
        return f"ServiceTotals(rows={len(self._totals)})"

    def add(self, key: TotalKey, total: Total) -> None:
        """Adds to a total."""
        self._totals[key] = self._totals.get(key, Total()).plus(total)
        self.changed = True

    def rows(self) -> dict[TotalKey, Total]:
        """Returns all totals."""
        return self._totals

    def encode(self) -> bytes:
        """Returns the totals as JSON."""
        return msgspec.json.encode(list(self._totals.items()))


def decode_totals(value: bytes) -> dict[TotalKey, Total]:
    """Returns the totals that a router wrote.

    Raises:
        CodecError: They do not decode.
    """
    try:
        rows = msgspec.json.decode(value, type=list[tuple[TotalKey, Total]])
    except msgspec.MsgspecError as exc:
        raise CodecError(str(exc), step="read service totals") from exc
    return dict(rows)


def sum_totals(
    objects: Iterable[tuple[str, bytes]],
) -> tuple[dict[TotalKey, Total], list[str]]:
    """Returns the sum over all routers, and the names that do not decode.

    Args:
        objects (Iterable): Names and values, one for each incarnation.
    """
    found: dict[TotalKey, Total] = {}
    missing = []
    for name, value in objects:
        try:
            rows = decode_totals(value)
        except CodecError as exc:
            LOG.warning("totals of %s left out: %s", name, exc)
            missing.append(name)
            continue
        for key, total in rows.items():
            found[key] = found.get(key, Total()).plus(total)
    return dict(sorted(found.items())), missing
