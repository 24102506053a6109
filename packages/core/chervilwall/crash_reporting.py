"""Selection of the crashes that each report to peers repeats."""

from collections.abc import Collection, Iterator

from chervilwall.crash_attribution import CrashAttribution
from chervilwall.crash_records import (
    Crash,
    CrashRecords,
    Observation,
    ObservationKey,
)
from chervilwall.crash_updates import CrashUpdate
from chervilwall.fingerprints import is_part

# Updates are sent repeatedly for this long, as datagrams may be lost.
UPDATE_REPEAT_S = 2.0
# Maximum number of items of each kind in a report, so that it fits into a
# datagram: requests at recent crashes, unreachable targets, targets that
# answered, and answered requests.
MAX_ITEMS_PER_REPORT = 64
# Quarantined requests that each report repeats in turn, besides its updates,
# for routers that started after the crashes were first reported.
QUARANTINED_PER_REPORT = 4


class CrashReporting:
    """Choose the crashes in successive reports, each of a limited size.

    Args:
        records (CrashRecords): Observations of crashes.
        attribution (CrashAttribution): Attributes them to requests.
        quarantined (Collection): What is quarantined now.
    """

    def __init__(
        self,
        records: CrashRecords,
        attribution: CrashAttribution,
        quarantined: Collection[bytes],
    ) -> None:
        self._records = records
        self._attribution = attribution
        self._quarantined = quarantined
        self._update_offset = 0
        self._quarantined_offset = 0

    def __repr__(self) -> str:
        return f"CrashReporting(records={self._records!r})"

    def recent_crashes(
        self, now: float, quarantined_only: bool
    ) -> list[CrashUpdate]:
        """Returns the crashes changed within `UPDATE_REPEAT_S`.

        If they name more requests than fit into a report, successive calls
        return successive parts.
        """
        found: list[tuple[Observation, bytes]] = []
        for observation in self._records.newest():
            if now - observation.changed_at > UPDATE_REPEAT_S:
                break
            # A few parts may explain the crashes of many requests.
            for fingerprint in sorted(
                observation.fingerprints, key=is_part, reverse=True
            ):
                if not quarantined_only or fingerprint in self._quarantined:
                    found.append((observation, fingerprint))
        if not found:
            return []
        offset = self._update_offset % len(found)
        self._update_offset += MAX_ITEMS_PER_REPORT
        fingerprints: dict[ObservationKey, list[bytes]] = {}
        crashes: dict[ObservationKey, Crash] = {}
        for observation, fingerprint in (found[offset:] + found[:offset])[
            :MAX_ITEMS_PER_REPORT
        ]:
            crashes[observation.key] = observation.crash
            fingerprints.setdefault(observation.key, []).append(fingerprint)
        return [
            _crash_update(crashes[key], fingerprints[key], now)
            for key in fingerprints
        ]

    def next_quarantined(self, now: float) -> Iterator[CrashUpdate]:
        """Yields the crashes of the next few quarantined requests in turn.

        Routers that started after these crashes were reported learn of the
        quarantine in this way.
        """
        quarantined = list(self._quarantined)
        for _ in range(min(QUARANTINED_PER_REPORT, len(quarantined))):
            self._quarantined_offset += 1
            fingerprint = quarantined[
                self._quarantined_offset % len(quarantined)
            ]
            for crash in self._attribution.crashes(fingerprint):
                yield _crash_update(crash, [fingerprint], now)


def _crash_update(
    crash: Crash, fingerprints: list[bytes], now: float
) -> CrashUpdate:
    age_s = now - crash.at
    return CrashUpdate(
        crash.start, age_s, crash.proven, crash.seen_by, tuple(fingerprints)
    )
