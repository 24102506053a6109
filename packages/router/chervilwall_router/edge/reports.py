"""Reports that routers exchange a few times a second.

Designed for fleets of up to hundreds of routers: in a large fleet only hubs get
full reports, and reports are sent half as often, except between hubs or after a
change that peers need to know.
"""

import logging
from collections.abc import Callable, Iterable, Iterator
from typing import NamedTuple

from chervilwall import events
from chervilwall.codec import Frame
from chervilwall.digest import DigestBuilder
from chervilwall.edge_messages import (
    EdgeReport,
    PeerDigest,
    RecentPrefix,
    StreamOriginsUpdate,
    TargetLoadItem,
)
from chervilwall.hubs import Recipients
from chervilwall.load_view import TargetLoad
from chervilwall.prefix import PromptPart
from chervilwall.protocol import Metrics
from chervilwall.running_requests import Granter

from chervilwall_router.edge.cold_notices import ColdNotices
from chervilwall_router.edge.crash_watch import CrashWatch
from chervilwall_router.edge.dispatcher import Dispatcher
from chervilwall_router.edge.evacuation_state import EvacuationState
from chervilwall_router.edge.peer_grants import SchedulerPeer
from chervilwall_router.edge.peer_link import Outgoing
from chervilwall_router.edge.router_state import RouterState
from chervilwall_router.edge.scheduling import Scheduling
from chervilwall_router.edge.settings import EdgeSettings
from chervilwall_router.edge.store_state import ConfigState, RegistryState
from chervilwall_router.edge.stream_records import StreamRecords
from chervilwall_router.edge.target_notices import log_limit_change

LOG = logging.getLogger(__name__)
# Maximum number of prompt prefixes in one report, so that it fits a datagram.
MAX_REPORTED_PREFIXES = 24


class ReportParts(NamedTuple):
    """Dependencies of Reports.

    Args:
        settings (EdgeSettings): Settings of this router.
        me (Granter): Identity of this router in grants.
        config (ConfigState): This router's configuration.
        targets (RegistryState): This router's list of targets.
        state (RouterState): State that reports describe and that the reports
            of peers update.
        scheduling (Scheduling): Grants to and from peers.
        dispatcher (Dispatcher): Queue of waiting requests.
        crashes (CrashWatch): Receives the peers' updates about crashes.
        evacuations (EvacuationState): Evacuated zones, reported to peers and
            taken from them.
        is_ready (Callable): Returns whether this router accepts callers.
        recipients (Callable): Returns the recipients of reports.
        store_reachable (Callable): Returns whether the object store answers
            this router's watches.
        learn_era (Callable): Called with the era of the store that a peer
            knows, and the peer's name.
        stream_records (StreamRecords): Exchanges the origins of streams.
        cold (ColdNotices): Receives the cold times that peers state.
        metrics (Metrics): Counts the changes of limits that peers report.
        send_reports_now (Callable): Called to send reports at once.
        clock (Callable): Returns the monotonic time in seconds.
    """

    settings: EdgeSettings
    me: Granter
    config: ConfigState
    targets: RegistryState
    state: RouterState
    scheduling: Scheduling
    dispatcher: Dispatcher
    crashes: CrashWatch
    evacuations: EvacuationState
    is_ready: Callable[[], bool]
    recipients: Callable[[], Recipients]
    store_reachable: Callable[[], bool]
    learn_era: Callable[[int, str], None]
    stream_records: StreamRecords
    cold: ColdNotices
    metrics: Metrics
    send_reports_now: Callable[[], None]
    clock: Callable[[], float]


class Reports:
    """Build this router's reports and apply those of peers.

    Args:
        parts (ReportParts): Dependencies.
        recent_prefixes (list): Prompt prefixes placed since the last report.
            Each report takes them over and clears the list.
    """

    def __init__(
        self, parts: ReportParts, recent_prefixes: list[RecentPrefix]
    ) -> None:
        self._parts = parts
        self._state = parts.state
        self._recent_prefixes = recent_prefixes
        self._sequence = 0
        self._round = 0
        self._has_hubs = False
        self._digests = DigestBuilder()

    def __repr__(self) -> str:
        return f"Reports(sequence={self._sequence})"

    def outgoing(self, *, urgent: bool) -> Iterator[Outgoing]:
        """Generates the messages to send now, with their recipients.

        Args:
            urgent (bool): Whether something has changed that peers need to know
                now. If not, in a large fleet, reports between hubs are sent
                at every call, and all others at every second call.
        """
        recipients = self._parts.recipients()
        self._has_hubs = recipients.has_hubs
        self._round += 1
        is_due = urgent or not recipients.has_hubs or self._round % 2 == 0
        if not is_due and not recipients.short_report:
            return
        report = self._build_report(is_hub=bool(recipients.short_report))
        yield Outgoing(recipients.full_report, (report,))
        for message in self._parts.stream_records.messages():
            yield Outgoing(recipients.full_report, (message,))
        if not recipients.short_report or not is_due:
            return
        # The short report omits what only schedulers need. In a large fleet,
        # sending that to every router would cost more than serving requests.
        # Cold targets are included: a router that has just become a hub may
        # schedule, and only the response of a target that is known to be cold
        # tells that it is warm.
        now = self._parts.clock()
        updates = self._state.crashes.pending_updates(
            now, quarantined_only=True
        )
        short_report = report._replace(
            loads=(),
            prefixes=(),
            requested_tokens={},
            granted_tokens={},
            crashes=updates,
            limits=(),
            cold=self._state.cold.take_report_to_all(now),
        )
        yield Outgoing(recipients.short_report, (short_report,))
        digests = self._digests.build(
            self._state.peers.recent_reports(now), now
        )
        for digest in digests.full:
            yield Outgoing(recipients.full_digest, (digest,))
        for digest in digests.changed:
            yield Outgoing(
                (recipients.short_report | recipients.full_report)
                - recipients.full_digest,
                (digest,),
            )

    def _build_report(self, *, is_hub: bool) -> EdgeReport:
        parts, listen = self._parts, self._parts.settings.listen
        self._sequence += 1
        prefixes = tuple(self._recent_prefixes)
        self._recent_prefixes.clear()
        requested, granted = self._state.shares.local_sums(self._parts.clock())
        return EdgeReport(
            sequence=self._sequence,
            caller_address=listen.callers,
            control_address=listen.peers,
            datagram_address=listen.peers,
            zone=parts.settings.zone,
            ready=parts.is_ready(),
            config_version=self._parts.config.version,
            registry_revision=self._parts.targets.revision,
            loads=self._state.running_requests.loads(),
            prefixes=prefixes,
            requested_tokens={team: round(n) for team, n in requested.items()},
            granted_tokens={team: round(n) for team, n in granted.items()},
            crashes=self._state.crashes.pending_updates(
                self._parts.clock(), quarantined_only=False
            ),
            hub=is_hub,
            cpu=self._parts.settings.cpu,
            store_reachable=self._parts.store_reachable(),
            leaving=self._state.registry.recently_leaving(self._parts.clock()),
            limits=self._state.limits.take_report(self._parts.clock()),
            evacuations_revision=parts.evacuations.revision,
            evacuated_zones=tuple(parts.evacuations.zones),
            cold=self._state.cold.take_report(self._parts.clock()),
        )

    def receive_frame(self, frame: Frame, address: str) -> None:
        """Handles a frame from a peer.

        Args:
            frame (Frame): The decoded frame.
            address (str): "IP:port" that it was sent from.
        """
        sender = SchedulerPeer(frame.sender, frame.incarnation, address)
        for item in frame.messages:
            if isinstance(item, EdgeReport):
                self._apply_report(frame.sender, frame.incarnation, item)
            elif isinstance(item, PeerDigest):
                self._apply_digest(frame.sender, item)
            elif isinstance(item, StreamOriginsUpdate):
                self._parts.stream_records.receive(item)
            else:
                self._parts.scheduling.receive(sender, item)

    def _apply_report(
        self, name: str, incarnation: int, report: EdgeReport
    ) -> None:
        now = self._parts.clock()
        known_incarnation = self._state.peers.incarnation(name)
        if not self._state.peers.receive(name, incarnation, report, now):
            return
        if known_incarnation != incarnation and self._state.limits.in_force():
            # It may schedule as soon as it is ready.
            self._state.limits.report_all()
            self._parts.send_reports_now()
        if (
            known_incarnation != incarnation
            and self._state.cold.report_all(now)
            and not self._has_hubs
        ):
            # It may schedule as soon as it is ready. In a large fleet, where
            # that is rare, a report for each start would be too much.
            self._parts.send_reports_now()
        if known_incarnation is None:
            events.log_event(LOG, events.PEER_REPORTING, peer=name)
        elif known_incarnation != incarnation:
            self._parts.scheduling.drop_peer(name)
            self._parts.stream_records.record_router_lost()
        self._parts.learn_era(report.registry_revision.era, name)
        self._parts.evacuations.receive(report, name)
        self._parts.scheduling.reconcile_grants(name, report.loads)
        self._parts.crashes.apply_updates(name, report.crashes)
        self._record_leaving(name, report, now)
        self._record_limits(name, report, now)
        if report.cold:
            self._parts.cold.apply_stated(report.cold)
        self._state.load.set_peer(name, self._load_from_others(report), now)
        self._state.shares.set_peer(
            name, report.requested_tokens, report.granted_tokens, now
        )
        for prefix in report.prefixes:
            parts = [PromptPart(*pair) for pair in prefix.parts]
            self._state.prefixes.record(prefix.target_id, parts, now)
        self._parts.dispatcher.schedule_pass()

    def _record_leaving(
        self, name: str, report: EdgeReport, now: float
    ) -> None:
        for start in report.leaving:
            if self._state.registry.record_leaving(start, now):
                events.log_event(
                    LOG,
                    events.TARGET_LEAVING,
                    target=start.target_id,
                    peer=name,
                )

    def _record_limits(self, name: str, report: EdgeReport, now: float) -> None:
        for stated in report.limits:
            change = self._state.limits.record_stated(stated, now, peer=name)
            if change is not None and change.is_material:
                log_limit_change(
                    stated.start.target_id,
                    change,
                    self._parts.metrics,
                    peer=name,
                )

    def _apply_digest(self, hub: str, digest: PeerDigest) -> None:
        now = self._parts.clock()
        for peer in digest.live:
            if self._state.peers.record_from_hub(peer, now):
                events.log_event(
                    LOG, events.PEER_REPORTING, peer=peer.name, hub=hub
                )
        for name, incarnation in digest.lost:
            if self._state.peers.remove_from_hub(name, incarnation):
                self._parts.stream_records.record_router_lost()
                events.log_event(LOG, events.PEER_LOST, peer=name, hub=hub)

    def _load_from_others(
        self, report: EdgeReport
    ) -> Iterable[tuple[str, TargetLoad]]:
        """Returns the load that a peer causes, by target.

        Requests that run on grants of this router are left out, as this router
        has counted them already.
        """
        load_by_target: dict[str, TargetLoad] = {}
        for group in report.loads:
            if (group.granter, group.incarnation) == self._parts.me:
                continue
            for item in group.items:
                load = load_by_target.get(item.target_id, TargetLoad())
                load_by_target[item.target_id] = load.plus(
                    _to_target_load(item)
                )
        return load_by_target.items()


def _to_target_load(item: TargetLoadItem) -> TargetLoad:
    return TargetLoad(item.running, item.prefill_ms / 1000, item.kv_tokens)
