"""Configuration and target list, as read from the object store or from peers.

Designed for outages of the object store: a router keeps what it has read, takes
newer state from peers that can still read the store, and keeps targets whose
registrations lapsed until they have had time to register again. A registration
lapses if it disappears during an outage; its target is kept until the time that
is passed as `lapse_grace_until`.
"""

import logging
from collections import OrderedDict
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
    TargetStart,
)
from chervilwall.routing import RoutingTable
from chervilwall.store_era import StoreRevision

LOG = logging.getLogger(__name__)
# Removed target starts that are remembered, in case an older copy of the store
# lists them again.
MAX_REMOVED_STARTS = 1024


class ConfigState:
    """Hold the newest configuration.

    Only a configuration with a higher version replaces the current one.

    Args:
        decoder (PlatformDecoder): Decodes configurations.
        changed (Callable): Called with each configuration that is applied.
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
        # Always 0: a watch need not skip old changes, as a configuration is
        # applied only if its version is higher.
        self.revision = StoreRevision()

    def __repr__(self) -> str:
        return f"ConfigState(version={self.version})"

    @property
    def version(self) -> int:
        """Version of the current configuration, 0 without one."""
        return self.table.version if self.table else 0

    def names(self) -> frozenset[str]:
        """Returns no names: a configuration is replaced, not removed."""
        return frozenset()

    def apply_list(
        self, listing: ObjectList, *, lapse_grace_until: float
    ) -> None:
        """Applies the configuration from a list of all objects of the kind.

        Args:
            listing (ObjectList): All objects of the kind.
            lapse_grace_until (float): Unused, as configurations do not lapse.
        """
        del lapse_grace_until
        for item in listing.objects:
            self._apply_object(item)

    def apply_changes(
        self, changes: ObjectList, *, lapse_grace_until: float
    ) -> None:
        """Applies the configuration from a list of changed objects."""
        self.apply_list(changes, lapse_grace_until=lapse_grace_until)

    def _apply_object(self, item: StoredObject) -> None:
        if item.name == self._decoder.config_name and not item.deleted:
            self.apply(item.value, source="store")

    def apply(self, value: bytes, *, source: str) -> None:
        """Applies a configuration if it is valid and newer.

        Args:
            value (bytes): Encoded configuration.
            source (str): Where it was read, "store" or a peer's address, for
                the log.
        """
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


class StartListener(Protocol):
    """Receive the begin and the end of each start, or run, of a target."""

    def record_registration(self, target: RegisteredTarget) -> None:
        """Handles the registration of a new start, or a changed one."""
        ...

    def record_target_ended(
        self, target: RegisteredTarget, reason: str, *, proven: bool
    ) -> None:
        """Handles the end of a start of a target.

        Args:
            target (RegisteredTarget): The target as last registered.
            reason (str): Why the start is considered ended, for the log.
            proven (bool): Whether a later start, or another target at its
                address, proves the end. Otherwise only the registration is
                gone.
        """
        ...


class RegistryState:
    """Apply the registrations in the object store to the target registry.

    Args:
        decoder (PlatformDecoder): Decodes registrations.
        registry (TargetRegistry): Registry to update.
        ended (Callable): Called with the id of each target that was removed or
            started again.
        changed (Callable): Called after the registrations have changed.
        clock (Callable): Returns the monotonic time in seconds.
        listener (StartListener | None): Notified of each start that begins or
            ends. Defaults to None.
    """

    def __init__(
        self,
        decoder: PlatformDecoder,
        registry: TargetRegistry,
        ended: Callable[[str], None],
        changed: Callable[[], None],
        clock: Callable[[], float],
        listener: StartListener | None = None,
    ) -> None:
        self._listener = listener
        self._decoder = decoder
        self._registry = registry
        self._ended = ended
        self._changed = changed
        self._clock = clock
        self._values: dict[str, bytes] = {}
        # Why registrations were refused, by name. A refusal is logged again
        # only if its reason changes, as registrations are written periodically.
        self._refused: dict[str, str] = {}
        # Starts whose registrations were removed, the oldest first.
        self._removed: OrderedDict[TargetStart, None] = OrderedDict()
        # Registrations from an older copy of the store that were removed before
        # it came back, and the time until which their targets are not used.
        self._withheld: dict[str, bytes] = {}
        self._withheld_until = 0.0
        self.revision = StoreRevision()

    def __repr__(self) -> str:
        return f"RegistryState(revision={self.revision})"

    def apply_list(
        self, listing: ObjectList, *, lapse_grace_until: float
    ) -> None:
        """Replaces all registrations by those of a listing.

        A listing that is older than what peers have told since is ignored.

        Args:
            listing (ObjectList): All registrations.
            lapse_grace_until (float): Monotonic time until which missing ones
                are kept as lapsed, or 0 to drop them at once.
        """
        if listing.position < self.revision:
            return
        entries = [(item.name, item.value) for item in listing.objects]
        self._replace(
            entries, listing.position, lapse_grace_until=lapse_grace_until
        )

    def apply_changes(
        self, changes: ObjectList, *, lapse_grace_until: float
    ) -> None:
        """Applies changes of registrations.

        Args:
            changes (ObjectList): Changed and deleted registrations.
            lapse_grace_until (float): Monotonic time until which deleted ones
                are kept as lapsed, or 0 to drop them at once.
        """
        for item in changes.objects:
            self._withheld.pop(item.name, None)
            if item.deleted:
                self._refused.pop(item.name, None)
                self._remove(item.name, lapse_grace_until=lapse_grace_until)
            else:
                self._put(item.name, item.value)
        self.revision = max(self.revision, changes.position)
        if changes.objects:
            self._changed()

    def apply_snapshot(self, snapshot: StoreSnapshot) -> None:
        """Applies a peer's list of targets if its revision is newer."""
        if snapshot.registry_revision > self.revision:
            self._replace(
                snapshot.targets,
                snapshot.registry_revision,
                lapse_grace_until=self._clock() + LAPSE_GRACE_S,
                maybe_lapsed=snapshot.lapsed,
            )

    def entries(self) -> tuple[tuple[str, bytes], ...]:
        """Returns names and stored values of the unlapsed registrations.

        Withheld ones are included: a peer that takes the list decides itself
        whether it withholds them, and uses them again after its own grace.
        """
        lapsed = self._registry.lapsed()
        known = (x for x in self._values.items() if x[0] not in lapsed)
        return (*known, *self._withheld.items())

    def names(self) -> frozenset[str]:
        """Returns the names of the registrations that have not lapsed."""
        return frozenset(name for name, _ in self.entries())

    def lapsed(self) -> tuple[str, ...]:
        """Returns the ids of targets that are kept as lapsed."""
        return tuple(self._registry.lapsed())

    def expire(self, *, is_store_away: bool = False) -> None:
        """Ends the grace periods that follow an outage of the store.

        Removes targets that did not register again after a lapse, and uses
        those that are still registered after the store came back from an older
        copy.

        Args:
            is_store_away (bool): Whether the store answers no router. Targets
                cannot register again then, so all grace periods start anew.
                Defaults to False.
        """
        if is_store_away:
            self._prolong_grace(is_new_era=False)
            return
        if self._withheld and self._clock() >= self._withheld_until:
            withheld, self._withheld = self._withheld, {}
            for name, value in withheld.items():
                self._put(name, value)
            self._changed()
        lapsed = [self._registry.get(name) for name in self._registry.lapsed()]
        expired = set(self._registry.expire(self._clock()))
        for target in lapsed:
            if target is not None and target.id in expired:
                self._drop(target, "lapsed")

    def _replace(
        self,
        entries: "tuple[tuple[str, bytes], ...] | list[tuple[str, bytes]]",
        revision: StoreRevision,
        *,
        lapse_grace_until: float,
        maybe_lapsed: Collection[str] | None = None,
    ) -> None:
        """Replaces all registrations.

        Missing ones that have lapsed already are kept until their grace ends.

        Args:
            entries (Sequence): Names and encoded values of the registrations.
            revision (StoreRevision): Revision at which they were read.
            lapse_grace_until (float): Monotonic time until which missing ones
                are kept as lapsed, or 0 to drop them at once.
            maybe_lapsed (Collection | None): Names of the missing ones that are
                kept; the others are removed at once. None keeps all of them.
                Defaults to None.
        """
        if self.revision and revision.era > self.revision.era:
            lapse_grace_until = self._begin_era()
            maybe_lapsed = None
        self._withheld.clear()
        listed = {name for name, _ in entries}
        self._refused = {n: r for n, r in self._refused.items() if n in listed}
        kept = listed | set(self._registry.lapsed())
        for name in [n for n in self._registry.all() if n not in kept]:
            may_have_lapsed = maybe_lapsed is None or name in maybe_lapsed
            self._remove(
                name,
                lapse_grace_until=lapse_grace_until if may_have_lapsed else 0.0,
            )
        for name, value in entries:
            self._put(name, value, is_from_list=True)
        self.revision = max(self.revision, revision)
        self._changed()

    def _begin_era(self) -> float:
        """Prepares for a list from an older copy of the store.

        Targets that are known to leave stay so, whatever the list says.

        Returns:
            Monotonic time until which targets may register again, and removals
            may be repeated.
        """
        now = self._clock()
        for target in list(self._registry.all().values()):
            if target.draining:
                self._registry.record_leaving(target.start, now)
        return self._prolong_grace(is_new_era=True)

    def _prolong_grace(self, *, is_new_era: bool) -> float:
        """Starts the grace periods anew; returns the time at which they end."""
        until = self._clock() + LAPSE_GRACE_S
        self._registry.prolong_lapses(until)
        if is_new_era or self._withheld:
            self._withheld_until = until
        return until

    def _is_withheld(self, target: RegisteredTarget) -> bool:
        """Returns whether a listed target had been removed before the copy."""
        return (
            self._clock() < self._withheld_until
            and target.start in self._removed
        )

    def _put(
        self, name: str, value: bytes, *, is_from_list: bool = False
    ) -> None:
        try:
            target = self._decoder.decode_registration(name, value)
        except CodecError as exc:
            self._log_refused(name, exc.reason)
            self._remove(name, lapse_grace_until=0.0)
            return
        if is_from_list and self._is_withheld(target):
            self._withheld[name] = value
            events.log_event(LOG, events.TARGET_WITHHELD, target=name)
            return
        self._removed.pop(target.start, None)
        old = self._registry.get(name)
        if old is not None and target.born_ms < old.born_ms:
            self._log_refused(name, "older than the current registration")
            return
        self._refused.pop(name, None)
        self._values[name] = value
        self._registry.put(target)
        self._log_put(old, self._registry.all()[name])
        if old is not None and old.start != target.start:
            self._ended(name)
            self._notify_lost(old, "started again", proven=True)
        if self._listener is not None:
            self._listener.record_registration(target)

    def _log_refused(self, name: str, reason: str) -> None:
        if self._refused.get(name) == reason:
            return
        self._refused[name] = reason
        events.log_event(LOG, events.TARGET_REFUSED, target=name, reason=reason)

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

    def _remove(self, name: str, *, lapse_grace_until: float) -> None:
        known = self._registry.get(name)
        if known is not None and lapse_grace_until and not known.draining:
            self._registry.lapse(name, lapse_grace_until)
            return
        if known is not None and self._registry.remove(name):
            self._drop(known, "removed")

    def _drop(self, target: RegisteredTarget, reason: str) -> None:
        self._values.pop(target.id, None)
        self._removed[target.start] = None
        while len(self._removed) > MAX_REMOVED_STARTS:
            self._removed.popitem(last=False)
        events.log_event(
            LOG,
            events.TARGET_REMOVED,
            target=target.id,
            reason=reason,
            revision=self.revision,
        )
        self._ended(target.id)
        self._notify_lost(target, reason, proven=False)

    def _notify_lost(
        self, target: RegisteredTarget, reason: str, *, proven: bool
    ) -> None:
        if self._listener is not None:
            self._listener.record_target_ended(target, reason, proven=proven)


def make_snapshot(
    config: ConfigState, registry: RegistryState, pull: SnapshotPull
) -> StoreSnapshot:
    """Returns the snapshot for a peer, without the parts that it has already.

    Args:
        config (ConfigState): This router's configuration.
        registry (RegistryState): This router's list of targets.
        pull (SnapshotPull): Configuration version and registry revision that
            the peer has.
    """
    value = config.value if config.version > pull.config_version else b""
    registry_is_newer = registry.revision > pull.registry_revision
    if not registry_is_newer:
        return StoreSnapshot(config.version, value, StoreRevision(), ())
    return StoreSnapshot(
        config.version,
        value,
        registry.revision,
        registry.entries(),
        registry.lapsed(),
    )
