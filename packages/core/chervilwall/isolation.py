"""Isolation of suspects: requests that may have crashed a target.

Running each suspect on a target without others leaves as few candidates as
possible for the cause of the next crash.
"""

from collections import Counter
from collections.abc import Set


class Isolation:
    """Count the suspects that run on each target.

    Designed for a crash with many requests in flight. All of them become
    suspects. Running each one on a different target shows which is the cause:
    its target crashes, and the others are answered.
    """

    def __init__(self) -> None:
        self._suspects: Counter[str] = Counter()

    def __repr__(self) -> str:
        return f"Isolation(targets={len(self._suspects)})"

    def targets(self) -> Set[str]:
        """Returns the ids of the targets that run a suspect."""
        return self._suspects.keys()

    def begin(self, target_id: str) -> None:
        """Records that a suspect starts to run on a target."""
        self._suspects[target_id] += 1

    def end(self, target_id: str) -> None:
        """Records that a suspect on a target has ended."""
        self._suspects[target_id] -= 1
        if not self._suspects[target_id]:
            del self._suspects[target_id]
