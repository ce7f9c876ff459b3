"""One seed of the simulated drill: a fleet that fails while two operators drain, release, halt, say things twice."""

from __future__ import annotations

import random

from brookreach.coordination.state_machine.application import Command
from brookreach.disruption import commands
from brookreach.disruption.halt import current_halt
from brookreach.disruption.states import ReleaseState, TargetKind, TargetStatus, Verdict
from brookreach.disruption.tables import RELEASES, ReleaseRow
from brookreach.simulation.disruption.fleet_members import Member
from brookreach.simulation.disruption.fleet_model import START_MS, FleetModel
from brookreach.simulation.disruption.invariants import FleetInvariants
from brookreach.simulation.report import Report

SEED_FACTOR = 7919  # so that the storm's draws are not the fleet's
STARTUP_MS = 15_000
STORM_MS = 300_000
STORM_END_MS = 60_000  # until what was delayed in the storm has arrived
SETTLE_MS = 3_600_000
SETTLE_ROUNDS = 12  # several members with a slow start may go one after the other
SLOW_START_MS = 4_000_000
BALANCERS = 4
OPERATORS = ("ann", "ben")
STAGE_SHARES = (200, 500, 1000)
SOAK_MS = 5000
ROLLBACK_VOTES_NEEDED = 2
PROMOTE_VOTES_NEEDED = 1
REJECTED_BUILD_FACTOR = 3  # balancers vote against every third build
COMMAND_DELAYS_MS = (10, 500, 30_000)


class Storm:
    """A fleet, its faults, and two operators, whose commands come late, twice and out of order."""

    def __init__(self, seed: int, report: Report):
        self.invariants = FleetInvariants(report, seed)
        self.random = random.Random(seed * SEED_FACTOR + 1)
        self.zones = [f"z{number}" for number in range(self.random.randint(1, 3))]
        node_count = self.random.randint(6, 14)
        self.nodes = [
            Member(f"n{number}", TargetKind.NODE, self.random.choice(self.zones), f"s{number % 2}", 1)
            for number in range(node_count)
        ]
        self.balancers = [
            Member(f"m{number}", TargetKind.BALANCER, self.random.choice(self.zones), "route", 1)
            for number in range(BALANCERS)
        ]
        self.fleet = FleetModel(seed, [*self.nodes, *self.balancers], self.invariants)
        self.invariants.fleet = self.fleet
        self.last_number = 0  # of a permit's name
        self.last_build = 1
        self.known_fences = [0]
        self.sent: list[Command] = []

    def run(self) -> None:
        """Plays the storm, repairs everything, and checks that all permits end."""
        for member in self.fleet.members.values():
            self.fleet.start(member)
        self.fleet.propose(OPERATORS[0], "operator", self._budgets())
        self.fleet.run(START_MS + STARTUP_MS)
        actions = [self.send_command] * 5 + [self.inject_fault, self.vote]
        for _ in range(self.random.randint(20, 60)):
            self.fleet.schedule(self.random.randint(0, STORM_MS), self.random.choice(actions))
        self.fleet.run(START_MS + STORM_MS + STORM_END_MS)
        for member in self.fleet.members.values():
            self.fleet.set_partitioned(member, False)
        for _ in range(SETTLE_ROUNDS):
            halt = current_halt(self.fleet.group.view)
            if halt:
                self.fleet.propose(OPERATORS[0], "operator", commands.Resume(halt.fence, "over"))
            self.fleet.run(self.fleet.now_ms + SETTLE_MS)
        self.invariants.check_settled()

    def _budgets(self) -> commands.SetBudgets:
        node = TargetKind.NODE
        entries = [commands.BudgetEntry(node, "all", self.random.randint(1, 4), 2)]
        entries.append(commands.BudgetEntry(TargetKind.BALANCER, "all", 1, 1))
        entries += [commands.BudgetEntry(node, f"zone:{zone}", self.random.randint(1, 2), 0) for zone in self.zones]
        entries.append(commands.BudgetEntry(node, "service:s0", self.random.randint(1, 3), 0))
        return commands.SetBudgets(tuple(entries))

    def inject_fault(self) -> None:
        """A crash, a partition of a zone, a lost quorum, a restored replica or a slow start."""
        match self.random.randrange(6):
            case 0 | 1:
                self.fleet.crash(self.random.choice(list(self.fleet.members.values())))
            case 2:
                zone = self.random.choice(self.zones)
                lost = [member for member in self.fleet.members.values() if member.zone == zone]
                for member in lost:
                    self.fleet.set_partitioned(member, True)
                self.fleet.schedule(self.random.randint(1000, 20_000), lambda: self._reconnect(lost))
            case 3:
                if self.fleet.has_quorum:
                    self.fleet.lose_quorum(self.random.randint(500, 15_000))
            case 4:
                self.fleet.group.restore_from_snapshot()
            case 5:
                self.random.choice(self.nodes).extra_start_ms = SLOW_START_MS

    def _reconnect(self, members: list[Member]) -> None:
        for member in members:
            self.fleet.set_partitioned(member, False)

    def send_command(self) -> None:
        """An operator sends a command, late and maybe twice."""
        halt = current_halt(self.fleet.group.view)
        if halt and halt.fence not in self.known_fences:
            self.known_fences.append(halt.fence)
        self.last_number += 1
        command = self._next_command()
        self.sent.append(command)
        operator = self.random.choice(OPERATORS)
        for _ in range(self.random.choice([1, 1, 2])):
            delay_ms = self.random.choice(COMMAND_DELAYS_MS)
            self.fleet.schedule(delay_ms, lambda: self.fleet.propose(operator, "operator", command))

    def _next_command(self) -> Command:
        command: Command
        match self.random.randrange(16):
            case 0 | 1 | 2 | 3 | 4 | 5:
                node = self.random.choice(self.nodes).name
                command = commands.RequestDrain(f"d{self.last_number}", node, self.random.randrange(10), "")
            case 6:
                balancer = self.random.choice(self.balancers).name
                command = commands.RequestRestart(f"r{self.last_number}", balancer, 5, "")
            case 7 | 8:
                command = commands.WithdrawPermit(f"d{self.random.randint(1, self.last_number)}", "")
            case 9:
                command = commands.Halt("", self.random.random() < 0.3)
            case 10 | 11:
                command = commands.Resume(self.random.choice(self.known_fences[-2:]), "")
            case 12 | 13:
                command = self._next_release()
            case 14:
                command = commands.RollBackRelease(self.last_build, "")
            case _:
                command = self.random.choice(self.sent) if self.sent else commands.Halt("")
        return command

    def _next_release(self) -> commands.StartRelease:
        self.last_build += 1
        return commands.StartRelease(
            build=self.last_build,
            previous_build=self._last_released_build(),
            node_shares=STAGE_SHARES,
            traffic_caps=STAGE_SHARES,
            soak_ms=SOAK_MS,
            rollback_votes_needed=ROLLBACK_VOTES_NEEDED,
            promote_votes_needed=PROMOTE_VOTES_NEEDED,
        )

    def _last_released_build(self) -> int:
        rows = self.fleet.group.view.rows(RELEASES)
        return max((row.build for _, row in rows if row.state == ReleaseState.RELEASED), default=1)

    def vote(self) -> None:
        """Every balancer that is ready and connected votes on every release."""
        release: ReleaseRow
        for _, release in self.fleet.group.view.rows(RELEASES):
            for balancer in self.balancers:
                if balancer.status != TargetStatus.READY or balancer.partitioned or not release.stage:
                    continue
                verdict = self.random.choice([Verdict.PROMOTE, Verdict.PROMOTE, Verdict.PROMOTE, Verdict.HOLD])
                if release.build % REJECTED_BUILD_FACTOR == 0:
                    verdict = Verdict.ROLL_BACK
                self.fleet.propose(balancer.name, "marshal", commands.CastVote(release.build, release.stage, verdict))
