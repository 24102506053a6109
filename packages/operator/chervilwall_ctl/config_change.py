"""Changes to the fleet's configuration on the platform.

The whole configuration is one object, and a change is one conditional write
of it, so concurrent changes by two operators cannot mix.
"""

import datetime
import secrets
from collections.abc import Callable
from typing import NamedTuple

import msgspec
from chervilwall.config import (
    CONFIG_KEY,
    Config,
    ConfigObject,
    HistoryEntry,
    decode_object,
)
from chervilwall.errors import (
    PlatformError,
    PlatformUnavailableError,
    VersionConflictError,
)
from chervilwall.protocol import Platform

MAX_HISTORY = 50


class StoredConfig(NamedTuple):
    """The configuration object as stored on the platform.

    Args:
        version (int): Version of the object, 0 if it does not exist.
        object (ConfigObject): Configuration and history, both empty if the
            object does not exist.
    """

    version: int
    object: ConfigObject


class AppliedChange(NamedTuple):
    """A configuration change that the platform accepted.

    Args:
        version (int): Version of the configuration object. If the reply to
            the write was lost and another change followed, it is the version
            of that later change.
        digest (str): Digest of the new configuration.
    """

    version: int
    digest: str


class LostRaceError(PlatformError):
    """Another change was accepted first, so this one was not applied.

    Args:
        accepted_change (HistoryEntry): The latest change that was accepted
            instead.
    """

    def __init__(self, accepted_change: HistoryEntry) -> None:
        super().__init__(
            f"operator {accepted_change.operator} changed the configuration at "
            f"{accepted_change.accepted_at} (digest {accepted_change.digest})",
            step="apply",
        )
        self.accepted_change = accepted_change


async def read_stored_config(platform: Platform) -> StoredConfig:
    """Reads the configuration object from the platform."""
    stored_object = await platform.get(CONFIG_KEY)
    if stored_object is None:
        return StoredConfig(0, ConfigObject(Config(), ""))
    return StoredConfig(
        stored_object.version, decode_object(stored_object.value)
    )


async def apply_config(
    platform: Platform,
    stored: StoredConfig,
    change: Callable[[Config], Config],
    *,
    operator: str,
) -> AppliedChange:
    """Replaces the stored configuration if it is still the one in `stored`.

    Args:
        platform (Platform): The platform.
        stored (StoredConfig): The configuration that the change starts from.
        change (Callable): Returns the new configuration for the old one.
        operator (str): Name to record in the history.

    Raises:
        LostRaceError: Another change was accepted first.
        PlatformUnavailableError: The platform did not answer, so it is
            unknown whether the change was accepted.
        PlatformError: Another call to the platform failed.
        VersionConflictError: The object has another version than `stored`,
            and its history shows no change.
    """
    config = change(stored.object.config)
    entry = HistoryEntry(
        apply_id=secrets.token_hex(8),
        digest=config.digest(),
        operator=operator,
        accepted_at=_utc_now(),
    )
    history = (*stored.object.history, entry)[-MAX_HISTORY:]
    value = msgspec.json.encode(ConfigObject(config, entry.apply_id, history))
    try:
        version = await platform.put(
            CONFIG_KEY, value, if_version=stored.version
        )
    except (VersionConflictError, PlatformUnavailableError) as exc:
        version = await _find_accepted_version(platform, entry, exc)
    return AppliedChange(version, entry.digest)


async def _find_accepted_version(
    platform: Platform, entry: HistoryEntry, cause: PlatformError
) -> int:
    """Returns the current version if the history contains the change.

    The write may have been accepted although its reply was lost, and other
    changes may have followed, so the history is searched for the entry.

    Args:
        platform (Platform): The platform.
        entry (HistoryEntry): History entry of the change.
        cause (PlatformError): Error with which the write ended.

    Raises:
        LostRaceError: Another change was accepted instead.
        PlatformError: The cause, if the history does not contain the entry
            and either the write was not answered or the history is empty.
    """
    current = await read_stored_config(platform)
    if entry in current.object.history:
        return current.version
    if isinstance(cause, PlatformUnavailableError):
        raise cause
    if current.object.history:
        raise LostRaceError(current.object.history[-1]) from cause
    raise cause


def _utc_now() -> str:
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec="seconds")
