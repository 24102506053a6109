"""A model of an engine that batches continuously."""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from chervilwall.prefix import PromptPart


class EngineSettings(NamedTuple):
    """Speed and size of an engine, as the users' sheets give them.

    Args:
        slots (int): Requests in a batch.
        step_ms (float): Shortest step.
        step_ms_per_slot (float): Further time of a step for each request.
        context_ms_per_k (float): Further time for each 1,000 tokens held.
        prefill_tokens_per_ms (float): Prompt tokens read in a millisecond.
        kv_tokens (int): Tokens that the memory holds.
        event_tokens (int): Tokens of one event.
        first_ms (float): Fixed time before a request is admitted.
    """

    slots: int = 64
    step_ms: float = 3.88
    step_ms_per_slot: float = 0.0276
    context_ms_per_k: float = 0.00365
    prefill_tokens_per_ms: float = 66.2
    kv_tokens: int = 627_365
    event_tokens: int = 5
    first_ms: float = 12.0


class EngineRun:
    """One request on an engine.

    Args:
        parts (tuple): Parts of its prompt, the last one its own.
        output_tokens (int): Tokens to generate.
        on_event (Callable): Called with each event and its time.
    """

    def __init__(
        self,
        parts: tuple[PromptPart, ...],
        output_tokens: int,
        on_event: Callable[[float], None],
    ) -> None:
        self.parts = parts
        self.output_tokens = output_tokens
        self.on_event = on_event
        self.made = 0
        self.held = sum(part.tokens for part in parts)
        self.done = asyncio.get_running_loop().create_future()


class Engine:
    """Read prompts in order of arrival, beside the tokens of others.

    Args:
        settings (EngineSettings): Speed and size.
        lag_s (float): Time of a message from or to a router.
    """

    def __init__(self, settings: EngineSettings, lag_s: float = 0.0005) -> None:
        self._cfg = settings
        self._lag_s = lag_s
        self._reading: deque[EngineRun] = deque()
        self._running: list[EngineRun] = []
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._cached = 0
        self._wake = asyncio.Event()
        self.read_tokens = 0
        self.kept_tokens = 0
        self.busy_s = 0.0

    def __repr__(self) -> str:
        return f"Engine(running={len(self._running)})"

    async def serve(self, run: EngineRun) -> None:
        """Runs a request to its end."""
        await asyncio.sleep(self._lag_s + self._cfg.first_ms / 1000)
        self._reading.append(run)
        self._wake.set()
        await run.done

    async def read(self) -> None:
        """Reads prompts for as long as the engine runs."""
        while True:
            full = len(self._running) >= self._cfg.slots
            if not self._reading or full:
                self._wake.clear()
                await self._wake.wait()
                continue
            run = self._reading.popleft()
            read_s = self._admit(run) / self._cfg.prefill_tokens_per_ms / 1000
            self.busy_s += read_s
            await asyncio.sleep(read_s)
            self._keep(run)
            self._running.append(run)
            self._wake.set()

    async def generate(self) -> None:
        """Generates tokens for as long as the engine runs."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._step_ms() / 1000)
            self._finish_step(loop.time())

    def _step_ms(self) -> float:
        cfg = self._cfg
        held = sum(run.held for run in self._running)
        step_ms = cfg.step_ms + cfg.step_ms_per_slot * len(self._running)
        return step_ms + cfg.context_ms_per_k * held / 1000

    def _admit(self, run: EngineRun) -> int:
        """Returns how many tokens of a prompt must be read."""
        total = sum(part.tokens for part in run.parts)
        cached = 0
        for part in run.parts:
            if part.id not in self._cache:
                break
            cached += part.tokens
        self.kept_tokens += cached
        self.read_tokens += total - cached
        return max(1, total - cached)

    def _finish_step(self, now: float) -> None:
        for run in list(self._running):
            run.made += 1
            run.held += 1
            whole = run.made >= run.output_tokens
            if whole or run.made % self._cfg.event_tokens == 1:
                run.on_event(now + self._lag_s)
            if whole:
                self._running.remove(run)
                self._keep(run)
                run.done.set_result(None)
                self._wake.set()

    def _keep(self, run: EngineRun) -> None:
        for part in run.parts:
            self._cached -= self._cache.pop(part.id, 0)
            self._cache[part.id] = part.tokens
            self._cached += part.tokens
        room = self._cfg.kv_tokens - sum(r.held for r in self._running)
        while self._cache and self._cached > room:
            _, tokens = self._cache.popitem(last=False)
            self._cached -= tokens
