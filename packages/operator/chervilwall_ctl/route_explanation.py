"""Where a request would go now, and why, as one edge router sees it."""

import argparse
from collections.abc import Iterable
from typing import Any
from urllib.parse import urlencode

from chervilwall_ctl.router_client import RouterClient, RouterError
from chervilwall_ctl.table import Column, Table

PATH = "/explain"
# Columns of the candidates, each a heading and a field of the answer. Fields
# that a router adds, such as how long a target is cold, follow them.
COLUMNS = (
    ("target", "target"),
    ("zone", "zone"),
    ("running", "running"),
    ("slots", "slots"),
    ("queued ms", "queued_ms"),
    ("age ms", "load_age_ms"),
    ("cached", "cached_tokens"),
    ("prefill ms", "prefill_ms"),
    ("limit/s", "limit_per_s"),
    ("unusable", "unusable"),
)
_TEXT_FIELDS = ("target", "zone", "unusable")
_HIDDEN_FIELDS = ("running_here",)


def add_options(parser: argparse.ArgumentParser) -> None:
    """Adds the options that describe a request.

    Args:
        parser (argparse.ArgumentParser): Parser of the command, which has an
            option --team.
    """
    group = parser.add_argument_group(
        "where a request would go, asked from the first edge router that"
        " answers at its metrics address"
    )
    group.add_argument("--path", help="path of the request")
    group.add_argument("--host", default="", help="host that it names")
    group.add_argument("--prompt-tokens", type=int, default=0)
    group.add_argument("--output-tokens", type=int, default=0)
    group.add_argument("--parts", default="", help="ID:TOKENS, with commas")
    group.add_argument("--session", default="", help="id of a shared part")


async def fetch(
    client: RouterClient, addresses: Iterable[str], args: argparse.Namespace
) -> dict[str, Any]:
    """Returns the explanation of the first router that answers.

    Args:
        client (RouterClient): Client for the routers.
        addresses (Iterable): "IP:port" of the metrics pages of some routers.
        args (argparse.Namespace): Parsed options of add_options().

    Raises:
        RouterError: No router answered.
    """
    query = urlencode(
        {
            "host": args.host,
            "path": args.path,
            "team": args.team or "",
            "prompt_tokens": args.prompt_tokens,
            "output_tokens": args.output_tokens,
            "parts": args.parts,
            "session": args.session,
        }
    )
    last_error = RouterError("no router address is known", step="explain")
    for address in addresses:
        try:
            return await client.get(address, f"{PATH}?{query}")
        except RouterError as exc:
            last_error = exc
    raise last_error


def render(answer: dict[str, Any]) -> str:
    """Returns an explanation as text."""
    lines = [f"router {answer['router']}, configuration {answer['config']}"]
    route, team = answer["route"], answer["team"]
    if route is not None:
        lines.append(
            f"route {route['name']} ({route['kind']}), objective"
            f" {route['objective_ms']} ms, time limit {route['timeout_ms']} ms"
        )
    if team is not None and team["name"]:
        share = "beyond" if team["is_over_share"] else "within"
        lines.append(
            f"team {team['name']}, {share} its share,"
            f" {team['used_tokens']} tokens used in the last seconds"
        )
    if answer["refusal"]:
        lines.append(f"rejected: {answer['refusal']}")
    for service in answer["services"]:
        lines += ["", *_service_lines(service)]
    return "\n".join(lines)


def _service_lines(service: dict[str, Any]) -> list[str]:
    place = "decided here"
    if not service["decides_here"]:
        place = f"decided by {service['scheduler']}; this is another view"
    lines = [
        f"service {service['service']}, weight {service['weight']:g},"
        f" {place}; {service['waiting']} waiting",
        _describe_outcome(service),
    ]
    if service["candidates"]:
        lines.append(_candidates_table(service["candidates"]).to_text())
    return lines


def _describe_outcome(service: dict[str, Any]) -> str:
    if service["outcome"] == "sent":
        text = f"would be sent to {service['target']}"
        first_ms = service["first_token_ms"]
        return f"{text}, first token in {first_ms} ms" if first_ms else text
    if service["outcome"] == "waits":
        return f"would wait about {service['expected_wait_ms']} ms"
    return (
        f"would be rejected: {service['reason']};"
        f" Retry-After {service['retry_after_s']} s"
    )


def _candidates_table(candidates: list[dict[str, Any]]) -> Table:
    known = {field for _, field in COLUMNS} | set(_HIDDEN_FIELDS)
    more = [name for name in candidates[0] if name not in known]
    columns = [*COLUMNS, *((name, name) for name in more)]
    table = Table([Column(t, f not in _TEXT_FIELDS) for t, f in columns])
    for item in candidates:
        values = [item.get(field) for _, field in columns]
        table.add(*("-" if value is None else value for value in values))
    return table
