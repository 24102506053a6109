"""Command line of `chervilctl`, the operators' tool."""

import argparse
import asyncio
import os
import pathlib
import sys
from collections.abc import Awaitable, Callable, Sequence

import msgspec
from chervilwall.errors import ChervilwallError, SheetError
from chervilwall.protocol import ObjectStore
from chervilwall.sheet import InvalidSheetError
from chervilwall_platform.client import HttpPlatform

from chervilwall_ctl import commands
from chervilwall_ctl.client import RouterClient

KEY_VARIABLE = "CHERVILWALL_OPERATOR_KEY"
PLATFORM_VARIABLE = "CHERVILWALL_PLATFORM"
ROUTERS_VARIABLE = "CHERVILWALL_ROUTERS"

StoreMaker = Callable[[str], ObjectStore]

_EPILOG = f"""examples:
  chervilctl check sheet.csv
  chervilctl apply sheet.csv --operator ana
  chervilctl report --csv > service.csv
  python platform/ctl.py report --store 10.0.0.9:8781 --json
  chervilctl explain --team traders

The variables {PLATFORM_VARIABLE}, {ROUTERS_VARIABLE} (addresses divided by
commas) and {KEY_VARIABLE} stand in for the options.

exit codes: 0 done, 1 failed, 2 wrong usage, 3 refused, 4 partial answer
"""


def make_parser() -> argparse.ArgumentParser:
    """Returns the parser of the command line."""
    parser = argparse.ArgumentParser(
        prog="chervilctl",
        description="Operate a chervilwall fleet.",
        epilog=_EPILOG,
        formatter_class=argparse.RawDescriptionHelpFormatter,
    )
    shared = _shared_options()
    subs = parser.add_subparsers(dest="command", required=True)
    for name, func in (("check", commands.check), ("apply", commands.apply)):
        sub = _add(subs, shared, name, func)
        sub.add_argument("sheet", type=pathlib.Path, help="CSV file")
    _add(subs, shared, "history", commands.history)
    _add(subs, shared, "status", commands.status)
    sub = _add(subs, shared, "report", commands.report)
    sub.add_argument("--csv", action="store_true", help="print CSV")
    sub.add_argument(
        "--store", default="", help="IP:port of the users' store to read"
    )
    sub = _add(subs, shared, "drain", commands.drain)
    sub.add_argument("name", help="router to stop")
    sub = _add(subs, shared, "target", commands.mark_target)
    sub.add_argument("action", choices=("leave", "return"))
    sub.add_argument("target", help="name of the target")
    sub = _add(subs, shared, "explain", commands.explain)
    sub.add_argument("--team", help="a team that waits")
    sub.add_argument("--request", help="id of a refused request")
    _add(subs, shared, "key", commands.make_key)
    return parser


def main(
    argv: Sequence[str] | None = None, *, connect: StoreMaker | None = None
) -> int:
    """Runs the command line and returns its exit code.

    Args:
        argv (Sequence | None): Arguments. Defaults to those of the process.
        connect (Callable | None): Makes a client of the users' store from
            its address; only the start in `platform/` has one.
    """
    args = make_parser().parse_args(argv)
    if args.router is None:
        known = os.environ.get(ROUTERS_VARIABLE, "127.0.0.1:8080")
        args.router = [a.strip() for a in known.split(",") if a.strip()]
    try:
        return asyncio.run(_run(args, connect))
    except InvalidSheetError as exc:
        _print_faults(args, exc)
        return commands.EXIT_REFUSED
    except SheetError as exc:
        print(f"chervilctl: {exc}", file=sys.stderr)
        return commands.EXIT_REFUSED
    except ChervilwallError as exc:
        print(f"chervilctl: {exc}", file=sys.stderr)
        return commands.EXIT_FAILED


async def _run(args: argparse.Namespace, connect: StoreMaker | None) -> int:
    store = None
    address = getattr(args, "store", "")
    if address:
        if connect is None:
            reason = "start platform/ctl.py for --store"
            raise ChervilwallError(reason, step="connect to the store")
        store = connect(address)
    platform = HttpPlatform(args.platform)
    session = commands.Session(args, platform, RouterClient(args.key), store)
    try:
        return await args.func(session)
    finally:
        platform.close()


def _print_faults(args: argparse.Namespace, exc: InvalidSheetError) -> None:
    if args.json:
        faults = [fault._asdict() for fault in exc.faults]
        print(msgspec.json.encode({"valid": False, "faults": faults}).decode())
    for fault in exc.faults:
        print(f"{args.sheet}: {fault}", file=sys.stderr)
    print("chervilctl: refused; nothing was changed", file=sys.stderr)


def _shared_options() -> argparse.ArgumentParser:
    shared = argparse.ArgumentParser(add_help=False)
    shared.add_argument(
        "--platform",
        default=os.environ.get(PLATFORM_VARIABLE, "http://127.0.0.1:9000"),
        help="URL of the platform's object service",
    )
    shared.add_argument(
        "--router",
        action="append",
        default=None,
        help="IP:port of a router; may be given more than once",
    )
    shared.add_argument(
        "--key",
        default=os.environ.get(KEY_VARIABLE, ""),
        help="the operator's key",
    )
    shared.add_argument("--operator", help="name for the history")
    shared.add_argument("--json", action="store_true", help="print JSON")
    return shared


def _add(
    subs: "argparse._SubParsersAction[argparse.ArgumentParser]",
    shared: argparse.ArgumentParser,
    name: str,
    func: Callable[[commands.Session], Awaitable[int]],
) -> argparse.ArgumentParser:
    text = (func.__doc__ or "").strip()
    sub = subs.add_parser(name, parents=[shared], help=text, description=text)
    sub.set_defaults(func=func)
    return sub
