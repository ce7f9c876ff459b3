"""Many hollow marshals in one process: `brookreach scale hollow`. It obeys commands from its standard input.

It owns when its marshals start, and which of them are up to date since when. It must never outlive the process that
started it: it ends when its input ends, and after `most_s` at the latest.
"""

from __future__ import annotations

import os
import resource
import sys
from collections import Counter
from collections.abc import AsyncIterator, Sequence
from pathlib import Path

import anyio
import anyio.abc
import msgspec

from brookreach.coordination.clock import now_ms
from brookreach.scale.hollow_marshal import HollowMarshal, Traffic
from brookreach.scale.hollow_protocol import Begin, Command, End, Figures, Mark, Report, Step

LOOK_S = 0.01  # between looks at who is up to date, while some are not
PACE_S = 0.005
PAGE = resource.getpagesize()
_decoder = msgspec.json.Decoder(Command)
_encoder = msgspec.json.Encoder()


class BadCommand(Exception):
    """A line of the input that is no command; its text says what stands there and what is allowed."""


def resident_bytes() -> int:
    """Of this process, as Linux counts it."""
    return int(Path("/proc/self/statm").read_text().split()[1]) * PAGE


async def commands(descriptor: int) -> AsyncIterator[Command]:
    """Until the input ends; raises BadCommand."""
    held = b""
    while True:
        await anyio.wait_readable(descriptor)
        octets = os.read(descriptor, 1 << 16)
        if not octets:
            return
        *lines, held = (held + octets).split(b"\n")
        for line in lines:
            try:
                yield _decoder.decode(line)
            except (msgspec.DecodeError, RecursionError) as error:
                raise BadCommand(f"{line[:80]!r}: {error}; Begin, Mark, Report and End are allowed") from None


class Progress:
    """How far along the log the slowest of some marshals is, and since when."""

    def __init__(self, names: Sequence[str]):
        self._index = dict.fromkeys(names, 0)
        self._marshals = Counter({0: len(names)})  # by place of the log
        self.lowest = 0
        self.steps: list[Step] = []

    def moved(self, name: str, index: int) -> None:
        before = self._index[name]
        self._index[name] = index
        self._marshals[before] -= 1
        self._marshals[index] += 1
        if not self._marshals[before]:
            del self._marshals[before]
        if index < self.lowest or self.lowest not in self._marshals:
            self.lowest = min(self._marshals)
            self.steps.append(Step(now_ms(), self.lowest))


class HollowProcess:
    def __init__(self, path: Path, names: Sequence[str], zone: str, nodes: int, seed: int):
        numbers = {f"n{number}": number for number in range(nodes)}
        self.traffic, self.progress = Traffic(), Progress(names)
        self.marshals = [
            HollowMarshal(path, name, zone, numbers, seed, self.traffic, self.progress.moved) for name in names
        ]
        self.started: list[HollowMarshal] = []
        self.late: list[HollowMarshal] = []  # started and not seen up to date since the last Mark
        self.mark, self.up_to_date_ms = Mark(), 0.0
        self.look = anyio.Event()

    async def run(self, most_s: float, descriptor: int = 0) -> None:
        """Until End, the end of the input, or `most_s`; raises BadCommand."""
        with anyio.move_on_after(most_s):
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(self._looks)
                async for command in commands(descriptor):
                    if isinstance(command, End):
                        break
                    self._obey(command, tasks)
                tasks.cancel_scope.cancel()
        with anyio.move_on_after(1.0):
            async with anyio.create_task_group() as tasks:
                for marshal in self.started:
                    tasks.start_soon(marshal.finish_shutdown)

    def _obey(self, command: Command, tasks: anyio.abc.TaskGroup) -> None:
        match command:
            case Begin(at_once=at_once):
                tasks.start_soon(self._begin, tasks, at_once)
            case Mark():
                self.mark, self.late = command, list(self.started)
                self.look.set()
            case Report():
                sys.stdout.buffer.write(_encoder.encode(self.figures()) + b"\n")
                sys.stdout.buffer.flush()

    async def _begin(self, tasks: anyio.abc.TaskGroup, at_once: int) -> None:
        for marshal in self.marshals:
            while at_once and len(self.late) >= at_once:
                await anyio.sleep(PACE_S)
            self.started.append(marshal)
            self.late.append(marshal)
            tasks.start_soon(marshal.run)
            self.look.set()

    async def _looks(self) -> None:
        while True:
            if not self.late:
                self.look = anyio.Event()
                await self.look.wait()
            late = [one for one in self.late if not one.up_to_date(self.mark.gone, self.mark.index)]
            if len(late) < len(self.late):
                self.up_to_date_ms = now_ms()
            self.late = late
            await anyio.sleep(LOOK_S)

    def figures(self) -> Figures:
        used, traffic = resource.getrusage(resource.RUSAGE_SELF), self.traffic
        told = Figures(
            at_ms=now_ms(),
            processor_s=used.ru_utime + used.ru_stime,
            resident_bytes=resident_bytes(),
            bytes_in=traffic.bytes_in,
            bytes_out=traffic.bytes_out,
            messages_in=traffic.messages_in,
            rows=dict(traffic.rows),
            up_to_date=len(self.started) - len(self.late),
            up_to_date_ms=self.up_to_date_ms,
            sessions_lost=traffic.sessions_lost,
            steps=tuple(self.progress.steps),
            buckets=dict(traffic.buckets),
        )
        self.progress.steps.clear()
        traffic.buckets.clear()
        return told
