"""A connection to a target, which carries one request at a time."""

import asyncio
from typing import Protocol, cast

from chervilwall.errors import DialError

from chervilwall_router.edge._dial import tune
from chervilwall_router.settings import split_address


class ConnectionUser(Protocol):
    """What has a request on a connection."""

    def receive(self, data: bytes) -> None:
        """Takes bytes that arrived."""
        ...

    def lose(self, reason: str, *, clean: bool) -> None:
        """Takes in that the connection has ended.

        Args:
            reason (str): Why.
            clean (bool): Whether the target ended it in order.
        """
        ...


class TargetConnection(asyncio.Protocol):
    """Carry bytes between a target and whoever uses the connection."""

    def __init__(self) -> None:
        self._transport: asyncio.Transport | None = None
        self._user: ConnectionUser | None = None
        self._ended_in_order = False

    def __repr__(self) -> str:
        return f"TargetConnection(closed={self.closed()})"

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Takes the transport."""
        # The transports of other loops are no subclasses.
        self._transport = tcp = cast(asyncio.Transport, transport)
        tune(tcp.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Hands bytes on; bytes that nobody asked for end the connection."""
        if self._user is None:
            self.close()
        else:
            self._user.receive(data)

    def eof_received(self) -> None:
        """Notes that the target has ended the connection in order."""
        self._ended_in_order = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Tells the user of the connection."""
        user, self._user = self._user, None
        self._transport = None
        if user is not None:
            clean = self._ended_in_order and exc is None
            user.lose(f"connection closed: {exc or 'by peer'}", clean=clean)

    def attach(self, user: ConnectionUser) -> None:
        """Gives the connection to a user."""
        self._user = user

    def detach(self) -> None:
        """Takes the connection from its user."""
        self._user = None

    def write(self, data: bytes) -> None:
        """Sends bytes."""
        if self._transport is not None:
            self._transport.write(data)

    def is_sending(self) -> bool:
        """Tells whether bytes have not left yet."""
        transport = self._transport
        return transport is not None and transport.get_write_buffer_size() > 0

    def pause(self) -> None:
        """Reads no more until it is resumed."""
        if self._transport is not None:
            self._transport.pause_reading()

    def resume(self) -> None:
        """Reads on."""
        if self._transport is not None:
            self._transport.resume_reading()

    def closed(self) -> bool:
        """Tells whether the connection has ended or is about to."""
        return self._transport is None or self._transport.is_closing()

    def close(self) -> None:
        """Ends the connection at once."""
        if self._transport is not None:
            self._transport.abort()


async def dial_target(address: str, timeout_s: float) -> TargetConnection:
    """Opens a connection.

    Args:
        address (str): "IP:port".
        timeout_s (float): Longest time to wait for it.

    Raises:
        DialError: It could not be opened.
    """
    loop = asyncio.get_running_loop()
    host, port = split_address(address)
    try:
        async with asyncio.timeout(timeout_s):
            _, conn = await loop.create_connection(TargetConnection, host, port)
    except (OSError, TimeoutError) as exc:
        reason = str(exc) or type(exc).__name__
        raise DialError(
            reason,
            step="dial target",
            peer=address,
            refused=isinstance(exc, ConnectionRefusedError),
        ) from exc
    return conn
