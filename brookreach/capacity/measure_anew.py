"""`python -m brookreach.capacity.measure_anew`: bytes that keepers tell one client that comes without a session.

Real keepers, clients, tables and sealed frames on a virtual clock, so that the figures are the same at each run; names
are short there (`n17`), so a row is shorter than those of `samples.py`.
"""

from __future__ import annotations

import click

from brookreach.applications import load_applications
from brookreach.coordination.protocol import messages
from brookreach.coordination.state_machine.application import StagedChanges
from brookreach.coordination.state_machine.machine import StateMachine
from brookreach.coordination.timing import Timing
from brookreach.disruption import deadlines
from brookreach.disruption.permits import RETENTION_MS
from brookreach.disruption.states import PermitAction, PermitState
from brookreach.disruption.tables import PERMITS, PermitRow
from brookreach.model.keepers_crowd import WALL, Crowd, fleet

CLIENTS = 10
MOST_MS = 60_000.0
SETTLE_MS = 2_000.0
KINDS: tuple[messages.ClientKind, ...] = ("marshal", "agent")


def fleet_with_permits(nodes: int, permits: int) -> StateMachine:
    """A state with so many nodes, and so many permits that are over and kept."""
    machine = fleet(nodes)
    draft = StagedChanges(machine.view)
    for number in range(permits):
        name, target = f"old{number}", f"n{number % nodes}"
        draft.put(
            PERMITS,
            name,
            PermitRow(PermitAction.DRAIN, target, "op", 5, WALL, PermitState.ENDED, 1, WALL, WALL, 1, "work"),
        )
        deadlines.schedule(draft, WALL + RETENTION_MS + number, deadlines.TimerKind.FORGET_PERMIT, name)
    machine.view.apply_updates(draft.updates())
    fresh = StateMachine(load_applications())
    fresh.restore(machine.snapshot())
    return fresh


def bytes_anew(kind: messages.ClientKind, nodes: int, permits: int, clients: int = CLIENTS) -> float:
    """To one of so many clients that come at once, until all hold what they watch."""
    machine = fleet_with_permits(nodes, permits)
    crowd = Crowd(nodes, 1, Timing(), 1.0)
    for keeper in crowd.keepers.values():  # before any of them leads, or has told anything
        keeper.machine.restore(machine.snapshot())
        keeper.watches.on_restored()
    crowd.run(5_000.0, lambda: bool(crowd.leader()))
    names = [f"n{number}" if kind == "agent" else f"m{number}" for number in range(clients)]
    for name in names:
        crowd.add(name, kind)
    if not crowd.run(MOST_MS, lambda: len(crowd.told) == clients):
        raise RuntimeError(f"{len(crowd.told)} of {clients} clients were told within {MOST_MS:.0f} ms")
    crowd.run(SETTLE_MS)
    return sum(crowd.says[name] for name in names) / clients


@click.command(help=__doc__)
@click.option("--nodes", type=click.IntRange(10, 20_000), multiple=True, default=(1_000, 12_000), show_default=True)
@click.option("--permits", type=click.IntRange(0, 50_000), multiple=True, default=(0, 11_200), show_default=True)
def main(nodes: tuple[int, ...], permits: tuple[int, ...]) -> None:
    click.echo("| client | nodes | permits that are over | bytes told to it |\n| --- | --- | --- | --- |")
    for kind in KINDS:
        for count in nodes:
            for over in permits:
                click.echo(f"| {kind} | {count:,} | {over:,} | {bytes_anew(kind, count, over):,.0f} |")


if __name__ == "__main__":
    main()
