"""Targets that run suspects, so that a crash names as few as possible."""

from collections import Counter
from collections.abc import Set


class Isolation:
    """Count the suspects on each target.

    Answers the load pattern of a crash that makes suspects of all requests that
    were in flight: sent to different targets, each clears or condemns itself.
    """

    def __init__(self) -> None:
        self._suspects: Counter[str] = Counter()

    def __repr__(self) -> str:
        return f"Isolation(targets={len(self._suspects)})"

    def targets(self) -> Set[str]:
        """Returns the targets that run a suspect."""
        return self._suspects.keys()

    def begin(self, target_id: str) -> None:
        """Notes that a suspect runs on a target."""
        self._suspects[target_id] += 1

    def end(self, target_id: str) -> None:
        """Notes that a suspect has ended there."""
        self._suspects[target_id] -= 1
        if not self._suspects[target_id]:
            del self._suspects[target_id]
