"""A request that crashes its engine is sent to engines again and again.

Its engines start again under their ids and addresses, as the pages allow.
"""

import asyncio
import collections
import os
import pathlib
import sys

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "lib-3"))

import harness  # noqa: E402
from chervilwall_standins.users.target import FakeTarget  # noqa: E402

DEADLY = b"deadly"
# Seconds for which a crashed engine is away, and from its start to its first
# entry in the store (the site files' lag_ms).
AWAY_S = float(os.environ.get("AWAY_S", "2.0"))
LAG_S = float(os.environ.get("LAG_S", "0.8"))
KEEPS_ID = os.environ.get("KEEPS_ID", "1") != "0"
# The request comes again this long after it was answered.
AGAIN_S = 4.0
RUN_S = 90.0
ENGINES = 3
ROUTERS = 2
READS_PER_S = 30
# "Reaches engines in more than three retries, sent later than stability_ms
# after it has crashed the third."
MAX_RETRIES = 3


class Engine(FakeTarget):
    """An engine that writes its entry at each heartbeat."""

    def __init__(self, number: int, fleet: harness.Fleet) -> None:
        super().__init__(f"i-{number:08x}", "app")
        self.slots = 6
        self.response_delay_s = 0.03
        self.crashing_body = DEADLY if harness.TROUBLE else b""
        self.restart_delay_s = AWAY_S
        self.keeps_id = KEEPS_ID
        self.on_restart = self._restarted
        self._fleet = fleet
        self._sequence = 0
        self._beats: asyncio.Task[None] | None = None

    async def beat(self, first_after_s: float) -> None:
        await asyncio.sleep(first_after_s)
        while True:
            self._sequence += 1
            spec = self.spec(sequence=self._sequence)
            await self._fleet.store.put("servers", self.id, spec)
            await asyncio.sleep(harness.HEARTBEAT_S)

    def begin_beats(self, first_after_s: float) -> None:
        loop = asyncio.get_running_loop()
        self._beats = loop.create_task(self.beat(first_after_s))

    def crash(self) -> None:
        if self._beats is not None:
            self._beats.cancel()
        loop = asyncio.get_running_loop()
        last, name = self._sequence, self.id
        loop.create_task(self._expire(name, last))
        super().crash()

    async def _expire(self, name: str, last: int) -> None:
        """Removes the entry after three intervals of silence."""
        await asyncio.sleep(3 * harness.HEARTBEAT_S)
        if self._sequence == last or self.id != name:
            await self._fleet.store.delete("servers", name)

    async def _restarted(self, _: FakeTarget, old_id: str) -> None:
        self.begin_beats(LAG_S)


async def case() -> int:
    record = harness.Recorder(FOLDER)
    routes = [
        harness.make_route("read", "app"),
        harness.make_route(
            "book", "app", kind="non_idempotent", max_attempts=1
        ),
    ]
    config = harness.make_config(1, ["app"], routes)
    statuses: collections.Counter[int] = collections.Counter()
    lost = []
    async with harness.Fleet(ROUTERS, config) as fleet:
        engines = [Engine(n, fleet) for n in range(ENGINES)]
        for engine in engines:
            await fleet.enter_async_context(engine)
            await fleet.store.put("servers", engine.id, engine.spec())
            engine.begin_beats(harness.HEARTBEAT_S)
        await fleet.start_routers()
        addresses = [router.callers for router in fleet.routers]

        async def others() -> None:
            """Other consumers: reads, and a booking every tenth time."""
            number = 0
            tasks: set[asyncio.Task[None]] = set()
            while True:
                number += 1
                task = asyncio.ensure_future(other(number))
                tasks.add(task)
                task.add_done_callback(tasks.discard)
                await asyncio.sleep(1 / READS_PER_S)

        async def other(number: int) -> None:
            is_booking = number % 10 == 0
            answer = await harness.call(
                addresses[number % ROUTERS],
                "/book/x" if is_booking else f"/read/{number}",
                f"o{number}",
                body=b"other %d" % number,
            )
            statuses[answer.status] += 1
            if answer.status != 200:
                lost.append(f"o{number}")
                record.line("other", id=f"o{number}", status=answer.status)

        background = asyncio.ensure_future(others())
        await asyncio.sleep(2.0)
        started_at = record.now()
        number = 0
        while record.now() - started_at < RUN_S:
            number += 1
            address = addresses[number % ROUTERS]
            record.line("sent", id=f"d{number}", router=number % ROUTERS)
            answer = await harness.call(
                address, "/book/deadly", f"d{number}", body=DEADLY
            )
            record.line("answered", id=f"d{number}", status=answer.status)
            await asyncio.sleep(AGAIN_S)
        background.cancel()
        loop = asyncio.get_running_loop()
        offset = record.now() - loop.time()
        runs = sorted(
            (at + offset, engine.id, request)
            for engine in engines
            for at, request in engine.crashes
        )
        for at, engine_id, request in runs:
            record.line("run", at=f"{at:.3f}", engine=engine_id, id=request)
        if os.environ.get("LOGS"):
            for router in fleet.routers:
                pathlib.Path(os.environ["LOGS"], router.log.name).write_bytes(
                    router.log.read_bytes()
                )
    bound = runs[2][0] + harness.STABILITY_S if len(runs) > 2 else None
    late = [run for run in runs if bound is not None and run[0] > bound]
    record.line("others", statuses=dict(statuses))
    record.line("verdict", runs=len(runs), after_the_third=len(late))
    print(f"runs={len(runs)} late={len(late)} others={dict(statuses)}")
    return harness.BROKEN if len(late) > MAX_RETRIES else harness.HELD


harness.run_case(case)
