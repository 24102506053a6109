"""Tasks that run for as long as an edge router does."""

import asyncio
import logging
import random
from collections.abc import Awaitable, Callable

from chervilwall import events
from chervilwall.protocol import Metrics

LOG = logging.getLogger(__name__)
# The delay after the first failure. Each further failure doubles it; jitter
# then shortens it by up to a half.
RETRY_BASE_S = 0.1
MAX_RETRY_DELAY_S = 5.0
# A task that has run this long is not considered to fail repeatedly.
STABLE_S = 30.0


class BackgroundTasks:
    """Run coroutine functions, and restart those that fail.

    No data from another process may end a task for good: an unexpected
    exception is logged with its traceback, counted and followed by an
    exponential delay.

    Args:
        metrics (Metrics): Counts the failures, as "task_failed_NAME".
        clock (Callable): Returns the monotonic time in seconds.
        rng (random.Random): Source of the jitter of delays.

    Attributes:
        running (list[asyncio.Task]): The tasks, in the order of their start.
    """

    def __init__(
        self,
        metrics: Metrics,
        clock: Callable[[], float],
        rng: random.Random,
    ) -> None:
        self._metrics = metrics
        self._clock = clock
        self._rng = rng
        self.running: list[asyncio.Task[None]] = []

    def __repr__(self) -> str:
        return f"BackgroundTasks(tasks={len(self.running)})"

    def start(self, name: str, work: Callable[[], Awaitable[None]]) -> None:
        """Runs a coroutine function, again after each failure.

        Args:
            name (str): Name of the task in logs and metrics.
            work (Callable): The coroutine function. It must be possible to call
                it again after it has failed.
        """
        loop = asyncio.get_running_loop()
        self.running.append(loop.create_task(self._run(name, work)))

    async def stop(self) -> None:
        """Cancels all tasks and waits for their end."""
        for task in self.running:
            task.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)

    async def _run(
        self, name: str, work: Callable[[], Awaitable[None]]
    ) -> None:
        failures = 0
        while True:
            started_at = self._clock()
            try:
                await work()
                return
            except Exception:
                if self._clock() - started_at >= STABLE_S:
                    failures = 0
                delay_s = min(MAX_RETRY_DELAY_S, RETRY_BASE_S * 2**failures)
                failures += 1
                self._metrics.count(f"task_failed_{name}")
                events.log_failure(
                    LOG,
                    events.TASK_FAILED,
                    task=name,
                    failures=failures,
                    retry_s=delay_s,
                )
            await asyncio.sleep(delay_s * self._rng.uniform(0.5, 1.0))
