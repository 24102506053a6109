"""The accepted configuration: teams, services, classes and targets."""

import hashlib
from typing import NamedTuple

import msgspec

from chervilwall._value import decode_value

MEASURE_WORK = "work"
MEASURE_WORTH = "worth"
MEASURES = (MEASURE_WORK, MEASURE_WORTH)
TARGET_ACTIVE = "active"
TARGET_LEAVING = "leaving"
TARGET_STATES = (TARGET_ACTIVE, TARGET_LEAVING)
CONFIG_KEY = "config/current"


class Team(NamedTuple):
    """A paying team.

    Args:
        name (str): Unique name.
        share (float): Portion of capacity relative to other teams, above 0.
        key_hashes (tuple): SHA-256 hex digests of the keys it may present.
    """

    name: str
    share: float
    key_hashes: tuple[str, ...] = ()


class Service(NamedTuple):
    """A kind of capacity that teams call.

    Args:
        name (str): Unique name; also the model name of an engine service.
        measure (str): "work" or "worth", what fairness counts.
    """

    name: str
    measure: str = MEASURE_WORK


class RequestClass(NamedTuple):
    """A class of requests to one service.

    Args:
        name (str): Name, unique within the service.
        service (str): The service it belongs to.
        path (str): Path prefix that selects it.
        worth (float): Worth of one completed request.
        idempotent (bool): Whether it may run more than once.
        deadline_s (float): Seconds within which an answer must start.
        cost_hint (float): Expected work of one request, in work units.
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
        service (str): The service it serves.
        address (str): "IP:port".
        zone (str): Availability zone.
        slots (int): Requests it may run at once.
        checks_fencing (bool): Whether it refuses orders with an old number.
        state (str): "active" or "leaving".
        model (str): Model version it is to have loaded, or "".
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
    """One whole configuration, as accepted from a sheet."""

    teams: tuple[Team, ...] = ()
    services: tuple[Service, ...] = ()
    classes: tuple[RequestClass, ...] = ()
    targets: tuple[Target, ...] = ()

    def team(self, name: str) -> Team | None:
        """Returns the team of that name, if any."""
        return next((t for t in self.teams if t.name == name), None)

    def service(self, name: str) -> Service | None:
        """Returns the service of that name, if any."""
        return next((s for s in self.services if s.name == name), None)

    def targets_of(self, service: str) -> tuple[Target, ...]:
        """Returns the targets of a service, leaving ones included."""
        return tuple(t for t in self.targets if t.service == service)

    def classes_of(self, service: str) -> tuple[RequestClass, ...]:
        """Returns the request classes of a service."""
        return tuple(c for c in self.classes if c.service == service)

    def digest(self) -> str:
        """Returns a short digest that equal configurations share."""
        blob = msgspec.json.encode(self)
        return hashlib.sha256(blob).hexdigest()[:16]


class HistoryEntry(NamedTuple):
    """One acceptance in the configuration's history."""

    apply_id: str
    digest: str
    operator: str
    accepted_at: str


class ConfigObject(NamedTuple):
    """The platform object that holds the configuration in force.

    Args:
        config (Config): The configuration.
        apply_id (str): Unique id of the acceptance, so that an operator whose
            reply was lost can recognise its own change.
        history (tuple): Past acceptances, newest last.
    """

    config: Config
    apply_id: str
    history: tuple[HistoryEntry, ...] = ()


_DECODER = msgspec.json.Decoder(ConfigObject)


class VersionedConfig(NamedTuple):
    """A configuration with the platform version that orders it."""

    version: int
    config: Config


def hash_key(key: str) -> str:
    """Returns the digest under which a team's key stands in the sheet."""
    return hashlib.sha256(key.encode()).hexdigest()


def decode_object(value: bytes) -> ConfigObject:
    """Returns the configuration object in a platform value.

    Raises:
        PlatformError: The value does not decode.
    """
    return decode_value(_DECODER, value, "decode configuration")
