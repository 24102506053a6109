"""Measures how a router's CPU time, memory and traffic grow with its load.

Each series varies one size, such as the number of members, teams or requests,
and prints the growth of each value per unit of that size.
"""

import asyncio
import gc
import random
import resource
import sys
import time
import tracemalloc
from collections.abc import Callable, Iterator
from typing import Any

from chervilwall import cell_messages
from chervilwall.cell_messages import Done, Enqueue, MemberUpdate
from chervilwall.codec import FrameCodec, pack_config, unpack_config
from chervilwall.config import (
    Config,
    RequestClass,
    Service,
    Target,
    Team,
    VersionedConfig,
    hash_key,
)
from chervilwall.histogram import HistogramKey, HistogramTable
from chervilwall.ledger import Ledger
from chervilwall.membership import STATE_ALIVE, Membership
from chervilwall.quarantine import Quarantine
from chervilwall.rendezvous import assign
from chervilwall.scheduler import CellScheduler
from chervilwall_router.mesh import Mesh, limit_threads

from chervilwall_standins.loopback import free_port
from chervilwall_standins.slopes_fleet import (
    Point,
    measure_idle_fleet,
    measure_loaded_fleet,
)

FLEET_KEY = b"key-of-the-measured-fleet"


def print_series(title: str, points: list[Point]) -> None:
    """Prints a series and the growth of each value per unit of size.

    The growth, printed as the slope, is taken between the first and the last
    point only.
    """
    print(f"\n{title}")
    for size, values in points:
        line = ", ".join(f"{k} {v:.4g}" for k, v in values.items())
        print(f"  {size:>6}: {line}", flush=True)
    first, last = points[0], points[-1]
    slopes = ", ".join(
        f"{name} {(last.values[name] - value) / (last.size - first.size):.4g}"
        for name, value in first.values.items()
    )
    print(f"   slope: {slopes}")


def cpu_ms(work: Callable[[], Any]) -> float:
    """Returns the CPU time of a call, in milliseconds."""
    started = time.process_time()
    work()
    return (time.process_time() - started) * 1000


def retained_bytes(build: Callable[[], Any]) -> float:
    """Returns the memory of the object that a function builds, in bytes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    built = build()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del built
    return after - before


def make_config(teams: int, targets: int) -> Config:
    """Returns a configuration of seven services.

    Args:
        teams (int): Number of teams.
        targets (int): Number of targets of all services together.
    """
    services = tuple(Service(f"model{i}") for i in range(7))
    return Config(
        teams=tuple(
            Team(f"team{i}", 1.0, (hash_key(f"key{i}"),)) for i in range(teams)
        ),
        services=services,
        classes=tuple(
            RequestClass(name, s.name, f"/{s.name}/{name}")
            for s in services
            for name in ("chat", "review")
        ),
        targets=tuple(
            Target(f"t{i}", f"model{i % 7}", f"10.0.{i // 250}.{i % 250}:80")
            for i in range(targets)
        ),
    )


def measure_membership(count: int) -> Point:
    """Measures the usage of one member of a fleet, without sockets.

    Up to 16 of the members run, in simulated time; the result is their mean.

    Args:
        count (int): Number of members.
    """
    seconds, tick_s = 10.0, 0.05
    updates = [
        MemberUpdate(
            f"router{i}",
            1,
            0,
            STATE_ALIVE,
            f"10.0.0.{i}:7000",
            f"10.0.0.{i}:80",
            "az1",
        )
        for i in range(count)
    ]
    sampled = min(count, 16)
    members = [
        Membership(u, rng=random.Random(i)) for i, u in enumerate(updates)
    ]
    for member in members:
        member.merge(updates, 0.0)
    by_name = {m.me.name: m for m in members}
    codec = FrameCodec([FLEET_KEY])
    sent = {"frames": 0, "bytes": 0}

    def run() -> None:
        now = 0.0
        while now < seconds:
            now += tick_s
            for member in members[:sampled]:
                _, envelopes = member.tick(now)
                for peer, msg in envelopes:
                    _deliver_probe(by_name, member, peer, msg, codec, sent)

    spent_ms = cpu_ms(run)
    member_seconds = sampled * seconds
    return Point(
        count,
        {
            "cpu_ms/s": spent_ms / member_seconds,
            "frames/s": sent["frames"] / member_seconds,
            "bytes/s": sent["bytes"] / member_seconds,
            "state_bytes": retained_bytes(lambda: _build_membership(updates)),
        },
    )


def _deliver_probe(
    by_name: dict[str, Membership],
    member: Membership,
    peer: str,
    msg: cell_messages.Message,
    codec: FrameCodec,
    sent: dict[str, int],
) -> None:
    """Encodes and counts a message; delivers a ping and its answer at once.

    Messages other than pings are not delivered.
    """
    sent["frames"] += 1
    sent["bytes"] += len(codec.encode(member.me.name, 1 << 40, [msg]))
    if isinstance(msg, cell_messages.Ping):
        for _, ack in by_name[peer].on_ping(member.me.name, msg):
            sent["frames"] += 1
            sent["bytes"] += len(codec.encode(peer, 1 << 40, [ack]))
            assert isinstance(ack, cell_messages.Ack)
            member.merge(ack.updates, 0.0)
            member.on_ack(ack)


def _build_membership(updates: list[MemberUpdate]) -> Membership:
    copies = [MemberUpdate(*(f"{v}" for v in u)) for u in updates]  # type: ignore[arg-type]
    built = Membership(updates[0])
    built.merge(copies, 0.0)
    return built


def measure_scheduling(teams: int) -> Point:
    """Measures the CPU time of a request at the scheduler of a cell.

    Args:
        teams (int): Number of backlogged teams.
    """
    config = make_config(teams, 42)
    targets = [t for t in config.targets if t.service == "model0"]
    scheduler = CellScheduler("model0#0", "model0", Quarantine())
    scheduler.configure(config, targets)
    running: dict[int, str] = {}
    count = 2000

    def enqueue(number: int) -> None:
        msg = Enqueue(
            number,
            "model0#0",
            f"team{number % teams}",
            "chat",
            1e6,
            100.0,
            number.to_bytes(8, "big"),
        )
        _record_grants(scheduler.enqueue("r1", msg, number * 0.01), running)

    for number in range(8 * teams + 64):
        enqueue(number)

    def run() -> None:
        start = 8 * teams + 64
        for number in range(start, start + count):
            enqueue(number)
            req_id, target = running.popitem()
            done = Done(
                req_id, "model0#0", target, "completed", 100.0, 0.1, None
            )
            _record_grants(scheduler.finish("r1", done, number * 0.01), running)

    return Point(teams, {"cpu_ms/request": cpu_ms(run) / count})


def _record_grants(
    envelopes: list[cell_messages.Envelope], running: dict[int, str]
) -> None:
    for _, msg in envelopes:
        if isinstance(msg, cell_messages.Grant):
            running[msg.req_id] = msg.target


def measure_queue_memory(count: int) -> Point:
    """Measures the memory of queued requests, in bytes for all of them.

    Args:
        count (int): Number of queued requests.
    """

    def build() -> CellScheduler:
        config = make_config(60, 7)
        scheduler = CellScheduler("model0#0", "model0", Quarantine())
        scheduler.configure(config, config.targets_of("model0"))
        for number in range(count):
            msg = Enqueue(
                number,
                "model0#0",
                f"team{number % 60}",
                "chat",
                1e6,
                100.0,
                number.to_bytes(8, "big"),
            )
            scheduler.enqueue(f"router{number % 100}", msg, 0.0)
        return scheduler

    return Point(count, {"bytes": retained_bytes(build)})


def measure_ledger_memory(rows: int) -> Point:
    """Measures the memory of accounting rows, in bytes for all of them.

    Args:
        rows (int): Number of rows.
    """

    def build() -> Ledger:
        ledger = Ledger("router1-1700000000000")
        for number in range(rows):
            ledger.add(f"team{number}", "model0", "chat", "completed", work=1.5)
        return ledger

    return Point(rows, {"bytes": retained_bytes(build)})


def measure_histogram_memory(count: int) -> Point:
    """Measures the memory of histograms, in bytes for all of them.

    Args:
        count (int): Number of histograms, with three values each.
    """

    def build() -> HistogramTable:
        table = HistogramTable()
        for number in range(count):
            for value in (0.01, 0.5, 3.0):
                key = HistogramKey("wait", f"t{number}", "chat")
                table.observe(key, value)
        return table

    return Point(count, {"bytes": retained_bytes(build)})


def measure_config_change(teams: int) -> Point:
    """Measures a change of configuration at a router.

    Args:
        teams (int): Number of teams, and of targets.
    """
    versioned = VersionedConfig(1, make_config(teams, teams))
    push = pack_config(versioned)
    rounds = 10

    def run() -> None:
        for _ in range(rounds):
            unpack_config(push)

    return Point(
        teams,
        {
            "packed_bytes": float(len(push.blob)),
            "unpack_ms": cpu_ms(run) / rounds,
            "state_bytes": retained_bytes(lambda: unpack_config(push)),
        },
    )


def measure_election(members: int) -> Point:
    """Measures the assignment of cells to routers after a member change.

    The router to which a cell is assigned runs its scheduler.

    Args:
        members (int): Number of routers; there are 2 cells per 5 of them.
    """
    cells = [f"model{i % 7}#{i}" for i in range(members * 2 // 5)]
    names = [f"router{i}" for i in range(members)]
    return Point(members, {"cpu_ms": cpu_ms(lambda: assign(cells, names))})


async def measure_frames(messages: int) -> Point:
    """Measures the CPU time of a frame between two routers' sockets.

    Args:
        messages (int): Number of messages per frame.
    """
    codec = FrameCodec([FLEET_KEY])
    rounds = 400
    received = 0

    def on_frame(_: object) -> None:
        nonlocal received
        received += 1

    ports = [free_port(), free_port()]
    meshes = [
        Mesh(
            f"127.0.0.1:{port}",
            name=f"r{i}",
            incarnation=1,
            codec=codec,
            on_frame=on_frame,
        )
        for i, port in enumerate(ports)
    ]
    with meshes[0], meshes[1]:
        meshes[0].send(f"127.0.0.1:{ports[1]}", cell_messages.Ping(0, 0))
        await asyncio.sleep(0.3)
        started = time.process_time()
        for _ in range(rounds):
            for seq in range(messages):
                msg = Enqueue(seq, "m#0", "t", "c", 1.0, 1.0, b"12345678")
                meshes[0].send(f"127.0.0.1:{ports[1]}", msg)
            await asyncio.sleep(0.004)
        await asyncio.sleep(0.1)
        spent_ms = (time.process_time() - started) * 1000
    # CPU time of the sleeps alone, which is subtracted.
    started = time.process_time()
    for _ in range(rounds):
        await asyncio.sleep(0.004)
    idle_ms = (time.process_time() - started) * 1000
    return Point(
        messages, {"cpu_ms/frame (both ends)": (spent_ms - idle_ms) / rounds}
    )


def all_series() -> Iterator[tuple[str, list[Point]]]:
    """Yields the title and the points of each series."""
    yield (
        "membership, by members (state machine and codec)",
        [measure_membership(n) for n in (8, 64, 370)],
    )
    yield (
        "frame between routers, by messages in it",
        [asyncio.run(measure_frames(n)) for n in (1, 4, 16)],
    )
    yield (
        "scheduler of a cell, by backlogged teams",
        [measure_scheduling(n) for n in (5, 20, 60)],
    )
    yield (
        "election of schedulers, by members, with 2 cells per 5 members",
        [measure_election(n) for n in (8, 64, 370)],
    )
    yield (
        "waiting requests",
        [measure_queue_memory(n) for n in (100, 1000, 5000)],
    )
    yield (
        "accounting rows",
        [measure_ledger_memory(n) for n in (100, 600, 6000)],
    )
    yield "histograms", [measure_histogram_memory(n) for n in (100, 600, 1800)]
    yield (
        "configuration, by teams, with one target per team",
        [measure_config_change(n) for n in (60, 300, 610)],
    )
    yield (
        "idle routers, by processes",
        [measure_idle_fleet(n) for n in (3, 8, 24)],
    )
    yield (
        "three routers under load, by requests a second",
        [measure_loaded_fleet(n) for n in (10, 30, 90)],
    )


def main() -> int:
    """Prints all series and the peak memory of the run."""
    limit_threads()
    for title, points in all_series():
        print_series(title, points)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    print(
        f"\nlargest resident size of this run: {usage.ru_maxrss / 1000:.0f} MB"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
