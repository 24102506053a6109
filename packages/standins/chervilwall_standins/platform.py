"""Stand-in platform: object store, host list and fault injection over HTTP."""

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


class FaultSwitches(msgspec.Struct):
    """Faults that tests inject, and limits on the rate of calls.

    Args:
        down (bool): Whether every connection is closed without a response.
        slow_s (float): Delay before each call is handled, in seconds.
        lose_replies (int): Number of following writes that take effect but
            whose response is lost.
        writes_per_s (float): Maximum rate of writes.
        reads_per_s (float): Maximum rate of reads.
        hosts_lag_s (float): Age of the host list that is returned, in seconds.
    """

    down: bool = False
    slow_s: float = 0.0
    lose_replies: int = 0
    writes_per_s: float = 400.0
    reads_per_s: float = 2000.0
    hosts_lag_s: float = 0.0


class RateLimiter:
    """Limit the rate of calls, in fixed windows of one second.

    Attributes:
        total (int): Number of all calls, rejected ones included.
    """

    def __init__(self) -> None:
        self.total = 0
        self._window_second = 0
        self._window_count = 0

    def try_acquire(self, max_per_s: float) -> bool:
        """Counts a call and returns whether it is within the limit."""
        second = int(time.monotonic())
        if second != self._window_second:
            self._window_second, self._window_count = second, 0
        self._window_count += 1
        self.total += 1
        return self._window_count <= max_per_s


class PlatformState:
    """Hold the state of the stand-in platform, shared by its handlers.

    Attributes:
        store (ObjectStore): The stored objects.
        switches (FaultSwitches): The injected faults.
        reads (RateLimiter): Limiter and counter of reads.
        writes (RateLimiter): Limiter and counter of writes.
    """

    def __init__(self) -> None:
        self.store = ObjectStore()
        self.switches = FaultSwitches()
        self.reads = RateLimiter()
        self.writes = RateLimiter()
        self._host_history: list[tuple[float, dict[str, str]]] = [(0.0, {})]

    def set_hosts(self, hosts: dict[str, str]) -> None:
        """Sets the host list, which hosts() returns after `hosts_lag_s`."""
        self._host_history.append((time.monotonic(), hosts))

    def hosts(self) -> dict[str, str]:
        """Returns the host list as it was `hosts_lag_s` seconds ago."""
        cutoff = time.monotonic() - self.switches.hosts_lag_s
        return [hosts for at, hosts in self._host_history if at <= cutoff][-1]


class _Handler(RequestHandler):
    """Inject faults and limit the request rate."""

    def initialize(self, state: PlatformState) -> None:
        self.state = state

    async def prepare(self) -> None:
        switches = self.state.switches
        if switches.down:
            self.drop_connection()
            return
        if switches.slow_s:
            await asyncio.sleep(switches.slow_s)
        is_write = self.request.method in ("PUT", "DELETE")
        limiter = self.state.writes if is_write else self.state.reads
        max_per_s = switches.writes_per_s if is_write else switches.reads_per_s
        if not limiter.try_acquire(max_per_s):
            self.set_status(429)
            self.set_header("Retry-After", "1")
            self.finish()

    def drop_connection(self) -> None:
        """Closes the connection without a response."""
        self._auto_finish = False
        self._finished = True
        self.request.connection.stream.close()  # type: ignore[union-attr]

    def expected_version(self) -> int | None:
        """Returns the version that the request headers require.

        Returns:
            int | None: Version of `If-Match`, 0 for `If-None-Match: *`, or None
                if the write is unconditional.
        """
        if self.request.headers.get("If-None-Match") == "*":
            return 0
        tag = self.request.headers.get("If-Match", "").strip('"')
        return int(tag) if tag else None

    def finish_write(self) -> None:
        """Sends the response of a write, or closes the connection instead.

        It closes it while `lose_replies` is not 0, and counts that down.
        """
        if self.state.switches.lose_replies > 0:
            self.state.switches.lose_replies -= 1
            self.drop_connection()
            return
        self.finish()


class ObjectHandler(_Handler):
    """Read, write and delete one object."""

    def get(self, key: str) -> None:
        """Sends the object with its version as ETag."""
        stored = self.state.store.get(key)
        if stored is None:
            self.set_status(404)
            return
        self.set_header("ETag", f'"{stored.version}"')
        self.set_header("Content-Type", "application/octet-stream")
        self.write(stored.value)

    def compute_etag(self) -> None:
        """Disables Tornado's own ETag, as the version is the ETag."""
        return

    def put(self, key: str) -> None:
        """Writes the object if it has the required version."""
        if len(self.request.body) > MAX_VALUE_BYTES:
            self.set_status(413)
            return
        try:
            version = self.state.store.put(
                key, self.request.body, self.expected_version()
            )
        except ConflictError:
            self.set_status(412)
            return
        self.set_header("ETag", f'"{version}"')
        self.finish_write()

    def delete(self, key: str) -> None:
        """Deletes the object if it has the required version."""
        try:
            self.state.store.delete(key, self.expected_version())
        except ConflictError:
            self.set_status(412)
            return
        self.finish_write()


class ListHandler(_Handler):
    """List the objects whose key starts with a prefix."""

    def get(self) -> None:
        """Sends the objects and the revision of the store."""
        prefix = self.get_query_argument("prefix", "")
        self.finish(_encode_listing(self.state.store, prefix, 0))


class WatchHandler(_Handler):
    """Wait for changes to objects whose key starts with a prefix."""

    async def get(self) -> None:
        """Waits for a change and sends the objects changed since a revision.

        Sends an empty list if none changes before the timeout.
        """
        prefix = self.get_query_argument("prefix", "")
        since = int(self.get_query_argument("since", "0"))
        timeout_s = float(self.get_query_argument("timeout", "20"))
        store = self.state.store
        await store.wait(prefix, since, min(timeout_s, MAX_WATCH_S))
        if self.state.switches.down:
            self.drop_connection()
            return
        self.finish(_encode_listing(store, prefix, since))


class HostsHandler(_Handler):
    """List the hosts and their states."""

    def get(self) -> None:
        """Sends the host list as it was `hosts_lag_s` seconds ago."""
        hosts = [list(item) for item in self.state.hosts().items()]
        self.finish(json.dumps({"hosts": hosts}))


class AdminHandler(RequestHandler):
    """Inject faults and count calls, for tests only.

    It answers even while the platform is switched down.
    """

    def initialize(self, state: PlatformState) -> None:
        """Stores the platform's state."""
        self.state = state

    def get(self, action: str) -> None:
        """Sends the number of reads and writes so far."""
        calls = {
            "reads": self.state.reads.total,
            "writes": self.state.writes.total,
        }
        self.finish(json.dumps(calls))

    def post(self, action: str) -> None:
        """Sets the host list, or the fault switches named in the body."""
        body = msgspec.json.decode(self.request.body)
        if action == "hosts":
            self.state.set_hosts(body)
        else:
            for name, value in body.items():
                setattr(self.state.switches, name, value)
        self.finish("{}")


def make_platform(state: PlatformState) -> Application:
    """Returns the web application of the stand-in platform."""
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


def _encode_listing(store: ObjectStore, prefix: str, since: int) -> bytes:
    objects = [_encode_object(stored) for stored in store.list(prefix, since)]
    body: dict[str, Any] = {"revision": store.revision, "objects": objects}
    return json.dumps(body).encode()


def _encode_object(stored: PlatformObject) -> list[Any]:
    value = base64.b64encode(stored.value).decode()
    return [stored.key, stored.version, value]
