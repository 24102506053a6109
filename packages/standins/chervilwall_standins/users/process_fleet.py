"""Runs edge routers as processes, with stand-ins for store and targets."""

import asyncio
import contextlib
import pathlib
import signal
import subprocess
import tempfile
from collections.abc import Mapping, Sequence

import msgspec
from chervilwall_router.edge.settings import (
    EdgeSettings,
    RetrySettings,
    ShutdownSettings,
    StoreSettings,
)

from chervilwall_standins.users.fleet import make_config
from chervilwall_standins.users.flood import (
    SHORT_STOP,
    make_settings,
    start_process,
)
from chervilwall_standins.users.store import FakeStore
from chervilwall_standins.users.target import FakeTarget

CALL_TIMEOUT_S = 0.5
DEFAULT_RETRIES = RetrySettings()
WATCH_S = 2.0
EXIT_POLL_S = 0.02


class RouterProcess:
    """A router in its own process, which can be killed, frozen and cut off.

    Args:
        name (str): Name of the router.
        store (FakeStore): The store, at which it gets an address of its own.
        folder (pathlib.Path): Folder for its settings and its log.
        stop (ShutdownSettings): How it stops. Defaults to SHORT_STOP.
        retries (RetrySettings): Retry budget of the fleet. Defaults to
            DEFAULT_RETRIES.
        evacuation_ms (float | None): Time until an evacuation takes effect.
            Defaults to None, zones cannot be evacuated.
        overrides (Mapping | None): Further settings. Defaults to none.

    Attributes:
        log (pathlib.Path): Its log.
        starts (int): Number of times that it was started.
    """

    def __init__(
        self,
        name: str,
        store: FakeStore,
        folder: pathlib.Path,
        stop: ShutdownSettings = SHORT_STOP,
        retries: RetrySettings = DEFAULT_RETRIES,
        evacuation_ms: float | None = None,
        overrides: Mapping[str, object] | None = None,
    ) -> None:
        self._store = store
        self._store_address = store.add_address()
        self._path = folder / f"{name}.json"
        self.log = folder / f"{name}.log"
        self._process: subprocess.Popen[bytes] | None = None
        self.starts = 0
        cfg = make_settings(
            name,
            StoreSettings(self._store_address, CALL_TIMEOUT_S, WATCH_S),
            stop,
        )
        self.settings: EdgeSettings = msgspec.structs.replace(
            cfg,
            retries=retries,
            evacuation_ms=evacuation_ms,
            **(overrides or {}),
        )
        self._path.write_bytes(msgspec.json.encode(self.settings))

    def __repr__(self) -> str:
        return f"RouterProcess(name={self.settings.name!r})"

    @property
    def address(self) -> str:
        """Address for callers, as `host:port`."""
        return self.settings.listen.callers

    @property
    def pid(self) -> int:
        """Process id."""
        assert self._process is not None
        return self._process.pid

    def start(self) -> None:
        """Starts the process; one that still runs is killed before."""
        if self._process is not None:
            self.kill()
        self.starts += 1
        self._process = start_process(self._path, log=str(self.log))

    def kill(self) -> None:
        """Kills the process and waits until it has ended."""
        assert self._process is not None
        self._process.kill()
        self._process.wait()

    async def terminate(self) -> int:
        """Stops the process as planned, and returns its exit code."""
        process = self._process
        assert process is not None
        process.terminate()
        while process.poll() is None:
            await asyncio.sleep(EXIT_POLL_S)
        return process.returncode

    def reload(self) -> None:
        """Makes the process read its settings again."""
        assert self._process is not None
        self._process.send_signal(signal.SIGHUP)

    def has_ended(self) -> bool:
        """Returns whether the process has ended."""
        return self._process is None or self._process.poll() is not None

    async def freeze(self, duration_s: float) -> None:
        """Suspends the process for a time in seconds."""
        process = self._process
        assert process is not None
        process.send_signal(signal.SIGSTOP)
        try:
            await asyncio.sleep(duration_s)
        finally:
            process.send_signal(signal.SIGCONT)

    async def cut_off(self, duration_s: float) -> None:
        """Cuts the router off from the store for a time in seconds."""
        self._store.cut_addresses.add(self._store_address)
        try:
            await asyncio.sleep(duration_s)
        finally:
            self._store.cut_addresses.discard(self._store_address)


class ProcessFleet:
    """Run a store, targets, and routers as processes.

    Args:
        *targets (FakeTarget): Targets to start and register in the store.
        routers (int): Number of routers.
        stop (ShutdownSettings): How they stop. Defaults to SHORT_STOP.
        retries (RetrySettings): Retry budget of the fleet. Defaults to
            DEFAULT_RETRIES.
        evacuation_ms (float | None): Time until an evacuation takes effect.
            Defaults to None, zones cannot be evacuated.
        overrides (Sequence): Further settings of each router, in order.
            Defaults to none.
    """

    def __init__(
        self,
        *targets: FakeTarget,
        routers: int,
        stop: ShutdownSettings = SHORT_STOP,
        retries: RetrySettings = DEFAULT_RETRIES,
        evacuation_ms: float | None = None,
        overrides: Sequence[Mapping[str, object]] = (),
    ) -> None:
        self.store = FakeStore()
        self.targets = list(targets)
        self.routers: list[RouterProcess] = []
        self._router_count = routers
        self._stop = stop
        self._retries = retries
        self._evacuate_ms = evacuation_ms
        self._overrides = dict(enumerate(overrides))
        self._stack = contextlib.AsyncExitStack()

    def __repr__(self) -> str:
        return f"ProcessFleet(routers={len(self.routers)})"

    async def __aenter__(self) -> "ProcessFleet":
        await self._stack.enter_async_context(self.store)
        folder = self._stack.enter_context(tempfile.TemporaryDirectory())
        await self.store.put("config", "main", make_config(1))
        for target in self.targets:
            await self.start_target(target)
        for number in range(self._router_count):
            router = RouterProcess(
                f"router{number}",
                self.store,
                pathlib.Path(folder),
                self._stop,
                self._retries,
                self._evacuate_ms,
                self._overrides.get(number),
            )
            router.start()
            self._stack.callback(router.kill)
            self.routers.append(router)
        return self

    async def __aexit__(self, *exc_info: object) -> None:
        await self._stack.aclose()

    async def start_target(self, target: FakeTarget) -> None:
        """Starts a target and registers it."""
        await self._stack.enter_async_context(target)
        await self.store.put("servers", target.id, target.spec())
