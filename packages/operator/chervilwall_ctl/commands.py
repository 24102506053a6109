"""The commands of `chervilctl`."""

import argparse
import getpass
import pathlib
import secrets
import sys
from collections.abc import Callable
from typing import Any, NamedTuple

import msgspec
from chervilwall.config import (
    TARGET_ACTIVE,
    TARGET_LEAVING,
    Config,
    hash_key,
)
from chervilwall.errors import ChervilwallError, SheetError
from chervilwall.protocol import ObjectStore
from chervilwall.report import ReportLine, report_lines
from chervilwall.service_totals import SERVICE_TOTALS_KIND, Total, merge_totals
from chervilwall.sheet import diff_configs, parse_sheet
from chervilwall_platform.client import HttpPlatform

from chervilwall_ctl import (
    cold_view,
    evacuation_view,
    fleet_view,
    log_summary,
    route_explanation,
)
from chervilwall_ctl.config_change import apply_config, read_stored_config
from chervilwall_ctl.router_client import RouterClient
from chervilwall_ctl.table import Column, Table

EXIT_OK = 0
EXIT_FAILED = 1
# Used by argparse for a wrong command line.
EXIT_USAGE = 2
# The sheet is not valid.
EXIT_REFUSED = 3
EXIT_PARTIAL = 4
# Columns of the report, each named after the field of a report row it shows.
REPORT_TOTALS = (
    "completed",
    "refused",
    "unknown",
    "uncertain",
    "work",
    "worth",
)


class Session(NamedTuple):
    """Parsed arguments and clients for one run of a command; nothing is kept.

    Args:
        args (argparse.Namespace): Parsed command line.
        platform (HttpPlatform): Client for the platform's object service.
        routers (RouterClient): Client for the routers.
        store (ObjectStore | None): Client for the deployment platform's
            object store, None unless --store was given.
    """

    args: argparse.Namespace
    platform: HttpPlatform
    routers: RouterClient
    store: ObjectStore | None = None

    def emit(self, data: object, text: str) -> None:
        """Prints the data as JSON if --json was given, else the text.

        Args:
            data (object): Result, encodable as JSON.
            text (str): The same result for people; nothing is printed if it
                is empty.
        """
        if self.args.json:
            print(msgspec.json.encode(data).decode())
        elif text:
            print(text)


def read_sheet(path: pathlib.Path) -> Config:
    """Reads the configuration from a sheet, a CSV file.

    Raises:
        SheetError: The file cannot be read or is not a valid sheet.
    """
    try:
        return parse_sheet(path.read_bytes())
    except OSError as exc:
        reason = exc.strerror or str(exc)
        raise SheetError(reason, step="read sheet", peer=str(path)) from exc


async def check(session: Session) -> int:
    """Validates a sheet and shows what it would change."""
    config = read_sheet(session.args.sheet)
    stored = await read_stored_config(session.platform)
    changes = diff_configs(stored.object.config, config)
    data = {
        "valid": True,
        "digest": config.digest(),
        "in_force": stored.version,
        "changes": changes,
    }
    text = "\n".join(
        [f"valid; {len(changes)} changes to version {stored.version}", *changes]
    )
    session.emit(data, text)
    return EXIT_OK


async def apply(session: Session) -> int:
    """Replaces the configuration with the contents of a sheet."""
    config = read_sheet(session.args.sheet)
    return await _apply_change(session, lambda _: config)


async def mark_target(session: Session) -> int:
    """Marks a target as leaving, or as active again."""
    name = session.args.target
    leaving = session.args.action == "leave"
    state = TARGET_LEAVING if leaving else TARGET_ACTIVE

    def change(config: Config) -> Config:
        if not any(t.name == name for t in config.targets):
            raise ChervilwallError(
                f"no target {name} in the configuration", step="mark target"
            )
        targets = tuple(
            t._replace(state=state) if t.name == name else t
            for t in config.targets
        )
        return config._replace(targets=targets)

    return await _apply_change(session, change)


async def _apply_change(
    session: Session, change: Callable[[Config], Config]
) -> int:
    stored = await read_stored_config(session.platform)
    operator = session.args.operator or getpass.getuser()
    applied = await apply_config(
        session.platform, stored, change, operator=operator
    )
    text = f"accepted as version {applied.version}, digest {applied.digest}"
    session.emit(applied._asdict(), text)
    return EXIT_OK


async def history(session: Session) -> int:
    """Shows past changes of the configuration."""
    stored = await read_stored_config(session.platform)
    table = Table(
        [Column("accepted"), Column("operator"), Column("digest"), Column("id")]
    )
    for entry in stored.object.history:
        table.add(
            entry.accepted_at, entry.operator, entry.digest, entry.apply_id
        )
    session.emit([e._asdict() for e in stored.object.history], table.to_text())
    return EXIT_OK


async def status(session: Session) -> int:
    """Shows the routers, except dead ones, and the targets they schedule."""
    client = session.routers
    routers = await fleet_view.find_routers(client, session.args.router)
    views = await fleet_view.fetch_router_views(client, routers)
    session.emit(
        [
            {"name": v.name, "address": v.address, "status": v.status}
            for v in views
        ],
        f"{_routers_table(views).to_text()}\n\n{_targets_table(views).to_text()}",
    )
    any_unanswered = any(v.status is None for v in views)
    return EXIT_PARTIAL if any_unanswered else EXIT_OK


def _routers_table(views: list[fleet_view.RouterView]) -> Table:
    table = Table(
        [
            Column("router"),
            Column("zone"),
            Column("address"),
            Column("state"),
            Column("config", True),
            # Requests that the router holds until their last attempt ends.
            Column("held", True),
        ]
    )
    for view in views:
        router_status: dict[str, Any] = view.status or {"state": "no answer"}
        table.add(
            view.name,
            router_status.get("zone", ""),
            view.address,
            router_status["state"],
            router_status.get("config_version", ""),
            router_status.get("held", ""),
        )
    return table


def _targets_table(views: list[fleet_view.RouterView]) -> Table:
    table = Table(
        [
            Column("target"),
            Column("cell"),
            Column("scheduler"),
            Column("state"),
            Column("running", True),
            Column("slots", True),
        ]
    )
    for view in views:
        for cell in (view.status or {}).get("cells", ()):
            for target in cell.get("target_states", ()):
                state = "ejected" if target["ejected"] else target["state"]
                table.add(
                    target["name"],
                    cell["name"],
                    view.name,
                    state,
                    # Requests of this scheduler, and those that other
                    # schedulers run on the target.
                    target["in_flight"] + target["foreign"],
                    target["slots"],
                )
    return table


async def report(session: Session) -> int:
    """Shows how much work was done for each team, by service and class."""
    if session.store is not None:
        return await _report_from_store(session, session.store)
    fleet_totals = await fleet_view.gather_totals(
        session.routers, session.platform, session.args.router
    )
    missing = fleet_totals.missing
    lines = report_lines(fleet_totals.ledger, fleet_totals.running)
    table = Table(
        [
            Column("team"),
            Column("service"),
            Column("class"),
            *(Column(title, True) for title in REPORT_TOTALS),
        ]
    )
    for line in lines:
        values = _select_totals(line).values()
        table.add(line.team, line.service, line.cls, *values)
    data = {
        "lines": [
            {
                "team": line.team,
                "service": line.service,
                "class": line.cls,
                **_select_totals(line),
            }
            for line in lines
        ],
        "missing": missing,
    }
    session.emit(data, table.to_csv() if session.args.csv else table.to_text())
    for source in missing:
        print(f"chervilctl: no answer from {source}", file=sys.stderr)
    return EXIT_PARTIAL if missing else EXIT_OK


async def _report_from_store(session: Session, store: ObjectStore) -> int:
    """Shows the request totals that routers stored, by team and route."""
    listing = await store.list_objects(SERVICE_TOTALS_KIND)
    totals_by_key, missing = merge_totals(
        (x.name, x.value) for x in listing.objects
    )
    columns = [Column("team"), Column("route")]
    table = Table([*columns, *(Column(f, True) for f in Total._fields)])
    for key, total in totals_by_key.items():
        table.add(*key, *total)
    lines = [{**k._asdict(), **t._asdict()} for k, t in totals_by_key.items()]
    data = {"lines": lines, "missing": missing}
    session.emit(data, table.to_csv() if session.args.csv else table.to_text())
    for name in missing:
        print(f"chervilctl: cannot read totals of {name}", file=sys.stderr)
    return EXIT_PARTIAL if missing else EXIT_OK


def _select_totals(line: ReportLine) -> dict[str, float]:
    return {title: getattr(line.row, title) for title in REPORT_TOTALS}


async def drain(session: Session) -> int:
    """Starts the graceful shutdown of a router."""
    client = session.routers
    routers = await fleet_view.find_routers(client, session.args.router)
    name = session.args.name
    if name not in routers:
        raise ChervilwallError(f"no router {name} in the fleet", step="drain")
    await client.post(routers[name], "/v1/admin/drain")
    session.emit({"router": name, "state": "leaving"}, f"{name} is leaving")
    return EXIT_OK


async def evacuations(session: Session) -> int:
    """Shows the evacuated zones as each edge router knows them."""
    found = await evacuation_view.fetch(session.routers, session.args.router)
    data = evacuation_view.to_data(found)
    session.emit(data, evacuation_view.render(found))
    for source in found.missing:
        print(f"chervilctl: no answer from {source}", file=sys.stderr)
    if not found.routers:
        return EXIT_FAILED
    return EXIT_PARTIAL if found.missing else EXIT_OK


async def show_cold_targets(session: Session) -> int:
    """Show the targets that edge routers treat as cold."""
    view = await cold_view.fetch_cold_targets(
        session.routers, session.args.metrics
    )
    session.emit(view._asdict(), view.to_text())
    return EXIT_PARTIAL if view.missing else EXIT_OK


async def explain(session: Session) -> int:
    """Shows where a request would go, why it was refused, or sums up logs."""
    if session.args.logs:
        return _explain_logs(session)
    client = session.routers
    if session.args.path:
        answer = await route_explanation.fetch(
            client, session.args.router, session.args
        )
        session.emit(answer, route_explanation.render(answer))
        return EXIT_OK
    routers = await fleet_view.find_routers(client, session.args.router)
    team, request = session.args.team or "", session.args.request or ""
    path = f"/v1/admin/explain?team={team}&request={request}"
    queues: list[dict[str, Any]] = []
    refusals: list[dict[str, Any]] = []
    for name in sorted(routers):
        answer = await client.get(routers[name], path)
        queues += [{"scheduler": name, **q} for q in answer["queues"]]
        refusals += answer["refusals"]
    lines = [_describe_queue(q) for q in queues] if team else []
    lines += [_describe_refusal(r) for r in refusals]
    text = "\n".join(lines) or "nothing is known of it"
    session.emit({"queues": queues, "refusals": refusals}, text)
    return EXIT_OK


def _explain_logs(session: Session) -> int:
    lines = log_summary.read_lines(session.args.logs)
    request = session.args.request
    if request:
        found = log_summary.find_request(lines, request)
        text = log_summary.render_lines(found) or "no line names it"
        session.emit([line._asdict() for line in found], text)
        return EXIT_OK if found else EXIT_FAILED
    summary = log_summary.summarise(lines)
    session.emit(summary, log_summary.render(summary))
    return EXIT_OK


def _describe_queue(queue: dict[str, Any]) -> str:
    summary = f"{queue['cell']}: {queue['waiting']} waiting"
    if not queue["waiting"]:
        return summary
    if queue["counter"] > queue["least_counter"]:
        reason = "teams with less service per share go first"
    elif not queue["free_slots"]:
        reason = "next in turn; every slot is taken"
    else:
        reason = "next in turn"
    wait_s = queue["expected_wait_s"]
    return (
        f"{summary}; {reason}; service per share {queue['counter']:.0f} "
        f"(least {queue['least_counter']:.0f}, "
        f"{queue['backlogged_teams']} teams wait); "
        f"a new request would start in {wait_s:.1f} s"
    )


def _describe_refusal(refusal: dict[str, Any]) -> str:
    return (
        f"{refusal['request_id']}: {refusal['service']}/{refusal['cls']} "
        f"refused for {refusal['reason']}, executed: {refusal['executed']}"
    )


async def make_key(session: Session) -> int:
    """Generates a key, and its digest for a sheet or a settings file."""
    key = secrets.token_urlsafe(24)
    data = {"key": key, "digest": hash_key(key)}
    session.emit(data, f"key    {key}\ndigest {data['digest']}")
    return EXIT_OK
