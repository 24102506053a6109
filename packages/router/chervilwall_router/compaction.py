"""Adds the counters of ended incarnations to the archive."""

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

from chervilwall_router.accounts import decode_rows


class Compactor:
    """Keep the number of counters objects near that of the routers.

    Args:
        platform (Platform): Where counters and archive are kept.
    """

    def __init__(self, platform: Platform) -> None:
        self._platform = platform
        self._plan = CompactionPlan()

    def __repr__(self) -> str:
        return f"Compactor({self._plan!r})"

    async def step(
        self, alive: Collection[str], now: float | None = None
    ) -> int:
        """Compacts what has ended; returns how many objects were deleted.

        The archive is written before an object is deleted, and names it, so
        that a compaction that breaks off is neither lost nor repeated.

        Args:
            alive (Collection): Incarnations that run, or may.
            now (float | None): Monotonic time. Defaults to the clock's.
        """
        listed = await self._platform.list(COUNTERS_PREFIX)
        objects = {o.key.removeprefix(COUNTERS_PREFIX): o for o in listed}
        versions = {name: o.version for name, o in objects.items()}
        at = time.monotonic() if now is None else now
        deleted = 0
        for names in self._plan.due(versions, alive, at):
            group = {name: objects[name] for name in names}
            await self._write(group)
            for found in group.values():
                await self._platform.delete(found.key, if_version=found.version)
                deleted += 1
        return deleted

    async def _write(self, group: dict[str, PlatformObject]) -> None:
        found = await self._platform.get(ARCHIVE_KEY)
        archive = decode_archive(found.value if found else None)
        rows: dict[str, Rows] = {
            name: decode_rows(o.value) for name, o in group.items()
        }
        new = add_to_archive(archive, rows)
        if new == archive:
            return
        version = found.version if found else 0
        blob = encode_archive(new)
        await self._platform.put(ARCHIVE_KEY, blob, if_version=version)
