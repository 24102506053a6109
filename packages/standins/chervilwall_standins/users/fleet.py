"""Runs edge routers in this process with stand-ins for store and targets."""

import asyncio
import contextlib
from collections.abc import Callable
from typing import Any, NamedTuple

from chervilwall.cold_rates import ColdSettings
from chervilwall_router.edge.edge_router import EdgeRouter
from chervilwall_router.edge.settings import (
    EdgeListen,
    EdgeSettings,
    RetrySettings,
    ShutdownSettings,
    StoreSettings,
)
from configuration import StoreDecoder
from headers import HeaderFormat
from object_client import ObjectClient
from tornado.httputil import HTTPHeaders

from chervilwall_standins.loopback import unique_loopback_address
from chervilwall_standins.users.store import FakeStore
from chervilwall_standins.users.target import FakeTarget

HOST = "a.example"
FIRST_PORT = 21_000
# The port after the one for datagrams is free for relayed connections.
METRICS_PORT = FIRST_PORT + 15
# Longest time that all routers may take to become ready.
START_TIMEOUT_S = 20.0
# Lets each request be retried: a router that has just started may retry few.
AMPLE_RETRIES = RetrySettings(ratio=12.0)
# Time from the restart of a crashed target until the fleet deletes its old
# registration from the store.
REGISTRATION_EXPIRY_S = 0.4
# Address at which nothing listens.
UNREACHABLE = "127.0.0.1:1"
KEY = "key-of-team-1"
TEAM = "team-1"


def make_route(name: str, service: str, **overrides: object) -> dict:
    """Returns a route as stored in the object store.

    Args:
        name (str): Name, which is also its path prefix.
        service (str): Service that the route sends requests to.
        **overrides (object): Fields to replace.
    """
    return {
        "name": name,
        "hostname": HOST,
        "path_prefix": f"/{name}/",
        "kind": "idempotent",
        "timeout_ms": 2000,
        "target_latency_ms": 300,
        "priority": 1,
        "backend": service,
        "max_attempts": 2,
        "anonymous": False,
        "sticky": False,
        "resumable": False,
        "gap_aim_ms": 200,
    } | overrides


ROUTES = [
    make_route("read", "plain"),
    make_route("book", "plain", kind="non_idempotent", max_attempts=1),
    make_route("open", "plain", anonymous=True),
    make_route("chat", "model", kind="streaming", max_attempts=1),
    make_route(
        "draft", "model", kind="streaming", resumable=True, max_attempts=3
    ),
]


def make_config(
    version: int,
    routes: list[dict] | None = None,
    service_fields: dict | None = None,
) -> dict:
    """Returns a configuration as stored in the object store.

    Args:
        version (int): Version of the configuration.
        routes (list): Its routes. Defaults to ROUTES.
        service_fields (dict): Further fields of each service. Defaults to none.
    """
    more = service_fields or {}
    engine = {"slots": 8, "kv_capacity": 100_000, "stride": 5}
    return {
        "version": version,
        "routes": ROUTES if routes is None else routes,
        "services": [
            {"name": "plain", "health_path": "/h", "max_conns": 100} | more,
            {"name": "model", "health_path": "/h", "engine": engine} | more,
        ],
        "limits": {
            "max_header_bytes": 4096,
            "max_body_bytes": 65536,
            "header_timeout_ms": 3000,
            "idle_timeout_ms": 15000,
            "tokens_per_s": 100_000,
        },
        "tenants": [{"name": TEAM, "api_keys": [KEY]}],
    }


def make_listen(address: str) -> EdgeListen:
    """Returns the addresses of a router at a loopback address of its own."""
    listen = {
        field: f"{address}:{port}"
        for port, field in enumerate(EdgeListen.__struct_fields__, FIRST_PORT)
    }
    listen["metrics"] = f"{address}:{METRICS_PORT}"
    return EdgeListen(**listen)


class Response(NamedTuple):
    """A response received by a caller.

    Args:
        status (int): HTTP status, 0 if no complete head was received.
        headers (HTTPHeaders): Headers.
        body (bytes): Body without its framing.
        is_complete (bool): Whether the body was received to the end that its
            framing gives.
        is_framed (bool): Whether a length or chunks show where the body ends.
            Otherwise it ends with the connection, and a caller cannot tell a
            short body from a whole one. Defaults to True.
    """

    status: int
    headers: HTTPHeaders
    body: bytes
    is_complete: bool
    is_framed: bool = True


class CallerConnection:
    """Send requests to a router and read its responses.

    Tests may use `reader` and `writer` directly, such as to send malformed
    requests.

    Args:
        reader (asyncio.StreamReader): Reads from the router.
        writer (asyncio.StreamWriter): Writes to the router.
    """

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self.reader = reader
        self.writer = writer

    @classmethod
    async def open(cls, address: str) -> "CallerConnection":
        """Connects to the address of a router, as `host:port`."""
        host, _, port = address.rpartition(":")
        return cls(*await asyncio.open_connection(host, int(port)))

    @property
    def peer(self) -> str:
        """Address of the router, as `host:port`."""
        host, port = self.writer.get_extra_info("peername")
        return f"{host}:{port}"

    def close(self) -> None:
        """Closes the connection."""
        self.writer.close()

    async def send(
        self,
        path: str,
        *,
        method: str = "POST",
        body: bytes = b"hello",
        request_id: str = "r1",
        **headers: str,
    ) -> None:
        """Sends a request.

        Args:
            path (str): Path and query.
            method (str): HTTP method. Defaults to POST.
            body (bytes): Body. Defaults to `hello`.
            request_id (str): Value of the Attempt-Id header. Defaults to `r1`.
            **headers (str): Further headers, which replace those sent by
                default, with `_` for `-` in their names. Empty ones are left
                out.
        """
        fields = {
            "Host": HOST,
            "Attempt-Id": request_id,
            "Timeout-Remaining": "2000",
            "Authorization": f"Token {KEY}",
            "Content-Length": str(len(body)),
        }
        for name, value in headers.items():
            fields[name.replace("_", "-").title()] = value
        lines = [f"{method} {path} HTTP/1.1"]
        lines += [f"{n}: {v}" for n, v in fields.items() if v]
        self.writer.write(("\r\n".join(lines) + "\r\n\r\n").encode() + body)
        await self.writer.drain()

    async def receive(self) -> Response:
        """Reads a response, or what arrives before the connection closes."""
        try:
            head = (await self.reader.readuntil(b"\r\n\r\n")).decode("latin1")
        except (asyncio.IncompleteReadError, ConnectionError):
            return Response(0, HTTPHeaders(), b"", False)
        line, _, rest = head.partition("\r\n")
        headers = HTTPHeaders.parse(rest)
        status = int(line.split()[1])
        if headers.get("Transfer-Encoding") == "chunked":
            body, is_complete = await self.read_chunks()
        elif "Content-Length" in headers:
            body, is_complete = await self._read_sized(
                int(headers["Content-Length"])
            )
        else:
            body, is_complete = await self._read_to_end()
            return Response(status, headers, body, is_complete, False)
        return Response(status, headers, body, is_complete)

    async def read_chunks(self) -> tuple[bytes, bool]:
        """Reads a chunked body.

        Returns:
            tuple[bytes, bool]: The body without framing, and whether its last
                chunk was received.
        """
        body = b""
        try:
            while True:
                size = int(await self.reader.readuntil(b"\r\n"), 16)
                body += (await self.reader.readexactly(size + 2))[:-2]
                if not size:
                    return body, True
        except (asyncio.IncompleteReadError, ConnectionError):
            return body, False

    async def _read_to_end(self) -> tuple[bytes, bool]:
        try:
            return await self.reader.read(), True
        except ConnectionError:
            return b"", False

    async def _read_sized(self, size: int) -> tuple[bytes, bool]:
        try:
            return await self.reader.readexactly(size), True
        except asyncio.IncompleteReadError as exc:
            return exc.partial, False


class EdgeFleet:
    """Run a store, targets and edge routers.

    Entering it as a context manager waits until all routers are ready.

    Args:
        *targets (FakeTarget): Targets to start and register in the store.
        routers (int): Number of routers. Defaults to 1.
        mesh_most (int): Number of routers up to which each router sends
            reports to every other one; larger fleets use hubs. Defaults to 16.
        routes (list): Routes of the configuration. Defaults to ROUTES.
        retries (RetrySettings): Retry budget of the fleet. Defaults to
            AMPLE_RETRIES.
        memory_mb (float): Memory of each router. Defaults to that of its
            settings.
        evacuation_ms (float | None): Time until an evacuation takes effect.
            Defaults to None, zones cannot be evacuated.
        service_fields (dict): Further fields of each service in the
            configuration. Defaults to none.
        cold (ColdSettings): Setting `cold` of each router. Defaults to none.
        relay (bool | None): Whether overloaded routers relay connections.
            Defaults to that of their settings.
        event_delay_ms (float): Delay of events at which a router begins to
            refuse requests. Defaults to that of its settings.
    """

    def __init__(
        self,
        *targets: FakeTarget,
        routers: int = 1,
        mesh_most: int = 16,
        routes: list[dict] | None = None,
        retries: RetrySettings = AMPLE_RETRIES,
        memory_mb: float = 150.0,
        evacuation_ms: float | None = None,
        service_fields: dict | None = None,
        cold: ColdSettings | None = None,
        relay: bool | None = None,
        event_delay_ms: float = 200.0,
    ) -> None:
        self._service_fields = service_fields
        self._cold = cold
        self.store = FakeStore()
        self.targets = targets
        self.routers: list[EdgeRouter] = []
        self._routes = routes
        self._clients: dict[str, ObjectClient] = {}
        self._initial_count = routers
        self._mesh_most = mesh_most
        self._retries = retries
        self._memory_mb = memory_mb
        self._evacuate_ms = evacuation_ms
        self._relay = relay
        self._event_delay_ms = event_delay_ms
        self._stack = contextlib.AsyncExitStack()

    def __repr__(self) -> str:
        return f"EdgeFleet(routers={len(self.routers)})"

    async def __aenter__(self) -> "EdgeFleet":
        await self._stack.enter_async_context(self.store)
        config = make_config(1, self._routes, self._service_fields)
        await self.store.put("config", "main", config)
        for target in self.targets:
            await self._start_target(target)
        for number in range(self._initial_count):
            await self._start_router(f"router{number}", bootstrap=True)
        await self.wait_until(self.is_ready, START_TIMEOUT_S)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        for router in list(self.routers):
            await self.stop_router(router)
        await self._stack.aclose()

    async def stop_router(self, router: EdgeRouter) -> None:
        """Stops a router at once, without a graceful shutdown."""
        self.routers.remove(router)
        await router.__aexit__()

    async def kill_router(self, router: EdgeRouter) -> None:
        """Ends a router as a loss of power does.

        From now on it sends nothing to peers, the store, targets or callers.
        """
        self.routers.remove(router)
        self._cut_off(router)
        await router.__aexit__()

    async def kill_routers(self) -> None:
        """Ends all routers at the same moment, as a loss of power does."""
        killed, self.routers = self.routers, []
        for router in killed:
            self._cut_off(router)
        await asyncio.gather(*(router.__aexit__() for router in killed))

    def _cut_off(self, router: EdgeRouter) -> None:
        self.cut_from_store(router)
        router.link.close()
        for task in list(router.ingress.request_tasks):
            task.cancel()

    def cut_from_store(self, router: EdgeRouter) -> None:
        """Makes all further calls of a router to the store fail."""
        self._clients[router.settings.name]._settings = StoreSettings(
            UNREACHABLE, 0.2, 0.2
        )

    def reconnect_to_store(self, router: EdgeRouter) -> None:
        """Ends cut_from_store()."""
        self._clients[router.settings.name]._settings = router.settings.store

    async def start_routers(self, *names: str) -> None:
        """Starts routers and waits until all are ready.

        A name that a router had before is that of the same host.
        """
        for name in names:
            await self.add_router(name)
        await self.wait_until(self.is_ready, START_TIMEOUT_S)

    async def restart_all_routers(self) -> None:
        """Ends all routers at the same moment and starts them anew."""
        names = [router.settings.name for router in self.routers]
        await self.kill_routers()
        await self.start_routers(*names)

    async def _start_target(self, target: FakeTarget) -> None:
        await self._stack.enter_async_context(target)
        await self.store.put("servers", target.id, target.spec())
        target.on_restart = self._register_restart

    async def add_target(
        self, target: FakeTarget, *, known_by: list[EdgeRouter] | None = None
    ) -> None:
        """Starts and registers a target; waits until routers know it.

        Args:
            target (FakeTarget): The target.
            known_by (list): The routers. Defaults to all.
        """
        await self._start_target(target)
        self.targets += (target,)
        routers = self.routers if known_by is None else known_by
        await self.wait_until(
            lambda: all(target.id in r.registry for r in routers)
        )

    async def remove_target(self, target: FakeTarget) -> None:
        """Ends a target without a drain; waits until all routers know."""
        self.targets = tuple(x for x in self.targets if x is not target)
        await self.store.delete("servers", target.id)
        await self.wait_until(
            lambda: all(target.id not in r.registry for r in self.routers)
        )
        target.crash()

    async def drain_target(self, target: FakeTarget) -> None:
        """Registers a target as draining; waits until all routers know."""
        spec = target.spec(state="draining")
        await self.store.put("servers", target.id, spec)
        await self.wait_until(
            lambda: all(
                (known := r.registry.get(target.id)) and known.draining
                for r in self.routers
            )
        )

    async def _register_restart(self, target: FakeTarget, old_id: str) -> None:
        """Registers a restarted target and later removes its old entry."""
        await asyncio.sleep(target.registration_delay_s)
        await self.store.put("servers", target.id, target.spec())
        if target.id == old_id:
            return
        await asyncio.sleep(REGISTRATION_EXPIRY_S)
        await self.store.delete("servers", old_id)

    async def add_router(self, name: str, **stop: float) -> EdgeRouter:
        """Starts another router.

        Args:
            name (str): Name of the router.
            **stop (float): Fields of its ShutdownSettings, which limit its
                graceful shutdown.
        """
        return await self._start_router(name, bootstrap=False, **stop)

    async def _start_router(
        self, name: str, *, bootstrap: bool, **stop: float
    ) -> EdgeRouter:
        address = unique_loopback_address()
        cfg = EdgeSettings(
            name=name,
            zone="z1",
            listen=make_listen(address),
            store=StoreSettings(self.store.address, 0.5, 1.0),
            stop=ShutdownSettings(**stop),
            retries=self._retries,
            mesh_most=self._mesh_most,
            memory_mb=self._memory_mb,
            evacuation_ms=self._evacuate_ms,
            relay=self._relay,
            event_delay_ms=self._event_delay_ms,
            bootstrap=bootstrap,
            cold=self._cold,
        )
        store = self._clients[name] = ObjectClient(cfg.store)
        router = EdgeRouter(cfg, store, StoreDecoder(), HeaderFormat())
        await router.__aenter__()
        self.routers.append(router)
        return router

    def is_ready(self) -> bool:
        """Returns whether all routers know configuration, targets and peers.

        Targets that crashed but are still registered count.
        """
        return all(
            router.config.table is not None
            and len(router.registry.all()) == len(self.targets)
            and router.fleet.router_count() == len(self.routers)
            for router in self.routers
        )

    async def wait_until(
        self, condition: Callable[[], object], timeout_s: float = 5.0
    ) -> None:
        """Waits until a condition is true.

        Raises:
            TimeoutError: If it is still false after `timeout_s`.
        """
        async with asyncio.timeout(timeout_s):
            while not condition():
                await asyncio.sleep(0.01)

    async def connect(self, router: int = 0) -> CallerConnection:
        """Connects a caller to the router with an index in `routers`."""
        address = self.routers[router].settings.listen.callers
        return await CallerConnection.open(address)

    async def call(
        self, path: str, *, router: int = 0, **options: Any
    ) -> Response:
        """Sends a request on a new connection and returns the response.

        Args:
            path (str): Path and query.
            router (int): Index of the router in `routers`. Defaults to 0.
            **options (Any): Options of CallerConnection.send.
        """
        caller = await self.connect(router)
        try:
            await caller.send(path, **options)
            return await caller.receive()
        finally:
            caller.close()
