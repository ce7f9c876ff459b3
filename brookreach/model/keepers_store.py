"""What a group's disks take: records a commit, commits and records a second against one at a time, syncs.

It owns the temporary folder and its stores. It must never give a time without the one it is a share of: the
figures are of whatever machine this runs on. Three keepers write to one disk, one after the other.
"""

from __future__ import annotations

import random
import re
import shutil
import statistics
import subprocess
import sys
import tempfile
import time
from collections import deque
from pathlib import Path

from brookreach.coordination.raft.node import RaftNode
from brookreach.coordination.storage.sqlite import SqliteStorage
from brookreach.coordination.timing import Timing

NAMES = ("k1", "k2", "k3")
STILL = Timing(election_timeout_ms=60_000.0)  # a slow disk is no reason to elect here
RECORD = b"r" * 200


class Trio:
    """Three keepers' logs on disk; what one says the others hear at once, so the disks alone take time."""

    def __init__(self, folder: Path):
        self.stores = {name: SqliteStorage(folder / f"{name}.db", "g", name) for name in NAMES}
        for store in self.stores.values():
            store.bootstrap(NAMES)
        self.rafts = {
            name: RaftNode(name, store.load(), NAMES, STILL, random.Random(name)) for name, store in self.stores.items()
        }
        self.now, self.applied = 0.0, 0
        while not any(raft.is_leader for raft in self.rafts.values()):
            self.now = min(max(self.now, raft.next_wakeup_ms()) for raft in self.rafts.values())
            for raft in self.rafts.values():
                raft.tick(self.now)
            self.pump()
        self.leader = next(name for name, raft in self.rafts.items() if raft.is_leader)

    def pump(self) -> None:
        """Until nobody has anything to save or say."""
        busy = deque(NAMES)
        while busy:
            name = busy.popleft()
            raft, store = self.rafts[name], self.stores[name]
            ready = raft.ready()
            if ready.save is not None:
                store.save(ready.save)
                raft.on_saved(self.now)
            for target, body in ready.send:
                self.rafts[target].handle_message(self.now, name, body)
                busy.append(target)
            if raft.is_leader:
                self.applied += len(ready.apply)
            if ready.save or ready.apply or ready.send:
                busy.append(name)

    def commit(self, outstanding: int, commits: int) -> tuple[float, float, float]:
        """Records a commit of the leader, commits a second, records a second."""
        raft, store = self.rafts[self.leader], self.stores[self.leader]
        self.pump()
        saves, records, began = store.saves, self.applied, time.perf_counter()
        asked = 0
        while store.saves - saves < commits:
            while asked - (self.applied - records) < outstanding and raft.propose(self.now, RECORD):
                asked += 1
            self.pump()
        took = time.perf_counter() - began
        done, saved = self.applied - records, store.saves - saves
        return done / saved, saved / took, done / took

    def saves(self) -> int:
        return sum(store.saves for store in self.stores.values())

    def close(self) -> None:
        for store in self.stores.values():
            store.close()


def disk(rounds: int, commits: int, sizes: tuple[int, ...] = (1, 8, 64)) -> list[str]:
    """Lines of a table; the sizes take turns in each round, the median of the rounds is told."""
    with tempfile.TemporaryDirectory(prefix="keepers-") as folder:
        trio = Trio(Path(folder))
        found: dict[int, list[tuple[float, float, float]]] = {size: [] for size in sizes}
        for _ in range(rounds):
            for size in sizes:
                found[size].append(trio.commit(size, commits))
        trio.close()
    each = syncs()
    lines = [
        "| outstanding | records a commit | commits a second, of those at 1 | least, most of the rounds "
        "| records a second, of those at 1 | syncs a commit |",
        "| --- " * 6 + "|",
    ]
    for size in sizes:
        pairs = list(zip(found[size], found[sizes[0]], strict=True))
        commits_of = [one[1] / first[1] for one, first in pairs]
        records_of = statistics.median(one[2] / first[2] for one, first in pairs)
        per = statistics.median(one[0] for one in found[size])
        lines.append(
            f"| {size} | {per:.1f} | {statistics.median(commits_of):.2f} | {min(commits_of):.2f}, "
            f"{max(commits_of):.2f} | {records_of:.1f} | {each.get(size, 'no strace here')} |"
        )
    return lines


def syncs() -> dict[int, str]:
    """fsync and fdatasync by `strace`: the difference of two runs of other lengths, over that of saves."""
    if shutil.which("strace") is None:
        return {}
    told = {}
    for size in (1, 8, 64):
        short, long = _traced(size, 20), _traced(size, 60)
        if short is None or long is None:
            return {}
        told[size] = f"{(long[0] - short[0]) / (long[1] - short[1]):.2f}"
    return told


def _traced(size: int, commits: int) -> tuple[int, int] | None:
    """Syncs, saves of a run of its own; None: not allowed to trace here."""
    run = [sys.executable, "-m", "brookreach.model.keepers_store", str(size), str(commits)]
    trace = ["strace", "-f", "-c", "-e", "trace=fsync,fdatasync"]
    done = subprocess.run([*trace, *run], capture_output=True, text=True, check=False)
    if done.returncode:
        return None
    calls = re.findall(r"^ *[\d.]+ +[\d.]+ +\d+ +(\d+) .*\bf(?:data)?sync$", done.stderr, re.MULTILINE)
    return sum(int(one) for one in calls), int(done.stdout)


def main() -> None:
    """For `_traced`: plays so many commits and prints all stores' saves."""
    with tempfile.TemporaryDirectory(prefix="keepers-") as folder:
        trio = Trio(Path(folder))
        trio.commit(int(sys.argv[1]), int(sys.argv[2]))
        print(trio.saves())
        trio.close()


if __name__ == "__main__":
    main()
