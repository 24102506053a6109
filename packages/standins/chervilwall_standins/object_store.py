"""Store of the stand-in object service.

The stand-in for the object store of the deployment platform is in
`users.store`.
"""

import asyncio
from collections.abc import Iterator

from chervilwall.protocol import PlatformObject

MAX_VALUE_BYTES = 1_000_000


class ConflictError(Exception):
    """The object does not have the version that a write requires."""


class ObjectStore:
    """Store values by key in memory, with a store-wide revision.

    Each write or deletion increments the revision. The version of an object is
    the revision of its last write.
    """

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[str, PlatformObject] = {}
        self._changed = asyncio.Event()

    def __repr__(self) -> str:
        return f"ObjectStore(objects={len(self._objects)})"

    def get(self, key: str) -> PlatformObject | None:
        """Returns an object, or None if it does not exist."""
        return self._objects.get(key)

    def put(self, key: str, value: bytes, if_version: int | None) -> int:
        """Writes an object and returns its new version.

        Args:
            key (str): Key of the object.
            value (bytes): New value.
            if_version (int | None): Version that the object must have, 0 if it
                must not exist, or None to write unconditionally.

        Raises:
            ConflictError: If the object has another version.
        """
        existing = self._objects.get(key)
        version = existing.version if existing else 0
        if if_version is not None and if_version != version:
            raise ConflictError(key)
        self._objects[key] = PlatformObject(
            key, self._increment_revision(), value
        )
        return self.revision

    def delete(self, key: str, if_version: int | None) -> None:
        """Deletes an object.

        Args:
            key (str): Key of the object.
            if_version (int | None): Version that the object must have, or None
                to delete any version.

        Raises:
            ConflictError: If the object does not exist or has another version.
        """
        existing = self._objects.get(key)
        if existing is None or if_version not in (None, existing.version):
            raise ConflictError(key)
        del self._objects[key]
        self._increment_revision()

    def list(self, prefix: str, since: int = 0) -> Iterator[PlatformObject]:
        """Yields the objects under a prefix that changed after a revision."""
        for stored in self._objects.values():
            if stored.key.startswith(prefix) and stored.version > since:
                yield stored

    async def wait(self, prefix: str, since: int, timeout_s: float) -> None:
        """Waits until an object under a prefix changes, or for the timeout.

        Returns at once if an object changed after the revision `since`. A
        deletion does not end the wait.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        while not any(self.list(prefix, since)):
            remaining_s = deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), remaining_s)
            except TimeoutError:
                return

    def _increment_revision(self) -> int:
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision
