"""One marshal as a process of the program, before stand-ins on loopback: memory, processor time, first answer."""

from __future__ import annotations

import json
import math
import socket
import subprocess
import sys
import tempfile
import time
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager, suppress
from dataclasses import dataclass
from pathlib import Path
from typing import Any

import anyio
import anyio.abc

from brookreach.net.stream import parse_address
from brookreach.scale import marshal_configuration as configured
from brookreach.scale.marshal_build import Build
from brookreach.scale.marshal_sizes import Size
from brookreach.simulation.stand_ins import Site, asked

NODE_STANDS = 8  # that all nodes of the list share: a marshal's own connections are bounded
ANSWERS_WITHIN_S, ENDS_WITHIN_S = 60.0, 10.0
CHANGE_EVERY_S, WHOLE_EVERY_S, WATCH_S = 0.1, 0.5, 2.0
SETTLE_S, WATCHES_WITHIN_S = 1.0, 10.0
STATEMENT = "SELECT 1 /*id=first,c=method-0,d=2000*/"
ROW_TAGS = "TDCZ"  # a row, its description before it, and that the connection is ready again
KIB_PER_MB, NS_PER_S = 1024.0, 1e9


class NoAnswer(Exception):
    """The marshal did not do what is to be measured, in one line."""


@dataclass(frozen=True, slots=True)
class ListRate:
    """While no RPC comes and lists do: processor seconds of one core, and lists, in a second."""

    cpu: float
    lists: float

    def ms(self, idle_cpu: float) -> float:
        """Processor milliseconds of one list, what runs while idle left out."""
        return (self.cpu - idle_cpu) / self.lists * 1000.0


@dataclass(frozen=True, slots=True)
class ProcessCost:
    """Memory in MB of 1,048,576 bytes; processor time in seconds of one core, a second of running.

    `changes` and `wholes` are missing where the marshal did not come to watch the list within `WATCHES_WITHIN_S`:
    it gives up a whole list that takes longer than `Limits.whole_s`, and asks again. No line is fitted to such a row.
    """

    size: Size
    first_answer_s: float  # from the process's start to the answer of its first RPC
    start_cpu_s: float  # processor seconds used by then
    idle_mb: float
    idle_cpu: float  # no RPC, no change
    peak_mb: float
    whole_calls: int  # for the whole list, of which one is enough
    changes: ListRate | None  # one node changes at a time
    wholes: ListRate | None  # the whole list comes again, nothing changed


class ChangingSite(Site):
    """A site whose list changes, or comes whole, every `every_s`; with `every_s` infinite it never does."""

    def __init__(self, told: dict[str, Any]) -> None:
        super().__init__(told)
        self.every_s, self.whole, self.version = math.inf, False, self.known["revision"]
        self.changes = self.whole_calls = 0
        self.watched = anyio.Event()
        self.rows = json.dumps(self.known["members"])  # once: a whole list must come at once

    async def listing(self, method: str, target: str, body: bytes) -> tuple[int, str, bool]:
        if "after=" not in target:
            self.whole_calls += 1
            return 200, self.worded(True, self.rows), True
        self.watched.set()
        await anyio.sleep(min(self.every_s, WATCH_S))
        if self.every_s > WATCH_S:
            return 200, self.worded(False, "[]"), True
        self.version += 1
        self.changes += 1
        if self.whole:
            return 200, self.worded(True, self.rows), True
        phase = "leaving" if self.version % 2 else "active"
        row = json.dumps([self.known["members"][0] | {"phase": phase}])
        return 200, self.worded(False, row), True

    def worded(self, complete: bool, rows: str) -> str:
        return f'{{"revision": {self.version}, "complete": {json.dumps(complete)}, "members": {rows}}}'


async def measure(size: Size, build: Build, seconds: float) -> ProcessCost:
    """Each phase lasts `seconds`. Raises NoAnswer."""
    try:
        return await _measure(size, build, seconds)
    except BaseExceptionGroup as group:  # of the stand-ins' tasks
        known = group.subgroup(NoAnswer)
        if known is None:
            raise
        raise NoAnswer(str(known.exceptions[0])) from None


async def _measure(size: Size, build: Build, seconds: float) -> ProcessCost:
    async with _playing(size) as (site, told), _marshal(told, build) as (process, begun):
        await _first_answer(parse_address(told["listen"]), process)
        first_answer_s, start_cpu_s = time.monotonic() - begun, cpu_s(process.pid)
        with anyio.move_on_after(WATCHES_WITHIN_S):
            await site.watched.wait()
        watched = site.watched.is_set()
        await anyio.sleep(SETTLE_S)
        idle_cpu, _ = await _rates(process.pid, site, seconds)
        idle_mb = status_mb(process.pid, "VmRSS")
        site.every_s = CHANGE_EVERY_S
        await anyio.sleep(WATCH_S)  # the watch that was open before ends
        changes = await _list_rate(process.pid, site, seconds)
        site.every_s, site.whole = WHOLE_EVERY_S, True
        await anyio.sleep(CHANGE_EVERY_S)
        wholes = await _list_rate(process.pid, site, seconds)
        return ProcessCost(
            size=size,
            first_answer_s=first_answer_s,
            start_cpu_s=start_cpu_s,
            idle_mb=idle_mb,
            idle_cpu=idle_cpu,
            peak_mb=status_mb(process.pid, "VmHWM"),
            whole_calls=site.whole_calls,
            changes=changes if watched else None,
            wholes=wholes if watched else None,
        )


@asynccontextmanager
async def _playing(size: Size) -> AsyncIterator[tuple[ChangingSite, dict[str, Any]]]:
    ports = [f"127.0.0.1:{port}" for port in free_ports(3 + NODE_STANDS)]
    told = configured.configuration(size, ports[0], ports[1], ports[2], ports[3:])
    site = ChangingSite(told)
    async with anyio.create_task_group() as tasks:
        await tasks.start(site.run)
        try:
            yield site, told
        finally:
            tasks.cancel_scope.cancel()


@asynccontextmanager
async def _marshal(told: dict[str, Any], build: Build) -> AsyncIterator[tuple[anyio.abc.Process, float]]:
    """The process, and when it was started; it is ended by its own id."""
    with tempfile.TemporaryDirectory(prefix="brookreach-scale-") as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(told))
        begun = time.monotonic()
        process = await anyio.open_process(
            [sys.executable, "-m", "brookreach"],
            stdin=subprocess.DEVNULL,
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            cwd=folder,
            env=build.environment() | {"PROXY_CONFIG": str(path)},
        )
        try:
            yield process, begun
        finally:
            with anyio.CancelScope(shield=True):
                await _end(process)


async def _end(process: anyio.abc.Process) -> None:
    with suppress(ProcessLookupError):
        process.terminate()
    with anyio.move_on_after(ENDS_WITHIN_S):
        await process.wait()
    with suppress(ProcessLookupError):
        process.kill()
    await process.aclose()


async def _first_answer(at: tuple[str, int], process: anyio.abc.Process) -> None:
    with anyio.move_on_after(ANSWERS_WITHIN_S):
        while process.returncode is None:
            if await asked(at, STATEMENT) == ROW_TAGS:
                return
            await anyio.sleep(0.005)
        raise NoAnswer(f"the marshal ended with {process.returncode} before its first answer")
    raise NoAnswer(f"the marshal gave no answer within {ANSWERS_WITHIN_S:g} s")


async def _rates(process: int, site: ChangingSite, seconds: float) -> tuple[float, float]:
    """Processor seconds and changes of the list, a second, over so many."""
    begun, cpu_before, changes_before = time.monotonic(), cpu_s(process), site.changes
    await anyio.sleep(seconds)
    lasted = time.monotonic() - begun
    return (cpu_s(process) - cpu_before) / lasted, (site.changes - changes_before) / lasted


async def _list_rate(process: int, site: ChangingSite, seconds: float) -> ListRate | None:
    cpu, lists = await _rates(process, site, seconds)
    return ListRate(cpu, lists) if lists else None


def cpu_s(process: int) -> float:
    """Processor seconds of all threads of a process so far, from the scheduler's nanoseconds."""
    tasks = Path(f"/proc/{process}/task").iterdir()
    return sum(int((task / "schedstat").read_text().split()[0]) for task in tasks) / NS_PER_S


def status_mb(process: int, key: str) -> float:
    for line in Path(f"/proc/{process}/status").read_text().splitlines():
        if line.startswith(f"{key}:"):
            return int(line.split()[1]) / KIB_PER_MB
    raise NoAnswer(f"/proc/{process}/status has no {key}")


def free_ports(count: int) -> list[int]:
    """Loopback ports that nothing listens on now."""
    sockets = [socket.socket() for _ in range(count)]
    try:
        for one in sockets:
            one.bind(("127.0.0.1", 0))
        return [one.getsockname()[1] for one in sockets]
    finally:
        for one in sockets:
            one.close()
