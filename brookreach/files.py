"""Files: bounded reads, atomic replacement, encoding with a checksum, and TOML converted to typed values.

It owns how a file is opened, written and checked for damage. What a file holds is its reader's concern.
"""

from __future__ import annotations

import os
import tomllib
import zlib
from pathlib import Path
from typing import Any, TypeVar

import msgspec

MAX_TOML_BYTES = 1 << 20
MAX_CHECKSUMMED_BYTES = 64 << 20
CHECKSUM_BYTES = 4

Value = TypeVar("Value")


class InvalidFileError(ValueError):
    """A file that can't be used; `errors` holds all that is wrong in it, a line each."""

    def __init__(self, errors: list[str]) -> None:
        super().__init__("\n".join(errors))
        self.errors = errors


def read_bounded(path: Path, max_bytes: int) -> bytes:
    """Returns the content of a file; raises InvalidFileError if it can't be read or is longer than `max_bytes`."""
    try:
        with path.open("rb") as file:
            content = file.read(max_bytes + 1)
    except OSError as error:
        raise InvalidFileError([f"{path}: can't be read: {error.strerror}"]) from None
    if len(content) > max_bytes:
        raise InvalidFileError([f"{path}: over {max_bytes} bytes"])
    return content


def read_toml(path: Path) -> dict[str, Any]:
    """Returns the values of a TOML file; raises InvalidFileError if it can't be read or is not TOML."""
    content = read_bounded(path, MAX_TOML_BYTES)
    try:
        return tomllib.loads(content.decode())
    except (ValueError, RecursionError) as error:
        raise InvalidFileError([f"{path}: no TOML: {error}"]) from None


def convert_values(path: Path, values: dict[str, Any], type_: type[Value]) -> Value:
    """Converts the values of the file at `path` to `type_`; raises InvalidFileError that names the key's path."""
    try:
        return msgspec.convert(values, type_)
    except msgspec.ValidationError as error:
        raise InvalidFileError([f"{path}: {error}"]) from None


def replace_file(path: Path, content: bytes) -> None:
    """Replaces a file atomically: writes a new file beside it, syncs it and renames it. Raises OSError."""
    new_path = path.with_name(path.name + ".new")
    with new_path.open("wb") as file:
        file.write(content)
        file.flush()
        os.fsync(file.fileno())
    new_path.replace(path)


def encode_checksummed(magic: bytes, value: object) -> bytes:
    """Returns `magic`, the CRC-32 of the encoded value and the value encoded as MessagePack."""
    body = msgspec.msgpack.encode(value)
    return magic + zlib.crc32(body).to_bytes(CHECKSUM_BYTES, "big") + body


def decode_checksummed(magic: bytes, content: bytes, type_: type[Value], error_type: type[ValueError]) -> Value:
    """Decodes what `encode_checksummed` returned; raises `error_type` for anything else, and says what it found."""
    if len(content) > MAX_CHECKSUMMED_BYTES:
        raise error_type(f"{len(content)} bytes; at most {MAX_CHECKSUMMED_BYTES} are read")
    if not content.startswith(magic):
        raise error_type(f"it begins with {content[:20]!r}; {magic!r} is read")
    body_start = len(magic) + CHECKSUM_BYTES
    checksum = content[len(magic) : body_start]
    body = content[body_start:]
    if len(checksum) < CHECKSUM_BYTES or zlib.crc32(body) != int.from_bytes(checksum, "big"):
        raise error_type("its checksum does not fit: it is cut off or damaged")
    try:
        return msgspec.msgpack.decode(body, type=type_)
    except (msgspec.DecodeError, RecursionError) as error:
        raise error_type(f"it can't be read: {error}") from None
