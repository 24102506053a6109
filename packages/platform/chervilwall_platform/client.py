"""HTTP and JSON client for the platform's object service."""

import logging
import urllib.parse
from typing import TypeVar

import msgspec
from chervilwall import events
from chervilwall.errors import (
    PlatformError,
    PlatformUnavailableError,
    RateLimitedError,
    VersionConflictError,
)
from chervilwall.protocol import HostEntry, PlatformObject, WatchResult
from tornado.httpclient import AsyncHTTPClient, HTTPError, HTTPResponse

LOG = logging.getLogger(__name__)
_WATCH_TIMEOUT_MARGIN_S = 5.0
_DEFAULT_RETRY_AFTER_S = 1.0
_MAX_RETRY_AFTER_S = 30.0
_T = TypeVar("_T")


class _ObjectListing(msgspec.Struct):
    revision: int
    objects: list[PlatformObject]


class _HostListing(msgspec.Struct):
    hosts: list[HostEntry]


class HttpPlatform:
    """Call the platform's object service, writing with conditional requests.

    The version of an object is sent as its ETag (RFC 9110).

    Args:
        url (str): Base URL of the platform.
        timeout_s (float): Timeout of a call, in seconds. Defaults to 2.

    Attributes:
        is_up (bool): Whether the last call was answered without a server
            error.
        calls (int): Number of calls made so far.
    """

    def __init__(self, url: str, *, timeout_s: float = 2.0) -> None:
        self._url = url.rstrip("/")
        self._timeout_s = timeout_s
        self._client = AsyncHTTPClient(force_instance=True, max_clients=100)
        self.is_up = True
        self.calls = 0

    def __repr__(self) -> str:
        return f"HttpPlatform({self._url!r}, is_up={self.is_up})"

    def close(self) -> None:
        """Closes the client and its idle connections."""
        self._client.close()

    async def get(self, key: str) -> PlatformObject | None:
        """Returns an object, or None if it does not exist."""
        response = await self._fetch("GET", _object_path(key))
        if response.code == 404:
            return None
        return PlatformObject(key, _etag_version(response), response.body)

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object and returns its new version, 0 if none was sent.

        Args:
            key (str): Key of the object.
            value (bytes): The new value.
            if_version (int | None): Version that the object must have; 0 if
                it must not exist; None for any.

        Raises:
            VersionConflictError: The object has another version.
        """
        headers = {}
        if if_version == 0:
            headers["If-None-Match"] = "*"
        elif if_version is not None:
            headers["If-Match"] = f'"{if_version}"'
        path = _object_path(key)
        return _etag_version(await self._fetch("PUT", path, value, headers))

    async def delete(self, key: str, *, if_version: int) -> None:
        """Deletes an object if it exists and has a given version.

        A missing object is not an error.

        Raises:
            VersionConflictError: The object has another version.
        """
        headers = {"If-Match": f'"{if_version}"'}
        await self._fetch("DELETE", _object_path(key), None, headers)

    async def list(self, prefix: str) -> tuple[PlatformObject, ...]:
        """Returns the objects whose key starts with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        response = await self._fetch("GET", f"/objects?{query}")
        return tuple(_decode(response, _ObjectListing).objects)

    async def watch(
        self, prefix: str, since: int, timeout_s: float
    ) -> WatchResult:
        """Waits for changes after a revision to objects with a key prefix.

        Args:
            prefix (str): Prefix of the keys to watch.
            since (int): Revision after which changes are returned.
            timeout_s (float): Seconds to wait for a change.
        """
        fields = {"prefix": prefix, "since": since, "timeout": timeout_s}
        path = f"/watch?{urllib.parse.urlencode(fields)}"
        request_timeout_s = timeout_s + _WATCH_TIMEOUT_MARGIN_S
        response = await self._fetch("GET", path, timeout_s=request_timeout_s)
        listing = _decode(response, _ObjectListing)
        return WatchResult(listing.revision, tuple(listing.objects))

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns the platform's list of hosts."""
        response = await self._fetch("GET", "/hosts")
        return tuple(_decode(response, _HostListing).hosts)

    async def _fetch(
        self,
        method: str,
        path: str,
        body: bytes | None = None,
        headers: dict[str, str] | None = None,
        timeout_s: float | None = None,
    ) -> HTTPResponse:
        self.calls += 1
        try:
            response = await self._client.fetch(
                self._url + path,
                raise_error=False,
                method=method,
                body=body,
                headers=headers or {},
                connect_timeout=self._timeout_s,
                request_timeout=timeout_s or self._timeout_s,
            )
        except (HTTPError, OSError) as exc:
            raise self._unavailable(f"{method} object", str(exc)) from exc
        if response.code == 599 or response.code >= 500:
            raise self._unavailable(
                f"{method} object", f"status {response.code}"
            )
        self._record_availability(True)
        self._raise_for_status(response, f"{method} object")
        return response

    def _raise_for_status(self, response: HTTPResponse, step: str) -> None:
        if response.code == 412:
            raise VersionConflictError(
                "the object has another version", step=step, peer=self._url
            )
        if response.code == 429:
            retry_after_s = _retry_after_s(response)
            raise RateLimitedError(
                "rate limited",
                retry_after_s,
                step=step,
                peer=self._url,
            )
        if response.code >= 400 and response.code != 404:
            reason = f"status {response.code}"
            raise PlatformError(reason, step=step, peer=self._url)

    def _unavailable(self, step: str, reason: str) -> PlatformUnavailableError:
        self._record_availability(False)
        return PlatformUnavailableError(reason, step=step, peer=self._url)

    def _record_availability(self, is_up: bool) -> None:
        if is_up != self.is_up:
            event = (
                events.PLATFORM_RECOVERED
                if is_up
                else events.PLATFORM_UNAVAILABLE
            )
            events.log_event(LOG, event, step="call", peer=self._url)
        self.is_up = is_up


def _object_path(key: str) -> str:
    return "/objects/" + urllib.parse.quote(key, safe="")


def _etag_version(response: HTTPResponse) -> int:
    etag = response.headers.get("ETag", "").strip('"')
    return int(etag) if etag.isdecimal() else 0


def _retry_after_s(response: HTTPResponse) -> float:
    try:
        delay_s = float(response.headers.get("Retry-After", ""))
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S
    if not delay_s >= 0.0:
        return _DEFAULT_RETRY_AFTER_S
    return min(delay_s, _MAX_RETRY_AFTER_S)


def _decode(response: HTTPResponse, value_type: type[_T]) -> _T:
    try:
        return msgspec.json.decode(response.body, type=value_type)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise PlatformError(str(exc), step="decode answer") from exc
