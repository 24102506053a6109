"""What routers tell each other, a few times a second."""

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
    TargetLoadItem,
)
from chervilwall.hubs import Recipients
from chervilwall.load_view import TargetLoad
from chervilwall.prefix import PromptPart
from chervilwall.running_requests import Granter

from chervilwall_router.edge.crash_watch import CrashWatch
from chervilwall_router.edge.dispatcher import Dispatcher
from chervilwall_router.edge.granting import Scheduler
from chervilwall_router.edge.memory import RouterMemory
from chervilwall_router.edge.peer_link import Post
from chervilwall_router.edge.scheduling import Scheduling
from chervilwall_router.edge.settings import EdgeSettings
from chervilwall_router.edge.state import ConfigState, RegistryState

LOG = logging.getLogger(__name__)
# Prompts named in one report at most, to keep it in a datagram.
MAX_REPORTED_PREFIXES = 24


class ReportParts(NamedTuple):
    """What reports are made of and change.

    Args:
        settings (EdgeSettings): This router's settings.
        me (Granter): This router.
        config (ConfigState): Its configuration.
        targets (RegistryState): Its list of targets.
        memory (RouterMemory): What it remembers.
        scheduling (Scheduling): Grants to and from peers.
        dispatcher (Dispatcher): Requests that wait.
        crashes (CrashWatch): Takes what peers tell of crashes.
        is_ready (Callable): Tells whether callers may come.
        recipients (Callable): Returns where reports go.
        follows (Callable): Tells whether the store answers.
        clock (Callable): Returns the monotonic time.
    """

    settings: EdgeSettings
    me: Granter
    config: ConfigState
    targets: RegistryState
    memory: RouterMemory
    scheduling: Scheduling
    dispatcher: Dispatcher
    crashes: CrashWatch
    is_ready: Callable[[], bool]
    recipients: Callable[[], Recipients]
    follows: Callable[[], bool]
    clock: Callable[[], float]


class Reports:
    """Make this router's reports and take in those of peers.

    Args:
        parts (ReportParts): What they are made of and change.
        recent (list): Prompts placed since the last report.
    """

    def __init__(self, parts: ReportParts, recent: list[RecentPrefix]) -> None:
        self._parts = parts
        self._memory = parts.memory
        self._recent = recent
        self._sequence = 0
        self._turn = 0
        self._digests = DigestBuilder()

    def __repr__(self) -> str:
        return f"Reports(sequence={self._sequence})"

    def posts(self, *, urgent: bool) -> Iterator[Post]:
        """Generates what this router tells its peers now.

        Args:
            urgent (bool): Whether something has changed. In a large fleet,
                what has not is told half as often.
        """
        to = self._parts.recipients()
        self._turn += 1
        in_turn = urgent or not to.has_hubs or self._turn % 2 == 0
        if not in_turn and not to.short_report:
            return
        report = self._make(is_hub=bool(to.short_report))
        yield Post(to.full_report, (report,))
        if not to.short_report or not in_turn:
            return
        # What only schedulers need would cost more than the work itself.
        now = self._parts.clock()
        updates = self._memory.crashes.pending_updates(
            now, quarantined_only=True
        )
        short_report = report._replace(
            loads=(),
            prefixes=(),
            requested_tokens={},
            granted_tokens={},
            crashes=updates,
        )
        yield Post(to.short_report, (short_report,))
        digests = self._digests.build(
            self._memory.peers.recent_reports(now), now
        )
        for digest in digests.full:
            yield Post(to.full_digest, (digest,))
        for digest in digests.changed:
            yield Post(
                (to.short_report | to.full_report) - to.full_digest, (digest,)
            )

    def _make(self, *, is_hub: bool) -> EdgeReport:
        parts, listen = self._parts, self._parts.settings.listen
        self._sequence += 1
        prefixes = tuple(self._recent)
        self._recent.clear()
        requested, granted = self._memory.shares.local_sums(self._parts.clock())
        return EdgeReport(
            sequence=self._sequence,
            caller_address=listen.callers,
            control_address=listen.peers,
            datagram_address=listen.peers,
            zone=parts.settings.zone,
            ready=parts.is_ready(),
            config_version=self._parts.config.version,
            registry_revision=self._parts.targets.revision,
            loads=self._memory.running_requests.loads(),
            prefixes=prefixes,
            requested_tokens={team: round(n) for team, n in requested.items()},
            granted_tokens={team: round(n) for team, n in granted.items()},
            crashes=self._memory.crashes.pending_updates(
                self._parts.clock(), quarantined_only=False
            ),
            hub=is_hub,
            cpu=self._parts.settings.cpu,
            store_reachable=self._parts.follows(),
            leaving=self._memory.registry.recently_leaving(self._parts.clock()),
        )

    def take_frame(self, frame: Frame, address: str) -> None:
        """Takes a peer's frame and its address."""
        sender = Scheduler(frame.sender, frame.incarnation, address)
        for item in frame.messages:
            if isinstance(item, EdgeReport):
                self._take_report(frame.sender, frame.incarnation, item)
            elif isinstance(item, PeerDigest):
                self._take_digest(frame.sender, item)
            else:
                self._parts.scheduling.receive(sender, item)

    def _take_report(
        self, name: str, incarnation: int, report: EdgeReport
    ) -> None:
        now = self._parts.clock()
        old = self._memory.peers.incarnation(name)
        if not self._memory.peers.receive(name, incarnation, report, now):
            return
        if old is None:
            events.log_event(LOG, events.PEER_REPORTING, peer=name)
        elif old != incarnation:
            self._parts.scheduling.drop_peer(name)
        self._parts.scheduling.hear_held(name, report.loads)
        self._parts.crashes.take_news(name, report.crashes)
        self._take_marks(name, report, now)
        self._memory.load.set_peer(name, self._loads_of(report), now)
        self._memory.shares.set_peer(
            name, report.requested_tokens, report.granted_tokens, now
        )
        for prefix in report.prefixes:
            parts = [PromptPart(*pair) for pair in prefix.parts]
            self._memory.prefixes.record(prefix.target_id, parts, now)
        self._parts.dispatcher.pump()

    def _take_marks(self, name: str, report: EdgeReport, now: float) -> None:
        for start in report.leaving:
            if self._memory.registry.record_leaving(start, now):
                events.log_event(
                    LOG,
                    events.TARGET_LEAVING,
                    target=start.target_id,
                    peer=name,
                )

    def _take_digest(self, hub: str, digest: PeerDigest) -> None:
        now = self._parts.clock()
        for peer in digest.live:
            if self._memory.peers.record_from_hub(peer, now):
                events.log_event(
                    LOG, events.PEER_REPORTING, peer=peer.name, hub=hub
                )
        for name, incarnation in digest.lost:
            if self._memory.peers.remove_from_hub(name, incarnation):
                events.log_event(LOG, events.PEER_LOST, peer=name, hub=hub)

    def _loads_of(self, report: EdgeReport) -> Iterable[tuple[str, TargetLoad]]:
        """Returns a peer's load but for what this router granted itself."""
        found: dict[str, TargetLoad] = {}
        for group in report.loads:
            if (group.granter, group.incarnation) == self._parts.me:
                continue
            for item in group.items:
                load = found.get(item.target_id, TargetLoad())
                found[item.target_id] = load.plus(_load_of(item))
        return found.items()


def _load_of(item: TargetLoadItem) -> TargetLoad:
    return TargetLoad(item.running, item.prefill_ms / 1000, item.kv_tokens)
