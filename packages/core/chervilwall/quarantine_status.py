"""Quarantine status of a request, or of a prompt part."""

from collections.abc import Iterable
from typing import NamedTuple

from chervilwall.crash_records import Crash

# Bounds of the Retry-After that callers of a refused request receive.
MIN_RETRY_AFTER_S = 0.5
MAX_RETRY_AFTER_S = 30.0


class QuarantineStatus(NamedTuple):
    """The crashes attributed to a request, and whether it may run.

    Args:
        crashes (tuple): Crashes attributed to it, the oldest first.
        is_quarantined (bool): Whether it is quarantined, and so runs only as a
            trial.
        trial_at (float): Monotonic time from which a quarantined request may
            run as a trial; until then it is refused.
        causes (tuple): Fingerprints that are quarantined: that of the request,
            of parts of its prompt, or both.
    """

    crashes: tuple[Crash, ...] = ()
    is_quarantined: bool = False
    trial_at: float = 0.0
    causes: tuple[bytes, ...] = ()

    @property
    def is_suspect(self) -> bool:
        """Whether any crash is attributed to it."""
        return bool(self.crashes)

    def is_refused(self, now: float) -> bool:
        """Returns whether the request must not run now."""
        return self.is_quarantined and now < self.trial_at

    def has_worsened_since(self, before: "QuarantineStatus") -> bool:
        """Returns whether it was quarantined, or crashed a target, since.

        Args:
            before (QuarantineStatus): Earlier status of the same request.
        """
        if not self.is_quarantined:
            return False
        is_new = not before.is_quarantined
        return is_new or len(self.crashes) > len(before.crashes)

    def retry_after_s(self, now: float) -> float:
        """Returns the seconds after which a caller should retry."""
        return min(
            max(self.trial_at - now, MIN_RETRY_AFTER_S), MAX_RETRY_AFTER_S
        )


class QuarantineChange(NamedTuple):
    """A change of the quarantine of a request or of a prompt part.

    It was quarantined or released, or another crash was attributed to it while
    it was in quarantine.

    Args:
        fingerprint (bytes): Its fingerprint.
        status (QuarantineStatus): Its quarantine status after the change.
        reason (str): One of the REASON constants of `crash_ledger`.
    """

    fingerprint: bytes
    status: QuarantineStatus
    reason: str


NO_CRASHES = QuarantineStatus()


def combine_statuses(statuses: Iterable[QuarantineStatus]) -> QuarantineStatus:
    """Returns the status of a request from those of its fingerprints.

    If any is quarantined, the others do not matter: only the crashes of those
    in quarantine decide when the request may run as a trial of all of them.
    """
    suspect = [status for status in statuses if status.is_suspect]
    quarantined = [status for status in suspect if status.is_quarantined]
    considered = quarantined or suspect
    if len(considered) < 2:
        return considered[0] if considered else NO_CRASHES
    crashes = {crash for status in considered for crash in status.crashes}
    return QuarantineStatus(
        tuple(sorted(crashes, key=lambda crash: crash.at)),
        bool(quarantined),
        max(status.trial_at for status in considered),
        tuple(cause for status in considered for cause in status.causes),
    )
