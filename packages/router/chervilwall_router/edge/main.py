"""Entry point of the edge router process."""

import asyncio
import logging
import pathlib
import signal
import sys
from collections.abc import Callable

import uvloop
from chervilwall import events
from chervilwall.errors import SettingsError
from chervilwall.protocol import ObjectStore, PlatformDecoder, WireFormat

from chervilwall_router.edge.edge_router import EdgeRouter
from chervilwall_router.edge.settings import (
    EdgeSettings,
    StoreSettings,
    read_edge_settings,
)
from chervilwall_router.logs import set_up_stdout_logging

LOG = logging.getLogger(__name__)
EXIT_OK = 0
EXIT_SETTINGS = 2


def serve(
    path: pathlib.Path,
    make_store: Callable[[StoreSettings], ObjectStore],
    decoder: PlatformDecoder,
    wire: WireFormat,
) -> int:
    """Runs an edge router until SIGTERM or SIGINT, and returns the exit code.

    SIGHUP reloads the settings.

    Args:
        path (pathlib.Path): Settings file.
        make_store (Callable): Returns a client of the platform's object store.
        decoder (PlatformDecoder): Decodes the configurations and registrations
            in the store.
        wire (WireFormat): Names of the platform's HTTP headers.
    """
    try:
        settings = read_edge_settings(path)
    except SettingsError as exc:
        print(f"chervilwall: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    set_up_stdout_logging(settings.log)
    uvloop.run(_run(path, settings, make_store, decoder, wire))
    return EXIT_OK


async def _run(
    path: pathlib.Path,
    settings: EdgeSettings,
    make_store: Callable[[StoreSettings], ObjectStore],
    decoder: PlatformDecoder,
    wire: WireFormat,
) -> None:
    store = make_store(settings.store)
    router = EdgeRouter(settings, store, decoder, wire)
    loop = asyncio.get_running_loop()
    for signum in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signum, router.begin_shutdown)
    loop.add_signal_handler(signal.SIGHUP, _reload, router, path)
    # It is blocked while the process starts.
    signal.pthread_sigmask(signal.SIG_UNBLOCK, {signal.SIGHUP})
    async with router:
        await router.run()


def _reload(router: EdgeRouter, path: pathlib.Path) -> None:
    try:
        router.reload(read_edge_settings(path))
    except SettingsError as exc:
        events.log_event(LOG, events.SETTINGS_REFUSED, reason=exc)
