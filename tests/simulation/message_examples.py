"""Values of the types of messages, for tests that need some of each."""

from msgspec import inspect

MAX_INTEGER = 1 << 53


def example(info, rng):
    """A value that the type allows, small and of few names, so that commands made of it meet each other."""
    match info:
        case inspect.BoolType():
            return rng.random() < 0.5
        case inspect.IntType():
            minimum = info.ge if info.ge is not None else 0
            maximum = info.le if info.le is not None else MAX_INTEGER
            return min(maximum, minimum + rng.choice((0, 1, 2, 7, 1000)))
        case inspect.StrType():
            return (f"n{rng.randrange(4)}" + "x" * (info.min_length or 0))[: info.max_length or 99]
        case inspect.BytesType():
            return rng.randbytes(rng.choice((0, 1, 9)))
        case inspect.LiteralType():
            return rng.choice(info.values)
        case inspect.EnumType():
            return rng.choice(list(info.cls))
        case inspect.VarTupleType() | inspect.ListType():
            length = rng.randint(info.min_length or 0, max(info.min_length or 0, 2))
            return tuple(example(info.item_type, rng) for _ in range(length))
        case inspect.TupleType():
            return tuple(example(item, rng) for item in info.item_types)
        case inspect.StructType():
            return info.cls(**{field.name: example(field.type, rng) for field in info.fields})
        case inspect.UnionType():
            return example(rng.choice(info.types), rng)
    return None
