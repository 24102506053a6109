"""Rendezvous hashing: every router computes the same owner on its own."""

import hashlib
import math
from collections.abc import Iterable


def score(key: str, member: str) -> int:
    """Returns the weight of a member for a key."""
    blob = f"{key}\0{member}".encode()
    return int.from_bytes(hashlib.blake2b(blob, digest_size=8).digest())


def owner(key: str, members: Iterable[str]) -> str | None:
    """Returns the member that owns a key, or None without members."""
    return max(members, key=lambda m: score(key, m), default=None)


def owners(key: str, members: Iterable[str], count: int) -> list[str]:
    """Returns the first owners of a key, the best first."""
    return sorted(members, key=lambda m: score(key, m), reverse=True)[:count]


def assign(keys: Iterable[str], members: Iterable[str]) -> dict[str, str]:
    """Returns an owner for each key, none owning more than an even part.

    Keys take their best member that is not full, in the order of their names,
    so that all who see the same members compute the same.
    """
    ordered, candidates = sorted(keys), list(members)
    if not candidates:
        return {}
    limit = math.ceil(len(ordered) / len(candidates))
    counts = dict.fromkeys(candidates, 0)
    found: dict[str, str] = {}
    for key in ordered:
        open_members = [m for m in candidates if counts[m] < limit]
        best = max(open_members, key=lambda m: score(key, m))
        counts[best] += 1
        found[key] = best
    return found
