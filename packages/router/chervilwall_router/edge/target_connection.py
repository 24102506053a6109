"""TCP connection to a target, used by one request at a time."""

import asyncio
from collections import deque
from typing import Protocol, cast

from chervilwall.errors import DialError

from chervilwall_router.edge._dial import (
    has_ended,
    set_tcp_options,
    unacknowledged_bytes,
)
from chervilwall_router.settings import split_address

# Requests of a connection whose responses may still be repeated.
MAX_REQUEST_IDS = 8


class ConnectionHandler(Protocol):
    """Receive the data and the end of a connection."""

    def receive(self, data: bytes) -> None:
        """Handles received bytes."""
        ...

    def on_eof(self) -> bool:
        """Handles that the target closed its side without an error.

        Returns:
            Whether to keep the connection open; the handler closes it then.
        """
        ...

    def on_connection_lost(self, reason: str, *, clean: bool) -> None:
        """Handles the end of the connection.

        Args:
            reason (str): Why the connection ended.
            clean (bool): Whether the target closed it without an error.
        """
        ...


class TargetConnection(asyncio.Protocol):
    """Carry bytes between a target and the attached handler.

    Attributes:
        has_carried_request (bool): Whether a request was sent on it. If so, it
            may deliver responses to that request once more.
        request_ids (deque): Ids of the last requests that were sent on it.
    """

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._handler: ConnectionHandler | None = None
        self._has_received_eof = False
        self.has_carried_request = False
        self.request_ids: deque[str] = deque(maxlen=MAX_REQUEST_IDS)

    def __repr__(self) -> str:
        return f"TargetConnection(closed={self.closed()})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Stores the transport and sets the socket options."""
        # Transports of uvloop do not subclass asyncio.Transport.
        self._transport = tcp = cast(asyncio.Transport, transport)
        set_tcp_options(tcp.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Passes bytes on; closes the connection if no handler is attached."""
        if self._handler is None:
            self.close()
        else:
            self._handler.receive(data)

    def eof_received(self) -> bool:
        """Records that the target closed its side without an error.

        Returns:
            Whether the connection stays open.
        """
        self._has_received_eof = True
        return self._handler is not None and self._handler.on_eof()

    def connection_lost(self, exc: Exception | None) -> None:
        """Reports the end of the connection to the handler."""
        handler, self._handler = self._handler, None
        self._transport = None
        if handler is not None:
            clean = self._has_received_eof and exc is None
            handler.on_connection_lost(
                f"connection closed: {exc or 'by peer'}", clean=clean
            )

    def attach(self, handler: ConnectionHandler) -> None:
        """Passes what the connection receives to a handler from now on."""
        self._handler = handler

    def detach(self) -> None:
        """Removes the handler."""
        self._handler = None

    def write(self, data: bytes) -> None:
        """Sends bytes; drops them if the connection has ended."""
        self.has_carried_request = True
        if self._transport is not None:
            self._transport.write(data)

    def has_unsent_data(self) -> bool:
        """Returns whether the write buffer holds bytes."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def has_ended(self) -> bool:
        """Returns whether the connection has ended, as by a reset."""
        transport = self._transport
        if transport is None:
            return True
        return has_ended(transport.get_extra_info("socket"))

    def has_unacknowledged_data(self) -> bool:
        """Returns whether the target's host lacks some of what was sent."""
        transport = self._transport
        if transport is None or self.has_unsent_data():
            return True
        return unacknowledged_bytes(transport.get_extra_info("socket")) > 0

    def pause(self) -> None:
        """Pauses reading until `resume` is called."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Resumes reading."""
        if self._transport is not None:
            self._transport.resume_reading()

    def closed(self) -> bool:
        """Returns whether the connection has ended or is closing."""
        return self._transport is None or self._transport.is_closing()

    def close(self) -> None:
        """Closes the connection at once and drops unsent data."""
        if self._transport is not None:
            self._transport.abort()


async def dial_target(address: str, timeout_s: float) -> TargetConnection:
    """Opens a connection to a target.

    Args:
        address (str): "IP:port".
        timeout_s (float): Maximum time until the target accepts.

    Returns:
        The connection, without a handler.

    Raises:
        DialError: The connection failed or took longer than `timeout_s`.
    """
    loop = asyncio.get_running_loop()
    try:
        host, port = split_address(address)
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(TargetConnection, host, port)
    except (OSError, TimeoutError, ValueError, OverflowError) as exc:
        # An address that no socket accepts raises one of the last two.
        reason = str(exc) or type(exc).__name__
        raise DialError(
            reason,
            step="dial target",
            peer=address,
            refused=isinstance(exc, ConnectionRefusedError),
        ) from exc
    return conn
