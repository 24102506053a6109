"""An event loop whose clock jumps to the next timer."""

import asyncio
import selectors
from collections.abc import Coroutine
from typing import Any, TypeVar

T = TypeVar("T")


class _JumpingSelector(selectors.SelectSelector):
    """Pass time instead of waiting for it."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0

    def select(self, timeout: float | None = None) -> list:
        """Advances the clock by the time that would have been waited."""
        if timeout is None:
            raise RuntimeError("nothing is left to happen")
        self.now += max(0.0, timeout)
        return []


class VirtualLoop(asyncio.SelectorEventLoop):
    """Run coroutines in virtual time; no input or output works here."""

    def __init__(self) -> None:
        self._jumping = _JumpingSelector()
        super().__init__(self._jumping)

    def time(self) -> float:
        """Returns the virtual time in seconds."""
        return self._jumping.now


def run(work: Coroutine[Any, Any, T]) -> T:
    """Runs a coroutine to its end in virtual time."""
    loop = VirtualLoop()
    try:
        return loop.run_until_complete(work)
    finally:
        loop.close()
