"""Codecs between ``attrs`` classes and validated MessagePack arrays.

``msgspec`` encodes ``attrs`` classes as maps; arrays without field names reduce a
small message to about half its size. :func:`make_codec` derives a tuple type from
the fields of a class, and the functions that convert between the two.
"""

from __future__ import annotations

import types
import typing
from collections.abc import Callable
from typing import Any, Generic, TypeVar

import attrs
import msgspec

T = TypeVar("T")

encoder = msgspec.msgpack.Encoder()


@attrs.frozen
class Codec(Generic[T]):
    """Encode and decode functions of one class.

    ``decode`` raises ``msgspec.MsgspecError`` if the data is not a valid message.
    """

    encode: Callable[[T], bytes]
    decode: Callable[[bytes], T]


def make_codec(cls: type[T]) -> Codec[T]:
    """Return the codec of an ``attrs`` class and its nested classes."""
    wire_type, to_wire, from_wire = _plan_type(cls)
    decoder = msgspec.msgpack.Decoder(wire_type)

    def encode(message: T) -> bytes:
        return encoder.encode(to_wire(message))

    def decode(data: bytes) -> T:
        return from_wire(decoder.decode(data))

    return Codec(encode, decode)


def _plan_type(annotation: Any) -> tuple[Any, Callable, Callable]:
    """Return the wire type of an annotation, and the conversions to and from it."""
    if attrs.has(annotation):
        return _plan_class(annotation)
    origin = typing.get_origin(annotation)
    if origin is list:
        wire_type, to_wire, from_wire = _plan_type(typing.get_args(annotation)[0])
        return (
            list[wire_type],  # type: ignore[valid-type]
            lambda items: [to_wire(item) for item in items],
            lambda items: [from_wire(item) for item in items],
        )
    if origin in (typing.Union, types.UnionType):
        inner = [item for item in typing.get_args(annotation) if item is not type(None)]
        if len(inner) == 1 and attrs.has(inner[0]):
            wire_type, to_wire, from_wire = _plan_type(inner[0])
            return (
                wire_type | None,
                lambda item: None if item is None else to_wire(item),
                lambda item: None if item is None else from_wire(item),
            )
    return annotation, _identity, _identity


def _plan_class(cls: Any) -> tuple[Any, Callable, Callable]:
    attrs.resolve_types(cls)
    names = [field.name for field in attrs.fields(cls)]
    plans = [_plan_type(field.type) for field in attrs.fields(cls)]
    wire_type = types.GenericAlias(tuple, tuple(plan[0] for plan in plans))
    writers = [(name, plan[1]) for name, plan in zip(names, plans, strict=True)]
    readers = [plan[2] for plan in plans]

    def to_wire(message: Any) -> tuple:
        return tuple(write(getattr(message, name)) for name, write in writers)

    def from_wire(values: tuple) -> Any:
        return cls(*[read(value) for read, value in zip(readers, values, strict=True)])

    return wire_type, to_wire, from_wire


def _identity(value: Any) -> Any:
    return value
