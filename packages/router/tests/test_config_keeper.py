"""Tests of the current configuration of a router."""

import unittest

from chervilwall.config import Config, Team, VersionedConfig
from chervilwall_router.config_watcher import ConfigWatcher
from chervilwall_standins.memory_platform import MemoryPlatform


class ConfigKeeperTest(unittest.TestCase):
    def test_a_lower_version_never_comes_back(self):
        applied = []
        watcher = ConfigWatcher(MemoryPlatform(), applied.append)
        newer = Config(teams=(Team("new", 1.0),))
        self.assertTrue(watcher.apply_if_newer(VersionedConfig(7, newer), "r1"))
        self.assertFalse(
            watcher.apply_if_newer(VersionedConfig(6, Config()), "r2")
        )
        self.assertFalse(
            watcher.apply_if_newer(VersionedConfig(7, Config()), "r2")
        )
        self.assertEqual(applied, [newer])
