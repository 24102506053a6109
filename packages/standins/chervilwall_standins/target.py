"""Stand-in target with slots, streamed tokens and injected faults.

It is for the routers outside `edge`; `users.target` is for edge routers.
"""

import asyncio
import json
import logging
import time
from collections import Counter, deque
from typing import Any

import msgspec
from tornado.iostream import StreamClosedError
from tornado.web import Application, RequestHandler

LOG = logging.getLogger(__name__)
# A request whose body contains one of these markers triggers the fault.
CRASH_MARKER = "crash-this-target"
HANG_MARKER = "hang-this-target"
CUT_MARKER = "cut-this-answer"
LOAD_REPORT_LAG_S = 0.5
TOKENS_HEADER = "X-Tokens"
# Carries the label under which the target counts the request.
REQUEST_HEADER = "X-Request"
CRASH_DOWNTIME_S = 1.5


class TargetSettings(msgspec.Struct):
    """Settings of a stand-in target.

    Args:
        name (str): Name of the target, included in unstreamed responses.
        slots (int): Number of concurrent requests; further ones are queued.
        token_s (float): Seconds to generate a token.
        checks_fencing (bool): Whether orders, which are requests of routers to
            load a model, are refused if their fencing number is lower than an
            earlier one.
        load_lag_s (float): Age of the load that is reported, in seconds.
    """

    name: str
    slots: int = 8
    token_s: float = 0.01
    checks_fencing: bool = False
    load_lag_s: float = LOAD_REPORT_LAG_S


class TargetState:
    """Hold the state of a stand-in target, shared by its handlers.

    Args:
        cfg (TargetSettings): Settings of the target.

    Attributes:
        slots (Semaphore): Free slots.
        active (int): Number of running requests, queued ones excluded.
        max_active (int): Highest number of running requests so far.
        leaving (bool): Whether the load report says that the target is leaving
            and takes no new requests.
        model (str): Model of the last accepted order.
        max_fencing (int): Highest fencing number of the accepted orders.
        down_until (float): Monotonic time until which new requests are cut off.
        orders (list): Accepted orders in their sequence.
        runs (Counter): Number of started requests by label.
        idempotency_keys (Counter): Number of started requests by key.
        completed (Counter): Number of completed requests by label.
        accepted_at (list): Unix time of the start of each request.
        open_handlers (set): Handlers of unfinished requests.
    """

    def __init__(self, cfg: TargetSettings) -> None:
        self.cfg = cfg
        self.slots = asyncio.Semaphore(cfg.slots)
        self.active = 0
        self.max_active = 0
        self.leaving = False
        self.model = ""
        self.max_fencing = 0
        self.down_until = 0.0
        self.orders: list[dict[str, Any]] = []
        self.runs: Counter[str] = Counter()
        self.idempotency_keys: Counter[str] = Counter()
        self.completed: Counter[str] = Counter()
        self.accepted_at: list[float] = []
        self.open_handlers: set[RequestHandler] = set()
        self._active_history: deque[tuple[float, int]] = deque(
            [(0.0, 0)], maxlen=4096
        )

    def adjust_active(self, change: int) -> None:
        """Adds a change to the number of running requests."""
        self.active += change
        self.max_active = max(self.max_active, self.active)
        self._active_history.append((time.monotonic(), self.active))

    def reported_active(self) -> int:
        """Returns the number of running requests `load_lag_s` seconds ago."""
        cutoff = time.monotonic() - self.cfg.load_lag_s
        while (
            len(self._active_history) > 1
            and self._active_history[1][0] <= cutoff
        ):
            self._active_history.popleft()
        return self._active_history[0][1]

    def crash(self) -> None:
        """Closes connections with a running request, and any used while down.

        The target is down for `CRASH_DOWNTIME_S`.
        """
        self.down_until = time.monotonic() + CRASH_DOWNTIME_S
        for handler in list(self.open_handlers):
            drop_connection(handler)


def drop_connection(handler: RequestHandler) -> None:
    """Closes the connection of a request without finishing its response."""
    handler._auto_finish = False
    handler.request.connection.stream.close()  # type: ignore[union-attr]


class _Handler(RequestHandler):
    """Close connections while the target is down."""

    def initialize(self, state: TargetState) -> None:
        self.state = state

    def prepare(self) -> None:
        if time.monotonic() < self.state.down_until:
            self._finished = True
            drop_connection(self)


class ServeHandler(_Handler):
    """Run a request and stream or send its response."""

    async def get(self) -> None:
        """Runs the request and sends its response."""
        await self._run()

    async def post(self) -> None:
        """Runs the request and sends its response."""
        await self._run()

    async def _run(self) -> None:
        state = self.state
        label = self.request.headers.get(REQUEST_HEADER, "")
        state.runs[label] += 1
        state.idempotency_keys[
            self.request.headers.get("Idempotency-Key", "")
        ] += 1
        state.accepted_at.append(time.time())
        state.open_handlers.add(self)
        try:
            async with state.slots:
                state.adjust_active(1)
                try:
                    await self._answer()
                    state.completed[label] += 1
                finally:
                    state.adjust_active(-1)
        except StreamClosedError as exc:
            LOG.debug("connection of request %r closed: %s", label, exc)
        finally:
            state.open_handlers.discard(self)

    async def _answer(self) -> None:
        """Sends the response, or triggers the fault that the body asks for."""
        body = self.request.body
        if CRASH_MARKER.encode() in body:
            self.state.crash()
            raise StreamClosedError
        if HANG_MARKER.encode() in body:
            await asyncio.sleep(3600)
        tokens = int(self.request.headers.get(TOKENS_HEADER, "5"))
        cut_index = tokens // 2 if CUT_MARKER.encode() in body else -1
        if b'"stream":true' in body.replace(b" ", b""):
            await self._send_stream(tokens, cut_index)
        else:
            await self._send_json(tokens, cut_index)

    async def _send_stream(self, tokens: int, cut_index: int) -> None:
        label = self.request.headers.get(REQUEST_HEADER, "")
        self.set_header("Content-Type", "text/event-stream")
        for index in range(tokens):
            await self._generate_token()
            if index == cut_index:
                drop_connection(self)
                raise StreamClosedError
            delta = {"choices": [{"delta": {"content": f"{label}:{index} "}}]}
            self.write(f"data: {json.dumps(delta)}\n\n")
            await self.flush()
        self.write(f"data: {json.dumps({'usage': _usage(tokens)})}\n\n")
        self.write("data: [DONE]\n\n")

    async def _send_json(self, tokens: int, cut_index: int) -> None:
        for index in range(tokens):
            await self._generate_token()
            if index == cut_index:
                drop_connection(self)
                raise StreamClosedError
        label = self.request.headers.get(REQUEST_HEADER, "")
        response = {"label": label, "target": self.state.cfg.name}
        self.set_header("Content-Type", "application/json")
        self.write(json.dumps({**response, "usage": _usage(tokens)}))

    async def _generate_token(self) -> None:
        """Simulates the generation of a token.

        Raises:
            StreamClosedError: If the client has closed the connection.
        """
        await asyncio.sleep(self.state.cfg.token_s)
        if self.request.connection.stream.closed():  # type: ignore[union-attr]
            raise StreamClosedError


class LoadHandler(_Handler):
    """Report the load with a delay."""

    def get(self) -> None:
        """Sends the delayed load, the model and the `leaving` flag."""
        state = self.state
        load = {
            "active": state.reported_active(),
            "leaving": state.leaving,
            "model": state.model,
        }
        self.finish(json.dumps(load))


class OrdersHandler(_Handler):
    """Handle orders to load a model."""

    def post(self) -> None:
        """Loads the model that an order names.

        The fencing number of an order rises with each new scheduler.

        With `checks_fencing`, an order whose fencing number is lower than an
        earlier one is refused with status 412.
        """
        order = json.loads(self.request.body)
        state = self.state
        if state.cfg.checks_fencing and order["fencing"] < state.max_fencing:
            self.set_status(412)
            return
        state.max_fencing = max(state.max_fencing, order["fencing"])
        state.model = order["model"]
        state.orders.append(order)


class AdminHandler(_Handler):
    """Show the state and inject faults, for tests only."""

    def prepare(self) -> None:
        """Does nothing, so that it answers even while the target is down."""

    def get(self) -> None:
        """Sends counters and the state of the target."""
        state = self.state
        status = {
            "runs": state.runs,
            "keys": state.idempotency_keys,
            "ended": state.completed,
            "active": state.active,
            "most_active": state.max_active,
            "last_accepted_at": max(state.accepted_at, default=0.0),
            "model": state.model,
            "orders": state.orders,
        }
        self.finish(json.dumps(status))

    def post(self) -> None:
        """Sets the `leaving` flag and the token time, or crashes the target."""
        body = json.loads(self.request.body)
        state = self.state
        state.leaving = body.get("leaving", state.leaving)
        state.cfg.token_s = body.get("token_s", state.cfg.token_s)
        if body.get("crash"):
            state.crash()


def make_target(state: TargetState) -> Application:
    """Returns the web application of a stand-in target."""
    context = {"state": state}
    return Application(
        [
            ("/load", LoadHandler, context),
            ("/orders", OrdersHandler, context),
            ("/admin", AdminHandler, context),
            (".*", ServeHandler, context),
        ]
    )


def _usage(tokens: int) -> dict[str, int]:
    return {"prompt_tokens": 10, "completion_tokens": tokens}
