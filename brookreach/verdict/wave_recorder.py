"""What one marshal's judge heard of each build, kept in a bounded ring.

A `Recorder` hears the events and actions at a marshal's boundary and derives from them the notes that its
judge got. It decides nothing and owns no file or clock. A record is self-contained: facts, notes in order,
what was voted. So it can be judged again under other stated rates (`brookreach.verdict.replay`).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec

from brookreach import interface as ifc
from brookreach.policy.sliding_window import SlidingWindowSum
from brookreach.policy.timer_tokens import EVALUATION_TIMER
from brookreach.verdict.wave_records import Note, Wave

MAX_BUILDS, MAX_NOTES, MAX_LEAD_NOTES = 8, 60_000, 4000


@dataclass
class PickInFlight:
    """A pick under way, as the recorder keeps it."""

    entry_index: int
    sent_ms: float


class Recorder:
    """Hears `(now, event or action)` of one marshal's life, in order; `waves` are its last builds."""

    def __init__(
        self,
        start: ifc.BalancerSettings,
        name: str = "marshal",
        max_builds: int = MAX_BUILDS,
        max_notes: int = MAX_NOTES,
    ):
        self.settings, self.name, self.max_notes = start, name, max_notes
        self.waves: deque[Wave] = deque(maxlen=max_builds)
        self.lead_notes: deque[Note] = deque(maxlen=MAX_LEAD_NOTES)
        self.latest_state: list[Note] = []  # the newest news and list, should `lead_notes` have lost them
        self.entries: list[ifc.NodeEntry] = []
        self.entry_indices: dict[ifc.NodeEntry, int] = {}
        self.entry_by_node: dict[int, ifc.NodeEntry] = {}
        self.rpcs: dict[int, tuple[int, float | None]] = {}
        self.picks: dict[int, list[PickInFlight | None]] = {}
        self.rpc_arrivals = SlidingWindowSum(1000.0, 10)
        self.build: int | None = None

    def record(self, now: float, one: object) -> None:
        match one:
            case ifc.RpcReceived():
                self.rpc_arrivals.add(now)
                self.rpcs[one.rpc_id] = one.method, one.cost_ms
            case ifc.Pick():
                entry = self.entry_by_node.get(one.node)
                self.picks.setdefault(one.rpc_id, []).append(
                    None if entry is None else PickInFlight(self._index(entry), now)
                )
            case ifc.PickEnded():
                self._ended(now, one)
            case ifc.RpcCancelled() | ifc.PushBack() | ifc.Abort():
                self._forget(one.rpc_id)
            case ifc.NodeList():
                self._listed(now, one)
            case ifc.OutcomeCounts():
                self._note(Note(now, "T", counts=one))
            case ifc.TimerFired() if one.token % 4 == EVALUATION_TIMER:
                self._note(Note(now, "D"))
            case ifc.RolloutStatus():
                if one.reply:
                    self._note(Note(now, "R", outcome=int(one.ending)))
                if one.ending == ifc.Outcome.OK:
                    self._told(now, one)
            case ifc.Vote():
                self._note(Note(now, "V", text=f"{one.verdict.name} {one.build} {one.stage}"))
            case ifc.LogLine() if one.text.startswith("back "):
                self._note(Note(now, "C", text=one.text))
            case _:
                pass

    def _index(self, entry: ifc.NodeEntry) -> int:
        if entry not in self.entry_indices:
            self.entry_indices[entry] = len(self.entries)
            self.entries.append(entry)
        return self.entry_indices[entry]

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
                (out.entry_index,),
                method=method,
                sent_ms=out.sent_ms,
                outcome=int(one.outcome),
                duration_ms=one.duration_ms,
                cost=cost or 1.0,
                rpcs_per_s=self.rpc_arrivals.total(now),
            )
        )
        if one.is_final:
            self._forget(one.rpc_id)

    def _listed(self, now: float, one: ifc.NodeList) -> None:
        if one.kind in (ifc.ListKind.FULL, ifc.ListKind.CACHED):
            self.entry_by_node = {}
        self.entry_by_node |= {entry.node: entry for entry in one.entries}
        self.entry_by_node = {n: entry for n, entry in self.entry_by_node.items() if entry.state != ifc.NodeState.GONE}
        ready = tuple(self._index(entry) for entry in self.entry_by_node.values() if entry.state == ifc.NodeState.READY)
        self._note(Note(now, "L", ready))

    def _told(self, now: float, news: ifc.RolloutStatus) -> None:
        if news.build != self.build:
            if self.build is not None:  # what led up to it is part of it
                self._compact()
                kept = [
                    note
                    for note in self.latest_state
                    if not self.lead_notes or note.time_ms < self.lead_notes[0].time_ms
                ]
                self.waves.append(
                    Wave(
                        self.name,
                        news.build,
                        self.settings,
                        list(self.entries),
                        sorted([*kept, *self.lead_notes], key=lambda note: note.time_ms),
                    )
                )
            self.build = news.build
        self._note(Note(now, "N", status=news))

    def _compact(self) -> None:
        """Entries are numbered anew for the next wave, so that weeks of machines don't pile up."""
        if len(self.entries) > 4096:
            used = {index for note in (*self.lead_notes, *self.latest_state) for index in note.entry_indices}
            used |= {out.entry_index for outs in self.picks.values() for out in outs if out is not None}
            if len(used) < 2048:
                order = sorted(used)
                new = {old: at for at, old in enumerate(order)}
                self.entries = [self.entries[old] for old in order]
                self.entry_indices = {entry: at for at, entry in enumerate(self.entries)}
                move = [
                    msgspec.structs.replace(n, entry_indices=tuple(new[i] for i in n.entry_indices))
                    for n in self.lead_notes
                ]
                self.lead_notes = deque(move, maxlen=MAX_LEAD_NOTES)
                self.latest_state = [
                    msgspec.structs.replace(n, entry_indices=tuple(new[i] for i in n.entry_indices))
                    for n in self.latest_state
                ]
                for outs in self.picks.values():
                    for out in outs:
                        if out is not None:
                            out.entry_index = new[out.entry_index]

    def _note(self, note: Note) -> None:
        if note.what in "LN":
            self.latest_state = [one for one in self.latest_state if one.what != note.what] + [note]
        self.lead_notes.append(note)
        if self.waves and self.waves[-1].build == self.build:
            wave = self.waves[-1]
            if len(wave.notes) >= self.max_notes:
                wave.omitted_notes += 1
                return
            wave.entries.extend(self.entries[len(wave.entries) :])
            wave.notes.append(note)
