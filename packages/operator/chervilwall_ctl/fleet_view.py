"""What all routers together tell of the fleet."""

import asyncio
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec
from chervilwall.archive import ARCHIVE_KEY, decode_archive
from chervilwall.cell_messages import UsageRow
from chervilwall.errors import ChervilwallError
from chervilwall.ledger import Ledger
from chervilwall.protocol import Platform
from chervilwall.report import COUNTERS_PREFIX, decode_rows, merge_copies

from chervilwall_ctl.client import RouterClient, RouterError


class RouterView(NamedTuple):
    """A router, as seen by an operator.

    Args:
        name (str): Its name.
        address (str): Its caller address.
        status (dict | None): Its status, None where it did not answer.
    """

    name: str
    address: str
    status: dict[str, Any] | None


async def find_routers(
    client: RouterClient, addresses: Iterable[str]
) -> dict[str, str]:
    """Returns the addresses of all routers by name, asking any of them.

    Raises:
        RouterError: None of the given addresses answered.
    """
    last = RouterError("no router address is known", step="find routers")
    for address in addresses:
        try:
            status = await client.get(address, "/v1/admin/status")
        except RouterError as exc:
            last = exc
            continue
        members = status["members"]
        return {m[0]: m[5] for m in members if m[3] != "dead"}
    raise last


async def view_routers(
    client: RouterClient, routers: dict[str, str]
) -> list[RouterView]:
    """Returns the status of each router."""
    tasks = [_view(client, name, routers[name]) for name in sorted(routers)]
    return list(await asyncio.gather(*tasks))


async def _view(client: RouterClient, name: str, address: str) -> RouterView:
    try:
        status = await client.get(address, "/v1/admin/status")
    except RouterError:
        status = None
    return RouterView(name, address, status)


class Gathered(NamedTuple):
    """The fleet's totals.

    Args:
        ledger (Ledger): The totals.
        alive (list): Incarnations that run now.
        missing (list): Sources that did not answer.
    """

    ledger: Ledger
    alive: list[str]
    missing: list[str]


async def gather_totals(
    client: RouterClient, platform: Platform, addresses: Iterable[str]
) -> Gathered:
    """Returns the fleet's totals from the platform and all routers."""
    copies: list[Iterable[UsageRow]] = []
    compacted: set[str] = set()
    missing: list[str] = []
    try:
        archived = await platform.get(ARCHIVE_KEY)
        archive = decode_archive(archived.value if archived else None)
        copies.append(archive.rows)
        compacted.update(archive.archived)
        for found in await platform.list(COUNTERS_PREFIX):
            if found.key.removeprefix(COUNTERS_PREFIX) not in compacted:
                copies.append(decode_rows(found.value))
    except ChervilwallError as exc:
        missing.append(f"platform ({exc.reason})")
    try:
        routers = await find_routers(client, addresses)
    except RouterError as exc:
        routers = {}
        missing.append(f"routers ({exc.reason})")
    alive: list[str] = []
    for name, address in routers.items():
        try:
            status = await client.get(address, "/v1/admin/status")
            alive.append(status["incarnation"])
            raw = await client.get(address, "/v1/admin/rows")
            rows = msgspec.convert(raw, list[UsageRow])
            copies.append(
                [r for r in rows if r.key.incarnation not in compacted]
            )
        except RouterError as exc:
            missing.append(f"router {name} ({exc.reason})")
    return Gathered(merge_copies(copies), alive, missing)
