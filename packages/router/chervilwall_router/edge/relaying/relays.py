"""Relaying of connections by one router: load samples, peers and logs."""

import asyncio
import logging
import random
import time
from collections.abc import Callable
from typing import NamedTuple

from chervilwall import events
from chervilwall.codec import FrameCodec
from chervilwall.connection_relay import (
    SAMPLE_INTERVAL_S,
    ConnectionRelay,
    CpuUse,
    RelayPeer,
)
from chervilwall.errors import CodecError
from chervilwall.host_load import HostLoad
from chervilwall.peers import PeerTable
from chervilwall.protocol import Metrics
from chervilwall.untrusted import is_ip_address, parse_address

from chervilwall_router.edge.ingress import Ingress
from chervilwall_router.edge.relaying.receiving import (
    ReceiverParts,
    RelayReceiver,
)
from chervilwall_router.edge.relaying.sending import (
    DESCRIPTORS_PER_RELAY,
    RelaySender,
    SenderParts,
)
from chervilwall_router.edge.settings import EdgeSettings

LOG = logging.getLogger(__name__)
# A relay takes two descriptors, so relays take at most half of those that the
# process may open.
MAX_DESCRIPTOR_FRACTION = 0.5
# Part of the maximum delay of an event for which a host that serves a relayed
# connection may hold it back. The rest is for the lag of both hosts.
HOLD_FRACTION = 0.25
MAX_HOLD_S = 0.05
# Time until listening is tried again after the address was not free.
LISTEN_RETRY_S = 10.0


class RelayingParts(NamedTuple):
    """Dependencies of Relaying.

    Args:
        settings (EdgeSettings): Settings of this router.
        incarnation (int): Incarnation of this router.
        ingress (Ingress): Connections of callers.
        peers (PeerTable): The other routers.
        hubs (Callable): Returns the names of the hubs. A small fleet has none.
        host_load (HostLoad): Event loop lag of this host.
        codec (Callable): Returns the codec of the fleet's key, None until the
            key is known.
        is_ready (Callable): Returns whether this router accepts callers.
        metrics (Metrics): Counts relays.
        clock (Callable): Returns the monotonic time in seconds.
        rng (random.Random): Selects connections and peers.
        register_descriptors (Callable): Called with the number of descriptors
            that relays have taken, negative once they are free.
        cpu_clock (Callable): Returns the processor time that this process has
            used, in seconds. Defaults to that of the process.
    """

    settings: EdgeSettings
    incarnation: int
    ingress: Ingress
    peers: PeerTable
    hubs: Callable[[], frozenset[str]]
    host_load: HostLoad
    codec: Callable[[], FrameCodec | None]
    is_ready: Callable[[], bool]
    metrics: Metrics
    clock: Callable[[], float]
    rng: random.Random
    register_descriptors: Callable[[int], None]
    cpu_clock: Callable[[], float] = time.process_time


class Relaying:
    """Relay connections to peers while overloaded, and serve those of peers.

    Args:
        parts (RelayingParts): Dependencies.

    Attributes:
        decision (ConnectionRelay): Decides what is relayed, and to whom.
        sender (RelaySender): Relays to peers.
        receiver (RelayReceiver): Relays of peers.
    """

    def __init__(self, parts: RelayingParts) -> None:
        cfg = parts.settings
        self._parts = parts
        self._cpu = CpuUse(cfg.cpu)
        self._peers: list[RelayPeer] = []
        self._timer: asyncio.TimerHandle | None = None
        self._listen_task: asyncio.Task[None] | None = None
        self._may_listen_at = 0.0
        self._relaying_since: float | None = None
        self.decision = ConnectionRelay(
            cfg.event_delay_ms / 1000,
            int(
                cfg.max_descriptors
                * MAX_DESCRIPTOR_FRACTION
                / DESCRIPTORS_PER_RELAY
            ),
        )
        self.sender = RelaySender(
            SenderParts(
                cfg.name,
                parts.incarnation,
                self.decision,
                lambda: self._peers,
                parts.codec,
                parts.ingress.serve,
                parts.metrics,
                parts.clock,
                parts.rng,
                parts.register_descriptors,
                parts.ingress.context.bounds,
                cfg.callers.receive_buffer_bytes,
            )
        )
        self.receiver = RelayReceiver(
            ReceiverParts(
                cfg.name,
                self.decision,
                parts.codec,
                parts.is_ready,
                self._is_stopping,
                parts.ingress.context,
                parts.metrics,
                min(MAX_HOLD_S, HOLD_FRACTION * cfg.event_delay_ms / 1000),
                cfg.callers.receive_buffer_bytes,
            )
        )
        parts.ingress.relays = self.sender

    def __repr__(self) -> str:
        return f"Relaying({self.sender!r}, {self.receiver!r})"

    def start(self) -> None:
        """Begins to sample the load, and to listen where that is enabled."""
        self._schedule()
        self._listen_if_enabled()

    def close(self) -> None:
        """Ends all relays to peers and stops listening."""
        if self._timer is not None:
            self._timer.cancel()
        if self._listen_task is not None:
            self._listen_task.cancel()
        self.receiver.close()
        self.sender.close()

    def render(self) -> str:
        """Returns the current numbers in the Prometheus text format."""
        return (
            f"relays_to_peers {self.sender.count()}\n"
            f"relays_from_peers {len(self.receiver.connections)}\n"
            f"relay_unsent_bytes {self.sender.unsent_bytes()}\n"
            f"relay_share {self.decision.share:g}\n"
            f"cpu_share_used {self._cpu.fraction:.3f}\n"
        )

    def _is_enabled(self) -> bool:
        setting = self._parts.settings.relay
        return bool(self._parts.hubs()) if setting is None else setting

    def _schedule(self) -> None:
        loop = asyncio.get_running_loop()
        self._timer = loop.call_later(SAMPLE_INTERVAL_S, self._run)

    def _run(self) -> None:
        self._schedule()
        try:
            self._sample()
            self._listen_if_enabled()
            self.receiver.close_idle_of_stopping()
            self.sender.record_bytes()
        except Exception:
            # Data from peers must not end the samples.
            events.log_failure(LOG, events.TASK_FAILED)

    def _sample(self) -> None:
        """Records the load and adjusts what is relayed."""
        parts, now = self._parts, self._parts.clock()
        self._cpu.record(parts.cpu_clock(), now)
        decision = self.decision
        decision.record_load(
            parts.host_load.lag_s(now),
            self._cpu.fraction,
            len(parts.ingress.request_tasks),
        )
        if parts.ingress.is_shutting_down or not self._is_enabled():
            decision.share = 0.0
        self._peers = self._usable_peers(now) if decision.share else []
        self._log_change(now)

    def _log_change(self, now: float) -> None:
        """Logs the begin and the end of relaying."""
        decision, since = self.decision, self._relaying_since
        if bool(decision.share) == (since is not None):
            return
        event = events.RELAYING_ENDED if since else events.RELAYING_STARTED
        self._relaying_since = None if since else now
        events.log_event(
            LOG,
            event,
            lag_ms=round(self._parts.host_load.lag_s(now) * 1000),
            cpu=round(decision.cpu, 2),
            requests=len(self._parts.ingress.request_tasks),
            relays=self.sender.count(),
            peers=len(self._peers),
            for_s=round(now - since, 1) if since else 0,
        )

    def _usable_peers(self, now: float) -> list[RelayPeer]:
        """Returns the ready routers of this zone."""
        zone, hubs = self._parts.settings.zone, self._parts.hubs()
        found = []
        for name, state in self._parts.peers.alive(now).items():
            report = state.report
            if not report.ready or report.zone != zone:
                continue
            address = relay_address(report.datagram_address)
            if address:
                found.append(RelayPeer(name, address, report.cpu, name in hubs))
        return found

    def _is_stopping(self, name: str) -> bool:
        """Returns whether a peer is alive but takes no callers any more."""
        state = self._parts.peers.alive(self._parts.clock()).get(name)
        return state is not None and not state.report.ready

    def _listen_if_enabled(self) -> None:
        """Listens while enabled: a small fleet listens on no further port."""
        receiver = self.receiver
        if not self._is_enabled():
            receiver.close()
            return
        is_due = self._parts.clock() >= self._may_listen_at
        if receiver.is_listening or self._listen_task is not None or not is_due:
            return
        loop = asyncio.get_running_loop()
        self._listen_task = loop.create_task(self._listen())

    async def _listen(self) -> None:
        parts = self._parts
        address = relay_address(parts.settings.listen.peers)
        try:
            host, port = parse_address(address, step="listen", peer=address)
            await self.receiver.listen(host, port)
        except (OSError, CodecError) as exc:
            self._may_listen_at = parts.clock() + LISTEN_RETRY_S
            events.log_event(
                LOG, events.RELAY_LISTEN_FAILED, peer=address, reason=exc
            )
        finally:
            self._listen_task = None


def relay_address(datagram_address: str) -> str:
    """Returns the address at which a router accepts relayed connections.

    It is the port after the one for datagrams, which is the same on all hosts.

    Args:
        datagram_address (str): "IP:port" for datagrams.

    Returns:
        "IP:port", or "" if the address is malformed.
    """
    host, _, port = datagram_address.rpartition(":")
    is_valid = is_ip_address(host) and port.isdecimal()
    return f"{host}:{int(port) + 1}" if is_valid else ""
