"""Estimates which prompt prefixes each target has in its cache."""

from collections import OrderedDict
from collections.abc import Iterable, Sequence
from typing import NamedTuple

# A part that was not used for this long has most likely been evicted.
PART_TTL_S = 30.0
MAX_PARTS_PER_TARGET = 4096


class PromptPart(NamedTuple):
    """One of the consecutive parts into which the caller divides a prompt.

    Args:
        id (str): Identifier of its text; equal texts have equal identifiers.
        tokens (int): Length in tokens.
    """

    id: str
    tokens: int


class SharedPrefixDetector:
    """Detect whether the last part of a route's prompts is shared.

    On some routes the last part is unique to each request, and the shared
    prefix ends before it; on others several requests share the whole prompt.
    The two cases are told apart by how often ids of last parts recur.
    """

    # Weight of a new prompt in the moving average of the recurrence.
    SAMPLE_WEIGHT = 0.02
    # Last parts count as shared if at least this fraction was seen before.
    MIN_RECURRENCE = 0.3
    MAX_IDS = 4096

    def __init__(self) -> None:
        self._seen: OrderedDict[str, None] = OrderedDict()
        self._recurrence = 0.0

    def __repr__(self) -> str:
        return f"SharedPrefixDetector(recurrence={self._recurrence:.2f})"

    def observe(self, parts: Sequence[PromptPart]) -> None:
        """Records a prompt; prompts of retries must not be passed."""
        if not parts:
            return
        last = parts[-1].id
        seen = 1.0 if last in self._seen else 0.0
        self._recurrence += self.SAMPLE_WEIGHT * (seen - self._recurrence)
        self._seen[last] = None
        self._seen.move_to_end(last)
        if len(self._seen) > self.MAX_IDS:
            self._seen.popitem(last=False)

    def shared(self, parts: Sequence[PromptPart]) -> Sequence[PromptPart]:
        """Returns the leading parts that other requests share."""
        if len(parts) < 2 or self._recurrence >= self.MIN_RECURRENCE:
            return parts
        return parts[:-1]


class PrefixMap:
    """Estimate which prompt parts each target has in its cache.

    Engines evict the least recently used parts, so each target is modelled as
    an LRU cache of the parts that it was sent.

    Args:
        capacity_tokens (int): Tokens of shared parts that a target caches.
            The default is practically no limit.
    """

    def __init__(self, capacity_tokens: int = 1 << 40) -> None:
        self.capacity_tokens = capacity_tokens
        self._cached_parts: dict[str, OrderedDict[str, tuple[int, float]]] = {}
        self._tokens: dict[str, int] = {}
        # Targets by id of a part. Most parts are cached by a few targets only.
        self._holders: dict[str, set[str]] = {}

    def __repr__(self) -> str:
        return f"PrefixMap(targets={len(self._cached_parts)})"

    def record(
        self, target_id: str, parts: Iterable[PromptPart], now: float
    ) -> None:
        """Records that parts were sent to a target, as most recently used."""
        cached = self._cached_parts.setdefault(target_id, OrderedDict())
        total = self._tokens.get(target_id, 0)
        for part in parts:
            old = cached.pop(part.id, None)
            total += part.tokens - (old[0] if old else 0)
            cached[part.id] = (part.tokens, now)
            if old is None:
                self._holders.setdefault(part.id, set()).add(target_id)
        while cached and (
            total > self.capacity_tokens or len(cached) > MAX_PARTS_PER_TARGET
        ):
            part_id, (tokens, _) = cached.popitem(last=False)
            total -= tokens
            self._drop_holder(part_id, target_id)
        self._tokens[target_id] = total

    def cached_by_target(
        self, parts: Sequence[PromptPart], now: float
    ) -> dict[str, int]:
        """Returns the tokens of the longest cached prefix, by target id.

        Targets that have none of it cached are left out.
        """
        found: dict[str, int] = {}
        holders: set[str] | None = None
        for part in parts:
            part_holders = self._holders.get(part.id)
            if not part_holders:
                break
            holders = (
                part_holders if holders is None else holders & part_holders
            )
            unexpired = set()
            for target_id in holders:
                if (
                    now - self._cached_parts[target_id][part.id][1]
                    <= PART_TTL_S
                ):
                    found[target_id] = found.get(target_id, 0) + part.tokens
                    unexpired.add(target_id)
            holders = unexpired
            if not holders:
                break
        return found

    def forget(self, target_id: str) -> None:
        """Removes a target that ended or lost its cache."""
        for part_id in self._cached_parts.pop(target_id, {}):
            self._drop_holder(part_id, target_id)
        self._tokens.pop(target_id, None)

    def _drop_holder(self, part_id: str, target_id: str) -> None:
        holders = self._holders.get(part_id)
        if holders is not None:
            holders.discard(target_id)
            if not holders:
                del self._holders[part_id]
