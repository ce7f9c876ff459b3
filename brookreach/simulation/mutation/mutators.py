"""Every way in which one message is changed, made from the types of `words` as they stand.

A field that is added to the table is changed from the day it is added. It must know no message by name: what
a field means is nothing to it. Records inside of entries and questions are opened and changed as well.
"""

from __future__ import annotations

import functools
import random
from collections.abc import Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

import msgspec
from msgspec import inspect

from brookreach.coordination.protocol import messages
from brookreach.coordination.protocol.log_record import LogRecord
from brookreach.coordination.state_machine.application import Application
from brookreach.coordination.state_machine.sessions import APPLICATION, COMMANDS
from brookreach.simulation.engine.transit import Sent

FAMILIES = (
    "neighbour",
    "extreme",
    "past its bounds",
    "other word",
    "emptied",
    "list",
    "cut short",
    "a bit",
    "a bit, sealed again",
    "old seal",
    "other sender",
    "other group",
    "for another",
    "doubled",
    "dropped",
    "late",
    "late by a term",
    "of an earlier term",
)
TOP = 1 << 53


@dataclass(frozen=True, slots=True)
class Change:
    """One way. `where` is the field's path, "" for the message as a whole. `plain`: its reader has to
    refuse it.
    """

    family: str
    where: str
    how: str
    instead: tuple[Sent, ...]
    plain: bool = False

    @property
    def name(self) -> str:
        return f"{self.where} {self.how}".strip()


New = tuple[str, str, str, Any]  # family, path, how, the value


class Records:
    """Which type stands inside of which octets."""

    def __init__(self, pieces: Sequence[Application]):
        self.commands: Mapping[str, Any] = {APPLICATION: COMMANDS} | {one.name: one.commands for one in pieces}
        self.rows = {table: kind for one in pieces for table, kind in one.tables.items()}

    def within(self, holder: Any, field: str) -> Any:
        """The type of what the octets of this field hold, if it is known."""
        match holder, field:
            case messages.Entry(), "octets":
                return LogRecord
            case ((LogRecord() | messages.ProposeRequest()), "body"):
                return self.commands.get(holder.application)
            case messages.RowChange(), "octets":
                return self.rows.get(holder.table)
        return None


@functools.cache
def fields(kind: type) -> tuple[tuple[str, Any], ...]:
    info = inspect.type_info(kind)
    assert isinstance(info, inspect.StructType)
    return tuple((one.name, one.type) for one in info.fields)


def structs(records: Records, value: msgspec.Struct) -> Iterator[New]:
    """Each field of it changed, and of what it holds."""
    for name, info in fields(type(value)):
        held = getattr(value, name)
        for family, path, how, new in values(records, info, held):
            yield family, name + path, how, msgspec.structs.replace(value, **{name: new})
        kind = records.within(value, name) if held else None
        if kind is None:
            continue
        try:
            inner = msgspec.msgpack.decode(held, type=kind)
        except msgspec.DecodeError:
            continue
        for family, path, how, new in structs(records, inner):
            octets = encoded(new)
            if octets is not None:
                changed = msgspec.structs.replace(value, **{name: octets})
                yield family, f"{name}.{type(inner).__name__}.{path}", how, changed


def values(records: Records, info: Any, held: Any) -> Iterator[New]:
    match info:
        case inspect.BoolType():
            yield "neighbour", "", "turned", not held
        case inspect.IntType():
            yield from numbers(info, held)
        case inspect.StrType():
            yield from texts(info, held)
        case inspect.BytesType():
            yield from octets(info, held)
        case inspect.LiteralType():
            for word in info.values:
                if word != held:
                    yield "other word", "", f"to {word!r}", word
            yield "past its bounds", "", "to no word of it", "no word"
        case inspect.VarTupleType():
            yield from lists(records, info, held)
        case inspect.StructType():
            yield from structs(records, held)
        case inspect.UnionType():
            yield from union(records, info, held)


def union(records: Records, info: inspect.UnionType, held: Any) -> Iterator[New]:
    if held is None:
        if any(isinstance(one, inspect.BytesType) for one in info.types):
            yield "other word", "", "to a row", b"\x90"
        return
    if any(isinstance(one, inspect.NoneType) for one in info.types):
        yield "emptied", "", "to none", None
    kinds = {bytes: inspect.BytesType, str: inspect.StrType, int: inspect.IntType}
    wanted = kinds.get(type(held))
    if isinstance(held, msgspec.Struct):
        yield from structs(records, held)
    for one in info.types:
        if wanted is not None and isinstance(one, wanted):
            yield from values(records, one, held)


def numbers(info: inspect.IntType, held: int) -> Iterator[New]:
    least, top = info.ge if info.ge is not None else -TOP, info.le if info.le is not None else TOP
    yield "neighbour", "", "+1", held + 1
    yield "neighbour", "", "-1", held - 1
    for how, new in (("0", 0), ("least", least), ("most", top), ("half of most", top // 2)):
        if new != held and not (how == "least" and new == 0):
            yield "extreme", "", how, new
    yield "past its bounds", "", "past most", top + 1
    yield "past its bounds", "", "a text", "1"


def texts(info: inspect.StrType, held: str) -> Iterator[New]:
    if held:
        yield "emptied", "", "emptied", ""
        yield "neighbour", "", "one letter less", held[:-1]
    yield "neighbour", "", "one letter more", held + "x"
    most = info.max_length or 1000
    yield "extreme", "", "longest", (held + "x" * most)[:most]
    yield "past its bounds", "", "too long", held + "x" * (most + 1)
    if info.pattern:
        yield "past its bounds", "", "a letter that it can't have", held[:-1] + "\n"


def octets(info: inspect.BytesType, held: bytes) -> Iterator[New]:
    if held:
        yield "emptied", "", "emptied", b""
        yield "neighbour", "", "one byte less", held[:-1]
        yield "neighbour", "", "a bit", held[:-1] + bytes((held[-1] ^ 1,))
    yield "neighbour", "", "one byte more", held + b"\0"
    if info.max_length:
        yield "past its bounds", "", "too long", held + bytes(info.max_length + 1 - len(held))


def lists(records: Records, info: Any, held: tuple[Any, ...]) -> Iterator[New]:
    if held:
        yield "list", "", "emptied", ()
        yield "list", "", "the first dropped", held[1:]
        yield "list", "", "the last doubled", (*held, held[-1])
        if info.max_length:
            yield "past its bounds", "", "too many", held * (info.max_length // len(held) + 1)
    if len(held) > 1:
        yield "list", "", "the last dropped", held[:-1]
        yield "list", "", "the first two swapped", (held[1], held[0], *held[2:])
    for at in sorted({0, len(held) - 1}) if held else ():
        for family, path, how, new in values(records, info.item_type, held[at]):
            yield family, f"[].{path}" if path else "[]", how, (*held[:at], new, *held[at + 1 :])


def encoded(value: Any) -> bytes | None:
    try:
        return msgspec.msgpack.encode(value, order="deterministic")
    except (msgspec.MsgspecError, OverflowError, TypeError, ValueError):
        return None


def example(info: Any, chance: random.Random) -> Any:
    """A value that the type allows, small and of few names, so that records made of it meet each other."""
    match info:
        case inspect.BoolType():
            return chance.random() < 0.5
        case inspect.IntType():
            least, top = info.ge if info.ge is not None else 0, info.le if info.le is not None else TOP
            return min(top, least + chance.choice((0, 1, 2, 7, 1000)))
        case inspect.StrType():
            return (f"n{chance.randrange(4)}" + "x" * (info.min_length or 0))[: info.max_length or 99]
        case inspect.BytesType():
            return chance.randbytes(chance.choice((0, 1, 9)))
        case inspect.LiteralType():
            return chance.choice(info.values)
        case inspect.VarTupleType() | inspect.ListType():
            few = chance.randint(info.min_length or 0, max(info.min_length or 0, 2))
            return tuple(example(info.item_type, chance) for _ in range(few))
        case inspect.TupleType():
            return tuple(example(one, chance) for one in info.item_types)
        case inspect.StructType():
            return info.cls(**{one.name: example(one.type, chance) for one in info.fields})
        case inspect.UnionType():
            return example(chance.choice(info.types), chance)
    return None
