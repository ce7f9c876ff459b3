"""Stand-ins on loopback for the cases of the review: nodes, discovery, the platform and clients, by the protocol page.

Only the standard library is used. The balancers are started by the command `run` of deploy/balancer.toml, each as a
process of its own. All parties share the monotonic clock of the machine.
"""

from __future__ import annotations

import asyncio
import contextlib
import json
import os
import random
import re
import shutil
import signal
import socket
import struct
import sys
import tempfile
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parents[2]
HELD, BROKEN, COULD_NOT_RUN = 0, 1, 2
now = time.monotonic


class CannotRun(Exception):
    """The case could not be played; nothing is said about the rule."""


# --- the record ---


class Record:
    """What was sent, answered and run, with the time since the start."""

    def __init__(self, folder: Path):
        self.began = now()
        self.file = (folder / "record.txt").open("w", encoding="utf-8")

    def line(self, text: str, at: float | None = None) -> None:
        self.file.write(f"{(now() if at is None else at) - self.began:9.4f} {text}\n")

    def say(self, text: str) -> None:
        self.line(text)
        print(text, flush=True)


# --- PostgreSQL's protocol, version 3 ---


def message(tag: bytes, body: bytes = b"") -> bytes:
    return tag + struct.pack("!i", 4 + len(body)) + body


READY = message(b"Z", b"I")
WELCOME = message(b"R", struct.pack("!i", 0)) + message(b"K", bytes(8)) + READY
STARTUP_BODY = struct.pack("!i", 196608) + b"user\0portal\0database\0crm\0\0"
STARTUP = struct.pack("!i", 4 + len(STARTUP_BODY)) + STARTUP_BODY
COLUMN = message(b"T", b"\0\1data\0" + struct.pack("!ihihih", 0, 0, 17, -1, -1, 1))
FULL = message(b"E", b"SERROR\0VERROR\0C53300\0Mqueue full\0\0") + READY
COMMENT = re.compile(rb"/\*([^*]*)\*/")


def query(text: bytes) -> bytes:
    return message(b"Q", text + b"\0")


def row(value: bytes, is_write: bool) -> bytes:
    data = message(b"D", b"\0\1" + struct.pack("!i", len(value)) + value)
    return COLUMN + data + message(b"C", b"INSERT 0 1\0" if is_write else b"SELECT 1\0") + READY


def comment_of(text: bytes) -> dict[str, str]:
    found = COMMENT.search(text[-512:])
    pairs = found.group(1).decode().split(",") if found else []
    return {name.strip(): value.strip() for name, _, value in (pair.partition("=") for pair in pairs)}


async def read_message(reader: asyncio.StreamReader) -> tuple[bytes, bytes]:
    head = await reader.readexactly(5)
    return head[:1], await reader.readexactly(struct.unpack("!i", head[1:])[0] - 4)


async def read_startup(reader: asyncio.StreamReader) -> None:
    await reader.readexactly(struct.unpack("!i", await reader.readexactly(4))[0] - 4)


# --- nodes ---


class Run:
    """One query that came whole to a node."""

    def __init__(self, node: str, name: str, first: float, last: float, told_ms: float, method: str):
        self.node, self.name, self.first, self.last, self.told_ms, self.method = node, name, first, last, told_ms, method


class Node:
    """A node: begins a query when its last byte has come and answers after its work.

    `first` of a run is when the first byte of the query was read, not earlier than it came.
    """

    def __init__(self, record: Record, name: str, build: int, zone: str, work_s: float = 0.15):
        self.record, self.name, self.build, self.zone, self.work_s = record, name, build, zone, work_s
        self.phase = "active"
        self.started_ms = 0  # Unix time; 0: long ago
        self.runs: list[Run] = []
        self.hangs = False
        self.value = b"\x9f\x03"
        self.port = 0

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0, limit=1 << 20, backlog=1024)
        self.port = self.server.sockets[0].getsockname()[1]

    def entry(self) -> dict:
        return {
            "id": self.name, "host_port": f"127.0.0.1:{self.port}", "locality": self.zone, "flavor": "std-4",
            "cell": 0, "phase": self.phase, "size": 1.0, "up_since_ms": self.started_ms, "revision_no": self.build,
        }  # fmt: skip

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError):
            await read_startup(reader)
            writer.write(WELCOME)
            while True:
                head = await reader.readexactly(1)
                first = now()
                body = await reader.readexactly(struct.unpack("!i", await reader.readexactly(4))[0] - 4)
                last = now()
                if head == b"X":
                    break
                text = body[:-1]
                if head != b"Q":
                    break
                if not text.strip(b" ;"):
                    writer.write(message(b"I") + READY)
                elif text[:3].upper() == b"SET":
                    writer.write(message(b"C", b"SET\0") + READY)
                elif text.startswith(b"SELECT 1"):
                    writer.write(row(b"1", False))
                else:
                    await self.run(text, first, last, writer)
        writer.close()

    async def run(self, text: bytes, first: float, last: float, writer: asyncio.StreamWriter) -> None:
        said = comment_of(text)
        run = Run(self.name, said.get("id", ""), first, last, float(said.get("d", 0)), said.get("c", ""))
        self.runs.append(run)
        self.record.line(f"{self.name} (build {self.build}) runs {run.method} {run.name}, told d={run.told_ms:.0f}", last)
        if self.hangs:
            await asyncio.sleep(3600)
        await asyncio.sleep(self.work_s)
        writer.write(row(self.value, text[:6].upper() == b"INSERT"))


# --- HTTP ---


async def read_call(reader: asyncio.StreamReader) -> tuple[str, str, bytes]:
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    method, target, _ = head.split("\r\n")[0].split()
    length = re.search(r"content-length:\s*(\d+)", head, re.IGNORECASE)
    return method, target, await reader.readexactly(int(length.group(1)) if length else 0)


def response(status: int, body: object) -> bytes:
    data = json.dumps(body).encode()
    return f"HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {len(data)}\r\n\r\n".encode() + data


class Discovery:
    """The agent: answers at once with what it has; a watch waits for a change."""

    def __init__(self, record: Record, nodes: list[Node]):
        self.record, self.nodes, self.revision = record, nodes, 41
        self.changed: list[tuple[int, Node]] = []
        self.news = asyncio.Condition()
        self.told: dict[str, float] = {}  # by node: when its last change was written to the first watch that got it
        self.changes: dict[str, float] = {}

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]

    def listing(self, nodes: list[Node], complete: bool) -> dict:
        return {"revision": self.revision, "complete": complete, "members": [node.entry() for node in nodes]}

    async def change(self, nodes: list[Node], phase: str) -> None:
        async with self.news:
            for node in nodes:
                self.revision += 1
                node.phase = phase
                self.changed.append((self.revision, node))
                self.record.line(f"discovery: {node.name} is {phase}, revision {self.revision}")
            self.news.notify_all()

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with contextlib.suppress(OSError, EOFError, asyncio.CancelledError, asyncio.IncompleteReadError):
            while True:
                _, target, _ = await read_call(reader)
                found = re.search(r"after=(\d+)&wait_ms=(\d+)", target)
                if not found:
                    writer.write(response(200, self.listing(self.nodes, True)))
                    await writer.drain()
                    continue
                after, wait_s = int(found.group(1)), min(60.0, int(found.group(2)) / 1000.0)
                with contextlib.suppress(TimeoutError):
                    async with self.news:
                        await asyncio.wait_for(self.news.wait_for(lambda: self.revision > after), wait_s)
                changed = list(dict.fromkeys(node for revision, node in self.changed if revision > after))
                writer.write(response(200, self.listing(changed, False)))
                await writer.drain()
                if changed:
                    peer = writer.get_extra_info("peername")
                    self.record.line(f"discovery: told {[(node.name, node.phase) for node in changed]} on {peer}")
                    for node in changed:
                        self.told[node.name] = max(now(), self.told.get(node.name, 0.0))


class Platform:
    """The platform: a feed with a sign of life each second, and votes.

    A vote for the present build and stage counts and is answered with the state; what it changes is up to `on_vote`.
    """

    def __init__(self, record: Record, state: dict, period_s: float = 4.0):
        self.record, self.state, self.since, self.period_s = record, state, now() - 60.0, period_s
        self.feeds: dict[asyncio.StreamWriter, str] = {}
        self.told: float = 0.0
        self.on_vote = None  # called with a vote that counts, before it is answered
        self.call_s = 0.1  # the bench's page: call_ms = [30,200]

    async def start(self) -> None:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        self.port = self.server.sockets[0].getsockname()[1]
        self.ticker = asyncio.create_task(self.tick())

    def news(self) -> dict:
        return {**self.state, "observedAgoMs": round((now() - self.since) * 1000.0)}

    @staticmethod
    def chunk(item: object) -> bytes:
        data = json.dumps(item).encode() + b"\n"
        return f"{len(data):x}\r\n".encode() + data + b"\r\n"

    async def tell(self) -> None:
        for writer in list(self.feeds):
            with contextlib.suppress(OSError):
                writer.write(self.chunk({"type": "ROLLOUT", "object": self.news()}))
                await writer.drain()
        self.told = now()  # the next time, without a change, a period later

    async def change(self, **fields: object) -> None:
        self.state, self.since = {**self.state, **fields}, now()
        await self.tell()
        self.record.line(f"platform: told {self.state} on {len(self.feeds)} feeds")

    async def tick(self) -> None:
        self.told = now()
        while True:
            await asyncio.sleep(1.0)
            if now() - self.told >= self.period_s:
                await self.tell()
            for writer in list(self.feeds):
                with contextlib.suppress(OSError):
                    writer.write(self.chunk({}))

    async def serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                method, target, body = await read_call(reader)
                if method == "GET" and target == "/api/feed":
                    writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
                    writer.write(self.chunk({"type": "ROLLOUT", "object": self.news()}))
                    self.feeds[writer] = ""
                    await reader.read(1)
                    return
                vote = json.loads(body)
                self.record.line(f"platform: vote {vote}")
                is_present = (vote["version"], vote["step"]) == (self.state["version"], self.state["step"])
                counts = is_present and self.state["status"] in ("Progressing", "Healthy")
                if counts and self.on_vote is not None:
                    await self.on_vote(vote["vote"])
                answer = response(200, self.news()) if counts else response(409, {"error": "STALE"})
                await asyncio.sleep(self.call_s)
                writer.write(answer)
                await writer.drain()
                self.record.line(f"platform: vote answered {'as ' + str(self.state) if counts else 'STALE'}")
        except (OSError, EOFError, asyncio.CancelledError, ValueError):
            pass
        finally:
            self.feeds.pop(writer, None)
            writer.close()


# --- balancers ---


def free_port() -> int:
    with socket.socket() as probe:
        probe.bind(("127.0.0.1", 0))
        return probe.getsockname()[1]


class Balancer:
    """One balancer, started by the deploy file's `run`."""

    def __init__(self, record: Record, name: str, folder: Path, settings: dict, limits: dict, discovery, platform):
        self.record, self.name, self.folder, self.port = record, name, folder, free_port()
        self.tmp = folder / name
        self.tmp.mkdir()
        self.configuration = {
            "name": name, "listen": f"127.0.0.1:{self.port}", "discovery": f"127.0.0.1:{discovery.port}",
            "seed": os.urandom(8).hex(), "limits": limits,
            "deployer": {"address": f"127.0.0.1:{platform.port}", "news": platform.news()},
            "known": discovery.listing(discovery.nodes, True), "settings": settings,
        }  # fmt: skip
        self.path = folder / f"{name}.json"
        self.process: asyncio.subprocess.Process | None = None
        self.ended_early = False

    async def start(self) -> None:
        self.path.write_text(json.dumps(self.configuration))
        with (ROOT / "deploy/balancer.toml").open("rb") as file:
            run = tomllib.load(file)["run"]
        environment = {
            **os.environ, "PROXY_CONFIG": str(self.path), "PROXY_NAME": self.name, "TMPDIR": str(self.tmp),
            "PROXY_LISTEN": self.configuration["listen"], "PROXY_DISCOVERY": self.configuration["discovery"],
        }  # fmt: skip
        self.log = (self.folder / f"{self.name}.log").open("wb")
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environment, stdout=self.log, stderr=self.log, start_new_session=True
        )
        for _ in range(300):
            if self.process.returncode is not None:
                raise CannotRun(f"{self.name} ended with {self.process.returncode}: {self.read_log()[-500:]}")
            with contextlib.suppress(OSError, EOFError):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
                writer.write(STARTUP + query(b""))
                tag = b""
                while tag != b"I":
                    tag, _ = await read_message(reader)
                writer.close()
                self.record.line(f"{self.name} is ready, process {self.process.pid}")
                return
            await asyncio.sleep(0.1)
        raise CannotRun(f"{self.name} is not ready")

    def send_signal(self, number: signal.Signals) -> float:
        self.record.line(f"{number.name} to {self.name}")
        os.kill(self.process.pid, number)
        return now()

    def read_log(self) -> str:
        return (self.folder / f"{self.name}.log").read_text(errors="replace")

    async def stop(self) -> None:
        if self.process is None:
            return
        for number, wait_s in ((signal.SIGCONT, 0.0), (signal.SIGTERM, 6.0), (signal.SIGKILL, 5.0)):
            if self.process.returncode is None:
                with contextlib.suppress(ProcessLookupError):
                    self.process.send_signal(number)
                if wait_s:
                    with contextlib.suppress(TimeoutError):
                        await asyncio.wait_for(self.process.wait(), wait_s)
        self.log.close()
        for line in self.read_log().splitlines():
            self.record.file.write(f"   log    {line}\n")


# --- clients ---


class Client:
    """One client connection: asks one query at a time and keeps its connection until it gives up."""

    def __init__(self, record: Record, balancer: Balancer):
        self.record, self.balancer = record, balancer
        self.sent_at = self.closed_at = self.answered_at = 0.0

    async def connect(self) -> None:
        self.reader, self.writer = await asyncio.open_connection("127.0.0.1", self.balancer.port, limit=1 << 20)
        self.writer.write(STARTUP)
        while (await read_message(self.reader))[0] != b"Z":
            pass

    async def ask(self, name: str, method: str, wait_ms: float, is_write: bool, code: str = "", timeout_s: float = 0.0) -> str:
        """Ask, and return the answer's SQLSTATE, `ok`, or `given up` after the time, when the connection is closed."""
        comment = f"/* id={name},c={method},d={wait_ms:.0f} */"
        if is_write:
            text = f"INSERT INTO facts (code, data) VALUES ('{code or name}', '\\x9f03') RETURNING data {comment}"
        else:
            text = f"SELECT data FROM facts WHERE code = '{code or name}' {comment}"
        self.writer.write(query(text.encode()))
        self.sent_at = now()
        self.record.line(f"client: {method} {name}, d={wait_ms:.0f}, to {self.balancer.name}")
        try:
            answer = await asyncio.wait_for(self.read_answer(), timeout_s or wait_ms / 1000.0)
        except (TimeoutError, OSError, EOFError) as error:
            answer = "given up" if isinstance(error, TimeoutError) else f"ended: {type(error).__name__}"
            self.close()
        self.answered_at = now()
        self.record.line(f"client: {name}: {answer}")
        return answer

    async def read_answer(self) -> str:
        answer = ""
        while True:
            tag, body = await read_message(self.reader)
            if tag == b"E":
                answer = next(field[1:] for field in body.split(b"\0") if field[:1] == b"C").decode()
            elif tag == b"C":
                answer = "ok"
            elif tag == b"Z":
                return answer

    def close(self) -> None:
        self.writer.close()
        self.closed_at = now()


# --- settings like those of a small deployment ---


def small_settings(ordinal: int = 0, balancers: int = 3) -> dict:
    """The example of the page on the simulator's wire: three methods, two zones, four waves."""

    def method(name: str, soft_ms: int, hard_ms: int, repeat: str, worth: float) -> dict:
        return {
            "aimUs": soft_ms * 1000, "dedupScope": "all", "hardLimitUs": hard_ms * 1000, "idempotency": repeat,
            "lateWorth": 0.0, "name": name, "stream": False, "windowUs": 5000000, "worth": worth,
        }  # fmt: skip

    return {
        "allowed": {
            "cancel": True, "cpuUsPerRequest": 0.0, "cpuUsPerS": 400000, "dialTimeoutUs": 250000,
            "keepaliveUs": 30000000, "maxRetryAfterUs": 2000000, "maxStreams": 1, "mostHeld": 20000, "peers": False,
            "probes": True, "retryAfter": True, "secondCopies": True, "sendCap": 6,
        },
        "balancers": balancers,
        "classes": [
            method("posti", 1200, 3000, "read_like", 2.0),
            method("scheda", 1000, 4000, "read_like", 1.0),
            method("immatricola", 1000, 3000, "non_idempotent", 3.0),
        ],
        "clients": {"marksRetry": False},
        "familyInfo": {
            "answerWaitUs": 2000000, "ballotTtlUs": 6000000, "blastPrice": 5.0, "capScope": "all",
            "complaintShare": 0.0, "countedOverUs": 4000000, "delayPrice": 0.45,
            "exposureCaps": [0.042, 0.168, 0.56, 1.0], "forwardOnly": False, "gateMode": "any", "guardedStages": 0,
            "holdVotes": 0, "metricsPeriodUs": 2000000, "minDwellUs": 1500000, "movesAfterUs": 0,
            "newsPeriodUs": 4000000, "replaceMode": "in_place", "sample": 0.4,
            "stageShare": [0.03, 0.12, 0.4, 1.0], "toAbort": 1, "toAdvance": 1, "uncounted": 3.0,
            "voteAllowance": 15.0, "warmKeys": False,
        },
        "fees": {
            "connection": 0.0, "crossZone": 0.01, "handshake": 0.0, "lateFail": 0.08, "moves": 0.0, "origin": 0.0,
            "peer": 0.0, "probe": 0.01, "registryMode": 0.0, "waste": 0.05,
        },
        "goal": {"tailPart": 0.2, "tailSlack": 0.02, "whole": 0.4, "worstClass": 0.2, "worstTenant": 0.0,
                 "worstWindow": 0.2},
        "guarantees": {
            "answerSlackUs": 20000, "askWithinUs": 10000000, "coldShare": 0.32, "drainGraceUs": 250000,
            "fallMultiple": 2.5, "tipAfterUs": 2000000, "warmWithinUs": 4500000,
        },
        "myZone": ordinal % 2, "ordinal": ordinal, "overShareWorth": 0.1, "registryMode": "push",
        "report": {"fields": [], "via": "off"}, "serviceType": "rollout", "skus": ["std-4"], "tenants": [],
        "tickUs": 5000, "tier": 0, "tiers": ["iscr-backend"], "weightKind": "nominal", "worthBy": "work",
        "zones": ["palermo-1", "catania-1"],
    }  # fmt: skip


LIMITS = {"cores": 1.0, "memory_mb": 192, "sockets": 1024}


class Site:
    """Nodes, discovery, the platform and balancers of one case; ends all that it started."""

    def __init__(self, folder: Path, builds: list[int], state: dict, limits: dict = LIMITS, played: int = 2):
        self.record = Record(folder)
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.limits, self.played = limits, played
        zones = ("palermo-1", "catania-1")
        self.nodes = [Node(self.record, f"s-{i}", build, zones[i % 2]) for i, build in enumerate(builds)]
        self.discovery = Discovery(self.record, self.nodes)
        self.platform = Platform(self.record, state)
        self.max_lag = 0.0
        self.balancers: list[Balancer] = []

    async def start(self) -> None:
        for part in (*self.nodes, self.discovery, self.platform):
            await part.start()
        for ordinal in range(self.played):
            settings = small_settings(ordinal)
            balancer = Balancer(
                self.record, f"n{ordinal + 1}", self.folder, settings, self.limits, self.discovery, self.platform
            )
            self.balancers.append(balancer)
            await balancer.start()
        self.lag_task = asyncio.create_task(self.watch_lag())  # from here on; nothing was judged before

    async def watch_lag(self) -> None:
        while True:
            began = now()
            await asyncio.sleep(0.01)
            self.max_lag = max(self.max_lag, now() - began - 0.01)

    def runs(self) -> list[Run]:
        return sorted((run for node in self.nodes for run in node.runs), key=lambda run: run.last)

    async def end(self) -> None:
        for balancer in self.balancers:
            await balancer.stop()
        self.record.line(f"longest hold-up of the stand-ins: {getattr(self, 'max_lag', 0.0) * 1000:.0f} ms")
        self.record.file.close()
        shutil.rmtree(self.folder, ignore_errors=True)


async def background(site: Site, balancer: Balancer, prefix: str, connections: int, pause_s: float, count: list[int]):
    """Clients that ask one idempotent request after the other, until cancelled."""

    async def one(number: int) -> None:
        client = None
        await asyncio.sleep(random.uniform(0.0, 0.5))
        for turn in range(100000):
            try:
                if client is None:
                    client = Client(site.record, balancer)
                    await client.connect()
                method = ("posti", "scheda")[turn % 2]
                answer = await client.ask(f"{prefix}{number}.{turn}", method, 3000, False)
                count[0] += 1
                if client.closed_at:
                    client = None
                elif answer != "ok":
                    await asyncio.sleep(0.1)
            except (OSError, EOFError):
                client = None
            await asyncio.sleep(random.uniform(0.0, 2.0 * pause_s))  # as a stream of many clients: in no step

    await asyncio.gather(*(one(number) for number in range(connections)))


async def cancel_all(tasks: list[asyncio.Task]) -> None:
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def main(folder: Path, play) -> None:
    """Play a case; exit with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run."""
    trouble = os.environ.get("TROUBLE", "1") != "0"

    async def bounded() -> int:
        try:
            return await asyncio.wait_for(play(folder, trouble), 100.0)
        except (CannotRun, OSError, EOFError, TimeoutError) as error:
            print(f"could not run: {type(error).__name__} {error}", flush=True)
            return COULD_NOT_RUN

    sys.exit(asyncio.run(bounded()))
