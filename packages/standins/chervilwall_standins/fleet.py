"""Runs the platform, targets and routers as processes on loopback addresses."""

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

from chervilwall_standins.loopback import unique_loopback_address
from chervilwall_standins.relay import PeerRelays

OPERATOR_KEY = "operator-key-of-the-stand-in-fleet"
FLEET_KEY = "fleet-key-of-the-stand-in-fleet"
ZONES = ("az1", "az2", "az3")
LOG = logging.getLogger(__name__)
START_TIMEOUT_S = 20.0
# Below the kernel's default range of ephemeral ports, so that no outgoing
# connection occupies these.
PLATFORM_PORT = 21_000
CALLER_PORT = 21_001
PEER_PORT = 21_002
POLL_INTERVAL_S = 0.05


def wait_for(condition: Any, *, limit_s: float, what: str) -> float:
    """Polls a condition until it is true.

    An OSError, KeyError, IndexError or ValueError from the condition counts as
    false, as processes may not answer yet.

    Args:
        condition (Callable): Returns whether to stop waiting.
        limit_s (float): Timeout in seconds.
        what (str): What is awaited, for the error message.

    Returns:
        float: Seconds until the condition was true.

    Raises:
        AssertionError: If the condition is not true before the timeout.
    """
    started = time.monotonic()
    while time.monotonic() - started < limit_s:
        try:
            if condition():
                return time.monotonic() - started
        except (OSError, KeyError, IndexError, ValueError) as exc:
            LOG.debug("still waiting for %s: %r", what, exc)
        time.sleep(POLL_INTERVAL_S)
    raise AssertionError(f"not reached within {limit_s:g} s: {what}")


def call_json(
    url: str, body: object = None, *, key: str = "", method: str = ""
) -> Any:
    """Sends an HTTP request and returns the decoded JSON response.

    Args:
        url (str): The URL.
        body (object): JSON body. Without one, the request is a GET.
        key (str): Bearer token; none is sent if empty.
        method (str): HTTP method. Defaults to POST with a body, else GET.

    Raises:
        OSError: If the call fails or the response is an HTTP error.
    """
    data = None if body is None else json.dumps(body).encode()
    request = urllib.request.Request(url, data=data, method=method or None)
    if key:
        request.add_header("Authorization", f"Bearer {key}")
    with urllib.request.urlopen(request, timeout=10) as response:
        return json.loads(response.read() or b"null")


class Fleet:
    """Run a platform, targets and routers on loopback addresses.

    As a context manager, it starts the platform and the routers when entered,
    and kills all processes when left; start_targets() starts the targets.

    Args:
        routers (int): Number of routers. Defaults to 3.
        settings (Mapping | None): Router settings that override the defaults.
        listen (Mapping | None): Entries added to the `listen` settings of every
            router.
        quiet (bool): Whether the output of processes is discarded. Defaults to
            True.
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
        self._router_count = routers
        self._settings_overrides = settings or {}
        self._listen_overrides = listen or {}
        self._quiet = quiet
        self._settings_dir = pathlib.Path(
            tempfile.mkdtemp(prefix="chervilwall-")
        )
        self._processes: dict[str, subprocess.Popen[bytes]] = {}
        self.platform = f"{unique_loopback_address()}:{PLATFORM_PORT}"
        self.relays = PeerRelays() if relayed else None
        self.router_names = [f"router{i}" for i in range(1, routers + 1)]
        self._hosts: dict[str, str] = defaultdict(unique_loopback_address)
        self._relay_hosts: dict[str, str] = defaultdict(unique_loopback_address)

    def __repr__(self) -> str:
        return f"Fleet(processes={len(self._processes)})"

    def __enter__(self) -> "Fleet":
        try:
            if self.relays is not None:
                hosts = {
                    self.router_ip(n): self._relay_hosts[n]
                    for n in self.router_names
                }
                self.relays.start(hosts, PEER_PORT)
            self._start_platform()
            for name in self.router_names:
                self.start_router(name)
            for name in self.router_names:
                self.wait_ready(name)
        except BaseException:
            # Stop what was started: no __exit__ follows a failed __enter__.
            self.__exit__()
            raise
        return self

    def __exit__(self, *exc_info: object) -> None:
        for proc in self._processes.values():
            if proc.poll() is None:
                # A test may have left the process stopped.
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self._processes.values():
            proc.wait()
        if self.relays is not None:
            self.relays.stop()
        shutil.rmtree(self._settings_dir, ignore_errors=True)

    @property
    def platform_url(self) -> str:
        """Base URL of the stand-in platform."""
        return f"http://{self.platform}"

    def router_ip(self, name: str) -> str:
        """Returns the loopback IP address of a router."""
        return self._hosts[name]

    def caller_address(self, name: str) -> str:
        """Returns the IP:port on which a router listens for callers."""
        return f"{self.router_ip(name)}:{CALLER_PORT}"

    def peer_address(self, name: str) -> str:
        """Returns the IP:port on which a router listens for other routers."""
        return f"{self.router_ip(name)}:{PEER_PORT}"

    def router_url(self, name: str) -> str:
        """Returns the base URL of a router for callers."""
        return f"http://{self.caller_address(name)}"

    def start_targets(
        self, name: str, addresses: list[str], *args: str
    ) -> None:
        """Starts stand-in targets in one process and waits until they answer.

        Args:
            name (str): Name of the process.
            addresses (list): IP:port of each target.
            args (str): Command line options of `serve`.
        """
        module = "chervilwall_standins.serve"
        self._spawn(name, module, "targets", *addresses, *args)
        for address in addresses:
            url = f"http://{address}/load"
            wait_for(
                lambda url=url: call_json(url) is not None,
                limit_s=START_TIMEOUT_S,
                what=f"target {address}",
            )

    def start_router(self, name: str, **settings: Any) -> None:
        """Starts a router without waiting for it.

        Args:
            name (str): One of the names of this fleet.
            settings (Any): Settings that override the fleet's.
        """
        self.rewrite_settings(name, **settings)
        path = self._settings_dir / f"{name}.json"
        self._spawn(name, "chervilwall_router", str(path))

    def rewrite_settings(self, name: str, **settings: Any) -> None:
        """Writes a router's settings file, which it reads at its next start."""
        path = self._settings_dir / f"{name}.json"
        path.write_text(json.dumps(self._make_settings(name, settings)))

    def wait_ready(self, name: str) -> None:
        """Waits until a router answers callers."""
        url = f"{self.router_url(name)}/v1/routers"
        wait_for(
            lambda: call_json(url) is not None,
            limit_s=START_TIMEOUT_S,
            what=f"router {name}",
        )

    def status(self, name: str) -> Any:
        """Returns a router's status as its admin endpoint reports it."""
        return call_json(
            f"{self.router_url(name)}/v1/admin/status", key=OPERATOR_KEY
        )

    def set_platform_faults(self, **switches: Any) -> None:
        """Sets fault switches of the stand-in platform."""
        call_json(f"{self.platform_url}/admin/switches", switches)

    def signal_process(self, name: str, number: int) -> None:
        """Sends a signal to a process of this fleet."""
        self._processes[name].send_signal(number)

    def wait_exit(self, name: str, limit_s: float) -> int:
        """Waits for a process to exit and returns its exit code."""
        return self._processes[name].wait(limit_s)

    def pid(self, name: str) -> int:
        """Returns the process id of a process of this fleet."""
        return self._processes[name].pid

    def _start_platform(self) -> None:
        module = "chervilwall_standins.serve"
        self._spawn("platform", module, "platform", self.platform)
        wait_for(
            lambda: call_json(f"{self.platform_url}/hosts") is not None,
            limit_s=START_TIMEOUT_S,
            what="platform",
        )

    def _make_settings(
        self, name: str, extra: Mapping[str, Any]
    ) -> dict[str, Any]:
        index = self.router_names.index(name)
        seeds = [self._advertised_peer_address(n) for n in self.router_names]
        settings: dict[str, Any] = {
            "name": name,
            "zone": ZONES[index % len(ZONES)],
            "listen": {
                "callers": self.caller_address(name),
                "peers": self.peer_address(name),
                "peers_advertised": self._advertised_peer_address(name),
                **self._listen_overrides,
            },
            "platform": self.platform_url,
            "fleet_keys": [FLEET_KEY],
            "operator_key_hashes": [hash_key(OPERATOR_KEY)],
            "seeds": seeds,
            "timing": {"address_ttl_s": 1},
        }
        settings.update(self._settings_overrides)
        settings.update(extra)
        return settings

    def _advertised_peer_address(self, name: str) -> str:
        uses_relays = self.relays is not None
        host = self._relay_hosts[name] if uses_relays else self.router_ip(name)
        return f"{host}:{PEER_PORT}"

    def _spawn(self, name: str, module: str, *args: str) -> None:
        command = [sys.executable, "-m", module, *args]
        output = subprocess.DEVNULL if self._quiet else None
        env = {**os.environ, "PYTHONDONTWRITEBYTECODE": "1"}
        self._processes[name] = subprocess.Popen(
            command, stdout=output, stderr=output, env=env
        )
