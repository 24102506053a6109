"""Current configuration, read from the platform or received from peers."""

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
# Number of routers that watch the platform. The others receive new versions
# from peers, or read them when they next poll the platform.
CONFIG_WATCHER_COUNT = 3


class ConfigWatcher:
    """Hold the newest configuration received from the platform or a peer.

    Args:
        platform (Platform): Object service that stores the configuration.
        on_change (Callable): Called with each new configuration.
    """

    def __init__(
        self, platform: Platform, on_change: Callable[[Config], None]
    ) -> None:
        self._platform = platform
        self._on_change = on_change
        self._watched_revision = 0
        self.current = VersionedConfig(0, Config())

    def __repr__(self) -> str:
        return f"ConfigWatcher(version={self.current.version})"

    @property
    def version(self) -> int:
        """The platform version of the current configuration."""
        return self.current.version

    def apply_if_newer(self, versioned: VersionedConfig, source: str) -> bool:
        """Applies a configuration if it is newer than the current one.

        Args:
            versioned (VersionedConfig): The configuration.
            source (str): Name of the peer that sent it, or "platform".

        Returns:
            Whether the configuration was applied.
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

    async def poll(self) -> None:
        """Reads the configuration from the platform once."""
        stored = await self._platform.get(CONFIG_KEY)
        if stored is not None:
            self._apply_object(stored)

    async def watch(self) -> None:
        """Waits for a change on the platform and applies it.

        Returns after `WATCH_TIMEOUT_S` seconds if nothing has changed.
        """
        result = await self._platform.watch(
            CONFIG_KEY, self._watched_revision, WATCH_TIMEOUT_S
        )
        self._watched_revision = result.revision
        for stored in result.objects:
            if stored.key == CONFIG_KEY:
                self._apply_object(stored)

    def _apply_object(self, stored: PlatformObject) -> None:
        try:
            config = decode_object(stored.value).config
        except PlatformError as exc:
            events.log_event(LOG, events.CONFIG_REFUSED, reason=exc)
            raise
        self.apply_if_newer(VersionedConfig(stored.version, config), "platform")
