"""What an edge router remembers from one request to the next."""

from typing import NamedTuple

from chervilwall.crash_ledger import CrashLedger
from chervilwall.fair_share import FairShare
from chervilwall.host_load import HostLoad
from chervilwall.load_view import LoadView
from chervilwall.pauses import TargetPauses
from chervilwall.peers import PeerTable
from chervilwall.prefill import PrefillModel
from chervilwall.prefix import PrefixMap
from chervilwall.registry import TargetRegistry
from chervilwall.running_requests import RunningRequests

from chervilwall_router.edge.settings import EdgeSettings


class RouterMemory(NamedTuple):
    """State that lives as long as the process; all of it can be rebuilt.

    Args:
        registry (TargetRegistry): The targets.
        pauses (TargetPauses): Targets that want nothing from this router.
        load (LoadView): Load of the targets.
        prefixes (PrefixMap): Prompt parts that they cache.
        model (PrefillModel): How fast they read prompts.
        shares (FairShare): What teams asked for and got.
        running_requests (RunningRequests): Requests in flight here.
        crashes (CrashLedger): Requests that crash targets.
        peers (PeerTable): The other routers.
        host_load (HostLoad): Whether this host falls behind.
    """

    registry: TargetRegistry
    pauses: TargetPauses
    load: LoadView
    prefixes: PrefixMap
    model: PrefillModel
    shares: FairShare
    running_requests: RunningRequests
    crashes: CrashLedger
    peers: PeerTable
    host_load: HostLoad


def make_memory(settings: EdgeSettings) -> RouterMemory:
    """Returns the memory of a router that has just started."""
    return RouterMemory(
        registry=TargetRegistry(),
        pauses=TargetPauses(),
        load=LoadView(),
        prefixes=PrefixMap(),
        model=PrefillModel(),
        shares=FairShare(),
        running_requests=RunningRequests(),
        crashes=CrashLedger(),
        peers=PeerTable(settings.name),
        host_load=HostLoad(settings.event_delay_ms / 1000),
    )
