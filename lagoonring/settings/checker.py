"""Validates plain data against ``attrs`` classes and lists every fault by path."""

from __future__ import annotations

import difflib
import types
import typing
from typing import Any, TypeVar

import attrs
import msgspec

from lagoonring.errors import InvalidInputError

T = TypeVar("T")

MAX_SHOWN_CHARS = 60


@attrs.frozen
class Fault:
    """One fault of a document.

    ``path`` is dotted, for example ``entries.guide.kind``; the other fields are
    short phrases for the message.
    """

    path: str
    got: str
    expected: str
    remedy: str

    def __str__(self) -> str:
        where = self.path or "document"
        return f"{where}: got {self.got}, expected {self.expected}. {self.remedy}"


class FaultyDocumentError(InvalidInputError):
    """A document has faults; ``faults`` lists all of them."""

    code = "faulty_document"

    def __init__(self, name: str, faults: list[Fault]) -> None:
        self.faults = faults
        lines = "\n".join(f"  {fault}" for fault in faults)
        super().__init__(
            f"Got {name} with {len(faults)} fault(s), expected none:\n{lines}\n",
            remedy="Correct each line above and try again; nothing was changed.",
        )


def convert(data: Any, cls: type[T], *, name: str = "document") -> T:
    """Return plain data as an instance of an ``attrs`` class, after validation.

    Parameters
    ----------
    data : object
        Parsed JSON.
    cls : type
        The ``attrs`` class; its fields may be nested classes, lists, dicts and
        unions with None.
    name : str
        Name of the document in the error message.

    Raises
    ------
    FaultyDocumentError
        If the data has faults; the error lists all of them.
    """
    faults: list[Fault] = []
    value = _check(data, cls, "", faults)
    if faults:
        raise FaultyDocumentError(name, faults)
    return value


def find_faults(data: Any, cls: type) -> list[Fault]:
    """Return all faults found when validating plain data against an ``attrs`` class."""
    faults: list[Fault] = []
    _check(data, cls, "", faults)
    return faults


def to_plain(value: Any) -> Any:
    """Convert an ``attrs`` instance to data that can be encoded as JSON."""
    return msgspec.to_builtins(value)


def _check(data: Any, annotation: Any, path: str, faults: list[Fault]) -> Any:
    if attrs.has(annotation):
        return _check_class(data, annotation, path, faults)
    origin = typing.get_origin(annotation)
    if origin is dict:
        return _check_dict(data, typing.get_args(annotation)[1], path, faults)
    if origin in (list, tuple):
        return _check_items(data, annotation, origin, path, faults)
    if origin in (typing.Union, types.UnionType):
        return _check_optional(data, annotation, path, faults)
    return _check_scalar(data, annotation, path, faults)


def _check_class(data: Any, cls: Any, path: str, faults: list[Fault]) -> Any:
    if not isinstance(data, dict):
        _add_type_fault(data, "an object", path, faults)
        return None
    attrs.resolve_types(cls)
    fields = {field.name: field for field in attrs.fields(cls) if field.init}
    n_faults = len(faults)
    for key in data:
        if key not in fields:
            faults.append(_unknown_key(key, list(fields), path))
    values = {}
    for name, field in fields.items():
        where = _join(path, name)
        if name in data:
            values[name] = _check_field(data[name], field, where, faults)
        elif field.default is attrs.NOTHING:
            remedy = f"Add the key {name!r}."
            faults.append(Fault(where, "nothing", "a value", remedy))
    if len(faults) > n_faults:
        return None
    return cls(**values)


def _check_field(data: Any, field: Any, path: str, faults: list[Fault]) -> Any:
    n_faults = len(faults)
    value = _check(data, field.type, path, faults)
    if field.validator is None or len(faults) > n_faults:
        return value
    try:
        field.validator(None, field, value)
    except ValueError as error:
        got, _, expected = str(error).partition(", expected ")
        got = got.removeprefix("got ")
        faults.append(Fault(path, got, expected, "Correct the value."))
    return value


def _check_dict(data: Any, annotation: Any, path: str, faults: list[Fault]) -> Any:
    if not isinstance(data, dict):
        _add_type_fault(data, "an object", path, faults)
        return None
    return {
        key: _check(item, annotation, _join(path, key), faults)
        for key, item in data.items()
    }


def _check_items(
    data: Any, annotation: Any, origin: type, path: str, faults: list[Fault]
) -> Any:
    if not isinstance(data, list):
        _add_type_fault(data, "a list", path, faults)
        return None
    item_annotation = typing.get_args(annotation)[0]
    return origin(
        _check(item, item_annotation, f"{path}[{index}]", faults)
        for index, item in enumerate(data)
    )


def _check_optional(data: Any, annotation: Any, path: str, faults: list[Fault]) -> Any:
    annotations = [
        item for item in typing.get_args(annotation) if item is not type(None)
    ]
    if data is None and len(annotations) < len(typing.get_args(annotation)):
        return None
    if len(annotations) == 1:
        return _check(data, annotations[0], path, faults)
    return _check_scalar(data, annotation, path, faults)


def _check_scalar(data: Any, annotation: Any, path: str, faults: list[Fault]) -> Any:
    try:
        return msgspec.convert(data, annotation)
    except msgspec.ValidationError as error:
        expected = str(error).removeprefix("Expected ").split(", got")[0]
        _add_type_fault(data, expected, path, faults)
        return None


def _add_type_fault(data: Any, expected: str, path: str, faults: list[Fault]) -> None:
    faults.append(Fault(path, _show(data), expected, "Correct the value."))


def _unknown_key(key: str, known: list[str], path: str) -> Fault:
    close = difflib.get_close_matches(key, known, n=1)
    remedy = f"Did you mean {close[0]!r}?" if close else "Remove the key."
    return Fault(_join(path, key), "an unknown key", "/".join(known), remedy)


def _join(path: str, key: str) -> str:
    return f"{path}.{key}" if path else str(key)


def _show(data: Any) -> str:
    text = repr(data)
    return text if len(text) <= MAX_SHOWN_CHARS else text[:MAX_SHOWN_CHARS] + "..."
