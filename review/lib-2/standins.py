"""Stand-ins of the platform's store, the engines and the consumers.

They use the standard library only. The router is started as the deploy file
says, with settings that are rendered from its template.
"""

import asyncio
import contextlib
import json
import os
import pathlib
import re
import signal
import socket
import subprocess
import tempfile
import time
import urllib.parse

ROOT = pathlib.Path(__file__).resolve().parents[2]
HOST = "127.0.0.1"
HOSTNAME = "case.example"
KEY = "k3y0000000000000000a"
TENANT = "tenant-a"
STORE_ROOT = "/chervilwall/objects/"


def free_ports(count):
    """Returns ports that nothing listens on now."""
    with contextlib.ExitStack() as stack:
        socks = [stack.enter_context(socket.socket()) for _ in range(count)]
        for sock in socks:
            sock.bind((HOST, 0))
        return [sock.getsockname()[1] for sock in socks]


class Record:
    """Writes what was sent, answered and run to record.txt of the case."""

    def __init__(self, folder):
        self._file = open(pathlib.Path(folder) / "record.txt", "w", encoding="utf-8")
        self._began = time.monotonic()

    def add(self, text):
        self._file.write(f"{time.monotonic() - self._began:8.3f} {text}\n")
        self._file.flush()


async def read_head(reader):
    """Returns the first line and the headers of a message, None at its end."""
    try:
        data = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, ConnectionError):
        return None
    first, *lines = data[:-4].decode("latin1").split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return first, headers


async def read_chunked(reader):
    """Returns a chunked body; raises IncompleteReadError if it breaks off."""
    body = b""
    while True:
        size = int((await reader.readuntil(b"\r\n")).split(b";")[0], 16)
        body += (await reader.readexactly(size + 2))[:-2]
        if not size:
            return body


async def read_body(reader, headers):
    """Returns the body of a message that has a length or chunks."""
    if "chunked" in headers.get("transfer-encoding", ""):
        return await read_chunked(reader)
    return await reader.readexactly(int(headers.get("content-length", "0")))


class Store:
    """The platform's store: objects by kind, with lists and watches."""

    # Objects in one answer to a list.
    PAGE = 500
    # Time of an answer.
    ANSWER_S = 0.004

    def __init__(self):
        # Called with the kind and the number of each page before it is read.
        self.on_page = lambda kind, number: None
        self.address = ""
        self.revision = 100
        self.kinds = {}
        self.history = []
        self._changed = asyncio.Event()
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_):
        self._server.close()

    def put(self, kind, name, spec):
        self.revision += 1
        item = {
            "metadata": {
                "name": name,
                "revision": self.revision,
                "created_at": 0,
                "finalizers": [],
                "delete_requested": False,
            },
            "spec": spec,
            "status": None,
        }
        self.kinds.setdefault(kind, {})[name] = item
        self._notify(kind, item, False)
        return item

    def delete(self, kind, name):
        item = self.kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            self._notify(kind, item, True)

    def _notify(self, kind, item, deleted):
        self.history.append((self.revision, kind, item, deleted))
        self._changed.set()
        self._changed = asyncio.Event()

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                body = await read_body(reader, head[1])
                await asyncio.sleep(self.ANSWER_S)
                status, answer = await self._answer(head[0], body)
                data = json.dumps(answer).encode()
                writer.write(
                    b"HTTP/1.1 %d -\r\nContent-Type: application/json\r\n"
                    b"Store-Era: 1\r\nContent-Length: %d\r\n\r\n%b"
                    % (status, len(data), data)
                )
                await writer.drain()
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    async def _answer(self, line, body):
        method, url, _ = line.split(" ")
        parts = urllib.parse.urlsplit(url)
        query = dict(urllib.parse.parse_qsl(parts.query))
        names = parts.path.removeprefix(STORE_ROOT).split("/")
        kind, name = names[0], "/".join(names[1:])
        objects = self.kinds.setdefault(kind, {})
        if method == "GET" and name:
            return (200, objects[name]) if name in objects else (404, {})
        if method == "GET" and "watch" in query:
            return await self._watch(kind, query)
        if method == "GET":
            after = query.get("since_rev", "")
            names = [n for n in sorted(objects) if n > after]
            self.on_page(kind, 2 if after else 1)
            return 200, {
                "items": [objects[n] for n in names[: self.PAGE]],
                "has_more": len(names) > self.PAGE,
                "store_revision": self.revision,
            }
        if method == "POST":
            document = json.loads(body)
            name = document["metadata"]["name"]
            if name in objects:
                return 409, objects[name]
            return 201, self.put(kind, name, document["spec"])
        if name not in objects:
            return 404, {}
        if method == "DELETE":
            self.delete(kind, name)
            return 200, {}
        document = json.loads(body)
        revision = document["metadata"].get("revision")
        if revision not in (None, objects[name]["metadata"]["revision"]):
            return 409, objects[name]
        return 200, self.put(kind, name, document["spec"])

    async def _watch(self, kind, query):
        since = int(query["watch"])
        ends_at = time.monotonic() + int(query.get("wait_ms", "0")) / 1000
        while True:
            events = [
                {"object": item, "deleted": deleted}
                for revision, changed, item, deleted in self.history
                if changed == kind and revision > since
            ]
            left_s = ends_at - time.monotonic()
            if events or left_s <= 0:
                return 200, {"events": events, "store_revision": self.revision}
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(left_s):
                    await self._changed.wait()


class Engine:
    """An engine: answers each request with `answer`, on kept channels."""

    def __init__(self, name, service, record, answer):
        self.name = name
        self.service = service
        self.record = record
        self.answer = answer
        self.ran = []
        self.closed = []
        self.address = ""
        self.slots = 64
        self._server = None

    async def __aenter__(self):
        self._server = await asyncio.start_server(self._serve, HOST, 0, limit=1 << 20)
        self.address = "%s:%d" % self._server.sockets[0].getsockname()
        return self

    async def __aexit__(self, *_):
        self._server.close()

    def entry(self, state="ready"):
        return {
            "backend": self.service,
            "address": self.address,
            "zone": "zone-a",
            "version": "1",
            "slots": self.slots,
            "state": state,
            "cold_remaining_ms": 0,
            "born": 1000,
            "sequence": 1,
        }

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                line, headers = head
                body = await read_body(reader, headers)
                if headers.get("expect-instance", self.name) != self.name:
                    writer.write(
                        b"HTTP/1.1 421 -\r\nInstance-Id: %b\r\n"
                        b"Content-Length: 0\r\n\r\n" % self.name.encode()
                    )
                    continue
                self.ran.append(headers.get("attempt-id", ""))
                self.record.add(
                    f"engine {self.name} runs {headers.get('attempt-id')}"
                    f" {line} left={headers.get('timeout-remaining')}"
                )
                await self.answer(self, headers, body, reader, writer)
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()


def answer_head(headers, *lines, status=200):
    """Returns the head of an engine's answer to a request."""
    return (
        "\r\n".join(
            (
                f"HTTP/1.1 {status} -",
                f"Attempt-Id: {headers.get('attempt-id', '')}",
                "Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1",
                *lines,
            )
        )
        + "\r\n\r\n"
    ).encode()


def route(name, service, kind="idempotent", **fields):
    """Returns a route of a desired state."""
    return {
        "name": name,
        "hostname": HOSTNAME,
        "path_prefix": f"/{name}/",
        "backend": service,
        "kind": kind,
        "timeout_ms": 15000,
        "target_latency_ms": 400,
        "priority": 1,
        "max_attempts": 2,
        **fields,
    }


def desired_state(version, routes, services, **limits):
    """Returns a desired state."""
    return {
        "version": version,
        "routes": routes,
        "services": [{"name": s, "max_conns": 370} for s in services],
        "limits": {
            "max_header_bytes": 16384,
            "max_body_bytes": 4194304,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            **limits,
        },
        "tenants": [{"name": TENANT, "api_keys": [KEY]}],
    }


def render(template, fields):
    """Fills in the template of the deploy file, as far as that one needs."""

    def find(path):
        value = fields
        for part in path.split("."):
            if isinstance(value, list):
                value = value[int(part)] if int(part) < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
        return value

    def section(match):
        value = find(match[1])
        return match[2] if value not in (None, False, "", [], {}) else ""

    def value(match):
        found = find(match[1])
        if match[2]:
            return json.dumps(found)
        return "" if found is None else str(found)

    text = re.sub(r"\{\{#([\w.]+)\}\}(.*?)\{\{/\1\}\}", section, template, flags=re.S)
    return re.sub(r"\{\{([\w.]+)(\|json)?\}\}", value, text)


class Router:
    """One router, started with the command of the deploy file."""

    def __init__(self, name, store, folder, record, **limits):
        self.name = name
        self.record = record
        front, ready, directory, peers, metrics = free_ports(5)
        self.front = (HOST, front)
        self.ready_address = (HOST, ready)
        fields = {
            "node_name": name,
            "zone": "zone-a",
            "ip": HOST,
            "bootstrap": True,
            "listen": {
                "front": f"{HOST}:{front}",
                "readiness": f"{HOST}:{ready}",
                "directory": f"{HOST}:{directory}",
            },
            "internal_ports": [peers, metrics],
            "limits": {
                "cpu_share": 0.537,
                "memory_mb": 150,
                "max_fds": 4100,
                **limits,
            },
            "bounds": {
                "grace_s": 8,
                "retry_budget_ratio": 0.2,
                "budget_window_s": 10,
                "budget_slack": 54,
                "pass_ms": 120,
            },
            "provider": {"address": store.address},
        }
        template = (ROOT / "deploy" / "edge.json.tmpl").read_text()
        self._path = pathlib.Path(folder) / f"{name}.json"
        self._path.write_text(render(template, fields))
        self._log_path = pathlib.Path(folder) / f"{name}.log"
        self.process = None

    async def __aenter__(self):
        env = {
            "PATH": os.environ.get("PATH", ""),
            "HOME": os.environ.get("HOME", "/tmp"),
            "LANG": os.environ.get("LANG", "C.UTF-8"),
            "PYTHONPATH": str(ROOT / "target" / "deps"),
            "PYTHONDONTWRITEBYTECODE": "1",
            "CHERVILWALL_SETTINGS": str(self._path),
        }
        with open(self._log_path, "wb") as log:
            self.process = subprocess.Popen(
                ["python3", "platform/edge.py"],
                cwd=ROOT,
                env=env,
                stdin=subprocess.DEVNULL,
                stdout=log,
                stderr=log,
            )
        self.record.add(f"router {self.name} started")
        return self

    async def __aexit__(self, *_):
        if self.process.poll() is None:
            self.process.kill()
        self.process.wait()

    def log(self):
        return self._log_path.read_text(errors="replace")

    def signal(self, number):
        self.record.add(f"router {self.name} gets {signal.Signals(number).name}")
        self.process.send_signal(number)

    async def is_ready(self):
        try:
            reader, writer = await asyncio.open_connection(*self.ready_address)
        except OSError:
            return False
        try:
            writer.write(b"GET /ready HTTP/1.1\r\nHost: x\r\n\r\n")
            head = await read_head(reader)
            return head is not None and " 200" in head[0]
        except OSError:
            return False
        finally:
            writer.close()

    async def wait_ready(self, timeout_s=15.0):
        async with asyncio.timeout(timeout_s):
            while not await self.is_ready():
                if self.process.poll() is not None:
                    raise RuntimeError(self.log()[-2000:])
                await asyncio.sleep(0.05)

    def memory_kb(self, field="VmRSS"):
        """Returns a figure of the process's memory, None once it has ended."""
        try:
            text = pathlib.Path(f"/proc/{self.process.pid}/status").read_text()
        except OSError:
            return None
        found = re.search(rf"^{field}:\s+(\d+)", text, re.M)
        return int(found[1]) if found else None


def request(method, path, request_id, body=None, left_ms=None, **headers):
    """Returns the bytes of a consumer's request."""
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {HOSTNAME}",
        f"Attempt-Id: {request_id}",
        f"Authorization: Token {KEY}",
    ]
    if left_ms is not None:
        lines.append(f"Timeout-Remaining: {left_ms}")
    lines += [f"{n.replace('_', '-')}: {v}" for n, v in headers.items()]
    if body is not None:
        lines.append(f"Content-Length: {len(body)}")
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + (body or b"")


def temporary_folder():
    return tempfile.TemporaryDirectory(prefix="review-")


def run_case(main):
    """Runs a case and returns the exit code: 1 broken, 0 held, 2 not run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"
    try:
        async def bounded():
            async with asyncio.timeout(110):
                return await main(trouble)

        return 1 if asyncio.run(bounded()) else 0
    except BaseException as exc:  # noqa: BLE001
        print(f"the case could not run: {exc!r}")
        return 2
