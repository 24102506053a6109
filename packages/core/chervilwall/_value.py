"""Values of platform objects, decoded with one kind of error."""

from typing import Protocol, TypeVar

import msgspec

from chervilwall.errors import PlatformError

T_co = TypeVar("T_co", covariant=True)


class Decoder(Protocol[T_co]):
    """Decodes one type, whichever its codec."""

    def decode(self, value: bytes, /) -> T_co:
        """Returns what a value holds."""
        ...


def decode_value(decoder: Decoder[T_co], value: bytes, step: str) -> T_co:
    """Returns what the value of a platform object holds.

    Args:
        decoder (Decoder): Decodes the type that is expected.
        value (bytes): The value.
        step (str): What is being done, for the error.

    Raises:
        PlatformError: The value does not decode.
    """
    try:
        return decoder.decode(value)
    except msgspec.MsgspecError as exc:
        raise PlatformError(str(exc), step=step) from exc
