"""Versions of the messages that a peer can read.

The decoder of messages fills in missing trailing fields, but rejects the whole
frame if a message has more fields than it knows. New fields may therefore be
sent only to a peer that knows them. Every frame states the sender's
incarnation, a random number that versions without this module draw below 2**62.
Later versions set that bit.
"""

import secrets

# Set in the incarnation of routers that read PlacementFirstToken,
# PlacementEnded and PlacementGranted with load reports.
_READS_LOAD_REPORTS = 1 << 62
_RANDOM_BITS = 62


def new_incarnation() -> int:
    """Returns a random incarnation, which says what this version reads."""
    return secrets.randbits(_RANDOM_BITS) | _READS_LOAD_REPORTS


def reads_load_reports(incarnation: int) -> bool:
    """Returns whether a router reads messages with load reports.

    Args:
        incarnation (int): Incarnation that its frames state.
    """
    return bool(incarnation & _READS_LOAD_REPORTS)
