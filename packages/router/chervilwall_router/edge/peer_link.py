"""Datagrams between routers."""

import asyncio
import functools
import logging
from collections.abc import Callable, Collection, Iterable, Sequence
from typing import NamedTuple, Protocol, cast

from chervilwall import events
from chervilwall.codec import Frame, FrameCodec
from chervilwall.edge_messages import EdgeMessage
from chervilwall.errors import CodecError
from chervilwall.peers import REPORT_INTERVAL_S
from chervilwall.untrusted import is_ip_address, parse_address, shown

from chervilwall_router.settings import split_address

LOG = logging.getLogger(__name__)
# Number of consecutive invalid frames that are logged; further ones are dropped
# without a log line until a frame is valid.
MAX_LOGGED_INVALID_FRAMES = 20
# Maximum number of messages in one frame, so that the frame fits in a datagram.
MAX_FRAME_MESSAGES = 24
# Number of addresses that are logged as those to which no datagram can be sent.
MAX_LOGGED = 1024


class Outgoing(NamedTuple):
    """Messages for one datagram, and its recipients.

    Args:
        addresses (Collection): Addresses to send it to, as "IP:port".
        messages (tuple): The messages.
    """

    addresses: Collection[str]
    messages: tuple[EdgeMessage, ...]


FrameHandler = Callable[[Frame, str], None]


class ReportBuilder(Protocol):
    """Function that builds the reports of a router."""

    def __call__(self, *, urgent: bool) -> Iterable[Outgoing]:
        """Generates the messages to send and their recipients.

        Args:
            urgent (bool): Whether something has changed that peers need to know
                now.
        """
        ...


class PeerLink(asyncio.DatagramProtocol):
    """Exchange datagrams with the other routers.

    Reports are sent every REPORT_INTERVAL_S, other messages as they come.
    Nothing is sent, and received datagrams are ignored, until the codec is set.

    Args:
        name (str): Name of this router.
        incarnation (int): Its incarnation.
        build_reports (ReportBuilder): Builds the reports.
        on_frame (Callable): Called with each valid frame and the address that
            it came from.

    Attributes:
        codec (FrameCodec | None): Codec of the fleet's key.
        bytes_sent (int): Total size of the datagrams sent.
        frames_sent (int): Number of datagrams sent.
    """

    def __init__(
        self,
        name: str,
        incarnation: int,
        build_reports: ReportBuilder,
        on_frame: FrameHandler,
    ) -> None:
        self._name = name
        self._incarnation = incarnation
        self._build_reports = build_reports
        self._on_frame = on_frame
        self._transport: asyncio.DatagramTransport | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._consecutive_invalid = 0
        self._unsendable: set[str] = set()
        self._outbox: dict[str, list[EdgeMessage]] = {}
        self.codec: FrameCodec | None = None
        self.bytes_sent = 0
        self.frames_sent = 0

    def __repr__(self) -> str:
        return f"PeerLink(name={self._name!r})"

    async def open(self, address: str) -> None:
        """Starts listening and sending reports.

        Args:
            address (str): "IP:port" to listen on.
        """
        loop = asyncio.get_running_loop()
        await loop.create_datagram_endpoint(
            lambda: self, local_addr=split_address(address)
        )
        self._schedule_reports(REPORT_INTERVAL_S)

    def close(self) -> None:
        """Stops listening and sending."""
        if self._timer is not None:
            self._timer.cancel()
        if self._transport is not None:
            self._transport.close()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport to send with."""
        self._transport = cast(asyncio.DatagramTransport, transport)

    def datagram_received(self, data: bytes, addr: tuple) -> None:
        """Handles a datagram; an invalid or forged frame is dropped."""
        if self.codec is None:
            return
        try:
            frame = self.codec.decode(data)
        except CodecError as exc:
            self._consecutive_invalid += 1
            if self._consecutive_invalid <= MAX_LOGGED_INVALID_FRAMES:
                events.log_event(
                    LOG, events.FRAME_REFUSED, peer=addr[0], reason=exc.reason
                )
            return
        self._consecutive_invalid = 0
        try:
            self._on_frame(frame, f"{addr[0]}:{addr[1]}")
        except Exception:
            # A message that cannot be handled must not close the socket that
            # serves all peers.
            events.log_failure(LOG, events.TASK_FAILED)

    def error_received(self, exc: Exception) -> None:
        """Logs a datagram that could not be delivered."""
        LOG.debug("datagram not delivered: %s", exc)

    def send(self, address: str, message: EdgeMessage) -> None:
        """Queues a message, to be sent with others for the same peer.

        The queue is sent in the next iteration of the event loop.
        """
        if not self._outbox:
            asyncio.get_running_loop().call_soon(self._flush)
        self._outbox.setdefault(address, []).append(message)

    def _flush(self) -> None:
        outbox, self._outbox = self._outbox, {}
        for address, messages in outbox.items():
            for start in range(0, len(messages), MAX_FRAME_MESSAGES):
                batch = messages[start : start + MAX_FRAME_MESSAGES]
                try:
                    self._send_frame((address,), batch)
                except Exception:
                    # Messages to other peers are sent all the same.
                    events.log_failure(LOG, events.TASK_FAILED, peer=address)

    def _send_frame(
        self, addresses: Iterable[str], messages: Sequence[EdgeMessage]
    ) -> None:
        transport = self._transport
        if self.codec is None or transport is None or transport.is_closing():
            return
        frame = self.codec.encode(self._name, self._incarnation, messages)
        for address in addresses:
            try:
                # uvloop raises a ValueError for an address of another family.
                transport.sendto(frame, _parse_destination(address))
            except (CodecError, ValueError) as exc:
                self._log_unsent(address, exc)
                continue
            self.bytes_sent += len(frame)
            self.frames_sent += 1

    def _log_unsent(self, address: str, exc: Exception) -> None:
        """Logs once that no datagram can be sent to an address."""
        if address in self._unsendable or len(self._unsendable) >= MAX_LOGGED:
            return
        self._unsendable.add(address)
        events.log_event(LOG, events.PEER_SEND_FAILED, peer=address, reason=exc)

    def send_reports_now(self) -> None:
        """Sends reports at once. Call when peers need to know of a change."""
        self._send_reports(urgent=True)

    def _send_reports(self, *, urgent: bool) -> None:
        self._schedule_reports(REPORT_INTERVAL_S)
        try:
            for outgoing in self._build_reports(urgent=urgent):
                self._send_frame(outgoing.addresses, outgoing.messages)
        except Exception:
            # Callers report changes of their own, which have taken effect.
            events.log_failure(LOG, events.TASK_FAILED, step="send reports")

    def _schedule_reports(self, pause_s: float) -> None:
        loop = asyncio.get_running_loop()
        if self._timer is not None:
            self._timer.cancel()
        self._timer = loop.call_later(
            pause_s, lambda: self._send_reports(urgent=False)
        )


@functools.lru_cache(maxsize=4096)
def _parse_destination(address: str) -> tuple[str, int]:
    """Parses the address of a peer.

    The event loop closes the socket that serves all peers if it is given an
    address that no socket accepts.

    Raises:
        CodecError: The address is not in the form "IP:port".
    """
    step = "send datagram"
    host, port = parse_address(address, step=step, peer=address)
    if not is_ip_address(host):
        reason = f"{shown(address)} is not in the form IP:port"
        raise CodecError(reason, step=step, peer=address)
    return host, port
