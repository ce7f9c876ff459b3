"""What an agent has decided and others carry out: actions on the node, reports and replies."""

from __future__ import annotations

from dataclasses import dataclass, field

from brookreach.gang_scheduling.agent.actions import NodeAction
from brookreach.gang_scheduling.agent.replies import TaskReplies
from brookreach.gang_scheduling.commands import AgentCommand


@dataclass(slots=True)
class AgentOutputs:
    """Outputs in the order in which they were decided.

    Attributes:
        actions: To be carried out on the node.
        reports: Commands to be proposed.
        replies: To tasks.
    """

    actions: list[NodeAction] = field(default_factory=list)
    reports: list[AgentCommand] = field(default_factory=list)
    replies: TaskReplies = field(default_factory=TaskReplies)

    def drain_actions(self) -> list[NodeAction]:
        """Returns the actions and forgets them."""
        actions, self.actions = self.actions, []
        return actions

    def drain_reports(self) -> list[AgentCommand]:
        """Returns the reports and forgets them."""
        reports, self.reports = self.reports, []
        return reports
