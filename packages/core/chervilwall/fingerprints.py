"""Fingerprints of what requests in flight at a crash have in common.

A request has a fingerprint of its own, and one for each part of its prompt that
other requests may share.
"""

import functools
import hashlib
from collections.abc import Sequence

from chervilwall.prefix import PromptPart

# The fingerprint of a request, followed by those of its prompt parts.
Fingerprints = tuple[bytes, ...]

FINGERPRINT_BYTES = 16
# Fingerprints of parts are longer than those of requests, which tells the two
# apart in reports and in the object store.
_SERVICE_BYTES = 4
PART_FINGERPRINT_BYTES = _SERVICE_BYTES + FINGERPRINT_BYTES
# Further parts of a prompt are not considered.
MAX_PARTS = 16


def is_part(fingerprint: bytes) -> bool:
    """Returns whether a fingerprint is that of a prompt part."""
    return len(fingerprint) == PART_FINGERPRINT_BYTES


def service_of(fingerprint: bytes) -> bytes:
    """Returns the beginning of a part's fingerprint that names its service."""
    return fingerprint[:_SERVICE_BYTES]


def part_fingerprints(
    service: str, parts: Sequence[PromptPart]
) -> Fingerprints:
    """Returns the fingerprints of the parts that other prompts may share.

    These are all parts but the last, which belongs to the request itself or to
    its session.

    Args:
        service (str): Service that the request is sent to.
        parts (Sequence): Parts of the prompt, in order.
    """
    shared = parts[:-1][:MAX_PARTS]
    return tuple(_part_fingerprint(service, part.id) for part in shared)


@functools.lru_cache(maxsize=8192)
def _part_fingerprint(service: str, part_id: str) -> bytes:
    service_digest = hashlib.blake2b(
        service.encode(), digest_size=_SERVICE_BYTES
    ).digest()
    digest = hashlib.blake2b(
        part_id.encode(), digest_size=FINGERPRINT_BYTES
    ).digest()
    return service_digest + digest
