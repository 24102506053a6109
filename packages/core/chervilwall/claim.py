"""Claims on idempotency keys: who may run a request, and its result."""

import hashlib
from typing import NamedTuple

import msgspec

from chervilwall.errors import CodecError

CLAIM_PREFIX = "claims/"
# Number of digits of a claim's digest that name its shard. Expired claims are
# deleted one shard at a time.
SHARD_HEX_DIGITS = 2
# Time after which a claim may be deleted.
CLAIM_TTL_S = 86400.0
# Time after a claim was written within which its request may be sent.
DISPATCH_LIMIT_S = 60.0
# Maximum length of an answer's body that is stored.
MAX_STORED_BODY_BYTES = 64 << 10

# The holder may run the request, and no outcome is recorded yet.
STATE_CLAIMED = "claimed"
# The request was answered, and the answer is stored in the claim.
STATE_DONE = "done"
# The request may have run, but there is no answer to store.
STATE_UNKNOWN = "unknown"


class StoredResponse(NamedTuple):
    """The response to a claimed request, replayed to callers that repeat it.

    Args:
        status (int): HTTP status.
        content_type (str): Value of the Content-Type header.
        body (bytes): Body, empty if it was too long to be stored.
        is_body_stored (bool): Whether the body was stored. Without its body,
            a response cannot be replayed.
    """

    status: int
    content_type: str
    body: bytes
    is_body_stored: bool


class Claim(NamedTuple):
    """The platform object that lets one router run a request with a key once.

    Args:
        holder (str): Router incarnation that may run it.
        nonce (str): Distinguishes this claim from others of the same holder.
        fingerprint (bytes): Digest of the request.
        state (str): One of the STATE constants.
        expires_at (float): Wall-clock seconds after which it may be deleted.
        answer (StoredResponse | None): The answer, once the request is done.
    """

    holder: str
    nonce: str
    fingerprint: bytes
    state: str
    expires_at: float
    answer: StoredResponse | None = None


class ClaimView(NamedTuple):
    """Decision about a request whose idempotency key is already claimed.

    Args:
        verdict (str): One of the VERDICT constants.
        answer (StoredResponse | None): The answer to replay, if any.
    """

    verdict: str
    answer: StoredResponse | None = None


# The claim was written by this very attempt to claim, whose write succeeded
# although its reply was lost. The request may run.
VERDICT_OURS = "ours"
# The request has run; its stored answer is repeated.
VERDICT_REPLAY = "replay"
# Another attempt claimed the request, and no outcome is recorded yet.
VERDICT_RUNNING = "running"
# The request may have run, but no answer is stored.
VERDICT_UNKNOWN = "unknown"
# The key was claimed for a request with another fingerprint.
VERDICT_MISMATCH = "mismatch"

_DECODER = msgspec.msgpack.Decoder(Claim)


def claim_key(team: str, service: str, key: str) -> str:
    """Returns the platform key of a claim.

    Claims are sharded by the first `SHARD_HEX_DIGITS` digits of a digest.

    Args:
        team (str): Team of the caller.
        service (str): Service that the request is for.
        key (str): Idempotency key of the request.
    """
    blob = "\0".join((team, service, key)).encode()
    digest = hashlib.blake2b(blob, digest_size=16).hexdigest()
    return f"{CLAIM_PREFIX}{digest[:SHARD_HEX_DIGITS]}/{digest}"


def encode_claim(claim: Claim) -> bytes:
    """Returns a claim as the value of its platform object."""
    return msgspec.msgpack.encode(claim)


def decode_claim(value: bytes) -> Claim:
    """Returns the claim stored in the value of a platform object.

    Raises:
        CodecError: The value is not a claim.
    """
    try:
        return _DECODER.decode(value)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise CodecError(str(exc), step="decode claim") from exc


def view_claim(claim: Claim, *, nonce: str, fingerprint: bytes) -> ClaimView:
    """Decides how to handle a request whose key is already claimed.

    Args:
        claim (Claim): The existing claim.
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
    """Returns whether a claim is recent enough to send its request.

    A router sends a request only within `DISPATCH_LIMIT_S` of writing its
    claim, and claims are kept for `CLAIM_TTL_S`, which is far longer. Without
    this limit, a router whose process was suspended could send a request after
    its claim was deleted and another router claimed the same key.

    Args:
        claimed_at (float): Monotonic time before the claim was written.
        now (float): Monotonic time.
    """
    return now - claimed_at < DISPATCH_LIMIT_S


def is_expired(claim: Claim, wall_now: float) -> bool:
    """Returns whether a claim may be deleted."""
    return wall_now > claim.expires_at
