"""Sends a trace through real router processes and measures what came of it."""

import asyncio
import contextlib
from collections import Counter, defaultdict
from typing import NamedTuple

from chervilwall.config import Config, hash_key
from chervilwall_ctl.apply import apply_config, read_standing
from chervilwall_platform.client import HttpPlatform

from chervilwall_standins.caller import Caller
from chervilwall_standins.fleet import Fleet, call_json, wait_for
from chervilwall_standins.loopback import TARGET_PORT, own_address
from chervilwall_standins.replay import SAMPLE_S, GapMeter, ServiceTotals
from chervilwall_standins.trace import Trace, TraceRequest, TraceService

WARM_UP_S = 2.0


class RealOutcome(NamedTuple):
    """What a run through processes measured; see `replay.Outcome`."""

    gap: float
    utilisation: float
    refused: int
    bytes_per_request: float


def run_real(trace: Trace) -> RealOutcome:
    """Returns what came of a trace's requests through real processes."""
    with Fleet(routers=trace.heading.routers) as fleet:
        addresses = _start_targets(fleet, trace)
        asyncio.run(_accept(fleet, trace, addresses))
        wait_for(
            lambda: all(fleet.status(n)["config_version"] for n in fleet.names),
            limit_s=5,
            what="configuration in force",
        )
        return asyncio.run(_RealRun(fleet, trace, addresses).run())


def _start_targets(fleet: Fleet, trace: Trace) -> dict[str, str]:
    """Starts a process for each service; returns addresses by target."""
    addresses: dict[str, str] = {}
    for service in trace.heading.services:
        hosts = [own_address() for _ in range(service.targets)]
        own = [f"{host}:{TARGET_PORT}" for host in hosts]
        options = ["--slots", str(service.slots)]
        options += ["--token-s", str(service.token_s)]
        fleet.start_targets(service.name, own, *options)
        addresses |= {f"{service.name}/{i}": a for i, a in enumerate(own)}
    return addresses


async def _accept(
    fleet: Fleet, trace: Trace, addresses: dict[str, str]
) -> None:
    config = trace.config()
    wanted = Config(
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
    standing = await read_standing(platform)
    await apply_config(platform, standing, lambda _: wanted, operator="measure")


class _RealRun:
    """Send the requests of a trace at their times and sample the fleet."""

    def __init__(
        self, fleet: Fleet, trace: Trace, addresses: dict[str, str]
    ) -> None:
        self._fleet = fleet
        self._trace = trace
        self._addresses = addresses
        self._served: ServiceTotals = defaultdict(float)
        self._gaps = GapMeter(dict(trace.heading.teams))
        self._refused = 0
        self._busy = 0.0
        self._room = 0.0

    async def run(self) -> RealOutcome:
        """Runs the trace."""
        loop = asyncio.get_running_loop()
        callers = {
            name: Caller([], name) for name, _ in self._trace.heading.teams
        }
        started = loop.time() + WARM_UP_S
        sampler = loop.create_task(self._sample(started))
        sends = [
            loop.create_task(self._send(callers[req.team], req, started))
            for req in self._trace.requests
        ]
        before = self._bytes_sent()
        await asyncio.sleep(WARM_UP_S + self._trace.heading.until)
        sampler.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await sampler
        sent = self._bytes_sent() - before
        for send in sends:
            send.cancel()
        await asyncio.gather(*sends, return_exceptions=True)
        return RealOutcome(
            self._gaps.largest(),
            self._busy / self._room if self._room else 1.0,
            self._refused,
            sent / len(self._trace.requests),
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
            router=self._fleet.address(self._fleet.names[req.router]),
            headers={"Idempotency-Key": label},
            timeout_s=self._trace.heading.until,
        )
        if answer.ok:
            cost = self._trace.cost(req)
            self._served[req.service, req.team] += cost
        else:
            self._refused += 1

    async def _sample(self, started: float) -> None:
        loop = asyncio.get_running_loop()
        while True:
            waiting = await asyncio.to_thread(self._waiting)
            if loop.time() >= started:
                self._gaps.sample(waiting, self._served)
                for service in self._trace.heading.services:
                    if any(name == service.name for name, _ in waiting):
                        await asyncio.to_thread(self._count_busy, service)
            await asyncio.sleep(SAMPLE_S)

    def _waiting(self) -> dict[tuple[str, str], int]:
        found: Counter[tuple[str, str]] = Counter()
        for name in self._fleet.names:
            for cell in self._fleet.status(name)["cells"]:
                service = cell["name"].partition("#")[0]
                for team, depth in cell.get("waiting_by_team", {}).items():
                    found[service, team] += depth
        return found

    def _count_busy(self, service: TraceService) -> None:
        for index in range(service.targets):
            address = self._addresses[f"{service.name}/{index}"]
            self._busy += call_json(f"http://{address}/admin")["active"]
            self._room += service.slots

    def _bytes_sent(self) -> int:
        return sum(
            self._fleet.status(name)["control"]["bytes_sent"]
            for name in self._fleet.names
        )
