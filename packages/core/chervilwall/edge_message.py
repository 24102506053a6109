"""Messages between edge routers."""

from typing import NamedTuple

from chervilwall.crash_news import CrashNews
from chervilwall.message import Message
from chervilwall.registry import TargetStart


class TargetLoadItem(NamedTuple):
    """A router's load on one target.

    Args:
        target_id (str): The target.
        running (int): Requests sent and not yet ended.
        prefill_ms (int): Time for which it still reads prompts.
        kv_tokens (int): Tokens that its requests occupy.
    """

    target_id: str
    running: int
    prefill_ms: int
    kv_tokens: int


class GranterLoad(NamedTuple):
    """A router's load that one scheduler granted.

    Args:
        granter (str): Name of the router that granted it.
        incarnation (int): That router's incarnation.
        numbers (tuple): Numbers of the requests that it knows of.
        items (tuple): The load.
    """

    granter: str
    incarnation: int
    numbers: tuple[int, ...]
    items: tuple[TargetLoadItem, ...]


class RecentPrefix(NamedTuple):
    """A chain of prompt parts that was lately sent to a target."""

    target_id: str
    parts: tuple[tuple[str, int], ...]


class EdgeReport(NamedTuple):
    """What an edge router tells its peers, many times a second.

    Args:
        sequence (int): Raised with each report of an incarnation.
        callers (str): Address for callers.
        control (str): Address for snapshots.
        datagrams (str): Address for reports.
        zone (str): Availability zone.
        ready (bool): Whether callers may be sent to it.
        config_version (int): Version of its configuration, 0 without one.
        registry_revision (int): Revision of its list of targets.
        loads (tuple): Its load on targets, by who granted it.
        prefixes (tuple): Prompts that it placed since its last report.
        asked (dict): Tokens that teams asked for in the last window.
        got (dict): Tokens that teams got in the last window.
        crashes (CrashNews): What is news of crashes.
        hub (bool): Whether it passes on what others tell.
        cpu (float): Processors of its host.
        follows (bool): Whether the store answers it.
        leaving (tuple): Targets that lately said that they leave.
    """

    sequence: int
    callers: str
    control: str
    datagrams: str
    zone: str
    ready: bool
    config_version: int
    registry_revision: int
    loads: tuple[GranterLoad, ...] = ()
    prefixes: tuple[RecentPrefix, ...] = ()
    asked: dict[str, float] = {}
    got: dict[str, float] = {}
    crashes: CrashNews = CrashNews()
    hub: bool = False
    cpu: float = 1.0
    follows: bool = False
    leaving: tuple[TargetStart, ...] = ()


class PresentPeer(NamedTuple):
    """A router that a hub hears.

    Args:
        name (str): Its name.
        incarnation (int): Its incarnation.
        sequence (int): Number of its newest report.
        callers (str): Its address for callers.
        datagrams (str): Its address for reports and snapshots.
        zone (str): Its availability zone.
        ready (bool): Whether callers may be sent to it.
        cpu (float): Processors of its host.
    """

    name: str
    incarnation: int
    sequence: int
    callers: str
    datagrams: str
    zone: str
    ready: bool
    cpu: float = 1.0


class PeerDigest(NamedTuple):
    """Tells who is there; from a hub.

    Args:
        present (tuple): Routers that the hub hears: all now and then, else
            those that have changed.
        gone (tuple): Names and incarnations of routers that it lost.
    """

    present: tuple[PresentPeer, ...]
    gone: tuple[tuple[str, int], ...]


class Place(NamedTuple):
    """Asks a scheduler for a target; asking again changes nothing.

    Args:
        number (int): Number of the request at the asker.
        service (str): Its service.
        team (str): Team that pays.
        prompt_tokens (int): Length of its prompt.
        output_tokens (int): Tokens that it will probably generate.
        parts (tuple): Ids and lengths of the parts of its prompt.
        session (str): The last part that others share, or "".
        objective_ms (int): Its latency objective.
        due_ms (int): Time until its first token is due.
        deadline_ms (int): Time for which the caller waits.
        excluded (tuple): Targets that were tried already.
        first (bool): Whether the caller sends it for the first time.
        route (str): Its route.
        size_class (int): 0 for most requests, 2 for the largest of a route.
        fingerprint (bytes): Digest by which it is known when it comes again.
    """

    number: int
    service: str
    team: str
    prompt_tokens: int
    output_tokens: int
    parts: tuple[tuple[str, int], ...]
    session: str
    objective_ms: int
    due_ms: int
    deadline_ms: int
    excluded: tuple[str, ...]
    first: bool
    route: str
    size_class: int
    fingerprint: bytes = b""


class PlaceQueued(NamedTuple):
    """Says that a request waits at the scheduler."""

    number: int


class PlaceGranted(NamedTuple):
    """Gives a request a target.

    Args:
        number (int): Number of the request at the asker.
        target_id (str): Where it runs.
        miss_tokens (int): Prompt tokens that the target must read.
        work_ms (int): Time for which the target reads them.
        first_token_ms (int): Predicted time to the first token.
    """

    number: int
    target_id: str
    miss_tokens: int
    work_ms: int
    first_token_ms: int


class PlaceRefused(NamedTuple):
    """Refuses a request, which has not run."""

    number: int
    retry_after_ms: int
    reason: str


class PlaceRead(NamedTuple):
    """Says that a request's first token came, and after how long."""

    number: int
    first_token_ms: int


class PlaceEnded(NamedTuple):
    """Says that a request ended or is wanted no more.

    Args:
        number (int): Its number at the asker.
        outcome (str): One of the OUTCOME constants.
    """

    number: int
    outcome: str


class SnapshotPull(NamedTuple):
    """Asks a peer for what it read from the platform's store.

    Args:
        config_version (int): Version that the asker has.
        registry_revision (int): Revision of the asker's list of targets.
    """

    config_version: int
    registry_revision: int


class StoreSnapshot(NamedTuple):
    """What a router read from the platform's store.

    Args:
        config_version (int): Version of the configuration.
        config (bytes): The configuration as stored, b"" if not newer.
        registry_revision (int): Revision of the list of targets.
        targets (tuple): Names and values of the registrations.
        lapsed (tuple): Names of targets that are gone from the list, but may
            only have lapsed in an outage of the store.
    """

    config_version: int
    config: bytes
    registry_revision: int
    targets: tuple[tuple[str, bytes], ...]
    lapsed: tuple[str, ...] = ()


EdgeMessage = (
    EdgeReport
    | PeerDigest
    | Place
    | PlaceQueued
    | PlaceGranted
    | PlaceRefused
    | PlaceRead
    | PlaceEnded
    | SnapshotPull
    | StoreSnapshot
)

AnyMessage = Message | EdgeMessage
