"""Bytes and rows that marshals are told, counted exactly: the real keepers' and clients' code under a virtual clock.

It owns what is counted at each size: a start of all, idle seconds, and records one after the other. It measures
neither time nor memory; `control` and `storm` do, between processes.
"""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Sequence

import msgspec

from brookreach.coordination.protocol import messages
from brookreach.coordination.timing import Timing
from brookreach.disruption.states import TargetStatus
from brookreach.disruption.tables import BALANCERS, NODES
from brookreach.model.keepers_crowd import Crowd, seen
from brookreach.scale.figures import Slope, fit

GBIT = 1.0
SETTLED_MS, MOST_MS, IDLE_MS, APART_MS = 5_000.0, 120_000.0, 30_000.0, 500.0
LIVES = 6  # restarts of one node, of three records each
RESTART: tuple[TargetStatus, ...] = (TargetStatus.DRAINING, TargetStatus.DOWN, TargetStatus.READY)
AGENT = "n1"
AXES = "marshals", "nodes"


class Counts(msgspec.Struct, frozen=True):
    """One size. Bytes are of frames, without the headers of TCP."""

    marshals: int
    nodes: int
    start_bytes: float  # to a marshal, as all come anew
    start_worst_bytes: int  # that the leader puts on its lines in 100 ms
    start_node_rows: int  # to all marshals together
    start_marshal_rows: int
    idle_bytes_in: float  # to a marshal, a second
    idle_bytes_out: float
    bytes_a_record: float  # to a marshal
    rows_a_record: float


class RowsCrowd(Crowd):
    """Counts the rows that marshals are told, by table."""

    def __init__(self, nodes: int, seed: int, timing: Timing):
        self.rows: Counter[str] = Counter()
        super().__init__(nodes, seed, timing, GBIT)

    def _say(self, source: str, target: str, body: messages.Body) -> None:
        if target.startswith("m") and isinstance(body, messages.WatchUpdate | messages.WatchSnapshot):
            self.rows.update(row.table for row in body.rows if row.key)
        super()._say(source, target, body)

    def start(self, marshals: int) -> None:
        """All marshals come anew at once, until it is quiet again; counted from when a leader stands."""
        self.run(SETTLED_MS, lambda: bool(self.leader()))
        self.forget()
        self.rows.clear()
        for number in range(marshals):
            self.add(f"m{number}")
        if not self.run(MOST_MS, lambda: len(self.told) == marshals):
            raise RuntimeError(f"{len(self.told)} of {marshals} marshals were told within {MOST_MS} ms")
        self.run(SETTLED_MS)

    def restarts(self) -> int:
        """One node restarts LIVES times; how many records that were."""
        for life in range(1, LIVES + 1):
            for standing in RESTART:
                self.ask(AGENT, seen(AGENT, standing, life + (standing == "ready")))
                self.run(APART_MS)
        return LIVES * len(RESTART)


def count(marshals: int, nodes: int, seed: int, timing: Timing) -> Counts:
    crowd = RowsCrowd(nodes, seed, timing)
    names = [f"m{number}" for number in range(marshals)]
    crowd.start(marshals)
    start_bytes = sum(crowd.says[name] for name in names) / marshals
    worst, rows = crowd.burst(crowd.leader()), Counter(crowd.rows)
    crowd.forget()
    crowd.run(IDLE_MS)
    idle_in, idle_out = (
        sum(said[name] for name in names) / marshals / IDLE_MS * 1000.0 for said in (crowd.says, crowd.heard)
    )
    crowd.add(AGENT, "agent")
    crowd.run(SETTLED_MS)
    crowd.forget()
    crowd.rows.clear()
    records = crowd.restarts()
    return Counts(
        marshals=marshals,
        nodes=nodes,
        start_bytes=start_bytes,
        start_worst_bytes=worst,
        start_node_rows=rows[NODES],
        start_marshal_rows=rows[BALANCERS],
        idle_bytes_in=idle_in,
        idle_bytes_out=idle_out,
        bytes_a_record=crowd.kinds["Changes"] / marshals / records,
        rows_a_record=crowd.rows[NODES] / marshals / records,
    )


def run(
    marshals: Sequence[int], nodes: Sequence[int], seed: int, timing: Timing, progress: Callable[[int, int], None]
) -> list[Counts]:
    """Each number of marshals with each number of nodes."""
    plays = [(many, held) for held in nodes for many in marshals]
    found = []
    for done, (many, held) in enumerate(plays):
        progress(done, len(plays))
        found.append(count(many, held, seed, timing))
    progress(len(plays), len(plays))
    return found


def slopes(found: Sequence[Counts]) -> list[Slope]:
    """Of what a marshal is told; what all are told is that times their number."""
    if len({one.marshals for one in found}) < 2:
        return []
    sizes = [{"marshals": float(one.marshals), "nodes": float(one.nodes)} for one in found]
    return [
        fit("a start of all: to a marshal", "bytes", sizes, [one.start_bytes for one in found]),
        fit("a start of all: rows to a marshal", "rows", sizes, [rows_of_start(one) for one in found]),
        fit("a record: to a marshal", "bytes", sizes, [one.bytes_a_record for one in found]),
        fit("idle: to a marshal", "bytes/s", sizes, [one.idle_bytes_in for one in found]),
    ]


def rows_of_start(one: Counts) -> float:
    return (one.start_node_rows + one.start_marshal_rows) / one.marshals


def text(found: Sequence[Counts]) -> str:
    """Markdown: a line a size, then the fitted lines."""
    lines = [
        "| marshals | nodes | start: bytes to a marshal | to all | the leader's most in 100 ms | rows about nodes, to "
        "all | rows about marshals | idle: bytes/s to one | from one | a record: bytes to one | rows |",
        "| --- " * 11 + "|",
    ]
    for one in found:
        lines.append(
            f"| {one.marshals:,} | {one.nodes:,} | {one.start_bytes:,.0f} | {one.start_bytes * one.marshals:,.0f} "
            f"| {one.start_worst_bytes:,} | {one.start_node_rows:,} | {one.start_marshal_rows:,} "
            f"| {one.idle_bytes_in:.1f} | {one.idle_bytes_out:.1f} | {one.bytes_a_record:.1f} "
            f"| {one.rows_a_record:.2f} |"
        )
    lines += ["", "| fitted | unit | constant | a marshal | a node | R2 | points |", "| --- " * 7 + "|"]
    for slope in slopes(found):
        per = " | ".join(f"{slope.per_unit[axis]:.4g}" if axis in slope.per_unit else "-" for axis in AXES)
        lines.append(
            f"| {slope.name} | {slope.unit} | {slope.constant:.4g} | {per} | {slope.explained:.4f} | {slope.points} |"
        )
    return "\n".join(lines)


def told(found: Sequence[Counts], seed: int) -> dict[str, object]:
    """All of it, for --json."""
    return {
        "seed": seed,
        "runs": [msgspec.structs.asdict(one) for one in found],
        "slopes": [msgspec.json.decode(msgspec.json.encode(slope)) for slope in slopes(found)],
    }
