"""Work that is repeated for as long as a router runs."""

import asyncio
import logging
import math
from collections.abc import Awaitable, Callable

from chervilwall import events
from chervilwall.errors import ChervilwallError
from chervilwall.pacing import scaled_period_s

LOG = logging.getLogger(__name__)
RETRY_PAUSE_S = 0.5


class PeriodicWork:
    """Repeat pieces of work, whatever becomes of each round.

    Args:
        members (Callable): Returns how many routers share the work.
    """

    def __init__(self, members: Callable[[], int]) -> None:
        self._members = members
        self._tasks: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        return f"PeriodicWork(tasks={len(self._tasks)})"

    def every(
        self,
        base_s: float,
        work: Callable[[], Awaitable],
        *,
        rounds_per_s: float = math.inf,
    ) -> None:
        """Starts to repeat a piece of work.

        Args:
            base_s (float): Seconds between rounds in a small fleet.
            work (Callable): The work.
            rounds_per_s (float): Most rounds a second of the whole fleet.
        """
        loop = asyncio.get_running_loop()
        task = loop.create_task(self._repeat(base_s, work, rounds_per_s))
        self._tasks.append(task)

    async def stop(self) -> None:
        """Stops all work."""
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
            pause_s = await self._round(work)
            period_s = scaled_period_s(base_s, self._members(), rounds_per_s)
            await asyncio.sleep(period_s + pause_s)

    async def _round(self, work: Callable[[], Awaitable]) -> float:
        """Runs one round; returns the seconds to wait for a failure."""
        try:
            await work()
        except ChervilwallError as exc:
            # What failed was logged as an event where it failed.
            LOG.debug("%s: %s", work.__name__, exc)
            return RETRY_PAUSE_S
        except Exception:
            events.log_failure(LOG, events.TASK_FAILED)
            return RETRY_PAUSE_S
        return 0.0
