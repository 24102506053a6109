"""Compaction of the usage totals of ended router incarnations."""

import time
from collections.abc import Collection

from chervilwall.archive import (
    ARCHIVE_KEY,
    CompactionPlan,
    Rows,
    add_to_archive,
    decode_archive,
    encode_archive,
)
from chervilwall.protocol import Platform, PlatformObject
from chervilwall.report import COUNTERS_PREFIX

from chervilwall_router.usage_counters import decode_rows


class Compactor:
    """Move the usage totals of ended incarnations into the archive.

    Each incarnation writes its totals to a counters object of its own. The
    archive is a single object with the totals of all compacted incarnations, so
    that the number of counters objects stays close to the number of routers.

    Args:
        platform (Platform): Object service that stores the counters objects and
            the archive.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._plan = CompactionPlan()

    def __repr__(self) -> str:
        return f"Compactor({self._plan!r})"

    async def step(
        self, alive: Collection[str], now: float | None = None
    ) -> int:
        """Compacts the usage totals of ended incarnations.

        The archive is written before the objects are deleted, and lists the
        incarnations that it contains. An interrupted compaction therefore
        neither loses totals nor adds them twice.

        Args:
            alive (Collection): Incarnations not known to have ended.
            now (float | None): Monotonic time, in seconds. Defaults to the
                current time.

        Returns:
            The number of counters objects deleted.
        """
        listed = await self._platform.list(COUNTERS_PREFIX)
        objects = {o.key.removeprefix(COUNTERS_PREFIX): o for o in listed}
        versions = {name: o.version for name, o in objects.items()}
        monotonic_now = time.monotonic() if now is None else now
        deleted = 0
        for names in self._plan.due(versions, alive, monotonic_now):
            group = {name: objects[name] for name in names}
            await self._write(group)
            for stored in group.values():
                await self._platform.delete(
                    stored.key, if_version=stored.version
                )
                deleted += 1
        return deleted

    async def _write(self, group: dict[str, PlatformObject]) -> None:
        stored = await self._platform.get(ARCHIVE_KEY)
        archive = decode_archive(stored.value if stored else None)
        rows: dict[str, Rows] = {
            name: decode_rows(o.value) for name, o in group.items()
        }
        new_archive = add_to_archive(archive, rows)
        if new_archive == archive:
            return
        version = stored.version if stored else 0
        blob = encode_archive(new_archive)
        await self._platform.put(ARCHIVE_KEY, blob, if_version=version)
