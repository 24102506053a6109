"""A small deployment on loopback: the project's router, with stand-ins.

Routers are started with the command of deploy/system.toml and get settings
that are filled into its template, from the fields that DEPLOY.md shows.
"""

import asyncio
import contextlib
import json
import logging
import os
import pathlib
import re
import signal
import subprocess
import sys
import tempfile
import time
import tomllib

ROOT = pathlib.Path(__file__).resolve().parents[2]
sys.path[:0] = [str(ROOT / "target/deps"), str(ROOT / "packages/standins")]

from chervilwall_standins.loopback import unique_loopback_address  # noqa: E402
from chervilwall_standins.users.store import FakeStore  # noqa: E402

# The library of the store's stand-in logs each refused call.
logging.disable(logging.CRITICAL)
LIB = pathlib.Path(__file__).resolve().parent
HOST = "ficu95.example"
KEY, TENANT = "asnmgkcuyj8pjbvk9m68", "hule930"
# Bounds of the site enen-neuvo, as SYSTEM.md states them.
BOUNDS = {
    "stability_ms": 3000,
    "drain_ms": 2000,
    "grace_s": 8,
    "lost_slack_ms": 200,
    "config_apply_ms": 2000,
    "retry_budget_ratio": 0.2,
    "budget_window_s": 10,
    "budget_slack": 54,
    "pass_ms": 120,
}
MEMORY_MB = 150
# Delay after which the platform starts a process that ended again.
RESTART_S = 0.5


def fill(template, fields):
    """Fills a template in the way that DEPLOY.md describes."""

    def value(name):
        found = fields
        for part in name.split("."):
            if isinstance(found, list):
                found = found[int(part)] if int(part) < len(found) else None
            else:
                found = found.get(part) if isinstance(found, dict) else None
        return found

    def section(match):
        return match[2] if value(match[1]) else ""

    text = re.sub(
        r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S
    )

    def place(match):
        name, _, form = match[1].partition("|")
        found = value(name)
        if form == "json":
            return json.dumps(found)
        return "" if found is None else str(found)

    return re.sub(r"\{\{([\w.|]+)\}\}", place, text)


class Record:
    """What was sent, answered and run, in the order in which it was seen."""

    def __init__(self, folder):
        self._file = (folder / "record.txt").open("w")
        self.lines = []

    def note(self, what, **fields):
        line = {"t": round(time.time(), 4), "what": what, **fields}
        self.lines.append(line)
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()

    def add(self, line):
        self.lines.append(line)
        self._file.write(json.dumps(line) + "\n")
        self._file.flush()


class Router:
    """One router process, which a platform starts again when it ends."""

    def __init__(self, name, zone, store_address, folder, record):
        self.name, self.record = name, record
        self.ip = unique_loopback_address()
        self.front = f"{self.ip}:8783"
        fields = {
            "node_name": name,
            "zone": zone,
            "ip": self.ip,
            "listen": {
                "front": self.front,
                "readiness": f"{self.ip}:8780",
                "directory": f"{self.ip}:8789",
            },
            "internal_ports": [7400, 7415],
            "provider": {"address": store_address},
            "bounds": BOUNDS,
            "bootstrap": True,
            "limits": {"cpu_share": 0.537},
        }
        role = tomllib.loads((ROOT / "deploy/system.toml").read_text())
        self.role = role["roles"]["router"]
        self.fields = fields
        self.settings = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self.process = None
        self.own_ends = 0

    def write_settings(self):
        template = (ROOT / self.role["template"]).read_text()
        self.settings.write_text(fill(template, self.fields))

    def start(self):
        self.write_settings()
        self.fields["bootstrap"] = False
        env = {k: os.environ[k] for k in ("PATH", "HOME") if k in os.environ}
        env["CHERVILWALL_SETTINGS"] = str(self.settings)
        env["PYTHONPATH"] = str(ROOT / "target/deps")
        with self.log.open("ab") as log:
            self.process = subprocess.Popen(
                self.role["run"].split(),
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.note("router started", router=self.name)

    def signal(self, signum):
        if self.process.poll() is None:
            self.process.send_signal(signum)
            name = signal.Signals(signum).name
            self.record.note("signal", router=self.name, signal=name)

    def memory_mb(self):
        try:
            status = pathlib.Path(f"/proc/{self.process.pid}/status")
            return int(re.search(r"VmRSS:\s+(\d+)", status.read_text())[1]) / 1024
        except (OSError, TypeError):
            return 0.0

    def end(self):
        if self.process is not None and self.process.poll() is None:
            self.process.kill()
        if self.process is not None:
            self.process.wait()

    async def is_ready(self):
        try:
            call = http_get(self.fields["listen"]["readiness"], "/ready")
            return (await asyncio.wait_for(call, 1.0)) == 200
        except (OSError, asyncio.TimeoutError, asyncio.IncompleteReadError):
            return False


async def http_get(address, path):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        writer.write(f"GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n".encode())
        line = await reader.readuntil(b"\r\n")
        return int(line.split()[1])
    finally:
        writer.close()


class Engine:
    """An engine process (engine.py) and its registration in the store."""

    def __init__(self, store, record, service, id, **spec):
        self.store, self.record, self.service = store, record, service
        self.host, self.port = unique_loopback_address(), 21_003
        self.spec = {"id": id, "host": self.host, "port": self.port, **spec}
        self.id, self.process, self._beats = id, None, None
        self.born = int(time.time() * 1000)
        self.state, self.slots, self.sequence = "ready", spec.get("slots", 6), 0

    async def start(self, *, register=True):
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            str(LIB / "engine.py"),
            json.dumps(self.spec),
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )
        await self.process.stdout.readline()
        self._reader = asyncio.ensure_future(self._read())
        if register:
            await self.register()

    async def _read(self):
        while line := await self.process.stdout.readline():
            self.record.add(json.loads(line))

    async def register(self):
        self.sequence += 1
        spec = {
            "backend": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "fi-south-a",
            "version": self.spec.get("version", ""),
            "slots": self.slots,
            "state": self.state,
            "cold_remaining_ms": 0,
            "sequence": self.sequence,
            "born": self.born,
        }
        await self.store.put("servers", self.id, spec)

    async def change(self, **spec):
        self.process.stdin.write((json.dumps(spec) + "\n").encode())
        await self.process.stdin.drain()

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def route(name, service, **fields):
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 3000,
        "target_latency_ms": 400,
        "priority": 1,
        "backend": service,
        "max_attempts": 1,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        "gap_aim_ms": 200,
        **fields,
    }


def config(version, routes, services, **fields):
    return {
        "version": version,
        "routes": routes,
        "services": [
            {"name": name, "health_path": "/health", "max_conns": conns}
            for name, conns in services.items()
        ],
        "limits": {
            "max_header_bytes": 16_384,
            "max_body_bytes": 4_194_304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15_000,
            "tokens_per_s": 340_000,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
        **fields,
    }


class Channel:
    """A consumer's channel, kept for many requests."""

    def __init__(self, address, record, name):
        self.address, self.record, self.name = address, record, name
        self.reader = self.writer = None
        # Requests answered on the open channel.
        self.answered = 0

    async def open(self):
        host, _, port = self.address.rpartition(":")
        self.reader, self.writer = await asyncio.open_connection(
            host, int(port), limit=1 << 20
        )
        self.answered = 0

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None

    async def ask(self, path, attempt, *, method="POST", body=b"", max_gap_s=0, **more):
        """Sends one request; returns (status, complete, body).

        Each request has a body of its own unless one is given. The consumer
        gives up after `max_gap_s` without a piece, 0 for never.

        Status 0 stands for a channel that ended without an answer.
        """
        body = body or attempt.encode()
        headers = {
            "Host": HOST,
            "Attempt-Id": attempt,
            "Timeout-Remaining": str(more.pop("timeout_ms", 3000)),
            "Authorization": f"Token {KEY}",
            "Content-Length": str(len(body)),
        }
        headers |= {k.replace("_", "-").title(): v for k, v in more.items()}
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{name}: {value}" for name, value in headers.items()]
        kept = self.answered > 0
        self.record.note(
            "sent", id=attempt, channel=self.name, kept=kept, path=path
        )
        status, complete, got = 0, False, b""
        self._piece_at = time.monotonic()
        reading = asyncio.ensure_future(self._exchange(lines, body))
        try:
            while not reading.done():
                await asyncio.wait((reading,), timeout=0.1)
                gap_s = time.monotonic() - self._piece_at
                if max_gap_s and not reading.done() and gap_s > max_gap_s:
                    reading.cancel()
                    self.record.note("abandoned", id=attempt)
                    self.close()
                    return 0, False, b""
            status, complete, got, keep = reading.result()
        except (ConnectionError, asyncio.IncompleteReadError, OSError):
            keep = False
        self.record.note(
            "answered" if status else "closed without an answer",
            id=attempt,
            channel=self.name,
            kept=kept,
            status=status,
            complete=complete,
        )
        if complete:
            self.answered += 1
        if not keep:
            self.close()
        return status, complete, got

    async def _exchange(self, lines, body):
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()
        return await self._receive()

    async def _receive(self):
        head = await self.reader.readuntil(b"\r\n\r\n")
        line, *rest = head[:-4].decode("latin1").split("\r\n")
        status = int(line.split()[1])
        headers = {}
        for item in rest:
            name, _, value = item.partition(":")
            headers[name.strip().lower()] = value.strip()
        keep = headers.get("connection", "").lower() != "close"
        body = b""
        try:
            if headers.get("transfer-encoding", "").lower() == "chunked":
                while True:
                    size = int(await self.reader.readuntil(b"\r\n"), 16)
                    part = (await self.reader.readexactly(size + 2))[:-2]
                    if not size:
                        return status, True, body, keep
                    # Comments are no pieces of a stream.
                    if part.strip(b":\n"):
                        body += part
                        self._piece_at = time.monotonic()
            if "content-length" not in headers:
                # The body ends with the channel: it is whole unless that is
                # reset.
                while part := await self.reader.read(65_536):
                    body += part
                    self._piece_at = time.monotonic()
                return status, True, body, False
            length = int(headers["content-length"])
            body = await self.reader.readexactly(length)
            return status, True, body, keep
        except (ConnectionError, asyncio.IncompleteReadError):
            return status, False, body, False


class Deployment:
    """A store, engines and routers; ends all of them when it is left."""

    def __init__(self, folder):
        self.record = Record(pathlib.Path(folder))
        self.store = FakeStore(page_size=500)
        self.routers, self.engines = [], []
        self._stack = contextlib.AsyncExitStack()

    async def __aenter__(self):
        await self._stack.enter_async_context(self.store)
        self.folder = pathlib.Path(
            self._stack.enter_context(tempfile.TemporaryDirectory())
        )
        return self

    async def __aexit__(self, *exc):
        for router in self.routers:
            router.end()
        for engine in self.engines:
            await engine.end()
        await self._stack.aclose()

    def router(self, name, zone="fi-south-a"):
        router = Router(
            name,
            zone,
            self.store.address,
            self.folder,
            self.record,
        )
        self.routers.append(router)
        return router

    async def engine(self, service, id, **spec):
        engine = Engine(self.store, self.record, service, id, **spec)
        self.engines.append(engine)
        await engine.start()
        return engine

    async def wait_ready(self, timeout_s=20.0):
        """Returns whether all routers say that they are ready in time."""
        until = time.monotonic() + timeout_s
        while time.monotonic() < until:
            states = [await router.is_ready() for router in self.routers]
            if all(states):
                return True
            await asyncio.sleep(0.1)
        return False


def run(case, folder):
    """Runs a case and ends with 1 if its rule was broken, 0 if it held.

    2 says that it could not run. The coroutine function gets the deployment
    and whether there is a disruption, and returns whether the rule held.
    """

    async def play():
        trouble = os.environ.get("TROUBLE", "1") != "0"
        # A case that is stopped ends what it started, too.
        loop = asyncio.get_running_loop()
        for signum in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signum, asyncio.current_task().cancel)
        async with Deployment(folder) as deployment:
            held = await asyncio.wait_for(case(deployment, trouble), 110)
            verdict = "held" if held else "broken"
            deployment.record.note("rule", verdict=verdict)
            return 0 if held else 1

    try:
        code = asyncio.run(play())
    except (Exception, asyncio.CancelledError) as exc:
        print(f"could not run: {type(exc).__name__}: {exc}", file=sys.stderr)
        code = 2
    sys.exit(code)
