"""Software versions that may have begun the resumable streams of services.

Built for releases and for the loss of all routers at once. A router that has
just started does not know which versions served before it, and the versions
that are registered now do not tell: the targets of another one may have left
within the lifetime of a stream. The versions in use are therefore agreed in the
object store before the first stream begins at one of them.
"""

from collections.abc import Callable, Iterable
from typing import NamedTuple

from chervilwall.registry import RegisteredTarget
from chervilwall.store_era import StoreRevision

# Time after which a version is used that could not be agreed, as the object
# store does not answer, if no target of an agreed version takes requests. A
# stream that it begins cannot be resumed if all routers are lost before the
# version is agreed.
AGREE_TIMEOUT_S = 1.0


class AgreedVersions(NamedTuple):
    """Versions of a service in the object store.

    Args:
        versions (frozenset): The versions whose streams may be resumed.
        revision (StoreRevision | None): Revision of the stored object, None if
            there is none or the versions come from a peer. Defaults to None.
    """

    versions: frozenset[str]
    revision: StoreRevision | None = None


class Predecessor(NamedTuple):
    """The one version that was agreed when the fleet started.

    Args:
        version (str): The version. It began every stream that is not recorded
            and may still be resumed.
        until (float): Monotonic time until which such streams may be resumed.
    """

    version: str
    until: float


class _Service:
    """Versions of one service that this router has observed.

    Args:
        now (float): Monotonic time from which it observes them.
    """

    def __init__(self, now: float) -> None:
        self.observed_since = now
        self.registered: frozenset[str] = frozenset()
        # Versions with a target that takes requests.
        self.serving: frozenset[str] = frozenset()
        self.registered_since: dict[str, float] = {}
        # Monotonic time until which streams of versions that have left may be
        # resumed. The timeouts in force later do not bind them.
        self.left_until: dict[str, float] = {}
        self.agreed: AgreedVersions | None = None
        # Agreed versions that a peer stated last.
        self.stated: frozenset[str] = frozenset()
        self.predecessor: Predecessor | None = None
        # Whether a router was lost since. It may have begun streams that are
        # not recorded.
        self.has_lost_router = False
        # Until then, versions may have served of which nothing is known.
        self.uncertain_until = now


class ServiceVersions:
    """Decide which versions may begin streams, and which may have begun one.

    Args:
        retention_s (Callable): Returns the time in seconds for which a stream
            of a service may be resumed.
    """

    def __init__(self, retention_s: Callable[[str], float]) -> None:
        self._retention_s = retention_s
        self._services: dict[str, _Service] = {}

    def __repr__(self) -> str:
        return f"ServiceVersions(services={len(self._services)})"

    def observe(self, targets: Iterable[RegisteredTarget], now: float) -> None:
        """Records the versions that are registered now.

        Args:
            targets (Iterable): All registered targets, also draining ones.
            now (float): Monotonic time.
        """
        registered: dict[str, set[str]] = {}
        serving: dict[str, set[str]] = {}
        for target in targets:
            registered.setdefault(target.service, set()).add(target.version)
            if not target.draining:
                serving.setdefault(target.service, set()).add(target.version)
        for name in self._services.keys() | registered.keys():
            service = self._service(name, now)
            service.serving = frozenset(serving.get(name, ()))
            found = frozenset(registered.get(name, ()))
            if found != service.registered:
                until = now + self._retention_s(name)
                self._apply_registered(service, found, now, until)

    def _apply_registered(
        self,
        service: _Service,
        found: frozenset[str],
        now: float,
        until: float,
    ) -> None:
        for version in service.registered - found:
            service.left_until[version] = until
            del service.registered_since[version]
        for version in found - service.registered:
            service.left_until.pop(version, None)
            service.registered_since[version] = now
        service.registered = found

    def learn(
        self,
        name: str,
        agreed: AgreedVersions,
        now: float,
        *,
        is_outdated: bool = False,
    ) -> None:
        """Records the versions that the object store states.

        Args:
            name (str): The service.
            agreed (AgreedVersions): The versions.
            now (float): Monotonic time.
            is_outdated (bool): Whether the store came back from an older copy
                since they were written, so that others may have served.
                Defaults to False.
        """
        service = self._service(name, now)
        until = now + self._retention_s(name)
        for version in agreed.versions - service.registered:
            service.left_until.setdefault(version, until)
        service.agreed = agreed
        if is_outdated:
            service.uncertain_until = until

    def inherit(self, name: str, now: float) -> None:
        """Records that this router has just started with what is agreed.

        If that is one version, no stream began at another before. Streams of
        versions that register later are recorded.

        Args:
            name (str): The service.
            now (float): Monotonic time.
        """
        service = self._service(name, now)
        if service.agreed is None or len(service.agreed.versions) != 1:
            return
        (version,) = service.agreed.versions
        until = now + self._retention_s(name)
        service.predecessor = Predecessor(version, until)

    def learn_from_peer(
        self, name: str, versions: Iterable[str], now: float
    ) -> None:
        """Records the agreed versions that a peer states.

        They do not replace what this router has read itself, as the peer may
        have read them earlier. But streams may begin at them.

        Args:
            name (str): The service.
            versions (Iterable): The versions.
            now (float): Monotonic time.
        """
        service = self._service(name, now)
        service.stated = frozenset(versions)
        known = service.agreed
        if known is None or known.revision is None:
            self.learn(name, AgreedVersions(frozenset(versions)), now)

    def learn_predecessor(self, name: str, known: Predecessor) -> None:
        """Records what a peer knows of the time before the fleet started."""
        service = self._service(name, known.until)
        if service.predecessor is None:
            service.predecessor = known

    def record_router_lost(self) -> None:
        """Records that a router is gone, with streams that it began."""
        for service in self._services.values():
            service.has_lost_router = True

    def predecessor(self, name: str, now: float) -> Predecessor | None:
        """Returns the version that began every unrecorded stream.

        None if there is no such version, or if none of its targets takes
        requests.
        """
        service = self._service(name, now)
        known = service.predecessor
        if known is None or service.has_lost_router:
            return None
        is_valid = service.uncertain_until <= now <= known.until
        return known if is_valid and known.version in service.serving else None

    def agree_again(self, now: float) -> None:
        """Has all versions agreed again, as the store may have lost them."""
        for name, service in self._services.items():
            if service.agreed is None:
                continue
            until = now + self._retention_s(name)
            for version in service.agreed.versions - service.registered:
                service.left_until.setdefault(version, until)
            service.agreed = service.agreed._replace(revision=None)

    def is_known(self, name: str) -> bool:
        """Returns whether the agreed versions of a service are known."""
        service = self._services.get(name)
        return service is not None and service.agreed is not None

    def blocked(self, name: str, now: float) -> frozenset[str]:
        """Returns the registered versions at which no stream may begin yet."""
        service = self._service(name, now)
        agreed = service.stated
        if service.agreed is not None:
            agreed |= service.agreed.versions
        if agreed & service.serving:
            return service.registered - agreed
        return frozenset(
            version
            for version in service.registered - agreed
            if now - service.registered_since[version] < AGREE_TIMEOUT_S
        )

    def sole_version(self, name: str, now: float) -> str | None:
        """Returns the version that began all unrecorded streams.

        Returns:
            The version, or None if it is not certain.
        """
        service = self._service(name, now)
        if now < service.uncertain_until:
            return None
        observed_s = now - service.observed_since
        if service.agreed is None and observed_s < self._retention_s(name):
            return None
        candidates = self._candidates(service)
        if len(candidates) == 1:
            return next(iter(candidates))
        predecessor = self.predecessor(name, now)
        return predecessor.version if predecessor else None

    def are_mixed(self, name: str) -> bool:
        """Returns whether more than one version may have begun streams."""
        service = self._services.get(name)
        return service is not None and len(self._candidates(service)) > 1

    def mixed_services(self) -> list[str]:
        """Returns the services whose versions are mixed."""
        return [name for name in self._services if self.are_mixed(name)]

    def proposal(self, name: str, now: float) -> frozenset[str] | None:
        """Returns the versions to agree on, or None if nothing changes."""
        service = self._service(name, now)
        if service.agreed is None:
            return None
        versions = self._candidates(service)
        is_stored = service.agreed.revision is not None
        if is_stored and versions == service.agreed.versions:
            return None
        return versions or None

    def agreed(self, name: str) -> AgreedVersions | None:
        """Returns the agreed versions of a service, None if not known."""
        service = self._services.get(name)
        return service.agreed if service else None

    def expire(self, now: float) -> None:
        """Forgets versions whose streams are not resumed any more."""
        for service in self._services.values():
            for version, until in list(service.left_until.items()):
                if now > until:
                    del service.left_until[version]

    def _candidates(self, service: _Service) -> frozenset[str]:
        return service.registered | service.left_until.keys()

    def _service(self, name: str, now: float) -> _Service:
        service = self._services.get(name)
        if service is None:
            service = self._services[name] = _Service(now)
        return service
