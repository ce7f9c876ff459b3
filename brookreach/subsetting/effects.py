"""Effects that a handover returns for its caller to execute, and the messages between balancers during a handover."""

from __future__ import annotations

import msgspec


class LoadService(msgspec.Struct, frozen=True):
    """Watch the rows of this service; call `service_loaded` when they are complete."""

    service: str


class DrainService(msgspec.Struct, frozen=True):
    """Accept no new RPCs of this service and finish those in flight; call `service_idle` after the last one."""

    service: str


class UnloadService(msgspec.Struct, frozen=True):
    """Stop watching the service's rows and discard them."""

    service: str


class RequestFullView(msgspec.Struct, frozen=True):
    """Request the full view, because changes after this version are missing."""

    version: int


class HandoverQuery(msgspec.Struct, frozen=True):
    """Asks a holder whether it serves the service at this version or a later one; sent before releasing the service."""

    sender: str
    to: str
    service: str
    version: int


class HandoverAck(msgspec.Struct, frozen=True):
    """States that the holder serves the service at this version, in this session; a holder that does not sends none."""

    sender: str
    to: str
    service: str
    version: int
    session: int


Effect = LoadService | DrainService | UnloadService | RequestFullView | HandoverQuery | HandoverAck
