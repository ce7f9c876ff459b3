"""Mutations of valid conversations: one message of each is changed. Seeded, and bounded in number.

The module knows the framing of messages, to break it, and does not use the balancer's own parsers.
"""

import json
import math
import random
from typing import NamedTuple

FIN, RESET, SILENCE = "FIN", "reset", "silence"
HUGE = (0x7FFFFFFF, (1 << 20) + 5, 1 << 18)


class Mutant(NamedTuple):
    """`pieces` are written one after another, each once the balancer has read the last; then the peer goes on, or
    ends the connection as `ending` says."""

    name: str
    pieces: tuple
    ending: str = ""

    @property
    def data(self):
        return b"".join(self.pieces)


def sampled(mutants, most, seed):
    """Return at most `most` mutants: all of the rare kinds, and a sample of cuts and flipped bits, one for each byte."""
    many = [one for one in mutants if one.name.split(" ")[2] in ("cut", "bit")]
    few = [one for one in mutants if one.name.split(" ")[2] not in ("cut", "bit")]
    random.Random(seed).shuffle(many)
    return few + many[: max(0, most - len(few))]


def message_mutants(messages, tagged, seed, only=None):
    """Return the mutants of a conversation, one message changed in each.

    `tagged` says of each message whether a tag precedes its length; `only` limits the messages that are changed. A cut
    ends the conversation.
    """
    chance, found = random.Random(seed), []
    for at, one in enumerate(messages):
        if only is not None and at not in only:
            continue
        before, after = tuple(messages[:at]), tuple(messages[at + 1 :])
        for name, pieces, ending in changes(one, after[:1], 1 if tagged[at] else 0, chance):
            swallowed = 1 if name in ("swapped", "joined") else 0
            rest = () if ending else after[swallowed:]
            found.append(Mutant(f"message {at} {name}", (*before, *(part for part in pieces if part), *rest), ending))
    return found


def changes(message, then, start, chance):
    """Yield the changes of one message: a name, what is written in its place, and how the peer ends behind it.

    `then` holds the next message, if there is one; the length is at offset `start`.
    """
    for cut in range(len(message) + 1):
        for ending in (FIN, RESET, SILENCE):
            yield f"cut at {cut}, {ending}", (message[:cut],), ending
    for at in range(len(message)):
        bit = chance.randrange(8)
        yield f"bit {bit} of byte {at}", (message[:at] + bytes([message[at] ^ 1 << bit]) + message[at + 1 :],), ""
    yield "doubled", (message, message), ""
    yield "doubled at once", (message * 2,), ""
    yield "left out", (), ""
    for one in then:
        yield "swapped", (one, message), ""
        yield "joined", (message + one,), ""
    yield "in single bytes", tuple(message[at : at + 1] for at in range(len(message))), ""
    told = int.from_bytes(message[start : start + 4], "big")
    for length in (told + 1, told - 1, told + 4, 0, 3, 4, -1, -told, *HUGE):
        spoilt = (length & 0xFFFFFFFF).to_bytes(4, "big")
        yield f"length {length}", (message[:start] + spoilt + message[start + 4 :],), ""
    for tag in b"QXSFPBEZTDCINRK?\0\xff" if start else b"":
        if tag != message[0]:
            yield f"tag {bytes([tag])!r}", (bytes([tag]) + message[1:],), ""
    noise = chance.randbytes(7)
    yield "noise before", (noise + message,), ""
    yield "noise behind", (message + noise,), ""


# --- JSON ---

OTHERS = (None, "x", [], {}, True, math.nan, math.inf, 10**400, -1, 1 << 70, "7")


def json_mutants(told):
    """Yield the name and text of a JSON object with one value or its syntax changed."""
    for path, name in places(told):
        for value in OTHERS:
            yield f"{name} = {str(value)[:9]}", with_value(told, path, value)
        if path and isinstance(path[-1], str):
            yield f"without {name}", with_value(told, path, ...)
    yield "one key more", json.dumps({**told, "more": {"x": [1]}})
    good = json.dumps(told)
    for name, text in (
        ("nothing", ""),
        ("garbage", "\x00\xff"),
        ("no end", good[:-1]),
        ("more behind", good + "}"),
        ("two of it", good + good),
        ("deep", "[" * 9999),
        ("a list", f"[{good}]"),
        ("a word", "null"),
        ("a quoted one", json.dumps(good)),
    ):
        yield name, text


def places(value, path=()):
    """Yield the path to each value inside, and its name."""
    if path:
        yield path, ".".join(map(str, path))
    for key in value if isinstance(value, dict) else range(len(value)) if isinstance(value, list) else ():
        yield from places(value[key], (*path, key))


def with_value(told, path, value):
    """Return the text of `told` with another value at a path; `...` removes it."""
    changed = json.loads(json.dumps(told))
    held = changed
    for key in path[:-1]:
        held = held[key]
    if value is ...:
        del held[path[-1]]
    else:
        held[path[-1]] = value
    return json.dumps(changed)


# --- HTTP ---


def http(body, status="HTTP/1.1 200 OK", headers=None):
    """Return a response as bytes; `headers` replace its length."""
    told = f"Content-Length: {len(body)}" if headers is None else headers
    return f"{status}\r\n{told}\r\n\r\n".encode() + body


def chunk(data, size=None):
    return (f"{len(data):x}" if size is None else size).encode() + b"\r\n" + data + b"\r\n"


CHUNKED = "Transfer-Encoding: chunked"


def head_mutants(body):
    """Yield the name and bytes of responses with a broken status line, header or framing of the body."""
    good, size = http(body), len(body)
    for status in (
        "500 Internal Server Error",
        "204 No Content",
        "301 Moved",
        "100 Continue",
        "199 x",
        "999 ?",
        "-1 x",
        "20 OK",
        "abc",
    ):
        yield f"status {status}", http(body, f"HTTP/1.1 {status}")
    for line in ("HTTP/9.9 200 OK", "HTTP/1.1", "", "SSH-2.0-x", "HTTP/1.1 200 OK\r\nx", "\x00"):
        yield f"status line {line!r}", http(body, line)
    for length in (size + 1, size - 1, 0, -5, "abc", 1 << 70, f"{size}, {size + 1}", ""):
        yield f"length {length}", http(body, headers=f"Content-Length: {length}")
    for name, headers in (
        ("two lengths", f"Content-Length: {size}\r\nContent-Length: {size + 1}"),
        ("no length", "x: y"),
        ("length and chunks", f"Content-Length: {size}\r\n{CHUNKED}"),
        ("gzip", f"Content-Length: {size}\r\nTransfer-Encoding: gzip"),
        ("header without colon", f"Content-Length: {size}\r\nxyz"),
        ("endless header", f"Content-Length: {size}\r\nx: " + "y" * 200_000),
        ("folded header", f"Content-Length: {size}\r\n\tx: y"),
    ):
        yield name, http(body, headers=headers)
    half = size // 2
    for name, sized in (
        ("plus one", f"{half + 1:x}"),
        ("less one", f"{half - 1:x}"),
        ("no hex", "zz"),
        ("empty", ""),
        ("negative", f"-{half:x}"),
        ("huge", "f" * 17),
        ("zero", "0"),
        ("spaces", f" {half:x}"),
    ):
        yield f"chunk size {name}", http(chunk(body[:half], sized) + chunk(body[half:]) + chunk(b""), headers=CHUNKED)
    yield "no last chunk", http(chunk(body), headers=CHUNKED)
    yield "no line end behind a chunk", http(chunk(body)[:-2] + chunk(b""), headers=CHUNKED)
    yield "doubled", good + good
    yield "noise behind", good + b"\x00\xff\r\n"
    yield "noise before", b"\x00\xff\r\n" + good
    yield "nothing", b""


def answer_mutants(body, seed, most):
    """Return `(mutant, text)`: a response, and the body that it has if it is taken as complete, None if it can't be."""
    text, chance, found, good = body.decode(), random.Random(seed), [], http(body)
    found += [(Mutant(f"answer: {name}", (data,), FIN), text) for name, data in head_mutants(body)]
    found += [
        (Mutant(f"json: {name}", (http(other.encode("latin-1")),)), other)
        for name, other in json_mutants(json.loads(body))
    ]
    found.append((Mutant("in single bytes", tuple(good[at : at + 1] for at in range(len(good)))), text))
    found.append(
        (
            Mutant(
                "chunks of one byte",
                (http(b"".join(chunk(body[at : at + 1]) for at in range(len(body))) + chunk(b""), headers=CHUNKED),),
            ),
            text,
        )
    )
    many, head = [], len(good) - len(body)
    for cut in range(len(good)):
        many += [(Mutant(f"cut at {cut}, {ending}", (good[:cut],), ending), None) for ending in (FIN, RESET, SILENCE)]
    for at in range(len(good)):
        spoilt = good[:at] + bytes([good[at] ^ 1 << chance.randrange(8)]) + good[at + 1 :]
        many.append(
            (Mutant(f"bit of byte {at}", (spoilt,), FIN), spoilt[head:].decode("latin-1") if at >= head else text)
        )
    chance.shuffle(many)
    silent = [one for one in many if one[0].ending == SILENCE]  # each takes a time-out
    return found + [one for one in many if one[0].ending != SILENCE][: most - len(silent[:12])] + silent[:12]
