"""HTTP handlers for operators."""

import hmac
import time
from typing import Any, NamedTuple

import msgspec
from chervilwall.config import hash_key
from chervilwall.membership import Membership

from chervilwall_router.caller_server import ProblemHandler
from chervilwall_router.cell_host import CellHost
from chervilwall_router.config_watcher import ConfigWatcher
from chervilwall_router.holder import RequestHolder
from chervilwall_router.mesh import Mesh
from chervilwall_router.metrics import RouterMetrics
from chervilwall_router.pipeline import Pipeline
from chervilwall_router.problem import Problem
from chervilwall_router.settings import RouterSettings
from chervilwall_router.usage_counters import UsageCounters


class AdminContext(NamedTuple):
    """Dependencies of the handlers for operators.

    Args:
        settings (RouterSettings): Settings of this router.
        membership (Membership): Routers of the fleet.
        config_watcher (ConfigWatcher): Current configuration.
        cells (CellHost): Cells, and the schedulers that this router runs.
        holder (RequestHolder): Requests that wait for a grant or run.
        usage_counters (UsageCounters): Usage totals.
        pipeline (Pipeline): Processes requests and keeps recent refusals.
        metrics (RouterMetrics): Counters and histograms.
        mesh (Mesh): Sockets to other routers.
        drain (Callable): Starts the graceful shutdown of this router.
    """

    settings: RouterSettings
    membership: Membership
    config_watcher: ConfigWatcher
    cells: CellHost
    holder: RequestHolder
    usage_counters: UsageCounters
    pipeline: Pipeline
    metrics: RouterMetrics
    mesh: Mesh
    drain: Any


class AdminHandler(ProblemHandler):
    """Authenticate operators by one of the configured keys."""

    def initialize(self, context: AdminContext) -> None:
        """Stores the dependencies of the handler."""
        self._context = context

    def prepare(self) -> None:
        """Refuses the request if it does not carry an operator's key."""
        header = self.request.headers.get("Authorization", "")
        digest = hash_key(header.removeprefix("Bearer ").strip())
        known = self._context.settings.operator_key_hashes
        if not any(hmac.compare_digest(digest, k) for k in known):
            detail = "Send an operator's key as Authorization: Bearer."
            self.send_problem(Problem(401, "not_an_operator", detail))

    def send_json(self, body: object) -> None:
        """Finishes the response with a JSON body."""
        self.set_header("Content-Type", "application/json")
        self.finish(msgspec.json.encode(body))


class StatusHandler(AdminHandler):
    """Serve the status of this router, the member list and the cells."""

    def get(self) -> None:
        """Sends the status."""
        ctx = self._context
        self.send_json(
            {
                "name": ctx.settings.name,
                "zone": ctx.settings.zone,
                "incarnation": ctx.usage_counters.incarnation,
                "state": ctx.membership.me.state,
                "config_version": ctx.config_watcher.version,
                "config_digest": ctx.config_watcher.current.config.digest(),
                "held": len(ctx.holder),
                "members": ctx.membership.members(),
                "cells": [self._cell_status(name) for name in ctx.cells.cells],
                "control": {
                    "frames_sent": ctx.mesh.frames_sent,
                    "frames_received": ctx.mesh.frames_received,
                    "bytes_sent": ctx.mesh.bytes_sent,
                    "bytes_received": ctx.mesh.bytes_received,
                    "messages_sent": ctx.mesh.messages_sent,
                    "cpu_s": time.process_time(),
                },
            }
        )

    def _cell_status(self, name: str) -> dict[str, object]:
        ctx = self._context
        cell = ctx.cells.cells[name]
        scheduler = ctx.cells.scheduler(name)
        view: dict[str, object] = {
            "name": name,
            "scheduler": ctx.cells.router_by_cell.get(name, ""),
            "targets": [t.name for t in cell.targets],
        }
        if scheduler is not None:
            view["waiting"] = scheduler.queue_length()
            view["waiting_by_team"] = {
                team: scheduler.queue.depth(team)
                for team in scheduler.queue.backlogged()
            }
            view["running"] = len(scheduler.slots)
            view["target_states"] = [
                s._asdict()
                for s in scheduler.slots.target_views(time.monotonic())
            ]
        return view


class RowsHandler(AdminHandler):
    """Serve the usage totals that this router holds.

    Each row has the totals of one team, service and request class, as counted
    by one router incarnation.
    """

    def get(self) -> None:
        """Sends all rows."""
        self.send_json(list(self._context.usage_counters.ledger))


class MetricsHandler(AdminHandler):
    """Serve counters and histograms."""

    def get(self) -> None:
        """Sends all metrics."""
        view = self._context.metrics.view()
        histograms = [
            {
                **summary.key._asdict(),
                "samples": summary.samples,
                "p50_ms": summary.p50_ms,
                "p95_ms": summary.p95_ms,
                "p99_ms": summary.p99_ms,
                "max_ms": summary.max_ms,
            }
            for summary in view.histograms
        ]
        body = {"counters": view.counters, "histograms": histograms}
        self.send_json(body)


class ExplainHandler(AdminHandler):
    """Serve the queue state and the recent refusals of a team."""

    def get(self) -> None:
        """Sends a team's state in the queue of each cell and recent refusals.

        The query parameter `team` selects the team. The refusals also include
        that of the request whose id is given as `request`.
        """
        team = self.get_query_argument("team", "")
        request_id = self.get_query_argument("request", "")
        now = time.monotonic()
        schedulers = self._context.cells.schedulers()
        refusals = [
            r._asdict()
            for r in self._context.pipeline.refusals
            if r.team == team or r.request_id == request_id
        ]
        queues = [s.explain(team, now)._asdict() for s in schedulers]
        self.send_json({"queues": queues, "refusals": refusals})


class DrainHandler(AdminHandler):
    """Start the graceful shutdown of this router."""

    def post(self) -> None:
        """Starts the shutdown and responds without waiting for its end."""
        self._context.drain()
        self.send_json({"state": "leaving"})
