"""Routes, services and team keys of one platform configuration."""

import enum
import random
from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

# Size limit of 16 GiB, which stands for no limit.
UNLIMITED_BYTES = 1 << 34


class RouteKind(enum.Enum):
    """Kind of a route, which decides whether its requests may be repeated.

    A stream may be repeated only if the route is resumable.
    """

    IDEMPOTENT = "idempotent"
    NON_IDEMPOTENT = "non_idempotent"
    STREAMING = "streaming"


class WeightedService(NamedTuple):
    """A service that receives part of a route's traffic.

    Args:
        service (str): Name of the service.
        weight (float): Its portion of the traffic, relative to the weights of
            the route's other services.
    """

    service: str
    weight: float


class Route(NamedTuple):
    """Handling of the requests to one path prefix of a host name.

    Args:
        name (str): Name of the route.
        hostname (str): Host name in lower case.
        path_prefix (str): Path prefix, with a slash at each end.
        kind (RouteKind): Whether its requests are idempotent, or answered by
            streams.
        timeout_s (float): Maximum duration of a request in seconds.
        latency_objective_s (float): Objective for the time in seconds to the
            response or, for a stream, to the first event.
        priority (int): Priority in the configuration, 0 being the most urgent.
            It has no effect on scheduling and is unrelated to `Urgency`.
        split (tuple): Services that receive the requests, with weights.
        max_attempts (int): Maximum number of targets that may run a request.
        anonymous (bool): Whether requests need no key.
        sticky (bool): Whether the configuration says that requests carry prompt
            prefixes. It has no effect: placement uses the prompt parts of each
            request.
        resumable (bool): Whether a stream can be resumed at another target.
        max_gap_s (float): Maximum time in seconds between two events of a
            stream for them to be on time, 0 for no objective.
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
        """Whether the response is a stream of events."""
        return self.kind is RouteKind.STREAMING

    @property
    def repeatable(self) -> bool:
        """Whether a request whose outcome is unknown may be run again."""
        return self.kind is RouteKind.IDEMPOTENT or (
            self.is_stream and self.resumable
        )

    def allows(self, service: str) -> bool:
        """Returns whether the route sends requests to a service."""
        return any(part.service == service for part in self.split)

    def pick_service(self, rng: random.Random) -> str:
        """Returns the name of a service, chosen at random by weight.

        Weights that are all zero prefer no service.
        """
        if len(self.split) == 1:
            return self.split[0].service
        names = [part.service for part in self.split]
        weights = [part.weight for part in self.split]
        return rng.choices(names, weights if any(weights) else None)[0]


class Service(NamedTuple):
    """A service of the stored configuration, with properties of its targets.

    Args:
        name (str): Name of the service.
        max_connections (int): Maximum number of connections that a target
            accepts from all routers together, 0 for no limit.
        kv_tokens (int): Capacity of an engine's KV cache in tokens, 0 if
            unknown.
        event_tokens (int): Number of generated tokens in one event of a
            stream.
        cold_time_s (float): Seconds for which a target is cold after it
            starts.
        cold_rate_per_s (float): Requests per second that a cold target
            tolerates from all routers together, 0 if targets are never cold.
    """

    name: str
    max_connections: int = 0
    kv_tokens: int = 0
    event_tokens: int = 1
    cold_time_s: float = 0.0
    cold_rate_per_s: float = 0.0


class CallerLimits(NamedTuple):
    """Limits on the requests and connections of callers.

    Args:
        max_header_bytes (int): Maximum size of a request's head.
        max_body_bytes (int): Maximum size of a request's body.
        header_timeout_s (float): Time in seconds within which a request's head
            must arrive.
        idle_timeout_s (float): Time in seconds for which a connection may be
            idle.
        tokens_per_s (float): Throughput of all engines together in tokens per
            second, 0 if unknown. It limits no caller; the fair shares of the
            teams are computed from it.
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
        routes (Iterable): All routes.
        services (Iterable): All services.
        limits (CallerLimits): Limits for callers. Defaults to CallerLimits().
        team_by_key (Mapping | None): Team names by key, or None if requests
            need no key. Defaults to None.
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
        self._longest_stream_s: dict[str, float] = {}
        for route in routes:
            self._by_host.setdefault(route.hostname, []).append(route)
            if route.is_stream and route.resumable:
                self._record_stream_timeout(route)
        for found in self._by_host.values():
            found.sort(key=lambda route: -len(route.path_prefix))

    def __repr__(self) -> str:
        return f"RoutingTable(version={self.version})"

    @property
    def resumable_services(self) -> Collection[str]:
        """Services to which routes with resumable streams lead."""
        return self._longest_stream_s.keys()

    def _record_stream_timeout(self, route: Route) -> None:
        for part in route.split:
            known_s = self.longest_stream_s(part.service)
            self._longest_stream_s[part.service] = max(known_s, route.timeout_s)

    @property
    def requires_keys(self) -> bool:
        """Whether requests must carry the key of a team."""
        return self._team_by_key is not None

    def find_route(self, hostname: str, path: str) -> Route | None:
        """Returns the route of a host with the longest prefix of a path.

        Returns None if no route matches.
        """
        for route in self._by_host.get(hostname, ()):
            if path.startswith(route.path_prefix):
                return route
        return None

    def longest_stream_s(self, service: str) -> float:
        """Returns the longest timeout of a service's resumable streams.

        Returns:
            Seconds, 0 if no route has resumable streams there.
        """
        return self._longest_stream_s.get(service, 0.0)

    def team(self, key: str) -> str | None:
        """Returns the name of the team that owns a key, or None."""
        return (self._team_by_key or {}).get(key)

    def teams(self) -> set[str]:
        """Returns the names of all teams."""
        return set((self._team_by_key or {}).values())
