"""Rows, list entries and settings as long as a large installation would word them; no figure hangs on their values."""

from __future__ import annotations

from brookreach.disruption.balancer_client import BALANCER_SERVICE
from brookreach.disruption.states import PermitAction, PermitState, TargetStatus
from brookreach.disruption.tables import BalancerRow, NodeRow, PermitRow
from brookreach.model.keepers_crowd import WALL

GROUP = "g"
FAR_INDEX = 1_000_000  # a session's number late in a group's life

LIST_ENTRY = {
    "id": "s-12345",
    "host_port": "10.210.123.45:18541",
    "locality": "r1-a",
    "flavor": "std",
    "cell": 17,
    "phase": "active",
    "size": 1.0,
    "up_since_ms": 1_800_000_123_456,
    "revision_no": 412,
}
ROUTE = {
    "aimUs": 1000000,
    "dedupScope": "all",
    "hardLimitUs": 3000000,
    "idempotency": "non_idempotent",
    "lateWorth": 0.0,
    "name": "service-417/method-3",
    "stream": False,
    "windowUs": 5000000,
    "worth": 1.0,
}
TENANT = {"name": "tenant-12345", "share": 0.0000204, "allowancePerS": 12.5}
NODE = NodeRow("r1-a", 412, "service-417", 4, TargetStatus.READY, WALL, 7, WALL, 0, FAR_INDEX)
MARSHAL = BalancerRow("r1-a", 0, BALANCER_SERVICE, TargetStatus.READY, WALL, FAR_INDEX)
PERMIT = PermitRow(
    PermitAction.DRAIN,
    "s-12345",
    "operator-7",
    5,
    WALL,
    PermitState.ENDED,
    FAR_INDEX,
    WALL,
    WALL,
    7,
    "kernel update",
    0,
    False,
)
