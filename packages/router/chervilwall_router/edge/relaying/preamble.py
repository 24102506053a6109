"""First bytes of a relayed connection, before those of its caller.

The sender writes the length of a frame in two bytes and the frame. The receiver
answers with one byte, and only after ACCEPTED does the sender copy bytes of the
caller, so that a connection that was not accepted can be served elsewhere.
"""

from typing import NamedTuple

from chervilwall.codec import FrameCodec
from chervilwall.edge_messages import ConnectionPreamble
from chervilwall.errors import CodecError

VERSION = 1
ACCEPTED = b"+"
REFUSED = b"-"
LENGTH_BYTES = 2
# A frame holds a few names and addresses.
MAX_PREAMBLE_BYTES = 2048
_STEP = "read preamble"


class Offer(NamedTuple):
    """A connection that a peer wants to relay.

    Args:
        sender (str): Name of the peer.
        preamble (ConnectionPreamble): What it sent.
    """

    sender: str
    preamble: ConnectionPreamble


def encode_preamble(
    codec: FrameCodec, sender: str, incarnation: int, receiver: str, caller: str
) -> bytes:
    """Returns the bytes that the sender of a connection writes first.

    Args:
        codec (FrameCodec): Codec of the fleet's key.
        sender (str): Name of this router.
        incarnation (int): Incarnation of this router.
        receiver (str): Name of the peer.
        caller (str): "IP:port" of the caller.
    """
    message = ConnectionPreamble(VERSION, receiver, caller)
    frame = codec.encode(sender, incarnation, [message])
    return len(frame).to_bytes(LENGTH_BYTES, "big") + frame


def preamble_length(data: bytes) -> int | None:
    """Returns the length of a preamble, None if it is not known yet.

    Args:
        data (bytes): What was received so far.

    Raises:
        CodecError: The preamble is too long.
    """
    if len(data) < LENGTH_BYTES:
        return None
    length = LENGTH_BYTES + int.from_bytes(data[:LENGTH_BYTES], "big")
    if length > MAX_PREAMBLE_BYTES:
        raise CodecError(f"preamble has {length} bytes", step=_STEP)
    return length


def decode_preamble(codec: FrameCodec, data: bytes) -> Offer:
    """Authenticates and decodes a complete preamble.

    Raises:
        CodecError: The key is wrong, or the preamble is malformed or of
            another version.
    """
    frame = codec.decode(data[LENGTH_BYTES:])
    message = frame.messages[0] if len(frame.messages) == 1 else None
    if not isinstance(message, ConnectionPreamble):
        raise CodecError("no preamble of a connection", step=_STEP)
    if message.version != VERSION:
        reason = f"version {message.version}, expected {VERSION}"
        raise CodecError(reason, step=_STEP)
    return Offer(frame.sender, message)
