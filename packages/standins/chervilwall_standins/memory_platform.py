"""In-memory implementation of the platform protocol for unit tests."""

from chervilwall.errors import PlatformUnavailableError, VersionConflictError
from chervilwall.protocol import HostEntry, PlatformObject, WatchResult

from chervilwall_standins.object_store import ConflictError, ObjectStore


class MemoryPlatform:
    """Keep objects in memory, with failures that tests control.

    Attributes:
        store (ObjectStore): The stored objects.
        down (bool): Whether every call fails.
        lose_replies (int): Number of following writes that take effect but
            raise an error, as if the reply were lost.
        writes (int): Number of calls of `put` that took effect.
    """

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.down = False
        self.lose_replies = 0
        self.writes = 0

    def __repr__(self) -> str:
        return f"MemoryPlatform({self.store!r}, down={self.down})"

    async def get(self, key: str) -> PlatformObject | None:
        """Returns an object, or None if it does not exist."""
        self._raise_if_down()
        return self.store.get(key)

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object and returns its new version.

        Args:
            key (str): Key of the object.
            value (bytes): New value.
            if_version (int | None): Version that the object must have, 0 if it
                must not exist, or None to write unconditionally.

        Raises:
            VersionConflictError: If the object has another version.
            PlatformUnavailableError: If the platform is down or loses the
                reply.
        """
        self._raise_if_down()
        try:
            version = self.store.put(key, value, if_version)
        except ConflictError as exc:
            raise VersionConflictError(key, step="put") from exc
        self.writes += 1
        self._raise_if_reply_lost()
        return version

    async def delete(self, key: str, *, if_version: int) -> None:
        """Deletes an object.

        Raises:
            VersionConflictError: If the object does not have this version.
            PlatformUnavailableError: If the platform is down or loses the
                reply.
        """
        self._raise_if_down()
        try:
            self.store.delete(key, if_version)
        except ConflictError as exc:
            raise VersionConflictError(key, step="delete") from exc
        self._raise_if_reply_lost()

    async def list(self, prefix: str) -> tuple[PlatformObject, ...]:
        """Returns the objects whose key starts with a prefix."""
        self._raise_if_down()
        return tuple(self.store.list(prefix))

    async def watch(
        self, prefix: str, since: int, timeout_s: float
    ) -> WatchResult:
        """Returns the objects changed since a revision; ignores `timeout_s`."""
        self._raise_if_down()
        changed = tuple(self.store.list(prefix, since))
        return WatchResult(self.store.revision, changed)

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns an empty host list."""
        self._raise_if_down()
        return ()

    def _raise_if_down(self) -> None:
        if self.down:
            raise PlatformUnavailableError("the platform is down", step="call")

    def _raise_if_reply_lost(self) -> None:
        """Raises an error if the reply of this write is to be lost."""
        if self.lose_replies > 0:
            self.lose_replies -= 1
            raise PlatformUnavailableError("reply lost", step="call")
