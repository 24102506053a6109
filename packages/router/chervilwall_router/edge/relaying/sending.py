"""Sending side: opens connections to peers and copies callers' bytes."""

import asyncio
import functools
import logging
import random
import socket
from collections.abc import Callable, Sequence
from typing import NamedTuple

from chervilwall import events
from chervilwall.caller_memory import CallerUsage, Stage
from chervilwall.codec import FrameCodec
from chervilwall.connection_relay import ConnectionRelay, RelayPeer
from chervilwall.errors import CodecError
from chervilwall.protocol import Metrics
from chervilwall.untrusted import parse_address

from chervilwall_router.edge._dial import set_tcp_options
from chervilwall_router.edge.caller_bounds import CallerBounds
from chervilwall_router.edge.relaying.copying import (
    CopyingRelay,
    RelaySide,
    set_peer_options,
)
from chervilwall_router.edge.relaying.preamble import ACCEPTED, encode_preamble
from chervilwall_router.problem import Problem

LOG = logging.getLogger(__name__)
# A relay takes one descriptor for each side.
DESCRIPTORS_PER_RELAY = 2
# Number of peers that are tried for one connection.
MAX_ATTEMPTS = 2
# A peer that is silent for SILENCE_STEPS steps is given up. A step that the
# event loop of this overloaded host ends late counts once, so that a lag of
# 100 ms is not taken for the silence of the peer.
SILENCE_STEP_S = 0.025
SILENCE_STEPS = 4
_STEP = "relay connection"


class SenderParts(NamedTuple):
    """Dependencies of a RelaySender.

    Args:
        name (str): Name of this router.
        incarnation (int): Incarnation of this router.
        decision (ConnectionRelay): Decides what is relayed, and to whom.
        peers (Callable): Returns the ready routers of the zone.
        codec (Callable): Returns the codec of the fleet's key, None until the
            key is known.
        serve (Callable): Serves an accepted socket on this host.
        metrics (Metrics): Counts relays, failures and bytes.
        clock (Callable): Returns the monotonic time in seconds.
        rng (random.Random): Selects connections and peers.
        register_descriptors (Callable): Called with the number of descriptors
            that relays have taken, negative once they are free.
        bounds (CallerBounds): Bounds the memory of all callers.
        receive_buffer_bytes (int): Bytes that the kernel may receive on a
            connection before they are read.
    """

    name: str
    incarnation: int
    decision: ConnectionRelay
    peers: Callable[[], Sequence[RelayPeer]]
    codec: Callable[[], FrameCodec | None]
    serve: Callable[[socket.socket], None]
    metrics: Metrics
    clock: Callable[[], float]
    rng: random.Random
    register_descriptors: Callable[[int], None]
    bounds: CallerBounds
    receive_buffer_bytes: int


class _RelayMemory:
    """Count the unsent bytes of a relay as memory of its caller.

    They count as a complete request that expects no more bytes, which is
    neither paused nor refused.

    Args:
        bounds (CallerBounds): Bounds the memory of all callers.
        caller (str): Address of the caller.
    """

    def __init__(self, bounds: CallerBounds, caller: str) -> None:
        self._bounds = bounds
        self._usage = CallerUsage(caller)

    def record(self, unsent_bytes: int) -> None:
        """Records the unsent bytes."""
        self._bounds.update(self._usage, self, unsent_bytes, 0, Stage.COMPLETE)

    def end(self) -> None:
        """Forgets the relay."""
        self._bounds.remove(self._usage)

    def hold(self) -> None:
        """Does nothing, as no more bytes are expected."""

    def release(self) -> None:
        """Does nothing, as nothing is held."""

    def give_up(self, problem: Problem) -> None:
        """Does nothing, as the request may have run."""


class _PeerSide(RelaySide):
    """Send the preamble, read the answer and then copy.

    Args:
        relay (CopyingRelay): The relay.
        preamble (bytes): Preamble to send.
        receive_buffer_bytes (int): Bytes that the kernel may receive before
            they are read.
    """

    def __init__(
        self, relay: CopyingRelay, preamble: bytes, receive_buffer_bytes: int
    ) -> None:
        super().__init__(relay)
        self._receive_buffer_bytes = receive_buffer_bytes
        self._preamble = preamble
        self._answer = bytearray(1)
        # The answer of the peer, empty if it ended the connection instead.
        self.answer: asyncio.Future[bytes] = (
            asyncio.get_running_loop().create_future()
        )

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        super().connection_made(transport)
        sock = transport.get_extra_info("socket")
        set_tcp_options(sock)
        set_peer_options(sock, self._receive_buffer_bytes)
        assert self.transport is not None
        self.transport.write(self._preamble)

    def get_buffer(self, sizehint: int) -> memoryview:
        """Returns a buffer for the answer only, and later for all bytes."""
        if not self.answer.done():
            return memoryview(self._answer)
        return super().get_buffer(sizehint)

    def buffer_updated(self, nbytes: int) -> None:
        if self.answer.done():
            super().buffer_updated(nbytes)
            return
        # Bytes behind the answer wait until the caller's side is ready.
        assert self.transport is not None
        self.transport.pause_reading()
        self.answer.set_result(bytes(self._answer))

    def eof_received(self) -> bool:
        if not self.answer.done():
            self.answer.set_result(b"")
            return False
        return super().eof_received()

    def connection_lost(self, exc: Exception | None) -> None:
        if not self.answer.done():
            self.answer.set_result(b"")
        super().connection_lost(exc)

    def start(self) -> None:
        """Begins to copy the bytes behind the answer."""
        if self.is_open():
            assert self.transport is not None
            self.transport.resume_reading()


class _SilenceTimer:
    """Cancel a task whose peer is silent."""

    def __init__(self, task: "asyncio.Task[None]") -> None:
        self._task = task
        self._steps_left = SILENCE_STEPS
        self.has_expired = False
        self._handle = self._schedule()

    def _schedule(self) -> asyncio.TimerHandle:
        loop = asyncio.get_running_loop()
        return loop.call_later(SILENCE_STEP_S, self._end_step)

    def _end_step(self) -> None:
        self._steps_left -= 1
        if self._steps_left:
            self._handle = self._schedule()
            return
        self.has_expired = True
        self._task.cancel()

    def stop(self) -> None:
        """Ends the timer."""
        self._handle.cancel()


class RelaySender:
    """Relay accepted connections of callers to peers.

    Args:
        parts (SenderParts): Dependencies.

    Attributes:
        relays (dict[CopyingRelay, str]): Open relays and their peers' names.
    """

    def __init__(self, parts: SenderParts) -> None:
        self._parts = parts
        self._tasks: set[asyncio.Task[None]] = set()
        self._counted_bytes = 0
        self._ended_bytes = 0
        self.relays: dict[CopyingRelay, str] = {}

    def __repr__(self) -> str:
        return f"RelaySender(relays={len(self.relays)})"

    def count(self) -> int:
        """Returns the number of relays that are open or being opened."""
        return len(self.relays) + len(self._tasks)

    def offer(self, sock: socket.socket) -> bool:
        """Takes over an accepted socket if it is to be relayed.

        Returns:
            Whether it was taken over. If no peer accepts it, it is served here
            later.
        """
        parts = self._parts
        codec = parts.codec()
        if codec is None or not parts.peers() or parts.bounds.is_full:
            return False
        if not parts.decision.should_relay(parts.rng, self.count()):
            return False
        task = asyncio.get_running_loop().create_task(self._run(sock, codec))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return True

    def unsent_bytes(self) -> int:
        """Returns the bytes that were read and could not be sent yet."""
        sides = (s for r in self.relays for s in (r.caller, r.peer))
        return sum(
            s.transport.get_write_buffer_size()
            for s in sides
            if s.transport is not None
        )

    def record_bytes(self) -> None:
        """Counts the bytes that were copied since the last call."""
        total = self._ended_bytes + sum(r.copied_bytes for r in self.relays)
        if total > self._counted_bytes:
            new_bytes = total - self._counted_bytes
            self._parts.metrics.count("relay_bytes", new_bytes)
            self._counted_bytes = total

    def close(self) -> None:
        """Resets all relays, as the process ends."""
        for task in list(self._tasks):
            task.cancel()
        for relay in list(self.relays):
            relay.reset()

    async def _run(self, sock: socket.socket, codec: FrameCodec) -> None:
        """Relays a connection, or serves it here if no peer accepts it."""
        is_relayed = False
        self._count(1)
        try:
            is_relayed = await self._find_peer(sock, codec)
        except asyncio.CancelledError:
            sock.close()
            raise
        except Exception:
            events.log_failure(LOG, events.TASK_FAILED)
        finally:
            if not is_relayed:
                self._count(-1)
        if not is_relayed:
            self._parts.metrics.count("relay_served_here")
            self._parts.serve(sock)

    def _count(self, change: int) -> None:
        """Counts relays that begin, or with a negative number end."""
        self._parts.register_descriptors(change * DESCRIPTORS_PER_RELAY)
        if change > 0:
            self._parts.bounds.add_connection()
        else:
            self._parts.bounds.remove_connection()

    async def _find_peer(self, sock: socket.socket, codec: FrameCodec) -> bool:
        """Returns whether a peer has accepted the connection."""
        parts = self._parts
        try:
            caller_host, caller_port = sock.getpeername()[:2]
        except OSError:
            # The caller has left; the local path finds that out and closes it.
            return False
        tried: set[str] = set()
        for _ in range(MAX_ATTEMPTS):
            peer = parts.decision.choose_peer(
                parts.peers(), parts.rng, parts.clock(), tried=tried
            )
            if peer is None:
                return False
            tried.add(peer.name)
            memory = _RelayMemory(parts.bounds, caller_host)
            relay = CopyingRelay(
                functools.partial(self._ended, memory), memory.record
            )
            preamble = encode_preamble(
                codec,
                parts.name,
                parts.incarnation,
                peer.name,
                f"{caller_host}:{caller_port}",
            )
            side = _PeerSide(relay, preamble, parts.receive_buffer_bytes)
            relay.join(side)
            # None of the caller's bytes are sent before the peer accepts.
            answer = await self._exchange(peer, side)
            if answer == ACCEPTED:
                await self._start(relay, side, sock, peer)
                return True
            side.reset()
            self._record_unaccepted(peer, answer)
            if answer is None:
                # The caller has waited long enough.
                return False
        return False

    def _record_unaccepted(self, peer: RelayPeer, answer: bytes | None) -> None:
        """Pauses a peer that refused a connection or gave no answer."""
        parts, now = self._parts, self._parts.clock()
        if answer:
            parts.metrics.count("relay_refused")
            parts.decision.record_refusal(peer.name, now)
            return
        parts.metrics.count("relay_failed")
        parts.decision.record_failure(peer.name, now)
        events.log_event(
            LOG,
            events.RELAY_PEER_FAILED,
            step=_STEP,
            peer=peer.address,
            reason="silent" if answer is None else "closed",
        )

    async def _exchange(self, peer: RelayPeer, side: _PeerSide) -> bytes | None:
        """Returns the answer of a peer.

        It is empty if the peer is unreachable or closes the connection, and
        None if the peer is silent.
        """
        loop, task = asyncio.get_running_loop(), asyncio.current_task()
        assert task is not None
        timer = _SilenceTimer(task)
        try:
            host, port = parse_address(
                peer.address, step=_STEP, peer=peer.address
            )
            await loop.create_connection(lambda: side, host, port)
            return await side.answer
        except (OSError, ValueError, OverflowError, CodecError):
            return b""
        except asyncio.CancelledError:
            if not timer.has_expired or task.uncancel():
                side.reset()
                raise
            return None
        finally:
            timer.stop()

    async def _start(
        self,
        relay: CopyingRelay,
        side: _PeerSide,
        sock: socket.socket,
        peer: RelayPeer,
    ) -> None:
        """Begins to copy between an accepted socket and its peer."""
        parts = self._parts
        self.relays[relay] = peer.name
        parts.decision.begin(peer.name)
        parts.metrics.count("relay_sent")
        loop = asyncio.get_running_loop()
        try:
            await loop.connect_accepted_socket(lambda: relay.caller, sock)
        except OSError as exc:
            LOG.debug("caller left while being relayed: %s", exc)
            sock.close()
            side.reset()
            return
        except asyncio.CancelledError:
            relay.reset()
            raise
        if side.transport is None:
            # The peer ended the connection meanwhile.
            relay.caller.reset()
        side.start()

    def _ended(self, memory: _RelayMemory, relay: CopyingRelay) -> None:
        """Records the end of a relay; does nothing if it did not begin."""
        memory.end()
        name = self.relays.pop(relay, None)
        if name is None:
            return
        self._count(-1)
        self._ended_bytes += relay.copied_bytes
        self._parts.decision.end(name)
