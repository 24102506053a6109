"""Acceptance of a sheet: one conditional update of one object."""

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


class Standing(NamedTuple):
    """The configuration on the platform.

    Args:
        version (int): Its version, 0 where there is none.
        object (ConfigObject): The object, empty where there is none.
    """

    version: int
    object: ConfigObject


class Applied(NamedTuple):
    """An accepted change.

    Args:
        version (int): The version that now stands.
        digest (str): Digest of the configuration.
    """

    version: int
    digest: str


class LostRaceError(PlatformError):
    """Another operator's change was accepted first.

    Args:
        winner (HistoryEntry): That change.
    """

    def __init__(self, winner: HistoryEntry) -> None:
        super().__init__(
            f"operator {winner.operator} changed the configuration at "
            f"{winner.accepted_at} (digest {winner.digest})",
            step="apply",
        )
        self.winner = winner


async def read_standing(platform: Platform) -> Standing:
    """Returns the configuration on the platform."""
    found = await platform.get(CONFIG_KEY)
    if found is None:
        return Standing(0, ConfigObject(Config(), ""))
    return Standing(found.version, decode_object(found.value))


async def apply_config(
    platform: Platform,
    standing: Standing,
    change: Callable[[Config], Config],
    *,
    operator: str,
) -> Applied:
    """Puts a changed configuration in the place of the one that stands.

    Args:
        platform (Platform): The platform.
        standing (Standing): What the operator saw and changes.
        change (Callable): Returns the new configuration from the old one.
        operator (str): Who changes it.

    Raises:
        LostRaceError: Another change was accepted since.
        PlatformUnavailableError: Whether it was accepted is not known.
    """
    config = change(standing.object.config)
    entry = HistoryEntry(
        apply_id=secrets.token_hex(8),
        digest=config.digest(),
        operator=operator,
        accepted_at=_utc_now(),
    )
    history = (*standing.object.history, entry)[-MAX_HISTORY:]
    value = msgspec.json.encode(ConfigObject(config, entry.apply_id, history))
    try:
        version = await platform.put(
            CONFIG_KEY, value, if_version=standing.version
        )
    except (VersionConflictError, PlatformUnavailableError) as exc:
        version = await _find_own(platform, entry, exc)
    return Applied(version, entry.digest)


async def _find_own(
    platform: Platform, entry: HistoryEntry, cause: PlatformError
) -> int:
    """Returns the version at which our change stands, if it was accepted.

    A lost reply hides an accepted change, and later changes may stand on it,
    so the history decides.
    """
    now = await read_standing(platform)
    if entry in now.object.history:
        return now.version
    if isinstance(cause, PlatformUnavailableError):
        raise cause
    if now.object.history:
        raise LostRaceError(now.object.history[-1]) from cause
    raise cause


def _utc_now() -> str:
    now = datetime.datetime.now(datetime.UTC)
    return now.isoformat(timespec="seconds")
