"""Processes of a scale test: their processor time and memory, and those of hollow marshals with their commands.

It owns the pipes to the processes that it started, and ends only these, by their ids. Figures of a process are read
from /proc, so this runs on Linux only.
"""

from __future__ import annotations

import os
import subprocess
import sys
from dataclasses import dataclass
from pathlib import Path
from typing import IO

import anyio
import anyio.abc
import msgspec

from brookreach.scale.hollow_protocol import MOST_LINE, Begin, Command, End, Figures, Mark, Report

TICKS = os.sysconf("SC_CLK_TCK")
ANSWER_S, END_S = 60.0, 10.0
_encoder = msgspec.json.Encoder()
_figures = msgspec.json.Decoder(Figures)


class ChildFailed(Exception):
    """A process that ended or did not answer; its text names it and what it said last."""


@dataclass(frozen=True, slots=True)
class Usage:
    """Of one process since its start."""

    processor_s: float
    resident_bytes: int
    most_resident_bytes: int


def usage(pid: int) -> Usage:
    """Raises ChildFailed where there is no such process."""
    folder = Path("/proc") / str(pid)
    try:
        fields = (folder / "stat").read_text().rpartition(")")[2].split()
        status = dict(line.split(":", 1) for line in (folder / "status").read_text().splitlines())
    except OSError as error:
        raise ChildFailed(f"process {pid} has ended: {error.strerror}") from None
    user, system = int(fields[11]), int(fields[12])
    resident, most = (int(status[name].split()[0]) * 1024 for name in ("VmRSS", "VmHWM"))
    return Usage((user + system) / TICKS, resident, most)


class HollowChild:
    """One process of hollow marshals, `count` of them from number `first` on, all of one zone."""

    def __init__(self, name: str, file: Path, first: int, count: int, zone: str, nodes: int, seed: int):
        self.name, self.count, self.log = name, count, file.parent / f"{name}.log"
        numbers = {"first": first, "count": count, "nodes": nodes, "seed": seed}
        options = [part for option, value in numbers.items() for part in (f"--{option}", str(value))]
        self._words = [sys.executable, "-m", "brookreach", "scale", "hollow", str(file), *options, "--zone", zone]
        self._process: anyio.abc.Process | None = None
        self._log: IO[bytes] | None = None
        self._held = b""

    async def start(self) -> None:
        self._log = self.log.open("ab")
        self._held = b""
        self._process = await anyio.open_process(
            self._words, stdin=subprocess.PIPE, stdout=subprocess.PIPE, stderr=self._log
        )

    @property
    def pid(self) -> int:
        return self._alive().pid

    def _alive(self) -> anyio.abc.Process:
        if self._process is None or self._process.returncode is not None:
            raise ChildFailed(f"{self.name} has ended: {self.said()}")
        return self._process

    def said(self) -> str:
        """The end of its log."""
        return self.log.read_text(errors="replace")[-300:].strip() if self.log.exists() else ""

    async def _tell(self, command: Command) -> None:
        process = self._alive()
        assert process.stdin is not None
        try:
            await process.stdin.send(_encoder.encode(command) + b"\n")
        except (OSError, anyio.BrokenResourceError, anyio.ClosedResourceError):
            raise ChildFailed(f"{self.name} takes no commands: {self.said()}") from None

    async def begin(self, at_once: int) -> None:
        await self._tell(Begin(at_once))

    async def mark(self, gone: str = "", index: int = 0) -> None:
        await self._tell(Mark(gone, index))

    async def report(self) -> Figures:
        """Raises ChildFailed."""
        await self._tell(Report())
        try:
            with anyio.fail_after(ANSWER_S):
                line = await self._line()
        except (TimeoutError, anyio.EndOfStream):
            raise ChildFailed(f"{self.name} did not report: {self.said()}") from None
        return _figures.decode(line)

    async def _line(self) -> bytes:
        stream = self._alive().stdout
        assert stream is not None
        while b"\n" not in self._held:
            if len(self._held) > MOST_LINE:
                raise ChildFailed(f"{self.name} reports over {MOST_LINE} bytes")
            self._held += await stream.receive()
        line, _, self._held = self._held.partition(b"\n")
        return line

    async def kill(self) -> None:
        """At once, as a power cut would end it."""
        if self._process is not None:
            if self._process.returncode is None:
                self._process.kill()
            await self._close()

    async def end(self) -> None:
        """Its marshals leave the group; killed where that takes long."""
        if self._process is None:
            return
        with anyio.move_on_after(END_S):
            try:
                await self._tell(End())
                await self._process.wait()
            except ChildFailed:
                pass
        await self.kill()

    async def _close(self) -> None:
        process, self._process = self._process, None
        if process is not None:
            with anyio.CancelScope(shield=True):
                await process.wait()
                await process.aclose()
        if self._log is not None:
            self._log.close()
