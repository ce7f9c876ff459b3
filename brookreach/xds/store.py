"""What lasts over a restart: the last view and seats, atomic and checksummed, in two generations.

A server that starts without discovery serves it marked as old: no build on trial gets a share, since nobody
knows whether the wave goes on. Endpoints are what they were.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import msgspec

from brookreach.files import MAX_CHECKSUMMED_BYTES, decode_checksummed, encode_checksummed, replace_file
from brookreach.xds.records import Seat, View

MAGIC = b"brookreach view 1\n"


class StoreError(ValueError):
    """A file that holds no view; the text says what stands there."""


class Held(msgspec.Struct):
    view: View
    seats: list[Seat]


def encode(view: View, seats: list[Seat]) -> bytes:
    return encode_checksummed(MAGIC, Held(view, seats))


def decode(octets: bytes) -> tuple[View, list[Seat]]:
    """The view, marked as old. Raises StoreError."""
    held = decode_checksummed(MAGIC, octets, Held, StoreError)
    return replace(held.view, fresh=False), held.seats


def save(path: Path, view: View, seats: list[Seat]) -> None:
    """The generation before stays beside it. Raises OSError."""
    if path.exists():
        replace_file(path.with_name(path.name + ".old"), path.read_bytes())
    replace_file(path, encode(view, seats))


def load(path: Path) -> tuple[tuple[View, list[Seat]] | None, list[str]]:
    """The newest sound generation, and a line for each that was passed over."""
    lines: list[str] = []
    for one in (path, path.with_name(path.name + ".old")):
        try:
            with one.open("rb") as file:
                return decode(file.read(MAX_CHECKSUMMED_BYTES + 1)), lines
        except FileNotFoundError:
            continue
        except (OSError, StoreError) as error:
            lines.append(f"{one} passed over: {error}")
    return None, lines
