"""Builds sheets (CSV configurations) for tests."""

from typing import NamedTuple

from chervilwall.config import hash_key
from chervilwall.sheet import COLUMNS

# Share of every eighth team; the others have SMALL_SHARE.
LARGE_SHARE = 8
SMALL_SHARE = 1


class Deployment(NamedTuple):
    """A deployment for which to write a sheet.

    It has two services: an engine service, whose targets generate tokens, and a
    plain service, which also has a class of requests that are not idempotent.

    Args:
        name (str): Prefix of the names of its teams.
        engine_service (str): Name of the engine service.
        plain_service (str): Name of the plain service.
        measure (str): Unit in which fair sharing counts usage, "work" or
            "worth".
        engine_addresses (tuple): IP:port of each target of the engine service.
        plain_addresses (tuple): IP:port of each target of the plain service.
        teams (int): Number of teams. Defaults to 16.
        slots (int): Number of concurrent requests per target. Defaults to 8.
    """

    name: str
    engine_service: str
    plain_service: str
    measure: str
    engine_addresses: tuple[str, ...]
    plain_addresses: tuple[str, ...]
    teams: int = 16
    slots: int = 8


def team_name(deployment: Deployment, index: int) -> str:
    """Returns the name of the team with an index."""
    return f"{deployment.name}-team{index:02}"


def team_key(deployment: Deployment, index: int) -> str:
    """Returns the API key of the team with an index."""
    return f"key-of-{team_name(deployment, index)}"


def make_sheet(deployment: Deployment) -> bytes:
    """Returns the sheet of a deployment as CSV."""
    dep = deployment
    rows: list[dict[str, object]] = []
    for index in range(dep.teams):
        share = LARGE_SHARE if index % 8 == 0 else SMALL_SHARE
        key = hash_key(team_key(dep, index))
        name = team_name(dep, index)
        rows.append(
            {"record": "team", "name": name, "share": share, "key": key}
        )
    for service, path in (
        (dep.engine_service, "/v1/chat"),
        (dep.plain_service, "/case"),
    ):
        rows.append(
            {"record": "service", "name": service, "measure": dep.measure}
        )
        rows += _class_rows(service, path, service == dep.plain_service)
    for service, addresses in (
        (dep.engine_service, dep.engine_addresses),
        (dep.plain_service, dep.plain_addresses),
    ):
        for index, address in enumerate(addresses):
            rows.append(
                {
                    "record": "target",
                    "name": f"{service}-{index}",
                    "service": service,
                    "address": address,
                    "zone": f"az{index % 3 + 1}",
                    "slots": dep.slots,
                }
            )
    lines = [";".join(COLUMNS)]
    lines += [";".join(str(r.get(c, "")) for c in COLUMNS) for r in rows]
    return "\r\n".join(lines).encode()


def _class_rows(
    service: str, path: str, plain: bool
) -> list[dict[str, object]]:
    base = {"record": "class", "service": service}
    if plain:
        return [
            {**base, "name": "filing", "path": path + "/filings"}
            | {"worth": 5, "idempotent": "no", "deadline_s": 20},
            {**base, "name": "status", "path": path + "/status"}
            | {"worth": "0,5", "idempotent": "yes", "deadline_s": 5},
        ]
    return [
        {**base, "name": "chat", "path": path}
        | {"worth": 1, "deadline_s": 5, "cost_hint": 100},
        {**base, "name": "review", "path": path}
        | {"worth": 4, "deadline_s": 60, "cost_hint": 400},
    ]
