"""The view and node addresses that survive a restart, stored atomically with a checksum, in two generations.

A server that starts without discovery serves the stored view marked as not fresh: no build on trial gets a share, since
nobody knows whether the rollout goes on. Endpoints are as they were stored.
"""

from __future__ import annotations

from dataclasses import replace
from pathlib import Path

import msgspec

from brookreach.files import MAX_CHECKSUMMED_BYTES, decode_checksummed, encode_checksummed, replace_file
from brookreach.xds.records import BalancerView, NodeAddress

MAGIC = b"brookreach view 1\n"
PREVIOUS_SUFFIX = ".old"


class StoreError(ValueError):
    """The file holds no view; the text says what stands there."""


class StoredView(msgspec.Struct):
    """The body of the file."""

    view: BalancerView
    addresses: list[NodeAddress] = msgspec.field(name="seats")


def encode(view: BalancerView, addresses: list[NodeAddress]) -> bytes:
    """Return the contents of the file."""
    return encode_checksummed(MAGIC, StoredView(view, addresses))


def decode(data: bytes) -> tuple[BalancerView, list[NodeAddress]]:
    """Return the view, marked as not fresh, and the addresses.

    Raises:
        StoreError: The data is not what `encode` returns.
    """
    stored = decode_checksummed(MAGIC, data, StoredView, StoreError)
    return replace(stored.view, fresh=False), stored.addresses


def save(path: Path, view: BalancerView, addresses: list[NodeAddress]) -> None:
    """Replace the file; its previous generation is kept beside it.

    Raises:
        OSError: One of the two files can't be written.
    """
    if path.exists():
        replace_file(_previous(path), path.read_bytes())
    replace_file(path, encode(view, addresses))


def load(path: Path) -> tuple[tuple[BalancerView, list[NodeAddress]] | None, list[str]]:
    """Return the newest valid generation, if any, and a line of log for each invalid one before it."""
    lines: list[str] = []
    for generation in (path, _previous(path)):
        try:
            with generation.open("rb") as file:
                return decode(file.read(MAX_CHECKSUMMED_BYTES + 1)), lines
        except FileNotFoundError:
            continue
        except (OSError, StoreError) as error:
            lines.append(f"{generation} passed over: {error}")
    return None, lines


def _previous(path: Path) -> Path:
    """Return where the previous generation of a file is kept."""
    return path.with_name(path.name + PREVIOUS_SUFFIX)
