"""Interfaces of everything that varies or stands outside the decisions."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol


class PlatformObject(NamedTuple):
    """A value kept by the platform.

    Args:
        key (str): Its name, with parts divided by "/".
        version (int): Raised by the platform at each change.
        value (bytes): At most a megabyte.
    """

    key: str
    version: int
    value: bytes


class HostEntry(NamedTuple):
    """A line of the platform's list of hosts.

    Args:
        address (str): IP number of the host.
        state (str): "live" or "leaving".
    """

    address: str
    state: str


class WatchResult(NamedTuple):
    """What a watch has seen.

    Args:
        revision (int): Where the next watch should begin.
        objects (tuple): Objects changed since, in their newest version.
    """

    revision: int
    objects: tuple[PlatformObject, ...]


class Platform(Protocol):
    """The platform's object service.

    Every call raises PlatformUnavailableError where the outcome is not known
    and RateLimitedError where the call was refused for its rate.
    """

    async def get(self, key: str) -> PlatformObject | None:
        """Returns an object, or None where there is none."""
        ...

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object and returns its new version.

        Args:
            key (str): Its name.
            value (bytes): The new value.
            if_version (int | None): Version it must have; 0 for one that must
                not exist; None for any.

        Raises:
            VersionConflictError: It has another version.
        """
        ...

    async def delete(self, key: str, *, if_version: int) -> None:
        """Deletes an object of a given version."""
        ...

    async def list(self, prefix: str) -> tuple[PlatformObject, ...]:
        """Returns the objects whose key starts with a prefix."""
        ...

    async def watch(
        self, prefix: str, since: int, timeout_s: float
    ) -> WatchResult:
        """Waits for changes below a prefix after a revision."""
        ...

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns the platform's list of hosts."""
        ...


class Metrics(Protocol):
    """Where counts and timings go."""

    def count(self, name: str, value: int = 1) -> None:
        """Adds to a counter."""
        ...

    def observe(self, kind: str, team: str, cls: str, seconds: float) -> None:
        """Adds a duration to the histogram of a team's class."""
        ...


class AnswerSink(Protocol):
    """Where a target's answer goes as it arrives."""

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Takes the status and the headers."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Takes a piece of the body, and waits while the caller is slow."""
        ...
