"""The stored files of replicas: written once by `generate`, opened as copies by the tests."""

from __future__ import annotations

import shutil
import sqlite3
import tempfile
from pathlib import Path

from . import replicas
from . import text_under_test as text
from .history import History

LOG, SNAPSHOT, TORN, CHANGED = "log.sqlite", "snapshot.sqlite", "torn.sqlite", "changed.sqlite"
OWNER = "k1"


def write_all(folder: Path, history: History) -> None:
    """The whole log; a snapshot and the log after it; a copy cut off, and one with another vote."""
    _write(folder / LOG, text.Save(1, OWNER, 0, history.entries))
    [(index, octets)] = history.snapshots.items()
    save = text.Save(1, OWNER, 0, history.entries, (index, 1, replicas.NAMES, octets))
    _write(folder / SNAPSHOT, save)
    whole = (folder / LOG).read_bytes()
    (folder / TORN).write_bytes(whole[: len(whole) * 2 // 3])
    shutil.copyfile(folder / LOG, folder / CHANGED)
    with sqlite3.connect(folder / CHANGED) as base:
        base.execute("UPDATE log SET term = 2 WHERE place = 40")
    base.close()


def _write(path: Path, save: text.Save) -> None:
    store = text.Store(path, replicas.GROUP, OWNER)
    store.found(replicas.NAMES)
    store.save(save)
    store.close()
    path.with_name(path.name + "-journal").unlink(missing_ok=True)


def opened(path: Path) -> text.Store:
    return text.Store(path, replicas.GROUP, OWNER)


def in_memory(stored: text.Stored) -> text.MemoryStore:
    """Another replica's disk with the same content."""
    disk = text.MemoryStore(stored.seats)
    snapshot = (stored.index, stored.index_term, stored.seats, stored.snapshot) if stored.index else None
    disk.save(text.Save(stored.term, stored.vote, stored.index, list(stored.entries), snapshot))
    return disk


def read_copy(path: Path) -> text.Stored:
    """What the file holds, read from a copy: to open a file writes a journal beside it."""
    with tempfile.TemporaryDirectory() as folder:
        store = opened(Path(shutil.copy(path, folder)))
        try:
            return store.load()
        finally:
            store.close()
