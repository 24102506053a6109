"""Command line interface of `chervilctl`, the tool for operators."""

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

from chervilwall_ctl import commands, route_explanation
from chervilwall_ctl.router_client import RouterClient

KEY_VARIABLE = "CHERVILWALL_OPERATOR_KEY"
PLATFORM_VARIABLE = "CHERVILWALL_PLATFORM"
ROUTERS_VARIABLE = "CHERVILWALL_ROUTERS"

StoreFactory = Callable[[str], ObjectStore]

_EPILOG = f"""examples:
  chervilctl check sheet.csv
  chervilctl apply sheet.csv --operator ana
  chervilctl report --csv > service.csv
  python platform/ctl.py report --store 10.0.0.9:8781 --json
  chervilctl evacuations --router 10.0.0.1:7415
  chervilctl explain --team traders
  chervilctl explain --router 10.0.0.1:7415 --host a.example --path /chat/x
  chervilctl explain --request 1ba2f923300c07a1 edge-*.log

The environment variables {PLATFORM_VARIABLE}, {ROUTERS_VARIABLE}
(comma-separated addresses) and {KEY_VARIABLE} provide the
defaults of --platform, --router and --key.

exit codes: 0 success, 1 failure, 2 wrong usage, 3 sheet refused,
4 partial result, as a source did not answer or could not be read
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
    subparsers = parser.add_subparsers(dest="command", required=True)
    for name, func in (("check", commands.check), ("apply", commands.apply)):
        sub = _add_command(subparsers, shared, name, func)
        sub.add_argument(
            "sheet", type=pathlib.Path, help="CSV file with the configuration"
        )
    _add_command(subparsers, shared, "history", commands.history)
    _add_command(subparsers, shared, "status", commands.status)
    sub = _add_command(subparsers, shared, "report", commands.report)
    sub.add_argument(
        "--csv", action="store_true", help="print the report as CSV"
    )
    sub.add_argument(
        "--store",
        default="",
        help="IP:port of the object store; report the totals that edge "
        "routers wrote there",
    )
    sub = _add_command(subparsers, shared, "drain", commands.drain)
    sub.add_argument("name", help="name of the router to shut down")
    sub = _add_command(subparsers, shared, "target", commands.mark_target)
    sub.add_argument("action", choices=("leave", "return"))
    sub.add_argument("target", help="name of the target")
    _add_command(subparsers, shared, "evacuations", commands.evacuations)
    sub = _add_command(subparsers, shared, "explain", commands.explain)
    sub.add_argument("--team", help="name of a team whose requests wait")
    sub.add_argument("--request", help="id of a refused request")
    sub.add_argument(
        "logs",
        nargs="*",
        type=pathlib.Path,
        help="logs of edge routers; read these instead of asking routers, and "
        "show the decisions on --request, or a summary of all requests",
    )
    route_explanation.add_options(sub)
    sub = _add_command(subparsers, shared, "cold", commands.show_cold_targets)
    sub.add_argument(
        "metrics", nargs="+", help="IP:port of an edge router's metrics page"
    )
    _add_command(subparsers, shared, "key", commands.make_key)
    return parser


def main(
    argv: Sequence[str] | None = None, *, connect: StoreFactory | None = None
) -> int:
    """Runs the command line and returns its exit code.

    Args:
        argv (Sequence | None): Arguments. Defaults to those of the process.
        connect (Callable | None): Creates a client for the object store at
            an address. Only `platform/ctl.py` passes one; without it,
            --store is an error.
    """
    args = make_parser().parse_args(argv)
    if args.router is None:
        addresses = os.environ.get(ROUTERS_VARIABLE, "127.0.0.1:8080")
        args.router = [a.strip() for a in addresses.split(",") if a.strip()]
    try:
        return asyncio.run(_run_command(args, connect))
    except InvalidSheetError as exc:
        _print_faults(args, exc)
        return commands.EXIT_REFUSED
    except SheetError as exc:
        print(f"chervilctl: {exc}", file=sys.stderr)
        return commands.EXIT_REFUSED
    except ChervilwallError as exc:
        print(f"chervilctl: {exc}", file=sys.stderr)
        return commands.EXIT_FAILED


async def _run_command(
    args: argparse.Namespace, connect: StoreFactory | None
) -> int:
    store = None
    address = getattr(args, "store", "")
    if address:
        if connect is None:
            reason = "--store needs chervilctl to be run as platform/ctl.py"
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
        help="IP:port of a router; may be repeated",
    )
    shared.add_argument(
        "--key",
        default=os.environ.get(KEY_VARIABLE, ""),
        help="the operator's key",
    )
    shared.add_argument(
        "--operator",
        help="name to record in the history (default: the login name)",
    )
    shared.add_argument(
        "--json", action="store_true", help="print the result as JSON"
    )
    return shared


def _add_command(
    subparsers: "argparse._SubParsersAction[argparse.ArgumentParser]",
    shared: argparse.ArgumentParser,
    name: str,
    func: Callable[[commands.Session], Awaitable[int]],
) -> argparse.ArgumentParser:
    help_text = (func.__doc__ or "").strip()
    parser = subparsers.add_parser(
        name, parents=[shared], help=help_text, description=help_text
    )
    parser.set_defaults(func=func)
    return parser
