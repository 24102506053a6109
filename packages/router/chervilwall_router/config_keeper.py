"""The configuration in force: watched on the platform, spread by peers."""

import logging
from collections.abc import Callable

from chervilwall import events
from chervilwall.config import (
    CONFIG_KEY,
    Config,
    VersionedConfig,
    decode_object,
)
from chervilwall.errors import PlatformError
from chervilwall.protocol import Platform, PlatformObject

LOG = logging.getLogger(__name__)
WATCH_TIMEOUT_S = 20.0
WATCHERS = 3


class ConfigKeeper:
    """Keep the highest version seen, from whichever side it came.

    Args:
        platform (Platform): Where the configuration is kept.
        on_change (Callable): Takes each configuration that comes in force.
    """

    def __init__(
        self, platform: Platform, on_change: Callable[[Config], None]
    ) -> None:
        self._platform = platform
        self._on_change = on_change
        self._revision = 0
        self.current = VersionedConfig(0, Config())

    def __repr__(self) -> str:
        return f"ConfigKeeper(version={self.current.version})"

    @property
    def version(self) -> int:
        """The platform version of the configuration in force."""
        return self.current.version

    def offer(self, versioned: VersionedConfig, source: str) -> bool:
        """Puts a configuration in force if it is newer than the one held.

        Args:
            versioned (VersionedConfig): The configuration.
            source (str): Peer that it came from.
        """
        if versioned.version <= self.current.version:
            return False
        self.current = versioned
        events.log_event(
            LOG,
            events.CONFIG_APPLIED,
            version=versioned.version,
            peer=source,
        )
        self._on_change(versioned.config)
        return True

    async def read(self) -> None:
        """Reads the configuration from the platform once."""
        found = await self._platform.get(CONFIG_KEY)
        if found is not None:
            self._offer_object(found)

    async def watch(self) -> None:
        """Waits once for a change on the platform."""
        result = await self._platform.watch(
            CONFIG_KEY, self._revision, WATCH_TIMEOUT_S
        )
        self._revision = result.revision
        for found in result.objects:
            if found.key == CONFIG_KEY:
                self._offer_object(found)

    def _offer_object(self, found: PlatformObject) -> None:
        try:
            config = decode_object(found.value).config
        except PlatformError as exc:
            events.log_event(LOG, events.CONFIG_REFUSED, reason=exc)
            raise
        self.offer(VersionedConfig(found.version, config), "platform")
