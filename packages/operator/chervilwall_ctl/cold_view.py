"""Cold targets of an edge fleet, read from the metrics pages of its routers."""

import asyncio
import re
from collections.abc import Iterable
from typing import NamedTuple

from chervilwall_ctl.router_client import RouterClient, RouterError
from chervilwall_ctl.table import Column, Table

PREFIX = "cold_target_"
_SAMPLE = re.compile(r"(\w+)\{(.*)\} ([-+.\w]+)")
_LABEL = re.compile(r'(\w+)="([^"]*)"')


class ColdTarget(NamedTuple):
    """A target that a router treats as cold.

    Args:
        router (str): Address of the router's metrics page.
        target (str): Id of the target.
        service (str): Its service.
        source (str): How the router knows that it is cold.
        remaining_s (float): Seconds for which it stays cold.
        rate_per_s (float): Requests per second that the router may send there;
            0 for a router that does not schedule the service.
        use (float): Fraction of the rate that was used in the last second.
        sent (int): Requests that the router has granted there while it was
            cold or had just been so.
    """

    router: str
    target: str
    service: str
    source: str
    remaining_s: float
    rate_per_s: float
    use: float
    sent: int


class ColdView(NamedTuple):
    """The cold targets that the routers of a fleet know.

    Args:
        targets (list): Cold targets, by router and id.
        missing (list): Routers that did not answer, each with the reason.
    """

    targets: list[ColdTarget]
    missing: list[str]

    def to_text(self) -> str:
        """Returns the view as a table, followed by what is missing."""
        table = Table(
            [
                Column("target"),
                Column("service"),
                Column("router"),
                Column("source"),
                Column("cold for s", True),
                Column("rate/s", True),
                Column("use", True),
                Column("sent", True),
            ]
        )
        for row in sorted(self.targets, key=lambda t: (t.target, t.router)):
            table.add(
                row.target,
                row.service,
                row.router,
                row.source,
                row.remaining_s,
                row.rate_per_s,
                f"{row.use:.2f}",
                row.sent,
            )
        missing = [f"no answer from {reason}" for reason in self.missing]
        return "\n".join([table.to_text(), *missing])


async def fetch_cold_targets(
    client: RouterClient, addresses: Iterable[str]
) -> ColdView:
    """Fetches the cold targets that routers know.

    Args:
        client (RouterClient): Client for the routers.
        addresses (Iterable): Addresses of their metrics pages.
    """
    targets: list[ColdTarget] = []
    missing: list[str] = []

    async def fetch(address: str) -> None:
        try:
            text = await client.get_text(address, "/metrics")
        except (RouterError, UnicodeDecodeError) as exc:
            missing.append(f"{address} ({exc})")
            return
        targets.extend(parse_cold_targets(address, text))

    await asyncio.gather(*(fetch(address) for address in addresses))
    return ColdView(sorted(targets), sorted(missing))


def parse_cold_targets(router: str, text: str) -> list[ColdTarget]:
    """Returns the cold targets on a metrics page.

    Args:
        router (str): Address of the page.
        text (str): Its content in the Prometheus text format.
    """
    values: dict[str, dict[str, float]] = {}
    labels: dict[str, dict[str, str]] = {}
    for line in text.splitlines():
        match = _SAMPLE.fullmatch(line)
        if match is None or not match[1].startswith(PREFIX):
            continue
        found = dict(_LABEL.findall(match[2]))
        target = found.get("target", "")
        labels.setdefault(target, {}).update(found)
        name = match[1].removeprefix(PREFIX)
        values.setdefault(target, {})[name] = float(match[3])
    return [
        ColdTarget(
            router,
            target,
            labels[target].get("service", ""),
            labels[target].get("source", ""),
            found.get("remaining_s", 0.0),
            found.get("rate_per_s", 0.0),
            found.get("use", 0.0),
            int(found.get("sent", 0)),
        )
        for target, found in values.items()
    ]
