"""Directory service that tells callers which routers to connect to."""

from collections.abc import Callable
from typing import NamedTuple

import msgspec
from chervilwall.address_list import CallerAddress, choose_addresses
from tornado.httputil import HTTPServerRequest

from chervilwall_router.edge.page_server import Reply

# Time for which the callers of one availability zone get the same reply.
CACHE_TTL_S = 0.1
MAX_CACHED_ZONES = 64


class DirectoryParts(NamedTuple):
    """Dependencies of a Directory.

    Args:
        ready (Callable): Returns the routers that accept callers, by name.
        busy (Callable): Returns the names of the hubs, whatever their load.
            Hubs have further work and are left out if there are enough other
            routers.
        ttl_s (Callable): Returns the time in seconds for which callers may
            cache a reply.
        clock (Callable): Returns the monotonic time in seconds.
    """

    ready: Callable[[], dict[str, CallerAddress]]
    busy: Callable[[], frozenset[str]]
    ttl_s: Callable[[], float]
    clock: Callable[[], float]


class _CachedReply(NamedTuple):
    reply: Reply
    expires_at: float


class Directory:
    """Serve the addresses of the routers that accept callers.

    Args:
        parts (DirectoryParts): Dependencies.
    """

    def __init__(self, parts: DirectoryParts) -> None:
        self._parts = parts
        self._cache: dict[str, _CachedReply] = {}

    def __repr__(self) -> str:
        return f"Directory(cached_zones={len(self._cache)})"

    def handle(self, request: HTTPServerRequest) -> Reply:
        """Returns the reply to a caller, for the zone named in its query.

        Args:
            request (HTTPServerRequest): The caller's request. Without a "zone"
                parameter, no zone is preferred.
        """
        zone = request.query_arguments.get("zone", [b""])[0].decode("latin1")
        now = self._parts.clock()
        cached = self._cache.get(zone)
        if cached is not None and now < cached.expires_at:
            return cached.reply
        if len(self._cache) >= MAX_CACHED_ZONES:
            self._cache.clear()
        reply = self._build_reply(zone)
        self._cache[zone] = _CachedReply(reply, now + CACHE_TTL_S)
        return reply

    def clear_cache(self) -> None:
        """Discards cached replies. Call when the list of routers changes."""
        self._cache.clear()

    def _build_reply(self, zone: str) -> Reply:
        parts = self._parts
        addresses = choose_addresses(parts.ready(), zone, busy=parts.busy())
        if not addresses:
            return Reply(503)
        body = {"addresses": addresses, "ttl_s": parts.ttl_s()}
        return Reply(200, msgspec.json.encode(body))
