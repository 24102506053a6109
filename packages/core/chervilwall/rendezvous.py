"""Rendezvous hashing, which chooses the member that owns a key.

Routers that know the same members choose the same owner without coordination.
"""

import hashlib
import heapq
import math
from collections.abc import Iterable, Iterator

# Members that are ranked for a key at first; see `_ranked_members`.
INITIAL_RANKED_MEMBERS = 8


def score(key: str, member: str) -> int:
    """Returns the score of a member for a key; the highest score owns it."""
    data = f"{key}\0{member}".encode()
    return int.from_bytes(hashlib.blake2b(data, digest_size=8).digest())


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the member that owns a key, or None without members."""
    return max(members, key=lambda m: score(key, m), default=None)


def select_owners(key: str, members: Iterable[str], count: int) -> list[str]:
    """Returns the members with the highest scores for a key, in order."""
    return heapq.nlargest(count, members, key=lambda m: score(key, m))


def _ranked_members(key: str, members: list[str]) -> Iterator[str]:
    initial = select_owners(key, members, INITIAL_RANKED_MEMBERS)
    yield from initial
    # Sort the remaining members only on demand: few keys are rejected by all
    # of the initial ones.
    yield from select_owners(key, members, len(members))[len(initial) :]


def assign(keys: Iterable[str], members: Iterable[str]) -> dict[str, str]:
    """Assigns an owner to each key and balances the number of keys.

    This is deferred acceptance: each key proposes to the members in descending
    order of score, and a member above its limit rejects the key with the
    lowest score. The result does not depend on the order of the keys, and the
    loss of a member moves few keys besides its own.

    Args:
        keys (Iterable[str]): Keys to assign.
        members (Iterable[str]): Members that may own keys.

    Returns:
        The owner of each key, empty without members. No member owns more than
        the number of keys divided by the number of members, rounded up.
    """
    unassigned, candidates = list(keys), list(members)
    if not candidates:
        return {}
    max_keys = math.ceil(len(unassigned) / len(candidates))
    accepted: dict[str, list[tuple[int, str]]] = {m: [] for m in candidates}
    proposals: dict[str, Iterator[str]] = {}
    while unassigned:
        key = unassigned.pop()
        if key not in proposals:
            proposals[key] = _ranked_members(key, candidates)
        member = next(proposals[key])
        heapq.heappush(accepted[member], (score(key, member), key))
        if len(accepted[member]) > max_keys:
            _, rejected = heapq.heappop(accepted[member])
            unassigned.append(rejected)
    return {key: m for m, items in accepted.items() for _, key in items}
