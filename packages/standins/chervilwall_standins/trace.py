"""Recorded traces: JSON lines, a heading and then one request a line.

docs/FORMATS.md describes the format.
"""

import pathlib
from collections.abc import Iterable
from typing import NamedTuple

import msgspec
from chervilwall.config import (
    MEASURE_WORTH,
    Config,
    RequestClass,
    Service,
    Target,
    Team,
)

FORMAT = 1
PROMPT_TOKENS = 50
PROMPT_WEIGHT = 1.0
TOKEN_WEIGHT = 2.0


class TraceService(NamedTuple):
    """A service in a trace.

    Args:
        name (str): Its name.
        targets (int): How many targets serve it.
        slots (int): Slots of each.
        token_s (float): Seconds a token takes.
    """

    name: str
    targets: int
    slots: int
    token_s: float


class TraceClass(NamedTuple):
    """A request class in a trace."""

    name: str
    service: str
    worth: float
    idempotent: bool
    deadline_s: float


class TraceFault(NamedTuple):
    """A target that is lost during a trace.

    Args:
        at (float): When, in seconds from the start.
        target (str): Its name, "service/index".
        back_at (float): When it serves again.
    """

    at: float
    target: str
    back_at: float


class TraceHeading(NamedTuple):
    """The first line of a trace.

    Args:
        format (int): Version of the format.
        name (str): Name of the deployment.
        measure (str): What fairness counts.
        routers (int): How many routers the requests came through.
        until (float): Seconds at which the recording ends.
        teams (tuple): Names and shares.
        services (tuple): Services.
        classes (tuple): Request classes.
        faults (tuple): Targets lost.
    """

    format: int
    name: str
    measure: str
    routers: int
    until: float
    teams: tuple[tuple[str, float], ...]
    services: tuple[TraceService, ...]
    classes: tuple[TraceClass, ...]
    faults: tuple[TraceFault, ...] = ()


class TraceRequest(NamedTuple):
    """A request in a trace.

    Args:
        at (float): Arrival, in seconds from the start.
        router (int): The router that it came to.
        team (str): Team.
        cls (str): Request class.
        service (str): Service.
        tokens (int): Tokens that it took, known only at its end.
        hint (float): Work expected beforehand.
    """

    at: float
    router: int
    team: str
    cls: str
    service: str
    tokens: int
    hint: float

    def work(self) -> float:
        """Returns its work, in work units."""
        return PROMPT_TOKENS * PROMPT_WEIGHT + self.tokens * TOKEN_WEIGHT


class _Line(NamedTuple):
    """A request as written: teams and classes by their place."""

    at: float
    router: int
    team: int
    cls: int
    tokens: int
    hint: float


class Trace(NamedTuple):
    """A recorded trace."""

    heading: TraceHeading
    requests: tuple[TraceRequest, ...]

    def config(self) -> Config:
        """Returns the configuration that the trace was recorded under."""
        head = self.heading
        return Config(
            teams=tuple(Team(name, share) for name, share in head.teams),
            services=tuple(
                Service(s.name, head.measure) for s in head.services
            ),
            classes=tuple(
                RequestClass(
                    c.name,
                    c.service,
                    f"/{c.service}/{c.name}",
                    c.worth,
                    c.idempotent,
                    c.deadline_s,
                )
                for c in head.classes
            ),
            targets=tuple(
                Target(f"{s.name}/{i}", s.name, f"10.0.0.{i}:80", slots=s.slots)
                for s in head.services
                for i in range(s.targets)
            ),
        )

    def duration_s(self, req: TraceRequest) -> float:
        """Returns the seconds for which a request holds a slot."""
        service = next(
            s for s in self.heading.services if s.name == req.service
        )
        return req.tokens * service.token_s

    def cost(self, req: TraceRequest) -> float:
        """Returns a request's service in the measure of the deployment."""
        if self.heading.measure != MEASURE_WORTH:
            return req.work()
        return next(
            c.worth
            for c in self.heading.classes
            if c.name == req.cls and c.service == req.service
        )

    def deadline_s(self, req: TraceRequest) -> float:
        """Returns the seconds within which a request must start."""
        return next(
            c.deadline_s
            for c in self.heading.classes
            if c.name == req.cls and c.service == req.service
        )


def read_trace(path: pathlib.Path) -> Trace:
    """Returns the trace in a file."""
    lines = path.read_bytes().splitlines()
    heading = msgspec.json.decode(lines[0], type=TraceHeading)
    if heading.format != FORMAT:
        raise ValueError(f"{path}: format {heading.format}, expected {FORMAT}")
    decoder = msgspec.json.Decoder(_Line)
    requests = (_expand(heading, decoder.decode(line)) for line in lines[1:])
    return Trace(heading, tuple(requests))


def write_trace(
    path: pathlib.Path, heading: TraceHeading, requests: Iterable[TraceRequest]
) -> None:
    """Writes a trace to a file."""
    lines = [msgspec.json.encode(heading)]
    lines += [msgspec.json.encode(_shorten(heading, req)) for req in requests]
    path.write_bytes(b"\n".join(lines) + b"\n")


def shorten(trace: Trace, until: float) -> Trace:
    """Returns the beginning of a trace."""
    heading = trace.heading._replace(until=until)
    kept = tuple(req for req in trace.requests if req.at < until)
    return Trace(heading, kept)


def _expand(heading: TraceHeading, line: _Line) -> TraceRequest:
    cls = heading.classes[line.cls]
    return TraceRequest(
        line.at,
        line.router,
        heading.teams[line.team][0],
        cls.name,
        cls.service,
        line.tokens,
        line.hint,
    )


def _shorten(heading: TraceHeading, req: TraceRequest) -> _Line:
    teams = [name for name, _ in heading.teams]
    classes = [(c.name, c.service) for c in heading.classes]
    return _Line(
        req.at,
        req.router,
        teams.index(req.team),
        classes.index((req.cls, req.service)),
        req.tokens,
        req.hint,
    )
