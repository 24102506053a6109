"""Every exception that chervilwall raises."""


class ChervilwallError(Exception):
    """Base of all chervilwall errors.

    Args:
        reason (str): What went wrong, in one sentence.
        step (str): The step of the work at which it arose. Defaults to "".
        peer (str): The process or file on the other side. Defaults to "".
    """

    def __init__(self, reason: str, *, step: str = "", peer: str = "") -> None:
        super().__init__(reason)
        self.reason = reason
        self.step = step
        self.peer = peer

    def __str__(self) -> str:
        where = f"{self.step}: " if self.step else ""
        whom = f" (peer {self.peer})" if self.peer else ""
        return f"{where}{self.reason}{whom}"


class SettingsError(ChervilwallError):
    """A settings file cannot be read or breaks its schema."""


class SheetError(ChervilwallError):
    """A sheet is refused as a whole."""


class CodecError(ChervilwallError):
    """Bytes from another process do not decode or fail authentication."""


class PlatformError(ChervilwallError):
    """A call to the platform did not succeed."""


class PlatformUnavailableError(PlatformError):
    """The platform did not answer; a write may or may not have happened."""


class RetryLaterError(ChervilwallError):
    """Nothing happened; it may succeed later.

    Args:
        reason (str): Why, in one sentence.
        retry_after_s (float): Seconds until it may succeed.
        step (str): The step of the work. Defaults to "".
        peer (str): Who refused. Defaults to "".
    """

    def __init__(
        self,
        reason: str,
        retry_after_s: float,
        *,
        step: str = "",
        peer: str = "",
    ) -> None:
        super().__init__(reason, step=step, peer=peer)
        self.retry_after_s = retry_after_s


class RateLimitedError(RetryLaterError, PlatformError):
    """The platform refused the call for its rate; nothing happened."""


class VersionConflictError(PlatformError):
    """A conditional write lost to another writer; nothing happened."""


class MissingObjectError(PlatformError):
    """The object that should change does not exist."""


class HistoryGoneError(PlatformError):
    """The store has forgotten the revision from which a watch should go on."""


class RequestRefusedError(RetryLaterError):
    """A request is refused and has not run."""


class UnusableTargetError(ChervilwallError):
    """A target was granted that this router may not use.

    Args:
        target_id (str): The target.
        step (str): The step of the work. Defaults to "".
    """

    def __init__(self, target_id: str, *, step: str = "") -> None:
        super().__init__("not to be used", step=step, peer=target_id)
        self.target_id = target_id


class DialError(ChervilwallError):
    """A connection could not be opened; nothing was sent.

    Args:
        reason (str): What went wrong, in one sentence.
        step (str): The step of the work at which it arose. Defaults to "".
        peer (str): The process on the other side. Defaults to "".
        refused (bool): Whether nothing listens there. Defaults to False.
    """

    def __init__(
        self,
        reason: str,
        *,
        step: str = "",
        peer: str = "",
        refused: bool = False,
    ) -> None:
        super().__init__(reason, step=step, peer=peer)
        self.refused = refused


class FoldedError(PlatformError):
    """The archive already holds the rows of an incarnation."""


class OversizedError(ChervilwallError):
    """A peer sends more than it may, and may go on without end."""


class BrokenRelayError(ChervilwallError):
    """An answer broke off after a part of it went to the caller."""
