"""Copying of bytes between the connection of a caller and one to a peer."""

import asyncio
import contextlib
import socket
from collections.abc import Callable
from typing import cast

from chervilwall_router.edge._dial import (
    SLOW_READER_ACK_TIMEOUT_MS,
    set_reset_on_close,
    set_tcp_options,
)

# Size of one read. uvloop reads up to 256 kB at once otherwise, all of which
# would have to be buffered for a slow reader.
READ_BYTES = 1 << 15
# Unsent bytes at which reading from the other side pauses.
MAX_UNSENT_BYTES = 1 << 16
# Time from the end of the peer's bytes until the connection of the caller is
# closed. The peer discards what a caller sends for up to 2 s after its last
# response, so that a close does not reset the connection.
LINGER_S = 2.5
# Bytes are taken out at once, so all connections share one buffer.
_READ_BUFFER = memoryview(bytearray(READ_BYTES))


def set_peer_options(sock: socket.socket, receive_buffer_bytes: int) -> None:
    """Sets limits of a connection between peers.

    Args:
        sock (socket.socket): The connection.
        receive_buffer_bytes (int): Bytes that the kernel may receive before
            they are read.
    """
    # Fails only on a connection that has already ended.
    with contextlib.suppress(OSError):
        sock.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer_bytes
        )
        # A receiver leaves bytes unread that a caller sends ahead of a long
        # response, and a sender those of a response that its caller reads
        # slowly.
        option = getattr(socket, "TCP_USER_TIMEOUT", None)
        if option is not None:
            sock.setsockopt(
                socket.IPPROTO_TCP, option, SLOW_READER_ACK_TIMEOUT_MS
            )


class RelaySide(asyncio.BufferedProtocol):
    """Read one connection of a relay and write to the other.

    Args:
        relay (CopyingRelay): The relay.
    """

    def __init__(self, relay: "CopyingRelay") -> None:
        self._relay = relay
        self.other: RelaySide = self
        self.transport: asyncio.Transport | None = None
        # Whether the end of the bytes from this side was received.
        self.has_ended = False

    def __repr__(self) -> str:
        return f"RelaySide(has_ended={self.has_ended})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets its options."""
        # Transports of uvloop do not subclass asyncio.Transport.
        self.transport = tcp = cast(asyncio.Transport, transport)
        tcp.set_write_buffer_limits(high=MAX_UNSENT_BYTES)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns the buffer for the next read."""
        return _READ_BUFFER

    def buffer_updated(self, nbytes: int) -> None:
        """Copies what was read to the other side."""
        transport = self.other.transport
        if transport is None or transport.is_closing():
            return
        self._relay.copied_bytes += nbytes
        transport.write(bytes(_READ_BUFFER[:nbytes]))

    def eof_received(self) -> bool:
        """Passes on the end of the bytes; this side can still be written."""
        self.has_ended = True
        self._relay.pass_on_end(self)
        return True

    def pause_writing(self) -> None:
        """Stops reading from the other side while this one reads slowly."""
        if self.other.is_open() and not self.other.has_ended:
            assert self.other.transport is not None
            self.other.transport.pause_reading()
        self._relay.record_unsent()

    def resume_writing(self) -> None:
        """Reads from the other side again."""
        if self.other.is_open() and not self.other.has_ended:
            assert self.other.transport is not None
            self.other.transport.resume_reading()
        self._relay.record_unsent()
        self._relay.on_sent(self)

    def connection_lost(self, exc: Exception | None) -> None:
        """Ends the other side as well."""
        self.transport = None
        self._relay.on_lost(self, exc)

    def is_open(self) -> bool:
        """Returns whether the connection is open and not closing."""
        return self.transport is not None and not self.transport.is_closing()

    def unsent_bytes(self) -> int:
        """Returns the bytes in the write buffer."""
        transport = self.transport
        return transport.get_write_buffer_size() if transport else 0

    def has_unsent_data(self) -> bool:
        """Returns whether the write buffer holds bytes."""
        return self.unsent_bytes() > 0

    def close(self) -> None:
        """Closes the connection after its unsent bytes."""
        if self.is_open():
            assert self.transport is not None
            self.transport.close()

    def reset(self) -> None:
        """Resets the connection."""
        if self.transport is not None:
            sock = self.transport.get_extra_info("socket")
            set_reset_on_close(sock, True)
            self.transport.abort()


class _CallerSide(RelaySide):
    """Read and write the connection of a caller."""

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Sets the connection to be reset unless the peer ends it.

        Only the peer knows whether a response ends with its connection. If
        this process ended, an orderly close would make a part of such a
        response look complete.
        """
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        set_tcp_options(sock, SLOW_READER_ACK_TIMEOUT_MS)
        set_reset_on_close(sock, True)


class CopyingRelay:
    """Copy bytes in both directions until both connections have ended.

    Ends of bytes are passed on as such, and resets as resets.

    Args:
        on_end (Callable): Called once, when both connections have ended.
        on_unsent (Callable): Called with the unsent bytes of both connections
            as one of them begins or ceases to have too many.

    Attributes:
        caller (RelaySide): Connection of the caller.
        peer (RelaySide): Connection to the peer.
        copied_bytes (int): Bytes copied in both directions.
    """

    def __init__(
        self,
        on_end: Callable[["CopyingRelay"], None],
        on_unsent: Callable[[int], None],
    ) -> None:
        self._on_end = on_end
        self._on_unsent = on_unsent
        self._linger_timer: asyncio.TimerHandle | None = None
        self._ends_caller_when_sent = False
        self.copied_bytes = 0
        self.caller: RelaySide = _CallerSide(self)
        self.peer: RelaySide = RelaySide(self)
        self.join(self.peer)

    def __repr__(self) -> str:
        return f"CopyingRelay(copied_bytes={self.copied_bytes})"

    def join(self, peer: RelaySide) -> None:
        """Sets the connection to the peer."""
        self.peer = peer
        self.caller.other, peer.other = peer, self.caller

    def reset(self) -> None:
        """Resets both connections."""
        self.peer.reset()
        self.caller.reset()

    def pass_on_end(self, side: RelaySide) -> None:
        """Passes on the end of the bytes from one side."""
        if side is self.peer:
            self._end_caller()
        elif not self.peer.has_ended:
            if self.peer.is_open():
                assert self.peer.transport is not None
                self.peer.transport.write_eof()
        elif not self._ends_caller_when_sent:
            self._close()

    def record_unsent(self) -> None:
        """Reports the unsent bytes of both connections."""
        unsent = self.caller.unsent_bytes() + self.peer.unsent_bytes()
        self._on_unsent(unsent)

    def on_sent(self, side: RelaySide) -> None:
        """Called when the write buffer of a side has been sent."""
        if side is self.caller and self._ends_caller_when_sent:
            self._end_caller()

    def on_lost(self, side: RelaySide, exc: Exception | None) -> None:
        """Ends the other side of a connection that has ended."""
        other = side.other
        if other.transport is None:
            self._finish()
        elif side is self.peer and side.has_ended:
            # The caller has everything that the peer sent, or will get it.
            self._end_caller()
        elif side is self.caller and exc is None and side.has_ended:
            other.close()
        else:
            other.reset()

    def _end_caller(self) -> None:
        """Ends the bytes to the caller once all of them are sent.

        Until then the connection is reset if this process ends.
        """
        caller = self.caller
        if not caller.is_open():
            return
        assert caller.transport is not None
        if caller.has_unsent_data():
            self._ends_caller_when_sent = True
            caller.transport.set_write_buffer_limits(high=0)
            return
        self._ends_caller_when_sent = False
        sock = caller.transport.get_extra_info("socket")
        set_reset_on_close(sock, False)
        if caller.has_ended:
            self._close()
        elif self._linger_timer is None:
            caller.transport.write_eof()
            loop = asyncio.get_running_loop()
            self._linger_timer = loop.call_later(LINGER_S, self._close)

    def _close(self) -> None:
        self.peer.close()
        self.caller.close()

    def _finish(self) -> None:
        if self._linger_timer is not None:
            self._linger_timer.cancel()
        self._on_end(self)
