"""A stand-in of the platform: objects, host list, and switches for faults."""

import asyncio
import base64
import json
import time
from typing import Any

import msgspec
from chervilwall.protocol import PlatformObject
from tornado.web import Application, RequestHandler

from chervilwall_standins.object_store import (
    MAX_VALUE_BYTES,
    ConflictError,
    ObjectStore,
)

MAX_WATCH_S = 60.0


class Switches(msgspec.Struct):
    """Faults that tests turn on.

    Args:
        down (bool): Drop every connection.
        slow_s (float): Seconds to wait before each call.
        lose_replies (int): Writes left whose reply is lost after they took
            effect.
        writes_per_s (float): Ceiling of writes.
        reads_per_s (float): Ceiling of reads.
        hosts_lag_s (float): Seconds by which the host list lags.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    hosts_lag_s: float = 0.0


class Meter:
    """Hold a rate below a ceiling, counted over one second."""

    def __init__(self) -> None:
        self.total = 0
        self._second = 0
        self._count = 0

    def take(self, ceiling: float) -> bool:
        """Counts a call; returns whether it may go on."""
        second = int(time.monotonic())
        if second != self._second:
            self._second, self._count = second, 0
        self._count += 1
        self.total += 1
        return self._count <= ceiling


class PlatformState:
    """All that the stand-in platform holds."""

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.switches = Switches()
        self.reads = Meter()
        self.writes = Meter()
        self._hosts: list[tuple[float, dict[str, str]]] = [(0.0, {})]

    def set_hosts(self, hosts: dict[str, str]) -> None:
        """Sets the state of each host, to be listed after the lag."""
        self._hosts.append((time.monotonic(), hosts))

    def hosts(self) -> dict[str, str]:
        """Returns the host list as it was before the lag."""
        limit = time.monotonic() - self.switches.hosts_lag_s
        return [hosts for at, hosts in self._hosts if at <= limit][-1]


class _Handler(RequestHandler):
    """Base of the platform's handlers."""

    def initialize(self, state: PlatformState) -> None:
        self.state = state

    async def prepare(self) -> None:
        switches = self.state.switches
        if switches.down:
            self.drop()
            return
        if switches.slow_s:
            await asyncio.sleep(switches.slow_s)
        write = self.request.method in ("PUT", "DELETE")
        meter = self.state.writes if write else self.state.reads
        ceiling = switches.writes_per_s if write else switches.reads_per_s
        if not meter.take(ceiling):
            self.set_status(429)
            self.set_header("Retry-After", "1")
            self.finish()

    def drop(self) -> None:
        """Breaks the connection without an answer."""
        self._auto_finish = False
        self._finished = True
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def if_version(self) -> int | None:
        """Returns the condition of a write."""
        if self.request.headers.get("If-None-Match") == "*":
            return 0
        tag = self.request.headers.get("If-Match", "").strip('"')
        return int(tag) if tag else None

    def end_write(self) -> None:
        """Answers a write, or loses its reply."""
        if self.state.switches.lose_replies > 0:
            self.state.switches.lose_replies -= 1
            self.drop()
            return
        self.finish()


class ObjectHandler(_Handler):
    """Serve one object."""

    def get(self, key: str) -> None:
        """Returns the object."""
        stored = self.state.store.get(key)
        if stored is None:
            self.set_status(404)
            return
        self.set_header("ETag", f'"{stored.version}"')
        self.set_header("Content-Type", "application/octet-stream")
        self.write(stored.value)

    def compute_etag(self) -> None:
        """Leaves the ETag to the version."""
        return

    def put(self, key: str) -> None:
        """Writes the object."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.set_status(413)
            return
        try:
            version = self.state.store.put(
                key, self.request.body, self.if_version()
            )
        except ConflictError:
            self.set_status(412)
            return
        self.set_header("ETag", f'"{version}"')
        self.end_write()

    def delete(self, key: str) -> None:
        """Deletes the object."""
        try:
            self.state.store.delete(key, self.if_version())
        except ConflictError:
            self.set_status(412)
            return
        self.end_write()


class ListHandler(_Handler):
    """List objects below a prefix."""

    def get(self) -> None:
        """Returns the objects."""
        prefix = self.get_query_argument("prefix", "")
        self.finish(_listing(self.state.store, prefix, 0))


class WatchHandler(_Handler):
    """Wait for changes below a prefix."""

    async def get(self) -> None:
        """Returns the objects that changed."""
        prefix = self.get_query_argument("prefix", "")
        since = int(self.get_query_argument("since", "0"))
        timeout_s = float(self.get_query_argument("timeout", "20"))
        store = self.state.store
        await store.wait(prefix, since, min(timeout_s, MAX_WATCH_S))
        if self.state.switches.down:
            self.drop()
            return
        self.finish(_listing(store, prefix, since))


class HostsHandler(_Handler):
    """Show the host list."""

    def get(self) -> None:
        """Returns the list as it was before the lag."""
        hosts = [list(item) for item in self.state.hosts().items()]
        self.finish(json.dumps({"hosts": hosts}))


class AdminHandler(RequestHandler):
    """Turn faults on and off."""

    def initialize(self, state: PlatformState) -> None:
        """Takes the platform's state."""
        self.state = state

    def get(self, what: str) -> None:
        """Shows how many calls were made."""
        calls = {
            "reads": self.state.reads.total,
            "writes": self.state.writes.total,
        }
        self.finish(json.dumps(calls))

    def post(self, what: str) -> None:
        """Sets switches or the host list."""
        body = msgspec.json.decode(self.request.body)
        if what == "hosts":
            self.state.set_hosts(body)
        else:
            for name, value in body.items():
                setattr(self.state.switches, name, value)
        self.finish("{}")


def make_platform(state: PlatformState) -> Application:
    """Returns the stand-in platform's application."""
    context = {"state": state}
    return Application(
        [
            ("/objects/(.+)", ObjectHandler, context),
            ("/objects", ListHandler, context),
            ("/watch", WatchHandler, context),
            ("/hosts", HostsHandler, context),
            ("/admin/(.*)", AdminHandler, context),
        ]
    )


def _listing(store: ObjectStore, prefix: str, since: int) -> bytes:
    objects = [_encode(stored) for stored in store.list(prefix, since)]
    body: dict[str, Any] = {"revision": store.revision, "objects": objects}
    return json.dumps(body).encode()


def _encode(stored: PlatformObject) -> list[Any]:
    value = base64.b64encode(stored.value).decode()
    return [stored.key, stored.version, value]
