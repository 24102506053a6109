"""Rendezvous hashing: every router computes the same owner on its own."""

import hashlib
import heapq
import math
from collections.abc import Iterable, Iterator

ASKED_FIRST = 8


def score(key: str, member: str) -> int:
    """Returns the weight of a member for a key."""
    blob = f"{key}\0{member}".encode()
    return int.from_bytes(hashlib.blake2b(blob, digest_size=8).digest())


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the member that owns a key, or None without members."""
    return max(members, key=lambda m: score(key, m), default=None)


def owners(key: str, members: Iterable[str], count: int) -> list[str]:
    """Returns the first owners of a key, the best first."""
    return heapq.nlargest(count, members, key=lambda m: score(key, m))


def _by_score(key: str, members: list[str]) -> Iterator[str]:
    first = owners(key, members, ASKED_FIRST)
    yield from first
    # Few keys ever ask further, so the rest is put in order only then.
    yield from owners(key, members, len(members))[len(first) :]


def assign(keys: Iterable[str], members: Iterable[str]) -> dict[str, str]:
    """Returns an owner for each key, none owning more than an even part.

    Keys ask members in the order of their scores, and a member that is full
    keeps the keys that score best with it (deferred acceptance). The outcome
    does not depend on the order of asking, and the loss of a member moves few
    keys but its own.

    Args:
        keys (Iterable[str]): What is to be owned.
        members (Iterable[str]): Who may own it.
    """
    waiting, candidates = list(keys), list(members)
    if not candidates:
        return {}
    limit = math.ceil(len(waiting) / len(candidates))
    kept: dict[str, list[tuple[int, str]]] = {m: [] for m in candidates}
    asked: dict[str, Iterator[str]] = {}
    while waiting:
        key = waiting.pop()
        if key not in asked:
            asked[key] = _by_score(key, candidates)
        member = next(asked[key])
        heapq.heappush(kept[member], (score(key, member), key))
        if len(kept[member]) > limit:
            _, turned_away = heapq.heappop(kept[member])
            waiting.append(turned_away)
    return {key: m for m, items in kept.items() for _, key in items}
