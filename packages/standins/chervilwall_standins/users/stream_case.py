"""Base of tests of streams from targets of several software versions."""

import asyncio
import collections
import unittest
from collections.abc import Iterable, Sequence

from chervilwall_standins.users.fleet import ROUTES, EdgeFleet
from chervilwall_standins.users.stream_caller import (
    StreamAttempt,
    StreamCaller,
)
from chervilwall_standins.users.target import FakeTarget

# Tries to begin a stream, and the pause between them in seconds.
MAX_BEGIN_TRIES = 4
BEGIN_PAUSE_S = 0.3
EVENTS = 40
# Longest time until a caller learns that its stream does not go on.
PROMPT_S = 0.5
TIMEOUT_MS = 8000
# Long enough for a caller whose routers start anew meanwhile.
_LONG_ROUTES = [route | {"timeout_ms": TIMEOUT_MS} for route in ROUTES]


class StreamVersionsCase(unittest.IsolatedAsyncioTestCase):
    """Run a fleet whose targets may differ in their software version.

    Attributes:
        targets (list[FakeTarget]): All targets that were ever started.
        fleet (EdgeFleet): The fleet.
    """

    _prompts = 0

    async def start(
        self,
        *versions: str | None,
        routers: int = 3,
        mesh_most: int = 16,
        slots: int = 8,
        interval_s: float = 0.02,
    ) -> None:
        """Starts a fleet of targets, named m0, m1, ...

        Args:
            *versions (str | None): Version of each target.
            routers (int): Number of routers. Defaults to 3.
            mesh_most (int): Number of routers up to which there are no hubs.
                Defaults to 16.
            slots (int): Requests that each target processes concurrently.
                Defaults to 8.
            interval_s (float): Pause after each event, in seconds. Defaults to
                0.02.
        """
        self.targets: list[FakeTarget] = []
        self._interval_s = interval_s
        made = [self.make_target(version) for version in versions]
        for target in made:
            target.slots = slots
        self.fleet = EdgeFleet(
            *made, routers=routers, mesh_most=mesh_most, routes=_LONG_ROUTES
        )
        await self.fleet.__aenter__()
        self.addAsyncCleanup(self.fleet.__aexit__)

    def make_target(self, version: str | None) -> FakeTarget:
        """Returns a target of a version, not started yet."""
        target = FakeTarget(
            f"m{len(self.targets)}",
            "model",
            events=EVENTS,
            event_interval_s=self._interval_s,
            version=version,
        )
        self.targets.append(target)
        return target

    async def add_target(self, version: str | None) -> FakeTarget:
        """Adds a target of a version to the fleet."""
        target = self.make_target(version)
        await self.fleet.add_target(target)
        return target

    async def release(self, version: str) -> None:
        """Replaces all targets by as many of another version."""
        old = self.fleet.targets
        for _ in old:
            await self.add_target(version)
        for target in old:
            await self.fleet.drain_target(target)
        for target in old:
            await self.fleet.remove_target(target)

    async def begin_streams(
        self, count: int = 12, *, router: int | None = None
    ) -> list[StreamCaller]:
        """Begins streams, each with a prompt of its own.

        Args:
            count (int): Number of streams. Defaults to 12.
            router (int | None): Index of the router that gets them. Defaults
                to all in turn.
        """
        callers = [self.make_caller() for _ in range(count)]
        routers = len(self.fleet.routers)
        begun = await asyncio.gather(
            *(
                self._begin(
                    caller, number % routers if router is None else router
                )
                for number, caller in enumerate(callers)
            )
        )
        self.assertTrue(all(begun))
        return callers

    async def _begin(self, caller: StreamCaller, router: int) -> bool:
        """Begins a stream, also where a busy host refuses it at first."""
        for _ in range(MAX_BEGIN_TRIES):
            if await caller.begin(router):
                return True
            await asyncio.sleep(BEGIN_PAUSE_S)
        return False

    def make_caller(
        self, *, shared_tokens: int = 50, own_tokens: int = 50
    ) -> StreamCaller:
        """Returns a caller that shares only the first part of its prompt.

        Args:
            shared_tokens (int): Tokens of that part. Defaults to 50.
            own_tokens (int): Tokens of the rest. Defaults to 50.
        """
        self._prompts += 1
        own_part = f"{0xC000 + self._prompts:x}"
        caller = StreamCaller(
            self.fleet,
            token_usage=f"{shared_tokens + own_tokens},90",
            prompt_prefix=f"aa:{shared_tokens},{own_part}:{own_tokens}",
            timeout_remaining=str(TIMEOUT_MS),
        )
        self.addCleanup(caller.close)
        return caller

    async def take_up(
        self,
        callers: Sequence[StreamCaller],
        *,
        router: int | None = None,
        **options: str,
    ) -> None:
        """Takes streams up, by default at the router after the one they had.

        Args:
            callers (Sequence): Callers of the streams.
            router (int | None): Index of the router that gets all. Defaults to
                the one after that which got a stream from begin_streams().
            **options (str): Options of StreamCaller.call.
        """
        for caller in callers:
            caller.close()
        routers = len(self.fleet.routers)
        await asyncio.gather(
            *(
                caller.call(
                    (number + 1) % routers if router is None else router,
                    **options,
                )
                for number, caller in enumerate(callers)
            )
        )

    async def read_rest(self, callers: Iterable[StreamCaller]) -> None:
        """Reads the attempts that callers began to their ends."""
        await asyncio.gather(*(caller.read_rest() for caller in callers))

    def busiest(
        self, callers: Iterable[StreamCaller]
    ) -> dict[FakeTarget, list[StreamCaller]]:
        """Returns the target of each version with most of some streams.

        Returns:
            dict: Those targets and the callers of their streams.
        """
        by_target: dict[FakeTarget, list[StreamCaller]]
        by_target = collections.defaultdict(list)
        for caller in callers:
            by_target[self.target_of(caller)].append(caller)
        found = {}
        for version in {target.version for target in by_target}:
            target = max(
                (x for x in by_target if x.version == version),
                key=lambda x: len(by_target[x]),
            )
            found[target] = by_target[target]
        return found

    async def displace(
        self, callers: Iterable[StreamCaller]
    ) -> list[StreamCaller]:
        """Drains the busiest target of each version.

        Returns:
            list[StreamCaller]: The callers of their streams, which only other
                targets can take up.
        """
        busiest = self.busiest(callers)
        for target in busiest:
            await self.fleet.drain_target(target)
        return [caller for found in busiest.values() for caller in found]

    def target_of(self, caller: StreamCaller) -> FakeTarget:
        """Returns the target that ran the last attempt of a caller."""
        return next(
            target
            for target in reversed(self.targets)
            if caller.attempt_id in target.executed
        )

    def assert_not_joined(self, callers: Iterable[StreamCaller]) -> None:
        """Checks that no stream holds events of two versions or has gaps."""
        callers = list(callers)
        joined = [x.versions for x in callers if len(x.versions) > 1]
        for caller in callers:
            self.assertEqual(
                caller.numbers, list(range(1, len(caller.events) + 1))
            )
        if joined:
            versions = sorted(set().union(*joined))
            self.fail(
                f"{len(joined)} of {len(callers)} streams are joined from "
                f"versions {versions}"
            )

    def assert_whole(self, callers: Iterable[StreamCaller]) -> None:
        """Checks that all streams went on to their end at one version."""
        callers = list(callers)
        self.assert_not_joined(callers)
        ends = [(x.attempts[-1].status, len(x.events)) for x in callers]
        self.assertEqual(ends, [(200, EVENTS)] * len(callers))
        self.assertTrue(all(x.attempts[-1].is_complete for x in callers))

    def assert_refused(self, callers: Iterable[StreamCaller]) -> None:
        """Checks that the last attempts were refused at once and not run."""
        for caller in callers:
            attempt = caller.attempts[-1]
            self.assertEqual(attempt.status, 503)
            self.assertIsNone(attempt.retry_after)
            self.assertEqual(attempt.events, [])
            self.assertLess(attempt.duration_s, PROMPT_S)
            self.assert_not_run(attempt)

    def assert_broken_off(self, callers: Iterable[StreamCaller]) -> None:
        """Checks that the last attempts ended early and joined nothing."""
        callers = list(callers)
        self.assert_not_joined(callers)
        self.assertFalse(any(x.attempts[-1].is_complete for x in callers))

    def assert_went_on_or_refused(
        self, callers: Iterable[StreamCaller]
    ) -> None:
        """Checks that streams went on at their version or not at all."""
        callers = list(callers)
        self.assert_not_joined(callers)
        self.assert_whole(x for x in callers if x.attempts[-1].status == 200)
        self.assert_refused(x for x in callers if x.attempts[-1].status != 200)

    def assert_not_run(self, attempt: StreamAttempt) -> None:
        """Checks that no target ran an attempt."""
        for target in self.targets:
            self.assertNotIn(attempt.id, target.executed)
