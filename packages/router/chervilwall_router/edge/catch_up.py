"""Reads of the store that a router takes from its peers."""

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
from chervilwall_router.edge.side_server import Reply
from chervilwall_router.edge.state import (
    ConfigState,
    RegistryState,
    make_snapshot,
)

LOG = logging.getLogger(__name__)
PATH = "/snapshot"
# A peer that has read more of the store is asked after this time, as this
# router's own watch is mostly only a moment behind.
SNAPSHOT_AFTER_S = 0.25
SNAPSHOT_TIMEOUT_S = 0.5


class CatchUp:
    """Ask peers for what they have read, and answer those that ask.

    Args:
        name (str): This router's name.
        zone (str): Its availability zone.
        config (ConfigState): Its configuration.
        targets (RegistryState): Its list of targets.
        peers (PeerTable): The peers.
        codec (Callable): Returns the codec, None before the key is known.
        clock (Callable): Returns the monotonic time.
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
        return f"CatchUp(name={self._name!r})"

    def look(self) -> None:
        """Asks a peer for what it has read and this router has not."""
        now = self._clock()
        peer = self._peers.most_up_to_date(now, zone=self._zone)
        if peer is None or not self._is_behind(peer):
            self._behind_since = now
            return
        if now - self._behind_since < SNAPSHOT_AFTER_S:
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
                PATH,
                body=codec.encode(self._name, 0, (pull,)),
                timeout_s=SNAPSHOT_TIMEOUT_S,
                step="pull snapshot",
            )
            frame = codec.decode(answer.body)
        except (DialError, CallFailedError, CodecError) as exc:
            events.log_event(
                LOG, events.SNAPSHOT_FAILED, peer=address, reason=exc.reason
            )
            return
        for item in frame.messages:
            if isinstance(item, StoreSnapshot):
                self._take_snapshot(item, address)

    def _take_snapshot(self, snapshot: StoreSnapshot, address: str) -> None:
        events.log_event(
            LOG,
            events.SNAPSHOT_RECEIVED,
            peer=address,
            config=snapshot.config_version,
            targets=snapshot.registry_revision,
        )
        if snapshot.config:
            self._config.take(snapshot.config, source=address)
        self._targets.take_snapshot(snapshot)

    def page(self, request: HTTPServerRequest) -> Reply:
        """Answers a peer that asks."""
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
