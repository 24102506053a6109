"""Binding of resumable streams to software versions while they are placed."""

from collections.abc import Callable, Sequence
from typing import Protocol

from chervilwall.errors import RequestRefusedError
from chervilwall.registry import RegisteredTarget, TargetRegistry
from chervilwall.stream_origins import StreamDemand
from chervilwall.stream_versions import (
    REASON_UNKNOWN_ORIGIN,
    REASON_VERSION_GONE,
    StreamVersions,
)

from chervilwall_router.edge.grants import GrantRequest


class VersionAgreement(Protocol):
    """Know the software versions at which streams may have begun."""

    async def wait_for_versions(self, service: str) -> None:
        """Waits, for a limited time, until the versions are known."""
        ...

    async def confirm_versions(
        self, service: str, stream: StreamDemand
    ) -> bool:
        """Brings what is known about a service's streams up to date.

        Args:
            service (str): The service.
            stream (StreamDemand): A stream of which nothing is recorded.

        Returns:
            Whether it is; if not, nothing may be concluded from the absence of
            a stream or a version.
        """
        ...


class StreamBinding:
    """Limit requests for streams to targets of the right version.

    Args:
        streams (StreamVersions): Versions that began streams.
        agreement (VersionAgreement): Versions that routers have agreed on.
        registry (TargetRegistry): Registered targets.
        clock (Callable): Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        streams: StreamVersions,
        agreement: VersionAgreement,
        registry: TargetRegistry,
        clock: Callable[[], float],
    ) -> None:
        self._streams = streams
        self._agreement = agreement
        self._registry = registry
        self._clock = clock

    def __repr__(self) -> str:
        return f"StreamBinding(streams={self._streams!r})"

    async def bind(self, request: GrantRequest) -> GrantRequest:
        """Returns a request with the version at which its stream must go on.

        Raises:
            RequestRefusedError: The version is not known, or no target of it
                is in service.
        """
        if request.stream is None:
            return request
        service = request.demand.service
        agreement, streams = self._agreement, self._streams
        await agreement.wait_for_versions(service)
        if streams.is_unknown(
            service, request.stream
        ) and not await agreement.confirm_versions(service, request.stream):
            raise _refusal(REASON_UNKNOWN_ORIGIN, service)
        stream = streams.bind(service, request.stream, self._clock())
        request = request._replace(stream=stream)
        if self.has_lost_version(request):
            raise lost_version_refusal(service)
        return request

    def has_lost_version(self, request: GrantRequest) -> bool:
        """Returns whether a stream is bound to a version without targets.

        Targets in evacuated zones count: the stream can go on there later.
        """
        stream = request.stream
        if stream is None or stream.version is None:
            return False
        targets = self._registry.undrained_targets(request.demand.service)
        return all(t.version != stream.version for t in targets)

    def excluded(
        self,
        request: GrantRequest,
        targets: Sequence[RegisteredTarget],
        now: float,
    ) -> frozenset[str]:
        """Returns the ids of the targets that a request must not use."""
        if request.stream is None:
            return request.excluded
        return request.excluded | self._streams.excluded(
            request.demand.service, request.stream, targets, now
        )


def lost_version_refusal(service: str) -> RequestRefusedError:
    """Returns the refusal of a stream whose version left the service."""
    return _refusal(REASON_VERSION_GONE, service)


def _refusal(reason: str, service: str) -> RequestRefusedError:
    """Returns the refusal of a stream that cannot go on.

    It has no Retry-After, as waiting would not help.
    """
    return RequestRefusedError(reason, 0.0, step="schedule", peer=service)
