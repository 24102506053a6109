"""Python protocols for the I/O around the decision logic.

These are the two object stores, the wire format, metrics and response sinks.
The decision logic depends on these only, so that implementations can be
replaced.

There are two stores, of which a router uses one. `Platform` is the versioned
object service, which stores objects by key. `ObjectStore` is the store of the
deployment platform, which stores objects by kind and name; the edge routers use
it.
"""

from collections.abc import Mapping
from typing import NamedTuple, Protocol

from chervilwall.http_messages import Headers, InboundRequest, ResponseHead
from chervilwall.registry import RegisteredTarget
from chervilwall.routing import RoutingTable
from chervilwall.store_era import StoreEra, StoreRevision


class PlatformObject(NamedTuple):
    """An object in the versioned object service.

    Args:
        key (str): Name of the object, with "/" as separator.
        version (int): Version, incremented by the object service at each
            change.
        value (bytes): Content, at most 1 MB.
    """

    key: str
    version: int
    value: bytes


class HostEntry(NamedTuple):
    """An entry in the object service's list of hosts.

    Args:
        address (str): IP address of the host.
        state (str): "live" or "leaving".
    """

    address: str
    state: str


class WatchResult(NamedTuple):
    """Result of a watch.

    Args:
        revision (int): Revision to pass as `since` to the next watch.
        objects (tuple): Latest versions of the objects that changed.
    """

    revision: int
    objects: tuple[PlatformObject, ...]


class Platform(Protocol):
    """Access the versioned object service.

    Every method raises PlatformUnavailableError if the outcome of the call is
    unknown, and RateLimitedError if the rate limit of the object service was
    exceeded.
    """

    async def get(self, key: str) -> PlatformObject | None:
        """Returns an object, or None if it does not exist."""
        ...

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object and returns its new version.

        Args:
            key (str): Name of the object.
            value (bytes): New content.
            if_version (int | None): Write only if the object has this version,
                or, with 0, if it does not exist. None writes unconditionally.

        Raises:
            VersionConflictError: The object has a different version.
        """
        ...

    async def delete(self, key: str, *, if_version: int) -> None:
        """Deletes an object if it has the given version.

        Raises:
            VersionConflictError: The object has a different version.
        """
        ...

    async def list(self, prefix: str) -> tuple[PlatformObject, ...]:
        """Returns all objects whose keys start with a prefix."""
        ...

    async def watch(
        self, prefix: str, since: int, timeout_s: float
    ) -> WatchResult:
        """Waits for objects to change.

        Args:
            prefix (str): Prefix of the keys to watch.
            since (int): Revision after which to report changes.
            timeout_s (float): Longest wait in seconds.
        """
        ...

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns the hosts that the object service lists."""
        ...


class Metrics(Protocol):
    """Count events and record durations."""

    def count(self, name: str, value: int = 1) -> None:
        """Increments a counter."""
        ...

    def record_duration(
        self, kind: str, team: str, cls: str, seconds: float
    ) -> None:
        """Records a duration in the histogram of a team and request class.

        Args:
            kind (str): What was measured, such as "total".
            team (str): The team.
            cls (str): The request class.
            seconds (float): The duration.
        """
        ...


class ResponseSink(Protocol):
    """Receive a target's response as it streams in."""

    def begin(self, status: int, headers: Mapping[str, str]) -> None:
        """Starts the response with a status and headers."""
        ...

    async def write(self, chunk: bytes) -> None:
        """Writes a chunk of the body, waiting while the caller is slow."""
        ...


class StoredObject(NamedTuple):
    """An object in the deployment platform's store.

    Args:
        name (str): Name of the object, unique within its kind.
        revision (int): Store revision of its latest change.
        value (bytes): Content as JSON.
        deleted (bool): Whether the object was deleted.
        era (int): Era of the store that the revision belongs to, 0 if the
            store states none. Defaults to 0.
    """

    name: str
    revision: int
    value: bytes
    deleted: bool = False
    era: int = 0

    @property
    def position(self) -> StoreRevision:
        """Era and revision of its latest change."""
        return StoreRevision(self.era, self.revision)


class ObjectList(NamedTuple):
    """All objects of a kind, or those that changed.

    Args:
        revision (int): Store revision that the list reflects; to be passed as
            `since` to the next watch.
        objects (tuple): The objects.
        era (int): Era of the store that the revision belongs to, 0 if the
            store states none. Defaults to 0.
    """

    revision: int
    objects: tuple[StoredObject, ...]
    era: int = 0

    @property
    def position(self) -> StoreRevision:
        """Era and revision that the list reflects."""
        return StoreRevision(self.era, self.revision)


class ObjectStore(Protocol):
    """Access the deployment platform's store of objects by kind and name.

    A response of an older era than the newest known one fails like a call
    without a response, as what it says may be lost.

    Every method raises PlatformUnavailableError if the outcome of the call is
    unknown, and RateLimitedError if the store's rate limit was exceeded.

    Args:
        era (StoreEra): Newest known era of the store.
    """

    era: StoreEra

    async def read(self, kind: str, name: str) -> StoredObject | None:
        """Returns an object, or None if it does not exist."""
        ...

    async def list_objects(
        self, kind: str, *, stale: bool = False
    ) -> ObjectList:
        """Returns all objects of a kind.

        Args:
            kind (str): Kind of the objects.
            stale (bool): Whether to accept a result that is seconds old, which
                is cheaper for the store. Defaults to False.
        """
        ...

    async def watch_objects(
        self, kind: str, since: int, wait_s: float
    ) -> ObjectList:
        """Waits for objects of a kind to change.

        Args:
            kind (str): Kind of the objects.
            since (int): Revision after which to report changes.
            wait_s (float): Longest wait in seconds.

        Raises:
            RevisionExpiredError: The store no longer has the changes since that
                revision.
        """
        ...

    async def create(self, kind: str, name: str, value: bytes) -> StoredObject:
        """Creates an object.

        Raises:
            VersionConflictError: The object exists already.
        """
        ...

    async def replace(
        self,
        kind: str,
        name: str,
        value: bytes,
        *,
        revision: StoreRevision | None,
    ) -> StoredObject:
        """Replaces the content of an object.

        Args:
            kind (str): Kind of the object.
            name (str): Name of the object.
            value (bytes): New content as JSON.
            revision (StoreRevision | None): Replace only if the object has this
                revision in this era. None replaces unconditionally.

        Raises:
            MissingObjectError: The object does not exist.
            VersionConflictError: The object has a different revision, or the
                revision is of an older era.
        """
        ...

    async def remove(self, kind: str, name: str) -> None:
        """Deletes an object if it exists."""
        ...


class PlatformDecoder(Protocol):
    """Decode the objects that operators and targets write to the store.

    Args:
        config_kind (str): Kind of the object that holds the configuration.
        config_name (str): Name of that object.
        target_kind (str): Kind of the objects that register targets.
        evacuation_kind (str): Kind of the objects that evacuate zones, each
            named after its zone.
    """

    config_kind: str
    config_name: str
    target_kind: str
    evacuation_kind: str

    def decode_configuration(self, value: bytes) -> RoutingTable:
        """Decodes the configuration.

        Raises:
            CodecError: The value cannot be decoded.
        """
        ...

    def decode_registration(self, name: str, value: bytes) -> RegisteredTarget:
        """Decodes the registration of a target.

        Args:
            name (str): Name of the object.
            value (bytes): Its content.

        Raises:
            CodecError: The value does not describe a usable target.
        """
        ...


class WireFormat(Protocol):
    """Convert HTTP headers to and from requests and answers."""

    def decode_request_head(
        self,
        method: str,
        url: str,
        headers: Headers,
        received_at: float,
    ) -> InboundRequest:
        """Parses the head of a request. The body is added later.

        Args:
            method (str): HTTP method.
            url (str): Request target of the request line.
            headers (Headers): Headers of the request.
            received_at (float): Monotonic time of its arrival.

        Raises:
            CodecError: The head is malformed.
        """
        ...

    def encode_target_headers(
        self,
        req: InboundRequest,
        target: RegisteredTarget,
        *,
        team: str,
        remaining_s: float,
        last_event_id: int,
    ) -> Headers:
        """Builds the headers of a request to a target.

        Args:
            req (InboundRequest): The caller's request.
            target (RegisteredTarget): Target that the request is sent to.
            team (str): Team that is charged.
            remaining_s (float): Seconds left until the deadline of the caller's
                request.
            last_event_id (int): Id of the last event that the caller received.
        """
        ...

    def decode_response_head(
        self, status: int, headers: Headers
    ) -> ResponseHead:
        """Parses the head of a target's answer."""
        ...
