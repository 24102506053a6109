"""Status and totals of the whole fleet, collected from all routers."""

import asyncio
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec
from chervilwall.archive import ARCHIVE_KEY, Archive, decode_archive
from chervilwall.cell_messages import UsageRow
from chervilwall.errors import ChervilwallError
from chervilwall.ledger import Ledger
from chervilwall.protocol import Platform
from chervilwall.report import COUNTERS_PREFIX, decode_rows, merge_rows

from chervilwall_ctl.router_client import RouterClient, RouterError


class RouterView(NamedTuple):
    """A router and the status that it reported.

    Args:
        name (str): Name of the router.
        address (str): Address at which it serves callers and operators.
        status (dict | None): Reported status, None if it did not answer.
    """

    name: str
    address: str
    status: dict[str, Any] | None


async def find_routers(
    client: RouterClient, addresses: Iterable[str]
) -> dict[str, str]:
    """Returns the addresses of all routers in the fleet, by name.

    The list of members comes from the first router that answers; members
    that it considers dead are left out.

    Args:
        client (RouterClient): Client for the routers.
        addresses (Iterable): Addresses of some routers, tried in order.

    Raises:
        RouterError: No router at the given addresses answered.
    """
    last_error = RouterError("no router address is known", step="find routers")
    for address in addresses:
        try:
            status = await client.get(address, "/v1/admin/status")
        except RouterError as exc:
            last_error = exc
            continue
        # Each member is a MemberUpdate, encoded as an array: index 0 is its
        # name, 3 its state and 5 its address for callers.
        members = status["members"]
        return {m[0]: m[5] for m in members if m[3] != "dead"}
    raise last_error


async def fetch_router_views(
    client: RouterClient, routers: dict[str, str]
) -> list[RouterView]:
    """Fetches the status of all routers concurrently, sorted by name.

    Args:
        client (RouterClient): Client for the routers.
        routers (dict): Addresses by name.
    """
    tasks = [
        _fetch_router_view(client, name, routers[name])
        for name in sorted(routers)
    ]
    return list(await asyncio.gather(*tasks))


async def _fetch_router_view(
    client: RouterClient, name: str, address: str
) -> RouterView:
    try:
        status = await client.get(address, "/v1/admin/status")
    except RouterError:
        status = None
    return RouterView(name, address, status)


class FleetTotals(NamedTuple):
    """Totals of the requests handled by the whole fleet.

    Args:
        ledger (Ledger): The totals.
        running (list): Incarnations of the routers that answered; each start
            of a router process is one incarnation.
        missing (list): Sources left out because they did not answer or could
            not be decoded, each with the reason.
    """

    ledger: Ledger
    running: list[str]
    missing: list[str]


async def gather_totals(
    client: RouterClient, platform: Platform, addresses: Iterable[str]
) -> FleetTotals:
    """Merges the totals kept on the platform with those of all routers.

    The archive holds the totals of routers that no longer run. Incarnations
    that it already includes are skipped, so that none is counted twice.

    Totals move from routers to counters objects and from there to the archive.
    They are read in this order, so that none is missed that moves meanwhile.

    Args:
        client (RouterClient): Client for the routers.
        platform (Platform): The platform.
        addresses (Iterable): Addresses of some routers, tried in order.
    """
    missing: list[str] = []
    rows: list[UsageRow] = []
    running: list[str] = []
    try:
        routers = await find_routers(client, addresses)
    except RouterError as exc:
        routers = {}
        missing.append(f"routers ({exc.reason})")
    for name, address in routers.items():
        try:
            status = await client.get(address, "/v1/admin/status")
            running.append(status["incarnation"])
            raw = await client.get(address, "/v1/admin/rows")
            rows += msgspec.convert(raw, list[UsageRow])
        except RouterError as exc:
            missing.append(f"router {name} ({exc.reason})")
    archive = Archive()
    try:
        counters = await platform.list(COUNTERS_PREFIX)
        archive_object = await platform.get(ARCHIVE_KEY)
        archive = decode_archive(
            archive_object.value if archive_object else None
        )
        for stored in counters:
            rows += decode_rows(stored.value)
    except ChervilwallError as exc:
        missing.append(f"platform ({exc.reason})")
    archived = set(archive.archived)
    unarchived = [r for r in rows if r.key.incarnation not in archived]
    ledger = merge_rows([archive.rows, unarchived])
    return FleetTotals(ledger, running, missing)
