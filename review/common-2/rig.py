"""Stand-ins on loopback for one balancer: nodes, discovery's agent, the platform, clients; and the balancer itself.

Written from the users' pages, with the standard library alone. All of them run in one event loop, so the times in
the record are of one monotonic clock. Stand-ins answer at once and correctly unless a case tells them otherwise.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import logging
import os
import signal
import socket
import struct
import subprocess
import sys
import tempfile
import time
import tomllib
import weakref
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2
STARTUP = struct.pack("!ii", 8 + len(b"user\0portal\0database\0crm\0\0"), 196608) + b"user\0portal\0database\0crm\0\0"


WRITERS: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()  # of all connections


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


def trouble() -> bool:
    """Whether the disruption is to be played."""
    return os.environ.get("TROUBLE", "1") != "0"


def message(tag: bytes, body: bytes = b"") -> bytes:
    return tag + struct.pack("!i", 4 + len(body)) + body


READY = message(b"Z", b"I")
WELCOME = message(b"R", struct.pack("!i", 0)) + READY


def row(value: bytes, words: bytes) -> bytes:
    """A result of one binary value."""
    column = b"\0\1data\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1)
    return (
        message(b"T", column)
        + message(b"D", struct.pack("!hi", 1, len(value)) + value)
        + message(b"C", words + b"\0")
        + READY
    )


def error(code: bytes, text: bytes = b"stand-in") -> bytes:
    return message(b"E", b"SERROR\0VERROR\0C" + code + b"\0M" + text + b"\0\0") + READY


def code_of(body: bytes) -> str:
    for field in body.split(b"\0"):
        if field[:1] == b"C":
            return field[1:].decode()
    return "?"


class Record:
    """What was sent, answered and run, with seconds since the start."""

    def __init__(self, folder: Path) -> None:
        self.began = time.monotonic()
        self.file = open(folder / "record.txt", "w", buffering=1)

    def __call__(self, text: str, at: float | None = None) -> None:
        self.file.write(f"{(at or time.monotonic()) - self.began:9.4f} {text}\n")


def field(text: str, name: str) -> str:
    for pair in text.rpartition("/*")[2].rpartition("*/")[0].split(","):
        key, _, value = pair.strip().partition("=")
        if key == name:
            return value
    return ""


class Attempt:
    """One statement that a node got whole."""

    def __init__(self, node: str, build: int, text: str, first: float, last: float) -> None:
        self.node, self.build, self.text, self.first, self.last = node, build, text, first, last
        self.id, self.method = field(text, "id"), field(text, "c")


class Node:
    """A node: welcomes at once, answers each statement with a row after `delay_s`."""

    def __init__(self, rig: Rig, name: str, build: int, delay_s: float, up_since_ms: float = 0) -> None:
        self.rig, self.name, self.build, self.delay_s, self.up_since_ms = rig, name, build, delay_s, up_since_ms
        self.phase, self.zone = "active", "a"
        self.server: asyncio.Server | None = None
        self.port = 0
        self.answers = None  # a function of the attempt that gives (delay_s, bytes or None for a reset)

    async def start(self, port: int = 0) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", port, limit=1 << 20)
        self.port = self.server.sockets[0].getsockname()[1]

    def member(self) -> dict:
        return {
            "id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone, "flavor": "std", "cell": 0,
            "phase": self.phase, "size": 1.0, "up_since_ms": self.up_since_ms, "revision_no": self.build,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        WRITERS.add(writer)
        try:
            (length,) = struct.unpack("!i", await reader.readexactly(4))
            await reader.readexactly(length - 4)
            writer.write(WELCOME)
            while True:
                tag = await reader.readexactly(1)
                first = time.monotonic()
                (length,) = struct.unpack("!i", await reader.readexactly(4))
                body = await reader.readexactly(length - 4)
                if tag != b"Q":
                    return
                text = body.rstrip(b"\0").decode()
                word = text.strip(" ;\n").split(" ")[0].upper()
                if not word:
                    writer.write(message(b"I") + READY)
                    continue
                if word in ("SET", "RESET", "DISCARD"):
                    writer.write(message(b"C", word.encode() + b"\0") + READY)
                    continue
                if not field(text, "id"):
                    writer.write(row(b"1", b"SELECT 1"))
                    continue
                attempt = Attempt(self.name, self.build, text, first, time.monotonic())
                self.rig.attempts.append(attempt)
                self.rig.record(f"node {self.name} build {self.build} runs {attempt.id} {attempt.method}", first)
                delay_s = self.delay_s
                words = b"INSERT 0 1" if word == "INSERT" else b"SELECT 1"
                answer = row(f"{attempt.id}@{self.name}".encode(), words)
                if self.answers is not None:
                    delay_s, answer = self.answers(attempt, answer)
                await asyncio.sleep(delay_s)
                if answer is None:
                    return
                writer.write(answer)
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


async def read_call(reader: asyncio.StreamReader) -> tuple[str, str, bytes]:
    head = await reader.readuntil(b"\r\n\r\n")
    method, target, _ = head.split(b"\r\n")[0].decode().split()
    size = 0
    for line in head.lower().split(b"\r\n"):
        if line.startswith(b"content-length:"):
            size = int(line[15:])
    return method, target, await reader.readexactly(size)


def http_answer(status: int, body: object) -> bytes:
    text = json.dumps(body).encode()
    return f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(text)}\r\n\r\n".encode() + text


class Discovery:
    """The agent on the balancer's machine: answers at once, and a watch as soon as there is something newer."""

    def __init__(self, rig: Rig) -> None:
        self.rig, self.revision = rig, 41
        self.changes: list[tuple[int, dict]] = []
        self.changed = asyncio.Event()
        self.told: dict[str, float] = {}  # when a change of a node was first written to the balancer
        self.watches = 0  # that wait now
        self.calls: list[float] = []  # when each came
        self.writers: weakref.WeakSet[asyncio.StreamWriter] = weakref.WeakSet()
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def go_down(self) -> None:
        """Its process dies: connections are reset, new ones refused."""
        self.server.close()
        for writer in self.writers:
            writer.transport.abort()
        self.rig.record("discovery is down")

    async def come_back(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", self.port)
        self.rig.record(f"discovery is back, revision {self.revision}")

    def listing(self) -> dict:
        members = [node.member() for node in self.rig.nodes.values() if node.phase != "left"]
        return {"revision": self.revision, "complete": True, "members": members}

    def change(self, node: Node, phase: str) -> None:
        node.phase = phase
        self.revision += 1
        self.changes.append((self.revision, node.member()))
        self.changed.set()
        self.changed = asyncio.Event()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        WRITERS.add(writer)
        self.writers.add(writer)
        try:
            while True:
                _, target, _ = await read_call(reader)
                self.calls.append(time.monotonic())
                self.rig.record(f"discovery is asked {target}")
                if "?" not in target:
                    writer.write(http_answer(200, self.listing()))
                    for node in self.rig.nodes.values():
                        self.told.setdefault(f"{node.name} {node.phase}", time.monotonic())
                    continue
                query = dict(pair.split("=") for pair in target.partition("?")[2].split("&"))
                after, until = int(query["after"]), time.monotonic() + int(query["wait_ms"]) / 1000
                if after >= self.revision:
                    self.watches += 1
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.changed.wait(), until - time.monotonic())
                    self.watches -= 1
                if writer.transport.is_closing():
                    return
                latest = {one["id"]: one for revision, one in self.changes if revision > after}
                writer.write(
                    http_answer(200, {"revision": self.revision, "complete": False, "members": list(latest.values())})
                )
                for name, one in latest.items():
                    self.told.setdefault(f"{name} {one['phase']}", time.monotonic())
                    self.rig.record(f"discovery writes {name} {one['phase']} revision {self.revision}")
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            writer.close()


class Platform:
    """The platform: the feed, and an answer to each vote. `on_vote`, if set, takes over the answer to a vote."""

    def __init__(self, rig: Rig, build: int, step: int, status: str, cap: float) -> None:
        self.rig = rig
        self.set(build, step, status, cap)
        self.feeds: set[asyncio.StreamWriter] = set()
        self.on_vote = None
        self.votes = 0
        self.port = 0

    def set(self, build: int, step: int, status: str, cap: float) -> None:
        self.build, self.step, self.status, self.cap, self.since = build, step, status, cap, time.monotonic()

    def state(self) -> dict:
        return {
            "version": self.build, "step": self.step, "status": self.status, "maxWeight": self.cap,
            "observedAgoMs": round(1000 * (time.monotonic() - self.since)),
        }  # fmt: skip

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def write_line(self, writer: asyncio.StreamWriter, one: dict) -> None:
        line = json.dumps(one).encode() + b"\n"
        writer.write(f"{len(line):x}\r\n".encode() + line + b"\r\n")

    def tell(self) -> None:
        """Write the state to every feed."""
        for writer in self.feeds:
            self.write_line(writer, {"type": "ROLLOUT", "object": self.state()})
        self.rig.record(f"platform writes on {len(self.feeds)} feeds {json.dumps(self.state())}")

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        WRITERS.add(writer)
        try:
            while True:
                _, target, body = await read_call(reader)
                if target == "/api/feed":
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    self.write_line(writer, {"type": "ROLLOUT", "object": self.state()})
                    self.feeds.add(writer)
                    news_at = time.monotonic() + self.rig.news_period_s
                    while not reader.at_eof():
                        with contextlib.suppress(TimeoutError):
                            await asyncio.wait_for(reader.read(1), 1.0)
                        self.write_line(writer, {})
                        if time.monotonic() >= news_at:
                            news_at += self.rig.news_period_s
                            self.write_line(writer, {"type": "ROLLOUT", "object": self.state()})
                            self.rig.record(f"platform repeats on a feed {json.dumps(self.state())}")
                    return
                self.votes += 1
                self.rig.record(f"platform hears the vote {body.decode()}")
                if self.on_vote is not None:
                    await self.on_vote(json.loads(body), writer)
                else:
                    writer.write(http_answer(200, self.state()))
        except (asyncio.IncompleteReadError, ConnectionError):
            pass
        finally:
            self.feeds.discard(writer)
            writer.close()


class Answer:
    """The final answer of a request: `word` is ok, refused, failed, closed or none."""

    def __init__(self, word: str, code: str, value: bytes, at: float) -> None:
        self.word, self.code, self.value, self.at = word, code, value, at


class ClientConnection:
    """One client connection, one request at a time."""

    def __init__(self, rig: Rig) -> None:
        self.rig = rig

    async def open(self) -> ClientConnection:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.rig.listen_port)
        WRITERS.add(self.writer)
        self.writer.write(STARTUP)
        return self

    async def welcome(self) -> None:
        while (await self.read_message())[0] != b"Z":
            pass

    async def read_message(self) -> tuple[bytes, bytes]:
        tag = await self.reader.readexactly(1)
        (length,) = struct.unpack("!i", await self.reader.readexactly(4))
        return tag, await self.reader.readexactly(length - 4)

    def send(self, statement: str) -> None:
        self.writer.write(message(b"Q", statement.encode() + b"\0"))

    async def answer(self) -> Answer:
        word, code, value = "none", "", b""
        try:
            while True:
                tag, body = await self.read_message()
                if tag == b"D":
                    value = body[6:]
                elif tag == b"C" and word == "none":
                    word = "ok"
                elif tag == b"E":
                    code = code_of(body)
                    word = "refused" if code in ("53300", "57P03") else "failed"
                elif tag == b"I":
                    word = "empty"
                elif tag == b"Z":
                    return Answer(word, code, value, time.monotonic())
        except (asyncio.IncompleteReadError, ConnectionError):
            return Answer(word if word in ("refused", "failed") else "closed", code, value, time.monotonic())

    def close(self) -> None:
        self.writer.close()


class Rig:
    """All parties of one balancer."""

    def __init__(
        self, folder: Path, settings: dict | None = None, sockets: int = 1024, memory_mb: int = 192, seed: str = "8c1f30d27a5be964", record: Record | None = None,
    ) -> None:  # fmt: skip
        self.record = record or Record(folder)
        self.seed = seed
        self.attempts: list[Attempt] = []
        self.nodes: dict[str, Node] = {}
        self.discovery = Discovery(self)
        self.platform = Platform(self, 7, 1, "Healthy", 1.0)
        self.settings = base_settings()
        for path, value in (settings or {}).items():
            target, *names = self.settings, *path.split(".")
            for name in names[:-1]:
                target = target[name]
            target[names[-1]] = value
        self.news_period_s = self.settings["familyInfo"]["newsPeriodUs"] / 1e6
        self.limits = {"cores": 1.0, "memory_mb": memory_mb, "sockets": sockets}
        self.asked = 0
        self.process: subprocess.Popen | None = None
        self.helpers: list[subprocess.Popen] = []
        self.others: list[Rig] = []  # further balancers of the case
        self.lag_s = 0.0  # the most that this process was late itself; a case adds it to its bounds
        self.temporary = tempfile.TemporaryDirectory()

    async def add_nodes(self, count: int, build: int, delay_s: float, prefix: str = "s") -> None:
        for number in range(count):
            node = Node(self, f"{prefix}-{number}", build, delay_s)
            await node.start()
            self.nodes[node.name] = node

    async def start(self) -> None:
        """Start discovery, the platform and the balancer, and wait until it answers an empty query."""
        await self.discovery.start()
        await self.platform.start()
        await self.start_balancer()

    async def start_balancer(self) -> None:
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", 0))
            self.listen_port = probe.getsockname()[1]
        folder = Path(self.temporary.name)
        self.configuration = folder / "config.json"
        self.configuration.write_text(json.dumps({
            "name": "n1", "listen": f"127.0.0.1:{self.listen_port}", "discovery": f"127.0.0.1:{self.discovery.port}",
            "seed": self.seed, "limits": self.limits,
            "deployer": {"address": f"127.0.0.1:{self.platform.port}", "news": self.platform.state()},
            "known": self.discovery.listing(), "settings": self.settings,
        }))  # fmt: skip
        command = tomllib.loads((ROOT / "deploy/balancer.toml").read_text())["run"]
        private = folder / "tmp"
        private.mkdir(exist_ok=True)
        environment = dict(os.environ, PROXY_CONFIG=str(self.configuration), TMPDIR=str(private), PROXY_NAME="n1")
        self.log = open(folder / "log", "ab")
        self.process = subprocess.Popen(["/bin/sh", "-c", command], cwd=ROOT, env=environment, stderr=self.log, stdout=self.log)
        self.record(f"balancer started as process {self.process.pid}")
        until = time.monotonic() + 20
        while True:
            if self.process.poll() is not None or time.monotonic() > until:
                raise CannotRun(f"the balancer did not start: {(folder / 'log').read_text()[-500:]}")
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                connection = await ClientConnection(self).open()
                connection.send("")
                await connection.welcome()
                answer = await connection.answer()
                connection.close()
                if answer.word == "empty":
                    break
            await asyncio.sleep(0.05)
        self.record("balancer answers")

    def statement(self, method: str, wait_ms: float, write: bool = False, request_id: str = "") -> tuple[str, str]:
        self.asked += 1
        request_id = request_id or f"r{self.asked:06d}"
        key = f"{self.asked:016x}"
        comment = f"/* id={request_id},c={method},d={round(wait_ms)} */"
        if write:
            return request_id, f"INSERT INTO facts (code, data) VALUES ('{key}', '\\x9f03') RETURNING data {comment}"
        return request_id, f"SELECT data FROM facts WHERE code = '{key}' {comment}"

    def signal(self, number: int) -> None:
        self.process.send_signal(number)
        self.record(f"signal {signal.Signals(number).name} to the balancer")

    def balancer_log(self) -> str:
        return (Path(self.temporary.name) / "log").read_text()

    async def watch_lag(self) -> None:
        """Measure how late this process is, without end."""
        while True:
            began = time.monotonic()
            await asyncio.sleep(0.01)
            self.lag_s = max(self.lag_s, time.monotonic() - began - 0.01)

    def helper(self, *command: str) -> subprocess.Popen:
        """Start a stand-in as a process of its own."""
        self.helpers.append(subprocess.Popen([sys.executable, *command], stdout=subprocess.DEVNULL))
        return self.helpers[-1]

    def stop(self) -> None:
        """End all that was started."""
        for other in self.others:
            other.stop()
        for helper in self.helpers:
            if helper.poll() is None:
                helper.kill()
            helper.wait()
        if self.process is not None and self.process.poll() is None:
            with contextlib.suppress(OSError):
                self.process.send_signal(signal.SIGCONT)
            self.process.kill()
            self.process.wait()
        if self.process is not None:
            for line in self.balancer_log().splitlines()[-200:]:
                self.record(f"log: {line}")
        self.temporary.cleanup()


def base_settings() -> dict:
    """Settings like those of a small deployment: idempotent `posti`, non-idempotent `immatricola`."""
    method = {
        "aimUs": 1000000, "dedupScope": "all", "hardLimitUs": 3000000, "lateWorth": 0.0, "stream": False,
        "windowUs": 5000000, "worth": 1.0,
    }  # fmt: skip
    return {
        "allowed": {
            "cancel": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeoutUs": 250000,
            "keepaliveUs": 30000000, "maxRetryAfterUs": 2000000, "maxStreams": 1, "mostHeld": 20000, "peers": False,
            "probes": True, "retryAfter": True, "secondCopies": True, "sendCap": 6,
        },
        "balancers": 2,
        "classes": [
            {**method, "name": "posti", "idempotency": "read_like"},
            {**method, "name": "immatricola", "idempotency": "non_idempotent"},
        ],
        "familyInfo": {
            "answerWaitUs": 2000000, "ballotTtlUs": 6000000, "blastPrice": 5.0, "capScope": "all",
            "complaintShare": 0.0, "countedOverUs": 4000000, "delayPrice": 0.45,
            "exposureCaps": [0.042, 0.168, 0.56, 1.0], "forwardOnly": False, "gateMode": "any", "guardedStages": 0,
            "holdVotes": 0, "metricsPeriodUs": 0, "minDwellUs": 1500000, "movesAfterUs": 0, "newsPeriodUs": 4000000,
            "replaceMode": "in_place", "sample": 0.4, "stageShare": [0.03, 0.12, 0.4, 1.0], "toAbort": 1,
            "toAdvance": 1, "uncounted": 3.0, "voteAllowance": 15.0, "warmKeys": False,
        },
        "fees": {"crossZone": 0.0, "waste": 0.05, "probe": 0.01, "lateFail": 0.08},
        "guarantees": {
            "answerSlackUs": 20000, "askWithinUs": 10000000, "coldShare": 0.32, "drainGraceUs": 250000,
            "fallMultiple": 2.5, "tipAfterUs": 2000000, "warmWithinUs": 4500000,
        },
        "myZone": 0, "ordinal": 0, "overShareWorth": 0.1, "registryMode": "push",
        "report": {"fields": [], "via": "off"}, "skus": ["std"], "tenants": [], "tickUs": 5000,
        "zones": ["a", "b"],
    }  # fmt: skip


def play(folder: Path, rig: Rig, case) -> None:
    """Play a case, end what it started, and exit with its verdict."""
    logging.getLogger("asyncio").setLevel(logging.CRITICAL)
    for number in (signal.SIGTERM, signal.SIGINT):
        signal.signal(number, lambda *_: sys.exit(NOT_RUN))

    async def limited() -> int:
        lag = asyncio.create_task(rig.watch_lag())
        try:
            return await asyncio.wait_for(case(rig), 100)
        finally:
            lag.cancel()
            others = asyncio.all_tasks() - {asyncio.current_task()}
            for task in others:
                task.cancel()
            await asyncio.gather(*others, return_exceptions=True)
            for writer in list(WRITERS):
                writer.transport.abort()
            await asyncio.sleep(0.1)

    verdict = NOT_RUN
    try:
        verdict = asyncio.run(limited())
    except (CannotRun, OSError, TimeoutError) as reason:
        say(rig, f"could not run: {type(reason).__name__} {reason}")
    finally:
        rig.stop()
    say(rig, f"verdict {verdict}; this process was late by {rig.lag_s * 1000:.0f} ms at most")
    sys.exit(verdict)


def say(rig: Rig, text: str) -> None:
    """Write to the record and to standard output."""
    rig.record(text)
    print(text, flush=True)
