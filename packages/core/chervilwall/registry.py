"""Registry of the targets that registered on the deployment platform."""

from collections.abc import Collection, Iterable, Mapping
from typing import NamedTuple

# Grace period from the end of an outage of the deployment platform: lapsed
# registrations are renewed within about 2 s, and 0.2 s allow for network delay.
LAPSE_GRACE_S = 2.2
# Limit on remembered target starts that are leaving; the oldest are dropped
# first.
MAX_LEAVING_STARTS = 4096
# Leaving targets are reported to peers repeatedly for this long, as datagrams
# may be lost.
LEAVING_REPEAT_S = 2.0


class TargetStart(NamedTuple):
    """Identity of one run of a target, from its start to its end.

    What is recorded about one run does not apply to the next one.

    Args:
        target_id (str): Id of the target.
        born_ms (int): Unix time of its start in milliseconds.
        address (str): "IP:port".
    """

    target_id: str
    born_ms: int
    address: str


class RegisteredTarget(NamedTuple):
    """A registered target.

    Args:
        id (str): Id of the target; starts that share it differ in `born_ms` or
            `address`.
        service (str): Service that it belongs to.
        address (str): "IP:port".
        zone (str): Availability zone.
        slots (int): Number of requests that it runs concurrently.
        draining (bool): Whether it only finishes requests and takes no new
            ones, because its registration says so or because it is leaving.
        warmup_s (float): Seconds after its registration for which it is still
            slow, as it warms up.
        born_ms (int): Unix time of its start in milliseconds, 0 if unknown.
        version (str): Version of its software, "" if it states none.
    """

    id: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    warmup_s: float = 0.0
    born_ms: int = 0
    version: str = ""

    @property
    def start(self) -> TargetStart:
        """Identity of this start of the target."""
        return TargetStart(self.id, self.born_ms, self.address)


class TargetRegistry:
    """Hold the targets, including those whose registration lapsed recently.

    Designed for an outage of the deployment platform, in which registrations
    lapse although their targets still serve, and are renewed shortly
    afterwards: a lapsed target is kept for a grace period.

    A target that announces in an answer that it is leaving gets no more
    requests, whatever its registration says, until it is restarted. Targets in
    evacuated zones get none until their zone returns to service.
    """

    def __init__(self) -> None:
        self._targets: dict[str, RegisteredTarget] = {}
        # Targets that are not draining, and those of them that are not in an
        # evacuated zone.
        self._undrained: dict[str, list[RegisteredTarget]] = {}
        self._by_service: dict[str, list[RegisteredTarget]] = {}
        self._evacuated_zones: frozenset[str] | None = frozenset()
        self._lapsed_until: dict[str, float] = {}
        self._leaving_since: dict[TargetStart, float] = {}
        self.revision = 0

    def __repr__(self) -> str:
        return f"TargetRegistry(targets={len(self._targets)})"

    def __contains__(self, target_id: str) -> bool:
        return target_id in self._targets

    def get(self, target_id: str) -> RegisteredTarget | None:
        """Returns the target with an id, or None."""
        return self._targets.get(target_id)

    def serving_targets(self, service: str) -> list[RegisteredTarget]:
        """Returns the targets of a service that take new requests.

        These are neither draining nor in an evacuated zone.
        """
        return self._by_service.get(service, [])

    def undrained_targets(self, service: str) -> list[RegisteredTarget]:
        """Returns the targets that serve or will when their zone returns."""
        return self._undrained.get(service, [])

    def set_evacuated_zones(self, zones: frozenset[str] | None) -> None:
        """Sets the zones whose targets get no new requests.

        Args:
            zones (frozenset | None): Names of all evacuated zones. None if they
                are not known yet: every zone may be one of them.
        """
        self._evacuated_zones = zones
        self._rebuild_index()

    def is_evacuated(self, target: RegisteredTarget) -> bool:
        """Returns whether a target is in an evacuated zone."""
        zones = self._evacuated_zones
        return zones is None or target.zone in zones

    def all_with_evacuated_draining(self) -> Iterable[RegisteredTarget]:
        """Returns all targets, those in evacuated zones marked as draining."""
        if self._evacuated_zones == frozenset():
            return self._targets.values()
        return [
            target._replace(draining=True)
            if self.is_evacuated(target)
            else target
            for target in self._targets.values()
        ]

    def all(self) -> Mapping[str, RegisteredTarget]:
        """Returns all targets by id, including those that are draining."""
        return self._targets

    def put(self, target: RegisteredTarget) -> RegisteredTarget | None:
        """Adds or updates a target; returns the registration it replaces."""
        old = self._targets.get(target.id)
        if target.start in self._leaving_since:
            target = target._replace(draining=True)
        self._targets[target.id] = target
        self._lapsed_until.pop(target.id, None)
        self._rebuild_index()
        return old

    def remove(self, target_id: str) -> bool:
        """Removes a target; returns whether it was registered."""
        known = self._targets.pop(target_id, None) is not None
        self._lapsed_until.pop(target_id, None)
        self._rebuild_index()
        return known

    def expire(self, now: float) -> list[str]:
        """Removes lapsed targets past their grace period; returns their ids."""
        gone = [t for t, until in self._lapsed_until.items() if now > until]
        for target_id in gone:
            self.remove(target_id)
        return gone

    def lapsed(self) -> Collection[str]:
        """Returns the ids of targets whose registration has lapsed."""
        return self._lapsed_until.keys()

    def lapse(self, target_id: str, until: float) -> None:
        """Marks a target as lapsed, without removing it yet.

        A repeated lapse doesn't extend the grace period.

        Args:
            target_id (str): The target.
            until (float): Monotonic time by which it must register again.
        """
        if target_id in self._targets:
            self._lapsed_until.setdefault(target_id, until)

    def prolong_lapses(self, until: float) -> None:
        """Prolongs the grace periods of all lapsed targets.

        Args:
            until (float): Monotonic time before which none of them ends.
        """
        for target_id, known_until in self._lapsed_until.items():
            self._lapsed_until[target_id] = max(known_until, until)

    def record_leaving(self, start: TargetStart, now: float) -> bool:
        """Records that a target is leaving, which drains it.

        Args:
            start (TargetStart): The start of the target that is leaving.
            now (float): Monotonic time.

        Returns:
            Whether this was not known before.
        """
        if start in self._leaving_since:
            return False
        self._leaving_since[start] = now
        while len(self._leaving_since) > MAX_LEAVING_STARTS:
            del self._leaving_since[next(iter(self._leaving_since))]
        target = self._targets.get(start.target_id)
        if target is not None and target.start == start:
            self._targets[target.id] = target._replace(draining=True)
            self._rebuild_index()
        return True

    def recently_leaving(self, now: float) -> tuple[TargetStart, ...]:
        """Returns the leaving targets that are to be reported to peers."""
        found = []
        for start, recorded_at in reversed(self._leaving_since.items()):
            if now - recorded_at > LEAVING_REPEAT_S:
                break
            found.append(start)
        return tuple(found)

    def _rebuild_index(self) -> None:
        self._undrained = {}
        for target in self._targets.values():
            if not target.draining:
                found = self._undrained.setdefault(target.service, [])
                found.append(target)
        self._by_service = self._undrained
        if self._evacuated_zones != frozenset():
            self._by_service = {
                service: [t for t in targets if not self.is_evacuated(t)]
                for service, targets in self._undrained.items()
            }
