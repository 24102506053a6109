"""The accepted configuration: teams, services, request classes and targets.

Operators edit the configuration as a sheet. When a sheet is accepted, the
configuration is stored in one platform object.
"""

import hashlib
from typing import NamedTuple

import msgspec

from chervilwall._decoding import decode_value

# A request costs the work that it took: a weighted sum of the tokens that its
# answer reports or, without such a report, its duration in milliseconds.
MEASURE_WORK = "work"
# A completed request costs the worth of its class.
MEASURE_WORTH = "worth"
MEASURES = (MEASURE_WORK, MEASURE_WORTH)
TARGET_ACTIVE = "active"
TARGET_LEAVING = "leaving"
TARGET_STATES = (TARGET_ACTIVE, TARGET_LEAVING)
CONFIG_KEY = "config/current"


class Team(NamedTuple):
    """A team that pays for service.

    Args:
        name (str): Unique name.
        share (float): Share of the capacity relative to other teams, above 0.
        key_hashes (tuple): SHA-256 hex digests of the team's keys.
    """

    name: str
    share: float
    key_hashes: tuple[str, ...] = ()


class Service(NamedTuple):
    """A service that teams send requests to.

    Args:
        name (str): Unique name; for an engine service also the model name.
        measure (str): Quantity that is shared fairly between teams and in which
            costs are counted, "work" or "worth".
    """

    name: str
    measure: str = MEASURE_WORK


class RequestClass(NamedTuple):
    """A class of requests to one service.

    Args:
        name (str): Name, unique within the service.
        service (str): Name of the service.
        path (str): Path prefix of the requests in this class.
        worth (float): Value of one completed request relative to other classes.
        idempotent (bool): Whether a request may run more than once.
        deadline_s (float): Seconds within which the response must start.
        cost_hint (float): Expected work of one request in work units.
    """

    name: str
    service: str
    path: str
    worth: float = 1.0
    idempotent: bool = True
    deadline_s: float = 30.0
    cost_hint: float = 100.0


class Target(NamedTuple):
    """A back end that serves one service.

    Args:
        name (str): Unique name.
        service (str): Name of the service.
        address (str): Address as "IP:port".
        zone (str): Availability zone.
        slots (int): Maximum number of requests that it runs at once.
        checks_fencing (bool): Whether it refuses orders of a router that has
            since lost the lease to another. It recognizes them by their lower
            fencing number; see `lease`.
        state (str): "active" or "leaving".
        model (str): Model version that it must load, "" for none.
    """

    name: str
    service: str
    address: str
    zone: str = ""
    slots: int = 8
    checks_fencing: bool = False
    state: str = TARGET_ACTIVE
    model: str = ""


class Config(NamedTuple):
    """A complete configuration, as accepted from a sheet."""

    teams: tuple[Team, ...] = ()
    services: tuple[Service, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    targets: tuple[Target, ...] = ()

    def team(self, name: str) -> Team | None:
        """Returns the team with a name, or None."""
        return next((t for t in self.teams if t.name == name), None)

    def service(self, name: str) -> Service | None:
        """Returns the service with a name, or None."""
        return next((s for s in self.services if s.name == name), None)

    def targets_of(self, service: str) -> tuple[Target, ...]:
        """Returns the targets of a service, including leaving ones."""
        return tuple(t for t in self.targets if t.service == service)

    def classes_of(self, service: str) -> tuple[RequestClass, ...]:
        """Returns the request classes of a service."""
        return tuple(c for c in self.classes if c.service == service)

    def digest(self) -> str:
        """Returns a short digest that is the same for equal configurations."""
        blob = msgspec.json.encode(self)
        return hashlib.sha256(blob).hexdigest()[:16]


class HistoryEntry(NamedTuple):
    """An accepted change in the history of the configuration.

    Args:
        apply_id (str): Unique id of the change.
        digest (str): Digest of the configuration after the change.
        operator (str): Name of the operator who made the change.
        accepted_at (str): Time in UTC, in ISO 8601 format.
    """

    apply_id: str
    digest: str
    operator: str
    accepted_at: str


class ConfigObject(NamedTuple):
    """The value of the platform object with the current configuration.

    Args:
        config (Config): The configuration.
        apply_id (str): Unique id of the change. If the reply to the write is
            lost, the operator's command finds out by this id whether the change
            was accepted.
        history (tuple): Accepted changes, newest last.
    """

    config: Config
    apply_id: str
    history: tuple[HistoryEntry, ...] = ()


_DECODER = msgspec.json.Decoder(ConfigObject)


class VersionedConfig(NamedTuple):
    """A configuration and the platform version of its object.

    A higher version is newer.
    """

    version: int
    config: Config


def hash_key(key: str) -> str:
    """Returns the SHA-256 hex digest by which a sheet lists a team's key."""
    return hashlib.sha256(key.encode()).hexdigest()


def decode_object(value: bytes) -> ConfigObject:
    """Decodes the value of the configuration object.

    Raises:
        PlatformError: If the value cannot be decoded.
    """
    return decode_value(_DECODER, value, "decode configuration")
