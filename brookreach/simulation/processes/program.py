"""The program's own processes for drills: started by its command line, each with its own folder and ports.

It owns its children and their folders, ends only these, by their ids, and never reads what they hold in
memory.
Their addresses lead through a relay: each process has a file of its own in which the others stand at its
ports.
"""

from __future__ import annotations

import os
import shutil
import signal
import subprocess
import sys
import tempfile
from collections.abc import Callable, Sequence
from pathlib import Path
from typing import Any

import anyio

from brookreach.simulation.processes.ports import NoPorts, Ports
from brookreach.simulation.processes.relay import Port
from brookreach.simulation.report import NotReported, Report

ENDS_S = 60.0  # after SIGTERM, on a machine that is busy with other work
FOUND_S = 180.0  # for a command that founds a keeper: a second on an idle machine


class Group:
    """Keepers' places: where each listens, and by which port of the relay each of the others finds it."""

    def __init__(self, folder: Path, keepers: Sequence[str], callers: Sequence[str], ports: Ports):
        self.folder, self.keepers = folder, tuple(keepers)
        self.listens = {name: ports.take() for name in keepers}
        self.relayed = {
            (source, target): ports.take() for source in (*keepers, *callers) for target in keepers if source != target
        }
        folder.mkdir(parents=True, exist_ok=True)
        key = folder / "group.key"
        with os.fdopen(os.open(key, os.O_WRONLY | os.O_CREAT | os.O_EXCL, 0o600), "wb") as file:
            file.write(b"the drills' own key, " + b"32 bytes or more long")
        self.key = key.read_bytes()

    def relay_ports(self) -> list[Port]:
        return [Port(source, target, port, self.listens[target]) for (source, target), port in self.relayed.items()]

    def file(self, me: str, timing: Sequence[str] = ()) -> Path:
        """The group's file as `me` sees it: itself where it listens, the others behind the relay."""
        lines = ["[group]", 'name = "drill"', f'key = "{self.folder / "group.key"}"', "", "[timing]", *timing]
        for name in self.keepers:
            port = self.listens[name] if name == me else self.relayed[me, name]
            lines += [
                "",
                "[[keeper]]",
                f'name = "{name}"',
                f'listen = "127.0.0.1:{port}"',
                f'disk = "{self.folder / name}"',
            ]
        path = self.folder / f"{me}.toml"
        path.write_text("\n".join(lines) + "\n")
        return path


class Child:
    """One process of the program. `words`: its command line after `python -m brookreach`."""

    def __init__(self, name: str, folder: Path, words: Sequence[str]):
        self.name, self.folder, self.words = name, folder, tuple(words)
        self.process: subprocess.Popen[bytes] | None = None
        self.stopped = False
        self.ends: list[int] = []  # exit codes of lives that ended by themselves
        folder.mkdir(parents=True, exist_ok=True)
        self.log = folder.parent / f"{name}.log"

    @property
    def up(self) -> bool:
        if self.process is not None and self.process.poll() is not None:
            self.ends.append(self.process.returncode)
            self.process = None
        return self.process is not None

    def start(self) -> None:
        if not self.up:
            with self.log.open("ab") as log:
                self.process = subprocess.Popen(
                    [sys.executable, "-m", "brookreach", *self.words],
                    stdin=subprocess.DEVNULL,
                    stdout=log,
                    stderr=log,
                )
            self.stopped = False

    def run_to_end(self, within_s: float) -> None:
        """A command that ends by itself; raises NotReported where it fails or takes longer."""
        self.start()
        assert self.process is not None
        try:
            code = self.process.wait(within_s)
        except subprocess.TimeoutExpired:
            self.kill()
            raise NotReported(self.name, f"`{' '.join(self.words)}` takes longer than {within_s:.0f} s") from None
        if code:
            raise NotReported(self.name, f"`{' '.join(self.words)}` ends with {code}: {self.told()}")

    def stop(self) -> None:
        if self.up and self.process is not None:
            self.process.send_signal(signal.SIGSTOP)
            self.stopped = True

    def go_on(self) -> None:
        if self.up and self.process is not None and self.stopped:
            self.process.send_signal(signal.SIGCONT)
            self.stopped = False

    def kill(self) -> None:
        if self.up and self.process is not None:
            self.process.kill()
            self.process.wait()
            self.process, self.stopped = None, False

    def end(self) -> int | None:
        """By SIGTERM, as an operator does; its exit code, None where it had to be killed."""
        if not self.up or self.process is None:
            return None
        self.go_on()
        self.process.terminate()
        try:
            code = self.process.wait(ENDS_S)
        except subprocess.TimeoutExpired:
            self.kill()
            return None
        self.process = None
        return code

    # --- its disk, while it is down ---

    def files(self) -> list[Path]:
        return sorted(one for one in self.folder.rglob("*") if one.is_file())

    def empty(self) -> None:
        self.kill()
        shutil.rmtree(self.folder)
        self.folder.mkdir()

    def set_aside(self, name: str) -> None:
        """A copy as a crash at this moment would leave it: no byte moves meanwhile."""
        was_stopped = self.stopped
        self.stop()
        aside = self.folder.parent / f"{self.name}.{name}"
        shutil.rmtree(aside, ignore_errors=True)
        shutil.copytree(self.folder, aside)
        if not was_stopped:
            self.go_on()

    def put_back(self, name: str) -> bool:
        self.kill()
        aside = self.folder.parent / f"{self.name}.{name}"
        if not aside.exists():
            return False
        shutil.rmtree(self.folder)
        shutil.copytree(aside, self.folder)
        return True

    def tear(self, share: float) -> str:
        """The newest file loses its last bytes, as after a power cut in the middle of a write."""
        self.kill()
        files = [one for one in self.files() if one.stat().st_size]
        if not files:
            return ""
        newest = max(files, key=lambda one: (one.stat().st_mtime_ns, one.name))
        size = newest.stat().st_size
        os.truncate(newest, int(size * (1.0 - share)))
        return newest.name

    def told(self) -> str:
        """The end of what it logged, for a violation's text."""
        return self.log.read_text(errors="replace")[-400:].strip() if self.log.exists() else ""


class Children:
    """All of a drill's processes and its ports, ended and given back with it whatever happened."""

    def __init__(self) -> None:
        self.all: dict[str, Child] = {}
        self.ports = Ports()

    def add(self, child: Child) -> Child:
        self.all[child.name] = child
        return child

    def __enter__(self) -> Children:
        return self

    def __exit__(self, *error: object) -> None:
        for child in self.all.values():
            child.kill()
        self.ports.close()


def played(
    name: str,
    seeds: range,
    processes: int,
    progress: Callable[[int, int], None] | None,
    made: Callable[[int, Path, Children, Report], Any],
) -> Report:
    """A drill between processes: for each seed what `made` gives runs in a folder, with children of its own.

    A seed that ends by an error breaks the rule that it reports; the others are played all the same.
    """
    report = Report(name, seeds.start, len(seeds))
    report.figures["processes"] = processes
    for one in report.play(progress):
        try:
            with tempfile.TemporaryDirectory(prefix="brookreach-drill-") as folder, Children() as children:
                anyio.run(made(one, Path(folder), children, report).run)
        except NoPorts:
            raise
        except Exception as error:  # whatever it is: it is told with the drill's name and the seed
            report.not_reported(name, one, error)
    return report
