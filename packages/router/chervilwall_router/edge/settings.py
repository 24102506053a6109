"""Settings of an edge router."""

import pathlib
import resource
from typing import Annotated

import msgspec
from chervilwall.cold_rates import ColdSettings
from chervilwall.errors import SettingsError
from chervilwall.placement import PlacementSettings
from chervilwall.wait_queue import WaitSettings

from chervilwall_router.settings import (
    Address,
    LogSettings,
    Name,
    Seconds,
)

Megabytes = Annotated[float, msgspec.Meta(gt=0, le=1 << 20)]
# Fraction of the host's memory for the bytes that are kept of all responses. A
# router without load takes a third of a host of 150 MB; the rest is for its
# callers, its tables, copies, and bytes in sockets.
KEPT_FRACTION = 0.2
# Least limit on them, in bytes: some responses of the largest size.
MIN_KEPT_BYTES = 4 << 20
# Least limit on what callers hold, in bytes: some bodies of the largest size.
MIN_CALLER_BYTES = 16 << 20
# Descriptors of a process without a limit.
MAX_DESCRIPTORS = 1 << 20
Milliseconds = Annotated[float, msgspec.Meta(gt=0, le=86_400_000)]
READ_STEP = "read settings"
COMMENT_PREFIX = b"//"


class EdgeListen(msgspec.Struct, frozen=True):
    """Addresses on which the router listens.

    Args:
        callers (str): "IP:port" for requests.
        readiness (str): "IP:port" for readiness checks of the platform.
        directory (str): "IP:port" for callers that look up router addresses.
        peers (str): "IP:port" for datagrams (UDP) and snapshots (TCP) between
            routers.
        metrics (str): "IP:port" of the metrics endpoint.
    """

    callers: Address
    readiness: Address
    directory: Address
    peers: Address
    metrics: Address


class StoreSettings(msgspec.Struct, frozen=True):
    """Connection to the platform's object store.

    Args:
        address (str): "IP:port" of the store.
        call_timeout_s (float): Timeout of a call in seconds. The default is ten
            times the slowest response that the platform specifies for a store
            under high load.
        watch_s (float): Longest wait of a watch in seconds. The store permits
            at most 30 s.
    """

    address: Address
    call_timeout_s: Seconds = 2.0
    watch_s: Seconds = 25.0


class RetrySettings(msgspec.Struct, frozen=True):
    """Retry budget of each service, shared by all routers of the fleet.

    The deployment platform sets the limits that it must keep.

    Args:
        ratio (float): Retries allowed per request.
        window_s (float): Length in seconds of the sliding window in which
            requests and retries are counted.
        slack (float): Additional retries that the whole fleet may spend per
            window.
    """

    ratio: float = 0.2
    window_s: Seconds = 10.0
    slack: float = 50.0


class ShutdownSettings(msgspec.Struct, frozen=True):
    """Settings of a graceful shutdown.

    Args:
        grace_s (float): Seconds from the termination signal until the platform
            kills the process.
        accept_s (float): Seconds after the termination signal in which a new
            stream is accepted if streams of its route usually finish before
            unfinished responses are aborted. Any other request, and afterwards
            also a stream, is accepted only if its timeout ends before then.
            Should be at least three times address_ttl_s, as callers may use an
            address list for that long.
        margin_s (float): Seconds before the kill at which unfinished responses
            are aborted.
    """

    grace_s: Seconds = 8.0
    accept_s: Seconds = 3.0
    margin_s: Seconds = 0.4


class CallerSettings(msgspec.Struct, frozen=True):
    """Limits on what the connections of callers take together.

    Args:
        memory_fraction (float): Fraction of the memory of this process for what
            callers hold. With KEPT_FRACTION and a process of 40 MB without
            load, a quarter of a host of 128 MB is left for copies, and for
            bytes that the kernel has received.
        receive_buffer_bytes (int): Size of the receive buffer of a connection,
            which the kernel doubles. Bytes received and not yet read count as
            memory of this host. With the kernel's own limits each connection
            may take several megabytes; with 32 KiB, 1,000 connections took up
            to 56 MiB.
    """

    memory_fraction: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.25
    receive_buffer_bytes: Annotated[int, msgspec.Meta(ge=4096)] = 1 << 14

    @property
    def unread_bytes(self) -> int:
        """Bytes that the kernel may receive on a connection before a read."""
        return 2 * self.receive_buffer_bytes


class EdgeSettings(msgspec.Struct, frozen=True):
    """All settings of an edge router.

    Args:
        name (str): Name of the host, unique in the fleet.
        zone (str): Availability zone.
        listen (EdgeListen): Addresses to listen on.
        store (StoreSettings): Connection to the object store.
        retries (RetrySettings): Retry budget.
        stop (ShutdownSettings): Graceful shutdown.
        address_ttl_s (float): Seconds for which callers may cache an address
            list.
        mesh_most (int): Largest fleet in which all routers report to each
            other. In a fleet of 16 that do, each receives at most 250 datagrams
            a second.
        cpu (float): Processors available to this process, whose single thread
            uses at most one. Routers with more are preferred as hubs.
        memory_mb (float): Memory in MiB that this process may take. Defaults
            to that of a small host, so that a larger one is safe without it.
        max_fds (int | None): Descriptors that this process may open. Defaults
            to None, for the limit that the process was started with.
        callers (CallerSettings): Limits on what callers take.
        bootstrap (bool): Whether the whole system starts for the first time, so
            that no earlier routers have written to the object store.
        relay (bool | None): Whether connections are relayed to idle routers of
            the zone while this host is overloaded, and accepted from others on
            the port after the one for datagrams. Defaults to None: only where
            the fleet is larger than `mesh_most`.
        event_delay_ms (float): Maximum time in milliseconds that this host may
            take to relay an event of a stream.
        evacuation_ms (float | None): Maximum time in milliseconds until no
            request is sent to a zone that operators evacuate. Defaults to None:
            zones cannot be evacuated, and the store is not asked about it.
        log (LogSettings): Logging.
        waiting (WaitSettings): Limits on waiting, and weights of its order.
        placement (PlacementSettings): Limits and weights of the choice of a
            target.
        cold (ColdSettings | None): Bound on the requests to cold targets.
            Without it, targets are never treated as cold.
    """

    name: Name
    zone: Name
    listen: EdgeListen
    store: StoreSettings
    retries: RetrySettings = RetrySettings()
    stop: ShutdownSettings = ShutdownSettings()
    address_ttl_s: Seconds = 1.0
    mesh_most: int = 16
    cpu: float = 1.0
    memory_mb: Megabytes = 150.0
    max_fds: Annotated[int, msgspec.Meta(ge=64)] | None = None
    callers: CallerSettings = CallerSettings()
    bootstrap: bool = False
    relay: bool | None = None
    event_delay_ms: Milliseconds = 200.0
    evacuation_ms: Milliseconds | None = None
    log: LogSettings = LogSettings(format="json")
    waiting: WaitSettings = WaitSettings()
    placement: PlacementSettings = PlacementSettings()
    cold: ColdSettings | None = None

    @property
    def kept_bytes(self) -> int:
        """Limit on the bytes that are kept of all responses together."""
        return max(MIN_KEPT_BYTES, int(self.memory_mb * KEPT_FRACTION * 2**20))

    @property
    def caller_bytes(self) -> int:
        """Limit on the memory that callers hold together."""
        share = self.memory_mb * self.callers.memory_fraction
        return max(MIN_CALLER_BYTES, int(share * 2**20))

    @property
    def max_descriptors(self) -> int:
        """Descriptors that this process may open."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft == resource.RLIM_INFINITY:
            soft = MAX_DESCRIPTORS
        return soft if self.max_fds is None else min(soft, self.max_fds)


def read_edge_settings(path: pathlib.Path) -> EdgeSettings:
    """Returns the settings in a JSON file with comments.

    Only comments that take a whole line and begin with // are supported. Full
    JSON5 is not, because importing a parser for it takes 0.1 s.

    Args:
        path (pathlib.Path): The file.

    Raises:
        SettingsError: The file cannot be read, is not valid JSON, or has a
            missing or invalid value.
    """
    try:
        lines = path.read_bytes().splitlines()
        content = [
            x for x in lines if not x.lstrip().startswith(COMMENT_PREFIX)
        ]
        return msgspec.json.decode(b"\n".join(content), type=EdgeSettings)
    except (OSError, msgspec.MsgspecError) as exc:
        raise SettingsError(str(exc), step=READ_STEP, peer=str(path)) from exc
