"""Revisions of the object store, and the eras that they belong to.

The store may come back from an older copy. Revisions then go back and are given
out again, and the store's era rises by one. Only the era and the revision
together tell which of two states of the store is the newer one.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import events

LOG = logging.getLogger(__name__)


class StoreRevision(NamedTuple):
    """Era and revision of the store, ordered as a pair.

    Args:
        era (int): Era, 0 if the store states none. Defaults to 0.
        number (int): Revision within the era, 0 if nothing was read. Defaults
            to 0.
    """

    era: int = 0
    number: int = 0

    def __bool__(self) -> bool:
        return self.number > 0

    def __str__(self) -> str:
        return f"{self.era}/{self.number}"


class StoreEra:
    """Hold the newest known era of the store, and announce when it rises.

    Eras come with the store's responses and with the reports of peers; the
    highest one holds.
    """

    def __init__(self) -> None:
        self.number = 0
        self._listeners: list[Callable[[], None]] = []
        self._is_header_refused = False

    def __repr__(self) -> str:
        return f"StoreEra(number={self.number})"

    def subscribe(self, listener: Callable[[], None]) -> None:
        """Calls a function at each rise of an era that was known before."""
        self._listeners.append(listener)

    def learn(self, era: int, source: str) -> None:
        """Records an era.

        Args:
            era (int): The era.
            source (str): Who stated it, for the log: "store" or a peer's name.
        """
        known = self.number
        if era <= known:
            return
        self.number = era
        if not known:
            return
        events.log_event(
            LOG, events.STORE_ERA_ROSE, old=known, new=era, source=source
        )
        for listener in self._listeners:
            listener()

    def refuse_header(self, value: str | None) -> None:
        """Logs a header that states no usable era, unless the last one did."""
        if self.number and not self._is_header_refused:
            events.log_event(
                LOG, events.STORE_ERA_REFUSED, value=value, known=self.number
            )
        self._is_header_refused = True

    def accept_header(self) -> None:
        """Records that a header stated the newest era."""
        self._is_header_refused = False
