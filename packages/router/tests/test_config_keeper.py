"""Tests of the configuration in force."""

import unittest

from chervilwall.config import Config, Team, VersionedConfig
from chervilwall_router.config_keeper import ConfigKeeper
from chervilwall_standins.memory_platform import MemoryPlatform


class ConfigKeeperTest(unittest.TestCase):
    def test_a_lower_version_never_comes_back(self):
        seen = []
        keeper = ConfigKeeper(MemoryPlatform(), seen.append)
        newer = Config(teams=(Team("new", 1.0),))
        self.assertTrue(keeper.offer(VersionedConfig(7, newer), "r1"))
        self.assertFalse(keeper.offer(VersionedConfig(6, Config()), "r2"))
        self.assertFalse(keeper.offer(VersionedConfig(7, Config()), "r2"))
        self.assertEqual(seen, [newer])
