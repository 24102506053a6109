"""What connections of callers share, and the requests that they carry."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import TYPE_CHECKING, NamedTuple, Protocol

from chervilwall.http_messages import InboundRequest
from chervilwall.protocol import WireFormat
from chervilwall.routing import CallerLimits

from chervilwall_router.edge.caller_bounds import CallerBounds
from chervilwall_router.edge.caller_closes import CallerCloseLog
from chervilwall_router.edge.caller_response import CallerResponse
from chervilwall_router.problem import Problem

if TYPE_CHECKING:
    from chervilwall_router.edge.caller_connection import CallerConnection


# Memory of the objects of a request that was read, besides its body.
QUEUED_REQUEST_BYTES = 4096


class RequestHandler(Protocol):
    """Serve the requests of callers."""

    def limits(self) -> CallerLimits:
        """Returns the current limits for callers."""
        ...

    def may_cancel(self, req: InboundRequest) -> bool:
        """Returns whether to cancel a request when its caller disconnects."""
        ...

    def handle(
        self, req: InboundRequest, answer: CallerResponse
    ) -> Awaitable[None]:
        """Serves a request and writes its response."""
        ...


class ConnectionContext(NamedTuple):
    """Objects that all connections of callers share.

    Args:
        handler (RequestHandler): Serves the requests.
        wire (WireFormat): Decodes the heads of requests.
        clock (Callable): Returns the monotonic time.
        is_shutting_down (Callable): Returns whether the router shuts down, so
            that connections close after their current response.
        connections (set): All open connections.
        tasks (set): Tasks of the requests being served.
        closes (CallerCloseLog): Records the connections that are closed here.
        bounds (CallerBounds): Bounds the memory of all connections.
    """

    handler: RequestHandler
    wire: WireFormat
    clock: Callable[[], float]
    is_shutting_down: Callable[[], bool]
    connections: "set[CallerConnection]"
    tasks: "set[asyncio.Task[None]]"
    closes: CallerCloseLog
    bounds: CallerBounds


class ActiveRequest(NamedTuple):
    """Request that is being served.

    Args:
        req (InboundRequest): The request.
        task (asyncio.Task): Serves it.
        may_cancel (bool): Whether to cancel it when its caller disconnects, by
            the configuration under which it began.
        answer (CallerResponse): The response to it.
        held_bytes (int): Memory that it takes.
    """

    req: InboundRequest
    task: "asyncio.Task[None]"
    may_cancel: bool
    answer: CallerResponse
    held_bytes: int = 0

    def on_disconnect(self) -> None:
        """Cancels the request if it may be cancelled or has not run."""
        if self.may_cancel or not self.answer.may_have_run:
            self.task.cancel()


class QueuedRequest(NamedTuple):
    """Request that waits to be served, or the problem it is refused for."""

    req: InboundRequest | Problem
    answer: CallerResponse

    @property
    def held_bytes(self) -> int:
        """Memory that it takes."""
        held = QUEUED_REQUEST_BYTES
        if isinstance(self.req, InboundRequest):
            held += len(self.req.body) + len(self.req.packed_headers)
        return held
