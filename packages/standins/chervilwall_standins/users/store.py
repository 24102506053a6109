"""A stand-in of the users' store of objects."""

import asyncio
import json
from typing import Any

from tornado.httpserver import HTTPServer
from tornado.netutil import bind_sockets
from tornado.web import Application, RequestHandler

ROOT = "/chervilwall/objects"
ANSWERING = "answering"
BUSY = "busy"
SILENT = "silent"
RESET = "reset"
LIMITED = "limited"


class UsersStore:
    """Keep objects by kind and name, and fail as told.

    Args:
        page (int): Objects in one page of a list. Defaults to 3.
    """

    def __init__(self, *, page: int = 3) -> None:
        self.page = page
        self.revision = 10
        self.mode = ANSWERING
        self.lose_answers = False
        self.calls: list[str] = []
        self.address = ""
        self._kinds: dict[str, dict[str, dict]] = {}
        self._history: list[tuple[int, str, dict, bool]] = []
        self._forgotten = 0
        self._changed = asyncio.Event()
        self._server: HTTPServer | None = None

    def __repr__(self) -> str:
        return f"UsersStore(revision={self.revision})"

    async def __aenter__(self) -> "UsersStore":
        app = Application(
            [(rf"{ROOT}/([^/]+)(?:/([^/]+))?", _Handler, {"store": self})]
        )
        (sock,) = bind_sockets(0, "127.0.0.1")
        self._server = HTTPServer(app)
        self._server.add_sockets([sock])
        self.address = f"127.0.0.1:{sock.getsockname()[1]}"
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        assert self._server is not None
        self._server.stop()
        await self._server.close_all_connections()

    def get(self, kind: str, name: str) -> dict | None:
        """Returns an object."""
        return self._kinds.get(kind, {}).get(name)

    def items(self, kind: str) -> list[dict]:
        """Returns the objects of a kind by name."""
        return [item for _, item in sorted(self._kinds.get(kind, {}).items())]

    async def put(self, kind: str, name: str, spec: Any) -> dict:
        """Creates or replaces an object."""
        self.revision += 1
        item = {
            "metadata": {"name": name, "revision": self.revision},
            "spec": spec,
            "status": None,
        }
        self._kinds.setdefault(kind, {})[name] = item
        await self._note(kind, item, False)
        return item

    async def delete(self, kind: str, name: str) -> None:
        """Deletes an object."""
        item = self._kinds.get(kind, {}).pop(name, None)
        if item is not None:
            self.revision += 1
            await self._note(kind, item, True)

    async def forget_history(self) -> None:
        """Drops all history and cuts the watches."""
        self._forgotten = self.revision
        self._history.clear()
        self._notify()

    async def events(self, kind: str, since: int, wait_s: float) -> list | None:
        """Returns events after a revision, None where history is gone."""
        loop = asyncio.get_running_loop()
        until = loop.time() + wait_s
        while True:
            if since < self._forgotten:
                return None
            found = [
                {"object": item, "deleted": deleted}
                for revision, k, item, deleted in self._history
                if k == kind and revision > since
            ]
            left_s = until - loop.time()
            if found or left_s <= 0:
                return found
            try:
                async with asyncio.timeout(left_s):
                    await self._changed.wait()
            except TimeoutError:
                continue

    def _notify(self) -> None:
        """Wakes all watches."""
        self._changed.set()
        self._changed = asyncio.Event()

    async def _note(self, kind: str, item: dict, deleted: bool) -> None:
        self._history.append((self.revision, kind, item, deleted))
        self._notify()


class _Handler(RequestHandler):
    def initialize(self, store: UsersStore) -> None:
        self._store = store

    async def prepare(self) -> None:
        store = self._store
        store.calls.append(f"{self.request.method} {self.request.uri}")
        if store.mode == BUSY:
            self._answer(503)
        elif store.mode == LIMITED:
            self.set_header("Retry-After", "0.05")
            self._answer(429)
        elif store.mode == RESET:
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True
        elif store.mode == SILENT:
            await asyncio.sleep(3600)

    async def get(self, kind: str, name: str | None) -> None:
        store = self._store
        if name:
            item = store.get(kind, name)
            self._answer(200 if item else 404, item)
            return
        watch = self.get_query_argument("watch", None)
        if watch is not None:
            wait_s = int(self.get_query_argument("wait_ms", "0")) / 1000
            events = await store.events(kind, int(watch), wait_s)
            if events is None:
                self._answer(410)
                return
            body = {"events": events, "store_revision": store.revision}
            self._answer(200, body)
            return
        after = self.get_query_argument("since_rev", "")
        found = [i for i in store.items(kind) if i["metadata"]["name"] > after]
        body = {
            "items": found[: store.page],
            "has_more": len(found) > store.page,
            "store_revision": store.revision,
        }
        self._answer(200, body)

    async def post(self, kind: str, _: str | None) -> None:
        sent = json.loads(self.request.body)
        name = sent["metadata"]["name"]
        if self._store.get(kind, name):
            self._answer(409, self._store.get(kind, name))
            return
        item = await self._store.put(kind, name, sent["spec"])
        self._answer(201, item)

    async def put(self, kind: str, name: str) -> None:
        sent = json.loads(self.request.body)
        known = self._store.get(kind, name)
        revision = sent["metadata"].get("revision")
        if known is None:
            self._answer(404)
            return
        if revision is not None and revision != known["metadata"]["revision"]:
            self._answer(409, known)
            return
        self._answer(200, await self._store.put(kind, name, sent["spec"]))

    async def delete(self, kind: str, name: str) -> None:
        if self._store.get(kind, name) is None:
            self._answer(404)
            return
        await self._store.delete(kind, name)
        self._answer(200, {})

    def _answer(self, status: int, body: Any = None) -> None:
        if self._store.lose_answers and self.request.method != "GET":
            self.request.connection.stream.close()  # type: ignore[union-attr]
            self._finished = True
            return
        self.set_status(status)
        self.set_header("Content-Type", "application/json")
        self.finish(json.dumps(body))
