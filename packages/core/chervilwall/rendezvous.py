"""Rendezvous hashing: every router computes the same owner on its own."""

import hashlib
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
