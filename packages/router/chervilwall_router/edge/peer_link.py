"""Reports between routers by datagram."""

import asyncio
import logging
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple, Protocol, cast

from chervilwall import events
from chervilwall.codec import Frame, FrameCodec
from chervilwall.edge_messages import EdgeMessage
from chervilwall.errors import CodecError
from chervilwall.peers import REPORT_INTERVAL_S

from chervilwall_router.settings import split_address

LOG = logging.getLogger(__name__)
# Frames refused in a row that are logged one by one.
MAX_LOGGED_REFUSALS = 20
# Messages in one frame, to keep it in a datagram.
MAX_FRAME_ITEMS = 24


class Post(NamedTuple):
    """Messages and where they go.

    Args:
        addresses (Collection): Datagram addresses.
        items (tuple): The messages, for one datagram.
    """

    addresses: Collection[str]
    items: tuple[EdgeMessage, ...]


MessageHandler = Callable[[Frame, str], None]


class ReportMaker(Protocol):
    """Makes a router's reports."""

    def __call__(self, *, urgent: bool) -> Iterable[Post]:
        """Generates what to send, and where to.

        Args:
            urgent (bool): Whether something has changed.
        """
        ...


class PeerLink(asyncio.DatagramProtocol):
    """Send this router's reports and receive those of peers.

    Args:
        name (str): This router's name.
        incarnation (int): Its incarnation.
        make_reports (ReportMaker): Makes what is sent.
        received (Callable): Takes a peer's frame and its address.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        make_reports: "ReportMaker",
        received: MessageHandler,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._make_reports = make_reports
        self._received = received
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._refusals = 0
        self._outbox: dict[str, list[EdgeMessage]] = {}
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
        self._schedule(REPORT_INTERVAL_S)

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
        try:
            self._received(frame, f"{addr[0]}:{addr[1]}")
        except Exception:
            # A message that nobody foresaw must not end the link to all peers.
            events.log_failure(LOG, events.TASK_FAILED)

    def error_received(self, exc: Exception) -> None:
        """Notes that a peer's port was closed."""
        LOG.debug("datagram not delivered: %s", exc)

    def send(self, address: str, item: EdgeMessage) -> None:
        """Sends a message soon, with others to the same peer."""
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outbox.setdefault(address, []).append(item)

    def _flush(self) -> None:
        outbox, self._outbox = self._outbox, {}
        for address, items in outbox.items():
            for at in range(0, len(items), MAX_FRAME_ITEMS):
                items_now = items[at : at + MAX_FRAME_ITEMS]
                self._send_frame((address,), items_now)

    def _send_frame(
        self, addresses: Iterable[str], items: Sequence[EdgeMessage]
    ) -> None:
        transport = self._transport
        if self.codec is None or transport is None or transport.is_closing():
            return
        frame = self.codec.encode(self._name, self._incarnation, items)
        for address in addresses:
            transport.sendto(frame, split_address(address))
            self.bytes_sent += len(frame)
            self.frames_sent += 1

    def send_now(self) -> None:
        """Sends this router's reports, as something has changed."""
        self._send_reports(urgent=True)

    def _send_reports(self, *, urgent: bool) -> None:
        self._schedule(REPORT_INTERVAL_S)
        for post in self._make_reports(urgent=urgent):
            self._send_frame(post.addresses, post.items)

    def _schedule(self, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_later(
            pause_s, lambda: self._send_reports(urgent=False)
        )
