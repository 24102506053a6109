"""Claims on idempotency keys: who may run a request, and what came of it."""

import hashlib
from typing import NamedTuple

import msgspec

from chervilwall.errors import CodecError

CLAIM_PREFIX = "claims/"
SHARD_HEX_DIGITS = 2
CLAIM_TTL_S = 86400.0
DISPATCH_LIMIT_S = 60.0
MAX_STORED_BODY_BYTES = 64 << 10

STATE_CLAIMED = "claimed"
STATE_DONE = "done"
STATE_UNKNOWN = "unknown"


class StoredAnswer(NamedTuple):
    """The answer of the one run, kept for a caller that asks again.

    Args:
        status (int): HTTP status.
        content_type (str): Its Content-Type.
        body (bytes): Its body, empty where it was too long to keep.
        whole (bool): Whether the body is kept.
    """

    status: int
    content_type: str
    body: bytes
    whole: bool


class Claim(NamedTuple):
    """The platform object that lets one router run a keyed request once.

    Args:
        holder (str): Router incarnation that may run it.
        nonce (str): Tells this claim from any other of the same holder.
        fingerprint (bytes): Digest of the request.
        state (str): "claimed", "done" or "unknown".
        expires_at (float): Wall-clock seconds after which it may be deleted.
        answer (StoredAnswer | None): What came of it.
    """

    holder: str
    nonce: str
    fingerprint: bytes
    state: str
    expires_at: float
    answer: StoredAnswer | None = None


class ClaimView(NamedTuple):
    """What a claim found on the platform means for a new request.

    Args:
        verdict (str): One of the VERDICT constants.
        answer (StoredAnswer | None): The answer to replay.
    """

    verdict: str
    answer: StoredAnswer | None = None


VERDICT_OURS = "ours"
VERDICT_REPLAY = "replay"
VERDICT_RUNNING = "running"
VERDICT_UNKNOWN = "unknown"
VERDICT_MISMATCH = "mismatch"

_DECODER = msgspec.msgpack.Decoder(Claim)


def claim_key(team: str, service: str, key: str) -> str:
    """Returns the platform key of a claim, sharded by its first digits."""
    blob = "\0".join((team, service, key)).encode()
    digest = hashlib.blake2b(blob, digest_size=16).hexdigest()
    return f"{CLAIM_PREFIX}{digest[:SHARD_HEX_DIGITS]}/{digest}"


def encode_claim(claim: Claim) -> bytes:
    """Returns the value of a claim object."""
    return msgspec.msgpack.encode(claim)


def decode_claim(value: bytes) -> Claim:
    """Returns the claim in an object.

    Raises:
        CodecError: The value is not a claim.
    """
    try:
        return _DECODER.decode(value)
    except msgspec.MsgspecError as exc:
        raise CodecError(str(exc), step="decode claim") from exc


def view_claim(claim: Claim, *, nonce: str, fingerprint: bytes) -> ClaimView:
    """Decides what a claim that already stands means for a request.

    Args:
        claim (Claim): The claim found.
        nonce (str): Nonce of the request's own attempt to claim.
        fingerprint (bytes): Digest of the request.
    """
    if claim.nonce == nonce:
        return ClaimView(VERDICT_OURS)
    if claim.fingerprint != fingerprint:
        return ClaimView(VERDICT_MISMATCH)
    if claim.state == STATE_DONE and claim.answer is not None:
        return ClaimView(VERDICT_REPLAY, claim.answer)
    if claim.state == STATE_CLAIMED:
        return ClaimView(VERDICT_RUNNING)
    return ClaimView(VERDICT_UNKNOWN)


def may_dispatch(claimed_at: float, now: float) -> bool:
    """Tells whether a claim is young enough to send the request.

    Claims are deleted only a day after they were made, so a router that was
    paused for longer than the limit never runs a request beside a new claim.

    Args:
        claimed_at (float): Monotonic time before the claim was written.
        now (float): Monotonic time.
    """
    return now - claimed_at < DISPATCH_LIMIT_S


def is_expired(claim: Claim, wall_now: float) -> bool:
    """Tells whether a claim may be deleted."""
    return wall_now > claim.expires_at
