"""Health of targets, by service."""

from collections.abc import Callable, Iterable

from chervilwall.health import CellHealth
from chervilwall.load_view import LoadView
from chervilwall.registry import RegisteredTarget


class ServiceHealth:
    """Track the health of the targets of each service.

    Args:
        load (LoadView): Load of the targets.
        clock (Callable): Returns the monotonic time in seconds.
    """

    def __init__(self, load: LoadView, clock: Callable[[], float]) -> None:
        self._load = load
        self._clock = clock
        self._by_service: dict[str, CellHealth] = {}

    def __repr__(self) -> str:
        return f"ServiceHealth(services={sorted(self._by_service)})"

    def of(self, service: str) -> CellHealth:
        """Returns the health of the targets of a service."""
        health = self._by_service.get(service)
        if health is None:
            health = self._by_service[service] = CellHealth()
        return health

    def is_usable(self, target: RegisteredTarget) -> bool:
        """Returns whether a target is healthy enough for another request."""
        in_flight = self._load.own_running(target.id)
        health = self.of(target.service)
        return health.is_usable(target.id, self._clock(), in_flight)

    def set_targets(self, targets: Iterable[RegisteredTarget]) -> None:
        """Sets the targets of the services that the given targets belong to.

        Records of other targets of these services are dropped.

        Args:
            targets (Iterable): Targets that are registered.
        """
        by_service: dict[str, set[str]] = {}
        for target in targets:
            by_service.setdefault(target.service, set()).add(target.id)
        for service, names in by_service.items():
            self.of(service).set_targets(names)
