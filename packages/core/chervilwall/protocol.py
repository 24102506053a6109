"""Interfaces of everything that varies or stands outside the decisions."""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from chervilwall.inbound import AnswerHead, Headers, InboundRequest
from chervilwall.registry import RegisteredTarget
from chervilwall.routing import RoutingTable


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


class StoredObject(NamedTuple):
    """An object of the platform's store.

    Args:
        name (str): Its name, unique in its kind.
        revision (int): Revision of its last change.
        value (bytes): What it holds, as JSON.
        deleted (bool): Whether it was deleted.
    """

    name: str
    revision: int
    value: bytes
    deleted: bool = False


class ObjectList(NamedTuple):
    """Objects of a kind, or changes to them.

    Args:
        revision (int): Revision of the store that it shows; a watch goes on
            from there.
        objects (tuple): The objects.
    """

    revision: int
    objects: tuple[StoredObject, ...]


class ObjectStore(Protocol):
    """The platform's store of objects by kind and name.

    Every call raises PlatformUnavailableError where the outcome is not known
    and RateLimitedError where the call was refused for its rate.
    """

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None where there is none."""
        ...

    async def list_kind(self, kind: str, *, stale: bool = False) -> ObjectList:
        """Returns all objects of a kind.

        Args:
            kind (str): The kind.
            stale (bool): Whether the answer may be seconds old, which costs
                less.
        """
        ...

    async def watch_kind(
        self, kind: str, since: int, wait_s: float
    ) -> ObjectList:
        """Waits for changes of a kind after a revision.

        Raises:
            HistoryGoneError: The store has forgotten that revision.
        """
        ...

    async def create(self, kind: str, name: str, value: bytes) -> StoredObject:
        """Creates an object.

        Raises:
            VersionConflictError: It exists.
        """
        ...

    async def replace(
        self, kind: str, name: str, value: bytes, *, revision: int | None
    ) -> StoredObject:
        """Replaces what an object holds.

        Args:
            kind (str): Its kind.
            name (str): Its name.
            value (bytes): The new value, as JSON.
            revision (int | None): Revision it must have; None for any.

        Raises:
            MissingObjectError: There is none.
            VersionConflictError: It has another revision.
        """
        ...

    async def remove(self, kind: str, name: str) -> None:
        """Deletes an object, if it exists."""
        ...


class PlatformDecoder(Protocol):
    """Decodes what the operator and the targets write to the store.

    Args:
        config_kind (str): Kind of the configuration's object.
        config_name (str): Its name.
        target_kind (str): Kind of the registrations of targets.
    """

    config_kind: str
    config_name: str
    target_kind: str

    def routing(self, value: bytes) -> RoutingTable:
        """Returns a configuration.

        Raises:
            CodecError: It does not decode.
        """
        ...

    def target(self, name: str, value: bytes) -> RegisteredTarget:
        """Returns a target's registration.

        Raises:
            CodecError: It names no target that can be used.
        """
        ...


class WireFormat(Protocol):
    """Names of headers, towards callers and targets."""

    def read_request(
        self,
        method: str,
        url: str,
        headers: Headers,
        received_at: float,
    ) -> InboundRequest:
        """Returns a request from its head; the body is added later.

        Raises:
            CodecError: The head is not proper.
        """
        ...

    def request_headers(
        self,
        req: InboundRequest,
        target: RegisteredTarget,
        *,
        team: str,
        remaining_s: float,
        last_event_id: int,
    ) -> Headers:
        """Returns the headers of a request to a target."""
        ...

    def read_answer(self, status: int, headers: Headers) -> AnswerHead:
        """Returns a target's answer from its head."""
        ...
