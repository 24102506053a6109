"""In-memory state of an edge router that outlives single requests."""

from typing import NamedTuple

from chervilwall.cold_targets import ColdTargets
from chervilwall.crash_ledger import CrashLedger
from chervilwall.fair_share import FairShare
from chervilwall.host_load import HostLoad
from chervilwall.load_view import LoadView
from chervilwall.pauses import TargetPauses
from chervilwall.peers import PeerTable
from chervilwall.prefill import PrefillModel
from chervilwall.prefix import PrefixMap
from chervilwall.registry import TargetRegistry
from chervilwall.reported_load import ReportedLoad
from chervilwall.running_requests import RunningRequests
from chervilwall.target_limits import TargetLimits

from chervilwall_router.edge.settings import EdgeSettings


class RouterState(NamedTuple):
    """State that is kept until the process ends.

    None of it has to be persisted: after a restart it is rebuilt from the
    object store, the reports of peers and new requests.

    Args:
        registry (TargetRegistry): Registered targets.
        pauses (TargetPauses): Targets that asked this router to pause.
        limits (TargetLimits): Limits that targets name on requests.
        cold (ColdTargets): Targets that are cold.
        load (LoadView): Load of the targets.
        reported (ReportedLoad): Load that the targets report.
        prefixes (PrefixMap): Prompt prefixes that the targets cache.
        model (PrefillModel): Estimated prefill speed of the targets.
        shares (FairShare): Tokens requested by and granted to each team.
        running_requests (RunningRequests): Requests in flight on this router.
        crashes (CrashLedger): Requests suspected of crashing targets.
        peers (PeerTable): The other routers.
        host_load (HostLoad): Event loop lag and load shedding of this host.
    """

    registry: TargetRegistry
    pauses: TargetPauses
    limits: TargetLimits
    cold: ColdTargets
    load: LoadView
    reported: ReportedLoad
    prefixes: PrefixMap
    model: PrefillModel
    shares: FairShare
    running_requests: RunningRequests
    crashes: CrashLedger
    peers: PeerTable
    host_load: HostLoad


def make_router_state(settings: EdgeSettings) -> RouterState:
    """Returns the empty state of a router that is starting."""
    load = LoadView()
    return RouterState(
        registry=TargetRegistry(),
        pauses=TargetPauses(),
        limits=TargetLimits(),
        cold=ColdTargets(settings.cold is not None),
        load=load,
        reported=ReportedLoad(
            lambda target_id, now: load.total(target_id, now).running
        ),
        prefixes=PrefixMap(),
        model=PrefillModel(),
        shares=FairShare(),
        running_requests=RunningRequests(),
        crashes=CrashLedger(),
        peers=PeerTable(settings.name),
        host_load=HostLoad(settings.event_delay_ms / 1000),
    )
