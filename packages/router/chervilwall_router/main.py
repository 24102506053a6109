"""Command line of the router process, `chervilwall`.

The router runs until SIGTERM or SIGINT, on which it shuts down gracefully. On
SIGHUP, it reads its settings file again.
"""

import argparse
import asyncio
import logging
import pathlib
import signal
import sys
from collections.abc import Sequence

from chervilwall import events
from chervilwall.errors import SettingsError

from chervilwall_router.logs import set_up_logging
from chervilwall_router.mesh import limit_threads
from chervilwall_router.router import Router
from chervilwall_router.settings import RouterSettings, read_settings

LOG = logging.getLogger(__name__)
EXIT_OK = 0
EXIT_SETTINGS = 2

_EXAMPLES = """examples:
  chervilwall --check-settings router.json
  chervilwall router.json
"""


def make_parser() -> argparse.ArgumentParser:
    """Returns the command line parser."""
    parser = argparse.ArgumentParser(
        prog="chervilwall",
        description="Route requests of teams that share model capacity.",
        epilog=_EXAMPLES,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    parser.add_argument(
        "settings",
        type=pathlib.Path,
        help="settings file of this router, JSON with comments",
    )
    parser.add_argument(
        "--check-settings",
        action="store_true",
        help="check the settings file and exit",
    )
    return parser


def main(argv: Sequence[str] | None = None) -> int:
    """Runs the command line and returns its exit code."""
    args = make_parser().parse_args(argv)
    try:
        settings = read_settings(args.settings)
    except SettingsError as exc:
        print(f"chervilwall: {exc}", file=sys.stderr)
        return EXIT_SETTINGS
    if args.check_settings:
        print(f"{args.settings}: settings of router {settings.name} are valid")
        return EXIT_OK
    set_up_logging(settings.log)
    limit_threads()
    asyncio.run(_serve(settings, args.settings))
    return EXIT_OK


async def _serve(settings: RouterSettings, path: pathlib.Path) -> None:
    async with Router(settings) as router:
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, router.begin_stop)
        loop.add_signal_handler(signal.SIGHUP, _reload, router, path)
        await router.run()


def _reload(router: Router, path: pathlib.Path) -> None:
    try:
        router.reload(read_settings(path))
    except SettingsError as exc:
        events.log_event(LOG, events.SETTINGS_REFUSED, reason=exc)
