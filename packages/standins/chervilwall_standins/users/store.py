"""A stand-in for the users' object store."""

import asyncio
import copy
import json
import socket
from typing import Any, NamedTuple

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

ROOT = "/chervilwall/objects"
# Modes of the store.

# Answers every request.
AVAILABLE = "available"
# Answers 503 to every request.
UNAVAILABLE = "unavailable"
# Accepts requests but sends no response.
SILENT = "silent"
# Closes the connection instead of responding.
RESET = "reset"
# Answers 429 with a Retry-After header.
RATE_LIMITED = "rate limited"


class RawJson(str):
    """Bytes to put into a response in the place of a value, as latin-1 text.

    They need not be valid JSON.
    """

    __slots__ = ()


class StoreCopy(NamedTuple):
    """A copy of the store, as restored after the loss of later writes.

    Args:
        kinds (dict): Objects by kind and name.
        revision (int): Revision of the store.
    """

    kinds: dict[str, dict[str, dict]]
    revision: int


class FakeStore:
    """Serve objects by kind and name over HTTP, with faults on demand.

    Args:
        page_size (int): Objects in one page of a list. Defaults to 3.

    Attributes:
        mode (str): One of the modes above, which selects the fault.
        drop_write_responses (bool): Whether to close the connection instead of
            responding to any request but GET. Accepted writes take effect;
            refused ones get no response either.
        requests (list[str]): Method and URI of each request.
        cut_addresses (set[str]): Addresses at which connections are closed
            instead of responding.
        era (int): Number of times that the store came back from an older copy.
        era_headers (list[str | None]): Values of the Store-Era header of the
            next responses, in place of `era`; None leaves it out.
    """

    def __init__(self, *, page_size: int = 3) -> None:
        self.page_size = page_size
        self.revision = 10
        self.mode = AVAILABLE
        self.drop_write_responses = False
        self.requests: list[str] = []
        self.era = 1
        self.era_headers: list[str | None] = []
        self.address = ""
        self.cut_addresses: set[str] = set()
        self._kinds: dict[str, dict[str, dict]] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._compacted_revision = 0
        self._changed = asyncio.Event()
        self._server: HTTPServer | None = None

    def __repr__(self) -> str:
        return f"FakeStore(revision={self.revision})"

    async def __aenter__(self) -> "FakeStore":
        app = Application(
            [(rf"{ROOT}/([^/]+)(?:/([^/]+))?", _Handler, {"store": self})]
        )
        self._server = HTTPServer(app)
        self.address = self.add_address()
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        self._server.stop()
        await self._server.close_all_connections()

    def add_address(self) -> str:
        """Listens at another address, which can be cut, and returns it."""
        assert self._server is not None
        (sock,) = bind_sockets(0, "127.0.0.1")
        self._server.add_sockets([sock])
        return _format_address(sock)

    def get(self, kind: str, name: str) -> dict | None:
        """Returns an object, or None if it does not exist."""
        return self._kinds.get(kind, {}).get(name)

    def items(self, kind: str) -> list[dict]:
        """Returns the objects of a kind, sorted by name."""
        return [item for _, item in sorted(self._kinds.get(kind, {}).items())]

    async def put(self, kind: str, name: str, spec: Any) -> dict:
        """Creates or replaces an object and returns it with its revision."""
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        self._kinds.setdefault(kind, {})[name] = item
        await self._record_change(kind, item, False)
        return item

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object if it exists."""
        item = self._kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            await self._record_change(kind, item, True)

    def copy(self) -> StoreCopy:
        """Returns a copy of all objects, to be restored later."""
        return StoreCopy(copy.deepcopy(self._kinds), self.revision)

    def restore(self, source: StoreCopy) -> None:
        """Comes back from an older copy, with its revision and a new era."""
        self._kinds = copy.deepcopy(source.kinds)
        self.revision = self._compacted_revision = source.revision
        self._history.clear()
        self.era += 1
        self._notify()

    async def restore_after_outage(
        self, source: StoreCopy, away_s: float
    ) -> None:
        """Closes all connections, and comes back from an older copy.

        Args:
            source (StoreCopy): The copy.
            away_s (float): Seconds for which connections are closed at once.
        """
        assert self._server is not None
        self.mode = RESET
        await self._server.close_all_connections()
        await asyncio.sleep(away_s)
        self.restore(source)
        self.mode = AVAILABLE

    def next_era_header(self) -> str | None:
        """Returns the value of the Store-Era header of a response."""
        if self.era_headers:
            return self.era_headers.pop(0)
        return str(self.era)

    async def compact_history(self) -> None:
        """Drops the history of changes, so that open watches get 410."""
        self._compacted_revision = self.revision
        self._history.clear()
        self._notify()

    async def events(self, kind: str, since: int, wait_s: float) -> list | None:
        """Waits for changes to objects of a kind after a revision.

        Args:
            kind (str): Kind of the objects.
            since (int): Revision after which changes are returned.
            wait_s (float): Longest wait for a first change, in seconds.

        Returns:
            list | None: The events, empty after the wait, or None if the
                history after the revision has been dropped.
        """
        loop = asyncio.get_running_loop()
        deadline = loop.time() + wait_s
        while True:
            if not self._compacted_revision <= since <= self.revision:
                return None
            events = [
                {"object": item, "deleted": deleted}
                for revision, changed_kind, item, deleted in self._history
                if changed_kind == kind and revision > since
            ]
            remaining_s = deadline - loop.time()
            if events or remaining_s <= 0:
                return events
            try:
                async with asyncio.timeout(remaining_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _notify(self) -> None:
        """Wakes all waiting watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _record_change(
        self, kind: str, item: dict, deleted: bool
    ) -> None:
        self._history.append((self.revision, kind, item, deleted))
        self._notify()


class _Handler(RequestHandler):
    def initialize(self, store: FakeStore) -> None:
        self._store = store

    async def prepare(self) -> None:
        store = self._store
        store.requests.append(f"{self.request.method} {self.request.uri}")
        if store.mode == UNAVAILABLE:
            self._respond(503)
        elif store.mode == RATE_LIMITED:
            self.set_header("Retry-After", "0.05")
            self._respond(429)
        elif store.mode == RESET or self._is_cut():
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True
        elif store.mode == SILENT:
            await asyncio.sleep(3600)

    def _is_cut(self) -> bool:
        if not self._store.cut_addresses:
            return False
        sock = self.request.connection.stream.socket  # type: ignore[union-attr]
        return _format_address(sock) in self._store.cut_addresses

    async def get(self, kind: str, name: str | None) -> None:
        store = self._store
        if name:
            item = store.get(kind, name)
            self._respond(200 if item else 404, item)
            return
        watch = self.get_query_argument("watch", None)
        if watch is not None:
            wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
            events = await store.events(kind, int(watch), wait_s)
            if events is None:
                self._respond(410)
                return
            body = {"events": events, "store_revision": store.revision}
            self._respond(200, body)
            return
        after = self.get_query_argument("since_rev", "")
        matches = [
            i for i in store.items(kind) if i["metadata"]["name"] > after
        ]
        body = {
            "items": matches[: store.page_size],
            "has_more": len(matches) > store.page_size,
            "store_revision": store.revision,
        }
        self._respond(200, body)

    async def post(self, kind: str, _: str | None) -> None:
        document = json.loads(self.request.body)
        name = document["metadata"]["name"]
        if self._store.get(kind, name):
            self._respond(409, self._store.get(kind, name))
            return
        item = await self._store.put(kind, name, document["spec"])
        self._respond(201, item)

    async def put(self, kind: str, name: str) -> None:
        document = json.loads(self.request.body)
        current = self._store.get(kind, name)
        revision = document["metadata"].get("revision")
        if current is None:
            self._respond(404)
            return
        if revision is not None and revision != current["metadata"]["revision"]:
            self._respond(409, current)
            return
        self._respond(200, await self._store.put(kind, name, document["spec"]))

    async def delete(self, kind: str, name: str) -> None:
        if self._store.get(kind, name) is None:
            self._respond(404)
            return
        await self._store.delete(kind, name)
        self._respond(200, {})

    def _respond(self, status: int, body: Any = None) -> None:
        if self._store.drop_write_responses and self.request.method != "GET":
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True
            return
        self.set_status(status)
        era = self._store.next_era_header()
        if era is not None:
            self.set_header("Store-Era", era)
        self.set_header("Content-Type", "application/json")
        self.finish(_encode(body))


def _encode(body: Any) -> bytes:
    """Encodes a body as JSON, with raw values as they are."""
    raw_values: list[bytes] = []

    def mark(value: Any) -> Any:
        if isinstance(value, RawJson):
            raw_values.append(value.encode("latin-1"))
            return f"\0raw{len(raw_values) - 1}\0"
        if isinstance(value, dict):
            return {k: mark(v) for k, v in value.items()}
        if isinstance(value, list):
            return [mark(v) for v in value]
        return value

    encoded = json.dumps(mark(body)).encode()
    for number, raw in enumerate(raw_values):
        marker = json.dumps(f"\0raw{number}\0").encode()
        encoded = encoded.replace(marker, raw)
    return encoded


def _format_address(sock: socket.socket) -> str:
    host, port = sock.getsockname()
    return f"{host}:{port}"
