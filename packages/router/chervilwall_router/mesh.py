"""Transport of message frames between routers over pynng sockets."""

import asyncio
import logging
import pathlib
from collections.abc import Callable, Sequence

import pynng
from chervilwall import events
from chervilwall.cell_messages import Message
from chervilwall.codec import MAX_FRAME_BYTES, Frame, FrameCodec
from chervilwall.errors import CodecError

from chervilwall_router.settings import PeerTlsSettings

LOG = logging.getLogger(__name__)
# Buffer sizes of the socket to each peer, and of the listening socket.
SEND_BUFFER_FRAMES = 64
RECEIVE_BUFFER_FRAMES = 256
# Range of the pause before NNG connects again.
RECONNECT_MIN_MS = 100
RECONNECT_MAX_MS = 1000
# Frames handled before other work of the event loop has its turn.
MAX_FRAMES_PER_READ = 32
# Number of threads of each NNG thread pool.
NNG_THREADS = 1


def limit_threads() -> None:
    """Limits the number of threads that the socket library NNG starts.

    Must be called once, before the first socket is opened.
    """
    for name in (
        "NNG_INIT_NUM_TASK_THREADS",
        "NNG_INIT_MAX_TASK_THREADS",
        "NNG_INIT_NUM_POLLER_THREADS",
        "NNG_INIT_MAX_POLLER_THREADS",
        "NNG_INIT_NUM_EXPIRE_THREADS",
        "NNG_INIT_MAX_EXPIRE_THREADS",
    ):
        parameter = getattr(pynng.lib, name)
        pynng.lib.nng_init_set_parameter(parameter, NNG_THREADS)


class Mesh:
    """Exchange frames of messages with other routers.

    Messages queued for a peer within one iteration of the event loop are sent
    in one frame. A frame that does not fit the send buffer is dropped, so all
    protocols on top of the mesh must recover from lost messages.

    Args:
        address (str): "IP:port" to listen on. Outgoing connections use its IP
            address as their source.
        name (str): Name of this router.
        incarnation (int): Incarnation of this router: the time of its start, in
            milliseconds.
        codec (FrameCodec): Encodes and authenticates frames.
        on_frame (Callable): Called with each decoded frame.
        tls (PeerTlsSettings | None): Certificates. Defaults to none, which
            leaves connections unencrypted.
    """

    def __init__(
        self,
        address: str,
        *,
        name: str,
        incarnation: int,
        codec: FrameCodec,
        on_frame: Callable[[Frame], None],
        tls: PeerTlsSettings | None = None,
    ) -> None:
        self._tls = tls
        self._scheme = "tcp" if tls is None else "tls+tcp"
        self._address = address
        self._source_ip, _, _ = address.rpartition(":")
        self._name = name
        self._incarnation = incarnation
        self.codec = codec
        self._on_frame = on_frame
        self._listener: pynng.Pull0 | None = None
        self._sockets: dict[str, pynng.Push0] = {}
        self._outbox: dict[str, list[Message]] = {}
        self._flush_scheduled = False
        self.frames_sent = 0
        self.frames_received = 0
        self.bytes_sent = 0
        self.bytes_received = 0
        self.messages_sent = 0

    def __repr__(self) -> str:
        return f"Mesh({self._address!r}, peers={len(self._sockets)})"

    def __enter__(self) -> "Mesh":
        self._listener = pynng.Pull0(
            recv_buffer_size=RECEIVE_BUFFER_FRAMES,
            recv_max_size=MAX_FRAME_BYTES,
        )
        if self._tls is not None:
            mode = pynng.TLSConfig.MODE_SERVER
            self._listener.tls_config = _make_tls(self._tls, mode)
        self._listener.listen(f"{self._scheme}://{self._address}")
        # Reading from the library's file descriptor on the event loop avoids a
        # switch between threads for each frame.
        loop = asyncio.get_running_loop()
        loop.add_reader(self._listener.recv_fd, self._read_frames)
        return self

    def __exit__(self, *exc_info: object) -> None:
        self.flush()
        for sock in self._sockets.values():
            sock.close()
        if self._listener is not None:
            asyncio.get_running_loop().remove_reader(self._listener.recv_fd)
            self._listener.close()

    def send(self, address: str, message: Message) -> None:
        """Queues a message for the peer at an address."""
        self._outbox.setdefault(address, []).append(message)
        if not self._flush_scheduled:
            self._flush_scheduled = True
            asyncio.get_running_loop().call_soon(self.flush)

    def flush(self) -> None:
        """Sends the queued messages in one frame per peer."""
        self._flush_scheduled = False
        outbox, self._outbox = self._outbox, {}
        for address, messages in outbox.items():
            self._send_frame(address, messages)

    def close_other_sockets(self, addresses: Sequence[str]) -> None:
        """Closes the sockets to all peers except those at these addresses."""
        for address in set(self._sockets) - set(addresses):
            self._sockets.pop(address).close()

    def _send_frame(self, address: str, messages: list[Message]) -> None:
        frame = self.codec.encode(self._name, self._incarnation, messages)
        try:
            self._socket_to(address).send(frame, block=False)
        except pynng.NNGException as exc:
            events.log_event(
                LOG,
                events.PEER_SEND_FAILED,
                step="send frame",
                peer=address,
                reason=exc,
            )
            return
        self.frames_sent += 1
        self.bytes_sent += len(frame)
        self.messages_sent += len(messages)

    def _socket_to(self, address: str) -> pynng.Push0:
        sock = self._sockets.get(address)
        if sock is None:
            sock = pynng.Push0(
                send_buffer_size=SEND_BUFFER_FRAMES,
                reconnect_time_min=RECONNECT_MIN_MS,
                reconnect_time_max=RECONNECT_MAX_MS,
            )
            if self._tls is not None:
                mode = pynng.TLSConfig.MODE_CLIENT
                sock.tls_config = _make_tls(self._tls, mode)
            # The source address allows firewalls to distinguish routers.
            url = f"{self._scheme}://{self._source_ip};{address}"
            sock.dial(url, block=False)
            self._sockets[address] = sock
        return sock

    def _read_frames(self) -> None:
        assert self._listener is not None
        for _ in range(MAX_FRAMES_PER_READ):
            try:
                data = self._listener.recv(block=False)
            except pynng.TryAgain:
                return
            self._handle_frame(data)

    def _handle_frame(self, data: bytes) -> None:
        self.frames_received += 1
        self.bytes_received += len(data)
        try:
            frame = self.codec.decode(data)
        except CodecError as exc:
            events.log_event(LOG, events.FRAME_REFUSED, reason=exc)
            return
        if frame.sender == self._name:
            return
        try:
            self._on_frame(frame)
        except Exception:
            LOG.exception("failed to handle a frame", extra={"event": 105})


def _make_tls(cfg: PeerTlsSettings, mode: int) -> pynng.TLSConfig:
    key = pathlib.Path(cfg.key_file).read_text()
    return pynng.TLSConfig(
        mode,
        server_name=cfg.server_name,
        ca_string=pathlib.Path(cfg.ca_file).read_text(),
        own_key_string=key,
        own_cert_string=pathlib.Path(cfg.cert_file).read_text(),
        auth_mode=pynng.TLSConfig.AUTH_MODE_REQUIRED,
    )
