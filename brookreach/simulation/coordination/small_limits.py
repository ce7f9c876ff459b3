"""Small limits of the log and its snapshots, without which a short run would never reach them."""

from __future__ import annotations

import contextlib
from collections.abc import Iterator

from brookreach.coordination.raft import log, snapshot_transfer
from brookreach.simulation.defect import replace_attribute

APPEND_BYTES = 400


@contextlib.contextmanager
def small_limits(retained_entries: int, chunk_bytes: int, append_bytes: int = APPEND_BYTES) -> Iterator[None]:
    """Set limits of the program while the context lasts.

    Args:
        retained_entries: Entries that stay in a log behind a snapshot.
        chunk_bytes: The size of the parts in which a snapshot is sent.
        append_bytes: The most that entries of one message may have together.
    """
    with (
        replace_attribute(log, "RETAINED_ENTRIES", retained_entries),
        replace_attribute(log, "MAX_APPEND_BYTES", append_bytes),
        replace_attribute(snapshot_transfer, "MAX_SNAPSHOT_CHUNK_BYTES", chunk_bytes),
    ):
        yield
