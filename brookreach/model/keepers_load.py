"""Bytes of marshals and of the leader, by their number: idle, with drains agreed, and as all come at once.

It owns what is played with a `Crowd` and the tables of it. It must never read a clock: all times are virtual.
"""

from __future__ import annotations

import statistics

from brookreach.coordination.timing import Timing
from brookreach.disruption.commands import RequestDrain
from brookreach.disruption.states import TargetStatus
from brookreach.model.keepers_crowd import Crowd, seen

SETTLE_MS = 5_000.0
MOST_MS = 120_000.0


def _stands(crowd: Crowd, marshals: int) -> None:
    """All of them have joined and been told, and it is quiet again."""
    crowd.run(5_000.0, lambda: bool(crowd.leader()))
    for nth in range(marshals):
        crowd.add(f"m{nth}")
    if not crowd.run(MOST_MS, lambda: len(crowd.told) == marshals):
        raise RuntimeError(f"{len(crowd.told)} of {marshals} marshals were told within {MOST_MS} ms")
    crowd.run(SETTLE_MS)


def _drain(crowd: Crowd, node: str, ms: float) -> None:
    """One drain from asked to back: four records, as agents say them."""

    def given() -> None:
        crowd.ask("op", RequestDrain(f"work-{node}", node, 5, "work"))

    def stands(status: TargetStatus, life: int) -> None:
        crowd.ask(node, seen(node, status, life, crowd.clients[node].cache.index))

    crowd.at(ms, given)
    crowd.at(ms + 500.0, lambda: stands(TargetStatus.DRAINING, 1))
    crowd.at(ms + 2_000.0, lambda: stands(TargetStatus.DOWN, 1))
    crowd.at(ms + 4_000.0, lambda: stands(TargetStatus.READY, 2))


def traffic(
    marshals: int, nodes: int, seed: int, timing: Timing, gbit: float, minutes: float, drains: int
) -> tuple[float, float, float]:
    """Bytes a second: to a marshal, from a marshal, the leader's to all together."""
    crowd = Crowd(nodes, seed, timing, gbit)
    _stands(crowd, marshals)
    many = int(drains * minutes)
    names = [f"n{nth}" for nth in range(many)]
    if many:
        crowd.add("op", "operator")
    for name in names:
        crowd.add(name, "agent")
    crowd.run(SETTLE_MS)
    crowd.forget()
    spell = minutes * 60_000.0
    for nth, name in enumerate(names):
        _drain(crowd, name, crowd.now + nth * spell / many)
    crowd.run(spell)
    back = sum(crowd.keepers[crowd.leader()].machine.view.get("nodes", name).incarnation == 2 for name in names)
    if back < many - 1:  # the last one may be out yet
        raise RuntimeError(f"{back} of {many} drains were agreed and over")
    ours = [f"m{nth}" for nth in range(marshals)]
    seconds = spell / 1000.0
    return (
        sum(crowd.says[name] for name in ours) / marshals / seconds,
        sum(crowd.heard[name] for name in ours) / marshals / seconds,
        crowd.handed[crowd.leader()] / seconds,
    )


def marshals_table(
    sizes: tuple[int, ...], nodes: int, timing: Timing, gbit: float, minutes: float, seed: int = 1
) -> list[str]:
    """10 drains a minute beside none."""
    lines = [
        "| marshals | idle: to one, bytes/s | from one | leader in all | 10 drains a minute: to one "
        "| from one | leader in all |",
        "| --- " * 7 + "|",
    ]
    for size in sizes:
        idle = traffic(size, nodes, seed, timing, gbit, minutes, 0)
        busy = traffic(size, nodes, seed, timing, gbit, minutes, 10)
        cells = " | ".join(f"{one:,.0f}" for one in (*idle, *busy))
        lines.append(f"| {size:,} | {cells} |")
    return lines


def came(
    marshals: int, nodes: int, seed: int, timing: Timing, gbit: float, silent: bool
) -> list[tuple[str, float, float, int, int, int]]:
    """What happened; ms until half and the last were told; the leader's most bytes in 100 ms, and all until
    quiet; sessions that were lost.

    First all come anew; then their leader is killed, or `silent`, its machine is gone without a word.
    """
    crowd = Crowd(nodes, seed, timing, gbit)
    crowd.run(5_000.0, lambda: bool(crowd.leader()))
    crowd.forget()
    began = crowd.now
    _stands(crowd, marshals)
    leader = crowd.leader()
    found = [("all come anew", *_told(crowd, began, leader))]
    crowd.run(crowd.chance.uniform(0.0, timing.lease_ms / 3.0))  # anywhere between two renewals
    began = crowd.now
    crowd.end(leader, silent)
    crowd.forget()
    if not crowd.run(MOST_MS, lambda: len(crowd.told) == marshals):
        raise RuntimeError(f"{len(crowd.told)} of {marshals} marshals returned within {MOST_MS} ms")
    crowd.run(SETTLE_MS)
    leader = crowd.leader()
    what = "all return, the leader's machine is gone" if silent else "all return, the leader was killed"
    found.append((what, *_told(crowd, began, leader)))
    return found


def _told(crowd: Crowd, began: float, leader: str) -> tuple[float, float, int, int, int]:
    times = sorted(ms - began for ms in crowd.told.values())
    return times[len(times) // 2], times[-1], crowd.burst(leader), crowd.handed[leader], len(crowd.lost)


def return_table(sizes: tuple[int, ...], nodes: int, timing: Timing, gbit: float, seed: int = 1) -> list[str]:
    lines = [
        "| marshals | what | until half are told, ms | the last | leader's most bytes in 100 ms "
        "| in all | a marshal | sessions lost |",
        "| --- " * 8 + "|",
    ]
    for size in sizes:
        killed, gone = (came(size, nodes, seed, timing, gbit, silent) for silent in (False, True))
        for what, half, last, burst, octets, lost in (*killed, gone[1]):
            lines.append(
                f"| {size:,} | {what} | {half:,.0f} | {last:,.0f} | {burst:,} | {octets:,} "
                f"| {octets // size:,} | {lost} |"
            )
    return lines


def seeds_table(marshals: int, seeds: int, nodes: int, timing: Timing, gbit: float) -> list[str]:
    """The leader's end again by seed, since a lease must outlast it."""
    lines = [
        "| marshals | seeds | what | half are told, ms: median of seeds | the last: median | worst "
        "| sessions lost | seeds with one |",
        "| --- " * 8 + "|",
    ]
    for silent in (False, True):
        ends = [came(marshals, nodes, seed, timing, gbit, silent)[1] for seed in range(1, seeds + 1)]
        half = statistics.median(one[1] for one in ends)
        last = statistics.median(one[2] for one in ends)
        lost = [one[5] for one in ends]
        lines.append(
            f"| {marshals} | {seeds} | {ends[0][0]} | {half:,.0f} | {last:,.0f} "
            f"| {max(one[2] for one in ends):,.0f} | {sum(lost)} of {marshals * seeds} "
            f"| {sum(map(bool, lost))} |"
        )
    return lines
