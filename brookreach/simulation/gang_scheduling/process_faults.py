"""The faults of the drill between processes, by the names that its report prints."""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import anyio

from brookreach.disruption import commands
from brookreach.gang_scheduling.commands import ReconcileNode
from brookreach.gang_scheduling.members import RELEASE_DELAY_MS
from brookreach.simulation.gang_scheduling.gang_fleet import GangFleet
from brookreach.simulation.gang_scheduling.node_log_invariants import Pause
from brookreach.simulation.processes.application_drill import KEEPERS
from brookreach.simulation.processes.operators import GOES_ON_S, LEASE_S

NOTICE_LEAD_MS = 4_000
MIGRATION_TIMEOUT_S = NOTICE_LEAD_MS / 1000.0 + GOES_ON_S
LEADER_DOWN_S = 0.3
REPLICAS_DOWN_S = 0.2
PAST_LEASE_S = LEASE_S * 1.5
RESTART_MARGIN_S = 4.0  # for others to start what a stopped agent's node ran
INCARNATION_STEP_S = 1.1  # a node's incarnation is a second of the clock, so the next start is a later one
ROUGH_LINKS_S = 1.5


async def retire_node(fleet: GangFleet) -> None:
    """Gives a node with members a notice; the leader is killed as it hears so. All have left before the time."""
    cluster, operator, node = fleet.cluster, fleet.operator, fleet.random_node()
    announced_ms = anyio.current_time() * 1000.0
    notice = commands.AnnounceRetirement(node, fleet.cache.agreed_time_ms + NOTICE_LEAD_MS)
    answer = await operator.ask("outages", notice)
    if answer is None or not answer.ok:
        return
    fleet.retired.append(node)
    number = operator.say("gangs", ReconcileNode(node))
    await cluster.down([cluster.leader()], LEADER_DOWN_S)
    await cluster.until(lambda: number in operator.answers, "an operator hears what became of it")
    if operator.answers[number] is None:
        await operator.ask("gangs", ReconcileNode(node))

    def has_migrated() -> bool:
        return node not in fleet.nodes_with_members() and fleet.are_running()

    await cluster.until(has_migrated, "a notice moves the gang", MIGRATION_TIMEOUT_S, fleet.describe)
    fleet.left_by_ms[node] = announced_ms + NOTICE_LEAD_MS + LEASE_S * 1000.0


async def stop_leader(fleet: GangFleet) -> None:
    """Stops the leader's process past its lease."""
    await fleet.cluster.stopped(fleet.cluster.leader(), PAST_LEASE_S)


async def stop_agent(fleet: GangFleet) -> None:
    """Stops an agent past its lease: its members stop by themselves, and are started elsewhere only after that."""
    node = fleet.random_node()
    start_ms = anyio.current_time() * 1000.0
    await fleet.cluster.stopped(node, LEASE_S + RELEASE_DELAY_MS / 1000.0 + RESTART_MARGIN_S)
    fleet.pauses[node].append(Pause(start_ms, anyio.current_time() * 1000.0))


async def kill_agent(fleet: GangFleet) -> None:
    """Kills an agent with all that it plays, and starts it again."""
    node = fleet.random_node()
    fleet.cluster.children.all[node].kill()
    fleet.kills_ms[node].append(anyio.current_time() * 1000.0)
    await anyio.sleep(INCARNATION_STEP_S)
    fleet.cluster.start([node])


async def cut_node_off(fleet: GangFleet) -> None:
    """Loses what a node says, past its lease; what it is told is not lost."""
    links = fleet.cluster.ways([fleet.random_node()], KEEPERS)
    await fleet.cluster.link(links, PAST_LEASE_S, cut=True)


async def impair_all_links(fleet: GangFleet) -> None:
    """Delays, doubles and changes messages of all links."""
    links = list(fleet.cluster.relay.ways.values())
    await fleet.cluster.link(links, ROUGH_LINKS_S, delay_ms=10.0, spread_ms=60.0, double=0.2, change=0.01)


async def restart_replicas(fleet: GangFleet) -> None:
    """Kills all replicas and starts them again."""
    await fleet.cluster.down(KEEPERS, REPLICAS_DOWN_S)


FAULTS: Mapping[str, Callable[[GangFleet], Awaitable[None]]] = {
    "a node retires, the leader is killed": retire_node,
    "leader stopped past its lease": stop_leader,
    "an agent stopped until others start": stop_agent,
    "an agent killed": kill_agent,
    "a node's words cut off": cut_node_off,
    "links delay, double, change": impair_all_links,
    "all keepers restarted": restart_replicas,
}
