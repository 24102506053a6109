"""A stand-in target that repeats earlier responses on kept connections."""

import asyncio
import enum
from typing import NamedTuple

from chervilwall_standins.users.target import (
    EVENT_STREAM,
    FakeTarget,
    ReceivedRequest,
    encode_response,
)

# Time from a response to its copy on an idle connection, and from the start of
# a request to the copy that arrives while it runs.
COPY_DELAY_S = 0.01
# Time between the two parts of a copy that is sent in two.
SPLIT_DELAY_S = 0.005
# Time for which a request runs after the copy was sent.
RUN_S = 0.02


class CopyTime(enum.Enum):
    """When a target sends the copy of an earlier response."""

    # In one write with the response that it repeats.
    WITH_RESPONSE = "with the response"
    # While the connection is idle.
    IDLE = "idle"
    # As soon as the next request has arrived.
    NEXT_REQUEST = "next request"
    # While the next request runs.
    RUNNING = "running"


class CopiedId(enum.Enum):
    """The Attempt-Id in the copy of a response."""

    EARLIER = "earlier"
    OTHER = "other"
    NONE = "none"


class CopiedResponse(NamedTuple):
    """Copy of an earlier response.

    Args:
        status (int): Its status. One other than 200 states that the request
            was not run. Defaults to 503.
        id (CopiedId): Its Attempt-Id. Defaults to NONE.
        time (CopyTime): When it is sent. Defaults to RUNNING.
        body (bytes): Its body. Defaults to none.
        is_signed (bool): Whether it has a signature. Defaults to False.
        is_split (bool): Whether it is sent in two parts. Defaults to False.
        closes (bool): Whether it announces that the connection is closed,
            which is not. Defaults to False.
        retry_after_s (float): Its Retry-After. Defaults to 0, which leaves it
            out.
    """

    status: int = 503
    id: CopiedId = CopiedId.NONE
    time: CopyTime = CopyTime.RUNNING
    body: bytes = b""
    is_signed: bool = False
    is_split: bool = False
    closes: bool = False
    retry_after_s: float = 0.0


class RepeatingTarget(FakeTarget):
    """Send copies of earlier responses besides those that are due.

    Attributes:
        copied (CopiedResponse | None): Copy that is sent on connections that
            carried another request before, None for no copies.
        copies_sent (int): Copies that were sent.
        echoes_ids (bool): Whether refusals name the attempt.
        is_misdirected (bool): Whether copies of a 421 are of a refusal that was
            one. Routers do not use such a target for a while. Otherwise they
            follow a 503.
    """

    def __init__(self, id: str, service: str, *, events: int = 0) -> None:
        super().__init__(id, service, events=events)
        self.copied: CopiedResponse | None = None
        self.copies_sent = 0
        self.echoes_ids = True
        self.is_misdirected = False
        # Id of the last request that was answered on each connection.
        self._earlier: dict[asyncio.StreamWriter, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def _refuse(
        self, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> None:
        copied = self.copied or CopiedResponse()
        status = copied.status
        if status == 200 or (status == 421 and not self.is_misdirected):
            status = 503
        headers = {"Not-Executed": "1"}
        if self.echoes_ids:
            headers["Attempt-Id"] = request.id
        if self.retry_after_s:
            headers["Retry-After"] = f"{self.retry_after_s:g}"
        response = encode_response(status, headers, b"")
        self._earlier[writer] = request.id
        if copied.time is CopyTime.WITH_RESPONSE and self.copied:
            response += self._encode_copy(copied, request.id)
            self.copies_sent += 1
        writer.write(response)
        if copied.time is CopyTime.IDLE and self.copied:
            task = asyncio.create_task(self._copy_later(writer))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)

    async def _run(
        self,
        request: ReceivedRequest,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        copied = self.copied
        if copied is not None and writer in self._earlier:
            if copied.time is CopyTime.NEXT_REQUEST:
                await self._send_copy(copied, writer)
            elif copied.time is CopyTime.RUNNING:
                await self._copy_later(writer)
            await asyncio.sleep(RUN_S)
        is_kept = await super()._run(request, reader, writer)
        self._earlier[writer] = request.id
        return is_kept

    async def _copy_later(self, writer: asyncio.StreamWriter) -> None:
        await asyncio.sleep(COPY_DELAY_S)
        if self.copied is not None:
            await self._send_copy(self.copied, writer)

    async def _send_copy(
        self, copied: CopiedResponse, writer: asyncio.StreamWriter
    ) -> None:
        response = self._encode_copy(copied, self._earlier[writer])
        self.copies_sent += 1
        if copied.is_split:
            middle = len(response) // 2
            writer.write(response[:middle])
            await asyncio.sleep(SPLIT_DELAY_S)
            response = response[middle:]
        writer.write(response)

    def _encode_copy(self, copied: CopiedResponse, earlier_id: str) -> bytes:
        headers: dict[str, str] = {}
        if copied.id is CopiedId.EARLIER:
            headers["Attempt-Id"] = earlier_id
        elif copied.id is CopiedId.OTHER:
            headers["Attempt-Id"] = "another"
        if copied.status != 200:
            headers["Not-Executed"] = "1"
        elif self.events:
            headers |= EVENT_STREAM
        if copied.is_signed:
            headers["Response-Signature"] = f"sig-{self.id}"
        if copied.retry_after_s:
            headers["Retry-After"] = f"{copied.retry_after_s:g}"
        if copied.closes:
            headers["Connection"] = "close"
        return encode_response(copied.status, headers, copied.body)
