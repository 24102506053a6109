"""Software versions at which resumable streams began.

Built for services whose targets run several software versions side by side. The
parts of a stream that two versions write do not fit together, so a stream that
broke off is resumed only at a target of the version that began it. A caller
that resumes a stream names the attempt that began it, but not the version.
"""

import hashlib
from collections.abc import Iterable
from typing import NamedTuple

STREAM_ID_BYTES = 8
# Time for which a complete stream is remembered, as its last bytes may not have
# reached its caller.
COMPLETED_TTL_S = 10.0


class StreamDemand(NamedTuple):
    """What a request for a target says about its resumable stream.

    Args:
        id (bytes): Id of the stream that this attempt of the caller begins if
            it resumes none.
        resumes (bytes): Id of the stream that it resumes, b"" for none.
            Defaults to b"".
        version (str | None): Software version that the targets must run, None
            if any may be used or the version is not known yet. Defaults to
            None.
    """

    id: bytes
    resumes: bytes = b""
    version: str | None = None

    @property
    def ids(self) -> tuple[bytes, ...]:
        """Ids by which the stream may be resumed later."""
        return (self.id, self.resumes) if self.resumes else (self.id,)

    @property
    def is_resumption(self) -> bool:
        """Whether the caller has events of the stream already."""
        return bool(self.resumes) or self.version is not None


class StreamOrigin(NamedTuple):
    """Where a stream began.

    Args:
        service (str): Service of the target.
        version (str): Software version of the target.
    """

    service: str
    version: str


class _Entry(NamedTuple):
    """An origin, and the monotonic time until which it is remembered."""

    origin: StreamOrigin
    until: float


class StreamOrigins:
    """Remember where the streams began that may still be resumed."""

    def __init__(self) -> None:
        self._entries: dict[bytes, _Entry] = {}

    def __repr__(self) -> str:
        return f"StreamOrigins(streams={len(self._entries)})"

    def __len__(self) -> int:
        return len(self._entries)

    def __contains__(self, stream_id: bytes) -> bool:
        return stream_id in self._entries

    def record(
        self, stream_id: bytes, origin: StreamOrigin, *, until: float
    ) -> None:
        """Records where a stream began.

        Args:
            stream_id (bytes): Id of the stream.
            origin (StreamOrigin): Service and version of its target.
            until (float): Monotonic time until which it may be resumed.
        """
        self._entries[stream_id] = _Entry(origin, until)

    def record_completed(self, stream_id: bytes, now: float) -> None:
        """Records that a stream was relayed to its end."""
        entry = self._entries.get(stream_id)
        if entry is not None:
            until = min(entry.until, now + COMPLETED_TTL_S)
            self._entries[stream_id] = entry._replace(until=until)

    def version_of(self, stream_id: bytes, service: str) -> str | None:
        """Returns the version that began a stream, or None if unknown."""
        entry = self._entries.get(stream_id)
        if entry is None or entry.origin.service != service:
            return None
        return entry.origin.version

    def all(self) -> dict[bytes, StreamOrigin]:
        """Returns the origins of all streams, by id."""
        return {key: entry.origin for key, entry in self._entries.items()}

    def expire(self, now: float) -> None:
        """Forgets the streams that are not resumed any more."""
        self._entries = {
            stream_id: entry
            for stream_id, entry in self._entries.items()
            if entry.until > now
        }


def stream_id(attempt_id: str) -> bytes:
    """Returns the id of the stream that an attempt of a caller begins."""
    digest = hashlib.blake2b(
        attempt_id.encode(errors="surrogateescape"), digest_size=STREAM_ID_BYTES
    )
    return digest.digest()


def join_ids(ids: Iterable[bytes]) -> bytes:
    """Returns the concatenated ids."""
    return b"".join(ids)


def split_ids(joined: bytes) -> list[bytes]:
    """Returns the ids that join_ids() joined; an incomplete one is dropped."""
    ends = range(STREAM_ID_BYTES, len(joined) + 1, STREAM_ID_BYTES)
    return [joined[end - STREAM_ID_BYTES : end] for end in ends]
