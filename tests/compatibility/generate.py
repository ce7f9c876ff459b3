"""Writes the golden files of one version: `python -m tests.compatibility.generate COMMIT`.

Only for a version that has none yet: files that stand are never written again.
"""

from __future__ import annotations

import sys
from pathlib import Path

from . import disks, golden_bytes, replicas, stored
from . import text_under_test as text
from .history_of_all import played


def main(version: str) -> None:
    folder = stored.DATA / version
    folder.mkdir(parents=True, exist_ok=True)
    for name, write in (("bytes.json", write_bytes), (disks.LOG, write_disks), ("lines.json", write_lines)):
        if not (folder / name).exists():
            write(folder)


def write_bytes(folder: Path) -> None:
    stored.write_json(folder / "bytes.json", golden_bytes.all_bytes())


def write_disks(folder: Path) -> None:
    """The stored files, and what their rows are."""
    history = played()
    disks.write_all(folder, history)
    stored.write_json(folder / "rows.json", told(history.machine))


def told(machine: text.StateMachine) -> dict[str, object]:
    return {
        "applied": machine.applied,
        "at_ms": machine.at_ms,
        "digest": machine.view.digest(),
        "rows": text.rows(machine),
    }


def write_lines(folder: Path) -> None:
    """All frames of three replicas and a client, through the loss of a leader and its return."""
    store = disks.opened(folder / disks.LOG)
    begin = store.load()
    store.close()
    (folder / f"{disks.LOG}-journal").unlink(missing_ok=True)
    group = replicas.Group({name: disks.in_memory(begin) for name in replicas.NAMES}, "ops3")
    first = group.leader()
    assert group.ask("gangs", {"type": "Noticed", "node": "n1"}).ok
    group.stop(first)
    group.run(600)
    assert group.leader() != first
    assert group.ask("outages", {"type": "RetirementNotice", "node": "n3", "at_ms": 1_900_000_000_000}).ok
    group.run(300)
    group.start(first)
    group.run(700)
    stored.write_json(
        folder / "lines.json",
        {
            "until_ms": group.now,
            "events": group.events,
            "sent": [[one.at_ms, one.source, one.target, one.frame.hex()] for one in group.sent],
            "digests": {name: host.machine.view.digest() for name, host in group.hosts.items()},
        },
    )


if __name__ == "__main__":
    main(sys.argv[1])
