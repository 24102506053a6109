"""Metrics and the status page of evacuated zones."""

from collections.abc import Callable, Iterator
from typing import Any

import msgspec
from chervilwall.peers import PeerTable
from chervilwall.registry import TargetRegistry
from chervilwall.running_requests import RunningRequests
from tornado.httputil import HTTPServerRequest

from chervilwall_router.edge.evacuation_state import EvacuationState
from chervilwall_router.edge.page_server import Reply

EVACUATIONS_PATH = "/evacuations"


class EvacuationPages:
    """Show the evacuated zones and the requests that still run there.

    Args:
        name (str): Name of this router.
        evacuations (EvacuationState): The evacuated zones.
        registry (TargetRegistry): Registered targets.
        running_requests (RunningRequests): Requests of this router.
        peers (PeerTable): The other routers.
        clock (Callable): Returns the monotonic time in seconds.
        wall_clock (Callable): Returns the Unix time in seconds.
    """

    def __init__(
        self,
        name: str,
        evacuations: EvacuationState,
        registry: TargetRegistry,
        running_requests: RunningRequests,
        peers: PeerTable,
        clock: Callable[[], float],
        wall_clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._evacuations = evacuations
        self._registry = registry
        self._running_requests = running_requests
        self._peers = peers
        self._clock = clock
        self._wall_clock = wall_clock

    def __repr__(self) -> str:
        return f"EvacuationPages(name={self._name!r})"

    def render_metrics(self) -> str:
        """Returns metrics in the Prometheus text format.

        "" if zones cannot be evacuated.
        """
        if not self._evacuations.is_enabled:
            return ""
        return "".join(f"{line}\n" for line in self._metric_lines())

    def _metric_lines(self) -> Iterator[str]:
        zones, running = self._evacuations.zones, self._running_by_zone()
        now = self._wall_clock()
        yield f"evacuated_zones {len(zones)}"
        total = sum(running.get(zone, 0) for zone in zones)
        yield f"evacuated_requests_running {total}"
        for zone, known in zones.items():
            label = f'{{zone="{_escape_label(zone)}"}}'
            yield f"zone_requests_running{label} {running.get(zone, 0)}"
            yield f"zone_evacuated_s{label} {now - known.since:.1f}"

    def handle(self, _: HTTPServerRequest) -> Reply:
        """Returns the state of this router, and what its peers have reported.

        The status is 404 if zones cannot be evacuated.
        """
        if not self._evacuations.is_enabled:
            return Reply(404)
        return Reply(200, msgspec.json.encode(self._status()))

    def _status(self) -> dict[str, Any]:
        running = self._running_by_zone()
        return {
            "router": self._name,
            "revision": str(self._evacuations.revision),
            "zones": [
                {
                    "zone": zone,
                    "since": round(known.since, 3),
                    "revision": str(known.revision),
                    "running": running.get(zone, 0),
                }
                for zone, known in self._evacuations.zones.items()
            ],
            "peers": [
                {"router": name, "address": state.report.control_address}
                for name, state in sorted(
                    self._peers.alive(self._clock()).items()
                )
            ],
        }

    def _running_by_zone(self) -> dict[str, int]:
        """Returns the number of requests of this router by zone.

        Requests on targets that are no longer registered are left out, as their
        zone is not known.
        """
        counts: dict[str, int] = {}
        for load in self._running_requests.loads():
            for item in load.items:
                target = self._registry.get(item.target_id)
                if target is not None:
                    zone = target.zone
                    counts[zone] = counts.get(zone, 0) + item.running
        return counts


def _escape_label(value: str) -> str:
    escaped = value.replace("\\", "\\\\").replace('"', '\\"')
    return escaped.replace("\n", "\\n")
