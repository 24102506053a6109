"""Exchange of object store snapshots between routers.

Designed for outages of the object store that affect part of the fleet, and for
large fleets. A router pulls a snapshot from a peer when it cannot reach the
store, or when it does not watch the store because the fleet is large and only
hubs do.
"""

import asyncio
import logging
from collections.abc import Callable

from chervilwall import events
from chervilwall.codec import FrameCodec
from chervilwall.edge_messages import SnapshotPull, StoreSnapshot
from chervilwall.errors import CodecError
from chervilwall.peers import PeerState, PeerTable
from tornado.httputil import HTTPServerRequest

from chervilwall_router.edge.http_call import (
    CallFailedError,
    DialError,
    send_request,
)
from chervilwall_router.edge.page_server import Reply
from chervilwall_router.edge.store_state import (
    ConfigState,
    RegistryState,
    make_snapshot,
)

LOG = logging.getLogger(__name__)
SNAPSHOT_PATH = "/snapshot"
# Seconds for which a peer must have newer data before a snapshot is pulled from
# it; in most cases this router's own watch catches up sooner.
SNAPSHOT_DELAY_S = 0.25
SNAPSHOT_TIMEOUT_S = 0.5


class SnapshotExchange:
    """Pull newer snapshots from peers, and serve snapshots to peers.

    Args:
        name (str): Name of this router.
        zone (str): Availability zone of this router. Of peers that are equally
            up to date, one in this zone is preferred.
        config (ConfigState): This router's configuration.
        targets (RegistryState): This router's list of targets.
        peers (PeerTable): The other routers.
        codec (Callable): Returns the codec of the fleet's key, None until the
            key has been read.
        clock (Callable): Returns the monotonic time in seconds.
    """

    def __init__(
        self,
        name: str,
        zone: str,
        config: ConfigState,
        targets: RegistryState,
        peers: PeerTable,
        codec: Callable[[], FrameCodec | None],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._zone = zone
        self._config = config
        self._targets = targets
        self._peers = peers
        self._codec = codec
        self._clock = clock
        self._behind_since = 0.0
        self._task: asyncio.Task[None] | None = None

    def __repr__(self) -> str:
        return f"SnapshotExchange(name={self._name!r})"

    def pull_if_behind(self) -> None:
        """Starts pulling a snapshot if a peer has had newer data for a while.

        At most one pull runs at a time.
        """
        now = self._clock()
        peer = self._peers.most_up_to_date(now, zone=self._zone)
        if peer is None or not self._is_behind(peer):
            self._behind_since = now
            return
        if now - self._behind_since < SNAPSHOT_DELAY_S:
            return
        if self._task is None or self._task.done():
            loop = asyncio.get_running_loop()
            self._task = loop.create_task(self._pull(peer))

    def _is_behind(self, peer: PeerState) -> bool:
        report = peer.report
        return (
            report.config_version > self._config.version
            or report.registry_revision > self._targets.revision
        )

    async def _pull(self, peer: PeerState) -> None:
        codec = self._codec()
        if codec is None:
            return
        pull = SnapshotPull(self._config.version, self._targets.revision)
        address = peer.report.control_address
        try:
            answer = await send_request(
                address,
                "POST",
                SNAPSHOT_PATH,
                body=codec.encode(self._name, 0, (pull,)),
                timeout_s=SNAPSHOT_TIMEOUT_S,
                step="pull snapshot",
            )
            frame = codec.decode(answer.body)
            for item in frame.messages:
                if isinstance(item, StoreSnapshot):
                    self._apply_snapshot(item, address)
        except (DialError, CallFailedError, CodecError) as exc:
            events.log_event(
                LOG, events.SNAPSHOT_FAILED, peer=address, reason=exc.reason
            )
        except Exception:
            events.log_failure(LOG, events.TASK_FAILED, peer=address)

    def _apply_snapshot(self, snapshot: StoreSnapshot, address: str) -> None:
        events.log_event(
            LOG,
            events.SNAPSHOT_RECEIVED,
            peer=address,
            config=snapshot.config_version,
            targets=snapshot.registry_revision,
        )
        if snapshot.config:
            self._config.apply(snapshot.config, source=address)
        self._targets.apply_snapshot(snapshot)

    def handle_pull(self, request: HTTPServerRequest) -> Reply:
        """Returns the reply to a peer that pulls a snapshot.

        The status is 503 without the fleet's key, 403 if the request does not
        authenticate and 400 if it contains no pull.
        """
        codec = self._codec()
        if codec is None:
            return Reply(503)
        try:
            frame = codec.decode(request.body)
        except CodecError as exc:
            events.log_event(
                LOG,
                events.FRAME_REFUSED,
                peer=request.remote_ip,
                reason=exc.reason,
            )
            return Reply(403)
        pull = next(
            (m for m in frame.messages if isinstance(m, SnapshotPull)), None
        )
        if pull is None:
            return Reply(400)
        snapshot = make_snapshot(self._config, self._targets, pull)
        return Reply(200, codec.encode(self._name, 0, (snapshot,)))
