"""Runs the stand-in platform or stand-in targets as a process."""

import argparse
import asyncio
import signal

from tornado.httpserver import HTTPServer

from chervilwall_standins.platform import PlatformState, make_platform
from chervilwall_standins.target import (
    TargetSettings,
    TargetState,
    make_target,
)

MAX_BODY_BYTES = 16 << 20


async def _run_until_sigterm(args: argparse.Namespace) -> None:
    stop = asyncio.Event()
    loop = asyncio.get_running_loop()
    loop.add_signal_handler(signal.SIGTERM, stop.set)
    if args.kind == "platform":
        app = make_platform(PlatformState())
        _listen(app, args.addresses[0])
    else:
        for address in args.addresses:
            cfg = TargetSettings(
                address, args.slots, args.token_s, args.fencing
            )
            _listen(make_target(TargetState(cfg)), address)
    await stop.wait()


def _listen(app: object, address: str) -> None:
    host, _, port = address.rpartition(":")
    server = HTTPServer(app, max_body_size=MAX_BODY_BYTES)
    server.listen(int(port), host, reuse_port=False)


def main() -> None:
    """Parses the command line and serves until SIGTERM."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("kind", choices=("platform", "targets"))
    parser.add_argument("addresses", nargs="+", help="IP:port")
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--token-s", type=float, default=0.01)
    parser.add_argument("--fencing", action="store_true")
    asyncio.run(_run_until_sigterm(parser.parse_args()))


if __name__ == "__main__":
    main()
