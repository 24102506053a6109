"""Loading of settings files: JSON with comments, validated against a type."""

import pathlib
from typing import TypeVar

import msgspec

from chervilwall.errors import SettingsError

T = TypeVar("T")
MAX_SETTINGS_BYTES = 1 << 20


def load_settings(path: pathlib.Path, settings_type: type[T]) -> T:
    """Loads settings from a file.

    Args:
        path (pathlib.Path): The file.
        settings_type (type): Type to validate the settings against.

    Returns:
        The settings as an instance of the type.

    Raises:
        SettingsError: The file cannot be read, is too large or malformed, or a
            value does not match the type.
    """
    try:
        blob = path.read_bytes()
    except OSError as exc:
        raise _settings_error(path, exc.strerror or str(exc)) from exc
    return parse_settings(blob, settings_type, path)


def parse_settings(
    blob: bytes, settings_type: type[T], path: pathlib.Path
) -> T:
    """Parses the content of a settings file.

    Args:
        blob (bytes): Content of the file.
        settings_type (type): Type to validate the settings against.
        path (pathlib.Path): Path of the file, for error messages.

    Returns:
        The settings as an instance of the type.

    Raises:
        SettingsError: The content is too large or malformed, or a value does
            not match the type.
    """
    # Imported here because json5 takes 0.1 s to load, which processes that read
    # no settings file should not spend.
    import json5

    if len(blob) > MAX_SETTINGS_BYTES:
        raise _settings_error(path, f"file exceeds {MAX_SETTINGS_BYTES} bytes")
    try:
        raw = json5.loads(blob.decode())
        return msgspec.convert(raw, settings_type)
    except (ValueError, RecursionError) as exc:
        raise _settings_error(path, str(exc)) from exc


def _settings_error(path: pathlib.Path, reason: str) -> SettingsError:
    return SettingsError(reason, step="read settings", peer=str(path))
