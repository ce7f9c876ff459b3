"""What a handover asks its surroundings to do, and the messages between balancers when a service moves."""

from __future__ import annotations

import msgspec


class LoadService(msgspec.Struct, frozen=True):
    """Watch the rows of this service; report `service_loaded` when they are complete."""

    service: str


class DrainService(msgspec.Struct, frozen=True):
    """Accept no new RPC of this service and finish those in flight; report `service_idle` after the last."""

    service: str


class UnloadService(msgspec.Struct, frozen=True):
    """Stop watching the service's rows and discard them."""

    service: str


class RequestFullView(msgspec.Struct, frozen=True):
    """Changes after this version are missing: ask for the full view."""

    version: int


class HandoverQuery(msgspec.Struct, frozen=True):
    """A balancer that is to release a service asks a holder whether it serves it at this version or a later one."""

    sender: str
    to: str
    service: str
    version: int


class HandoverAck(msgspec.Struct, frozen=True):
    """The holder serves the service at this version, in this session. A holder that does not stays silent."""

    sender: str
    to: str
    service: str
    version: int
    session: int


Effect = LoadService | DrainService | UnloadService | RequestFullView | HandoverQuery | HandoverAck
