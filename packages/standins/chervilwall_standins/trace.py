"""Traces of requests, stored as JSON lines.

The first line is the heading, and each further line is one request.
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
# Prompt length of every request; traces do not store it.
PROMPT_TOKENS = 50
# Work units per prompt token and per generated token.
PROMPT_WEIGHT = 1.0
TOKEN_WEIGHT = 2.0


class TraceService(NamedTuple):
    """A service in a trace.

    Args:
        name (str): Name of the service.
        targets (int): Number of targets.
        slots (int): Slots per target.
        token_s (float): Time to generate one token, in seconds.
    """

    name: str
    targets: int
    slots: int
    token_s: float


class TraceClass(NamedTuple):
    """A request class in a trace.

    Args:
        name (str): Name of the class.
        service (str): Service that answers its requests.
        worth (float): Worth of a request. Where the measure is "worth", it is
            the cost that fair sharing counts for the request.
        idempotent (bool): Whether its requests may be sent again.
        deadline_s (float): Time in seconds within which a request must start.
    """

    name: str
    service: str
    worth: float
    idempotent: bool
    deadline_s: float


class TraceFault(NamedTuple):
    """A target that fails during a trace and recovers.

    Args:
        at (float): Time of the failure, in seconds from the start.
        target (str): Name of the target, "service/index".
        back_at (float): Time of the recovery, in seconds from the start.
    """

    at: float
    target: str
    back_at: float


class TraceHeading(NamedTuple):
    """The first line of a trace.

    Args:
        format (int): Version of the format.
        name (str): Name of the deployment.
        measure (str): Unit in which fair sharing counts usage, "work" or
            "worth".
        routers (int): Number of routers that received the requests.
        until (float): Time at which the trace ends, in seconds from the start.
        teams (tuple): Name and share of each team.
        services (tuple): Services and their targets.
        classes (tuple): Request classes.
        faults (tuple): Failures of targets.
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
        at (float): Time of arrival, in seconds from the start.
        router (int): Index of the router that received it.
        team (str): Team that sent it.
        cls (str): Request class.
        service (str): Service that answers it.
        tokens (int): Generated tokens; schedulers learn the number only when
            the request ends.
        hint (float): Estimated work, sent with the request, in work units.
    """

    at: float
    router: int
    team: str
    cls: str
    service: str
    tokens: int
    hint: float

    def work(self) -> float:
        """Returns the work of the request, in work units.

        Work units are PROMPT_WEIGHT per prompt token and TOKEN_WEIGHT per
        generated token.
        """
        return PROMPT_TOKENS * PROMPT_WEIGHT + self.tokens * TOKEN_WEIGHT


class _CompactRequest(NamedTuple):
    """A request as stored: teams and classes are indices into the heading."""

    at: float
    router: int
    team: int
    cls: int
    tokens: int
    hint: float


class Trace(NamedTuple):
    """A trace of requests.

    Args:
        heading (TraceHeading): Deployment and length of the trace.
        requests (tuple): Requests in order of arrival.
    """

    heading: TraceHeading
    requests: tuple[TraceRequest, ...]

    def config(self) -> Config:
        """Returns the configuration of the deployment in the trace."""
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
        """Returns how long a request occupies a slot, in seconds."""
        service = next(
            s for s in self.heading.services if s.name == req.service
        )
        return req.tokens * service.token_s

    def cost(self, req: TraceRequest) -> float:
        """Returns the cost of a request in the measure of the deployment."""
        if self.heading.measure != MEASURE_WORTH:
            return req.work()
        return next(
            c.worth
            for c in self.heading.classes
            if c.name == req.cls and c.service == req.service
        )

    def deadline_s(self, req: TraceRequest) -> float:
        """Returns how long a request may wait for its start, in seconds."""
        return next(
            c.deadline_s
            for c in self.heading.classes
            if c.name == req.cls and c.service == req.service
        )


def read_trace(path: pathlib.Path) -> Trace:
    """Reads a trace from a file.

    Raises:
        ValueError: If the file has another version of the format.
    """
    lines = path.read_bytes().splitlines()
    heading = msgspec.json.decode(lines[0], type=TraceHeading)
    if heading.format != FORMAT:
        raise ValueError(
            f"{path}: trace format {heading.format} is not supported,"
            f" expected {FORMAT}"
        )
    decoder = msgspec.json.Decoder(_CompactRequest)
    requests = (
        _decode_request(heading, decoder.decode(line)) for line in lines[1:]
    )
    return Trace(heading, tuple(requests))


def write_trace(
    path: pathlib.Path, heading: TraceHeading, requests: Iterable[TraceRequest]
) -> None:
    """Writes a heading and its requests to a trace file."""
    lines = [msgspec.json.encode(heading)]
    lines += [
        msgspec.json.encode(_encode_request(heading, req)) for req in requests
    ]
    path.write_bytes(b"\n".join(lines) + b"\n")


def shorten(trace: Trace, until: float) -> Trace:
    """Returns the part of a trace before a time, in seconds from its start."""
    heading = trace.heading._replace(until=until)
    kept = tuple(req for req in trace.requests if req.at < until)
    return Trace(heading, kept)


def _decode_request(
    heading: TraceHeading, line: _CompactRequest
) -> TraceRequest:
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


def _encode_request(
    heading: TraceHeading, req: TraceRequest
) -> _CompactRequest:
    teams = [name for name, _ in heading.teams]
    classes = [(c.name, c.service) for c in heading.classes]
    return _CompactRequest(
        req.at,
        req.router,
        teams.index(req.team),
        classes.index((req.cls, req.service)),
        req.tokens,
        req.hint,
    )
