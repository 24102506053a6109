"""The objects of the stand-in platform, with versions and watches."""

import asyncio
from collections.abc import Iterator

from chervilwall.protocol import PlatformObject

MAX_VALUE_BYTES = 1_000_000


class ConflictError(Exception):
    """A condition on an object's version does not hold."""


class ObjectStore:
    """Keep objects under one growing revision."""

    def __init__(self) -> None:
        self.revision = 0
        self._objects: dict[str, PlatformObject] = {}
        self._changed = asyncio.Event()

    def __repr__(self) -> str:
        return f"ObjectStore(objects={len(self._objects)})"

    def get(self, key: str) -> PlatformObject | None:
        """Returns an object, if there is one."""
        return self._objects.get(key)

    def put(self, key: str, value: bytes, if_version: int | None) -> int:
        """Writes an object; 0 as version asks that there be none."""
        old = self._objects.get(key)
        version = old.version if old else 0
        if if_version is not None and if_version != version:
            raise ConflictError(key)
        self._objects[key] = PlatformObject(key, self._advance(), value)
        return self.revision

    def delete(self, key: str, if_version: int | None) -> None:
        """Deletes an object."""
        old = self._objects.get(key)
        if old is None or if_version not in (None, old.version):
            raise ConflictError(key)
        del self._objects[key]
        self._advance()

    def list(self, prefix: str, since: int = 0) -> Iterator[PlatformObject]:
        """Yields the objects below a prefix that changed after a revision."""
        for stored in self._objects.values():
            if stored.key.startswith(prefix) and stored.version > since:
                yield stored

    async def wait(self, prefix: str, since: int, timeout_s: float) -> None:
        """Waits until something below a prefix changed."""
        deadline = asyncio.get_running_loop().time() + timeout_s
        while not any(self.list(prefix, since)):
            left_s = deadline - asyncio.get_running_loop().time()
            if left_s <= 0:
                return
            try:
                await asyncio.wait_for(self._changed.wait(), left_s)
            except TimeoutError:
                return

    def _advance(self) -> int:
        self.revision += 1
        self._changed.set()
        self._changed = asyncio.Event()
        return self.revision
