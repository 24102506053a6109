"""Choice of the targets at which a resumable stream may begin or go on.

Built for releases during which targets of several software versions serve side
by side, with routers that are restarted meanwhile.
"""

from collections.abc import Callable, Sequence

from chervilwall.errors import RequestRefusedError
from chervilwall.registry import RegisteredTarget
from chervilwall.service_versions import ServiceVersions
from chervilwall.stream_origins import (
    StreamDemand,
    StreamOrigin,
    StreamOrigins,
)

REASON_UNKNOWN_ORIGIN = "the version that began the stream is not known"
REASON_VERSION_GONE = "no target of the stream's version takes requests"
# Reports in which a stream is stated, as datagrams may be lost.
REPORTS_PER_STREAM = 2


class StreamVersions:
    """Keep each resumable stream at the software version that began it.

    Args:
        retention_s (Callable): Returns the time in seconds for which a stream
            of a service may be resumed.

    Attributes:
        origins (StreamOrigins): Where known streams began.
        services (ServiceVersions): Versions that serve or have served.
        retention_s (Callable): As above.
    """

    def __init__(self, retention_s: Callable[[str], float]) -> None:
        self.retention_s = retention_s
        self.origins = StreamOrigins()
        self.services = ServiceVersions(retention_s)
        # Streams that this router has not written yet.
        self._unwritten: dict[bytes, StreamOrigin] = {}
        # Known streams that were granted a target again after they broke off.
        self._resumed: set[bytes] = set()
        # Reports in which a stream that is relayed here is still to be stated.
        self._reports_left: dict[bytes, int] = {}

    def __repr__(self) -> str:
        return f"StreamVersions(streams={len(self.origins)})"

    def is_unknown(self, service: str, stream: StreamDemand) -> bool:
        """Returns whether a stream is resumed of which nothing is recorded.

        Args:
            service (str): Service of the request.
            stream (StreamDemand): The stream.
        """
        if not stream.resumes or stream.version is not None:
            return False
        return self.origins.version_of(stream.resumes, service) is None

    def bind(
        self, service: str, stream: StreamDemand, now: float
    ) -> StreamDemand:
        """Returns a stream with the version at which it must go on.

        Args:
            service (str): Service of the request.
            stream (StreamDemand): The stream; one that has not begun is
                returned unchanged.
            now (float): Monotonic time.

        Raises:
            RequestRefusedError: It has begun, but its version is not known.
        """
        if not stream.resumes or stream.version is not None:
            return stream
        version = self.origins.version_of(stream.resumes, service)
        if version is None:
            version = self.services.sole_version(service, now)
        if version is None:
            raise RequestRefusedError(
                REASON_UNKNOWN_ORIGIN, 0.0, step="schedule", peer=service
            )
        return stream._replace(version=version)

    def excluded(
        self,
        service: str,
        stream: StreamDemand,
        targets: Sequence[RegisteredTarget],
        now: float,
    ) -> frozenset[str]:
        """Returns the ids of the targets that a stream must not use.

        Args:
            service (str): Service of the request.
            stream (StreamDemand): The stream.
            targets (Sequence): Targets of the service.
            now (float): Monotonic time.
        """
        if stream.version is not None:
            return frozenset(
                t.id for t in targets if t.version != stream.version
            )
        blocked = self.services.blocked(service, now)
        if not blocked:
            return frozenset()
        return frozenset(t.id for t in targets if t.version in blocked)

    def record_relayed(
        self, stream: StreamDemand, target: RegisteredTarget, now: float
    ) -> None:
        """Records a stream of which this router relays the first event.

        Args:
            stream (StreamDemand): The stream.
            target (RegisteredTarget): Target that sent the event.
            now (float): Monotonic time.
        """
        self._record(stream, target, now)
        self._reports_left.update(dict.fromkeys(stream.ids, REPORTS_PER_STREAM))

    def record_granted(
        self, stream: StreamDemand, target: RegisteredTarget, now: float
    ) -> None:
        """Records a stream that began on a grant of this router.

        A grant alone tells nothing: a router that does not hear of it in time
        uses that of another scheduler.

        Args:
            stream (StreamDemand): The stream.
            target (RegisteredTarget): Target that sent the first event.
            now (float): Monotonic time.
        """
        origin = self._record(stream, target, now)
        self._unwritten.update(dict.fromkeys(stream.ids, origin))

    def _record(
        self, stream: StreamDemand, target: RegisteredTarget, now: float
    ) -> StreamOrigin:
        origin = StreamOrigin(target.service, target.version)
        until = now + self.retention_s(target.service)
        for known_id in stream.ids:
            self.origins.record(known_id, origin, until=until)
        return origin

    def is_exempt(self, service: str, stream: StreamDemand) -> bool:
        """Returns whether a stream goes on although its team is over its share.

        It was admitted within the share when it began, so that holds once for
        each stream of which this router knows where it began.

        Args:
            service (str): Service of the request.
            stream (StreamDemand): The stream.
        """
        key = stream.resumes or stream.id
        is_known = self.origins.version_of(key, service) is not None
        return stream.is_resumption and is_known and key not in self._resumed

    def record_resumed(self, stream: StreamDemand) -> None:
        """Records that a resumed stream was granted a target."""
        if stream.is_resumption:
            self._resumed.add(stream.resumes or stream.id)

    def record_completed(self, stream: StreamDemand, now: float) -> None:
        """Records that a stream was relayed to its end."""
        for known_id in stream.ids:
            self.origins.record_completed(known_id, now)
            self._reports_left.pop(known_id, None)

    def record_known(
        self,
        service: str,
        version: str,
        ids: Sequence[bytes],
        now: float,
        *,
        is_written: bool,
    ) -> None:
        """Records streams that a peer or the object store states.

        Args:
            service (str): Their service.
            version (str): The version that began them.
            ids (Sequence): Ids of the streams.
            now (float): Monotonic time.
            is_written (bool): Whether another router writes them, or has.
        """
        origin = StreamOrigin(service, version)
        until = now + self.retention_s(service)
        for stream_id in ids:
            if not is_written and stream_id not in self.origins:
                self._unwritten[stream_id] = origin
            self.origins.record(stream_id, origin, until=until)

    def take_unwritten(self) -> dict[bytes, StreamOrigin]:
        """Returns the streams that became known since the last call."""
        unwritten, self._unwritten = self._unwritten, {}
        return unwritten

    def take_unreported(self, service: str) -> dict[str, list[bytes]]:
        """Returns the streams to state in the next report, by version.

        Args:
            service (str): Their service.
        """
        found: dict[str, list[bytes]] = {}
        for stream_id in list(self._reports_left):
            version = self.origins.version_of(stream_id, service)
            if version is None:
                continue
            found.setdefault(version, []).append(stream_id)
            self._reports_left[stream_id] -= 1
            if not self._reports_left[stream_id]:
                del self._reports_left[stream_id]
        return found

    def expire(self, now: float) -> None:
        """Forgets streams and versions that are not resumed any more."""
        self.origins.expire(now)
        self.services.expire(now)
        if not self.services.mixed_services():
            self._unwritten.clear()
        self._resumed = {i for i in self._resumed if i in self.origins}
        for stream_id in [
            i for i in self._reports_left if i not in self.origins
        ]:
            del self._reports_left[stream_id]
