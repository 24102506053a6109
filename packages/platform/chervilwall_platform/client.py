"""The platform's object service over HTTP and JSON."""

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
_WATCH_MARGIN_S = 5.0
_DEFAULT_RETRY_AFTER_S = 1.0
_T = TypeVar("_T")


class _Listing(msgspec.Struct):
    revision: int
    objects: list[PlatformObject]


class _Hosts(msgspec.Struct):
    hosts: list[HostEntry]


class HttpPlatform:
    """Call the platform with conditional requests (RFC 9110).

    Args:
        url (str): Its base URL.
        timeout_s (float): Seconds to wait for a call. Defaults to 2.
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
        """Closes idle connections."""
        self._client.close()

    async def get(self, key: str) -> PlatformObject | None:
        """Returns an object, or None where there is none."""
        response = await self._fetch("GET", _object_path(key))
        if response.code == 404:
            return None
        return PlatformObject(key, _version(response), response.body)

    async def put(
        self, key: str, value: bytes, *, if_version: int | None
    ) -> int:
        """Writes an object and returns its new version."""
        headers = {}
        if if_version == 0:
            headers["If-None-Match"] = "*"
        elif if_version is not None:
            headers["If-Match"] = f'"{if_version}"'
        path = _object_path(key)
        return _version(await self._fetch("PUT", path, value, headers))

    async def delete(self, key: str, *, if_version: int) -> None:
        """Deletes an object of a given version."""
        headers = {"If-Match": f'"{if_version}"'}
        await self._fetch("DELETE", _object_path(key), None, headers)

    async def list(self, prefix: str) -> tuple[PlatformObject, ...]:
        """Returns the objects whose key starts with a prefix."""
        query = urllib.parse.urlencode({"prefix": prefix})
        response = await self._fetch("GET", f"/objects?{query}")
        return tuple(_decode(response, _Listing).objects)

    async def watch(
        self, prefix: str, since: int, timeout_s: float
    ) -> WatchResult:
        """Waits for changes below a prefix after a revision."""
        fields = {"prefix": prefix, "since": since, "timeout": timeout_s}
        path = f"/watch?{urllib.parse.urlencode(fields)}"
        limit_s = timeout_s + _WATCH_MARGIN_S
        response = await self._fetch("GET", path, timeout_s=limit_s)
        listing = _decode(response, _Listing)
        return WatchResult(listing.revision, tuple(listing.objects))

    async def hosts(self) -> tuple[HostEntry, ...]:
        """Returns the platform's list of hosts."""
        response = await self._fetch("GET", "/hosts")
        return tuple(_decode(response, _Hosts).hosts)

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
            raise self._lost(f"{method} object", str(exc)) from exc
        if response.code == 599 or response.code >= 500:
            raise self._lost(f"{method} object", f"status {response.code}")
        self._note(True)
        self._check(response, f"{method} object")
        return response

    def _check(self, response: HTTPResponse, step: str) -> None:
        if response.code == 412:
            raise VersionConflictError(
                "another version stands", step=step, peer=self._url
            )
        if response.code == 429:
            after_s = _retry_after_s(response)
            raise RateLimitedError(
                "rate limited", after_s, step=step, peer=self._url
            )
        if response.code >= 400 and response.code != 404:
            reason = f"status {response.code}"
            raise PlatformError(reason, step=step, peer=self._url)

    def _lost(self, step: str, reason: str) -> PlatformUnavailableError:
        self._note(False)
        return PlatformUnavailableError(reason, step=step, peer=self._url)

    def _note(self, is_up: bool) -> None:
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


def _version(response: HTTPResponse) -> int:
    tag = response.headers.get("ETag", "").strip('"')
    return int(tag) if tag.isdecimal() else 0


def _retry_after_s(response: HTTPResponse) -> float:
    try:
        return float(response.headers.get("Retry-After", ""))
    except ValueError:
        return _DEFAULT_RETRY_AFTER_S


def _decode(response: HTTPResponse, kind: type[_T]) -> _T:
    try:
        return msgspec.json.decode(response.body, type=kind)
    except msgspec.MsgspecError as exc:
        raise PlatformError(str(exc), step="decode answer") from exc
