"""Load of the targets, summed over what all routers have on them."""

from collections.abc import Iterable, Mapping
from typing import NamedTuple

# A router that is silent for this long has stopped or is cut off.
PEER_TTL_S = 1.5


class TargetLoad(NamedTuple):
    """What runs on a target.

    Args:
        running (int): Requests sent and not yet ended.
        prefill_tokens (int): Prompt tokens sent whose first event is awaited.
        kv_tokens (int): Tokens that its requests occupy in its cache.
    """

    running: int = 0
    prefill_tokens: int = 0
    kv_tokens: int = 0

    def plus(self, other: "TargetLoad") -> "TargetLoad":
        """Returns the sum of two loads."""
        return TargetLoad(
            self.running + other.running,
            self.prefill_tokens + other.prefill_tokens,
            self.kv_tokens + other.kv_tokens,
        )


IDLE = TargetLoad()


class LoadView:
    """Sum this router's load with the newest report of each peer."""

    def __init__(self) -> None:
        self._own: dict[str, TargetLoad] = {}
        self._peers: dict[str, tuple[float, Mapping[str, TargetLoad]]] = {}

    def __repr__(self) -> str:
        return f"LoadView(peers={len(self._peers)})"

    def add_own(
        self, target_id: str, running: int, prefill_tokens: int, kv_tokens: int
    ) -> None:
        """Adds to this router's load on a target; negative amounts take off."""
        change = TargetLoad(running, prefill_tokens, kv_tokens)
        total = self._own.get(target_id, IDLE).plus(change)
        if total == IDLE:
            self._own.pop(target_id, None)
        else:
            self._own[target_id] = total

    def own(self) -> Mapping[str, TargetLoad]:
        """Returns this router's load by target."""
        return self._own

    def own_running(self, target_id: str) -> int:
        """Returns how many of this router's requests a target runs."""
        return self._own.get(target_id, IDLE).running

    def set_peer(
        self, peer: str, loads: Iterable[tuple[str, TargetLoad]], now: float
    ) -> None:
        """Takes in a peer's report."""
        self._peers[peer] = (now, dict(loads))

    def drop_peer(self, peer: str) -> None:
        """Forgets a peer."""
        self._peers.pop(peer, None)

    def total(self, target_id: str, now: float) -> TargetLoad:
        """Returns the load of a target over all routers."""
        load = self._own.get(target_id, IDLE)
        for at, loads in self._peers.values():
            if now - at <= PEER_TTL_S and target_id in loads:
                load = load.plus(loads[target_id])
        return load
