"""Listening socket for callers and the connections accepted on it."""

import asyncio
import contextlib
import logging
import socket
from collections.abc import Callable
from typing import NamedTuple, Protocol

from chervilwall import events
from chervilwall.limit_history import LimitHistory
from chervilwall.protocol import Metrics, WireFormat

from chervilwall_router.edge.caller_bounds import CallerBounds
from chervilwall_router.edge.caller_closes import CallerCloseLog
from chervilwall_router.edge.caller_connection import CallerConnection
from chervilwall_router.edge.caller_context import (
    ConnectionContext,
    RequestHandler,
)

LOG = logging.getLogger(__name__)
SWEEP_INTERVAL_S = 0.5
# Maximum number of connections accepted in one iteration of the event loop.
MAX_ACCEPTS_PER_WAKEUP = 16
# Delay before accepting again when file descriptors or memory run out.
ACCEPT_BACKOFF_S = 0.1


_NO_ROOM_RESPONSE = (
    b"HTTP/1.1 503 Service Unavailable\r\nRetry-After: 1\r\n"
    b"Connection: close\r\nContent-Length: 0\r\n\r\n"
)


class ConnectionRelays(Protocol):
    """Relay connections of callers to other routers."""

    def offer(self, sock: socket.socket) -> bool:
        """Returns whether an accepted socket was taken over to be relayed."""
        ...

    def count(self) -> int:
        """Returns the number of open connections that were taken over."""
        ...


class IngressStats(NamedTuple):
    """Numbers of open connections and requests of callers.

    Args:
        connections (int): Open connections, except those being accepted.
            Relayed ones are included.
        connecting (int): Connections being accepted.
        requests (int): Requests being served.
        unsent_connections (int): Connections whose write buffer holds bytes.
    """

    connections: int
    connecting: int
    requests: int
    unsent_connections: int


class Ingress:
    """Accept connections of callers and serve HTTP on them.

    Args:
        handler (RequestHandler): Serves the requests.
        wire (WireFormat): Decodes the heads of requests.
        clock (Callable): Returns the monotonic time.
        metrics (Metrics): Counts the connections that are closed here.
        bounds (CallerBounds): Bounds the memory and the descriptors of all
            connections.
        receive_buffer_bytes (int): Bytes that the kernel may receive on a
            connection before they are read.

    Attributes:
        relays (ConnectionRelays | None): Relays connections while this host is
            overloaded. Defaults to None, for none.
    """

    def __init__(
        self,
        handler: RequestHandler,
        wire: WireFormat,
        clock: Callable[[], float],
        metrics: Metrics,
        bounds: CallerBounds,
        receive_buffer_bytes: int,
    ) -> None:
        self._bounds = bounds
        self._receive_buffer_bytes = receive_buffer_bytes
        self.is_shutting_down = False
        self.relays: ConnectionRelays | None = None
        self.request_tasks: set[asyncio.Task[None]] = set()
        self._connections: set[CallerConnection] = set()
        self._context = ConnectionContext(
            handler,
            wire,
            clock,
            lambda: self.is_shutting_down,
            self._connections,
            self.request_tasks,
            CallerCloseLog(metrics),
            bounds,
        )
        self._limits = LimitHistory(handler.limits())
        self._listener: socket.socket | None = None
        self._connect_tasks: set[asyncio.Task[None]] = set()

    def __repr__(self) -> str:
        return f"Ingress(connections={len(self._connections)})"

    def stats(self) -> IngressStats:
        """Returns the current numbers of connections and requests."""
        unsent_connections = sum(
            conn.has_unsent_data() for conn in self._connections
        )
        relayed = self.relays.count() if self.relays is not None else 0
        return IngressStats(
            len(self._connections) + relayed,
            len(self._connect_tasks),
            len(self.request_tasks),
            unsent_connections,
        )

    def listen(self, host: str, port: int, *, backlog: int) -> None:
        """Starts accepting connections."""
        loop = asyncio.get_running_loop()
        self._listener = socket.create_server((host, port), backlog=backlog)
        # Accepted connections inherit it.
        self._listener.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, self._receive_buffer_bytes
        )
        self._listener.setblocking(False)
        loop.add_reader(self._listener, self._accept)
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)

    @property
    def address(self) -> tuple[str, int]:
        """Host and port of the listening socket."""
        assert self._listener is not None
        host, port = self._listener.getsockname()
        return host, port

    @property
    def context(self) -> ConnectionContext:
        """What all connections of callers share."""
        return self._context

    def update_limits(self) -> None:
        """Notes the limits in force; called after each change of them."""
        context = self._context
        self._limits.update(context.handler.limits(), context.clock())

    def accept_pending(self) -> None:
        """Accepts all connections that callers have opened.

        The kernel resets those that are pending when the listener closes.
        """
        while self._accept(may_pause=False):
            pass

    def stop(self) -> None:
        """Stops accepting connections.

        Open connections stay, but are no longer closed at their timeouts.
        """
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener)
            self._listener.close()
            self._listener = None

    def close_idle(self) -> None:
        """Closes the connections that carry no request, as the router stops.

        Pauses of the others still end in time.
        """
        self._bounds.check()
        for conn in list(self._connections):
            conn.close_if_idle()

    def _accept(self, *, may_pause: bool = True) -> bool:
        """Accepts up to `MAX_ACCEPTS_PER_WAKEUP` pending connections.

        The event loop's own server accepts one connection per iteration. With
        it, callers of a busy host would time out before they are accepted.

        Args:
            may_pause (bool): Whether to wait for descriptors that are about to
                be free. Defaults to True.

        Returns:
            Whether more may be pending.
        """
        for _ in range(MAX_ACCEPTS_PER_WAKEUP):
            if self._listener is None:
                return False
            has_room = self._has_room()
            if may_pause and not has_room and self._bounds.awaits_room():
                self._pause_accepting(self._listener)
                return False
            try:
                sock, _ = self._listener.accept()
            except (BlockingIOError, InterruptedError, ConnectionAbortedError):
                return False
            except OSError as exc:
                events.log_event(LOG, events.ACCEPT_FAILED, reason=exc)
                self._pause_accepting(self._listener)
                return False
            sock.setblocking(False)
            if not has_room:
                self._refuse_connection(sock)
            elif self.is_shutting_down or not self._offer(sock):
                self.serve(sock)
        return True

    def _offer(self, sock: socket.socket) -> bool:
        return self.relays is not None and self.relays.offer(sock)

    def serve(self, sock: socket.socket) -> None:
        """Serves an accepted socket on this host."""
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._connect(sock))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    def _refuse_connection(self, sock: socket.socket) -> None:
        """Closes a connection for which there is no descriptor.

        Its caller learns more than from a connection that is never accepted.
        """
        self._bounds.count_unserved()
        # The caller may have left.
        with contextlib.suppress(OSError):
            sock.send(_NO_ROOM_RESPONSE)
        sock.close()

    def _has_room(self) -> bool:
        """Returns whether a connection may be accepted, closing others."""
        return self._bounds.make_room(
            self._connections,
            len(self._connections) + len(self._connect_tasks),
            len(self.request_tasks),
        )

    def _pause_accepting(self, listener: socket.socket) -> None:
        """Pauses accepting while descriptors or memory run out."""
        loop = asyncio.get_running_loop()
        loop.remove_reader(listener)
        loop.call_later(ACCEPT_BACKOFF_S, self._resume_accepting)

    def _resume_accepting(self) -> None:
        if self._listener is not None:
            loop = asyncio.get_running_loop()
            loop.add_reader(self._listener, self._accept)

    async def _connect(self, sock: socket.socket) -> None:
        try:
            loop = asyncio.get_running_loop()
            await loop.connect_accepted_socket(
                lambda: CallerConnection(self._context), sock
            )
        except OSError as exc:
            LOG.debug(
                "caller left while being accepted, socket closed: %s",
                exc,
            )
            sock.close()

    def _sweep(self) -> None:
        """Ends long pauses, and connections whose callers exceed a timeout.

        The latter only until stop() is called.
        """
        self._bounds.check()
        if self._listener is None and not self._connections:
            return
        loop = asyncio.get_running_loop()
        loop.call_later(SWEEP_INTERVAL_S, self._sweep)
        if self._listener is None:
            return
        self.update_limits()
        now = self._context.clock()
        for conn in list(self._connections):
            conn.close_if_timed_out(self._limits, now)
        self._context.closes.log_idle(self._limits.since(now).idle_timeout_s)
