"""Evacuated zones as each edge router of a fleet knows them."""

import asyncio
import datetime
from collections.abc import Iterable
from typing import Any, NamedTuple

import msgspec

from chervilwall_ctl.router_client import RouterClient, RouterError
from chervilwall_ctl.table import Column, Table

PATH = "/evacuations"


class ZoneStatus(msgspec.Struct):
    """An evacuated zone, as one router knows it.

    Args:
        zone (str): Name of the zone.
        since (float): Unix time in seconds at which the router learned of it.
        revision (str): Era and revision of the first set with the zone.
        running (int): Requests of the router that still run there.
    """

    zone: str
    since: float
    revision: str
    running: int


class PeerAddress(msgspec.Struct):
    """A router that another one knows.

    Args:
        router (str): Its name.
        address (str): "IP:port" of its pages.
    """

    router: str
    address: str


class RouterEvacuations(msgspec.Struct):
    """Answer of a router.

    Args:
        router (str): Name of the router.
        revision (str): Era and revision of its set of evacuated zones.
        zones (list): The zones.
        peers (list): The other routers that it knows.
    """

    router: str
    revision: str
    zones: list[ZoneStatus]
    peers: list[PeerAddress]


class FleetEvacuations(NamedTuple):
    """Answers of a fleet.

    Args:
        routers (list): Answers, by name of the router.
        missing (list): Routers, or addresses of unknown ones, without an
            answer.
    """

    routers: list[RouterEvacuations]
    missing: list[str]


async def fetch(
    client: RouterClient, addresses: Iterable[str]
) -> FleetEvacuations:
    """Asks routers, and those that these know, for their evacuated zones.

    Args:
        client (RouterClient): Client for the routers.
        addresses (Iterable): "IP:port" of the metrics or peer pages of some
            routers.
    """
    given = list(addresses)
    answers = await asyncio.gather(*(_fetch_one(client, a) for a in given))
    found = {x.router: x for x in answers if x is not None}
    missing = [a for a, x in zip(given, answers, strict=True) if x is None]
    others = {
        peer.router: peer.address
        for answer in found.values()
        for peer in answer.peers
        if peer.router not in found
    }
    more = await asyncio.gather(
        *(_fetch_one(client, address) for address in others.values())
    )
    for name, answer in zip(others, more, strict=True):
        if answer is None:
            missing.append(name)
        else:
            found[name] = answer
    return FleetEvacuations([found[name] for name in sorted(found)], missing)


async def _fetch_one(
    client: RouterClient, address: str
) -> RouterEvacuations | None:
    try:
        answer = await client.get(address, PATH)
        return msgspec.convert(answer, RouterEvacuations)
    except (RouterError, msgspec.ValidationError):
        return None


def render(evacuations: FleetEvacuations) -> str:
    """Returns a table with a line for each router and evacuated zone."""
    table = Table(
        [
            Column("router"),
            Column("read at"),
            Column("zone"),
            Column("since"),
            Column("revision"),
            Column("running", True),
        ]
    )
    for router in evacuations.routers:
        for zone in router.zones:
            table.add(
                router.router,
                router.revision,
                zone.zone,
                _format_time(zone.since),
                zone.revision,
                zone.running,
            )
        if not router.zones:
            table.add(router.router, router.revision, "none", "", "", "")
    return table.to_text()


def to_data(evacuations: FleetEvacuations) -> dict[str, Any]:
    """Returns the answers as encodable data."""
    routers = []
    for router in evacuations.routers:
        item = msgspec.to_builtins(router)
        del item["peers"]
        routers.append(item)
    return {"routers": routers, "missing": evacuations.missing}


def _format_time(unix_s: float) -> str:
    time = datetime.datetime.fromtimestamp(unix_s, datetime.UTC)
    return time.isoformat(timespec="seconds")
