"""Writes the golden files of one version: `python -m tests.compatibility.generate COMMIT`.

Only for a version that has none yet: files that stand are never written again.
"""

from __future__ import annotations

import sys
from pathlib import Path

from tests.verdict_rig import played as played_wave

from . import answers, disks, golden_bytes, other_files, replicas, stored
from . import text_under_test as text
from .history_of_all import played

MOST_NOTES_OF_A_KIND = 3


def main(version: str) -> None:
    folder = stored.DATA / version
    folder.mkdir(parents=True, exist_ok=True)
    for name, write in WRITERS.items():
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


def write_answers(folder: Path) -> None:
    machine = text.StateMachine(text.installed())
    machine.restore(disks.read_copy(folder / disks.SNAPSHOT).snapshot)
    found = answers.given(machine, golden_bytes.orders())
    stored.write_json(folder / "answers.json", {"answers": found, "digest": machine.view.digest()})


def write_other_files(folder: Path) -> None:
    """A recorded wave with the first few notes of each kind, and what else is stored."""
    _, recorders = played_wave("scheda+36", 3)
    wave = next(one.waves[-1] for one in recorders if any(note.what == "C" for note in one.waves[-1].notes))
    kept: dict[str, int] = {}
    notes = []
    for note in wave.notes:
        kept[note.what] = kept.get(note.what, 0) + 1
        if kept[note.what] <= MOST_NOTES_OF_A_KIND:
            notes.append(note)
    wave.notes = notes
    stored.write_json(folder / other_files.VALUES, other_files.write_all(folder, [wave]))


WRITERS = {
    "bytes.json": write_bytes,
    disks.LOG: write_disks,
    "lines.json": write_lines,
    "answers.json": write_answers,
    other_files.VALUES: write_other_files,
}

if __name__ == "__main__":
    main(sys.argv[1])
