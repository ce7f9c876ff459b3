"""What one marshal's judge heard of each build, kept in a bounded ring; the file of it, and its replay.

A `Recorder` hears the events and actions at a marshal's boundary and derives from them the notes that its
judge got. It decides nothing and owns no file or clock. A record is self-contained: facts, notes in order,
what was voted. So it can be judged again under other stated rates. `decode` reads with limits and names what
is wrong.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, replace
from typing import Any

import msgspec

from brookreach import interface as ifc
from brookreach.decide import BEAT, Ring
from brookreach.files import seal, unseal
from brookreach.judge import NEVER_RAN, Judge

MAGIC = b"brookreach wave 1\n"
BUILDS, MOST_NOTES, BEFORE_NOTES = 8, 60_000, 4000


class RecordError(ValueError):
    """A file that holds no record of a wave; the text says what stands there."""


class Note(msgspec.Struct, frozen=True, array_like=True):
    """One thing that the judge heard. `what`: L list, N news, R reply, T tally, O outcome, D decide, V vote,
    C crossed.

    `node` is an index into the record's entries for O; `method`, `sent`, `ending`, `took`, `unit`, `flow`
    are those of `Judge.outcome`.
    """

    now: float
    what: str
    nodes: tuple[int, ...] = ()
    news: ifc.RolloutNews | None = None
    tally: ifc.Tally | None = None
    method: int = -1
    sent: float = 0.0
    ending: int = 0
    took: float = 0.0
    unit: float = 1.0
    flow: float = 0.0
    text: str = ""


class Wave(msgspec.Struct):
    """All that one marshal's judge heard around one build."""

    name: str
    build: int
    start: ifc.Start
    entries: list[ifc.NodeEntry]
    notes: list[Note]
    left_out: int = 0  # notes past the bound


@dataclass
class Out:
    """A pick under way, as the recorder keeps it."""

    entry: int
    sent: float


class Recorder:
    """Hears `(now, event or action)` of one marshal's life, in order; `waves` are its last builds."""

    def __init__(self, start: ifc.Start, name: str = "marshal", builds: int = BUILDS, notes: int = MOST_NOTES):
        self.start, self.name, self.most = start, name, notes
        self.waves: deque[Wave] = deque(maxlen=builds)
        self.before: deque[Note] = deque(maxlen=BEFORE_NOTES)
        self.first: list[Note] = []  # the newest news and list, should `before` have lost them
        self.entries: list[ifc.NodeEntry] = []
        self.at: dict[ifc.NodeEntry, int] = {}
        self.now_at: dict[int, ifc.NodeEntry] = {}
        self.rpcs: dict[int, tuple[int, float | None]] = {}
        self.picks: dict[int, list[Out | None]] = {}
        self.flow = Ring(1000.0, 10)
        self.build: int | None = None

    def hear(self, now: float, one: object) -> None:
        match one:
            case ifc.RpcTaken():
                self.flow.add(now)
                self.rpcs[one.rpc] = one.method, one.cost_ms
            case ifc.Pick():
                entry = self.now_at.get(one.node)
                self.picks.setdefault(one.rpc, []).append(None if entry is None else Out(self._index(entry), now))
            case ifc.PickEnded():
                self._ended(now, one)
            case ifc.RpcGone() | ifc.PushBack() | ifc.Abort():
                self._forget(one.rpc)
            case ifc.NodeList():
                self._listed(now, one)
            case ifc.Tally():
                self._note(Note(now, "T", tally=one))
            case ifc.TimerRang() if one.token % 4 == BEAT:
                self._note(Note(now, "D"))
            case ifc.RolloutNews():
                if one.reply:
                    self._note(Note(now, "R", ending=int(one.ending)))
                if one.ending == ifc.Ending.OK:
                    self._told(now, one)
            case ifc.Vote():
                self._note(Note(now, "V", text=f"{one.verdict.name} {one.build} {one.stage}"))
            case ifc.LogLine() if one.text.startswith("back "):
                self._note(Note(now, "C", text=one.text))
            case _:
                pass

    def _index(self, entry: ifc.NodeEntry) -> int:
        if entry not in self.at:
            self.at[entry] = len(self.entries)
            self.entries.append(entry)
        return self.at[entry]

    def _forget(self, rpc: int) -> None:
        """No more picks come; those under way still end."""
        if all(out is None for out in self.picks.get(rpc, [])):
            self.rpcs.pop(rpc, None)
            self.picks.pop(rpc, None)

    def _ended(self, now: float, one: ifc.PickEnded) -> None:
        outs = self.picks.get(one.rpc, [])
        if one.nth >= len(outs) or (out := outs[one.nth]) is None or one.rpc not in self.rpcs:
            return
        outs[one.nth] = None
        method, cost = self.rpcs[one.rpc]
        self._note(
            Note(
                now,
                "O",
                (out.entry,),
                method=method,
                sent=out.sent,
                ending=int(one.ending),
                took=one.took_ms,
                unit=cost or 1.0,
                flow=self.flow.total(now),
            )
        )
        if one.final:
            self._forget(one.rpc)

    def _listed(self, now: float, one: ifc.NodeList) -> None:
        if one.kind in (ifc.ListKind.FULL, ifc.ListKind.CACHED):
            self.now_at = {}
        self.now_at |= {entry.node: entry for entry in one.entries}
        self.now_at = {n: entry for n, entry in self.now_at.items() if entry.state != ifc.NodeState.GONE}
        ready = tuple(self._index(entry) for entry in self.now_at.values() if entry.state == ifc.NodeState.READY)
        self._note(Note(now, "L", ready))

    def _told(self, now: float, news: ifc.RolloutNews) -> None:
        if news.build != self.build:
            if self.build is not None:  # what led up to it is part of it
                self._compact()
                kept = [note for note in self.first if not self.before or note.now < self.before[0].now]
                self.waves.append(
                    Wave(
                        self.name,
                        news.build,
                        self.start,
                        list(self.entries),
                        sorted([*kept, *self.before], key=lambda note: note.now),
                    )
                )
            self.build = news.build
        self._note(Note(now, "N", news=news))

    def _compact(self) -> None:
        """Entries are numbered anew for the next wave, so that weeks of machines don't pile up."""
        if len(self.entries) > 4096:
            used = {index for note in (*self.before, *self.first) for index in note.nodes}
            used |= {out.entry for outs in self.picks.values() for out in outs if out is not None}
            if len(used) < 2048:
                order = sorted(used)
                new = {old: at for at, old in enumerate(order)}
                self.entries = [self.entries[old] for old in order]
                self.at = {entry: at for at, entry in enumerate(self.entries)}
                move = [msgspec.structs.replace(n, nodes=tuple(new[i] for i in n.nodes)) for n in self.before]
                self.before = deque(move, maxlen=BEFORE_NOTES)
                self.first = [msgspec.structs.replace(n, nodes=tuple(new[i] for i in n.nodes)) for n in self.first]
                for outs in self.picks.values():
                    for out in outs:
                        if out is not None:
                            out.entry = new[out.entry]

    def _note(self, note: Note) -> None:
        if note.what in "LN":
            self.first = [one for one in self.first if one.what != note.what] + [note]
        self.before.append(note)
        if self.waves and self.waves[-1].build == self.build:
            wave = self.waves[-1]
            if len(wave.notes) >= self.most:
                wave.left_out += 1
                return
            wave.entries.extend(self.entries[len(wave.entries) :])
            wave.notes.append(note)


def encode(waves: list[Wave]) -> bytes:
    """The file of these waves."""
    return seal(MAGIC, waves)


def decode(octets: bytes) -> list[Wave]:
    """Raises RecordError for what `encode` did not write, or for figures that no wave holds."""
    waves = unseal(MAGIC, octets, list[Wave], RecordError)
    for wave in waves:
        _check(wave)
    return waves


def _check(wave: Wave) -> None:
    last = -float("inf")
    for at, note in enumerate(wave.notes):
        if note.what not in "LNRTODVC" or len(note.what) != 1:
            raise RecordError(f"note {at} of build {wave.build}: {note.what!r} is no kind of note")
        if any(not 0 <= index < len(wave.entries) for index in note.nodes):
            raise RecordError(f"note {at} of build {wave.build}: a node that is not among its entries")
        if not note.now >= last:
            raise RecordError(f"note {at} of build {wave.build}: it stands at {note.now}, after {last}")
        if note.what == "O" and not (len(note.nodes) == 1 and 0 <= note.method < len(wave.start.methods)):
            raise RecordError(f"note {at} of build {wave.build}: method {note.method}")
        if note.what in "OR" and note.ending not in list(ifc.Ending):
            raise RecordError(f"note {at} of build {wave.build}: ending {note.ending}")
        if (note.what == "N" and note.news is None) or (note.what == "T" and note.tally is None):
            raise RecordError(f"note {at} of build {wave.build}: {note.what} without its news or tally")
        if note.what == "N" and note.news and not 0 <= note.news.stage < len(wave.start.rollout.stage_shares):
            raise RecordError(f"note {at} of build {wave.build}: stage {note.news.stage}")
        if note.what == "T" and note.tally and not 0 <= note.tally.method < len(wave.start.methods):
            raise RecordError(f"note {at} of build {wave.build}: method {note.tally.method} of a tally")
        last = note.now


@dataclass(frozen=True)
class Point:
    """A chart's level at a time, in ms after the offer."""

    at_ms: float
    level: float


@dataclass
class Side:
    """Outcomes of one build by method, and which nodes gave them."""

    count: int = 0
    failed: int = 0
    total_ms: float = 0.0

    def rate(self) -> float:
        return self.failed / self.count if self.count else 0.0


@dataclass
class Verdict:
    """What a replay found of one build: all that a person needs to see why."""

    build: int
    marshal: str
    offered_ms: float
    voted: list[tuple[float, str]]
    crossed: str
    crossed_ms: float | None
    threshold: float
    levels: dict[str, list[Point]]
    trust: dict[str, float]
    trial: dict[str, Side]
    earlier: dict[str, Side]
    nodes: dict[int, Side]


def _play(judge: Judge, wave: Wave, note: Note, entry: ifc.NodeEntry | None) -> None:
    match note.what:
        case "L":
            judge.listed([wave.entries[index] for index in note.nodes])
        case "N" if note.news is not None:
            judge.told(note.now, note.news)
        case "R":
            judge.reply(note.now, ifc.Ending(note.ending))
        case "T" if note.tally is not None:
            judge.tally(note.now, note.tally)
        case "D":
            judge.decide(note.now)
        case "O" if entry is not None and judge.before:
            judge.outcome(
                note.now,
                entry,
                note.method,
                note.sent,
                ifc.Ending(note.ending),
                note.took,
                note.unit,
                note.flow,
            )


def chart_name(wave: Wave, key: tuple[int, str]) -> str:
    method, stream = key
    return f"{'all' if method < 0 else wave.start.methods[method].name} {stream}"


def replay(wave: Wave, stated: ifc.Stated | None = None) -> Verdict:
    """Judge a record again, under its own stated rates or others. News stay as they came."""
    start = replace(wave.start, stated=stated) if stated else wave.start
    acts: list[ifc.Action] = []
    judge = Judge(deque(), acts, start)
    offered = next((note.now for note in wave.notes if note.news and note.news.build == wave.build), 0.0)
    found = Verdict(wave.build, wave.name, offered, [], "", None, 0.0, {}, {}, {}, {}, {})
    names = [method.name for method in start.methods]
    for note in wave.notes:
        entry = wave.entries[note.nodes[0]] if note.what == "O" else None
        old = {key: chart.level for key, chart in judge.charts.items()}
        _play(judge, wave, note, entry)
        if entry is not None and note.ending not in NEVER_RAN:
            _count(found, wave, note, entry, names[note.method], start)
        if judge.news is not None and judge.news.build == wave.build:
            for key, chart in judge.charts.items():
                if chart.level != old.get(key):
                    levels = found.levels.setdefault(chart_name(wave, key), [])
                    levels.append(Point(note.now - offered, chart.level))
        for act in acts:
            if isinstance(act, ifc.Vote) and act.build == wave.build:
                found.voted.append((note.now - offered, f"{act.verdict.name} stage {act.stage}"))
            elif isinstance(act, ifc.LogLine) and act.text.startswith(f"back {wave.build}:") and not found.crossed:
                found.crossed, found.crossed_ms = act.text, note.now - offered
        acts.clear()
    found.threshold = judge.threshold
    found.trust = {chart_name(wave, key): chart.trust for key, chart in judge.charts.items()}
    return found


def _count(found: Verdict, wave: Wave, note: Note, entry: ifc.NodeEntry, name: str, start: ifc.Start) -> None:
    failed = note.ending != ifc.Ending.OK or note.took > start.methods[note.method].soft_ms
    trial = entry.build == wave.build
    sides = [(found.trial if trial else found.earlier).setdefault(name, Side())]
    if trial:
        sides.append(found.nodes.setdefault(entry.node, Side()))
    for side in sides:
        side.count, side.failed = side.count + 1, side.failed + failed
        side.total_ms += note.took


def show(found: Verdict, most_votes: int = 12) -> str:
    """A verdict as lines for people."""
    lines = [
        f"build {found.build} as {found.marshal} judged it, times from its offer",
        f"threshold {found.threshold:.2f}",
    ]
    if found.crossed and found.crossed_ms is not None:
        lines.append(f"crossed after {found.crossed_ms / 1000.0:.1f} s: {found.crossed.split(': ', 1)[1]}")
    else:
        lines.append("no chart has crossed")
    lines.append(
        f"{'method':14} {'earlier':>8} {'failed':>7} {'mean ms':>8} | {'trial':>6} {'failed':>7} {'mean ms':>8}"
    )
    for name in sorted({*found.earlier, *found.trial}):
        old, new = found.earlier.get(name, Side()), found.trial.get(name, Side())
        lines.append(
            f"{name:14} {old.count:8} {old.rate():7.3f} {old.total_ms / max(1, old.count):8.0f} | "
            f"{new.count:6} {new.rate():7.3f} {new.total_ms / max(1, new.count):8.0f}"
        )
    lines.append(
        "trial nodes: "
        + (
            ", ".join(f"{node} {side.failed} of {side.count}" for node, side in sorted(found.nodes.items()))
            or "none seen"
        )
    )
    for name, levels in sorted(found.levels.items(), key=lambda item: -max(p.level for p in item[1])):
        top = max(levels, key=lambda point: point.level)
        lines.append(
            f"{name:26} highest {top.level:6.2f} at {top.at_ms / 1000.0:5.1f} s, "
            f"trust {found.trust.get(name, 0.0):7.2f}"
        )
    last = None
    shown = 0
    for at, vote in found.voted:
        if vote != last and shown < most_votes:
            lines.append(f"voted {vote} at {at / 1000.0:.1f} s")
            shown += 1
        last = vote
    return "\n".join(lines)


def told(found: Verdict) -> dict[str, Any]:
    """A verdict as plain values, for JSON."""
    return msgspec.to_builtins(found)  # type: ignore[no-any-return]
