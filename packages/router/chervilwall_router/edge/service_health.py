"""Health of the targets of all services."""

from collections.abc import Callable, Iterable

from chervilwall.health import CellHealth
from chervilwall.load_view import LoadView
from chervilwall.registry import RegisteredTarget


class ServiceHealth:
    """Hold the health of each service's targets.

    Args:
        load (LoadView): What this router has on them.
        clock (Callable): Returns the monotonic time.
    """

    def __init__(self, load: LoadView, clock: Callable[[], float]) -> None:
        self._load = load
        self._clock = clock
        self._by_service: dict[str, CellHealth] = {}

    def __repr__(self) -> str:
        return f"ServiceHealth(services={sorted(self._by_service)})"

    def of(self, service: str) -> CellHealth:
        """Returns the health of a service's targets."""
        found = self._by_service.get(service)
        if found is None:
            found = self._by_service[service] = CellHealth()
        return found

    def is_usable(self, target: RegisteredTarget) -> bool:
        """Tells whether a target is well enough for another request."""
        in_flight = self._load.own_running(target.id)
        health = self.of(target.service)
        return health.is_usable(target.id, self._clock(), in_flight)

    def set_targets(self, targets: Iterable[RegisteredTarget]) -> None:
        """Keeps records of these targets only."""
        by_service: dict[str, set[str]] = {}
        for target in targets:
            by_service.setdefault(target.service, set()).add(target.id)
        for service, names in by_service.items():
            self.of(service).set_targets(names)
