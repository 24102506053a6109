"""A caller that reads a stream and resumes it after a broken connection."""

import itertools
import pathlib
import time
from typing import Any, NamedTuple

from tornado.httputil import HTTPHeaders

from chervilwall_standins.users.fleet import (
    CallerConnection,
    EdgeFleet,
    Response,
)

_ATTEMPT_NUMBERS = itertools.count(1)
# Nanoseconds that this thread ran and waited for a processor, and its turns.
_SCHEDULER_STATISTICS = pathlib.Path("/proc/thread-self/schedstat")


class StreamEvent(NamedTuple):
    """An event of a stream of FakeTarget.

    Args:
        number (int): Id of the event.
        version (str): Version of the software that wrote it, "" if its target
            states none.
    """

    number: int
    version: str


class StreamAttempt(NamedTuple):
    """One attempt of a caller.

    Args:
        id (str): Value of its Attempt-Id header.
        status (int): HTTP status, 0 if no complete head was received.
        retry_after (str | None): Value of the Retry-After header.
        events (list[StreamEvent]): Complete events that were received.
        is_complete (bool): Whether the response was received to its end.
        duration_s (float): Seconds from the request to the end, without those
            for which this thread waited for a processor.
    """

    id: str
    status: int
    retry_after: str | None
    events: list[StreamEvent]
    is_complete: bool
    duration_s: float


class StreamCaller:
    """Read one stream, in one or more attempts.

    Each attempt has an id of its own. Those after the first event resume the
    stream and name the attempt that brought that event.

    Args:
        fleet (EdgeFleet): Fleet to call.
        path (str): Path and query. Defaults to `/draft/x`.
        **options (Any): Options of CallerConnection.send, for all attempts.

    Attributes:
        attempts (list[StreamAttempt]): Attempts that have ended.
        events (list[StreamEvent]): Events of all attempts.
    """

    def __init__(
        self, fleet: EdgeFleet, path: str = "/draft/x", **options: Any
    ) -> None:
        self.attempts: list[StreamAttempt] = []
        self.events: list[StreamEvent] = []
        self._fleet = fleet
        self._path = path
        self._options = options
        self._conn: CallerConnection | None = None
        self._id = ""
        self._first_id = ""
        self._started_at = 0.0

    def __repr__(self) -> str:
        return f"StreamCaller(attempt={self._id!r}, events={len(self.events)})"

    @property
    def versions(self) -> set[str]:
        """Versions of the software that wrote the events so far."""
        return {event.version for event in self.events}

    @property
    def numbers(self) -> list[int]:
        """Ids of the events so far."""
        return [event.number for event in self.events]

    @property
    def attempt_id(self) -> str:
        """Id of the current or last attempt."""
        return self._id

    async def send(self, router: int = 0, **options: Any) -> None:
        """Sends an attempt on a new connection.

        Args:
            router (int): Index of the router in the fleet. Defaults to 0.
            **options (Any): Options of CallerConnection.send for this attempt.
        """
        self.close()
        self._id = f"s{next(_ATTEMPT_NUMBERS)}"
        headers = dict(self._options)
        if self.events:
            headers["last_event_id"] = str(self.events[-1].number)
            headers["resumes"] = self._first_id
        headers |= options
        self._conn = await self._fleet.connect(router)
        self._started_at = _unhindered_time()
        await self._conn.send(self._path, request_id=self._id, **headers)

    async def read(self) -> StreamAttempt:
        """Reads the current attempt to its end."""
        assert self._conn is not None
        return self._record(await self._conn.receive())

    async def call(self, router: int = 0, **options: Any) -> StreamAttempt:
        """Sends an attempt and reads it to its end."""
        await self.send(router, **options)
        return await self.read()

    async def begin(
        self, router: int = 0, *, events: int = 2, **options: Any
    ) -> bool:
        """Sends an attempt and reads some events, keeping it open.

        Args:
            router (int): Index of the router in the fleet. Defaults to 0.
            events (int): Events to read. Defaults to 2.
            **options (Any): Options of CallerConnection.send for this attempt.

        Returns:
            bool: Whether the response is a success; otherwise it is closed.
        """
        await self.send(router, **options)
        assert self._conn is not None
        reader = self._conn.reader
        head = await reader.readuntil(b"\r\n\r\n")
        if b" 200 " not in head.partition(b"\r\n")[0]:
            self.close()
            return False
        body = b""
        while body.count(b"\n\n") < events:
            size = int(await reader.readuntil(b"\r\n"), 16)
            body += (await reader.readexactly(size + 2))[:-2]
        self._append(_parse_events(body))
        return True

    async def read_rest(self) -> StreamAttempt:
        """Reads the rest of an attempt that was begun."""
        assert self._conn is not None
        body, is_complete = await self._conn.read_chunks()
        return self._record(Response(200, HTTPHeaders(), body, is_complete))

    def close(self) -> None:
        """Closes the connection, as if it broke."""
        if self._conn is not None:
            self._conn.close()
            self._conn = None

    def _record(self, response: Response) -> StreamAttempt:
        found: list[StreamEvent] = []
        if response.status == 200:
            found = _parse_events(response.body)
        self._append(found)
        attempt = StreamAttempt(
            self._id,
            response.status,
            response.headers.get("Retry-After"),
            found,
            response.is_complete,
            _unhindered_time() - self._started_at,
        )
        self.attempts.append(attempt)
        self.close()
        return attempt

    def _append(self, found: list[StreamEvent]) -> None:
        if found and not self.events:
            self._first_id = self._id
        self.events += found


def _unhindered_time() -> float:
    """Returns the monotonic time less the waits of this thread for a processor.

    Caller, routers and targets of a test share one thread. On a busy machine it
    waits for its turn several times as long as it runs.
    """
    waited_ns = 0
    if _SCHEDULER_STATISTICS.exists():
        waited_ns = int(_SCHEDULER_STATISTICS.read_text().split()[1])
    return time.monotonic() - waited_ns * 1e-9


def _parse_events(body: bytes) -> list[StreamEvent]:
    """Returns the complete events of the body of a response."""
    found = []
    for block in body.split(b"\n\n")[:-1]:
        lines = block.decode().split("\n")
        version = lines[2].removeprefix("data: ") if len(lines) > 2 else ""
        found.append(StreamEvent(int(lines[0].removeprefix("id: ")), version))
    return found
