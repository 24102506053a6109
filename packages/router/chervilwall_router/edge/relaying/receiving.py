"""Receiving side: serves the connections that overloaded peers relay."""

import asyncio
import logging
from collections import Counter
from collections.abc import Callable
from typing import NamedTuple, cast

from chervilwall import events
from chervilwall.codec import FrameCodec
from chervilwall.connection_relay import ConnectionRelay
from chervilwall.errors import CodecError
from chervilwall.protocol import Metrics

from chervilwall_router.edge.caller_closes import CloseReason
from chervilwall_router.edge.caller_connection import CallerConnection
from chervilwall_router.edge.caller_context import ConnectionContext
from chervilwall_router.edge.relaying.copying import set_peer_options
from chervilwall_router.edge.relaying.preamble import (
    ACCEPTED,
    REFUSED,
    Offer,
    decode_preamble,
    preamble_length,
)

LOG = logging.getLogger(__name__)
LISTEN_BACKLOG = 128
# Time for a peer to send its preamble. It comes with the connection, unless
# the peer is lost.
PREAMBLE_TIMEOUT_S = 1.0
# Connections whose preamble is incomplete. Further ones are closed.
MAX_PENDING = 64
# Refused preambles that are logged; further ones are only counted until one is
# valid.
MAX_LOGGED_INVALID = 20
# Bytes that are sent without waiting for the end of the time to hold them back.
MAX_HELD_BYTES = 1 << 14


class ReceiverParts(NamedTuple):
    """Dependencies of a RelayReceiver.

    Args:
        name (str): Name of this router.
        decision (ConnectionRelay): Decides whether this host accepts.
        codec (Callable): Returns the codec of the fleet's key, None until the
            key is known.
        is_ready (Callable): Returns whether this router accepts callers.
        is_stopping (Callable): Returns whether the peer of a name has announced
            that it stops.
        context (ConnectionContext): What all connections of callers share.
        metrics (Metrics): Counts accepted and refused connections.
        hold_s (float): Longest time in seconds for which bytes of a response
            are held back to be sent together.
        receive_buffer_bytes (int): Bytes that the kernel may receive on a
            connection before they are read.
    """

    name: str
    decision: ConnectionRelay
    codec: Callable[[], FrameCodec | None]
    is_ready: Callable[[], bool]
    is_stopping: Callable[[str], bool]
    context: ConnectionContext
    metrics: Metrics
    hold_s: float
    receive_buffer_bytes: int


class RelayReceiver:
    """Accept connections that peers relay, and serve them as callers'.

    Args:
        parts (ReceiverParts): Dependencies.

    Attributes:
        connections (dict): Name of the sender of each open connection.
        pending (int): Connections without a complete preamble.
    """

    def __init__(self, parts: ReceiverParts) -> None:
        self._parts = parts
        self._server: asyncio.Server | None = None
        self._invalid = 0
        self.connections: dict[RelayedCallerConnection, str] = {}
        self.pending = 0

    def __repr__(self) -> str:
        return f"RelayReceiver(connections={len(self.connections)})"

    @property
    def is_listening(self) -> bool:
        """Whether connections of peers are accepted."""
        return self._server is not None

    async def listen(self, host: str, port: int) -> None:
        """Starts listening.

        Raises:
            OSError: The address is not free.
        """
        loop = asyncio.get_running_loop()
        self._server = await loop.create_server(
            lambda: _PreambleReader(self), host, port, backlog=LISTEN_BACKLOG
        )

    def close(self) -> None:
        """Stops listening. Accepted connections stay open."""
        if self._server is not None:
            self._server.close()
            self._server = None

    def close_idle_of_stopping(self) -> None:
        """Closes connections without a request whose senders are stopping.

        The sender cannot tell whether a connection carries a request.
        """
        senders = Counter(self.connections.values())
        stopping = {s for s in senders if self._parts.is_stopping(s)}
        if not stopping:
            return
        for conn, sender in list(self.connections.items()):
            if sender in stopping:
                conn.close_if_idle()

    def judge(self, data: bytes) -> Offer | None:
        """Returns the offer of an accepted connection, None to refuse it.

        Args:
            data (bytes): A complete preamble.
        """
        parts = self._parts
        codec = parts.codec()
        if codec is None:
            parts.metrics.count("relay_rejected")
            return None
        try:
            offer = decode_preamble(codec, data)
        except CodecError as exc:
            self.record_invalid(exc)
            return None
        self._invalid = 0
        if not self._accepts(offer):
            parts.metrics.count("relay_rejected")
            return None
        return offer

    def _accepts(self, offer: Offer) -> bool:
        parts, context = self._parts, self._parts.context
        return (
            offer.preamble.receiver == parts.name
            and parts.is_ready()
            and parts.decision.accepts(len(self.connections))
            # No connection is closed here to accept that of another host.
            and context.bounds.has_spare_room(
                len(context.connections), len(context.tasks)
            )
        )

    def record_invalid(self, exc: CodecError) -> None:
        """Logs and counts a preamble that cannot be read."""
        self._invalid += 1
        self._parts.metrics.count("relay_invalid")
        if self._invalid <= MAX_LOGGED_INVALID:
            events.log_event(
                LOG, events.RELAY_PREAMBLE_REFUSED, reason=exc.reason
            )

    def adopt(self, transport: asyncio.Transport, offer: Offer) -> None:
        """Serves a connection as if its caller had connected here."""
        base, sender = self._parts.context, offer.sender
        context = base._replace(
            is_shutting_down=lambda: (
                base.is_shutting_down() or self._parts.is_stopping(sender)
            )
        )
        hold_s = self._parts.hold_s
        conn = RelayedCallerConnection(
            context, self, hold_s, offer.preamble.caller
        )
        LOG.debug("connection of %s accepted from %s", conn.caller, sender)
        self.connections[conn] = sender
        self._parts.metrics.count("relay_received")
        transport.set_protocol(conn)
        conn.connection_made(transport)
        set_peer_options(
            transport.get_extra_info("socket"),
            self._parts.receive_buffer_bytes,
        )


class RelayedCallerConnection(CallerConnection):
    """Serve a caller whose connection a peer relays.

    Each write costs the overloaded peer a read and a write. So bytes that
    follow others within `hold_s` are held back and sent together at its end.

    Args:
        context (ConnectionContext): Objects that all connections share.
        receiver (RelayReceiver): Tracks the connection.
        hold_s (float): Longest time in seconds for which bytes are held back.
        caller (str): "IP:port" of the caller, as the peer stated it. The
            address of the transport is that of the peer.
    """

    def __init__(
        self,
        context: ConnectionContext,
        receiver: RelayReceiver,
        hold_s: float,
        caller: str,
    ) -> None:
        super().__init__(context)
        self.caller = caller
        self._receiver = receiver
        self._hold_s = hold_s
        self._held: list[bytes] = []
        self._held_bytes = 0
        self._last_sent_at = float("-inf")
        self._send_timer: asyncio.TimerHandle | None = None

    def write(self, data: bytes) -> "asyncio.Future[None] | None":
        """Sends bytes at once, or with others if some were just sent."""
        loop = asyncio.get_running_loop()
        now = loop.time()
        if self._send_timer is None:
            if now - self._last_sent_at >= self._hold_s:
                self._last_sent_at = now
                return super().write(data)
            self._send_timer = loop.call_at(
                self._last_sent_at + self._hold_s, self._send_held
            )
        self._held.append(data)
        self._held_bytes += len(data)
        if self._held_bytes >= MAX_HELD_BYTES:
            self._send_held()
        return self._drained

    def _send_held(self) -> None:
        if self._send_timer is None:
            return
        self._send_timer.cancel()
        self._send_timer = None
        self._last_sent_at = asyncio.get_running_loop().time()
        data = b"".join(self._held)
        self._held.clear()
        self._held_bytes = 0
        super().write(data)

    def has_unsent_data(self) -> bool:
        """Returns whether bytes are held back or in the write buffer."""
        return bool(self._held) or super().has_unsent_data()

    def end_answer(self, *, close: bool) -> None:
        """Ends a response after all of its bytes.

        The first bytes of the next one are not held back.
        """
        self._send_held()
        self._last_sent_at = float("-inf")
        super().end_answer(close=close)

    def disconnect(self, reason: CloseReason, *, abort: bool) -> None:
        """Closes the connection after what was written so far."""
        self._send_held()
        super().disconnect(reason, abort=abort)

    def caller_address(self) -> str:
        """Returns the address of the caller, and not that of the sender."""
        return self.caller.rpartition(":")[0]

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the connection as that of any other caller."""
        if self._send_timer is not None:
            self._send_timer.cancel()
        self._receiver.connections.pop(self, None)
        super().connection_lost(exc)


class _PreambleReader(asyncio.Protocol):
    """Read the preamble of a relayed connection and answer it."""

    def __init__(self, receiver: RelayReceiver) -> None:
        self._receiver = receiver
        self._transport: asyncio.Transport | None = None
        self._data = b""
        self._timer: asyncio.TimerHandle | None = None

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Starts the time limit of the preamble."""
        self._transport = tcp = cast(asyncio.Transport, transport)
        if self._receiver.pending >= MAX_PENDING:
            tcp.abort()
            return
        self._receiver.pending += 1
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(PREAMBLE_TIMEOUT_S, tcp.abort)

    def data_received(self, data: bytes) -> None:
        """Answers the preamble once it is complete."""
        transport = self._transport
        if transport is None or transport.is_closing():
            return
        self._data += data
        offer: Offer | None = None
        try:
            length = preamble_length(self._data)
            if length is None or len(self._data) < length:
                return
            if len(self._data) == length:
                offer = self._receiver.judge(self._data)
        except CodecError as exc:
            self._receiver.record_invalid(exc)
        self._end()
        if offer is None:
            transport.write(REFUSED)
            transport.close()
            return
        transport.write(ACCEPTED)
        self._receiver.adopt(transport, offer)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the wait for the preamble."""
        self._end()

    def _end(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
            self._receiver.pending -= 1
