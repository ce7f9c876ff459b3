"""What must hold in the simulated drill, by what members truly did and the commands as they were applied.

It never looks at the application's own counts, queue or indexes.
"""

from __future__ import annotations

from dataclasses import dataclass

from brookreach.coordination.state_machine.application import Command, RowUpdate
from brookreach.disruption import commands
from brookreach.disruption.permits import RELEASE_PREFIX
from brookreach.disruption.states import ACTIVE_STATES, FINAL_STATES, PermitState, TargetKind, TargetStatus, Verdict
from brookreach.disruption.tables import PERMITS, RELEASES, PermitRow, ReleaseRow
from brookreach.simulation.disruption.fleet_members import Member
from brookreach.simulation.disruption.fleet_model import START_MS, FleetModel
from brookreach.simulation.disruption.sequential_group import AppliedStep
from brookreach.simulation.report import Report, Violation

NEVER = 1 << 60  # a log index that no record reaches
CASE = "storm"


@dataclass(frozen=True)
class Budget:
    """A disruption budget as it was last set."""

    max_unavailable: int
    min_ready: int


UNLIMITED = Budget(max_unavailable=1 << 40, min_ready=0)


@dataclass(frozen=True)
class RecordedOutage:
    """A target that was recorded as not ready: at which log index and time."""

    index: int
    at_ms: int


@dataclass(frozen=True)
class HaltPeriod:
    """A halt, from the log index where it began to the one where it was resumed or replaced."""

    begin: int
    end: int
    allows_rollback: bool

    def forbids(self, permit_name: str, grant_index: int) -> bool:
        """Whether a permit of this name could not be granted there."""
        is_rollback = self.allows_rollback and permit_name.startswith(RELEASE_PREFIX)
        return self.begin < grant_index < self.end and not is_rollback


class FleetInvariants:
    """Observes a fleet and reports what is broken."""

    def __init__(self, report: Report, seed: int):
        self.report = report
        self.seed = seed
        self.fleet: FleetModel
        self.halt_count = 0
        self.rolled_back: dict[int, int] = {}  # by build: the log index from which it must not start
        self._budgets: dict[str, Budget] = {}
        self._outages: dict[str, RecordedOutage] = {}  # by member
        self._halt: HaltPeriod | None = None
        self._previous_halts: list[HaltPeriod] = []
        self._rollback_voters: dict[int, set[str]] = {}
        self._rollback_votes_needed: dict[int, int] = {}
        self._stages: dict[int, int] = {}  # by build

    def check(self, rule: str, holds: bool, text: str) -> None:
        """Counts that the rule was checked, and reports it where it does not hold."""
        self.report.looked(rule)
        if not holds:
            at_ms = self.fleet.now_ms - START_MS
            self.report.broken(Violation(rule, CASE, self.seed, at_ms, text))

    # --- what members did ---

    def on_departure(self, member: Member, permit_name: str, permit: PermitRow) -> None:
        """A member went out of service: by a standing permit, granted outside halts, within the budgets."""
        current = self.fleet.group.view.get(PERMITS, permit_name)
        is_current = current is not None and current.state in ACTIVE_STATES
        self.check("permit stands", is_current, f"{member.name} went by {permit_name}")
        halts = [*self._previous_halts, *([self._halt] if self._halt else [])]
        for halt in halts:
            text = f"{member.name} went by {permit_name}, given after halt {halt.begin}"
            self.check("halt obeyed", not halt.forbids(permit_name, permit.fence), text)
        if self._halt is None:
            self.check("halt obeyed", True, "")
        for scope in _scopes(member):
            self._check_budget(member, permit_name, scope)

    def _check_budget(self, member: Member, permit_name: str, scope: str) -> None:
        budget = self._budgets.get(f"{member.kind}/{scope}", UNLIMITED)
        peers = [
            other for other in self.fleet.members.values() if other.kind == member.kind and scope in _scopes(other)
        ]
        # Outages that were recorded after the last of the permits was granted could not be respected.
        last_grant = max(other.outage_fence for other in peers)
        unavailable = sum(1 for other in peers if other.outage_fence or self._was_out_before(other, last_grant))
        ready = len(peers) - unavailable
        text = (
            f"{member.name} goes by {permit_name}: {scope}: {unavailable} of {budget.max_unavailable} out, "
            f"{ready} of {budget.min_ready} ready"
        )
        self.check("budget", unavailable <= budget.max_unavailable and ready >= budget.min_ready, text)

    def _was_out_before(self, member: Member, index: int) -> bool:
        """Whether it is out, that was recorded before `index`, and has gone on since."""
        outage = self._outages.get(member.name)
        if outage is None or member.status == TargetStatus.READY:
            return False
        return outage.index <= index and member.unready_since_ms <= outage.at_ms

    def on_start(self, member: Member) -> None:
        """A node that knows of a rollback does not start the build."""
        rolled_back = self.rolled_back.get(member.build, NEVER)
        text = f"{member.name} starts build {member.build}, sent back at {rolled_back}, knows {member.applied_index}"
        is_allowed = member.kind != TargetKind.NODE or member.applied_index <= rolled_back
        self.check("sent back stays away", is_allowed, text)

    # --- what was recorded ---

    def on_step(self, step: AppliedStep) -> None:
        """Follows commands, and checks the rows that changed."""
        if step.command is not None and not step.rejection:
            self._follow_command(step, step.command)
        elif step.command is None and step.client:
            self._outages.setdefault(step.client, RecordedOutage(step.index, step.at_ms))
        for update in step.updates:
            self._check_update(update)

    def _follow_command(self, step: AppliedStep, command: Command) -> None:
        match command:
            case commands.SetBudgets(rows=entries):
                self._budgets = {
                    f"{entry.kind}/{entry.scope}": Budget(entry.max_unavailable, entry.min_ready) for entry in entries
                }
            case commands.ReportNode(status=TargetStatus.READY) | commands.ReportBalancer(status=TargetStatus.READY):
                self._outages.pop(step.client, None)
            case commands.ReportNode() | commands.ReportBalancer():
                self._outages.setdefault(step.client, RecordedOutage(step.index, step.at_ms))
            case commands.Halt(allows_rollback=allows_rollback):
                self._begin_halt(step.index, allows_rollback)
            case commands.Resume(fence=fence):
                self._end_halt(step.index, fence)
            case commands.StartRelease(build=build):
                self.check("sent back stays away", build not in self.rolled_back, f"build {build} begins")
                self._rollback_votes_needed[build] = command.rollback_votes_needed
            case commands.RollBackRelease(build=build):
                self.rolled_back[build] = step.index
            case commands.CastVote(build=build, verdict=Verdict.ROLL_BACK):
                self._count_rollback_vote(step, build)

    def _count_rollback_vote(self, step: AppliedStep, build: int) -> None:
        voters = self._rollback_voters.setdefault(build, set())
        voters.add(step.client)
        if len(voters) == self._rollback_votes_needed[build]:
            self.rolled_back[build] = step.index
            self._begin_halt(step.index, allows_rollback=True)

    def _begin_halt(self, index: int, allows_rollback: bool) -> None:
        """A halt that replaces another one is at least as strict."""
        if self._halt is not None:
            self._previous_halts.append(HaltPeriod(self._halt.begin, index, self._halt.allows_rollback))
            allows_rollback = allows_rollback and self._halt.allows_rollback
        self._halt = HaltPeriod(index, NEVER, allows_rollback)
        self.halt_count += 1

    def _end_halt(self, index: int, fence: int) -> None:
        current = self._halt.begin if self._halt else 0
        self.check("resume names the halt", fence == current, f"{fence} resumed, {current} stood")
        if self._halt is not None and fence == current:
            self._previous_halts.append(HaltPeriod(current, index, self._halt.allows_rollback))
            self._halt = None

    def _check_update(self, update: RowUpdate) -> None:
        match update.row:
            case ReleaseRow(build=build, stage=stage) if update.table == RELEASES:
                advanced = stage > self._stages.get(build, 0)
                self.check("no stage in a halt", not advanced or self._halt is None, f"stage {stage} of {build}")
                self._stages[build] = stage
            case PermitRow(state=PermitState.ENDED) as permit if update.table == PERMITS:
                member = self.fleet.members[permit.target]
                text = f"{update.key}: {member.name} is {member.status}"
                self.check("ended when back", member.outage_fence != permit.fence, text)

    def check_settled(self) -> None:
        """At the end no permit is open."""
        for name, permit in self.fleet.group.view.rows(PERMITS):
            text = f"{name} {permit.state}, asked at {permit.requested_ms - START_MS}"
            self.check("none starves", permit.state in FINAL_STATES, text)


def _scopes(member: Member) -> tuple[str, str, str]:
    """A build's scope has no budget in the drill."""
    return "all", f"zone:{member.zone}", f"service:{member.service}"
