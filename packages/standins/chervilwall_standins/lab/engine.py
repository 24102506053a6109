"""Simulated model engine with continuous batching and a prefix cache."""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from typing import NamedTuple

from chervilwall.prefix import PromptPart


class EngineSettings(NamedTuple):
    """Speed and size of an engine; the defaults are the users' figures.

    An engine generates tokens for a batch of requests at once: each decoding
    step adds one token to every request in the batch. Before that, the prompt
    of a request is prefilled, that is, read into the KV cache.

    Args:
        slots (int): Maximum number of requests in a batch.
        step_ms (float): Base duration of a decoding step.
        step_ms_per_slot (float): Additional duration per request in the batch.
        context_ms_per_k (float): Additional duration per 1,000 tokens of
            context in the batch.
        prefill_tokens_per_ms (float): Prompt tokens prefilled per millisecond.
        kv_tokens (int): Capacity of the KV cache, in tokens.
        event_tokens (int): Tokens from one event of a response stream to the
            next. An event is sent with the first token, then every
            `event_tokens` tokens, and with the last token. Must be at least 2:
            with 1, only the last event is sent.
        admission_ms (float): Fixed delay before a request is queued for
            prefill.
    """

    slots: int = 64
    step_ms: float = 3.88
    step_ms_per_slot: float = 0.0276
    context_ms_per_k: float = 0.00365
    prefill_tokens_per_ms: float = 66.2
    kv_tokens: int = 627_365
    event_tokens: int = 5
    admission_ms: float = 12.0


class EngineRun:
    """Hold the state of one request on an engine.

    Args:
        parts (tuple): Parts of the prompt; the last one is not shared with
            other requests.
        output_tokens (int): Number of tokens to generate.
        on_event (Callable): Called for each event with the time in seconds at
            which the router receives it.
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
        self.generated_tokens = 0
        self.context_tokens = sum(part.tokens for part in parts)
        self.finished = asyncio.get_running_loop().create_future()


class Engine:
    """Simulate an engine that prefills prompts while it decodes others.

    Prompts are prefilled one at a time, in order of arrival.

    Args:
        settings (EngineSettings): Speed and size.
        latency_s (float): Network latency between router and engine, one way.
            Defaults to 0.5 ms.
    """

    def __init__(
        self, settings: EngineSettings, latency_s: float = 0.0005
    ) -> None:
        self._cfg = settings
        self._latency_s = latency_s
        self._prefill_queue: deque[EngineRun] = deque()
        self._decoding: list[EngineRun] = []
        self._cache: OrderedDict[str, int] = OrderedDict()
        self._cached_tokens = 0
        self._last_parts: set[str] = set()
        self._state_changed = asyncio.Event()
        self.prefill_tokens = 0
        self.cached_tokens = 0
        self.busy_s = 0.0

    def __repr__(self) -> str:
        return f"Engine(running={len(self._decoding)})"

    def shared_parts(self) -> list[PromptPart]:
        """Returns the cached parts that were not the last of their prompts."""
        return [
            PromptPart(part_id, tokens)
            for part_id, tokens in self._cache.items()
            if part_id not in self._last_parts
        ]

    async def serve(self, run: EngineRun) -> None:
        """Serves a request and returns when it is finished."""
        await asyncio.sleep(self._latency_s + self._cfg.admission_ms / 1000)
        self._prefill_queue.append(run)
        self._state_changed.set()
        await run.finished

    async def run_prefill(self) -> None:
        """Prefills queued prompts until cancelled."""
        while True:
            is_full = len(self._decoding) >= self._cfg.slots
            if not self._prefill_queue or is_full:
                self._state_changed.clear()
                await self._state_changed.wait()
                continue
            run = self._prefill_queue.popleft()
            prefill_s = (
                self._match_cache(run) / self._cfg.prefill_tokens_per_ms / 1000
            )
            self.busy_s += prefill_s
            await asyncio.sleep(prefill_s)
            self._cache_prompt(run)
            self._decoding.append(run)
            self._state_changed.set()

    async def run_decoding(self) -> None:
        """Runs decoding steps until cancelled."""
        loop = asyncio.get_running_loop()
        while True:
            await asyncio.sleep(self._step_ms() / 1000)
            self._generate_tokens(loop.time())

    def _step_ms(self) -> float:
        cfg = self._cfg
        context_tokens = sum(run.context_tokens for run in self._decoding)
        step_ms = cfg.step_ms + cfg.step_ms_per_slot * len(self._decoding)
        return step_ms + cfg.context_ms_per_k * context_tokens / 1000

    def _match_cache(self, run: EngineRun) -> int:
        """Looks up a prompt in the cache and updates the token counters.

        Returns:
            Number of tokens to prefill, at least 1.
        """
        total = sum(part.tokens for part in run.parts)
        matched = 0
        for part in run.parts:
            if part.id not in self._cache:
                break
            matched += part.tokens
        self.cached_tokens += matched
        self.prefill_tokens += total - matched
        return max(1, total - matched)

    def _generate_tokens(self, now: float) -> None:
        """Generates one token for each request in the batch."""
        for run in list(self._decoding):
            run.generated_tokens += 1
            run.context_tokens += 1
            is_finished = run.generated_tokens >= run.output_tokens
            if (
                is_finished
                or run.generated_tokens % self._cfg.event_tokens == 1
            ):
                run.on_event(now + self._latency_s)
            if is_finished:
                self._decoding.remove(run)
                self._cache_prompt(run)
                run.finished.set_result(None)
                self._state_changed.set()

    def _cache_prompt(self, run: EngineRun) -> None:
        """Caches a prompt, dropping the least recently used parts if needed."""
        self._last_parts.add(run.parts[-1].id)
        for part in run.parts:
            self._cached_tokens -= self._cache.pop(part.id, 0)
            self._cache[part.id] = part.tokens
            self._cached_tokens += part.tokens
        free_tokens = self._cfg.kv_tokens - sum(
            r.context_tokens for r in self._decoding
        )
        while self._cache and self._cached_tokens > free_tokens:
            _, tokens = self._cache.popitem(last=False)
            self._cached_tokens -= tokens
