"""Known defects that the drill's invariants must find, by the names that people type."""

from __future__ import annotations

from collections.abc import Callable

from brookreach.disruption.tables import NodeRow
from brookreach.gang_scheduling import checkpoints, departures, estimates, members, placement
from brookreach.gang_scheduling.agent.agent import GangAgent
from brookreach.gang_scheduling.agent_tasks import AgentTask, TaskKind
from brookreach.gang_scheduling.member_key import MemberKey
from brookreach.gang_scheduling.placement import NodeCapacity
from brookreach.gang_scheduling.tables import GangRow
from brookreach.gang_scheduling.transaction import Transaction
from brookreach.simulation.defect import Plants
from brookreach.simulation.gang_scheduling import node_model

DAY_MS = 86_400_000


def _without_fence(agent: type[GangAgent]) -> type[GangAgent]:
    """Takes any start, of whatever fencing token and session."""

    class UnfencedAgent(agent):  # type: ignore[valid-type]  # the class in place is only known at run time
        def handle_task(self, now_ms: float, task: AgentTask) -> None:
            key = MemberKey(task.gang, task.member)
            if task.kind == TaskKind.START and self.session and key not in self.members.running:
                self.members.pending_starts[key] = task
                self.members.start_pending(key)
            else:
                super().handle_task(now_ms, task)

    return UnfencedAgent


def _any_member_completes(_right: Callable[[Transaction, str], bool]) -> Callable[[Transaction, str], bool]:
    """Counts a checkpoint that any member confirmed."""

    def is_complete(transaction: Transaction, name: str) -> bool:
        row = transaction.gang(name)
        return any(member.confirmed_epoch == row.requested_epoch for member in transaction.members_of(name).values())

    return is_complete


def without_notices(make: Callable[..., NodeCapacity]) -> Callable[..., NodeCapacity]:
    """Takes nodes that retire for ones that stay."""

    def make_without_notice(
        node: str, node_incarnation: int, zone: str, build: int, free: int, _retires_ms: int
    ) -> NodeCapacity:
        return make(node, node_incarnation, zone, build, free, 0)

    return make_without_notice


def _never_needed(_right: Callable[[NodeRow | None, int], bool]) -> Callable[[NodeRow | None, int], bool]:
    def needs_permit(_row: NodeRow | None, _now_ms: int) -> bool:
        return False

    return needs_permit


def _a_day_longer(right: Callable[[GangRow], int]) -> Callable[[GangRow], int]:
    def placement_limit_ms(row: GangRow) -> int:
        return right(row) + DAY_MS

    return placement_limit_ms


def _no_delay(_right: int) -> int:
    return 0


PLANTS: Plants = {
    "fence-not-checked": (node_model, "GangAgent", _without_fence),
    "epoch-of-some": (checkpoints, "is_complete", _any_member_completes),
    "target-that-retires": (placement, "NodeCapacity", without_notices),
    "move-without-permit": (departures, "needs_permit", _never_needed),
    "half-placed": (estimates, "placement_limit_ms", _a_day_longer),
    "let-go-at-once": (members, "RELEASE_DELAY_MS", _no_delay),
}
