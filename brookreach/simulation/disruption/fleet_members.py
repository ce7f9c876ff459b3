"""Members of the simulated fleet: what they truly are, what they know, and who is told what they do."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass
from typing import Protocol

from brookreach.coordination.state_machine.application import Command
from brookreach.disruption import commands
from brookreach.disruption.states import TargetKind, TargetStatus
from brookreach.disruption.tables import HaltRow, PermitRow
from brookreach.simulation.disruption.sequential_group import AppliedStep

NODE_CAPACITY = 10


@dataclass(eq=False)
class Member:
    """A node with its agent, or a balancer: what it truly is, and what it knows.

    Attributes:
        name: Of the member.
        kind: A node or a balancer.
        zone: Where it is.
        service: What it serves.
        build: That it runs.
        incarnation: A node's counts its starts; a balancer's is its session.
        starts: How often it started.
        status: As it truly is.
        unready_since_ms: Since when it is not ready.
        outage_fence: Fencing token of the permit that it is out by; 0: none.
        partitioned: It reaches nobody.
        applied_index: The log index that it knows.
        next_build: What it starts next time; 0: the same.
        extra_start_ms: By how much its next start takes longer, once.
        last_report_ms: When its last report arrives; reports arrive in their order.
    """

    name: str
    kind: TargetKind
    zone: str
    service: str
    build: int
    incarnation: int = 0
    starts: int = 0
    status: TargetStatus = TargetStatus.DOWN
    unready_since_ms: int = 0
    outage_fence: int = 0
    partitioned: bool = False
    applied_index: int = 0
    next_build: int = 0
    extra_start_ms: int = 0
    last_report_ms: int = 0

    @property
    def client_kind(self) -> str:
        """By which the group knows the member's client."""
        return "agent" if self.kind == TargetKind.NODE else "marshal"


class FleetObserver(Protocol):
    """Is told what members did, and what was applied."""

    def on_departure(self, member: Member, permit_name: str, permit: PermitRow) -> None:
        """The member goes out of service by the permit."""
        ...

    def on_start(self, member: Member) -> None:
        """The member starts."""
        ...

    def on_step(self, step: AppliedStep) -> None:
        """A record was applied."""
        ...


@dataclass(frozen=True)
class AgreedRows:
    """What a member saw of the agreed state at one log index."""

    index: int
    permits: Mapping[str, PermitRow]
    assigned_build: int  # 0: none
    halt: HaltRow | None


def report_of(member: Member) -> Command:
    """The report that the member's agent, or the balancer itself, would send now."""
    is_warm = member.status == TargetStatus.READY
    if member.kind == TargetKind.NODE:
        return commands.ReportNode(
            node=member.name,
            zone=member.zone,
            build=member.build,
            service=member.service,
            capacity=NODE_CAPACITY,
            status=member.status,
            incarnation=member.incarnation,
            warm=is_warm,
            applied_index=member.applied_index,
        )
    return commands.ReportBalancer(
        balancer=member.name,
        zone=member.zone,
        build=member.build,
        service=member.service,
        status=member.status,
        warm=is_warm,
        applied_index=member.applied_index,
    )
