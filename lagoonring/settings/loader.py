"""Loads a JSON settings file into a validated ``attrs`` class."""

from __future__ import annotations

from pathlib import Path
from typing import TypeVar

import msgspec

from lagoonring.decoding import decode_json
from lagoonring.errors import InvalidInputError
from lagoonring.settings.checker import convert

T = TypeVar("T")


class UnreadableSettingsError(InvalidInputError):
    """The settings file can't be opened or is not JSON."""

    code = "unreadable_settings"


def load_settings(path: str | Path, cls: type[T]) -> T:
    """Return the settings in the file ``path`` as an instance of ``cls``.

    Raises
    ------
    UnreadableSettingsError
        If the file can't be read or parsed.
    FaultyDocumentError
        If keys are missing or unknown, or values are invalid.
    """
    try:
        data = decode_json(Path(path).read_bytes())
    except OSError as error:
        raise UnreadableSettingsError(
            f"Got {error.strerror} for {path}, expected a settings file.",
            remedy="Name an existing file with --settings.",
        ) from error
    except msgspec.DecodeError as error:
        raise UnreadableSettingsError(
            f"Got {path} with {error}, expected JSON.",
            remedy="Correct the file's JSON.",
        ) from error
    return convert(data, cls, name=str(path))
