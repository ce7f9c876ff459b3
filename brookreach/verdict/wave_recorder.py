"""Records what one balancer's canary analysis received of each build, in bounded memory.

A `Recorder` gets the events and actions at a balancer's interface and derives from them the notes that its canary
analysis would replay. It decides nothing and has neither file nor clock. A record is self-contained: settings, notes
in order, votes. So it can be analysed again at other error rates (`brookreach.verdict.replay`).
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

import msgspec

from brookreach import interface as ifc
from brookreach.policy.sliding_window import SlidingWindowSum
from brookreach.policy.timer_tokens import EVALUATION_TIMER, TIMER_KINDS
from brookreach.verdict.wave_records import Note, Wave

MAX_BUILDS = 8  # the last ones are kept
MAX_NOTES = 60_000  # of one build; later ones are only counted
MAX_LEAD_NOTES = 4000  # from before a build was offered
RATE_WINDOW_MS = 1000.0
RATE_WINDOW_BUCKETS = 10
MAX_ENTRIES = 4096  # with more, entries that are not referred to are dropped at the next build
MAX_USED_ENTRIES = 2048  # unless as many are still referred to
REJECTION_PREFIX = "back "  # of the log line that names the chart that crossed


@dataclass
class PickInFlight:
    """A pick that has not ended.

    Attributes:
        entry_index: The node's entry, as an index into `Recorder.entries`.
        sent_ms: When it was sent.
    """

    entry_index: int
    sent_ms: float


class Recorder:
    """Makes the records of a balancer's last builds from its events and actions.

    Attributes:
        settings: The balancer's settings.
        name: The balancer's name.
        max_notes: How many notes a record holds.
        waves: The records, one a build.
        lead_notes: The last notes: they open the next build's record, as what led up to it.
        latest_state: The newest rollout status and node list, should `lead_notes` have lost them.
        entries: Node entries that notes refer to by index.
        entry_indices: The index of each of them.
        entry_by_node: The entry of each node listed now.
        rpcs: By RPC: its method and its stated cost (ms).
        picks: By RPC: its picks; None for one that has ended or went to a node that is not listed.
        rpc_arrivals: RPCs received within the last second.
        build: The newest build that a rollout status named.
    """

    def __init__(
        self,
        settings: ifc.BalancerSettings,
        name: str = "marshal",
        max_builds: int = MAX_BUILDS,
        max_notes: int = MAX_NOTES,
    ):
        self.settings = settings
        self.name = name
        self.max_notes = max_notes
        self.waves: deque[Wave] = deque(maxlen=max_builds)
        self.lead_notes: deque[Note] = deque(maxlen=MAX_LEAD_NOTES)
        self.latest_state: list[Note] = []
        self.entries: list[ifc.NodeEntry] = []
        self.entry_indices: dict[ifc.NodeEntry, int] = {}
        self.entry_by_node: dict[int, ifc.NodeEntry] = {}
        self.rpcs: dict[int, tuple[int, float | None]] = {}
        self.picks: dict[int, list[PickInFlight | None]] = {}
        self.rpc_arrivals = SlidingWindowSum(RATE_WINDOW_MS, RATE_WINDOW_BUCKETS)
        self.build: int | None = None

    def record(self, now: float, message: object) -> None:
        """Record one event or action at `now` (ms); they come in order, and other kinds are ignored."""
        match message:
            case ifc.RpcReceived() | ifc.Pick() | ifc.PickEnded():
                self._record_pick(now, message)
            case ifc.RpcCancelled() | ifc.PushBack() | ifc.Abort():
                self._forget_if_idle(message.rpc_id)
            case ifc.NodeList():
                self._record_node_list(now, message)
            case ifc.OutcomeCounts():
                self._add_note(Note(now, "T", counts=message))
            case ifc.TimerFired() if message.token % TIMER_KINDS == EVALUATION_TIMER:
                self._add_note(Note(now, "D"))
            case ifc.RolloutStatus():
                self._record_status(now, message)
            case ifc.Vote():
                self._add_note(Note(now, "V", text=f"{message.verdict.name} {message.build} {message.stage}"))
            case ifc.LogLine() if message.text.startswith(REJECTION_PREFIX):
                self._add_note(Note(now, "C", text=message.text))

    def _record_pick(self, now: float, message: ifc.RpcReceived | ifc.Pick | ifc.PickEnded) -> None:
        match message:
            case ifc.RpcReceived():
                self.rpc_arrivals.add(now)
                self.rpcs[message.rpc_id] = message.method, message.cost_ms
            case ifc.Pick():
                entry = self.entry_by_node.get(message.node)
                pick = None if entry is None else PickInFlight(self._index(entry), now)
                self.picks.setdefault(message.rpc_id, []).append(pick)
            case ifc.PickEnded():
                self._record_outcome(now, message)

    def _index(self, entry: ifc.NodeEntry) -> int:
        if entry not in self.entry_indices:
            self.entry_indices[entry] = len(self.entries)
            self.entries.append(entry)
        return self.entry_indices[entry]

    def _forget_if_idle(self, rpc_id: int) -> None:
        """Forget an RPC that gets no more picks, unless some are still in flight: these end later."""
        if all(pick is None for pick in self.picks.get(rpc_id, [])):
            self.rpcs.pop(rpc_id, None)
            self.picks.pop(rpc_id, None)

    def _record_outcome(self, now: float, event: ifc.PickEnded) -> None:
        picks = self.picks.get(event.rpc_id, [])
        if event.pick_index >= len(picks):
            return
        pick = picks[event.pick_index]
        if pick is None or event.rpc_id not in self.rpcs:
            return
        picks[event.pick_index] = None
        method, cost_ms = self.rpcs[event.rpc_id]
        self._add_note(
            Note(
                now,
                "O",
                (pick.entry_index,),
                method=method,
                sent_ms=pick.sent_ms,
                outcome=int(event.outcome),
                duration_ms=event.duration_ms,
                cost_ms=cost_ms or 1.0,
                rpcs_per_s=self.rpc_arrivals.total(now),
            )
        )
        if event.is_final:
            self._forget_if_idle(event.rpc_id)

    def _record_node_list(self, now: float, event: ifc.NodeList) -> None:
        if event.kind in (ifc.ListKind.FULL, ifc.ListKind.CACHED):
            self.entry_by_node = {}
        self.entry_by_node |= {entry.node: entry for entry in event.entries}
        self.entry_by_node = {
            node: entry for node, entry in self.entry_by_node.items() if entry.state != ifc.NodeState.GONE
        }
        ready = tuple(self._index(entry) for entry in self.entry_by_node.values() if entry.state == ifc.NodeState.READY)
        self._add_note(Note(now, "L", ready))

    def _record_status(self, now: float, status: ifc.RolloutStatus) -> None:
        if status.reply:
            self._add_note(Note(now, "R", outcome=int(status.ending)))
        if status.ending != ifc.Outcome.OK:
            return
        if status.build != self.build:
            # The first build that is heard of is the baseline: it has no record.
            if self.build is not None:
                self._open_record(status.build)
            self.build = status.build
        self._add_note(Note(now, "N", status=status))

    def _open_record(self, build: int) -> None:
        """Open the record of a new build with the notes that led up to it."""
        self._drop_unused_entries()
        lead = self.lead_notes
        lost = [note for note in self.latest_state if not lead or note.time_ms < lead[0].time_ms]
        notes = sorted([*lost, *lead], key=lambda note: note.time_ms)
        self.waves.append(Wave(self.name, build, self.settings, list(self.entries), notes))

    def _drop_unused_entries(self) -> None:
        """Renumber the entries that are referred to, so that those of weeks of machines don't pile up."""
        if len(self.entries) <= MAX_ENTRIES:
            return
        in_flight = [pick for picks in self.picks.values() for pick in picks if pick is not None]
        used = {index for note in (*self.lead_notes, *self.latest_state) for index in note.entry_indices}
        used |= {pick.entry_index for pick in in_flight}
        if len(used) >= MAX_USED_ENTRIES:
            return
        kept = sorted(used)
        new_indices = {old: new for new, old in enumerate(kept)}
        self.entries = [self.entries[old] for old in kept]
        self.entry_indices = {entry: index for index, entry in enumerate(self.entries)}
        renumbered = [_renumber(note, new_indices) for note in self.lead_notes]
        self.lead_notes = deque(renumbered, maxlen=MAX_LEAD_NOTES)
        self.latest_state = [_renumber(note, new_indices) for note in self.latest_state]
        for pick in in_flight:
            pick.entry_index = new_indices[pick.entry_index]

    def _add_note(self, note: Note) -> None:
        if note.what in "LN":
            self.latest_state = [*(other for other in self.latest_state if other.what != note.what), note]
        self.lead_notes.append(note)
        if self.waves and self.waves[-1].build == self.build:
            wave = self.waves[-1]
            if len(wave.notes) >= self.max_notes:
                wave.omitted_notes += 1
                return
            wave.entries.extend(self.entries[len(wave.entries) :])
            wave.notes.append(note)


def _renumber(note: Note, new_indices: dict[int, int]) -> Note:
    return msgspec.structs.replace(note, entry_indices=tuple(new_indices[index] for index in note.entry_indices))
