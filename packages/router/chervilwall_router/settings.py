"""Settings of a router process."""

import pathlib
from typing import Annotated, Literal

import msgspec
from chervilwall.settings_file import load_settings

_ADDRESS_PATTERN = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$"

Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS_PATTERN)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,63}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Secret = Annotated[str, msgspec.Meta(min_length=16, max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate presented to callers.

    Args:
        cert_file (str): Path of the certificate chain, PEM.
        key_file (str): Path of the private key, PEM.
    """

    cert_file: str
    key_file: str


class PeerTlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificates for connections between routers.

    Both sides of a connection must present a certificate of the CA.

    Args:
        ca_file (str): Path of the fleet's CA certificate, PEM.
        cert_file (str): Path of this router's certificate, PEM.
        key_file (str): Path of its private key, PEM.
        server_name (str): Name that every router's certificate carries.
    """

    ca_file: str
    cert_file: str
    key_file: str
    server_name: str


class ListenSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Addresses that the router listens on.

    Args:
        callers (str): "IP:port" for callers and operators.
        peers (str): "IP:port" for other routers.
        peers_advertised (str): "IP:port" at which other routers reach this
            one, if it differs from peers. Defaults to peers.
        tls (TlsSettings | None): Certificate presented to callers. Defaults to
            none, which leaves connections unencrypted.
        peer_tls (PeerTlsSettings | None): Certificates for connections between
            routers. Defaults to none: frames are authenticated, but not
            encrypted.
    """

    callers: Address
    peers: Address
    peers_advertised: Address | None = None
    tls: TlsSettings | None = None
    peer_tls: PeerTlsSettings | None = None


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on requests, connections and model loads of one router.

    Args:
        max_body_bytes (int): Maximum size of a request body.
        body_timeout_s (float): Seconds within which a body must arrive.
        idle_timeout_s (float): Seconds after which an idle connection from a
            caller is closed.
        max_held_per_team (int): Maximum number of requests of a team that are
            waiting or running at once.
        target_idle_s (float): Seconds without data from the target after which
            an attempt fails.
        connect_timeout_s (float): Seconds within which a connection to a target
            must be established.
        max_attempts (int): Maximum number of attempts of a request. A request
            that is not idempotent is retried only if it was not sent.
        weight_loads_per_s (float): Maximum number of orders to load a model per
            second.
    """

    max_body_bytes: Count = 1_000_000
    body_timeout_s: Seconds = 10.0
    idle_timeout_s: Seconds = 60.0
    max_held_per_team: Count = 512
    target_idle_s: Seconds = 30.0
    connect_timeout_s: Seconds = 1.0
    max_attempts: Count = 3
    weight_loads_per_s: Annotated[float, msgspec.Meta(gt=0, le=1000)] = 0.5


class TimingSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Intervals and timeouts, in seconds.

    Args:
        probe_interval_s (float): Interval between membership probes.
        probe_timeout_s (float): Timeout of a membership probe.
        suspicion_s (float): Time after which a suspected router counts as dead
            unless it has refuted the suspicion.
        sync_interval_s (float): Interval at which each scheduler is sent the
            list of this router's requests.
        load_poll_s (float): Interval at which each target is asked for its
            load.
        hosts_poll_s (float): Interval between reads of the host list.
        counters_flush_s (float): Interval between writes of usage totals.
        rows_copy_s (float): Delay after which changed usage totals are copied
            to peers.
        platform_timeout_s (float): Timeout of a call to the platform, and of a
            scheduler's load request to a target.
        address_ttl_s (int): Time for which callers may cache the list of router
            addresses.
        stop_limit_s (float): Maximum duration of a graceful shutdown.
    """

    probe_interval_s: Seconds = 0.5
    probe_timeout_s: Seconds = 0.3
    suspicion_s: Seconds = 2.0
    sync_interval_s: Seconds = 1.0
    load_poll_s: Seconds = 1.0
    hosts_poll_s: Seconds = 2.0
    counters_flush_s: Seconds = 2.0
    rows_copy_s: Seconds = 0.2
    platform_timeout_s: Seconds = 2.0
    address_ttl_s: Count = 5
    stop_limit_s: Seconds = 120.0


class LogSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Format and level of the log.

    Args:
        level (str): Minimum level of the lines written.
        format (str): Format of the lines, "text" or "json".
    """

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"


class RouterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a router.

    Args:
        name (str): Name of the host, unique in the fleet.
        zone (str): Availability zone of the host.
        listen (ListenSettings): Addresses that the router listens on.
        platform (str): URL of the platform's object service.
        fleet_keys (list): Keys that all routers share to authenticate frames,
            newest first.
        operator_key_hashes (list): SHA-256 digests of the operators' keys, in
            hexadecimal.
        seeds (list): Addresses of other routers to request the member list
            from.
        statsd (str | None): "IP:port" of a statsd server. Defaults to none.
        limits (LimitSettings): Limits on requests, connections and model loads.
        timing (TimingSettings): Intervals and timeouts.
        log (LogSettings): Format and level of the log.
    """

    name: Name
    zone: Name
    listen: ListenSettings
    platform: Annotated[str, msgspec.Meta(pattern=r"^https?://")]
    fleet_keys: Annotated[list[Secret], msgspec.Meta(min_length=1)]
    operator_key_hashes: list[KeyHash] = []
    seeds: list[Address] = []
    statsd: Address | None = None
    limits: LimitSettings = LimitSettings()
    timing: TimingSettings = TimingSettings()
    log: LogSettings = LogSettings()


def read_settings(path: pathlib.Path) -> RouterSettings:
    """Reads the settings file of a router.

    Args:
        path (pathlib.Path): Path of the file.

    Raises:
        SettingsError: If the file cannot be read or is not valid.
    """
    return load_settings(path, RouterSettings)


def split_address(address: str) -> tuple[str, int]:
    """Splits an address, "IP:port", into IP address and port.

    The brackets of an IPv6 address are removed.
    """
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
