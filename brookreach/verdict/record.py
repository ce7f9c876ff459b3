"""What one balancer's canary analysis received of each build, kept in a bounded ring.

A `Recorder` receives the events and actions at a balancer's boundary and derives from them the messages that its
canary analysis got. It decides nothing and owns no file or clock. A record is self-contained: settings, messages in
order, votes. So it can be evaluated again under other stated rates (`brookreach.verdict.replay`).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec

from brookreach import interface as ifc
from brookreach.policy.sliding_window import SlidingWindowSum
from brookreach.policy.timer_tokens import EVALUATION_TIMER
from brookreach.verdict.notes import Note, Wave

BUILDS, MOST_NOTES, BEFORE_NOTES = 8, 60_000, 4000


@dataclass
class Out:
    """A pick under way, as the recorder keeps it."""

    entry: int
    sent: float


class Recorder:
    """Hears `(now, event or action)` of one marshal's life, in order; `waves` are its last builds."""

    def __init__(
        self, start: ifc.BalancerSettings, name: str = "marshal", builds: int = BUILDS, notes: int = MOST_NOTES
    ):
        self.start, self.name, self.most = start, name, notes
        self.waves: deque[Wave] = deque(maxlen=builds)
        self.before: deque[Note] = deque(maxlen=BEFORE_NOTES)
        self.first: list[Note] = []  # the newest news and list, should `before` have lost them
        self.entries: list[ifc.NodeEntry] = []
        self.at: dict[ifc.NodeEntry, int] = {}
        self.now_at: dict[int, ifc.NodeEntry] = {}
        self.rpcs: dict[int, tuple[int, float | None]] = {}
        self.picks: dict[int, list[Out | None]] = {}
        self.flow = SlidingWindowSum(1000.0, 10)
        self.build: int | None = None

    def hear(self, now: float, one: object) -> None:
        match one:
            case ifc.RpcReceived():
                self.flow.add(now)
                self.rpcs[one.rpc_id] = one.method, one.cost_ms
            case ifc.Pick():
                entry = self.now_at.get(one.node)
                self.picks.setdefault(one.rpc_id, []).append(None if entry is None else Out(self._index(entry), now))
            case ifc.PickEnded():
                self._ended(now, one)
            case ifc.RpcCancelled() | ifc.PushBack() | ifc.Abort():
                self._forget(one.rpc_id)
            case ifc.NodeList():
                self._listed(now, one)
            case ifc.OutcomeCounts():
                self._note(Note(now, "T", tally=one))
            case ifc.TimerFired() if one.token % 4 == EVALUATION_TIMER:
                self._note(Note(now, "D"))
            case ifc.RolloutStatus():
                if one.reply:
                    self._note(Note(now, "R", ending=int(one.ending)))
                if one.ending == ifc.Outcome.OK:
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
        outs = self.picks.get(one.rpc_id, [])
        if one.pick_index >= len(outs) or (out := outs[one.pick_index]) is None or one.rpc_id not in self.rpcs:
            return
        outs[one.pick_index] = None
        method, cost = self.rpcs[one.rpc_id]
        self._note(
            Note(
                now,
                "O",
                (out.entry,),
                method=method,
                sent=out.sent,
                ending=int(one.outcome),
                took=one.duration_ms,
                unit=cost or 1.0,
                flow=self.flow.total(now),
            )
        )
        if one.is_final:
            self._forget(one.rpc_id)

    def _listed(self, now: float, one: ifc.NodeList) -> None:
        if one.kind in (ifc.ListKind.FULL, ifc.ListKind.CACHED):
            self.now_at = {}
        self.now_at |= {entry.node: entry for entry in one.entries}
        self.now_at = {n: entry for n, entry in self.now_at.items() if entry.state != ifc.NodeState.GONE}
        ready = tuple(self._index(entry) for entry in self.now_at.values() if entry.state == ifc.NodeState.READY)
        self._note(Note(now, "L", ready))

    def _told(self, now: float, news: ifc.RolloutStatus) -> None:
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
