"""Samples of a msgspec type, made from its fields' types alone: every Literal value, both booleans, None or not.

A sample's values depend on the position of a field and not on its name, so the present text and the one that
wrote the golden file make the same samples unless their bytes differ.
"""

from __future__ import annotations

import re
from typing import Any

import msgspec
from msgspec import inspect

BASE_TEXTS = ("name-{0}", "name{0}", "zone:name-{0}", "{0}", "all", "a" * 64)

_out = msgspec.msgpack.Encoder(order="deterministic")


def octets(type_: type) -> list[bytes]:
    """The bytes of each sample of `type_`, checked to be read and written back alike."""
    decoder = msgspec.msgpack.Decoder(type_, strict=True)
    return [_out.encode(decoder.decode(_out.encode(value))) for value in variants(inspect.type_info(type_), 1)]


def variants(type_: inspect.Type, position: int) -> list[Any]:
    """Builtins that `type_` accepts, the plain sample first."""
    match type_:
        case inspect.StructType() | inspect.DataclassType():
            return _structs(type_, position)
        case inspect.EnumType(cls=cls):
            return [one.value for one in cls]
        case inspect.FloatType():
            return [position + 0.5]
        case inspect.ListType():
            return [variants(type_.item_type, position), []]
        case inspect.DictType():
            key, value = variants(type_.key_type, position)[0], variants(type_.value_type, position)[0]
            return [{key: value}, {}]
        case inspect.LiteralType(values=values):
            return list(values)
        case inspect.BoolType():
            return [position % 2 == 0, position % 2 == 1]
        case inspect.IntType(ge=least, le=most, lt=below):
            limit = most if most is not None else below - 1 if below is not None else None
            return [position if limit is None else min(max(position, least or 0), limit)]
        case inspect.StrType():
            return [_text(type_, position)]
        case inspect.BytesType():
            return [bytes([position]) * 3]
        case inspect.NoneType():
            return [None]
        case inspect.UnionType(types=types):
            ordered = sorted(types, key=lambda one: isinstance(one, inspect.NoneType))
            return [value for one in ordered for value in variants(one, position)]
        case inspect.VarTupleType():
            items = variants(type_.item_type, position)[: type_.max_length]
            return [items, []] if not type_.min_length else [items]
        case inspect.TupleType(item_types=types):
            return [[variants(one, position + nth)[0] for nth, one in enumerate(types)]]
    raise TypeError(f"no sample is known for {type_}")


def _structs(type_: inspect.StructType | inspect.DataclassType, position: int) -> list[Any]:
    """The first sample of every field together, then each other sample of one field in its place."""
    choices = [variants(one.type, position + nth) for nth, one in enumerate(type_.fields)]
    first = [values[0] for values in choices]
    made = [first]
    for nth, values in enumerate(choices):
        made += [[*first[:nth], value, *first[nth + 1 :]] for value in values[1:]]
    return [_tagged(type_, values) for values in made]


def _tagged(type_: inspect.StructType | inspect.DataclassType, values: list[Any]) -> Any:
    if isinstance(type_, inspect.DataclassType):
        return {one.encode_name: value for one, value in zip(type_.fields, values, strict=True)}
    if type_.array_like:
        return values if type_.tag is None else [type_.tag, *values]
    fields = {one.encode_name: value for one, value in zip(type_.fields, values, strict=True)}
    return fields if type_.tag is None else {type_.tag_field: type_.tag} | fields


def _text(type_: inspect.StrType, position: int) -> str:
    for base in BASE_TEXTS:
        text = base.format(position)
        long_enough = (type_.min_length or 0) <= len(text) <= (type_.max_length or len(text))
        if long_enough and (type_.pattern is None or re.search(type_.pattern, text)):
            return text
    raise TypeError(f"no sample text fits {type_}")
