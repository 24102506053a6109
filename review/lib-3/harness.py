"""Starts routers with the commands of the deploy file, and their stand-ins.

The store and the routers' settings are those of a small deployment. Everything
listens on loopback addresses.
"""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import shlex
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
for _path in (
    pathlib.Path(__file__).resolve().parent,
    ROOT / "target" / "deps",
    ROOT / "packages" / "core",
    ROOT / "packages" / "router",
    ROOT / "packages" / "standins",
    ROOT / "platform",
):
    sys.path.insert(1, str(_path))

# These imports need the paths above.
from silent_proxy import SilentProxy  # noqa: E402
from chervilwall_standins.loopback import unique_loopback_address  # noqa: E402
from chervilwall_standins.users.store import FakeStore  # noqa: E402

# The stand-in of the store logs each call that is cut off or refused.
logging.getLogger("tornado.access").setLevel(logging.CRITICAL)

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
BROKEN, HELD, NOT_RUN = 1, 0, 2
HOST = "a.example"
KEY = "key-of-tenant-1"
TENANT = "tenant1"
# Bounds of the small deployments.
STABILITY_S = 3.0
HEARTBEAT_S = 1.2
MEMORY_MB = 150
READY_TIMEOUT_S = 25.0


class NotRunError(Exception):
    """The case could not run."""


class Recorder:
    """Writes what was sent, answered and run to record.txt."""

    def __init__(self, folder: pathlib.Path) -> None:
        self._file = open(folder / "record.txt", "w", encoding="utf-8")
        self._started_at = time.monotonic()

    def now(self) -> float:
        """Returns the seconds since the start of the case."""
        return time.monotonic() - self._started_at

    def line(self, kind: str, **fields: object) -> None:
        """Writes one line."""
        words = " ".join(f"{k}={v}" for k, v in fields.items())
        self._file.write(f"{self.now():8.3f} {kind} {words}\n")
        self._file.flush()


class Router:
    """A router in its own process, started as the deploy file says."""

    def __init__(self, name: str, zone: str, store: str, folder: str) -> None:
        address = unique_loopback_address()
        self.name = name
        self.callers = f"{address}:8783"
        self.readiness = f"{address}:8780"
        self._path = pathlib.Path(folder) / f"{name}.json"
        self.log = pathlib.Path(folder) / f"{name}.log"
        self.process: subprocess.Popen[bytes] | None = None
        self._settings = {
            "name": name,
            "zone": zone,
            "listen": {
                "callers": self.callers,
                "readiness": self.readiness,
                "directory": f"{address}:8789",
                "peers": f"{address}:7400",
                "metrics": f"{address}:7415",
            },
            "store": {"address": store},
            "retries": {"ratio": 0.2, "window_s": 10, "slack": 54},
            "event_delay_ms": 120,
            "bootstrap": True,
            "memory_mb": MEMORY_MB,
            "max_fds": 4100,
            "cpu": 0.537,
            "stop": {"grace_s": 8},
        }

    def start(self) -> None:
        """Starts the process with the command of the deploy file."""
        self._path.write_text(json.dumps(self._settings))
        self._settings["bootstrap"] = False
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        command = shlex.split(deploy["roles"]["router"]["run"])
        env = {
            "PATH": os.environ["PATH"],
            "HOME": os.environ.get("HOME", "/"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "CHERVILWALL_SETTINGS": str(self._path),
        }
        with open(self.log, "ab") as log:
            self.process = subprocess.Popen(
                command, cwd=ROOT, env=env, stdout=log, stderr=log
            )

    def kill(self) -> None:
        """Ends the process if it runs."""
        process = self.process
        if process is not None and process.poll() is None:
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()

    async def is_ready(self) -> bool:
        """Asks the readiness page."""
        host, _, port = self.readiness.rpartition(":")
        with contextlib.suppress(OSError, asyncio.IncompleteReadError):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            line = await reader.readline()
            writer.close()
            return b" 200 " in line
        return False


def make_config(version: int, services: list[str], routes: list[dict]) -> dict:
    """Returns a desired state."""
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": 100}
            for name in services
        ],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tokens_per_s": 100000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


def make_route(name: str, service: str, **fields: object) -> dict:
    """Returns a route of the desired state."""
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 1000,
        "target_latency_ms": 200,
        "priority": 2,
        "backend": service,
        "max_attempts": 2,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        "gap_aim_ms": 200,
    } | fields


class Fleet(contextlib.AsyncExitStack):
    """A store and routers; ends all processes that it started."""

    def __init__(
        self, routers: int, config: dict, *, has_proxies: bool = False
    ) -> None:
        super().__init__()
        self._has_proxies = has_proxies
        self.proxies: list[SilentProxy] = []
        self._count, self._config = routers, config
        self.store = FakeStore(page_size=500)
        self.routers: list[Router] = []

    async def __aenter__(self) -> "Fleet":
        await super().__aenter__()
        await self.enter_async_context(self.store)
        folder = self.enter_context(tempfile.TemporaryDirectory())
        await self.store.put("config", "main", self._config)
        for number in range(self._count):
            zone = f"zone-{'abc'[number % 3]}"
            address = self.store.address
            if self._has_proxies:
                proxy = SilentProxy(address)
                await self.enter_async_context(proxy)
                self.proxies.append(proxy)
                address = proxy.address
            router = Router(f"edge-{number}", zone, address, folder)
            self.callback(router.kill)
            self.routers.append(router)
        return self

    async def start_routers(self) -> None:
        """Starts the routers and waits until all are ready."""
        for router in self.routers:
            router.start()
        deadline = time.monotonic() + READY_TIMEOUT_S
        for router in self.routers:
            while not await router.is_ready():
                if time.monotonic() > deadline:
                    raise NotRunError(f"{router.name} is not ready")
                await asyncio.sleep(0.1)
        # The routers have heard of each other by then.
        await asyncio.sleep(3.0)


class Answer:
    """An answer that a consumer got; status 0 for none."""

    def __init__(self, status: int, headers: dict[str, str], body: bytes):
        self.status, self.headers, self.body = status, headers, body


async def call(
    address: str,
    path: str,
    request_id: str,
    *,
    method: str = "POST",
    body: bytes = b"hello",
    remaining_ms: int = 1000,
    headers: str = "",
) -> Answer:
    """Sends one request on a new channel and returns its answer."""
    host, _, port = address.rpartition(":")
    try:
        reader, writer = await asyncio.open_connection(host, int(port))
    except OSError:
        return Answer(0, {}, b"")
    head = (
        f"{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n"
        f"Attempt-Id: {request_id}\r\nTimeout-Remaining: {remaining_ms}\r\n"
        f"Authorization: Token {KEY}\r\n{headers}"
        f"Content-Length: {len(body)}\r\n\r\n"
    )
    try:
        async with asyncio.timeout(remaining_ms / 1000 + 1.0):
            writer.write(head.encode() + body)
            return await read_answer(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return Answer(0, {}, b"")
    finally:
        writer.close()


async def read_answer(reader: asyncio.StreamReader) -> Answer:
    """Reads one answer that has a length."""
    raw = (await reader.readuntil(b"\r\n\r\n")).decode("latin1")
    line, _, rest = raw.partition("\r\n")
    pairs = (x.partition(":") for x in rest.split("\r\n") if x)
    headers = {name.lower(): value.strip() for name, _, value in pairs}
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    return Answer(int(line.split()[1]), headers, body)


def run_case(case) -> None:
    """Runs the coroutine function of a case and exits with its verdict."""

    async def run() -> int:
        # The time limit of run.sh ends a case with its processes.
        task = asyncio.current_task()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGTERM, task.cancel)
        return await case()

    try:
        sys.exit(asyncio.run(run()))
    except (NotRunError, asyncio.CancelledError) as exc:
        print(f"not run: {exc}")
        sys.exit(NOT_RUN)
