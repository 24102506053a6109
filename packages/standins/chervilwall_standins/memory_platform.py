"""A platform in memory, behind the same protocol, for focused tests."""

from chervilwall.errors import PlatformUnavailableError, VersionConflictError
from chervilwall.protocol import HostEntry, PlatformObject, WatchResult

from chervilwall_standins.object_store import ConflictError, ObjectStore


class MemoryPlatform:
    """Keep objects, and fail as told."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.down = False
        self.lose_replies = 0
        self.writes = 0

    def __repr__(self) -> str:
        return f"MemoryPlatform({self.store!r}, down={self.down})"

    async def get(self, key: str) -> PlatformObject | None:
        """Returns an object, or None where there is none."""
        self._check()
        return self.store.get(key)

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object and returns its new version."""
        self._check()
        try:
            version = self.store.put(key, value, if_version)
        except ConflictError as exc:
            raise VersionConflictError(key, step="put") from exc
        self.writes += 1
        self._reply()
        return version

    async def delete(self, key: str, *, if_version: int) -> None:
        """Deletes an object of a given version."""
        self._check()
        try:
            self.store.delete(key, if_version)
        except ConflictError as exc:
            raise VersionConflictError(key, step="delete") from exc
        self._reply()

    async def list(self, prefix: str) -> tuple[PlatformObject, ...]:
        """Returns the objects whose key starts with a prefix."""
        self._check()
        return tuple(self.store.list(prefix))

    async def watch(
        self, prefix: str, since: int, timeout_s: float
    ) -> WatchResult:
        """Returns what changed, without waiting."""
        self._check()
        found = tuple(self.store.list(prefix, since))
        return WatchResult(self.store.revision, found)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns an empty host list."""
        self._check()
        return ()

    def _check(self) -> None:
        if self.down:
            raise PlatformUnavailableError("down", step="call")

    def _reply(self) -> None:
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise PlatformUnavailableError("reply lost", step="call")
