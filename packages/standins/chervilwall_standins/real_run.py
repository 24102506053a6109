"""Replays a trace through real router processes and measures the outcome."""

import asyncio
import contextlib
from collections import Counter, defaultdict
from typing import NamedTuple

from chervilwall.config import Config, hash_key
from chervilwall_ctl.config_change import apply_config, read_stored_config
from chervilwall_platform.client import HttpPlatform

from chervilwall_standins.caller import Caller
from chervilwall_standins.fleet import Fleet, call_json, wait_for
from chervilwall_standins.loopback import TARGET_PORT, unique_loopback_address
from chervilwall_standins.replay import (
    SAMPLE_INTERVAL_S,
    FairnessGapMeter,
    ServiceByTeam,
)
from chervilwall_standins.trace import Trace, TraceRequest, TraceService

WARM_UP_S = 2.0  # time between start-up and the first request of the trace


class RealOutcome(NamedTuple):
    """Measurements of a run through processes.

    Args:
        gap (float): Fairness gap, as in `replay.ReplayOutcome`.
        utilisation (float): Fraction of the slot time that was used while
            requests were queued.
        refused (int): Number of answers with a status other than 200, failed
            and timed-out requests included.
        bytes_per_request (float): Control bytes sent per request, those of the
            warm-up included.
    """

    gap: float
    utilisation: float
    refused: int
    bytes_per_request: float


def run_real(trace: Trace) -> RealOutcome:
    """Replays a trace through a fleet of processes and returns measurements."""
    with Fleet(routers=trace.heading.routers) as fleet:
        addresses = _start_targets(fleet, trace)
        asyncio.run(_apply_config(fleet, trace, addresses))
        wait_for(
            lambda: all(
                fleet.status(n)["config_version"] for n in fleet.router_names
            ),
            limit_s=5,
            what="configuration in force",
        )
        return asyncio.run(_RealRun(fleet, trace, addresses).run())


def _start_targets(fleet: Fleet, trace: Trace) -> dict[str, str]:
    """Starts a process per service and returns target addresses by name."""
    addresses: dict[str, str] = {}
    for service in trace.heading.services:
        hosts = [unique_loopback_address() for _ in range(service.targets)]
        service_addresses = [f"{host}:{TARGET_PORT}" for host in hosts]
        options = ["--slots", str(service.slots)]
        options += ["--token-s", str(service.token_s)]
        fleet.start_targets(service.name, service_addresses, *options)
        addresses |= {
            f"{service.name}/{i}": a for i, a in enumerate(service_addresses)
        }
    return addresses


async def _apply_config(
    fleet: Fleet, trace: Trace, addresses: dict[str, str]
) -> None:
    """Applies the trace's configuration with real addresses and keys."""
    config = trace.config()
    new_config = Config(
        teams=tuple(
            t._replace(key_hashes=(hash_key(t.name),)) for t in config.teams
        ),
        services=config.services,
        classes=config.classes,
        targets=tuple(
            t._replace(address=addresses[t.name]) for t in config.targets
        ),
    )
    platform = HttpPlatform(fleet.platform_url)
    current = await read_stored_config(platform)
    await apply_config(
        platform, current, lambda _: new_config, operator="measure"
    )


class _RealRun:
    """Send requests at their trace times and sample the fleet."""

    def __init__(
        self, fleet: Fleet, trace: Trace, addresses: dict[str, str]
    ) -> None:
        self._fleet = fleet
        self._trace = trace
        self._addresses = addresses
        self._served: ServiceByTeam = defaultdict(float)
        self._gaps = FairnessGapMeter(dict(trace.heading.teams))
        self._refused = 0
        self._busy_slot_samples = 0.0
        self._slot_samples = 0.0

    async def run(self) -> RealOutcome:
        """Replays the trace and returns the measurements.

        Requests still running at the end of the trace are cancelled.
        """
        loop = asyncio.get_running_loop()
        callers = {
            name: Caller([], name) for name, _ in self._trace.heading.teams
        }
        started = loop.time() + WARM_UP_S
        sampler = loop.create_task(self._sample_periodically(started))
        requests = [
            loop.create_task(self._send(callers[req.team], req, started))
            for req in self._trace.requests
        ]
        bytes_before = self._bytes_sent()
        await asyncio.sleep(WARM_UP_S + self._trace.heading.until)
        sampler.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampler
        bytes_sent = self._bytes_sent() - bytes_before
        for request in requests:
            request.cancel()
        await asyncio.gather(*requests, return_exceptions=True)
        return RealOutcome(
            self._gaps.max_gap(),
            self._busy_slot_samples / self._slot_samples
            if self._slot_samples
            else 1.0,
            self._refused,
            bytes_sent / len(self._trace.requests),
        )

    async def _send(
        self, caller: Caller, req: TraceRequest, started: float
    ) -> None:
        loop = asyncio.get_running_loop()
        await asyncio.sleep(started + req.at - loop.time())
        label = f"{req.at}-{req.team}"
        answer = await caller.send(
            f"/{req.service}/{req.cls}",
            text=label,
            label=label,
            tokens=req.tokens,
            router=self._fleet.caller_address(
                self._fleet.router_names[req.router]
            ),
            headers={"Idempotency-Key": label},
            timeout_s=self._trace.heading.until,
        )
        if answer.ok:
            cost = self._trace.cost(req)
            self._served[req.service, req.team] += cost
        else:
            self._refused += 1

    async def _sample_periodically(self, started: float) -> None:
        """Samples the fairness gap of teams and the utilisation of slots.

        Slots of a service are only counted while its requests wait in a queue,
        so that a lack of requests does not lower the utilisation.

        Args:
            started (float): Loop time of the first sample.
        """
        loop = asyncio.get_running_loop()
        while True:
            queue_lengths = await asyncio.to_thread(self._queue_lengths)
            if loop.time() >= started:
                self._gaps.sample(queue_lengths, self._served)
                for service in self._trace.heading.services:
                    if any(name == service.name for name, _ in queue_lengths):
                        await asyncio.to_thread(self._sample_slots, service)
            await asyncio.sleep(SAMPLE_INTERVAL_S)

    def _queue_lengths(self) -> dict[tuple[str, str], int]:
        """Returns the number of queued requests by service and team."""
        lengths: Counter[tuple[str, str]] = Counter()
        for name in self._fleet.router_names:
            for cell in self._fleet.status(name)["cells"]:
                service = cell["name"].partition("#")[0]
                for team, length in cell.get("waiting_by_team", {}).items():
                    lengths[service, team] += length
        return lengths

    def _sample_slots(self, service: TraceService) -> None:
        for index in range(service.targets):
            address = self._addresses[f"{service.name}/{index}"]
            self._busy_slot_samples += call_json(f"http://{address}/admin")[
                "active"
            ]
            self._slot_samples += service.slots

    def _bytes_sent(self) -> int:
        """Returns the control bytes that all routers have sent so far."""
        return sum(
            self._fleet.status(name)["control"]["bytes_sent"]
            for name in self._fleet.router_names
        )
