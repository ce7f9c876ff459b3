"""How long a group of keepers is without a leader, by fault, on the network of `raftnet`: virtual ms.

It owns the faults and what is counted of each. It must never read a clock: the same seed is the same figure.
"""

from __future__ import annotations

import statistics
from collections import Counter
from collections.abc import Callable
from dataclasses import dataclass

from brookreach.coordination.timing import Timing
from brookreach.model.raftnet import Net, Node

NAMES = "abcde"
MOST_MS = 60_000.0
AFTER_MS = 1_500.0  # looked at for further elections, the fault still standing and then mended


def _killed(net: Net, old: Node) -> None:
    net.stop(old.name)


def _stopped(net: Net, old: Node) -> None:
    net.stand_still(old.name)


def _cut_off(net: Net, old: Node) -> None:
    net.apart(old.name)


def _not_heard(net: Net, old: Node) -> None:
    net.cut(*(old.name + other for other in net.nodes if other != old.name))


def _hears_nothing(net: Net, old: Node) -> None:
    net.cut(*(other + old.name for other in net.nodes if other != old.name))


def _handed_over(net: Net, old: Node) -> None:
    old.raft.transfer_leadership(net.now)
    net.drain(old)


FAULTS: dict[str, Callable[[Net, Node], None]] = {
    "killed": _killed,
    "stopped": _stopped,
    "cut both ways": _cut_off,
    "not heard": _not_heard,
    "hears nothing": _hears_nothing,
    "handed over": _handed_over,
}


@dataclass(frozen=True, slots=True)
class Gap:
    """`ms` until another leader's first entry was committed. Elections: terms begun until then, and later."""

    ms: float
    elections: int
    later: int


def gap(fault: str, seed: int, keepers: int, timing: Timing) -> Gap:
    net = Net(seed, NAMES[:keepers], timing)
    net.settle()
    for nth in range(5):
        net.propose(b"record %d" % nth)
    net.run(500.0 + net.chance.random() * 2.0 * timing.heartbeat_ms)
    old = net.settle()
    term, began = old.raft.term, net.now
    FAULTS[fault](net, old)
    while not _led(net, term):
        net.step()
        if net.now > began + MOST_MS:
            raise RuntimeError(f"{fault}, seed {seed}: no leader within {MOST_MS} ms")
    took, top = net.now - began, _top(net)
    net.run(AFTER_MS)
    net.cuts.clear()
    if old.name in net.stopped:
        net.go_on(old.name)
    if not old.raft:
        net.start(old.name)
    net.run(AFTER_MS)
    return Gap(took, top - term, _top(net) - top)


def _led(net: Net, term: int) -> bool:
    return any(
        one.raft.replication is not None
        and one.raft.term > term
        and one.raft.commit_index >= one.raft.replication.first_index
        for one in net.up()
    )


def _top(net: Net) -> int:
    return max(one.raft.term for one in net.up())


def times(
    seeds: int,
    timing: Timing,
    sizes: tuple[int, ...] = (3, 5),
    scale: float = 2.0,
    faults: tuple[str, ...] = tuple(FAULTS),
) -> list[str]:
    """Lines of a table; beside `timing` the same with `election_ms` times `scale`."""
    slow = Timing(
        timing.heartbeat_ms,
        timing.election_timeout_ms * scale,
        timing.lease_ms,
        timing.drift,
        timing.max_pending_proposals,
        timing.snapshot_interval_entries,
    )
    head = f"election {timing.election_timeout_ms:.0f} ms"
    beside = f"election {slow.election_timeout_ms:.0f} ms"
    lines = [
        f"| leader | keepers | {head}: median ms | worst | elections | later | {beside}: median ms "
        "| worst | elections | later |",
        "| --- " * 10 + "|",
    ]
    for fault in faults:
        for keepers in sizes:
            cells = [
                cell
                for one in (timing, slow)
                for cell in _cells([gap(fault, seed, keepers, one) for seed in range(1, seeds + 1)])
            ]
            lines.append(f"| {fault} | {keepers} | {' | '.join(cells)} |")
    return lines


def _cells(gaps: list[Gap]) -> tuple[str, str, str, str]:
    """Elections as `how many in a run: runs`."""
    counts = sorted(Counter(one.elections for one in gaps).items())
    shown = ", ".join(f"{count}: {runs}" for count, runs in counts)
    worst = max(one.ms for one in gaps)
    later = sum(one.later for one in gaps)
    return f"{statistics.median(one.ms for one in gaps):.0f}", f"{worst:.0f}", shown, str(later)
