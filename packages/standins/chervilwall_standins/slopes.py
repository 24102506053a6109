"""Measures what one more member, team, target or request costs a router."""

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
from chervilwall_standins.slopes_fleet import Point, loaded, processes

KEY = b"key-of-the-measured-fleet"


def show(title: str, points: list[Point]) -> None:
    """Prints the points of a series and the slope of each value."""
    print(f"\n{title}")
    for size, values in points:
        shown = ", ".join(f"{k} {v:.4g}" for k, v in values.items())
        print(f"  {size:>6}: {shown}", flush=True)
    first, last = points[0], points[-1]
    slopes = ", ".join(
        f"{name} {(last.values[name] - value) / (last.size - first.size):.4g}"
        for name, value in first.values.items()
    )
    print(f"   slope: {slopes}")


def cpu_ms(work: Callable[[], Any]) -> float:
    """Returns the processor milliseconds of a piece of work."""
    started = time.process_time()
    work()
    return (time.process_time() - started) * 1000


def kept_bytes(make: Callable[[], Any]) -> float:
    """Returns the bytes of what a function makes."""
    gc.collect()
    tracemalloc.start()
    before, _ = tracemalloc.get_traced_memory()
    made = make()
    gc.collect()
    after, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    del made
    return after - before


def make_config(teams: int, targets: int) -> Config:
    """Returns a configuration of that size."""
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


def membership(count: int) -> Point:
    """Measures a second of membership of one router, without sockets."""
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
    sample = min(count, 16)
    members = [
        Membership(u, rng=random.Random(i)) for i, u in enumerate(updates)
    ]
    for member in members:
        member.merge(updates, 0.0)
    by_name = {m.me.name: m for m in members}
    codec = FrameCodec([KEY])
    sent = {"frames": 0, "bytes": 0}

    def run() -> None:
        now = 0.0
        while now < seconds:
            now += tick_s
            for member in members[:sample]:
                _, out = member.tick(now)
                for peer, msg in out:
                    _answer(by_name, member, peer, msg, codec, sent)

    spent_ms = cpu_ms(run)
    per = sample * seconds
    return Point(
        count,
        {
            "cpu_ms/s": spent_ms / per,
            "frames/s": sent["frames"] / per,
            "bytes/s": sent["bytes"] / per,
            "state_bytes": kept_bytes(lambda: _full_member(updates)),
        },
    )


def _answer(
    by_name: dict[str, Membership],
    member: Membership,
    peer: str,
    msg: cell_messages.Message,
    codec: FrameCodec,
    sent: dict[str, int],
) -> None:
    sent["frames"] += 1
    sent["bytes"] += len(codec.encode(member.me.name, 1 << 40, [msg]))
    if isinstance(msg, cell_messages.Ping):
        for _, ack in by_name[peer].on_ping(member.me.name, msg):
            sent["frames"] += 1
            sent["bytes"] += len(codec.encode(peer, 1 << 40, [ack]))
            assert isinstance(ack, cell_messages.Ack)
            member.merge(ack.updates, 0.0)
            member.on_ack(ack)


def _full_member(updates: list[MemberUpdate]) -> Membership:
    copies = [MemberUpdate(*(f"{v}" for v in u)) for u in updates]  # type: ignore[arg-type]
    made = Membership(updates[0])
    made.merge(copies, 0.0)
    return made


def scheduling(teams: int) -> Point:
    """Measures a request at a scheduler with so many backlogged teams."""
    config = make_config(teams, 42)
    targets = [t for t in config.targets if t.service == "model0"]
    made = CellScheduler("model0#0", "model0", Quarantine())
    made.configure(config, targets)
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
        _note(made.enqueue("r1", msg, number * 0.01), running)

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
            _note(made.done("r1", done, number * 0.01), running)

    return Point(teams, {"cpu_ms/request": cpu_ms(run) / count})


def _note(
    envelopes: list[cell_messages.Envelope], running: dict[int, str]
) -> None:
    for _, msg in envelopes:
        if isinstance(msg, cell_messages.Grant):
            running[msg.req_id] = msg.target


def queueing(count: int) -> Point:
    """Measures the memory of waiting requests."""

    def make() -> CellScheduler:
        config = make_config(60, 7)
        made = CellScheduler("model0#0", "model0", Quarantine())
        made.configure(config, config.targets_of("model0"))
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
            made.enqueue(f"router{number % 100}", msg, 0.0)
        return made

    return Point(count, {"bytes": kept_bytes(make)})


def ledger(rows: int) -> Point:
    """Measures the memory of accounting rows."""

    def make() -> Ledger:
        made = Ledger("router1-1700000000000")
        for number in range(rows):
            made.add(f"team{number}", "model0", "chat", "completed", work=1.5)
        return made

    return Point(rows, {"bytes": kept_bytes(make)})


def histograms(count: int) -> Point:
    """Measures the memory of histograms."""

    def make() -> HistogramTable:
        table = HistogramTable()
        for number in range(count):
            for value in (0.01, 0.5, 3.0):
                key = HistogramKey("wait", f"t{number}", "chat")
                table.observe(key, value)
        return table

    return Point(count, {"bytes": kept_bytes(make)})


def configuration(teams: int) -> Point:
    """Measures a change of configuration at a router."""
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
            "state_bytes": kept_bytes(lambda: unpack_config(push)),
        },
    )


def election(members: int) -> Point:
    """Measures the choice of schedulers after a change of members."""
    cells = [f"model{i % 7}#{i}" for i in range(members * 2 // 5)]
    names = [f"router{i}" for i in range(members)]
    return Point(members, {"cpu_ms": cpu_ms(lambda: assign(cells, names))})


async def frames(messages: int) -> Point:
    """Measures a frame between two sockets with so many messages."""
    codec = FrameCodec([KEY])
    rounds = 400
    got = 0

    def take(_: object) -> None:
        nonlocal got
        got += 1

    ports = [free_port(), free_port()]
    made = [
        Mesh(
            f"127.0.0.1:{port}",
            name=f"r{i}",
            incarnation=1,
            codec=codec,
            on_frame=take,
        )
        for i, port in enumerate(ports)
    ]
    with made[0], made[1]:
        made[0].send(f"127.0.0.1:{ports[1]}", cell_messages.Ping(0, 0))
        await asyncio.sleep(0.3)
        started = time.process_time()
        for _ in range(rounds):
            for seq in range(messages):
                msg = Enqueue(seq, "m#0", "t", "c", 1.0, 1.0, b"12345678")
                made[0].send(f"127.0.0.1:{ports[1]}", msg)
            await asyncio.sleep(0.004)
        await asyncio.sleep(0.1)
        spent_ms = (time.process_time() - started) * 1000
    # What the loop spends on the sleeps alone.
    started = time.process_time()
    for _ in range(rounds):
        await asyncio.sleep(0.004)
    idle_ms = (time.process_time() - started) * 1000
    return Point(
        messages, {"cpu_ms/frame (both ends)": (spent_ms - idle_ms) / rounds}
    )


def series() -> Iterator[tuple[str, list[Point]]]:
    """Yields all series."""
    yield (
        "membership, by members (state machine and codec)",
        [membership(n) for n in (8, 64, 370)],
    )
    yield (
        "frame between routers, by messages in it",
        [asyncio.run(frames(n)) for n in (1, 4, 16)],
    )
    yield (
        "scheduler of a cell, by backlogged teams",
        [scheduling(n) for n in (5, 20, 60)],
    )
    yield (
        "election of schedulers, by members with two cells for five",
        [election(n) for n in (8, 64, 370)],
    )
    yield "waiting requests", [queueing(n) for n in (100, 1000, 5000)]
    yield "accounting rows", [ledger(n) for n in (100, 600, 6000)]
    yield "histograms", [histograms(n) for n in (100, 600, 1800)]
    yield (
        "configuration, by teams and as many targets",
        [configuration(n) for n in (60, 300, 610)],
    )
    yield "idle routers, by processes", [processes(n) for n in (3, 8, 24)]
    yield (
        "three routers under load, by requests a second",
        [loaded(n) for n in (10, 30, 90)],
    )


def main() -> int:
    """Prints all series with their slopes."""
    limit_threads()
    for title, points in series():
        show(title, points)
    usage = resource.getrusage(resource.RUSAGE_SELF)
    print(
        f"\nlargest resident size of this run: {usage.ru_maxrss / 1000:.0f} MB"
    )
    return 0


if __name__ == "__main__":
    sys.exit(main())
