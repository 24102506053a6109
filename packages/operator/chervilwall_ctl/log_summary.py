"""Summary of the structured logs of edge routers, such as those of one day.

Reads what routers wrote on standard output, also with a prefix before each
JSON line, as collectors add. Times are taken from the lines.
"""

import collections
import pathlib
from collections.abc import Iterable, Iterator
from typing import Any, NamedTuple

import msgspec
from chervilwall.errors import ChervilwallError

from chervilwall_ctl.table import Column, Table

EVENT_LIMIT_CHANGED = 513
EVENT_REFUSED = 601
EVENT_ENDED = 605
EVENT_RETRY_DECIDED = 610
WINDOW_S = 2.0
# A refusal counts as made after waiting if the request was held for longer.
MIN_WAIT_MS = 100.0
NO_ROUTE = "-"
OUTCOMES = (
    "in_aim",
    "late",
    "refused_at_once",
    "refused_after_waiting",
    "failed",
)


class LogLine(NamedTuple):
    """A structured line of a router's log.

    Args:
        source (str): Text before the JSON object, or the name of the file.
        fields (dict): Members of the object.
    """

    source: str
    fields: dict[str, Any]

    @property
    def time_s(self) -> float:
        """Wall-clock time in seconds, 0 if the line has none."""
        return float(self.fields.get("time", 0.0))

    def number(self, name: str) -> float:
        """Returns a numeric field, 0 if it is missing."""
        return float(self.fields.get(name) or 0.0)


def read_lines(paths: Iterable[pathlib.Path]) -> list[LogLine]:
    """Returns the structured lines of all files in order of their times.

    Raises:
        ChervilwallError: A file cannot be read.
    """
    lines: list[LogLine] = []
    for path in paths:
        try:
            with path.open(encoding="utf-8", errors="replace") as file:
                lines.extend(_parse_lines(file, path.stem))
        except OSError as exc:
            raise ChervilwallError(
                str(exc), step="read log", peer=str(path)
            ) from exc
    return sorted(lines, key=lambda line: line.time_s)


def _parse_lines(file: Iterable[str], name: str) -> Iterator[LogLine]:
    for text in file:
        start = text.find("{")
        if start < 0:
            continue
        try:
            fields = msgspec.json.decode(text[start:])
        except msgspec.DecodeError:
            continue
        if isinstance(fields, dict) and "event" in fields:
            yield LogLine(text[:start].strip() or name, fields)


def outcome_of(line: LogLine) -> str:
    """Returns one of OUTCOMES for the end of a request, "" for other lines."""
    event = line.fields["event"]
    if event == EVENT_REFUSED:
        if line.fields.get("step") != "schedule":
            return ""
        has_waited = line.number("waited_ms") > MIN_WAIT_MS
        return "refused_after_waiting" if has_waited else "refused_at_once"
    if event != EVENT_ENDED:
        return ""
    if line.fields.get("outcome") != "answered":
        return "failed"
    objective_ms = line.number("objective_ms")
    is_late = objective_ms and line.number("first_ms") > objective_ms
    return "late" if is_late else "in_aim"


def summarise(lines: Iterable[LogLine]) -> dict[str, Any]:
    """Returns counts of outcomes by route, size, team, router and window.

    It also has the retry decisions by cause and the changes of the limits that
    targets named, by target.
    """
    groups: dict[str, dict[str, collections.Counter[str]]] = {
        name: collections.defaultdict(collections.Counter)
        for name in ("route", "size", "team", "router", "second")
    }
    reasons: collections.Counter[str] = collections.Counter()
    waits: dict[str, list[float]] = collections.defaultdict(list)
    errors: dict[str, list[float]] = collections.defaultdict(list)
    retries: collections.Counter[str] = collections.Counter()
    limits: dict[str, list[str]] = collections.defaultdict(list)
    first_at: float | None = None
    for line in lines:
        if line.fields["event"] == EVENT_RETRY_DECIDED:
            retries[_describe_retry(line)] += 1
        # Each router that hears of a change from a peer logs it, too.
        elif line.fields["event"] == EVENT_LIMIT_CHANGED and not (
            line.fields.get("peer")
        ):
            limits[str(line.fields.get("target"))].append(_describe_limit(line))
        outcome = outcome_of(line)
        if not outcome:
            continue
        first_at = line.time_s if first_at is None else first_at
        window = int((line.time_s - first_at) / WINDOW_S) * int(WINDOW_S)
        route = line.fields.get("route", NO_ROUTE)
        size = f"{route} size {line.fields.get('size', 0)}"
        for group, key in (
            ("route", route),
            ("size", size),
            ("team", line.fields.get("team") or NO_ROUTE),
            ("router", line.source.split()[-1]),
            ("second", f"{window:4d}"),
        ):
            groups[group][key][outcome] += 1
        if line.fields["event"] == EVENT_REFUSED:
            reasons[str(line.fields.get("reason"))] += 1
        elif outcome != "failed":
            waits[route].append(line.number("wait_ms"))
            # Plain targets have no prediction.
            if line.number("predicted_ms"):
                errors[route].append(_prediction_error_ms(line))
    return {
        "groups": groups,
        "reasons": dict(reasons.most_common()),
        "retries": dict(retries.most_common()),
        "limits": dict(limits),
        "wait_ms": {k: _quantiles(v) for k, v in waits.items()},
        "prediction_error_ms": {k: _quantiles(v) for k, v in errors.items()},
    }


def render(summary: dict[str, Any]) -> str:
    """Returns a summary as text."""
    blocks = []
    for group, counts in summary["groups"].items():
        table = Table(
            [Column(group)]
            + [Column(name, is_number=True) for name in OUTCOMES]
        )
        rows = sorted(
            counts.items(),
            key=lambda item: (
                item[0] if group == "second" else "",
                -item[1].total(),
            ),
        )
        for key, found in rows:
            table.add(key, *(found[name] for name in OUTCOMES))
        blocks.append(table.to_text())
    for title in ("wait_ms", "prediction_error_ms"):
        table = Table(
            [Column(title)]
            + [Column(name, is_number=True) for name in ("p10", "p50", "p90")]
        )
        for key, values in summary[title].items():
            table.add(key, *values)
        blocks.append(table.to_text())
    reasons = Table([Column("refused because"), Column("requests", True)])
    for reason, count in summary["reasons"].items():
        reasons.add(reason, count)
    blocks.append(reasons.to_text())
    retries = Table([Column("retry decisions"), Column("attempts", True)])
    for decision, count in summary["retries"].items():
        retries.add(decision, count)
    blocks.append(retries.to_text())
    limits = Table([Column("limited target"), Column("requests a second")])
    for target, changes in summary["limits"].items():
        limits.add(target, ", ".join(changes))
    blocks.append(limits.to_text())
    return "\n\n".join(blocks)


def find_request(lines: Iterable[LogLine], request: str) -> list[LogLine]:
    """Returns the lines that name a request, of all routers."""
    return [
        line
        for line in lines
        if request
        in (line.fields.get("request"), *line.fields.get("requests", ()))
    ]


def render_lines(lines: Iterable[LogLine]) -> str:
    """Returns lines as text, one decision a line."""
    return "\n".join(_render_line(line) for line in lines)


def _render_line(line: LogLine) -> str:
    named = ("time", "event", "text", "level", "request")
    fields = " ".join(
        f"{k}={v}" for k, v in line.fields.items() if k not in named
    )
    return (
        f"{line.time_s:.3f} {line.source.split()[-1]}"
        f" E{line.fields['event']} {line.fields.get('text', '')}: {fields}"
    )


def _describe_retry(line: LogLine) -> str:
    fields = line.fields
    return f"{fields.get('outcome')} after {fields.get('cause')}"


def _describe_limit(line: LogLine) -> str:
    limit = line.fields.get("per_s") or "none"
    return f"{limit} at {line.time_s:.1f}"


def _prediction_error_ms(line: LogLine) -> float:
    observed_ms = line.number("first_ms") - line.number("wait_ms")
    return observed_ms - line.number("predicted_ms")


def _quantiles(values: list[float]) -> tuple[float, float, float]:
    ordered = sorted(values)
    last = len(ordered) - 1
    return (
        ordered[round(0.1 * last)],
        ordered[round(0.5 * last)],
        ordered[round(0.9 * last)],
    )
