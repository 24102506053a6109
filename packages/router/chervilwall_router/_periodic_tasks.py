"""Periodic background work of a router."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable

from chervilwall import events
from chervilwall.errors import ChervilwallError
from chervilwall.pacing import scaled_period_s

LOG = logging.getLogger(__name__)
RETRY_PAUSE_S = 0.5


class PeriodicTasks:
    """Run coroutine functions periodically.

    A function that has failed is run again, after a pause that is longer by
    `RETRY_PAUSE_S`.

    Args:
        members (Callable): Returns the number of routers, not their names, that
            run the same functions.
    """

    def __init__(self, members: Callable[[], int]) -> None:
        self._count_members = members
        self._tasks: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        return f"PeriodicTasks(tasks={len(self._tasks)})"

    def start(
        self,
        base_s: float,
        work: Callable[[], Awaitable],
        *,
        rounds_per_s: float = math.inf,
    ) -> None:
        """Runs a coroutine function periodically until `stop` is called.

        Args:
            base_s (float): Pause between rounds, in seconds. It is longer in a
                fleet so large that rounds_per_s would otherwise be exceeded.
            work (Callable): The coroutine function.
            rounds_per_s (float): Maximum rounds per second over all routers.
                Defaults to no limit.
        """
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._repeat(base_s, work, rounds_per_s))
        self._tasks.append(task)

    async def stop(self) -> None:
        """Cancels all periodic work and waits for its end."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _repeat(
        self,
        base_s: float,
        work: Callable[[], Awaitable],
        rounds_per_s: float,
    ) -> None:
        while True:
            pause_s = await self._run_round(work)
            period_s = scaled_period_s(
                base_s, self._count_members(), rounds_per_s
            )
            await asyncio.sleep(period_s + pause_s)

    async def _run_round(self, work: Callable[[], Awaitable]) -> float:
        """Runs one round.

        Returns:
            Seconds to add to the pause, 0 if the round succeeded.
        """
        try:
            await work()
        except ChervilwallError as exc:
            # The code that raised the error has logged it as an event.
            LOG.debug("%s: %s", work.__name__, exc)
            return RETRY_PAUSE_S
        except Exception:
            events.log_failure(LOG, events.TASK_FAILED)
            return RETRY_PAUSE_S
        return 0.0
