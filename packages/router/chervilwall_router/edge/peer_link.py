"""Reports between routers by datagram."""

import asyncio
import logging
from collections.abc import Callable, Iterable
from typing import cast

from chervilwall import events
from chervilwall.codec import FrameCodec
from chervilwall.errors import CodecError
from chervilwall.message import EdgeReport
from chervilwall.peers import IDLE_INTERVAL_S, report_interval_s

from chervilwall_router.settings import split_address

LOG = logging.getLogger(__name__)
# Frames refused in a row that are logged one by one.
MAX_LOGGED_REFUSALS = 20

ReportHandler = Callable[[str, int, EdgeReport], None]


class PeerLink(asyncio.DatagramProtocol):
    """Send this router's reports and receive those of peers.

    Args:
        name (str): This router's name.
        incarnation (int): Its incarnation.
        make_report (Callable): Returns the report to send.
        addresses (Callable): Returns the peers' datagram addresses.
        received (Callable): Takes a peer's report.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        make_report: Callable[[], EdgeReport],
        addresses: Callable[[], Iterable[str]],
        received: ReportHandler,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._make_report = make_report
        self._addresses = addresses
        self._received = received
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._due_at = 0.0
        self._sent_at = 0.0
        self._refusals = 0
        self.codec: FrameCodec | None = None
        self.bytes_sent = 0
        self.frames_sent = 0

    def __repr__(self) -> str:
        return f"PeerLink(name={self._name!r})"

    async def open(self, address: str) -> None:
        """Begins to listen and to send."""
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(address)
        )
        self._schedule(IDLE_INTERVAL_S)

    def close(self) -> None:
        """Stops listening and sending."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the socket."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Takes a frame; one that does not authenticate changes nothing."""
        if self.codec is None:
            return
        try:
            frame = self.codec.decode(data)
        except CodecError as exc:
            self._refusals += 1
            if self._refusals <= MAX_LOGGED_REFUSALS:
                events.log_event(
                    LOG, events.FRAME_REFUSED, peer=addr[0], reason=exc.reason
                )
            return
        self._refusals = 0
        for item in frame.messages:
            if isinstance(item, EdgeReport):
                self._received(frame.sender, frame.incarnation, item)

    def error_received(self, exc: Exception) -> None:
        """Notes that a peer's port was closed."""
        LOG.debug("datagram not delivered: %s", exc)

    def note_change(self) -> None:
        """Sends a report soon, as load has changed."""
        loop = asyncio.get_running_loop()
        pause_s = report_interval_s(len(tuple(self._addresses())))
        due_at = self._sent_at + pause_s
        if due_at < self._due_at:
            self._schedule(max(0.0, due_at - loop.time()))

    def send_now(self) -> None:
        """Sends a report to all peers."""
        loop = asyncio.get_running_loop()
        self._sent_at = loop.time()
        self._schedule(IDLE_INTERVAL_S)
        if self.codec is None or self._transport is None:
            return
        report = self._make_report()
        frame = self.codec.encode(self._name, self._incarnation, (report,))
        for address in self._addresses():
            self._transport.sendto(frame, split_address(address))
            self.bytes_sent += len(frame)
            self.frames_sent += 1

    def _schedule(self, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
        self._due_at = loop.time() + pause_s
        self._timer = loop.call_later(pause_s, self.send_now)
