"""Settings of a router process."""

import pathlib
from typing import Annotated, Literal

import msgspec
from chervilwall.settings_file import load_settings

_ADDRESS = r"^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$"

Address = Annotated[str, msgspec.Meta(pattern=_ADDRESS)]
Name = Annotated[str, msgspec.Meta(pattern=r"^[A-Za-z0-9._-]{1,63}$")]
Seconds = Annotated[float, msgspec.Meta(gt=0, le=86400)]
Secret = Annotated[str, msgspec.Meta(min_length=16, max_length=64)]
Count = Annotated[int, msgspec.Meta(ge=1, le=1_000_000)]
KeyHash = Annotated[str, msgspec.Meta(pattern=r"^[0-9a-f]{64}$")]


class TlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificate for callers.

    Args:
        cert_file (str): Path of the certificate chain, PEM.
        key_file (str): Path of the private key, PEM.
    """

    cert_file: str
    key_file: str


class PeerTlsSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Certificates between routers; both sides must show one of the CA.

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
    """Addresses of this process.

    Args:
        callers (str): "IP:port" for callers and operators.
        peers (str): "IP:port" for other routers.
        peers_advertised (str): "IP:port" at which other routers reach this
            one, where that is another address. Defaults to peers.
        tls (TlsSettings | None): Certificate for callers. Defaults to none.
        peer_tls (PeerTlsSettings | None): Certificates between routers.
            Defaults to none: frames are authenticated and not encrypted.
    """

    callers: Address
    peers: Address
    peers_advertised: Address | None = None
    tls: TlsSettings | None = None
    peer_tls: PeerTlsSettings | None = None


class LimitSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Limits on what callers may ask of one router.

    Args:
        max_body_bytes (int): Largest request body.
        body_timeout_s (float): Seconds within which a body must arrive.
        idle_timeout_s (float): Seconds after which an idle connection closes.
        max_held_per_team (int): Most requests of one team held at once.
        target_idle_s (float): Seconds of silence after which an attempt fails.
        connect_timeout_s (float): Seconds to connect to a target.
        max_attempts (int): Most attempts for an idempotent request.
        weight_loads_per_s (float): Most orders to load a model a second.
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
    """Periods of background work.

    Args:
        probe_interval_s (float): Between membership probes.
        probe_timeout_s (float): To wait for a probe's answer.
        suspicion_s (float): In which a suspect may refute.
        sync_interval_s (float): Between lists of what is held.
        load_poll_s (float): Between load reports of a target.
        hosts_poll_s (float): Between reads of the host list.
        counters_flush_s (float): Between writes of counters.
        rows_copy_s (float): Between copies of counters to peers.
        platform_timeout_s (float): To wait for a platform call.
        address_ttl_s (int): For which callers may keep the address list.
        stop_limit_s (float): Within which a planned stop must end.
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
    """Logging.

    Args:
        level (str): Least level that is written.
        format (str): "text" or "json" lines.
    """

    level: Literal["debug", "info", "warning", "error"] = "info"
    format: Literal["text", "json"] = "text"


class RouterSettings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All settings of a router.

    Args:
        name (str): Host name, unique in the fleet.
        zone (str): Availability zone.
        listen (ListenSettings): Addresses.
        platform (str): URL of the platform's object service.
        fleet_keys (list): Secrets shared by all routers, newest first.
        operator_key_hashes (list): SHA-256 digests of operators' keys.
        seeds (list): Peer addresses of other routers.
        statsd (str | None): "IP:port" of a statsd server.
        limits (LimitSettings): Limits on callers.
        timing (TimingSettings): Periods.
        log (LogSettings): Logging.
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
    """Returns the settings in a file.

    Raises:
        SettingsError: The file does not hold valid settings.
    """
    return load_settings(path, RouterSettings)


def split_address(address: str) -> tuple[str, int]:
    """Returns the IP number and the port of an address."""
    host, _, port = address.rpartition(":")
    return host.strip("[]"), int(port)
