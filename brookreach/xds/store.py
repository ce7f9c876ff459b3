"""What lasts over a restart: the last view and addresses, atomic and checksummed, in two generations.

A server that starts without discovery serves it marked as old: no build on trial gets a share, since nobody
knows whether the wave goes on. Endpoints are what they were.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import msgspec

from brookreach.files import MAX_CHECKSUMMED_BYTES, decode_checksummed, encode_checksummed, replace_file
from brookreach.xds.records import BalancerView, NodeAddress

MAGIC = b"brookreach view 1\n"


class StoreError(ValueError):
    """A file that holds no view; the text says what stands there."""


class StoredView(msgspec.Struct):
    view: BalancerView
    addresses: list[NodeAddress] = msgspec.field(name="seats")


def encode(view: BalancerView, addresses: list[NodeAddress]) -> bytes:
    return encode_checksummed(MAGIC, StoredView(view, addresses))


def decode(octets: bytes) -> tuple[BalancerView, list[NodeAddress]]:
    """The view, marked as old. Raises StoreError."""
    held = decode_checksummed(MAGIC, octets, StoredView, StoreError)
    return replace(held.view, fresh=False), held.addresses


def save(path: Path, view: BalancerView, addresses: list[NodeAddress]) -> None:
    """The generation before stays beside it. Raises OSError."""
    if path.exists():
        replace_file(path.with_name(path.name + ".old"), path.read_bytes())
    replace_file(path, encode(view, addresses))


def load(path: Path) -> tuple[tuple[BalancerView, list[NodeAddress]] | None, list[str]]:
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
