"""Settings files: JSON with comments, checked against a type."""

import pathlib
from typing import TypeVar

import msgspec

from chervilwall.errors import SettingsError

T = TypeVar("T")
MAX_SETTINGS_BYTES = 1 << 20


def load_settings(path: pathlib.Path, kind: type[T]) -> T:
    """Returns the settings in a file.

    Args:
        path (pathlib.Path): The file.
        kind (type): The type that they must have.

    Raises:
        SettingsError: The file cannot be read, or a value is not as expected.
    """
    try:
        blob = path.read_bytes()
    except OSError as exc:
        raise _fault(path, exc.strerror or str(exc)) from exc
    return parse_settings(blob, kind, path)


def parse_settings(blob: bytes, kind: type[T], path: pathlib.Path) -> T:
    """Returns the settings in a text.

    Args:
        blob (bytes): The text.
        kind (type): The type that they must have.
        path (pathlib.Path): The file's name, for errors.
    """
    # Takes a tenth of a second to load, and most processes read plain JSON.
    import json5

    if len(blob) > MAX_SETTINGS_BYTES:
        raise _fault(path, f"expected at most {MAX_SETTINGS_BYTES} bytes")
    try:
        raw = json5.loads(blob.decode())
        return msgspec.convert(raw, kind)
    except (ValueError, RecursionError) as exc:
        raise _fault(path, str(exc)) from exc


def _fault(path: pathlib.Path, reason: str) -> SettingsError:
    return SettingsError(reason, step="read settings", peer=str(path))
