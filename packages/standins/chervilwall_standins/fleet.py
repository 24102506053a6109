"""Starts a fleet of real processes on loopback addresses."""

import json
import logging
import os
import pathlib
import shutil
import signal
import subprocess
import sys
import tempfile
import time
import urllib.error
import urllib.request
from collections import defaultdict
from collections.abc import Mapping
from typing import Any

from chervilwall.config import hash_key

from chervilwall_standins.loopback import own_address
from chervilwall_standins.relay import PeerRelays

OPERATOR_KEY = "operator-key-of-the-stand-in-fleet"
FLEET_KEY = "fleet-key-of-the-stand-in-fleet"
ZONES = ("az1", "az2", "az3")
LOG = logging.getLogger(__name__)
START_LIMIT_S = 20.0
# Below the kernel's usual ports of outgoing connections.
PLATFORM_PORT = 21_000
CALLER_PORT = 21_001
PEER_PORT = 21_002
POLL_S = 0.05


def wait_for(condition: Any, *, limit_s: float, what: str) -> float:
    """Waits until a condition holds; returns the seconds it took."""
    started = time.monotonic()
    while time.monotonic() - started < limit_s:
        try:
            if condition():
                return time.monotonic() - started
        except (OSError, KeyError, IndexError, ValueError) as exc:
            LOG.debug("not yet %s: %r", what, exc)
        time.sleep(POLL_S)
    raise AssertionError(f"not within {limit_s:g} s: {what}")


def call_json(
    url: str, body: object = None, *, key: str = "", method: str = ""
) -> Any:
    """Calls a URL and returns its JSON answer."""
    data = None if body is None else json.dumps(body).encode()
    req = urllib.request.Request(url, data=data, method=method or None)
    if key:
        req.add_header("Authorization", f"Bearer {key}")
    with urllib.request.urlopen(req, timeout=10) as response:
        return json.loads(response.read() or b"null")


class Fleet:
    """Run platform, targets and routers; a context manager.

    Args:
        routers (int): How many routers. Defaults to 3.
        settings (Mapping | None): Settings that override the usual ones.
        listen (Mapping | None): Settings added to `listen`.
        quiet (bool): Whether router logs are dropped. Defaults to True.
        relayed (bool): Whether routers reach each other through relays that
            tests can cut. Defaults to False.
    """

    def __init__(
        self,
        *,
        routers: int = 3,
        settings: Mapping[str, Any] | None = None,
        listen: Mapping[str, Any] | None = None,
        quiet: bool = True,
        relayed: bool = False,
    ) -> None:
        self._count = routers
        self._overrides = settings or {}
        self._listen = listen or {}
        self._quiet = quiet
        self._dir = pathlib.Path(tempfile.mkdtemp(prefix="chervilwall-"))
        self._procs: dict[str, subprocess.Popen[bytes]] = {}
        self.platform = f"{own_address()}:{PLATFORM_PORT}"
        self.relays = PeerRelays() if relayed else None
        self.names = [f"router{i}" for i in range(1, routers + 1)]
        self._hosts: dict[str, str] = defaultdict(own_address)
        self._relay_hosts: dict[str, str] = defaultdict(own_address)

    def __repr__(self) -> str:
        return f"Fleet(processes={len(self._procs)})"

    def __enter__(self) -> "Fleet":
        try:
            if self.relays is not None:
                hosts = {self.host(n): self._relay_hosts[n] for n in self.names}
                self.relays.start(hosts, PEER_PORT)
            self._start_platform()
            for name in self.names:
                self.start_router(name)
            for name in self.names:
                self.wait_ready(name)
        except BaseException:
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        for proc in self._procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self._procs.values():
            proc.wait()
        if self.relays is not None:
            self.relays.stop()
        shutil.rmtree(self._dir, ignore_errors=True)

    @property
    def platform_url(self) -> str:
        """URL of the stand-in platform."""
        return f"http://{self.platform}"

    def host(self, name: str) -> str:
        """Returns the loopback address of a router's host."""
        return self._hosts[name]

    def address(self, name: str) -> str:
        """Returns the caller address of a router."""
        return f"{self.host(name)}:{CALLER_PORT}"

    def peer_address(self, name: str) -> str:
        """Returns the address of a router for other routers."""
        return f"{self.host(name)}:{PEER_PORT}"

    def url(self, name: str) -> str:
        """Returns the caller URL of a router."""
        return f"http://{self.address(name)}"

    def start_targets(
        self, name: str, addresses: list[str], *args: str
    ) -> None:
        """Starts stand-in targets in one process."""
        module = "chervilwall_standins.serve"
        self._spawn(name, module, "targets", *addresses, *args)
        for address in addresses:
            url = f"http://{address}/load"
            wait_for(
                lambda url=url: call_json(url) is not None,
                limit_s=START_LIMIT_S,
                what=f"target {address}",
            )

    def start_router(self, name: str, **settings: Any) -> None:
        """Starts a router; its name must be one of the fleet's."""
        self.rewrite_settings(name, **settings)
        path = self._dir / f"{name}.json"
        self._spawn(name, "chervilwall_router", str(path))

    def rewrite_settings(self, name: str, **settings: Any) -> None:
        """Writes a router's settings file again."""
        path = self._dir / f"{name}.json"
        path.write_text(json.dumps(self._settings(name, settings)))

    def wait_ready(self, name: str) -> None:
        """Waits until a router answers."""
        url = f"{self.url(name)}/v1/routers"
        wait_for(
            lambda: call_json(url) is not None,
            limit_s=START_LIMIT_S,
            what=f"router {name}",
        )

    def status(self, name: str) -> Any:
        """Returns a router's status."""
        return call_json(f"{self.url(name)}/v1/admin/status", key=OPERATOR_KEY)

    def switch(self, **switches: Any) -> None:
        """Sets switches of the stand-in platform."""
        call_json(f"{self.platform_url}/admin/switches", switches)

    def send_signal(self, name: str, number: int) -> None:
        """Sends a signal to a process of this fleet."""
        self._procs[name].send_signal(number)

    def wait_exit(self, name: str, limit_s: float) -> int:
        """Waits for a process to end and returns its exit code."""
        return self._procs[name].wait(limit_s)

    def pid(self, name: str) -> int:
        """Returns the process id of a process of this fleet."""
        return self._procs[name].pid

    def _start_platform(self) -> None:
        module = "chervilwall_standins.serve"
        self._spawn("platform", module, "platform", self.platform)
        wait_for(
            lambda: call_json(f"{self.platform_url}/hosts") is not None,
            limit_s=START_LIMIT_S,
            what="platform",
        )

    def _settings(self, name: str, extra: Mapping[str, Any]) -> dict[str, Any]:
        index = self.names.index(name)
        seeds = [self._advertised(n) for n in self.names]
        settings: dict[str, Any] = {
            "name": name,
            "zone": ZONES[index % len(ZONES)],
            "listen": {
                "callers": self.address(name),
                "peers": self.peer_address(name),
                "peers_advertised": self._advertised(name),
                **self._listen,
            },
            "platform": self.platform_url,
            "fleet_keys": [FLEET_KEY],
            "operator_key_hashes": [hash_key(OPERATOR_KEY)],
            "seeds": seeds,
            "timing": {"address_ttl_s": 1},
        }
        settings.update(self._overrides)
        settings.update(extra)
        return settings

    def _advertised(self, name: str) -> str:
        relayed = self.relays is not None
        host = self._relay_hosts[name] if relayed else self.host(name)
        return f"{host}:{PEER_PORT}"

    def _spawn(self, name: str, module: str, *args: str) -> None:
        command = [sys.executable, "-m", module, *args]
        out = subprocess.DEVNULL if self._quiet else None
        env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
        self._procs[name] = subprocess.Popen(
            command, stdout=out, stderr=out, env=env
        )
