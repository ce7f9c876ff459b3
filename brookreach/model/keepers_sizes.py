"""What one record costs a keeper as the fleet grows: processor time against the smallest fleet, in one run.

It owns the state of each size and which records are played on it. Times are given as shares alone: they are
of whatever machine this runs on.
"""

from __future__ import annotations

import itertools
import time
from collections.abc import Callable

import msgspec

from brookreach.applications import load_applications
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine import sessions
from brookreach.coordination.state_machine.application import Command, StagedChanges
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.disruption import deadlines
from brookreach.disruption.application import APPLICATION
from brookreach.disruption.commands import RequestDrain
from brookreach.disruption.permits import RETENTION_MS
from brookreach.disruption.states import PermitAction, PermitState, TargetStatus
from brookreach.disruption.tables import PERMITS, PermitRow
from brookreach.model.keepers_crowd import WALL, fleet, seen

SIZES = (500, 1_000, 2_000, 3_000, 4_000, 5_000)
RECORDS, ROUNDS = 20, 9  # applied one after the other for one time; the least of so many times counts
_out = msgspec.msgpack.Encoder(order="deterministic")


class Log:
    """One keeper's state, and records put to it as a leader would."""

    def __init__(self, nodes: int):
        self.machine, self.seqs, self.drains = fleet(nodes), dict[str, int](), itertools.count()
        self.nodes = nodes

    def begin(self, client: str, kind: messages.ClientKind) -> None:
        self._apply(sessions.encode_command(sessions.SessionStarted(client, kind), WALL))
        self.seqs[client] = 0

    def entry(self, client: str, kind: str, order: Command) -> messages.Entry:
        """Its octets are what counts; its place is that where it is applied."""
        self.seqs[client] += 1
        ask = messages.ProposeRequest(
            self.machine.session(client), self.seqs[client], APPLICATION.name, 1, _out.encode(order)
        )
        return messages.Entry(0, 1, sessions.encode_proposal(ask, WALL, client, kind))

    def _apply(self, octets: bytes) -> None:
        done = self.machine.apply(messages.Entry(self.machine.applied + 1, 1, octets))
        self.machine.next_timer_ms()  # a leader asks for it after each
        if not done.ok or done.rejection:
            raise RuntimeError(f"refused: {done.text}")

    def took(self, entries: list[messages.Entry]) -> float:
        began = time.process_time()
        for entry in entries:
            self._apply(entry.octets)
        return time.process_time() - began

    # --- what is played ---

    def said(self, nth: int) -> float:
        """Agents say their nodes cold and then ready again: two reports each."""
        names = [f"n{(nth * RECORDS + one) * 7 % self.nodes}" for one in range(RECORDS // 2)]
        for name in names:
            if name not in self.seqs:
                self.begin(name, "agent")
        place = self.machine.applied
        return self.took(
            [
                self.entry(name, "agent", seen(name, status, 2, place))
                for name in names
                for status in (TargetStatus.WARMING, TargetStatus.READY)
            ]
        )

    def drained(self, nth: int) -> float:
        """An operator asks; a tenth of the fleet is given, the rest waits."""
        if "op" not in self.seqs:
            self.begin("op", "operator")
        orders = [RequestDrain(f"d{one}", f"n{one}", 5, "work") for one in itertools.islice(self.drains, RECORDS)]
        return self.took([self.entry("op", "operator", order) for order in orders])


def _least(play: Callable[[int], float], rounds: int) -> float:
    return min(play(nth) for nth in range(rounds))


def cost(nodes: int, rounds: int = ROUNDS) -> dict[str, float]:
    """Seconds of processor time, and `bytes`, by what was played."""
    log = Log(nodes)
    found = {"NodeSeen": _least(log.said, rounds)}
    given = max(1, nodes // 10)
    found["AskDrain, given"] = _least(log.drained, min(rounds, max(1, given // RECORDS)))
    waiting = given + nodes // 5
    for one in range(waiting):
        if log.machine.view.get(PERMITS, f"d{one}") is None:
            log.took([log.entry("op", "operator", RequestDrain(f"d{one}", f"n{one}", 5, "work"))])
    log.drains = itertools.count(waiting)
    found["AskDrain, a fifth waits"] = _least(log.drained, rounds)
    octets = log.machine.snapshot()
    found["bytes"] = len(octets)
    found["snapshot"] = _least(lambda nth: _timed(log.machine.snapshot), rounds)
    found["restore"] = _least(lambda nth: _timed(lambda: StateMachine(load_applications()).restore(octets)), rounds)
    return found


def kept(permits: int, rounds: int) -> float:
    """NodeSeen at 1,000 nodes where so many drains are over, and kept until their time comes."""
    log = Log(1_000)
    draft = StagedChanges(log.machine.view)
    for one in range(permits):
        over = PermitRow(
            PermitAction.DRAIN, f"n{one % 1_000}", "op", 5, WALL, PermitState.ENDED, 1, WALL, WALL, 1, "work"
        )
        draft.put(PERMITS, f"old{one}", over)
        deadlines.schedule(draft, WALL + RETENTION_MS + one, deadlines.TimerKind.FORGET_PERMIT, f"old{one}")
    log.machine.view.apply_updates(draft.updates())
    return _least(log.said, rounds)


def kept_table(sizes: tuple[int, ...] = (1_000, 10_000, 100_000), rounds: int = ROUNDS) -> list[str]:
    least = kept(0, rounds)
    lines = ["| drains over and kept | NodeSeen, of none kept |", "| --- " * 2 + "|"]
    return lines + [f"| {size:,} | {kept(size, rounds) / least:.2f} |" for size in sizes]


def _timed(call: Callable[[], object]) -> float:
    began = time.process_time()
    call()
    return time.process_time() - began


def sizes_table(sizes: tuple[int, ...] = SIZES, rounds: int = ROUNDS) -> list[str]:
    costs = {size: cost(size, rounds) for size in sizes}
    names = [name for name in costs[sizes[0]] if name != "bytes"]
    lines = [
        f"| nodes | of {sizes[0]} | {' | '.join(names)} | snapshot's bytes | a node |",
        "| --- " * (len(names) + 4) + "|",
    ]
    for size, found in costs.items():
        shares = " | ".join(f"{found[name] / costs[sizes[0]][name]:.2f}" for name in names)
        lines.append(
            f"| {size:,} | {size / sizes[0]:.0f} | {shares} | {found['bytes']:,.0f} | {found['bytes'] / size:.0f} |"
        )
    return lines
