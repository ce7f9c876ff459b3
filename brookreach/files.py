"""Files of our own: read with a bound, replaced as a whole, sealed by a checksum, TOML into checked types.

It owns how a file is opened, written and found whole. What stands in one is its reader's.
"""

from __future__ import annotations

import os
import tomllib
import zlib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

MAX_TOML_BYTES, MAX_CHECKSUMMED_BYTES = 1 << 20, 64 << 20  # bytes

Form = TypeVar("Form")


class InvalidFileError(ValueError):
    """All that is wrong in a file, a line each."""

    def __init__(self, errors: list[str]):
        super().__init__("\n".join(errors))
        self.errors = errors


def read_bounded(path: Path, most: int) -> bytes:
    """Raises InvalidFileError."""
    try:
        with path.open("rb") as file:
            octets = file.read(most + 1)
    except OSError as error:
        raise InvalidFileError([f"{path}: can't be read: {error.strerror}"]) from None
    if len(octets) > most:
        raise InvalidFileError([f"{path}: over {most} bytes"])
    return octets


def read_toml(path: Path) -> dict[str, Any]:
    """Raises InvalidFileError."""
    try:
        return tomllib.loads(read_bounded(path, MAX_TOML_BYTES).decode())
    except InvalidFileError:
        raise
    except (ValueError, RecursionError) as error:
        raise InvalidFileError([f"{path}: no TOML: {error}"]) from None


def convert_values(path: Path, told: dict[str, Any], form: type[Form]) -> Form:
    """What a file told as a type of ours; raises InvalidFileError with the key's path."""
    try:
        return msgspec.convert(told, form)
    except msgspec.ValidationError as error:
        raise InvalidFileError([f"{path}: {error}"]) from None


def replace_file(path: Path, octets: bytes) -> None:
    """All of it or none: written beside, synced, renamed. Raises OSError."""
    beside = path.with_name(path.name + ".new")
    with beside.open("wb") as file:
        file.write(octets)
        file.flush()
        os.fsync(file.fileno())
    os.replace(beside, path)


def encode_checksummed(magic: bytes, value: object) -> bytes:
    """A first line, the body's checksum, the body."""
    body = msgspec.msgpack.encode(value)
    return magic + zlib.crc32(body).to_bytes(4, "big") + body


def decode_checksummed(magic: bytes, octets: bytes, form: type[Form], refused: type[ValueError]) -> Form:
    """What `encode_checksummed` wrote; raises `refused` for anything else, and says what stands there."""
    if len(octets) > MAX_CHECKSUMMED_BYTES:
        raise refused(f"{len(octets)} bytes; at most {MAX_CHECKSUMMED_BYTES} are read")
    if not octets.startswith(magic):
        raise refused(f"it begins with {octets[:20]!r}; {magic!r} is read")
    head, body = octets[len(magic) : len(magic) + 4], octets[len(magic) + 4 :]
    if len(head) < 4 or zlib.crc32(body) != int.from_bytes(head, "big"):
        raise refused("its checksum does not fit: it is cut off or damaged")
    try:
        return msgspec.msgpack.decode(body, type=form)
    except (msgspec.DecodeError, RecursionError) as error:
        raise refused(f"it can't be read: {error}") from None
