"""Routes, services and keys of one configuration of the platform."""

import enum
import random
from collections.abc import Iterable, Mapping
from typing import NamedTuple

UNLIMITED_BYTES = 1 << 34


class RouteKind(enum.Enum):
    """What may be repeated of a route's requests."""

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(NamedTuple):
    """A part of a route's traffic.

    Args:
        service (str): Where it goes.
        weight (float): Its portion relative to the other parts.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """A path prefix of a host name, and how its requests are treated.

    Args:
        name (str): Name.
        hostname (str): Host name, in lower case.
        path_prefix (str): Begins and ends with a slash.
        kind (RouteKind): What may be repeated.
        timeout_s (float): Longest time a request may take.
        latency_objective_s (float): Time to the answer, or to the first event.
        priority (int): 0 is the most urgent.
        split (tuple): Services with their weights.
        max_attempts (int): Most targets that may run a request.
        anonymous (bool): Whether no key is asked for.
        sticky (bool): Whether requests carry prompt prefixes.
        resumable (bool): Whether a stream may go on at another target.
        max_gap_s (float): Longest pause between events in time, 0 for none.
    """

    name: str
    hostname: str
    path_prefix: str
    kind: RouteKind
    timeout_s: float
    latency_objective_s: float
    priority: int
    split: tuple[WeightedService, ...]
    max_attempts: int
    anonymous: bool = False
    sticky: bool = False
    resumable: bool = False
    max_gap_s: float = 0.0

    @property
    def is_stream(self) -> bool:
        """Whether the answer is a series of events."""
        return self.kind is RouteKind.STREAMING

    @property
    def repeatable(self) -> bool:
        """Whether a request may run again after an unknown outcome."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.is_stream and self.resumable
        )

    def allows(self, service: str) -> bool:
        """Tells whether the route sends requests to a service."""
        return any(part.service == service for part in self.split)

    def pick_service(self, rng: random.Random) -> str:
        """Returns a service, drawn by weight."""
        if len(self.split) == 1:
            return self.split[0].service
        names = [part.service for part in self.split]
        weights = [part.weight for part in self.split]
        return rng.choices(names, weights)[0]


class Service(NamedTuple):
    """A kind of targets.

    Args:
        name (str): Name.
        max_connections (int): Most connections a target takes from all.
        kv_tokens (int): Tokens that an engine's KV cache holds, 0 if not told.
        event_tokens (int): Generated tokens that one event of a stream holds.
    """

    name: str
    max_connections: int = 0
    kv_tokens: int = 0
    event_tokens: int = 1


class CallerLimits(NamedTuple):
    """What a caller may send.

    Args:
        max_header_bytes (int): Longest head of a request.
        max_body_bytes (int): Longest body.
        header_timeout_s (float): Time for a head.
        idle_timeout_s (float): Time that a connection may stay idle.
        tokens_per_s (float): What all engines produce together, 0 if unknown.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = UNLIMITED_BYTES
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    tokens_per_s: float = 0.0


class RoutingTable:
    """Find the route and the team of a request under one configuration.

    Args:
        version (int): Version of the configuration.
        routes (Iterable): Routes.
        services (Iterable): Services.
        limits (CallerLimits): Limits. Defaults to the built-in ones.
        team_by_key (Mapping | None): Teams by key; None where no keys are
            asked for. Defaults to None.
    """

    def __init__(
        self,
        version: int,
        routes: Iterable[Route],
        services: Iterable[Service],
        *,
        limits: CallerLimits | None = None,
        team_by_key: Mapping[str, str] | None = None,
    ) -> None:
        self.version = version
        self.limits = limits or CallerLimits()
        self.services = {service.name: service for service in services}
        self._team_by_key = team_by_key
        self._by_host: dict[str, list[Route]] = {}
        for route in routes:
            self._by_host.setdefault(route.hostname, []).append(route)
        for found in self._by_host.values():
            found.sort(key=lambda route: -len(route.path_prefix))

    def __repr__(self) -> str:
        return f"RoutingTable(version={self.version})"

    @property
    def asks_for_keys(self) -> bool:
        """Whether requests must carry a team's key."""
        return self._team_by_key is not None

    def match(self, hostname: str, path: str) -> Route | None:
        """Returns the route with the longest prefix of a path."""
        for route in self._by_host.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def team(self, key: str) -> str | None:
        """Returns the team that holds a key."""
        return (self._team_by_key or {}).get(key)

    def teams(self) -> set[str]:
        """Returns the names of all teams."""
        return set((self._team_by_key or {}).values())
