"""Targets that asked this router to pause sending requests."""

from collections.abc import Iterable

# Longer pauses are cut to this; a target that needs more time asks again.
MAX_PAUSE_S = 60.0


class TargetPauses:
    """Track the targets that rejected requests and asked for a pause.

    Designed for a target without free capacity for the requests of one router.
    Each further request would be rejected too, which takes time of the target
    and uses up the retry budget.
    """

    def __init__(self) -> None:
        self._paused_until: dict[str, float] = {}

    def __repr__(self) -> str:
        return f"TargetPauses(targets={len(self._paused_until)})"

    def record(self, target_id: str, pause_s: float, now: float) -> None:
        """Records that a target asked for a pause.

        A pause already in effect is never shortened.

        Args:
            target_id (str): The target.
            pause_s (float): Seconds from now for which it asked.
            now (float): Monotonic time.
        """
        until = now + min(pause_s, MAX_PAUSE_S)
        self._paused_until[target_id] = max(
            until, self._paused_until.get(target_id, 0.0)
        )

    def forget(self, target_id: str) -> None:
        """Ends the pause of a target that no longer runs."""
        self._paused_until.pop(target_id, None)

    def paused(self, now: float) -> frozenset[str]:
        """Returns the ids of the targets that are paused now."""
        if not self._paused_until:
            return frozenset()
        self._paused_until = {
            t: u for t, u in self._paused_until.items() if u > now
        }
        return frozenset(self._paused_until)

    def remaining_s(self, target_ids: Iterable[str], now: float) -> float:
        """Returns the seconds until at least one of the targets is not paused.

        It is 0 if one of them is not paused now, or if there are none.

        Args:
            target_ids (Iterable): Ids of the targets.
            now (float): Monotonic time.
        """
        return min(
            (
                max(0.0, self._paused_until.get(t, now) - now)
                for t in target_ids
            ),
            default=0.0,
        )
