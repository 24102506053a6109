"""Codec of frames between routers.

A frame is a message authentication code (MAC), which is a keyed digest,
followed by the messages as msgpack.
"""

import hashlib
import hmac
import zlib
from collections.abc import Iterable, Sequence
from typing import NamedTuple

import msgspec

from chervilwall import cell_messages, edge_messages
from chervilwall.config import Config, VersionedConfig
from chervilwall.edge_messages import AnyMessage
from chervilwall.errors import CodecError

MAC_BYTES = 16
# Maximum length of a frame, including its MAC.
MAX_FRAME_BYTES = 1 << 20
# Maximum length of a decompressed configuration.
MAX_CONFIG_BYTES = 1 << 23

# A type's index is its code on the wire, so new types are appended.
_TYPES: tuple[type, ...] = (
    cell_messages.Enqueue,
    cell_messages.Cancel,
    cell_messages.Grant,
    cell_messages.Refuse,
    cell_messages.Done,
    cell_messages.Sync,
    cell_messages.UnknownRequests,
    cell_messages.Ping,
    cell_messages.Ack,
    cell_messages.PingRequest,
    cell_messages.MembersPull,
    cell_messages.MembersPush,
    cell_messages.ConfigPull,
    cell_messages.ConfigPush,
    cell_messages.UsagePush,
    cell_messages.FreeSlotsOffer,
    cell_messages.Move,
    cell_messages.ServiceReport,
    cell_messages.Handover,
    edge_messages.EdgeReport,
    edge_messages.PlacementRequest,
    edge_messages.PlacementQueued,
    edge_messages.PlacementGranted,
    edge_messages.PlacementRefused,
    edge_messages.PlacementFirstToken,
    edge_messages.PlacementEnded,
    edge_messages.SnapshotPull,
    edge_messages.StoreSnapshot,
    edge_messages.PeerDigest,
    edge_messages.StreamOriginsUpdate,
    edge_messages.PlacementSilent,
)
_CODE_BY_TYPE = {cls: code for code, cls in enumerate(_TYPES)}
# Defaults of the trailing fields of each type, in order.
_DEFAULTS: dict[type, tuple] = {
    cls: tuple(getattr(cls, "_field_defaults", {}).values()) for cls in _TYPES
}
_DECODERS: tuple[msgspec.msgpack.Decoder, ...] = tuple(
    msgspec.msgpack.Decoder(cls) for cls in _TYPES
)
_ENCODER = msgspec.msgpack.Encoder()


class Frame(NamedTuple):
    """Content of a decoded frame.

    Args:
        sender (str): Name of the sending router.
        incarnation (int): Incarnation of that router.
        messages (tuple): The messages in sending order.
    """

    sender: str
    incarnation: int
    messages: tuple[AnyMessage, ...]


class _WireFrame(NamedTuple):
    sender: str
    incarnation: int
    items: tuple[tuple[int, msgspec.Raw], ...]


_FRAME_DECODER = msgspec.msgpack.Decoder(_WireFrame)


class FrameCodec:
    """Encode and decode authenticated frames.

    Encodes with the newest key and accepts every configured key, so that keys
    can be rotated without an interruption.

    Args:
        keys (Sequence[bytes]): Shared secrets, newest first.

    Raises:
        CodecError: No key is given.
    """

    def __init__(self, keys: Sequence[bytes]) -> None:
        if not keys:
            raise CodecError(
                "no fleet key is configured", step="make frame codec"
            )
        self._keys = tuple(keys)

    def __repr__(self) -> str:
        return f"FrameCodec(keys={len(self._keys)})"

    def encode(
        self,
        sender: str,
        incarnation: int,
        messages: Iterable[AnyMessage],
    ) -> bytes:
        """Encodes messages into a frame.

        Args:
            sender (str): Name of this router.
            incarnation (int): Incarnation of this router.
            messages (Iterable): The messages, in sending order.

        Returns:
            The frame, including its MAC.
        """
        items = [
            (_CODE_BY_TYPE[type(msg)], _omit_defaults(msg)) for msg in messages
        ]
        body = _ENCODER.encode((sender, incarnation, items))
        return _compute_mac(self._keys[0], body) + body

    def decode(self, frame: bytes) -> Frame:
        """Authenticates and decodes a frame.

        Raises:
            CodecError: The frame's MAC matches no configured key, or the frame
                has an invalid length or is malformed.
        """
        if not MAC_BYTES < len(frame) <= MAX_FRAME_BYTES:
            raise CodecError(
                f"frame has {len(frame)} bytes, expected {MAC_BYTES + 1} to "
                f"{MAX_FRAME_BYTES}",
                step="decode frame",
            )
        mac, body = frame[:MAC_BYTES], frame[MAC_BYTES:]
        if not any(
            hmac.compare_digest(mac, _compute_mac(k, body)) for k in self._keys
        ):
            raise CodecError(
                "MAC matches no configured key", step="decode frame"
            )
        try:
            wire = _FRAME_DECODER.decode(body)
            messages = tuple(
                _DECODERS[code].decode(raw) for code, raw in wire.items
            )
        except (msgspec.MsgspecError, IndexError, RecursionError) as exc:
            raise CodecError(str(exc), step="decode frame") from exc
        return Frame(wire.sender, wire.incarnation, messages)


def _omit_defaults(msg: AnyMessage) -> tuple:
    """Returns the fields of a message without trailing defaults.

    A router that does not know a new field rejects a frame in which it is
    present, even with its default. Those that know it fill in the default.
    """
    defaults = _DEFAULTS[type(msg)]
    end = len(msg)
    first = end - len(defaults)
    while end > first and msg[end - 1] == defaults[end - 1 - first]:
        end -= 1
    return msg[:end]


def _compute_mac(key: bytes, body: bytes) -> bytes:
    return hashlib.blake2b(body, key=key, digest_size=MAC_BYTES).digest()


def pack_config(versioned: VersionedConfig) -> cell_messages.ConfigPush:
    """Packs a configuration into a message to peers."""
    blob = zlib.compress(_ENCODER.encode(versioned.config))
    return cell_messages.ConfigPush(versioned.version, blob)


def unpack_config(push: cell_messages.ConfigPush) -> VersionedConfig:
    """Unpacks the configuration in a message from a peer.

    Raises:
        CodecError: The blob cannot be decoded, or is larger than
            MAX_CONFIG_BYTES when decompressed.
    """
    decompressor = zlib.decompressobj()
    try:
        raw = decompressor.decompress(push.blob, MAX_CONFIG_BYTES)
        if decompressor.unconsumed_tail:
            raise CodecError(
                f"decompressed configuration exceeds {MAX_CONFIG_BYTES} bytes",
                step="unpack configuration",
            )
        config = msgspec.msgpack.decode(raw, type=Config)
    except (zlib.error, msgspec.MsgspecError, RecursionError) as exc:
        raise CodecError(str(exc), step="unpack configuration") from exc
    return VersionedConfig(push.version, config)
