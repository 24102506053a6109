"""What a router has read of the platform's store, and from its peers."""

import logging
from collections.abc import Callable, Collection
from typing import Protocol

from chervilwall import events
from chervilwall.edge_messages import SnapshotPull, StoreSnapshot
from chervilwall.errors import CodecError
from chervilwall.protocol import ObjectList, PlatformDecoder, StoredObject
from chervilwall.registry import (
    LAPSE_GRACE_S,
    RegisteredTarget,
    TargetRegistry,
)
from chervilwall.routing import RoutingTable

LOG = logging.getLogger(__name__)


class ConfigState:
    """Hold the newest configuration; it never goes back.

    Args:
        decoder (PlatformDecoder): Reads configurations.
        changed (Callable): Called with each new one.
    """

    def __init__(
        self,
        decoder: PlatformDecoder,
        changed: Callable[[RoutingTable], None],
    ) -> None:
        self._decoder = decoder
        self._changed = changed
        self.table: RoutingTable | None = None
        self.value = b""
        # Versions order what is read, so nothing is older than what is known.
        self.revision = 0

    def __repr__(self) -> str:
        return f"ConfigState(version={self.version})"

    @property
    def version(self) -> int:
        """Version in force, 0 without one."""
        return self.table.version if self.table else 0

    def read_list(self, listing: ObjectList, *, doubt_until: float) -> None:
        """Takes all objects of the kind."""
        del doubt_until
        for item in listing.objects:
            self._read(item)

    def read_changes(self, changes: ObjectList, *, doubt_until: float) -> None:
        """Takes changes."""
        self.read_list(changes, doubt_until=doubt_until)

    def _read(self, item: StoredObject) -> None:
        if item.name == self._decoder.config_name and not item.deleted:
            self.take(item.value, source="store")

    def take(self, value: bytes, *, source: str) -> None:
        """Takes a configuration, if it is newer."""
        try:
            table = self._decoder.decode_configuration(value)
        except CodecError as exc:
            events.log_event(
                LOG, events.CONFIG_REFUSED, source=source, reason=exc
            )
            return
        if self.table is not None and table.version <= self.table.version:
            return
        self.table = table
        self.value = value
        events.log_event(
            LOG, events.CONFIG_APPLIED, version=table.version, source=source
        )
        self._changed(table)


class StartWatcher(Protocol):
    """Takes in the starts of targets that begin and end."""

    def target_added(self, target: RegisteredTarget) -> None:
        """Takes in a registration, of a new start or a changed one."""
        ...

    def target_lost(
        self, target: RegisteredTarget, reason: str, *, proven: bool
    ) -> None:
        """Takes in that a start of a target is over.

        Args:
            target (RegisteredTarget): The target as it was registered.
            reason (str): Why.
            proven (bool): Whether a later start shows that it has ended.
        """
        ...


class RegistryState:
    """Keep the list of targets as the store shows it.

    Args:
        decoder (PlatformDecoder): Reads registrations.
        registry (TargetRegistry): The targets.
        ended (Callable): Called with the id of each target that ended.
        changed (Callable): Called after each change.
        clock (Callable): Returns the monotonic time.
        watcher (StartWatcher | None): Told of starts that begin and end.
            Defaults to None.
    """

    def __init__(
        self,
        decoder: PlatformDecoder,
        registry: TargetRegistry,
        ended: Callable[[str], None],
        changed: Callable[[], None],
        clock: Callable[[], float],
        watcher: StartWatcher | None = None,
    ) -> None:
        self._watcher = watcher
        self._decoder = decoder
        self._registry = registry
        self._ended = ended
        self._changed = changed
        self._clock = clock
        self._values: dict[str, bytes] = {}
        self.revision = 0

    def __repr__(self) -> str:
        return f"RegistryState(revision={self.revision})"

    def read_list(self, listing: ObjectList, *, doubt_until: float) -> None:
        """Takes all registrations."""
        entries = [(item.name, item.value) for item in listing.objects]
        self._replace(entries, listing.revision, doubt_until=doubt_until)

    def read_changes(self, changes: ObjectList, *, doubt_until: float) -> None:
        """Takes changes of registrations."""
        for item in changes.objects:
            if item.deleted:
                self._remove(item.name, doubt_until=doubt_until)
            else:
                self._put(item.name, item.value)
        self.revision = max(self.revision, changes.revision)
        if changes.objects:
            self._changed()

    def take_snapshot(self, snapshot: StoreSnapshot) -> None:
        """Takes a peer's list, if it is newer than this router's."""
        if snapshot.registry_revision > self.revision:
            self._replace(
                snapshot.targets,
                snapshot.registry_revision,
                doubt_until=self._clock() + LAPSE_GRACE_S,
                doubted=snapshot.lapsed,
            )

    def entries(self) -> tuple[tuple[str, bytes], ...]:
        """Returns the registrations as stored, but for lapsed ones."""
        lapsed = self._registry.lapsed()
        return tuple(x for x in self._values.items() if x[0] not in lapsed)

    def lapsed(self) -> tuple[str, ...]:
        """Returns the targets whose registrations may have lapsed."""
        return tuple(self._registry.lapsed())

    def expire(self) -> None:
        """Forgets targets whose registration lapsed and did not come back."""
        lapsed = [self._registry.get(name) for name in self._registry.lapsed()]
        gone = set(self._registry.expire(self._clock()))
        for target in lapsed:
            if target is not None and target.id in gone:
                self._forget(target, "lapsed")

    def _replace(
        self,
        entries: "tuple[tuple[str, bytes], ...] | list[tuple[str, bytes]]",
        revision: int,
        *,
        doubt_until: float,
        doubted: Collection[str] | None = None,
    ) -> None:
        """Takes a whole list.

        Args:
            entries (Sequence): Names and values.
            revision (int): Revision of the list.
            doubt_until (float): Until when missing ones are kept; 0 for not.
            doubted (Collection | None): The only ones of which the list is
                in doubt, None for all.
        """
        listed = {name for name, _ in entries}
        for name in [n for n in self._registry.all() if n not in listed]:
            in_doubt = doubted is None or name in doubted
            self._remove(name, doubt_until=doubt_until if in_doubt else 0.0)
        for name, value in entries:
            self._put(name, value)
        self.revision = max(self.revision, revision)
        self._changed()

    def _put(self, name: str, value: bytes) -> None:
        try:
            target = self._decoder.decode_registration(name, value)
        except CodecError as exc:
            events.log_event(
                LOG, events.TARGET_REFUSED, target=name, reason=exc.reason
            )
            self._remove(name, doubt_until=0.0)
            return
        old = self._registry.get(name)
        if old is not None and target.born_ms < old.born_ms:
            reason = "older than the one in force"
            events.log_event(
                LOG, events.TARGET_REFUSED, target=name, reason=reason
            )
            return
        self._values[name] = value
        self._registry.put(target)
        self._log_put(old, self._registry.all()[name])
        if old is not None and old.start != target.start:
            self._ended(name)
            self._note_lost(old, "started anew", proven=True)
        if self._watcher is not None:
            self._watcher.target_added(target)

    def _log_put(
        self, old: RegisteredTarget | None, target: RegisteredTarget
    ) -> None:
        if old == target:
            return
        event = events.TARGET_CHANGED if old else events.TARGET_ADDED
        events.log_event(
            LOG,
            event,
            target=target.id,
            service=target.service,
            address=target.address,
            draining=target.draining,
            revision=self.revision,
        )

    def _remove(self, name: str, *, doubt_until: float) -> None:
        known = self._registry.get(name)
        if known is not None and doubt_until and not known.draining:
            self._registry.lapse(name, doubt_until)
            return
        if known is not None and self._registry.remove(name):
            self._forget(known, "removed")

    def _forget(self, target: RegisteredTarget, reason: str) -> None:
        self._values.pop(target.id, None)
        events.log_event(
            LOG,
            events.TARGET_REMOVED,
            target=target.id,
            reason=reason,
            revision=self.revision,
        )
        self._ended(target.id)
        self._note_lost(target, reason, proven=False)

    def _note_lost(
        self, target: RegisteredTarget, reason: str, *, proven: bool
    ) -> None:
        if self._watcher is not None:
            self._watcher.target_lost(target, reason, proven=proven)


def make_snapshot(
    config: ConfigState, registry: RegistryState, pull: SnapshotPull
) -> StoreSnapshot:
    """Returns what a peer that asks does not have yet."""
    value = config.value if config.version > pull.config_version else b""
    newer = registry.revision > pull.registry_revision
    if not newer:
        return StoreSnapshot(config.version, value, 0, ())
    return StoreSnapshot(
        config.version,
        value,
        registry.revision,
        registry.entries(),
        registry.lapsed(),
    )
