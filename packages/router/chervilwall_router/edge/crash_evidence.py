"""Evidence of crashes, and what the crash watch depends on."""

from collections.abc import Callable
from typing import NamedTuple, Protocol

from chervilwall.crash_ledger import CrashLedger
from chervilwall.fingerprints import Fingerprints
from chervilwall.protocol import Metrics
from chervilwall.quarantine_status import QuarantineChange
from chervilwall.registry import RegisteredTarget, TargetRegistry

# Verdicts on attempts whose connection ended, as logged. The first and the last
# two are about the target.
SHUTTING_DOWN = "the target was shutting down"
CRASH_KNOWN = "the crash was already recorded"
ACCEPTS_CONNECTIONS = "accepts connections"
RESTARTED = "the target has started again"
# Evidence of crashes, as logged. The first one is about the target.
REFUSES_CONNECTIONS = "refuses connections"
MISDIRECTED = "another target answers at its address"
ADDRESS_TAKEN = "another target is registered at its address"


class Prober(Protocol):
    """Function that checks whether a target accepts connections."""

    async def __call__(self, target: RegisteredTarget) -> None:
        """Probes a target.

        Args:
            target (RegisteredTarget): Target to connect to.

        Raises:
            DialError: No connection can be opened.
        """
        ...


class CrashWatchParts(NamedTuple):
    """Dependencies of CrashWatch.

    Args:
        name (str): Name of this router.
        ledger (CrashLedger): Records crashes and quarantines requests.
        registry (TargetRegistry): Registered targets.
        probe (Prober): Checks whether a target accepts connections.
        send_reports_now (Callable): Called to send reports to peers at once.
        on_quarantine_change (Callable): Called on each change of the
            quarantine: a request was quarantined or released, or crashed
            another target.
        metrics (Metrics): Counts crashes and quarantine changes.
        clock (Callable): Returns the monotonic time in seconds.
    """

    name: str
    ledger: CrashLedger
    registry: TargetRegistry
    probe: Prober
    send_reports_now: Callable[[], None]
    on_quarantine_change: Callable[[QuarantineChange], None]
    metrics: Metrics
    clock: Callable[[], float]


class WatchedAttempt:
    """An attempt in progress.

    Args:
        request_id (str): Id of the caller's request, for the log.
        fingerprints (Fingerprints): Fingerprints of the request and of the
            parts of its prompt.
        begun_at (float): Monotonic time at which the attempt was sent.
    """

    def __init__(
        self, request_id: str, fingerprints: Fingerprints, begun_at: float
    ) -> None:
        self.request_id = request_id
        self.fingerprints = fingerprints
        self.begun_at = begun_at
        # Whether the attempt is no evidence of a crash. True not only if the
        # target answered completely, but also if the request was not sent to
        # it or it did not run the request.
        self.answered = False

    def __repr__(self) -> str:
        return f"WatchedAttempt(answered={self.answered})"
