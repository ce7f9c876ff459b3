"""Mutations of every field of a message, made from the types of its fields.

A field that is added to a message is mutated from the day it is added: no message and no meaning is known here.
Commands and rows that are encoded inside of a field are decoded and mutated as well.
"""

from __future__ import annotations

import functools
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import inspect

from brookreach.simulation.mutation.mutation import Family
from brookreach.simulation.mutation.record_types import RecordTypes

MAX_INTEGER = 1 << 53  # where a type has no bound of its own
MAX_TEXT_LENGTH = 1000
SCALAR_TYPES = {bytes: inspect.BytesType, str: inspect.StrType, int: inspect.IntType}


@dataclass(frozen=True, slots=True)
class MutatedValue:
    """A value after a mutation. Any: it may be of another type than its field."""

    family: Family
    path: str
    description: str
    value: Any

    def within(self, prefix: str, value: Any) -> MutatedValue:
        """Return the same mutation as a mutation of the value that holds this one."""
        return MutatedValue(self.family, prefix + self.path, self.description, value)


def _mutated(family: Family, description: str, value: Any) -> MutatedValue:
    return MutatedValue(family, "", description, value)


@functools.cache
def _fields(kind: type) -> tuple[inspect.Field, ...]:
    info = inspect.type_info(kind)
    assert isinstance(info, inspect.StructType)
    return info.fields


def _record_name(record: msgspec.Struct) -> str:
    """Return the tag of a command; a row or log record has none and goes by its type."""
    tag = type(record).__struct_config__.tag
    return tag if isinstance(tag, str) else type(record).__name__


def encode(value: Any) -> bytes | None:
    """Encode a value; None if a mutation has made that impossible."""
    try:
        return msgspec.msgpack.encode(value, order="deterministic")
    except (msgspec.MsgspecError, OverflowError, TypeError, ValueError):
        return None


def mutate_struct(types: RecordTypes, struct: msgspec.Struct) -> Iterator[MutatedValue]:
    """Yield copies of a struct, each with one field mutated, or something that is encoded in it."""
    for field in _fields(type(struct)):
        value = getattr(struct, field.name)
        for mutated in _mutate_value(types, field.type, value):
            copy = msgspec.structs.replace(struct, **{field.name: mutated.value})
            yield mutated.within(field.encode_name, copy)
        yield from _mutate_encoded(types, struct, field, value)


def _mutate_encoded(
    types: RecordTypes, struct: msgspec.Struct, field: inspect.Field, octets: Any
) -> Iterator[MutatedValue]:
    kind = types.type_within(struct, field.name) if octets else None
    if kind is None:
        return
    try:
        inner = msgspec.msgpack.decode(octets, type=kind)
    except msgspec.DecodeError:
        return
    for mutated in mutate_struct(types, inner):
        new_octets = encode(mutated.value)
        if new_octets is not None:
            copy = msgspec.structs.replace(struct, **{field.name: new_octets})
            yield mutated.within(f"{field.encode_name}.{_record_name(inner)}.", copy)


def _mutate_value(types: RecordTypes, info: Any, value: Any) -> Iterator[MutatedValue]:
    match info:
        case inspect.BoolType():
            yield _mutated(Family.NEIGHBOUR, "turned", not value)
        case inspect.IntType():
            yield from _mutate_integer(info, value)
        case inspect.StrType():
            yield from _mutate_text(info, value)
        case inspect.BytesType():
            yield from _mutate_bytes(info, value)
        case inspect.LiteralType():
            yield from _mutate_choice(info.values, value)
        case inspect.EnumType():
            yield from _mutate_choice(tuple(member.value for member in info.cls), value)
        case inspect.VarTupleType():
            yield from _mutate_list(types, info, value)
        case inspect.StructType():
            yield from mutate_struct(types, value)
        case inspect.UnionType():
            yield from _mutate_union(types, info, value)


def _mutate_choice(choices: Iterable[Any], value: Any) -> Iterator[MutatedValue]:
    for choice in choices:
        if choice != value:
            yield _mutated(Family.OTHER_CHOICE, f"to {choice!r}", choice)
    yield _mutated(Family.OUT_OF_BOUNDS, "to no word of it", "no word")


def _mutate_union(types: RecordTypes, info: inspect.UnionType, value: Any) -> Iterator[MutatedValue]:
    if value is None:
        if any(isinstance(member, inspect.BytesType) for member in info.types):
            yield _mutated(Family.OTHER_CHOICE, "to a row", b"\x90")
        return
    if any(isinstance(member, inspect.NoneType) for member in info.types):
        yield _mutated(Family.EMPTIED, "to none", None)
    if isinstance(value, msgspec.Struct):
        yield from mutate_struct(types, value)
    scalar_type = SCALAR_TYPES.get(type(value))
    for member in info.types:
        if scalar_type is not None and isinstance(member, scalar_type):
            yield from _mutate_value(types, member, value)


def _mutate_integer(info: inspect.IntType, value: int) -> Iterator[MutatedValue]:
    minimum = info.ge if info.ge is not None else -MAX_INTEGER
    maximum = info.le if info.le is not None else MAX_INTEGER
    yield _mutated(Family.NEIGHBOUR, "+1", value + 1)
    yield _mutated(Family.NEIGHBOUR, "-1", value - 1)
    if value != 0:
        yield _mutated(Family.EXTREME, "0", 0)
    if minimum not in (value, 0):
        yield _mutated(Family.EXTREME, "least", minimum)
    if value != maximum:
        yield _mutated(Family.EXTREME, "most", maximum)
    if value != maximum // 2:
        yield _mutated(Family.EXTREME, "half of most", maximum // 2)
    yield _mutated(Family.OUT_OF_BOUNDS, "past most", maximum + 1)
    yield _mutated(Family.OUT_OF_BOUNDS, "a text", "1")


def _mutate_text(info: inspect.StrType, value: str) -> Iterator[MutatedValue]:
    if value:
        yield _mutated(Family.EMPTIED, "emptied", "")
        yield _mutated(Family.NEIGHBOUR, "one letter less", value[:-1])
    yield _mutated(Family.NEIGHBOUR, "one letter more", value + "x")
    max_length = info.max_length or MAX_TEXT_LENGTH
    yield _mutated(Family.EXTREME, "longest", (value + "x" * max_length)[:max_length])
    yield _mutated(Family.OUT_OF_BOUNDS, "too long", value + "x" * (max_length + 1))
    if info.pattern:
        yield _mutated(Family.OUT_OF_BOUNDS, "a letter that it can't have", value[:-1] + "\n")


def _mutate_bytes(info: inspect.BytesType, value: bytes) -> Iterator[MutatedValue]:
    if value:
        yield _mutated(Family.EMPTIED, "emptied", b"")
        yield _mutated(Family.NEIGHBOUR, "one byte less", value[:-1])
        yield _mutated(Family.NEIGHBOUR, "a bit", value[:-1] + bytes((value[-1] ^ 1,)))
    yield _mutated(Family.NEIGHBOUR, "one byte more", value + b"\0")
    if info.max_length:
        yield _mutated(Family.OUT_OF_BOUNDS, "too long", value + bytes(info.max_length + 1 - len(value)))


def _mutate_list(types: RecordTypes, info: inspect.VarTupleType, value: tuple[Any, ...]) -> Iterator[MutatedValue]:
    if not value:
        return
    yield _mutated(Family.LIST, "emptied", ())
    yield _mutated(Family.LIST, "the first dropped", value[1:])
    yield _mutated(Family.LIST, "the last doubled", (*value, value[-1]))
    if info.max_length:
        yield _mutated(Family.OUT_OF_BOUNDS, "too many", value * (info.max_length // len(value) + 1))
    if len(value) > 1:
        yield _mutated(Family.LIST, "the last dropped", value[:-1])
        yield _mutated(Family.LIST, "the first two swapped", (value[1], value[0], *value[2:]))
    for index in sorted({0, len(value) - 1}):
        for mutated in _mutate_value(types, info.item_type, value[index]):
            copy = (*value[:index], mutated.value, *value[index + 1 :])
            yield mutated.within("[]." if mutated.path else "[]", copy)
