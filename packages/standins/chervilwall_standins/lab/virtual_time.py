"""An event loop in virtual time, whose clock jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _VirtualClock(selectors.SelectSelector):
    """Advance a virtual clock instead of waiting for input or output."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advances the clock by the timeout and returns no events.

        Raises:
            RuntimeError: If no timer is scheduled, so that the loop would wait
                forever.
        """
        if timeout is None:
            raise RuntimeError(
                f"deadlock at virtual time {self.now:g} s: no timer scheduled"
            )
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run coroutines in virtual time, without support for input or output.

    Virtual time is the time that the simulated components see; it passes only
    when all coroutines wait for timers.
    """

    def __init__(self) -> None:
        self._virtual_clock = _VirtualClock()
        super().__init__(self._virtual_clock)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._virtual_clock.now


def run(coroutine: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine in virtual time and returns its result."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(coroutine)
    finally:
        loop.close()
