"""Decoding of platform objects, with codec errors mapped to PlatformError."""

from typing import Protocol, TypeVar

import msgspec

from chervilwall.errors import PlatformError

T_co = TypeVar("T_co", covariant=True)


class Decoder(Protocol[T_co]):
    """Decode values of one type, as the decoders of msgspec do."""

    def decode(self, value: bytes, /) -> T_co:
        """Decodes a value."""
        ...


def decode_value(decoder: Decoder[T_co], value: bytes, step: str) -> T_co:
    """Decodes the value of a platform object.

    Args:
        decoder (Decoder): Decoder of the expected type.
        value (bytes): The encoded value.
        step (str): Step of the work, for the error message.

    Raises:
        PlatformError: The value cannot be decoded as the expected type.
    """
    try:
        return decoder.decode(value)
    except (msgspec.MsgspecError, RecursionError) as exc:
        raise PlatformError(str(exc), step=step) from exc
